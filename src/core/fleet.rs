//! Engines and services: the platform's list, load reports, and this host's own counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::effect::{Effect, log_event};
use super::event::{Entry, EntryKind, FleetEvent, Report, Role, Timer};
use super::key::{BackendKey, HostKey, PoolKey};
use super::message::{Listing, Message};
use super::{Core, Effects, Time, load, order, share};
use crate::settings::{PoolSettings, Settings};

/// Time between two reads of a back end's load report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// First time a back end that failed gets no new work; doubled with each failure after it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time a back end that failed gets no new work.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time peers are told of back ends that are leaving, after the last that began or ceased to.
const LEAVING_NOTICE_TIME: Duration = Duration::from_mins(10);
/// Most back ends that peers are told of.
const MAX_LEAVING_NAMES: usize = 256;

/// Whether new work goes to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// It takes new work.
    #[default]
    Serving,
    /// It is being withdrawn for a change and finishes what it has.
    Withdrawn,
    /// The platform's list says it is leaving, or no longer names it.
    Leaving,
}

/// A pool of engines and its settings.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Name.
    pub name: Box<str>,
    /// Settings.
    pub settings: PoolSettings,
    /// Its engines, in name order.
    pub engines: Vec<BackendKey>,
    /// Tokens that answers had and that their callers allowed, older ones counted less.
    pub length: (f64, f64),
}

/// An engine or a service instance.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name.
    pub name: Box<str>,
    /// Whether it is an engine or a service.
    pub kind: EntryKind,
    /// Pool or service it belongs to.
    pub pool: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// What the platform's list says.
    pub listed: Standing,
    /// What the pool's routing state says.
    pub routed: Standing,
    /// Role by the pool's routing state.
    pub role: Role,
    /// Streams and calls of this host that run there now.
    pub streams: u32,
    /// Prompt tokens this host sent there that have brought no first token yet.
    pub prefill: u64,
    /// Tokens this host's streams there may still generate.
    pub decode: u64,
    /// Last load report and when it was read.
    pub report: Option<(Time, Report)>,
    /// Seconds a prompt token took there, measured over this host's requests; 0 before the first.
    pub pace: f64,
    /// What else this host has measured of it.
    pub measured: load::Measured,
    /// Streams of other hosts there, as far as they told.
    pub others: BTreeMap<HostKey, u32>,
    /// Streams of this host there when the last report was read.
    pub told: u32,
    /// Low half of the hash of the name.
    pub seed: u32,
    /// Failures since the last success.
    pub fails: u32,
    /// It gets no new work before this time.
    pub retry: Time,
}

impl Backend {
    /// Returns whether new work may go there.
    #[must_use]
    pub fn takes(&self, now: Time) -> bool {
        self.listed == Standing::Serving && self.routed == Standing::Serving && now >= self.retry
    }
}

/// Engines and services as this host knows them.
#[derive(Debug)]
pub struct Fleet {
    /// Engines and services.
    pub arena: SlotMap<BackendKey, Backend>,
    names: BTreeMap<Box<str>, BackendKey>,
    /// Pools, in name order; a [`PoolKey`] is a position here.
    pub pools: Vec<Pool>,
    /// Service instances by service name.
    pub services: BTreeMap<Box<str>, Vec<BackendKey>>,
    /// Hosts that the platform's list names.
    pub hosts: BTreeSet<Box<str>>,
    /// Hosts that the platform's list calls leaving.
    pub leaving: BTreeSet<Box<str>>,
    /// When the platform's list was last read.
    pub read: Option<Time>,
    /// Back ends that the list called leaving or no longer named.
    gone: BTreeSet<Box<str>>,
    /// When that set last changed.
    changed: Time,
    /// Which peer said that a back end is leaving, where this host's own list does not say so.
    words: BTreeMap<Box<str>, HostKey>,
    /// When the other hosts were last told of this host's streams.
    pub streams_told: Time,
    /// Prompt and output tokens sent to each pool since its holder was last told.
    pub taken: BTreeMap<Box<str>, (u64, u64)>,
}

impl Fleet {
    /// Creates the state of a host that has not read the list yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let pools = settings.pools.iter().map(|(name, settings)| Pool {
            name: name.clone(),
            settings: settings.clone(),
            engines: Vec::new(),
            length: (0.0, 0.0),
        });
        let services = settings.services.keys().cloned();
        Self {
            arena: SlotMap::with_key(),
            names: BTreeMap::new(),
            pools: pools.collect(),
            services: services.map(|name| (name, Vec::new())).collect(),
            hosts: BTreeSet::new(),
            leaving: BTreeSet::new(),
            read: None,
            gone: BTreeSet::new(),
            changed: Time::default(),
            words: BTreeMap::new(),
            streams_told: Time::default(),
            taken: BTreeMap::new(),
        }
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<PoolKey> {
        let at = self.pools.iter().position(|pool| &*pool.name == name)?;
        u16::try_from(at).ok().map(PoolKey)
    }

    /// Returns the pools that serve a model.
    pub fn serving(&self, model: &str) -> impl Iterator<Item = &Pool> {
        self.pools
            .iter()
            .filter(move |pool| &*pool.settings.model == model)
    }

    /// Returns the key of a back end.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<BackendKey> {
        self.names.get(name).copied()
    }

    /// Counts work sent to a back end.
    pub fn sent(&mut self, key: BackendKey, prompt: u64, output: u64) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.streams += 1;
            backend.prefill += prompt;
            backend.decode += output;
            if backend.kind == EntryKind::Engine {
                let taken = self.taken.entry(backend.pool.clone()).or_default();
                taken.0 += prompt;
                taken.1 += output;
            }
        }
    }

    /// Counts work that ended at a back end.
    pub fn ended(&mut self, key: BackendKey, prompt: u64, output: u64) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.streams = backend.streams.saturating_sub(1);
            backend.prefill = backend.prefill.saturating_sub(prompt);
            backend.decode = backend.decode.saturating_sub(output);
        }
    }

    /// Notes that a back end answered.
    pub fn works(&mut self, key: BackendKey) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.fails = 0;
        }
    }

    /// Notes that a back end failed: it gets no new work for a while.
    pub fn failed(&mut self, key: BackendKey, now: Time) {
        if let Some(backend) = self.arena.get_mut(key) {
            let factor = 2_u32.saturating_pow(backend.fails.min(8));
            backend.fails += 1;
            backend.retry = now.after((INITIAL_BACKOFF * factor).min(MAX_BACKOFF));
        }
    }

    /// Brings pools and services in line with the arena.
    fn regroup(&mut self) {
        for pool in &mut self.pools {
            pool.engines.clear();
        }
        for instances in self.services.values_mut() {
            instances.clear();
        }
        for &key in self.names.values() {
            let backend = &self.arena[key];
            match backend.kind {
                EntryKind::Engine => {
                    let pool = self.pools.iter_mut().find(|pool| pool.name == backend.pool);
                    if let Some(pool) = pool {
                        pool.engines.push(key);
                    }
                }
                EntryKind::Service => {
                    if let Some(instances) = self.services.get_mut(&backend.pool) {
                        instances.push(key);
                    }
                }
                EntryKind::Host => {}
            }
        }
    }
}

/// Reads the list at once and the reports soon after.
pub fn start(core: &mut Core, out: &mut Effects) {
    timer(core, Timer::Listing, out);
    timer(core, Timer::Reports, out);
}

/// Reads the list or the reports.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    let every = if timer == Timer::Listing {
        out.push(Effect::List);
        tell(core, out);
        core.settings.platform.refresh
    } else {
        let engines = core.fleet.arena.values();
        let engines = engines.filter(|backend| backend.kind == EntryKind::Engine);
        out.extend(engines.map(|engine| Effect::Load {
            name: engine.name.clone(),
            addr: engine.addr,
        }));
        REPORT_INTERVAL
    };
    out.push(Effect::Wake {
        at: core.now.after(every),
        timer,
    });
}

/// Takes in a list, a report or an order's answer.
pub fn step(core: &mut Core, event: FleetEvent, out: &mut Effects) {
    match event {
        FleetEvent::Listed(entries) => listed(core, entries, out),
        FleetEvent::Report { name, report } => {
            if let (Some(key), Some(report)) = (core.fleet.find(&name), report) {
                let backend = &mut core.fleet.arena[key];
                backend.report = Some((core.now, report));
                if backend.others.is_empty() {
                    backend.told = backend.streams;
                }
            }
        }
        FleetEvent::Probed { addr, probe } => order::probed(core, addr, probe),
        FleetEvent::Ordered {
            name,
            fence,
            order,
            result,
        } => order::ordered(core, &name, fence, order, result, out),
    }
}

/// Takes in the platform's list: what it no longer names gets no new work.
fn listed(core: &mut Core, entries: Vec<Entry>, out: &mut Effects) {
    let hosts = entries.iter().filter(|entry| entry.kind == EntryKind::Host);
    share::listed(core, hosts.map(|entry| &*entry.name));
    let now = core.now;
    let fleet = &mut core.fleet;
    fleet.read = Some(now);
    fleet.words.clear();
    let mut gone: BTreeSet<Box<str>> = fleet.names.keys().cloned().collect();
    fleet.leaving.clear();
    fleet.hosts.clear();
    for entry in entries {
        if entry.kind == EntryKind::Host {
            fleet.hosts.insert(entry.name.clone());
            if entry.leaving {
                fleet.leaving.insert(entry.name);
            }
            continue;
        }
        gone.remove(&entry.name);
        let changed = if entry.leaving {
            fleet.gone.insert(entry.name.clone())
        } else {
            fleet.gone.remove(&entry.name)
        };
        if changed {
            fleet.changed = now;
        }
        take_entry(fleet, entry, out);
    }
    for name in gone {
        let key = fleet.names[&name];
        if fleet.gone.insert(name.clone()) {
            fleet.changed = now;
        }
        if fleet.arena[key].streams == 0 {
            fleet.names.remove(&name);
            fleet.arena.remove(key);
        } else {
            fleet.arena[key].listed = Standing::Leaving;
        }
    }
    fleet.regroup();
    order::fleet_changed(core, out);
}

/// Tells peers which back ends are leaving: one of them may be cut off from the list.
fn tell(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let fleet = &mut core.fleet;
    let Some(read) = fleet
        .read
        .filter(|_| now.since(fleet.changed) < LEAVING_NOTICE_TIME)
    else {
        return;
    };
    let age = u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX);
    let listing = Listing {
        age,
        leaving: fleet.gone.iter().take(MAX_LEAVING_NAMES).cloned().collect(),
    };
    for to in core.members.peers() {
        let message = Message::Listing(listing.clone());
        out.push(Effect::Send { to, message });
    }
}

/// Takes a peer's word on back ends that are leaving, where its list is newer than this host's.
///
/// Only the peer that called a back end leaving may call it back: another that never knew of it
/// does not name it either.
pub fn told(core: &mut Core, from: HostKey, listing: &Listing, out: &mut Effects) {
    let own = core.fleet.read;
    let own = own.map_or(u128::MAX, |read| core.now.since(read).as_millis());
    if u128::from(listing.age) >= own {
        return;
    }
    let fleet = &mut core.fleet;
    let back: Vec<Box<str>> = fleet
        .words
        .iter()
        .filter(|(name, host)| **host == from && !listing.leaving.contains(name))
        .map(|(name, _)| name.clone())
        .collect();
    for name in back {
        fleet.words.remove(&name);
        if let Some(key) = fleet.find(&name) {
            fleet.arena[key].listed = Standing::Serving;
        }
    }
    for name in &listing.leaving {
        let Some(key) = fleet.find(name) else {
            continue;
        };
        if fleet.arena[key].listed != Standing::Leaving {
            let text = format!("{name} is leaving by a peer's list");
            out.push(log_event(log::Level::Info, "backend.listed", text));
            fleet.arena[key].listed = Standing::Leaving;
            fleet.words.insert(name.clone(), from);
        }
    }
}

fn take_entry(fleet: &mut Fleet, entry: Entry, out: &mut Effects) {
    let listed = if entry.leaving {
        Standing::Leaving
    } else {
        Standing::Serving
    };
    if let Some(&key) = fleet.names.get(&entry.name) {
        let backend = &mut fleet.arena[key];
        if backend.listed != listed {
            let text = format!("{} is {listed:?} by the platform's list", entry.name);
            out.push(log_event(log::Level::Info, "backend.listed", text));
        }
        backend.listed = listed;
        backend.addr = entry.addr;
        backend.domain = entry.domain;
        return;
    }
    let name = entry.name.clone();
    let hash = name
        .bytes()
        .fold(0, |hash, byte| load::mix(hash ^ u64::from(byte)));
    let seed = u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default();
    let key = fleet.arena.insert(Backend {
        name: entry.name,
        kind: entry.kind,
        pool: entry.pool,
        addr: entry.addr,
        domain: entry.domain,
        listed,
        routed: Standing::Serving,
        role: Role::Both,
        streams: 0,
        prefill: 0,
        decode: 0,
        report: None,
        pace: 0.0,
        measured: load::Measured::default(),
        others: BTreeMap::new(),
        told: 0,
        seed,
        fails: 0,
        retry: Time::default(),
    });
    fleet.names.insert(name, key);
}
