//! Which host may lend how much of a plan's share.
//!
//! The home of a plan's share is found by rendezvous hashing over the registered hosts. Hosts may
//! disagree on who is registered, so a home may lend only the parts that hosts pledge to it: one
//! part in as many as there are hosts that may be alive. A host pledges its part to one home at a
//! time and lets an older pledge run out before the next one counts. Every pledge falls due by
//! itself, so that the parts lent by all homes together never exceed the whole, whoever is cut
//! off, paused or replaced.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::core::key::HostKey;
use crate::core::member::{self, Member};
use crate::core::message::{Heartbeat, View};
use crate::core::{Core, Time};

/// Age at which a pledge counts no more, from when the beat that it echoes was sent.
///
/// Six beats: two may be lost, and a host may pause for half a second, before its part rests.
pub const PLEDGE_LIFETIME: Duration = Duration::from_millis(1500);
/// Life of a loan, from when it was asked for.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(750);
/// Time that a host has pledged to a home before the pledge counts there: an older pledge to
/// another home may be in use for one pledge's life, and what was lent on it for one loan's life.
pub const SETTLE_TIME: Duration = Duration::from_millis(2250);
/// Time without a change of any pledge after which a share that nobody used counts as saved up.
pub const PLEDGE_STABLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a host counts as gone whose lease has lapsed and that the platform has
/// withdrawn, beyond the time after which a host that is cut off takes no new work.
const DEPARTED_TIMEOUT: Duration = Duration::from_secs(30);
/// Views remembered.
const MAX_VIEWS: usize = 8;
/// Views told in a beat: enough to cover [`SETTLE`] unless hosts come and go faster.
const MAX_HEARTBEAT_VIEWS: usize = 3;
/// Beats whose time of sending is remembered.
const MAX_SENT_HEARTBEATS: usize = 16;

/// A set of registered hosts that this host acted on.
#[derive(Debug)]
struct LocalView {
    hash: u64,
    since: Time,
    names: Vec<Box<str>>,
}

/// A host that is not registered any more and may still act.
#[derive(Debug)]
struct DepartedHost {
    since: Time,
    /// It said that it stops, and takes no new work since.
    stopped: bool,
    listed: bool,
}

/// What this host knows of one peer's pledge, and of its own to that peer.
#[derive(Debug, Default)]
struct PeerPledge {
    /// Numbers and times of the last beats sent.
    sent_heartbeats: VecDeque<(u64, Time)>,
    /// When the beat was sent that the peer's last beat echoes.
    echoed_sent: Option<Time>,
    /// Since when this host pledges to the peer.
    pledged_since: Option<Time>,
    /// Since when it does not.
    withdrawn_since: Time,
}

/// How a member stands to this host as home of one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PledgeState {
    /// Its pledge counts.
    Counted,
    /// It has pledged to this host alone, for too short a time or too long ago to count.
    Uncounted,
    /// It may have pledged to another home lately.
    PledgedElsewhere,
}

/// Sum of the pledges to this host for one plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pledged {
    /// Part of the share that may be lent, 0 to 1.
    pub fraction: f64,
    /// Whether every host that may be alive pledges.
    pub complete: bool,
    /// Whether none has pledged to another home lately.
    pub exclusive: bool,
}

/// The pledges to and by this host.
#[derive(Debug, Default)]
pub struct Pledges {
    views: VecDeque<LocalView>,
    peers: SecondaryMap<HostKey, PeerPledge>,
    departed: BTreeMap<Box<str>, DepartedHost>,
    /// Hosts that act on views with this host in them, by name and incarnation.
    aware: BTreeSet<(Box<str>, u64)>,
    registered_since: Option<Time>,
    last_count: usize,
    last_change: Time,
    /// Whether all hosts had settled at a view with this host in it.
    settled: bool,
}

/// Takes in a change of the view; returns whether there was one.
pub fn view_changed(core: &mut Core) -> bool {
    let hash = core.members.view;
    let pledges = &mut core.shares.pledges;
    if pledges.views.front().is_some_and(|seen| seen.hash == hash) {
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

/// Notes that a host is not registered any more.
pub fn left(core: &mut Core, member: &Member) {
    let ghost = DepartedHost {
        since: core.now,
        stopped: member.heartbeat.stopping,
        listed: false,
    };
    core.shares
        .pledges
        .departed
        .insert(member.name.clone(), ghost);
}

/// Notes that a host is registered: an earlier process of its name is dead, or is this one.
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

/// Takes in the names of the hosts on the platform's list.
///
/// A host that starts during trouble learns only from the list of hosts whose leases lapsed before
/// it came and that serve on.
pub fn hosts_listed<'a>(core: &mut Core, names: impl Iterator<Item = &'a str>) {
    let now = core.now;
    let pledges = &mut core.shares.pledges;
    for ghost in pledges.departed.values_mut() {
        ghost.listed = false;
    }
    for name in names {
        if *name == *core.members.name || core.members.find(name).is_some() {
            continue;
        }
        let ghost = pledges.departed.entry(name.into()).or_insert(DepartedHost {
            since: now,
            stopped: false,
            listed: true,
        });
        ghost.listed = true;
    }
}

/// Notes a beat on its way to a peer, and returns since when this host pledges to it.
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
        Some(given) if may => now.since(given),
        _ => Duration::ZERO,
    }
}

/// Returns whether this host pledges at all.
///
/// One that was not registered from the start of its process pledges nothing until every host
/// that may be alive counts it; otherwise the parts of a new host and of those that do not know it
/// would add up to more than the whole.
fn may_pledge(core: &Core) -> bool {
    let pledges = &core.shares.pledges;
    let members = &core.members;
    // The process that had this name before may have pledged until its end.
    let fresh = |at| core.now.since(at) < PLEDGE_LIFETIME;
    if !members.registered || core.stop.is_stopping() || pledges.registered_since.is_none_or(fresh)
    {
        return false;
    }
    // A peer that knows of more hosts knows one that this host does not count, and that may not
    // count this host.
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

/// Returns the views this host acted on in the last [`SETTLE`], newest first.
#[must_use]
pub fn recent_views(core: &Core) -> Vec<View> {
    let pledges = &core.shares.pledges;
    let mut views = Vec::new();
    for seen in pledges.views.iter().take(MAX_HEARTBEAT_VIEWS) {
        let age = view_age(pledges, seen, core.now);
        let hash = seen.hash;
        views.push(View { hash, age_ms: age });
        if Duration::from_millis(age) >= SETTLE_TIME {
            break;
        }
    }
    views
}

/// Returns for how long a view has been the only one that this host pledged by.
///
/// Before the first view with this host in it there was no pledge to run out.
fn view_age(pledges: &Pledges, seen: &LocalView, now: Time) -> u64 {
    let first = pledges.registered_since.is_some_and(|at| seen.since <= at);
    let begun = now.since(seen.since);
    millis(if first { begun + SETTLE_TIME } else { begun })
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

/// Takes in a peer's beat.
pub fn heartbeat_received(core: &mut Core, from: HostKey, beat: &Heartbeat) {
    let now = core.now;
    let here = core.members.view;
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
    // Heard in time at first, this host has not used its part on its own yet.
    let begun = pledges.views.front().map_or(now, |seen| seen.since);
    let first = peer.withdrawn_since == Time::default() && now.since(begun) < SETTLE_TIME;
    peer.pledged_since
        .get_or_insert(if first { begun } else { now });
    if registered && beat.view_hash == here {
        let member = &core.members.arena[from];
        let key = (member.name.clone(), member.incarnation);
        pledges.aware.insert(key);
    }
}

/// Withdraws pledges to homes that fell silent, forgets hosts that are gone, and notes changes.
pub fn check(core: &mut Core) {
    let now = core.now;
    let hold = member::cut_off_bound(core) + DEPARTED_TIMEOUT;
    let hears: Vec<(HostKey, bool)> = core
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
    for (key, hears) in hears {
        let Some(peer) = pledges.peers.get_mut(key) else {
            continue;
        };
        if !hears && peer.pledged_since.take().is_some() {
            peer.withdrawn_since = now;
        }
    }
    let arena = &core.members.arena;
    pledges.peers.retain(|key, _| arena.contains_key(key));
    // Hosts that are fewer than the others, and cut off, refuse all work by then. If they are more,
    // they may hear enough of each other to go on without the store.
    let fewer = pledges.departed.len() <= core.members.arena.len() + 1;
    pledges.departed.retain(|_, ghost| {
        let passed = now.since(ghost.since);
        let gone = fewer && !ghost.listed && passed >= hold;
        let stopped = ghost.stopped && passed >= SETTLE_TIME;
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

/// Returns whether a peer has pledged to this host, at the same view, for long enough.
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

/// Returns whether a share that nobody used may count as saved up.
#[must_use]
pub fn stable(core: &Core) -> bool {
    core.now.since(core.shares.pledges.last_change) >= PLEDGE_STABLE_TIME
}

/// Returns what hosts pledge to this one as the home of `plan`.
pub fn pledged(core: &Core, plan: &str) -> Pledged {
    let pledges = &core.shares.pledges;
    let mine: Vec<bool> = pledges
        .views
        .iter()
        .map(|seen| owner_of(&seen.names, plan) == Some(&*core.members.name))
        .collect();
    let mut hosts = host_count(core);
    let mut count = u32::from(own_counts(core, &mine));
    let mut alone = true;
    for (key, member) in &core.members.arena {
        let stand = pledge_state(core, key, &member.heartbeat, &mine);
        alone &= stand != PledgeState::PledgedElsewhere;
        if stand == PledgeState::Counted {
            count += 1;
            hosts = hosts.max(member.heartbeat.hosts);
        }
    }
    Pledged {
        fraction: f64::from(count) / f64::from(hosts.max(count).max(1)),
        complete: count >= hosts,
        exclusive: alone,
    }
}

fn own_counts(core: &Core, mine: &[bool]) -> bool {
    let pledges = &core.shares.pledges;
    let ages = pledges
        .views
        .iter()
        .map(|seen| view_age(pledges, seen, core.now));
    may_pledge(core) && owner_throughout(ages.zip(mine.iter().map(|mine| Some(*mine))))
}

fn pledge_state(core: &Core, key: HostKey, beat: &Heartbeat, mine: &[bool]) -> PledgeState {
    let views = &core.shares.pledges.views;
    let newest = View {
        hash: beat.view_hash,
        age_ms: beat.view_age_ms,
    };
    let known = std::iter::once(&newest).chain(&beat.views).map(|view| {
        let at = views.iter().position(|seen| seen.hash == view.hash);
        (view.age_ms, at.map(|at| mine[at]))
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

/// Returns whether all views of the last [`SETTLE`], newest first, have this host as the home.
fn owner_throughout(views: impl Iterator<Item = (u64, Option<bool>)>) -> bool {
    for (age, mine) in views {
        if mine != Some(true) {
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
    /// This host is the home.
    Local,
    /// A peer is.
    Peer(HostKey),
    /// The home is silent for so long that this host has its own part back.
    OwnFraction,
    /// The home is silent; this host has its own part back after this time.
    OwnerSilent(Duration),
}

/// Returns where the share of a plan comes from.
#[must_use]
pub fn source(core: &Core, plan: &str) -> Source {
    let pledges = &core.shares.pledges;
    let Some(seen) = pledges.views.front() else {
        return Source::OwnerSilent(SETTLE_TIME);
    };
    let Some(name) = owner_of(&seen.names, plan) else {
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
    // The home may count the last pledge for one pledge's life, and this host's own views may have
    // named another home until lately.
    let since = core.now.since(peer.withdrawn_since.max(seen.since));
    match SETTLE_TIME.checked_sub(since) {
        Some(left) if left > Duration::ZERO => Source::OwnerSilent(left),
        _ => Source::OwnFraction,
    }
}

/// Returns this host's own part of every share.
#[must_use]
pub fn own_fraction(core: &Core) -> f64 {
    if may_pledge(core) {
        1.0 / f64::from(host_count(core))
    } else {
        0.0
    }
}

/// Returns whether a peer is the home of a plan of which it does not know what this host holds.
fn permits_unreported(core: &Core, to: HostKey) -> bool {
    let source = Some(Source::Peer(to));
    let mut parts = core.shares.local.values();
    parts.any(|part| part.source == source && part.permits > 0 && part.reported_permits.is_none())
}

/// Returns whether a host may hold places lent by this one.
pub fn may_hold_permits(core: &Core, name: &str) -> bool {
    *name == *core.members.name
        || core.members.find(name).is_some()
        || core.shares.pledges.departed.contains_key(name)
}

/// Returns whether pledges by a view with this host in it have counted since its start.
#[must_use]
pub fn ever_settled(core: &Core) -> bool {
    core.shares.pledges.settled
}
