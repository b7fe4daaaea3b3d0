//! Responses to refused requests, as problem documents.

use std::time::Duration;

use ntex::http::{Response, StatusCode};

use crate::core::effect::Refusal;
use crate::error::{ceil_secs, problem};

/// Media type of problem documents (RFC 9457).
pub const MEDIA_TYPE: &str = "application/problem+json";
/// Header that carries a request's id.
pub const REQUEST_ID: &str = "x-request-id";

/// Returns the response for a refusal; `id` is the request's id, empty if it has none.
pub fn answer(refusal: &Refusal, id: &str) -> Response {
    let status = StatusCode::from_u16(refusal.kind.status(refusal.ran))
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    response.content_type(MEDIA_TYPE);
    if !id.is_empty() {
        response.header(REQUEST_ID, id);
    }
    if let Some(retry) = refusal.retry_after {
        response.header("retry-after", ceil_secs(retry).to_string());
    }
    response.body(document(refusal, id))
}

/// Returns the problem document for a refusal.
#[must_use]
pub fn document(refusal: &Refusal, id: &str) -> String {
    let retry: Option<Duration> = refusal.retry_after;
    problem(refusal.kind, refusal.ran, &refusal.detail, id, retry).to_string()
}
