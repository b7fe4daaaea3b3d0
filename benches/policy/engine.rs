//! A small fake engine in virtual time: one batch, with separate costs of prefill and decode.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use chiveway::core::event::Role;

/// Streams in the batch at most.
pub const SLOTS: usize = 32;
/// Prompt tokens an engine of full speed prefills a second.
pub const PREFILL: f64 = 16_000.0;
/// Tokens an engine of full speed generates a second over a full batch.
pub const DECODE: f64 = 2_000.0;
/// Tokens in one piece of the prefix cache.
pub const PIECE: u64 = 2_000;
/// Wanted time between tokens in microseconds.
pub const BETWEEN: u64 = 49_000;
/// Time of every step in microseconds, whatever is in it.
const BASE: f64 = 4_000.0;
/// Prompt tokens worked through in one step at most.
const CHUNK: u64 = 2_048;
/// Pieces that the prefix cache holds.
const PIECES: usize = 96;

/// Returns the microseconds between tokens at an engine that decodes this many streams.
pub fn gap(streams: usize, speed: f64) -> f64 {
    let stream = (SLOTS as f64 * 1e6 / DECODE - BASE) / SLOTS as f64;
    (BASE + streams as f64 * stream) / speed
}

/// Which part of a request a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Prompt and answer.
    Whole,
    /// Prompt only, for another engine.
    Prefill,
    /// Answer only; the KV cache comes from another engine.
    Imported,
}

/// One job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the attempt that it belongs to.
    pub id: usize,
    /// Which part it is.
    pub part: Part,
    /// Prompt tokens left.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u64,
    /// Pieces of the prompt.
    pub pieces: Rc<[u64]>,
    /// Higher goes first.
    pub priority: u8,
}

/// What an engine brought about in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Made {
    /// The prompt is worked through and kept for another engine.
    Prefilled(usize),
    /// The first token.
    First(usize),
    /// The last token; `slow` of the `gaps` between tokens were longer than wanted.
    Last {
        /// Attempt.
        id: usize,
        /// Gaps longer than wanted.
        slow: u64,
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
    pub prefill: u64,
}

#[derive(Debug)]
struct Stream {
    first: u64,
    slow: u64,
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
    pub hits: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), Job>,
    places: BTreeMap<usize, (Reverse<u8>, u64)>,
    queued: u64,
    filling: Vec<Job>,
    decoding: BTreeMap<(u64, usize), Stream>,
    work: u64,
    arrivals: u64,
    step: u64,
    slow: u64,
    length: u64,
    busy: bool,
    cache: Cache,
}

impl Engine {
    pub fn new(speed: f64, role: Role) -> Self {
        Self {
            speed,
            role,
            state: State::Up,
            hits: 0,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            queued: 0,
            filling: Vec::new(),
            decoding: BTreeMap::new(),
            work: 0,
            arrivals: 0,
            step: 0,
            slow: 0,
            length: 0,
            busy: false,
            cache: Cache::default(),
        }
    }

    /// Tells whether the engine takes this part of a request.
    pub fn takes(&self, part: Part) -> bool {
        let fits = match self.role {
            Role::Both => true,
            Role::Prefill => part == Part::Prefill,
            Role::Decode => part == Part::Imported,
        };
        self.state == State::Up && fits
    }

    /// Takes in a job.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let place = (Reverse(job.priority), self.arrivals);
        self.places.insert(job.id, place);
        self.queued += job.prompt;
        self.waiting.insert(place, job);
    }

    /// Begins a step if none is under way and there is work; returns its length in microseconds.
    pub fn begin(&mut self) -> Option<u64> {
        if self.busy || self.state != State::Up {
            return None;
        }
        while self.filling.len() + self.decoding.len() < SLOTS {
            let Some((_, mut job)) = self.waiting.pop_first() else {
                break;
            };
            self.places.remove(&job.id);
            self.queued -= job.prompt;
            if job.part != Part::Imported {
                let cached = self.cache.reuse(&job.pieces).min(job.prompt);
                job.prompt -= cached;
                self.hits += cached;
            }
            self.filling.push(job);
        }
        if self.filling.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let left: u64 = self.filling.iter().map(|job| job.prompt).sum();
        self.work = left.min(CHUNK);
        let time = gap(self.decoding.len(), 1.0) + self.work as f64 * 1e6 / PREFILL;
        self.length = (time / self.speed).round() as u64;
        self.busy = true;
        Some(self.length)
    }

    /// Ends the step under way.
    pub fn finish(&mut self, out: &mut Vec<Made>) {
        self.busy = false;
        self.step += 1;
        self.slow += u64::from(self.length > BETWEEN);
        let step = self.step;
        while let Some(entry) = self.decoding.first_entry() {
            if entry.key().0 > step {
                break;
            }
            let ((_, id), stream) = entry.remove_entry();
            let (slow, gaps) = (self.slow - stream.slow, step - stream.first);
            out.push(Made::Last { id, slow, gaps });
        }
        let mut budget = self.work;
        let mut at = 0;
        while at < self.filling.len() {
            let job = &mut self.filling[at];
            let part = job.prompt.min(budget);
            job.prompt -= part;
            budget -= part;
            if job.prompt > 0 {
                at += 1;
                continue;
            }
            let job = self.filling.remove(at);
            self.filled(&job, out);
        }
    }

    fn filled(&mut self, job: &Job, out: &mut Vec<Made>) {
        if job.part != Part::Imported {
            self.cache.store(&job.pieces);
        }
        if job.part == Part::Prefill {
            out.push(Made::Prefilled(job.id));
            return;
        }
        out.push(Made::First(job.id));
        if job.output <= 1 {
            let (id, slow, gaps) = (job.id, 0, 0);
            out.push(Made::Last { id, slow, gaps });
            return;
        }
        let stream = Stream {
            first: self.step,
            slow: self.slow,
        };
        let last = self.step + job.output - 1;
        self.decoding.insert((last, job.id), stream);
    }

    /// Forgets a job.
    pub fn cancel(&mut self, id: usize) {
        if let Some(job) = self
            .places
            .remove(&id)
            .and_then(|at| self.waiting.remove(&at))
        {
            self.queued -= job.prompt;
            return;
        }
        self.filling.retain(|job| job.id != id);
        self.decoding.retain(|(_, stream), _| *stream != id);
    }

    /// Forgets every job, and returns each with the tokens it made.
    pub fn clear(&mut self) -> Vec<(usize, u64)> {
        let step = self.step;
        self.places.clear();
        self.queued = 0;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let filling = std::mem::take(&mut self.filling).into_iter();
        let decoding = std::mem::take(&mut self.decoding).into_iter();
        let streams = decoding.map(|((_, id), stream)| (id, step - stream.first + 1));
        let mut all: Vec<(usize, u64)> = waiting.chain(filling).map(|job| (job.id, 0)).collect();
        all.extend(streams);
        self.cache = Cache::default();
        self.busy = false;
        all
    }

    /// Returns the load now.
    pub fn load(&self) -> Load {
        let filling: u64 = self.filling.iter().map(|job| job.prompt).sum();
        Load {
            running: u32::try_from(self.decoding.len() + self.filling.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill: self.queued + filling,
        }
    }

    /// Returns the prompt tokens that the cache would save.
    pub fn cached(&self, pieces: &[u64]) -> u64 {
        self.cache.leading(pieces) * PIECE
    }
}

/// Prefix cache that evicts the pieces not used for longest.
#[derive(Debug, Default)]
struct Cache {
    held: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    fn leading(&self, pieces: &[u64]) -> u64 {
        let held = pieces.iter().take_while(|p| self.held.contains_key(p));
        held.count() as u64
    }

    fn reuse(&mut self, pieces: &[u64]) -> u64 {
        let count = self.leading(pieces);
        for &piece in pieces.iter().take(usize::try_from(count).unwrap_or(0)) {
            self.touch(piece);
        }
        count * PIECE
    }

    fn store(&mut self, pieces: &[u64]) {
        for &piece in pieces {
            self.touch(piece);
        }
        while self.held.len() > PIECES {
            if let Some((_, old)) = self.order.pop_first() {
                self.held.remove(&old);
            }
        }
    }

    fn touch(&mut self, piece: u64) {
        self.clock += 1;
        if let Some(before) = self.held.insert(piece, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, piece);
    }
}
