//! The side of the host that serves a request: asks owners for records, and answers callers.

use std::time::Duration;

use super::owner::{self, QueuedOp};
use super::{PendingOp, RecordOp, SWEEP_INTERVAL, remote_owner, schedule_check};
use crate::core::effect::{Effect, Refusal};
use crate::core::event::StoredResponse;
use crate::core::key::{HostKey, RequestKey};
use crate::core::message::{Begin, BeginState, Done, DoneState};
use crate::core::request::{self, Phase};
use crate::core::{Core, Effects, stop, trace};
use crate::error::{Kind, Ran};

/// Largest answer kept with a record; a longer one is answered once and then only named.
const MAX_RESULT_BYTES: usize = 16 * 1024;
/// Time a caller waits for the record of its call's start or end.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at questions that wait for an owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time until a question is put again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Most questions on their way; beyond it new calls are refused, for none may be forgotten.
const MAX_PENDING_OPS: usize = 4096;
/// Media type of the note that stands for an answer too long to keep.
const PROBLEM_MEDIA: &str = "application/problem+json";

/// Asks for the record that a call starts.
pub fn begin(core: &mut Core, key: RequestKey, out: &mut Effects) {
    if core.once.pending.len() >= MAX_PENDING_OPS {
        let detail = "too many records are on their way to the key-value service";
        request::refuse(core, key, Refusal::new(Kind::StoreDown, detail), out);
        return;
    }
    let round = next_round(core);
    let request = &core.requests.arena[key];
    let wish = RecordOp::Begin(Begin {
        round,
        customer: request.record.customer.clone(),
        key: request.idempotency_key.clone().unwrap_or_default(),
        fingerprint: request.fingerprint,
        request: request.record.id.clone(),
    });
    submit(core, round, Some(key), wish, out);
}

/// Asks for the record of a call's answer; the caller is answered once it is kept.
pub fn finish(core: &mut Core, key: RequestKey, result: StoredResponse, out: &mut Effects) {
    let kept = if result.body.len() > MAX_RESULT_BYTES {
        oversized_placeholder(result.status)
    } else {
        result.clone()
    };
    core.requests.arena[key].result = Some(result);
    record_end(core, key, DoneState::Result(kept), out);
}

/// Returns the note that stands for an answer too long to keep.
pub(super) fn oversized_placeholder(status: u16) -> StoredResponse {
    let text = "{\"title\":\"The call ran; its answer was too long to be kept for a repeat.\"}";
    StoredResponse {
        status,
        content_type: PROBLEM_MEDIA.into(),
        body: text.as_bytes().into(),
    }
}

/// Asks for the record that a call was given up, then refuses it.
pub fn give_up(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    let outcome = match refusal.ran {
        Ran::No => DoneState::NotRun,
        Ran::Yes | Ran::Unknown => DoneState::MayHaveRun,
    };
    record_end(core, key, outcome, out);
    // The final answer does not wait for the record: whatever becomes of it, this host will not
    // run the call again, and a record left at "started" only refuses repeats.
    request::refuse(core, key, refusal, out);
}

fn record_end(core: &mut Core, key: RequestKey, outcome: DoneState, out: &mut Effects) {
    let round = next_round(core);
    let request = &core.requests.arena[key];
    let wish = RecordOp::Done(Done {
        round,
        customer: request.record.customer.clone(),
        key: request.idempotency_key.clone().unwrap_or_default(),
        request: request.record.id.clone(),
        outcome,
    });
    submit(core, round, Some(key), wish, out);
}

/// Takes back the record of a request that ended without having been sent.
///
/// A start can be recorded although its caller was told "not run": the answer of the write, or of
/// the owner, was lost or late. The record would refuse every repeat for a day. This host's own
/// explanation tells whether the request was ever sent; where that is forgotten nothing is done.
fn release_start(core: &mut Core, id: &str, out: &mut Effects) {
    let Some(record) = core.traces.own(id) else {
        return;
    };
    // Its outcome may be that of another request with its key; what counts is what it sent itself.
    let mut attempts = record.attempts.iter();
    let unsent = attempts.all(|attempt| attempt.ran == Some(Ran::No));
    if record.outcome.is_empty() || !unsent {
        return;
    }
    let (customer, key) = (record.customer.clone(), record.key.clone());
    let mut asked = core.once.pending.values();
    if asked.any(|asked| matches!(&asked.op, RecordOp::Done(done) if *done.request == *id)) {
        return;
    }
    let round = next_round(core);
    let wish = RecordOp::Done(Done {
        round,
        customer,
        key,
        request: id.into(),
        outcome: DoneState::NotRun,
    });
    submit(core, round, None, wish, out);
}

fn next_round(core: &mut Core) -> u64 {
    core.once.last_round += 1;
    core.once.last_round
}

fn submit(
    core: &mut Core,
    round: u64,
    request: Option<RequestKey>,
    wish: RecordOp,
    out: &mut Effects,
) {
    let asked = PendingOp {
        request,
        op: wish,
        since: core.now,
        last_sent: core.now,
        sends: 0,
        owner: None,
    };
    core.once.pending.insert(round, asked);
    send_op(core, round, out);
    schedule_check(core, CHECK_INTERVAL, out);
}

/// Puts a question to the shard's owner by the present view.
fn send_op(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(shard) = core.once.pending.get(&round).map(|asked| asked.op.shard()) else {
        return;
    };
    let to = remote_owner(core, shard);
    let Some(asked) = core.once.pending.get_mut(&round) else {
        return;
    };
    asked.owner = to;
    asked.last_sent = core.now;
    asked.sends += 1;
    let wish = asked.op.clone();
    match to {
        Some(to) => out.push(Effect::Send {
            to,
            message: wish.message(),
        }),
        None => owner::enqueue(
            core,
            QueuedOp {
                from: None,
                op: wish,
            },
            out,
        ),
    }
}

/// Puts questions again that have waited, gives up those that waited too long, and unloads shards.
pub fn timer(core: &mut Core, out: &mut Effects) {
    if core.once.next_check.is_some_and(|look| core.now < look) {
        return;
    }
    core.once.next_check = None;
    let rounds: Vec<u64> = core.once.pending.keys().copied().collect();
    for round in rounds {
        let Some(asked) = core.once.pending.get(&round) else {
            continue;
        };
        if core.now.since(asked.since) >= RECORD_TIMEOUT {
            op_timed_out(core, round, out);
        } else if core.now.since(asked.last_sent) >= RESEND_INTERVAL {
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

/// The owner did not answer in time.
fn op_timed_out(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(asked) = core.once.pending.get_mut(&round) else {
        return;
    };
    match &asked.op {
        RecordOp::Begin(_) => {
            let detail = "the start of the call could not be recorded in time";
            refuse_start(core, round, detail, out);
        }
        // The caller gets its answer; the record is put again until it is kept.
        RecordOp::Done(_) => {
            asked.since = core.now;
            if let Some(key) = asked.request.take() {
                deliver_result(core, key, out);
            }
            send_op(core, round, out);
        }
    }
}

/// Refuses a call whose start is not known to be recorded, and takes back what may be.
fn refuse_start(core: &mut Core, round: u64, detail: &str, out: &mut Effects) {
    let Some(asked) = core.once.pending.remove(&round) else {
        return;
    };
    if let Some(key) = asked.request.filter(|key| is_starting(core, *key)) {
        request::refuse(core, key, Refusal::new(Kind::StoreDown, detail), out);
    }
    if let RecordOp::Begin(begin) = asked.op {
        release_start(core, &begin.request, out);
    }
}

fn is_starting(core: &Core, key: RequestKey) -> bool {
    let request = core.requests.arena.get(key);
    request.is_some_and(|request| request.phase == Phase::Starting)
}

/// A peer is gone: questions to it are put again to whom its shards fall.
pub fn peer_down(core: &mut Core, host: HostKey, out: &mut Effects) {
    resend_matching(core, |asked| asked.owner == Some(host), out);
}

/// The view changed: shards that fall to another host are given up, and questions are put again.
pub fn view_changed(core: &mut Core, out: &mut Effects) {
    owner::drop_moved_shards(core, out);
    resend_matching(core, |asked| asked.owner.is_none(), out);
}

fn resend_matching(core: &mut Core, which: impl Fn(&PendingOp) -> bool, out: &mut Effects) {
    let asked = core.once.pending.iter();
    let asked = asked.filter(|(_, asked)| which(asked));
    let rounds: Vec<u64> = asked.map(|(round, _)| *round).collect();
    for round in rounds {
        send_op(core, round, out);
    }
}

/// The owner answered about a start.
pub fn handle_begun(
    core: &mut Core,
    round: u64,
    state: BeginState,
    first: Box<str>,
    out: &mut Effects,
) {
    let Some(asked) = core.once.pending.get(&round) else {
        // The question was given up before its answer came, or an owner wonders about a record.
        if state == BeginState::Started {
            release_start(core, &first, out);
        }
        return;
    };
    let RecordOp::Begin(begin) = &asked.op else {
        return;
    };
    let once = asked.sends == 1;
    match state {
        // Put again at the next look, when this view or the peer's has caught up.
        BeginState::NotOwner => {}
        BeginState::Started if first != begin.request => {}
        // A host that was suspended in between has no idea what happened meanwhile.
        BeginState::Started if core.now.since(asked.since) >= RECORD_TIMEOUT => {
            refuse_start(
                core,
                round,
                "the start of the call was recorded too late",
                out,
            );
        }
        BeginState::StoreDown if once => {
            if let Some(key) = asked.request.filter(|key| is_starting(core, *key)) {
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

/// Goes on with a call whose record is known.
fn apply_state(core: &mut Core, round: u64, state: BeginState, first: Box<str>, out: &mut Effects) {
    let asked = core.once.pending.remove(&round);
    let key = asked.and_then(|asked| asked.request);
    let Some(key) = key.filter(|key| is_starting(core, *key)) else {
        return;
    };
    match state {
        BeginState::Started => {
            core.requests.arena[key].phase = Phase::Running;
            request::note(core, key, trace::RECORDED_NOTE);
            request::dispatch(core, key, out);
        }
        BeginState::Done(result) => {
            let text = format!("ran before as {first}; its answer is repeated");
            request::note(core, key, text);
            request::reply(core, key, result, Some(first), out);
        }
        state => request::refuse(core, key, refusal(&state, &first), out),
    }
}

/// Returns the refusal for a call that is not to run.
fn refusal(state: &BeginState, first: &str) -> Refusal {
    match state {
        // The first request may still be given up before it is sent.
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

/// The owner answered about an end.
pub fn handle_recorded(core: &mut Core, round: u64, durable: bool, out: &mut Effects) {
    if !durable {
        return;
    }
    let asked = core.once.pending.remove(&round);
    if let Some(key) = asked.and_then(|asked| asked.request) {
        deliver_result(core, key, out);
    }
    stop::finish_if_idle(core, out);
}

/// Gives the caller the answer of its call.
fn deliver_result(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = core.requests.arena.get_mut(key);
    if let Some(result) = request.and_then(|request| request.result.take()) {
        request::reply(core, key, result, None, out);
    }
}
