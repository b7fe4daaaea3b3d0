//! The life of a request: taken in, admitted, attempted, answered or refused.

mod arrive;
mod attempt;
mod end;
mod failure;

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

/// Part of the requests that our own repeats may add.
const RETRY_FRACTION: f64 = 0.1;
/// Repeats that may be saved up: enough for every stream of a few engines that die at once.
const MAX_RETRY_BUDGET: f64 = 64.0;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A part of its plan's share.
    Share,
    /// The record that it starts.
    Starting,
    /// What other hosts know of the engine that was lost.
    Pause,
    /// A back end.
    Running,
    /// The record of its end.
    Saving,
}

/// A request being served.
#[derive(Debug)]
pub struct Request {
    /// What the caller wants.
    pub want: RequestSpec,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// Fingerprint of target and body.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Time,
    /// When the last token was passed on.
    pub last_token: Option<Time>,
    /// Tokens passed on to the caller.
    pub delivered: u64,
    /// What it waits for.
    pub phase: Phase,
    /// The attempt in hand.
    pub attempt: Option<AttemptKey>,
    /// Whether it may run more than once.
    pub retryable: bool,
    /// What it took of its plan's share.
    pub taken: share::Cost,
    /// What became of it so far.
    pub record: Record,
    /// Back ends that failed it.
    pub avoid: Vec<BackendKey>,
    /// Answer of a call that may not repeat, while its record is on its way.
    pub result: Option<StoredResponse>,
    /// Whether the caller has closed its connection.
    pub caller_left: bool,
    /// Whether the piece with the finish reason was passed on.
    finished: bool,
    progress: Progress,
    /// How the last attempt was lost, while the same engine is asked to go on with it.
    last_break: Option<AttemptFailure>,
    tries: u8,
    resumes: u8,
    class: Box<str>,
}

/// What the engine in hand has brought of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Tokens,
}

/// Why an attempt brings nothing at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    /// The engine has nothing yet, or its connection is lost.
    Open,
    /// The caller does not take what came; nothing is read from the engine.
    Paused,
}

/// One attempt at one back end.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// The back end.
    pub backend: BackendKey,
    /// Engine that prefills for the back end, until it is done.
    prefill: Option<BackendKey>,
    /// When it was sent.
    sent: Time,
    /// When it brought the first token.
    first_token: Time,
    /// Prompt tokens that the engine had then, by this host's reckoning, its own among them.
    backlog: u64,
    /// Name at the back end.
    label: Box<str>,
    /// When it was sent, or last brought something.
    last_progress: Time,
    /// Whether anything of the answer arrived.
    has_tokens: bool,
    flow: Flow,
    /// Tokens counted into the back end's backlog.
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
    /// Repeats that may be made now.
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
    /// Returns whether one more repeat may be made, and counts it.
    fn take_retry(&mut self) -> bool {
        let may = self.retry_budget >= 1.0;
        if may {
            self.retry_budget -= 1.0;
        }
        may
    }
}

/// Takes in one event about a request.
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

/// Takes in the end of a wait.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    match timer {
        Timer::Request(key) => arrive::wait_ended(core, key, out),
        Timer::Silence(attempt) => failure::check_silence(core, attempt, out),
        _ => {}
    }
}

/// Adds a decision to a request's record.
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
    /// Returns whether a back end ran the request, by what its attempts brought.
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

    /// Returns whether the engine in hand has brought tokens.
    #[must_use]
    pub fn answering(&self) -> bool {
        self.progress == Progress::Tokens
    }

    /// Returns the model that the caller wants.
    #[must_use]
    pub fn model(&self) -> Option<&ModelRequest> {
        match &self.want {
            RequestSpec::Model(want) => Some(want),
            RequestSpec::Service(_) => None,
        }
    }

    /// Returns the service call that the caller wants.
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
