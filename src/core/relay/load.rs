//! What work takes: expectations, and what is learned from each answer.
//!
//! Engines report their load late, and a report costs a call. Every host knows what it sent
//! itself, and the others tell what they sent; what an engine still has to do follows from both.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::key::AttemptKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Stage, Task};
use super::instance::Instance;
use super::{Attempt, Call, millis, note, span};

/// Milliseconds a prompt token takes at an engine of pace 1 that prefills.
///
/// Engines differ in speed and are not described; the pace of each is learned within a few
/// requests. This is where learning starts: 40 tokens a millisecond.
pub const PREFILL_TOKEN: f64 = 0.025;
/// Milliseconds until an idle engine has read the shortest prompt, before any was measured.
const BASE: f64 = 50.0;
/// Weight of a measurement above and below what is known of the shortest time: queues make it
/// longer now and then, nothing makes it shorter.
const BASE_STEP: (f64, f64) = (0.01, 0.2);
/// Milliseconds of reading from which on a measurement tells of an engine's pace, and below which
/// it tells of the shortest time.
const TELLING: f64 = 25.0;
/// Milliseconds a prompt token takes at an engine of pace 1 that decodes: it reads at about half
/// the speed, in shorter pieces, between the tokens of others.
pub const WHOLE_TOKEN: f64 = 0.06;
/// Milliseconds from the end of the prefill to the first token at an idle engine that decodes,
/// beside the transfer itself.
pub const HANDOVER: f64 = 20.0;
/// Milliseconds by which each request that runs there delays the next token.
pub const STREAM: f64 = 0.6;
/// Weight of the newest measurement in an engine's pace.
const PACE_STEP: f64 = 0.2;
/// Bounds of the pace, far outside of the speeds seen.
const PACE: (f64, f64) = (0.15, 12.0);
/// Milliseconds a plain request takes before any was measured.
const LATENCY: f64 = 30.0;
/// Weight of the newest measurement in a plain server's latency.
const LATENCY_STEP: f64 = 0.15;
/// What requests took lately, over all backend servers.
#[derive(Debug, Default)]
pub struct Rates {
    /// Milliseconds until an idle engine has read the shortest prompt, by service and stage.
    bases: BTreeMap<(Box<str>, Stage), f64>,
}

impl Rates {
    /// Returns the milliseconds until an idle engine has read the shortest prompt.
    #[must_use]
    pub fn base(&self, service: &str, stage: Stage) -> f64 {
        let known = self.bases.get(&(service.into(), stage));
        known.copied().unwrap_or(BASE)
    }

    fn learn(&mut self, service: &str, stage: Stage, took: f64) {
        let base = self.bases.entry((service.into(), stage)).or_insert(took);
        let step = if took > *base {
            BASE_STEP.0
        } else {
            BASE_STEP.1
        };
        *base += (took - *base) * step;
    }
}

/// Returns the milliseconds that reading `tokens` takes there, with nothing ahead.
#[must_use]
pub fn reading(instance: &Instance, tokens: u64) -> f64 {
    let token = match instance.stage {
        Some(Stage::Prefill) => PREFILL_TOKEN,
        _ => WHOLE_TOKEN,
    };
    tokens as f64 * token * instance.pace
}

/// Returns the milliseconds a plain request takes there.
#[must_use]
pub fn latency(instance: &Instance) -> f64 {
    if instance.latency > 0.0 {
        instance.latency
    } else {
        LATENCY
    }
}

/// Learns from the time an attempt took to bring the first of its answer.
pub fn measured(core: &mut Core, key: AttemptKey, took: f64, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (expected, ahead, fetching) = (attempt.expected, attempt.ahead, attempt.fetching);
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
    instance.heard = Some(now);
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
            ("pace", format!("{:.2}", instance.pace).into()),
            ("ahead", ahead.to_string().into()),
            ("fetching_ms", format!("{fetching:.0}").into()),
        ],
    );
    if instance.stage.is_none() {
        let old = latency(instance);
        instance.latency = old + (took - old) * LATENCY_STEP;
    } else if let Some(stage) = instance.stage
        && matches!(task, Task::Prefill | Task::Whole)
    {
        let base = core.relay.rates.base(&instance.service, stage);
        let nominal = reading(instance, ahead) / instance.pace;
        let took = took - fetching;
        if nominal >= TELLING {
            let seen = ((took - base) / nominal).clamp(PACE.0, PACE.1);
            instance.pace += (seen - instance.pace) * PACE_STEP;
        } else {
            let took = took - nominal * instance.pace;
            core.relay
                .rates
                .learn(&instance.service.clone(), stage, took);
        }
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
