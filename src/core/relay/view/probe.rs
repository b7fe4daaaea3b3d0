//! Probes of the store's newest revision, and the detection of lost calls by them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::super::event::{ProbeReport, RelayEffect, StoreAnswer, StoreCall};
use super::super::{RelayTimer, gossip, wake};
use super::pending::{PendingCall, cancel_lost};
use super::{View, drop_missing, log_availability, request_next};
use crate::core::effect::Effect;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Bounds of the random time between two probes; it is drawn for each probe, so that hosts do not probe in step.
///
/// The sum of the upper bound, [`LOST_CALL_GRACE`] and [`MAX_CHECK_JITTER`] is less than the second within which a
/// host must learn of changes that it missed.
const PROBE_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(650));
/// Average number of hosts of a failure domain that probe in one round in addition to its representative, while no
/// probe is answered: the representative may be the only host that does not reach the store.
const PROBERS_PER_ROUND: f64 = 3.0;
/// Time that a call has for its answer after a later probe was answered, in addition to twice the time which the probe
/// itself took.
const LOST_CALL_GRACE: Duration = Duration::from_millis(200);
/// Upper bound of the random time added to that grace after a probe of another host, whose result reaches many hosts
/// at the same moment.
const MAX_CHECK_JITTER: Duration = Duration::from_millis(100);
/// Maximum doublings of [`LOST_CALL_GRACE`], one for each consecutive abandoned call. Without them a page that takes
/// long over a slow link would be abandoned each time and never be read.
const MAX_GRACE_DOUBLINGS: u32 = 4;
/// Maximum number of unanswered probes that are kept.
const MAX_PENDING_PROBES: usize = 8;

/// An answered probe. Older calls are checked against it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeResult {
    pub(super) sent: Time,
    pub(super) newest: i64,
    /// Whether another host sent it; it then says nothing about this host's own probes.
    remote: bool,
}

/// Probes of this host and of the other hosts of its failure domain.
#[derive(Debug, Default)]
pub struct Probes {
    /// When this host's unanswered probes were sent, by call number.
    pending: BTreeMap<u64, Time>,
    /// The last answered probe, of this host or of another.
    last_result: Option<ProbeResult>,
    /// Whether it is this host's own and its result was not yet sent to the others.
    unsent: bool,
    /// The probe result that the pending call is checked against, and when the call's grace ends.
    check: Option<(ProbeResult, Time)>,
    /// Consecutive abandoned pages and watches.
    pub(super) losses: u32,
}

impl Probes {
    /// Returns the result of the last answered probe for the other hosts, if this host sent that probe.
    pub fn own_report(&mut self, now: Time) -> Option<ProbeReport> {
        self.unsent = false;
        let own = self.last_result.filter(|result| !result.remote)?;
        Some(ProbeReport {
            revision: own.newest,
            age: now.since(own.sent),
        })
    }

    /// Returns the result of the last answered probe of any host, for the hosts that receive other hosts' reports
    /// through this one.
    pub fn latest_report(&mut self, now: Time) -> Option<ProbeReport> {
        self.unsent = false;
        let result = self.last_result?;
        Some(ProbeReport {
            revision: result.newest,
            age: now.since(result.sent),
        })
    }

    /// Whether the last result was not yet sent to the other hosts.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.unsent
    }

    fn record_sent(&mut self, number: u64, now: Time) {
        self.pending.insert(number, now);
        if self.pending.len() > MAX_PENDING_PROBES {
            self.pending.pop_first();
        }
    }

    /// Whether this host lost a probe that it sent before an answered one of its own.
    fn lost_before(&self, result: ProbeResult) -> bool {
        let first = self.pending.first_key_value();
        !result.remote && first.is_some_and(|(_, sent)| *sent < result.sent)
    }
}

impl View {
    /// Records an answered probe.
    fn record_probe(&mut self, result: ProbeResult) {
        self.uptime.answered(result.sent);
        if self.full_read.is_none() && result.newest <= self.revision {
            self.mark_fresh(result.sent);
        }
        let probes = &mut self.probes;
        if probes
            .last_result
            .is_none_or(|last| last.sent < result.sent)
        {
            probes.last_result = Some(result);
            probes.unsent = !result.remote;
        }
    }

    /// Whether the pending page or watch should have been answered by now, because the store answered a probe that was
    /// sent after the last sign of its answer; on standby, whether the watcher should have sent changes.
    fn is_overdue(&self, result: ProbeResult) -> bool {
        let silent = self
            .pending
            .is_some_and(|call| call.is_silent_since(result));
        (silent && self.full_read.is_some())
            || ((silent || self.standby) && result.newest > self.revision)
    }
}

/// Starts to probe.
pub fn start(core: &mut Core, out: &mut Effects) {
    schedule_probe(core, Duration::ZERO, out);
}

/// Schedules the next probe; `passed` is the part of the interval that is already over.
fn schedule_probe(core: &mut Core, passed: Duration, out: &mut Effects) {
    let after = core
        .rng
        .random_range(PROBE_INTERVAL_BOUNDS.0..PROBE_INTERVAL_BOUNDS.1);
    wake(core, after.saturating_sub(passed), RelayTimer::Probe, out);
}

/// Probes the store unless another host of the failure domain just did, and logs whether the store is available. One
/// answered probe serves the whole failure domain.
pub fn probe(core: &mut Core, out: &mut Effects) {
    let hosts = gossip::live_neighbours(core) + 1;
    let represents_domain = gossip::represents_domain(core);
    let view = &mut core.relay.view;
    let since_last = view
        .probes
        .last_result
        .map(|result| core.now.since(result.sent));
    if let Some(passed) = since_last.filter(|passed| *passed < PROBE_INTERVAL_BOUNDS.0) {
        schedule_probe(core, passed, out);
    } else {
        if represents_domain || core.rng.random::<f64>() * f64::from(hosts) < PROBERS_PER_ROUND {
            let number = view.next_number();
            view.probes.record_sent(number, core.now);
            let ask = StoreCall::Probe;
            out.push(Effect::Relay(RelayEffect::CallStore { number, call: ask }));
        }
        schedule_probe(core, Duration::ZERO, out);
    }
    log_availability(core, out);
}

/// Handles the result of a probe of another host of this failure domain.
pub fn reported(core: &mut Core, report: ProbeReport, out: &mut Effects) {
    let result = ProbeResult {
        sent: core.now.before(report.age),
        newest: report.revision,
        remote: true,
    };
    let view = &mut core.relay.view;
    if view
        .probes
        .last_result
        .is_some_and(|last| last.sent >= result.sent)
    {
        return;
    }
    view.record_probe(result);
    drop_missing(core, out);
    let jitter = core.rng.random_range(Duration::ZERO..MAX_CHECK_JITTER);
    check_pending_call(core, result, jitter, out);
    log_availability(core, out);
}

/// Handles the answer to a probe or its failure; returns whether the call was a probe.
pub fn answered(core: &mut Core, number: u64, answer: &StoreAnswer, out: &mut Effects) -> bool {
    let view = &mut core.relay.view;
    let Some(sent) = view.probes.pending.remove(&number) else {
        return false;
    };
    match answer {
        StoreAnswer::Newest(newest) => {
            let result = ProbeResult {
                sent,
                newest: *newest,
                remote: false,
            };
            handle_result(core, result, out);
        }
        // No call was lost: the store rejected it, or was not reached.
        StoreAnswer::Failed { refused: true } => {}
        _ => view.probes.record_sent(number, sent),
    }
    true
}

/// Handles the result of a probe of this host.
fn handle_result(core: &mut Core, result: ProbeResult, out: &mut Effects) {
    core.relay.view.record_probe(result);
    drop_missing(core, out);
    let view = &mut core.relay.view;
    if view.failures > 0 && view.pending.is_none() && !view.refused {
        // The store answers again: the rest of the pause is skipped.
        request_next(core, out);
    } else {
        let took = core.now.since(result.sent);
        check_pending_call(core, result, took * 2, out);
    }
    log_availability(core, out);
}

/// Schedules a check of the pending call if a probe suggests that it was lost, `extra` after its grace.
///
/// The check that is due first is kept: a single probe may be slow only because of its connection.
fn check_pending_call(core: &mut Core, result: ProbeResult, extra: Duration, out: &mut Effects) {
    let view = &mut core.relay.view;
    if !view.probes.lost_before(result) && !view.is_overdue(result) {
        return;
    }
    let grace = LOST_CALL_GRACE.saturating_mul(1 << view.probes.losses) + extra;
    let due = core.now.after(grace);
    if view.probes.check.is_none_or(|(_, before)| due < before) {
        view.probes.check = Some((result, due));
        wake(core, grace, RelayTimer::StoreTimeout, out);
    }
}

/// Abandons the pending page or watch if it still has not returned the revision that a later probe showed, or if a
/// probe sent beside it was lost: the store was then unresponsive, and the call may wait on a connection that stays so.
pub fn overdue(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let Some((result, due)) = view.probes.check.take() else {
        return;
    };
    if due > core.now {
        view.probes.check = Some((result, due));
        wake(core, due.since(core.now), RelayTimer::StoreTimeout, out);
        return;
    }
    let unresponsive = view.probes.lost_before(result);
    if unresponsive {
        view.probes.pending.retain(|_, sent| *sent >= result.sent);
    }
    if view.standby && view.is_overdue(result) {
        // Reads the changes that the watcher should have sent.
        request_next(core, out);
        return;
    }
    let silent = view.pending.filter(|call| call.is_silent_since(result));
    match silent.filter(|_| unresponsive || view.is_overdue(result)) {
        Some(pending) => abandon(core, pending, result, out),
        // A later probe may suggest a lost call as well.
        None => {
            if let Some(last) = view.probes.last_result {
                check_pending_call(core, last, Duration::ZERO, out);
            }
        }
    }
}

/// Abandons a page or a watch as lost, and reads every key again.
fn abandon(core: &mut Core, pending: PendingCall, result: ProbeResult, out: &mut Effects) {
    cancel_lost(core, pending, result, out);
    let view = &mut core.relay.view;
    view.probes.losses = (view.probes.losses + 1).min(MAX_GRACE_DOUBLINGS);
    view.start_full_read();
    request_next(core, out);
}
