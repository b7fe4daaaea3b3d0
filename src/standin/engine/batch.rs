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
use super::cache::PrefixCache;
use super::options::{Faults, Timing};

/// Prompt tokens worked through in one step at most, so that long prompts do not hold up answers.
const MAX_STEP_PREFILL_TOKENS: u64 = 2048;

new_key_type! {
    /// Names one attempt in the engine.
    pub(super) struct AttemptKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EndReason {
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
pub(super) struct Attempt {
    pub id: Rc<str>,
    pub prompt: Box<str>,
    /// BLAKE3 hash of the prompt in hexadecimal.
    pub prompt_hash: Box<str>,
    pub seed: Seed,
    pub block_hashes: Vec<Box<str>>,
    /// Tokens of the prompt, and of an answer continued.
    pub prompt_tokens: u64,
    /// Prompt tokens not yet worked through.
    pub prefill_left: u64,
    pub priority: i64,
    /// Offset the attempt began at.
    pub start_offset: u64,
    /// Offset of the next token to be made.
    pub next_offset: u64,
    /// Offset at which the answer is whole.
    pub end_offset: u64,
    pub end: Option<EndReason>,
    pub readers: usize,
    /// Grows with each reader, so that a grace period begun before it lapses without effect.
    pub open_count: u64,
    /// Woken at each new token and at the end.
    pub progress: Rc<Notify>,
    /// Place in the log.
    pub log_index: usize,
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
    prefill: Vec<(AttemptKey, u64)>,
    pub duration: Duration,
}

/// What comes of looking for work.
#[derive(Debug)]
pub(super) enum NextStep {
    Idle,
    Step(Step),
    Crash,
}

/// All attempts of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub attempts: SlotMap<AttemptKey, Attempt>,
    pub waiting: BTreeSet<(Reverse<i64>, u64, AttemptKey)>,
    pub running: Vec<AttemptKey>,
    arrivals: u64,
}

impl Batch {
    /// Takes in an attempt at the end of its priority's queue.
    pub fn add(&mut self, attempt: Attempt) -> AttemptKey {
        let priority = Reverse(attempt.priority);
        let key = self.attempts.insert(attempt);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals, key));
        key
    }

    /// Ends an attempt; tokens already made can still be read.
    pub fn end_attempt(&mut self, key: AttemptKey, end: EndReason, stats: &mut Stats) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.end.is_some() {
            return;
        }
        attempt.end = Some(end);
        // What can still be read of the attempt needs neither, and long prompts add up.
        attempt.prompt = Box::default();
        attempt.block_hashes = Vec::new();
        attempt.progress.notify_waiters();
        self.running.retain(|k| *k != key);
        self.waiting.retain(|(_, _, k)| *k != key);
        *match end {
            EndReason::Done => &mut stats.done,
            EndReason::Cancelled => &mut stats.cancelled,
            EndReason::Cut => &mut stats.cut,
            EndReason::Crashed => &mut stats.crashed,
        } += 1;
    }

    /// Returns the prompt tokens still to be worked through.
    pub fn prefill_backlog(&self) -> u64 {
        let waiting = self.waiting.iter().map(|(_, _, key)| key);
        waiting
            .chain(&self.running)
            .filter_map(|key| self.attempts.get(*key))
            .map(|attempt| attempt.prefill_left)
            .sum()
    }

    /// Fills the batch from the queue and lays out the next step.
    pub fn next_step(
        &mut self,
        slots: usize,
        timing: Timing,
        faults: &Faults,
        cache: &mut PrefixCache,
        stats: &mut Stats,
    ) -> NextStep {
        while self.running.len() < slots {
            let Some((_, _, key)) = self.waiting.pop_first() else {
                break;
            };
            let attempt = &mut self.attempts[key];
            let cached = cache
                .match_prefix(&attempt.block_hashes)
                .min(attempt.prefill_left);
            attempt.prefill_left -= cached;
            stats.cached_tokens += cached;
            self.running.push(key);
            if faults.crashes_on(&attempt.prompt) {
                return NextStep::Crash;
            }
        }
        if self.running.is_empty() {
            return NextStep::Idle;
        }
        let budget = match timing {
            Timing::Instant => u64::MAX,
            Timing::Steps(_) => MAX_STEP_PREFILL_TOKENS,
        };
        let prefill = self.allot_prefill(budget);
        let duration = match timing {
            Timing::Instant => Duration::ZERO,
            Timing::Steps(costs) => {
                let tokens: u64 = prefill.iter().map(|(_, tokens)| tokens).sum();
                let secs = costs.base.as_secs_f64()
                    + costs.prefill.as_secs_f64() * tokens as f64
                    + costs.decode.as_secs_f64() * self.decoding_count() as f64;
                Duration::from_secs_f64(secs / faults.speed.unwrap_or(costs.speed).max(1e-6))
            }
        };
        NextStep::Step(Step { prefill, duration })
    }

    /// Applies a step whose time has passed; returns the attempts that are whole now.
    pub fn apply(
        &mut self,
        step: &Step,
        timing: Timing,
        cache: &mut PrefixCache,
        stats: &mut Stats,
    ) -> Vec<AttemptKey> {
        stats.steps += 1;
        stats.prefill_steps += u64::from(!step.prefill.is_empty());
        let now = Instant::now();
        for (key, tokens) in &step.prefill {
            let Some(attempt) = self
                .attempts
                .get_mut(*key)
                .filter(|attempt| attempt.end.is_none())
            else {
                continue;
            };
            attempt.prefill_left -= tokens;
            stats.prefill_tokens += tokens;
            if attempt.prefill_left == 0 {
                cache.insert(&attempt.block_hashes, now);
            }
        }
        let mut finished = Vec::new();
        for key in &self.running {
            let attempt = &mut self.attempts[*key];
            if attempt.prefill_left > 0 {
                continue;
            }
            let before = attempt.next_offset;
            attempt.next_offset = match timing {
                Timing::Instant => attempt.end_offset,
                Timing::Steps(_) => (attempt.next_offset + 1).min(attempt.end_offset),
            };
            stats.decode_tokens += attempt.next_offset - before;
            attempt.progress.notify_waiters();
            if attempt.next_offset == attempt.end_offset {
                finished.push(*key);
            }
        }
        finished
    }

    /// Shares out prompt tokens in the order the attempts joined the batch.
    fn allot_prefill(&self, mut budget: u64) -> Vec<(AttemptKey, u64)> {
        let mut prefill = Vec::new();
        for key in &self.running {
            let tokens = self.attempts[*key].prefill_left.min(budget);
            if tokens > 0 {
                prefill.push((*key, tokens));
                budget -= tokens;
            }
        }
        prefill
    }

    fn decoding_count(&self) -> usize {
        let is_decoding = |key: &&AttemptKey| self.attempts[**key].prefill_left == 0;
        self.running.iter().filter(is_decoding).count()
    }
}
