//! Calls to engines other than requests: orders, KV caches and reports.

use serde_json::{Value, json};

use super::{entry, whole_number};
use crate::core::relay::event::{EngineReport, OrderResult, StageOrder};

/// Status of another instance at the address.
const MISDIRECTED: u16 = 421;
/// Path for orders.
pub const ORDER_PATH: &str = "/v1/order";
/// Path of KV cache handles.
const HANDLE_PATH: &str = "/v1/kv-handle/";
/// Path of an engine's report of its state.
pub const REPORT_PATH: &str = "/v1/report";

/// Decodes an engine's report.
#[must_use]
pub fn decode_report(body: &[u8]) -> Option<EngineReport> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(EngineReport {
        stage: entry::parse_stage(value["stage"].as_str()?)?,
        busy: value["busy"].as_bool().unwrap_or(false),
        // Counts accepted orders; the field of the same name in an entry counts heartbeats.
        orders: whole_number(&value["sequence"])?,
    })
}

/// Encodes the body of an order.
#[must_use]
pub fn encode_order(order: &StageOrder) -> Vec<u8> {
    json!({
        "operation": "stage",
        "stage": entry::stage_name(order.stage),
        "holder": &*order.holder,
        "fencingToken": order.fence,
        // The number of orders that the engine has accepted, not a revision of the store.
        "expectedRevision": order.expected,
    })
    .to_string()
    .into_bytes()
}

/// Returns the result of an order from the status of its response, and whether that states that nothing ran.
#[must_use]
pub fn order_result(status: u16, not_run: bool) -> OrderResult {
    match status {
        _ if not_run && status != MISDIRECTED => OrderResult::Unsent,
        200 | 202 => OrderResult::Done,
        412 => OrderResult::Fenced,
        // The engine is busy, in another state, or another instance serves at the address.
        409 | MISDIRECTED => OrderResult::Conflict,
        400 | 404 => OrderResult::Unsent,
        _ => OrderResult::Unknown,
    }
}

/// Returns the path for freeing a KV cache.
#[must_use]
pub fn handle_path(handle: &str) -> String {
    format!("{HANDLE_PATH}{handle}")
}

/// Decodes the handle of the KV cache from the response to a prefill.
#[must_use]
pub fn decode_kv_handle(body: &[u8]) -> Option<Box<str>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let handle = value["kvHandle"].as_str()?;
    // The handle is used in a header and in a path, so it must not contain delimiters.
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (!handle.is_empty() && handle.chars().all(is_allowed)).then(|| handle.into())
}
