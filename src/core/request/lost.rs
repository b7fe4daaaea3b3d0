//! Attempts that end without a whole answer: resumed, made elsewhere, or given up.

use std::time::Duration;

use super::super::effect::{Effect, Meter, Refusal};
use super::super::event::{Break, Timer, Want};
use super::super::key::{AttemptKey, BackendKey, RequestKey};
use super::super::route::Choice;
use super::super::{Core, Effects, poison};
use super::attempt::{attempt, dispatch};
use super::end::{close_attempt, give_up, refuse};
use super::{Flow, Phase, millis, note};
use crate::error::{Kind, Ran};

/// Most attempts at one request, resumed streams not counted.
const TRIES: u8 = 4;
/// Times one stream is resumed at the same engine.
const RESUMES: u8 = 2;
/// Time between the loss of an engine and the next try elsewhere.
///
/// The request may be what the engine died of. Another host may have lost an engine to it in the
/// same moment, and what that host says is on its way.
const HOLD_OFF: Duration = Duration::from_millis(100);

/// Takes in the end of an attempt without a whole answer: resumes it, tries elsewhere, or gives
/// the request up.
pub(super) fn broke(
    core: &mut Core,
    key: AttemptKey,
    ran: Ran,
    how: Break,
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
    if matches!(entry.want, Want::Service(_)) {
        core.fleet.record_failure(backend, core.now);
        service_broke(core, request, backend, ran, how, detail, out);
        return;
    }
    if how == Break::Rejected {
        let refusal = Refusal::new(Kind::Malformed, detail).ran(ran);
        refuse(core, request, refusal, out);
        return;
    }
    if matches!(how, Break::Cut | Break::Silent) && entry.resumes < RESUMES && !split {
        entry.resumes += 1;
        entry.lost = Some(how);
        note(
            core,
            request,
            format!("{detail}; resumed at the same engine"),
        );
        attempt_again(core, request, backend, label, out);
        return;
    }
    if how == Break::Forgotten {
        core.fleet.record_success(backend);
    } else {
        core.fleet.record_failure(backend, core.now);
    }
    let entry = &mut core.requests.arena[request];
    // It closed this stream and now neither answers nor knows it: it died while running it. After
    // a silence the same shows only that the connection or the network is lost.
    let gone = matches!(how, Break::Unreachable | Break::Forgotten);
    // While it prefills for another there is nothing to resume, and so nothing more to ask it.
    let died = gone && entry.lost == Some(Break::Cut) || split && how == Break::Cut;
    if died || how != Break::Forgotten {
        entry.avoid.push(backend);
    }
    entry.resumes = 0;
    entry.lost = None;
    if died {
        poison::report_crash(core, request, backend, out);
    }
    let pause = match how {
        Break::Refused | Break::Forgotten if !died => Duration::ZERO,
        _ => HOLD_OFF,
    };
    again(core, request, detail, Kind::EngineFailed, pause, out);
}

pub(super) fn attempt_again(
    core: &mut Core,
    request: RequestKey,
    backend: BackendKey,
    label: Box<str>,
    out: &mut Effects,
) {
    if core.fleet.arena.contains_key(backend) {
        attempt(core, request, Choice::whole(backend), Some(label), out);
    } else {
        dispatch(core, request, out);
    }
}

/// Tries elsewhere if tries and the budget of repeats allow, and gives the request up otherwise.
pub(super) fn again(
    core: &mut Core,
    key: RequestKey,
    detail: &str,
    kind: Kind,
    pause: Duration,
    out: &mut Effects,
) {
    let request = &core.requests.arena[key];
    let ran = request.ran();
    if request.tries >= TRIES {
        let refusal = Refusal::new(kind, format!("{detail}; no try is left")).ran(ran);
        give_up(core, key, refusal, out);
    } else if core.requests.spend() {
        let class = core.requests.arena[key].class.clone();
        out.push(Effect::Meter(Meter::Retried { class }));
        note(core, key, format!("{detail}; tried elsewhere"));
        if pause.is_zero() {
            dispatch(core, key, out);
        } else {
            core.requests.arena[key].phase = Phase::Pause;
            out.push(Effect::Wake {
                at: core.now.after(pause),
                timer: Timer::Request(key),
            });
        }
    } else {
        let refusal = Refusal::new(kind, format!("{detail}; too many repeats just now")).ran(ran);
        give_up(core, key, refusal, out);
    }
}

fn service_broke(
    core: &mut Core,
    key: RequestKey,
    backend: BackendKey,
    ran: Ran,
    how: Break,
    detail: &str,
    out: &mut Effects,
) {
    let request = &mut core.requests.arena[key];
    request.avoid.push(backend);
    let kind = match how {
        Break::Unreachable | Break::Refused => Kind::ServiceDown,
        Break::Cut | Break::Silent | Break::Forgotten | Break::Rejected => Kind::ServiceFailed,
    };
    if ran == Ran::No || request.repeat {
        again(core, key, detail, kind, Duration::ZERO, out);
    } else {
        let refusal = Refusal::new(kind, detail).ran(ran);
        give_up(core, key, refusal, out);
    }
}

/// Looks whether an attempt has fallen silent.
///
/// Something between the two ends can lose track of a connection: it then stays open and silent
/// for good, while new ones work. The caller would wait for ever; a fresh connection resumes the
/// stream where it stopped.
pub(super) fn listen(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let limits = &core.settings.limits;
    let bound = if attempt.began {
        limits.token_silence
    } else {
        limits.first_silence
    };
    let last = match attempt.flow {
        Flow::Open => attempt.last,
        Flow::Held => core.now,
    };
    let due = last.after(bound);
    if due > core.now {
        out.push(Effect::Wake {
            at: due,
            timer: Timer::Silence(key),
        });
        return;
    }
    let detail = format!("silent for {} ms", millis(core.now.since(attempt.last)));
    broke(core, key, Ran::Unknown, Break::Silent, &detail, out);
}
