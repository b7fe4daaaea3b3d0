//! Backend servers that left, kept after their entries were removed from the store.
//!
//! Servers also state in their own answers that they are leaving, which holds whatever the store lists. Hosts send each
//! other what they recently learned here. Changes of the store are applied in order, so that a host which waits for a
//! large one, or does not reach the store, would not learn for seconds that a server left. And a store that was restored
//! from an older copy may list a server as ready that has left since.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::{Arrival, BackendEntry, DepartureReport, Departures};
use super::instance::short_hash;
use super::{log_listings, view};
use crate::core::key::BackendKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Time for which departures are kept: far longer than the age of any copy from which the store may be restored.
const RETENTION: Duration = Duration::from_mins(5);
/// Time for which a departure is sent to other hosts: two keep-alive intervals of the gossip.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of departures in one datagram; the latest are sent.
const MAX_REPORTS: usize = 32;

/// Maximum number of departures that go along with a forwarded request, in about 1 KiB of headers; the latest are sent.
const MAX_FORWARDED: usize = 32;

/// Source in the log of a departure that a forwarded request brought.
const FORWARD_SOURCE: &str = "forwarded request";
/// Source in the log of a departure that the server's own answer stated.
const ANSWER_SOURCE: &str = "answer";

/// A point in the history of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Revision in that era.
    pub revision: i64,
}

/// What shows that a server left; the later variant is the stronger evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The store, as of a point in its history: a later entry of the server counts.
    Store(Position),
    /// The server's own answer: only a later start of it counts.
    Answer,
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
    evidence: Evidence,
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
    /// Records that a server left; returns whether that or stronger evidence was unknown.
    ///
    /// `reported` is whether the other hosts are sent it.
    pub fn insert(
        &mut self,
        start: ServerStart,
        evidence: Evidence,
        reported: bool,
        now: Time,
    ) -> bool {
        let old = self.servers.get(&start);
        let known = old.is_some_and(|old| old.evidence >= evidence);
        if !known {
            let departure = Departure {
                evidence,
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

    /// Whether an entry was written before its server left, contradicts the server's own statement, or comes from the
    /// copy of an earlier era from which the store was restored; a server that still runs writes it again.
    #[must_use]
    pub fn is_stale(&self, entry: &BackendEntry, era: u64, is_snapshot: bool) -> bool {
        let departure = self.servers.get(&start_of(entry));
        departure.is_some_and(|departure| match departure.evidence {
            _ if entry.leaving => false,
            Evidence::Answer => true,
            Evidence::Store(at) if at.era == era => entry.revision < at.revision,
            Evidence::Store(at) => is_snapshot && at.era < era,
        })
    }

    /// Whether a departure to be sent to other hosts was recorded after a time.
    #[must_use]
    pub fn changed_since(&self, time: Time) -> bool {
        let mut all = self.servers.values();
        all.any(|departure| departure.reported && departure.recorded > time)
    }

    /// Returns the departures to send to other hosts that are in the same era of the store, the latest first.
    #[must_use]
    pub fn reports(&self, era: u64, now: Time) -> Vec<DepartureReport> {
        let recent = self.latest_first().filter(|(_, departure)| {
            let compares = match departure.evidence {
                Evidence::Store(at) => at.era == era,
                Evidence::Answer => true,
            };
            now.since(departure.recorded) < REPORT_TIME && compares
        });
        let reports = recent.map(|(start, departure)| DepartureReport {
            instance: start.0,
            started_ms: start.1,
            revision: match departure.evidence {
                Evidence::Store(at) => Some(at.revision),
                Evidence::Answer => None,
            },
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the departures to send along with a request, the latest first.
    ///
    /// A server that left in an earlier era and has not registered again has left as of `at`, the point up to which this
    /// host knows all changes.
    #[must_use]
    pub fn known(&self, at: Position) -> Departures {
        let reports = self
            .latest_first()
            .map(|(start, departure)| DepartureReport {
                instance: start.0,
                started_ms: start.1,
                revision: match departure.evidence {
                    Evidence::Store(left) if left.era == at.era => Some(left.revision),
                    Evidence::Store(_) => Some(at.revision),
                    Evidence::Answer => None,
                },
            });
        Departures {
            era: at.era,
            reports: reports.take(MAX_FORWARDED).collect(),
        }
    }

    fn latest_first(&self) -> impl Iterator<Item = (ServerStart, Departure)> {
        let all = self.servers.iter();
        let mut reported: Vec<_> = all
            .filter(|(_, departure)| departure.reported)
            .map(|(start, departure)| (*start, *departure))
            .collect();
        reported.sort_by_key(|(_, departure)| std::cmp::Reverse(departure.recorded));
        reported.into_iter()
    }
}

/// Handles the statement of a server's answer that it is leaving.
pub fn stated(core: &mut Core, backend: BackendKey, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let start = instance.start();
    let change = core
        .relay
        .instances
        .depart(start, Evidence::Answer, core.now);
    log_listings(change, ANSWER_SOURCE, out);
}

/// Handles departures reported by another host; revisions in them are of this host's era of the store.
pub fn reported(core: &mut Core, from: &str, reports: &[DepartureReport], out: &mut Effects) {
    let (era, now) = (core.relay.view.era(), core.now);
    for report in reports {
        let start = (report.instance, report.started_ms);
        let evidence = report.revision.map_or(Evidence::Answer, |revision| {
            Evidence::Store(Position { era, revision })
        });
        let change = core.relay.instances.depart(start, evidence, now);
        log_listings(change, from, out);
    }
}

/// Handles the departures that a forwarded request brings.
pub fn forwarded(core: &mut Core, arrival: &mut Arrival, out: &mut Effects) {
    let mut departures = std::mem::take(&mut arrival.departures);
    view::era::observe(core, departures.era, FORWARD_SOURCE, out);
    if departures.era < core.relay.view.era() {
        // Revisions of an earlier era do not compare with those here.
        let reports = &mut departures.reports;
        reports.retain(|report| report.revision.is_none());
    }
    reported(core, FORWARD_SOURCE, &departures.reports, out);
}

/// Returns the departures to send along with a request.
#[must_use]
pub fn known(core: &Core) -> Departures {
    let departed = core.relay.instances.departed();
    departed.known(known_position(&core.relay.view))
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
