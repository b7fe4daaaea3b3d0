//! Backend servers that left, kept after their entries were removed from the store.
//!
//! A store that was restored from an older copy may list a server as ready that has left since.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::BackendEntry;
use crate::core::time::Time;

/// Time for which departures are kept: far longer than the age of any copy from which the store may be restored.
const RETENTION: Duration = Duration::from_mins(5);

/// A server that left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Wall clock at its start, in milliseconds since the Unix epoch, as the server reported it.
    started_ms: u64,
    /// Era of the store in which its departure was recorded.
    era: u64,
    /// When this host recorded the departure.
    recorded: Time,
}

/// Servers that left within [`RETENTION`], by id.
#[derive(Debug, Default)]
pub struct Departed {
    servers: BTreeMap<Box<str>, Departure>,
}

impl Departed {
    /// Records that a server left.
    pub fn insert(&mut self, id: Box<str>, started_ms: u64, era: u64, now: Time) {
        self.servers.insert(
            id,
            Departure {
                started_ms,
                era,
                recorded: now,
            },
        );
    }

    /// Removes a server that has registered again.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Removes departures older than [`RETENTION`].
    pub fn sweep(&mut self, now: Time) {
        self.servers
            .retain(|_, departure| now.since(departure.recorded) < RETENTION);
    }

    /// Whether an entry belongs to a server that left in an earlier era of the store. The entry then comes from
    /// the copy from which the store was restored; a server that still runs writes it again.
    #[must_use]
    pub fn is_stale(&self, entry: &BackendEntry, era: u64) -> bool {
        let departure = self.servers.get(&entry.id);
        departure.is_some_and(|departure| {
            departure.started_ms == entry.started_ms && departure.era < era && !entry.leaving
        })
    }
}
