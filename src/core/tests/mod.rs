//! Deterministic simulation of several cores: messages, calls of the key-value service and calls
//! of services are delayed, duplicated, reordered or lost.
//!
//! All pending deliveries are in one queue, ordered by due time. The same seed gives the same run.

mod effects;
mod lease;
mod lists;
mod once;
mod order;
mod poison;
mod request;
mod role;
mod route;
mod store;
mod trace;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::effect::Refusal;
use super::event::{
    Arrival, Entry, EntryKind, Fingerprint, FleetEvent, RequestEvent, RequestSpec, ServiceRequest,
    StoreEvent, StoredResponse,
};
use super::key::{AttemptKey, HostKey, RequestKey};
use super::{Core, Effect, Effects, Event, Time, config};
use crate::error::Ran;
use crate::lists::KeyHash;
use crate::settings::Settings;

pub use store::FakeStore;

/// Customer of all requests.
pub const CUSTOMER: &str = "Ærø";
const CUSTOMER_KEY: &str = "key";
/// Service of all calls.
pub const SERVICE: &str = "fristportal";
/// Wall clock at time zero, in milliseconds since the Unix epoch.
const EPOCH: u64 = 1_700_000_000_000;
/// Time to live of the lease of a host's registration.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// Probabilities of injected faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// A message between hosts is lost.
    pub drop_message: f64,
    /// A message between hosts arrives twice.
    pub duplicate_message: f64,
    /// The reply of the key-value service to a call is lost.
    pub lose_store_reply: f64,
    /// The service's response to a call is lost.
    pub lose_service_reply: f64,
    /// The service refuses a call before it runs it.
    pub refuse_call: f64,
}

/// Result of a call for its caller.
#[derive(Debug, Clone)]
pub enum CallerResult {
    Reply(StoredResponse),
    Refused(Refusal),
}

/// A call as its caller sees it.
#[derive(Debug, Clone)]
pub struct SentCall {
    pub key: Box<str>,
    pub id: Box<str>,
    pub result: Option<CallerResult>,
}

/// A host: its core, and the state of its process's adapters.
#[derive(Debug)]
pub struct Host {
    pub name: Box<str>,
    pub core: Core,
    pub frozen: bool,
    pub crashed: bool,
    /// Number of the current process under this name.
    incarnation: u64,
    peers: BTreeMap<HostKey, Box<str>>,
    calls: BTreeMap<RequestKey, usize>,
    queued_events: Vec<Event>,
    /// When the last scheduled event of its watch is due, which keeps those events in order.
    last_watch_event: Time,
}

/// A scheduled delivery.
#[derive(Debug, Clone)]
enum Pending {
    /// An event for a host's process, by the number of the host and of its process.
    Event(usize, u64, Box<Event>),
    /// A call of the key-value service.
    Store(usize, u64, Box<Effect>),
    /// A call of the service.
    Call(ServiceCall),
}

#[derive(Debug, Clone)]
struct ServiceCall {
    host: usize,
    incarnation: u64,
    attempt: AttemptKey,
    key: Box<str>,
    id: Box<str>,
}

/// The simulated hosts and their environment.
#[derive(Debug)]
pub struct Cluster {
    pub now: Time,
    pub rng: SmallRng,
    pub faults: FaultRates,
    pub hosts: Vec<Host>,
    pub store: FakeStore,
    pub sent: Vec<SentCall>,
    /// Number of runs by the service, by idempotency key.
    pub runs_by_key: BTreeMap<Box<str>, u32>,
    /// Number of runs by the service, by request id.
    pub runs_by_id: BTreeMap<Box<str>, u32>,
    /// Effects that the simulation does not execute, for tests to inspect.
    pub unhandled: Vec<(usize, Effect)>,
    /// Time that the service takes for a call.
    pub service_time: Duration,
    /// Pairs of hosts: messages from the first to the second are lost.
    pub blocked_links: Vec<(usize, usize)>,
    /// Hosts that the key-value service cannot reach, without any sign of it.
    pub isolated: BTreeSet<usize>,
    /// Lag of the watch, for hosts whose watch lags.
    pub watch_lags: BTreeMap<usize, Duration>,
    pending: BTreeMap<(Time, u64), Pending>,
    sequence: u64,
}

fn settings(name: &str) -> Settings {
    let text = format!(
        "[host]\nname = {name}\nregion = r\ndomain = d-{name}\ncallers = 127.0.0.1:1\n\
         operators = 127.0.0.1:2\npeers = 127.0.0.1:{}\nsecret = sixteen-bytes-ok\n\
         operator-key-hash = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262\n\
         [platform]\nkv = 127.0.0.1:4\nlist = 127.0.0.1:4\nlease = {}s\n\
         [pool raadgiver]\nmodel = raadgiver\nfencing = checks\n[service {SERVICE}]\n",
        1000 + name.len() + usize::from(*name.as_bytes().last().expect("the name is not empty")),
        LEASE_TTL.as_secs()
    );
    Settings::parse(&text, "test").expect("the settings are valid")
}

impl Cluster {
    /// Starts `count` hosts and runs until they have discovered each other.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: Time::default(),
            rng: SmallRng::seed_from_u64(seed),
            faults: FaultRates::default(),
            hosts: Vec::new(),
            store: FakeStore::default(),
            sent: Vec::new(),
            runs_by_key: BTreeMap::new(),
            runs_by_id: BTreeMap::new(),
            unhandled: Vec::new(),
            service_time: Duration::from_millis(20),
            blocked_links: Vec::new(),
            isolated: BTreeSet::new(),
            watch_lags: BTreeMap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
        };
        for at in 0..count {
            let name = format!("host-{at}");
            cluster.hosts.push(Host {
                core: Core::new(settings(&name), cluster.now, EPOCH, seed),
                name: name.into(),
                frozen: false,
                crashed: false,
                incarnation: 0,
                peers: BTreeMap::new(),
                calls: BTreeMap::new(),
                queued_events: Vec::new(),
                last_watch_event: Time::default(),
            });
            cluster.boot(at);
        }
        cluster.run(Duration::from_secs(2));
        cluster
    }

    /// Starts a new process of a host, under the same name and with empty state.
    pub fn restart(&mut self, at: usize) {
        let seed = self.rng.random();
        let host = &mut self.hosts[at];
        host.core = Core::new(settings(&host.name), self.now, EPOCH, seed);
        host.incarnation += 1;
        host.crashed = false;
        host.frozen = false;
        host.peers.clear();
        host.calls.clear();
        host.queued_events.clear();
        host.last_watch_event = self.now;
        self.boot(at);
    }

    /// Crashes a host's process; what it sent before is still delivered.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].crashed = true;
        self.hosts[at].incarnation += 1;
    }

    /// Crashes all hosts, and starts new processes of them after `span`.
    pub fn replace_all_hosts(&mut self, span: Duration) {
        for at in 0..self.hosts.len() {
            self.kill(at);
        }
        self.run(span);
        for at in 0..self.hosts.len() {
            self.restart(at);
        }
        self.run(Duration::from_secs(2));
    }

    /// Suspends a host's process.
    pub fn freeze(&mut self, at: usize) {
        self.hosts[at].frozen = true;
    }

    /// Resumes a suspended process, which first processes the events that queued up, in order.
    pub fn thaw(&mut self, at: usize) {
        self.hosts[at].frozen = false;
        for event in std::mem::take(&mut self.hosts[at].queued_events) {
            self.feed(at, event);
        }
    }

    /// Starts or ends an outage of the key-value service.
    pub fn outage(&mut self, down: bool) {
        self.store.down = down;
        for at in 0..self.hosts.len() {
            if down {
                self.deliver_watch(
                    at,
                    Event::Store(StoreEvent::Health(super::event::Health::Down)),
                );
            } else {
                self.open_watch(at);
            }
        }
    }

    fn boot(&mut self, at: usize) {
        let plans = format!(
            "[customer {CUSTOMER}]\nplan = p\nkeys = {}\n",
            KeyHash::of(CUSTOMER_KEY)
        );
        let uses = format!(
            "[plan p]\nmodels = raadgiver\nservices = {SERVICE}\n\
             [service {SERVICE}]\nrepeat = GET *\nonce = POST *\n"
        );
        self.feed(at, Event::Start);
        let mut out = Effects::new();
        config::handle_lists(&mut self.hosts[at].core, 1, &plans, &uses, &mut out);
        self.apply_effects(at, out);
        let entries = (1..=2).map(|number| Entry {
            name: format!("{SERVICE}-{number}").into(),
            kind: EntryKind::Service,
            pool: SERVICE.into(),
            addr: ([127, 0, 0, 1], 100 + number).into(),
            domain: "d".into(),
            leaving: false,
        });
        self.feed(at, Event::Fleet(FleetEvent::Listed(entries.collect())));
        if !self.store.down {
            self.open_watch(at);
        }
    }

    /// Reopens a host's watch.
    pub fn open_watch(&mut self, at: usize) {
        let pairs = self.store.watched();
        self.deliver_watch(
            at,
            Event::Store(StoreEvent::Health(super::event::Health::Up)),
        );
        self.deliver_watch(at, Event::Store(StoreEvent::Watched(pairs)));
    }

    /// Schedules an event of a host's watch, after all events of that watch scheduled before.
    fn deliver_watch(&mut self, at: usize, event: Event) {
        if self.isolated.contains(&at) {
            return;
        }
        let lag = self.watch_lags.get(&at).copied().unwrap_or_default();
        let due = self
            .delivery_time()
            .after(lag)
            .max(self.hosts[at].last_watch_event);
        self.hosts[at].last_watch_event = due;
        let incarnation = self.hosts[at].incarnation;
        self.schedule(due, Pending::Event(at, incarnation, Box::new(event)));
    }

    fn delivery_time(&mut self) -> Time {
        let micros = self.rng.random_range(200..4000);
        self.now.after(Duration::from_micros(micros))
    }

    fn schedule(&mut self, due: Time, what: Pending) {
        self.sequence += 1;
        self.pending.insert((due, self.sequence), what);
    }

    /// Sends a call that must run at most once to a host; returns its number.
    pub fn call(&mut self, at: usize, key: &str, body: u8) -> usize {
        self.send(at, "POST", key, body)
    }

    /// Sends a call to a host; returns its number.
    pub fn send(&mut self, at: usize, method: &str, key: &str, body: u8) -> usize {
        let tag = self.sent.len();
        self.sent.push(SentCall {
            key: key.into(),
            id: "".into(),
            result: None,
        });
        let arrival = Arrival {
            tag: tag as u64,
            key_hash: KeyHash::of(CUSTOMER_KEY),
            spec: RequestSpec::Service(ServiceRequest {
                service: SERVICE.into(),
                method: method.into(),
                path: "/extensions".into(),
            }),
            idempotency_key: Some(key.into()),
            fingerprint: Fingerprint([body; 16]),
        };
        let event = RequestEvent::Arrived(Box::new(arrival));
        if !self.hosts[at].crashed {
            self.feed(at, Event::Request(event));
        }
        tag
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while let Some((&(due, number), _)) = self.pending.first_key_value() {
            if due > end {
                break;
            }
            let what = self
                .pending
                .remove(&(due, number))
                .expect("the first entry exists");
            self.now = self.now.max(due);
            self.handle(what);
        }
        self.now = end;
    }

    fn handle(&mut self, what: Pending) {
        match what {
            Pending::Event(at, incarnation, event) => {
                if self.hosts[at].incarnation == incarnation && !self.hosts[at].crashed {
                    self.feed(at, *event);
                }
            }
            Pending::Store(at, incarnation, effect) => self.store_call(at, incarnation, *effect),
            Pending::Call(call) => self.run_service(call),
        }
        for pair in self.store.changes(self.now) {
            for at in 0..self.hosts.len() {
                if !self.store.down {
                    self.deliver_watch(at, Event::Store(StoreEvent::Watched(vec![pair.clone()])));
                }
            }
        }
    }

    /// Delivers an event to a host and applies the effects.
    pub fn feed(&mut self, at: usize, event: Event) {
        if self.hosts[at].frozen {
            self.hosts[at].queued_events.push(event);
            return;
        }
        let mut out = Effects::new();
        self.hosts[at].core.reduce(self.now, event, &mut out);
        self.apply_effects(at, out);
    }

    fn apply_effects(&mut self, at: usize, out: Effects) {
        for effect in out {
            self.apply_effect(at, effect);
        }
    }

    /// Asserts that no idempotency key ran twice, that no call that ran was reported as not run,
    /// and that each response belongs to its call.
    pub fn check(&self, what: &str) {
        for (key, runs) in &self.runs_by_key {
            assert!(*runs <= 1, "{what}: {key} ran {runs} times");
        }
        for sent in &self.sent {
            let ran = self.runs_by_id.contains_key(&sent.id);
            match &sent.result {
                Some(CallerResult::Refused(refusal)) if refusal.ran == Ran::No => {
                    assert!(!ran, "{what}: {} ran but was reported as not run", sent.id);
                }
                Some(CallerResult::Reply(result)) => {
                    assert_eq!(
                        *result.body,
                        *sent.key.as_bytes(),
                        "{what}: the caller got the response of another call"
                    );
                }
                _ => {}
            }
        }
    }
}
