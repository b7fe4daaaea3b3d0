//! Silent attempts that may still go on while another server is asked to take their request.
//!
//! A sound server may fall silent and go on, and the next one may refuse, break off or be silent too. A running attempt is
//! therefore cancelled only once another has gone on, or has had the time to refuse.

use std::time::Duration;

use super::super::effect::{Effect, Refusal};
use super::super::event::AttemptFailure;
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::call::{close_attempt, dispatch};
use super::event::{RelayEffect, Stage, Task};
use super::{
    Attempt, KvCache, RelayTimer, answer, duty, links, millis, note, retry, silence, wake,
};
use crate::error::{Kind, Ran};

/// Time for which a silent attempt is kept after its request was last sent to another server: longer than a refusal or a connection
/// takes, and less than the 400 ms for which two servers may work on a request that goes on.
const KEEP_TIME: Duration = Duration::from_millis(300);
/// Time after which another server is looked for again: refusals and backoffs pass within a few of these.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A silent attempt that may still go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standby {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Until when it is kept; none while no other server runs the request.
    pub until: Option<Time>,
}

impl Standby {
    pub(super) fn new(attempt: AttemptKey) -> Self {
        Self {
            attempt,
            until: None,
        }
    }
}

/// Returns the server of a request's standby.
pub(super) fn server(core: &Core, standby: Option<Standby>) -> Option<BackendKey> {
    let attempt = core.relay.attempts.get(standby?.attempt)?;
    Some(attempt.backend)
}

/// Whether an attempt is its request's standby.
pub(super) fn is_standby(core: &Core, key: AttemptKey) -> bool {
    let attempt = core.relay.attempts.get(key);
    let call = attempt.and_then(|attempt| core.relay.calls.get(attempt.call));
    let standby = call.and_then(|call| call.standby);
    standby.is_some_and(|standby| standby.attempt == key)
}

/// Whether a begun answer runs at a server that could not take it back: it waits for that server, which may go on, instead of
/// being given up for one that may refuse it.
pub(super) fn must_stay(core: &Core, attempt: &Attempt) -> bool {
    let call = &core.relay.calls[attempt.call];
    let runs = call.delivered && attempt.task != Task::Prefill;
    let server = core.relay.instances.arena.get(attempt.backend);
    runs && server.is_some_and(|server| {
        server.leaving && !server.addr_reused
            || server.stage == Some(Stage::Prefill)
            || server
                .change
                .is_some_and(|change| change.withholds(server.stage, core.now))
            || server.pushback.remaining(core.now) >= call.deadline.since(core.now)
    })
}

/// Sends the request of a silent attempt to another server. The attempt is kept meanwhile, unless it is a prefill, which has
/// nothing to go on with.
pub(super) fn move_on(core: &mut Core, key: AttemptKey, detail: &str, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    if attempt.task == Task::Prefill {
        let (ran, how) = (Ran::Unknown, AttemptFailure::Silent);
        answer::attempt_failed(core, key, ran, how, detail, out);
        return;
    }
    let (call, server) = (attempt.call, attempt.backend);
    release(core, call, "replaced", out);
    let standby = Standby::new(key);
    let entry = &mut core.relay.calls[call];
    entry.attempt = None;
    entry.standby = Some(standby);
    // The attempt may still fetch it.
    entry.cache = None;
    let is_first = !entry.tried.contains(&server);
    log(core, key, "kept", detail, out);
    if is_first {
        core.relay.calls[call].tried.push(server);
        answer::record_silence(core, server, out);
    }
    answer::retry(core, call, detail, out);
}

/// Handles the sending of a request to another server or host: its standby is kept until that has had the time to refuse. A
/// prefill is no run.
pub(super) fn sent_on(core: &mut Core, key: CallKey, task: &Task, out: &mut Effects) {
    let until = (*task != Task::Prefill).then(|| core.now.after(KEEP_TIME));
    let call = &mut core.relay.calls[key];
    let Some(standby) = &mut call.standby else {
        return;
    };
    standby.until = until;
    if until.is_some() {
        wake(core, KEEP_TIME, RelayTimer::Standby(key), out);
    }
}

/// Handles an attempt that goes on with the answer: the other attempt of its request is cancelled.
pub(super) fn goes_on(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (call, server) = (attempt.call, attempt.backend);
    if !is_standby(core, key) {
        release(core, call, "overtaken", out);
        return;
    }
    let entry = &mut core.relay.calls[call];
    entry.standby = None;
    if let Some(other) = entry.attempt.replace(key) {
        out.push(Effect::Relay(RelayEffect::Cancel(other)));
        close_attempt(core, other);
        core.relay.calls[call].attempt = Some(key);
    }
    free_cache(core, call, out);
    retry::release_reserved(core, call);
    if let Some(instance) = core.relay.instances.arena.get_mut(server) {
        instance.record_success(core.now);
    }
    log(core, key, "went-on", "", out);
    silence::check_after(core, key, RETRY_PAUSE, out);
}

/// Returns to a request's standby, if it has one, since no other server takes the request.
pub(super) fn fall_back(core: &mut Core, key: CallKey, out: &mut Effects) -> bool {
    let call = &mut core.relay.calls[key];
    let Some(standby) = call.standby.take() else {
        return false;
    };
    call.attempt = Some(standby.attempt);
    free_cache(core, key, out);
    retry::release_reserved(core, key);
    log(core, standby.attempt, "waits", "", out);
    silence::check_after(core, standby.attempt, RETRY_PAUSE, out);
    true
}

/// Has a request that was given up at a silent server, and may have run there, wait if no server takes it for now; returns
/// whether it waits.
pub(super) fn wait(core: &Core, key: CallKey, refusal: &Refusal, out: &mut Effects) -> bool {
    let call = &core.relay.calls[key];
    // Another host may not know yet of a server that has the version.
    let passes = matches!(
        refusal.kind,
        Kind::Overloaded | Kind::NoEngine | Kind::CutOff | Kind::NoVersion
    );
    let may_have_run = call.runs > 0 || call.delivered;
    let was_given_up = may_have_run && call.given_up.is_some();
    if !was_given_up || !passes || core.now.after(RETRY_PAUSE) >= call.deadline {
        return false;
    }
    let fields = vec![("id", call.id.clone()), ("why", refusal.detail.clone())];
    note(out, log::Level::Info, "request.waits", fields);
    wake(core, RETRY_PAUSE, RelayTimer::Resume(key), out);
    true
}

/// Looks for a server again for a request that waits for one.
pub(super) fn resume(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = core.relay.calls.get(key);
    if call.is_some_and(|call| call.attempt.is_none()) {
        dispatch(core, key, out);
    }
}

/// Handles the end of the time for which a standby is kept.
pub(super) fn expired(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = core.relay.calls.get(key);
    let until = call.and_then(|call| call.standby?.until);
    if until.is_some_and(|until| until <= core.now) {
        release(core, key, "expired", out);
    }
}

/// Cancels a request's standby, if it has one.
pub(super) fn release(core: &mut Core, key: CallKey, why: &str, out: &mut Effects) {
    let call = core.relay.calls.get_mut(key);
    let Some(standby) = call.and_then(|call| call.standby.take()) else {
        return;
    };
    log(core, standby.attempt, why, "", out);
    core.relay.calls[key].given_up = server(core, Some(standby));
    out.push(Effect::Relay(RelayEffect::Cancel(standby.attempt)));
    let attempt = close_attempt(core, standby.attempt);
    if let Some(attempt) = attempt
        && core.relay.calls[key].prompt.is_none()
    {
        duty::usage::record(core, key, attempt.sent_at);
    }
}

/// Frees the KV cache that was prefilled for a request and is not needed any more.
pub(super) fn free_cache(core: &mut Core, key: CallKey, out: &mut Effects) {
    let cache = core.relay.calls[key].cache.take();
    free(core, cache, out);
}

/// Frees a KV cache.
pub(super) fn free(core: &Core, cache: Option<KvCache>, out: &mut Effects) {
    let in_pushback = |cache: &KvCache| {
        let instance = core.relay.instances.arena.get(cache.engine);
        instance.is_some_and(|instance| !instance.pushback.admits(core.now))
    };
    // The KV cache is left to expire at an engine that wants no requests.
    if let Some(cache) = cache.filter(|cache| !in_pushback(cache)) {
        out.push(Effect::Relay(RelayEffect::FreeCache {
            instance: cache.instance,
            addr: cache.addr,
            handle: cache.handle,
        }));
    }
}

fn log(core: &Core, key: AttemptKey, state: &str, detail: &str, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let backend = core.relay.instances.arena.get(attempt.backend);
    let silent = millis(core.now.since(attempt.last_received));
    let fields = vec![
        ("id", core.relay.calls[attempt.call].id.clone()),
        ("backend", backend.map_or("".into(), |i| i.id.clone())),
        ("state", state.into()),
        ("silent_ms", format!("{silent:.0}").into()),
        ("links", links::state_name(core).into()),
        ("detail", detail.into()),
    ];
    note(out, log::Level::Info, "attempt.standby", fields);
}
