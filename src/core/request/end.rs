//! End of a request: answer, refusal, or a caller that disconnected.

use super::super::effect::{Effect, Meter, Refusal};
use super::super::event::StoredResponse;
use super::super::key::{AttemptKey, RequestKey};
use super::super::{Core, Effects, once, share, stop};
use super::{Phase, millis, note, standby};
use crate::error::{Kind, Ran};

/// Answers a request with the response of a service.
pub fn reply(
    core: &mut Core,
    key: RequestKey,
    result: StoredResponse,
    first: Option<Box<str>>,
    out: &mut Effects,
) {
    out.push(Effect::Reply {
        request: key,
        result,
        first,
    });
    end(core, key, "answered", Ran::Yes, out);
}

/// Refuses a request, unless a silent stream may still go on; the end of one that is not retryable is recorded too.
pub(super) fn give_up(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    if standby::fall_back(core, key, out) {
        return;
    }
    if core.requests.arena[key].retryable {
        refuse(core, key, refusal, out);
    } else {
        core.requests.arena[key].phase = Phase::Saving;
        once::give_up(core, key, refusal, out);
    }
}

/// Answers a request with an error, in place of a complete answer.
pub fn refuse(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    let (outcome, ran) = (refusal.kind.answer().code, refusal.ran);
    note(core, key, refusal.detail.clone());
    out.push(Effect::Refuse {
        request: key,
        refusal,
    });
    end(core, key, outcome, ran, out);
}

pub(super) fn caller_left(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let Some(request) = core.requests.arena.get_mut(key) else {
        return;
    };
    request.caller_left = true;
    // A call that is not retryable continues: the caller will request the result with the same key.
    if !request.retryable && request.phase != Phase::Share {
        note(core, key, "the caller left; the call goes on");
        return;
    }
    if let Some(attempt) = request.attempt {
        out.push(Effect::Cancel(attempt));
        close_attempt(core, attempt, "the caller left", Ran::Unknown);
    }
    share::cancel_wait(core, key);
    let ran = core.requests.arena[key].ran();
    note(core, key, "the caller left");
    end(core, key, Kind::CallerLeft.answer().code, ran, out);
}

pub(super) fn close_attempt(core: &mut Core, key: AttemptKey, how: &str, ran: Ran) {
    let Some(attempt) = core.requests.attempts.remove(key) else {
        return;
    };
    if let Some(prefill) = attempt.prefill {
        core.fleet.remove_work(prefill, attempt.prompt, 0);
        core.fleet.remove_work(attempt.backend, 0, attempt.output);
    } else {
        core.fleet
            .remove_work(attempt.backend, attempt.prompt, attempt.output);
    }
    let request = &mut core.requests.arena[attempt.request];
    request.attempt = request.attempt.filter(|current| *current != key);
    request.standby = request.standby.filter(|standby| *standby != key);
    let ended = millis(core.now.since(request.arrived));
    if let Some(record) = request.record.attempts.get_mut(attempt.place) {
        record.ended = ended;
        record.end = how.into();
        record.ran = Some(ran);
    }
}

/// Ends a request: completes its trace record, settles its share and frees its key.
pub(super) fn end(
    core: &mut Core,
    key: RequestKey,
    outcome: &'static str,
    ran: Ran,
    out: &mut Effects,
) {
    if let Some(attempt) = core.requests.arena[key].attempt {
        close_attempt(core, attempt, outcome, ran);
    }
    standby::release(core, key, outcome, out);
    share::reconcile(core, key, out);
    let now = core.now;
    let Some(mut request) = core.requests.arena.remove(key) else {
        return;
    };
    let lasted = now.since(request.arrived);
    request.record.lasted = millis(lasted);
    request.record.outcome = outcome.into();
    request.record.ran = Some(ran);
    request.record.output = u32::try_from(request.delivered).unwrap_or(u32::MAX);
    out.push(Effect::Meter(Meter::RequestEnded {
        class: request.class,
        customer: request.record.customer.clone(),
        outcome,
        duration: lasted,
    }));
    // Requests with guessed keys must not evict the records of customers.
    if !request.record.customer.is_empty() {
        core.traces.keep(request.record);
    }
    stop::finish_if_idle(core, out);
}
