//! Attempts that end without a whole answer: resumed, made elsewhere, or given up.

use std::time::Duration;

use super::super::effect::{Effect, Meter, Refusal};
use super::super::event::{AttemptFailure, RequestSpec, Timer};
use super::super::key::{AttemptKey, BackendKey, RequestKey};
use super::super::route::Choice;
use super::super::{Core, Effects, poison};
use super::attempt::{dispatch, open_attempt};
use super::end::{close_attempt, give_up, refuse};
use super::{Flow, Phase, millis, note};
use crate::error::{Kind, Ran};

/// Most attempts at one request, resumed streams not counted.
const MAX_TRIES: u8 = 4;
/// Times one stream is resumed at the same engine.
const MAX_RESUMES: u8 = 2;
/// Time between the loss of an engine and the next try elsewhere.
///
/// The request may be what the engine died of. Another host may have lost an engine to it in the
/// same moment, and what that host says is on its way.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Takes in the end of an attempt without a whole answer: resumes it, tries elsewhere, or gives
/// the request up.
pub(super) fn attempt_failed(
    core: &mut Core,
    key: AttemptKey,
    ran: Ran,
    how: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    // Until the prefill is done, it is the engine that prefills which failed.
    let (backend, split) = match attempt.prefill {
        Some(prefill) => (prefill, true),
        None => (attempt.backend, false),
    };
    let (request, label) = (attempt.request, attempt.label.clone());
    out.push(Effect::Cancel(key));
    close_attempt(core, key, detail, ran);
    let entry = &mut core.requests.arena[request];
    if matches!(entry.want, RequestSpec::Service(_)) {
        core.fleet.record_failure(backend, core.now);
        service_failed(core, request, backend, ran, how, detail, out);
        return;
    }
    if how == AttemptFailure::Rejected {
        let refusal = Refusal::new(Kind::Malformed, detail).with_ran(ran);
        refuse(core, request, refusal, out);
        return;
    }
    if matches!(how, AttemptFailure::Cut | AttemptFailure::Silent)
        && entry.resumes < MAX_RESUMES
        && !split
    {
        entry.resumes += 1;
        entry.last_break = Some(how);
        note(
            core,
            request,
            format!("{detail}; resumed at the same engine"),
        );
        resume(core, request, backend, label, out);
        return;
    }
    if how == AttemptFailure::Forgotten {
        core.fleet.record_success(backend);
    } else {
        core.fleet.record_failure(backend, core.now);
    }
    let entry = &mut core.requests.arena[request];
    // It closed this stream and now neither answers nor knows it: it died while running it. After
    // a silence the same shows only that the connection or the network is lost.
    let gone = matches!(how, AttemptFailure::Unreachable | AttemptFailure::Forgotten);
    // While it prefills for another there is nothing to resume, and so nothing more to ask it.
    let died = gone && entry.last_break == Some(AttemptFailure::Cut)
        || split && how == AttemptFailure::Cut;
    if died || how != AttemptFailure::Forgotten {
        entry.avoid.push(backend);
    }
    entry.resumes = 0;
    entry.last_break = None;
    if died {
        poison::report_crash(core, request, backend, out);
    }
    let pause = match how {
        AttemptFailure::Refused | AttemptFailure::Forgotten if !died => Duration::ZERO,
        _ => RETRY_DELAY,
    };
    retry(core, request, detail, Kind::EngineFailed, pause, out);
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

/// Tries elsewhere if tries and the budget of repeats allow, and gives the request up otherwise.
pub(super) fn retry(
    core: &mut Core,
    key: RequestKey,
    detail: &str,
    kind: Kind,
    pause: Duration,
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
        if pause.is_zero() {
            dispatch(core, key, out);
        } else {
            core.requests.arena[key].phase = Phase::Pause;
            out.push(Effect::SetTimer {
                at: core.now.after(pause),
                timer: Timer::Request(key),
            });
        }
    } else {
        let refusal =
            Refusal::new(kind, format!("{detail}; too many repeats just now")).with_ran(ran);
        give_up(core, key, refusal, out);
    }
}

fn service_failed(
    core: &mut Core,
    key: RequestKey,
    backend: BackendKey,
    ran: Ran,
    how: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let request = &mut core.requests.arena[key];
    request.avoid.push(backend);
    let kind = match how {
        AttemptFailure::Unreachable | AttemptFailure::Refused => Kind::ServiceDown,
        AttemptFailure::Cut
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

/// Looks whether an attempt has fallen silent.
///
/// Something between the two ends can lose track of a connection: it then stays open and silent
/// for good, while new ones work. The caller would wait for ever; a fresh connection resumes the
/// stream where it stopped.
pub(super) fn check_silence(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let limits = &core.settings.limits;
    let bound = if attempt.has_tokens {
        limits.token_silence
    } else {
        limits.first_silence
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
