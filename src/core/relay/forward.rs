//! Requests forwarded to another host, while this one reaches no backend server.
//!
//! The other host treats a forwarded request as its own: it checks it, sends it to a server, retries it and
//! counts it in limits, budgets and usage. It never forwards it again. This host passes the answer on. It sends
//! the request to a third host only if the second certainly did not run it.

use std::time::Duration;

use rand::RngExt;

use super::super::effect::{Effect, Meter, Refusal};
use super::super::key::{AttemptKey, BackendKey, CallKey, HostKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::call::close_attempt;
use super::ending::{give_up, refuse, retry_after};
use super::event::{ForwardRefusal, Forwarded, RelayEffect, Spent, Task};
use super::instance::Work;
use super::peers::Peer;
use super::versions::Version;
use super::{Attempt, Delivery, PrefillEstimate, departed, note, retry, standby};
use crate::error::{Kind, Ran};

/// Hosts that one request is forwarded to. In a large failure domain hosts do not send gossip to each other, so that a
/// request may meet several that reach no server either.
const MAX_HOSTS: usize = 6;
/// Servers that this host avoids and others use from which on its links count as broken: hosts learn of the failure of
/// one at different times.
const MIN_REACHED_BY_OTHERS: usize = 2;
/// Time for which no request is forwarded to a host that did not answer or reaches no server either.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Time between two requests to an avoided host, if there is no other.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after an answer to a forwarded request in which a host is preferred to others.
const PROVEN_TIME: Duration = Duration::from_secs(3);
/// Requests in progress at a host of this failure domain for which one of another domain is preferred: bytes between
/// failure domains cost more.
const CROSS_DOMAIN_COST: u32 = 16;
/// The same for a host that has not answered a forwarded request lately.
const UNPROVEN_COST: u32 = 4;
/// The same for a host of this domain from which no gossip arrives.
const UNSEEN_COST: u32 = 4;

/// Forwards a request; returns whether there is a host to forward it to.
pub(super) fn forward(core: &mut Core, key: CallKey, out: &mut Effects) -> bool {
    if core.relay.calls[key].is_forwarded {
        return false;
    }
    let Some(host) = choose(core, key) else {
        return false;
    };
    send(core, key, host, out);
    true
}

/// Forwards a request, or refuses it at once if no host can take it.
pub(super) fn forward_or_refuse(core: &mut Core, key: CallKey, out: &mut Effects) {
    if forward(core, key, out) {
        return;
    }
    let detail = "no backend server is reachable, nor a host that reaches one";
    let retry = retry_after(core, 0.0);
    let refusal = Refusal::new(Kind::CutOff, detail).with_retry_after(retry);
    refuse(core, key, refusal, out);
}

/// Forwards a request that this host would refuse, since it reaches fewer servers than others. A request that was forwarded
/// here is refused so that a third host gets it.
pub(super) fn forward_in_place_of(
    core: &mut Core,
    key: CallKey,
    refusal: Refusal,
    out: &mut Effects,
) {
    if core.relay.calls[key].is_forwarded {
        let refusal = Refusal::new(Kind::CutOff, refusal.detail);
        refuse(core, key, refusal, out);
    } else if !forward(core, key, out) {
        refuse(core, key, refusal, out);
    }
}

/// Refuses a request that another host forwarded while this one reaches no server either; returns whether it did.
pub(super) fn refuse_when_cut_off(core: &mut Core, key: CallKey, out: &mut Effects) -> bool {
    let refused = core.relay.calls[key].is_forwarded && core.relay.links.are_lost();
    if refused {
        let refusal = Refusal::new(Kind::CutOff, "no backend server is reachable");
        refuse(core, key, refusal, out);
    }
    refused
}

/// Returns whether other hosts may reach servers of a request's service that this host avoids: others have requests in
/// progress at several, or this host could connect to none while servers answer on open connections.
pub(super) fn others_may_reach_more(core: &Core, key: CallKey) -> bool {
    let now = core.now;
    let servers = core.relay.instances.of(&core.relay.calls[key].service);
    let servers = servers
        .iter()
        .map(|server| &core.relay.instances.arena[*server]);
    let reached = servers.clone().filter(|server| {
        server.failures > 0 && now < server.retry_at && server.peer_total.calls > 0
    });
    if reached.count() >= MIN_REACHED_BY_OTHERS {
        return true;
    }
    let mut usable = servers
        .filter(|server| server.admits_in_backoff(now))
        .peekable();
    core.relay.links.are_one_sided(now)
        && usable.peek().is_some()
        && usable.all(|server| server.is_unreachable(now))
}

/// Returns whether requests can be forwarded to any host.
pub(super) fn has_candidate(core: &Core) -> bool {
    let peers = &core.relay.peers;
    let mut all = peers.names.values().map(|key| &peers.arena[*key]);
    all.any(|peer| is_candidate(peer, core.now))
}

/// Returns whether there is a host to forward a request to.
pub(super) fn can_forward(core: &Core, key: CallKey) -> bool {
    !core.relay.calls[key].is_forwarded && !candidates(core, key).is_empty()
}

fn is_candidate(peer: &Peer, now: Time) -> bool {
    !peer.is_cut_off && now >= peer.avoid_until
}

/// Whether a host that is avoided may serve again: it is tried if there is no other.
fn may_be_back(peer: &Peer, now: Time) -> bool {
    !peer.is_cut_off && peer.avoid_until.since(now) <= AVOID_TIME.saturating_sub(RETRY_INTERVAL)
}

/// Returns the hosts that a request may be forwarded to.
fn candidates(core: &Core, key: CallKey) -> Vec<HostKey> {
    let call = &core.relay.calls[key];
    if call.hosts_tried.len() >= MAX_HOSTS {
        return Vec::new();
    }
    let (now, peers) = (core.now, &core.relay.peers);
    let all = peers.names.values().copied();
    let untried = all.filter(|host| !call.hosts_tried.contains(host));
    let those = |accepts: fn(&Peer, Time) -> bool| {
        let hosts = untried.clone();
        hosts.filter(move |host| accepts(&peers.arena[*host], now))
    };
    let hosts: Vec<HostKey> = those(is_candidate).collect();
    if hosts.is_empty() && call.hosts_tried.is_empty() {
        those(may_be_back).collect()
    } else {
        hosts
    }
}

/// Returns the host with the fewest forwarded requests, preferably of this failure domain.
fn choose(core: &mut Core, key: CallKey) -> Option<HostKey> {
    let hosts = candidates(core, key);
    let (now, own) = (core.now, &core.settings.host.domain);
    let peers = &core.relay.peers;
    let mut best: Option<(u32, u32, HostKey)> = None;
    for host in hosts {
        let peer = &peers.arena[host];
        let distance = if peer.domain != *own {
            CROSS_DOMAIN_COST
        } else if peer.last_seen.is_none() {
            UNSEEN_COST
        } else {
            0
        };
        let is_proven = peer.served_at.is_some_and(|at| now.since(at) < PROVEN_TIME);
        let unproven = if is_proven { 0 } else { UNPROVEN_COST };
        let cost = peer.forwards + distance + unproven;
        let cost = (cost, core.rng.random(), host);
        if best.is_none_or(|lowest| cost < lowest) {
            best = Some(cost);
        }
    }
    best.map(|(.., host)| host)
}

fn send(core: &mut Core, key: CallKey, host: HostKey, out: &mut Effects) {
    let now = core.now;
    let departures = departed::known(core);
    // The other host charges its own budget.
    retry::release_reserved(core, key);
    let call = &mut core.relay.calls[key];
    let spent = Spent {
        runs: call.runs,
        arrivals: call.arrivals,
        prefills: call.prefills,
    };
    if call.hosts_tried.is_empty()
        && let Some(budget) = core.relay.retry_budgets.get_mut(&call.service)
    {
        budget.withdraw_request();
    }
    call.hosts_tried.push(host);
    call.runs += 1;
    // The engine that holds it cannot be reached; it expires there.
    call.cache = None;
    let attempt = core.relay.attempts.insert(Attempt {
        call: key,
        backend: BackendKey::default(),
        host: Some(host),
        task: Task::Whole,
        version: Version::UNKNOWN,
        sent_at: now,
        work: Work::default(),
        expected_ms: 0.0,
        prefill: PrefillEstimate::default(),
        began: None,
        last_received: now,
        check_at: now,
        delivery: Delivery::Open,
    });
    call.attempt = Some(attempt);
    let peer = &mut core.relay.peers.arena[host];
    peer.forwards += 1;
    note(
        out,
        log::Level::Info,
        "request.forwarded",
        vec![
            ("id", call.id.clone()),
            ("host", peer.name.clone()),
            ("domain", peer.domain.clone()),
            ("runs", spent.runs.to_string().into()),
            ("arrivals", spent.arrivals.to_string().into()),
        ],
    );
    out.push(Effect::Meter(Meter::Forwarded {
        class: call.route.name.clone(),
    }));
    out.push(Effect::Relay(RelayEffect::Forward(Box::new(Forwarded {
        call: key,
        attempt,
        from: core.settings.host.name.clone(),
        to: peer.name.clone(),
        addr: peer.addr,
        remaining: call.deadline.since(now),
        resume: call.last_event,
        version: call.version,
        streaming: call.route.streaming,
        spent,
        departures,
    }))));
    standby::sent_on(core, key, &Task::Whole, out);
}

/// Handles the end of an attempt at a host.
pub(super) fn ended(core: &mut Core, host: HostKey) {
    if let Some(peer) = core.relay.peers.arena.get_mut(host) {
        peer.forwards = peer.forwards.saturating_sub(1);
    }
}

/// Handles an answer of a server that a host passed on.
pub(super) fn answered(core: &mut Core, host: HostKey) {
    let now = core.now;
    core.relay.links.forward_answered();
    if let Some(peer) = core.relay.peers.arena.get_mut(host) {
        peer.served_at = Some(now);
    }
}

/// Forwards no request to a host for a while.
fn avoid(core: &mut Core, host: HostKey) {
    let until = core.now.after(AVOID_TIME);
    if let Some(peer) = core.relay.peers.arena.get_mut(host) {
        peer.avoid_until = until;
    }
}

/// Handles an attempt to which a host sent nothing; one that answered others meanwhile is sound, and the server was slow.
pub(super) fn unanswered(core: &mut Core, host: HostKey, sent_at: Time) {
    let peer = core.relay.peers.arena.get(host);
    let served_at = peer.and_then(|peer| peer.served_at);
    if served_at.is_none_or(|at| at < sent_at) {
        avoid(core, host);
    }
}

/// Handles an attempt that ended without a complete answer of the host.
pub(super) fn failed(
    core: &mut Core,
    attempt: &Attempt,
    host: HostKey,
    ran: Ran,
    detail: &str,
    out: &mut Effects,
) {
    if ran == Ran::No {
        avoid(core, host);
        try_again(core, attempt.call, detail, out);
    } else {
        // The host may still run it, and how often it has is unknown. If it has ended, the next connection shows it.
        give_up(core, attempt.call, Kind::EngineFailed, detail, out);
    }
}

/// Handles a refusal by a host itself.
pub(super) fn refused(
    core: &mut Core,
    key: AttemptKey,
    refusal: &ForwardRefusal,
    out: &mut Effects,
) {
    let Some(attempt) = close_attempt(core, key) else {
        return;
    };
    let call = attempt.call;
    let host = attempt
        .host
        .and_then(|host| core.relay.peers.arena.get(host));
    note(
        out,
        log::Level::Info,
        "forward.refused",
        vec![
            ("id", core.relay.calls[call].id.clone()),
            ("host", host.map_or("".into(), |host| host.name.clone())),
            ("code", refusal.kind.answer().code.into()),
            ("ran", refusal.ran.name().into()),
        ],
    );
    if refusal.ran != Ran::No {
        give_up(core, call, refusal.kind, "the other host gave it up", out);
        return;
    }
    // These hold at each host; the others state something about the host alone.
    let kind = refusal.kind;
    if matches!(kind, Kind::CutOff | Kind::NoEngine) {
        core.relay.links.forward_refused(core.now);
    }
    if matches!(
        kind,
        Kind::Overloaded | Kind::OverShare | Kind::NoEngine | Kind::NoVersion | Kind::EngineKiller
    ) {
        not_run(core, call);
        let mut answer = Refusal::new(kind, "refused by the host that it was forwarded to");
        if kind != Kind::NoVersion {
            let retry = refusal.retry_after;
            let retry = retry.unwrap_or_else(|| retry_after(core, 0.0));
            answer = answer.with_retry_after(retry);
        }
        refuse(core, call, answer, out);
    } else {
        if let Some(host) = attempt.host {
            avoid(core, host);
        }
        try_again(core, call, "the other host cannot serve it", out);
    }
}

/// Takes back that a host may have run a request.
fn not_run(core: &mut Core, key: CallKey) {
    let call = &mut core.relay.calls[key];
    call.runs = call.runs.saturating_sub(1);
}

/// Sends a request on that the last host did not run.
fn try_again(core: &mut Core, key: CallKey, detail: &str, out: &mut Effects) {
    not_run(core, key);
    if core.now >= core.relay.calls[key].deadline {
        refuse(core, key, Refusal::new(Kind::Overloaded, detail), out);
    } else if core.relay.links.are_lost() {
        forward_or_refuse(core, key, out);
    } else if !forward(core, key, out) {
        super::call::dispatch(core, key, out);
    }
}
