//! Calls of the platform's store and their answers.
//!
//! The types are those of the project's own client ([`crate::store`]); only the form on the wire
//! differs. Where a call's answer is lost, whether it took effect is unknown: nothing here repeats
//! a call.

use std::fmt::Write as _;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::HeaderMap;
use serde_json::{Value, json};

use super::OWN_PREFIX;
use crate::store::{CallKind, Compare, Op, OpReply, Pair, Range, Span, Txn, TxnReply};

/// Header that counts how often the store came back from an older copy.
const ERA_HEADER: &str = "store-era";
/// Start of keys that nothing writes, below [`OWN`].
const UNUSED_PREFIX: &str = "none/";

/// One call, as it is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// What it is.
    pub kind: CallKind,
    /// HTTP method.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// Body; empty for none.
    pub body: Vec<u8>,
}

/// What a watch brought.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// Changes in order: key, value (`None` for a removal) and revision.
    pub changes: Vec<(Box<str>, Option<Bytes>, i64)>,
    /// Revision to go on from.
    pub revision: i64,
}

/// One page of a read.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// What was found.
    pub range: Range,
    /// Whether more follows after the last key.
    pub has_more: bool,
}

fn get(kind: CallKind, path: String) -> Call {
    Call {
        kind,
        method: "GET",
        path,
        body: Vec::new(),
    }
}

fn post(kind: CallKind, path: &str, body: &Value) -> Call {
    Call {
        kind,
        method: "POST",
        path: path.to_owned(),
        body: body.to_string().into_bytes(),
    }
}

/// Returns the call that reads a page of the keys that begin so, after `after`.
///
/// The store offers cheaper reads that may be seconds old. They name the revision of the store, not
/// of what they show: a watch that goes on from there misses what lies between, for good.
#[must_use]
pub fn range(prefix: &str, after: Option<&str>) -> Call {
    let mut path = format!("/v1/kv-range?prefix={}", escape(prefix));
    if let Some(after) = after {
        // Writing to a string does not fail.
        let _ = write!(path, "&after={}", escape(after));
    }
    get(CallKind::Range, path)
}

/// Returns the call that asks for the store's newest revision, by a read of keys that nothing writes.
///
/// Such a read costs a tenth and counts towards no rate. What it shows may be old, but the revision
/// that it names is the store's.
#[must_use]
pub fn probe() -> Call {
    let prefix = escape(&format!("{OWN_PREFIX}{UNUSED_PREFIX}"));
    get(
        CallKind::Probe,
        format!("/v1/kv-range?prefix={prefix}&serializable=1"),
    )
}

/// Returns the call that waits for changes after a revision.
#[must_use]
pub fn watch(prefix: &str, after: i64, wait: Duration) -> Call {
    let prefix = escape(prefix);
    let wait = wait.as_millis();
    let path = format!("/v1/kv-watch?prefix={prefix}&after={after}&waitMs={wait}");
    get(CallKind::Watch, path)
}

/// Returns the call that asks for a lease.
#[must_use]
pub fn grant(life: Duration) -> Call {
    let millis = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
    post(CallKind::Grant, "/v1/kv-lease", &json!({ "ttlMs": millis }))
}

/// Returns the call that renews a lease.
#[must_use]
pub fn keepalive(lease: i64) -> Call {
    Call {
        kind: CallKind::Keepalive,
        method: "POST",
        path: format!("/v1/kv-keep/{lease}"),
        body: Vec::new(),
    }
}

/// Returns the call that gives a lease back.
#[must_use]
pub fn revoke(lease: i64) -> Call {
    Call {
        kind: CallKind::Revoke,
        method: "DELETE",
        path: format!("/v1/kv-lease-end/{lease}"),
        body: Vec::new(),
    }
}

/// Returns the call for a transaction; conditions on values, reads and steps for conditions that
/// do not hold have no form here and are left out, as nothing on this store uses them.
#[must_use]
pub fn txn(txn: &Txn) -> Call {
    let expected = txn.compare.iter().filter_map(|compare| match compare {
        Compare::Modified { key, revision } => Some(json!({ "key": &**key, "revision": revision })),
        Compare::Absent { key } => Some(json!({ "key": &**key, "revision": 0 })),
        Compare::Value { .. } => None,
    });
    let puts = txn.then.iter().filter_map(|op| match op {
        Op::Put { key, value, lease } => Some(json!({
            "key": &**key,
            "value": STANDARD.encode(value),
            "lease": lease,
        })),
        _ => None,
    });
    let removes = txn.then.iter().filter_map(|op| match op {
        Op::Delete(Span::Key(key)) => Some(json!(&**key)),
        _ => None,
    });
    let body = json!({
        "expectedRevision": expected.collect::<Vec<_>>(),
        "setKeys": puts.collect::<Vec<_>>(),
        "remove": removes.collect::<Vec<_>>(),
    });
    post(CallKind::Txn, "/v1/kv-txn", &body)
}

/// Reads the answer to [`range`].
#[must_use]
pub fn decode_page(body: &[u8]) -> Option<Page> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let items = value["items"].as_array()?;
    let pairs: Option<Vec<Pair>> = items.iter().map(pair).collect();
    Some(Page {
        range: Range {
            revision: value["at"].as_i64()?,
            pairs: pairs?,
        },
        has_more: value["hasMore"].as_bool().unwrap_or(false),
    })
}

fn pair(item: &Value) -> Option<Pair> {
    Some(Pair {
        key: item["key"].as_str()?.into(),
        value: bytes(item)?,
        mod_revision: item["revision"].as_i64()?,
        create_revision: item["created"].as_i64().unwrap_or(0),
        lease: item["lease"].as_i64().unwrap_or(0),
    })
}

fn bytes(item: &Value) -> Option<Bytes> {
    STANDARD
        .decode(item["value"].as_str()?)
        .ok()
        .map(Bytes::from)
}

/// Reads the answer to [`watch`].
#[must_use]
pub fn decode_events(body: &[u8]) -> Option<Events> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let changes = value["events"].as_array()?.iter().map(|event| {
        let key = event["key"].as_str()?.into();
        let gone = event["deleted"].as_bool().unwrap_or(false);
        let value = if gone { None } else { Some(bytes(event)?) };
        Some((key, value, event["revision"].as_i64()?))
    });
    let changes: Option<Vec<_>> = changes.collect();
    Some(Events {
        changes: changes?,
        revision: value["at"].as_i64()?,
    })
}

/// Reads the lease from the answer to [`grant`].
#[must_use]
pub fn decode_lease(body: &[u8]) -> Option<i64> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value["lease"].as_i64()
}

/// Reads the answer to [`txn`] of that status.
#[must_use]
pub fn decode_txn_reply(status: u16, body: &[u8]) -> Option<TxnReply> {
    let value: Value = serde_json::from_slice(body).ok()?;
    match status {
        200 => Some(TxnReply {
            revision: value["revision"].as_i64()?,
            succeeded: true,
            replies: vec![OpReply::Put],
        }),
        412 => {
            let items = value["items"].as_array().cloned().unwrap_or_default();
            let pairs = items.iter().filter_map(pair).collect();
            Some(TxnReply {
                revision: 0,
                succeeded: false,
                replies: vec![OpReply::Got(pairs)],
            })
        }
        _ => None,
    }
}

/// Reads the era that an answer names, if it names one.
#[must_use]
pub fn decode_era(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(ERA_HEADER)?.to_str().ok();
    let era = value.and_then(|value| value.trim().parse().ok());
    if era.is_none() {
        log::warn!("{ERA_HEADER} is {value:?}, expected a whole number");
    }
    era
}

/// Escapes text for a query.
fn escape(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b'/') {
            out.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
