//! Simulation of one run: callers, hosts and engines in virtual time.

mod callers;
mod effects;
mod engines;
mod role_changes;

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
use crate::engine::{Engine, JobKind, Load};
use crate::hosts;
use crate::roles::RoleController;
use crate::tally::Tally;
use crate::trace::{self, Call, Case, Fault};

/// Network latency between any two processes, in microseconds.
const HOP_US: u64 = 1_000;
/// Time between checks of the running role changes.
const CHANGE_CHECK_INTERVAL_US: u64 = 100_000;
/// Time between samples of the engines' loads.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// Time from the end of the trace to the end of the run.
const TAIL_US: u64 = 30_000_000;

const SECOND_US: u64 = 1_000_000;

/// Implementation of routing and admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frontend {
    /// The real core of each host.
    Cores,
    /// A baseline router.
    Baseline(Router),
}

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Implementation of routing and admission.
    pub frontend: Frontend,
    /// Controller of role changes.
    pub controller: RoleController,
    /// Prefill engines at the start.
    pub prefill_engines: usize,
}

#[derive(Debug)]
enum SimEvent {
    Send(usize),
    GiveUp(usize),
    StepEnd(usize),
    JobArrival(usize, usize, JobKind),
    Host(usize, HostEvent),
    RoleDecision,
    ChangeCheck,
    LoadSample,
    Fault,
}

#[derive(Debug)]
enum HostEvent {
    Timer(Timer),
    Event(Box<Event>),
    Began(usize),
    FirstToken(usize),
    Completed(usize, u64, u64),
    Failed(usize, Ran, AttemptFailure),
    LoadReport(usize),
    Listing,
}

#[derive(Debug)]
struct ScheduledEvent {
    at: u64,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// State of a caller and its request.
#[derive(Debug, Clone, Default)]
struct Caller {
    tries: u8,
    host: usize,
    sent: u64,
    request: Option<RequestKey>,
    first_token: Option<u64>,
    done: bool,
    returning: bool,
    attempt: Option<usize>,
}

/// One attempt of a request at one or two engines.
#[derive(Debug)]
struct Attempt {
    call: usize,
    host: usize,
    key: Option<AttemptKey>,
    prefill: Option<usize>,
    engine: usize,
    delivered: u64,
    active: bool,
    priority: u8,
}

/// Running role change of an engine.
#[derive(Debug)]
struct RoleChange {
    engine: usize,
    role: Role,
    withdrawn_at: u64,
    ordered_at: Option<u64>,
}

/// State of a run.
pub struct Simulation<'a> {
    case: &'a Case,
    calls: &'a [Call],
    setup: Setup,
    now: u64,
    sequence: u64,
    events: BinaryHeap<ScheduledEvent>,
    rng: SmallRng,
    cores: Vec<Core>,
    settings: PoolSettings,
    engines: Vec<Engine>,
    /// Attempts that an engine has or will receive.
    active_attempts: Vec<u32>,
    /// Prompt tokens not yet prefilled, at an engine or on their way to it.
    backlog_tokens: Vec<u64>,
    routed: Vec<ServingState>,
    leaving: Vec<bool>,
    changes: Vec<RoleChange>,
    load_samples: VecDeque<(u64, Vec<Load>)>,
    callers: Vec<Caller>,
    attempts: Vec<Attempt>,
    requests: BTreeMap<(usize, RequestKey), usize>,
    attempt_ids: BTreeMap<(usize, AttemptKey), usize>,
    round_robin: Vec<usize>,
    prompt_demand: f64,
    output_demand: f64,
    /// Output tokens of recent answers, and the output tokens allowed for them.
    output_ratio: (f64, f64),
    tally: Tally,
}

impl<'a> Simulation<'a> {
    /// Creates a run.
    pub fn new(case: &'a Case, calls: &'a [Call], setup: Setup, seed: u64) -> Self {
        let speeds = trace::speeds(case);
        let engines: Vec<Engine> = speeds
            .iter()
            .enumerate()
            .map(|(at, &speed)| {
                Engine::new(speed, role_changes::initial_role(at, &setup, speeds.len()))
            })
            .collect();
        let count = engines.len();
        let settings = hosts::settings(case, 0);
        Self {
            settings: settings.pools[case.site.model].clone(),
            case,
            calls,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            cores: Vec::new(),
            engines,
            active_attempts: vec![0; count],
            backlog_tokens: vec![0; count],
            routed: vec![ServingState::Serving; count],
            leaving: vec![false; count],
            changes: Vec::new(),
            load_samples: VecDeque::new(),
            callers: vec![Caller::default(); calls.len()],
            attempts: Vec::new(),
            requests: BTreeMap::new(),
            attempt_ids: BTreeMap::new(),
            round_robin: vec![0; case.site.hosts],
            prompt_demand: 0.0,
            output_demand: 0.0,
            output_ratio: (1.0, 2.0),
            tally: Tally::default(),
            setup,
        }
    }

    /// Runs to the end, and returns the counts.
    pub fn run(mut self, seed: u64) -> Tally {
        self.sample_loads();
        self.schedule(self.now + SAMPLE_INTERVAL_US, SimEvent::LoadSample);
        if self.setup.frontend == Frontend::Cores {
            let mut effects = Vec::new();
            self.cores = hosts::start_cores(self.case, seed, &mut effects);
            for (host, effects) in effects {
                self.apply_effects(host, effects);
            }
        }
        for (at, call) in self.calls.iter().enumerate() {
            self.tally
                .record_request(call.class, hosts::plan_index(call.customer));
            self.schedule(call.at_us, SimEvent::Send(at));
        }
        let fault = match self.case.fault {
            Fault::None => None,
            Fault::Leaving(at) | Fault::Crash(at) => Some(at),
        };
        if let Some(at) = fault {
            self.schedule((at * 1e6) as u64, SimEvent::Fault);
        }
        self.schedule(SECOND_US, SimEvent::RoleDecision);
        self.schedule(CHANGE_CHECK_INTERVAL_US, SimEvent::ChangeCheck);
        let end = (self.case.length_secs * 1e6) as u64 + TAIL_US;
        while let Some(entry) = self.events.pop() {
            if entry.at > end {
                break;
            }
            self.now = entry.at;
            self.handle(entry.event);
        }
        self.tally.cached_tokens = self.engines.iter().map(|engine| engine.cached_tokens).sum();
        self.tally
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Send(call) => self.send_request(call),
            SimEvent::GiveUp(call) => self.give_up(call),
            SimEvent::StepEnd(engine) => self.finish_step(engine),
            SimEvent::JobArrival(engine, id, kind) => self.job_arrived(engine, id, kind),
            SimEvent::Host(host, event) => self.host_event(host, event),
            SimEvent::RoleDecision => self.decide_roles(),
            SimEvent::ChangeCheck => self.advance_changes(),
            SimEvent::LoadSample => {
                self.sample_loads();
                self.schedule(self.now + SAMPLE_INTERVAL_US, SimEvent::LoadSample);
            }
            SimEvent::Fault => self.inject_fault(),
        }
    }
}
