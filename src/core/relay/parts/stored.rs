//! Refused parts, kept in the store: hosts that start, were cut off or frozen read them there, and removing the key lifts a
//! refusal. Written and removed together with poison requests.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};

use super::super::event::{Changes, KeyChange};
use super::super::{note, poison};
use super::{BLOCK_DURATION, PartCrash, PartRecord, Parts, cover, part_text};
use crate::core::time::Time;
use crate::core::{Core, Effects};
use crate::store::{Op, Span};

/// Prefix of the store's keys of refused parts.
const PARTS_PREFIX: &str = "parts/";
/// Time after which hosts that saw a crash write the part.
const OWN_WRITE_DELAY: Duration = Duration::from_millis(200);
/// Time after which hosts that saw none write it: the others may have been stopped.
const OTHER_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Time within which hosts remove parts that are no longer refused.
const REMOVE_DELAY: Duration = Duration::from_secs(50);
/// Time after which a write or a removal that the store does not show is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Schedules a write of a part that is refused from now on.
pub(super) fn refused(core: &mut Core, part: u64, out: &mut Effects) {
    let record = core.relay.parts.records.get(&part);
    if record.is_some_and(|record| !record.is_stored && record.sync_at.is_none()) {
        schedule_write(core, part, out);
    }
}

/// Schedules the removal of a part, if it was cleared.
pub(super) fn maybe_cleared(core: &mut Core, part: u64, out: &mut Effects) {
    let record = core.relay.parts.records.get(&part);
    if record.is_some_and(|record| record.is_stored && record.crashes.is_empty()) {
        schedule(core, part, Duration::ZERO, out);
    }
}

fn schedule_write(core: &mut Core, part: u64, out: &mut Effects) {
    let record = core.relay.parts.records.get(&part);
    let is_own = record.is_some_and(|record| record.crashes.values().any(|crash| crash.is_own));
    let delay = if is_own {
        OWN_WRITE_DELAY
    } else {
        OTHER_WRITE_DELAY
    };
    // Others see the write of the first and make none.
    let delay = delay.mul_f64(core.rng.random_range(1.0..2.0));
    schedule(core, part, delay, out);
}

fn schedule(core: &mut Core, part: u64, after: Duration, out: &mut Effects) {
    let at = core.now.after(after);
    if let Some(record) = core.relay.parts.records.get_mut(&part) {
        record.sync_at = Some(at);
        poison::stored::arm_timer(core, at, out);
    }
}

impl Parts {
    /// Returns up to `max` writes and removals that are due.
    pub fn sync(&mut self, max: usize, now: Time, wall_ms: u64) -> Vec<Op> {
        let mut ops = Vec::new();
        for (part, record) in &mut self.records {
            if ops.len() == max || record.sync_at.is_none_or(|at| at > now) {
                continue;
            }
            let key = format!("{PARTS_PREFIX}{}", part_text(*part)).into();
            let is_refused = self.blamed.get(part).is_some_and(|blame| blame.is_refused);
            let expiry = record.last_crash().map(|last| last.after(BLOCK_DURATION));
            let is_over = expiry.is_none_or(|expiry| expiry <= now);
            record.sync_at = Some(now.after(RETRY_DELAY));
            if is_refused && !record.is_stored {
                ops.push(Op::Put {
                    key,
                    value: encode(*part, record, now, wall_ms).into(),
                    lease: 0,
                });
            } else if record.is_stored && is_over {
                ops.push(Op::Delete(Span::Key(key)));
            } else {
                let expiry = expiry.filter(|_| record.is_stored);
                record.sync_at = expiry.map(|expiry| expiry.after(REMOVE_DELAY));
            }
        }
        ops
    }

    /// Returns when the next write or removal is due.
    #[must_use]
    pub fn next_sync(&self) -> Option<Time> {
        self.records
            .values()
            .filter_map(|record| record.sync_at)
            .min()
    }
}

/// Handles changes of refused parts in the store.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    if changes.is_snapshot {
        let records = core.relay.parts.records.iter_mut();
        let stored = records
            .filter_map(|(part, record)| std::mem::take(&mut record.is_stored).then_some(*part));
        // A store that was restored from an older copy may have lost them.
        for part in stored.collect::<Vec<_>>() {
            schedule_write(core, part, out);
        }
    }
    for change in &changes.keys {
        let Some(name) = change.key.strip_prefix(PARTS_PREFIX) else {
            continue;
        };
        match u64::from_str_radix(name, 16) {
            Ok(part) => key_changed(core, part, change, out),
            Err(err) => log_unreadable(change, &err.to_string(), out),
        }
    }
}

fn key_changed(core: &mut Core, part: u64, change: &KeyChange, out: &mut Effects) {
    let Some(value) = &change.value else {
        removed(core, part, out);
        return;
    };
    let Some((depth, customers, servers)) = decode(value) else {
        log_unreadable(change, "expected depth, customers and servers", out);
        return;
    };
    let (now, wall_ms) = (core.now, core.wall_ms());
    for (instance, started_ms, at_ms) in servers {
        let age = Duration::from_millis(wall_ms.saturating_sub(at_ms));
        let crash = PartCrash {
            at: now.before(age),
            customers: customers.clone(),
            began: false,
            is_own: false,
            tally: core.relay.parts.tally,
        };
        let parts = &mut core.relay.parts;
        parts.record_crash(part, depth, (instance, started_ms), crash);
    }
    let Some(record) = core.relay.parts.records.get_mut(&part) else {
        return;
    };
    record.is_stored = true;
    let left = record
        .last_crash()
        .map(|last| last.after(BLOCK_DURATION).since(now));
    let delay = left.unwrap_or_default() + REMOVE_DELAY.mul_f64(core.rng.random());
    schedule(core, part, delay, out);
    core.relay.parts.is_dirty = true;
    cover::update(core, out);
}

/// Handles the removal of a key: the part was answered, an operator lifted the refusal, or the refusal is over.
fn removed(core: &mut Core, part: u64, out: &mut Effects) {
    let now = core.now;
    let Some(record) = core.relay.parts.records.get_mut(&part) else {
        return;
    };
    record.is_stored = false;
    record.sync_at = None;
    let is_over = record
        .last_crash()
        .is_none_or(|last| now.since(last) >= BLOCK_DURATION);
    if !is_over {
        record.clear(now);
        core.relay.parts.is_dirty = true;
        cover::update(core, out);
    }
}

fn log_unreadable(change: &KeyChange, why: &str, out: &mut Effects) {
    let fields = vec![("key", change.key.clone()), ("why", why.into())];
    note(out, log::Level::Warn, "part.unreadable", fields);
}

/// Returns a record as the store holds it: the crashed processes with the wall clock at each crash, in milliseconds since
/// the Unix epoch. A part with one customer is refused for that one only.
fn encode(part: u64, record: &PartRecord, now: Time, wall_ms: u64) -> Vec<u8> {
    let at_ms = |at: Time| {
        let age = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        wall_ms.saturating_sub(age)
    };
    let crashes = record.crashes.iter();
    let servers = crashes
        .map(|((instance, started_ms), crash)| json!([instance, started_ms, at_ms(crash.at)]));
    let customers = record.crashes.values();
    let customers = customers.flat_map(|crash| crash.customers.iter().copied());
    let first = record.crashes.values().map(|crash| crash.at).min();
    json!({
        "part": part_text(part),
        "depth": record.depth,
        "customers": customers.collect::<BTreeSet<u32>>(),
        "servers": servers.collect::<Vec<Value>>(),
        "since_ms": first.map(at_ms),
    })
    .to_string()
    .into_bytes()
}

/// Depth, customers, and the crashed processes with the time of each crash.
type StoredPart = (u32, BTreeSet<u32>, Vec<(u32, u64, u64)>);

fn decode(value: &[u8]) -> Option<StoredPart> {
    let mut value: Value = serde_json::from_slice(value).ok()?;
    let depth = u32::try_from(value["depth"].as_u64()?).ok()?;
    let customers = serde_json::from_value(value["customers"].take()).ok()?;
    let servers = serde_json::from_value(value["servers"].take()).ok()?;
    Some((depth, customers, servers))
}
