//! Attempts that end without a complete answer: resumed, retried elsewhere, or given up.

use std::time::Duration;

use super::super::effect::{Effect, Meter, Refusal, log_event};
use super::super::event::{AttemptFailure, RequestSpec, Timer};
use super::super::key::{AttemptKey, BackendKey, RequestKey};
use super::super::route::Choice;
use super::super::{Core, Effects, poison};
use super::attempt::{dispatch, open_attempt, pause};
use super::end::{close_attempt, give_up, refuse};
use super::{Flow, millis, note, standby};
use crate::error::{Kind, Ran};

/// Maximum number of attempts at one request, not counting resumed streams.
const MAX_TRIES: u8 = 4;
/// Maximum number of times that a stream is resumed at the same engine.
const MAX_RESUMES: u8 = 2;
/// Delay between the failure of an engine and the retry at another one.
///
/// The request may have crashed the engine. Another host may have lost an engine to it at the same
/// time, and the report of that host may still be in flight.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Handles the end of an attempt without a complete answer: resumes it, retries elsewhere, or gives
/// the request up.
pub(super) fn attempt_failed(
    core: &mut Core,
    key: AttemptKey,
    ran: Ran,
    cause: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    // Until the prefill is done, a failure is attributed to the prefill engine.
    let (backend, split) = match attempt.prefill {
        Some(prefill) => (prefill, true),
        None => (attempt.backend, false),
    };
    let (request, label) = (attempt.request, attempt.label.clone());
    if cause == AttemptFailure::Foreign {
        note_foreign(core, request, backend, &label, out);
    }
    if standby::is_standby(core, key) {
        // The other attempt is under way.
        out.push(Effect::Cancel(key));
        close_attempt(core, key, detail, ran);
        return;
    }
    if cause == AttemptFailure::Silent && !split && !attempt.has_waited {
        standby::keep(core, key, out);
    } else {
        out.push(Effect::Cancel(key));
        close_attempt(core, key, detail, ran);
    }
    let entry = &mut core.requests.arena[request];
    if matches!(entry.want, RequestSpec::Service(_)) {
        core.fleet.record_failure(backend, core.now);
        service_failed(core, request, backend, ran, cause, detail, out);
        return;
    }
    if cause == AttemptFailure::Rejected {
        let refusal = Refusal::new(Kind::Malformed, detail).with_ran(ran);
        refuse(core, request, refusal, out);
        return;
    }
    if matches!(cause, AttemptFailure::Cut | AttemptFailure::Silent)
        && entry.resumes < MAX_RESUMES
        && !split
    {
        entry.resumes += 1;
        entry.last_break = Some(cause);
        note(
            core,
            request,
            format!("{detail}; resumed at the same engine"),
        );
        resume(core, request, backend, label, out);
        return;
    }
    if cause == AttemptFailure::Forgotten {
        core.fleet.record_success(backend);
    } else {
        // What ended the engine may be a request of another host.
        if cause == AttemptFailure::Unreachable || split && cause == AttemptFailure::Cut {
            poison::record_loss(core, backend);
        }
        core.fleet.record_failure(backend, core.now);
    }
    let entry = &mut core.requests.arena[request];
    // The engine closed this stream and now does not answer or does not know the attempt: it
    // crashed while running it. After a silence the same only shows that the connection or the
    // network was lost.
    let gone = matches!(
        cause,
        AttemptFailure::Unreachable | AttemptFailure::Forgotten
    );
    // A prefill for another engine cannot be resumed, so a closed connection counts as a crash.
    let crashed = gone && entry.last_break == Some(AttemptFailure::Cut)
        || split && cause == AttemptFailure::Cut;
    if crashed || cause != AttemptFailure::Forgotten {
        entry.avoid.push(backend);
    }
    entry.resumes = 0;
    entry.last_break = None;
    if crashed {
        poison::report_crash(core, request, backend, out);
    }
    let delay = match cause {
        AttemptFailure::Refused | AttemptFailure::Forgotten if !crashed => Duration::ZERO,
        _ => RETRY_DELAY,
    };
    retry(core, request, detail, Kind::EngineFailed, delay, out);
}

/// Logs and counts a response that belongs to another request.
fn note_foreign(
    core: &Core,
    request: RequestKey,
    backend: BackendKey,
    label: &str,
    out: &mut Effects,
) {
    let reader = match core.requests.arena[request].want {
        RequestSpec::Model(_) => "engine",
        RequestSpec::Service(_) => "service",
    };
    out.push(Effect::Meter(Meter::ForeignResponse { reader }));
    let backend = core.fleet.arena.get(backend);
    let name = backend.map(|backend| &*backend.name).unwrap_or_default();
    let text = format!("{label}: the response of {name} belongs to another request");
    out.push(log_event(log::Level::Warn, "response.foreign", text));
}

pub(super) fn resume(
    core: &mut Core,
    request: RequestKey,
    backend: BackendKey,
    label: Box<str>,
    out: &mut Effects,
) {
    if core.fleet.arena.contains_key(backend) {
        open_attempt(core, request, Choice::whole(backend), Some(label), out);
    } else {
        dispatch(core, request, out);
    }
}

/// Retries elsewhere if the attempt limit and the retry budget allow, and gives the request up
/// otherwise.
pub(super) fn retry(
    core: &mut Core,
    key: RequestKey,
    detail: &str,
    kind: Kind,
    delay: Duration,
    out: &mut Effects,
) {
    let request = &core.requests.arena[key];
    let ran = request.ran();
    if request.tries >= MAX_TRIES {
        let refusal = Refusal::new(kind, format!("{detail}; no try is left")).with_ran(ran);
        give_up(core, key, refusal, out);
    } else if core.requests.take_retry() {
        let class = core.requests.arena[key].class.clone();
        out.push(Effect::Meter(Meter::Retried { class }));
        note(core, key, format!("{detail}; tried elsewhere"));
        if delay.is_zero() {
            dispatch(core, key, out);
        } else {
            pause(core, key, core.now.after(delay), out);
        }
    } else {
        let refusal =
            Refusal::new(kind, format!("{detail}; too many repeats just now")).with_ran(ran);
        give_up(core, key, refusal, out);
    }
}

/// Handles a service's refusal that does not state whether the call ran.
///
/// Callers would read its status as "did not run".
pub(super) fn unstated_refusal(core: &mut Core, key: AttemptKey, status: u16, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let (request, backend) = (attempt.request, attempt.backend);
    let detail = format!("the service answered {status} and did not state whether the call ran");
    close_attempt(core, key, &detail, Ran::Unknown);
    let cause = AttemptFailure::Refused;
    service_failed(core, request, backend, Ran::Unknown, cause, &detail, out);
}

fn service_failed(
    core: &mut Core,
    key: RequestKey,
    backend: BackendKey,
    ran: Ran,
    cause: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let request = &mut core.requests.arena[key];
    request.avoid.push(backend);
    let kind = match cause {
        AttemptFailure::Refused if ran != Ran::No => Kind::ServiceFailed,
        AttemptFailure::Unreachable | AttemptFailure::NoDescriptor | AttemptFailure::Refused => {
            Kind::ServiceDown
        }
        AttemptFailure::Cut
        | AttemptFailure::Foreign
        | AttemptFailure::Silent
        | AttemptFailure::Forgotten
        | AttemptFailure::Rejected => Kind::ServiceFailed,
    };
    if ran == Ran::No || request.retryable {
        retry(core, key, detail, kind, Duration::ZERO, out);
    } else {
        let refusal = Refusal::new(kind, detail).with_ran(ran);
        give_up(core, key, refusal, out);
    }
}

/// Checks whether an attempt has delivered no data for too long.
///
/// A middlebox can lose the state of a connection, which then stays open without any data while new
/// ones work. The caller would wait forever; a new connection resumes the stream where it stopped.
pub(super) fn check_silence(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    if standby::is_standby(core, key) {
        return;
    }
    let limits = &core.settings.limits;
    let bound = if attempt.has_tokens {
        limits.token_gap_timeout
    } else {
        limits.first_token_timeout
    };
    let last = match attempt.flow {
        Flow::Open => attempt.last_progress,
        Flow::Paused => core.now,
    };
    let due = last.after(bound);
    if due > core.now {
        out.push(Effect::SetTimer {
            at: due,
            timer: Timer::Silence(key),
        });
        return;
    }
    let detail = format!(
        "silent for {} ms",
        millis(core.now.since(attempt.last_progress))
    );
    attempt_failed(
        core,
        key,
        Ran::Unknown,
        AttemptFailure::Silent,
        &detail,
        out,
    );
}
