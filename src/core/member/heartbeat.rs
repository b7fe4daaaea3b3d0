//! Heartbeats: state that each host sends to every other at a fixed interval.

use std::time::Duration;

use crate::core::effect::Effect;
use crate::core::key::HostKey;
use crate::core::message::{Heartbeat, Message, View};
use crate::core::{Core, Effects, config, once, poison, share};

/// Time between two heartbeats to a peer.
///
/// With 16 hosts, heartbeats cost each host 3 KB/s. Pledges of shares expire after six intervals.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of unechoed heartbeats after which the connection to a peer is reopened.
///
/// A connection can stay open and silently drop everything while new ones work. The peer's own
/// heartbeats then still arrive on its connection, but the number they echo no longer grows.
const MAX_UNECHOED: u64 = 16;

/// Sends a heartbeat to every peer immediately, independent of the interval.
pub fn send_heartbeats(core: &mut Core, out: &mut Effects) {
    let revision = core.config.revision();
    let stopping = core.stop.is_stopping();
    let (mut views, hosts) = (share::recent_views(core), share::host_count(core));
    let newest = if views.is_empty() {
        View::default()
    } else {
        views.remove(0)
    };
    let peers: Vec<HostKey> = core.members.peers().collect();
    for to in peers {
        let number = core.members.arena[to].last_sent + 1;
        let pledged = share::heartbeat_sent(core, to, number);
        let peer = &mut core.members.arena[to];
        let unechoed = peer
            .last_sent
            .saturating_sub(peer.heartbeat.echo.max(peer.connection_start));
        if unechoed >= MAX_UNECHOED {
            peer.connection_start = peer.last_sent;
            out.push(Effect::Reconnect(to));
        }
        peer.last_sent = number;
        let heartbeat = Heartbeat {
            number: peer.last_sent,
            echo: peer.heartbeat.number,
            view_hash: newest.hash,
            view_age_ms: newest.age_ms,
            revision,
            stopping,
            views: views.clone(),
            pledged_ms: u64::try_from(pledged.as_millis()).unwrap_or(u64::MAX),
            hosts,
        };
        out.push(Effect::Send {
            to,
            message: Message::Heartbeat(heartbeat),
        });
    }
}

/// Handles a peer's heartbeat.
pub fn handle_heartbeat(core: &mut Core, from: HostKey, heartbeat: &Heartbeat, out: &mut Effects) {
    let peer = &mut core.members.arena[from];
    if heartbeat.number <= peer.heartbeat.number {
        return;
    }
    let stopping = heartbeat.stopping != peer.heartbeat.stopping;
    let revision = heartbeat.revision;
    let first = peer.heartbeat.number == 0;
    peer.heartbeat = heartbeat.clone();
    share::heartbeat_received(core, from, heartbeat);
    if first {
        poison::sync_new_host(core, from, out);
    }
    if stopping {
        once::view_changed(core, out);
    }
    config::peer_revision_seen(core, from, revision, out);
}
