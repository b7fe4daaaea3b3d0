//! Whether a withdrawn engine is drained: by every host's own confirmation, then by the engine's
//! report.
//!
//! Reports lag, so that a busy engine can look idle, and an order cuts the streams that run there.
//! Hosts count their own streams exactly. The report is checked last, because a host that is
//! counted out after its cut-off bound may still have streams there, which only the engine's report
//! shows.

use std::time::Duration;

use super::name;
use super::route::SentConfirm;
use crate::core::effect::Effect;
use crate::core::event::Report;
use crate::core::fleet::ServingState;
use crate::core::key::{HostKey, PoolKey};
use crate::core::message::{Confirm, Message};
use crate::core::{Core, Effects, Time};

/// Time between two confirmations to the holder while engines are withdrawn.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time added to a host's cut-off bound before the host is counted out.
///
/// Peers that have not yet seen that its registration is gone still send it heartbeats, so that it
/// does not consider itself cut off.
const CUT_OFF_MARGIN: Duration = Duration::from_secs(1);

/// A host's last confirmation about withdrawn engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReceivedConfirm {
    revision: u64,
    streams: Vec<(Box<str>, u32)>,
}

/// State of a withdrawn engine by the hosts' confirmations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DrainState {
    /// No host has a stream there, and none will open one.
    Free,
    /// A host has streams there.
    Busy,
    /// A host has not confirmed that it acts on the withdrawal.
    Unconfirmed,
}

/// Reports to the holder how many streams run here on withdrawn engines.
pub(super) fn send_confirm(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let streams = withdrawn_streams(core, pool);
    if streams.is_empty() {
        return;
    }
    let now = core.now;
    let pool_name = name(core, pool);
    let state = core.orders.pool_mut(pool);
    let revision = state.applied.route.revision;
    let Some(holder) = state.authority.holder().map(Box::<str>::from) else {
        return;
    };
    let Some(to) = core.members.find(&holder) else {
        return;
    };
    let applied = &mut core.orders.pool_mut(pool).applied;
    let last = applied.last_confirm.as_ref();
    if last.is_some_and(|last| {
        last.holder == holder
            && last.revision == revision
            && last.streams == streams
            && now.since(last.at) < CONFIRM_INTERVAL
    }) {
        return;
    }
    applied.last_confirm = Some(SentConfirm {
        holder,
        revision,
        streams: streams.clone(),
        at: now,
    });
    let confirm = Confirm {
        pool: pool_name,
        revision,
        streams,
    };
    let message = Message::Confirm(confirm);
    out.push(Effect::Send { to, message });
}

/// Returns this host's streams on each withdrawn engine of a pool.
fn withdrawn_streams(core: &Core, pool: PoolKey) -> Vec<(Box<str>, u32)> {
    let engines = core.fleet.pools[usize::from(pool.0)].engines.iter();
    let engines = engines.map(|&key| &core.fleet.arena[key]);
    engines
        .filter(|engine| engine.routed == ServingState::Withdrawn)
        .map(|engine| (engine.name.clone(), engine.streams))
        .collect()
}

/// Stores a host's confirmation.
pub(super) fn confirm_received(core: &mut Core, pool: PoolKey, from: HostKey, confirm: &Confirm) {
    let confirm = ReceivedConfirm {
        revision: confirm.revision,
        streams: confirm.streams.clone(),
    };
    core.orders.pool_mut(pool).confirms.insert(from, confirm);
}

/// Returns the state of an engine that is withdrawn since this revision, by the hosts'
/// confirmations.
pub(super) fn drain_state(core: &Core, pool: PoolKey, engine: &str, revision: u64) -> DrainState {
    if !departed_stopped(core) {
        return DrainState::Unconfirmed;
    }
    let own = core.fleet.find(engine).map(|key| &core.fleet.arena[key]);
    let mut busy = own.is_none_or(|engine| engine.streams > 0);
    let state = core.orders.pool(pool);
    for host in core.members.peers() {
        let confirm = state.confirms.get(&host);
        let confirm = confirm.filter(|confirm| confirm.revision >= revision);
        let count =
            confirm.and_then(|confirm| confirm.streams.iter().find(|(name, _)| **name == *engine));
        match count {
            Some((_, count)) => busy |= *count > 0,
            None => return DrainState::Unconfirmed,
        }
    }
    if busy {
        DrainState::Busy
    } else {
        DrainState::Free
    }
}

/// Removes hosts that have been gone for so long that they have stopped taking new work.
pub(super) fn expire_departed(core: &mut Core) {
    let bound = crate::core::member::cut_off_bound(core) + CUT_OFF_MARGIN;
    let now = core.now;
    core.orders.departed.retain(|_, at| now.since(*at) < bound);
}

/// Returns whether every host that is not registered has surely stopped taking new work.
///
/// A host whose registration is gone may be cut off and act on an old routing state; it stops by
/// itself after the cut-off bound. A holder that has only just started, or has missed changes of
/// the registrations, has no record of those that ended before.
pub(super) fn departed_stopped(core: &Core) -> bool {
    let bound = crate::core::member::cut_off_bound(core) + CUT_OFF_MARGIN;
    let old = |at: &Time| core.now.since(*at) >= bound;
    core.orders.known_since.as_ref().is_some_and(old) && core.orders.departed.values().all(old)
}

/// Returns an engine's report and the time that it describes, in milliseconds, by the age that the
/// report states.
pub(super) fn report<'a>(core: &'a Core, engine: &str) -> Option<(u64, &'a Report)> {
    let engine = &core.fleet.arena[core.fleet.find(engine)?];
    let (read, report) = engine.report.as_ref()?;
    Some((read.millis().saturating_sub(report.age_ms.into()), report))
}
