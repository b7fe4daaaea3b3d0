//! Probes of the store's newest revision, and the calls that they show to be lost.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::super::event::{Ask, ProbeReport, RelayEffect, StoreAnswer};
use super::super::{RelayTimer, gossip, note, wake};
use super::{PendingCall, View, drop_missing, in_ms, log_availability, request_next};
use crate::core::effect::Effect;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Bounds of the time between two probes, drawn anew each time so that hosts do not ask together.
///
/// The upper one, [`LOST_CALL_GRACE`] and [`MAX_CHECK_JITTER`] together stay under the second within which a host must
/// know what it missed.
const PROBE_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(650));
/// Hosts of a failure domain that probe in one round, on average, beside its representative,
/// while none is answered: that one may be the only host that does not reach the store.
const PROBERS_PER_ROUND: f64 = 3.0;
/// Time that a call has, beside two of the probe's own, after a later probe was answered.
const LOST_CALL_GRACE: Duration = Duration::from_millis(200);
/// Longest time beyond it, drawn at random, where another host's probe shows it: that one is told to
/// many at the same moment.
const MAX_CHECK_JITTER: Duration = Duration::from_millis(100);
/// Doublings of [`LOST_CALL_GRACE`], one for each call given up in a row: a page that takes long over a slow
/// link would otherwise be given up for ever.
const MAX_GRACE_DOUBLINGS: u32 = 4;
/// Probes without an answer that are remembered.
const MAX_PENDING_PROBES: usize = 8;

/// An answered probe, against which older calls are held.
#[derive(Debug, Clone, Copy)]
struct ProbeResult {
    sent: Time,
    newest: i64,
    /// Whether another host sent it: then nothing follows for the probes of this one.
    remote: bool,
}

/// Probes of this host and of those near by.
#[derive(Debug, Default)]
pub struct Probes {
    /// Those without an answer, by number, and when they were sent.
    pending: BTreeMap<u64, Time>,
    /// The last answered one, of this host or of another one.
    last: Option<ProbeResult>,
    /// Whether it is this host's own, and the others were not told.
    unsent: bool,
    /// What the call in hand is held against, and when its grace is over.
    check: Option<(ProbeResult, Time)>,
    /// Pages and watches given up in a row.
    pub(super) losses: u32,
}

impl Probes {
    /// Returns what this host's own last answered probe showed, to tell the other hosts.
    pub fn own_report(&mut self, now: Time) -> Option<ProbeReport> {
        self.unsent = false;
        let own = self.last.filter(|check| !check.remote)?;
        Some(ProbeReport {
            revision: own.newest,
            age: now.since(own.sent),
        })
    }

    /// Returns what the last answered probe showed, whoever sent it, to tell those that hear of
    /// other hosts by this one.
    pub fn latest_report(&mut self, now: Time) -> Option<ProbeReport> {
        self.unsent = false;
        let check = self.last?;
        Some(ProbeReport {
            revision: check.newest,
            age: now.since(check.sent),
        })
    }

    /// Tells whether the other hosts were not told of it yet.
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

    /// Tells whether a probe was lost that was sent before an answered one.
    fn lost_before(&self, check: ProbeResult) -> bool {
        let first = self.pending.first_key_value();
        !check.remote && first.is_some_and(|(_, sent)| *sent < check.sent)
    }
}

impl View {
    /// Takes in an answered probe.
    fn record_probe(&mut self, check: ProbeResult) {
        self.uptime.answered(check.sent);
        if self.full_read.is_none() && check.newest <= self.revision {
            self.mark_fresh(check.sent);
        }
        let probes = &mut self.probes;
        if probes.last.is_none_or(|last| last.sent < check.sent) {
            probes.last = Some(check);
            probes.unsent = !check.remote;
        }
    }

    /// Tells whether the page or watch in hand should have brought something by now, since the
    /// store answered a probe that was sent after it.
    fn is_overdue(&self, check: ProbeResult) -> bool {
        let older = self.pending.is_some_and(|asked| asked.sent < check.sent);
        (older && self.full_read.is_some())
            || ((older || self.standby) && check.newest > self.revision)
    }
}

/// Begins to probe.
pub fn start(core: &mut Core, out: &mut Effects) {
    schedule_probe(core, Duration::ZERO, out);
}

/// Asks for the time of the next probe, where so much of it has passed.
fn schedule_probe(core: &mut Core, passed: Duration, out: &mut Effects) {
    let after = core
        .rng
        .random_range(PROBE_INTERVAL_BOUNDS.0..PROBE_INTERVAL_BOUNDS.1);
    wake(core, after.saturating_sub(passed), RelayTimer::Probe, out);
}

/// Asks for the store's newest revision, unless a host near by just did, and says whether the store
/// is up. One answered probe serves a whole failure domain.
pub fn probe(core: &mut Core, out: &mut Effects) {
    let near = gossip::live_neighbours(core) + 1;
    let represents_domain = gossip::represents_domain(core);
    let view = &mut core.relay.view;
    let ago = view.probes.last.map(|check| core.now.since(check.sent));
    if let Some(ago) = ago.filter(|ago| *ago < PROBE_INTERVAL_BOUNDS.0) {
        schedule_probe(core, ago, out);
    } else {
        if represents_domain || core.rng.random::<f64>() * f64::from(near) < PROBERS_PER_ROUND {
            let number = view.next_number();
            view.probes.record_sent(number, core.now);
            let ask = Ask::Probe;
            out.push(Effect::Relay(RelayEffect::Ask { number, ask }));
        }
        schedule_probe(core, Duration::ZERO, out);
    }
    log_availability(core, out);
}

/// Takes in what a probe of another host of this failure domain showed.
pub fn reported(core: &mut Core, newest: ProbeReport, out: &mut Effects) {
    let check = ProbeResult {
        sent: core.now.before(newest.age),
        newest: newest.revision,
        remote: true,
    };
    let view = &mut core.relay.view;
    if view.probes.last.is_some_and(|last| last.sent >= check.sent) {
        return;
    }
    view.record_probe(check);
    drop_missing(core, out);
    let spread = core.rng.random_range(Duration::ZERO..MAX_CHECK_JITTER);
    check_pending_call(core, check, spread, out);
    log_availability(core, out);
}

/// Takes in the answer to a probe, or that there is none; tells whether it belongs to one.
pub fn answered(core: &mut Core, number: u64, answer: &StoreAnswer, out: &mut Effects) -> bool {
    let view = &mut core.relay.view;
    let Some(sent) = view.probes.pending.remove(&number) else {
        return false;
    };
    match answer {
        StoreAnswer::Newest(newest) => {
            let check = ProbeResult {
                sent,
                newest: *newest,
                remote: false,
            };
            handle_result(core, check, out);
        }
        // Nothing was lost: the store answers, or no call reaches it.
        StoreAnswer::Failed { refused: true } => {}
        _ => view.probes.record_sent(number, sent),
    }
    true
}

/// Takes in what a probe of this host showed.
fn handle_result(core: &mut Core, check: ProbeResult, out: &mut Effects) {
    core.relay.view.record_probe(check);
    drop_missing(core, out);
    let view = &mut core.relay.view;
    if view.failures > 0 && view.pending.is_none() && !view.refused {
        // The store answers again: the rest of the pause is saved.
        request_next(core, out);
    } else {
        let took = core.now.since(check.sent);
        check_pending_call(core, check, took * 2, out);
    }
    log_availability(core, out);
}

/// Looks whether older calls were lost, where a probe raises the doubt, so long after their grace.
///
/// The check that is due first counts: one probe may be slow for its connection's sake alone.
fn check_pending_call(core: &mut Core, check: ProbeResult, more: Duration, out: &mut Effects) {
    let view = &mut core.relay.view;
    if !view.probes.lost_before(check) && !view.is_overdue(check) {
        return;
    }
    let grace = LOST_CALL_GRACE.saturating_mul(1 << view.probes.losses) + more;
    let due = core.now.after(grace);
    if view.probes.check.is_none_or(|(_, before)| due < before) {
        view.probes.check = Some((check, due));
        wake(core, grace, RelayTimer::Overdue, out);
    }
}

/// Gives the page or the watch in hand up if it still owes what a later probe showed, or if a probe
/// beside it was lost: then the store was silent, and it may wait on a connection that stays so.
pub fn overdue(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let Some((check, due)) = view.probes.check.take() else {
        return;
    };
    if due > core.now {
        view.probes.check = Some((check, due));
        wake(core, due.since(core.now), RelayTimer::Overdue, out);
        return;
    }
    let silent = view.probes.lost_before(check);
    if silent {
        view.probes.pending.retain(|_, sent| *sent >= check.sent);
    }
    if view.standby && view.is_overdue(check) {
        // What the other host should have passed on is asked for.
        request_next(core, out);
        return;
    }
    let older = view.pending.filter(|asked| asked.sent < check.sent);
    match older.filter(|_| silent || view.is_overdue(check)) {
        Some(asked) => abandon(core, asked, check, out),
        // A later probe may have raised a doubt of its own meanwhile.
        None => {
            if let Some(last) = view.probes.last {
                check_pending_call(core, last, Duration::ZERO, out);
            }
        }
    }
}

/// Gives a page or a watch up as lost, and reads every key anew.
fn abandon(core: &mut Core, asked: PendingCall, check: ProbeResult, out: &mut Effects) {
    let view = &mut core.relay.view;
    let call = match view.full_read {
        Some(_) => "range",
        None => "watch",
    };
    let fields = vec![
        ("call", call.into()),
        ("after_ms", in_ms(core.now.since(asked.sent))),
        ("at", view.revision.to_string().into()),
        ("newest", check.newest.to_string().into()),
        ("probed_ms", in_ms(core.now.since(check.sent))),
    ];
    view.probes.losses = (view.probes.losses + 1).min(MAX_GRACE_DOUBLINGS);
    view.start_full_read();
    note(out, log::Level::Warn, "store.call_lost", fields);
    out.push(Effect::Relay(RelayEffect::Unask(asked.number)));
    request_next(core, out);
}
