//! Requester side of at-most-once records: the host that serves a request submits operations to
//! shard owners and answers the caller.

use std::time::Duration;

use super::owner::{self, QueuedOp};
use super::{PendingOp, RecordOp, SWEEP_INTERVAL, remote_owner, schedule_check};
use crate::core::effect::{Effect, Refusal};
use crate::core::event::StoredResponse;
use crate::core::key::{HostKey, RequestKey};
use crate::core::message::{Begin, BeginState, Done, DoneState};
use crate::core::request::{self, Phase};
use crate::core::{Core, Effects, stop, trace};
use crate::error::{Kind, NOT_RUN_STATUSES, Ran};

/// Largest response body kept with a record; a larger one reaches the first caller only, and
/// retries get a placeholder.
const MAX_RESULT_BYTES: usize = 16 * 1024;
/// Time a caller waits for its call's start or end to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks of pending operations.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which an operation is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of pending operations; beyond it new calls are refused, since a pending
/// operation must not be dropped.
const MAX_PENDING_OPS: usize = 4096;
/// Media type of the placeholder for a response that is too large to keep.
const PROBLEM_MEDIA: &str = "application/problem+json";

/// Requests the record that a call starts.
pub fn begin(core: &mut Core, key: RequestKey, out: &mut Effects) {
    if core.once.pending.len() >= MAX_PENDING_OPS {
        let detail = "too many records are on their way to the key-value service";
        request::refuse(core, key, Refusal::new(Kind::StoreDown, detail), out);
        return;
    }
    let round = next_round(core);
    let request = &core.requests.arena[key];
    let op = RecordOp::Begin(Begin {
        round,
        customer: request.record.customer.clone(),
        key: request.idempotency_key.clone().unwrap_or_default(),
        fingerprint: request.fingerprint,
        request: request.record.id.clone(),
    });
    submit(core, round, Some(key), op, out);
}

/// Requests the record of a call's response; the caller is answered when it is stored.
pub fn finish(core: &mut Core, key: RequestKey, result: StoredResponse, out: &mut Effects) {
    let kept = if result.body.len() > MAX_RESULT_BYTES {
        oversized_placeholder(result.status)
    } else {
        result.clone()
    };
    core.requests.arena[key].result = Some(result);
    record_end(core, key, DoneState::Result(kept), out);
}

/// Returns the placeholder for a response that is too large to keep.
pub(super) fn oversized_placeholder(status: u16) -> StoredResponse {
    let text = "{\"title\":\"The call ran; its answer was too long to be kept for a repeat.\"}";
    StoredResponse {
        status,
        content_type: PROBLEM_MEDIA.into(),
        body: text.as_bytes().into(),
    }
}

/// Requests the record that a call was given up, then refuses it.
pub fn give_up(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    let outcome = match refusal.ran {
        Ran::No => DoneState::NotRun,
        Ran::Yes | Ran::Unknown => DoneState::MayHaveRun,
    };
    record_end(core, key, outcome, out);
    // The refusal does not wait for the record: whether or not it is stored, this host does not run
    // the call again, and a record that stays at "started" only causes retries to be refused.
    request::refuse(core, key, refusal, out);
}

fn record_end(core: &mut Core, key: RequestKey, outcome: DoneState, out: &mut Effects) {
    let round = next_round(core);
    let request = &core.requests.arena[key];
    let op = RecordOp::Done(Done {
        round,
        customer: request.record.customer.clone(),
        key: request.idempotency_key.clone().unwrap_or_default(),
        request: request.record.id.clone(),
        outcome,
    });
    submit(core, round, Some(key), op, out);
}

/// Removes the start record of a request that ended without having been sent.
///
/// A start can be recorded although its caller received "not run": the answer of the write or of
/// the owner was lost or late. Such a record would refuse every retry for a day. This host's own
/// trace record shows whether the request was ever sent; if it was evicted, nothing is done.
fn release_start(core: &mut Core, id: &str, out: &mut Effects) {
    let Some(record) = core.traces.own(id) else {
        return;
    };
    // The outcome may be that of another request with the same key; only its own attempts count.
    let mut attempts = record.attempts.iter();
    let unsent = attempts.all(|attempt| attempt.ran == Some(Ran::No));
    if record.outcome.is_empty() || !unsent {
        return;
    }
    let (customer, key) = (record.customer.clone(), record.key.clone());
    let mut pending = core.once.pending.values();
    if pending.any(|pending| matches!(&pending.op, RecordOp::Done(done) if *done.request == *id)) {
        return;
    }
    let round = next_round(core);
    let op = RecordOp::Done(Done {
        round,
        customer,
        key,
        request: id.into(),
        outcome: DoneState::NotRun,
    });
    submit(core, round, None, op, out);
}

fn next_round(core: &mut Core) -> u64 {
    core.once.last_round += 1;
    core.once.last_round
}

fn submit(
    core: &mut Core,
    round: u64,
    request: Option<RequestKey>,
    op: RecordOp,
    out: &mut Effects,
) {
    let pending = PendingOp {
        request,
        op,
        since: core.now,
        last_sent: core.now,
        sends: 0,
        owner: None,
    };
    core.once.pending.insert(round, pending);
    send_op(core, round, out);
    schedule_check(core, CHECK_INTERVAL, out);
}

/// Sends an operation to the owner of its shard by the current view.
fn send_op(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(shard) = core
        .once
        .pending
        .get(&round)
        .map(|pending| pending.op.shard())
    else {
        return;
    };
    let owner = remote_owner(core, shard);
    let Some(pending) = core.once.pending.get_mut(&round) else {
        return;
    };
    pending.owner = owner;
    pending.last_sent = core.now;
    pending.sends += 1;
    let op = pending.op.clone();
    match owner {
        Some(to) => out.push(Effect::Send {
            to,
            message: op.message(),
        }),
        None => owner::enqueue(core, QueuedOp { from: None, op }, out),
    }
}

/// Resends unanswered operations, handles those that timed out, and unloads unused shards.
pub fn timer(core: &mut Core, out: &mut Effects) {
    if core.once.next_check.is_some_and(|check| core.now < check) {
        return;
    }
    core.once.next_check = None;
    let rounds: Vec<u64> = core.once.pending.keys().copied().collect();
    for round in rounds {
        let Some(pending) = core.once.pending.get(&round) else {
            continue;
        };
        if core.now.since(pending.since) >= RECORD_TIMEOUT {
            op_timed_out(core, round, out);
        } else if core.now.since(pending.last_sent) >= RESEND_INTERVAL {
            send_op(core, round, out);
        }
    }
    owner::sweep(core);
    if !core.once.pending.is_empty() {
        schedule_check(core, CHECK_INTERVAL, out);
    } else if !core.once.shards.is_empty() {
        schedule_check(core, SWEEP_INTERVAL, out);
    }
}

/// Handles an operation that its owner did not answer in time.
fn op_timed_out(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(pending) = core.once.pending.get_mut(&round) else {
        return;
    };
    match &pending.op {
        RecordOp::Begin(_) => {
            let detail = "the start of the call could not be recorded in time";
            refuse_start(core, round, detail, out);
        }
        // The caller gets its response; the record is sent again until it is stored.
        RecordOp::Done(_) => {
            pending.since = core.now;
            if let Some(key) = pending.request.take() {
                deliver_result(core, key, out);
            }
            send_op(core, round, out);
        }
    }
}

/// Refuses a call whose start is not confirmed as recorded, and removes the record that may exist.
fn refuse_start(core: &mut Core, round: u64, detail: &str, out: &mut Effects) {
    let Some(pending) = core.once.pending.remove(&round) else {
        return;
    };
    if let Some(key) = pending.request.filter(|key| is_starting(core, *key)) {
        request::refuse(core, key, Refusal::new(Kind::StoreDown, detail), out);
    }
    if let RecordOp::Begin(begin) = pending.op {
        release_start(core, &begin.request, out);
    }
}

fn is_starting(core: &Core, key: RequestKey) -> bool {
    let request = core.requests.arena.get(key);
    request.is_some_and(|request| request.phase == Phase::Starting)
}

/// Sends operations that are pending at a disconnected peer again, by the current view.
pub fn peer_down(core: &mut Core, host: HostKey, out: &mut Effects) {
    resend_matching(core, |pending| pending.owner == Some(host), out);
}

/// Drops shards that another host owns by the new view, and sends this host's operations on them
/// to the new owners.
pub fn view_changed(core: &mut Core, out: &mut Effects) {
    owner::drop_moved_shards(core, out);
    resend_matching(core, |pending| pending.owner.is_none(), out);
}

fn resend_matching(core: &mut Core, which: impl Fn(&PendingOp) -> bool, out: &mut Effects) {
    let pending = core.once.pending.iter();
    let pending = pending.filter(|(_, pending)| which(pending));
    let rounds: Vec<u64> = pending.map(|(round, _)| *round).collect();
    for round in rounds {
        send_op(core, round, out);
    }
}

/// Handles an owner's answer about a start.
pub fn handle_begun(
    core: &mut Core,
    round: u64,
    state: BeginState,
    first: Box<str>,
    out: &mut Effects,
) {
    let Some(pending) = core.once.pending.get(&round) else {
        // The operation was given up before its answer came, or an owner met a start record of
        // this host's on behalf of another request (round 0).
        if state == BeginState::Started {
            release_start(core, &first, out);
        }
        return;
    };
    let RecordOp::Begin(begin) = &pending.op else {
        return;
    };
    let sent_once = pending.sends == 1;
    match state {
        // Sent again by the next checks, until this host's view and the peer's agree.
        BeginState::NotOwner => {}
        BeginState::Started if first != begin.request => {}
        // An answer handled this late means that this host was suspended in between; the record may
        // have changed since.
        BeginState::Started if core.now.since(pending.since) >= RECORD_TIMEOUT => {
            refuse_start(
                core,
                round,
                "the start of the call was recorded too late",
                out,
            );
        }
        BeginState::StoreDown if sent_once => {
            if let Some(key) = pending.request.filter(|key| is_starting(core, *key)) {
                let refusal = refusal(&BeginState::StoreDown, &first);
                request::refuse(core, key, refusal, out);
            }
            core.once.pending.remove(&round);
        }
        BeginState::StoreDown | BeginState::Unclear => {
            let detail = "the key-value service does not answer";
            refuse_start(core, round, detail, out);
        }
        state => apply_state(core, round, state, first, out),
    }
    stop::finish_if_idle(core, out);
}

/// Continues a call according to the state of its record.
fn apply_state(core: &mut Core, round: u64, state: BeginState, first: Box<str>, out: &mut Effects) {
    let pending = core.once.pending.remove(&round);
    let key = pending.and_then(|pending| pending.request);
    let Some(key) = key.filter(|key| is_starting(core, *key)) else {
        return;
    };
    match state {
        BeginState::Started => {
            core.requests.arena[key].phase = Phase::Running;
            request::note(core, key, trace::RECORDED_NOTE);
            request::dispatch(core, key, out);
        }
        // Hosts of earlier versions kept a service's refusals as results.
        BeginState::Done(result) if NOT_RUN_STATUSES.contains(&result.status) => {
            let refusal = refusal(&BeginState::MayHaveRun, &first);
            request::refuse(core, key, refusal, out);
        }
        BeginState::Done(result) => {
            let text = format!("ran before as {first}; its answer is repeated");
            request::note(core, key, text);
            request::reply(core, key, result, Some(first), out);
        }
        state => request::refuse(core, key, refusal(&state, &first), out),
    }
}

/// Returns the refusal for a call that must not run.
fn refusal(state: &BeginState, first: &str) -> Refusal {
    match state {
        // The first request may still be given up before it is sent, so `ran` is unknown.
        BeginState::Running => {
            Refusal::new(Kind::StillRunning, format!("it runs as {first}")).with_ran(Ran::Unknown)
        }
        BeginState::MayHaveRun => {
            Refusal::new(Kind::MayHaveRun, format!("{first} may have run it"))
        }
        BeginState::OtherBody => {
            Refusal::new(Kind::KeyReused, format!("the key belongs to {first}"))
        }
        BeginState::Full => Refusal::new(Kind::RecordsFull, "the shard of this key is full"),
        BeginState::Started
        | BeginState::Done(_)
        | BeginState::StoreDown
        | BeginState::Unclear
        | BeginState::NotOwner => {
            Refusal::new(Kind::StoreDown, "the key-value service does not answer")
        }
    }
}

/// Handles an owner's answer about an end.
pub fn handle_recorded(core: &mut Core, round: u64, durable: bool, out: &mut Effects) {
    if !durable {
        return;
    }
    let pending = core.once.pending.remove(&round);
    if let Some(key) = pending.and_then(|pending| pending.request) {
        deliver_result(core, key, out);
    }
    stop::finish_if_idle(core, out);
}

/// Sends the caller the response that waited for its record.
fn deliver_result(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = core.requests.arena.get_mut(key);
    if let Some(result) = request.and_then(|request| request.result.take()) {
        request::reply(core, key, result, None, out);
    }
}
