//! How many engines of a service should prefill for others.

use std::time::Duration;

use super::super::time::Time;

/// Time over which the prompts at the prefill engines are averaged: a shorter burst ends before an order helps.
const MEAN_WINDOW: Duration = Duration::from_secs(10);
/// Time constant with which the highest average is forgotten, and with which the traffic becomes known.
const PEAK_WINDOW: Duration = Duration::from_mins(2);
/// Fraction of the prefill engines that are expected to be busy while no traffic is known.
const EXPECTED_BUSY_FRACTION: f64 = 0.5;
/// Time for which the traffic is expected to stay as it is.
const HORIZON: Duration = Duration::from_mins(1);
/// Fraction of the decode slots that are taken from which on more decode engines are needed all the same.
const FULL_FRACTION: f64 = 0.75;

/// Engines of a service, as far as the split between the stages depends on them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Split {
    /// All engines.
    pub engines: usize,
    /// Those that prefill for others.
    pub prefill: usize,
    /// Prompts that are prefilled at a time; [`planned_prefill`] computes them.
    pub prompts: f64,
    /// Fraction of the slots of the others that are taken.
    pub decode_load: f64,
    /// Fraction of the engines that prefill where all are needed.
    pub fraction: f64,
    /// Time that a change of stage takes.
    pub switch_time: Duration,
}

/// Prompts that the prefill engines of a service work on at a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Fraction of the time to know the traffic that has been observed.
    known: f64,
    /// Average over the last seconds.
    mean: f64,
    /// Highest average of the last minutes.
    peak: f64,
    /// Time of the last sample.
    at: Option<Time>,
}

impl Demand {
    /// Records the number of prompts at a service's prefill engines, of which so many are busy.
    ///
    /// While an engine is idle, prompts that wait for others do so for their cached prefixes, and not for want of engines.
    pub fn record(&mut self, prompts: u32, busy: usize, prefill: usize, now: Time) {
        let sample = if busy < prefill {
            busy as f64
        } else {
            f64::from(prompts)
        };
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.since(at));
        self.at = Some(now);
        self.mean += (sample - self.mean) * decay(elapsed, MEAN_WINDOW);
        let weight = decay(elapsed, PEAK_WINDOW);
        self.known += (1.0 - self.known) * weight;
        self.peak -= self.peak * weight;
        self.peak = self.peak.max(self.mean);
    }

    /// Returns the prompts that this many engines prefill at a time in the busiest seconds of the last minutes.
    ///
    /// A host that has just started knows no traffic. It expects some, as orders are best given before it comes.
    #[must_use]
    pub fn prompts(&self, prefill: usize) -> f64 {
        let expected = prefill as f64 * EXPECTED_BUSY_FRACTION;
        self.peak.max(expected * (1.0 - self.known))
    }
}

/// Returns the weight of what is new after `elapsed` in an average over `window`.
fn decay(elapsed: Duration, window: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}

/// Returns how many engines should prefill.
///
/// An order makes an engine unavailable for seconds. Each one has to save callers more time than that, so that fleets
/// keep their roles while nobody waits; a service needs an engine of each stage in any case.
#[must_use]
pub fn wanted_prefill(split: Split) -> usize {
    let Split {
        engines, prefill, ..
    } = split;
    let max = engines.saturating_sub(1);
    let min = usize::from(engines > 1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of the engines"
    )]
    let full = (engines as f64 * split.fraction).round() as usize;
    let full = full.clamp(min, max);
    if prefill > full && split.decode_load >= FULL_FRACTION {
        return full;
    }
    let kept = prefill.clamp(min, max);
    if kept >= full {
        return kept;
    }
    // Its requests run to completion before, so that an engine is away for the change alone.
    let cost = split.switch_time.as_secs_f64();
    needed(split.prompts, kept, full, cost / HORIZON.as_secs_f64())
}

/// Returns how many engines should prefill, given the demand.
///
/// A host that knows no traffic expects the engines that it orders to be half busy as well: it orders all of them at once
/// and not one after the other, as long as no traffic suffers.
#[must_use]
pub fn planned_prefill(split: Split, demand: Demand) -> usize {
    let mut wanted = split.prefill;
    loop {
        let prompts = demand.prompts(wanted);
        let next = wanted_prefill(Split { prompts, ..split });
        if next <= wanted {
            return next;
        }
        wanted = next;
    }
}

/// Returns the number of engines from `from` to `to` above which another one shortens the queue by less than `gain` prompts.
///
/// The mean length of the queue is that of an M/M/c queue, by the Erlang B formula.
fn needed(prompts: f64, from: usize, to: usize, gain: f64) -> usize {
    let mut blocked = 1.0;
    let mut previous = f64::INFINITY;
    for engines in 1..=to {
        let count = engines as f64;
        blocked = prompts * blocked / prompts.mul_add(blocked, count);
        let load = prompts / count;
        let queue = if load < 1.0 {
            let waiting = blocked / (1.0 - load * (1.0 - blocked));
            waiting * load / (1.0 - load)
        } else {
            f64::INFINITY
        };
        if engines > from && previous.is_finite() && previous - queue < gain {
            return engines - 1;
        }
        previous = queue;
    }
    to
}
