//! What failure domains tell each other: one host of each tells one host of every other.
//!
//! Bytes between domains grow with the domains, not with the square of the hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::super::super::key::HostKey;
use super::super::super::{Core, Effects};
use super::super::event::{Gossip, GossipKind};
use super::super::peers::new_peer;
use super::{is_live, neighbour_addrs, new_message, publish_to, summed_loads};

/// Tells each other failure domain what was heard in this one.
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
    // One host there passes it on. It may be down: another is told each time nothing is heard.
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
    let (parts, deaths) = core.relay.peers.cross_domain.take();
    let message = new_message(core, GossipKind::Domain(own), loads, parts, deaths);
    out.extend(publish_to(to, message));
}

/// Returns one of the addresses, another with each number.
fn rotate(addrs: &[SocketAddr], number: u64) -> Option<SocketAddr> {
    let at = number % u64::try_from(addrs.len()).ok()?.max(1);
    addrs.get(usize::try_from(at).ok()?).copied()
}

/// Returns where the host listens that represents another failure domain, if one is live.
fn representative(core: &Core, domain: &str) -> Option<SocketAddr> {
    let peers = &core.relay.peers;
    let whole = &peers.arena[*peers.domains.get(domain)?];
    let host = peers.names.get(&whole.name)?;
    is_live(core, whole).then(|| peers.arena[*host].addr)
}

/// Passes on what was heard from another failure domain: to all where each host tells all, or to the
/// aggregator, whose totals then hold it.
pub(super) fn forward(core: &mut Core, message: Gossip, out: &mut Effects) {
    let GossipKind::Domain(domain) = &message.kind else {
        return;
    };
    if let Some(aggregator) = super::gather::aggregator_addr(core) {
        out.extend(publish_to(vec![aggregator], message));
    } else if !super::uses_aggregators(core) {
        let kind = GossipKind::Forwarded(domain.clone());
        out.extend(publish_to(
            neighbour_addrs(core),
            Gossip { kind, ..message },
        ));
    }
}

/// Returns what stands for a whole failure domain, now that this host represents it.
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
    let known = peers.domains.get(&domain).copied();
    let key = known.unwrap_or_else(|| {
        let key = peers.arena.insert(new_peer(&name, domain.clone(), addr));
        peers.domains.insert(domain, key);
        key
    });
    let whole = &mut peers.arena[key];
    if whole.name != name {
        // Another host represents_domain for it: its numbers are its own.
        whole.name = name;
        whole.incarnation = 0;
        whole.sequence = 0;
    }
    key
}
