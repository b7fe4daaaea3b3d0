//! Beats: what each host tells every other at an interval, and what is taken from them.

use std::time::Duration;

use crate::core::effect::Effect;
use crate::core::key::HostKey;
use crate::core::message::{Beat, Message, View};
use crate::core::{Core, Effects, config, once, poison, share};

/// Time between two beats to a peer.
///
/// With 16 hosts this costs each 3 KB a second; pledges of shares run out after six of them.
pub const EVERY: Duration = Duration::from_millis(250);
/// Beats a peer may leave unechoed before the connection to it is opened anew.
///
/// A connection can go silent for good while new ones work; the peer then still beats on its own
/// connection, but its echo stands still.
const UNECHOED: u64 = 16;

/// Sends a beat to every peer at once, out of turn.
pub fn beats(core: &mut Core, out: &mut Effects) {
    let revision = core.config.revision();
    let stopping = core.stop.begun();
    let (mut views, hosts) = (share::views(core), share::hosts(core));
    let newest = if views.is_empty() {
        View::default()
    } else {
        views.remove(0)
    };
    let peers: Vec<HostKey> = core.members.peers().collect();
    for to in peers {
        let number = core.members.arena[to].sent + 1;
        let pledged = share::sending(core, to, number);
        let peer = &mut core.members.arena[to];
        let lost = peer.sent.saturating_sub(peer.beat.echo.max(peer.opened));
        if lost >= UNECHOED {
            peer.opened = peer.sent;
            out.push(Effect::Reconnect(to));
        }
        peer.sent = number;
        let beat = Beat {
            number: peer.sent,
            echo: peer.beat.number,
            view: newest.hash,
            settled: newest.age,
            revision,
            stopping,
            views: views.clone(),
            pledged: u64::try_from(pledged.as_millis()).unwrap_or(u64::MAX),
            hosts,
        };
        out.push(Effect::Send {
            to,
            message: Message::Beat(beat),
        });
    }
}

/// Takes in a peer's beat.
pub fn heard(core: &mut Core, from: HostKey, beat: &Beat, out: &mut Effects) {
    let peer = &mut core.members.arena[from];
    if beat.number <= peer.beat.number {
        return;
    }
    let stopping = beat.stopping != peer.beat.stopping;
    let revision = beat.revision;
    let first = peer.beat.number == 0;
    peer.beat = beat.clone();
    share::heard(core, from, beat);
    if first {
        poison::sync_new_host(core, from, out);
    }
    if stopping {
        once::moved(core, out);
    }
    config::heard(core, from, revision, out);
}
