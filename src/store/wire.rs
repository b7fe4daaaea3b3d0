//! JSON messages of etcd's v3 gateway.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::call::malformed;
use super::{Batch, Change, Compare, Op, OpReply, Pair, Range, Span, StoreError, Txn, TxnReply};

/// Bytes encoded as base64 in JSON.
#[derive(Debug, Clone, Default)]
pub(super) struct Base64Bytes(Bytes);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        match STANDARD.decode(&*text) {
            Ok(bytes) => Ok(Self(bytes.into())),
            Err(err) => Err(serde::de::Error::custom(err.to_string())),
        }
    }
}

impl From<&str> for Base64Bytes {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

/// A 64-bit integer: a string in JSON, a number from some gateways, absent for 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(Box<str>),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(n) => Ok(Self(n)),
            Form::Text(text) => match text.parse() {
                Ok(n) => Ok(Self(n)),
                Err(err) => Err(serde::de::Error::custom(format!("{err}"))),
            },
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Base64Bytes>,
}

impl RangeRequest {
    pub(super) fn new(span: &Span) -> Self {
        let (key, range_end) = key_range(span);
        Self { key, range_end }
    }
}

/// Returns the first key of a span and the first key after it; no end for a single key.
fn key_range(span: &Span) -> (Base64Bytes, Option<Base64Bytes>) {
    match span {
        Span::Key(key) => (Base64Bytes::from(&**key), None),
        Span::Prefix(prefix) => {
            let mut end = prefix.as_bytes().to_vec();
            match end.last_mut() {
                // UTF-8 contains no byte 0xff, so this does not overflow.
                Some(last) => *last += 1,
                // In etcd this range covers all keys.
                None => return (Base64Bytes::from("\0"), Some(Base64Bytes::from("\0"))),
            }
            (Base64Bytes::from(&**prefix), Some(Base64Bytes(end.into())))
        }
    }
}

#[derive(Debug, Serialize)]
struct PutRequest {
    key: Base64Bytes,
    value: Base64Bytes,
    lease: Int,
}

#[derive(Debug, Serialize)]
enum RequestOp {
    #[serde(rename = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "requestDeleteRange")]
    Delete(RangeRequest),
    #[serde(rename = "requestRange")]
    Get(RangeRequest),
}

impl RequestOp {
    fn new(op: &Op) -> Self {
        match op {
            Op::Put { key, value, lease } => Self::Put(PutRequest {
                key: Base64Bytes::from(&**key),
                value: Base64Bytes(value.clone()),
                lease: Int(*lease),
            }),
            Op::Delete(span) => Self::Delete(RangeRequest::new(span)),
            Op::Get(span) => Self::Get(RangeRequest::new(span)),
        }
    }
}

#[derive(Debug, Serialize)]
struct CompareRequest {
    key: Base64Bytes,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Base64Bytes>,
}

impl CompareRequest {
    fn new(compare: &Compare) -> Self {
        let equal = |key: &str, target| Self {
            key: Base64Bytes::from(key),
            result: "EQUAL",
            target,
            mod_revision: None,
            create_revision: None,
            value: None,
        };
        match compare {
            Compare::Modified { key, revision } => Self {
                mod_revision: Some(Int(*revision)),
                ..equal(key, "MOD")
            },
            Compare::Absent { key } => Self {
                create_revision: Some(Int(0)),
                ..equal(key, "CREATE")
            },
            Compare::Value { key, value } => Self {
                value: Some(Base64Bytes(value.clone())),
                ..equal(key, "VALUE")
            },
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

impl TxnRequest {
    pub(super) fn new(txn: &Txn) -> Self {
        Self {
            compare: txn.compare.iter().map(CompareRequest::new).collect(),
            success: txn.then.iter().map(RequestOp::new).collect(),
            failure: txn.otherwise.iter().map(RequestOp::new).collect(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    ttl: Option<Int>,
    #[serde(rename = "ID")]
    id: Int,
}

impl LeaseRequest {
    /// Requests a new lease, whose id the service chooses.
    pub(super) fn grant(seconds: i64) -> Self {
        Self {
            ttl: Some(Int(seconds)),
            id: Int(0),
        }
    }

    pub(super) fn for_lease(lease: i64) -> Self {
        Self {
            ttl: None,
            id: Int(lease),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
struct WatchCreateRequest {
    #[serde(flatten)]
    keys: RangeRequest,
    start_revision: Int,
    progress_notify: bool,
}

impl WatchRequest {
    pub(super) fn new(span: &Span, from: i64) -> Self {
        Self {
            create_request: WatchCreateRequest {
                keys: RangeRequest::new(span),
                start_revision: Int(from),
                progress_notify: true,
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct GatewayError {
    #[serde(default)]
    pub message: Box<str>,
    #[serde(default)]
    pub code: i64,
}

#[derive(Debug, Default, Deserialize)]
struct ResponseHeader {
    revision: Int,
}

/// A response of which only the presence of the header is checked.
#[derive(Debug, Deserialize)]
pub(super) struct HeaderResponse {
    #[expect(dead_code, reason = "only its presence is checked")]
    header: ResponseHeader,
}

/// A message of a streaming call.
#[derive(Debug, Deserialize)]
pub(super) struct StreamResponse<T> {
    pub result: T,
}

#[derive(Debug, Deserialize)]
struct KeyValue {
    key: Base64Bytes,
    #[serde(default)]
    value: Base64Bytes,
    #[serde(default)]
    create_revision: Int,
    mod_revision: Int,
    #[serde(default)]
    lease: Int,
}

fn utf8_key(key: &Base64Bytes) -> Result<Box<str>, StoreError> {
    std::str::from_utf8(&key.0)
        .map(Box::from)
        .map_err(|err| malformed(&err))
}

fn pairs(kvs: Vec<KeyValue>) -> Result<Vec<Pair>, StoreError> {
    let read = |kv: KeyValue| {
        Ok(Pair {
            key: utf8_key(&kv.key)?,
            value: kv.value.0,
            mod_revision: kv.mod_revision.0,
            create_revision: kv.create_revision.0,
            lease: kv.lease.0,
        })
    };
    kvs.into_iter().map(read).collect()
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeResponse {
    header: ResponseHeader,
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub(super) fn into_range(self) -> Result<Range, StoreError> {
        Ok(Range {
            revision: self.header.revision.0,
            pairs: pairs(self.kvs)?,
        })
    }
}

#[derive(Debug, Deserialize)]
enum ResponseOp {
    #[serde(rename = "response_put")]
    Put(serde::de::IgnoredAny),
    #[serde(rename = "response_delete_range")]
    Delete {
        #[serde(default)]
        deleted: Int,
    },
    #[serde(rename = "response_range")]
    Get {
        #[serde(default)]
        kvs: Vec<KeyValue>,
    },
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    header: ResponseHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<ResponseOp>,
}

impl TxnResponse {
    pub(super) fn into_reply(self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let ops = if self.succeeded {
            &txn.then
        } else {
            &txn.otherwise
        };
        if ops.len() != self.responses.len() {
            return Err(malformed(
                &"number of results differs from number of operations",
            ));
        }
        let read = |(op, response): (&Op, ResponseOp)| match (op, response) {
            (Op::Put { .. }, ResponseOp::Put(_)) => Ok(OpReply::Put),
            (Op::Delete(_), ResponseOp::Delete { deleted }) => Ok(OpReply::Deleted(deleted.0)),
            (Op::Get(_), ResponseOp::Get { kvs }) => pairs(kvs).map(OpReply::Got),
            _ => Err(malformed(&"result of another kind than its operation")),
        };
        Ok(TxnReply {
            revision: self.header.revision.0,
            succeeded: self.succeeded,
            replies: ops
                .iter()
                .zip(self.responses)
                .map(read)
                .collect::<Result<_, _>>()?,
        })
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", default)]
    id: Int,
    #[serde(rename = "TTL", default)]
    ttl: Int,
}

impl LeaseResponse {
    pub(super) fn id(&self) -> Result<i64, StoreError> {
        match self.id.0 {
            0 => Err(malformed(&"lease without an id")),
            id => Ok(id),
        }
    }

    pub(super) fn ttl(&self) -> Option<Duration> {
        let seconds = u64::try_from(self.ttl.0).ok().filter(|ttl| *ttl > 0)?;
        Some(Duration::from_secs(seconds))
    }
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

/// A message of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchResponse {
    header: ResponseHeader,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: Int,
    #[serde(default)]
    cancel_reason: Box<str>,
    #[serde(default)]
    events: Vec<Event>,
}

/// Decoded message of a watch.
#[derive(Debug)]
pub(super) enum WatchMessage {
    Created,
    Batch(Batch),
}

/// Parses a message of a watch.
pub(super) fn parse_message(line: &[u8]) -> Result<WatchMessage, StoreError> {
    #[derive(Deserialize)]
    struct Line {
        result: Option<WatchResponse>,
        error: Option<GatewayError>,
    }
    let line: Line = serde_json::from_slice(line).map_err(|err| malformed(&err))?;
    if let Some(err) = line.error {
        return Err(StoreError::Ended {
            reason: err.message,
        });
    }
    let response = line
        .result
        .ok_or_else(|| malformed(&"watch message has neither result nor error"))?;
    if response.compact_revision.0 > 0 {
        return Err(StoreError::Compacted {
            oldest: response.compact_revision.0,
        });
    }
    if response.canceled {
        return Err(StoreError::Ended {
            reason: response.cancel_reason,
        });
    }
    if response.created {
        return Ok(WatchMessage::Created);
    }
    let change = |event: Event| {
        Ok(Change {
            key: utf8_key(&event.kv.key)?,
            value: (event.kind == EventKind::Put).then_some(event.kv.value.0),
            mod_revision: event.kv.mod_revision.0,
        })
    };
    Ok(WatchMessage::Batch(Batch {
        revision: response.header.revision.0,
        changes: response
            .events
            .into_iter()
            .map(change)
            .collect::<Result<_, _>>()?,
    }))
}
