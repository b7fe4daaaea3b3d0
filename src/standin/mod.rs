//! Stand-ins for external systems, for tests, demonstrations and load trials.

pub mod engine;
pub mod hop;
pub mod kv;
pub mod service;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{Request, Response};

use crate::backend::ATTEMPT_HEADER;

/// Names the attempt of a request in its response.
fn name_call(req: &Request, response: &mut Response) {
    let id = req.headers().get(ATTEMPT_HEADER);
    if let Some(id) = id.and_then(|id| HeaderValue::from_bytes(id.as_bytes()).ok()) {
        let name = HeaderName::from_static(ATTEMPT_HEADER);
        response.headers_mut().insert(name, id);
    }
}
