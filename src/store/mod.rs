//! Client of the platform's key-value service: etcd's v3 JSON-over-HTTP gateway.
//!
//! Endpoints are tried in turn. A call moves on to the next endpoint only when the one before
//! surely did nothing, or when the call only reads; a write whose outcome is unknown is never
//! repeated here, for only its sender knows how to find out by reading.

mod call;
mod watch;
mod wire;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::service::cfg::SharedCfg;
use ntex::time::Millis;
use serde::Deserialize;
use snafu::Snafu;

use crate::error::Ran;
use crate::web::CLIENT_IDLE;

pub use call::CallKind;
pub use watch::{Batch, Change, Watch};

/// Most bytes of one answer: all keys of a deployment, of which few are near the megabyte.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Most connections at once, watches included; far above what a host opens.
///
/// Not 0, which means no limit: the pool then never wakes a call that waits for another call's
/// connection attempt, and the call ends as a timeout.
const MAX_CONNECTIONS: usize = 1024;
/// Part of an attempt's time that connecting may take.
///
/// Without a bound of its own a dead address uses up the whole attempt, and whether the call was
/// sent is then not known; the pool would also hold back all later calls to that address.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;
/// Time without event or progress notification after which a watch counts as silent.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call of the key-value service failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// No endpoint was reached; the call surely did nothing.
    #[snafu(display("no endpoint of the key-value service was reached: {reason}"))]
    Unsent {
        /// What the last attempt met.
        reason: Box<str>,
    },
    /// The service said no; the call surely did nothing.
    #[snafu(display("the key-value service refused the call with {status}: {reason}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// The service's own words.
        reason: Box<str>,
    },
    /// The call was handed over and no answer came; a write may have taken effect.
    #[snafu(display("the key-value service may have run the call: {reason}"))]
    Unknown {
        /// What was met while waiting.
        reason: Box<str>,
    },
    /// The revision asked for is no longer known; read afresh and watch from there.
    #[snafu(display("changes before revision {oldest} are no longer known"))]
    Compacted {
        /// Oldest revision still known; 0 when the service did not say.
        oldest: i64,
    },
    /// The answer is not understood; a write may have taken effect.
    #[snafu(display("the key-value service's answer is not understood: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: Box<str>,
    },
    /// A watch got neither event nor progress notification for too long; open it anew.
    #[snafu(display("the watch was silent for {} ms", timeout.as_millis()))]
    WatchTimeout {
        /// The time it may be silent.
        timeout: Duration,
    },
    /// A watch was ended by the other side; open it anew.
    #[snafu(display("the watch was ended: {reason}"))]
    Ended {
        /// What was met.
        reason: Box<str>,
    },
}

impl StoreError {
    /// Tells whether a write that ended so may have taken effect.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Unknown { .. } | Self::Malformed { .. } => Ran::Unknown,
            _ => Ran::No,
        }
    }
}

/// One key, or all keys that begin alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Span {
    /// Just this key.
    Key(Box<str>),
    /// All keys that begin so; empty for all there are.
    Prefix(Box<str>),
}

/// One key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Bytes,
    /// Revision of the last write.
    pub mod_revision: i64,
    /// Revision of the write that created the key.
    pub create_revision: i64,
    /// Lease the key goes with; 0 for none.
    pub lease: i64,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Range {
    /// Revision of the whole store at the read.
    pub revision: i64,
    /// What was found, by key.
    pub pairs: Vec<Pair>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key was last written at this revision; 0 for absent.
    Modified {
        /// The key.
        key: Box<str>,
        /// The revision.
        revision: i64,
    },
    /// The key does not exist.
    Absent {
        /// The key.
        key: Box<str>,
    },
    /// The key exists and has this value.
    Value {
        /// The key.
        key: Box<str>,
        /// The value.
        value: Bytes,
    },
}

/// A step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: Box<str>,
        /// The value, at most a megabyte.
        value: Bytes,
        /// Lease that the key goes with; 0 for none.
        lease: i64,
    },
    /// Deletes keys.
    Delete(Span),
    /// Reads keys.
    Get(Span),
}

/// Steps that are done together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Steps when they hold.
    pub then: Vec<Op>,
    /// Steps when one does not.
    pub otherwise: Vec<Op>,
}

/// What one step did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpReply {
    /// The key was written.
    Put,
    /// That many keys were deleted.
    Deleted(i64),
    /// What was read.
    Got(Vec<Pair>),
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnReply {
    /// Revision of the whole store after it.
    pub revision: i64,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// What each step did, in order.
    pub replies: Vec<OpReply>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListEntry {
    /// Name, one of its kind.
    pub name: Box<str>,
    /// What it is.
    pub kind: ListEntryKind,
    /// Model pool or service that it serves; empty for hosts.
    #[serde(default)]
    pub pool: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Failure domain it stands in.
    pub domain: Box<str>,
    /// Whether it stays.
    pub state: ListEntryState,
}

/// What an entry of the platform's list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryKind {
    /// One of this program's hosts.
    Host,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an entry of the platform's list stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryState {
    /// It takes work.
    Live,
    /// It is about to go.
    Leaving,
}

/// Counts of the calls made, one for each attempt at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads.
    pub range: u64,
    /// Reads of the newest revision.
    pub probe: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases asked for.
    pub grant: u64,
    /// Leases kept alive.
    pub keepalive: u64,
    /// Leases given back.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Reads of the platform's list.
    pub hosts: u64,
    /// Watches waiting now.
    pub open_watches: u64,
    /// Attempts that failed and surely did nothing.
    pub refused: u64,
    /// Attempts whose outcome is unknown.
    pub unknown: u64,
}

struct Inner {
    client: Client,
    endpoints: Box<[SocketAddr]>,
    /// Endpoint that the next call tries first.
    preferred: Cell<usize>,
    timeout: Duration,
    calls: Cell<CallCounts>,
}

impl Inner {
    fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        let mut calls = self.calls.get();
        change(&mut calls);
        self.calls.set(calls);
    }
}

/// Client of the key-value service; clones share their connections and counts.
#[derive(Clone)]
pub struct Store {
    inner: Rc<Inner>,
    watch_timeout: Duration,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("endpoints", &self.inner.endpoints)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Builds a client of `endpoints` that gives each attempt of a call `timeout`.
    ///
    /// Connects nowhere yet. Must be built on the thread that uses it.
    ///
    /// # Panics
    ///
    /// When the HTTP library cannot build a plain connector, which needs no I/O.
    pub async fn new(endpoints: Vec<SocketAddr>, timeout: Duration) -> Self {
        let millis = Millis(u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX));
        let connect = Millis(millis.0 / CONNECT_TIMEOUT_DIVISOR);
        let cfg = SharedCfg::new("store")
            .add(IoConfig::new().set_connect_timeout(connect))
            .build();
        let client = Client::builder()
            .connector::<()>(
                Connector::default()
                    .keep_alive(CLIENT_IDLE)
                    .limit(MAX_CONNECTIONS),
            )
            .response_timeout(millis)
            .response_payload_timeout(millis)
            .response_payload_limit(MAX_ANSWER_BYTES)
            .disable_redirects()
            .no_default_headers()
            .build(cfg)
            .await
            .expect("a plain connector needs no I/O");
        Self {
            inner: Rc::new(Inner {
                client,
                endpoints: endpoints.into(),
                preferred: Cell::new(0),
                timeout,
                calls: Cell::new(CallCounts::default()),
            }),
            watch_timeout: WATCH_TIMEOUT,
        }
    }

    /// Sets how long a watch may be silent; must exceed the service's progress interval.
    #[must_use]
    pub fn with_watch_timeout(mut self, bound: Duration) -> Self {
        self.watch_timeout = bound;
        self
    }

    /// Returns the counts of calls made so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.inner.calls.get()
    }

    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches.
    pub async fn range(&self, span: Span) -> Result<Range, StoreError> {
        let answer: wire::RangeResponse = self
            .call(CallKind::Range, &wire::RangeRequest::new(&span))
            .await?;
        answer.into_range()
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches; see [`StoreError::ran`].
    pub async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let answer: wire::TxnResponse = self
            .call(CallKind::Txn, &wire::TxnRequest::new(&txn))
            .await?;
        answer.into_reply(&txn)
    }

    /// Asks for a lease that lasts `ttl`, in whole seconds rounded up.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches. A lease whose answer was lost lapses unused.
    pub async fn grant(&self, ttl: Duration) -> Result<i64, StoreError> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let seconds = i64::try_from(seconds).unwrap_or(i64::MAX).max(1);
        let answer: wire::LeaseResponse = self
            .call(CallKind::Grant, &wire::LeaseRequest::grant(seconds))
            .await?;
        answer.id()
    }

    /// Gives a lease its full life again; returns that life, or `None` when it has lapsed.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches.
    pub async fn keepalive(&self, lease: i64) -> Result<Option<Duration>, StoreError> {
        let answer: wire::StreamResponse<wire::LeaseResponse> = self
            .call(CallKind::Keepalive, &wire::LeaseRequest::of(lease))
            .await?;
        Ok(answer.result.ttl())
    }

    /// Gives a lease back, with all keys that go with it; one already gone is no error.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches.
    pub async fn revoke(&self, lease: i64) -> Result<(), StoreError> {
        let done: Result<wire::HeaderResponse, _> = self
            .call(CallKind::Revoke, &wire::LeaseRequest::of(lease))
            .await;
        match done {
            Ok(_) | Err(StoreError::Refused { status: 404, .. }) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Watches keys from revision `from` on; 0 for what comes after now.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`]; a revision too old shows at the first [`Watch::next`].
    pub async fn watch(&self, span: Span, from: i64) -> Result<Watch, StoreError> {
        Watch::open(self, &span, from).await
    }

    /// Reads the platform's list of hosts and backend servers at `list`.
    ///
    /// # Errors
    ///
    /// Any of [`StoreError`] but those of watches.
    pub async fn hosts(&self, list: SocketAddr) -> Result<Vec<ListEntry>, StoreError> {
        call::list_hosts(&self.inner, list).await
    }
}
