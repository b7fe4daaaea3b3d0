//! The time for which the store is known to have answered without interruption.
//!
//! A host that was cut off from the store cannot determine by itself whether the store was unavailable. The reports of
//! other hosts show it.

use std::time::Duration;

use super::super::event::UptimeReport;
use crate::core::time::Time;

/// Longest time between two answered calls of one uninterrupted span: the time between two probes of a failure domain
/// with one lost probe between them.
pub const MAX_GAP: Duration = Duration::from_millis(1500);

/// Span in which the store answered with no gap longer than [`MAX_GAP`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    since: Time,
    until: Time,
}

/// The latest known span in which the store answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uptime {
    span: Option<Span>,
}

impl Uptime {
    /// Records that the store answered a call made at a time.
    pub fn answered(&mut self, at: Time) {
        self.merge(Span {
            since: at,
            until: at,
        });
    }

    /// Merges the report of another host.
    pub fn reported(&mut self, report: UptimeReport, now: Time) {
        let until = now.before(report.age);
        self.merge(Span {
            since: until.before(report.length),
            until,
        });
    }

    /// Returns the span for the other hosts.
    #[must_use]
    pub fn report(&self, now: Time) -> Option<UptimeReport> {
        self.span.map(|span| UptimeReport {
            length: span.until.since(span.since),
            age: now.since(span.until),
        })
    }

    /// Returns the length of the span.
    #[must_use]
    pub fn length(&self) -> Duration {
        self.span
            .map_or(Duration::ZERO, |span| span.until.since(span.since))
    }

    fn merge(&mut self, other: Span) {
        let Some(span) = &mut self.span else {
            self.span = Some(other);
            return;
        };
        if other.since > span.until.after(MAX_GAP) {
            *span = other;
        } else if span.since <= other.until.after(MAX_GAP) {
            span.since = span.since.min(other.since);
            span.until = span.until.max(other.until);
        }
    }
}
