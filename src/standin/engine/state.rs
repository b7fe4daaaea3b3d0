//! Everything an engine knows.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ntex::io::IoRef;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::answer::{expected, pieces, prompt_tokens, seed};
use super::batch::{Batch, End, Plan, Run, RunKey, Stats, Step};
use super::cache::Cache;
use super::options::{Answers, Faults, Options, Pace, Role};
use super::orders::{Order, OrderLine, Orders, Verdict};
use super::wire::Continue;
use crate::backend::{Action, EngineLoad};

/// Lines kept of each log; later ones are counted only.
const LOG_LIMIT: usize = 200_000;

/// One line of the log of attempts.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RunLine {
    pub at_ms: u64,
    pub attempt: Box<str>,
    pub request: Box<str>,
    pub prompt_hash: Box<str>,
    pub offset: u64,
    pub tokens: u64,
    pub end: Option<End>,
}

/// A request for work that was understood.
#[derive(Debug)]
pub(super) struct Job {
    pub attempt: Rc<str>,
    pub request: Box<str>,
    pub prompt: String,
    pub tokens: u64,
    pub priority: i64,
    pub continued: Option<Continue>,
    pub kind: JobKind,
}

/// Which part of the work a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobKind {
    /// Prompt and answer.
    Whole,
    /// Prompt only.
    Prefill,
    /// Answer to an imported prompt.
    Imported,
}

/// Why work is refused; none of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    pub status: u16,
    pub error: &'static str,
}

/// Something that happens at a set time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Timer {
    /// An attempt's grace without a reader ends, unless it was opened again.
    Orphan(RunKey, u64),
    /// The change with this number is halfway.
    Half(u64),
    /// The change with this number is over.
    Changed(u64),
}

/// One connection that has sent a request.
#[derive(Debug)]
pub(super) struct Conn {
    pub io: IoRef,
    /// Value of [`State::silent`] at its first request.
    pub since: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub opts: Options,
    pub model: Box<str>,
    pub role: Role,
    pub adapter: Box<str>,
    pub version: Box<str>,
    pub batch: Batch,
    pub cache: Cache,
    pub faults: Faults,
    pub orders: Orders,
    pub order_log: Vec<OrderLine>,
    pub run_log: Vec<RunLine>,
    /// Prompt hash and tokens by handle.
    pub handles: BTreeMap<Box<str>, (Box<str>, u64)>,
    pub attempts: BTreeMap<Rc<str>, RunKey>,
    finished: VecDeque<(Instant, RunKey)>,
    /// The change under way and its number.
    change: Option<(u64, Action)>,
    changes: u64,
    pub draining: bool,
    pub stats: Stats,
    reports: VecDeque<(Instant, EngineLoad)>,
    started: Instant,
    pub conns: BTreeMap<ntex::io::Id, Conn>,
    /// Grows each time the connections open then go silent.
    pub silent: u64,
    pub timers: BTreeMap<(Instant, u64), Timer>,
    timer_count: u64,
}

impl State {
    pub fn new(opts: Options) -> Self {
        let mut state = Self {
            model: opts.model.clone(),
            role: opts.role,
            adapter: "".into(),
            version: "".into(),
            batch: Batch::default(),
            cache: Cache::new(opts.cache),
            faults: Faults::default(),
            orders: Orders::default(),
            order_log: Vec::new(),
            run_log: Vec::new(),
            handles: BTreeMap::new(),
            attempts: BTreeMap::new(),
            finished: VecDeque::new(),
            change: None,
            changes: 0,
            draining: false,
            stats: Stats::default(),
            reports: VecDeque::new(),
            started: Instant::now(),
            conns: BTreeMap::new(),
            silent: 0,
            timers: BTreeMap::new(),
            timer_count: 0,
            opts,
        };
        state.report();
        state
    }

    /// Forgets everything but what it was started with, its faults, and the logs tests read.
    pub fn wipe(&mut self) {
        let keys: Vec<RunKey> = self.batch.runs.keys().collect();
        for key in keys {
            self.end(key, End::Crashed);
        }
        for conn in std::mem::take(&mut self.conns).into_values() {
            conn.io.terminate();
        }
        let fresh = Self::new(self.opts.clone());
        let old = std::mem::replace(self, fresh);
        // Cleared, not new: a reader's key from before must not find an attempt from after.
        self.batch.runs = old.batch.runs;
        self.batch.runs.clear();
        self.faults = old.faults;
        self.order_log = old.order_log;
        self.run_log = old.run_log;
        self.stats = old.stats;
        self.silent = old.silent;
        self.changes = old.changes;
        self.stats.crashes += 1;
    }

    /// Returns why new work of this kind is refused now, if it is.
    pub fn refusal(&self, kind: JobKind) -> Option<Refusal> {
        let refuse = |status, error| Some(Refusal { status, error });
        if self.change.is_some() {
            return refuse(503, "changing");
        }
        if self.draining {
            return refuse(503, "draining");
        }
        if self.faults.refuse == Some(true) {
            return refuse(503, "refused");
        }
        if self.batch.waiting.len() >= self.opts.queue {
            return refuse(503, "full");
        }
        match (self.role, kind) {
            (Role::Prefill, JobKind::Whole | JobKind::Imported)
            | (Role::Decode, JobKind::Whole | JobKind::Prefill) => refuse(409, "role"),
            _ => None,
        }
    }

    /// Takes in a job.
    pub fn admit(&mut self, job: Job) -> Result<RunKey, Refusal> {
        self.forget();
        if let Some(refusal) = self.refusal(job.kind) {
            self.stats.refused += 1;
            return Err(refusal);
        }
        let seed = match self.opts.answers {
            Answers::Same => seed(&self.model, &job.prompt),
            Answers::Diverge => seed(&format!("{}/{}", self.model, self.opts.name), &job.prompt),
        };
        let hash = blake3::hash(job.prompt.as_bytes()).to_hex();
        let (mut prompt, mut count, mut first) = (job.prompt, 0, 0);
        if let Some(done) = &job.continued {
            if *done.text != expected(&self.model, &prompt, done.tokens) {
                self.stats.continue_mismatch += 1;
            }
            (count, first) = (done.tokens, done.tokens);
        }
        count += prompt_tokens(&prompt);
        if let Some(done) = &job.continued {
            prompt.push_str(&done.text);
        }
        self.stats.started += 1;
        let log = self.run_log.len();
        if log < LOG_LIMIT {
            self.run_log.push(RunLine {
                at_ms: unix_ms(),
                attempt: (*job.attempt).into(),
                request: job.request,
                prompt_hash: hash.as_str().into(),
                offset: first,
                tokens: 0,
                end: None,
            });
        }
        let prefill = match job.kind {
            JobKind::Whole | JobKind::Prefill => count,
            JobKind::Imported => first,
        };
        let key = self.batch.add(Run {
            attempt: Rc::clone(&job.attempt),
            pieces: pieces(&self.model, &prompt, self.opts.cache.piece),
            prompt: prompt.into(),
            hash: hash.as_str().into(),
            seed,
            prompt_tokens: count,
            prefill,
            priority: job.priority,
            first,
            made: first,
            limit: job.tokens.max(first),
            end: None,
            readers: 0,
            opened: 0,
            changed: Rc::new(Notify::new()),
            log,
        });
        self.attempts.insert(job.attempt, key);
        self.report();
        Ok(key)
    }

    /// Lays out the next step of the batch.
    pub fn plan(&mut self) -> Plan {
        let pace = self.opts.pace;
        let Self {
            batch,
            cache,
            stats,
            faults,
            ..
        } = self;
        let plan = batch.plan(self.opts.slots, pace, faults, cache, stats);
        self.report();
        plan
    }

    /// Applies a step whose time has passed.
    pub fn apply(&mut self, step: &Step) {
        let pace = self.opts.pace;
        let Self {
            batch,
            cache,
            stats,
            ..
        } = self;
        for key in batch.apply(step, pace, cache, stats) {
            self.end(key, End::Done);
        }
        self.report();
    }

    /// Ends an attempt and notes it in the log.
    pub fn end(&mut self, key: RunKey, end: End) {
        let Some(run) = self.batch.runs.get(key).filter(|run| run.end.is_none()) else {
            return;
        };
        if let Some(line) = self.run_log.get_mut(run.log) {
            line.tokens = run.made - run.first;
            line.end = Some(end);
        }
        self.batch.end(key, end, &mut self.stats);
        self.finished.push_back((Instant::now(), key));
        self.report();
    }

    /// Carries out or refuses an order; returns the verdict and the highest fencing number.
    pub fn order(&mut self, order: Order) -> (Verdict, u64) {
        let verdict = self.orders.judge(&order, self.opts.fencing);
        if verdict == Verdict::Refused {
            self.stats.orders_refused += 1;
        }
        if self.order_log.len() < LOG_LIMIT {
            self.order_log.push(OrderLine {
                at_ms: unix_ms(),
                fence: order.fence,
                order: order.number,
                holder: order.holder,
                action: order.action.clone(),
                result: verdict,
            });
        }
        if verdict == Verdict::Applied {
            self.act(order.action);
        }
        self.report();
        (verdict, self.orders.highest().0)
    }

    /// Begins an action; changes cut what is running and last for a while.
    fn act(&mut self, action: Action) {
        match &action {
            Action::Drain => self.draining = true,
            Action::Resume => self.draining = false,
            Action::Role { role } if Role::parse(role) == Some(self.role) => self.change = None,
            Action::Role { .. } | Action::Load { .. } => {
                let keys: Vec<RunKey> = self.batch.runs.keys().collect();
                for key in keys {
                    self.end(key, End::Cut);
                }
                self.changes += 1;
                self.stats.changes += 1;
                let (number, now) = (self.changes, Instant::now());
                self.change = Some((number, action));
                self.set_timer(now + self.opts.change / 2, Timer::Half(number));
                self.set_timer(now + self.opts.change, Timer::Changed(number));
            }
        }
    }

    /// Returns whether a change with this number is under way.
    pub fn changing(&self, number: u64) -> bool {
        self.change.as_ref().is_some_and(|(n, _)| *n == number)
    }

    /// Puts the change under way into force.
    pub fn finish_change(&mut self) {
        match self.change.take() {
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
        self.report();
    }

    pub fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timer_count += 1;
        self.timers.insert((at, self.timer_count), timer);
    }

    /// Returns the newest report that is old enough to be seen.
    pub fn load(&mut self) -> EngineLoad {
        let now = Instant::now();
        let lag = self.opts.lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        let mut load = match self.reports.front() {
            Some((_, load)) => load.clone(),
            None => self.snapshot(),
        };
        let age = lag.min(now - self.started);
        load.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        load
    }

    /// Notes the load as it is now.
    pub fn report(&mut self) {
        let (now, lag) = (Instant::now(), self.opts.lag);
        if lag.is_zero() {
            return;
        }
        let load = self.snapshot();
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        if self.reports.back().is_none_or(|(_, last)| *last != load) {
            self.reports.push_back((now, load));
        }
    }

    fn snapshot(&self) -> EngineLoad {
        let (fence_seen, order_seen) = self.orders.highest();
        EngineLoad {
            running: self.batch.running.len() as u64,
            waiting: self.batch.waiting.len() as u64,
            prefill_tokens: self.batch.prefill_left(),
            pieces_used: self.cache.len() as u64,
            role: self.role.word().into(),
            model: self.model.clone(),
            fence_seen,
            order_seen,
            changing: self.change.is_some(),
            draining: self.draining,
            age_ms: 0,
        }
    }

    /// Forgets attempts that ended too long ago to be resumed.
    fn forget(&mut self) {
        let now = Instant::now();
        while let Some((at, key)) = self.finished.front() {
            if *at + self.opts.keep > now {
                return;
            }
            if let Some(run) = self.batch.runs.remove(*key) {
                self.attempts.remove(&run.attempt);
            }
            self.finished.pop_front();
        }
    }
}

/// Returns milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

impl State {
    /// Returns how long the import of a prompt takes.
    pub fn import_time(&self, tokens: u64) -> Duration {
        match self.opts.pace {
            Pace::Instant => Duration::ZERO,
            Pace::Steps(costs) => {
                let speed = self.faults.speed.unwrap_or(costs.speed).max(1e-6);
                Duration::from_secs_f64(costs.import.as_secs_f64() * tokens as f64 / speed)
            }
        }
    }
}
