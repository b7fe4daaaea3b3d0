//! A small fake engine in virtual time: one batch, with separate costs of prefill and decode.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use chiveway::core::event::Role;

/// Streams in the batch at most.
pub const BATCH_SLOTS: usize = 32;
/// Prompt tokens an engine of full speed prefills a second.
pub const PREFILL_TOKENS_PER_SEC: f64 = 16_000.0;
/// Tokens an engine of full speed generates a second over a full batch.
pub const DECODE_TOKENS_PER_SEC: f64 = 2_000.0;
/// Tokens in one piece of the prefix cache.
pub const TOKENS_PER_BLOCK: u64 = 2_000;
/// Wanted time between tokens in microseconds.
pub const TOKEN_GAP_US: u64 = 49_000;
/// Time of every step in microseconds, whatever is in it.
const STEP_BASE_US: f64 = 4_000.0;
/// Prompt tokens worked through in one step at most.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;
/// Pieces that the prefix cache holds.
const CACHE_BLOCKS: usize = 96;

/// Returns the microseconds between tokens at an engine that decodes this many streams.
pub fn token_gap_us(streams: usize, speed: f64) -> f64 {
    let stream =
        (BATCH_SLOTS as f64 * 1e6 / DECODE_TOKENS_PER_SEC - STEP_BASE_US) / BATCH_SLOTS as f64;
    (STEP_BASE_US + streams as f64 * stream) / speed
}

/// Which part of a request a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Prompt and answer.
    Full,
    /// Prompt only, for another engine.
    Prefill,
    /// Answer only; the KV cache comes from another engine.
    Decode,
}

/// One job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the attempt that it belongs to.
    pub id: usize,
    /// Which part it is.
    pub kind: JobKind,
    /// Prompt tokens left.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u64,
    /// Pieces of the prompt.
    pub blocks: Rc<[u64]>,
    /// Higher goes first.
    pub priority: u8,
}

/// What an engine brought about in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEvent {
    /// The prompt is worked through and kept for another engine.
    Prefilled(usize),
    /// The first token.
    FirstToken(usize),
    /// The last token; `slow` of the `gaps` between tokens were longer than wanted.
    Completed {
        /// Attempt.
        id: usize,
        /// Gaps longer than wanted.
        slow_gaps: u64,
        /// Gaps.
        gaps: u64,
    },
}

/// What an engine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It works.
    Up,
    /// It changes its role and does nothing else.
    Changing,
    /// It is gone.
    Down,
}

/// Load as a report shows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Streams in the batch.
    pub running: u32,
    /// Jobs waiting.
    pub waiting: u32,
    /// Prompt tokens not worked through.
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
    /// Speed against a nominal engine.
    pub speed: f64,
    /// Present role.
    pub role: Role,
    /// What it is doing.
    pub state: State,
    /// Prompt tokens that came from the cache.
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

    /// Tells whether the engine takes this part of a request.
    pub fn accepts(&self, kind: JobKind) -> bool {
        let fits = match self.role {
            Role::Both => true,
            Role::Prefill => kind == JobKind::Prefill,
            Role::Decode => kind == JobKind::Decode,
        };
        self.state == State::Up && fits
    }

    /// Takes in a job.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let queue_key = (Reverse(job.priority), self.arrivals);
        self.queue_keys.insert(job.id, queue_key);
        self.queued_tokens += job.prompt;
        self.waiting.insert(queue_key, job);
    }

    /// Begins a step if none is under way and there is work; returns its length in microseconds.
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

    /// Ends the step under way.
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

    /// Forgets a job.
    pub fn cancel(&mut self, id: usize) {
        if let Some(job) = self
            .queue_keys
            .remove(&id)
            .and_then(|at| self.waiting.remove(&at))
        {
            self.queued_tokens -= job.prompt;
            return;
        }
        self.prefilling.retain(|job| job.id != id);
        self.decoding.retain(|(_, stream), _| *stream != id);
    }

    /// Forgets every job, and returns each with the tokens it made.
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

    /// Returns the load now.
    pub fn load(&self) -> Load {
        let prefilling: u64 = self.prefilling.iter().map(|job| job.prompt).sum();
        Load {
            running: u32::try_from(self.decoding.len() + self.prefilling.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            queued_prefill: self.queued_tokens + prefilling,
        }
    }

    /// Returns the prompt tokens that the cache would save.
    pub fn cached(&self, blocks: &[u64]) -> u64 {
        self.cache.prefix_blocks(blocks) * TOKENS_PER_BLOCK
    }
}

/// Prefix cache that evicts the pieces not used for longest.
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
