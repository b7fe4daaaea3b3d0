//! What this host knows of the store, and how it notices that it fell behind.
//!
//! Every key is read once, page by page, and then changes are watched. A watch that brings nothing
//! looks like a store in which nothing happens, though it may have been lost: a store that fell
//! silent takes calls and never answers them, and their connections live on, also after it answers
//! again. Callers then meet an old configuration, and requests go to servers that have left, for as
//! long as the watch may wait.
//!
//! One host of a failure domain watches for all: what it learns goes on with its messages, and the others
//! rest while they are told in time. See [`history`] and [`passed`].
//!
//! Probes tell a lost watch from a store in which nothing happens. Each asks for the store's newest revision, at a tenth of the price of
//! a read. What was asked before an answered probe and stays without an answer is given up, and
//! every key is read anew, within a second of the store's return whichever call was lost.

pub mod era;
mod history;
pub mod probe;
mod uptime;

use std::time::Duration;

use rand::RngExt;

#[cfg(test)]
pub(super) use uptime::Uptime;

use super::event::{
    Ask, Changes, RelayEffect, ReplicatedChanges, StoreAnswer, StoreChange, UptimeReport,
};
use super::{RelayTimer, gossip, instance, note, peers, wake};
use crate::core::effect::Effect;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Age of the view beyond which the store is taken for away, and a path without a route here for
/// one that may be new.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Time a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two watches that brought something, for each host of the deployment.
///
/// Each change ends the watch of every host: without a pause, 80 hosts that register call 80 times
/// each, and so with every change after. What comes within the pause comes with one call.
const WATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(12);
/// Bounds of that time. The upper one and a call stay under the two seconds after which a server that
/// leaves must get no new work.
const WATCH_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1200));
/// Age of the view up to which a host that is told of changes watches for none itself: a probe and the
/// message that tells of it come well within it, and with a watch it stays under a second.
const MAX_STANDBY_AGE: Duration = Duration::from_millis(900);
/// Time after its start in which a host expects to hear from the one that watches.
const STARTUP_GRACE: Duration = Duration::from_millis(600);
/// Longest pause after a first failure; doubled with each that follows.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Bound of that pause: all hosts lose the store at the same moment, and pauses drawn at random up
/// to this bound spread their return over it.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Name in the log for the store as the source of what is known.
const STORE_SOURCE: &str = "store";

/// A call in hand.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    number: u64,
    sent: Time,
}

/// What a whole read brought so far.
#[derive(Debug, Default)]
struct FullRead {
    /// Revision of the first page, and when it was asked for: what changed since comes by the watch.
    first: Option<(i64, Time)>,
    /// Last key of the last page.
    after: Option<Box<str>>,
    changes: Changes,
}

/// How this host follows the store.
#[derive(Debug, Default)]
pub struct View {
    /// Era of the store to which all revisions here belong; 0 while none was named.
    pub(super) era: u64,
    /// Eras that ended since this host's start.
    ended_eras: u32,
    /// Revision up to which everything is known.
    revision: i64,
    /// Pages of a whole read; `None` while changes are watched.
    full_read: Option<FullRead>,
    /// The page or the watch in hand; none in a pause.
    pending: Option<PendingCall>,
    /// Number of the last page or watch.
    last_call: u64,
    /// Number of the last call, probes included.
    number: u64,
    /// Probes, by which a lost call is noticed.
    pub(super) probes: probe::Probes,
    /// For how long the store has answered, as this host and others know.
    pub(super) uptime: uptime::Uptime,
    /// Pages and watches that failed in a row.
    failures: u32,
    /// Whether the store itself turned the last one away.
    refused: bool,
    /// Whether this host watches for nothing, as another one tells it of changes.
    standby: bool,
    /// Host from which changes are learned, or [`STORE_SOURCE`].
    source: Option<Box<str>>,
    /// Changes learned lately, for hosts near by.
    pub(super) history: history::History,
    /// Latest moment as of which all that the store held was known here.
    fresh_at: Option<Time>,
    started: Time,
    /// What the log was last told of the store.
    logged: Option<LoggedState>,
}

/// What the log was told of the store.
#[derive(Debug, Clone, Copy)]
struct LoggedState {
    up: bool,
    /// [`View::current`] at that time.
    fresh_at: Option<Time>,
}

impl View {
    /// Whether this host watches the store itself and knows what it holds.
    #[must_use]
    pub fn watches(&self, now: Time) -> bool {
        !self.standby && self.full_read.is_none() && self.is_fresh(now)
    }

    /// Returns the latest moment as of which all that the store held was known here.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// Returns the number of the page or the watch in hand.
    #[cfg(test)]
    pub(super) fn asked_number(&self) -> Option<u64> {
        self.pending.map(|asked| asked.number)
    }

    /// Tells whether what is not known here does not exist, but for the last moments.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.fresh_at.is_some_and(|at| now.since(at) <= STALE_AFTER)
    }

    /// Takes in that all that the store held at a moment is known.
    pub(super) fn mark_fresh(&mut self, at: Time) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Returns the changes that the next message passes on.
    pub(super) fn take_changes(&mut self) -> ReplicatedChanges {
        self.history.next_batch(self.revision)
    }

    /// Says in the log from whom this host learns of changes, where that is another than before.
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

    /// Returns the era of the store to which all that is known belongs; 0 while none was named.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns how many eras ended since this host's start.
    #[must_use]
    pub fn ended_eras(&self) -> u32 {
        self.ended_eras
    }

    /// Forgets all that belongs to an era that ended; returns the number of the call in hand.
    fn reset(&mut self) -> Option<u64> {
        self.ended_eras += 1;
        self.revision = 0;
        self.standby = false;
        self.failures = 0;
        self.refused = false;
        self.probes = probe::Probes::default();
        self.uptime = uptime::Uptime::default();
        self.history.reset(0);
        self.start_full_read();
        self.pending.take().map(|asked| asked.number)
    }

    /// Forgets what was read or watched: every key is read next.
    fn start_full_read(&mut self) {
        self.full_read = Some(FullRead::default());
    }
}

/// Begins to follow the store.
pub fn start(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    view.started = core.now;
    view.start_full_read();
    request_next(core, out);
    probe::start(core, out);
}

/// Asks for the next page, or for changes.
fn request_next(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    view.standby = false;
    let number = view.next_number();
    view.last_call = number;
    view.pending = Some(PendingCall {
        number,
        sent: core.now,
    });
    let ask = match &view.full_read {
        Some(pages) => Ask::Page {
            after: pages.after.clone(),
        },
        None => Ask::Watch {
            after: view.revision,
            wait: WATCH_TIMEOUT,
        },
    };
    out.push(Effect::Relay(RelayEffect::Ask { number, ask }));
}

/// Goes on after the pause that followed call `last`, unless that was cut short.
pub fn resume(core: &mut Core, last: u64, out: &mut Effects) {
    let view = &core.relay.view;
    if view.pending.is_none() && view.last_call == last && !view.standby {
        continue_reading(core, out);
    }
}

/// Tells whether another host tells this one of changes, and did so lately or is about to.
fn receives_changes(core: &Core) -> bool {
    let view = &core.relay.view;
    let fresh = view
        .fresh_at
        .is_some_and(|at| core.now.since(at) <= MAX_STANDBY_AGE);
    let begins = core.now.since(view.started) <= STARTUP_GRACE && gossip::has_predecessor(core);
    fresh && (begins || !gossip::represents_domain(core))
}

/// Asks for the next page, or for changes unless another host tells of them.
fn continue_reading(core: &mut Core, out: &mut Effects) {
    if core.relay.view.full_read.is_none() && receives_changes(core) {
        core.relay.view.standby = true;
    } else {
        request_next(core, out);
    }
}

/// Watches again if this host is no longer told of changes.
pub fn resume_watch(core: &mut Core, out: &mut Effects) {
    if core.relay.view.standby && !receives_changes(core) {
        request_next(core, out);
    }
}

/// Takes in changes that another host passed on.
///
/// Changes that begin after what is known here would leave a gap: the store is asked for those.
pub fn apply_replicated(
    core: &mut Core,
    from: &str,
    passage: ReplicatedChanges,
    out: &mut Effects,
) {
    let view = &mut core.relay.view;
    if passage.at <= view.revision {
        return;
    }
    if passage.after > view.revision {
        if view.standby {
            request_next(core, out);
        }
        return;
    }
    let at = view.revision;
    view.set_source(from, out);
    let events = passage.events.into_iter();
    let new: Vec<StoreChange> = events.filter(|event| event.revision > at).collect();
    view.revision = passage.at;
    if view.full_read.is_none() {
        view.standby = true;
        if let Some(asked) = view.pending.take() {
            // It would bring the same once more.
            out.push(Effect::Relay(RelayEffect::Unask(asked.number)));
        }
    }
    let changes: Vec<Changes> = new.iter().map(|event| event.changes.clone()).collect();
    view.history.append(new);
    for changes in changes {
        super::changed(core, changes, out);
    }
}

fn pause(core: &Core, time: Duration, out: &mut Effects) {
    wake(
        core,
        time,
        RelayTimer::Follow(core.relay.view.last_call),
        out,
    );
}

/// Returns the pause between two watches for so many hosts.
pub(super) fn watch_pause(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    WATCH_PAUSE_PER_HOST
        .saturating_mul(hosts)
        .clamp(WATCH_PAUSE_BOUNDS.0, WATCH_PAUSE_BOUNDS.1)
}

/// Takes in an answer of the store, or that there is none.
pub fn answered(core: &mut Core, number: u64, answer: StoreAnswer, out: &mut Effects) {
    if probe::answered(core, number, &answer, out) {
        return;
    }
    let view = &mut core.relay.view;
    let Some(asked) = view.pending.take_if(|asked| asked.number == number) else {
        // It was given up.
        return;
    };
    match answer {
        StoreAnswer::Page { at, changes, after } => add_page(core, asked, at, changes, after, out),
        StoreAnswer::Changes {
            at,
            changes,
            events,
        } => {
            if at > view.revision {
                view.set_source(STORE_SOURCE, out);
                view.history.append(events);
            }
            handle_changes(core, asked, at, changes, out);
        }
        // Only probes ask for the newest revision: as an answer to anything else it says nothing.
        StoreAnswer::Compacted | StoreAnswer::Newest(_) => {
            view.start_full_read();
            retry(core, out);
        }
        StoreAnswer::Failed { refused } => {
            view.start_full_read();
            view.refused = refused;
            retry(core, out);
        }
    }
}

/// Asks again after a while.
fn retry(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let most = INITIAL_BACKOFF.saturating_mul(1 << view.failures.min(8));
    view.failures += 1;
    let time = most
        .min(MAX_BACKOFF)
        .mul_f64(core.rng.random_range(0.3..1.0));
    pause(core, time, out);
}

/// Takes in a page of all keys, and begins to watch after the last one.
fn add_page(
    core: &mut Core,
    asked: PendingCall,
    at: i64,
    changes: Changes,
    after: Option<Box<str>>,
    out: &mut Effects,
) {
    let view = &mut core.relay.view;
    let mut pages = view.full_read.take().unwrap_or_default();
    let (first, since) = *pages.first.get_or_insert((at, asked.sent));
    pages.changes.extend(changes);
    if after.is_some() {
        pages.after = after;
        view.full_read = Some(pages);
        request_next(core, out);
        return;
    }
    view.failures = 0;
    view.probes.losses = 0;
    view.revision = first;
    view.set_source(STORE_SOURCE, out);
    view.history.reset(first);
    view.mark_fresh(since);
    view.uptime.answered(since);
    pages.changes.whole = true;
    super::changed(core, pages.changes, out);
    drop_missing(core, out);
    log_availability(core, out);
    continue_reading(core, out);
}

/// Takes in what changed, and goes on watching.
fn handle_changes(
    core: &mut Core,
    asked: PendingCall,
    at: i64,
    changes: Changes,
    out: &mut Effects,
) {
    // Where one host watches for a failure domain, there are as many as domains.
    let hosts = if gossip::represents_domain(core) {
        core.relay.peers.domains.len() + 1
    } else {
        core.relay.peers.hosts()
    };
    let view = &mut core.relay.view;
    view.probes.losses = 0;
    view.mark_fresh(asked.sent);
    let news = at > view.revision;
    view.revision = view.revision.max(at);
    super::changed(core, changes, out);
    if news {
        pause(core, watch_pause(hosts), out);
    } else {
        continue_reading(core, out);
    }
}

/// Takes in for how long the store has answered, as another host knows.
pub fn uptime_reported(core: &mut Core, report: UptimeReport, out: &mut Effects) {
    core.relay.view.uptime.reported(report, core.now);
    drop_missing(core, out);
}

/// Takes backend servers without an entry for gone, once the store has been up for as long as lapsed entries
/// take to come back.
fn drop_missing(core: &mut Core, out: &mut Effects) {
    if core.relay.view.uptime.length() < instance::MISSING_GRACE {
        return;
    }
    let era = core.relay.view.era;
    let beliefs = core.relay.instances.drop_missing(era, core.now);
    super::note_beliefs(beliefs, out);
    peers::drop_unlisted(core, out);
}

/// Says when the store is taken for away, and when it is back.
fn log_availability(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let view = &mut core.relay.view;
    let up = view.is_fresh(now);
    let same = view.logged.is_some_and(|said| said.up == up);
    if same || (!up && now.since(view.started) <= STALE_AFTER) {
        return;
    }
    // When it is back: how long this host had to act on what it knew before.
    let heard = match view.logged {
        Some(said) if up => said.fresh_at,
        _ => view.fresh_at,
    };
    view.logged = Some(LoggedState {
        up,
        fresh_at: view.fresh_at,
    });
    let heard = heard.map_or_else(|| "never".into(), |heard| in_ms(now.since(heard)));
    let (level, name) = if up {
        (log::Level::Info, "store.up")
    } else {
        (log::Level::Warn, "store.down")
    };
    note(out, level, name, vec![("heard_ms", heard)]);
}

/// Returns whole milliseconds, for the log.
fn in_ms(span: Duration) -> Box<str> {
    span.as_millis().to_string().into()
}
