//! Keys, leases and snapshots of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One write: key, value (`None` for a deletion), revision, creation revision.
pub type Change = (String, Option<Vec<u8>>, i64, i64);

/// Prefixes of the keys that the operator and the servers write.
const EXTERNAL_KEY_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// A snapshot of the store.
#[derive(Clone, Default)]
pub struct Backup {
    pub revision: i64,
    pub keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    pub last_lease: i64,
    pub leases: BTreeMap<i64, Duration>,
    pub key_leases: BTreeMap<String, i64>,
}

#[derive(Default)]
pub struct StoreState {
    pub revision: i64,
    pub keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    pub history: Vec<Change>,
    /// Number of restores.
    pub restores: u64,
    /// Snapshots, oldest first.
    pub backups: Vec<(Instant, Backup)>,
    /// Writes of the operator and the servers that a restore lost: key and value, `None` for a deletion.
    pub lost_writes: BTreeMap<String, Option<Vec<u8>>>,
    pub down: bool,
    /// Whether calls and answers are discarded, with their connections left open.
    pub hung: bool,
    /// Watches that were discarded.
    pub hung_watches: u32,
    /// Answered renewals, by lease.
    pub renewals: BTreeMap<i64, u32>,
    /// Number of next writes to apply without an answer.
    pub lost_replies: u32,
    /// Id of the last granted lease.
    pub last_lease: i64,
    /// Duration and expiry of each lease.
    pub leases: BTreeMap<i64, (Duration, Instant)>,
    /// Lease of each key that a transaction wrote; 0 for none.
    pub key_leases: BTreeMap<String, i64>,
    /// Pause before each part of a page; zero to write pages at once.
    pub page_pause: Duration,
}

impl StoreState {
    pub fn grant(&mut self, millis: u64) -> i64 {
        self.last_lease += 1;
        let ttl = Duration::from_millis(millis);
        self.leases
            .insert(self.last_lease, (ttl, Instant::now() + ttl));
        self.save_backup();
        self.last_lease
    }

    /// Saves a snapshot of the present state.
    pub fn save_backup(&mut self) {
        let backup = Backup {
            revision: self.revision,
            keys: self.keys.clone(),
            last_lease: self.last_lease,
            leases: self
                .leases
                .iter()
                .map(|(lease, (ttl, _))| (*lease, *ttl))
                .collect(),
            key_leases: self.key_leases.clone(),
        };
        self.backups.push((Instant::now(), backup));
    }

    /// Restores the snapshot of a revision, or the empty state.
    pub fn restore(&mut self, revision: i64) {
        let now = Instant::now();
        let older = |(_, backup): &&(Instant, Backup)| backup.revision <= revision;
        let found = self.backups.iter().rev().find(older);
        let backup = found.map_or_else(Backup::default, |(_, backup)| backup.clone());
        self.restores += 1;
        self.backups
            .retain(|(_, snapshot)| snapshot.revision <= backup.revision);
        self.history
            .retain(|(.., revision, _)| *revision <= backup.revision);
        let before = std::mem::replace(&mut self.keys, backup.keys);
        let is_external = |key: &&String| {
            EXTERNAL_KEY_PREFIXES
                .iter()
                .any(|start| key.starts_with(start))
        };
        let mut lost = BTreeMap::new();
        for key in self.keys.keys().filter(is_external) {
            lost.insert(key.clone(), None);
        }
        for (key, (value, ..)) in before {
            if !is_external(&&key) {
                continue;
            }
            if self
                .keys
                .get(&key)
                .is_some_and(|(restored, ..)| *restored == value)
            {
                lost.remove(&key);
            } else {
                lost.insert(key, Some(value));
            }
        }
        for (key, value) in lost {
            // The write that an earlier restore lost is newer than the value that this one lost.
            self.lost_writes.entry(key).or_insert(value);
        }
        self.revision = backup.revision;
        self.last_lease = backup.last_lease;
        self.key_leases = backup.key_leases;
        let leases = backup.leases.into_iter();
        self.leases = leases
            .map(|(lease, ttl)| (lease, (ttl, now + ttl)))
            .collect();
    }

    /// Repeats the writes of the operator and the servers that a restore lost.
    pub fn rewrite_lost(&mut self) {
        for (key, value) in std::mem::take(&mut self.lost_writes).into_iter().rev() {
            match value {
                Some(value) => self.write(&key, value),
                None => self.remove(&key),
            }
        }
    }

    pub fn renew(&mut self, lease: i64) -> Option<()> {
        let (ttl, end) = self.leases.get_mut(&lease)?;
        *end = Instant::now() + *ttl;
        Some(())
    }

    pub fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys = self
            .key_leases
            .iter()
            .filter(|(_, key_lease)| **key_lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    pub fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    pub fn remove(&mut self, key: &str) {
        self.key_leases.remove(key);
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), None, self.revision, 0));
            self.save_backup();
        }
    }

    pub fn write(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let created = self
            .keys
            .get(key)
            .map_or(self.revision, |(.., created)| *created);
        let entry = (value.clone(), self.revision, created);
        self.keys.insert(key.to_owned(), entry);
        let change = (key.to_owned(), Some(value), self.revision, created);
        self.history.push(change);
        self.save_backup();
    }

    /// Returns the era header of every answer.
    pub fn era(&self) -> String {
        format!("store-era: {}\r\n", self.restores + 1)
    }
}
