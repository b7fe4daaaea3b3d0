//! Several cores in virtual time, connected by a simulated network and store in which tests inject
//! faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::BytesMut;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::core::event::{
    Arrival, Entry, EntryKind, Fingerprint, FleetEvent, Health, ModelRequest, PeerEvent,
    RequestEvent, RequestSpec, ServiceRequest, StoreEvent, StoreReply, StoreResult, StoredResponse,
    WatchedKey,
};
use crate::core::key::{AttemptKey, RequestKey};
use crate::core::message::Message;
use crate::core::share::pledge::{self, Source};
use crate::core::{Core, Effect, Effects, Event, Time, config};
use crate::error::Kind;
use crate::lists::KeyHash;
use crate::settings::Settings;
use crate::store::{Op, TxnReply};
use crate::wire::{Frame, encode};

/// Time after which a registration that is not renewed expires.
const LEASE_TTL: Duration = Duration::from_secs(2);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of a frame's length prefix.
const FRAME_HEADER_BYTES: usize = 4;
const API_KEY: &str = "key";

/// An event that is due at a point in virtual time.
#[derive(Debug)]
enum QueuedEvent {
    Event {
        host: usize,
        life: u32,
        event: Event,
    },
    Arrive {
        host: usize,
    },
    Tick,
}

/// A simulated host.
#[derive(Debug)]
pub struct Host {
    pub core: Option<Core>,
    pub name: Box<str>,
    life: u32,
    /// Requests that arrive per second.
    pub load: f64,
    pub store: bool,
    pub paused: Time,
    /// Delivery time of the last watched change; later ones come no earlier, in order.
    last_watch: Time,
}

/// A request that was admitted.
#[derive(Debug, Clone, Copy)]
pub struct Admitted {
    pub at: Time,
    pub requests: f64,
    pub tokens: f64,
}

/// What every request asks for, and what running it takes.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub prompt: u32,
    /// Most output tokens, as asked for, and output tokens generated.
    pub output: u32,
    pub generated: u32,
    /// Time for which a request runs.
    pub duration: Duration,
}

#[derive(Debug)]
pub struct Site {
    pub now: Time,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    pub admitted: Vec<Admitted>,
    pub arrived: usize,
    pub refused: usize,
    /// Requests running, by host, life and key; and the most there were concurrently.
    running: BTreeSet<(usize, u32, RequestKey)>,
    pub max_running: usize,
    /// Bytes of frames sent between hosts.
    pub bytes: usize,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub load: Load,
    uses: Box<str>,
    registered: BTreeMap<Box<str>, (Box<[u8]>, Time)>,
    events: BTreeMap<(Time, u64), QueuedEvent>,
    count: u64,
    tag: u64,
}

impl Site {
    pub fn new(hosts: usize, uses: &str, load: Load, seed: u64) -> Self {
        let mut site = Self {
            now: Time::from_millis(10_000),
            rng: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            admitted: Vec::new(),
            arrived: 0,
            refused: 0,
            running: BTreeSet::new(),
            max_running: 0,
            bytes: 0,
            cut_links: BTreeSet::new(),
            load,
            uses: format!(
                "[plan p]\nmodels = m\nservices = s\n{uses}\n[service s]\nrepeat = GET *\n"
            )
            .into(),
            registered: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            tag: 0,
        };
        for at in 0..hosts {
            site.start(&format!("host-{at}"));
        }
        site.push(site.now, QueuedEvent::Tick);
        site
    }

    /// Starts a host; it replaces one of the same name where there is one.
    pub fn start(&mut self, name: &str) {
        let settings = settings(name);
        let mut core = Core::new(settings, self.now, 1_000_000, self.rng.random());
        let mut out = Effects::new();
        let key = KeyHash::of(API_KEY);
        let plans = format!("[customer c]\nplan = p\nkeys = {key}\n");
        config::handle_lists(&mut core, 1, &plans, &self.uses, &mut out);
        let existing = self.hosts.iter().position(|host| *host.name == *name);
        let at = existing.unwrap_or(self.hosts.len());
        if existing.is_none() {
            self.hosts.push(Host {
                core: None,
                name: name.into(),
                life: 0,
                load: 0.0,
                store: true,
                paused: Time::default(),
                last_watch: Time::default(),
            });
            self.push(self.now, QueuedEvent::Arrive { host: at });
        }
        let host = &mut self.hosts[at];
        host.core = Some(core);
        host.paused = Time::default();
        self.feed(at, Event::Start);
        self.feed(at, Event::Fleet(FleetEvent::Listed(entries())));
        self.snapshot(at);
    }

    /// Kills a host's process.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].core = None;
        self.hosts[at].life += 1;
        self.running.retain(|(host, _, _)| *host != at);
    }

    /// Connects a host to the store or disconnects it.
    pub fn set_store(&mut self, at: usize, reached: bool) {
        if reached && !self.hosts[at].store {
            self.hosts[at].store = true;
            self.snapshot(at);
        }
        if !reached && self.hosts[at].store {
            self.feed_delayed(at, Event::Store(StoreEvent::Health(Health::Down)));
        }
        self.hosts[at].store = reached;
    }

    fn snapshot(&mut self, at: usize) {
        if !self.hosts[at].store {
            return;
        }
        let names: BTreeSet<Box<str>> = self.hosts.iter().map(|host| host.name.clone()).collect();
        let pairs = names.into_iter().map(|name| self.watched(&name)).collect();
        self.feed_delayed(at, Event::Store(StoreEvent::Health(Health::Up)));
        self.watch(at, pairs);
    }

    fn watched(&self, name: &str) -> WatchedKey {
        WatchedKey {
            key: format!("host/{name}").into(),
            value: self.registered.get(name).map(|(value, _)| value.clone()),
            modified: 1,
        }
    }

    fn push(&mut self, at: Time, item: QueuedEvent) {
        self.count += 1;
        self.events.insert((at, self.count), item);
    }

    fn feed(&mut self, host: usize, event: Event) {
        let life = self.hosts[host].life;
        let at = self.now;
        self.push(at, QueuedEvent::Event { host, life, event });
    }

    /// Feeds an event after a random network delay.
    fn feed_delayed(&mut self, host: usize, event: Event) {
        let life = self.hosts[host].life;
        let at = self
            .now
            .after(Duration::from_micros(self.rng.random_range(500..2500)));
        self.push(at, QueuedEvent::Event { host, life, event });
    }

    fn watch(&mut self, host: usize, pairs: Vec<WatchedKey>) {
        let life = self.hosts[host].life;
        let delay = Duration::from_micros(self.rng.random_range(500..2500));
        let at = self.now.after(delay).max(self.hosts[host].last_watch);
        self.hosts[host].last_watch = at;
        let event = Event::Store(StoreEvent::Watched(pairs));
        self.push(at, QueuedEvent::Event { host, life, event });
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.step(item);
        }
        self.now = end;
    }

    fn step(&mut self, item: QueuedEvent) {
        match item {
            QueuedEvent::Tick => {
                self.expire_leases();
                self.push(self.now.after(TICK_INTERVAL), QueuedEvent::Tick);
            }
            QueuedEvent::Arrive { host } => self.arrive(host),
            QueuedEvent::Event { host, life, event } => self.deliver(host, life, event),
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        let lapsed: Vec<Box<str>> = self
            .registered
            .iter()
            .filter(|(_, (_, renewed))| now.since(*renewed) > LEASE_TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.registered.remove(&name);
            self.notify_watchers(&name);
        }
    }

    fn notify_watchers(&mut self, name: &str) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].store {
                let pairs = vec![self.watched(name)];
                self.watch(at, pairs);
            }
        }
    }

    fn arrive(&mut self, host: usize) {
        let load = self.hosts[host].load;
        let wait = if load > 0.0 {
            let draw: f64 = self.rng.random_range(0.0001..1.0);
            Duration::from_secs_f64((-draw.ln() / load).min(1.0))
        } else {
            TICK_INTERVAL
        };
        self.push(self.now.after(wait), QueuedEvent::Arrive { host });
        let alive = self.hosts[host].core.is_some() && self.hosts[host].paused <= self.now;
        if load <= 0.0 || !alive {
            return;
        }
        self.tag += 1;
        self.arrived += 1;
        let target = if self.load.prompt > 0 {
            RequestSpec::Model(ModelRequest {
                model: "m".into(),
                prompt_tokens: self.load.prompt,
                max_output: self.load.output,
                prefix_hashes: Vec::new(),
            })
        } else {
            RequestSpec::Service(ServiceRequest {
                service: "s".into(),
                method: "GET".into(),
                path: "/".into(),
            })
        };
        let arrival = Arrival {
            tag: self.tag,
            key_hash: KeyHash::of(API_KEY),
            spec: target,
            idempotency_key: None,
            fingerprint: Fingerprint(u128::from(self.tag).to_le_bytes()),
        };
        self.feed(
            host,
            Event::Request(RequestEvent::Arrived(Box::new(arrival))),
        );
    }

    fn deliver(&mut self, at: usize, life: u32, event: Event) {
        let host = &mut self.hosts[at];
        if host.life != life {
            return;
        }
        if host.paused > self.now {
            let until = host.paused;
            self.push(
                until,
                QueuedEvent::Event {
                    host: at,
                    life,
                    event,
                },
            );
            return;
        }
        let Some(core) = host.core.as_mut() else {
            return;
        };
        let mut out = Effects::new();
        core.reduce(self.now, event, &mut out);
        for effect in out {
            self.apply(at, effect);
        }
    }

    fn apply(&mut self, at: usize, effect: Effect) {
        let life = self.hosts[at].life;
        match effect {
            Effect::SetTimer { at: when, timer } => self.push(
                when,
                QueuedEvent::Event {
                    host: at,
                    life,
                    event: Event::Timer(timer),
                },
            ),
            Effect::Send { to, message } => {
                let core = self.hosts[at].core.as_ref().expect("a running host");
                let Some(name) = core.members.arena.get(to).map(|member| member.name.clone())
                else {
                    return;
                };
                let mut bytes = BytesMut::new();
                encode(&Frame::Message(message.clone()), &mut bytes);
                // Records of requests are not part of the cost measured here.
                if !matches!(message, Message::TraceCopies(_)) {
                    self.bytes += bytes.len() + FRAME_HEADER_BYTES;
                }
                let existing = self.hosts.iter().position(|host| host.name == name);
                let Some(other) = existing.filter(|&other| !self.cut_links.contains(&(at, other)))
                else {
                    return;
                };
                let from = self.hosts[at].name.clone();
                self.feed_delayed(other, Event::Peer(PeerEvent::Message { from, message }));
            }
            Effect::GrantLease { job, .. } => {
                self.reply(at, job, StoreResult::Lease(i64::from(life) + 7));
            }
            Effect::RenewLease { job, lease } => {
                let (now, store) = (self.now, self.hosts[at].store);
                let entry = self
                    .registered
                    .get_mut(&self.hosts[at].name)
                    .filter(|_| store);
                let renewed = entry.map(|entry| entry.1 = now).map_or(0, |()| lease);
                self.reply(at, job, StoreResult::Lease(renewed));
            }
            Effect::Txn { job, txn } => self.write(at, job, &txn.then),
            Effect::CallService {
                request, attempt, ..
            } => self.admit(at, request, attempt, None),
            Effect::OpenStream(open) => {
                self.admit(at, open.request, open.attempt, Some(self.load.generated));
            }
            Effect::Reply { request, .. } | Effect::Finish(request) => {
                self.running.remove(&(at, life, request));
            }
            Effect::Refuse { refusal, .. } => {
                self.refused += 1;
                let kinds = [Kind::ShareSpent, Kind::CutOff];
                assert!(
                    kinds.contains(&refusal.kind),
                    "unexpected refusal: {refusal:?}"
                );
            }
            _ => {}
        }
    }

    fn reply(&mut self, at: usize, job: crate::core::event::Job, result: StoreResult) {
        let result = if self.hosts[at].store {
            result
        } else {
            StoreResult::Unknown
        };
        self.feed_delayed(
            at,
            Event::Store(StoreEvent::Reply(StoreReply { job, result })),
        );
    }

    fn write(&mut self, at: usize, job: crate::core::event::Job, ops: &[Op]) {
        let Some(Op::Put { value, .. }) = ops.first().filter(|_| self.hosts[at].store) else {
            return;
        };
        let name = self.hosts[at].name.clone();
        let value = value.to_vec().into();
        self.registered.insert(name.clone(), (value, self.now));
        let done = TxnReply {
            succeeded: true,
            revision: 1,
            replies: Vec::new(),
        };
        self.reply(at, job, StoreResult::Txn(done));
        self.notify_watchers(&name);
    }

    fn admit(
        &mut self,
        at: usize,
        request: RequestKey,
        attempt: AttemptKey,
        generated: Option<u32>,
    ) {
        let life = self.hosts[at].life;
        self.running.insert((at, life, request));
        self.max_running = self.max_running.max(self.running.len());
        self.admitted.push(Admitted {
            at: self.now,
            requests: 1.0,
            tokens: generated.map_or(0.0, |generated| f64::from(self.load.prompt + generated)),
        });
        let end = self.now.after(self.load.duration);
        let events = match generated {
            None => vec![RequestEvent::Answered {
                attempt,
                result: StoredResponse::default(),
            }],
            Some(tokens) => vec![
                RequestEvent::StreamEvent {
                    attempt,
                    offset: 0,
                    tokens,
                },
                RequestEvent::StreamEvent {
                    attempt,
                    offset: u64::from(tokens),
                    tokens: 0,
                },
                RequestEvent::StreamCompleted(attempt),
            ],
        };
        for event in events {
            let event = Event::Request(event);
            self.push(
                end,
                QueuedEvent::Event {
                    host: at,
                    life,
                    event,
                },
            );
        }
    }

    /// Returns the sum of the fractions that hosts may lend or use now.
    pub fn lendable_fraction(&mut self) -> f64 {
        let now = self.now;
        let running = self.hosts.iter_mut().filter(|host| host.paused <= now);
        let cores = running.filter_map(|host| host.core.as_mut());
        let fractions = cores.map(|core| {
            core.now = now;
            match pledge::source(core, "p") {
                Source::Local => pledge::pledged(core, "p").fraction,
                Source::OwnFraction => pledge::own_fraction(core),
                Source::Peer(_) | Source::OwnerSilent(_) => 0.0,
            }
        });
        fractions.sum()
    }

    /// Returns the most by which the total of any window exceeded `rate` times its length.
    pub fn max_excess(&self, rate: f64, amount: impl Fn(&Admitted) -> f64) -> f64 {
        let (mut total, mut least, mut excess) = (0.0_f64, f64::INFINITY, 0.0_f64);
        for admitted in &self.admitted {
            let allowed = rate * admitted.at.micros() as f64 / 1e6;
            least = least.min(total - allowed);
            total += amount(admitted);
            excess = excess.max(total - allowed - least);
        }
        excess
    }
}

fn entries() -> Vec<Entry> {
    let entry = |name: &str, kind, pool: &str| Entry {
        name: name.into(),
        kind,
        pool: pool.into(),
        addr: "127.0.0.1:9".parse().expect("an address"),
        domain: "d".into(),
        leaving: false,
    };
    vec![
        entry("m-1", EntryKind::Engine, "m"),
        entry("s-1", EntryKind::Service, "s"),
    ]
}

fn settings(name: &str) -> Settings {
    let hash = KeyHash::of("operator");
    let text = format!(
        "[host]\nname = {name}\nregion = r\ndomain = d\ncallers = 127.0.0.1:1\n\
         operators = 127.0.0.1:2\npeers = 127.0.0.1:3\nsecret = sixteen-bytes-ok\n\
         operator-key-hash = {hash}\n[platform]\nkv = 127.0.0.1:4\nlist = 127.0.0.1:5\n\
         lease = 2s\n[limits]\nrequests = 100000\n[pool m]\nmodel = m\nfencing = checks\n\
         prefill = 1000000\ndecode = 1000000\nslots = 10000\n[service s]\n"
    );
    Settings::parse(&text, "host.ini").expect("valid settings")
}
