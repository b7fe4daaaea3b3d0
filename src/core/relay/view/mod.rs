//! This host's view of the store, and the detection of a stale view.
//!
//! The host reads every key once, page by page, and then watches for changes. A watch without an answer looks the same
//! whether nothing changes or the call was lost: a store that hangs accepts calls and never answers them, and their
//! connections stay open even after it answers again. Until the watch times out, callers then get an old configuration,
//! and requests go to servers that have left.
//!
//! One host of a failure domain is its watcher: it replicates changes with its gossip, and the other hosts are on
//! standby while they receive them in time. See [`history`] and [`apply_replicated`].
//!
//! Probes distinguish a lost watch from an idle store. Each asks for the store's newest revision, at a tenth of the
//! cost of a read. A call of which nothing arrived since an answered probe was sent is abandoned, and every key is read
//! again: within a second of the store's return, whichever call was lost.

pub mod confirm;
pub mod era;
mod history;
pub mod pending;
pub mod probe;
mod replicated;
mod uptime;

use std::time::Duration;

use rand::RngExt;

pub use replicated::apply_replicated;
#[cfg(test)]
pub(super) use uptime::Uptime;

use super::event::{Changes, RelayEffect, ReplicatedChanges, StoreAnswer, StoreCall, UptimeReport};
use super::{RelayTimer, departed, gossip, instance, note, peers, wake};
use crate::core::effect::Effect;
use crate::core::time::Time;
use crate::core::{Core, Effects};
use pending::PendingCall;

/// Age of the view beyond which the store counts as unavailable, and a path without a route as possibly new.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Time after which the store answers a watch even without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a watch that returned changes, for each host that watches.
///
/// Each change ends the watch of every host: without a pause, 80 hosts that register make 80 calls each, and one more
/// each with every later change. All changes within the pause are returned by one call.
const WATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(12);
/// Bounds of that pause. The upper bound plus one call is less than the two seconds after which a leaving server must
/// get no new work.
const WATCH_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1200));
/// Age of the view up to which a standby host does not watch itself. A probe and the message with its result arrive
/// well within it, and with a watch in addition the age stays under a second.
const MAX_STANDBY_AGE: Duration = Duration::from_millis(900);
/// Time after its start in which a host waits for messages from the watcher.
const STARTUP_GRACE: Duration = Duration::from_millis(600);
/// Maximum pause after the first failure; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of that pause. All hosts lose the store at the same moment; random pauses up to this bound spread their
/// next calls.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Source in the log of changes that were read from the store.
pub(super) const STORE_SOURCE: &str = "store";

/// The pages of a full read that have arrived so far.
#[derive(Debug, Default)]
struct FullRead {
    /// Revision of the first page, and when it was requested; the watch returns later changes.
    start: Option<(i64, Time)>,
    /// Last key of the last page.
    after: Option<Box<str>>,
    changes: Changes,
}

/// This host's view of the store.
#[derive(Debug, Default)]
pub struct View {
    /// Era of the store to which all revisions here belong; `None` until one is known. A store may count from 0.
    era: Option<u64>,
    /// Number of eras that ended since this host's start.
    ended_eras: u32,
    /// Revision up to which all changes are known.
    revision: i64,
    /// A full read in progress; `None` while changes are watched.
    full_read: Option<FullRead>,
    /// The page or watch that awaits its answer; `None` during a pause and on standby.
    pending: Option<PendingCall>,
    /// Number of the last page or watch call.
    last_call: u64,
    /// Number of the last call of any kind, probes included.
    number: u64,
    /// Probes, which detect lost calls.
    pub(super) probes: probe::Probes,
    /// How long the store has answered, by this host's calls and the reports of others.
    pub(super) uptime: uptime::Uptime,
    /// Consecutive failed pages and watches.
    failures: u32,
    /// Whether the last of them was rejected by the store or did not reach it.
    refused: bool,
    /// Whether this host does not watch because the watcher sends it the changes.
    standby: bool,
    /// Host from which changes are received, or [`STORE_SOURCE`].
    source: Option<Box<str>>,
    /// Revision after which received changes were last found to have a gap.
    gap_after: Option<i64>,
    /// Recent changes, to be sent to other hosts.
    pub(super) history: history::History,
    /// Latest time as of which this view held the whole content of the store.
    fresh_at: Option<Time>,
    /// Beginning of the latest read that returned everything up to then.
    confirmed_at: Option<Time>,
    started: Time,
    /// Availability of the store as last logged.
    logged: Option<LoggedState>,
}

/// Availability of the store as logged.
#[derive(Debug, Clone, Copy)]
struct LoggedState {
    up: bool,
    /// [`View::fresh_at`] at that time.
    fresh_at: Option<Time>,
}

impl View {
    /// Whether this host watches the store itself and its view is fresh.
    #[must_use]
    pub fn watches(&self, now: Time) -> bool {
        !self.standby && self.full_read.is_none() && self.is_fresh(now)
    }

    /// Returns the latest time as of which this view held the whole content of the store.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// Returns the number of the page or watch that awaits its answer.
    #[cfg(test)]
    pub(super) fn asked_number(&self) -> Option<u64> {
        self.pending.map(|call| call.number)
    }

    /// Whether the view is recent enough that an unknown key can be taken as absent from the store.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.fresh_at.is_some_and(|at| now.since(at) <= STALE_AFTER)
    }

    /// Records that the view holds the whole content of the store as of a time.
    pub(super) fn mark_fresh(&mut self, at: Time) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Returns the changes to send with the next message.
    pub(super) fn take_changes(&mut self) -> ReplicatedChanges {
        self.history.next_batch(self.revision)
    }

    /// Logs from which source this host receives changes, when the source differs from the previous one.
    fn set_source(&mut self, source: &str, out: &mut Effects) {
        if self.source.as_deref() == Some(source) {
            return;
        }
        let before = self.source.replace(source.into());
        let fields = vec![
            ("source", source.into()),
            ("before", before.unwrap_or_else(|| "none".into())),
            ("at", self.revision.to_string().into()),
        ];
        note(out, log::Level::Info, "view.source", fields);
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Returns the era of the store to which the view belongs; 0 until one is known.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Whether the store has been up for as long as expired entries take to be written again.
    #[must_use]
    pub(super) fn is_settled(&self) -> bool {
        self.uptime.length() >= instance::MISSING_GRACE
    }

    /// Returns the number of eras that ended since this host's start.
    #[must_use]
    pub fn ended_eras(&self) -> u32 {
        self.ended_eras
    }

    /// Drops everything that belongs to an ended era; returns the number of the pending call.
    fn reset(&mut self) -> Option<u64> {
        self.ended_eras += 1;
        self.revision = 0;
        self.standby = false;
        self.failures = 0;
        self.refused = false;
        self.probes = probe::Probes::default();
        self.uptime = uptime::Uptime::default();
        self.confirmed_at = None;
        self.history.reset(0);
        self.start_full_read();
        self.pending.take().map(|call| call.number)
    }

    /// Discards reads and watches; every key is read next.
    fn start_full_read(&mut self) {
        self.full_read = Some(FullRead::default());
    }
}

/// Starts to read and watch the store.
pub fn start(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    view.started = core.now;
    view.start_full_read();
    request_next(core, out);
    probe::start(core, out);
}

/// Requests the next page, or watches for changes after a full read.
fn request_next(core: &mut Core, out: &mut Effects) {
    request(core, WATCH_TIMEOUT, out);
}

/// Requests the next page, or the changes after a full read once there are any or this time has passed.
fn request(core: &mut Core, wait: Duration, out: &mut Effects) {
    let view = &mut core.relay.view;
    view.standby = false;
    let number = view.next_number();
    view.last_call = number;
    let is_short = wait < WATCH_TIMEOUT;
    view.pending = Some(PendingCall::new(number, core.now, is_short));
    let ask = match &view.full_read {
        Some(pages) => StoreCall::Page {
            after: pages.after.clone(),
        },
        None => StoreCall::Watch {
            after: view.revision,
            wait,
        },
    };
    out.push(Effect::Relay(RelayEffect::CallStore { number, call: ask }));
}

/// Continues after the pause that followed call `last`, unless the pause was cut short.
pub fn resume(core: &mut Core, last: u64, out: &mut Effects) {
    let view = &core.relay.view;
    if view.pending.is_none() && view.last_call == last && !view.standby {
        continue_reading(core, out);
    }
}

/// Whether the watcher sends changes to this host, and did so recently or is expected to soon.
fn receives_changes(core: &Core) -> bool {
    let view = &core.relay.view;
    let fresh = view
        .fresh_at
        .is_some_and(|at| core.now.since(at) <= MAX_STANDBY_AGE);
    let starting = core.now.since(view.started) <= STARTUP_GRACE && gossip::has_predecessor(core);
    fresh && (starting || !gossip::represents_domain(core))
}

/// Requests the next page, or watches for changes unless the watcher sends them.
fn continue_reading(core: &mut Core, out: &mut Effects) {
    if core.relay.view.full_read.is_none() && receives_changes(core) {
        core.relay.view.standby = true;
    } else {
        request_next(core, out);
    }
}

/// Watches again if this host is on standby and no longer receives changes.
pub fn resume_watch(core: &mut Core, out: &mut Effects) {
    if core.relay.view.standby && !receives_changes(core) {
        request_next(core, out);
    }
}

fn pause(core: &Core, delay: Duration, out: &mut Effects) {
    wake(
        core,
        delay,
        RelayTimer::ResumeWatch(core.relay.view.last_call),
        out,
    );
}

/// Returns the pause between two watches for this number of watching hosts.
pub(super) fn watch_pause(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    WATCH_PAUSE_PER_HOST
        .saturating_mul(hosts)
        .clamp(WATCH_PAUSE_BOUNDS.0, WATCH_PAUSE_BOUNDS.1)
}

/// Handles an answer of the store, or its failure.
pub fn answered(core: &mut Core, number: u64, answer: StoreAnswer, out: &mut Effects) {
    if probe::answered(core, number, &answer, out) {
        return;
    }
    let view = &mut core.relay.view;
    let Some(call) = view.pending.take_if(|call| call.number == number) else {
        // The call was abandoned.
        return;
    };
    match answer {
        StoreAnswer::Page {
            revision,
            changes,
            after,
        } => add_page(core, call, revision, changes, after, out),
        StoreAnswer::Changes {
            revision,
            changes,
            events,
        } => {
            if revision > view.revision {
                view.set_source(STORE_SOURCE, out);
                view.history.append(events);
            }
            handle_changes(core, call, revision, changes, out);
        }
        // Only probes ask for the newest revision; it is no valid answer to a page or a watch.
        StoreAnswer::Compacted | StoreAnswer::Newest(_) => {
            view.start_full_read();
            retry(core, out);
        }
        StoreAnswer::Failed { refused } => {
            // Pages that arrived are kept where the store only refused the next one: at a restart of all hosts, more
            // are asked for than it answers in a second.
            if !refused || view.full_read.is_none() {
                view.start_full_read();
            }
            view.refused = refused;
            retry(core, out);
        }
    }
}

/// Schedules the next call after a backoff.
fn retry(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let max = INITIAL_BACKOFF.saturating_mul(1 << view.failures.min(8));
    view.failures += 1;
    let delay = max
        .min(MAX_BACKOFF)
        .mul_f64(core.rng.random_range(0.3..1.0));
    pause(core, delay, out);
}

/// Adds a page of a full read, and starts to watch after the last one.
fn add_page(
    core: &mut Core,
    call: PendingCall,
    at: i64,
    changes: Changes,
    after: Option<Box<str>>,
    out: &mut Effects,
) {
    let view = &mut core.relay.view;
    let mut pages = view.full_read.take().unwrap_or_default();
    let (revision, since) = *pages.start.get_or_insert((at, call.sent));
    if after.is_some() {
        let is_first_read = view.fresh_at.is_none();
        pages.changes.merge(changes.clone());
        pages.after = after;
        view.full_read = Some(pages);
        if is_first_read {
            // A host that just started serves with the servers of the first pages.
            super::apply_changes(core, changes, out);
        }
        request_next(core, out);
        return;
    }
    pages.changes.merge(changes);
    view.failures = 0;
    view.probes.losses = 0;
    view.revision = revision;
    view.set_source(STORE_SOURCE, out);
    view.history.reset(revision);
    view.mark_read(since);
    view.uptime.answered(since);
    pages.changes.is_snapshot = true;
    super::apply_changes(core, pages.changes, out);
    drop_missing(core, out);
    log_availability(core, out);
    continue_reading(core, out);
    confirm::read_ended(core, out);
}

/// Applies the changes that a watch returned, and watches again.
fn handle_changes(
    core: &mut Core,
    call: PendingCall,
    at: i64,
    changes: Changes,
    out: &mut Effects,
) {
    // With one watcher in each failure domain, as many hosts watch as there are domains.
    let hosts = if gossip::represents_domain(core) {
        core.relay.peers.domains.len() + 1
    } else {
        core.relay.peers.host_count()
    };
    let view = &mut core.relay.view;
    view.probes.losses = 0;
    view.mark_read(call.sent);
    let advanced = at > view.revision;
    view.revision = view.revision.max(at);
    super::apply_changes(core, changes, out);
    if advanced {
        pause(core, watch_pause(hosts), out);
    } else {
        continue_reading(core, out);
    }
    confirm::read_ended(core, out);
}

/// Handles another host's report of how long the store has answered.
pub fn uptime_reported(core: &mut Core, report: UptimeReport, out: &mut Effects) {
    core.relay.view.uptime.reported(report, core.now);
    drop_missing(core, out);
}

/// Drops backend servers without an entry once the store has been up for as long as expired entries take to be
/// written again.
fn drop_missing(core: &mut Core, out: &mut Effects) {
    if !core.relay.view.is_settled() {
        return;
    }
    let at = departed::known_position(&core.relay.view);
    let state_changes = core.relay.instances.drop_missing(at, core.now);
    super::log_listings(state_changes, STORE_SOURCE, out);
    peers::drop_unlisted(core, out);
}

/// Logs when the store becomes unavailable and when it is available again.
fn log_availability(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let view = &mut core.relay.view;
    let up = view.is_fresh(now);
    let same = view.logged.is_some_and(|logged| logged.up == up);
    if same || (!up && now.since(view.started) <= STALE_AFTER) {
        return;
    }
    // When the store is back: how long this host had to act on its old view.
    let fresh_at = match view.logged {
        Some(logged) if up => logged.fresh_at,
        _ => view.fresh_at,
    };
    view.logged = Some(LoggedState {
        up,
        fresh_at: view.fresh_at,
    });
    let fresh_at = fresh_at.map_or_else(|| "never".into(), |fresh_at| in_ms(now.since(fresh_at)));
    let (level, name) = if up {
        (log::Level::Info, "store.up")
    } else {
        (log::Level::Warn, "store.down")
    };
    note(out, level, name, vec![("heard_ms", fresh_at)]);
}

/// Formats whole milliseconds for the log.
fn in_ms(span: Duration) -> Box<str> {
    span.as_millis().to_string().into()
}
