//! Calls to an engine other than streamed requests: load, cache events, orders, prefill.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use snafu::Snafu;

use super::client::{Answer, Call, CallError, Client};
use super::identity::ATTEMPT_HEADER;
use crate::error::Ran;

/// An engine's report of its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u64,
    /// Requests waiting to enter the batch.
    pub waiting: u64,
    /// Prompt tokens of all requests that are not prefilled yet.
    pub prefill_tokens: u64,
    /// Blocks in the prefix cache.
    pub pieces_used: u64,
    /// `both`, `prefill` or `decode`.
    pub role: Box<str>,
    /// Name of the loaded model.
    pub model: Box<str>,
    /// Highest fencing number received by the engine; 0 for none.
    pub fence_seen: u64,
    /// Highest order number received with that fencing number; 0 for none.
    pub order_seen: u64,
    /// Whether a change of role, model, adapter or version is in progress.
    pub changing: bool,
    /// Whether the engine has been ordered to accept no new requests.
    pub draining: bool,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Kind of change to a block of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// One published change to the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; gaps mean lost events.
    pub seq: u64,
    /// Kind of change.
    pub op: CacheOp,
    /// Hash of the block in hexadecimal.
    pub piece: Box<str>,
}

/// Action that an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Action {
    /// Switch to a role: `both`, `prefill` or `decode`.
    Role {
        /// New role.
        role: Box<str>,
    },
    /// Load a model, an adapter or a version.
    Load {
        /// `model`, `adapter` or `version`.
        what: Box<str>,
        /// Name of the model, adapter or version.
        name: Box<str>,
    },
    /// Accept no new requests.
    Drain,
    /// Accept requests again.
    Resume,
}

/// Why an order is not known to be in force.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The engine has already received an order with the same or a higher number.
    #[snafu(display("the engine has seen the fencing number {fence}"))]
    Fenced {
        /// Highest fencing number that the engine has received.
        fence: u64,
    },
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Cause of the failure.
        source: CallError,
    },
}

/// Result of a prefill whose KV cache is kept for another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResult {
    /// Handle of the KV cache at the engine.
    pub kv: Box<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// Fetches an engine's load report.
///
/// # Errors
///
/// Returns why there is no report.
pub async fn fetch_load(client: &Client, addr: SocketAddr) -> Result<EngineLoad, CallError> {
    parse(&get(client, addr, "/load").await?)
}

/// Fetches the published cache events with sequence numbers above `after`.
///
/// # Errors
///
/// Returns why there is no list.
pub async fn fetch_cache_events(
    client: &Client,
    addr: SocketAddr,
    after: u64,
) -> Result<Vec<CacheEvent>, CallError> {
    parse(&get(client, addr, &format!("/events?after={after}")).await?)
}

/// Sends an order with its fencing number to an engine.
///
/// # Errors
///
/// Returns why the order is not known to be in force.
pub async fn send_order(
    client: &Client,
    addr: SocketAddr,
    fence: u64,
    number: u64,
    holder: &str,
    action: &Action,
) -> Result<(), OrderError> {
    #[derive(Deserialize)]
    struct FencedBody {
        fence: u64,
    }
    let body = json!({"fence": fence, "order": number, "holder": holder, "action": action});
    let call = Call {
        method: "POST",
        addr,
        path: "/order",
        headers: &[("content-type", "application/json")],
        body: body.to_string().into(),
    };
    let answer = client.call(call).await;
    let answer = answer.map_err(|source| OrderError::Call { source })?;
    match (
        answer.status,
        serde_json::from_slice::<FencedBody>(&answer.body),
    ) {
        (200, _) => Ok(()),
        (409, Ok(seen)) => Err(OrderError::Fenced { fence: seen.fence }),
        _ => Err(OrderError::Call {
            source: status_error(answer),
        }),
    }
}

/// Has an engine prefill a prompt and keep the KV cache for another engine.
///
/// # Errors
///
/// Returns why there is no KV cache, and whether the request ran.
pub async fn prefill(
    client: &Client,
    addr: SocketAddr,
    body: Bytes,
    attempt: &str,
) -> Result<PrefillResult, CallError> {
    let call = Call {
        method: "POST",
        addr,
        path: "/v1/prefill",
        headers: &[
            ("content-type", "application/json"),
            (ATTEMPT_HEADER, attempt),
        ],
        body,
    };
    parse(&client.call(call).await?)
}

async fn get(client: &Client, addr: SocketAddr, path: &str) -> Result<Answer, CallError> {
    let call = Call {
        method: "GET",
        addr,
        path,
        headers: &[],
        body: Bytes::new(),
    };
    client.call(call).await
}

fn parse<T: for<'de> Deserialize<'de>>(answer: &Answer) -> Result<T, CallError> {
    if answer.status != 200 {
        return Err(status_error(answer.clone()));
    }
    serde_json::from_slice(&answer.body).map_err(|_malformed| CallError::Unreadable)
}

fn status_error(answer: Answer) -> CallError {
    let ran = match answer.ran {
        Ran::No => Ran::No,
        Ran::Yes | Ran::Unknown => Ran::Unknown,
    };
    CallError::Status {
        status: answer.status,
        ran,
        retry_after: None,
        body: answer.body,
    }
}
