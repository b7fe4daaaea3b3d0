//! Calls to an engine besides its answers: load, cache events, orders, prefill.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use snafu::Snafu;

use super::client::{Answer, Call, CallError, Client};
use super::stream::ATTEMPT_HEADER;
use crate::error::Ran;

/// An engine's report of its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u64,
    /// Requests not yet in the batch.
    pub waiting: u64,
    /// Prompt tokens still to be worked through by all requests.
    pub prefill_tokens: u64,
    /// Pieces in the prefix cache.
    pub pieces_used: u64,
    /// `both`, `prefill` or `decode`.
    pub role: Box<str>,
    /// Name of the loaded model.
    pub model: Box<str>,
    /// Highest fencing number the engine has seen; 0 for none.
    pub fence_seen: u64,
    /// Highest order number seen with that fencing number; 0 for none.
    pub order_seen: u64,
    /// Whether a change of role, model, adapter or version is under way.
    pub changing: bool,
    /// Whether the engine was told to take no new work.
    pub draining: bool,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// What became of a piece of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The piece is now held.
    Stored,
    /// The piece is no longer held.
    Evicted,
}

/// One published change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub seq: u64,
    /// What happened.
    pub op: CacheOp,
    /// Hash of the piece in hexadecimal.
    pub piece: Box<str>,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Action {
    /// Take a role: `both`, `prefill` or `decode`.
    Role {
        /// The role.
        role: Box<str>,
    },
    /// Load something.
    Load {
        /// `model`, `adapter` or `version`.
        what: Box<str>,
        /// Its name.
        name: Box<str>,
    },
    /// Take no new work.
    Drain,
    /// Take work again.
    Resume,
}

/// Why an order is not known to be in force.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The engine has seen a higher order.
    #[snafu(display("the engine has seen the fencing number {fence}"))]
    Fenced {
        /// The highest fencing number it has seen.
        fence: u64,
    },
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: CallError,
    },
}

/// A prompt worked through and kept for another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResult {
    /// Name under which the engine keeps the result.
    pub kv: Box<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// Reads an engine's load report.
///
/// # Errors
///
/// Returns why there is no report.
pub async fn fetch_load(client: &Client, addr: SocketAddr) -> Result<EngineLoad, CallError> {
    parse(&get(client, addr, "/load").await?)
}

/// Reads the published cache events numbered above `after`.
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

/// Gives an engine an order under a fencing number.
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

/// Has an engine work through a prompt and keep the result for another engine.
///
/// # Errors
///
/// Returns why there is no result, and whether the request ran.
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
    serde_json::from_slice(&answer.body).map_err(|_bad| CallError::Unreadable)
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
