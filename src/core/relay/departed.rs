//! Backend servers that left, remembered beyond their entries.
//!
//! A store that comes back from an older copy may hold a server as ready that has left since.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::BackendEntry;
use crate::core::time::Time;

/// Time for which it is remembered that a server left: far longer than the age of a copy from which the store may
/// come back.
const RETENTION: Duration = Duration::from_mins(5);

/// A server that left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Its start, by its own account.
    started_ms: u64,
    /// Era of the store in which it said so.
    era: u64,
    /// When this host learned of it.
    at: Time,
}

/// Servers that left lately, by id.
#[derive(Debug, Default)]
pub struct Departed {
    servers: BTreeMap<Box<str>, Departure>,
}

impl Departed {
    /// Notes that a server left.
    pub fn insert(&mut self, id: Box<str>, born: u64, era: u64, now: Time) {
        self.servers.insert(
            id,
            Departure {
                started_ms: born,
                era,
                at: now,
            },
        );
    }

    /// Forgets a server that is there again.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Forgets servers that left long ago.
    pub fn sweep(&mut self, now: Time) {
        self.servers
            .retain(|_, left| now.since(left.at) < RETENTION);
    }

    /// Whether an entry is that of a server which left in an earlier era of the store: it stands in the copy from which
    /// the store came back, and the server writes it again.
    #[must_use]
    pub fn is_stale(&self, entry: &BackendEntry, era: u64) -> bool {
        let left = self.servers.get(&entry.id);
        left.is_some_and(|left| {
            left.started_ms == entry.started_ms && left.era < era && !entry.leaving
        })
    }
}
