//! Answers to requests that are not answered in full.

use std::time::Duration;

use ntex::http::{Response, StatusCode};

use crate::core::effect::Refusal;
use crate::error::{ceil_secs, problem};

/// Media type of problem documents (RFC 9457).
pub const MEDIA: &str = "application/problem+json";
/// Header with a request's id.
pub const REQUEST_ID: &str = "x-request-id";

/// Returns the answer for a refusal; `id` is the request's id, empty where it has none.
pub fn answer(refusal: &Refusal, id: &str) -> Response {
    let status = StatusCode::from_u16(refusal.kind.answer().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    response.content_type(MEDIA);
    if !id.is_empty() {
        response.header(REQUEST_ID, id);
    }
    if let Some(retry) = refusal.retry {
        response.header("retry-after", ceil_secs(retry).to_string());
    }
    response.body(document(refusal, id))
}

/// Returns the problem document for a refusal.
#[must_use]
pub fn document(refusal: &Refusal, id: &str) -> String {
    let retry: Option<Duration> = refusal.retry;
    problem(refusal.kind, refusal.ran, &refusal.detail, id, retry).to_string()
}
