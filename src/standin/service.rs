//! Stand-in for a plain service that counts each call.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::name_call;
use crate::web;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that carries the idempotency key of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Start options of a stand-in service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, returned in each answer.
    pub name: Box<str>,
}

/// Faults, set by `POST /fault` with any subset of the fields.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Delay of each answer, in milliseconds.
    slow_ms: Option<u64>,
    /// Number of next calls that are answered with 503 and not counted.
    fail_next: Option<u64>,
    /// Number of next calls that are counted and whose connection is closed without an answer.
    lose_answers: Option<u64>,
    /// Whether calls are counted and answered with a redirect to the same path.
    redirect: Option<bool>,
    /// Status with which calls are counted and answered, without a statement whether they ran; 0 for none.
    unstated: Option<u16>,
}

impl Faults {
    fn update(&mut self, new: &Self) {
        self.slow_ms = new.slow_ms.or(self.slow_ms);
        self.fail_next = new.fail_next.or(self.fail_next);
        self.lose_answers = new.lose_answers.or(self.lose_answers);
        self.redirect = new.redirect.or(self.redirect);
        self.unstated = new.unstated.or(self.unstated);
    }
}

/// How one call is answered under the current faults.
enum Outcome {
    Answer,
    Fail,
    LoseAnswer,
    Redirect,
    Unstated(StatusCode),
}

struct State {
    name: Box<str>,
    faults: Faults,
    /// Calls by method, path and idempotency key, separated by spaces; a missing key is `-`.
    counts: BTreeMap<Box<str>, u64>,
}

impl State {
    fn next_outcome(&mut self) -> Outcome {
        let unstated = self.faults.unstated.unwrap_or(0);
        if let Ok(status) = StatusCode::from_u16(unstated) {
            Outcome::Unstated(status)
        } else if consume_one(&mut self.faults.fail_next) {
            Outcome::Fail
        } else if consume_one(&mut self.faults.lose_answers) {
            Outcome::LoseAnswer
        } else if self.faults.redirect == Some(true) {
            Outcome::Redirect
        } else {
            Outcome::Answer
        }
    }
}

/// Decrements the number of calls that a fault still applies to; returns whether one was left.
fn consume_one(remaining: &mut Option<u64>) -> bool {
    match remaining {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}

/// Serves until the future is dropped; must run inside an ntex system.
///
/// `GET /counts` returns the number of calls by `METHOD PATH KEY`, and `POST /fault` sets faults.
/// Every other request is counted and answered with an echo.
pub async fn run(listener: TcpListener, opts: Options) {
    let state = Rc::new(RefCell::new(State {
        name: opts.name,
        faults: Faults::default(),
        counts: BTreeMap::new(),
    }));
    let (_stop, stopped) = watch::channel(false);
    web::serve(listener, web::CONNECTION_GRACE, stopped, move |req| {
        handle(Rc::clone(&state), req)
    })
    .await;
}

async fn handle(state: Rc<RefCell<State>>, mut req: Request) -> Response {
    let body = match web::read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    let mut response = match (req.method(), req.path()) {
        (&Method::GET, "/counts") => Response::Ok().json(&state.borrow().counts),
        (&Method::POST, "/fault") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                state.borrow_mut().faults.update(&faults);
                Response::NoContent().finish()
            }
            Err(err) => Response::BadRequest().json(&json!({"error": err.to_string()})),
        },
        _ => handle_call(&state, &req, &body).await,
    };
    name_call(&req, &mut response);
    response
}

async fn handle_call(state: &RefCell<State>, req: &Request, body: &[u8]) -> Response {
    let (method, path) = (req.method().as_str(), req.path());
    let key = req
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|v| v.to_str().ok());
    let (outcome, delay) = {
        let mut state = state.borrow_mut();
        let delay_ms = state.faults.slow_ms.unwrap_or(0);
        (state.next_outcome(), Duration::from_millis(delay_ms))
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if matches!(outcome, Outcome::Fail) {
        return Response::build(StatusCode::SERVICE_UNAVAILABLE)
            .header("x-ran", "no")
            .json(&json!({"error": "unavailable"}));
    }
    let count = {
        let mut state = state.borrow_mut();
        let name = format!("{method} {path} {}", key.unwrap_or("-"));
        let count = state.counts.entry(name.into()).or_default();
        *count += 1;
        *count
    };
    match outcome {
        Outcome::LoseAnswer => {
            if let Some(io) = req.io() {
                io.terminate();
            }
            Response::InternalServerError().finish()
        }
        Outcome::Unstated(status) => Response::build(status).json(&json!({"error": "unstated"})),
        Outcome::Redirect => Response::build(StatusCode::TEMPORARY_REDIRECT)
            .header("location", path)
            .finish(),
        Outcome::Answer | Outcome::Fail => Response::Ok().json(&json!({
            "service": state.borrow().name, "method": method, "path": path, "key": key,
            "count": count, "body_hash": blake3::hash(body).to_hex().as_str(),
        })),
    }
}
