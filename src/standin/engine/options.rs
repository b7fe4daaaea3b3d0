//! Start options of a stand-in engine, and the faults that can be set while it runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cache::CacheOptions;

/// Phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode.
    Both,
    /// Prefill only; the prompts are exported.
    Prefill,
    /// Decode only, of imported prompts.
    Decode,
}

impl Role {
    /// Returns the role's name in the protocol.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Returns the role of that name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Both, Self::Prefill, Self::Decode]
            .into_iter()
            .find(|role| role.name() == name)
    }
}

/// Model of the time that work takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Timing {
    /// Work takes no time.
    Instant,
    /// Work is done in steps of a batch, at these costs.
    Steps(StepCosts),
}

/// Costs of one step of a batch, and of an import.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepCosts {
    /// Fixed time of each step.
    pub base: Duration,
    /// Time per prompt token prefilled in the step.
    pub prefill: Duration,
    /// Time per running answer, which gains one token in the step.
    pub decode: Duration,
    /// Time per imported prompt token, before the request joins the queue.
    pub import: Duration,
    /// Speed factor; divides all times.
    pub speed: f64,
}

/// How an engine handles orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses them.
    Checks,
    /// It executes every order.
    Ignores,
}

/// What an answer depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// Model and prompt.
    Same,
    /// Model, prompt and the engine's name.
    Diverge,
}

/// Effect of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// Ends the process with code 1.
    Exit,
    /// Closes all connections, drops the engine's state, and listens again after this time.
    Restart(Duration),
}

/// Start options of a stand-in engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, returned as `owned_by` and part of handles and of generated attempt ids.
    pub name: Box<str>,
    /// Model loaded at the start.
    pub model: Box<str>,
    /// Role at the start.
    pub role: Role,
    /// Model of the time that work takes.
    pub timing: Timing,
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Maximum number of waiting requests; further ones get 503.
    pub max_queue: usize,
    /// Prefix cache.
    pub cache: CacheOptions,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Duration of a change of role, model, adapter or version.
    pub change_duration: Duration,
    /// Time that an attempt runs on without a reader.
    pub reader_grace: Duration,
    /// Time that an ended attempt can still be resumed.
    pub retention: Duration,
    /// Handling of orders with old fencing numbers.
    pub fencing: Fencing,
    /// What answers depend on.
    pub answers: Answers,
    /// Effect of a crash.
    pub crash: Crash,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            model: "model".into(),
            role: Role::Both,
            timing: Timing::Instant,
            slots: 32,
            max_queue: 10_000,
            cache: CacheOptions::default(),
            load_lag: Duration::ZERO,
            change_duration: Duration::from_secs(2),
            reader_grace: Duration::from_millis(500),
            retention: Duration::from_mins(1),
            fencing: Fencing::Checks,
            answers: Answers::Same,
            crash: Crash::Restart(Duration::from_millis(500)),
        }
    }
}

/// Faults, set by `POST /fault` with any subset of the fields.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Faults {
    /// The engine crashes when a prompt that contains this text joins the batch; empty for none.
    pub crash_on: Option<Box<str>>,
    /// The engine crashes halfway through its next change.
    pub crash_mid_change: Option<bool>,
    /// The connections that are open now stay open but carry no more answers.
    pub silent: Option<bool>,
    /// Speed factor, in place of [`StepCosts::speed`].
    pub speed: Option<f64>,
    /// New work is refused with 503.
    pub refuse: Option<bool>,
    /// Status with which new work is answered, without a statement whether it ran; 0 for none.
    pub unstated: Option<u16>,
    /// The next stream that has sent this many tokens is closed, once; 0 for none.
    pub drop_after: Option<u64>,
    /// Every chunk is sent twice.
    pub repeat_chunk: Option<bool>,
    /// Chunks are sent in pairs, the later one first.
    pub reorder_chunks: Option<bool>,
    /// Each stream begins with a chunk of another attempt.
    pub wrong_attempt: Option<bool>,
}

impl Faults {
    pub fn update(&mut self, new: Self) {
        self.crash_on = new.crash_on.or(self.crash_on.take());
        self.crash_mid_change = new.crash_mid_change.or(self.crash_mid_change);
        self.silent = new.silent.or(self.silent);
        self.speed = new.speed.or(self.speed);
        self.refuse = new.refuse.or(self.refuse);
        self.unstated = new.unstated.or(self.unstated);
        self.drop_after = new.drop_after.or(self.drop_after);
        self.repeat_chunk = new.repeat_chunk.or(self.repeat_chunk);
        self.reorder_chunks = new.reorder_chunks.or(self.reorder_chunks);
        self.wrong_attempt = new.wrong_attempt.or(self.wrong_attempt);
    }

    /// Returns whether a prompt crashes the engine.
    pub fn crashes_on(&self, prompt: &str) -> bool {
        let text = self.crash_on.as_deref().unwrap_or("");
        !text.is_empty() && prompt.contains(text)
    }
}
