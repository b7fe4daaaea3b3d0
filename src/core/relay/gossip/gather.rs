//! Reports to an aggregator, and the totals that it answers with.
//!
//! A report contains the load of the sender and of the hosts that report to the sender. Totals contain
//! all load that the aggregator has reports of, and name the reports that they include. A host subtracts
//! its own report from them, since it has exact and newer figures for its own load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::super::super::key::HostKey;
use super::super::super::{Core, Effects};
use super::super::event::{Gossip, GossipKind, IncludedReport, LoadReport, Updates};
use super::super::instance::{Work, short_hash};
use super::super::{departed, note};
use super::aggregator::{AggregatorChange, preferred_order};
use super::{
    KEEPALIVE_INTERVAL, domains, load_report, neighbours, new_message, publish_effect,
    should_publish, summed_loads, take_unpublished,
};

/// Sent reports that are kept until totals include them: at least two seconds' worth.
const MAX_SENT_REPORTS: usize = 64;

/// Queries hosts to find or improve the aggregator of this one, and sends it a report.
pub(super) fn update_aggregator(core: &mut Core, out: &mut Effects) {
    let own = &core.settings.host.name;
    let mut before: Vec<Box<str>> = neighbours(core)
        .filter(|peer| peer.name < *own)
        .map(|peer| peer.name.clone())
        .collect();
    before.sort();
    let now = core.now;
    let (to_query, lost) = core
        .relay
        .peers
        .aggregator
        .poll(preferred_order(&before), now);
    if let Some(change) = lost {
        aggregator_changed(core, &change, out);
    }
    if !to_query.is_empty() {
        let to = to_query
            .iter()
            .filter_map(|name| peer_addr(core, name))
            .collect();
        let message = new_message(core, GossipKind::Hello, Vec::new(), Updates::default());
        out.extend(publish_effect(to, message));
    }
    if core.relay.peers.aggregator.is_root() {
        // The hosts included in the last totals report to this host from now on.
        drop_totals(core);
        core.relay.peers.upstream.take(now);
    }
    send_report(core, out);
}

/// Drops the loads of the last totals.
fn drop_totals(core: &mut Core) {
    let peers = &mut core.relay.peers;
    let totals = peers.domains.get(&core.settings.host.domain).copied();
    if let Some(totals) = totals.filter(|key| peers.arena[*key].last_seen.take().is_some()) {
        core.relay.instances.set_reported_work(totals, &[]);
    }
}

/// Returns the address of the aggregator.
pub(super) fn aggregator_addr(core: &Core) -> Option<SocketAddr> {
    peer_addr(core, core.relay.peers.aggregator.current()?)
}

fn peer_addr(core: &Core, name: &str) -> Option<SocketAddr> {
    let peers = &core.relay.peers;
    let key = peers.names.get(name)?;
    Some(peers.arena[*key].addr)
}

/// Sends a report to the aggregator, if there is one and a report is due.
fn send_report(core: &mut Core, out: &mut Effects) {
    let loads = summed_loads(core);
    let (updates, now) = (take_unpublished(core), core.now);
    let peers = &mut core.relay.peers;
    if !updates.is_empty() {
        peers.upstream.add(&updates, now);
    }
    let changed = peers.upstream.is_dirty();
    if !should_publish(core, &loads, changed) {
        return;
    }
    let peers = &mut core.relay.peers;
    peers.downstream.add(&updates, now);
    peers.cross_domain.add(&updates, now);
    let Some(to) = aggregator_addr(core) else {
        return;
    };
    let updates = core.relay.peers.upstream.take(now);
    let message = new_message(core, GossipKind::Report, loads, updates);
    let peers = &mut core.relay.peers;
    peers.aggregator.report_sent(core.now);
    peers
        .sent_reports
        .push_back((message.sequence, message.loads.clone()));
    if peers.sent_reports.len() > MAX_SENT_REPORTS {
        peers.sent_reports.pop_front();
    }
    out.extend(publish_effect(vec![to], message));
}

/// Sends totals to the hosts that report to this one, if anything changed or the last totals are older
/// than [`KEEPALIVE_INTERVAL`].
pub(super) fn send_totals(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    let reporters: Vec<(SocketAddr, IncludedReport)> = peers
        .arena
        .values()
        .filter(|peer| peer.is_reporter)
        .map(|peer| {
            let report = IncludedReport {
                process: process_hash(&peer.name, peer.incarnation),
                sequence: peer.sequence,
            };
            (peer.addr, report)
        })
        .collect();
    let view = &core.relay.view;
    let unchanged = !view.probes.has_unsent()
        && !view.history.has_unsent()
        && !peers.downstream.is_dirty()
        && !departed::changed_since(core, peers.totals_sent);
    let recent = peers
        .totals_sent
        .is_some_and(|at| core.now.since(at) < KEEPALIVE_INTERVAL);
    if reporters.is_empty() || (unchanged && recent) {
        return;
    }
    let loads = core.relay.instances.arena.values();
    let loads = loads
        .filter(|instance| instance.work() != Work::default())
        .map(|instance| load_report(instance.short_hash, instance.work()))
        .collect();
    let peers = &mut core.relay.peers;
    peers.totals_sent = Some(core.now);
    let updates = peers.downstream.take(core.now);
    let (to, included) = reporters.into_iter().unzip();
    let message = new_message(core, GossipKind::Totals(included), loads, updates);
    out.extend(publish_effect(to, message));
}

/// Returns the short hash that identifies one process of a host.
fn process_hash(host: &str, incarnation: u64) -> u32 {
    short_hash(&format!("{host}/{incarnation}"))
}

/// Returns the short hash that identifies this process.
pub(in super::super) fn own_process_hash(core: &Core) -> u32 {
    process_hash(&core.settings.host.name, core.members.incarnation())
}

/// Handles a report, a query for totals, or the farewell of a reporter.
pub(super) fn receive_report(core: &mut Core, key: HostKey, message: &Gossip) {
    let peer = &mut core.relay.peers.arena[key];
    peer.is_reporter = message.kind != GossipKind::Farewell;
    core.relay.instances.set_reported_work(key, &message.loads);
}

/// Handles totals, if their sender is this host's aggregator or becomes it.
pub(super) fn receive_totals(
    core: &mut Core,
    sender: HostKey,
    message: &Gossip,
    included: &[IncludedReport],
    out: &mut Effects,
) {
    let name = core.relay.peers.arena[sender].name.clone();
    if let Some(change) = core.relay.peers.aggregator.answer_received(&name) {
        aggregator_changed(core, &change, out);
    }
    if core.relay.peers.aggregator.current() != Some(&*name) {
        return;
    }
    let own = own_process_hash(core);
    let report = included.iter().find(|report| report.process == own);
    let sent = report.and_then(|report| {
        let mut reports = core.relay.peers.sent_reports.iter();
        reports.find(|(sequence, _)| *sequence == report.sequence)
    });
    let own_work: BTreeMap<u32, Work> = sent
        .iter()
        .flat_map(|(_, loads)| loads)
        .map(|load| (load.instance, Work::from(*load)))
        .collect();
    let others: Vec<LoadReport> = message
        .loads
        .iter()
        .map(|load| {
            let own = own_work.get(&load.instance).copied().unwrap_or_default();
            load_report(load.instance, Work::from(*load).minus(own))
        })
        .collect();
    let domain = core.settings.host.domain.clone();
    let totals = domains::aggregate_peer(core, sender, domain);
    let now = core.now;
    let peers = &mut core.relay.peers;
    peers.arena[totals].last_seen = Some(now);
    peers.reporter_count = included.len();
    peers.included_domains.clone_from(&message.included_domains);
    peers.downstream.add(&Updates::default(), now);
    core.relay.instances.set_reported_work(totals, &others);
}

/// Logs a change of the aggregator, resets what depended on the previous one, and sends that one a
/// farewell if another took over.
fn aggregator_changed(core: &mut Core, change: &AggregatorChange, out: &mut Effects) {
    let name = |host: &Option<Box<str>>| host.clone().unwrap_or_else(|| "none".into());
    note(
        out,
        log::Level::Info,
        "aggregator.changed",
        vec![
            ("before", name(&change.previous)),
            ("now", name(&change.current)),
        ],
    );
    core.relay.peers.sent_reports.clear();
    if change.current.is_some() {
        // Totals include the loads of the other failure domains.
        let domains: Vec<HostKey> = core.relay.peers.domains.values().copied().collect();
        for domain in domains {
            core.relay.instances.set_reported_work(domain, &[]);
        }
    }
    // Send the next report immediately.
    core.relay.peers.last_publish = None;
    let replaced = change
        .previous
        .as_deref()
        .filter(|_| change.current.is_some());
    if let Some(to) = replaced.and_then(|name| peer_addr(core, name)) {
        let message = new_message(core, GossipKind::Farewell, Vec::new(), Updates::default());
        out.extend(publish_effect(vec![to], message));
    }
}
