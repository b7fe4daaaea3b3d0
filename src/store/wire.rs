//! JSON forms of etcd's v3 gateway, as the client writes and reads them.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::link::malformed;
use super::{Batch, Change, Compare, Op, Pair, Range, Reply, Span, StoreError, Txn, TxnReply};

/// Bytes that travel as base64.
#[derive(Debug, Clone, Default)]
pub(super) struct Raw(Bytes);

impl Serialize for Raw {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        match STANDARD.decode(&*text) {
            Ok(bytes) => Ok(Self(bytes.into())),
            Err(err) => Err(serde::de::Error::custom(err.to_string())),
        }
    }
}

impl From<&str> for Raw {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

/// A 64-bit integer: text on the wire, a number from some gateways, nothing for 0.
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
pub(super) struct RangeCall {
    key: Raw,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Raw>,
}

impl RangeCall {
    pub(super) fn new(span: &Span) -> Self {
        let (key, range_end) = bounds(span);
        Self { key, range_end }
    }
}

/// Returns the first key meant and the first one after all that are meant.
fn bounds(span: &Span) -> (Raw, Option<Raw>) {
    match span {
        Span::Key(key) => (Raw::from(&**key), None),
        Span::Prefix(prefix) => {
            let mut end = prefix.as_bytes().to_vec();
            match end.last_mut() {
                // No byte of UTF-8 is 0xff, so this does not overflow.
                Some(last) => *last += 1,
                // etcd: from the first key there can be to the end of all.
                None => return (Raw::from("\0"), Some(Raw::from("\0"))),
            }
            (Raw::from(&**prefix), Some(Raw(end.into())))
        }
    }
}

#[derive(Debug, Serialize)]
struct PutCall {
    key: Raw,
    value: Raw,
    lease: Int,
}

#[derive(Debug, Serialize)]
enum Step {
    #[serde(rename = "requestPut")]
    Put(PutCall),
    #[serde(rename = "requestDeleteRange")]
    Delete(RangeCall),
    #[serde(rename = "requestRange")]
    Get(RangeCall),
}

impl Step {
    fn new(op: &Op) -> Self {
        match op {
            Op::Put { key, value, lease } => Self::Put(PutCall {
                key: Raw::from(&**key),
                value: Raw(value.clone()),
                lease: Int(*lease),
            }),
            Op::Delete(span) => Self::Delete(RangeCall::new(span)),
            Op::Get(span) => Self::Get(RangeCall::new(span)),
        }
    }
}

#[derive(Debug, Serialize)]
struct CompareCall {
    key: Raw,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Raw>,
}

impl CompareCall {
    fn new(compare: &Compare) -> Self {
        let blank = |key: &str, target| Self {
            key: Raw::from(key),
            result: "EQUAL",
            target,
            mod_revision: None,
            create_revision: None,
            value: None,
        };
        match compare {
            Compare::Modified { key, at } => Self {
                mod_revision: Some(Int(*at)),
                ..blank(key, "MOD")
            },
            Compare::Absent { key } => Self {
                create_revision: Some(Int(0)),
                ..blank(key, "CREATE")
            },
            Compare::Value { key, is } => Self {
                value: Some(Raw(is.clone())),
                ..blank(key, "VALUE")
            },
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnCall {
    compare: Vec<CompareCall>,
    success: Vec<Step>,
    failure: Vec<Step>,
}

impl TxnCall {
    pub(super) fn new(txn: &Txn) -> Self {
        Self {
            compare: txn.compare.iter().map(CompareCall::new).collect(),
            success: txn.then.iter().map(Step::new).collect(),
            failure: txn.otherwise.iter().map(Step::new).collect(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseCall {
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    ttl: Option<Int>,
    #[serde(rename = "ID")]
    id: Int,
}

impl LeaseCall {
    /// A new lease under a number of the service's choice.
    pub(super) fn grant(seconds: i64) -> Self {
        Self {
            ttl: Some(Int(seconds)),
            id: Int(0),
        }
    }

    pub(super) fn of(lease: i64) -> Self {
        Self {
            ttl: None,
            id: Int(lease),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCall {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    #[serde(flatten)]
    keys: RangeCall,
    start_revision: Int,
    progress_notify: bool,
}

impl WatchCall {
    pub(super) fn new(span: &Span, from: i64) -> Self {
        Self {
            create_request: WatchCreate {
                keys: RangeCall::new(span),
                start_revision: Int(from),
                progress_notify: true,
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Refusal {
    #[serde(default)]
    pub message: Box<str>,
    #[serde(default)]
    pub code: i64,
}

#[derive(Debug, Default, Deserialize)]
struct Revision {
    revision: Int,
}

/// An answer of which only the header counts.
#[derive(Debug, Deserialize)]
pub(super) struct Header {
    #[expect(dead_code, reason = "read only to see that it is there")]
    header: Revision,
}

/// An answer of a streaming call.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub result: T,
}

#[derive(Debug, Deserialize)]
struct KeyValue {
    key: Raw,
    #[serde(default)]
    value: Raw,
    #[serde(default)]
    create_revision: Int,
    mod_revision: Int,
    #[serde(default)]
    lease: Int,
}

fn text(key: &Raw) -> Result<Box<str>, StoreError> {
    std::str::from_utf8(&key.0)
        .map(Box::from)
        .map_err(|err| malformed(&err))
}

fn pairs(kvs: Vec<KeyValue>) -> Result<Vec<Pair>, StoreError> {
    let read = |kv: KeyValue| {
        Ok(Pair {
            key: text(&kv.key)?,
            value: kv.value.0,
            modified: kv.mod_revision.0,
            created: kv.create_revision.0,
            lease: kv.lease.0,
        })
    };
    kvs.into_iter().map(read).collect()
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeAnswer {
    header: Revision,
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

impl RangeAnswer {
    pub(super) fn read(self) -> Result<Range, StoreError> {
        Ok(Range {
            revision: self.header.revision.0,
            pairs: pairs(self.kvs)?,
        })
    }
}

#[derive(Debug, Deserialize)]
enum StepAnswer {
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
pub(super) struct TxnAnswer {
    header: Revision,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<StepAnswer>,
}

impl TxnAnswer {
    pub(super) fn read(self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let ops = if self.succeeded {
            &txn.then
        } else {
            &txn.otherwise
        };
        if ops.len() != self.responses.len() {
            return Err(malformed(&"not as many answers as steps"));
        }
        let read = |(op, answer): (&Op, StepAnswer)| match (op, answer) {
            (Op::Put { .. }, StepAnswer::Put(_)) => Ok(Reply::Put),
            (Op::Delete(_), StepAnswer::Delete { deleted }) => Ok(Reply::Deleted(deleted.0)),
            (Op::Get(_), StepAnswer::Get { kvs }) => pairs(kvs).map(Reply::Got),
            _ => Err(malformed(&"an answer of another kind than its step")),
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
pub(super) struct LeaseAnswer {
    #[serde(rename = "ID", default)]
    id: Int,
    #[serde(rename = "TTL", default)]
    ttl: Int,
}

impl LeaseAnswer {
    pub(super) fn id(&self) -> Result<i64, StoreError> {
        match self.id.0 {
            0 => Err(malformed(&"a lease without number")),
            id => Ok(id),
        }
    }

    pub(super) fn life(&self) -> Option<Duration> {
        let seconds = u64::try_from(self.ttl.0).ok().filter(|ttl| *ttl > 0)?;
        Some(Duration::from_secs(seconds))
    }
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(rename = "type", default)]
    sort: EventSort,
    kv: KeyValue,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventSort {
    #[default]
    Put,
    Delete,
}

/// One message of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchAnswer {
    header: Revision,
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

/// What a message of a watch says.
#[derive(Debug)]
pub(super) enum Told {
    Created,
    Batch(Batch),
}

/// Reads one message of a watch.
pub(super) fn told(line: &[u8]) -> Result<Told, StoreError> {
    #[derive(Deserialize)]
    struct Line {
        result: Option<WatchAnswer>,
        error: Option<Refusal>,
    }
    let line: Line = serde_json::from_slice(line).map_err(|err| malformed(&err))?;
    if let Some(err) = line.error {
        return Err(StoreError::Ended {
            reason: err.message,
        });
    }
    let answer = line
        .result
        .ok_or_else(|| malformed(&"neither result nor error"))?;
    if answer.compact_revision.0 > 0 {
        return Err(StoreError::Compacted {
            oldest: answer.compact_revision.0,
        });
    }
    if answer.canceled {
        return Err(StoreError::Ended {
            reason: answer.cancel_reason,
        });
    }
    if answer.created {
        return Ok(Told::Created);
    }
    let change = |event: Event| {
        Ok(Change {
            key: text(&event.kv.key)?,
            value: (event.sort == EventSort::Put).then_some(event.kv.value.0),
            modified: event.kv.mod_revision.0,
        })
    };
    Ok(Told::Batch(Batch {
        revision: answer.header.revision.0,
        changes: answer
            .events
            .into_iter()
            .map(change)
            .collect::<Result<_, _>>()?,
    }))
}
