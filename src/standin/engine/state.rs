//! State of an engine: attempts, orders, changes, load reports and timers.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ntex::io::IoRef;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::answer::{block_hashes, expected, prompt_tokens, seed};
use super::batch::{Attempt, AttemptKey, Batch, EndReason, NextStep, Stats, Step};
use super::cache::PrefixCache;
use super::options::{Answers, Faults, Options, Role, Timing};
use super::orders::{Order, OrderLogEntry, OrderResult, Orders};
use super::wire::Continuation;
use crate::backend::{Action, EngineLoad};

/// Maximum number of entries of each log; later attempts and orders are not logged.
const MAX_LOG_ENTRIES: usize = 200_000;

/// Entry of the log of attempts.
#[derive(Debug, Clone, Serialize)]
pub(super) struct AttemptLogEntry {
    pub at_ms: u64,
    pub attempt: Box<str>,
    pub request: Box<str>,
    pub prompt_hash: Box<str>,
    pub offset: u64,
    pub tokens: u64,
    pub end: Option<EndReason>,
}

/// A parsed and validated request for work.
#[derive(Debug)]
pub(super) struct Job {
    pub id: Rc<str>,
    pub request: Box<str>,
    pub prompt: String,
    pub max_tokens: u64,
    pub priority: i64,
    pub continuation: Option<Continuation>,
    pub kind: JobKind,
}

/// Phases of inference that a job needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobKind {
    /// Prefill and decode.
    Full,
    /// Prefill only.
    Prefill,
    /// Decode of an imported prompt.
    Imported,
}

/// Why a job is refused; no part of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    pub status: u16,
    pub error: &'static str,
}

/// Action due at a set time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Timer {
    /// Ends an attempt that has had no reader since its open count had this value.
    ReaderGrace(AttemptKey, u64),
    /// The change with this number is half done.
    ChangeHalfway(u64),
    /// The change with this number is complete.
    ChangeDone(u64),
}

/// One connection that has sent a request.
#[derive(Debug)]
pub(super) struct Connection {
    pub io: IoRef,
    /// Value of [`State::silence_epoch`] at its first request.
    pub epoch: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub opts: Options,
    pub model: Box<str>,
    pub role: Role,
    pub adapter: Box<str>,
    pub version: Box<str>,
    pub batch: Batch,
    pub cache: PrefixCache,
    pub faults: Faults,
    pub orders: Orders,
    pub order_log: Vec<OrderLogEntry>,
    pub attempt_log: Vec<AttemptLogEntry>,
    /// Prompt hash and tokens by handle.
    pub kv_handles: BTreeMap<Box<str>, (Box<str>, u64)>,
    /// Key by attempt id.
    pub attempt_keys: BTreeMap<Rc<str>, AttemptKey>,
    /// Ended attempts with the time of their end, oldest first.
    finished: VecDeque<(Instant, AttemptKey)>,
    /// The change in progress and its number.
    current_change: Option<(u64, Action)>,
    change_count: u64,
    pub draining: bool,
    pub stats: Stats,
    /// Loads with the time at which they were recorded, oldest first.
    load_reports: VecDeque<(Instant, EngineLoad)>,
    started: Instant,
    pub connections: BTreeMap<ntex::io::Id, Connection>,
    /// Incremented each time the fault `silent` silences the open connections.
    pub silence_epoch: u64,
    /// Timers by due time and id.
    pub timers: BTreeMap<(Instant, u64), Timer>,
    last_timer_id: u64,
}

impl State {
    pub fn new(opts: Options) -> Self {
        let mut state = Self {
            model: opts.model.clone(),
            role: opts.role,
            adapter: "".into(),
            version: "".into(),
            batch: Batch::default(),
            cache: PrefixCache::new(opts.cache),
            faults: Faults::default(),
            orders: Orders::default(),
            order_log: Vec::new(),
            attempt_log: Vec::new(),
            kv_handles: BTreeMap::new(),
            attempt_keys: BTreeMap::new(),
            finished: VecDeque::new(),
            current_change: None,
            change_count: 0,
            draining: false,
            stats: Stats::default(),
            load_reports: VecDeque::new(),
            started: Instant::now(),
            connections: BTreeMap::new(),
            silence_epoch: 0,
            timers: BTreeMap::new(),
            last_timer_id: 0,
            opts,
        };
        state.record_load();
        state
    }

    /// Closes all connections and resets everything except the start options, the faults, and the
    /// logs and counters that tests read.
    pub fn reset(&mut self) {
        let keys: Vec<AttemptKey> = self.batch.attempts.keys().collect();
        for key in keys {
            self.end_attempt(key, EndReason::Crashed);
        }
        for conn in std::mem::take(&mut self.connections).into_values() {
            conn.io.terminate();
        }
        let fresh = Self::new(self.opts.clone());
        let old = std::mem::replace(self, fresh);
        // The slot map is cleared and not replaced, so that a reader's key from before the reset
        // cannot match an attempt added after it.
        self.batch.attempts = old.batch.attempts;
        self.batch.attempts.clear();
        self.faults = old.faults;
        self.order_log = old.order_log;
        self.attempt_log = old.attempt_log;
        self.stats = old.stats;
        self.silence_epoch = old.silence_epoch;
        self.change_count = old.change_count;
        self.stats.crashes += 1;
    }

    /// Returns why a new job of this kind would be refused now, if so.
    pub fn refusal(&self, kind: JobKind) -> Option<Refusal> {
        let refuse = |status, error| Some(Refusal { status, error });
        if self.current_change.is_some() {
            return refuse(503, "changing");
        }
        if self.draining {
            return refuse(503, "draining");
        }
        if self.faults.refuse == Some(true) {
            return refuse(503, "refused");
        }
        if self.batch.waiting.len() >= self.opts.max_queue {
            return refuse(503, "full");
        }
        match (self.role, kind) {
            (Role::Prefill, JobKind::Full | JobKind::Imported)
            | (Role::Decode, JobKind::Full | JobKind::Prefill) => refuse(409, "role"),
            _ => None,
        }
    }

    /// Queues a job as a new attempt, or refuses it.
    pub fn admit(&mut self, job: Job) -> Result<AttemptKey, Refusal> {
        self.remove_expired();
        if let Some(refusal) = self.refusal(job.kind) {
            self.stats.refused += 1;
            return Err(refusal);
        }
        let seed = match self.opts.answers {
            Answers::Same => seed(&self.model, &job.prompt),
            Answers::Diverge => seed(&format!("{}/{}", self.model, self.opts.name), &job.prompt),
        };
        let hash = blake3::hash(job.prompt.as_bytes()).to_hex();
        let (mut prompt, mut token_count, mut start_offset) = (job.prompt, 0, 0);
        if let Some(delivered) = &job.continuation {
            if *delivered.text != expected(&self.model, &prompt, delivered.tokens) {
                self.stats.continue_mismatch += 1;
            }
            (token_count, start_offset) = (delivered.tokens, delivered.tokens);
        }
        token_count += prompt_tokens(&prompt);
        if let Some(delivered) = &job.continuation {
            prompt.push_str(&delivered.text);
        }
        self.stats.started += 1;
        let log_index = self.attempt_log.len();
        if log_index < MAX_LOG_ENTRIES {
            self.attempt_log.push(AttemptLogEntry {
                at_ms: unix_ms(),
                attempt: (*job.id).into(),
                request: job.request,
                prompt_hash: hash.as_str().into(),
                offset: start_offset,
                tokens: 0,
                end: None,
            });
        }
        let prefill_left = match job.kind {
            JobKind::Full | JobKind::Prefill => token_count,
            JobKind::Imported => start_offset,
        };
        let key = self.batch.add(Attempt {
            id: Rc::clone(&job.id),
            block_hashes: block_hashes(&self.model, &prompt, self.opts.cache.block_tokens),
            prompt: prompt.into(),
            prompt_hash: hash.as_str().into(),
            seed,
            prompt_tokens: token_count,
            prefill_left,
            priority: job.priority,
            start_offset,
            next_offset: start_offset,
            end_offset: job.max_tokens.max(start_offset),
            end: None,
            readers: 0,
            open_count: 0,
            progress: Rc::new(Notify::new()),
            log_index,
        });
        self.attempt_keys.insert(job.id, key);
        self.record_load();
        Ok(key)
    }

    /// Plans the next step of the batch.
    pub fn next_step(&mut self) -> NextStep {
        let timing = self.opts.timing;
        let Self {
            batch,
            cache,
            stats,
            faults,
            ..
        } = self;
        let next = batch.next_step(self.opts.slots, timing, faults, cache, stats);
        self.record_load();
        next
    }

    /// Applies a step whose duration has passed.
    pub fn apply(&mut self, step: &Step) {
        let timing = self.opts.timing;
        let Self {
            batch,
            cache,
            stats,
            ..
        } = self;
        for key in batch.apply(step, timing, cache, stats) {
            self.end_attempt(key, EndReason::Done);
        }
        self.record_load();
    }

    /// Ends an attempt and records its end in the log.
    pub fn end_attempt(&mut self, key: AttemptKey, end: EndReason) {
        let Some(attempt) = self
            .batch
            .attempts
            .get(key)
            .filter(|attempt| attempt.end.is_none())
        else {
            return;
        };
        if let Some(entry) = self.attempt_log.get_mut(attempt.log_index) {
            entry.tokens = attempt.next_offset - attempt.start_offset;
            entry.end = Some(end);
        }
        self.batch.end_attempt(key, end, &mut self.stats);
        self.finished.push_back((Instant::now(), key));
        self.record_load();
    }

    /// Executes or refuses an order; returns the result and the highest fencing number seen.
    pub fn handle_order(&mut self, order: Order) -> (OrderResult, u64) {
        let result = self.orders.decide(&order, self.opts.fencing);
        if result == OrderResult::Refused {
            self.stats.orders_refused += 1;
        }
        if self.order_log.len() < MAX_LOG_ENTRIES {
            self.order_log.push(OrderLogEntry {
                at_ms: unix_ms(),
                fence: order.fence,
                order: order.number,
                holder: order.holder,
                action: order.action.clone(),
                result,
            });
        }
        if result == OrderResult::Applied {
            self.start_action(order.action);
        }
        self.record_load();
        (result, self.orders.highest().0)
    }

    /// Starts an action.
    ///
    /// A change of role, model, adapter or version cuts off all attempts and completes after
    /// `change_duration`. An order for the present role calls off a change in progress.
    fn start_action(&mut self, action: Action) {
        match &action {
            Action::Drain => self.draining = true,
            Action::Resume => self.draining = false,
            Action::Role { role } if Role::parse(role) == Some(self.role) => {
                self.current_change = None;
            }
            Action::Role { .. } | Action::Load { .. } => {
                let keys: Vec<AttemptKey> = self.batch.attempts.keys().collect();
                for key in keys {
                    self.end_attempt(key, EndReason::Cut);
                }
                self.change_count += 1;
                self.stats.changes += 1;
                let (number, now) = (self.change_count, Instant::now());
                self.current_change = Some((number, action));
                self.set_timer(
                    now + self.opts.change_duration / 2,
                    Timer::ChangeHalfway(number),
                );
                self.set_timer(now + self.opts.change_duration, Timer::ChangeDone(number));
            }
        }
    }

    /// Returns whether the change with this number is in progress.
    pub fn is_changing(&self, number: u64) -> bool {
        self.current_change
            .as_ref()
            .is_some_and(|(n, _)| *n == number)
    }

    /// Completes the change in progress.
    pub fn finish_change(&mut self) {
        match self.current_change.take() {
            Some((_, Action::Role { role })) => self.role = Role::parse(&role).unwrap_or(self.role),
            Some((_, Action::Load { what, name })) => {
                match &*what {
                    "model" => self.model = name,
                    "adapter" => self.adapter = name,
                    _ => self.version = name,
                }
                self.cache.clear(Instant::now());
            }
            _ => {}
        }
        self.record_load();
    }

    pub fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.last_timer_id += 1;
        self.timers.insert((at, self.last_timer_id), timer);
    }

    /// Returns the newest load that is at least `load_lag` old, or else the oldest one.
    pub fn visible_load(&mut self) -> EngineLoad {
        let now = Instant::now();
        let lag = self.opts.load_lag;
        while self
            .load_reports
            .get(1)
            .is_some_and(|(at, _)| *at + lag <= now)
        {
            self.load_reports.pop_front();
        }
        let mut load = match self.load_reports.front() {
            Some((_, load)) => load.clone(),
            None => self.current_load(),
        };
        let age = lag.min(now - self.started);
        load.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        load
    }

    /// Records the current load, unless loads are reported without a lag.
    pub fn record_load(&mut self) {
        let (now, lag) = (Instant::now(), self.opts.load_lag);
        if lag.is_zero() {
            return;
        }
        let load = self.current_load();
        while self
            .load_reports
            .get(1)
            .is_some_and(|(at, _)| *at + lag <= now)
        {
            self.load_reports.pop_front();
        }
        if self
            .load_reports
            .back()
            .is_none_or(|(_, last)| *last != load)
        {
            self.load_reports.push_back((now, load));
        }
    }

    fn current_load(&self) -> EngineLoad {
        let (fence_seen, order_seen) = self.orders.highest();
        EngineLoad {
            running: self.batch.running.len() as u64,
            waiting: self.batch.waiting.len() as u64,
            prefill_tokens: self.batch.prefill_backlog(),
            pieces_used: self.cache.len() as u64,
            role: self.role.name().into(),
            model: self.model.clone(),
            fence_seen,
            order_seen,
            changing: self.current_change.is_some(),
            draining: self.draining,
            age_ms: 0,
        }
    }

    /// Removes the attempts whose retention time has passed.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        while let Some((at, key)) = self.finished.front() {
            if *at + self.opts.retention > now {
                return;
            }
            if let Some(attempt) = self.batch.attempts.remove(*key) {
                self.attempt_keys.remove(&attempt.id);
            }
            self.finished.pop_front();
        }
    }
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

impl State {
    /// Returns the duration of the import of a prompt.
    pub fn import_time(&self, tokens: u64) -> Duration {
        match self.opts.timing {
            Timing::Instant => Duration::ZERO,
            Timing::Steps(costs) => {
                let speed = self.faults.speed.unwrap_or(costs.speed).max(1e-6);
                Duration::from_secs_f64(costs.import.as_secs_f64() * tokens as f64 / speed)
            }
        }
    }
}
