//! JSON encoding of etcd's v3 gateway: bytes in base64, 64-bit integers as strings, default values
//! omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::http::StatusCode;
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value, json};

use super::mvcc::Entry;

/// Bytes that are encoded as base64 in JSON.
pub(super) type Base64Bytes = Vec<u8>;

/// An error answer of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GatewayError {
    /// HTTP status.
    pub status: StatusCode,
    /// gRPC code that the status is mapped from.
    pub code: u8,
    /// Message, in etcd's words where etcd has one.
    pub message: &'static str,
}

impl GatewayError {
    pub(super) const NO_LEADER: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: 14,
        message: "etcdserver: no leader",
    };
    pub(super) const TOO_LARGE: Self = Self::invalid("etcdserver: request is too large");
    pub(super) const DUPLICATE_KEY: Self =
        Self::invalid("etcdserver: duplicate key given in txn request");
    pub(super) const TOO_MANY_OPS: Self =
        Self::invalid("etcdserver: too many operations in txn request");
    pub(super) const NO_KEY: Self = Self::invalid("etcdserver: key is not provided");
    pub(super) const INVALID_REQUEST: Self = Self::invalid("the request is not understood");
    pub(super) const LEASE_EXISTS: Self = Self {
        status: StatusCode::PRECONDITION_FAILED,
        code: 9,
        message: "etcdserver: lease already exists",
    };
    pub(super) const LEASE_NOT_FOUND: Self = Self {
        status: StatusCode::NOT_FOUND,
        code: 5,
        message: "etcdserver: requested lease not found",
    };
    pub(super) const PATH_NOT_FOUND: Self = Self {
        status: StatusCode::NOT_FOUND,
        code: 5,
        message: "Not Found",
    };

    const fn invalid(message: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: 3,
            message,
        }
    }

    pub(super) fn body(self) -> Value {
        json!({"error": self.message, "code": self.code, "message": self.message})
    }
}

fn deserialize_bytes<'de, D: Deserializer<'de>>(from: D) -> Result<Base64Bytes, D::Error> {
    let text = Box::<str>::deserialize(from)?;
    STANDARD
        .decode(&*text)
        .map_err(|err| serde::de::Error::custom(err.to_string()))
}

fn deserialize_optional_bytes<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<Option<Base64Bytes>, D::Error> {
    deserialize_bytes(from).map(Some)
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Int {
    Number(i64),
    Text(Box<str>),
}

fn deserialize_int<'de, D: Deserializer<'de>>(from: D) -> Result<i64, D::Error> {
    match Int::deserialize(from)? {
        Int::Number(n) => Ok(n),
        Int::Text(text) => text
            .parse()
            .map_err(|err| serde::de::Error::custom(format!("{err}"))),
    }
}

fn deserialize_optional_int<'de, D: Deserializer<'de>>(from: D) -> Result<Option<i64>, D::Error> {
    deserialize_int(from).map(Some)
}

/// One key, or the keys from `key` up to `range_end`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeyRange {
    #[serde(deserialize_with = "deserialize_bytes")]
    pub key: Base64Bytes,
    #[serde(default, alias = "rangeEnd", deserialize_with = "deserialize_bytes")]
    pub range_end: Base64Bytes,
}

impl KeyRange {
    /// Returns whether `key` is in the range; a `range_end` of one zero byte means no upper bound.
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match &*self.range_end {
            [] => *key == *self.key,
            [0] => *key >= *self.key,
            end => *key >= *self.key && *key < *end,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PutRequest {
    #[serde(deserialize_with = "deserialize_bytes")]
    pub key: Base64Bytes,
    #[serde(default, deserialize_with = "deserialize_bytes")]
    pub value: Base64Bytes,
    #[serde(default, deserialize_with = "deserialize_int")]
    pub lease: i64,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Compare {
    #[serde(default)]
    pub result: Relation,
    #[serde(default)]
    pub target: Target,
    #[serde(deserialize_with = "deserialize_bytes")]
    pub key: Base64Bytes,
    #[serde(default, deserialize_with = "deserialize_optional_bytes")]
    pub value: Option<Base64Bytes>,
    #[serde(default, deserialize_with = "deserialize_optional_int")]
    pub version: Option<i64>,
    #[serde(
        default,
        alias = "createRevision",
        deserialize_with = "deserialize_optional_int"
    )]
    pub create_revision: Option<i64>,
    #[serde(
        default,
        alias = "modRevision",
        deserialize_with = "deserialize_optional_int"
    )]
    pub mod_revision: Option<i64>,
    #[serde(default, deserialize_with = "deserialize_optional_int")]
    pub lease: Option<i64>,
}

#[derive(Debug, Deserialize)]
pub(super) enum RequestOp {
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(KeyRange),
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(PutRequest),
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    Delete(KeyRange),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TxnRequest {
    #[serde(default)]
    pub compare: Vec<Compare>,
    #[serde(default)]
    pub success: Vec<RequestOp>,
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL", default, deserialize_with = "deserialize_int")]
    pub ttl: i64,
    #[serde(rename = "ID", default, deserialize_with = "deserialize_int")]
    pub id: i64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WatchCreateRequest {
    #[serde(deserialize_with = "deserialize_bytes")]
    pub key: Base64Bytes,
    #[serde(default, alias = "rangeEnd", deserialize_with = "deserialize_bytes")]
    pub range_end: Base64Bytes,
    #[serde(default, alias = "startRevision", deserialize_with = "deserialize_int")]
    pub start_revision: i64,
    #[serde(default, alias = "progressNotify")]
    pub progress_notify: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CompactionRequest {
    #[serde(deserialize_with = "deserialize_int")]
    pub revision: i64,
}

/// Inserts `n` as the gateway encodes it: as a string, and omitted if zero.
pub(super) fn insert_int(map: &mut Map<String, Value>, name: &str, n: i64) {
    if n != 0 {
        map.insert(name.into(), Value::String(n.to_string()));
    }
}

/// Returns the header of every response.
pub(super) fn response_header(revision: i64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

/// Returns the JSON of one key and its value.
pub(super) fn key_value(key: &[u8], entry: &Entry) -> Value {
    let mut map = Map::new();
    map.insert("key".into(), STANDARD.encode(key).into());
    insert_int(&mut map, "create_revision", entry.create_revision);
    insert_int(&mut map, "mod_revision", entry.mod_revision);
    insert_int(&mut map, "version", entry.version);
    if !entry.value.is_empty() {
        map.insert("value".into(), STANDARD.encode(&entry.value).into());
    }
    insert_int(&mut map, "lease", entry.lease);
    Value::Object(map)
}
