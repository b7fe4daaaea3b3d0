//! How long KV caches wait for an engine's link.
//!
//! A link may be slow for seconds while its engine reads and generates as ever. Hand-overs queue
//! there one behind the other, until each waits for seconds; a host that goes on handing over fills
//! the queue further.

use std::time::Duration;

use crate::core::time::Time;

/// Weight of the newest transfer in what is known of a link.
const WAIT_WEIGHT: f64 = 0.4;
/// Part of a transfer's wait that one of its links must be known for to be the one it waited for.
const MIN_EXPLAINED_FRACTION: f64 = 0.3;
/// Time after which a wait counts for half: a link that is avoided gets too little to be measured
/// by, and is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// How long transfers wait for an engine's link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    delay_ms: f64,
    updated: Time,
}

impl Link {
    /// Returns the milliseconds that a transfer waits, beside its own time.
    #[must_use]
    pub fn wait_ms(&self, now: Time) -> f64 {
        let past = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.delay_ms * (-past * std::f64::consts::LN_2).exp()
    }

    /// Tells whether a transfer that waited so long did so for this link.
    #[must_use]
    pub fn explains(&self, millis: f64, now: Time) -> bool {
        self.wait_ms(now) >= millis * MIN_EXPLAINED_FRACTION
    }

    /// Takes in how long a transfer waited.
    pub fn learn(&mut self, millis: f64, now: Time) {
        let old = self.wait_ms(now);
        self.delay_ms = old + (millis - old) * WAIT_WEIGHT;
        self.updated = now;
    }
}
