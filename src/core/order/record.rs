//! What the key-value service keeps permanently about a pool's holders.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::HOLDER;
use super::suspect::Process;
use crate::store::{Op, OpReply, Pair, Span, TxnReply};

/// Value of the key without a lease.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// Highest fencing number given out.
    pub fence: u64,
    /// Token of the takeover in which it was given out.
    pub token: Box<str>,
    /// Processes that may have orders in flight.
    pub processes: Vec<Process>,
}

impl Record {
    /// Encodes the record as JSON.
    pub(super) fn to_json(&self) -> Vec<u8> {
        let processes: Vec<Value> = self
            .processes
            .iter()
            .map(|process| {
                json!({
                    "host": &*process.host,
                    "incarnation": process.incarnation,
                    "addr": process.addr.to_string(),
                })
            })
            .collect();
        let value = json!({
            "fence": self.fence,
            "token": &*self.token,
            "processes": processes,
        });
        value.to_string().into_bytes()
    }

    /// Decodes a record from JSON.
    pub(super) fn parse(bytes: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(bytes).ok()?;
        let processes = value["processes"].as_array()?.iter().map(|process| {
            Some(Process {
                host: process["host"].as_str()?.into(),
                incarnation: process["incarnation"].as_u64()?,
                addr: process["addr"].as_str()?.parse().ok()?,
            })
        });
        let processes: Option<BTreeSet<Process>> = processes.collect();
        Some(Self {
            fence: value["fence"].as_u64()?,
            token: value["token"].as_str()?.into(),
            processes: processes?.into_iter().collect(),
        })
    }
}

/// Returns the key of a pool's holder.
pub(super) fn holder_key(pool: &str) -> Box<str> {
    format!("w/{HOLDER}/{pool}").into()
}

/// Returns the key of the record, which has no lease.
pub(super) fn fence_key(pool: &str) -> Box<str> {
    format!("d/fence/{pool}").into()
}

/// Returns the operations that read both keys.
pub(super) fn read_both(pool: &str) -> Vec<Op> {
    vec![
        Op::Get(Span::Key(holder_key(pool))),
        Op::Get(Span::Key(fence_key(pool))),
    ]
}

/// Returns the pairs that a transaction read.
pub(super) fn read_pairs(txn: &TxnReply) -> impl Iterator<Item = &Pair> {
    let got = txn.replies.iter().filter_map(|reply| match reply {
        OpReply::Got(pairs) => Some(pairs),
        OpReply::Put | OpReply::Deleted(_) => None,
    });
    got.flatten()
}

/// Returns the record and its revision; `None` if it cannot be parsed.
pub(super) fn record_in(txn: &TxnReply, name: &str) -> Option<(Record, i64)> {
    match read_pairs(txn).find(|pair| pair.key == fence_key(name)) {
        Some(pair) => Some((Record::parse(&pair.value)?, pair.mod_revision)),
        None => Some((Record::default(), 0)),
    }
}

/// Returns the operation that writes the record.
pub(super) fn put_record(name: &str, record: &Record) -> Op {
    Op::Put {
        key: fence_key(name),
        value: record.to_json().into(),
        lease: 0,
    }
}
