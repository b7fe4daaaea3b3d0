//! What work takes: expectations, and what is learned from each answer.
//!
//! Engines report their load late, and a report costs a call. Every host knows what it sent
//! itself, and the others tell what they sent; what an engine still has to do follows from both.

use std::time::Duration;

use super::super::key::{AttemptKey, BackendKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Stage, Task};
use super::instance::Instance;
use super::model::{Learned, Sample};
use super::{Attempt, Call, millis, note, span};

/// Milliseconds by which each request that runs there delays the next token.
pub const STREAM: f64 = 0.6;
/// Milliseconds a plain request takes before any was measured.
const LATENCY: f64 = 30.0;
/// Weight of the newest measurement in a plain server's latency.
const LATENCY_STEP: f64 = 0.15;

/// Returns the milliseconds that reading `tokens` takes there, with nothing ahead.
#[must_use]
pub fn reading(learned: &Learned, instance: &Instance, tokens: u64) -> f64 {
    let stage = instance.stage.unwrap_or(Stage::Decode);
    learned.reading(stage, instance.pace, tokens)
}

/// Returns the milliseconds that work takes at an average engine which takes so many there.
///
/// What a request costs others is counted by this: the same work takes the same part of what all
/// engines can do, and a slow engine that is idle is to be used. Counted by the engine's own time,
/// short prompts waited at fast engines, and long ones, which only those can serve in time, behind
/// them: a mean worth of 0.732 over fifteen days, and 0.736 counted alike.
#[must_use]
pub fn usual(instance: &Instance, millis: f64) -> f64 {
    millis / instance.pace.slow
}

/// Returns the milliseconds a plain request takes there.
#[must_use]
pub fn latency(instance: &Instance) -> f64 {
    if instance.latency_ms > 0.0 {
        instance.latency_ms
    } else {
        LATENCY
    }
}

/// Learns from the time an attempt took to bring the first of its answer.
pub fn measured(core: &mut Core, key: AttemptKey, took: f64, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (expected, reads) = (attempt.expected, attempt.reads);
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
            ("task", super::call::task_word(&task).into()),
            ("took_ms", format!("{took:.0}").into()),
            ("expected_ms", format!("{expected:.0}").into()),
            ("pace", format!("{:.2}", instance.pace.slow).into()),
            ("reads", reads.unread.to_string().into()),
            ("held", reads.held.to_string().into()),
            ("ahead", reads.ahead.to_string().into()),
            ("before_ms", format!("{:.0}", reads.before).into()),
        ],
    );
    if instance.stage.is_none() {
        let old = latency(instance);
        instance.latency_ms = old + (took - old) * LATENCY_STEP;
    } else if let Some(stage) = instance.stage
        && matches!(task, Task::Prefill | Task::Whole)
    {
        let sample = Sample {
            took: took - reads.before,
            unread: reads.unread,
            held: reads.held,
            ahead: reads.ahead,
        };
        let learned = core.relay.model.of_mut(&instance.service);
        learned.read(stage, &sample, &mut instance.pace);
    } else if matches!(task, Task::Decode { .. }) {
        handed_over(core, key, took);
    }
}

/// Times as long as expected that a hand-over may take before it waited for a link: engines that
/// read a long prompt meanwhile, or start a step for many streams, take twice as long now and then.
const LINK_TIMES: f64 = 3.0;

/// Learns from the time that a hand-over took: what engines need for it, or which link is slow.
fn handed_over(core: &mut Core, key: AttemptKey, took: f64) {
    let attempt = &core.relay.attempts[key];
    let (target, reads) = (attempt.backend, attempt.reads);
    let source = core.relay.calls.get(attempt.call);
    let source = source.and_then(|call| call.cache.as_ref().map(|cache| cache.engine));
    let now = core.now;
    let arena = &mut core.relay.instances.arena;
    let usual = reads.rest + reads.moving;
    let waited = if took > usual * LINK_TIMES {
        took - usual
    } else {
        0.0
    };
    if waited == 0.0
        && let Some(instance) = arena.get(target)
    {
        let own = took - reads.before;
        let learned = core.relay.model.of_mut(&instance.service);
        learned.handed_over(own, instance.pace);
    }
    let explains = |key: &BackendKey| {
        arena
            .get(*key)
            .is_some_and(|instance| instance.link.explains(waited, now))
    };
    let both: Vec<BackendKey> = source.into_iter().chain([target]).collect();
    // Where one is known to be slow, the other is not blamed for it.
    let blamed: Vec<BackendKey> = both.iter().copied().filter(explains).collect();
    let measured = if waited > 0.0 && !blamed.is_empty() {
        blamed
    } else {
        both
    };
    for key in measured {
        if let Some(instance) = arena.get_mut(key) {
            instance.link.learn(waited, now);
        }
    }
    if let Some(instance) = source.and_then(|key| arena.get_mut(key)) {
        instance.record_kv_transfer(true);
    }
}

/// Returns how long an attempt may bring nothing before it is taken for silent.
#[must_use]
pub fn silence(call: &Call, attempt: &Attempt, heard: Option<Time>, now: Time) -> Duration {
    if attempt.began {
        return (call.route.gap * 4).max(GAP_LEAST);
    }
    let alive = heard.is_some_and(|at| now.since(at) < ALIVE);
    let expected = span(attempt.expected * SILENCE);
    if alive && call.prompt.is_some() {
        return expected + BUSY;
    }
    if call.prompt.is_none() {
        return expected.max(call.route.target);
    }
    expected + span(millis(call.route.target).mul_add(0.5, SILENCE_LEAST))
}

/// Time since an engine last brought anything within which it is alive.
const ALIVE: Duration = Duration::from_millis(400);
/// Time beyond the expected that a live engine may take: what it does is not given up for a queue
/// that is longer than was known, or the same prompt would be read twice.
const BUSY: Duration = Duration::from_millis(1500);
/// Times the expected time after which an attempt is taken for silent.
const SILENCE: f64 = 3.0;
/// Milliseconds that an engine's attempt may be silent in any case.
const SILENCE_LEAST: f64 = 300.0;
/// Shortest pause after which a stream is taken for silent: callers give up after two seconds.
const GAP_LEAST: Duration = Duration::from_millis(900);
