//! Membership: registration of hosts, heartbeats, and isolation from the others.

mod heartbeat;
mod inbox;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use slotmap::SlotMap;

use super::effect::{Effect, log_event};
use super::event::{Health, Job, PeerEvent, StoreReply, StoreResult, Timer, WatchedKey};
use super::key::HostKey;
use super::message::Heartbeat;
use super::{Core, Effects, Time, load, once, order, share};
use crate::settings::HostSettings;
use crate::store::{Op, Txn};

pub use heartbeat::send_heartbeats;

/// First segment of the watched keys of host registrations.
pub const WATCH_PREFIX: &str = "host";
/// Time without a message after which a peer counts as unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Another host of this deployment.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name.
    pub name: Box<str>,
    /// Where it listens for peers.
    pub addr: SocketAddr,
    /// Region.
    pub region: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Wall clock at the start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// When its last message was received.
    pub last_seen: Option<Time>,
    /// Last heartbeat received from it.
    pub heartbeat: Heartbeat,
    /// Number of the last heartbeat sent to it.
    pub last_sent: u64,
    /// Number of the last heartbeat sent before the current connection was opened.
    connection_start: u64,
}

/// The hosts, and this host's own registration.
#[derive(Debug)]
pub struct Members {
    /// Other hosts.
    pub arena: SlotMap<HostKey, Member>,
    names: BTreeMap<Box<str>, HostKey>,
    /// This host's name.
    pub name: Box<str>,
    incarnation: u64,
    /// Hash of the names and incarnations of all hosts, this one included when registered.
    pub view: u64,
    /// When the view last changed.
    pub view_since: Time,
    /// Whether this host is registered.
    pub registered: bool,
    /// Whether this host has seen its registration since it started or was last suspended.
    pub confirmed: bool,
    /// Registrations with a lower round number predate the last suspension of this host.
    min_round: u64,
    /// Lease of the registration; 0 for none.
    lease: i64,
    /// Number of the last registration call.
    last_round: u64,
    /// Whether the store answers.
    pub store: Health,
    /// When the store last answered.
    pub store_last_seen: Option<Time>,
}

impl Members {
    /// Creates the state of a host without peers.
    #[must_use]
    pub fn new(host: &HostSettings, incarnation: u64) -> Self {
        Self {
            arena: SlotMap::with_key(),
            names: BTreeMap::new(),
            name: host.name.clone(),
            incarnation,
            view: 0,
            view_since: Time::default(),
            registered: false,
            confirmed: false,
            min_round: 0,
            lease: 0,
            last_round: 0,
            store: Health::Down,
            store_last_seen: None,
        }
    }

    /// Returns the keys of all other hosts, in name order.
    pub fn peers(&self) -> impl Iterator<Item = HostKey> + '_ {
        self.names.values().copied()
    }

    /// Returns when this process started; milliseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the key of a host.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<HostKey> {
        self.names.get(name).copied()
    }

    /// Returns the number of hosts, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.names.len() + 1
    }

    /// Returns whether a message of a peer was received within [`PEER_TIMEOUT`].
    #[must_use]
    pub fn is_alive(&self, host: HostKey, now: Time) -> bool {
        self.arena
            .get(host)
            .and_then(|member| member.last_seen)
            .is_some_and(|seen| now.since(seen) < PEER_TIMEOUT)
    }

    /// Returns the host that owns `what` by rendezvous hashing; `None` for this host.
    ///
    /// Stopping hosts are skipped, so that others take over what they own before they exit.
    #[must_use]
    pub fn remote_owner(&self, what: &str) -> Option<HostKey> {
        let mine = (weight(&self.name, what), None);
        self.names
            .iter()
            .filter(|(_, key)| !self.arena[**key].heartbeat.stopping)
            .map(|(name, key)| (weight(name, what), Some(*key)))
            .fold(mine, std::cmp::max)
            .1
    }

    fn update_view(&mut self, now: Time) {
        let mut hasher = blake3::Hasher::new();
        let mut all: BTreeMap<&str, u64> = self
            .names
            .iter()
            .map(|(name, key)| (&**name, self.arena[*key].incarnation))
            .collect();
        if self.registered {
            all.insert(&self.name, self.incarnation);
        }
        for (name, incarnation) in all {
            hasher.update(format!("{name}\n{incarnation}\n").as_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        let view = u64::from_le_bytes(first);
        if view != self.view {
            self.view = view;
            self.view_since = now;
        }
    }
}

/// Returns the weight of a host for `what` in rendezvous hashing.
pub(super) fn weight(name: &str, what: &str) -> u64 {
    let hash = blake3::hash(format!("{name}\n{what}").as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns up to `count` reachable peers that get copies of this host's trace records, those in
/// other failure domains first.
#[must_use]
pub fn copy_targets(core: &Core, count: usize) -> Vec<HostKey> {
    let members = &core.members;
    let mut peers: Vec<HostKey> = members
        .peers()
        .filter(|&host| members.is_alive(host, core.now))
        .collect();
    peers.sort_by_key(|&host| {
        let peer = &members.arena[host];
        let near = peer.domain == core.settings.host.domain;
        (
            near,
            peer.heartbeat.stopping,
            weight(&peer.name, &members.name),
        )
    });
    peers.truncate(count);
    peers
}

/// Returns whether this host has been cut off for too long to accept new work.
///
/// A host that reaches neither the store nor its peers may act on a routing view in which an engine
/// that was withdrawn long ago is still listed. After [`cut_off_bound`] it refuses work, so that
/// the other hosts need not wait for it.
#[must_use]
pub fn cut_off(core: &Core) -> bool {
    let bound = cut_off_bound(core);
    let members = &core.members;
    let recent = |seen: Option<Time>| seen.is_some_and(|at| core.now.since(at) < bound);
    if !members.confirmed {
        return true;
    }
    // Peers pass on which backend servers are leaving; a host that gets neither the platform's list
    // nor messages of its peers may send work to one that left long ago.
    let peers = members.names.len();
    if peers > 0 && !recent(core.fleet.read_at) && !most_peers_seen(core, bound) {
        return true;
    }
    if recent(members.store_last_seen) {
        return false;
    }
    peers == 0 || !most_peers_seen(core, bound)
}

/// Returns whether at least half of the peers sent a message within `bound`.
fn most_peers_seen(core: &Core, bound: Duration) -> bool {
    let members = &core.members;
    let seen = members
        .peers()
        .filter(|&host| {
            let last_seen = members.arena[host].last_seen;
            last_seen.is_some_and(|at| core.now.since(at) < bound)
        })
        .count();
    seen * 2 >= members.names.len()
}

/// Returns the time without store and peers after which a host accepts no new work.
///
/// It is at least the TTL of a lease: renewals, which show that the store answers, are sent three
/// times per TTL.
#[must_use]
pub fn cut_off_bound(core: &Core) -> Duration {
    let settings = &core.settings;
    settings.limits.cut_off.max(settings.platform.lease_ttl)
}

/// Handles a pause of this process that was as long as its lease or longer.
///
/// The lease of a process that was suspended for so long may have expired, and its sockets hold
/// data from before the pause: outdated watch events, and heartbeats that look recent. The process
/// accepts no new work until the watch shows a registration made after the pause, and with it every
/// earlier change. The lease renewal that is due by now makes that registration.
pub fn detect_pause(core: &mut Core, gap: Duration, out: &mut Effects) {
    if gap < core.settings.platform.lease_ttl || !core.members.confirmed {
        return;
    }
    core.members.confirmed = false;
    // Buffered watch events may show its own registration from before the pause.
    core.members.min_round = core.members.last_round + 1;
    core.members.registered = false;
    core.members.store_last_seen = None;
    order::watch_lost(core);
    let text = format!(
        "no event was processed for {} ms; new work is refused until this host registers again",
        gap.as_millis()
    );
    out.push(log_event(log::Level::Warn, "host.woke", text));
}

/// Starts heartbeats and registration.
pub fn start(core: &mut Core, out: &mut Effects) {
    wake(core, Timer::Heartbeat, heartbeat::HEARTBEAT_INTERVAL, out);
    register(core, out);
}

/// Sends heartbeats, or renews the registration.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    match timer {
        Timer::Heartbeat => {
            share::check_pledges(core);
            send_heartbeats(core, out);
            load::send_streams(core, out);
            wake(core, Timer::Heartbeat, heartbeat::HEARTBEAT_INTERVAL, out);
        }
        Timer::Register => register(core, out),
        _ => {}
    }
}

fn wake(core: &Core, timer: Timer, after: Duration, out: &mut Effects) {
    out.push(Effect::SetTimer {
        at: core.now.after(after),
        timer,
    });
}

/// Requests or renews the lease, and schedules the next renewal.
fn register(core: &mut Core, out: &mut Effects) {
    request_lease(core, out);
    let life = core.settings.platform.lease_ttl;
    wake(core, Timer::Register, life / 3, out);
}

/// Requests a lease if there is none, and renews it otherwise.
fn request_lease(core: &mut Core, out: &mut Effects) {
    if core.stop.is_stopping() {
        return;
    }
    core.members.last_round += 1;
    let job = Job::Register(core.members.last_round);
    let life = core.settings.platform.lease_ttl;
    if core.members.lease == 0 {
        out.push(Effect::GrantLease { job, ttl: life });
    } else {
        let lease = core.members.lease;
        out.push(Effect::RenewLease { job, lease });
    }
}

/// Continues the registration after an answer of the store.
pub fn reply(core: &mut Core, reply: &StoreReply, out: &mut Effects) {
    if matches!(reply.result, StoreResult::Lease(_) | StoreResult::Txn(_)) {
        core.members.store_last_seen = Some(core.now);
    }
    match reply.result {
        StoreResult::Lease(0) => {
            core.members.lease = 0;
            core.members.registered = false;
            // Without another timer: each expiry would add one more renewal timer, and the number
            // of timers would double with every further expiry.
            request_lease(core, out);
        }
        StoreResult::Lease(lease) if lease != core.members.lease || !core.members.registered => {
            core.members.lease = lease;
            let txn = registration_txn(core, lease);
            out.push(Effect::Txn {
                job: reply.job,
                txn,
            });
        }
        // If the outcome of the write is unknown, the watch shows whether it took effect; if not,
        // the next renewal tries again.
        _ => {}
    }
}

fn registration_txn(core: &mut Core, lease: i64) -> Txn {
    core.members.last_round += 1;
    let host = &core.settings.host;
    let value = json!({
        "addr": host.advertise.unwrap_or(host.peers).to_string(),
        "region": &*host.region,
        "domain": &*host.domain,
        "incarnation": core.members.incarnation,
        "round": core.members.last_round,
    });
    Txn {
        compare: Vec::new(),
        then: vec![Op::Put {
            key: format!("w/{WATCH_PREFIX}/{}", host.name).into(),
            value: value.to_string().into(),
            lease,
        }],
        otherwise: Vec::new(),
    }
}

/// Revokes the registration, so that the other hosts need not wait for the lease to expire.
pub fn unregister(core: &mut Core, out: &mut Effects) {
    let lease = std::mem::take(&mut core.members.lease);
    if lease != 0 {
        out.push(Effect::RevokeLease(lease));
    }
}

/// Handles a change of one host's registration.
pub fn watched(core: &mut Core, name: &str, pair: &WatchedKey, out: &mut Effects) {
    let entry = pair
        .value
        .as_deref()
        .and_then(|bytes| parse_member(name, bytes));
    if *name == *core.members.name {
        let (incarnation, min_round) = (core.members.incarnation, core.members.min_round);
        let round = pair.value.as_deref().map_or(0, parse_round);
        core.members.registered =
            round >= min_round && entry.is_some_and(|entry| entry.incarnation == incarnation);
        core.members.confirmed |= core.members.registered;
        return;
    }
    match entry {
        Some(entry) => add_peer(core, entry, out),
        None => remove_peer(core, name, out),
    }
}

/// Applies the set of hosts after a batch of changes.
///
/// A batch is one change of the view: applying the hosts one by one would move shares to a host and
/// away again.
pub fn view_changed(core: &mut Core, out: &mut Effects) {
    core.members.update_view(core.now);
    share::view_changed(core, out);
    once::view_changed(core, out);
}

fn add_peer(core: &mut Core, entry: Member, out: &mut Effects) {
    if let Some(key) = core.members.find(&entry.name) {
        let known = &core.members.arena[key];
        if known.incarnation == entry.incarnation && known.addr == entry.addr {
            return;
        }
        remove_peer(core, &entry.name.clone(), out);
    }
    share::joined(core, &entry.name, entry.incarnation);
    let (name, addr) = (entry.name.clone(), entry.addr);
    let text = format!("host {name} at {addr} joined");
    out.push(log_event(log::Level::Info, "host.joined", text));
    let host = core.members.arena.insert(entry);
    core.members.names.insert(name.clone(), host);
    order::joined(core, &name);
    out.push(Effect::AddPeer { host, name, addr });
}

fn remove_peer(core: &mut Core, name: &str, out: &mut Effects) {
    if let Some(key) = core.members.names.remove(name) {
        if let Some(member) = core.members.arena.remove(key) {
            share::left(core, &member);
        }
        load::forget_host(core, key);
        order::left(core, name);
        let text = format!("host {name} left");
        out.push(log_event(log::Level::Info, "host.left", text));
        out.push(Effect::RemovePeer(key));
    }
}

fn parse_round(bytes: &[u8]) -> u64 {
    let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
    value["round"].as_u64().unwrap_or(0)
}

fn parse_member(name: &str, bytes: &[u8]) -> Option<Member> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    Some(Member {
        name: name.into(),
        addr: value["addr"].as_str()?.parse().ok()?,
        region: value["region"].as_str()?.into(),
        domain: value["domain"].as_str()?.into(),
        incarnation: value["incarnation"].as_u64()?,
        last_seen: None,
        heartbeat: Heartbeat::default(),
        last_sent: 0,
        connection_start: 0,
    })
}

/// Handles a change of whether the store answers.
pub fn handle_health(core: &mut Core, health: Health, out: &mut Effects) {
    if core.members.store != health {
        let (level, name) = match health {
            Health::Up => (log::Level::Info, "store.up"),
            Health::Down => (log::Level::Warn, "store.down"),
        };
        out.push(log_event(
            level,
            name,
            "the availability of the key-value store changed",
        ));
    }
    core.members.store = health;
    if health == Health::Up {
        core.members.store_last_seen = Some(core.now);
    }
    once::handle_health(core, health, out);
    order::health(core, health, out);
}

/// Handles a message from a peer, or the loss of the connection to it.
pub fn step(core: &mut Core, event: PeerEvent, out: &mut Effects) {
    match event {
        PeerEvent::Down(host) => {
            if let Some(peer) = core.members.arena.get_mut(host) {
                peer.connection_start = peer.last_sent;
            }
            once::peer_down(core, host, out);
        }
        PeerEvent::Message { from, message } => {
            // Messages from unregistered hosts are ignored: they may be from a process that ended
            // long ago.
            let Some(host) = core.members.find(&from) else {
                return;
            };
            core.members.arena[host].last_seen = Some(core.now);
            inbox::dispatch(core, host, message, out);
        }
    }
}
