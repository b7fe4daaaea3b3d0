//! Answers of an engine or of a plain server.

use std::fmt::Write as _;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use serde_json::{Value, json};

use super::engine::{EVENT_COUNT, EngineState, HEALTH_PATH, events};
use super::http::{Request, write};

pub fn serve_engine(
    shared: &Arc<(Mutex<EngineState>, Condvar)>,
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let mut state = shared.0.lock().expect("the engine");
    if state.crashed {
        return None;
    }
    if request
        .header("x-chiveway-expect-instance")
        .is_some_and(|instance| instance != id)
    {
        drop(state);
        return write(stream, 421, "", "");
    }
    if request.method == "GET" && request.path == HEALTH_PATH {
        drop(state);
        return write(stream, 200, "", "");
    }
    let delay = state.delay;
    let received = (
        request.path.clone(),
        request.head.clone(),
        request.body.clone(),
    );
    state.requests.push(received);
    let own = request
        .header("x-chiveway-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let attempt = state.answer_id.take().unwrap_or(own);
    let mut headers = format!(
        "x-chiveway-attempt-id: {attempt}\r\nx-chiveway-server-stamp: {id}\r\nkeep-alive: timeout=5\r\n"
    );
    if let Some(rate) = &state.limit {
        // Writing to a string does not fail.
        let _ = write!(headers, "server-limit: {rate}\r\n");
    }
    if state.leaving {
        headers.push_str("server-leaving: 1\r\n");
    }
    match request.path.as_str() {
        "/v1/report" => {
            let body = json!({"stage": state.stage, "busy": false, "sequence": state.orders});
            return write(stream, 200, "", &body.to_string());
        }
        "/v1/order" => return write(stream, apply_order(&mut state, &request.body)?, "", "{}"),
        _ => {}
    }
    if let Some(pushback) = &state.pushback {
        let headers = format!("{headers}x-chiveway-not-executed: 1\r\nretry-after: {pushback}\r\n");
        return write(stream, 503, &headers, "");
    }
    let is_prefill = request.header("x-chiveway-serving-stage") == Some("prefill");
    let is_poison = state.poison.as_ref() == Some(&request.body);
    if is_poison && !is_prefill {
        state.crashed = true;
        state.poisoned_at = Some(Instant::now());
    }
    if state.crashed && state.stage.is_none() {
        return None;
    }
    let torn = if is_prefill {
        None
    } else {
        state.torn.lock().expect("the break").take()
    };
    let last = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    if let (Some(torn), Some(_)) = (torn, &state.stage) {
        drop(state);
        return torn.write(&headers, &events(id, last + 1..=EVENT_COUNT), stream);
    }
    if state.stage.is_none() {
        let body = String::from_utf8_lossy(&request.body);
        let body = format!("{id} {} {body}", request.path);
        drop(state);
        if let Some(torn) = torn {
            return torn.write(&headers, &body, stream);
        }
        std::thread::sleep(delay);
        return write(stream, 200, &headers, &body);
    }
    if is_prefill {
        drop(state);
        std::thread::sleep(delay);
        let body = json!({"kvHandle": "h1", "tokenCount": 1, "version": 1}).to_string();
        return write(stream, 200, &headers, &body);
    }
    let is_new = request.header("last-event-id").is_none();
    let break_after = if is_new {
        state.break_after.take()
    } else {
        None
    };
    let last = if state.is_empty { EVENT_COUNT } else { last };
    drop(state);
    stream_events(shared, id, &headers, break_after, last, stream)
}

/// Applies an order; returns the status code.
fn apply_order(state: &mut EngineState, body: &[u8]) -> Option<u16> {
    let order: Value = serde_json::from_slice(body).ok()?;
    let fence = order["fencingToken"].as_u64()?;
    if fence < state.fence {
        return Some(412);
    }
    state.fence = fence;
    if order["expectedRevision"]
        .as_u64()
        .is_some_and(|orders| orders != state.orders)
    {
        return Some(409);
    }
    state.orders += 1;
    state.stage = order["stage"].as_str().map(ToOwned::to_owned);
    Some(202)
}

/// Streams the events after `last`; breaks off in the middle of the one after `break_after`.
fn stream_events(
    shared: &Arc<(Mutex<EngineState>, Condvar)>,
    id: &str,
    headers: &str,
    break_after: Option<u64>,
    last: u64,
    stream: &mut TcpStream,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut chunk = |text: &str| {
        let text = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(text.as_bytes()).ok()
    };
    for number in last + 1..=EVENT_COUNT {
        if break_after.is_some_and(|break_after| number > break_after) {
            chunk(&format!("id: {number}\nda"))?;
            return None;
        }
        let state = shared.0.lock().expect("the engine");
        let (crashed, delay) = (state.crashed, state.delay);
        drop(state);
        if crashed {
            return None;
        }
        std::thread::sleep(delay);
        chunk(&events(id, number..=number))?;
    }
    let state = shared.0.lock().expect("the engine");
    let waited = shared.1.wait_while(state, |state| state.held);
    drop(waited.expect("the engine"));
    chunk("")
}
