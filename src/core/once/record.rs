//! The records of a shard, and what they say to a start and to an end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ask;
use crate::core::effect::Effect;
use crate::core::event::{Fingerprint, StoredResponse};
use crate::core::key::{HostKey, ShardKey};
use crate::core::message::{Begin, BeginState, Done, DoneState, Message};
use crate::core::{Core, Effects, trace};

/// Time a record is kept, from the start of its call; hosts' clocks must agree to far less.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Bytes of a shard from which on new calls are refused; a value holds a megabyte.
const MAX_BYTES_FOR_STARTS: usize = 800 * 1024;
/// Bytes of a shard from which on answers are no longer kept, only that the call ran.
const MAX_BYTES_FOR_RESULTS: usize = 900 * 1024;
/// Bytes that a record takes besides its texts and its answer.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Bytes kept free for the end of a call that has started.
const END_RESERVE_BYTES: usize = 192;

/// One recorded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Request that started it.
    pub request: Box<str>,
    /// How far it is.
    pub state: CallState,
    /// When it was recorded; milliseconds since the Unix epoch.
    pub recorded_ms: u64,
}

/// How far a recorded call is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallState {
    /// It was about to be sent.
    Started,
    /// It ended with this answer.
    Done(StoredResponse),
    /// It may have run.
    MayHaveRun,
}

/// Customer and idempotency key.
pub type CallName = (Box<str>, Box<str>);

/// Recorded calls by name.
pub type Calls = BTreeMap<CallName, Call>;

/// Where the host is that serves a request.
enum ServingHost {
    This,
    Peer(HostKey),
    /// It is not registered, or another process has its name.
    Gone,
}

/// Drops records whose time is over.
pub(super) fn expire(calls: &mut Calls, now: u64) {
    let keep = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
    calls.retain(|_, call| call.recorded_ms.saturating_add(keep) > now);
}

/// Looks up a start; returns whether it changed the records, what they say, and the request that
/// first used the key.
pub(super) fn apply_begin(
    core: &mut Core,
    key: ShardKey,
    begin: &Begin,
    out: &mut Effects,
) -> (bool, BeginState, Box<str>) {
    let name = (begin.customer.clone(), begin.key.clone());
    let own = begin.request.clone();
    let now = core.wall_ms();
    let shard = core.once.shards.entry(key).or_default();
    let Some(call) = shard.calls.get(&name) else {
        let size =
            name.0.len() + name.1.len() + own.len() + RECORD_OVERHEAD_BYTES + END_RESERVE_BYTES;
        if shard.bytes + size > MAX_BYTES_FOR_STARTS {
            return (false, BeginState::Full, own);
        }
        shard.bytes += size;
        let call = Call {
            fingerprint: begin.fingerprint,
            request: own.clone(),
            state: CallState::Started,
            recorded_ms: now,
        };
        shard.calls.insert(name, call);
        return (true, BeginState::Started, own);
    };
    let first = call.request.clone();
    let state = match &call.state {
        _ if call.fingerprint != begin.fingerprint => BeginState::OtherBody,
        CallState::Done(result) => BeginState::Done(result.clone()),
        CallState::MayHaveRun => BeginState::MayHaveRun,
        CallState::Started if first == own => BeginState::Started,
        CallState::Started => match serving_host(core, &first) {
            ServingHost::Gone => BeginState::MayHaveRun,
            server => {
                notify_started(core, &server, &first, out);
                BeginState::Running
            }
        },
    };
    (false, state, first)
}

/// Tells the host of a request that its call is recorded as started.
///
/// Where that host has long told its caller "not run", because the answer about the record was
/// lost on the way, it then takes the record back, and the key's next repeat can run.
fn notify_started(core: &mut Core, server: &ServingHost, first: &str, out: &mut Effects) {
    // No question has this number: hosts count from the time of their start.
    let round = 0;
    let request: Box<str> = first.into();
    match *server {
        ServingHost::This => ask::handle_begun(core, round, BeginState::Started, request, out),
        ServingHost::Peer(to) => out.push(Effect::Send {
            to,
            message: Message::Begun {
                round,
                state: BeginState::Started,
                request,
            },
        }),
        ServingHost::Gone => {}
    }
}

/// Returns where the host is that serves a request, in the same life.
fn serving_host(core: &Core, request: &str) -> ServingHost {
    let tag = request.split('-').next().unwrap_or_default();
    let members = &core.members;
    if *trace::process_tag(&members.name, members.incarnation()) == *tag {
        return ServingHost::This;
    }
    let mut peers = members.arena.iter();
    let found = peers.find(|(_, peer)| *trace::process_tag(&peer.name, peer.incarnation) == *tag);
    found.map_or(ServingHost::Gone, |(host, _)| ServingHost::Peer(host))
}

/// Takes in an end; returns whether the shard is to be written for it.
///
/// Ends can come late and more than once. Only a record that is still at "started" is taken back,
/// and a result stands for good: a late "not run" would otherwise let the next repeat run a call
/// that has run.
pub(super) fn apply_done(core: &mut Core, key: ShardKey, done: &Done) -> bool {
    let name = (done.customer.clone(), done.key.clone());
    let shard = core.once.shards.entry(key).or_default();
    let call = shard.calls.get_mut(&name);
    let Some(call) = call.filter(|call| call.request == done.request) else {
        // The start may be recorded all the same: by another owner since this host read the shard,
        // or by a write that is still on its way. Writing the shard as it is tells: it fails in
        // the first case, and makes the other write fail in the second. Without it a call that has
        // ended would be called running for as long as its record lasts.
        return true;
    };
    match &done.outcome {
        _ if matches!(call.state, CallState::Done(_)) => false,
        DoneState::Result(result) => {
            let fits = shard.bytes + result.body.len() + result.content_type.len()
                <= MAX_BYTES_FOR_RESULTS;
            let kept = if fits {
                result.clone()
            } else {
                ask::oversized_placeholder(result.status)
            };
            shard.bytes += kept.body.len() + kept.content_type.len();
            call.state = CallState::Done(kept);
            true
        }
        DoneState::MayHaveRun => {
            let changed = call.state != CallState::MayHaveRun;
            call.state = CallState::MayHaveRun;
            changed
        }
        DoneState::NotRun if call.state == CallState::Started => {
            shard.calls.remove(&name);
            true
        }
        DoneState::NotRun => false,
    }
}
