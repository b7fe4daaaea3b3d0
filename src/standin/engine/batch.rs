//! Continuous batching: which attempts share a step, how long it takes and which tokens it
//! generates.

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

/// Maximum number of prompt tokens prefilled in one step, so that long prompts do not delay the
/// decoding of running answers.
const MAX_STEP_PREFILL_TOKENS: u64 = 2048;

new_key_type! {
    /// Key of one attempt in the engine.
    pub(super) struct AttemptKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EndReason {
    /// All its tokens were generated.
    Done,
    /// It was without a reader for the grace time.
    Cancelled,
    /// A change of the engine's role, model, adapter or version cut it off.
    Cut,
    /// The engine crashed.
    Crashed,
}

/// One attempt to answer a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: Rc<str>,
    pub prompt: Box<str>,
    /// BLAKE3 hash of the prompt in hexadecimal.
    pub prompt_hash: Box<str>,
    pub seed: Seed,
    pub block_hashes: Vec<Box<str>>,
    /// Tokens of the prompt and of the part of the answer that is continued.
    pub prompt_tokens: u64,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_left: u64,
    pub priority: i64,
    /// Offset of the attempt's first token in the answer.
    pub start_offset: u64,
    /// Offset of the next token to generate.
    pub next_offset: u64,
    /// Offset after the last token of the answer.
    pub end_offset: u64,
    pub end: Option<EndReason>,
    pub readers: usize,
    /// Number of readers ever opened; a grace time that began before the newest reader has no
    /// effect.
    pub open_count: u64,
    /// Notified at each new token and at the end.
    pub progress: Rc<Notify>,
    /// Index in the log of attempts.
    pub log_index: usize,
}

/// Counters returned by `GET /stats`.
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

/// A planned step, applied when its duration has passed.
#[derive(Debug)]
pub(super) struct Step {
    /// Prompt tokens to prefill, by attempt.
    prefill: Vec<(AttemptKey, u64)>,
    pub duration: Duration,
}

/// Result of planning a step.
#[derive(Debug)]
pub(super) enum NextStep {
    /// There is no work.
    Idle,
    /// The step to run.
    Step(Step),
    /// An attempt that joined the batch crashes the engine.
    Crash,
}

/// All attempts of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Queue by descending priority, then by arrival.
    pub waiting: BTreeSet<(Reverse<i64>, u64, AttemptKey)>,
    pub running: Vec<AttemptKey>,
    arrivals: u64,
}

impl Batch {
    /// Queues an attempt behind those of the same priority.
    pub fn add(&mut self, attempt: Attempt) -> AttemptKey {
        let priority = Reverse(attempt.priority);
        let key = self.attempts.insert(attempt);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals, key));
        key
    }

    /// Ends an attempt; tokens already generated can still be read.
    pub fn end_attempt(&mut self, key: AttemptKey, end: EndReason, stats: &mut Stats) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.end.is_some() {
            return;
        }
        attempt.end = Some(end);
        // Readers of an ended attempt need neither, and long prompts would add up in memory.
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

    /// Returns the number of prompt tokens still to be prefilled.
    pub fn prefill_backlog(&self) -> u64 {
        let waiting = self.waiting.iter().map(|(_, _, key)| key);
        waiting
            .chain(&self.running)
            .filter_map(|key| self.attempts.get(*key))
            .map(|attempt| attempt.prefill_left)
            .sum()
    }

    /// Fills the batch from the queue and plans the next step.
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

    /// Applies a step whose duration has passed; returns the attempts that it completed.
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

    /// Distributes a budget of prompt tokens in the order in which the attempts joined the batch.
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

    /// Returns the number of running attempts whose prompt is prefilled.
    fn decoding_count(&self) -> usize {
        let is_decoding = |key: &&AttemptKey| self.attempts[**key].prefill_left == 0;
        self.running.iter().filter(is_decoding).count()
    }
}
