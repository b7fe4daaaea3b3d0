//! The keys, their past and the leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::wire::{
    Compare, Fail, Keys, LeaseCall, Put, Raw, Relation, Step, Target, Txn, header, pair, set_int,
};

/// Most bytes of one value.
const MAX_VALUE: usize = 1024 * 1024;
/// Most bytes of keys and values that one call writes; etcd's default for a request.
const MAX_WRITE: usize = 3 * 512 * 1024;
/// Most steps or conditions of one transaction; etcd's default.
const MAX_STEPS: usize = 128;

/// What is stored under one key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub value: Bytes,
    pub created: i64,
    pub modified: i64,
    pub version: i64,
    pub lease: i64,
}

/// One change of one key; a version of 0 means it was deleted.
#[derive(Debug, Clone)]
pub(super) struct Event {
    pub key: Raw,
    pub entry: Entry,
}

impl Event {
    pub(super) fn json(&self) -> Value {
        let kv = pair(&self.key, &self.entry);
        if self.entry.version == 0 {
            json!({"type": "DELETE", "kv": kv})
        } else {
            json!({"kv": kv})
        }
    }
}

#[derive(Debug)]
struct Lease {
    ttl: i64,
    ends: Instant,
}

/// Everything the service keeps.
#[derive(Debug)]
pub(super) struct Data {
    /// Revision of the last change; 1 when nothing was ever written, as in etcd.
    pub revision: i64,
    /// Oldest revision whose changes are still known, less one.
    pub compacted: i64,
    keys: BTreeMap<Raw, Entry>,
    past: VecDeque<Event>,
    keep: usize,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    second: Duration,
}

impl Data {
    pub(super) fn new(keep: usize, second: Duration) -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            past: VecDeque::new(),
            keep,
            leases: BTreeMap::new(),
            last_lease: 0,
            second,
        }
    }

    /// Returns the changes from `revision` on, oldest first.
    pub(super) fn since(&self, revision: i64) -> impl Iterator<Item = &Event> {
        let from = self
            .past
            .partition_point(|event| event.entry.modified < revision);
        self.past.range(from..)
    }

    pub(super) fn range(&self, keys: &Keys) -> Value {
        let kvs: Vec<Value> = self
            .keys
            .range(keys.key.clone()..)
            .take_while(|(key, _)| keys.holds(key))
            .map(|(key, entry)| pair(key, entry))
            .collect();
        let mut map = Map::new();
        map.insert("header".into(), header(self.revision));
        if !kvs.is_empty() {
            map.insert("count".into(), kvs.len().to_string().into());
            map.insert("kvs".into(), kvs.into());
        }
        Value::Object(map)
    }

    pub(super) fn txn(&mut self, txn: &Txn) -> Result<Value, Fail> {
        let most = txn.compare.len().max(txn.success.len());
        if most.max(txn.failure.len()) > MAX_STEPS {
            return Err(Fail::TOO_MANY);
        }
        self.check(&txn.success)?;
        self.check(&txn.failure)?;
        let won = txn.compare.iter().all(|compare| self.holds(compare));
        let steps = if won { &txn.success } else { &txn.failure };
        let responses = self.run(steps);
        let mut map = Map::new();
        map.insert("header".into(), header(self.revision));
        if won {
            map.insert("succeeded".into(), true.into());
        }
        if !responses.is_empty() {
            map.insert("responses".into(), responses.into());
        }
        Ok(Value::Object(map))
    }

    /// Runs one step outside a transaction.
    pub(super) fn single(&mut self, step: Step) -> Result<Value, Fail> {
        let steps = [step];
        self.check(&steps)?;
        let mut answers = self.run(&steps);
        let inner = answers.pop().and_then(|answer| match answer {
            Value::Object(map) => map.into_iter().next().map(|(_, inner)| inner),
            _ => None,
        });
        inner.ok_or(Fail::BAD_JSON)
    }

    fn check(&self, steps: &[Step]) -> Result<(), Fail> {
        let mut puts = BTreeSet::new();
        let mut bytes = 0;
        for step in steps {
            let key = match step {
                Step::Put(put) => {
                    bytes += put.key.len() + put.value.len();
                    if put.value.len() > MAX_VALUE || bytes > MAX_WRITE {
                        return Err(Fail::TOO_LARGE);
                    }
                    if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                        return Err(Fail::NO_LEASE);
                    }
                    if !puts.insert(&put.key) {
                        return Err(Fail::DUPLICATE);
                    }
                    &put.key
                }
                Step::Range(keys) | Step::Delete(keys) => &keys.key,
            };
            if key.is_empty() {
                return Err(Fail::NO_KEY);
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key);
        let numbers = |want: Option<i64>, of: fn(&Entry) -> i64| {
            found.map_or(0, of).cmp(&want.unwrap_or_default())
        };
        let order = match compare.target {
            Target::Version => numbers(compare.version, |entry| entry.version),
            Target::Create => numbers(compare.create_revision, |entry| entry.created),
            Target::Mod => numbers(compare.mod_revision, |entry| entry.modified),
            Target::Lease => numbers(compare.lease, |entry| entry.lease),
            Target::Value => {
                // etcd: a comparison with the value of an absent key never holds.
                let Some(entry) = found else { return false };
                entry.value[..].cmp(compare.value.as_deref().unwrap_or_default())
            }
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }

    /// Runs `steps` as one change: all of them get the same revision.
    fn run(&mut self, steps: &[Step]) -> Vec<Value> {
        let next = self.revision + 1;
        let mut answers = Vec::new();
        for step in steps {
            answers.push(match step {
                Step::Range(keys) => json!({"response_range": self.range(keys)}),
                Step::Put(put) => {
                    self.put(put, next);
                    json!({"response_put": {"header": header(self.revision)}})
                }
                Step::Delete(keys) => {
                    let gone = self.delete(keys, next);
                    let mut map = Map::new();
                    map.insert("header".into(), header(self.revision));
                    set_int(&mut map, "deleted", i64::try_from(gone).unwrap_or(i64::MAX));
                    json!({"response_delete_range": map})
                }
            });
        }
        answers
    }

    fn put(&mut self, put: &Put, revision: i64) {
        let old = self.keys.get(&put.key);
        let entry = Entry {
            value: Bytes::copy_from_slice(&put.value),
            created: old.map_or(revision, |old| old.created),
            modified: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), entry.clone());
        self.note(put.key.clone(), entry);
    }

    fn delete(&mut self, keys: &Keys, revision: i64) -> usize {
        let gone: Vec<Raw> = self
            .keys
            .range(keys.key.clone()..)
            .map(|(key, _)| key)
            .take_while(|key| keys.holds(key))
            .cloned()
            .collect();
        for key in &gone {
            self.remove(key, revision);
        }
        gone.len()
    }

    fn remove(&mut self, key: &Raw, revision: i64) {
        self.keys.remove(key);
        let entry = Entry {
            modified: revision,
            ..Entry::default()
        };
        self.note(key.clone(), entry);
    }

    fn note(&mut self, key: Raw, entry: Entry) {
        self.revision = entry.modified;
        self.past.push_back(Event { key, entry });
        if self.past.len() > self.keep
            && let Some(old) = self.past.pop_front()
        {
            self.forget(old.entry.modified);
        }
    }

    /// Forgets the changes up to and including `revision`, as etcd's compaction does.
    pub(super) fn forget(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        while self
            .past
            .front()
            .is_some_and(|event| event.entry.modified <= self.compacted)
        {
            self.past.pop_front();
        }
    }

    fn life(&self, ttl: i64) -> Duration {
        self.second
            .saturating_mul(u32::try_from(ttl).unwrap_or(u32::MAX))
    }

    pub(super) fn grant(&mut self, call: &LeaseCall, now: Instant) -> Result<Value, Fail> {
        if call.ttl < 1 {
            return Err(Fail::BAD_JSON);
        }
        let id = if call.id == 0 {
            self.last_lease += 1;
            self.last_lease
        } else {
            call.id
        };
        if self.leases.contains_key(&id) {
            return Err(Fail::LEASE_EXISTS);
        }
        let ends = now + self.life(call.ttl);
        self.leases.insert(
            id,
            Lease {
                ttl: call.ttl,
                ends,
            },
        );
        Ok(json!({
            "header": header(self.revision),
            "ID": id.to_string(),
            "TTL": call.ttl.to_string(),
        }))
    }

    pub(super) fn keepalive(&mut self, call: &LeaseCall, now: Instant) -> Value {
        let ttl = self.leases.get(&call.id).map_or(0, |lease| lease.ttl);
        let life = self.life(ttl);
        if let Some(lease) = self.leases.get_mut(&call.id) {
            lease.ends = now + life;
        }
        let mut map = Map::new();
        map.insert("header".into(), header(self.revision));
        set_int(&mut map, "ID", call.id);
        set_int(&mut map, "TTL", ttl);
        json!({"result": map})
    }

    pub(super) fn time_left(&self, call: &LeaseCall, now: Instant) -> Value {
        let mut map = Map::new();
        map.insert("header".into(), header(self.revision));
        set_int(&mut map, "ID", call.id);
        let Some(lease) = self.leases.get(&call.id) else {
            map.insert("TTL".into(), "-1".into());
            return Value::Object(map);
        };
        let left = lease.ends.saturating_duration_since(now);
        let whole = left.as_nanos() / self.second.as_nanos().max(1);
        set_int(&mut map, "TTL", i64::try_from(whole).unwrap_or(i64::MAX));
        set_int(&mut map, "grantedTTL", lease.ttl);
        Value::Object(map)
    }

    pub(super) fn revoke(&mut self, id: i64) -> Result<Value, Fail> {
        self.leases.remove(&id).ok_or(Fail::NO_LEASE)?;
        self.drop_keys(id);
        Ok(json!({"header": header(self.revision)}))
    }

    /// Deletes the keys that went with a lease, as one change.
    fn drop_keys(&mut self, id: i64) {
        let next = self.revision + 1;
        let held: Vec<Raw> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &held {
            self.remove(key, next);
        }
    }

    /// Ends the leases whose time is over.
    pub(super) fn lapse(&mut self, now: Instant) {
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            self.drop_keys(id);
        }
    }

    /// Gives each lease its full life again, as a newly elected leader does.
    pub(super) fn renew(&mut self, now: Instant) {
        let second = self.second;
        for lease in self.leases.values_mut() {
            lease.ends = now + second.saturating_mul(u32::try_from(lease.ttl).unwrap_or(u32::MAX));
        }
    }
}
