//! Whether a request with a blamed part may be sent.
//!
//! Until it is certain that a part is bad, all hosts together try one request with it at a time: the hosts take turns by a
//! hash of their names, in slots counted from the last crash, which all know by its age.

use std::time::Duration;

use super::super::instance::short_hash;
use super::cover::{self, Blame};
use super::{BLOCK_DURATION, customer_hash, part_text, shared};
use crate::core::effect::Refusal;
use crate::core::key::CallKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};
use crate::error::Kind;

/// Time in which one host may send a request with a blamed part; reports of a crash reach the other hosts well within it.
const SLOT: Duration = Duration::from_secs(1);
/// Part of a slot in which the request may be sent: its end must be known before the next host's turn.
const SLOT_OPEN: Duration = Duration::from_millis(500);

/// Checks whether a request may be sent, and takes the host's turn to try its parts if they are blamed.
///
/// # Errors
///
/// Returns the refusal if it may not.
pub fn admit(core: &mut Core, key: CallKey, out: &mut Effects) -> Result<(), Refusal> {
    cover::update(core, out);
    let blamed = blamed_parts(core, key);
    for (part, blame) in &blamed {
        check(core, key, *part, blame)?;
    }
    for (part, _) in blamed {
        if let Some(record) = core.relay.parts.records.get_mut(&part) {
            record.trial = Some(key);
        }
    }
    Ok(())
}

/// Whether a request has a part that is blamed.
pub fn is_blamed(core: &Core, key: CallKey) -> bool {
    !blamed_parts(core, key).is_empty()
}

/// Returns the blamed parts of a request, in their order in the prompt.
fn blamed_parts(core: &Core, key: CallKey) -> Vec<(u64, Blame)> {
    let (call, blamed) = (&core.relay.calls[key], &core.relay.parts.blamed);
    if blamed.is_empty() {
        return Vec::new();
    }
    let customer = customer_hash(call);
    let parts = shared(call.prompt.as_ref()).iter();
    let parts = parts.filter_map(|block| Some((block.id, blamed.get(&block.id)?)));
    let parts = parts.filter(|(_, blame)| blame.concerns(customer));
    parts.map(|(part, blame)| (part, blame.clone())).collect()
}

fn check(core: &mut Core, key: CallKey, part: u64, blame: &Blame) -> Result<(), Refusal> {
    let now = core.now;
    let detail = format!(
        "{} backend servers crashed under part {} of the prompt",
        blame.servers,
        part_text(part)
    );
    if blame.is_refused {
        let left = BLOCK_DURATION.saturating_sub(now.since(blame.last));
        return Err(Refusal::new(Kind::EngineKiller, detail).with_retry_after(left));
    }
    if may_try(core, key, part, blame) {
        return Ok(());
    }
    if let Some(record) = core.relay.parts.records.get_mut(&part) {
        record.refused += 1;
    }
    let detail = format!("{detail}; requests with it are tried one at a time");
    Err(Refusal::new(Kind::EngineKiller, detail).with_retry_after(SLOT))
}

/// Whether this host may send a request with a part that is tried: the one under way, or the first of the host's turn.
fn may_try(core: &Core, key: CallKey, part: u64, blame: &Blame) -> bool {
    let Some(record) = core.relay.parts.records.get(&part) else {
        return true;
    };
    match record.trial {
        Some(trial) if trial == key => return true,
        Some(trial) if core.relay.calls.contains_key(trial) => return false,
        _ => {}
    }
    let (slot, phase) = slot(blame.last, core.now);
    slot > 0
        && phase < SLOT_OPEN
        && rank(core, slot) < owners(blame.since, record.refused, core.now)
}

/// Returns the number of the current slot and the time since it began. Slots begin with the last crash, or with the end of the
/// refusal.
fn slot(last: Time, now: Time) -> (u64, Duration) {
    let mut elapsed = now.since(last);
    if elapsed >= BLOCK_DURATION {
        elapsed = elapsed.saturating_sub(BLOCK_DURATION);
    }
    let slot = elapsed.as_micros() / SLOT.as_micros();
    let phase = elapsed.as_micros() % SLOT.as_micros();
    let micros = |value: u128| u64::try_from(value).unwrap_or(u64::MAX);
    (micros(slot), Duration::from_micros(micros(phase)))
}

/// Returns how many hosts share a slot: one, or more if requests with the part are so rare at each host that its turn
/// would pass without any.
fn owners(since: Time, refused: u32, now: Time) -> u64 {
    let slots = now.since(since).as_secs() / SLOT.as_secs();
    (slots / (1 + u64::from(refused))).max(1)
}

/// Returns the position of this host in the order of hosts for a slot, the same for all parts: a request may have several.
fn rank(core: &Core, slot: u64) -> u64 {
    let order = |name_hash: u32| mix(slot ^ (u64::from(name_hash) << 32));
    let own = order(short_hash(&core.settings.host.name));
    let peers = &core.relay.peers;
    let others = peers.names.values().map(|key| &peers.arena[*key]);
    others.filter(|peer| order(peer.name_hash) < own).count() as u64
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
