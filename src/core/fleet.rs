//! Engines and services: the platform's list, load reports, and this host's own work there.

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

/// Time between two reads of a backend's load report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Initial backoff after a backend failed; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after failures of a backend.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time for which peers are sent the leaving backends after that set last changed.
const LEAVING_NOTICE_TIME: Duration = Duration::from_mins(10);
/// Maximum number of backends in such a message.
const MAX_LEAVING_NAMES: usize = 256;

/// Whether new work goes to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServingState {
    /// It gets new work.
    #[default]
    Serving,
    /// It is being drained for a change: it finishes its work and gets no new work.
    Withdrawn,
    /// The platform's list marks it as leaving, or no longer names it.
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
    /// Tokens that answers had, and that their callers allowed; both decay with each answer.
    pub answer_tokens: (f64, f64),
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
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// State by the platform's list.
    pub listed: ServingState,
    /// State by the pool's routing state.
    pub routed: ServingState,
    /// Role by the pool's routing state.
    pub role: Role,
    /// Streams and calls of this host that are running there.
    pub streams: u32,
    /// Prompt tokens that this host sent there and that have produced no first token yet.
    pub prefill: u64,
    /// Tokens that this host's streams there may still generate.
    pub decode: u64,
    /// Last load report, and when it was read.
    pub report: Option<(Time, Report)>,
    /// Seconds per prompt token, measured over this host's requests; 0 before the first.
    pub pace: f64,
    /// Further measurements of this host.
    pub measured: load::Measured,
    /// Streams of other hosts there, as reported by them.
    pub peer_streams: BTreeMap<HostKey, u32>,
    /// Streams of this host there when it last sent its own counts, or last read the load report.
    pub reported_streams: u32,
    /// Low half of the hash of the name.
    pub name_hash: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// It gets no new work before this time.
    pub retry_at: Time,
}

impl Backend {
    /// Whether new work may go there.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        self.listed == ServingState::Serving
            && self.routed == ServingState::Serving
            && now >= self.retry_at
    }
}

/// The engines and services that are known to this host.
#[derive(Debug)]
pub struct Fleet {
    /// Engines and services.
    pub arena: SlotMap<BackendKey, Backend>,
    by_name: BTreeMap<Box<str>, BackendKey>,
    /// Pools, in name order; a [`PoolKey`] is a position here.
    pub pools: Vec<Pool>,
    /// Service instances by service name.
    pub services: BTreeMap<Box<str>, Vec<BackendKey>>,
    /// Hosts that the platform's list names.
    pub hosts: BTreeSet<Box<str>>,
    /// Hosts that the platform's list marks as leaving.
    pub leaving_hosts: BTreeSet<Box<str>>,
    /// When the platform's list was last read.
    pub read_at: Option<Time>,
    /// Backends that the list marked as leaving or no longer named.
    leaving_backends: BTreeSet<Box<str>>,
    /// When that set last changed.
    leaving_changed: Time,
    /// Peer that reported a backend as leaving, for backends that this host's own list does not mark.
    leaving_by_peer: BTreeMap<Box<str>, HostKey>,
    /// When this host last sent its stream counts to the others.
    pub streams_sent_at: Time,
    /// Prompt and output tokens sent to each pool since the last demand report to its holder.
    pub unsent_demand: BTreeMap<Box<str>, (u64, u64)>,
}

impl Fleet {
    /// Creates the state of a host that has not read the list yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let pools = settings.pools.iter().map(|(name, settings)| Pool {
            name: name.clone(),
            settings: settings.clone(),
            engines: Vec::new(),
            answer_tokens: (0.0, 0.0),
        });
        let services = settings.services.keys().cloned();
        Self {
            arena: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            pools: pools.collect(),
            services: services.map(|name| (name, Vec::new())).collect(),
            hosts: BTreeSet::new(),
            leaving_hosts: BTreeSet::new(),
            read_at: None,
            leaving_backends: BTreeSet::new(),
            leaving_changed: Time::default(),
            leaving_by_peer: BTreeMap::new(),
            streams_sent_at: Time::default(),
            unsent_demand: BTreeMap::new(),
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

    /// Returns the key of a backend.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Counts work sent to a backend.
    pub fn add_work(&mut self, key: BackendKey, prompt: u64, output: u64) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.streams += 1;
            backend.prefill += prompt;
            backend.decode += output;
            if backend.kind == EntryKind::Engine {
                let demand = self.unsent_demand.entry(backend.pool.clone()).or_default();
                demand.0 += prompt;
                demand.1 += output;
            }
        }
    }

    /// Subtracts work that ended at a backend.
    pub fn remove_work(&mut self, key: BackendKey, prompt: u64, output: u64) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.streams = backend.streams.saturating_sub(1);
            backend.prefill = backend.prefill.saturating_sub(prompt);
            backend.decode = backend.decode.saturating_sub(output);
        }
    }

    /// Records that a backend answered.
    pub fn record_success(&mut self, key: BackendKey) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.failures = 0;
        }
    }

    /// Records that a backend failed: it gets no new work for the backoff.
    pub fn record_failure(&mut self, key: BackendKey, now: Time) {
        if let Some(backend) = self.arena.get_mut(key) {
            let factor = 2_u32.saturating_pow(backend.failures.min(8));
            backend.failures += 1;
            backend.retry_at = now.after((INITIAL_BACKOFF * factor).min(MAX_BACKOFF));
        }
    }

    /// Rebuilds the members of pools and services from the arena.
    fn regroup(&mut self) {
        for pool in &mut self.pools {
            pool.engines.clear();
        }
        for instances in self.services.values_mut() {
            instances.clear();
        }
        for &key in self.by_name.values() {
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

/// Starts the periodic reads of the list and of the load reports.
pub fn start(core: &mut Core, out: &mut Effects) {
    timer(core, Timer::Listing, out);
    timer(core, Timer::Reports, out);
}

/// Reads the list or the reports.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    let interval = if timer == Timer::Listing {
        out.push(Effect::ReadListing);
        send_listing(core, out);
        core.settings.platform.refresh_interval
    } else {
        let engines = core.fleet.arena.values();
        let engines = engines.filter(|backend| backend.kind == EntryKind::Engine);
        out.extend(engines.map(|engine| Effect::ReadLoad {
            name: engine.name.clone(),
            addr: engine.addr,
        }));
        REPORT_INTERVAL
    };
    out.push(Effect::SetTimer {
        at: core.now.after(interval),
        timer,
    });
}

/// Handles a list, a load report, a probe result or an order's result.
pub fn step(core: &mut Core, event: FleetEvent, out: &mut Effects) {
    match event {
        FleetEvent::Listed(entries) => apply_listing(core, entries, out),
        FleetEvent::Report { name, report } => {
            if let (Some(key), Some(report)) = (core.fleet.find(&name), report) {
                let backend = &mut core.fleet.arena[key];
                backend.report = Some((core.now, report));
                if backend.peer_streams.is_empty() {
                    backend.reported_streams = backend.streams;
                }
            }
        }
        FleetEvent::Probed {
            addr,
            result: probe,
        } => order::probed(core, addr, probe),
        FleetEvent::OrderAnswered {
            name,
            fence,
            number: order,
            result,
        } => order::order_answered(core, &name, fence, order, result, out),
    }
}

/// Applies the platform's list: backends that it no longer names get no new work.
fn apply_listing(core: &mut Core, entries: Vec<Entry>, out: &mut Effects) {
    let hosts = entries.iter().filter(|entry| entry.kind == EntryKind::Host);
    share::hosts_listed(core, hosts.map(|entry| &*entry.name));
    let now = core.now;
    let fleet = &mut core.fleet;
    fleet.read_at = Some(now);
    fleet.leaving_by_peer.clear();
    let mut unlisted: BTreeSet<Box<str>> = fleet.by_name.keys().cloned().collect();
    fleet.leaving_hosts.clear();
    fleet.hosts.clear();
    for entry in entries {
        if entry.kind == EntryKind::Host {
            fleet.hosts.insert(entry.name.clone());
            if entry.leaving {
                fleet.leaving_hosts.insert(entry.name);
            }
            continue;
        }
        unlisted.remove(&entry.name);
        let changed = if entry.leaving {
            fleet.leaving_backends.insert(entry.name.clone())
        } else {
            fleet.leaving_backends.remove(&entry.name)
        };
        if changed {
            fleet.leaving_changed = now;
        }
        apply_entry(fleet, entry, out);
    }
    for name in unlisted {
        let key = fleet.by_name[&name];
        if fleet.leaving_backends.insert(name.clone()) {
            fleet.leaving_changed = now;
        }
        if fleet.arena[key].streams == 0 {
            fleet.by_name.remove(&name);
            fleet.arena.remove(key);
        } else {
            fleet.arena[key].listed = ServingState::Leaving;
        }
    }
    fleet.regroup();
    order::fleet_changed(core, out);
}

/// Sends the leaving backends to the peers, some of which may be cut off from the list.
fn send_listing(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let fleet = &mut core.fleet;
    let Some(read) = fleet
        .read_at
        .filter(|_| now.since(fleet.leaving_changed) < LEAVING_NOTICE_TIME)
    else {
        return;
    };
    let age = u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX);
    let listing = Listing {
        age_ms: age,
        leaving: fleet
            .leaving_backends
            .iter()
            .take(MAX_LEAVING_NAMES)
            .cloned()
            .collect(),
    };
    for to in core.members.peers() {
        let message = Message::Listing(listing.clone());
        out.push(Effect::Send { to, message });
    }
}

/// Applies a peer's report of leaving backends if its list is newer than this host's.
///
/// Only the peer that reported a backend as leaving may retract that report: a peer that never knew the backend does
/// not name it either.
pub fn receive_listing(core: &mut Core, from: HostKey, listing: &Listing, out: &mut Effects) {
    let own_read = core.fleet.read_at;
    let own_age = own_read.map_or(u128::MAX, |read| core.now.since(read).as_millis());
    if u128::from(listing.age_ms) >= own_age {
        return;
    }
    let fleet = &mut core.fleet;
    let retracted: Vec<Box<str>> = fleet
        .leaving_by_peer
        .iter()
        .filter(|(name, host)| **host == from && !listing.leaving.contains(name))
        .map(|(name, _)| name.clone())
        .collect();
    for name in retracted {
        fleet.leaving_by_peer.remove(&name);
        if let Some(key) = fleet.find(&name) {
            fleet.arena[key].listed = ServingState::Serving;
        }
    }
    for name in &listing.leaving {
        let Some(key) = fleet.find(name) else {
            continue;
        };
        if fleet.arena[key].listed != ServingState::Leaving {
            let text = format!("{name} is leaving according to a peer's list");
            out.push(log_event(log::Level::Info, "backend.listed", text));
            fleet.arena[key].listed = ServingState::Leaving;
            fleet.leaving_by_peer.insert(name.clone(), from);
        }
    }
}

fn apply_entry(fleet: &mut Fleet, entry: Entry, out: &mut Effects) {
    let listed = if entry.leaving {
        ServingState::Leaving
    } else {
        ServingState::Serving
    };
    if let Some(&key) = fleet.by_name.get(&entry.name) {
        let backend = &mut fleet.arena[key];
        if backend.listed != listed {
            let text = format!(
                "{} is {listed:?} according to the platform's list",
                entry.name
            );
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
    let name_hash = u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default();
    let key = fleet.arena.insert(Backend {
        name: entry.name,
        kind: entry.kind,
        pool: entry.pool,
        addr: entry.addr,
        domain: entry.domain,
        listed,
        routed: ServingState::Serving,
        role: Role::Both,
        streams: 0,
        prefill: 0,
        decode: 0,
        report: None,
        pace: 0.0,
        measured: load::Measured::default(),
        peer_streams: BTreeMap::new(),
        reported_streams: 0,
        name_hash,
        failures: 0,
        retry_at: Time::default(),
    });
    fleet.by_name.insert(name, key);
}
