//! Whether this host reaches backend servers.
//!
//! A host can be partitioned from all servers while callers, the store and the other hosts reach it. Its
//! connections then hang, are reset or are refused, as if every server had failed at once. It counts as
//! partitioned when it has received nothing from any server for a while and several servers failed meanwhile.
//! Until it reaches one again, it forwards its callers' requests to other hosts, and what it saw of servers
//! counts for nothing: they may be sound.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;

use super::super::effect::Effect;
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::catalog::Catalog;
use super::departed::ServerStart;
use super::event::{LinkProbe, RelayEffect};
use super::instance::Instance;
use super::{Attempt, Delivery, RelayTimer, answer, forward, note, parts, planner, standby, wake};

/// Servers that must fail, or both if there are two: one or two of more can be at fault themselves. A single server
/// cannot be distinguished from the link to it.
const FAILED_SERVERS: RangeInclusive<usize> = 2..=3;
/// Time for which a failure counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// Time without a byte from any server before the links count as lost: servers that end together break their
/// connections at the same moment, while others go on answering.
const MIN_QUIET: Duration = Duration::from_millis(60);
/// Time after the loss or the return of the links within which sound servers show by their answers that they did not
/// crash.
const PROOF_TIME: Duration = Duration::from_secs(1);
/// Forwarded requests that other hosts refuse in a row before no more are forwarded for one-sided links: if most hosts are
/// cut off, one of so many meets one that is not.
const MAX_REFUSED_FORWARDS: u32 = 12;
/// Time between two probes of lost links.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What this host knows of its links to backend servers.
#[derive(Debug, Default)]
pub struct Links {
    /// Servers that failed since the last byte from any server: when, and which start of the server it was.
    failures: BTreeMap<BackendKey, (Time, ServerStart)>,
    /// When the last byte from a server arrived.
    last_received: Time,
    /// Since when no server is reachable.
    lost_at: Option<Time>,
    /// When the links were last lost or restored.
    changed_at: Time,
    /// When links were last probed.
    probed_at: Time,
    one_sided: OneSided,
}

/// Open connections to servers that live on while new ones fail.
#[derive(Debug, Default)]
struct OneSided {
    /// When a server last sent something on one although this host could make no new one to it.
    seen_at: Option<Time>,
    /// Forwarded requests that other hosts refused in a row, as they reach no server either.
    refused: u32,
    /// Time before which no request is forwarded for this reason.
    barred_until: Time,
}

impl Links {
    /// Whether this host reaches no server.
    #[must_use]
    pub fn are_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether the links were lost or restored since a time.
    #[must_use]
    pub(super) fn changed_since(&self, time: Time) -> bool {
        self.changed_at > time
    }

    /// Whether several of `known` servers failed since the last byte from any.
    #[must_use]
    pub(super) fn are_suspect(&self, known: usize) -> bool {
        self.failures.len() >= known.clamp(*FAILED_SERVERS.start(), *FAILED_SERVERS.end())
    }

    /// Whether open connections to servers live on while new ones fail, at this host and, as far as known, not at others.
    #[must_use]
    pub(super) fn are_one_sided(&self, now: Time) -> bool {
        let seen = self.one_sided.seen_at;
        seen.is_some_and(|at| now.since(at) < FAILURE_WINDOW) && now >= self.one_sided.barred_until
    }

    /// Records that another host refused a forwarded request because it reaches no server either.
    pub(super) fn forward_refused(&mut self, now: Time) {
        if !self.are_one_sided(now) {
            return;
        }
        self.one_sided.refused += 1;
        if self.one_sided.refused >= MAX_REFUSED_FORWARDS {
            self.one_sided.refused = 0;
            self.one_sided.barred_until = now.after(FAILURE_WINDOW);
        }
    }

    /// Records that another host answered a forwarded request.
    pub(super) fn forward_answered(&mut self) {
        self.one_sided.refused = 0;
    }

    /// Records a failure of one of `known` servers; returns whether the links count as lost from now on.
    fn record_failure(
        &mut self,
        server: BackendKey,
        start: ServerStart,
        known: usize,
        now: Time,
    ) -> bool {
        self.failures.insert(server, (now, start));
        if self.are_lost() {
            return false;
        }
        self.failures
            .retain(|_, (at, _)| now.since(*at) < FAILURE_WINDOW);
        let lost = self.are_suspect(known) && now.since(self.last_received) >= MIN_QUIET;
        if lost {
            self.lost_at = Some(now);
            self.changed_at = now;
        }
        lost
    }

    /// Records a byte from a server; returns since when the links were lost, if they were.
    fn record_received(&mut self, now: Time) -> Option<Time> {
        self.last_received = now;
        self.failures.clear();
        self.restore(now)
    }

    fn restore(&mut self, now: Time) -> Option<Time> {
        let lost_at = self.lost_at.take();
        if lost_at.is_some() {
            self.changed_at = now;
        }
        lost_at
    }
}

/// Returns the number of registered servers that stay.
pub(super) fn server_count(core: &Core) -> usize {
    let all = core.relay.instances.arena.values();
    all.filter(|instance| !instance.leaving).count()
}

/// Returns the servers at which a broken attempt may be the fault of the links: none while the links are sound, otherwise
/// those that are still registered. The entry of a server that crashed is removed.
pub(super) fn doubtful_servers(core: &Core) -> Vec<ServerStart> {
    let links = &core.relay.links;
    let may_prove = core.now.since(links.changed_at) < PROOF_TIME;
    if !links.are_lost() && !links.are_suspect(server_count(core)) && !may_prove {
        return Vec::new();
    }
    let all = core.relay.instances.arena.values();
    let registered = all.filter(|instance| !instance.leaving && instance.missing_since.is_none());
    registered.map(Instance::start).collect()
}

/// Returns the state of the links in logs.
pub(super) fn state_name(core: &Core) -> &'static str {
    let links = &core.relay.links;
    if links.are_lost() {
        "lost"
    } else if links.are_suspect(server_count(core)) {
        "suspect"
    } else {
        "sound"
    }
}

/// Handles the failure of an attempt at a server that showed no sign of life.
pub(super) fn attempt_failed(core: &mut Core, server: BackendKey, out: &mut Effects) {
    let (known, now) = (server_count(core), core.now);
    let Some(instance) = core.relay.instances.arena.get(server) else {
        return;
    };
    let start = instance.start();
    let links = &mut core.relay.links;
    if links.record_failure(server, start, known, now) {
        lost(core, known, out);
    } else if !links.are_lost() && now.since(links.last_received) >= MIN_QUIET {
        // Other servers show whether it is the link or the server.
        probe_others(core, FAILED_SERVERS.end() - 1, out);
    }
}

/// Handles the loss of the links to `known` servers.
fn lost(core: &mut Core, known: usize, out: &mut Effects) {
    let links = &core.relay.links;
    let quiet = core.now.since(links.last_received).as_millis();
    let failed: Vec<BackendKey> = links.failures.keys().copied().collect();
    let fields = vec![
        ("failed", failed.len().to_string().into()),
        ("servers", known.to_string().into()),
        ("quiet_ms", quiet.to_string().into()),
    ];
    note(out, log::Level::Warn, "links.lost", fields);
    for server in &failed {
        if let Some(instance) = core.relay.instances.arena.get_mut(*server) {
            instance.forget_failures();
        }
    }
    planner::links_lost(core, out);
    wake(core, PROBE_INTERVAL, RelayTimer::ProbeLinks, out);
    record_broken(core, &failed, out);
    move_attempts(core, out);
}

/// Records the attempts at servers that failed: those that are moved to another host end before their connections break.
fn record_broken(core: &mut Core, failed: &[BackendKey], out: &mut Effects) {
    let attempts = core.relay.attempts.values();
    let broken = attempts.filter(|attempt| failed.contains(&attempt.backend));
    let broken: Vec<Attempt> = broken.cloned().collect();
    for attempt in &broken {
        parts::attempt_broke(core, attempt, out);
    }
}

/// Forwards the requests of attempts that may be sent again.
fn move_attempts(core: &mut Core, out: &mut Effects) {
    let attempts = core.relay.attempts.iter();
    let movable = attempts.filter(|(key, attempt)| {
        answer::may_move(core, attempt)
            && attempt.delivery != Delivery::Blocked
            && !standby::is_standby(core, *key)
    });
    let movable: Vec<(AttemptKey, CallKey)> =
        movable.map(|(key, attempt)| (key, attempt.call)).collect();
    for (key, call) in movable {
        if !forward::can_forward(core, call) {
            continue;
        }
        standby::move_on(core, key, "the links are lost", out);
    }
}

/// Handles a part of the answer to an attempt.
pub(super) fn attempt_received(core: &mut Core, attempt: AttemptKey, out: &mut Effects) {
    let attempt = core.relay.attempts.get(attempt);
    let Some(attempt) = attempt.filter(|attempt| attempt.host.is_none()) else {
        return;
    };
    let instance = core.relay.instances.arena.get(attempt.backend);
    if instance.is_some_and(|instance| instance.is_unreachable(core.now)) {
        core.relay.links.one_sided.seen_at = Some(core.now);
    }
    received(core, out);
}

/// Handles bytes from a server.
pub(super) fn received(core: &mut Core, out: &mut Effects) {
    if let Some(lost_at) = core.relay.links.record_received(core.now) {
        log_restored(core, lost_at, out);
    }
}

fn log_restored(core: &Core, lost_at: Time, out: &mut Effects) {
    let lasted = core.now.since(lost_at).as_millis().to_string();
    let fields = vec![("lasted_ms", lasted.into())];
    note(out, log::Level::Info, "links.restored", fields);
}

/// Handles changes of the registered servers: the failures of those that left or started again were their own.
pub(super) fn servers_changed(core: &mut Core, out: &mut Effects) {
    let (arena, links) = (&core.relay.instances.arena, &mut core.relay.links);
    links.failures.retain(|server, (_, start)| {
        let instance = arena.get(*server);
        instance.is_some_and(|instance| instance.start() == *start)
    });
    let known = server_count(core);
    let links = &mut core.relay.links;
    if !links.are_suspect(known)
        && let Some(lost_at) = links.restore(core.now)
    {
        log_restored(core, lost_at, out);
    }
}

/// Probes a server while the links are lost.
pub(super) fn probe(core: &mut Core, out: &mut Effects) {
    if core.relay.links.are_lost() {
        probe_others(core, 1, out);
        let noise = core.rng.random_range(0.8..1.2);
        wake(
            core,
            PROBE_INTERVAL.mul_f64(noise),
            RelayTimer::ProbeLinks,
            out,
        );
    }
}

/// Probes up to `count` servers drawn at random, those without a recent failure first.
fn probe_others(core: &mut Core, count: usize, out: &mut Effects) {
    let links = &mut core.relay.links;
    if core.now.since(links.probed_at) < PROBE_INTERVAL.mul_f64(0.5) {
        return;
    }
    links.probed_at = core.now;
    let all = core.relay.instances.arena.iter();
    let staying = all.filter(|(_, instance)| !instance.leaving && !instance.addr_reused);
    let mut servers: Vec<(bool, u32, BackendKey)> = staying
        .map(|(key, _)| {
            let failed = core.relay.links.failures.contains_key(&key);
            (
                failed && !core.relay.links.are_lost(),
                core.rng.random(),
                key,
            )
        })
        .collect();
    servers.sort_unstable();
    for (_, _, key) in servers.into_iter().take(count) {
        let instance = &core.relay.instances.arena[key];
        if let Some(probe) = probe_of(core.relay.catalog.as_ref(), instance) {
            out.push(Effect::Relay(RelayEffect::ProbeLink(probe)));
        }
    }
}

/// Returns the probe of a server; `None` for a plain one whose service has no health check.
pub(super) fn probe_of(catalog: Option<&Catalog>, instance: &Instance) -> Option<LinkProbe> {
    let service = catalog.and_then(|catalog| catalog.services.get(&instance.service));
    let health = service.map_or("".into(), |service| service.health.clone());
    let is_engine = instance.stage.is_some();
    (is_engine || !health.is_empty()).then(|| LinkProbe {
        instance: instance.id.clone(),
        addr: instance.addr,
        health: (!is_engine).then_some(health),
    })
}

/// Handles the end of a probe.
pub(super) fn probed(core: &mut Core, id: &str, reached: bool, out: &mut Effects) {
    if reached {
        received(core, out);
    } else if let Some(server) = core.relay.instances.find(id) {
        attempt_failed(core, server, out);
    }
}
