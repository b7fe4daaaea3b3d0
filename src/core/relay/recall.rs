//! Recall of overdue prefills, while another engine can still be in time.
//!
//! A prompt may wait behind work that this host did not know of, or at an engine that is slow for a moment. The check for silence
//! comes after the target of most requests. A prefill is no run, so that its request may go to another engine. The first attempt
//! is cancelled: an engine drops a request whose connection closes, and does not prefill the prompt a second time in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::effect::{Effect, Meter};
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::call::{close_attempt, dispatch, task_name};
use super::choose::Choice;
use super::event::{RelayEffect, Task};
use super::{Attempt, Call, KvCache, RelayTimer, from_millis, millis, note, retry, standby, wake};

/// Fraction of the target by which the answer of the other engine must be expected before it.
const MARGIN_FRACTION: f64 = 0.1;
/// Fraction of the target, in addition to the margin, by which the check comes before the last moment at which the other engine
/// could be in time: its queue may have grown since the prompt was sent.
const CHECK_AHEAD_FRACTION: f64 = 0.1;
/// Expected rest of an overdue prefill, as a multiple of the time by which it is overdue. With less, prompts that miss their targets
/// are left where they are; with more, prompts that are about to end are recalled.
const OVERDUE_FACTOR: f64 = 2.0;
/// Time for which the answer of an abandoned engine may still be under way.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Expected times of the first event of a request whose prompt is not prefilled yet, from its sending on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// At the engine that was chosen.
    pub first_event_ms: f64,
    /// At the other engine that is expected to be the first, if there is one.
    pub elsewhere_ms: Option<f64>,
}

/// Prefills that were recalled lately. An engine that restarts under its id has another key.
#[derive(Debug, Default)]
pub struct Recalls {
    /// Engines that were too slow.
    penalties: BTreeMap<BackendKey, Penalty>,
    /// Attempts that were cancelled.
    abandoned: BTreeMap<AttemptKey, Abandoned>,
}

/// An engine from which a prefill was recalled.
#[derive(Debug, Clone, Copy)]
struct Penalty {
    /// Milliseconds for which the prefill had waited.
    waited_ms: f64,
    until: Time,
}

/// A cancelled attempt, whose answer may arrive at the same moment.
#[derive(Debug, Clone, Copy)]
struct Abandoned {
    engine: BackendKey,
    until: Time,
}

/// Schedules the check of a prefill: once, at the latest moment at which another engine can still be in time.
pub(super) fn watch(core: &Core, key: CallKey, outlook: Option<Outlook>, out: &mut Effects) {
    let call = core.relay.calls.get(key);
    let Some(key) = call.and_then(|call| call.attempt) else {
        return;
    };
    let attempt = &core.relay.attempts[key];
    let elsewhere = outlook.and_then(|outlook| outlook.elsewhere_ms);
    let Some(elsewhere) = elsewhere.filter(|_| may_recall(core, key, attempt)) else {
        return;
    };
    let call = &core.relay.calls[attempt.call];
    let ahead = margin_ms(call) + millis(call.route.target) * CHECK_AHEAD_FRACTION;
    let check_in = left_ms(core, call) - elsewhere - ahead;
    // It would not be overdue then, and no engine could be in time later.
    if check_in <= attempt.expected_ms {
        return;
    }
    wake(core, from_millis(check_in), RelayTimer::Recall(key), out);
}

/// Sends the request of an overdue prefill to another engine, if the answer is then expected in time and sooner than by waiting.
pub(super) fn check(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (call, sent_at) = (attempt.call, attempt.sent_at);
    let lag = core.relay.intake.lag_since(sent_at, core.now);
    let rest = (millis(core.now.since(sent_at)) - attempt.expected_ms) * OVERDUE_FACTOR;
    if rest <= 0.0 || !lag.is_zero() || !may_recall(core, key, attempt) {
        return;
    }
    if !retry::allows_recall(core, call, 1) {
        count(&core.relay.calls[call], "no-budget", out);
        return;
    }
    let choice = match retry::choose_beside(core, call, key) {
        Ok(Some(choice)) => choice,
        Ok(None) => return count(&core.relay.calls[call], "no-engine", out),
        Err(retry::Exhausted) => return count(&core.relay.calls[call], "no-budget", out),
    };
    let entry = &core.relay.calls[call];
    let left = left_ms(core, entry);
    let first_event = choice
        .outlook
        .map_or(f64::INFINITY, |outlook| outlook.first_event_ms);
    // The same handover would follow at the first engine.
    let handover = match choice.task {
        Task::Prefill => first_event - choice.expected_ms,
        Task::Whole | Task::Decode { .. } => 0.0,
    };
    let waiting = rest + handover;
    let margin = margin_ms(entry);
    if waiting <= left - margin {
        return;
    }
    // Otherwise it comes sooner than by waiting.
    if first_event > left - margin {
        return count(entry, "no-engine", out);
    }
    let sends = 1 + usize::from(choice.task == Task::Prefill);
    if !retry::allows_recall(core, call, sends) {
        return count(&core.relay.calls[call], "no-budget", out);
    }
    log_recalled(core, key, &choice, out);
    retry::record_recall(core, call, sends);
    abandon(core, key, out);
    let entry = &mut core.relay.calls[call];
    entry.recalled = true;
    entry.next = Some(choice);
    dispatch(core, call, out);
}

/// Cancels an attempt, which counts as an arrival, and expects its engine to be slow for a while.
fn abandon(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    out.push(Effect::Relay(RelayEffect::Cancel(key)));
    let Some(attempt) = close_attempt(core, key) else {
        return;
    };
    let now = core.now;
    let call = &mut core.relay.calls[attempt.call];
    call.arrivals += 1;
    call.tried.push(attempt.backend);
    let recalls = &mut core.relay.recalls;
    recalls.penalties.retain(|_, penalty| penalty.until > now);
    recalls.abandoned.retain(|_, attempt| attempt.until > now);
    let waited = now.since(attempt.sent_at);
    recalls.penalties.insert(
        attempt.backend,
        Penalty {
            waited_ms: millis(waited),
            // What held the prompt up for so long is not over sooner.
            until: now.after(waited),
        },
    );
    recalls.abandoned.insert(
        key,
        Abandoned {
            engine: attempt.backend,
            until: now.after(ANSWER_TIME),
        },
    );
}

/// Frees the KV cache of a prefill that ended as it was recalled, unless its engine is leaving or has restarted.
pub(super) fn answered_late(core: &mut Core, key: AttemptKey, handle: Box<str>, out: &mut Effects) {
    let Some(attempt) = core.relay.recalls.abandoned.remove(&key) else {
        return;
    };
    let instance = core.relay.instances.arena.get(attempt.engine);
    if let Some(instance) = instance.filter(|instance| !instance.leaving) {
        let cache = KvCache {
            engine: attempt.engine,
            instance: instance.id.clone(),
            addr: instance.addr,
            handle,
        };
        standby::free(core, Some(cache), out);
    }
}

/// Returns the expected time of a prompt at an engine, given the estimate by its known work.
pub(super) fn expected_ms(core: &Core, engine: BackendKey, estimate: f64) -> f64 {
    let penalty = core.relay.recalls.penalties.get(&engine);
    let penalty = penalty.filter(|penalty| penalty.until > core.now);
    penalty.map_or(estimate, |penalty| estimate.max(penalty.waited_ms))
}

/// Counts how a request ended whose prefill was recalled.
pub(super) fn ended(call: &Call, out: &mut Effects) {
    if !call.recalled {
        return;
    }
    let outcome = match call.timing.first_event() {
        Some(first) if first <= call.route.target => "in-time",
        Some(_) => "late",
        None => "unanswered",
    };
    count(call, outcome, out);
}

/// Whether an attempt is a prefill that may be recalled: the first of its request, without a run, and no suspect of a crash.
fn may_recall(core: &Core, key: AttemptKey, attempt: &Attempt) -> bool {
    let relay = &core.relay;
    let call = &relay.calls[attempt.call];
    let settings = core.settings.relay.as_ref();
    settings.is_some_and(|settings| settings.policy.recall)
        && attempt.task == Task::Prefill
        && call.route.streaming
        && call.attempt == Some(key)
        && call.standby.is_none()
        && !call.recalled
        && (call.prefills, call.arrivals, call.runs) == (1, 0, 0)
        && call.tried.is_empty()
        && !core.stop.is_stopping()
        && !relay.links.are_lost()
        && relay.poison_requests.crash_count(call.fingerprint) == 0
        && !super::parts::admission::is_blamed(core, attempt.call)
}

/// Returns the time until a request misses its target, in milliseconds.
fn left_ms(core: &Core, call: &Call) -> f64 {
    let settings = core.settings.relay.as_ref();
    let factor = settings.map_or(1.0, |settings| settings.policy.target_factor);
    millis(call.route.target) * factor - millis(core.now.since(call.arrived))
}

fn margin_ms(call: &Call) -> f64 {
    millis(call.route.target) * MARGIN_FRACTION
}

fn count(call: &Call, outcome: &'static str, out: &mut Effects) {
    let class = call.route.name.clone();
    out.push(Effect::Meter(Meter::Recalled { class, outcome }));
}

fn log_recalled(core: &Core, key: AttemptKey, choice: &Choice, out: &mut Effects) {
    let attempt = &core.relay.attempts[key];
    let call = &core.relay.calls[attempt.call];
    let name = |key: BackendKey| {
        let instance = core.relay.instances.arena.get(key);
        instance.map_or("".into(), |instance| instance.id.clone())
    };
    let text = |millis: f64| format!("{millis:.0}").into();
    let outlook = choice.outlook.map_or(0.0, |outlook| outlook.first_event_ms);
    note(
        out,
        log::Level::Info,
        "request.recalled",
        vec![
            ("id", call.id.clone()),
            ("route", call.route.name.clone()),
            ("backend", name(attempt.backend)),
            ("to", name(choice.backend)),
            ("task", task_name(&choice.task).into()),
            ("waited_ms", text(millis(core.now.since(attempt.sent_at)))),
            ("expected_ms", text(attempt.expected_ms)),
            ("first_event_ms", text(outlook)),
            ("left_ms", text(left_ms(core, call))),
        ],
    );
}
