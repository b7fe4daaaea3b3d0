//! Queueing delay of KV cache transfers at an engine's network link.
//!
//! A link may be slow for seconds while its engine prefills and decodes at normal speed. Handovers
//! then queue up until each waits for seconds, and every further handover lengthens the queue.

use std::time::Duration;

use crate::core::time::Time;

/// Weight of the newest transfer in a link's estimated delay.
const WAIT_WEIGHT: f64 = 0.4;
/// Fraction of a transfer's delay that a link's estimate must reach for the delay to be attributed
/// to that link.
const MIN_EXPLAINED_FRACTION: f64 = 0.3;
/// Time in which an estimated delay halves: an avoided link carries too few transfers to be
/// measured, and has to be tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Estimated delay of transfers at an engine's link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    delay_ms: f64,
    updated: Time,
}

impl Link {
    /// Returns the milliseconds that a transfer is delayed, in addition to its own time.
    #[must_use]
    pub fn wait_ms(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.delay_ms * (-half_lives * std::f64::consts::LN_2).exp()
    }

    /// Returns whether this link's estimate accounts for such a delay.
    #[must_use]
    pub fn explains(&self, millis: f64, now: Time) -> bool {
        self.wait_ms(now) >= millis * MIN_EXPLAINED_FRACTION
    }

    /// Records the delay of a transfer.
    pub fn learn(&mut self, millis: f64, now: Time) {
        let old = self.wait_ms(now);
        self.delay_ms = old + (millis - old) * WAIT_WEIGHT;
        self.updated = now;
    }
}
