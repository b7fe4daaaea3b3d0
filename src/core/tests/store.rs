//! A small fake of the key-value service: compare-and-swap, leases, watched keys, outages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::core::event::{Job, StoreReply, StoreResult, Watched};
use crate::core::{Effect, Time};
use crate::store::{Compare, Op, OpReply, Pair, Range, Span, Txn, TxnReply};

const FOLDER: &str = "w/";

#[derive(Debug, Clone)]
struct Value {
    bytes: Bytes,
    modified: i64,
    lease: i64,
}

/// The store and its switches.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// Whether every call is refused.
    pub down: bool,
    /// Answers of writes to records that are still to be lost.
    pub lose_records: u32,
    /// Writes to records that are still to be refused.
    pub refuse_records: u32,
    /// Transactions carried out, by the first key they write.
    pub writes: BTreeMap<Box<str>, u32>,
    /// Leases granted and renewed.
    pub renewals: u32,
    values: BTreeMap<Box<str>, Value>,
    leases: BTreeMap<i64, (Duration, Time)>,
    revision: i64,
    changed: Vec<Watched>,
}

impl FakeStore {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.values.get(key).map(|value| &value.bytes)
    }

    /// Returns the keys that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let keys = self.values.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns every watched key as a new watch reports it.
    pub fn watched(&self) -> Vec<Watched> {
        let keys = self.values.iter();
        keys.filter_map(|(key, value)| watched(key, Some(value), value.modified))
            .collect()
    }

    /// Lets leases lapse, and returns the watched changes since the last call.
    pub fn changes(&mut self, now: Time) -> Vec<Watched> {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (life, renewed))| now.since(*renewed) > *life)
            .map(|(lease, _)| *lease)
            .collect();
        if !self.down {
            for lease in lapsed {
                self.revoke(lease);
            }
        }
        std::mem::take(&mut self.changed)
    }

    /// Takes one lost answer of a record's write.
    pub fn lose(&mut self, job: Job) -> bool {
        let lose = matches!(job, Job::Record(..)) && self.lose_records > 0;
        self.lose_records -= u32::from(lose);
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

    /// Carries out a call; `None` where no answer is wanted.
    pub fn carry(&mut self, now: Time, effect: Effect) -> Option<StoreReply> {
        let renewal = matches!(effect, Effect::Grant { .. } | Effect::Renew { .. });
        self.renewals += u32::from(renewal);
        let (job, result) = match effect {
            Effect::Revoke(lease) => {
                if !self.down {
                    self.revoke(lease);
                }
                return None;
            }
            Effect::Read { job, span } => (job, StoreResult::Read(self.range(&span))),
            Effect::Txn { job, .. } | Effect::Grant { job, .. } | Effect::Renew { job, .. }
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
            Effect::Grant { job, life } => {
                self.revision += 1;
                self.leases.insert(self.revision, (life, now));
                (job, StoreResult::Lease(self.revision))
            }
            Effect::Renew { job, lease } => {
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

fn watched(key: &str, value: Option<&Value>, modified: i64) -> Option<Watched> {
    Some(Watched {
        key: key.strip_prefix(FOLDER)?.into(),
        value: value.map(|value| value.bytes.to_vec().into()),
        modified,
    })
}
