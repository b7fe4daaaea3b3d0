//! Fake of the key-value service: compare-and-swap, leases, watched keys, outages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::core::event::{Job, StoreReply, StoreResult, WatchedKey};
use crate::core::{Effect, Time};
use crate::store::{Compare, Op, OpReply, Pair, Range, Span, Txn, TxnReply};

const WATCHED_PREFIX: &str = "w/";

#[derive(Debug, Clone)]
struct Value {
    bytes: Bytes,
    modified: i64,
    lease: i64,
}

/// The fake store, with switches for its faults.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// Whether every call is refused.
    pub down: bool,
    /// Number of replies to writes of records still to be lost.
    pub lose_record_replies: u32,
    /// Number of writes of records still to be refused.
    pub refuse_records: u32,
    /// Number of writes by key.
    pub writes: BTreeMap<Box<str>, u32>,
    /// Number of calls that grant or renew a lease.
    pub lease_calls: u32,
    values: BTreeMap<Box<str>, Value>,
    leases: BTreeMap<i64, (Duration, Time)>,
    revision: i64,
    changed: Vec<WatchedKey>,
}

impl FakeStore {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.values.get(key).map(|value| &value.bytes)
    }

    /// Returns the keys with this prefix.
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let keys = self.values.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns all watched keys, as a new watch reports them.
    pub fn watched(&self) -> Vec<WatchedKey> {
        let keys = self.values.iter();
        keys.filter_map(|(key, value)| watched(key, Some(value), value.modified))
            .collect()
    }

    /// Expires leases, and returns the watched changes since the last call.
    pub fn changes(&mut self, now: Time) -> Vec<WatchedKey> {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (ttl, renewed))| now.since(*renewed) > *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        if !self.down {
            for lease in lapsed {
                self.revoke(lease);
            }
        }
        std::mem::take(&mut self.changed)
    }

    /// Returns whether the reply to this call is to be lost, and counts it if so.
    pub fn take_lost_reply(&mut self, job: Job) -> bool {
        let lose = matches!(job, Job::Record(..)) && self.lose_record_replies > 0;
        self.lose_record_replies -= u32::from(lose);
        lose
    }

    fn revoke(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let values = self.values.iter();
        let bound = values.filter(|(_, value)| value.lease == lease);
        let keys: Vec<Box<str>> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        self.revision += 1;
        if self.values.remove(key).is_some() {
            self.changed.extend(watched(key, None, self.revision));
        }
    }

    /// Executes a call; returns `None` for calls without a reply.
    pub fn apply(&mut self, now: Time, effect: Effect) -> Option<StoreReply> {
        let renewal = matches!(
            effect,
            Effect::GrantLease { .. } | Effect::RenewLease { .. }
        );
        self.lease_calls += u32::from(renewal);
        let (job, result) = match effect {
            Effect::RevokeLease(lease) => {
                if !self.down {
                    self.revoke(lease);
                }
                return None;
            }
            Effect::Read { job, span } => (job, StoreResult::Read(self.range(&span))),
            Effect::Txn { job, .. }
            | Effect::GrantLease { job, .. }
            | Effect::RenewLease { job, .. }
                if self.down =>
            {
                (job, StoreResult::Refused)
            }
            Effect::Txn {
                job: job @ Job::Record(..),
                ..
            } if self.refuse_records > 0 => {
                self.refuse_records -= 1;
                (job, StoreResult::Refused)
            }
            Effect::Txn { job, txn } => (job, StoreResult::Txn(self.txn(txn))),
            Effect::GrantLease { job, ttl } => {
                self.revision += 1;
                self.leases.insert(self.revision, (ttl, now));
                (job, StoreResult::Lease(self.revision))
            }
            Effect::RenewLease { job, lease } => {
                let known = self.leases.get_mut(&lease);
                let lease = known.map_or(0, |(_, renewed)| {
                    *renewed = now;
                    lease
                });
                (job, StoreResult::Lease(lease))
            }
            _ => return None,
        };
        let result = if self.down {
            StoreResult::Refused
        } else {
            result
        };
        Some(StoreReply { job, result })
    }

    fn range(&self, span: &Span) -> Range {
        let pairs = self.values.iter().filter(|(key, _)| match span {
            Span::Key(wanted) => *key == wanted,
            Span::Prefix(prefix) => key.starts_with(&**prefix),
        });
        Range {
            revision: self.revision,
            pairs: pairs
                .map(|(key, value)| Pair {
                    key: key.clone(),
                    value: value.bytes.clone(),
                    mod_revision: value.modified,
                    create_revision: value.modified,
                    lease: value.lease,
                })
                .collect(),
        }
    }

    fn txn(&mut self, txn: Txn) -> TxnReply {
        let succeeded = txn.compare.iter().all(|compare| match compare {
            Compare::Modified { key, revision } => {
                self.values.get(key).map_or(0, |value| value.modified) == *revision
            }
            Compare::Absent { key } => !self.values.contains_key(key),
            Compare::Value { key, value } => self.get(key) == Some(value),
        });
        let ops = if succeeded { txn.then } else { txn.otherwise };
        if ops.iter().any(|op| matches!(op, Op::Put { .. })) {
            self.revision += 1;
        }
        let replies = ops.into_iter().map(|op| self.op(op)).collect();
        TxnReply {
            revision: self.revision,
            succeeded,
            replies,
        }
    }

    fn op(&mut self, op: Op) -> OpReply {
        match op {
            Op::Put { key, value, lease } => {
                *self.writes.entry(key.clone()).or_default() += 1;
                let value = Value {
                    bytes: value,
                    modified: self.revision,
                    lease,
                };
                self.changed
                    .extend(watched(&key, Some(&value), self.revision));
                self.values.insert(key, value);
                OpReply::Put
            }
            Op::Delete(span) => {
                let keys: Vec<_> = self.range(&span).pairs;
                for pair in &keys {
                    self.delete(&pair.key);
                }
                OpReply::Deleted(i64::try_from(keys.len()).expect("few keys"))
            }
            Op::Get(span) => OpReply::Got(self.range(&span).pairs),
        }
    }
}

fn watched(key: &str, value: Option<&Value>, modified: i64) -> Option<WatchedKey> {
    Some(WatchedKey {
        key: key.strip_prefix(WATCHED_PREFIX)?.into(),
        value: value.map(|value| value.bytes.to_vec().into()),
        modified,
    })
}
