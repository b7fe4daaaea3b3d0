//! Gossip between hosts: unfinished work, cached prefixes, crashes, limits, changes of the store.
//!
//! Each host sees only its part of the requests. Without the others' reports every host takes the
//! same engine for idle, and prefills the same prefix at another engine.
//!
//! In a small failure domain each host sends to all others. In a large one that would cost each host as
//! many datagrams as there are hosts, so that each reports to an aggregator and receives totals: see
//! [`gather`]. One host of each failure domain sends the others what is known in its own: see
//! [`domains`].

mod aggregator;
mod domains;
mod gather;
mod pending;

pub use aggregator::Aggregator;
pub use pending::PendingUpdates;

use std::net::SocketAddr;
use std::time::Duration;

use super::super::effect::Effect;
use super::super::key::HostKey;
use super::super::{Core, Effects};
use super::event::{CrashReport, Gossip, GossipKind, LoadReport, PrefixReport, RelayEffect};
use super::instance::Work;
use super::peers::Peer;
use super::{RelayTimer, limit, load, parts, peers, span, view, wake};

/// Time between two messages to the other hosts.
///
/// Stale load reports send every host to the same engine; fresher ones cost processor time and bytes
/// between failure domains.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(18);
/// The same for each other host of a failure domain without aggregators: a host receives from all of
/// them.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(1500);
/// The same where they report to one of them, which answers with some kilobytes to each that reports to
/// it, over a link that may be the thinnest of all hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(45);
/// Other hosts of a failure domain up to which each sends to all.
const MAX_FLAT_PEERS: usize = 12;
/// Time between two looks at the prompt parts that engines hold: all of some ten thousand are
/// looked at, and those that are dropped were last used seconds ago.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two messages while nothing changes; less than half of
/// [`REPRESENTATIVE_TIMEOUT`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message after which a host's reports are dropped.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message after which another host represents a failure domain: two keep-alives.
const REPRESENTATIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Sends this host's state to the others.
pub fn publish(core: &mut Core, out: &mut Effects) {
    wake(core, every(core), RelayTimer::Publish, out);
    expire(core);
    peers::drop_silent(core, out);
    for instance in core.relay.instances.arena.values_mut() {
        instance.update_fill_rate(core.now);
    }
    sweep(core);
    core.relay.instances.sweep(core.now);
    if gathers(core) {
        gather::tell(core, out);
    } else {
        core.relay.peers.aggregator.forget();
        publish_own(core, out);
    }
    gather::answer(core, out);
    view::resume_watch(core, out);
    if core.relay.peers.across.any() && represents_domain(core) {
        domains::tell(core, out);
    }
}

/// Returns the age of what is known of the work of other hosts of this failure domain: of the last
/// totals, or of the oldest message where each host sends to all.
pub(super) fn age(core: &Core) -> Option<Duration> {
    let peers = &core.relay.peers;
    let totals = peers.domains.get(&core.settings.host.domain);
    let heard = match totals {
        Some(totals) => peers.arena[*totals].heard,
        None => neighbours(core).filter_map(|peer| peer.heard).min(),
    };
    heard.map(|at| core.now.since(at))
}

/// Returns the time after which work that is sent now is known to the other hosts: that between two
/// messages, longer where none came.
pub(super) fn delay(core: &Core) -> Duration {
    // Reports pass a host on their way up, and totals one on their way down.
    let hops = if gathers(core) { 2 } else { 1 };
    (every(core) * hops).max(age(core).unwrap_or_default())
}

/// Returns the time between two messages.
fn every(core: &Core) -> Duration {
    if gathers(core) {
        return REPORT_INTERVAL;
    }
    let hosts = u32::try_from(neighbours(core).count()).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST.saturating_mul(hosts).max(GOSSIP_INTERVAL)
}

/// Whether this failure domain uses aggregators.
fn gathers(core: &Core) -> bool {
    neighbours(core).count() > MAX_FLAT_PEERS
}

/// Sends this host's own work to each host of its failure domain.
fn publish_own(core: &mut Core, out: &mut Effects) {
    let loads = own_loads(core);
    let (parts, deaths) = unpublished(core);
    if !due(core, &loads, !parts.is_empty() || !deaths.is_empty()) {
        return;
    }
    core.relay.peers.across.hear(&parts, &deaths);
    let near = near(core);
    let message = message(core, GossipKind::Own, loads, parts, deaths);
    out.extend(publish_to(near, message));
}

/// Returns this host's own unfinished work.
fn own_loads(core: &Core) -> Vec<LoadReport> {
    let loads = core.relay.instances.arena.values();
    loads
        .filter(|instance| instance.own_work != Work::default())
        .map(|instance| load_report(instance.short_hash, instance.own_work))
        .collect()
}

/// Takes the prefixes and crashes of this host that were not sent yet.
fn unpublished(core: &mut Core) -> (Vec<PrefixReport>, Vec<CrashReport>) {
    let parts = std::mem::take(&mut core.relay.peers.parts);
    (parts, core.relay.killers.take_unpublished())
}

/// Whether to send this work now: something is new, or the last message is a while ago.
fn due(core: &mut Core, loads: &[LoadReport], news: bool) -> bool {
    let view = &core.relay.view;
    let limits = core.relay.peers.told;
    let limits = limits.is_some_and(|told| limit::changed_since(core, told));
    let news = news || limits;
    let news =
        news || view.probes.has_unsent() || (view.history.has_unsent() && replicates_changes(core));
    let peers = &mut core.relay.peers;
    let same = !news && loads == peers.last;
    if same
        && peers
            .told
            .is_some_and(|at| core.now.since(at) < KEEPALIVE_INTERVAL)
    {
        return false;
    }
    peers.told = Some(core.now);
    peers.last = loads.to_vec();
    true
}

/// Forgets the prompt parts that engines no longer hold, every now and then.
fn sweep(core: &mut Core) {
    let peers = &mut core.relay.peers;
    if peers
        .swept
        .is_some_and(|at| core.now.since(at) < SWEEP_INTERVAL)
    {
        return;
    }
    peers.swept = Some(core.now);
    let memory = core.relay.catalog.as_ref().and_then(|catalog| {
        let engines = catalog
            .services
            .values()
            .filter_map(|service| service.engine.as_ref());
        engines.map(|engine| engine.memory).max()
    });
    for instance in core.relay.instances.arena.values_mut() {
        parts::forget(instance, memory.unwrap_or(0), core.now);
    }
}

fn publish_to(to: Vec<SocketAddr>, message: Gossip) -> Option<Effect> {
    let message = Box::new(message);
    (!to.is_empty()).then(|| Effect::Relay(RelayEffect::Publish { to, message }))
}

fn message(
    core: &mut Core,
    kind: GossipKind,
    loads: Vec<LoadReport>,
    parts: Vec<PrefixReport>,
    deaths: Vec<CrashReport>,
) -> Gossip {
    core.relay.peers.number += 1;
    let passes = match kind {
        GossipKind::Totals(_) => true,
        GossipKind::Own => replicates_changes(core),
        _ => false,
    };
    let passage = passes.then(|| core.relay.view.take_changes());
    let probes = &mut core.relay.view.probes;
    let newest = match kind {
        // Each failure domain probes the store for itself.
        GossipKind::Domain(_) | GossipKind::Passed(_) => None,
        GossipKind::Totals(_) => probes.latest_report(core.now),
        _ => probes.own_report(core.now),
    };
    Gossip {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
        number: core.relay.peers.number,
        loads,
        parts,
        deaths,
        kind,
        era: core.relay.view.era(),
        newest,
        passage,
        limits: limit::reports(core),
        uptime: core.relay.view.uptime.report(core.now),
    }
}

/// Returns the other hosts of this failure domain.
fn neighbours(core: &Core) -> impl Iterator<Item = &Peer> {
    let peers = &core.relay.peers;
    let all = peers.names.values().map(|key| &peers.arena[*key]);
    all.filter(|peer| peer.domain == core.settings.host.domain)
}

/// Whether a host was seen lately enough to be counted on.
fn is_live(core: &Core, peer: &Peer) -> bool {
    peer.heard
        .is_some_and(|at| core.now.since(at) < REPRESENTATIVE_TIMEOUT)
}

/// Returns where the other hosts of this failure domain listen.
fn near(core: &Core) -> Vec<SocketAddr> {
    neighbours(core).map(|peer| peer.addr).collect()
}

/// Returns how many other hosts of this failure domain are live, seen directly or by an aggregator.
pub(super) fn live_neighbours(core: &Core) -> u32 {
    let direct = neighbours(core).filter(|peer| is_live(core, peer)).count();
    let peers = &core.relay.peers;
    let reporting = match peers.aggregator.current() {
        Some(_) => peers.reporting,
        None => 0,
    };
    u32::try_from(direct.max(reporting)).unwrap_or(u32::MAX)
}

/// Whether this host represents its failure domain: no host before it by name is live.
pub(super) fn represents_domain(core: &Core) -> bool {
    if core.relay.peers.aggregator.current().is_some() {
        return false;
    }
    let own = &core.settings.host.name;
    !neighbours(core).any(|peer| peer.name < *own && is_live(core, peer))
}

/// Whether this host sends changes of the store to others: it represents its failure domain, or watches the store itself, as
/// where the representative is cut off from it.
fn replicates_changes(core: &Core) -> bool {
    represents_domain(core) || core.relay.view.watches(core.now)
}

/// Whether a host of this failure domain stands before this one by name, live or not.
pub(super) fn has_predecessor(core: &Core) -> bool {
    let own = &core.settings.host.name;
    neighbours(core).any(|peer| peer.name < *own)
}

/// Returns the unfinished work of this host and of those of its failure domain that reported it.
fn summed(core: &Core) -> Vec<LoadReport> {
    let peers = &core.relay.peers;
    let own = &core.settings.host.domain;
    let totals = peers.domains.get(own);
    let near = |key: &HostKey| {
        let peer = peers.arena.get(*key);
        Some(key) != totals && peer.is_some_and(|peer| peer.domain == *own)
    };
    let instances = core.relay.instances.arena.values();
    let loads = instances.filter_map(|instance| {
        let others = instance.peer_work.iter().filter(|(key, _)| near(key));
        let sum = others.fold(instance.own_work, |sum, (_, work)| sum.plus(*work));
        (sum != Work::default()).then(|| load_report(instance.short_hash, sum))
    });
    loads.collect()
}

fn load_report(instance: u32, work: Work) -> LoadReport {
    LoadReport {
        instance,
        calls: work.calls,
        fill: u32::try_from(work.fill_rate).unwrap_or(u32::MAX),
        tokens: u32::try_from(work.tokens).unwrap_or(u32::MAX),
    }
}

/// Forgets the work of hosts that are unresponsive.
fn expire(core: &mut Core) {
    let silent: Vec<HostKey> = core
        .relay
        .peers
        .arena
        .iter()
        .filter(|(_, peer)| {
            peer.heard
                .is_some_and(|at| core.now.since(at) > PEER_TIMEOUT)
        })
        .map(|(key, _)| key)
        .collect();
    for key in silent {
        let peer = &mut core.relay.peers.arena[key];
        peer.heard = None;
        peer.reports = false;
        core.relay.instances.set_reported_work(key, &[]);
    }
}

/// Takes in another host's message, or what one sums up for its failure domain.
pub fn receive(core: &mut Core, mut message: Gossip, out: &mut Effects) {
    let Some(sender) = core.relay.peers.names.get(&message.host).copied() else {
        return;
    };
    let key = match &message.kind {
        // What this domain sums up itself is known here already.
        GossipKind::Domain(domain) | GossipKind::Passed(domain)
            if *domain == core.settings.host.domain =>
        {
            return;
        }
        GossipKind::Domain(domain) | GossipKind::Passed(domain) => {
            domains::whole(core, sender, domain.clone())
        }
        _ => sender,
    };
    let now = core.now;
    let peer = &mut core.relay.peers.arena[key];
    // Datagrams overtake each other, and a process that ended may still be heard.
    if (message.incarnation, message.number) <= (peer.incarnation, peer.number) {
        return;
    }
    peer.incarnation = message.incarnation;
    peer.number = message.number;
    peer.heard = Some(now);
    limit::reported(core, &message.host, &message.limits, out);
    view::era::observe(core, message.era, &message.host, out);
    if message.era < core.relay.view.era() {
        // The sender has not heard of this era: its revisions mean nothing here.
        message.uptime = None;
        message.passage = None;
        message.newest = None;
    }
    if let Some(uptime) = message.uptime {
        view::uptime_reported(core, uptime, out);
    }
    if let Some(passage) = message.passage.take() {
        view::apply_replicated(core, &message.host, passage, out);
    }
    if let Some(newest) = message.newest {
        view::probe::reported(core, newest, out);
    }
    let peers = &mut core.relay.peers;
    peers.down.hear(&message.parts, &message.deaths);
    if matches!(message.kind, GossipKind::Own | GossipKind::Report) {
        peers.across.hear(&message.parts, &message.deaths);
    }
    if message.kind == GossipKind::Report {
        peers.up.hear(&message.parts, &message.deaths);
    }
    // An aggregator's totals hold all other work.
    let summed_up = peers.aggregator.current().is_some();
    match &message.kind {
        GossipKind::Hello | GossipKind::Report | GossipKind::Farewell => {
            gather::heard(core, key, &message);
        }
        GossipKind::Totals(included) => gather::totals(core, key, &message.loads, included, out),
        _ if summed_up => {}
        _ => core.relay.instances.set_reported_work(key, &message.loads),
    }
    note_parts(core, &message.parts);
    if matches!(message.kind, GossipKind::Domain(_)) {
        domains::pass_on(core, message, out);
    }
}

/// Takes in which prompt parts engines were sent.
fn note_parts(core: &mut Core, parts: &[PrefixReport]) {
    for part in parts {
        let Some(engine) = core.relay.instances.by_short_hash(part.instance) else {
            continue;
        };
        let instance = &mut core.relay.instances.arena[engine];
        // It was sent there to be read, behind what waits there already.
        let learned = core.relay.model.of(&instance.service);
        let wait = span(load::reading(learned, instance, instance.work().tokens));
        let ready = core.now.after(wait);
        parts::note(instance, part.part, part.tokens.into(), core.now, ready);
    }
}
