//! Silent streams that may still go on while their answer is asked for elsewhere.
//!
//! A sound engine may fall silent and go on, and what is asked instead may refuse. A silent stream is therefore closed only
//! once another has gone on with the answer.

use super::super::effect::Effect;
use super::super::event::Timer;
use super::super::key::{AttemptKey, RequestKey};
use super::super::{Core, Effects};
use super::end::close_attempt;
use super::{Attempt, Phase, note};
use crate::error::Ran;

/// Keeps a silent attempt, so that its request may be sent again; an earlier one that was kept is closed.
pub(super) fn keep(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    release(core, request, "silent", out);
    let entry = &mut core.requests.arena[request];
    entry.attempt = None;
    entry.standby = Some(key);
}

/// Whether an attempt is its request's silent one.
pub(super) fn is_standby(core: &Core, key: AttemptKey) -> bool {
    let attempt = core.requests.attempts.get(key);
    let request = attempt.and_then(|attempt| core.requests.arena.get(attempt.request));
    request.is_some_and(|request| request.standby == Some(key))
}

/// Handles an attempt that goes on with the answer: the other attempt of its request is closed.
pub(super) fn goes_on(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    if !is_standby(core, key) {
        release(core, request, "silent", out);
        return;
    }
    if let Some(other) = core.requests.arena[request].attempt {
        out.push(Effect::Cancel(other));
        close_attempt(core, other, "the silent stream went on", Ran::Unknown);
    }
    let attempt = resume(core, request, key, out);
    if let Some(backend) = attempt.map(|attempt| attempt.backend) {
        core.fleet.record_success(backend);
    }
    note(core, request, "the silent stream went on");
}

/// Returns to a request's silent attempt, if it has one, since nothing else takes the request.
pub(super) fn fall_back(core: &mut Core, request: RequestKey, out: &mut Effects) -> bool {
    let Some(key) = core.requests.arena[request].standby else {
        return false;
    };
    if let Some(attempt) = resume(core, request, key, out) {
        attempt.has_waited = true;
    }
    note(
        core,
        request,
        "nothing else takes it: the silent stream is waited for",
    );
    true
}

/// Makes the silent attempt of a request the current one, which counts as silent after the same time again.
fn resume<'a>(
    core: &'a mut Core,
    request: RequestKey,
    key: AttemptKey,
    out: &mut Effects,
) -> Option<&'a mut Attempt> {
    let now = core.now;
    let entry = &mut core.requests.arena[request];
    entry.standby = None;
    entry.attempt = Some(key);
    entry.phase = Phase::Running;
    entry.last_break = None;
    out.push(Effect::SetTimer {
        at: now.after(core.settings.limits.token_gap_timeout),
        timer: Timer::Silence(key),
    });
    let attempt = core.requests.attempts.get_mut(key)?;
    attempt.last_progress = now;
    Some(attempt)
}

/// Closes a request's silent attempt, if it has one.
pub(super) fn release(core: &mut Core, request: RequestKey, how: &str, out: &mut Effects) {
    let entry = core.requests.arena.get_mut(request);
    let Some(key) = entry.and_then(|entry| entry.standby.take()) else {
        return;
    };
    out.push(Effect::Cancel(key));
    close_attempt(core, key, how, Ran::Unknown);
}
