//! The records of a shard, and how starts and ends of calls change them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ask;
use crate::core::effect::Effect;
use crate::core::event::{Fingerprint, StoredResponse};
use crate::core::key::{HostKey, ShardKey};
use crate::core::message::{Begin, BeginState, Done, DoneState, Message};
use crate::core::{Core, Effects, trace};

/// Time a record is kept, from the start of its call; the clocks of hosts must differ by far less.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Shard size above which new calls are refused; a value in the store holds at most 1 MB.
const MAX_BYTES_FOR_STARTS: usize = 800 * 1024;
/// Shard size above which responses are no longer kept, only that the call ran.
const MAX_BYTES_FOR_RESULTS: usize = 900 * 1024;
/// Size of a record besides its strings and its response.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Bytes reserved for the end of a started call.
const END_RESERVE_BYTES: usize = 192;

/// One recorded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Id of the request that started it.
    pub request: Box<str>,
    /// State.
    pub state: CallState,
    /// When its start was recorded; milliseconds since the Unix epoch.
    pub recorded_ms: u64,
}

/// State of a recorded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallState {
    /// Recorded before it is sent to a backend server; it may be running.
    Started,
    /// It ended with this response.
    Done(StoredResponse),
    /// It may have run.
    MayHaveRun,
}

/// Customer and idempotency key.
pub type CallName = (Box<str>, Box<str>);

/// Recorded calls by name.
pub type Calls = BTreeMap<CallName, Call>;

/// The host that serves a request.
enum ServingHost {
    This,
    Peer(HostKey),
    /// It is not registered, or another process is registered under its name.
    Gone,
}

/// Drops expired records.
pub(super) fn expire(calls: &mut Calls, now: u64) {
    let keep = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
    calls.retain(|_, call| call.recorded_ms.saturating_add(keep) > now);
}

/// Applies a start; returns whether it changed the records, the resulting state, and the request
/// that first used the key.
pub(super) fn apply_begin(
    core: &mut Core,
    key: ShardKey,
    begin: &Begin,
    out: &mut Effects,
) -> (bool, BeginState, Box<str>) {
    let name = (begin.customer.clone(), begin.key.clone());
    let request = begin.request.clone();
    let now = core.wall_ms();
    let shard = core.once.shards.entry(key).or_default();
    let Some(call) = shard.calls.get(&name) else {
        let size =
            name.0.len() + name.1.len() + request.len() + RECORD_OVERHEAD_BYTES + END_RESERVE_BYTES;
        if shard.bytes + size > MAX_BYTES_FOR_STARTS {
            return (false, BeginState::Full, request);
        }
        shard.bytes += size;
        let call = Call {
            fingerprint: begin.fingerprint,
            request: request.clone(),
            state: CallState::Started,
            recorded_ms: now,
        };
        shard.calls.insert(name, call);
        return (true, BeginState::Started, request);
    };
    let first = call.request.clone();
    let state = match &call.state {
        _ if call.fingerprint != begin.fingerprint => BeginState::OtherBody,
        CallState::Done(result) => BeginState::Done(result.clone()),
        CallState::MayHaveRun => BeginState::MayHaveRun,
        CallState::Started if first == request => BeginState::Started,
        CallState::Started => match serving_host(core, &first) {
            ServingHost::Gone => BeginState::MayHaveRun,
            host => {
                notify_started(core, &host, &first, out);
                BeginState::Running
            }
        },
    };
    (false, state, first)
}

/// Notifies the host that serves a request that its call is recorded as started.
///
/// If that host has answered "not run" to its caller, because the answer about the record was
/// lost, it then removes the record, and the next retry with the key can run.
fn notify_started(core: &mut Core, host: &ServingHost, first: &str, out: &mut Effects) {
    // No operation has this number: round numbers start from the time of the process start.
    let round = 0;
    let request: Box<str> = first.into();
    match *host {
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

/// Returns the host process that serves a request, by the tag in the request id.
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

/// Applies an end; returns whether the shard must be written for it.
///
/// Ends can arrive late and more than once. Only a record that is still at "started" is removed,
/// and a recorded result is final: otherwise a late "not run" would let the next retry run a call
/// that has already run.
pub(super) fn apply_done(core: &mut Core, key: ShardKey, done: &Done) -> bool {
    let name = (done.customer.clone(), done.key.clone());
    let shard = core.once.shards.entry(key).or_default();
    let call = shard.calls.get_mut(&name);
    let Some(call) = call.filter(|call| call.request == done.request) else {
        // The start may still be recorded: by another owner since this host read the shard, or by
        // a write that is in flight. Writing the shard unchanged settles this: the write fails in
        // the first case, and makes the other write fail in the second. Without it, a call that
        // has ended would be reported as running until its record expires.
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
