//! Recent fraction of the requests to a server that failed.

use std::time::Duration;

use crate::core::time::Time;

/// Weight of the newest request; the fraction adapts within about ten requests.
const WEIGHT: f64 = 0.1;
/// Time in which the fraction halves: an avoided server gets too few requests to show that it is sound, and has to be tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Lower bound of the fraction that succeeds, for the number of failures to each success.
const MIN_SUCCESS_FRACTION: f64 = 0.1;

/// Recent fraction of requests that failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    fraction: f64,
    updated: Time,
}

impl FailureRate {
    /// Returns the fraction.
    #[must_use]
    pub fn fraction(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.fraction * (-half_lives * std::f64::consts::LN_2).exp()
    }

    /// Returns the failures to expect for each success.
    #[must_use]
    pub fn odds(&self, now: Time) -> f64 {
        let fraction = self.fraction(now);
        fraction / (1.0 - fraction).max(MIN_SUCCESS_FRACTION)
    }

    /// Records whether a request failed.
    pub fn record(&mut self, failed: bool, now: Time) {
        let old = self.fraction(now);
        let newest = if failed { 1.0 } else { 0.0 };
        self.fraction = old + (newest - old) * WEIGHT;
        self.updated = now;
    }
}
