//! Continuous batching: which requests share a step, what it costs and what it yields.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::answer::Seed;
use super::cache::Cache;
use super::options::{Faults, Pace};

/// Prompt tokens worked through in one step at most, so that long prompts do not hold up answers.
const STEP_TOKENS: u64 = 2048;

new_key_type! {
    /// Names one attempt in the engine.
    pub(super) struct RunKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum End {
    /// It has all its tokens.
    Done,
    /// Its caller left.
    Cancelled,
    /// A change of the engine cut it.
    Cut,
    /// The engine crashed.
    Crashed,
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Run {
    pub attempt: Rc<str>,
    pub prompt: Box<str>,
    /// BLAKE3 hash of the prompt in hexadecimal.
    pub hash: Box<str>,
    pub seed: Seed,
    pub pieces: Vec<Box<str>>,
    /// Tokens of the prompt, and of an answer continued.
    pub prompt_tokens: u64,
    /// Prompt tokens not yet worked through.
    pub prefill: u64,
    pub priority: i64,
    /// Offset the attempt began at.
    pub first: u64,
    /// Offset of the next token to be made.
    pub made: u64,
    /// Offset at which the answer is whole.
    pub limit: u64,
    pub end: Option<End>,
    pub readers: usize,
    /// Grows with each reader, so that a grace period begun before it lapses without effect.
    pub opened: u64,
    /// Woken at each new token and at the end.
    pub changed: Rc<Notify>,
    /// Place in the log.
    pub log: usize,
}

/// Numbers for `GET /stats`.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Stats {
    pub started: u64,
    pub done: u64,
    pub cancelled: u64,
    pub cut: u64,
    pub crashed: u64,
    pub refused: u64,
    pub steps: u64,
    pub prefill_steps: u64,
    pub prefill_tokens: u64,
    pub cached_tokens: u64,
    pub decode_tokens: u64,
    pub imports: u64,
    pub continue_mismatch: u64,
    pub changes: u64,
    pub orders_refused: u64,
    pub crashes: u64,
    pub connections: u64,
}

/// One step before its time has passed.
#[derive(Debug)]
pub(super) struct Step {
    work: Vec<(RunKey, u64)>,
    pub time: Duration,
}

/// What comes of looking for work.
#[derive(Debug)]
pub(super) enum Plan {
    Idle,
    Step(Step),
    Crash,
}

/// All attempts of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub runs: SlotMap<RunKey, Run>,
    pub waiting: BTreeSet<(Reverse<i64>, u64, RunKey)>,
    pub running: Vec<RunKey>,
    arrivals: u64,
}

impl Batch {
    /// Takes in an attempt at the end of its priority's queue.
    pub fn add(&mut self, run: Run) -> RunKey {
        let priority = Reverse(run.priority);
        let key = self.runs.insert(run);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals, key));
        key
    }

    /// Ends an attempt; tokens already made can still be read.
    pub fn end(&mut self, key: RunKey, end: End, stats: &mut Stats) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.end.is_some() {
            return;
        }
        run.end = Some(end);
        // What can still be read of the attempt needs neither, and long prompts add up.
        run.prompt = Box::default();
        run.pieces = Vec::new();
        run.changed.notify_waiters();
        self.running.retain(|k| *k != key);
        self.waiting.retain(|(_, _, k)| *k != key);
        *match end {
            End::Done => &mut stats.done,
            End::Cancelled => &mut stats.cancelled,
            End::Cut => &mut stats.cut,
            End::Crashed => &mut stats.crashed,
        } += 1;
    }

    /// Returns the prompt tokens still to be worked through.
    pub fn prefill_left(&self) -> u64 {
        let waiting = self.waiting.iter().map(|(_, _, key)| key);
        waiting
            .chain(&self.running)
            .filter_map(|key| self.runs.get(*key))
            .map(|run| run.prefill)
            .sum()
    }

    /// Fills the batch from the queue and lays out the next step.
    pub fn plan(
        &mut self,
        slots: usize,
        pace: Pace,
        faults: &Faults,
        cache: &mut Cache,
        stats: &mut Stats,
    ) -> Plan {
        while self.running.len() < slots {
            let Some((_, _, key)) = self.waiting.pop_first() else {
                break;
            };
            let run = &mut self.runs[key];
            let cached = cache.reuse(&run.pieces).min(run.prefill);
            run.prefill -= cached;
            stats.cached_tokens += cached;
            self.running.push(key);
            if faults.kills(&run.prompt) {
                return Plan::Crash;
            }
        }
        if self.running.is_empty() {
            return Plan::Idle;
        }
        let budget = match pace {
            Pace::Instant => u64::MAX,
            Pace::Steps(_) => STEP_TOKENS,
        };
        let work = self.share(budget);
        let time = match pace {
            Pace::Instant => Duration::ZERO,
            Pace::Steps(costs) => {
                let tokens: u64 = work.iter().map(|(_, tokens)| tokens).sum();
                let time = costs.base.as_secs_f64()
                    + costs.prefill.as_secs_f64() * tokens as f64
                    + costs.decode.as_secs_f64() * self.decoding() as f64;
                Duration::from_secs_f64(time / faults.speed.unwrap_or(costs.speed).max(1e-6))
            }
        };
        Plan::Step(Step { work, time })
    }

    /// Applies a step whose time has passed; returns the attempts that are whole now.
    pub fn apply(
        &mut self,
        step: &Step,
        pace: Pace,
        cache: &mut Cache,
        stats: &mut Stats,
    ) -> Vec<RunKey> {
        stats.steps += 1;
        stats.prefill_steps += u64::from(!step.work.is_empty());
        let now = Instant::now();
        for (key, tokens) in &step.work {
            let Some(run) = self.runs.get_mut(*key).filter(|run| run.end.is_none()) else {
                continue;
            };
            run.prefill -= tokens;
            stats.prefill_tokens += tokens;
            if run.prefill == 0 {
                cache.store(&run.pieces, now);
            }
        }
        let mut whole = Vec::new();
        for key in &self.running {
            let run = &mut self.runs[*key];
            if run.prefill > 0 {
                continue;
            }
            let before = run.made;
            run.made = match pace {
                Pace::Instant => run.limit,
                Pace::Steps(_) => (run.made + 1).min(run.limit),
            };
            stats.decode_tokens += run.made - before;
            run.changed.notify_waiters();
            if run.made == run.limit {
                whole.push(*key);
            }
        }
        whole
    }

    /// Shares out prompt tokens in the order the attempts joined the batch.
    fn share(&self, mut budget: u64) -> Vec<(RunKey, u64)> {
        let mut work = Vec::new();
        for key in &self.running {
            let tokens = self.runs[*key].prefill.min(budget);
            if tokens > 0 {
                work.push((*key, tokens));
                budget -= tokens;
            }
        }
        work
    }

    fn decoding(&self) -> usize {
        let decodes = |key: &&RunKey| self.runs[**key].prefill == 0;
        self.running.iter().filter(decodes).count()
    }
}
