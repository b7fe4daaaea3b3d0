//! Poison requests: requests that crash the backend servers that run them.
//!
//! A single request can crash every backend server that starts to run it, while its caller sends it
//! again, to any host. It shows by connections that break while it runs. After two different
//! processes broke the connection on the same request, and none has answered it since, every host
//! refuses it. A process that answers a request sent later has not crashed, and no longer counts:
//! see [`proof`]. Hosts report each crash to each other, and keep the requests that they refuse in
//! the store: see [`stored`].

pub(super) mod proof;
pub(super) mod stored;

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::key::{BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::customers::Identity;
use super::departed::ServerStart;
use super::event::CrashReport;
use super::{links, note, parts};

/// Crashed processes after which a request is refused.
const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a request is refused after its last crash.
const BLOCK_DURATION: Duration = Duration::from_mins(10);
/// Maximum number of fingerprints; of those that are not refused, the one with the oldest crash is
/// dropped first.
const MAX_FINGERPRINTS: usize = 1024;
/// Maximum number of processes of which it is still open whether they crashed.
const MAX_CRASHED: usize = 1024;
/// Messages in which a crash is reported to the other hosts: datagrams can be lost.
const CRASH_REPORT_COPIES: u8 = 3;
/// Source, in the log, of a crash that this host saw itself.
const OWN_SOURCE: &str = "own";

/// The last time that a process broke a request off.
#[derive(Debug, Clone, Copy, Default)]
struct Crash {
    /// How often it had broken the request off before, and turned out to be alive.
    number: u32,
    /// Whether it counts against the request.
    counts: bool,
}

/// The crashes under one request.
#[derive(Debug, Default)]
struct CrashRecord {
    /// By the crashed process: a server may start again under its id. Crashes before an answer are kept without
    /// counting, since reports of them may still arrive.
    crashes: BTreeMap<ServerStart, Crash>,
    last_crash: Time,
    /// Whether this host saw one of the crashes.
    is_own: bool,
    /// Whether the store holds the request.
    is_stored: bool,
    /// When to compare the record with the store next.
    sync_at: Option<Time>,
}

impl CrashRecord {
    fn count(&self) -> usize {
        self.crashes.values().filter(|crash| crash.counts).count()
    }

    /// Returns the time until it is no longer refused; zero if it is not.
    fn blocked_for(&self, now: Time) -> Duration {
        if self.count() < CRASHES_TO_BLOCK {
            return Duration::ZERO;
        }
        BLOCK_DURATION.saturating_sub(now.since(self.last_crash))
    }

    fn is_blocked(&self, now: Time) -> bool {
        !self.blocked_for(now).is_zero()
    }

    /// Stops counting all crashes.
    fn clear(&mut self) {
        let crashes = self.crashes.values_mut();
        crashes.for_each(|crash| crash.counts = false);
    }
}

/// Fingerprints of requests that are suspected to crash backend servers.
#[derive(Debug, Default)]
pub struct PoisonRequests {
    records: BTreeMap<u64, CrashRecord>,
    /// When the suspected processes crashed, if they did.
    crashed: BTreeMap<ServerStart, Time>,
    /// Probes of the suspected processes.
    probes: proof::Probes,
    /// Crashes to report, and in how many more messages.
    unpublished: Vec<(CrashReport, u8)>,
    /// When the store was last written.
    last_sync: Option<Time>,
    /// When it may be written next.
    timer: Option<Time>,
}

impl PoisonRequests {
    /// Returns the time for which a request is still refused because of its crashes.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: u64, now: Time) -> Option<Duration> {
        let left = self.records.get(&fingerprint)?.blocked_for(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of crashes that count against a request.
    #[must_use]
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, CrashRecord::count)
    }

    /// Returns the number of requests that are refused because of their crashes.
    #[must_use]
    pub fn blocked_count(&self, now: Time) -> u64 {
        let records = self.records.values();
        records.filter(|record| record.is_blocked(now)).count() as u64
    }

    /// Records a crash at a time; returns whether it is a new one.
    ///
    /// Each crash is reported several times, also by way of other hosts: a repeated report does not
    /// extend the time for which the request is refused.
    fn record_crash(&mut self, crash: CrashReport, at: Time) -> bool {
        let record = self.records.entry(crash.fingerprint).or_default();
        let server = (crash.instance, crash.started_ms);
        let known = record.crashes.get(&server);
        if known.is_some_and(|known| known.number >= crash.number) {
            return false;
        }
        let new = Crash {
            number: crash.number,
            counts: true,
        };
        record.crashes.insert(server, new);
        record.last_crash = record.last_crash.max(at);
        self.crashed.insert(server, at);
        if self.crashed.len() > MAX_CRASHED {
            let oldest = self.crashed.iter().min_by_key(|(_, at)| **at);
            if let Some(server) = oldest.map(|(server, _)| *server) {
                self.crashed.remove(&server);
            }
        }
        if self.records.len() > MAX_FINGERPRINTS {
            self.evict(at);
        }
        true
    }

    /// Stops counting the crash of a process that answered a request sent at `sent_at`, if that was after the
    /// crash; returns the requests that it counted against.
    fn clear_server(&mut self, server: ServerStart, sent_at: Time) -> Vec<u64> {
        if self.crashed.get(&server).is_none_or(|at| sent_at <= *at) {
            return Vec::new();
        }
        self.crashed.remove(&server);
        let is_of = |report: &CrashReport| (report.instance, report.started_ms) == server;
        let unsent = self.unpublished.iter();
        let unsent = unsent.filter(|(report, left)| is_of(report) && *left == CRASH_REPORT_COPIES);
        let unsent: Vec<u64> = unsent.map(|(report, _)| report.fingerprint).collect();
        self.unpublished.retain(|(report, _)| !is_of(report));
        let records = self.records.iter_mut();
        let cleared = records.filter_map(|(fingerprint, record)| {
            let crash = record.crashes.get_mut(&server)?;
            let counted = std::mem::take(&mut crash.counts);
            // No other host knows of it: a report that arrives later is of another crash.
            if unsent.contains(fingerprint) {
                record.crashes.remove(&server);
            }
            counted.then_some(*fingerprint)
        });
        cleared.collect()
    }

    /// Drops the record with the oldest crash, if possible one that refuses nothing.
    fn evict(&mut self, now: Time) {
        let records = self.records.iter();
        let victim = records.min_by_key(|(_, record)| (record.is_blocked(now), record.last_crash));
        if let Some(fingerprint) = victim.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Whether the result of a probe of a server is still to come.
    #[must_use]
    pub fn is_probing(&self, server: ServerStart, now: Time) -> bool {
        self.probes.is_pending(server, now)
    }

    /// Reports the crashes under all refused requests again: a new process of a host has received none of them.
    pub fn publish_again(&mut self, now: Time) {
        let blocked = self
            .records
            .iter()
            .filter(|(_, record)| record.is_blocked(now));
        for (fingerprint, record) in blocked {
            let counted = record.crashes.iter().filter(|(_, crash)| crash.counts);
            for ((instance, started_ms), crash) in counted {
                let report = CrashReport {
                    fingerprint: *fingerprint,
                    instance: *instance,
                    started_ms: *started_ms,
                    number: crash.number,
                };
                self.unpublished.retain(|(other, _)| *other != report);
                self.unpublished.push((report, CRASH_REPORT_COPIES));
            }
        }
    }

    /// Returns the crashes to report in the next message to the other hosts: none of a server that is being probed.
    ///
    /// Of servers in `doubtful`, only crashes under requests that broke off at several servers are reported: a single
    /// one may be the fault of this host's links.
    pub fn take_unpublished(&mut self, doubtful: &[ServerStart], now: Time) -> Vec<CrashReport> {
        let records = &self.records;
        let is_due = |report: &CrashReport| {
            let record = records.get(&report.fingerprint);
            let server = (report.instance, report.started_ms);
            if self.probes.is_pending(server, now) {
                return false;
            }
            !doubtful.contains(&server)
                || record.is_some_and(|record| record.count() >= CRASHES_TO_BLOCK)
        };
        let mut reports = Vec::new();
        for (report, left) in &mut self.unpublished {
            if is_due(report) {
                reports.push(*report);
                *left -= 1;
            }
        }
        self.unpublished.retain(|(_, left)| *left > 0);
        reports
    }
}

/// Records a crash seen by this host, and reports it to the others.
pub fn report_crash(core: &mut Core, call: CallKey, backend: BackendKey, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let call = &core.relay.calls[call];
    let (id, server) = (call.id.clone(), instance.id.clone());
    let poison_requests = &mut core.relay.poison_requests;
    let record = poison_requests.records.get(&call.fingerprint);
    let known = record.and_then(|record| record.crashes.get(&instance.start()));
    let report = CrashReport {
        fingerprint: call.fingerprint,
        instance: instance.short_hash,
        started_ms: instance.born,
        // A process that was alive after the last time may have ended now.
        number: known.map_or(0, |known| known.number + u32::from(!known.counts)),
    };
    poison_requests
        .unpublished
        .push((report, CRASH_REPORT_COPIES));
    poison_requests.record_crash(report, core.now);
    if let Some(record) = poison_requests.records.get_mut(&report.fingerprint) {
        record.is_own = true;
    }
    log_crash(
        core,
        report,
        OWN_SOURCE,
        vec![("id", id), ("backend", server)],
        out,
    );
    stored::crash_recorded(core, report.fingerprint, out);
    proof::schedule(core, backend, out);
}

/// Records the crashes that another host reports.
pub fn receive(core: &mut Core, source: &str, crashes: &[CrashReport], out: &mut Effects) {
    for crash in crashes {
        if record_reported(core, *crash, core.now, source, out) {
            stored::crash_recorded(core, crash.fingerprint, out);
        }
    }
}

/// Records and logs a crash that this host did not see; returns whether it is a new one.
fn record_reported(
    core: &mut Core,
    crash: CrashReport,
    at: Time,
    source: &str,
    out: &mut Effects,
) -> bool {
    let is_new = core.relay.poison_requests.record_crash(crash, at);
    if is_new {
        let server = core.relay.instances.by_short_hash(crash.instance);
        let server = server.and_then(|key| core.relay.instances.arena.get(key));
        let server = server.map_or_else(|| "unknown".into(), |server| server.id.clone());
        log_crash(core, crash, source, vec![("backend", server)], out);
    }
    is_new
}

/// Clears a request that a backend server ran to a good end: it did not cause the earlier crashes.
pub fn answered(core: &mut Core, fingerprint: u64, out: &mut Effects) {
    if let Some(record) = core.relay.poison_requests.records.get_mut(&fingerprint) {
        if record.count() > 0 {
            log_cleared(fingerprint, "answered", out);
        }
        record.clear();
        stored::cleared(core, fingerprint, out);
    }
}

/// Handles an answer to a request that was sent to a backend server at `sent_at`: the server did not crash
/// before, it only lost an answer or a connection.
pub fn server_answered(core: &mut Core, backend: BackendKey, sent_at: Time, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let server = instance.start();
    parts::server_answered(core, backend, sent_at);
    for fingerprint in core.relay.poison_requests.clear_server(server, sent_at) {
        log_cleared(fingerprint, "server-alive", out);
        stored::cleared(core, fingerprint, out);
    }
}

fn log_crash(
    core: &Core,
    crash: CrashReport,
    source: &str,
    mut fields: Vec<(&'static str, Box<str>)>,
    out: &mut Effects,
) {
    let crashes = core.relay.poison_requests.crash_count(crash.fingerprint);
    fields.extend([
        ("request", fingerprint_text(crash.fingerprint)),
        ("crashes", crashes.to_string().into()),
        ("source", source.into()),
        ("links", links::state_name(core).into()),
    ]);
    note(out, log::Level::Info, "request.suspect", fields);
}

/// Logs that crashes no longer count against a request.
fn log_cleared(fingerprint: u64, why: &str, out: &mut Effects) {
    let fields = vec![
        ("request", fingerprint_text(fingerprint)),
        ("why", why.into()),
    ];
    note(out, log::Level::Info, "request.cleared", fields);
}

/// Returns the fingerprint of a request of a customer: an equal request of another one may not crash servers.
pub fn identified(fingerprint: u64, identity: &Identity) -> u64 {
    let Some(customer) = identity.customer() else {
        return fingerprint;
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&fingerprint.to_le_bytes());
    hasher.update(customer.name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns a fingerprint as logs and the store show it.
pub fn fingerprint_text(fingerprint: u64) -> Box<str> {
    format!("{fingerprint:016x}").into()
}
