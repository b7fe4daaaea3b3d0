//! The platform's list of live and leaving hosts and backend servers, served with a lag.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListEntry {
    /// Unique name.
    pub name: Box<str>,
    /// `host`, `engine` or `service`.
    pub kind: ListEntryKind,
    /// Model pool or service that the entry serves; empty for hosts.
    #[serde(default)]
    pub pool: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Whether it is live or leaving.
    pub state: ListEntryState,
}

/// Kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryKind {
    /// One of this program's hosts.
    Host,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryState {
    /// It accepts work.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// All versions of the list, oldest first, each with the time at which it was set.
#[derive(Debug, Default)]
pub(super) struct ListHistory(Vec<(Instant, Vec<ListEntry>)>);

impl ListHistory {
    pub(super) fn set(&mut self, list: Vec<ListEntry>, now: Instant) {
        self.0.push((now, list));
    }

    /// Adds an entry, or replaces the entry of the same name.
    pub(super) fn add(&mut self, entry: ListEntry, now: Instant) {
        let newest = self.0.last();
        let mut list = newest.map_or_else(Vec::new, |(_, list)| list.clone());
        list.retain(|other| other.name != entry.name);
        list.push(entry);
        self.set(list, now);
    }

    /// Returns the list as it was `lag` ago; empty if none was set by then.
    pub(super) fn delayed_by(&self, lag: Duration, now: Instant) -> &[ListEntry] {
        self.0
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .map_or(&[], |(_, list)| list)
    }
}
