//! Gossip between hosts: unfinished work, cached prefix blocks, crashes, rate limits, changes of stages, departures of
//! backend servers, store changes.
//!
//! Each host sees only its share of the requests. Without reports from the others, all hosts would
//! pick the same seemingly idle engine, and prefill the same prefix at different engines.
//!
//! In a small failure domain each host sends to all others. In a large one that would cost each host as
//! many datagrams as there are hosts, so each host reports to an aggregator and receives totals: see
//! [`gather`]. One representative of each failure domain sends its domain's sums to the other domains:
//! see [`domains`].

mod aggregator;
pub(super) mod domains;
mod gather;
mod pending;

pub use aggregator::Aggregator;
pub(super) use gather::own_process_hash;
use pending::MAX_PART_REPORTS;
pub use pending::PendingUpdates;

use std::net::SocketAddr;
use std::time::Duration;

use super::super::effect::Effect;
use super::super::key::HostKey;
use super::super::{Core, Effects};
use super::event::{
    BlockReport, CONTEXT_UNIT, Gossip, GossipKind, LoadReport, RelayEffect, Updates,
};
use super::instance::Work;
use super::peers::Peer;
use super::{
    RelayTimer, changing, departed, duty, from_millis, intake, limit, links, load, parts, peers,
    poison, prefix_cache, shares, versions, view, wake,
};

/// Shortest interval between two messages to the other hosts.
///
/// Stale load reports make all hosts choose the same engine; shorter intervals cost processor time and
/// traffic between failure domains.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(18);
/// Gossip interval per other host of a failure domain without aggregators, where each host receives
/// messages from all others.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(1500);
/// Gossip interval where hosts report to an aggregator. It answers each reporter with some kilobytes,
/// possibly over the slowest link of all hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(45);
/// Largest number of other hosts in a failure domain where each host sends to all others.
const MAX_FLAT_PEERS: usize = 12;
/// Interval between two sweeps of the prefix blocks that engines hold. A sweep visits all of some ten
/// thousand, and the blocks it drops were last used seconds ago.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest interval between two messages while nothing changes; less than half of
/// [`REPRESENTATIVE_TIMEOUT`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message after which a host's load reports are dropped.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message after which another host represents a failure domain: two keep-alive
/// intervals and a margin.
const REPRESENTATIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Expires old state, then sends this host's state to the others.
pub fn publish(core: &mut Core, out: &mut Effects) {
    let interval = gossip_interval(core);
    wake(core, interval, RelayTimer::Publish, out);
    intake::measure(core, interval, out);
    expire_peers(core);
    peers::drop_unresponsive(core, out);
    for instance in core.relay.instances.arena.values_mut() {
        instance.update_fill_rate(core.now);
    }
    sweep_blocks(core);
    core.relay.instances.sweep(core.now);
    shares::update(core, out);
    if uses_aggregators(core) {
        gather::update_aggregator(core, out);
    } else {
        core.relay.peers.aggregator.reset();
        publish_own(core, out);
    }
    gather::send_totals(core, out);
    view::resume_watch(core, out);
    duty::usage::publish(core, out);
    versions::update(core, out);
    if core.relay.peers.cross_domain.is_dirty() && represents_domain(core) {
        domains::publish_aggregate(core, out);
    }
}

/// Returns the age of the load reports from the other hosts of this failure domain: that of the last
/// totals, or of the least recent message where each host sends to all.
pub(super) fn load_age(core: &Core) -> Option<Duration> {
    let peers = &core.relay.peers;
    let totals = peers.domains.get(&core.settings.host.domain);
    let last_seen = match totals {
        Some(totals) => peers.arena[*totals].last_seen,
        None => neighbours(core).filter_map(|peer| peer.last_seen).min(),
    };
    last_seen.map(|at| core.now.since(at))
}

/// Returns the time until the other hosts have received work that is sent now: the gossip interval, or
/// longer where no message arrived lately.
pub(super) fn propagation_delay(core: &Core) -> Duration {
    // Reports and totals each take one hop through an aggregator.
    let hops = if uses_aggregators(core) { 2 } else { 1 };
    (gossip_interval(core) * hops).max(load_age(core).unwrap_or_default())
}

/// Returns the interval between two gossip messages.
fn gossip_interval(core: &Core) -> Duration {
    if uses_aggregators(core) {
        return REPORT_INTERVAL;
    }
    let hosts = u32::try_from(neighbours(core).count()).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST.saturating_mul(hosts).max(GOSSIP_INTERVAL)
}

/// Whether this failure domain uses aggregators.
fn uses_aggregators(core: &Core) -> bool {
    neighbours(core).count() > MAX_FLAT_PEERS
}

/// Sends this host's own load to each host of its failure domain.
fn publish_own(core: &mut Core, out: &mut Effects) {
    let loads = own_loads(core);
    let updates = take_unpublished(core);
    if !should_publish(core, &loads, !updates.is_empty()) {
        return;
    }
    core.relay.peers.cross_domain.add(&updates, core.now);
    let addrs = neighbour_addrs(core);
    let message = new_message(core, GossipKind::Own, loads, updates);
    out.extend(publish_effect(addrs, message));
}

/// Returns this host's own unfinished work, by backend server.
fn own_loads(core: &Core) -> Vec<LoadReport> {
    let loads = core.relay.instances.arena.values();
    loads
        .filter(|instance| instance.own_work != Work::default())
        .map(|instance| load_report(instance.short_hash, instance.own_work))
        .collect()
}

/// Takes this host's prefix blocks and crash reports that are still to be sent.
fn take_unpublished(core: &mut Core) -> Updates {
    let doubtful = links::doubtful_servers(core);
    let parts = parts::reports::take_unpublished(core, MAX_PART_REPORTS);
    let poison_requests = &mut core.relay.poison_requests;
    Updates {
        crashes: poison_requests.take_unpublished(&doubtful, core.now),
        blocks: std::mem::take(&mut core.relay.peers.pending_blocks),
        parts,
    }
}

/// Whether a message with these loads is due: something changed, or the last message is older than
/// [`KEEPALIVE_INTERVAL`]. If so, records it as sent now.
fn should_publish(core: &mut Core, loads: &[LoadReport], changed: bool) -> bool {
    let view = &core.relay.view;
    let limits = core.relay.peers.last_publish;
    let limits = limits.is_some_and(|last| limit::changed_since(core, last));
    let departures = departed::changed_since(core, core.relay.peers.last_publish);
    let links = core.relay.peers.last_publish;
    let links = links.is_some_and(|last| core.relay.links.changed_since(last));
    let stages = core.relay.peers.last_publish;
    let stages = stages.is_some_and(|last| changing::changed_since(core, last));
    let closed = core.relay.peers.last_publish;
    let closed =
        closed.is_some_and(|last| core.stop.is_closed(core.now) && !core.stop.is_closed(last));
    let changed = changed || limits || departures || links || stages || closed;
    let changed = changed
        || view.probes.has_unsent()
        || (view.history.has_unsent() && replicates_changes(core));
    let peers = &mut core.relay.peers;
    let unchanged = !changed && loads == peers.last_loads;
    if unchanged
        && peers
            .last_publish
            .is_some_and(|at| core.now.since(at) < KEEPALIVE_INTERVAL)
    {
        return false;
    }
    peers.last_publish = Some(core.now);
    peers.last_loads = loads.to_vec();
    true
}

/// Drops prefix blocks that engines are expected to have evicted, once per [`SWEEP_INTERVAL`].
fn sweep_blocks(core: &mut Core) {
    let peers = &mut core.relay.peers;
    if peers
        .last_sweep
        .is_some_and(|at| core.now.since(at) < SWEEP_INTERVAL)
    {
        return;
    }
    peers.last_sweep = Some(core.now);
    let capacity = core.relay.catalog.as_ref().and_then(|catalog| {
        let engines = catalog
            .services
            .values()
            .filter_map(|service| service.engine.as_ref());
        engines.map(|engine| engine.kv_capacity).max()
    });
    for instance in core.relay.instances.arena.values_mut() {
        prefix_cache::drop_evicted(instance, capacity.unwrap_or(0), core.now);
    }
}

fn publish_effect(to: Vec<SocketAddr>, message: Gossip) -> Option<Effect> {
    let message = Box::new(message);
    (!to.is_empty()).then(|| Effect::Relay(RelayEffect::Publish { to, message }))
}

fn new_message(
    core: &mut Core,
    kind: GossipKind,
    loads: Vec<LoadReport>,
    updates: Updates,
) -> Gossip {
    core.relay.peers.sequence += 1;
    let engine_times = shares::exchange::reports(core, &kind);
    let has_changes = match kind {
        GossipKind::Totals(_) => true,
        GossipKind::Own => replicates_changes(core),
        _ => false,
    };
    let replicated = has_changes.then(|| core.relay.view.take_changes());
    let included_domains = match kind {
        GossipKind::Totals(_) if duty::scaling::follows_demand(core) => domains::known(core),
        _ => Vec::new(),
    };
    let probes = &mut core.relay.view.probes;
    let probe = match kind {
        // Each failure domain probes the store itself.
        GossipKind::Domain(_) | GossipKind::Forwarded(_) => None,
        GossipKind::Totals(_) => probes.latest_report(core.now),
        _ => probes.own_report(core.now),
    };
    Gossip {
        host: core.settings.host.name.clone(),
        addr: peers::unregistered_addr(core),
        incarnation: core.members.incarnation(),
        sequence: core.relay.peers.sequence,
        loads,
        blocks: updates.blocks,
        crashes: updates.crashes,
        parts: updates.parts,
        kind,
        era: core.relay.view.era(),
        probe,
        replicated,
        limits: limit::reports(core),
        changes: changing::reports(core),
        departures: departed::reports(core),
        uptime: core.relay.view.uptime.report(core.now),
        cut_off: core.relay.links.are_lost() || core.stop.is_closed(core.now),
        included_domains,
        engine_times,
    }
}

/// Returns the other hosts of this failure domain.
fn neighbours(core: &Core) -> impl Iterator<Item = &Peer> {
    let peers = &core.relay.peers;
    let all = peers.names.values().map(|key| &peers.arena[*key]);
    all.filter(|peer| peer.domain == core.settings.host.domain)
}

/// Whether a message of a host arrived within [`REPRESENTATIVE_TIMEOUT`].
fn is_live(core: &Core, peer: &Peer) -> bool {
    peer.last_seen
        .is_some_and(|at| core.now.since(at) < REPRESENTATIVE_TIMEOUT)
}

/// Returns the gossip addresses of the other hosts of this failure domain.
fn neighbour_addrs(core: &Core) -> Vec<SocketAddr> {
    neighbours(core).map(|peer| peer.addr).collect()
}

/// Returns how many other hosts of this failure domain are live, seen by this host or by its
/// aggregator.
pub(super) fn live_neighbours(core: &Core) -> u32 {
    let direct = neighbours(core).filter(|peer| is_live(core, peer)).count();
    let peers = &core.relay.peers;
    let reporters = match peers.aggregator.current() {
        Some(_) => peers.reporter_count,
        None => 0,
    };
    u32::try_from(direct.max(reporters)).unwrap_or(u32::MAX)
}

/// Whether this host represents its failure domain: it has no aggregator, and no host whose name sorts
/// before its own is live.
pub(super) fn represents_domain(core: &Core) -> bool {
    if core.relay.peers.aggregator.current().is_some() {
        return false;
    }
    let own = &core.settings.host.name;
    !neighbours(core).any(|peer| peer.name < *own && is_live(core, peer))
}

/// Whether this host replicates store changes to others: it represents its failure domain, or watches
/// the store itself, for instance while the representative cannot reach the store.
fn replicates_changes(core: &Core) -> bool {
    represents_domain(core) || core.relay.view.watches(core.now)
}

/// Whether the name of another host of this failure domain, live or not, sorts before this host's.
pub(super) fn has_predecessor(core: &Core) -> bool {
    let own = &core.settings.host.name;
    neighbours(core).any(|peer| peer.name < *own)
}

/// Returns the summed unfinished work of this host and of the hosts of its failure domain that
/// reported theirs.
fn summed_loads(core: &Core) -> Vec<LoadReport> {
    let peers = &core.relay.peers;
    let own = &core.settings.host.domain;
    let totals = peers.domains.get(own);
    let in_domain = |key: &HostKey| {
        let peer = peers.arena.get(*key);
        Some(key) != totals && peer.is_some_and(|peer| peer.domain == *own)
    };
    let instances = core.relay.instances.arena.values();
    let loads = instances.filter_map(|instance| {
        let others = instance.peer_work.iter().filter(|(key, _)| in_domain(key));
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
        prompts: u32::try_from(work.prompt_rate).unwrap_or(u32::MAX),
        context: context_units(work.context).saturating_mul(CONTEXT_UNIT),
    }
}

/// Returns a number of context tokens in the unit of messages, rounded to the nearest.
fn context_units(tokens: u64) -> u32 {
    let units = (tokens + u64::from(CONTEXT_UNIT) / 2) / u64::from(CONTEXT_UNIT);
    u32::try_from(units).unwrap_or(u32::MAX)
}

/// Drops the load reports of hosts that sent nothing for [`PEER_TIMEOUT`].
fn expire_peers(core: &mut Core) {
    let expired: Vec<HostKey> = core
        .relay
        .peers
        .arena
        .iter()
        .filter(|(_, peer)| {
            peer.last_seen
                .is_some_and(|at| core.now.since(at) > PEER_TIMEOUT)
        })
        .map(|(key, _)| key)
        .collect();
    for key in expired {
        let peer = &mut core.relay.peers.arena[key];
        peer.last_seen = None;
        peer.is_reporter = false;
        core.relay.instances.set_reported_work(key, &[]);
    }
}

/// Handles a message from another host.
pub fn receive(core: &mut Core, mut message: Gossip, out: &mut Effects) {
    let Some(sender) = core.relay.peers.names.get(&message.host).copied() else {
        return;
    };
    let key = match &mut message.kind {
        GossipKind::Usage(reports) => {
            let process = duty::usage::ledger::Process {
                host: message.host,
                incarnation: message.incarnation,
            };
            duty::usage::receive(core, process, std::mem::take(reports));
            return;
        }
        GossipKind::Streams(message) => {
            versions::take_up::receive(core, sender, message, out);
            return;
        }
        // This host already has the loads that a sum over its own domain contains.
        GossipKind::Domain(domain) | GossipKind::Forwarded(domain)
            if *domain == core.settings.host.domain =>
        {
            return;
        }
        GossipKind::Domain(domain) | GossipKind::Forwarded(domain) => {
            domains::aggregate_peer(core, sender, domain.clone())
        }
        _ => sender,
    };
    let now = core.now;
    let peer = &mut core.relay.peers.arena[key];
    // Datagrams arrive out of order, and those of an ended process may arrive after its successor's.
    if (message.incarnation, message.sequence) <= (peer.incarnation, peer.sequence) {
        return;
    }
    let is_new = peer.incarnation != message.incarnation;
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.last_seen = Some(now);
    if is_new {
        core.relay.poison_requests.publish_again(now);
        core.relay.parts.publish_again();
    }
    core.relay.peers.arena[sender].is_cut_off = message.cut_off;
    if let Some(addr) = message.addr {
        peers::moved(core, sender, addr, out);
    }
    limit::reported(core, &message.host, &message.limits, out);
    changing::reported(core, &message.changes, out);
    view::era::observe(core, message.era, &message.host, out);
    if message.era < core.relay.view.era() {
        // The sender is still in an earlier era of the store: its revisions do not compare with those here.
        message.uptime = None;
        message.replicated = None;
        message.probe = None;
        message
            .departures
            .retain(|departure| departure.revision.is_none());
    }
    departed::reported(core, &message.host, &message.departures, out);
    if let Some(uptime) = message.uptime {
        view::uptime_reported(core, uptime, out);
    }
    if let Some(replicated) = message.replicated.take() {
        view::apply_replicated(core, &message.host, replicated, out);
    }
    if let Some(probe) = message.probe {
        view::probe::reported(core, probe, out);
    }
    let updates = Updates {
        blocks: message.blocks.clone(),
        crashes: message.crashes.clone(),
        parts: message.parts.clone(),
    };
    let peers = &mut core.relay.peers;
    peers.downstream.add(&updates, now);
    if matches!(message.kind, GossipKind::Own | GossipKind::Report) {
        peers.cross_domain.add(&updates, now);
    }
    if message.kind == GossipKind::Report {
        peers.upstream.add(&updates, now);
    }
    // The aggregator's totals include the loads of all other messages.
    let has_aggregator = peers.aggregator.current().is_some();
    match &message.kind {
        GossipKind::Hello | GossipKind::Report | GossipKind::Farewell => {
            gather::receive_report(core, key, &message);
        }
        GossipKind::Totals(included) => {
            gather::receive_totals(core, key, &message, included, out);
        }
        _ if has_aggregator => {}
        _ => core.relay.instances.set_reported_work(key, &message.loads),
    }
    shares::exchange::receive(core, key, &message, out);
    record_blocks(core, &message.blocks);
    poison::receive(core, &message.host, &message.crashes, out);
    parts::reports::receive(core, &message.parts, out);
    if matches!(message.kind, GossipKind::Domain(_)) {
        domains::forward(core, message, out);
    }
}

/// Records the prefix blocks that other hosts sent to engines.
fn record_blocks(core: &mut Core, blocks: &[BlockReport]) {
    for report in blocks {
        let Some(engine) = core.relay.instances.by_short_hash(report.instance) else {
            continue;
        };
        let instance = &mut core.relay.instances.arena[engine];
        // The engine prefills the block after the work already queued there.
        let learned = core.relay.cost_model.of(&instance.service);
        let wait = from_millis(load::prefill_ms(learned, instance, instance.work().tokens));
        let ready = core.now.after(wait);
        prefix_cache::record_block(
            instance,
            report.block,
            report.tokens.into(),
            core.now,
            ready,
        );
    }
}
