//! One HTTP call, and the turn from endpoint to endpoint.

use std::net::SocketAddr;

use bytes::Bytes;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CallCounts, Inner, ListEntry, MAX_ANSWER_BYTES, Store, StoreError, wire};

/// gRPC code of an answer to a revision that was compacted away.
const GRPC_OUT_OF_RANGE: i64 = 11;
/// Words of etcd's refusal when it has no leader, which it gives before it does anything.
const NO_LEADER_MESSAGE: &str = "no leader";
/// Asks etcd, through its gateway, to refuse at once while it has no leader.
const REQUIRE_LEADER_HEADER: (&str, &str) = ("grpc-metadata-hasleader", "true");

/// Kind of call, as logs and counts name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read of keys.
    Range,
    /// A read of the newest revision.
    Probe,
    /// A transaction.
    Txn,
    /// A lease is asked for.
    Grant,
    /// A lease is renewed.
    Keepalive,
    /// A lease is given back.
    Revoke,
    /// A wait for changes.
    Watch,
}

impl CallKind {
    /// Returns its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Probe => "probe",
            Self::Txn => "txn",
            Self::Grant => "grant",
            Self::Keepalive => "keepalive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Range | Self::Probe => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Grant => "/v3/lease/grant",
            Self::Keepalive => "/v3/lease/keepalive",
            Self::Revoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }

    /// Whether the call may be made again elsewhere when its outcome is unknown.
    fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Range | Self::Probe | Self::Watch | Self::Keepalive
        )
    }

    /// Counts a call of this kind.
    pub fn count(self, calls: &mut CallCounts) {
        *match self {
            Self::Range => &mut calls.range,
            Self::Probe => &mut calls.probe,
            Self::Txn => &mut calls.txn,
            Self::Grant => &mut calls.grant,
            Self::Keepalive => &mut calls.keepalive,
            Self::Revoke => &mut calls.revoke,
            Self::Watch => &mut calls.watch,
        } += 1;
    }
}

impl Store {
    /// Makes one call and reads its answer.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(body)?;
        let answer = self
            .try_endpoints(kind, async |at| {
                let answer = post(&self.inner, at, kind, body.clone()).await?;
                collect(&answer).await
            })
            .await?;
        decode(&answer)
    }

    /// Tries `attempt` at one endpoint after the other as long as that is safe.
    pub(super) async fn try_endpoints<T>(
        &self,
        kind: CallKind,
        attempt: impl AsyncFn(SocketAddr) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let inner = &*self.inner;
        let mut last = unsent("no endpoint is set");
        for _ in 0..inner.endpoints.len() {
            let first = inner.preferred.get();
            inner.count(|calls| kind.count(calls));
            let done = with_timeout(inner, attempt(inner.endpoints[first])).await;
            let err = match done {
                Ok(answer) => return Ok(answer),
                Err(err) => err,
            };
            count_failure(inner, &err);
            let faulty = match &err {
                StoreError::Unsent { .. }
                | StoreError::Unknown { .. }
                | StoreError::Ended { .. } => true,
                StoreError::Refused { status, .. } => *status >= 500,
                _ => false,
            };
            if !faulty {
                return Err(err);
            }
            // Another call on this thread may have moved on meanwhile.
            if inner.preferred.get() == first {
                inner.preferred.set((first + 1) % inner.endpoints.len());
            }
            if matches!(err, StoreError::Unknown { .. }) && !kind.is_retryable() {
                return Err(err);
            }
            last = err;
        }
        Err(last)
    }
}

/// Reads the platform's list.
pub(super) async fn list_hosts(
    inner: &Inner,
    list: SocketAddr,
) -> Result<Vec<ListEntry>, StoreError> {
    inner.count(|calls| calls.hosts += 1);
    let read = async {
        let req = request(inner, Method::GET, list, "/hosts");
        let answer = req.send().await.map_err(|err| classify_error(&err))?;
        let answer = check_status(answer).await?;
        collect(&answer).await
    };
    match with_timeout(inner, read).await {
        Ok(body) => decode(&body),
        Err(err) => {
            count_failure(inner, &err);
            Err(err)
        }
    }
}

/// Sends a call and returns its answer when that is a success.
pub(super) async fn post(
    inner: &Inner,
    at: SocketAddr,
    kind: CallKind,
    body: Bytes,
) -> Result<ClientResponse, StoreError> {
    let (name, value) = REQUIRE_LEADER_HEADER;
    let answer = request(inner, Method::POST, at, kind.path())
        .set_header(name, value)
        .content_type("application/json")
        .send_body(body.to_vec())
        .await
        .map_err(|err| classify_error(&err))?;
    check_status(answer).await
}

pub(super) fn encode(body: &impl Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|err| unsent(&err.to_string()))
}

pub(super) fn malformed(reason: &impl ToString) -> StoreError {
    StoreError::Malformed {
        reason: reason.to_string().into(),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|err| malformed(&err))
}

fn unsent(reason: &str) -> StoreError {
    StoreError::Unsent {
        reason: reason.into(),
    }
}

fn unknown(reason: &str) -> StoreError {
    StoreError::Unknown {
        reason: reason.into(),
    }
}

fn count_failure(inner: &Inner, err: &StoreError) {
    inner.count(|calls| match err {
        StoreError::Unknown { .. } | StoreError::Malformed { .. } => calls.unknown += 1,
        _ => calls.refused += 1,
    });
}

async fn with_timeout<T>(
    inner: &Inner,
    work: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(inner.timeout, work)
        .await
        .unwrap_or_else(|_late| Err(unknown("no answer in time")))
}

fn request(inner: &Inner, method: Method, at: SocketAddr, path: &str) -> ClientRequest {
    inner
        .client
        .request(method, format!("http://{at}{path}"))
        .address(at)
}

fn classify_error(err: &ClientError) -> StoreError {
    let reason = err.to_string();
    match err {
        // The library also says "disconnected", with no cause, when the other side closes after
        // the request went out: only an error of the connection attempt proves that nothing did.
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(&reason),
        ClientError::Connect(_)
        | ClientError::Url(_)
        | ClientError::Request(_)
        | ClientError::Http(_) => unsent(&reason),
        ClientError::Response(_) => malformed(&reason),
        _ => unknown(&reason),
    }
}

async fn collect(answer: &ClientResponse) -> Result<Bytes, StoreError> {
    match answer.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => Ok(Bytes::copy_from_slice(&body)),
        Err(ntex::http::error::PayloadError::Overflow) => Err(malformed(&"too long")),
        Err(err) => Err(unknown(&err.to_string())),
    }
}

/// Turns an answer that is no success into the error it stands for.
async fn check_status(answer: ClientResponse) -> Result<ClientResponse, StoreError> {
    let status = answer.status();
    if status == StatusCode::OK {
        return Ok(answer);
    }
    let body = collect(&answer).await?;
    let said: wire::GatewayError = serde_json::from_slice(&body).unwrap_or_default();
    if said.code == GRPC_OUT_OF_RANGE {
        return Err(StoreError::Compacted { oldest: 0 });
    }
    // A server error may come after the call was proposed to the cluster, but for this one.
    if status.is_client_error() || said.message.contains(NO_LEADER_MESSAGE) {
        return Err(StoreError::Refused {
            status: status.as_u16(),
            reason: said.message,
        });
    }
    Err(unknown(&format!("{status}: {}", said.message)))
}
