//! How many workers the demand of a service needs, and when fewer are ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::Demand;
use super::plan::{Supply, Workers};
use crate::core::time::Time;

/// Time for which a lower number must have been enough before it is ordered.
const REDUCE_AFTER: Duration = Duration::from_secs(10);
/// Longest time between two plans that counts towards it: longer ones were not observed.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Workers that a service needs by its demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// With headroom for bursts.
    pub workers: u32,
    /// For the expected demand, without headroom: more than the fixed fractions are ordered only for these.
    pub expected: u32,
    /// For the highest demand, without headroom: these must remain after a loss of spot workers.
    pub least: u32,
    /// For the prompts alone, without headroom.
    pub prompts: u32,
}

/// Returns the workers that a service needs by the demand observed so far.
///
/// `boot` is the time that a worker takes to start, and `floor` the workers without which the service cannot serve.
#[must_use]
pub fn forecast(demand: &Demand, headroom: f64, boot: Duration, floor: u32) -> Forecast {
    let peak = demand.peak();
    let expected = peak.max(demand.trend(boot).unwrap_or_default());
    let needed = expected.max(peak * headroom);
    Forecast {
        workers: whole(needed + expected.sqrt()).max(floor),
        expected: staffed(expected).max(floor),
        least: staffed(peak).max(floor),
        prompts: staffed(demand.prompts_peak()),
    }
}

/// Returns the workers that serve a demand with short queues, by the square-root rule.
fn staffed(demand: f64) -> u32 {
    whole(demand + demand.sqrt())
}

fn whole(workers: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number of workers, never below zero"
    )]
    let workers = workers.ceil() as u32;
    workers
}

/// A number of workers in force, and the lower one that may replace it.
#[derive(Debug, Clone, Copy)]
struct Held {
    count: u32,
    /// Highest of the lower numbers since they are lower.
    lower: u32,
    /// Observed time for which the number has been lower.
    lower_for: Duration,
}

/// Numbers of workers in force by failure domain and kind, which follow the plan upwards at once and downwards late.
#[derive(Debug, Clone, Default)]
pub struct Hold {
    fence: u64,
    at: Time,
    held: BTreeMap<(Box<str>, Supply), Held>,
}

impl Hold {
    /// Records a plan: higher numbers are in force at once, lower ones not before [`Hold::reduced`].
    ///
    /// A new holder of the authority, which has another fencing number, starts with the workers present. Time does not
    /// count while `is_complete` is false: the demand of some hosts is not known.
    pub fn record(
        &mut self,
        fence: u64,
        plan: &BTreeMap<Box<str>, Workers>,
        present: &BTreeMap<Box<str>, Workers>,
        is_complete: bool,
        now: Time,
    ) {
        if self.fence != fence {
            *self = Self {
                fence,
                at: now,
                held: BTreeMap::new(),
            };
        }
        let step = if is_complete {
            now.since(self.at).min(MAX_STEP)
        } else {
            Duration::ZERO
        };
        self.at = now;
        self.held.retain(|(domain, _), _| plan.contains_key(domain));
        for (domain, planned, supply) in subjects(plan) {
            let initial = present.get(domain).map_or(0, |workers| workers.of(supply));
            let held = self.held.entry((domain.clone(), supply)).or_insert(Held {
                count: initial,
                lower: 0,
                lower_for: Duration::ZERO,
            });
            if planned >= held.count {
                (held.count, held.lower, held.lower_for) = (planned, 0, Duration::ZERO);
            } else {
                held.lower = held.lower.max(planned);
                held.lower_for += step;
            }
        }
    }

    /// Puts other numbers in force, while the demand is not known.
    pub fn replace(&mut self, targets: &BTreeMap<Box<str>, Workers>) {
        for (domain, count, supply) in subjects(targets) {
            if let Some(held) = self.held.get_mut(&(domain.clone(), supply)) {
                held.count = count;
            }
        }
    }

    /// Returns the numbers in force, of which those are reduced that have been too high for long enough.
    pub fn reduced(&mut self, is_complete: bool) -> BTreeMap<Box<str>, Workers> {
        let mut targets: BTreeMap<Box<str>, Workers> = BTreeMap::new();
        for ((domain, supply), held) in &mut self.held {
            if is_complete && held.lower_for >= REDUCE_AFTER {
                let count = held.count.min(held.lower);
                (held.count, held.lower, held.lower_for) = (count, 0, Duration::ZERO);
            }
            let workers = targets.entry(domain.clone()).or_default();
            match supply {
                Supply::Regular => workers.regular = held.count,
                Supply::Spot => workers.spot = held.count,
            }
        }
        targets
    }
}

/// Returns the number of workers of each kind in each failure domain.
fn subjects(
    workers: &BTreeMap<Box<str>, Workers>,
) -> impl Iterator<Item = (&Box<str>, u32, Supply)> {
    let kinds = [Supply::Regular, Supply::Spot];
    workers
        .iter()
        .flat_map(move |(domain, workers)| kinds.map(|supply| (domain, workers.of(supply), supply)))
}
