//! Client of the platform's key-value service: etcd's v3 JSON-over-HTTP gateway.
//!
//! Endpoints are tried in turn. A call is retried at the next endpoint only if the previous one
//! certainly did not run it, or if running it twice is harmless. A write whose outcome is unknown
//! is never retried here, because only its caller knows how to determine the outcome by reading.

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
use crate::web::CLIENT_IDLE_TIMEOUT;

pub use call::CallKind;
pub use watch::{Batch, Change, Watch};

/// Maximum size of a response: all keys of a deployment, few of which are close to 1 MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of connections, watches included; far above what a host opens.
///
/// Must not be 0 (no limit): the pool then never wakes a call that waits for another call's
/// connection attempt, and the call times out.
const MAX_CONNECTIONS: usize = 1024;
/// Divisor of an attempt's timeout that gives the timeout of connecting.
///
/// Without its own limit, connecting to an unresponsive address takes the whole attempt, after
/// which it is unknown whether the call was sent; the pool also blocks later calls to that address.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;
/// Time without an event or progress notification after which a watch has failed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call of the key-value service failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The call was not sent to any endpoint; it had no effect.
    #[snafu(display("cannot reach any endpoint of the key-value service: {reason}"))]
    Unsent {
        /// Failure of the last attempt.
        reason: Box<str>,
    },
    /// The service refused the call; it had no effect.
    #[snafu(display("the key-value service refused the call with status {status}: {reason}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Message of the service.
        reason: Box<str>,
    },
    /// The call was sent and its outcome is unknown; a write may have taken effect.
    #[snafu(display("the key-value service may have run the call: {reason}"))]
    Unknown {
        /// Description of the failure.
        reason: Box<str>,
    },
    /// The requested revision was compacted; read all keys again and watch from that revision.
    #[snafu(display("revision was compacted; oldest available: {oldest} (0 if unknown)"))]
    Compacted {
        /// Oldest available revision; 0 if the service did not report it.
        oldest: i64,
    },
    /// The response cannot be decoded; a write may have taken effect.
    #[snafu(display("malformed response of the key-value service: {reason}"))]
    Malformed {
        /// Description of the defect.
        reason: Box<str>,
    },
    /// A watch received neither an event nor a progress notification in time; open a new one.
    #[snafu(display("the watch received nothing for {} ms", timeout.as_millis()))]
    WatchTimeout {
        /// Maximum time between two messages.
        timeout: Duration,
    },
    /// The service ended a watch or its connection broke; open a new one.
    #[snafu(display("the watch ended: {reason}"))]
    Ended {
        /// Description of the cause.
        reason: Box<str>,
    },
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Unknown { .. } | Self::Malformed { .. } => Ran::Unknown,
            _ => Ran::No,
        }
    }
}

/// A key, or all keys with a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Span {
    /// A single key.
    Key(Box<str>),
    /// All keys with this prefix; an empty prefix stands for all keys.
    Prefix(Box<str>),
}

/// A key and its value.
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
    /// Lease to which the key is attached; 0 for none.
    pub lease: i64,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Range {
    /// Revision of the store at the time of the read.
    pub revision: i64,
    /// Pairs found, ordered by key.
    pub pairs: Vec<Pair>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key was last written at this revision; 0 if it does not exist.
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
        /// The expected value.
        value: Bytes,
    },
}

/// An operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: Box<str>,
        /// The value, at most 1 MB.
        value: Bytes,
        /// Lease to which the key is attached; 0 for none.
        lease: i64,
    },
    /// Deletes keys.
    Delete(Span),
    /// Reads keys.
    Get(Span),
}

/// Operations that are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Conditions that decide between `then` and `otherwise`.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub then: Vec<Op>,
    /// Operations if a condition does not hold.
    pub otherwise: Vec<Op>,
}

/// Result of an operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpReply {
    /// The key was written.
    Put,
    /// Number of keys deleted.
    Deleted(i64),
    /// Pairs read.
    Got(Vec<Pair>),
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnReply {
    /// Revision of the store after the transaction.
    pub revision: i64,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results of the operations, in order.
    pub replies: Vec<OpReply>,
}

/// An entry of the platform's list of hosts and backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListEntry {
    /// Unique name.
    pub name: Box<str>,
    /// Kind of process.
    pub kind: ListEntryKind,
    /// Model pool or service that it serves; empty for hosts.
    #[serde(default)]
    pub pool: Box<str>,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: Box<str>,
    /// Whether it is leaving.
    pub state: ListEntryState,
}

/// Kind of process that an entry of the platform's list describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryKind {
    /// A host that runs this program.
    Host,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether the process of an entry of the platform's list is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryState {
    /// It accepts requests.
    Live,
    /// It will stop soon.
    Leaving,
}

/// Numbers of calls by kind and result; each attempt at an endpoint counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads.
    pub range: u64,
    /// Reads of the newest revision.
    pub probe: u64,
    /// Transactions.
    pub txn: u64,
    /// Lease grants.
    pub grant: u64,
    /// Lease renewals.
    pub keepalive: u64,
    /// Lease revocations.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Reads of the platform's list.
    pub hosts: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// Attempts that failed without effect.
    pub refused: u64,
    /// Attempts whose outcome is unknown.
    pub unknown: u64,
}

struct Inner {
    client: Client,
    endpoints: Box<[SocketAddr]>,
    /// Index of the endpoint that the next call tries first.
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

/// Client of the key-value service; clones share connections and counts.
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
    /// Builds a client of `endpoints`; `timeout` applies to each attempt of a call.
    ///
    /// Does not connect yet. Must be called on the thread that uses the client.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot build a default connector, which needs no I/O.
    pub async fn new(endpoints: Vec<SocketAddr>, timeout: Duration) -> Self {
        let millis = Millis(u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX));
        let connect = Millis(millis.0 / CONNECT_TIMEOUT_DIVISOR);
        let cfg = SharedCfg::new("store")
            .add(IoConfig::new().set_connect_timeout(connect))
            .build();
        let client = Client::builder()
            .connector::<()>(
                Connector::default()
                    .keep_alive(CLIENT_IDLE_TIMEOUT)
                    .limit(MAX_CONNECTIONS),
            )
            .response_timeout(millis)
            .response_payload_timeout(millis)
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .disable_redirects()
            .no_default_headers()
            .build(cfg)
            .await
            .expect("building a default connector needs no I/O");
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

    /// Sets the maximum time between two messages of a watch.
    ///
    /// Must exceed the service's interval of progress notifications.
    #[must_use]
    pub fn with_watch_timeout(mut self, timeout: Duration) -> Self {
        self.watch_timeout = timeout;
        self
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.inner.calls.get()
    }

    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches.
    pub async fn range(&self, span: Span) -> Result<Range, StoreError> {
        let response: wire::RangeResponse = self
            .call(CallKind::Range, &wire::RangeRequest::new(&span))
            .await?;
        response.into_range()
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches; see [`StoreError::ran`].
    pub async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let response: wire::TxnResponse = self
            .call(CallKind::Txn, &wire::TxnRequest::new(&txn))
            .await?;
        response.into_reply(&txn)
    }

    /// Requests a lease with the time to live `ttl`, rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches. If the response is lost, the lease expires
    /// unused.
    pub async fn grant(&self, ttl: Duration) -> Result<i64, StoreError> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let seconds = i64::try_from(seconds).unwrap_or(i64::MAX).max(1);
        let response: wire::LeaseResponse = self
            .call(CallKind::Grant, &wire::LeaseRequest::grant(seconds))
            .await?;
        response.id()
    }

    /// Renews a lease; returns its time to live, or `None` if it has expired.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches.
    pub async fn keepalive(&self, lease: i64) -> Result<Option<Duration>, StoreError> {
        let response: wire::StreamResponse<wire::LeaseResponse> = self
            .call(CallKind::Keepalive, &wire::LeaseRequest::for_lease(lease))
            .await?;
        Ok(response.result.ttl())
    }

    /// Revokes a lease, which deletes all keys attached to it; an unknown lease is no error.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches.
    pub async fn revoke(&self, lease: i64) -> Result<(), StoreError> {
        let result: Result<wire::HeaderResponse, _> = self
            .call(CallKind::Revoke, &wire::LeaseRequest::for_lease(lease))
            .await;
        match result {
            Ok(_) | Err(StoreError::Refused { status: 404, .. }) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Watches keys from revision `from` on; with 0, only changes from now on.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a compacted revision is reported by the first [`Watch::next`].
    pub async fn watch(&self, span: Span, from: i64) -> Result<Watch, StoreError> {
        Watch::open(self, &span, from).await
    }

    /// Reads the platform's list of hosts and backend servers from the address `list`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except those of watches.
    pub async fn hosts(&self, list: SocketAddr) -> Result<Vec<ListEntry>, StoreError> {
        call::list_hosts(&self.inner, list).await
    }
}
