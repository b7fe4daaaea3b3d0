//! Model of an engine in virtual time: one batch, with separate costs of prefill and decode.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use chiveway::core::event::Role;

/// Maximum number of jobs in the batch.
pub const BATCH_SLOTS: usize = 32;
/// Prompt tokens that an engine of speed 1.0 prefills per second.
pub const PREFILL_TOKENS_PER_SEC: f64 = 16_000.0;
/// Tokens that an engine of speed 1.0 generates per second with a full batch.
pub const DECODE_TOKENS_PER_SEC: f64 = 2_000.0;
/// Tokens in one block of the prefix cache.
pub const TOKENS_PER_BLOCK: u64 = 2_000;
/// Target time between tokens in microseconds.
pub const TOKEN_GAP_US: u64 = 49_000;
/// Fixed cost of a step in microseconds, whatever its batch.
const STEP_BASE_US: f64 = 4_000.0;
/// Maximum number of prompt tokens prefilled in one step.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;
/// Capacity of the prefix cache in blocks.
const CACHE_BLOCKS: usize = 96;

/// Returns the time between tokens, in microseconds, of an engine that decodes this many streams.
pub fn token_gap_us(streams: usize, speed: f64) -> f64 {
    let stream =
        (BATCH_SLOTS as f64 * 1e6 / DECODE_TOKENS_PER_SEC - STEP_BASE_US) / BATCH_SLOTS as f64;
    (STEP_BASE_US + streams as f64 * stream) / speed
}

/// Phases of a request that a job covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Prefill and decode.
    Full,
    /// Prefill only; another engine decodes.
    Prefill,
    /// Decode only; the KV cache comes from another engine.
    Decode,
}

/// Work of one attempt at one engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the attempt.
    pub id: usize,
    /// Phases that it covers.
    pub kind: JobKind,
    /// Prompt tokens left to prefill.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u64,
    /// Hashes of the prompt's prefix blocks.
    pub blocks: Rc<[u64]>,
    /// Higher values are served first.
    pub priority: u8,
}

/// Result of a step for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEvent {
    /// Prefill is complete, and the KV cache is ready for another engine.
    Prefilled(usize),
    /// The first token was generated.
    FirstToken(usize),
    /// The last token was generated; `slow_gaps` of the `gaps` between tokens exceeded the target.
    Completed {
        /// Attempt.
        id: usize,
        /// Gaps longer than the target.
        slow_gaps: u64,
        /// Gaps between tokens.
        gaps: u64,
    },
}

/// State of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Serves jobs.
    Up,
    /// Changes its role and serves no jobs.
    Changing,
    /// Crashed.
    Down,
}

/// Load in a load report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Jobs in the batch.
    pub running: u32,
    /// Jobs waiting.
    pub waiting: u32,
    /// Prompt tokens not yet prefilled.
    pub queued_prefill: u64,
}

#[derive(Debug)]
struct Stream {
    first_step: u64,
    slow_before: u64,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Speed, 1.0 for a nominal engine.
    pub speed: f64,
    /// Current role.
    pub role: Role,
    /// Current state.
    pub state: State,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), Job>,
    queue_keys: BTreeMap<usize, (Reverse<u8>, u64)>,
    queued_tokens: u64,
    prefilling: Vec<Job>,
    decoding: BTreeMap<(u64, usize), Stream>,
    step_tokens: u64,
    arrivals: u64,
    step: u64,
    slow_steps: u64,
    step_us: u64,
    busy: bool,
    cache: Cache,
}

impl Engine {
    pub fn new(speed: f64, role: Role) -> Self {
        Self {
            speed,
            role,
            state: State::Up,
            cached_tokens: 0,
            waiting: BTreeMap::new(),
            queue_keys: BTreeMap::new(),
            queued_tokens: 0,
            prefilling: Vec::new(),
            decoding: BTreeMap::new(),
            step_tokens: 0,
            arrivals: 0,
            step: 0,
            slow_steps: 0,
            step_us: 0,
            busy: false,
            cache: Cache::default(),
        }
    }

    /// Returns whether the engine accepts jobs of this kind.
    pub fn accepts(&self, kind: JobKind) -> bool {
        let fits = match self.role {
            Role::Both => true,
            Role::Prefill => kind == JobKind::Prefill,
            Role::Decode => kind == JobKind::Decode,
        };
        self.state == State::Up && fits
    }

    /// Queues a job.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let queue_key = (Reverse(job.priority), self.arrivals);
        self.queue_keys.insert(job.id, queue_key);
        self.queued_tokens += job.prompt;
        self.waiting.insert(queue_key, job);
    }

    /// Starts a step if none is running and there are jobs; returns its duration in microseconds.
    pub fn begin_step(&mut self) -> Option<u64> {
        if self.busy || self.state != State::Up {
            return None;
        }
        while self.prefilling.len() + self.decoding.len() < BATCH_SLOTS {
            let Some((_, mut job)) = self.waiting.pop_first() else {
                break;
            };
            self.queue_keys.remove(&job.id);
            self.queued_tokens -= job.prompt;
            if job.kind != JobKind::Decode {
                let cached = self.cache.reuse(&job.blocks).min(job.prompt);
                job.prompt -= cached;
                self.cached_tokens += cached;
            }
            self.prefilling.push(job);
        }
        if self.prefilling.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let left: u64 = self.prefilling.iter().map(|job| job.prompt).sum();
        self.step_tokens = left.min(PREFILL_CHUNK_TOKENS);
        let time = token_gap_us(self.decoding.len(), 1.0)
            + self.step_tokens as f64 * 1e6 / PREFILL_TOKENS_PER_SEC;
        self.step_us = (time / self.speed).round() as u64;
        self.busy = true;
        Some(self.step_us)
    }

    /// Ends the running step.
    pub fn finish_step(&mut self, out: &mut Vec<StepEvent>) {
        self.busy = false;
        self.step += 1;
        self.slow_steps += u64::from(self.step_us > TOKEN_GAP_US);
        let step = self.step;
        while let Some(entry) = self.decoding.first_entry() {
            if entry.key().0 > step {
                break;
            }
            let ((_, id), stream) = entry.remove_entry();
            let (slow_gaps, gaps) = (
                self.slow_steps - stream.slow_before,
                step - stream.first_step,
            );
            out.push(StepEvent::Completed {
                id,
                slow_gaps,
                gaps,
            });
        }
        let mut budget = self.step_tokens;
        let mut at = 0;
        while at < self.prefilling.len() {
            let job = &mut self.prefilling[at];
            let done = job.prompt.min(budget);
            job.prompt -= done;
            budget -= done;
            if job.prompt > 0 {
                at += 1;
                continue;
            }
            let job = self.prefilling.remove(at);
            self.complete_prefill(&job, out);
        }
    }

    fn complete_prefill(&mut self, job: &Job, out: &mut Vec<StepEvent>) {
        if job.kind != JobKind::Decode {
            self.cache.store(&job.blocks);
        }
        if job.kind == JobKind::Prefill {
            out.push(StepEvent::Prefilled(job.id));
            return;
        }
        out.push(StepEvent::FirstToken(job.id));
        if job.output <= 1 {
            let (id, slow_gaps, gaps) = (job.id, 0, 0);
            out.push(StepEvent::Completed {
                id,
                slow_gaps,
                gaps,
            });
            return;
        }
        let stream = Stream {
            first_step: self.step,
            slow_before: self.slow_steps,
        };
        let last = self.step + job.output - 1;
        self.decoding.insert((last, job.id), stream);
    }

    /// Removes a job.
    pub fn cancel(&mut self, id: usize) {
        if let Some(job) = self
            .queue_keys
            .remove(&id)
            .and_then(|queue_key| self.waiting.remove(&queue_key))
        {
            self.queued_tokens -= job.prompt;
            return;
        }
        self.prefilling.retain(|job| job.id != id);
        self.decoding.retain(|(_, stream), _| *stream != id);
    }

    /// Removes all jobs, and returns each attempt with the number of tokens generated.
    pub fn clear(&mut self) -> Vec<(usize, u64)> {
        let step = self.step;
        self.queue_keys.clear();
        self.queued_tokens = 0;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let prefilling = std::mem::take(&mut self.prefilling).into_iter();
        let decoding = std::mem::take(&mut self.decoding).into_iter();
        let streams = decoding.map(|((_, id), stream)| (id, step - stream.first_step + 1));
        let mut all: Vec<(usize, u64)> = waiting.chain(prefilling).map(|job| (job.id, 0)).collect();
        all.extend(streams);
        self.cache = Cache::default();
        self.busy = false;
        all
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let prefilling: u64 = self.prefilling.iter().map(|job| job.prompt).sum();
        Load {
            running: u32::try_from(self.decoding.len() + self.prefilling.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            queued_prefill: self.queued_tokens + prefilling,
        }
    }

    /// Returns the prompt tokens that the prefix cache holds.
    pub fn cached(&self, blocks: &[u64]) -> u64 {
        self.cache.prefix_blocks(blocks) * TOKENS_PER_BLOCK
    }
}

/// Prefix cache with eviction of the least recently used blocks.
#[derive(Debug, Default)]
struct Cache {
    last_used: BTreeMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    fn prefix_blocks(&self, blocks: &[u64]) -> u64 {
        let matching = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block));
        matching.count() as u64
    }

    fn reuse(&mut self, blocks: &[u64]) -> u64 {
        let count = self.prefix_blocks(blocks);
        for &block in blocks.iter().take(usize::try_from(count).unwrap_or(0)) {
            self.touch(block);
        }
        count * TOKENS_PER_BLOCK
    }

    fn store(&mut self, blocks: &[u64]) {
        for &block in blocks {
            self.touch(block);
        }
        while self.last_used.len() > CACHE_BLOCKS {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.last_used.remove(&oldest);
            }
        }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.last_used.insert(block, self.clock) {
            self.by_age.remove(&before);
        }
        self.by_age.insert(self.clock, block);
    }
}
