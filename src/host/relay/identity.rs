//! Whose response arrived on a connection.

use std::rc::Rc;

use hyper::ext::ReasonPhrase;

use super::backends::as_bytes;
use super::{Prepared, apply};
use crate::backend::pool::{Answer, PoolError};
use crate::core::relay::event::{ForeignResponse, Reader, RelayEvent};
use crate::host::node::Node;
use crate::platform::header::{self, AnswerHead};

/// Returns the id of a request.
pub(super) fn request_id(prepared: &Prepared) -> Option<Box<str>> {
    let mut headers = prepared.headers.iter();
    let (_, id) = headers.find(|(name, _)| header::is_attempt(name))?;
    Some(String::from_utf8_lossy(id).into())
}

/// Returns whether a response names a request.
pub(super) fn names(reply: &AnswerHead, prepared: &Prepared) -> bool {
    reply.attempt_id.is_some() && reply.attempt_id == request_id(prepared)
}

/// Returns whether the head of a response is made of two, of which the first was cut off.
pub(super) fn is_merged(answer: &Answer) -> bool {
    let reason = answer.response.extensions().get::<ReasonPhrase>();
    let reason = reason.map_or(&b""[..], ReasonPhrase::as_bytes);
    header::is_merged(reason, &as_bytes(answer.response.headers()))
}

/// Reports a response that belongs to another request than the one with the expected id; returns the error of the call.
pub(super) fn report(
    node: &Rc<Node>,
    reader: Reader,
    sender: &str,
    expected: Option<Box<str>>,
    reply: &AnswerHead,
    status: u16,
) -> PoolError {
    let response = ForeignResponse {
        reader,
        sender: sender.into(),
        expected: expected.unwrap_or_default(),
        received: reply.attempt_id.clone().unwrap_or_default(),
        status,
    };
    apply(node, RelayEvent::ForeignResponse(Box::new(response)));
    PoolError::Foreign
}
