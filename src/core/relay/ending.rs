//! Ends of callers' requests: answered, refused, given up, left by the caller or out of time.

use std::time::Duration;

use rand::RngExt;

use super::super::effect::{Effect, Refusal};
use super::super::event::Timer;
use super::super::key::{BackendKey, CallKey, HostKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::call::{age_ms, close_attempt, task_name};
use super::event::RelayEffect;
use super::{
    Attempt, RelayTimer, duty, forward, from_millis, links, millis, note, recall, retry, standby,
};
use crate::error::{Kind, Ran};

/// Default time to retry after: half of a burst of three seconds.
///
/// Callers that retry sooner meet the same queue and are refused again.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(1300);
/// Shortest time over which callers return that were refused until the same moment.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Time after which to retry at another host: the load balancer routes new connections to others
/// without delay.
pub const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time without an answer from which on an attempt counts against its server or its link: callers may leave sooner.
const MIN_UNANSWERED_WAIT: Duration = Duration::from_millis(200);

/// Ends a request whose caller closed its connection.
pub(super) fn caller_left(core: &mut Core, key: CallKey, out: &mut Effects) {
    let unanswered = unanswered_attempt(core, key);
    if core.relay.calls.contains_key(key) {
        log_left(core, key, out);
        end(core, key, "caller-left", Ran::Unknown, out);
    }
    record_unanswered(core, unanswered, out);
}

/// Logs what is under way for a caller that left, and whether this host may have noticed late.
fn log_left(core: &Core, key: CallKey, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let attempt = call.attempt.and_then(|key| core.relay.attempts.get(key));
    let lag = core.relay.intake.lag_since(call.arrived, core.now);
    let task = attempt.map_or("none", |attempt| task_name(&attempt.task));
    let since = |at: fn(&Attempt) -> Time| age_ms(core, attempt.map(at), "unsent");
    note(
        out,
        log::Level::Info,
        "caller.left",
        vec![
            ("id", call.id.clone()),
            ("task", task.into()),
            ("sent_ms", since(|attempt| attempt.sent_at)),
            ("received_ms", since(|attempt| attempt.last_received)),
            ("standby", call.standby.is_some().to_string().into()),
            ("forwarded", call.is_forwarded.to_string().into()),
            ("lag_ms", lag.as_millis().to_string().into()),
        ],
    );
}

/// Returns the current attempt of a request, if nothing came in answer to it for a while: server, host and time.
fn unanswered_attempt(core: &Core, key: CallKey) -> Option<(BackendKey, Option<HostKey>, Time)> {
    let call = core.relay.calls.get(key)?;
    let attempt = core.relay.attempts.get(call.attempt?)?;
    let waited = core.now.since(attempt.sent_at);
    (attempt.last_received == attempt.sent_at && waited >= MIN_UNANSWERED_WAIT).then_some((
        attempt.backend,
        attempt.host,
        attempt.sent_at,
    ))
}

/// Records that nothing came in answer to an attempt of a request that has ended.
fn record_unanswered(
    core: &mut Core,
    attempt: Option<(BackendKey, Option<HostKey>, Time)>,
    out: &mut Effects,
) {
    match attempt {
        Some((_, Some(host), sent_at)) => forward::unanswered(core, host, sent_at),
        Some((backend, None, _)) => links::attempt_failed(core, backend, out),
        None => {}
    }
}

/// Answers a request whose deadline has passed.
pub(super) fn deadline(core: &mut Core, key: CallKey, out: &mut Effects) {
    let Some(call) = core.relay.calls.get(key) else {
        return;
    };
    if core.now < call.deadline {
        out.push(Effect::SetTimer {
            at: call.deadline,
            timer: Timer::Relay(RelayTimer::Deadline(key)),
        });
        return;
    }
    let runs = call.runs;
    let unanswered = unanswered_attempt(core, key);
    standby::release(core, key, "deadline", out);
    if runs > 0 {
        give_up(core, key, Kind::Silent, "no whole answer in time", out);
    } else {
        let detail = "no backend server took the request in time";
        refuse(core, key, Refusal::new(Kind::Overloaded, detail), out);
    }
    record_unanswered(core, unanswered, out);
}

/// Ends a request because this host is stopping: as not run if that is certain.
pub(super) fn abandon(core: &mut Core, key: CallKey, why: &str, out: &mut Effects) {
    standby::release(core, key, "stopping", out);
    refuse(
        core,
        key,
        Refusal::new(Kind::Stopping, why).with_retry_after(OTHER_HOST_RETRY_AFTER),
        out,
    );
}

/// Ends a request that may have run: with an error, or by aborting an answer that has begun. One whose silent attempt is
/// kept waits for that instead.
pub(super) fn give_up(core: &mut Core, key: CallKey, kind: Kind, detail: &str, out: &mut Effects) {
    if standby::fall_back(core, key, out) {
        return;
    }
    if core.relay.calls[key].delivered {
        log_cut(core, key, kind, detail, out);
        out.push(Effect::Relay(RelayEffect::AbortAnswer(key)));
        end(core, key, "cut", Ran::Yes, out);
    } else {
        let refusal = Refusal::new(kind, detail).with_ran(Ran::Unknown);
        send_refusal(core, key, refusal, out);
    }
}

/// Logs why an answer that has begun is cut, and what time was left by which version of the configuration.
fn log_cut(core: &Core, key: CallKey, kind: Kind, detail: &str, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let left = call.deadline.since(core.now).as_millis();
    let waited = call
        .last_forwarded
        .map_or(0.0, |at| millis(core.now.since(at)));
    note(
        out,
        log::Level::Info,
        "request.cut",
        vec![
            ("id", call.id.clone()),
            ("code", kind.answer().code.into()),
            ("detail", detail.into()),
            ("left_ms", left.to_string().into()),
            (
                "limit_ms",
                call.deadline
                    .since(call.arrived)
                    .as_millis()
                    .to_string()
                    .into(),
            ),
            ("silent_ms", format!("{waited:.0}").into()),
            ("runs", call.runs.to_string().into()),
            ("tried", call.tried.len().to_string().into()),
            ("arrived_at", call.config.to_string().into()),
            ("config", config_version(core)),
        ],
    );
}

/// Refuses a request: as not run if that is certain, as failed otherwise. One whose silent attempt is kept waits for that
/// instead, and one that was given up at a silent server waits for another.
pub(super) fn refuse(core: &mut Core, key: CallKey, refusal: Refusal, out: &mut Effects) {
    if standby::fall_back(core, key, out) || standby::wait(core, key, &refusal, out) {
        return;
    }
    let call = &core.relay.calls[key];
    // Runs before it was forwarded here are known to the host that forwarded it.
    if call.runs > call.runs_before || call.delivered {
        let detail = refusal.detail.clone();
        give_up(core, key, Kind::EngineFailed, &detail, out);
    } else {
        send_refusal(core, key, refusal.with_ran(Ran::No), out);
    }
}

fn send_refusal(core: &mut Core, key: CallKey, refusal: Refusal, out: &mut Effects) {
    let (kind_code, ran) = (refusal.kind.answer().code, refusal.ran);
    duty::scaling::refused(core, key, refusal.kind);
    note(
        out,
        log::Level::Info,
        "request.refused",
        vec![
            ("id", core.relay.calls[key].id.clone()),
            ("config", config_version(core)),
            ("heard_ms", store_age_ms(core)),
            ("code", kind_code.into()),
            ("ran", ran.name().into()),
            (
                "retry_ms",
                format!("{:.0}", refusal.retry_after.map_or(0.0, millis)).into(),
            ),
            ("detail", refusal.detail.clone()),
        ],
    );
    out.push(Effect::Relay(RelayEffect::Refuse { call: key, refusal }));
    end(core, key, kind_code, ran, out);
}

/// Returns the version of the current configuration, for the log.
fn config_version(core: &Core) -> Box<str> {
    let catalog = core.relay.catalog.as_ref();
    catalog
        .map_or(0, |catalog| catalog.version)
        .to_string()
        .into()
}

/// Returns the time since this host's view of the store was last complete, for the log.
pub(super) fn store_age_ms(core: &Core) -> Box<str> {
    age_ms(core, core.relay.view.fresh_at(), "never")
}

/// Removes a request, closes its attempts and frees its KV cache.
pub(super) fn end(
    core: &mut Core,
    key: CallKey,
    outcome: &'static str,
    ran: Ran,
    out: &mut Effects,
) {
    if let Some(attempt) = core.relay.calls[key].attempt {
        out.push(Effect::Relay(RelayEffect::Cancel(attempt)));
        close_attempt(core, attempt);
    }
    standby::release(core, key, "ended", out);
    standby::free_cache(core, key, out);
    retry::release_reserved(core, key);
    let Some(call) = core.relay.calls.remove(key) else {
        return;
    };
    recall::ended(&call, out);
    let lasted = core.now.since(call.arrived);
    out.push(Effect::Meter(super::super::effect::Meter::RequestEnded {
        class: call.route.name.clone(),
        customer: "".into(),
        outcome,
        duration: lasted,
    }));
    note(
        out,
        log::Level::Info,
        "request.ended",
        vec![
            ("id", call.id),
            ("route", call.route.name),
            ("outcome", outcome.into()),
            ("ran", ran.name().into()),
            ("lasted_ms", format!("{:.0}", millis(lasted)).into()),
            ("runs", call.runs.to_string().into()),
        ],
    );
    super::super::stop::finish_if_idle(core, out);
}

/// Returns the time after which a caller should retry that is refused until servers take requests again: callers return
/// spread over some time after that.
pub(super) fn retry_after_wait(core: &mut Core, wait: Duration) -> Duration {
    let spread = (wait / 2).max(MIN_RETURN_SPREAD);
    wait + spread.mul_f64(core.rng.random())
}

/// Returns the time after which a refused caller should retry: when the queued work is done.
pub(super) fn retry_after(core: &mut Core, backlog: f64) -> Duration {
    let jitter = core.rng.random_range(0.8..1.6);
    from_millis((backlog * jitter).max(millis(RETRY_AFTER) * jitter))
}
