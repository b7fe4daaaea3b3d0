//! Points in time on a monotonic clock.

use std::time::Duration;

/// Microseconds on a monotonic clock that keeps running while the process is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Time(u64);

impl Time {
    /// Creates a point in time from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point in time from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns whole microseconds.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns whole milliseconds.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the point `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the point `span` earlier, or zero if that is before the clock's start.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
