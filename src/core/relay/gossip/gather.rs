//! Reports to an aggregator, and the totals that it answers with.
//!
//! A report tells of the sender's own work and of that of the hosts that report to the sender. Totals
//! tell of all the work that the aggregator knows of, and which reports they include, so that a host
//! can take its own work out of them: what it has sent and finished since, it knows better itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::super::super::key::HostKey;
use super::super::super::{Core, Effects};
use super::super::event::{Gossip, GossipKind, Included, LoadReport};
use super::super::instance::{Work, short_hash};
use super::super::note;
use super::aggregator::{Change, preferred};
use super::{
    KEEPALIVE_INTERVAL, domains, due, load_report, message, neighbours, publish_to, summed,
    unpublished,
};

/// Reports that are remembered until totals include them: those of two seconds.
const REPORTS: usize = 64;

/// Asks hosts to sum up for this one, reports to the one that does, and answers those that report
/// here.
pub(super) fn tell(core: &mut Core, out: &mut Effects) {
    let own = &core.settings.host.name;
    let mut before: Vec<Box<str>> = neighbours(core)
        .filter(|peer| peer.name < *own)
        .map(|peer| peer.name.clone())
        .collect();
    before.sort();
    let now = core.now;
    let (ask, lost) = core.relay.peers.aggregator.look(preferred(&before), now);
    if let Some(change) = lost {
        changed(core, &change, out);
    }
    if !ask.is_empty() {
        let to = ask.iter().filter_map(|name| address(core, name)).collect();
        let message = message(core, GossipKind::Hello, Vec::new(), Vec::new(), Vec::new());
        out.extend(publish_to(to, message));
    }
    if core.relay.peers.aggregator.is_first() {
        // The hosts that the last totals told of report here from now on.
        forget_totals(core);
        core.relay.peers.up.take();
    }
    report(core, out);
}

fn forget_totals(core: &mut Core) {
    let peers = &mut core.relay.peers;
    let all = peers.domains.get(&core.settings.host.domain).copied();
    if let Some(all) = all.filter(|all| peers.arena[*all].heard.take().is_some()) {
        core.relay.instances.set_reported_work(all, &[]);
    }
}

/// Returns where the aggregator listens.
pub(super) fn current(core: &Core) -> Option<SocketAddr> {
    address(core, core.relay.peers.aggregator.current()?)
}

fn address(core: &Core, name: &str) -> Option<SocketAddr> {
    let peers = &core.relay.peers;
    let key = peers.names.get(name)?;
    Some(peers.arena[*key].addr)
}

/// Reports to the aggregator, if there is one and anything is new.
fn report(core: &mut Core, out: &mut Effects) {
    let loads = summed(core);
    let (parts, deaths) = unpublished(core);
    let peers = &mut core.relay.peers;
    if !parts.is_empty() || !deaths.is_empty() {
        peers.up.hear(&parts, &deaths);
    }
    let news = peers.up.any();
    if !due(core, &loads, news) {
        return;
    }
    let peers = &mut core.relay.peers;
    peers.down.hear(&parts, &deaths);
    peers.across.hear(&parts, &deaths);
    let Some(to) = current(core) else {
        return;
    };
    let (parts, deaths) = core.relay.peers.up.take();
    let message = message(core, GossipKind::Report, loads, parts, deaths);
    let peers = &mut core.relay.peers;
    peers.aggregator.reported(core.now);
    peers
        .reports
        .push_back((message.number, message.loads.clone()));
    if peers.reports.len() > REPORTS {
        peers.reports.pop_front();
    }
    out.extend(publish_to(vec![to], message));
}

/// Answers the hosts that report here, if anything is new.
pub(super) fn answer(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    let reporting: Vec<(SocketAddr, Included)> = peers
        .arena
        .values()
        .filter(|peer| peer.reports)
        .map(|peer| {
            let report = Included {
                process: process(&peer.name, peer.incarnation),
                number: peer.number,
            };
            (peer.addr, report)
        })
        .collect();
    let view = &core.relay.view;
    let quiet = !view.probes.has_unsent() && !view.history.has_unsent() && !peers.down.any();
    let waits = peers
        .answered
        .is_some_and(|at| core.now.since(at) < KEEPALIVE_INTERVAL);
    if reporting.is_empty() || (quiet && waits) {
        return;
    }
    let loads = core.relay.instances.arena.values();
    let loads = loads
        .filter(|instance| instance.work() != Work::default())
        .map(|instance| load_report(instance.short_hash, instance.work()))
        .collect();
    let peers = &mut core.relay.peers;
    peers.answered = Some(core.now);
    let (parts, deaths) = peers.down.take();
    let (to, included) = reporting.into_iter().unzip();
    let message = message(core, GossipKind::Totals(included), loads, parts, deaths);
    out.extend(publish_to(to, message));
}

/// Returns the short hash of one process of a host.
fn process(host: &str, incarnation: u64) -> u32 {
    short_hash(&format!("{host}/{incarnation}"))
}

/// Takes in a report, a question for totals, or a farewell.
pub(super) fn heard(core: &mut Core, key: HostKey, message: &Gossip) {
    let peer = &mut core.relay.peers.arena[key];
    peer.reports = message.kind != GossipKind::Farewell;
    core.relay.instances.set_reported_work(key, &message.loads);
}

/// Takes in totals, if their sender sums up for this host.
pub(super) fn totals(
    core: &mut Core,
    sender: HostKey,
    loads: &[LoadReport],
    included: &[Included],
    out: &mut Effects,
) {
    let name = core.relay.peers.arena[sender].name.clone();
    if let Some(change) = core.relay.peers.aggregator.answered(&name) {
        changed(core, &change, out);
    }
    if core.relay.peers.aggregator.current() != Some(&*name) {
        return;
    }
    let own = process(&core.settings.host.name, core.members.incarnation());
    let report = included.iter().find(|report| report.process == own);
    let reported = report.and_then(|report| {
        let mut reports = core.relay.peers.reports.iter();
        reports.find(|(number, _)| *number == report.number)
    });
    let reported: BTreeMap<u32, Work> = reported
        .iter()
        .flat_map(|(_, loads)| loads)
        .map(|load| (load.instance, Work::from(*load)))
        .collect();
    let others: Vec<LoadReport> = loads
        .iter()
        .map(|load| {
            let part = reported.get(&load.instance).copied().unwrap_or_default();
            load_report(load.instance, Work::from(*load).minus(part))
        })
        .collect();
    let domain = core.settings.host.domain.clone();
    let all = domains::whole(core, sender, domain);
    let now = core.now;
    let peers = &mut core.relay.peers;
    peers.arena[all].heard = Some(now);
    peers.reporting = included.len();
    peers.down.hear(&[], &[]);
    core.relay.instances.set_reported_work(all, &others);
}

/// Says that another host sums up for this one, and takes leave of the one before.
fn changed(core: &mut Core, change: &Change, out: &mut Effects) {
    let name = |host: &Option<Box<str>>| host.clone().unwrap_or_else(|| "none".into());
    note(
        out,
        log::Level::Info,
        "aggregator.changed",
        vec![("before", name(&change.before)), ("now", name(&change.now))],
    );
    core.relay.peers.reports.clear();
    if change.now.is_some() {
        // Totals hold what was heard from other failure domains.
        let domains: Vec<HostKey> = core.relay.peers.domains.values().copied().collect();
        for domain in domains {
            core.relay.instances.set_reported_work(domain, &[]);
        }
    }
    // The new one is told all at once.
    core.relay.peers.told = None;
    let left = change.before.as_deref().filter(|_| change.now.is_some());
    if let Some(to) = left.and_then(|name| address(core, name)) {
        let message = message(
            core,
            GossipKind::Farewell,
            Vec::new(),
            Vec::new(),
            Vec::new(),
        );
        out.extend(publish_to(vec![to], message));
    }
}
