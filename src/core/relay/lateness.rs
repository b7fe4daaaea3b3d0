//! Why streamed answers come late: by which stage of the request the target was missed.

use std::time::Duration;

use super::super::effect::{Effect, Meter};
use super::super::{Core, Effects};
use super::{Call, millis, note};
use crate::core::key::CallKey;

/// A stage whose measured time and whose expected time are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Stage {
    took: f64,
    expected: f64,
}

impl Stage {
    /// Returns by how much the stage took longer than expected.
    fn excess(self) -> f64 {
        self.took - self.expected
    }
}

/// Times of a request's stages, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Timing {
    /// The accepted prefill.
    prefill: Stage,
    /// From the last send to the first event.
    first: Stage,
    /// Attempts without a result.
    failed: f64,
    /// From arrival to the first event.
    first_event: Option<Duration>,
    /// Longest time between two events.
    longest_gap: Duration,
    /// Whether the run followed a prefill at another engine.
    is_handover: bool,
}

/// What made an answer late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No placement could have met the target by its estimate.
    Expected,
    /// Attempts that failed.
    Failed,
    /// Attempts that were left for another server, and waits between attempts.
    Moved,
    /// The prefill took longer than expected.
    Prefill,
    /// The run after a prefill began later than expected.
    Handover,
    /// The engine that also prefills began its answer later than expected.
    Whole,
    /// The engine paused between two events.
    Pause,
}

impl Cause {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::Failed => "failed",
            Self::Moved => "moved",
            Self::Prefill => "prefill",
            Self::Handover => "handover",
            Self::Whole => "whole",
            Self::Pause => "pause",
        }
    }
}

impl Timing {
    /// Records a finished prefill.
    pub fn prefilled(&mut self, took: f64, expected: f64) {
        self.prefill = Stage { took, expected };
    }

    /// Records an attempt that ended without a result after `took` milliseconds. Once the answer has begun, it lengthens a gap.
    pub fn failed(&mut self, took: f64) {
        if self.first_event.is_none() {
            self.failed += took;
        }
    }

    /// Records the first event of an answer, `took` milliseconds after its request was last sent.
    pub fn began(&mut self, is_handover: bool, expected: f64, took: f64, after: Duration) {
        self.first = Stage { took, expected };
        self.is_handover = is_handover;
        self.first_event = Some(after);
    }

    /// Returns the time from arrival to the first event, once it has arrived.
    #[must_use]
    pub fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Records the time between two events that the caller received.
    pub fn paused(&mut self, gap: Duration) {
        self.longest_gap = self.longest_gap.max(gap);
    }

    /// Returns what made the answer late, if it is late by these targets.
    ///
    /// A late first event is the fault of the stage that exceeded its expected time the most.
    #[must_use]
    pub fn cause(&self, target: Duration, gap_target: Duration) -> Option<Cause> {
        let first = self.first_event?;
        if first <= target {
            let pauses = !gap_target.is_zero() && self.longest_gap > gap_target;
            return pauses.then_some(Cause::Pause);
        }
        let run = if self.is_handover {
            Cause::Handover
        } else {
            Cause::Whole
        };
        let other = millis(first) - self.failed - self.prefill.took - self.first.took;
        let stages = [
            (self.failed, Cause::Failed),
            (other, Cause::Moved),
            (self.prefill.excess(), Cause::Prefill),
            (self.first.excess(), run),
        ];
        let missed = millis(first.saturating_sub(target));
        let (worst, cause) = stages
            .into_iter()
            .max_by(|one, two| one.0.total_cmp(&two.0))?;
        // Without the excess of all stages the answer would still have been late.
        let excess: f64 = stages.iter().map(|(excess, _)| excess.max(0.0)).sum();
        Some(if worst <= 0.0 || excess < missed {
            Cause::Expected
        } else {
            cause
        })
    }
}

/// Records and logs why a streamed answer that has ended was late.
pub(super) fn answered(core: &Core, key: CallKey, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let cause = call.timing.cause(call.route.target, call.route.gap_target);
    let Some(cause) = cause.filter(|_| call.route.streaming) else {
        return;
    };
    out.push(Effect::Meter(Meter::Late {
        class: call.route.name.clone(),
        cause: cause.name(),
    }));
    log_late(core, call, cause, out);
}

fn log_late(core: &Core, call: &Call, cause: Cause, out: &mut Effects) {
    let timing = &call.timing;
    let backend = call.attempt.and_then(|key| core.relay.attempts.get(key));
    let backend = backend.and_then(|attempt| core.relay.instances.arena.get(attempt.backend));
    let text = |millis: f64| format!("{millis:.0}").into();
    note(
        out,
        log::Level::Info,
        "request.late",
        vec![
            ("id", call.id.clone()),
            ("route", call.route.name.clone()),
            ("backend", backend.map_or("".into(), |i| i.id.clone())),
            ("cause", cause.name().into()),
            ("target_ms", text(millis(call.route.target))),
            ("first_ms", text(timing.first_event.map_or(0.0, millis))),
            ("pause_ms", text(millis(timing.longest_gap))),
            ("failed_ms", text(timing.failed)),
            ("prefill_ms", text(timing.prefill.took)),
            ("prefill_expected_ms", text(timing.prefill.expected)),
            ("run_ms", text(timing.first.took)),
            ("run_expected_ms", text(timing.first.expected)),
        ],
    );
}
