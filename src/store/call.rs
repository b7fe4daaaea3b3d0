//! HTTP calls to the gateway and failover between endpoints.

use std::net::SocketAddr;

use bytes::Bytes;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CallCounts, Inner, ListEntry, MAX_RESPONSE_BYTES, Store, StoreError, wire};

/// gRPC status code for a compacted revision.
const GRPC_OUT_OF_RANGE: i64 = 11;
/// Text in etcd's refusal while it has no leader, which it sends before it runs the call.
const NO_LEADER_MESSAGE: &str = "no leader";
/// Header that makes etcd, through its gateway, refuse a call immediately while it has no leader.
const REQUIRE_LEADER_HEADER: (&str, &str) = ("grpc-metadata-hasleader", "true");

/// Kind of call, as named in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of keys.
    Range,
    /// Read of the newest revision.
    Probe,
    /// Transaction.
    Txn,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    Keepalive,
    /// Revocation of a lease.
    Revoke,
    /// Watch for changes.
    Watch,
}

impl CallKind {
    /// Returns the name of the kind.
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

    /// Returns whether a call of unknown outcome may be retried at another endpoint.
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
    /// Sends a call and decodes its response.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(body)?;
        let response = self
            .try_endpoints(kind, async |endpoint| {
                let response = post(&self.inner, endpoint, kind, body.clone()).await?;
                collect(&response).await
            })
            .await?;
        decode(&response)
    }

    /// Runs `attempt` at one endpoint after the other as long as a retry is safe.
    ///
    /// After a failure of the endpoint, later calls start at the next one.
    pub(super) async fn try_endpoints<T>(
        &self,
        kind: CallKind,
        attempt: impl AsyncFn(SocketAddr) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let inner = &*self.inner;
        let mut last = unsent("no endpoint is configured");
        for _ in 0..inner.endpoints.len() {
            let first = inner.preferred.get();
            inner.count(|calls| kind.count(calls));
            let result = with_timeout(inner, attempt(inner.endpoints[first])).await;
            let err = match result {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            count_failure(inner, &err);
            let endpoint_failed = match &err {
                StoreError::Unsent { .. }
                | StoreError::Unknown { .. }
                | StoreError::Ended { .. } => true,
                StoreError::Refused { status, .. } => *status >= 500,
                _ => false,
            };
            if !endpoint_failed {
                return Err(err);
            }
            // A concurrent call may have moved on to the next endpoint already.
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
        let response = req.send().await.map_err(|err| classify_error(&err))?;
        let response = check_status(response).await?;
        collect(&response).await
    };
    match with_timeout(inner, read).await {
        Ok(body) => decode(&body),
        Err(err) => {
            count_failure(inner, &err);
            Err(err)
        }
    }
}

/// Sends a call and returns its response if the status is 200.
pub(super) async fn post(
    inner: &Inner,
    endpoint: SocketAddr,
    kind: CallKind,
    body: Bytes,
) -> Result<ClientResponse, StoreError> {
    let (name, value) = REQUIRE_LEADER_HEADER;
    let response = request(inner, Method::POST, endpoint, kind.path())
        .set_header(name, value)
        .content_type("application/json")
        .send_body(body.to_vec())
        .await
        .map_err(|err| classify_error(&err))?;
    check_status(response).await
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
        .unwrap_or_else(|_elapsed| Err(unknown("no response before the timeout")))
}

fn request(inner: &Inner, method: Method, endpoint: SocketAddr, path: &str) -> ClientRequest {
    inner
        .client
        .request(method, format!("http://{endpoint}{path}"))
        .address(endpoint)
}

fn classify_error(err: &ClientError) -> StoreError {
    let reason = err.to_string();
    match err {
        // The library also reports `Disconnected` without a cause if the server closes after the
        // request was sent; only an error of the connection attempt proves that nothing was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(&reason),
        ClientError::Connect(_)
        | ClientError::Url(_)
        | ClientError::Request(_)
        | ClientError::Http(_) => unsent(&reason),
        ClientError::Response(_) => malformed(&reason),
        _ => unknown(&reason),
    }
}

async fn collect(response: &ClientResponse) -> Result<Bytes, StoreError> {
    match response.body().limit(MAX_RESPONSE_BYTES).await {
        Ok(body) => Ok(Bytes::copy_from_slice(&body)),
        Err(ntex::http::error::PayloadError::Overflow) => {
            Err(malformed(&"body exceeds the size limit"))
        }
        Err(err) => Err(unknown(&err.to_string())),
    }
}

/// Returns a response of status 200 and converts any other into the matching error.
async fn check_status(response: ClientResponse) -> Result<ClientResponse, StoreError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let body = collect(&response).await?;
    let error: wire::GatewayError = serde_json::from_slice(&body).unwrap_or_default();
    if error.code == GRPC_OUT_OF_RANGE {
        return Err(StoreError::Compacted { oldest: 0 });
    }
    // A server error may occur after the call was proposed to the cluster, except this one.
    if status.is_client_error() || error.message.contains(NO_LEADER_MESSAGE) {
        return Err(StoreError::Refused {
            status: status.as_u16(),
            reason: error.message,
        });
    }
    Err(unknown(&format!("status {status}: {}", error.message)))
}
