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

use super::super::name_call;
use super::Shared;
use super::batch::AttemptKey;
use super::options::{Faults, Role};
use super::orders::{Order, OrderResult};
use super::reader::Reader;
use super::state::{Connection, Job, JobKind, Refusal};
use super::wire::{self, AnswerFormat, KvTransfer, RequestBody};
use crate::backend::{Action, Call};
use crate::web;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Paths for tests, which are answered on silenced connections too.
const TEST_PATHS: [&str; 3] = ["/fault", "/log", "/stats"];

/// Handles one request.
pub(super) async fn handle(shared: Rc<Shared>, mut req: Request) -> Response {
    if is_silent(&shared, &req) && !TEST_PATHS.contains(&req.path()) {
        return std::future::pending().await;
    }
    let body = match web::read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    let mut response = match (req.method(), req.path()) {
        (&Method::POST, "/v1/completions") => {
            handle_completion(&shared, &req, &body, AnswerFormat::Text).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            handle_completion(&shared, &req, &body, AnswerFormat::Chat).await
        }
        (&Method::POST, "/v1/prefill") => handle_prefill(&shared, &req, &body).await,
        (&Method::GET, "/v1/models") => models(&shared),
        (&Method::GET, "/load") => Response::Ok().json(&shared.state.borrow_mut().visible_load()),
        (&Method::GET, "/events") => cache_events(&shared, &req),
        (&Method::GET, "/log") => logs(&shared),
        (&Method::GET, "/stats") => Response::Ok().json(&shared.state.borrow().stats),
        (&Method::POST, "/order") => handle_order(&shared, &body),
        (&Method::POST, "/fault") => set_faults(&shared, &body),
        (&Method::GET, path) if path.starts_with("/kv/") => export_prompt(&shared, path),
        _ => error_response(StatusCode::NOT_FOUND, "path"),
    };
    name_call(&req, &mut response);
    response
}

/// Registers the connection of a request; returns whether the fault `silent` has silenced it.
fn is_silent(shared: &Shared, req: &Request) -> bool {
    let Some(io) = req.io() else {
        return false;
    };
    let id = io.id();
    let mut state = shared.state.borrow_mut();
    let epoch = state.silence_epoch;
    let connections = &mut state.connections;
    if !connections.contains_key(&id) {
        connections.retain(|_, conn| !conn.io.is_closed());
        let io = io.clone();
        connections.insert(id, Connection { io, epoch });
        state.stats.connections += 1;
    }
    state.connections[&id].epoch < epoch
}

async fn handle_completion(
    shared: &Rc<Shared>,
    req: &Request,
    body: &[u8],
    format: AnswerFormat,
) -> Response {
    let resume_offset = header(req, "last-event-id").map(str::parse);
    if let (Some(attempt_id), Some(offset)) = (header(req, "x-attempt-id"), resume_offset) {
        let key = shared.state.borrow().attempt_keys.get(attempt_id).copied();
        let reader = key.and_then(|key| Reader::new(shared, key, format, offset.ok()));
        return match reader {
            Some(reader) => stream_response(reader),
            None => error_response(StatusCode::NOT_FOUND, "attempt"),
        };
    }
    let streamed = match serde_json::from_slice::<RequestBody>(body) {
        Ok(body) => body.stream,
        Err(_) => false,
    };
    let key = match admit_request(shared, req, body, JobKind::Full).await {
        Ok(key) => key,
        Err(response) => return response,
    };
    let Some(mut reader) = Reader::new(shared, key, format, None) else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "attempt");
    };
    if streamed {
        return stream_response(reader);
    }
    match reader.read_to_end().await {
        Ok((text, usage)) => {
            let state = shared.state.borrow();
            let attempt_id = state.batch.attempts.get(key).map(|attempt| &*attempt.id);
            let attempt_id = attempt_id.unwrap_or_default();
            Response::Ok().json(&wire::completion_json(
                format,
                attempt_id,
                &state.model,
                &text,
                usage,
            ))
        }
        Err(_cut) => close_connection(req),
    }
}

async fn handle_prefill(shared: &Rc<Shared>, req: &Request, body: &[u8]) -> Response {
    let key = match admit_request(shared, req, body, JobKind::Prefill).await {
        Ok(key) => key,
        Err(response) => return response,
    };
    let Some(mut reader) = Reader::new(shared, key, AnswerFormat::Text, None) else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "attempt");
    };
    let Ok((_, usage)) = reader.read_to_end().await else {
        return close_connection(req);
    };
    let mut state = shared.state.borrow_mut();
    let Some(attempt) = state.batch.attempts.get(key) else {
        return close_connection(req);
    };
    let hash = attempt.prompt_hash.clone();
    let handle: Box<str> = format!("kv-{}-{}", state.opts.name, attempt.id).into();
    state
        .kv_handles
        .insert(handle.clone(), (hash, usage.prompt));
    Response::Ok().json(&json!({"kv": handle, "prompt_tokens": usage.prompt}))
}

/// Parses, validates and queues a request for work, or returns the answer that refuses it.
async fn admit_request(
    shared: &Rc<Shared>,
    req: &Request,
    body: &[u8],
    kind: JobKind,
) -> Result<AttemptKey, Response> {
    let parsed = serde_json::from_slice::<RequestBody>(body);
    let Ok(body) = parsed else {
        return Err(not_run_response(400, "body"));
    };
    let Some(prompt) = body.prompt() else {
        return Err(not_run_response(400, "prompt"));
    };
    let kind = match (&body.kv_transfer, kind) {
        (Some(_), JobKind::Full) => JobKind::Imported,
        _ => kind,
    };
    let attempt_id = validate(shared, req, &body, kind)?;
    if let Some(transfer) = &body.kv_transfer {
        import_prompt(shared, transfer, &prompt).await?;
    }
    let job = Job {
        id: attempt_id.as_str().into(),
        request: header(req, "x-request-id").unwrap_or_default().into(),
        prompt,
        max_tokens: match kind {
            JobKind::Prefill => 0,
            JobKind::Full | JobKind::Imported => body.max_tokens(),
        },
        priority: header(req, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(body.priority),
        continuation: body.continue_from,
        kind,
    };
    let admitted = shared.state.borrow_mut().admit(job);
    let key = admitted.map_err(|Refusal { status, error }| not_run_response(status, error))?;
    shared.work_added.notify_one();
    Ok(key)
}

/// Checks what can be checked before a prompt is imported; returns the attempt's id.
fn validate(
    shared: &Shared,
    req: &Request,
    body: &RequestBody,
    kind: JobKind,
) -> Result<String, Response> {
    let mut state = shared.state.borrow_mut();
    let unstated = state.faults.unstated.unwrap_or(0);
    if let Ok(status) = StatusCode::from_u16(unstated) {
        return Err(error_response(status, "unstated"));
    }
    if body.model.as_ref().is_some_and(|name| *name != state.model) {
        return Err(not_run_response(404, "model"));
    }
    if let Some(Refusal { status, error }) = state.refusal(kind) {
        state.stats.refused += 1;
        return Err(not_run_response(status, error));
    }
    match header(req, "x-attempt-id") {
        // The attempt exists already: a second start would run the request twice.
        Some(id) if state.attempt_keys.contains_key(id) => {
            Err(error_response(StatusCode::CONFLICT, "attempt"))
        }
        Some(id) => Ok(id.into()),
        None => Ok(format!("{}-{}", state.opts.name, state.attempt_log.len())),
    }
}

/// Imports a prompt's KV cache from the engine that prefilled it.
async fn import_prompt(
    shared: &Shared,
    transfer: &KvTransfer,
    prompt: &str,
) -> Result<(), Response> {
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
    let exported = answer
        .ok()
        .filter(|answer| answer.status == 200)
        .and_then(|answer| serde_json::from_slice::<Exported>(&answer.body).ok())
        .filter(|exported| {
            *exported.prompt_hash == *blake3::hash(prompt.as_bytes()).to_hex().as_str()
        });
    let Some(exported) = exported else {
        return Err(not_run_response(424, "kv"));
    };
    let time = shared.state.borrow().import_time(exported.prompt_tokens);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    shared.state.borrow_mut().stats.imports += 1;
    Ok(())
}

fn export_prompt(shared: &Shared, path: &str) -> Response {
    let handle = path.trim_start_matches("/kv/");
    match shared.state.borrow().kv_handles.get(handle) {
        Some((hash, tokens)) => {
            Response::Ok().json(&json!({"prompt_hash": hash, "prompt_tokens": tokens}))
        }
        None => error_response(StatusCode::NOT_FOUND, "kv"),
    }
}

fn models(shared: &Shared) -> Response {
    let state = shared.state.borrow();
    let model = json!({"id": state.model, "object": "model", "owned_by": state.opts.name,
        "adapter": state.adapter, "version": state.version});
    Response::Ok().json(&json!({"object": "list", "data": [model]}))
}

fn cache_events(shared: &Shared, req: &Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let after = query.strip_prefix("after=").map_or(Ok(0), str::parse);
    match after {
        Ok(after) => {
            let state = shared.state.borrow();
            Response::Ok().json(&state.cache.events(after, Instant::now()))
        }
        Err(_) => error_response(StatusCode::BAD_REQUEST, "after"),
    }
}

fn logs(shared: &Shared) -> Response {
    let state = shared.state.borrow();
    let runs: Vec<Value> = state
        .attempt_log
        .iter()
        .map(|entry| {
            let mut entry = json!(entry);
            if entry["end"].is_null() {
                entry["end"] = "running".into();
            }
            entry
        })
        .collect();
    Response::Ok().json(&json!({"orders": state.order_log, "runs": runs}))
}

fn handle_order(shared: &Shared, body: &[u8]) -> Response {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return error_response(StatusCode::BAD_REQUEST, "order");
    };
    let is_known = match &order.action {
        Action::Role { role } => Role::parse(role).is_some(),
        Action::Load { what, .. } => ["model", "adapter", "version"].contains(&&**what),
        Action::Drain | Action::Resume => true,
    };
    if !is_known {
        return error_response(StatusCode::BAD_REQUEST, "action");
    }
    let (result, fence) = shared.state.borrow_mut().handle_order(order);
    shared.timer_set.notify_one();
    match result {
        OrderResult::Refused => {
            Response::build(StatusCode::CONFLICT).json(&json!({"error": "fence", "fence": fence}))
        }
        OrderResult::Applied | OrderResult::Repeat => {
            Response::Ok().json(&json!({"result": result, "fence": fence}))
        }
    }
}

fn set_faults(shared: &Shared, body: &[u8]) -> Response {
    let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
        return error_response(StatusCode::BAD_REQUEST, "fault");
    };
    let mut state = shared.state.borrow_mut();
    if faults.silent == Some(true) {
        state.silence_epoch += 1;
    }
    state.faults.update(faults);
    Response::NoContent().finish()
}

fn stream_response(reader: Reader) -> Response {
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

/// Closes the connection of a request whose attempt ended early.
fn close_connection(req: &Request) -> Response {
    if let Some(io) = req.io() {
        io.terminate();
    }
    error_response(StatusCode::INTERNAL_SERVER_ERROR, "cut")
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn error_response(status: StatusCode, error: &str) -> Response {
    Response::build(status).json(&json!({"error": error}))
}

fn not_run_response(status: u16, error: &str) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Response::build(status)
        .header("x-ran", "no")
        .json(&json!({"error": error}))
}
