//! Probes of servers at which a request broke off: one that answers has lost an answer or a connection, and did not
//! crash. Its crash is reported to other hosts only once that is known.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::departed::ServerStart;
use super::super::event::RelayEffect;
use super::super::{RelayTimer, links, wake};
use super::server_answered;
use crate::core::effect::Effect;
use crate::core::key::BackendKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Time between a broken connection and the probe: a process that crashes has ended by then.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Time after which a crash is reported without the result of its probe, which takes up to 0.3 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes that are due or under way.
#[derive(Debug, Default)]
pub struct Probes {
    /// When each server broke a request off, and when its probe was sent.
    servers: BTreeMap<ServerStart, (Time, Option<Time>)>,
}

impl Probes {
    /// Whether the result of a server's probe is still to come.
    #[must_use]
    pub fn is_pending(&self, server: ServerStart, now: Time) -> bool {
        let probe = self.servers.get(&server);
        probe.is_some_and(|(at, _)| now.since(*at) < PROBE_TIMEOUT)
    }
}

/// Schedules a probe of a server that broke a request off, unless it wants no requests for now.
pub(super) fn schedule(core: &mut Core, backend: BackendKey, out: &mut Effects) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let takes_probes = !instance.leaving
        && !instance.addr_reused
        && instance.pushback.admits(now)
        && instance.limit.rate().is_none();
    let server = instance.start();
    let probes = &mut core.relay.poison_requests.probes;
    if takes_probes && !probes.is_pending(server, now) {
        probes.servers.insert(server, (now, None));
        wake(core, PROBE_DELAY, RelayTimer::ProbeServers, out);
    }
}

/// Drops the probes of servers that have left or started again: the end of their process is known.
pub fn servers_changed(core: &mut Core) {
    let instances = &core.relay.instances;
    let probes = &mut core.relay.poison_requests.probes.servers;
    probes.retain(|(hash, started), _| {
        let server = instances.by_short_hash(*hash);
        let instance = server.and_then(|server| instances.arena.get(server));
        instance.is_some_and(|instance| instance.born == *started && !instance.leaving)
    });
}

/// Sends the probes that are due.
pub fn send(core: &mut Core, out: &mut Effects) {
    let (now, relay) = (core.now, &mut core.relay);
    let probes = &mut relay.poison_requests.probes.servers;
    probes.retain(|_, (at, _)| now.since(*at) < PROBE_TIMEOUT);
    for ((hash, started), (at, sent)) in probes.iter_mut() {
        let is_due = sent.is_none() && now.since(*at) >= PROBE_DELAY;
        let server = relay.instances.by_short_hash(*hash).filter(|_| is_due);
        let instance = server.and_then(|server| relay.instances.arena.get(server));
        let Some(instance) = instance.filter(|instance| instance.born == *started) else {
            continue;
        };
        let Some(probe) = links::probe_of(relay.catalog.as_ref(), instance) else {
            continue;
        };
        *sent = Some(now);
        out.push(Effect::Relay(RelayEffect::ProbeServer(probe)));
    }
}

/// Handles the end of a probe; `is_alive` is whether the server itself answered.
pub fn probed(core: &mut Core, id: &str, is_alive: bool, out: &mut Effects) {
    let Some(backend) = core.relay.instances.find(id) else {
        return;
    };
    let server = core.relay.instances.arena[backend].start();
    let probes = &mut core.relay.poison_requests.probes.servers;
    let Some((_, Some(sent_at))) = probes.remove(&server) else {
        return;
    };
    if is_alive {
        links::received(core, out);
        server_answered(core, backend, sent_at, out);
    }
}
