//! Lifecycle of a request: arrival, admission, attempts, answer or refusal.

mod arrive;
mod attempt;
mod end;
mod failure;
mod standby;

use std::time::Duration;

use slotmap::SlotMap;

use super::event::{
    AttemptFailure, Fingerprint, ModelRequest, RequestEvent, RequestSpec, ServiceRequest,
    StoredResponse, Timer,
};
use super::key::{AttemptKey, BackendKey, RequestKey};
use super::trace::{Note, Record};
use super::{Core, Effects, Time, share};
use crate::error::Ran;

pub use arrive::{refuse_spent, share_granted};
pub use attempt::dispatch;
pub use end::{refuse, reply};

/// Fraction of the requests that retries of this host may add; each arrival adds it to the budget.
const RETRY_FRACTION: f64 = 0.1;
/// Maximum retry budget: enough for every stream of a few engines that crash at the same time.
const MAX_RETRY_BUDGET: f64 = 64.0;

/// Phase of a request: what it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its part of the plan's share.
    Share,
    /// The record of its start.
    Starting,
    /// The delay before a retry, during which reports of other hosts on the failure may arrive.
    Pause,
    /// A backend server.
    Running,
    /// The record of its end.
    Saving,
}

/// A request being served.
#[derive(Debug)]
pub struct Request {
    /// Model or service that the caller requests.
    pub want: RequestSpec,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// Fingerprint of target and body.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Time,
    /// When the last token was forwarded.
    pub last_token: Option<Time>,
    /// Tokens forwarded to the caller.
    pub delivered: u64,
    /// Current phase.
    pub phase: Phase,
    /// Current attempt.
    pub attempt: Option<AttemptKey>,
    /// The silent attempt that may still go on in place of the current one.
    standby: Option<AttemptKey>,
    /// Whether it may run more than once.
    pub retryable: bool,
    /// What it took of its plan's share.
    pub taken: share::Cost,
    /// Trace record so far.
    pub record: Record,
    /// Backend servers that failed it.
    pub avoid: Vec<BackendKey>,
    /// Response of a call that is not retryable, while its record is pending.
    pub result: Option<StoredResponse>,
    /// Whether the caller has closed its connection.
    pub caller_left: bool,
    /// Whether the event with the finish reason was forwarded.
    finished: bool,
    progress: Progress,
    /// How the last attempt ended, while it is being resumed at the same engine.
    last_break: Option<AttemptFailure>,
    tries: u8,
    resumes: u8,
    class: Box<str>,
}

/// What the current engine has sent of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Tokens,
}

/// Why an attempt delivers no data at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    /// The engine has sent nothing, or its connection is lost.
    Open,
    /// The caller does not read, so nothing is read from the engine.
    Paused,
}

/// One attempt at one backend server.
#[derive(Debug)]
pub struct Attempt {
    /// Request.
    pub request: RequestKey,
    /// Backend server.
    pub backend: BackendKey,
    /// Engine that does the prefill for `backend`, until the prefill is done.
    prefill: Option<BackendKey>,
    /// When it was sent.
    sent: Time,
    /// When the first token arrived; `sent` until then.
    first_token: Time,
    /// Prompt tokens queued at the engine when it was sent, its own included; estimated by this
    /// host.
    backlog: u64,
    /// Name of the attempt at the backend server.
    label: Box<str>,
    /// When it was sent, or when data last arrived.
    last_progress: Time,
    /// Whether tokens of the answer have arrived.
    has_tokens: bool,
    flow: Flow,
    /// Whether it was silent and is waited for, since nothing else took its request.
    has_waited: bool,
    /// Its place among the attempts of the trace record.
    place: usize,
    /// Prompt and output tokens counted into the backlog of the backend server.
    prompt: u64,
    output: u64,
}

/// All requests being served.
#[derive(Debug)]
pub struct Requests {
    /// Requests.
    pub arena: SlotMap<RequestKey, Request>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Retries that are allowed now.
    retry_budget: f64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            arena: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            retry_budget: MAX_RETRY_BUDGET,
        }
    }
}

impl Requests {
    /// Returns whether another retry is allowed, and takes it from the budget.
    fn take_retry(&mut self) -> bool {
        let allowed = self.retry_budget >= 1.0;
        if allowed {
            self.retry_budget -= 1.0;
        }
        allowed
    }
}

/// Handles an event of a request.
pub fn step(core: &mut Core, event: RequestEvent, out: &mut Effects) {
    match event {
        RequestEvent::Arrived(arrival) => arrive::arrived(core, *arrival, out),
        RequestEvent::CallerLeft(request) => end::caller_left(core, request, out),
        RequestEvent::Began(attempt) => attempt::began(core, attempt),
        RequestEvent::DeliveryBlocked(attempt) => attempt::delivery_blocked(core, attempt),
        RequestEvent::StreamEvent {
            attempt,
            offset,
            tokens,
        } => attempt::stream_event(core, attempt, offset, tokens, out),
        RequestEvent::StreamCompleted(attempt) => attempt::stream_completed(core, attempt, out),
        RequestEvent::Answered { attempt, result } => attempt::answered(core, attempt, result, out),
        RequestEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail,
        } => failure::attempt_failed(core, attempt, ran, end, &detail, out),
    }
}

/// Handles an expired timer of a request or an attempt.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    match timer {
        Timer::Request(key) => arrive::wait_ended(core, key, out),
        Timer::Silence(attempt) => failure::check_silence(core, attempt, out),
        _ => {}
    }
}

/// Adds a note on a decision to the trace record of a request.
pub fn note(core: &mut Core, key: RequestKey, text: impl Into<Box<str>>) {
    let wall = core.wall_ms();
    if let Some(request) = core.requests.arena.get_mut(key) {
        let at = wall.saturating_sub(request.record.arrived);
        request.record.notes.push(Note {
            at,
            text: text.into(),
        });
    }
}

impl Request {
    /// Returns whether a backend server ran the request, by the results of its attempts.
    #[must_use]
    pub fn ran(&self) -> Ran {
        if self.delivered > 0 {
            return Ran::Yes;
        }
        let all_refused = self
            .record
            .attempts
            .iter()
            .all(|attempt| attempt.ran == Some(Ran::No));
        if all_refused { Ran::No } else { Ran::Unknown }
    }

    /// Returns whether the current engine has sent tokens.
    #[must_use]
    pub fn answering(&self) -> bool {
        self.progress == Progress::Tokens
    }

    /// Returns the completion that the caller requests, if it is one.
    #[must_use]
    pub fn model(&self) -> Option<&ModelRequest> {
        match &self.want {
            RequestSpec::Model(want) => Some(want),
            RequestSpec::Service(_) => None,
        }
    }

    /// Returns the service call that the caller requests, if it is one.
    #[must_use]
    pub fn service(&self) -> Option<&ServiceRequest> {
        match &self.want {
            RequestSpec::Model(_) => None,
            RequestSpec::Service(want) => Some(want),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
