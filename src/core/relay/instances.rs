//! The registered backend servers, as the store lists them and other hosts report their work.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use super::departed::{Departed, Evidence, Position, ServerStart, start_of};
use super::event::{BackendEntry, Changes, LoadReport};
use super::instance::{Instance, MISSING_GRACE, Work};
use super::kept_pushbacks::KeptPushbacks;
use super::limit::Limit;
use super::versions::Version;
use crate::core::key::{BackendKey, HostKey};
use crate::core::time::Time;

/// All known backend servers.
#[derive(Debug, Default)]
pub struct Instances {
    /// Backend servers.
    pub arena: SlotMap<BackendKey, Instance>,
    by_id: BTreeMap<Box<str>, BackendKey>,
    by_hash: BTreeMap<u32, BackendKey>,
    /// Backend servers at which a host reported unfinished work.
    reported: BTreeMap<HostKey, Vec<BackendKey>>,
    by_service: BTreeMap<Box<str>, Vec<BackendKey>>,
    departed: Departed,
    kept_pushbacks: KeptPushbacks,
}

/// A change of a backend server's state, for the log.
#[derive(Debug, Clone)]
pub struct StateChange {
    /// Its id.
    pub id: Box<str>,
    /// Its new state.
    pub state: &'static str,
}

impl Instances {
    /// Returns the key of a backend server.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the backend server with this short hash.
    #[must_use]
    pub fn by_short_hash(&self, short: u32) -> Option<BackendKey> {
        self.by_hash.get(&short).copied()
    }

    /// Returns the backend servers of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &[BackendKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of backend servers that get work although their entries are missing.
    #[must_use]
    pub fn unlisted(&self, now: Time) -> u64 {
        let all = self.arena.values();
        all.map(|instance| {
            u64::from(instance.missing_since.is_some() && instance.is_available(now))
        })
        .sum()
    }

    /// Returns the number of backend servers that want no requests from this host for a time.
    #[must_use]
    pub fn in_pushback(&self, now: Time) -> u64 {
        let all = self.arena.values();
        all.map(|instance| u64::from(!instance.pushback.remaining(now).is_zero()))
            .sum()
    }

    /// Returns the number of backend servers that name a limit.
    #[must_use]
    pub fn limited(&self) -> u64 {
        let all = self.arena.values();
        all.map(|instance| u64::from(instance.limit.rate().is_some()))
            .sum()
    }

    /// Returns the servers that left.
    #[must_use]
    pub fn departed(&self) -> &Departed {
        &self.departed
    }

    /// Records that a server left, as its own answer or another host states; returns the state change.
    pub fn depart(
        &mut self,
        start: ServerStart,
        evidence: Evidence,
        now: Time,
    ) -> Option<StateChange> {
        let key = self.by_short_hash(start.0);
        let instance = key.and_then(|key| self.arena.get_mut(key));
        // A start before the reported one has ended, too.
        let instance = instance.filter(|instance| instance.born <= start.1);
        let listed_at = instance.as_ref().map(|instance| instance.listed_at);
        if listed_at.is_some_and(|listed_at| Evidence::Store(listed_at) > evidence) {
            // It registered again since.
            return None;
        }
        if !self.departed.insert(start, evidence, true, now) {
            return None;
        }
        let instance = instance.filter(|instance| !instance.leaving)?;
        instance.leaving = true;
        Some(StateChange {
            id: instance.id.clone(),
            state: "leaving",
        })
    }

    /// Applies changes of the store up to a point in its history; returns the state changes.
    ///
    /// `settled` is whether the store has been up for so long that no entry is missing only because it expired in
    /// an outage.
    pub fn apply_changes(
        &mut self,
        changes: &mut Changes,
        at: Position,
        settled: bool,
        now: Time,
    ) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        self.departed.sweep(now);
        self.kept_pushbacks.sweep(now);
        if changes.is_snapshot {
            let listed = |id: &str| changes.instances.iter().any(|entry| *entry.id == *id);
            for instance in self.arena.values_mut() {
                if !listed(&instance.id) && !instance.leaving && instance.missing_since.is_none() {
                    instance.missing_since = Some(now);
                    state_changes.push(StateChange {
                        id: instance.id.clone(),
                        state: "missing",
                    });
                }
            }
        }
        for entry in std::mem::take(&mut changes.instances) {
            if self.departed.is_stale(&entry, at.era, changes.is_snapshot) {
                continue;
            }
            let listed_at = Position {
                era: at.era,
                revision: entry.revision,
            };
            if entry.leaving {
                let evidence = Evidence::Store(listed_at);
                self.departed.insert(start_of(&entry), evidence, true, now);
            } else {
                self.departed.remove(start_of(&entry));
            }
            self.apply_entry(entry, listed_at, now, &mut state_changes);
        }
        for id in std::mem::take(&mut changes.removed) {
            if let Some(key) = self.find(&id) {
                let instance = &mut self.arena[key];
                let start = instance.start();
                if !instance.leaving {
                    state_changes.push(StateChange { id, state: "gone" });
                }
                instance.leaving = true;
                let evidence = Evidence::Store(at);
                self.departed.insert(start, evidence, settled, now);
            }
        }
        self.sweep(now);
        state_changes
    }

    /// Drops backend servers whose entries are missing; returns the state changes.
    pub fn drop_missing(&mut self, at: Position, now: Time) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        let all = self.arena.values_mut();
        for instance in all.filter(|instance| instance.missing_since.is_some()) {
            if std::mem::replace(&mut instance.leaving, true) {
                continue;
            }
            let evidence = Evidence::Store(at);
            self.departed.insert(instance.start(), evidence, true, now);
            state_changes.push(StateChange {
                id: instance.id.clone(),
                state: "gone",
            });
        }
        if !state_changes.is_empty() {
            self.sweep(now);
        }
        state_changes
    }

    fn apply_entry(
        &mut self,
        entry: BackendEntry,
        listed_at: Position,
        now: Time,
        state_changes: &mut Vec<StateChange>,
    ) {
        let id = entry.id.clone();
        let mut restarted = false;
        if let Some(key) = self.find(&id) {
            let old = &self.arena[key];
            let moved = old.addr != entry.addr || old.service != entry.service;
            if old.born != entry.started_ms || moved {
                // It restarted under its old id and has lost its state.
                self.remove(key);
                restarted = true;
                state_changes.push(StateChange {
                    id: id.clone(),
                    state: "restarted",
                });
            }
        }
        if let Some(key) = self.find(&id) {
            let instance = &mut self.arena[key];
            if instance.leaving != entry.leaving {
                let state = if entry.leaving { "leaving" } else { "ready" };
                state_changes.push(StateChange { id, state });
            }
            instance.leaving = entry.leaving;
            instance.listed_at = listed_at;
            instance.missing_since = None;
            instance.stage = entry.stage;
            instance.is_spot = entry.is_spot;
            instance.version_key = Version::of(entry.version.as_deref());
            instance.version = entry.version;
            instance.slots = entry.slots.max(1);
            return;
        }
        state_changes.push(StateChange {
            id: id.clone(),
            state: if entry.leaving { "leaving" } else { "ready" },
        });
        let service = entry.service.clone();
        let mut instance = Instance::new(entry);
        instance.listed_at = listed_at;
        if restarted {
            instance.limit = Limit::since(now);
        } else {
            self.kept_pushbacks.restore(&mut instance);
        }
        let short = instance.short_hash;
        let key = self.arena.insert(instance);
        self.by_id.insert(id, key);
        self.by_hash.insert(short, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Removes backend servers that have left and run no request of this host.
    pub fn sweep(&mut self, now: Time) {
        let ended = |instance: &Instance| {
            let missed = instance
                .missing_since
                .is_some_and(|at| now.since(at) > MISSING_GRACE);
            (instance.leaving || missed) && instance.own_work.calls == 0
        };
        // A leaving server is kept while it runs requests of this host.
        let ended: Vec<BackendKey> = self
            .arena
            .iter()
            .filter(|(_, instance)| ended(instance))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            self.kept_pushbacks.keep(&self.arena[key], now);
            self.remove(key);
        }
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(instance) = self.arena.remove(key) {
            self.by_id.remove(&instance.id);
            self.by_hash.remove(&instance.short_hash);
            if let Some(list) = self.by_service.get_mut(&instance.service) {
                list.retain(|other| *other != key);
            }
        }
    }

    /// Replaces the unfinished work reported by a host.
    pub fn set_reported_work(&mut self, host: HostKey, loads: &[LoadReport]) {
        for key in self.reported.remove(&host).unwrap_or_default() {
            if let Some(instance) = self.arena.get_mut(key)
                && let Some(old) = instance.peer_work.remove(&host)
            {
                instance.peer_total = instance.peer_total.minus(old);
            }
        }
        let mut keys = Vec::with_capacity(loads.len());
        for load in loads {
            if let Some(key) = self.by_short_hash(load.instance) {
                let instance = &mut self.arena[key];
                let work = Work::from(*load);
                if let Some(previous) = instance.peer_work.insert(host, work) {
                    instance.peer_total = instance.peer_total.minus(previous);
                }
                instance.peer_total = instance.peer_total.plus(work);
                keys.push(key);
            }
        }
        if !keys.is_empty() {
            self.reported.insert(host, keys);
        }
    }
}
