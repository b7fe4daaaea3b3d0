//! Beats: what each host tells every other at an interval, and what is taken from them.

use std::time::Duration;

use crate::core::effect::Effect;
use crate::core::key::HostKey;
use crate::core::message::{Heartbeat, Message, View};
use crate::core::{Core, Effects, config, once, poison, share};

/// Time between two beats to a peer.
///
/// With 16 hosts this costs each 3 KB a second; pledges of shares run out after six of them.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Beats a peer may leave unechoed before the connection to it is opened anew.
///
/// A connection can go silent for good while new ones work; the peer then still beats on its own
/// connection, but its echo stands still.
const MAX_UNECHOED: u64 = 16;

/// Sends a beat to every peer at once, out of turn.
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
        let lost = peer
            .last_sent
            .saturating_sub(peer.heartbeat.echo.max(peer.connection_start));
        if lost >= MAX_UNECHOED {
            peer.connection_start = peer.last_sent;
            out.push(Effect::Reconnect(to));
        }
        peer.last_sent = number;
        let beat = Heartbeat {
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
            message: Message::Heartbeat(beat),
        });
    }
}

/// Takes in a peer's beat.
pub fn handle_heartbeat(core: &mut Core, from: HostKey, beat: &Heartbeat, out: &mut Effects) {
    let peer = &mut core.members.arena[from];
    if beat.number <= peer.heartbeat.number {
        return;
    }
    let stopping = beat.stopping != peer.heartbeat.stopping;
    let revision = beat.revision;
    let first = peer.heartbeat.number == 0;
    peer.heartbeat = beat.clone();
    share::heartbeat_received(core, from, beat);
    if first {
        poison::sync_new_host(core, from, out);
    }
    if stopping {
        once::view_changed(core, out);
    }
    config::peer_revision_seen(core, from, revision, out);
}
