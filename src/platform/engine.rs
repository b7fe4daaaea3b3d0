//! Calls of engines beside the requests: orders, KV caches, health.

use serde_json::{Value, json};

use super::{entry, whole_number};
use crate::core::relay::event::{EngineReport, OrderResult, StageOrder};

/// Path of orders.
pub const ORDER_PATH: &str = "/v1/order";
/// Path of KV cache handles.
const HANDLE_PATH: &str = "/v1/kv-handle/";
/// Path of an engine's own report of its state.
pub const REPORT_PATH: &str = "/v1/report";

/// Reads an engine's report.
#[must_use]
pub fn decode_report(body: &[u8]) -> Option<EngineReport> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(EngineReport {
        stage: entry::parse_stage(value["stage"].as_str()?)?,
        busy: value["busy"].as_bool().unwrap_or(false),
        // Here the field counts accepted orders; in a registered entry the same name counts
        // heartbeats.
        orders: whole_number(&value["sequence"])?,
    })
}

/// Returns the body of an order.
#[must_use]
pub fn encode_order(order: &StageOrder) -> Vec<u8> {
    json!({
        "operation": "stage",
        "stage": entry::stage_name(order.stage),
        "holder": &*order.holder,
        "fencingToken": order.fence,
        // The platform means the orders that the engine has accepted, not a store revision.
        "expectedRevision": order.expected,
    })
    .to_string()
    .into_bytes()
}

/// Returns what an order's answer means.
#[must_use]
pub fn order_result(status: u16) -> OrderResult {
    match status {
        200 | 202 => OrderResult::Done,
        412 => OrderResult::Fenced,
        // Busy, another state than expected, or another instance at the address.
        409 | 421 => OrderResult::Conflict,
        400 | 404 | 429 | 503 => OrderResult::Unsent,
        _ => OrderResult::Unknown,
    }
}

/// Returns the path by which a KV cache is given back.
#[must_use]
pub fn handle_path(handle: &str) -> String {
    format!("{HANDLE_PATH}{handle}")
}

/// Reads the name of the KV cache from the answer to a prefill.
#[must_use]
pub fn decode_kv_handle(body: &[u8]) -> Option<Box<str>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let handle = value["kvHandle"].as_str()?;
    // It becomes part of a header and of a path.
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (!handle.is_empty() && handle.chars().all(plain)).then(|| handle.into())
}
