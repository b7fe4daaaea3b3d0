//! Answers of an engine or of a plain server.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::engine::{
    EVENT_COUNT, EngineState, HANDLE_PREFIX, HEALTH_PATH, HELD_ID_PREFIX, HELD_PREFILL_ID_PREFIX,
    HeldRequest, Pause, Shared, events,
};
use super::http::{Request, response, write};
use super::torn::Framing;
use super::trouble::{PendingCopy, Trouble, note_late_body, refusal, send_again, send_pending};

pub fn serve_engine(
    shared: &Shared,
    id: &str,
    pending: &PendingCopy,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    if request.is_answered {
        note_late_body(shared, request);
        return Some(());
    }
    send_pending(shared, pending, request, stream)?;
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
    if state.has_bad_part(request) {
        state.part_requests.push((Instant::now(), own.clone()));
    }
    let attempt = state.answer_id.take().unwrap_or(own);
    let headers = answer_headers(&state, id, &attempt);
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
        refuse(&mut state);
        return write(stream, 503, &headers, "");
    }
    let is_held = attempt.starts_with(HELD_PREFILL_ID_PREFIX)
        || attempt.starts_with(HELD_ID_PREFIX) && !is_prefill(request);
    if is_held {
        drop(state);
        return hold(shared, attempt, stream);
    }
    match state.next_trouble(request) {
        None => answer(shared, state, id, headers, request, stream),
        Some(Trouble::Full(status)) => {
            refuse(&mut state);
            drop(state);
            stream.write_all(&refusal(status, &headers)).ok()
        }
        Some(Trouble::UnstatedRefusals(status)) => {
            let delay = state.delay;
            drop(state);
            std::thread::sleep(delay);
            write(stream, status, &headers, "")
        }
        Some(Trouble::LateRuns(hold)) => {
            let received = state.requests.pop()?;
            drop(state);
            std::thread::sleep(hold);
            let mut state = shared.0.lock().expect("the engine");
            if state.crashed {
                return None;
            }
            state.requests.push(received);
            answer(shared, state, id, headers, request, stream)
        }
        Some(Trouble::LateCopies {
            refusal: status,
            arrival,
            is_whole,
        }) => {
            let copy = if let Some(status) = status {
                refuse(&mut state);
                drop(state);
                let refused = refusal(status, &headers);
                stream.write_all(&refused).ok()?;
                refused
            } else {
                let copy = success(&state, id, &headers, request);
                answer(shared, state, id, headers, request, stream)?;
                copy
            };
            send_again(arrival, is_whole, copy, pending, stream)
        }
        // Such a request is not served.
        Some(Trouble::EarlyRefusals(_)) => None,
    }
}

/// Returns the headers of each answer to a caller's request.
fn answer_headers(state: &EngineState, id: &str, attempt: &str) -> String {
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
    headers
}

/// Records that the last request is refused.
fn refuse(state: &mut EngineState) {
    let index = state.requests.len() - 1;
    state.refused.insert(index);
}

/// Returns an answer with success in one piece.
fn success(state: &EngineState, id: &str, headers: &str, request: &Request) -> Vec<u8> {
    let text = if is_prefill(request) {
        response(200, headers, &prefill_body(request))
    } else if state.stage.is_none() {
        response(200, headers, &call_body(id, request))
    } else {
        let headers = format!("{headers}content-type: text/event-stream\r\n");
        response(200, &headers, &events(id, 1..=EVENT_COUNT))
    };
    text.into_bytes()
}

fn is_prefill(request: &Request) -> bool {
    request.header("x-chiveway-serving-stage") == Some("prefill")
}

fn prefill_body(request: &Request) -> String {
    let handle = format!("{HANDLE_PREFIX}{}", request.id());
    json!({"kvHandle": handle, "tokenCount": 1, "version": 1}).to_string()
}

/// Returns the body of an answer that is no stream.
fn call_body(id: &str, request: &Request) -> String {
    let body = String::from_utf8_lossy(&request.body);
    format!("{id} {} {body}", request.path)
}

/// Runs a request, or reads its prompt, and answers it.
fn answer(
    shared: &Shared,
    mut state: MutexGuard<'_, EngineState>,
    id: &str,
    headers: String,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let (delay, is_prefill) = (state.delay, is_prefill(request));
    let is_poison = state.poison.as_ref() == Some(&request.body);
    if is_poison && !is_prefill {
        state.crashed = true;
        state.poisoned_at = Some(Instant::now());
    }
    if state.crashed && state.stage.is_none() {
        return None;
    }
    if is_prefill {
        let (framing, is_torn) = (
            state.framing.unwrap_or(Framing::Length),
            state.tears_prefills,
        );
        let begins = state.prefills_from;
        drop(state);
        std::thread::sleep(delay);
        if let Some(begins) = begins {
            std::thread::sleep(begins.saturating_duration_since(Instant::now()));
        }
        let mut body = prefill_body(request);
        if is_torn {
            body.truncate(body.len() / 2);
        }
        return whole(framing, headers, body).write(shared, Duration::ZERO, stream);
    }
    if state.stage.is_none() {
        answer_call(shared, state, id, headers, request, stream)
    } else {
        stream_events(shared, state, id, &headers, request, stream)
    }
}

/// Longest time for which a request is held.
const MAX_HOLD_TIME: Duration = Duration::from_secs(30);

/// Answers nothing to a request until its connection ends.
fn hold(shared: &Shared, id: String, stream: &mut TcpStream) -> Option<()> {
    let arrived = Instant::now();
    stream.set_read_timeout(Some(MAX_HOLD_TIME)).ok()?;
    // A connection that is reset has ended as well.
    let _ended = stream.read(&mut [0]);
    let held = HeldRequest {
        id,
        arrived,
        ended: Instant::now(),
    };
    let mut state = shared.0.lock().expect("the engine");
    state.held_requests.push(held);
    None
}

/// Returns where and for how long the next answer falls silent.
fn next_pause(state: &EngineState) -> Option<(Pause, Duration)> {
    let next = state.pause.lock().expect("the pause").take();
    next.or(state.pause_each)
}

/// Answers a request whose answer is no stream.
fn answer_call(
    shared: &Shared,
    state: MutexGuard<'_, EngineState>,
    id: &str,
    headers: String,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let torn = state.torn.lock().expect("the break").take();
    let pause = next_pause(&state);
    let (framing, delay) = (state.framing, state.delay);
    drop(state);
    let body = call_body(id, request);
    if let Some(torn) = torn {
        return torn.write(&headers, &body, stream);
    }
    std::thread::sleep(delay);
    if framing.is_none() && pause.is_none() {
        return write(stream, 200, &headers, &body);
    }
    let (first, second) = body.split_at(body.floor_char_boundary(body.len() / 2));
    let answer = Answer {
        headers,
        framing: framing.unwrap_or(Framing::Length),
        pieces: vec![first.to_owned(), second.to_owned()],
        is_torn: false,
        pause,
    };
    answer.write(shared, Duration::ZERO, stream)
}

/// Streams the events after the last one that the request names.
fn stream_events(
    shared: &Shared,
    mut state: MutexGuard<'_, EngineState>,
    id: &str,
    headers: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let last_id = request.header("last-event-id");
    let last = last_id.and_then(|last| last.parse().ok()).unwrap_or(0);
    let torn = state.torn.lock().expect("the break").take();
    if let Some(torn) = torn {
        drop(state);
        return torn.write(headers, &events(id, last + 1..=EVENT_COUNT), stream);
    }
    let break_after = if last_id.is_none() {
        state.break_after.take()
    } else {
        None
    };
    let (count, padding) = state.large_stream.unwrap_or((EVENT_COUNT, 0));
    let last = if state.is_empty { count } else { last };
    let padding = padded(padding);
    let pieces = (last + 1..=count).map(|number| padding.clone() + &events(id, number..=number));
    let mut answer = Answer {
        headers: format!("{headers}content-type: text/event-stream\r\n"),
        framing: state.framing.unwrap_or(Framing::Chunks),
        pieces: pieces.collect(),
        is_torn: false,
        pause: next_pause(&state),
    };
    let (delay, begins_on_bad_part) = (state.delay, state.has_bad_part(request));
    drop(state);
    if begins_on_bad_part {
        std::thread::sleep(delay);
        return crash(shared, &answer, stream);
    }
    let broken = break_after.map(|break_after| last.max(break_after) + 1);
    if let Some(number) = broken.filter(|number| *number <= count) {
        answer
            .pieces
            .truncate(usize::try_from(number - last - 1).ok()?);
        answer.pieces.push(format!("id: {number}\nda"));
        answer.is_torn = true;
    }
    answer.write(shared, delay, stream)
}

/// Returns a comment of so many bytes before an event; none for 0.
fn padded(bytes: usize) -> String {
    if bytes == 0 {
        return String::new();
    }
    format!(":{}\n", "x".repeat(bytes))
}

/// Ends the process after the head of an answer, unless it has ended before.
fn crash(shared: &Shared, answer: &Answer, stream: &mut TcpStream) -> Option<()> {
    let mut state = shared.0.lock().expect("the engine");
    if !state.crashed {
        // The caller may be gone.
        let _written = stream.write_all(answer.head().as_bytes());
        state.part_crash = Some(Instant::now());
        state.end();
    }
    drop(state);
    shared.1.notify_all();
    None
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

/// Returns an answer in one piece.
fn whole(framing: Framing, headers: String, body: String) -> Answer {
    Answer {
        headers,
        framing,
        pieces: vec![body],
        is_torn: false,
        pause: None,
    }
}

/// An answer in pieces.
struct Answer {
    headers: String,
    framing: Framing,
    pieces: Vec<String>,
    /// Whether it is broken off after the last piece.
    is_torn: bool,
    pause: Option<(Pause, Duration)>,
}

impl Answer {
    fn head(&self) -> String {
        let length = self.pieces.iter().map(String::len).sum();
        let framing = self.framing.header(length);
        format!("HTTP/1.1 200 x\r\n{}{framing}\r\n", self.headers)
    }

    fn fall_silent(&self, place: Pause) {
        if let Some((_, duration)) = self.pause.filter(|(at, _)| *at == place) {
            std::thread::sleep(duration);
        }
    }

    /// Writes the answer with a delay before each piece; `None` closes the connection.
    fn write(&self, shared: &Shared, delay: Duration, stream: &mut TcpStream) -> Option<()> {
        self.fall_silent(Pause::Head);
        stream.write_all(self.head().as_bytes()).ok()?;
        for (number, piece) in self.pieces.iter().enumerate() {
            if number == self.pieces.len() / 2 {
                self.fall_silent(Pause::Events);
            }
            if shared.0.lock().expect("the engine").crashed {
                return None;
            }
            std::thread::sleep(delay);
            let piece = match self.framing {
                Framing::Chunks => format!("{:x}\r\n{piece}\r\n", piece.len()),
                Framing::Length | Framing::Connection => piece.clone(),
            };
            stream.write_all(piece.as_bytes()).ok()?;
            shared.0.lock().expect("the engine").written += 1;
        }
        if self.is_torn {
            return None;
        }
        self.fall_silent(Pause::End);
        let state = shared.0.lock().expect("the engine");
        let waits = |state: &mut EngineState| state.held && !state.crashed;
        let state = shared.1.wait_while(state, waits).expect("the engine");
        if state.crashed {
            return None;
        }
        drop(state);
        match self.framing {
            Framing::Length => Some(()),
            Framing::Chunks => stream.write_all(b"0\r\n\r\n").ok(),
            Framing::Connection => None,
        }
    }
}
