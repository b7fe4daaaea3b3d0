//! The engine's HTTP interface.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use ntex::http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Shared;
use super::batch::RunKey;
use super::options::{Faults, Role};
use super::orders::{Order, Verdict};
use super::reader::Reader;
use super::state::{Conn, Job, JobKind, Refusal};
use super::wire::{self, Body, Form, Transfer};
use crate::backend::{Action, Call};
use crate::web;

/// Most bytes of a request's body.
const BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Time a caller has to send a body.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Paths for tests, which answer on silent connections too.
const TEST_PATHS: [&str; 3] = ["/fault", "/log", "/stats"];

/// Answers one request.
pub(super) async fn handle(shared: Rc<Shared>, mut req: Request) -> Response {
    if is_silent(&shared, &req) && !TEST_PATHS.contains(&req.path()) {
        return std::future::pending().await;
    }
    let body = match web::read_body(&mut req, BODY_LIMIT, BODY_TIME).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    match (req.method(), req.path()) {
        (&Method::POST, "/v1/completions") => answer(&shared, &req, &body, Form::Text).await,
        (&Method::POST, "/v1/chat/completions") => answer(&shared, &req, &body, Form::Chat).await,
        (&Method::POST, "/v1/prefill") => prefill(&shared, &req, &body).await,
        (&Method::GET, "/v1/models") => models(&shared),
        (&Method::GET, "/load") => Response::Ok().json(&shared.state.borrow_mut().load()),
        (&Method::GET, "/events") => events(&shared, &req),
        (&Method::GET, "/log") => log(&shared),
        (&Method::GET, "/stats") => Response::Ok().json(&shared.state.borrow().stats),
        (&Method::POST, "/order") => order(&shared, &body),
        (&Method::POST, "/fault") => fault(&shared, &body),
        (&Method::GET, path) if path.starts_with("/kv/") => exported(&shared, path),
        _ => error(StatusCode::NOT_FOUND, "path"),
    }
}

/// Notes the connection of a request; returns whether it has gone silent.
fn is_silent(shared: &Shared, req: &Request) -> bool {
    let Some(io) = req.io() else {
        return false;
    };
    let id = io.id();
    let mut state = shared.state.borrow_mut();
    let since = state.silent;
    let conns = &mut state.conns;
    if !conns.contains_key(&id) {
        conns.retain(|_, conn| !conn.io.is_closed());
        let io = io.clone();
        conns.insert(id, Conn { io, since });
        state.stats.connections += 1;
    }
    state.conns[&id].since < since
}

async fn answer(shared: &Rc<Shared>, req: &Request, body: &[u8], form: Form) -> Response {
    let resume = header(req, "last-event-id").map(str::parse);
    if let (Some(attempt), Some(offset)) = (header(req, "x-attempt-id"), resume) {
        let key = shared.state.borrow().attempts.get(attempt).copied();
        let reader = key.and_then(|key| Reader::new(shared, key, form, offset.ok()));
        return match reader {
            Some(reader) => stream(reader),
            None => error(StatusCode::NOT_FOUND, "attempt"),
        };
    }
    let streamed = match serde_json::from_slice::<Body>(body) {
        Ok(body) => body.stream,
        Err(_) => false,
    };
    let key = match begin(shared, req, body, JobKind::Whole).await {
        Ok(key) => key,
        Err(response) => return response,
    };
    let Some(mut reader) = Reader::new(shared, key, form, None) else {
        return error(StatusCode::INTERNAL_SERVER_ERROR, "attempt");
    };
    if streamed {
        return stream(reader);
    }
    match reader.whole().await {
        Ok((text, usage)) => {
            let state = shared.state.borrow();
            let attempt = state.batch.runs.get(key).map(|run| &*run.attempt);
            let attempt = attempt.unwrap_or_default();
            Response::Ok().json(&wire::whole(form, attempt, &state.model, &text, usage))
        }
        Err(_cut) => cut(req),
    }
}

async fn prefill(shared: &Rc<Shared>, req: &Request, body: &[u8]) -> Response {
    let key = match begin(shared, req, body, JobKind::Prefill).await {
        Ok(key) => key,
        Err(response) => return response,
    };
    let Some(mut reader) = Reader::new(shared, key, Form::Text, None) else {
        return error(StatusCode::INTERNAL_SERVER_ERROR, "attempt");
    };
    let Ok((_, usage)) = reader.whole().await else {
        return cut(req);
    };
    let mut state = shared.state.borrow_mut();
    let Some(run) = state.batch.runs.get(key) else {
        return cut(req);
    };
    let hash = run.hash.clone();
    let handle: Box<str> = format!("kv-{}-{}", state.opts.name, run.attempt).into();
    state.handles.insert(handle.clone(), (hash, usage.prompt));
    Response::Ok().json(&json!({"kv": handle, "prompt_tokens": usage.prompt}))
}

/// Understands a request for work and takes it in, or returns the answer that refuses it.
async fn begin(
    shared: &Rc<Shared>,
    req: &Request,
    body: &[u8],
    kind: JobKind,
) -> Result<RunKey, Response> {
    let parsed = serde_json::from_slice::<Body>(body);
    let Ok(body) = parsed else {
        return Err(not_run(400, "body"));
    };
    let Some(prompt) = body.prompt() else {
        return Err(not_run(400, "prompt"));
    };
    let kind = match (&body.kv_transfer, kind) {
        (Some(_), JobKind::Whole) => JobKind::Imported,
        _ => kind,
    };
    let attempt = check(shared, req, &body, kind)?;
    if let Some(transfer) = &body.kv_transfer {
        import(shared, transfer, &prompt).await?;
    }
    let job = Job {
        attempt: attempt.as_str().into(),
        request: header(req, "x-request-id").unwrap_or_default().into(),
        prompt,
        tokens: match kind {
            JobKind::Prefill => 0,
            JobKind::Whole | JobKind::Imported => body.max_tokens(),
        },
        priority: header(req, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(body.priority),
        continued: body.continue_from,
        kind,
    };
    let admitted = shared.state.borrow_mut().admit(job);
    let key = admitted.map_err(|Refusal { status, error }| not_run(status, error))?;
    shared.work.notify_one();
    Ok(key)
}

/// Checks all that can be checked before a prompt is imported; returns the attempt's name.
fn check(shared: &Shared, req: &Request, body: &Body, kind: JobKind) -> Result<String, Response> {
    let mut state = shared.state.borrow_mut();
    if body.model.as_ref().is_some_and(|name| *name != state.model) {
        return Err(not_run(404, "model"));
    }
    if let Some(Refusal { status, error }) = state.refusal(kind) {
        state.stats.refused += 1;
        return Err(not_run(status, error));
    }
    match header(req, "x-attempt-id") {
        // The attempt is there already: starting it again would run the request twice.
        Some(name) if state.attempts.contains_key(name) => {
            Err(error(StatusCode::CONFLICT, "attempt"))
        }
        Some(name) => Ok(name.into()),
        None => Ok(format!("{}-{}", state.opts.name, state.run_log.len())),
    }
}

/// Fetches a prompt's state from the engine that worked through it.
async fn import(shared: &Shared, transfer: &Transfer, prompt: &str) -> Result<(), Response> {
    #[derive(Deserialize)]
    struct Exported {
        prompt_hash: Box<str>,
        prompt_tokens: u64,
    }
    let call = Call {
        method: "GET",
        addr: transfer.source,
        path: &format!("/kv/{}", transfer.handle),
        headers: &[],
        body: Bytes::new(),
    };
    let answer = shared.client.call(call).await;
    let found = answer
        .ok()
        .filter(|answer| answer.status == 200)
        .and_then(|answer| serde_json::from_slice::<Exported>(&answer.body).ok())
        .filter(|found| *found.prompt_hash == *blake3::hash(prompt.as_bytes()).to_hex().as_str());
    let Some(found) = found else {
        return Err(not_run(424, "kv"));
    };
    let time = shared.state.borrow().import_time(found.prompt_tokens);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    shared.state.borrow_mut().stats.imports += 1;
    Ok(())
}

fn exported(shared: &Shared, path: &str) -> Response {
    let handle = path.trim_start_matches("/kv/");
    match shared.state.borrow().handles.get(handle) {
        Some((hash, tokens)) => {
            Response::Ok().json(&json!({"prompt_hash": hash, "prompt_tokens": tokens}))
        }
        None => error(StatusCode::NOT_FOUND, "kv"),
    }
}

fn models(shared: &Shared) -> Response {
    let state = shared.state.borrow();
    let model = json!({"id": state.model, "object": "model", "owned_by": state.opts.name,
        "adapter": state.adapter, "version": state.version});
    Response::Ok().json(&json!({"object": "list", "data": [model]}))
}

fn events(shared: &Shared, req: &Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let after = query.strip_prefix("after=").map_or(Ok(0), str::parse);
    match after {
        Ok(after) => {
            let state = shared.state.borrow();
            Response::Ok().json(&state.cache.events(after, Instant::now()))
        }
        Err(_) => error(StatusCode::BAD_REQUEST, "after"),
    }
}

fn log(shared: &Shared) -> Response {
    let state = shared.state.borrow();
    let runs: Vec<Value> = state
        .run_log
        .iter()
        .map(|line| {
            let mut line = json!(line);
            if line["end"].is_null() {
                line["end"] = "running".into();
            }
            line
        })
        .collect();
    Response::Ok().json(&json!({"orders": state.order_log, "runs": runs}))
}

fn order(shared: &Shared, body: &[u8]) -> Response {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return error(StatusCode::BAD_REQUEST, "order");
    };
    let known = match &order.action {
        Action::Role { role } => Role::parse(role).is_some(),
        Action::Load { what, .. } => ["model", "adapter", "version"].contains(&&**what),
        Action::Drain | Action::Resume => true,
    };
    if !known {
        return error(StatusCode::BAD_REQUEST, "action");
    }
    let (verdict, fence) = shared.state.borrow_mut().order(order);
    shared.timer.notify_one();
    match verdict {
        Verdict::Refused => {
            Response::build(StatusCode::CONFLICT).json(&json!({"error": "fence", "fence": fence}))
        }
        Verdict::Applied | Verdict::Repeat => {
            Response::Ok().json(&json!({"result": verdict, "fence": fence}))
        }
    }
}

fn fault(shared: &Shared, body: &[u8]) -> Response {
    let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
        return error(StatusCode::BAD_REQUEST, "fault");
    };
    let mut state = shared.state.borrow_mut();
    if faults.silent == Some(true) {
        state.silent += 1;
    }
    state.faults.update(faults);
    Response::NoContent().finish()
}

fn stream(reader: Reader) -> Response {
    let events = unfold(reader, async |mut reader| {
        let next = reader.next().await?;
        Some((next, reader))
    });
    let events: Pin<Box<_>> = Box::pin(events);
    Response::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .streaming(events)
}

/// Closes the connection of a request that ended without its answer.
fn cut(req: &Request) -> Response {
    if let Some(io) = req.io() {
        io.terminate();
    }
    error(StatusCode::INTERNAL_SERVER_ERROR, "cut")
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn error(status: StatusCode, error: &str) -> Response {
    Response::build(status).json(&json!({"error": error}))
}

fn not_run(status: u16, error: &str) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Response::build(status)
        .header("x-ran", "no")
        .json(&json!({"error": error}))
}
