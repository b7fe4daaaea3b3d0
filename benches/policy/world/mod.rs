//! One run: callers, hosts and engines in virtual time.

mod callers;
mod floor;
mod front;
mod shifts;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use chiveway::core::Core;
use chiveway::core::event::{AttemptFailure, Event, Role, Timer};
use chiveway::core::fleet::ServingState;
use chiveway::core::key::{AttemptKey, RequestKey};
use chiveway::error::Ran;
use chiveway::settings::PoolSettings;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::baseline::Router;
use crate::engine::{Engine, Load, Part};
use crate::hosts;
use crate::roles::Roles;
use crate::tally::Tally;
use crate::trace::{self, Call, Case, Fault};

/// Time from any process to another, in microseconds.
const HOP: u64 = 1_000;
/// Time between two looks at engines that are changing.
const LOOK: u64 = 100_000;
/// Time between two samples of engines' loads.
const SAMPLE: u64 = 100_000;
/// Time after the last request until the run ends.
const TAIL: u64 = 30_000_000;

const SECOND: u64 = 1_000_000;

/// Who routes and admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// The real core of each host.
    Cores,
    /// A baseline.
    Plain(Router),
}

/// How one run is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Who routes and admits.
    pub front: Front,
    /// Who changes roles.
    pub roles: Roles,
    /// Prefill engines at the start.
    pub prefill: usize,
}

#[derive(Debug)]
enum Ev {
    Try(usize),
    GiveUp(usize),
    Step(usize),
    Push(usize, usize, Part),
    Host(usize, HostEv),
    Second,
    Look,
    Sample,
    Fault,
}

#[derive(Debug)]
enum HostEv {
    Wake(Timer),
    Event(Box<Event>),
    Began(usize),
    First(usize),
    Last(usize, u64, u64),
    Broke(usize, Ran, AttemptFailure),
    Load(usize),
    List,
}

#[derive(Debug)]
struct Entry {
    at: u64,
    order: u64,
    ev: Ev,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// One caller with one request.
#[derive(Debug, Clone, Default)]
struct Caller {
    tries: u8,
    host: usize,
    sent: u64,
    request: Option<RequestKey>,
    first: Option<u64>,
    over: bool,
    follows: bool,
    attempt: Option<usize>,
}

/// One attempt at engines.
#[derive(Debug)]
struct Run {
    call: usize,
    host: usize,
    key: Option<AttemptKey>,
    prefill: Option<usize>,
    engine: usize,
    skip: u64,
    held: bool,
    priority: u8,
}

/// Change of one engine's role.
#[derive(Debug)]
struct Shift {
    engine: usize,
    role: Role,
    since: u64,
    ordered: Option<u64>,
}

/// The state of one run.
pub struct World<'a> {
    case: &'a Case,
    calls: &'a [Call],
    setup: Setup,
    now: u64,
    order: u64,
    heap: BinaryHeap<Entry>,
    rng: SmallRng,
    cores: Vec<Core>,
    settings: PoolSettings,
    engines: Vec<Engine>,
    /// Runs that an engine has or will get.
    held: Vec<u32>,
    /// Prompt tokens on their way to or at an engine.
    backlog: Vec<u64>,
    routed: Vec<ServingState>,
    leaving: Vec<bool>,
    shifts: Vec<Shift>,
    samples: VecDeque<(u64, Vec<Load>)>,
    callers: Vec<Caller>,
    runs: Vec<Run>,
    requests: BTreeMap<(usize, RequestKey), usize>,
    attempts: BTreeMap<(usize, AttemptKey), usize>,
    turns: Vec<usize>,
    prompt: f64,
    output: f64,
    /// Part of the tokens allowed that answers have, by the answers so far.
    ratio: (f64, f64),
    tally: Tally,
}

impl<'a> World<'a> {
    /// Sets a run up.
    pub fn new(case: &'a Case, calls: &'a [Call], setup: Setup, seed: u64) -> Self {
        let speeds = trace::speeds(case);
        let engines: Vec<Engine> = speeds
            .iter()
            .enumerate()
            .map(|(at, &speed)| Engine::new(speed, shifts::first_role(at, &setup, speeds.len())))
            .collect();
        let count = engines.len();
        let settings = hosts::settings(case, 0);
        Self {
            settings: settings.pools[case.site.model].clone(),
            case,
            calls,
            now: 0,
            order: 0,
            heap: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            cores: Vec::new(),
            engines,
            held: vec![0; count],
            backlog: vec![0; count],
            routed: vec![ServingState::Serving; count],
            leaving: vec![false; count],
            shifts: Vec::new(),
            samples: VecDeque::new(),
            callers: vec![Caller::default(); calls.len()],
            runs: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            turns: vec![0; case.site.hosts],
            prompt: 0.0,
            output: 0.0,
            ratio: (1.0, 2.0),
            tally: Tally::default(),
            setup,
        }
    }

    /// Runs to the end.
    pub fn run(mut self, seed: u64) -> Tally {
        self.sample();
        self.push(self.now + SAMPLE, Ev::Sample);
        if self.setup.front == Front::Cores {
            let mut effects = Vec::new();
            self.cores = hosts::start(self.case, seed, &mut effects);
            for (host, effects) in effects {
                self.carry_out(host, effects);
            }
        }
        for (at, call) in self.calls.iter().enumerate() {
            self.tally.ask(call.class, hosts::plan(call.customer));
            self.push(call.at, Ev::Try(at));
        }
        let fault = match self.case.fault {
            Fault::None => None,
            Fault::Withdrawn(at) | Fault::Crash(at) => Some(at),
        };
        if let Some(at) = fault {
            self.push((at * 1e6) as u64, Ev::Fault);
        }
        self.push(SECOND, Ev::Second);
        self.push(LOOK, Ev::Look);
        let end = (self.case.length * 1e6) as u64 + TAIL;
        while let Some(entry) = self.heap.pop() {
            if entry.at > end {
                break;
            }
            self.now = entry.at;
            self.step(entry.ev);
        }
        self.tally.hits = self.engines.iter().map(|engine| engine.hits).sum();
        self.tally
    }

    fn push(&mut self, at: u64, ev: Ev) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Entry { at, order, ev });
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Try(call) => self.try_call(call),
            Ev::GiveUp(call) => self.give_up(call),
            Ev::Step(engine) => self.engine_step(engine),
            Ev::Push(engine, run, part) => self.arrive(engine, run, part),
            Ev::Host(host, ev) => self.host(host, ev),
            Ev::Second => self.second(),
            Ev::Look => self.look(),
            Ev::Sample => {
                self.sample();
                self.push(self.now + SAMPLE, Ev::Sample);
            }
            Ev::Fault => self.fault(),
        }
    }
}
