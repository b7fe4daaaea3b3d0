//! Expected times of work at backend servers, and the samples recorded from each answer.
//!
//! Engines report their load late, and a report costs a call. Instead, every host tracks the work
//! it sent itself and receives that of the others; together they give the work queued at an engine.

use std::time::Duration;

use super::super::key::{AttemptKey, BackendKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Stage, Task};
use super::instance::{Instance, Work};
use super::model::{GapLoad, Sample, ServiceModel};
use super::{Attempt, Call, choose, from_millis, millis, note};

/// Delay of the next token caused by each request running at an engine.
pub const DELAY_PER_STREAM_MS: f64 = 0.6;
/// Initial latency of requests to a plain server.
const INITIAL_LATENCY_MS: f64 = 30.0;
/// Lowest sample of it; the lag of the event loop, which does not count, may be the longer time.
const MIN_LATENCY_MS: f64 = 1.0;
/// Weight of the newest sample in a plain server's latency.
const LATENCY_WEIGHT: f64 = 0.15;

/// Returns the prefill time of `tokens` at an engine, without a queue.
#[must_use]
pub fn prefill_ms(model: &ServiceModel, instance: &Instance, tokens: u64) -> f64 {
    let stage = instance.stage.unwrap_or(Stage::Decode);
    model.prefill_ms(stage, instance.pace, tokens)
}

/// Returns the time at an average engine of work that takes `millis` at this one.
///
/// Used for the cost of a request to others: the same work takes the same share of the capacity of
/// all engines, and idle slow engines should be used. By the engine's own time, short prompts would
/// queue at fast engines, and long ones, which only these can serve in time, behind them.
#[must_use]
pub fn normalized_ms(instance: &Instance, millis: f64) -> f64 {
    millis / instance.pace.factor
}

/// Returns the expected latency of a request to a plain server.
#[must_use]
pub fn latency_ms(instance: &Instance) -> f64 {
    if instance.latency_ms > 0.0 {
        instance.latency_ms
    } else {
        INITIAL_LATENCY_MS
    }
}

/// Records the time until the first part of an attempt's answer.
pub fn record_first_answer(core: &mut Core, key: AttemptKey, took: f64, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (expected, prefill) = (attempt.expected_ms, attempt.prefill);
    let lag = core.relay.intake.lag_since(attempt.sent_at, core.now);
    let task = attempt.task.clone();
    let id = core
        .relay
        .calls
        .get(attempt.call)
        .map(|call| call.id.clone());
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) else {
        return;
    };
    instance.last_response = Some(now);
    note(
        out,
        log::Level::Info,
        "attempt.first",
        vec![
            ("id", id.unwrap_or_default()),
            ("backend", instance.id.clone()),
            ("task", super::call::task_name(&task).into()),
            ("took_ms", format!("{took:.0}").into()),
            ("expected_ms", format!("{expected:.0}").into()),
            ("pace", format!("{:.2}", instance.pace.factor).into()),
            ("reads", prefill.uncached.to_string().into()),
            ("held", prefill.cached.to_string().into()),
            ("ahead", prefill.queued.to_string().into()),
            ("before_ms", format!("{:.0}", prefill.delay_ms).into()),
        ],
    );
    if instance.stage.is_none() {
        let previous = latency_ms(instance);
        let took = (took - millis(lag)).max(MIN_LATENCY_MS);
        instance.latency_ms = previous + (took - previous) * LATENCY_WEIGHT;
    } else if let Some(stage) = instance.stage
        && matches!(task, Task::Prefill | Task::Whole)
    {
        let sample = Sample {
            took: took - prefill.delay_ms,
            uncached: prefill.uncached,
            cached: prefill.cached,
            queued: prefill.queued,
        };
        let model = core.relay.cost_model.of_mut(&instance.service);
        model.record_prefill(stage, &sample, &mut instance.pace);
    } else if matches!(task, Task::Decode { .. }) {
        record_handover(core, key, took);
    }
}

/// Multiple of the expected time above which a handover counts as delayed by a link: up to twice
/// the time can be due to an engine's prefill of a long prompt or its step for many streams.
const LINK_DELAY_FACTOR: f64 = 3.0;

/// Records the time of a handover: as that of the engine, or as the delay of a slow link.
fn record_handover(core: &mut Core, key: AttemptKey, took: f64) {
    let attempt = &core.relay.attempts[key];
    let (target, prefill) = (attempt.backend, attempt.prefill);
    let source = core.relay.calls.get(attempt.call);
    let source = source.and_then(|call| call.cache.as_ref().map(|cache| cache.engine));
    let now = core.now;
    let arena = &mut core.relay.instances.arena;
    let expected = prefill.overhead_ms + prefill.transfer_ms;
    let waited = if took > expected * LINK_DELAY_FACTOR {
        took - expected
    } else {
        0.0
    };
    if waited == 0.0
        && let Some(instance) = arena.get(target)
    {
        let own = took - prefill.delay_ms;
        let model = core.relay.cost_model.of_mut(&instance.service);
        model.record_handover(own, instance.pace);
    }
    let explains = |key: &BackendKey| {
        arena
            .get(*key)
            .is_some_and(|instance| instance.link.explains(waited, now))
    };
    let both: Vec<BackendKey> = source.into_iter().chain([target]).collect();
    // If one link is known to be slow, the delay does not count for the other.
    let slow: Vec<BackendKey> = both.iter().copied().filter(explains).collect();
    let measured = if waited > 0.0 && !slow.is_empty() {
        slow
    } else {
        both
    };
    for key in measured {
        if let Some(instance) = arena.get_mut(key) {
            instance.link.learn(waited, now);
        }
    }
    if let Some(instance) = source.and_then(|key| arena.get_mut(key)) {
        instance.record_kv_transfer(true, now);
    }
}

/// Records the time between two events of a stream. A silence states nothing about the speed of its engine.
pub fn record_gap(core: &mut Core, key: AttemptKey, gap: Duration) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let is_silence = gap >= silent_gap(&core.relay.calls[attempt.call]);
    let by_load = choose::places_by_gaps(core);
    let instance = core.relay.instances.arena.get_mut(attempt.backend);
    if let Some(instance) = instance.filter(|_| !is_silence) {
        let model = core.relay.cost_model.of_mut(&instance.service);
        if !by_load {
            model.record_event_gap(millis(gap), &mut instance.pace);
        } else if !prefills(model, instance) {
            let load = gap_load(instance, instance.work());
            model.record_loaded_gap(millis(gap), load, &mut instance.pace);
        }
    }
}

/// Records how long a stream that has ended held its slot. The time before its first event does not
/// count: it contains the wait for a slot, which would grow with its own estimate.
pub fn record_run(core: &mut Core, key: AttemptKey) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let instance = core.relay.instances.arena.get(attempt.backend);
    let engine = instance.filter(|instance| instance.stage.is_some());
    if let Some((instance, began)) = engine.zip(attempt.began) {
        let model = core.relay.cost_model.of_mut(&instance.service);
        model.record_run(millis(core.now.since(began)), instance.pace);
    }
}

/// Returns the load on which the gaps of an engine's streams depend, if this is its work. Requests
/// that wait for a slot do not lengthen the gaps of others.
#[must_use]
pub fn gap_load(instance: &Instance, work: Work) -> GapLoad {
    GapLoad {
        requests: work.calls.min(instance.slots),
        context: work.context,
    }
}

/// Whether an engine has prompts queued that explain a good part of a gap: such a gap does not show
/// how it depends on the running requests.
fn prefills(model: &ServiceModel, instance: &Instance) -> bool {
    let queue = prefill_ms(model, instance, instance.work().tokens);
    let gap = model.event_gap_ms(instance.pace);
    gap.is_some_and(|gap| queue > gap * MAX_PREFILL_FRACTION)
}

/// Time of queued prompts, as a fraction of the mean gap, up to which a gap is a sample.
const MAX_PREFILL_FRACTION: f64 = 0.25;

/// Returns the time without an answer after which an attempt counts as silent.
#[must_use]
pub fn silence_timeout(
    call: &Call,
    attempt: &Attempt,
    last_answer: Option<Time>,
    now: Time,
) -> Duration {
    if attempt.began.is_some() {
        return silent_gap(call);
    }
    let alive = last_answer.is_some_and(|at| now.since(at) < ALIVE_WINDOW);
    let expected = from_millis(attempt.expected_ms * SILENCE_FACTOR);
    if alive && call.prompt.is_some() {
        return expected + BUSY_ALLOWANCE;
    }
    if call.prompt.is_none() {
        return expected.max(call.route.target);
    }
    expected + from_millis(millis(call.route.target).mul_add(0.5, SILENCE_MARGIN_MS))
}

/// Returns the time between two events after which a stream counts as silent.
#[must_use]
pub fn silent_gap(call: &Call) -> Duration {
    (call.route.gap_target * 4).max(MIN_STREAM_GAP)
}

/// Time since an engine's last answer within which it counts as alive.
const ALIVE_WINDOW: Duration = Duration::from_millis(400);
/// Time in addition to the expected that a live engine may take: its queue may be longer than
/// known, and a retry would prefill the same prompt twice.
const BUSY_ALLOWANCE: Duration = Duration::from_millis(1500);
/// Multiple of the expected time after which an attempt counts as silent.
const SILENCE_FACTOR: f64 = 3.0;
/// Time in addition to that and to half of the target, at an engine without a recent answer.
const SILENCE_MARGIN_MS: f64 = 300.0;
/// Minimum gap after which a stream counts as silent: callers give up after two seconds.
const MIN_STREAM_GAP: Duration = Duration::from_millis(900);
