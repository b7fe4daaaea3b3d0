//! Gossip between failure domains: one host of each domain sends to one host of every other.
//!
//! Traffic between domains thus depends on the number of domains, not on the square of the number of
//! hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::super::super::key::HostKey;
use super::super::super::{Core, Effects};
use super::super::event::{Gossip, GossipKind};
use super::super::instance::short_hash;
use super::super::peers::new_peer;
use super::{is_live, neighbour_addrs, new_message, publish_effect, summed_loads};

/// Sends the sums over this failure domain to one host of each other domain.
pub(super) fn publish_aggregate(core: &mut Core, out: &mut Effects) {
    let own = core.settings.host.domain.clone();
    let peers = &core.relay.peers;
    let mut to: BTreeMap<Box<str>, Vec<SocketAddr>> = BTreeMap::new();
    for key in peers.names.values() {
        let peer = &peers.arena[*key];
        if peer.domain != own {
            to.entry(peer.domain.clone()).or_default().push(peer.addr);
        }
    }
    // The receiver forwards the message within its domain. While no message arrives from there, the
    // receiver may be down, so each message goes to another host.
    let to: Vec<SocketAddr> = to
        .iter()
        .filter_map(|(domain, addrs)| {
            let representative = representative(core, domain);
            representative.or_else(|| rotate(addrs, peers.sequence))
        })
        .collect();
    if to.is_empty() {
        return;
    }
    let loads = summed_loads(core);
    let updates = core.relay.peers.cross_domain.take(core.now);
    let message = new_message(core, GossipKind::Domain(own), loads, updates);
    out.extend(publish_effect(to, message));
}

/// Returns the address whose turn it is at a sequence number.
fn rotate(addrs: &[SocketAddr], sequence: u64) -> Option<SocketAddr> {
    let index = sequence % u64::try_from(addrs.len()).ok()?.max(1);
    addrs.get(usize::try_from(index).ok()?).copied()
}

/// Returns the address of the host that represents another failure domain, if one is live.
fn representative(core: &Core, domain: &str) -> Option<SocketAddr> {
    let peers = &core.relay.peers;
    let aggregate = &peers.arena[*peers.domains.get(domain)?];
    let host = peers.names.get(&aggregate.name)?;
    is_live(core, aggregate).then(|| peers.arena[*host].addr)
}

/// Forwards a message from another failure domain: to the aggregator, whose totals then include it, or
/// to all hosts of this domain where each sends to all others.
pub(super) fn forward(core: &mut Core, message: Gossip, out: &mut Effects) {
    let GossipKind::Domain(domain) = &message.kind else {
        return;
    };
    if let Some(aggregator) = super::gather::aggregator_addr(core) {
        out.extend(publish_effect(vec![aggregator], message));
    } else if !super::uses_aggregators(core) {
        let kind = GossipKind::Forwarded(domain.clone());
        out.extend(publish_effect(
            neighbour_addrs(core),
            Gossip { kind, ..message },
        ));
    }
}

/// Returns the short hashes of the failure domains whose load this host has received lately, its own included.
pub(super) fn known(core: &Core) -> Vec<u32> {
    let own = &core.settings.host.domain;
    let peers = &core.relay.peers;
    let is_recent = |name: &str| {
        let key = peers.domains.get(name);
        key.is_some_and(|key| is_live(core, &peers.arena[*key]))
    };
    let mut known: Vec<u32> = match peers.aggregator.current() {
        Some(_) if is_recent(own) => peers.included_domains.clone(),
        Some(_) => Vec::new(),
        None => {
            let others = peers.domains.keys().filter(|name| *name != own);
            let recent = others.filter(|name| is_recent(name));
            recent.map(|name| short_hash(name)).collect()
        }
    };
    known.push(short_hash(own));
    known.sort_unstable();
    known.dedup();
    known
}

/// Returns whether the load of a failure domain with hosts is missing here.
pub(in crate::core::relay) fn is_missing(core: &Core) -> bool {
    let known = known(core);
    let peers = &core.relay.peers;
    let mut hosts = peers.names.values().map(|key| &peers.arena[*key]);
    hosts.any(|peer| !known.contains(&short_hash(&peer.domain)))
}

/// Returns the entry that stands for a whole failure domain, and makes a host its representative.
pub(super) fn aggregate_peer(
    core: &mut Core,
    representative: HostKey,
    domain: Box<str>,
) -> HostKey {
    let peers = &mut core.relay.peers;
    let (name, addr) = (
        peers.arena[representative].name.clone(),
        peers.arena[representative].addr,
    );
    let existing = peers.domains.get(&domain).copied();
    let key = existing.unwrap_or_else(|| {
        let key = peers.arena.insert(new_peer(&name, domain.clone(), addr));
        peers.domains.insert(domain, key);
        key
    });
    let aggregate = &mut peers.arena[key];
    if aggregate.name != name {
        // The representative changed, and has sequence numbers of its own.
        aggregate.name = name;
        aggregate.incarnation = 0;
        aggregate.sequence = 0;
    }
    key
}
