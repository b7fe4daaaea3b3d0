//! Handler of callers' relayed requests and of the readiness check.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{ConnectionType, Request, Response, ResponseBuilder, StatusCode, Version};

use super::{AcceptedCall, AnswerPart, Head, Prepared, accept_request, admit_body, apply, forward};
use crate::core::effect::Refusal;
use crate::core::event::Fingerprint;
use crate::core::key::CallKey;
use crate::core::relay::OTHER_HOST_RETRY_AFTER;
use crate::core::relay::catalog;
use crate::core::relay::event::{Arrival, RelayEvent};
use crate::error::{Kind, Ran};
use crate::host::callers::fingerprint;
use crate::host::node::Node;
use crate::host::queue::HeldGuard;
use crate::host::{problem, queue};
use crate::platform::header;
use crate::web::{self, HandlerError};

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// On drop, reports to the core that the caller left, unless its request has ended.
struct CallerGuard {
    node: Rc<Node>,
    call: CallKey,
    ended: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.ended {
            apply(&self.node, RelayEvent::CallerLeft(self.call));
        }
    }
}

struct AnswerParts {
    queue: queue::QueueReceiver<AnswerPart>,
    /// The request's body, which is kept until the answer is complete.
    _body: HeldGuard,
    guard: CallerGuard,
}

impl AnswerParts {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<AnswerPart> {
        let part = match self.queue.poll(cx) {
            Poll::Ready(part) => part,
            // The guard reports that the caller left.
            Poll::Pending => return self.queue.poll_closed(cx).map(|()| AnswerPart::Aborted),
        };
        // The core ends every request with a final message; a channel closed without one is a bug.
        let part = part.unwrap_or(AnswerPart::Aborted);
        self.guard.ended |= !matches!(part, AnswerPart::Head(_) | AnswerPart::Event(_));
        Poll::Ready(part)
    }
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sender {
    /// A caller.
    Caller,
    /// Another host, which forwards it.
    Host,
}

/// Serves one request of a caller.
pub async fn handle(node: Rc<Node>, req: Request) -> Response {
    handle_from(node, req, Sender::Caller).await
}

/// Serves one request that another host forwards.
pub async fn handle_forwarded(node: Rc<Node>, req: Request) -> Response {
    handle_from(node, req, Sender::Host).await
}

async fn handle_from(node: Rc<Node>, req: Request, sender: Sender) -> Response {
    let mut response = match serve(&node, req, sender).await {
        Ok(response) => response,
        Err(refused) => refused.response(sender),
    };
    // Closing the connection makes the caller send its next request to another host.
    if node.with_core(|core| core.stop.is_stopping() || core.relay.intake.is_strained()) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Answers the readiness check.
pub fn ready(node: &Rc<Node>, req: &Request) -> Response {
    let state = node.with_core(|core| {
        if core.stop.is_stopping() {
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

/// A refusal of a request by this host.
#[derive(Debug)]
struct Refused {
    refusal: Refusal,
    id: Box<str>,
    /// Whether the connection is closed, since the rest of the body may follow on it.
    closes: bool,
}

impl Refused {
    fn new(refusal: Refusal, id: &str) -> Self {
        Self {
            refusal,
            id: id.into(),
            closes: false,
        }
    }

    fn malformed(detail: &str, id: &str) -> Self {
        Self::new(Refusal::new(Kind::Malformed, detail), id)
    }

    fn response(&self, sender: Sender) -> Response {
        let refusal = &self.refusal;
        let status = StatusCode::from_u16(refusal_status(refusal));
        let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::build(status);
        response.content_type("application/problem+json");
        if status == StatusCode::UNAUTHORIZED {
            response.header("www-authenticate", header::AUTH_SCHEME);
        }
        if let Some(retry) = refusal.retry_after {
            response.header("retry-after", format!("{:.2}", retry.as_secs_f64()));
        }
        if sender == Sender::Host {
            let (name, value) = forward::refusal_header(refusal);
            response.header(name, value);
            if !self.id.is_empty() {
                response.header(header::ATTEMPT_ID, &*self.id);
            }
        }
        let mut response = response.body(problem::document(refusal, &self.id));
        if self.closes {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }
}

async fn serve(node: &Rc<Node>, mut req: Request, sender: Sender) -> Result<Response, Refused> {
    let mut decoded = header::decode_request(&as_bytes(&req));
    let Some(attempt_id) = decoded.attempt_id else {
        return Err(Refused::malformed("the request has no id", ""));
    };
    let limit = node.with_core(|core| {
        let catalog = core.relay.catalog.as_ref();
        catalog.map_or_else(Default::default, |catalog| catalog.limits)
    });
    let max_body = limit.max_body.min(node.held.max_body());
    let mut held = node.held.hold(0);
    let mut offered = 0;
    let body = web::read_admitted_body(&mut req, max_body, BODY_TIMEOUT, |received| {
        let admitted = admit_body(node, received - std::mem::replace(&mut offered, received));
        if admitted {
            held.grow_to(received);
        }
        admitted
    });
    let body = body.await;
    let body = body.map_err(|status| body_failure(status, &attempt_id))?;
    let Ok(method) = hyper::Method::from_bytes(req.method().as_str().as_bytes()) else {
        return Err(Refused::malformed("no such method", &attempt_id));
    };
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let origin = match sender {
        Sender::Caller => None,
        Sender::Host => {
            let origin = forward::verify(node.relay.secret.get(), &as_bytes(&req), target, &body);
            let Some(origin) = origin else {
                let refusal = Refusal::new(Kind::BadKey, "the MAC of the host cannot be verified");
                return Err(Refused::new(refusal, &attempt_id));
            };
            Some(origin)
        }
    };
    let host = req
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    decoded
        .forwarded
        .retain(|(name, _)| !forward::is_internal(name));
    let arrival = Arrival {
        id: attempt_id.clone(),
        host: host.into(),
        path: req.uri().path().into(),
        deadline: origin
            .as_ref()
            .map_or(decoded.deadline, |origin| Some(origin.remaining)),
        prompt: decoded.prompt,
        resume: origin
            .as_ref()
            .map_or(decoded.resume, |origin| origin.resume),
        version: origin.as_ref().and_then(|origin| origin.version),
        resumes: decoded.resumes,
        bytes: body.len(),
        fingerprint: relay_fingerprint(&method, host, target, &body),
        credential: decoded.credential,
        forwarded: origin.as_ref().map(|origin| origin.spent),
        departures: origin.map(|origin| origin.departures).unwrap_or_default(),
    };
    let prepared = Prepared {
        method,
        path: target.into(),
        credentials: decoded.credentials,
        headers: decoded.forwarded,
        body,
    };
    let Some(accepted) = accept_request(node, arrival, prepared, req.io().cloned()) else {
        let refusal = Refusal::new(Kind::Internal, "the request was lost");
        return Err(Refused::new(refusal, &attempt_id));
    };
    answer(node, accepted, held, &attempt_id, req.version()).await
}

/// Returns the fingerprint of a relayed request: the same for equal methods, host names, targets and bodies.
pub(super) fn relay_fingerprint(
    method: &hyper::Method,
    host: &str,
    target: &str,
    body: &[u8],
) -> Fingerprint {
    let host = catalog::host_name(host).to_ascii_lowercase();
    fingerprint(&format!("{method} {host}{target}"), body)
}

/// Returns the headers of a request as lower-case names and bytes.
fn as_bytes(req: &Request) -> Vec<(&str, &[u8])> {
    let headers = req.headers().iter();
    headers
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect()
}

fn body_failure(status: StatusCode, id: &str) -> Refused {
    let (kind, detail) = match status {
        StatusCode::INSUFFICIENT_STORAGE => (Kind::Overloaded, "the host holds too many bytes"),
        StatusCode::PAYLOAD_TOO_LARGE => (Kind::TooLarge, "the body is too large"),
        StatusCode::REQUEST_TIMEOUT => (Kind::TooSlow, "the body did not arrive in time"),
        _ => (Kind::Malformed, "the body was cut short"),
    };
    let refusal = Refusal::new(kind, detail);
    let refusal = match kind {
        // The next connection reaches another host.
        Kind::Overloaded => refusal.with_retry_after(OTHER_HOST_RETRY_AFTER),
        _ => refusal,
    };
    Refused {
        closes: true,
        ..Refused::new(refusal, id)
    }
}

async fn answer(
    node: &Rc<Node>,
    accepted: AcceptedCall,
    body: HeldGuard,
    id: &str,
    version: Version,
) -> Result<Response, Refused> {
    let mut parts = AnswerParts {
        queue: accepted.parts,
        _body: body,
        guard: CallerGuard {
            node: Rc::clone(node),
            call: accepted.call,
            ended: false,
        },
    };
    // The response head is sent after the first message, so that a refusal keeps its own status.
    match std::future::poll_fn(|cx| parts.poll(cx)).await {
        AnswerPart::Refused(refusal) => Err(Refused::new(refusal, id)),
        AnswerPart::Answer(head, body) => Ok(response_head(head).body(body.to_vec())),
        AnswerPart::Head(head) => {
            let events = EventStream {
                parts,
                is_direct: version >= Version::HTTP_11,
                is_aborted: false,
                ended: false,
            };
            let response = web::stream_body(version, &mut response_head(head), events).await;
            response.map_err(|_broken| {
                let refusal = Refusal::new(Kind::EngineFailed, "the answer is not complete");
                Refused::new(refusal.with_ran(Ran::Yes), id)
            })
        }
        AnswerPart::Event(_) | AnswerPart::Completed | AnswerPart::Aborted => {
            let refusal = Refusal::new(Kind::Internal, "the answer was lost");
            Err(Refused::new(refusal, id))
        }
    }
}

fn response_head(head: Head) -> ResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    let headers = head.headers.into_iter();
    for (name, value) in headers.filter(|(name, _)| !forward::is_internal(name)) {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.header(name, value);
        }
    }
    response
}

/// Returns the HTTP status of a refusal. A request that did not run gets a status that guarantees
/// this; no other request gets such a status.
fn refusal_status(refusal: &Refusal) -> u16 {
    let own = refusal.kind.answer().status;
    match refusal.ran {
        Ran::No if matches!(own, 400 | 401 | 404 | 408 | 413 | 429) => own,
        Ran::No => 503,
        Ran::Yes | Ran::Unknown if own == 504 => 504,
        Ran::Yes | Ran::Unknown => 502,
    }
}

/// A streamed answer.
struct EventStream {
    parts: AnswerParts,
    /// Whether its parts are written as they arrive.
    is_direct: bool,
    is_aborted: bool,
    ended: bool,
}

impl Stream for EventStream {
    type Item = Result<ntex::util::Bytes, HandlerError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        if !this.is_aborted {
            match std::task::ready!(this.parts.poll(cx)) {
                AnswerPart::Event(data) => {
                    return Poll::Ready(Some(Ok(to_ntex_bytes(&data))));
                }
                AnswerPart::Completed => {
                    this.ended = true;
                    return Poll::Ready(None);
                }
                _ => this.is_aborted = true,
            }
        }
        // The HTTP library ends a failed body by writing a response of its own into it, which callers cannot parse: the
        // connection is closed before.
        if this.is_direct {
            std::task::ready!(this.parts.queue.poll_close_written(cx));
        }
        this.ended = true;
        Poll::Ready(Some(Err(HandlerError)))
    }
}

fn to_ntex_bytes(data: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(data)
}
