//! The time for which the store has answered without a break, as far as is known.
//!
//! A host that was cut off from the store cannot tell by itself whether the store was away. What other hosts
//! report shows it.

use std::time::Duration;

use super::super::event::UptimeReport;
use crate::core::time::Time;

/// Longest time between two answered calls without a break: that between two probes of a failure domain, and
/// one lost probe.
pub const MAX_GAP: Duration = Duration::from_millis(1500);

/// Span in which the store answered, with no gap over [`MAX_GAP`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    since: Time,
    until: Time,
}

/// The latest such span that is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uptime {
    span: Option<Span>,
}

impl Uptime {
    /// Takes in that the store answered a call made at a time.
    pub fn answered(&mut self, at: Time) {
        self.merge(Span {
            since: at,
            until: at,
        });
    }

    /// Takes in what another host reports.
    pub fn reported(&mut self, report: UptimeReport, now: Time) {
        let until = now.before(report.age);
        self.merge(Span {
            since: until.before(report.length),
            until,
        });
    }

    /// Returns what other hosts are to know.
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
