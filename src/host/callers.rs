//! Handler of the callers' listener: completions, models and services.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use ntex::http::{Method, Request, Response, StatusCode, Version};
use serde_json::json;

use super::completion::{self, Completion, Delivery, Endpoint};
use super::node::{AcceptedRequest, AnswerPart, Node, Prepared, ServiceCall};
use super::problem::{self, REQUEST_ID};
use super::queue;
use crate::core::Event;
use crate::core::effect::{Meter, Refusal};
use crate::core::event::{
    Arrival, Fingerprint, RequestEvent, RequestSpec, ServiceRequest, StoredResponse,
};
use crate::core::key::RequestKey;
use crate::core::once;
use crate::error::{Kind, Ran};
use crate::lists::KeyHash;
use crate::web::{self, HandlerError};

/// Largest length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Header that carries the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Headers of a service call that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    IDEMPOTENCY_HEADER,
];
/// Largest number of bytes read of a body that is discarded.
const MAX_DISCARD_BYTES: usize = 64 * 1024;
/// Time limit for reading a body that is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Path prefix of services.
const SERVICES_PREFIX: &str = "/services/";
/// Size of prefix blocks for a model that no pool serves.
const DEFAULT_BLOCK_TOKENS: usize = 2000;

/// On drop, reports to the core that the caller left, unless its request has ended.
struct CallerGuard {
    node: Rc<Node>,
    request: RequestKey,
    ended: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.ended {
            let event = RequestEvent::CallerLeft(self.request);
            self.node.apply(Event::Request(event));
        }
    }
}

/// Receives the messages to a request's handler.
struct AnswerParts {
    queue: queue::QueueReceiver<AnswerPart>,
    guard: CallerGuard,
}

impl AnswerParts {
    fn new(node: &Rc<Node>, accepted: AcceptedRequest) -> Self {
        let guard = CallerGuard {
            node: Rc::clone(node),
            request: accepted.request,
            ended: false,
        };
        Self {
            queue: accepted.parts,
            guard,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<AnswerPart> {
        let lost = || AnswerPart::Refused(Refusal::new(Kind::Internal, "the request was lost"));
        let part = match self.queue.poll(cx) {
            Poll::Ready(part) => part,
            // The guard reports that the caller left.
            Poll::Pending => return self.queue.poll_closed(cx).map(|()| lost()),
        };
        // The core ends every request with a final message; a channel closed without one is a bug.
        let part = part.unwrap_or_else(lost);
        self.guard.ended |= !matches!(part, AnswerPart::Chunk(_));
        Poll::Ready(part)
    }

    async fn next(&mut self) -> AnswerPart {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

/// Serves one request.
pub async fn handle(node: Rc<Node>, req: Request) -> Response {
    let mut response = route(&node, req).await;
    if node.with_core(|core| core.stop.is_stopping()) {
        // Closing the connection makes the caller send its next request to another host.
        close_connection(&mut response);
    }
    response
}

async fn route(node: &Rc<Node>, req: Request) -> Response {
    let path = req.path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(node, req, Endpoint::Text).await,
        (&Method::POST, "/v1/chat/completions") => complete(node, req, Endpoint::Chat).await,
        (&Method::GET, "/v1/models") => models(node, &req),
        (_, path) if path.starts_with(SERVICES_PREFIX) => call_service(node, req).await,
        _ => refuse(Kind::NotFound, "there is nothing at this path"),
    }
}

fn refuse(kind: Kind, detail: &str) -> Response {
    problem::answer(&Refusal::new(kind, detail), "")
}

/// Returns the hash of the caller's key, or a hash that matches no customer if it sent none.
fn caller_key(req: &Request) -> KeyHash {
    let key = header(req, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.map_or(KeyHash([0; 32]), |key| KeyHash::of(key.trim()))
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn idempotency_key(req: &Request) -> Result<Option<Box<str>>, Response> {
    let Some(value) = req.headers().get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match std::str::from_utf8(value.as_bytes()) {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(key.into()))
        }
        _ => {
            let detail = "the Idempotency-Key is empty, longer than 255 bytes or not UTF-8";
            Err(refuse(Kind::Malformed, detail))
        }
    }
}

/// Refuses callers without a customer's key before their body is read.
///
/// Otherwise anyone could make this host read and parse bodies.
async fn authenticate(node: &Rc<Node>, req: &mut Request) -> Result<(), Response> {
    let caller = caller_key(req);
    let refusal = node.with_core(|core| {
        if core.config.revision() == 0 {
            let detail = "this host has no lists yet";
            Some(Refusal::new(Kind::CutOff, detail))
        } else if core.config.index.get(caller).is_none() {
            Some(Refusal::new(Kind::BadKey, "no customer has this key"))
        } else {
            None
        }
    });
    let Some(refusal) = refusal else {
        return Ok(());
    };
    node.metrics.record(&Meter::RequestEnded {
        class: "".into(),
        customer: "".into(),
        outcome: refusal.kind.answer().code,
        duration: Duration::ZERO,
    });
    web::discard_body(req, MAX_DISCARD_BYTES, DISCARD_TIMEOUT).await;
    let mut response = problem::answer(&refusal, "");
    close_connection(&mut response);
    Err(response)
}

async fn read_body(node: &Rc<Node>, req: &mut Request) -> Result<Bytes, Response> {
    let (limit, time) = node.with_core(|core| {
        let limits = &core.settings.limits;
        (limits.max_body_bytes, limits.body_timeout)
    });
    web::read_body(req, limit, time)
        .await
        .map_err(|status| match status {
            StatusCode::PAYLOAD_TOO_LARGE => {
                let mut response = refuse(Kind::TooLarge, &format!("the limit is {limit} bytes"));
                close_connection(&mut response);
                response
            }
            StatusCode::REQUEST_TIMEOUT => {
                let mut response = refuse(Kind::TooSlow, "the body did not arrive in time");
                close_connection(&mut response);
                response
            }
            _ => refuse(Kind::Malformed, "the body was cut short"),
        })
}

fn close_connection(response: &mut Response) {
    response
        .head_mut()
        .set_connection_type(ntex::http::ConnectionType::Close);
}

/// Returns the fingerprint of a request: the same for equal targets and bodies.
pub(super) fn fingerprint(target: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(first)
}

async fn complete(node: &Rc<Node>, mut req: Request, endpoint: Endpoint) -> Response {
    if let Err(response) = authenticate(node, &mut req).await {
        return response;
    }
    let idempotency_key = match idempotency_key(&req) {
        Ok(key) => key,
        Err(response) => return response,
    };
    let bytes = match read_body(node, &mut req).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let block_tokens = |model: &str| {
        node.with_core(|core| {
            let pool = core.fleet.serving(model).next();
            pool.map_or(DEFAULT_BLOCK_TOKENS, |pool| pool.settings.block_tokens)
        })
    };
    let (completion, want) = match completion::parse(endpoint, &bytes, block_tokens) {
        Ok(parsed) => parsed,
        Err(detail) => return refuse(Kind::Malformed, &detail),
    };
    let arrival = Arrival {
        tag: 0,
        key_hash: caller_key(&req),
        spec: RequestSpec::Model(want),
        idempotency_key,
        fingerprint: fingerprint(endpoint.path(), &bytes),
    };
    let copy = completion.clone();
    let Some(accepted) =
        node.accept_request(arrival, Prepared::Completion(copy), req.io().cloned())
    else {
        return refuse(Kind::Internal, "the request was lost");
    };
    let id = accepted.id.clone();
    let parts = AnswerParts::new(node, accepted);
    match completion.delivery {
        Delivery::Stream => stream_answer(parts, id, req.version()).await,
        Delivery::Document => collect_answer(parts, &completion, &id).await,
    }
}

async fn stream_answer(mut parts: AnswerParts, id: Box<str>, version: Version) -> Response {
    // The response head is sent after the first message, so that a refusal keeps its own status.
    let first = parts.next().await;
    if let AnswerPart::Refused(refusal) = &first {
        return problem::answer(refusal, &id);
    }
    let mut response = Response::build(StatusCode::OK);
    response
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_ID, &*id);
    let request = id.clone();
    let events = EventStream {
        parts,
        first: Some(first),
        offset: 0,
        id,
        ended: false,
    };
    web::stream_body(version, &mut response, events)
        .await
        .unwrap_or_else(|_too_long| {
            let refusal = Refusal::new(Kind::EngineFailed, "the answer is too long for HTTP/1.0");
            problem::answer(&refusal.with_ran(Ran::Yes), &request)
        })
}

/// A streamed answer as server-sent events.
struct EventStream {
    parts: AnswerParts,
    first: Option<AnswerPart>,
    offset: u64,
    id: Box<str>,
    ended: bool,
}

impl Stream for EventStream {
    type Item = Result<ntex::util::Bytes, HandlerError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let part = match this.first.take() {
            Some(part) => part,
            None => match this.parts.poll(cx) {
                Poll::Ready(part) => part,
                Poll::Pending => return Poll::Pending,
            },
        };
        let mut event = Vec::new();
        match part {
            AnswerPart::Chunk(data) => {
                this.offset += 1;
                event.extend_from_slice(format!("id: {}\ndata: ", this.offset).as_bytes());
                event.extend_from_slice(&data);
                event.extend_from_slice(b"\n\n");
            }
            AnswerPart::Completed | AnswerPart::Reply(..) => {
                this.ended = true;
                event.extend_from_slice(b"data: [DONE]\n\n");
            }
            // Without the end marker a client treats the answer as incomplete; the event holds the
            // reason.
            AnswerPart::Refused(refusal) => {
                this.ended = true;
                let document = problem::document(&refusal, &this.id);
                event.extend_from_slice(format!("event: error\ndata: {document}\n\n").as_bytes());
            }
        }
        Poll::Ready(Some(Ok(event.into())))
    }
}

async fn collect_answer(mut parts: AnswerParts, completion: &Completion, id: &str) -> Response {
    let (mut text, mut last) = (String::new(), Bytes::new());
    loop {
        match parts.next().await {
            AnswerPart::Chunk(data) => {
                text.push_str(&completion.text_of(&data));
                last = data;
            }
            AnswerPart::Refused(refusal) => return problem::answer(&refusal, id),
            AnswerPart::Completed | AnswerPart::Reply(..) => break,
        }
    }
    Response::build(StatusCode::OK)
        .content_type("application/json")
        .header(REQUEST_ID, id)
        .body(completion.document(id, &text, &last).to_string())
}

fn models(node: &Rc<Node>, req: &Request) -> Response {
    let caller = caller_key(req);
    let models = node.with_core(|core| {
        let holder = core.config.index.get(caller)?;
        let allowance = core.config.lists.uses.plans.get(&holder.plan)?;
        let allowed = allowance.models.iter();
        let served = allowed.filter(|model| core.fleet.serving(model).next().is_some());
        Some(served.cloned().collect::<Vec<_>>())
    });
    let Some(models) = models else {
        return refuse(Kind::BadKey, "no customer has this key");
    };
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "chiveway"}))
        .collect();
    Response::build(StatusCode::OK)
        .content_type("application/json")
        .body(json!({"object": "list", "data": data}).to_string())
}

async fn call_service(node: &Rc<Node>, mut req: Request) -> Response {
    if let Err(response) = authenticate(node, &mut req).await {
        return response;
    }
    let idempotency_key = match idempotency_key(&req) {
        Ok(key) => key,
        Err(response) => return response,
    };
    let rest = req.path()[SERVICES_PREFIX.len()..].to_owned();
    let (service, path) = match rest.find('/') {
        Some(at) => (&rest[..at], &rest[at..]),
        None => (&*rest, "/"),
    };
    let query = req.uri().query();
    let full = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
    let method: Box<str> = req.method().as_str().into();
    if !once::is_canonical(&method, path) {
        let detail = "the method or path is not in its one canonical form: no empty or dot \
                      segments, no needless escapes, capitals in escapes and in the method";
        return refuse(Kind::Malformed, detail);
    }
    let bytes = match read_body(node, &mut req).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let headers = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| Some(((*name).into(), header(&req, name)?.into())));
    let call = ServiceCall {
        method: method.clone(),
        path: full.as_str().into(),
        headers: headers.collect(),
        body: bytes.clone(),
    };
    let arrival = Arrival {
        tag: 0,
        key_hash: caller_key(&req),
        fingerprint: fingerprint(&format!("{service} {method} {full}"), &bytes),
        spec: RequestSpec::Service(ServiceRequest {
            service: service.into(),
            method,
            path: path.into(),
        }),
        idempotency_key,
    };
    let Some(accepted) = node.accept_request(arrival, Prepared::Call(call), req.io().cloned())
    else {
        return refuse(Kind::Internal, "the request was lost");
    };
    let id = accepted.id.clone();
    let mut parts = AnswerParts::new(node, accepted);
    loop {
        match parts.next().await {
            AnswerPart::Reply(result, first) => {
                return service_answer(&result, first.as_deref(), &id);
            }
            AnswerPart::Refused(refusal) => return problem::answer(&refusal, &id),
            AnswerPart::Chunk(_) => {}
            AnswerPart::Completed => {
                return refuse(Kind::Internal, "a service call cannot end so");
            }
        }
    }
}

fn service_answer(result: &StoredResponse, first: Option<&str>, id: &str) -> Response {
    let status = StatusCode::from_u16(result.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    response.header(REQUEST_ID, id);
    if !result.content_type.is_empty() {
        response.content_type(&*result.content_type);
    }
    if let Some(first) = first {
        response.header("x-first-request-id", first);
    }
    response.body(result.body.to_vec())
}
