//! Multi-version key store: the keys, the history of their changes and the leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::wire::{
    Base64Bytes, Compare, GatewayError, KeyRange, LeaseRequest, PutRequest, Relation, RequestOp,
    Target, TxnRequest, insert_int, key_value, response_header,
};

/// Maximum size of one value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum size of the keys and values that one call writes; etcd's default limit of a request.
const MAX_WRITE_BYTES: usize = 3 * 512 * 1024;
/// Maximum number of conditions, or of operations of either branch, of one transaction; etcd's
/// default.
const MAX_TXN_OPS: usize = 128;

/// Value and revisions of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub value: Bytes,
    pub create_revision: i64,
    pub mod_revision: i64,
    pub version: i64,
    pub lease: i64,
}

/// One change of one key; a version of 0 means it was deleted.
#[derive(Debug, Clone)]
pub(super) struct Event {
    pub key: Base64Bytes,
    pub entry: Entry,
}

impl Event {
    pub(super) fn to_json(&self) -> Value {
        let kv = key_value(&self.key, &self.entry);
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
    expires_at: Instant,
}

/// State of the key-value service.
#[derive(Debug)]
pub(super) struct MvccStore {
    /// Revision of the last change; 1 before the first write, as in etcd.
    pub revision: i64,
    /// Newest compacted revision; only changes after it are in the history.
    pub compacted: i64,
    keys: BTreeMap<Base64Bytes, Entry>,
    history: VecDeque<Event>,
    max_history: usize,
    leases: BTreeMap<i64, Lease>,
    last_lease_id: i64,
    /// Real duration of one second of a TTL.
    lease_second: Duration,
}

impl MvccStore {
    pub(super) fn new(max_history: usize, lease_second: Duration) -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            history: VecDeque::new(),
            max_history,
            leases: BTreeMap::new(),
            last_lease_id: 0,
            lease_second,
        }
    }

    /// Returns the changes at `revision` and later, oldest first.
    pub(super) fn changes_since(&self, revision: i64) -> impl Iterator<Item = &Event> {
        let from = self
            .history
            .partition_point(|event| event.entry.mod_revision < revision);
        self.history.range(from..)
    }

    pub(super) fn range(&self, keys: &KeyRange) -> Value {
        let kvs: Vec<Value> = self
            .keys
            .range(keys.key.clone()..)
            .take_while(|(key, _)| keys.contains(key))
            .map(|(key, entry)| key_value(key, entry))
            .collect();
        let mut map = Map::new();
        map.insert("header".into(), response_header(self.revision));
        if !kvs.is_empty() {
            map.insert("count".into(), kvs.len().to_string().into());
            map.insert("kvs".into(), kvs.into());
        }
        Value::Object(map)
    }

    pub(super) fn txn(&mut self, txn: &TxnRequest) -> Result<Value, GatewayError> {
        let max_ops = txn.compare.len().max(txn.success.len());
        if max_ops.max(txn.failure.len()) > MAX_TXN_OPS {
            return Err(GatewayError::TOO_MANY_OPS);
        }
        self.validate(&txn.success)?;
        self.validate(&txn.failure)?;
        let succeeded = txn.compare.iter().all(|compare| self.is_met(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let responses = self.apply(ops);
        let mut map = Map::new();
        map.insert("header".into(), response_header(self.revision));
        if succeeded {
            map.insert("succeeded".into(), true.into());
        }
        if !responses.is_empty() {
            map.insert("responses".into(), responses.into());
        }
        Ok(Value::Object(map))
    }

    /// Runs one operation outside a transaction.
    pub(super) fn run_single(&mut self, op: RequestOp) -> Result<Value, GatewayError> {
        let ops = [op];
        self.validate(&ops)?;
        let mut responses = self.apply(&ops);
        let inner = responses.pop().and_then(|response| match response {
            Value::Object(map) => map.into_iter().next().map(|(_, inner)| inner),
            _ => None,
        });
        inner.ok_or(GatewayError::INVALID_REQUEST)
    }

    fn validate(&self, ops: &[RequestOp]) -> Result<(), GatewayError> {
        let mut puts = BTreeSet::new();
        let mut write_bytes = 0;
        for op in ops {
            let key = match op {
                RequestOp::Put(put) => {
                    write_bytes += put.key.len() + put.value.len();
                    if put.value.len() > MAX_VALUE_BYTES || write_bytes > MAX_WRITE_BYTES {
                        return Err(GatewayError::TOO_LARGE);
                    }
                    if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                        return Err(GatewayError::LEASE_NOT_FOUND);
                    }
                    if !puts.insert(&put.key) {
                        return Err(GatewayError::DUPLICATE_KEY);
                    }
                    &put.key
                }
                RequestOp::Range(keys) | RequestOp::Delete(keys) => &keys.key,
            };
            if key.is_empty() {
                return Err(GatewayError::NO_KEY);
            }
        }
        Ok(())
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key);
        let compare_int = |expected: Option<i64>, field: fn(&Entry) -> i64| {
            found.map_or(0, field).cmp(&expected.unwrap_or_default())
        };
        let order = match compare.target {
            Target::Version => compare_int(compare.version, |entry| entry.version),
            Target::Create => compare_int(compare.create_revision, |entry| entry.create_revision),
            Target::Mod => compare_int(compare.mod_revision, |entry| entry.mod_revision),
            Target::Lease => compare_int(compare.lease, |entry| entry.lease),
            Target::Value => {
                // As in etcd, a comparison with the value of an absent key is never met.
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

    /// Applies `ops` as one change: all of them get the same revision.
    fn apply(&mut self, ops: &[RequestOp]) -> Vec<Value> {
        let next = self.revision + 1;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(match op {
                RequestOp::Range(keys) => json!({"response_range": self.range(keys)}),
                RequestOp::Put(put) => {
                    self.put(put, next);
                    json!({"response_put": {"header": response_header(self.revision)}})
                }
                RequestOp::Delete(keys) => {
                    let deleted = self.delete(keys, next);
                    let mut map = Map::new();
                    map.insert("header".into(), response_header(self.revision));
                    insert_int(
                        &mut map,
                        "deleted",
                        i64::try_from(deleted).unwrap_or(i64::MAX),
                    );
                    json!({"response_delete_range": map})
                }
            });
        }
        responses
    }

    fn put(&mut self, put: &PutRequest, revision: i64) {
        let old = self.keys.get(&put.key);
        let entry = Entry {
            value: Bytes::copy_from_slice(&put.value),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), entry.clone());
        self.record_event(put.key.clone(), entry);
    }

    fn delete(&mut self, keys: &KeyRange, revision: i64) -> usize {
        let deleted: Vec<Base64Bytes> = self
            .keys
            .range(keys.key.clone()..)
            .map(|(key, _)| key)
            .take_while(|key| keys.contains(key))
            .cloned()
            .collect();
        for key in &deleted {
            self.remove(key, revision);
        }
        deleted.len()
    }

    fn remove(&mut self, key: &Base64Bytes, revision: i64) {
        self.keys.remove(key);
        let entry = Entry {
            mod_revision: revision,
            ..Entry::default()
        };
        self.record_event(key.clone(), entry);
    }

    fn record_event(&mut self, key: Base64Bytes, entry: Entry) {
        self.revision = entry.mod_revision;
        self.history.push_back(Event { key, entry });
        if self.history.len() > self.max_history
            && let Some(old) = self.history.pop_front()
        {
            self.compact(old.entry.mod_revision);
        }
    }

    /// Drops the changes up to and including `revision`, as etcd's compaction does.
    pub(super) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        while self
            .history
            .front()
            .is_some_and(|event| event.entry.mod_revision <= self.compacted)
        {
            self.history.pop_front();
        }
    }

    fn ttl_duration(&self, ttl: i64) -> Duration {
        self.lease_second
            .saturating_mul(u32::try_from(ttl).unwrap_or(u32::MAX))
    }

    pub(super) fn grant(
        &mut self,
        call: &LeaseRequest,
        now: Instant,
    ) -> Result<Value, GatewayError> {
        if call.ttl < 1 {
            return Err(GatewayError::INVALID_REQUEST);
        }
        let id = if call.id == 0 {
            self.last_lease_id += 1;
            self.last_lease_id
        } else {
            call.id
        };
        if self.leases.contains_key(&id) {
            return Err(GatewayError::LEASE_EXISTS);
        }
        let expires_at = now + self.ttl_duration(call.ttl);
        self.leases.insert(
            id,
            Lease {
                ttl: call.ttl,
                expires_at,
            },
        );
        Ok(json!({
            "header": response_header(self.revision),
            "ID": id.to_string(),
            "TTL": call.ttl.to_string(),
        }))
    }

    pub(super) fn keepalive(&mut self, call: &LeaseRequest, now: Instant) -> Value {
        let ttl = self.leases.get(&call.id).map_or(0, |lease| lease.ttl);
        let ttl_duration = self.ttl_duration(ttl);
        if let Some(lease) = self.leases.get_mut(&call.id) {
            lease.expires_at = now + ttl_duration;
        }
        let mut map = Map::new();
        map.insert("header".into(), response_header(self.revision));
        insert_int(&mut map, "ID", call.id);
        insert_int(&mut map, "TTL", ttl);
        json!({"result": map})
    }

    pub(super) fn time_left(&self, call: &LeaseRequest, now: Instant) -> Value {
        let mut map = Map::new();
        map.insert("header".into(), response_header(self.revision));
        insert_int(&mut map, "ID", call.id);
        let Some(lease) = self.leases.get(&call.id) else {
            map.insert("TTL".into(), "-1".into());
            return Value::Object(map);
        };
        let left = lease.expires_at.saturating_duration_since(now);
        let secs_left = left.as_nanos() / self.lease_second.as_nanos().max(1);
        insert_int(
            &mut map,
            "TTL",
            i64::try_from(secs_left).unwrap_or(i64::MAX),
        );
        insert_int(&mut map, "grantedTTL", lease.ttl);
        Value::Object(map)
    }

    pub(super) fn revoke(&mut self, id: i64) -> Result<Value, GatewayError> {
        self.leases
            .remove(&id)
            .ok_or(GatewayError::LEASE_NOT_FOUND)?;
        self.delete_leased_keys(id);
        Ok(json!({"header": response_header(self.revision)}))
    }

    /// Deletes the keys attached to a lease, as one change.
    fn delete_leased_keys(&mut self, id: i64) {
        let next = self.revision + 1;
        let attached: Vec<Base64Bytes> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &attached {
            self.remove(key, next);
        }
    }

    /// Removes expired leases together with their keys.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.delete_leased_keys(id);
        }
    }

    /// Restarts each lease with its full TTL, as a newly elected leader of etcd does.
    pub(super) fn renew_leases(&mut self, now: Instant) {
        let lease_second = self.lease_second;
        for lease in self.leases.values_mut() {
            lease.expires_at =
                now + lease_second.saturating_mul(u32::try_from(lease.ttl).unwrap_or(u32::MAX));
        }
    }
}
