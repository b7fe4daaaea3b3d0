//! The callers' listener: completions, models and services.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use ntex::http::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::completion::{self, Completion, Delivery, Form};
use super::node::{Node, Part, Prepared, ServiceCall, Taken};
use super::problem::{self, REQUEST_ID};
use super::queue;
use crate::core::Event;
use crate::core::effect::{Meter, Refusal};
use crate::core::event::{Arrival, Print, RequestEvent, ServiceWant, Stored, Want};
use crate::core::key::RequestKey;
use crate::core::once;
use crate::error::Kind;
use crate::lists::KeyHash;
use crate::web::{self, HandlerError};

/// Longest idempotency key.
const KEY_LIMIT: usize = 255;
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Headers of a service call that are passed on.
const PASSED: [&str; 4] = ["content-type", "accept", "accept-language", KEY_HEADER];
/// Most bytes read of a body that is not wanted.
const DISCARD_LIMIT: usize = 64 * 1024;
/// Time a caller has to send a body that is not wanted.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Prefix of the paths of services.
const SERVICES: &str = "/services/";
/// Piece size where no pool names one, in tokens.
const PIECE: usize = 2000;

/// Tells the core that the caller left, unless its request has ended.
struct Presence {
    node: Rc<Node>,
    request: RequestKey,
    ended: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if !self.ended {
            let left = RequestEvent::Left(self.request);
            self.node.apply(Event::Request(left));
        }
    }
}

/// A request's parts, as they come.
struct Parts {
    queue: queue::Parts<Part>,
    presence: Presence,
}

impl Parts {
    fn new(node: &Rc<Node>, taken: Taken) -> Self {
        let presence = Presence {
            node: Rc::clone(node),
            request: taken.request,
            ended: false,
        };
        Self {
            queue: taken.parts,
            presence,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Part> {
        let part = match self.queue.poll(cx) {
            Poll::Ready(part) => part,
            Poll::Pending => return Poll::Pending,
        };
        // The core ends every request with one of these; a closed channel without one is its fault.
        let lost = || Part::Refused(Refusal::new(Kind::Internal, "the request was lost"));
        let part = part.unwrap_or_else(lost);
        self.presence.ended |= !matches!(part, Part::Piece(_));
        Poll::Ready(part)
    }

    async fn next(&mut self) -> Part {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

/// Serves one request.
pub async fn handle(node: Rc<Node>, req: Request) -> Response {
    let mut response = route(&node, req).await;
    if node.look(|core| core.stop.begun()) {
        // The next request of this caller is to go to another host.
        close(&mut response);
    }
    response
}

async fn route(node: &Rc<Node>, req: Request) -> Response {
    let path = req.path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(node, req, Form::Text).await,
        (&Method::POST, "/v1/chat/completions") => complete(node, req, Form::Chat).await,
        (&Method::GET, "/v1/models") => models(node, &req),
        (_, path) if path.starts_with(SERVICES) => serve(node, req).await,
        _ => refuse(Kind::NotFound, "there is nothing at this path"),
    }
}

fn refuse(kind: Kind, detail: &str) -> Response {
    problem::answer(&Refusal::new(kind, detail), "")
}

/// Returns the hash of the caller's key; one that belongs to nobody where it sent none.
fn caller(req: &Request) -> KeyHash {
    let key = header(req, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.map_or(KeyHash([0; 32]), |key| KeyHash::of(key.trim()))
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn idem(req: &Request) -> Result<Option<Box<str>>, Response> {
    let Some(value) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    match std::str::from_utf8(value.as_bytes()) {
        Ok(key) if !key.is_empty() && key.len() <= KEY_LIMIT => Ok(Some(key.into())),
        _ => {
            let detail = "the Idempotency-Key is empty, longer than 255 bytes or not UTF-8";
            Err(refuse(Kind::Malformed, detail))
        }
    }
}

/// Turns away whoever has no customer's key before its body is read.
///
/// Anyone could have this host read and parse bodies for nothing otherwise.
async fn known(node: &Rc<Node>, req: &mut Request) -> Result<(), Response> {
    let caller = caller(req);
    let refusal = node.look(|core| {
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
    node.meters.count(&Meter::Ended {
        class: "".into(),
        customer: "".into(),
        outcome: refusal.kind.answer().code,
        lasted: Duration::ZERO,
    });
    web::discard_body(req, DISCARD_LIMIT, DISCARD_TIME).await;
    let mut response = problem::answer(&refusal, "");
    close(&mut response);
    Err(response)
}

async fn body(node: &Rc<Node>, req: &mut Request) -> Result<Bytes, Response> {
    let (limit, time) = node.look(|core| {
        let limits = &core.settings.limits;
        (limits.max_body_bytes, limits.body_timeout)
    });
    web::read_body(req, limit, time)
        .await
        .map_err(|status| match status {
            StatusCode::PAYLOAD_TOO_LARGE => {
                let mut response = refuse(Kind::TooLarge, &format!("the limit is {limit} bytes"));
                close(&mut response);
                response
            }
            StatusCode::REQUEST_TIMEOUT => {
                let mut response = refuse(Kind::TooSlow, "the body did not arrive in time");
                close(&mut response);
                response
            }
            _ => refuse(Kind::Malformed, "the body was cut short"),
        })
}

fn close(response: &mut Response) {
    response
        .head_mut()
        .set_connection_type(ntex::http::ConnectionType::Close);
}

/// Returns the fingerprint of a request: equal targets and bodies have equal ones.
pub(super) fn print(target: &str, body: &[u8]) -> Print {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    let mut print = [0; 16];
    print.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Print(print)
}

async fn complete(node: &Rc<Node>, mut req: Request, form: Form) -> Response {
    if let Err(response) = known(node, &mut req).await {
        return response;
    }
    let idem = match idem(&req) {
        Ok(idem) => idem,
        Err(response) => return response,
    };
    let bytes = match body(node, &mut req).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let piece = |model: &str| {
        node.look(|core| {
            let pool = core.fleet.serving(model).next();
            pool.map_or(PIECE, |pool| pool.settings.block_tokens)
        })
    };
    let (completion, want) = match completion::parse(form, &bytes, piece) {
        Ok(parsed) => parsed,
        Err(detail) => return refuse(Kind::Malformed, &detail),
    };
    let arrival = Arrival {
        tag: 0,
        caller: caller(&req),
        want: Want::Model(want),
        idem,
        print: print(form.path(), &bytes),
    };
    let copy = completion.clone();
    let Some(taken) = node.take(arrival, Prepared::Completion(copy), req.io().cloned()) else {
        return refuse(Kind::Internal, "the request was lost");
    };
    let id = taken.id.clone();
    let parts = Parts::new(node, taken);
    match completion.delivery {
        Delivery::Stream => streamed(parts, id).await,
        Delivery::Whole => collected(parts, &completion, &id).await,
    }
}

async fn streamed(mut parts: Parts, id: Box<str>) -> Response {
    // The head waits for the first part, so that a refusal has its own status.
    let first = parts.next().await;
    if let Part::Refused(refusal) = &first {
        return problem::answer(refusal, &id);
    }
    let mut response = Response::build(StatusCode::OK);
    response
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_ID, &*id);
    response.streaming(Events {
        parts,
        first: Some(first),
        offset: 0,
        id,
        ended: false,
    })
}

/// A streamed answer as server-sent events.
struct Events {
    parts: Parts,
    first: Option<Part>,
    offset: u64,
    id: Box<str>,
    ended: bool,
}

impl Stream for Events {
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
            Part::Piece(data) => {
                this.offset += 1;
                event.extend_from_slice(format!("id: {}\ndata: ", this.offset).as_bytes());
                event.extend_from_slice(&data);
                event.extend_from_slice(b"\n\n");
            }
            Part::Whole | Part::Reply(..) => {
                this.ended = true;
                event.extend_from_slice(b"data: [DONE]\n\n");
            }
            // Without the end marker no client takes the answer for whole; the event says why.
            Part::Refused(refusal) => {
                this.ended = true;
                let document = problem::document(&refusal, &this.id);
                event.extend_from_slice(format!("event: error\ndata: {document}\n\n").as_bytes());
            }
        }
        Poll::Ready(Some(Ok(event.into())))
    }
}

async fn collected(mut parts: Parts, completion: &Completion, id: &str) -> Response {
    let (mut text, mut last) = (String::new(), Bytes::new());
    loop {
        match parts.next().await {
            Part::Piece(data) => {
                text.push_str(&completion.text_of(&data));
                last = data;
            }
            Part::Refused(refusal) => return problem::answer(&refusal, id),
            Part::Whole | Part::Reply(..) => break,
        }
    }
    Response::build(StatusCode::OK)
        .content_type("application/json")
        .header(REQUEST_ID, id)
        .body(completion.document(id, &text, &last).to_string())
}

fn models(node: &Rc<Node>, req: &Request) -> Response {
    let caller = caller(req);
    let models = node.look(|core| {
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

async fn serve(node: &Rc<Node>, mut req: Request) -> Response {
    if let Err(response) = known(node, &mut req).await {
        return response;
    }
    let idem = match idem(&req) {
        Ok(idem) => idem,
        Err(response) => return response,
    };
    let rest = req.path()[SERVICES.len()..].to_owned();
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
    let bytes = match body(node, &mut req).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let headers = PASSED
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
        caller: caller(&req),
        print: print(&format!("{service} {method} {full}"), &bytes),
        want: Want::Service(ServiceWant {
            service: service.into(),
            method,
            path: path.into(),
        }),
        idem,
    };
    let Some(taken) = node.take(arrival, Prepared::Call(call), req.io().cloned()) else {
        return refuse(Kind::Internal, "the request was lost");
    };
    let id = taken.id.clone();
    let mut parts = Parts::new(node, taken);
    loop {
        match parts.next().await {
            Part::Reply(result, first) => return replied(&result, first.as_deref(), &id),
            Part::Refused(refusal) => return problem::answer(&refusal, &id),
            Part::Piece(_) => {}
            Part::Whole => return refuse(Kind::Internal, "a service call cannot end so"),
        }
    }
}

fn replied(result: &Stored, first: Option<&str>, id: &str) -> Response {
    let status = StatusCode::from_u16(result.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    response.header(REQUEST_ID, id);
    if !result.media.is_empty() {
        response.content_type(&*result.media);
    }
    if let Some(first) = first {
        response.header("x-first-request-id", first);
    }
    response.body(result.body.to_vec())
}
