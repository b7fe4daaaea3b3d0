//! Which host may lend how much of a plan's share.
//!
//! The owner of a plan's share is chosen by rendezvous hashing over the registered hosts. Hosts may
//! disagree on which hosts are registered, so an owner may lend only the fractions that hosts
//! pledge to it: each host pledges one over the number of hosts that may be alive. A host pledges
//! its fraction to one owner at a time, and an older pledge of it expires before the next one
//! counts. Every pledge expires by itself, so that the fractions lent by all owners together never
//! exceed the whole share, whichever hosts are cut off, paused or replaced.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::core::key::HostKey;
use crate::core::member::{self, Member};
use crate::core::message::{Heartbeat, View};
use crate::core::{Core, Time};

/// Age at which a pledge no longer counts, from when the heartbeat that it echoes was sent.
///
/// Six heartbeats: two may be lost, and a host may pause for half a second, before its fraction
/// goes unused.
pub const PLEDGE_LIFETIME: Duration = Duration::from_millis(1500);
/// Life of a loan, from when it was requested.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(750);
/// Time for which a host has to pledge to an owner before the pledge counts there: an older pledge
/// to another owner may be in use for one pledge's lifetime, and what was lent on it for one
/// loan's.
pub const SETTLE_TIME: Duration = Duration::from_millis(2250);
/// Time without a change of any pledge after which a share that nobody used counts as accrued.
pub const PLEDGE_STABLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a host whose lease lapsed and that the platform no longer lists counts as gone.
/// It is added to the time after which a host that is cut off takes no new work.
const DEPARTED_TIMEOUT: Duration = Duration::from_secs(30);
/// Views kept.
const MAX_VIEWS: usize = 8;
/// Views sent in a heartbeat: enough to cover [`SETTLE_TIME`] unless hosts come and go faster.
const MAX_HEARTBEAT_VIEWS: usize = 3;
/// Heartbeats whose time of sending is kept.
const MAX_SENT_HEARTBEATS: usize = 16;

/// A set of registered hosts that this host acted on.
#[derive(Debug)]
struct LocalView {
    hash: u64,
    since: Time,
    names: Vec<Box<str>>,
}

/// A host that is no longer registered and may still act.
#[derive(Debug)]
struct DepartedHost {
    since: Time,
    /// It announced its stop, and takes no new work since.
    stopped: bool,
    listed: bool,
}

/// A peer's pledge to this host, as far as known, and this host's pledge to the peer.
#[derive(Debug, Default)]
struct PeerPledge {
    /// Numbers and sending times of the last heartbeats.
    sent_heartbeats: VecDeque<(u64, Time)>,
    /// Sending time of the heartbeat that the peer last echoed.
    echoed_sent: Option<Time>,
    /// Since when this host pledges to the peer.
    pledged_since: Option<Time>,
    /// Since when this host no longer pledges to the peer.
    withdrawn_since: Time,
}

/// State of a peer's pledge to this host as the owner of one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PledgeState {
    /// Its pledge counts.
    Counted,
    /// The peer has pledged to this host alone, for too short a time or too long ago to count.
    Uncounted,
    /// The peer may have pledged to another owner lately.
    PledgedElsewhere,
}

/// Sum of the pledges to this host for one plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pledged {
    /// Fraction of the share that may be lent, 0 to 1.
    pub fraction: f64,
    /// Whether every host that may be alive pledges.
    pub complete: bool,
    /// Whether no host has pledged to another owner lately.
    pub exclusive: bool,
}

/// The pledges to and by this host.
#[derive(Debug, Default)]
pub struct Pledges {
    views: VecDeque<LocalView>,
    peers: SecondaryMap<HostKey, PeerPledge>,
    departed: BTreeMap<Box<str>, DepartedHost>,
    /// Hosts that act on views that include this host, by name and incarnation.
    aware: BTreeSet<(Box<str>, u64)>,
    registered_since: Option<Time>,
    last_count: usize,
    last_change: Time,
    /// Whether the pledges have settled at a view that includes this host.
    settled: bool,
}

/// Notes a change of the view; returns whether there was one.
pub fn view_changed(core: &mut Core) -> bool {
    let hash = core.members.view;
    let pledges = &mut core.shares.pledges;
    if pledges.views.front().is_some_and(|view| view.hash == hash) {
        return false;
    }
    let mut names: Vec<Box<str>> = core
        .members
        .arena
        .values()
        .map(|m| m.name.clone())
        .collect();
    if core.members.registered {
        names.push(core.members.name.clone());
        pledges.registered_since.get_or_insert(core.now);
    }
    pledges.views.push_front(LocalView {
        hash,
        since: core.now,
        names,
    });
    pledges.views.truncate(MAX_VIEWS);
    pledges.last_change = core.now;
    true
}

/// Notes that a host is no longer registered.
pub fn left(core: &mut Core, member: &Member) {
    let host = DepartedHost {
        since: core.now,
        stopped: member.heartbeat.stopping,
        listed: false,
    };
    core.shares
        .pledges
        .departed
        .insert(member.name.clone(), host);
}

/// Notes that a host is registered: an earlier process of its name has ended, or is the same
/// process.
///
/// A host that registers after this one finds this one registered.
pub fn joined(core: &mut Core, name: &str, incarnation: u64) {
    let registered = core.members.registered;
    let pledges = &mut core.shares.pledges;
    pledges.departed.remove(name);
    if registered && pledges.registered_since.is_some() {
        pledges.aware.insert((name.into(), incarnation));
    }
}

/// Handles the platform's list of hosts.
///
/// A host that starts during a failure learns only from the list of hosts whose leases lapsed
/// before it started and that still serve.
pub fn hosts_listed<'a>(core: &mut Core, names: impl Iterator<Item = &'a str>) {
    let now = core.now;
    let pledges = &mut core.shares.pledges;
    for host in pledges.departed.values_mut() {
        host.listed = false;
    }
    for name in names {
        if *name == *core.members.name || core.members.find(name).is_some() {
            continue;
        }
        let host = pledges.departed.entry(name.into()).or_insert(DepartedHost {
            since: now,
            stopped: false,
            listed: true,
        });
        host.listed = true;
    }
}

/// Notes a heartbeat sent to a peer, and returns for how long this host has pledged to the peer.
pub fn heartbeat_sent(core: &mut Core, to: HostKey, number: u64) -> Duration {
    let may = may_pledge(core) && !permits_unreported(core, to);
    let now = core.now;
    let pledges = &mut core.shares.pledges;
    let Some(peer) = pledges
        .peers
        .entry(to)
        .map(slotmap::secondary::Entry::or_default)
    else {
        return Duration::ZERO;
    };
    peer.sent_heartbeats.push_front((number, now));
    peer.sent_heartbeats.truncate(MAX_SENT_HEARTBEATS);
    match peer.pledged_since {
        Some(since) if may => now.since(since),
        _ => Duration::ZERO,
    }
}

/// Returns whether this host pledges at all.
///
/// A host that was not registered when its process started pledges nothing until every host that
/// may be alive counts it; otherwise the fractions of a new host and of those that do not count it
/// would add up to more than the whole.
fn may_pledge(core: &Core) -> bool {
    let pledges = &core.shares.pledges;
    let members = &core.members;
    // An earlier process of this name may have pledged until its end.
    let fresh = |at| core.now.since(at) < PLEDGE_LIFETIME;
    if !members.registered || core.stop.is_stopping() || pledges.registered_since.is_none_or(fresh)
    {
        return false;
    }
    // A peer that counts more hosts counts one that this host does not, and that may not count this
    // host.
    let count = host_count(core);
    let more = |member: &Member| member.heartbeat.hosts > count;
    if members.arena.values().any(more) {
        return false;
    }
    let aware = |name: &str| pledges.aware.iter().any(|(known, _)| **known == *name);
    let known = |member: &Member| {
        let key = (member.name.clone(), member.incarnation);
        pledges.aware.contains(&key)
    };
    members.arena.values().all(known) && pledges.departed.keys().all(|name| aware(name))
}

/// Returns the views that this host acted on in the last [`SETTLE_TIME`], newest first.
#[must_use]
pub fn recent_views(core: &Core) -> Vec<View> {
    let pledges = &core.shares.pledges;
    let mut views = Vec::new();
    for view in pledges.views.iter().take(MAX_HEARTBEAT_VIEWS) {
        let age = view_age(pledges, view, core.now);
        let hash = view.hash;
        views.push(View { hash, age_ms: age });
        if Duration::from_millis(age) >= SETTLE_TIME {
            break;
        }
    }
    views
}

/// Returns the milliseconds for which a view has been the only one that this host pledged by.
///
/// Before the first view that includes this host there was no pledge that had to expire.
fn view_age(pledges: &Pledges, view: &LocalView, now: Time) -> u64 {
    let first = pledges.registered_since.is_some_and(|at| view.since <= at);
    let age = now.since(view.since);
    millis(if first { age + SETTLE_TIME } else { age })
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of hosts that may be alive, as far as this host knows.
#[must_use]
pub fn host_count(core: &Core) -> u32 {
    let count = core.members.count() + core.shares.pledges.departed.len();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Handles a peer's heartbeat.
pub fn heartbeat_received(core: &mut Core, from: HostKey, beat: &Heartbeat) {
    let now = core.now;
    let view = core.members.view;
    let registered = core.members.registered;
    let pledges = &mut core.shares.pledges;
    let Some(peer) = pledges
        .peers
        .entry(from)
        .map(slotmap::secondary::Entry::or_default)
    else {
        return;
    };
    let sent = peer
        .sent_heartbeats
        .iter()
        .find(|(number, _)| *number == beat.echo);
    peer.echoed_sent = sent.map(|(_, at)| *at).or(peer.echoed_sent);
    // The first heartbeat came in time: this host has not used its fraction on its own yet.
    let since = pledges.views.front().map_or(now, |view| view.since);
    let first = peer.withdrawn_since == Time::default() && now.since(since) < SETTLE_TIME;
    peer.pledged_since
        .get_or_insert(if first { since } else { now });
    if registered && beat.view_hash == view {
        let member = &core.members.arena[from];
        let key = (member.name.clone(), member.incarnation);
        pledges.aware.insert(key);
    }
}

/// Withdraws pledges to owners that are silent, removes hosts that are gone, and notes changes of
/// the pledges.
pub fn check(core: &mut Core) {
    let now = core.now;
    let timeout = member::cut_off_bound(core) + DEPARTED_TIMEOUT;
    let alive: Vec<(HostKey, bool)> = core
        .members
        .arena
        .iter()
        .map(|(key, member)| {
            (
                key,
                member
                    .last_seen
                    .is_some_and(|at| now.since(at) < PLEDGE_LIFETIME),
            )
        })
        .collect();
    let pledges = &mut core.shares.pledges;
    for (key, alive) in alive {
        let Some(peer) = pledges.peers.get_mut(key) else {
            continue;
        };
        if !alive && peer.pledged_since.take().is_some() {
            peer.withdrawn_since = now;
        }
    }
    let arena = &core.members.arena;
    pledges.peers.retain(|key, _| arena.contains_key(key));
    // Departed hosts that are cut off and fewer than the others refuse all work by then. If they
    // are more, they may receive enough heartbeats from each other to go on without the store.
    let fewer = pledges.departed.len() <= core.members.arena.len() + 1;
    pledges.departed.retain(|_, host| {
        let passed = now.since(host.since);
        let gone = fewer && !host.listed && passed >= timeout;
        let stopped = host.stopped && passed >= SETTLE_TIME;
        !gone && !stopped
    });
    let count = arena.keys().filter(|&key| peer_settled(core, key)).count();
    let long = now.since(core.members.view_since) >= SETTLE_TIME + PLEDGE_LIFETIME / 3;
    let settled = long && stable(core);
    let hosts = host_count(core) as usize;
    let pledges = &mut core.shares.pledges;
    pledges.settled |= settled;
    let count = count + hosts;
    if pledges.last_count != count {
        pledges.last_count = count;
        pledges.last_change = now;
    }
}

/// Returns whether a peer has pledged to this host, at the same view, for long enough to count.
fn peer_settled(core: &Core, key: HostKey) -> bool {
    let beat = &core.members.arena[key].heartbeat;
    let same = beat.view_hash == core.members.view;
    same && echo_fresh(core, key) && Duration::from_millis(beat.pledged_ms) >= SETTLE_TIME
}

fn echo_fresh(core: &Core, key: HostKey) -> bool {
    let peer = core.shares.pledges.peers.get(key);
    let echoed = peer.and_then(|peer| peer.echoed_sent);
    echoed.is_some_and(|at| core.now.since(at) < PLEDGE_LIFETIME)
}

/// Returns whether a share that nobody used may count as accrued.
#[must_use]
pub fn stable(core: &Core) -> bool {
    core.now.since(core.shares.pledges.last_change) >= PLEDGE_STABLE_TIME
}

/// Returns the pledges to this host as the owner of `plan`.
pub fn pledged(core: &Core, plan: &str) -> Pledged {
    let pledges = &core.shares.pledges;
    let owned: Vec<bool> = pledges
        .views
        .iter()
        .map(|view| owner_of(&view.names, plan) == Some(&*core.members.name))
        .collect();
    let mut hosts = host_count(core);
    let mut count = u32::from(own_counts(core, &owned));
    let mut exclusive = true;
    for (key, member) in &core.members.arena {
        let state = pledge_state(core, key, &member.heartbeat, &owned);
        exclusive &= state != PledgeState::PledgedElsewhere;
        if state == PledgeState::Counted {
            count += 1;
            hosts = hosts.max(member.heartbeat.hosts);
        }
    }
    Pledged {
        fraction: f64::from(count) / f64::from(hosts.max(count).max(1)),
        complete: count >= hosts,
        exclusive,
    }
}

fn own_counts(core: &Core, owned: &[bool]) -> bool {
    let pledges = &core.shares.pledges;
    let ages = pledges
        .views
        .iter()
        .map(|view| view_age(pledges, view, core.now));
    may_pledge(core) && owner_throughout(ages.zip(owned.iter().map(|owned| Some(*owned))))
}

fn pledge_state(core: &Core, key: HostKey, beat: &Heartbeat, owned: &[bool]) -> PledgeState {
    let views = &core.shares.pledges.views;
    let newest = View {
        hash: beat.view_hash,
        age_ms: beat.view_age_ms,
    };
    let known = std::iter::once(&newest).chain(&beat.views).map(|view| {
        let at = views.iter().position(|local| local.hash == view.hash);
        (view.age_ms, at.map(|at| owned[at]))
    });
    if !owner_throughout(known) {
        return PledgeState::PledgedElsewhere;
    }
    let long = Duration::from_millis(beat.pledged_ms) >= SETTLE_TIME;
    if long && echo_fresh(core, key) {
        PledgeState::Counted
    } else {
        PledgeState::Uncounted
    }
}

/// Returns whether this host is the owner in all views of the last [`SETTLE_TIME`], given newest
/// first.
fn owner_throughout(views: impl Iterator<Item = (u64, Option<bool>)>) -> bool {
    for (age, owned) in views {
        if owned != Some(true) {
            return false;
        }
        if Duration::from_millis(age) >= SETTLE_TIME {
            return true;
        }
    }
    false
}

fn owner_of<'a>(names: &'a [Box<str>], plan: &str) -> Option<&'a str> {
    names
        .iter()
        .map(|name| &**name)
        .max_by_key(|name| member::weight(name, plan))
}

/// Where a request's share comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This host is the owner.
    Local,
    /// This peer is the owner.
    Peer(HostKey),
    /// The owner has been silent for so long that this host uses its own fraction.
    OwnFraction,
    /// The owner is silent; this host may use its own fraction after this time.
    OwnerSilent(Duration),
}

/// Returns where the share of a plan comes from.
#[must_use]
pub fn source(core: &Core, plan: &str) -> Source {
    let pledges = &core.shares.pledges;
    let Some(view) = pledges.views.front() else {
        return Source::OwnerSilent(SETTLE_TIME);
    };
    let Some(name) = owner_of(&view.names, plan) else {
        return Source::OwnerSilent(SETTLE_TIME);
    };
    if *name == *core.members.name {
        return Source::Local;
    }
    let Some(key) = core.members.find(name) else {
        return Source::OwnerSilent(SETTLE_TIME);
    };
    let Some(peer) = pledges.peers.get(key) else {
        return Source::OwnerSilent(SETTLE_TIME);
    };
    if peer.pledged_since.is_some() {
        return Source::Peer(key);
    }
    // The owner may count the last pledge for one pledge's lifetime, and this host's own views may
    // have named another owner until lately.
    let since = core.now.since(peer.withdrawn_since.max(view.since));
    match SETTLE_TIME.checked_sub(since) {
        Some(left) if left > Duration::ZERO => Source::OwnerSilent(left),
        _ => Source::OwnFraction,
    }
}

/// Returns this host's own fraction of every share.
#[must_use]
pub fn own_fraction(core: &Core) -> f64 {
    if may_pledge(core) {
        1.0 / f64::from(host_count(core))
    } else {
        0.0
    }
}

/// Returns whether a peer is the owner of a plan and may have no record of the permits held here.
fn permits_unreported(core: &Core, to: HostKey) -> bool {
    let source = Some(Source::Peer(to));
    let mut shares = core.shares.local.values();
    shares.any(|local| {
        local.source == source && local.permits > 0 && local.reported_permits.is_none()
    })
}

/// Returns whether a host may hold permits lent by this one.
pub fn may_hold_permits(core: &Core, name: &str) -> bool {
    *name == *core.members.name
        || core.members.find(name).is_some()
        || core.shares.pledges.departed.contains_key(name)
}

/// Returns whether pledges by a view that includes this host have settled since its start.
#[must_use]
pub fn ever_settled(core: &Core) -> bool {
    core.shares.pledges.settled
}
