//! Demand of a service, in engines, as every host measures it.
//!
//! A host counts the prompts that it sends or refuses and reports their rate with its load. The prompts' engine time does
//! not depend on how long they wait, unlike the queues at engines, which grow with their own cause.

use std::collections::VecDeque;
use std::time::Duration;

use super::super::super::instance::Instance;
use super::super::super::model::ServiceModel;
use crate::core::relay::event::Stage;
use crate::core::time::Time;

/// Time over which the demand is averaged: the rates of single periods fluctuate by chance.
const MEAN_WINDOW: Duration = Duration::from_secs(2);
/// Time for which the highest demand is kept.
const PEAK_WINDOW: Duration = Duration::from_mins(2);
/// Part of that time for which one highest demand is kept, which bounds their number.
const PEAK_PERIOD: Duration = Duration::from_secs(5);
/// Time over which the trend is determined, and half of which it needs.
const TREND_WINDOW: Duration = Duration::from_secs(8);
/// Time after which observed traffic is known.
const KNOWN_AFTER: Duration = Duration::from_secs(10);
/// Duration of a run before any ended at this host, in milliseconds.
const INITIAL_RUN_MS: f64 = 1000.0;
/// Weight of the newest run in their average duration.
const RUN_WEIGHT: f64 = 0.05;

/// Demand at one time, in engines.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Engine time of the prompts that arrive.
    pub prompts: f64,
    /// Slots of the requests that run.
    pub runs: f64,
}

impl Sample {
    /// Returns the whole demand.
    #[must_use]
    pub fn total(self) -> f64 {
        self.prompts + self.runs
    }

    /// Returns the demand at these servers of a service, from what all hosts report.
    ///
    /// Requests beyond the slots of a server wait and are no demand: they would be served where there are more servers.
    pub fn measure<'a>(servers: impl Iterator<Item = &'a Instance>, model: &ServiceModel) -> Self {
        let (mut tokens, mut runs) = (0, 0.0);
        for server in servers {
            let work = server.work();
            tokens += work.prompt_rate;
            if server.stage != Some(Stage::Prefill) {
                runs += f64::from(work.calls.min(server.slots)) / f64::from(server.slots);
            }
        }
        Self {
            prompts: model.unqueued_prefill_ms(tokens) / 1000.0,
            runs,
        }
    }
}

/// Highest demand in a period.
#[derive(Debug, Clone, Copy)]
struct Peak {
    began: Time,
    /// Whole demand, in engines.
    total: f64,
    /// Demand by prompts alone.
    prompts: f64,
}

/// Demand of a service in the last minutes.
#[derive(Debug, Clone)]
pub struct Demand {
    /// When traffic was first observed.
    since: Option<Time>,
    /// Time of the last sample.
    at: Option<Time>,
    /// Average over the last seconds.
    mean: Sample,
    /// Highest averages of the last periods, oldest first.
    peaks: VecDeque<Peak>,
    /// Recent averages of the whole demand, oldest first.
    recent: VecDeque<(Time, f64)>,
    /// Average duration of the runs that ended at this host, in milliseconds.
    run_ms: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            since: None,
            at: None,
            mean: Sample::default(),
            peaks: VecDeque::new(),
            recent: VecDeque::new(),
            run_ms: INITIAL_RUN_MS,
        }
    }
}

impl Demand {
    /// Records the demand of the last period.
    pub fn record(&mut self, sample: Sample, now: Time) {
        if self.since.is_none() && sample.total() <= 0.0 {
            return;
        }
        self.since.get_or_insert(now);
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.since(at));
        self.at = Some(now);
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEAN_WINDOW.as_secs_f64()).exp();
        self.mean.prompts += (sample.prompts - self.mean.prompts) * weight;
        self.mean.runs += (sample.runs - self.mean.runs) * weight;
        self.record_peak(now);
        self.recent.push_back((now, self.mean.total()));
        drop_older(&mut self.recent, |(at, _)| now.since(*at) > TREND_WINDOW);
    }

    fn record_peak(&mut self, now: Time) {
        let (total, prompts) = (self.mean.total(), self.mean.prompts);
        drop_older(&mut self.peaks, |peak| now.since(peak.began) > PEAK_WINDOW);
        match self.peaks.back_mut() {
            Some(peak) if now.since(peak.began) < PEAK_PERIOD => {
                peak.total = peak.total.max(total);
                peak.prompts = peak.prompts.max(prompts);
            }
            _ => self.peaks.push_back(Peak {
                began: now,
                total,
                prompts,
            }),
        }
    }

    /// Records the duration of a run that ended at this host.
    pub fn record_run(&mut self, duration: Duration) {
        self.run_ms += (duration.as_secs_f64() * 1000.0 - self.run_ms) * RUN_WEIGHT;
    }

    /// Returns the average duration of a run, in milliseconds.
    #[must_use]
    pub fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Returns whether traffic has been observed for long enough.
    #[must_use]
    pub fn is_known(&self, now: Time) -> bool {
        self.since.is_some_and(|at| now.since(at) >= KNOWN_AFTER)
    }

    /// Returns the average demand of the last seconds.
    #[must_use]
    pub fn mean(&self) -> Sample {
        self.mean
    }

    /// Returns the highest demand of the last minutes, in engines.
    #[must_use]
    pub fn peak(&self) -> f64 {
        self.peaks.iter().map(|peak| peak.total).fold(0.0, f64::max)
    }

    /// Returns the highest demand by prompts alone of the last minutes, in engines.
    #[must_use]
    pub fn prompts_peak(&self) -> f64 {
        let prompts = self.peaks.iter().map(|peak| peak.prompts);
        prompts.fold(0.0, f64::max)
    }

    /// Returns the demand that the linear trend of the last seconds reaches after a time; `None` while it is unknown.
    #[must_use]
    pub fn trend(&self, after: Duration) -> Option<f64> {
        let (first, last) = (self.recent.front()?.0, self.recent.back()?.0);
        if last.since(first) < TREND_WINDOW / 2 {
            return None;
        }
        let points = self.recent.iter();
        let points = points.map(|(at, demand)| (at.since(first).as_secs_f64(), *demand));
        let count = self.recent.len() as f64;
        let (sum_x, sum_y) = points
            .clone()
            .fold((0.0, 0.0), |sum, (x, y)| (sum.0 + x, sum.1 + y));
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let (covariance, variance) = points.fold((0.0, 0.0), |sum, (x, y)| {
            let (x, y) = (x - mean_x, y - mean_y);
            (x.mul_add(y, sum.0), x.mul_add(x, sum.1))
        });
        let slope = covariance / variance;
        let reached = (last.since(first) + after).as_secs_f64() - mean_x;
        Some(slope.mul_add(reached, mean_y).max(0.0))
    }
}

/// Drops the first entries as long as they are too old.
fn drop_older<T>(entries: &mut VecDeque<T>, is_old: impl Fn(&T) -> bool) {
    while entries.front().is_some_and(&is_old) {
        entries.pop_front();
    }
}
