//! Callers of relayed requests.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{ConnectionType, Request, Response, ResponseBuilder, StatusCode};

use super::{Head, Part, Prepared, Taken, take, tell};
use crate::core::effect::Refusal;
use crate::core::key::CallKey;
use crate::core::relay::event::{Arrival, RelayEvent};
use crate::error::{Kind, Ran};
use crate::host::callers::print;
use crate::host::node::Node;
use crate::host::{problem, queue};
use crate::platform::header;
use crate::web::{self, HandlerError};

/// Time a caller has to send its body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Tells the core that the caller left, unless its request has ended.
struct Presence {
    node: Rc<Node>,
    call: CallKey,
    ended: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if !self.ended {
            tell(&self.node, RelayEvent::CallerLeft(self.call));
        }
    }
}

struct Parts {
    queue: queue::Parts<Part>,
    presence: Presence,
}

impl Parts {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Part> {
        let part = match self.queue.poll(cx) {
            Poll::Ready(part) => part,
            Poll::Pending => return Poll::Pending,
        };
        // The core ends every request with one of these; a closed channel without one is its fault.
        let part = part.unwrap_or(Part::Cut);
        self.presence.ended |= !matches!(part, Part::Head(_) | Part::Piece(_));
        Poll::Ready(part)
    }
}

/// Serves one request.
pub async fn handle(node: Rc<Node>, req: Request) -> Response {
    let mut response = serve(&node, req).await;
    if node.look(|core| core.stop.begun()) {
        // The next request of this caller is to go to another host.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Answers the readiness check.
pub fn ready(node: &Rc<Node>, req: &Request) -> Response {
    let state = node.look(|core| {
        if core.stop.begun() {
            Err("stopping")
        } else {
            core.relay.ready()
        }
    });
    let (status, text) = match state {
        _ if req.path() != crate::platform::READY_PATH => (StatusCode::NOT_FOUND, "no such path"),
        Ok(()) => (StatusCode::OK, "ready"),
        Err(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
    };
    Response::build(status)
        .content_type("text/plain")
        .body(text.to_owned())
}

async fn serve(node: &Rc<Node>, mut req: Request) -> Response {
    let headers = req.headers().iter();
    let headers: Vec<_> = headers
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let asked = header::decode_request(&headers);
    let Some(attempt_id) = asked.attempt_id else {
        return refused(&Refusal::new(Kind::Malformed, "the request has no id"), "");
    };
    let limit = node.look(|core| {
        let catalog = core.relay.catalog.as_ref();
        catalog.map_or_else(Default::default, |catalog| catalog.limits)
    });
    let body = match web::read_body(&mut req, limit.max_body, BODY_TIME).await {
        Ok(body) => body,
        Err(status) => return unread(status, &attempt_id),
    };
    let Ok(method) = hyper::Method::from_bytes(req.method().as_str().as_bytes()) else {
        return refused(
            &Refusal::new(Kind::Malformed, "no such method"),
            &attempt_id,
        );
    };
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let host = req
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    let arrival = Arrival {
        id: attempt_id.clone(),
        host: host.unwrap_or_default().into(),
        path: req.uri().path().into(),
        deadline: asked.deadline,
        prompt: asked.prompt,
        resume: asked.resume,
        bytes: body.len(),
        fingerprint: print(target, &body),
    };
    let prepared = Prepared {
        method,
        path: target.into(),
        headers: asked.forwarded,
        body,
    };
    let Some(taken) = take(node, arrival, prepared, req.io().cloned()) else {
        return refused(
            &Refusal::new(Kind::Internal, "the request was lost"),
            &attempt_id,
        );
    };
    answer(node, taken, &attempt_id).await
}

fn unread(status: StatusCode, id: &str) -> Response {
    let (kind, detail) = match status {
        StatusCode::PAYLOAD_TOO_LARGE => (Kind::TooLarge, "the body is too large"),
        StatusCode::REQUEST_TIMEOUT => (Kind::TooSlow, "the body did not arrive in time"),
        _ => (Kind::Malformed, "the body was cut short"),
    };
    let mut response = refused(&Refusal::new(kind, detail), id);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}

async fn answer(node: &Rc<Node>, taken: Taken, id: &str) -> Response {
    let mut parts = Parts {
        queue: taken.parts,
        presence: Presence {
            node: Rc::clone(node),
            call: taken.call,
            ended: false,
        },
    };
    // The head waits for the first part, so that a refusal has its own status.
    match std::future::poll_fn(|cx| parts.poll(cx)).await {
        Part::Refused(refusal) => refused(&refusal, id),
        Part::Answer(head, body) => build(head).body(body.to_vec()),
        Part::Head(head) => build(head).streaming(Events {
            parts,
            ended: false,
        }),
        Part::Piece(_) | Part::Whole | Part::Cut => {
            refused(&Refusal::new(Kind::Internal, "the answer was lost"), id)
        }
    }
}

fn build(head: Head) -> ResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    for (name, value) in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.header(name, value);
        }
    }
    response
}

/// Returns the status of a refusal: what did not run gets a status that promises so, and nothing
/// else does.
fn status(refusal: &Refusal) -> u16 {
    let own = refusal.kind.answer().status;
    match refusal.ran {
        Ran::No if matches!(own, 400 | 404 | 408 | 413 | 429) => own,
        Ran::No => 503,
        Ran::Yes | Ran::Unknown if own == 504 => 504,
        Ran::Yes | Ran::Unknown => 502,
    }
}

fn refused(refusal: &Refusal, id: &str) -> Response {
    let status = StatusCode::from_u16(status(refusal)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    response.content_type("application/problem+json");
    if let Some(retry) = refusal.retry {
        response.header("retry-after", format!("{:.2}", retry.as_secs_f64()));
    }
    response.body(problem::document(refusal, id))
}

/// A streamed answer.
struct Events {
    parts: Parts,
    ended: bool,
}

impl Stream for Events {
    type Item = Result<ntex::util::Bytes, HandlerError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let part = match this.parts.poll(cx) {
            Poll::Ready(part) => part,
            Poll::Pending => return Poll::Pending,
        };
        match part {
            Part::Piece(data) => Poll::Ready(Some(Ok(bytes(&data)))),
            Part::Whole => {
                this.ended = true;
                Poll::Ready(None)
            }
            // An error here closes the connection without the end of the body.
            _ => {
                this.ended = true;
                Poll::Ready(Some(Err(HandlerError)))
            }
        }
    }
}

fn bytes(data: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(data)
}
