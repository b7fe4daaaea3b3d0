//! Calls to the platform's store and decoding of their responses.
//!
//! The types are those of the etcd client ([`crate::store`]); only the wire format differs. If the
//! response to a call is lost, it is unknown whether the call took effect, so no call is retried
//! here.

use std::fmt::Write as _;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::HeaderMap;
use serde_json::{Value, json};

use super::OWN_PREFIX;
use crate::store::{CallKind, Compare, Op, OpReply, Pair, Range, Span, Txn, TxnReply};

/// Header with the store's era, which counts restores from an older backup.
const ERA_HEADER: &str = "store-era";
/// Prefix of keys that are never written, below [`OWN_PREFIX`].
const UNUSED_PREFIX: &str = "none/";

/// An encoded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Kind of call.
    pub kind: CallKind,
    /// HTTP method.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// Request body; empty for none.
    pub body: Vec<u8>,
}

/// Changes received from a watch.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// Changes in order: key, value (`None` for a removal) and revision.
    pub changes: Vec<(Box<str>, Option<Bytes>, i64)>,
    /// Revision after which the next watch continues.
    pub revision: i64,
}

/// One page of a read.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Pairs of the page.
    pub range: Range,
    /// Whether more keys follow after the last one.
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

/// Returns the call that reads a page of the keys with a prefix, after the key `after`.
///
/// The store's cheaper serializable reads may be seconds old but report the current revision. A
/// watch that continues from that revision would permanently miss the changes in between.
#[must_use]
pub fn range(prefix: &str, after: Option<&str>) -> Call {
    let mut path = format!("/v1/kv-range?prefix={}", escape(prefix));
    if let Some(after) = after {
        // Writing to a string does not fail.
        let _ = write!(path, "&after={}", escape(after));
    }
    get(CallKind::Range, path)
}

/// Returns the call that queries the store's newest revision, by a read of keys never written.
///
/// A serializable read costs a tenth of a normal one and does not count towards rate limits. Its
/// data may be stale, but the revision that it reports is current.
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

/// Returns the call that requests a lease.
#[must_use]
pub fn grant(ttl: Duration) -> Call {
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    post(CallKind::Grant, "/v1/kv-lease", &json!({ "ttlMs": ttl_ms }))
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

/// Returns the call that revokes a lease.
#[must_use]
pub fn revoke(lease: i64) -> Call {
    Call {
        kind: CallKind::Revoke,
        method: "DELETE",
        path: format!("/v1/kv-lease-end/{lease}"),
        body: Vec::new(),
    }
}

/// Returns the call for a transaction.
///
/// The format has no conditions on values, no reads and no operations for conditions that do not
/// hold; they are omitted, since no caller of this store uses them.
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
    let deletes = txn.then.iter().filter_map(|op| match op {
        Op::Delete(Span::Key(key)) => Some(json!(&**key)),
        _ => None,
    });
    let body = json!({
        "expectedRevision": expected.collect::<Vec<_>>(),
        "setKeys": puts.collect::<Vec<_>>(),
        "remove": deletes.collect::<Vec<_>>(),
    });
    post(CallKind::Txn, "/v1/kv-txn", &body)
}

/// Decodes the response to [`range`].
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

/// Decodes the response to [`watch`].
#[must_use]
pub fn decode_events(body: &[u8]) -> Option<Events> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let changes = value["events"].as_array()?.iter().map(|event| {
        let key = event["key"].as_str()?.into();
        let is_deleted = event["deleted"].as_bool().unwrap_or(false);
        let value = if is_deleted {
            None
        } else {
            Some(bytes(event)?)
        };
        Some((key, value, event["revision"].as_i64()?))
    });
    let changes: Option<Vec<_>> = changes.collect();
    Some(Events {
        changes: changes?,
        revision: value["at"].as_i64()?,
    })
}

/// Decodes the id of the lease from the response to [`grant`].
#[must_use]
pub fn decode_lease(body: &[u8]) -> Option<i64> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value["lease"].as_i64()
}

/// Decodes the response to [`txn`] with the given status.
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

/// Decodes the era from the headers of a response, if it is present.
#[must_use]
pub fn decode_era(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(ERA_HEADER)?.to_str().ok();
    let era = value.and_then(|value| value.trim().parse().ok());
    if era.is_none() {
        log::warn!("{ERA_HEADER} is {value:?}, expected a whole number");
    }
    era
}

/// Percent-encodes text for a query.
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
