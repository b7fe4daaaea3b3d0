//! Backend servers that left, kept after their entries were removed from the store.
//!
//! Hosts send each other what they recently learned here. Changes of the store are applied in order, so that a host
//! which waits for a large one would not learn for seconds that a server left. And a store that was restored from an
//! older copy may list a server as ready that has left since.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::{BackendEntry, DepartureReport};
use super::instance::short_hash;
use super::{log_listings, view};
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Time for which departures are kept: far longer than the age of any copy from which the store may be restored.
const RETENTION: Duration = Duration::from_mins(5);
/// Time for which a departure is sent to other hosts: two keep-alive intervals of the gossip.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of departures in one datagram; the latest are sent.
const MAX_REPORTS: usize = 32;

/// A point in the history of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Revision in that era.
    pub revision: i64,
}

/// One start of a backend server: the short hash of its id, and the wall clock at its start in milliseconds.
pub type ServerStart = (u32, u64);

/// Returns the start of the server that an entry describes.
#[must_use]
pub fn start_of(entry: &BackendEntry) -> ServerStart {
    (short_hash(&entry.id), entry.started_ms)
}

/// A server that left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Point in the store's history as of which it had left.
    at: Position,
    /// When this host recorded the departure.
    recorded: Time,
    /// Whether other hosts are sent it.
    reported: bool,
}

/// Servers that left within [`RETENTION`].
#[derive(Debug, Default)]
pub struct Departed {
    servers: BTreeMap<ServerStart, Departure>,
}

impl Departed {
    /// Records that a server left as of a point in the store's history; returns whether that was unknown.
    ///
    /// `reported` is whether the other hosts are sent it.
    pub fn insert(&mut self, start: ServerStart, at: Position, reported: bool, now: Time) -> bool {
        let known = self.servers.get(&start).is_some_and(|old| old.at >= at);
        if !known {
            let departure = Departure {
                at,
                recorded: now,
                reported,
            };
            self.servers.insert(start, departure);
        }
        !known
    }

    /// Removes a server that has registered again.
    pub fn remove(&mut self, start: ServerStart) {
        self.servers.remove(&start);
    }

    /// Removes departures older than [`RETENTION`].
    pub fn sweep(&mut self, now: Time) {
        self.servers
            .retain(|_, departure| now.since(departure.recorded) < RETENTION);
    }

    /// Whether an entry was written before its server left, or comes from the copy of an earlier era from which the
    /// store was restored; a server that still runs writes it again.
    #[must_use]
    pub fn is_stale(&self, entry: &BackendEntry, era: u64, is_snapshot: bool) -> bool {
        let departure = self.servers.get(&start_of(entry));
        departure.is_some_and(|departure| {
            let restored = is_snapshot && departure.at.era < era;
            let older = departure.at.era == era && entry.revision < departure.at.revision;
            !entry.leaving && (restored || older)
        })
    }

    /// Whether a departure to be sent to other hosts was recorded after a time.
    #[must_use]
    pub fn changed_since(&self, time: Time) -> bool {
        let mut all = self.servers.values();
        all.any(|departure| departure.reported && departure.recorded > time)
    }

    /// Returns the departures of an era to send to other hosts, the latest first.
    #[must_use]
    pub fn reports(&self, era: u64, now: Time) -> Vec<DepartureReport> {
        let recent = self.servers.iter().filter(|(_, departure)| {
            let is_recent = now.since(departure.recorded) < REPORT_TIME;
            is_recent && departure.reported && departure.at.era == era
        });
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, departure)| std::cmp::Reverse(departure.recorded));
        let reports = recent
            .into_iter()
            .map(|(start, departure)| DepartureReport {
                instance: start.0,
                started_ms: start.1,
                revision: departure.at.revision,
            });
        reports.take(MAX_REPORTS).collect()
    }
}

/// Handles departures reported by another host that is in the same era of the store.
pub fn reported(core: &mut Core, from: &str, reports: &[DepartureReport], out: &mut Effects) {
    let (era, now) = (core.relay.view.era(), core.now);
    for report in reports {
        let start = (report.instance, report.started_ms);
        let at = Position {
            era,
            revision: report.revision,
        };
        let change = core.relay.instances.depart(start, at, now);
        log_listings(change, from, out);
    }
}

/// Returns the departures to send to other hosts.
#[must_use]
pub fn reports(core: &Core) -> Vec<DepartureReport> {
    let departed = core.relay.instances.departed();
    departed.reports(core.relay.view.era(), core.now)
}

/// Whether a departure to be sent to other hosts was recorded after a time.
#[must_use]
pub fn changed_since(core: &Core, time: Option<Time>) -> bool {
    let departed = core.relay.instances.departed();
    time.is_some_and(|time| departed.changed_since(time))
}

/// Returns the point in the store's history up to which this host knows all changes.
#[must_use]
pub fn known_position(view: &view::View) -> Position {
    Position {
        era: view.era(),
        revision: view.revision(),
    }
}
