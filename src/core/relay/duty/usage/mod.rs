//! Usage of customers: which requests began in which window, counted by all hosts and reported by one.
//!
//! Each host sends its counts to the host that holds the authority and, so that they outlive it, to the next host of
//! its failure domain. See [`ledger`] for the counts and [`reporter`] for the reports.

pub mod ledger;
pub mod reporter;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::super::event::{Changes, Gossip, GossipKind, RelayEffect};
use super::super::{RelayJob, authority, job, note};
use super::{Duty, DutyCall, DutyResult, Order, has_duty, settings, wall_ms, whole_ms};
use crate::core::effect::Effect;
use crate::core::event::{StoreReply, StoreResult};
use crate::core::key::CallKey;
use crate::core::relay::authority::Grant;
use crate::core::time::Time;
use crate::core::{Core, Effects};
use ledger::{Ledger, Process, UsageReport, window_at, window_end};
use reporter::{Reporter, Step};

/// Shortest interval between two messages with counts: a killed host loses what it counted since.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval for each host of the deployment: the holder gets messages from all of them.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Time after the end of a window until which a host adds requests that began in it: a plain request is counted when
/// it is answered.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Part of the time in which a report is due that is left for the report itself when counts are missing.
const REPORT_FRACTION: f64 = 0.3;
/// Windows that are reported late after an interruption; earlier ones are skipped.
const MAX_BACKLOG: u64 = 60;
/// Time without a message after which another host's counts are passed on for it.
const SILENCE: Duration = Duration::from_millis(1500);

/// State of the usage counts and reports at a host.
#[derive(Debug, Default)]
pub struct Usage {
    /// Counts of this and other hosts.
    ledger: Ledger,
    /// Reports to the platform.
    reporter: Reporter,
    /// Versions of this host's rows as last sent, by window.
    sent: BTreeMap<u64, u64>,
    /// When counts were last sent.
    sent_at: Option<Time>,
    /// Host to which counts were last sent as the holder.
    holder: Option<Box<str>>,
    /// Processes that send their counts to this host, and when they last did.
    seen: BTreeMap<Process, Time>,
}

impl Usage {
    /// Returns the last settled window and the last one that the platform accepted from this host.
    #[must_use]
    pub fn progress(&self) -> (Option<u64>, Option<u64>) {
        (self.reporter.last_settled(), self.reporter.last_accepted())
    }
}

fn own_process(core: &Core) -> Process {
    Process {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
    }
}

/// Counts a request that a backend server began to run at a time, unless it was counted before.
pub fn record(core: &mut Core, key: CallKey, began: Time) {
    if !has_duty(core, Duty::Usage) {
        return;
    }
    let Some(length) = settings(core).map(|settings| settings.window) else {
        return;
    };
    let call = &mut core.relay.calls[key];
    let Some(customer) = call.identity.customer().cloned() else {
        return;
    };
    if std::mem::replace(&mut call.counted, true) {
        return;
    }
    let window = window_at(wall_ms(core, began), length);
    let process = own_process(core);
    let ledger = &mut core.relay.duties.usage.ledger;
    ledger.record(&process, window, &customer.name);
}

/// Sends this host's counts to the hosts that keep them, if they are due.
pub fn publish(core: &mut Core, out: &mut Effects) {
    let Some(length) = settings(core).map(|settings| settings.window) else {
        return;
    };
    if !has_duty(core, Duty::Usage) {
        return;
    }
    let hosts = u32::try_from(core.relay.peers.host_count()).unwrap_or(u32::MAX);
    let interval = INTERVAL_PER_HOST.saturating_mul(hosts).max(MIN_INTERVAL);
    let closed_now = close_ended(core, length);
    let holder: Option<Box<str>> = core.relay.planner.authority.holder().map(Into::into);
    let now = core.now;
    let usage = &mut core.relay.duties.usage;
    let new_holder = holder.is_some() && usage.holder != holder;
    let due = usage.sent_at.is_none_or(|at| now.since(at) >= interval);
    if !due && !closed_now && !new_holder {
        return;
    }
    usage.sent_at = Some(now);
    usage.holder.clone_from(&holder);
    let own = own_process(core);
    let rows = unsent_rows(core, &own, new_holder);
    let passed_on = silent_rows(core, new_holder);
    let neighbour = successor(core);
    let holder = holder.filter(|name| **name != *own.host);
    let to_holder: Vec<UsageReport> = rows.iter().cloned().chain(passed_on).collect();
    if let Some(neighbour) = neighbour.filter(|name| holder.as_deref() != Some(name)) {
        send(core, &neighbour, rows, out);
    }
    if let Some(holder) = holder {
        send(core, &holder, to_holder, out);
    }
}

/// Closes the windows that have ended at this host; returns whether there were any.
fn close_ended(core: &mut Core, length: Duration) -> bool {
    let now_ms = wall_ms(core, core.now);
    let current = window_at(now_ms.saturating_sub(whole_ms(CLOSE_DELAY)), length);
    let own = own_process(core);
    let usage = &mut core.relay.duties.usage;
    let settled = usage.reporter.last_settled().map_or(0, |window| window + 1);
    let first = settled.max(current.saturating_sub(2));
    let mut any = false;
    for window in first..current {
        any |= usage.ledger.close(&own, window);
    }
    any
}

/// Returns this host's rows that changed since they were last sent, those of closed windows in any case: they are sent
/// until the window is settled, since datagrams are lost.
fn unsent_rows(core: &mut Core, own: &Process, all: bool) -> Vec<UsageReport> {
    let usage = &mut core.relay.duties.usage;
    let rows = usage.ledger.reports_of(own);
    let rows: Vec<UsageReport> = rows
        .filter(|report| {
            let sent = usage.sent.get(&report.window);
            all || report.row.closed || sent != Some(&report.row.version)
        })
        .collect();
    usage.sent.extend(
        rows.iter()
            .map(|report| (report.window, report.row.version)),
    );
    rows
}

/// Returns the rows of other processes that this host keeps and that do not send them any more.
fn silent_rows(core: &Core, all: bool) -> Vec<UsageReport> {
    let usage = &core.relay.duties.usage;
    let silent = usage
        .seen
        .iter()
        .filter(|(_, at)| all || core.now.since(**at) > SILENCE);
    let rows = silent.flat_map(|(process, _)| usage.ledger.reports_of(process));
    rows.collect()
}

/// Returns the next host of this failure domain by name; the first one follows the last.
fn successor(core: &Core) -> Option<Box<str>> {
    let own = &core.settings.host;
    let peers = &core.relay.peers;
    let in_domain = |name: &str| {
        let peer = peers.names.get(name).map(|key| &peers.arena[*key]);
        peer.is_some_and(|peer| peer.domain == own.domain)
    };
    let mut names = peers.names.keys().filter(|name| in_domain(name));
    let after = names.clone().find(|name| **name > own.name);
    after.or_else(|| names.next()).cloned()
}

fn send(core: &Core, to: &str, reports: Vec<UsageReport>, out: &mut Effects) {
    let peers = &core.relay.peers;
    let addr: Option<SocketAddr> = peers.names.get(to).map(|key| peers.arena[*key].addr);
    let Some(addr) = addr.filter(|_| !reports.is_empty()) else {
        return;
    };
    let message = Gossip {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
        kind: GossipKind::Usage(reports),
        ..Gossip::default()
    };
    out.push(Effect::Relay(RelayEffect::Publish {
        to: vec![addr],
        message: Box::new(message),
    }));
}

/// Handles counts from another host.
pub fn receive(core: &mut Core, sender: Process, reports: Vec<UsageReport>) {
    let now = core.now;
    let usage = &mut core.relay.duties.usage;
    let settled = usage.reporter.last_settled();
    for report in reports {
        if settled.is_none_or(|settled| report.window > settled) {
            usage.seen.entry(report.process.clone()).or_default();
            usage.ledger.merge(report);
        }
    }
    usage.seen.insert(sender, now);
}

/// Handles changes of the settled counts in the store.
pub fn changed(core: &mut Core, changes: &Changes) {
    let usage = &mut core.relay.duties.usage;
    let change = changes
        .keys
        .iter()
        .rfind(|change| &*change.key == reporter::KEY);
    match change {
        Some(change) => {
            let value = change.value.as_deref();
            usage
                .reporter
                .stored(value.map(|value| (value, change.revision)));
        }
        None if changes.is_snapshot => usage.reporter.stored(None),
        None => return,
    }
    forget_settled(usage);
}

/// Drops the counts of settled windows, and of processes without any.
fn forget_settled(usage: &mut Usage) {
    let Some(settled) = usage.reporter.last_settled() else {
        return;
    };
    usage.ledger.forget(settled);
    usage.sent = usage.sent.split_off(&(settled + 1));
    let ledger = &usage.ledger;
    usage
        .seen
        .retain(|process, _| ledger.reports_of(process).next().is_some());
}

/// Takes the next step of the reports, with the authority.
pub fn perform(core: &mut Core, grant: &Grant, out: &mut Effects) {
    let Some(settings) = settings(core) else {
        return;
    };
    let (length, due_within) = (settings.window, settings.due_within);
    let now_ms = wall_ms(core, core.now);
    let current = window_at(now_ms, length);
    let usage = &core.relay.duties.usage;
    let first = usage.ledger.first_counted();
    let Some(ended) = current.checked_sub(1) else {
        return;
    };
    match usage.reporter.next(first, ended, MAX_BACKLOG, core.now) {
        Step::Wait => {}
        Step::Report(window, counts) => {
            let order = Order::Usage { window, counts };
            let holder = core.settings.host.name.clone();
            let era = core.relay.view.era();
            let (number, effect) = core.relay.duties.call(order, &holder, era, grant);
            core.relay.duties.usage.reporter.report_sent(number);
            out.push(effect);
        }
        Step::Settle(window) => {
            let missing = missing_hosts(core, window);
            let deadline = whole_ms(due_within.mul_f64(1.0 - REPORT_FRACTION));
            let waits = now_ms < window_end(window, length).saturating_add(deadline);
            if !missing.is_empty() && waits {
                return;
            }
            settle(core, window, &missing, grant, out);
        }
    }
}

/// Returns the hosts that have not reported the end of a window.
fn missing_hosts(core: &Core, window: u64) -> BTreeSet<Box<str>> {
    let ledger = &core.relay.duties.usage.ledger;
    let hosts = core.relay.peers.names.keys();
    let hosts = hosts.chain(std::iter::once(&core.settings.host.name));
    hosts
        .filter(|host| !ledger.has_closed(window, host))
        .cloned()
        .collect()
}

fn settle(
    core: &mut Core,
    window: u64,
    missing: &BTreeSet<Box<str>>,
    grant: &Grant,
    out: &mut Effects,
) {
    let usage = &mut core.relay.duties.usage;
    let counts = usage.ledger.totals(window);
    let requests: u64 = counts.values().sum();
    let missing: Vec<&str> = missing.iter().map(|host| &**host).collect();
    let level = if missing.is_empty() {
        log::Level::Info
    } else {
        log::Level::Warn
    };
    let fields = vec![
        ("window", window.to_string().into()),
        ("requests", requests.to_string().into()),
        ("missing", missing.join(",").into()),
    ];
    note(out, level, "usage.settling", fields);
    let authority = (authority::KEY, grant.revision);
    let (number, txn) = usage.reporter.settle(window, counts, authority, core.now);
    let job = job(core, RelayJob::Settle(number));
    out.push(Effect::Txn { job, txn });
}

/// Handles the store's reply to a settlement.
pub fn reply(core: &mut Core, number: u64, reply: &StoreReply, out: &mut Effects) {
    let StoreResult::Txn(done) = &reply.result else {
        // The store's key shows whether it took effect; the write is made again after a time.
        return;
    };
    let revision = done.succeeded.then_some(done.revision);
    let usage = &mut core.relay.duties.usage;
    usage.reporter.settle_answered(number, revision);
    forget_settled(usage);
    if done.succeeded {
        proceed(core, out);
    }
}

/// Handles the platform's answer to a report.
pub fn answered(core: &mut Core, call: &DutyCall, result: DutyResult, out: &mut Effects) {
    let Order::Usage { window, .. } = call.order else {
        return;
    };
    let now = core.now;
    let reporter = &mut core.relay.duties.usage.reporter;
    if reporter.report_answered(call.number, window, call.fence, result, now) {
        core.relay.planner.authority.resign(call.fence);
    }
    proceed(core, out);
}

/// Takes the next step at once, if this host still holds the authority.
fn proceed(core: &mut Core, out: &mut Effects) {
    if let Some(grant) = core.relay.planner.authority.grant(core.now) {
        perform(core, &grant, out);
    }
}
