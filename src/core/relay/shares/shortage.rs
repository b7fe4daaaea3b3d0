//! A shortage of one service, and the engine time that the service can serve in time.
//!
//! The latter is not measured directly: slow engines, links and the mix of prompts change it within seconds. It follows
//! what customers use, and is lowered while customers with less than their shares are refused more.

use std::time::Duration;

use super::division::{Demand, Division};
use crate::core::time::Time;

/// Time since the last refused or late request for which a service is short.
const SHORTAGE: Duration = Duration::from_secs(1);
/// Time for which requests are refused for fairness after some customers last had more than their shares and others
/// less: some changes of the estimate, so that it approaches what the service serves before they end.
const CONTENTION: Duration = Duration::from_secs(6);
/// Time in which the estimate follows what is used: the reports of all hosts arrive within it.
const SETTLING: Duration = Duration::from_secs(1);
/// Time between two changes of the estimate: usage reported by the other hosts arrives within it.
const ADJUST_INTERVAL: Duration = Duration::from_millis(400);
/// Time by which a reported overload must be newer than the last one. A smaller difference is the time in which a report of
/// the same overload came back from other hosts.
const MIN_OVERLOAD_ADVANCE: Duration = Duration::from_millis(50);
/// Fraction of the time of a service's engines that it always serves in time. While customers use less, a shortage has
/// other causes than them, for instance slow engines, and nobody is refused.
const MIN_FRACTION: f64 = 0.25;
/// The same for the first estimate, unless more is used. What is used when a shortage begins may be far less than the
/// service serves, since the window contains the time before the burst.
const FIRST_FRACTION: f64 = 0.7;
/// Withheld engine time, as a fraction of the estimate, up to which the estimate is not lowered: single requests of
/// any customer are refused for want of a slot or of an engine within reach.
const TOLERANCE: f64 = 0.01;
/// Part of the withheld fraction by which the estimate is lowered. Withheld time stays in the window after its cause is
/// gone; a larger part would lower the estimate several times for it.
const GAIN: f64 = 0.5;
/// Smallest factor on the estimate.
const MIN_FACTOR: f64 = 0.9;
/// Smallest estimate, as a fraction of the most that was used in a window of the shortage. Equal customers use more or
/// less than their shares by chance; the estimate must not follow what is used down for that.
const MIN_OF_PEAK: f64 = 0.9;
/// Factor on that peak at each change of the estimate: engines may become slower during a shortage.
const PEAK_DECAY: f64 = 0.98;
/// Factor while nothing is withheld.
const FAST_INCREASE: f64 = 1.15;
/// Factor while no more is withheld than tolerated.
const INCREASE: f64 = 1.05;
/// Largest estimate, as a multiple of what is used.
const MAX_HEADROOM: f64 = 1.05;

/// A shortage of one service.
#[derive(Debug)]
pub struct Shortage {
    /// When it began.
    pub since: Time,
    /// When a request was last refused or placed late.
    last_overload: Time,
    /// Milliseconds of engine time that the service can serve in a window; `None` before the first estimate.
    capacity: Option<f64>,
    /// When that was last changed.
    adjusted: Time,
    /// Whether it includes other hosts, and since when.
    receives_reports: (bool, Time),
    /// Most engine time used in a window, decayed.
    peak: f64,
    /// When some customers last had more than their shares and others less.
    unfair_at: Option<Time>,
    /// The division in force, if that was lately.
    pub division: Option<Division>,
    /// Requests that this host refused.
    pub refused: u64,
}

impl Shortage {
    /// Returns a shortage that began with a request that was refused or placed late at a time.
    #[must_use]
    pub fn new(overload: Time, now: Time) -> Self {
        Self {
            since: now,
            last_overload: overload,
            capacity: None,
            adjusted: now,
            receives_reports: (false, now),
            peak: 0.0,
            unfair_at: None,
            division: None,
            refused: 0,
        }
    }

    /// Records that this host refused a request or placed it late.
    pub fn record_overload(&mut self, now: Time) {
        self.last_overload = now;
    }

    /// Records that another host did so at a time.
    pub fn reported(&mut self, overload: Time) {
        if overload > self.last_overload.after(MIN_OVERLOAD_ADVANCE) {
            self.last_overload = overload;
        }
    }

    /// Returns the time since a request was last refused or placed late.
    #[must_use]
    pub fn overload_age(&self, now: Time) -> Duration {
        now.since(self.last_overload)
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        has_ended(self.overload_age(now))
    }

    /// Divides the service between customers that use and want so much, given the time of its engines in a window, and
    /// whether both include other hosts.
    pub fn divide(
        &mut self,
        demands: &mut [Demand],
        engines: f64,
        receives_reports: bool,
        now: Time,
    ) {
        if self.receives_reports.0 != receives_reports {
            // What was estimated for one host states nothing about all of them, and the reverse.
            self.receives_reports = (receives_reports, now);
            self.capacity = None;
            self.peak = 0.0;
        }
        let used = demands
            .iter()
            .map(|demand| demand.used * f64::from(demand.customers));
        let used: f64 = used.sum();
        let first = used.max(engines * FIRST_FRACTION);
        let is_settled = now.since(self.receives_reports.1) >= SETTLING;
        let capacity = match self.capacity {
            Some(capacity) if self.is_contended(now) && is_settled => capacity,
            Some(capacity) if self.is_contended(now) => capacity.max(first),
            // While no customer is refused for fairness, all that is used is served.
            _ => first,
        };
        let capacity = capacity.max(engines * MIN_FRACTION);
        let division = Division::of(capacity, demands);
        let withheld = division.map_or(0.0, |division| division.withheld(demands));
        self.capacity = Some(capacity);
        if now.since(self.adjusted) >= ADJUST_INTERVAL {
            self.adjust(capacity, used, withheld);
            self.adjusted = now;
        }
        // Without engines there is nothing to divide.
        let division = division.filter(|_| engines > 0.0);
        let is_over = |division: Division| {
            let mut all = demands.iter();
            all.any(|demand| division.is_over(demand.rank, demand.used))
        };
        // A refusal for fairness helps only if some have more than their shares and others less.
        let is_unfair = withheld > capacity * TOLERANCE && division.is_some_and(is_over);
        if is_unfair {
            self.unfair_at = Some(now);
        }
        self.division = division.filter(|_| self.is_contended(now));
    }

    /// Whether requests are refused for fairness.
    fn is_contended(&self, now: Time) -> bool {
        let lately = |at: Time| now.since(at) < CONTENTION;
        self.unfair_at.is_some_and(lately)
    }

    /// Changes the estimate by what is used and withheld.
    fn adjust(&mut self, capacity: f64, used: f64, withheld: f64) {
        self.peak = used.max(self.peak * PEAK_DECAY);
        let fraction = withheld / capacity;
        self.capacity = Some(if fraction > TOLERANCE {
            let lowered = capacity * (1.0 - fraction * GAIN).max(MIN_FACTOR);
            lowered.max(capacity.min(self.peak * MIN_OF_PEAK))
        } else {
            let factor = if withheld > 0.0 {
                INCREASE
            } else {
                FAST_INCREASE
            };
            capacity.max((capacity * factor).min(used * MAX_HEADROOM))
        });
    }
}

/// Whether a shortage has ended whose last overload has this age.
#[must_use]
pub fn has_ended(overload_age: Duration) -> bool {
    overload_age > SHORTAGE
}
