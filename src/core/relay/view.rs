//! What this host knows of the store, and how it notices that it fell behind.
//!
//! Every key is read once, page by page, and then changes are watched. A watch that brings nothing
//! looks like a store in which nothing happens, though it may have been lost: a store that fell
//! silent takes calls and never answers them, and their connections live on, also after it answers
//! again. Callers then meet an old configuration, and requests go to servers that have left, for as
//! long as the watch may wait.
//!
//! Probes tell the two apart. Each asks for the store's newest revision, at a tenth of the price of
//! a read. What was asked before an answered probe and stays without an answer is given up, and
//! every key is read anew, within a second of the store's return whichever call was lost.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Ask, Changes, NewestWord, RelayEffect, StoreAnswer};
use super::{RelayTimer, note, wake, words};
use crate::core::effect::Effect;

/// Bounds of the time between two probes, drawn anew each time so that hosts do not ask together.
///
/// The upper one and [`GRACE`] stay under the second within which a host must know what it missed.
const EVERY: (Duration, Duration) = (Duration::from_millis(450), Duration::from_millis(700));
/// Hosts of a failure domain that probe in one round, on average, while none is answered: all of them
/// would keep a store that is in trouble busy. In one round of a hundred nobody does.
const TURNS: f64 = 5.0;
/// Time that a call has, beside two of the probe's own, after a later probe was answered.
const GRACE: Duration = Duration::from_millis(200);
/// Longest time beyond it, drawn at random, where another host's probe shows it: that one is told to
/// many at the same moment.
const SPREAD: Duration = Duration::from_millis(150);
/// Doublings of that time, one for each call given up in a row: a page that takes long over a slow
/// link would otherwise be given up for ever.
const LOSSES: u32 = 4;
/// Probes without an answer that are remembered.
const PROBES: usize = 8;
/// Age of the view beyond which the store is taken for away, and a path without a route here for
/// one that may be new.
const STALE: Duration = Duration::from_millis(1500);
/// Time a watch waits for a change.
const WAIT: Duration = Duration::from_secs(20);
/// Time between two watches that brought something, for each host of the deployment.
///
/// Each change ends the watch of every host: without a pause, 80 hosts that register call 80 times
/// each, and so with every change after. What comes within the pause comes with one call.
const PAUSE: Duration = Duration::from_millis(12);
/// Bounds of that time. The upper one and a call stay under the two seconds after which a server that
/// leaves must get no new work.
const PAUSES: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1200));
/// Longest pause after a first failure; doubled with each that follows.
const RETRY_LEAST: Duration = Duration::from_millis(100);
/// Bound of that pause: all hosts lose the store at the same moment, and pauses drawn at random up
/// to this bound spread their return over it.
const RETRY_MOST: Duration = Duration::from_millis(900);

/// A call in hand.
#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    sent: Time,
}

/// What a whole read brought so far.
#[derive(Debug, Default)]
struct Pages {
    /// Revision of the first page, and when it was asked for: what changed since comes by the watch.
    first: Option<(i64, Time)>,
    /// Last key of the last page.
    after: Option<Box<str>>,
    changes: Changes,
}

/// An answered probe, against which older calls are held.
#[derive(Debug, Clone, Copy)]
struct Check {
    sent: Time,
    newest: i64,
    /// Whether another host sent it: then nothing follows for the probes of this one.
    heard: bool,
}

/// How this host follows the store.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which everything is known.
    at: i64,
    /// Pages of a whole read; `None` while changes are watched.
    pages: Option<Pages>,
    /// The page or the watch in hand; none in a pause.
    asked: Option<Asked>,
    /// Number of the last page or watch.
    last: u64,
    /// Number of the last call, probes included.
    number: u64,
    /// Probes without an answer, by number, and when they were sent.
    probes: BTreeMap<u64, Time>,
    check: Option<Check>,
    /// The last answered probe, of this host or of another one.
    answered: Option<Check>,
    /// Whether it is this host's own, and the others were not told.
    news: bool,
    /// Pages and watches given up in a row.
    losses: u32,
    /// Pages and watches that failed in a row.
    fails: u32,
    /// Whether the store itself turned the last one away.
    refused: bool,
    /// Latest moment as of which all that the store held was known here.
    current: Option<Time>,
    started: Time,
    /// Whether the store was last said to be up, and how old the view was then.
    said: Option<(bool, Option<Time>)>,
}

impl View {
    /// Returns the latest moment as of which all that the store held was known here.
    #[must_use]
    pub fn current(&self) -> Option<Time> {
        self.current
    }

    /// Returns the number of the page or the watch in hand.
    #[cfg(test)]
    pub(super) fn asked_number(&self) -> Option<u64> {
        self.asked.map(|asked| asked.number)
    }

    /// Tells whether what is not known here does not exist, but for the last moments.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.current.is_some_and(|at| now.since(at) <= STALE)
    }

    /// Takes in that all that the store held at a moment is known.
    pub(super) fn confirm(&mut self, at: Time) {
        self.current = self.current.max(Some(at));
    }

    /// Returns what this host's own last answered probe showed, to tell the other hosts.
    pub(super) fn newest(&mut self, now: Time) -> Option<NewestWord> {
        self.news = false;
        let own = self.answered.filter(|check| !check.heard)?;
        Some(NewestWord {
            revision: own.newest,
            age: now.since(own.sent),
        })
    }

    /// Tells whether the other hosts were not told of it yet.
    pub(super) fn has_news(&self) -> bool {
        self.news
    }

    /// Takes in an answered probe.
    fn learn(&mut self, check: Check) {
        if self.pages.is_none() && check.newest <= self.at {
            self.confirm(check.sent);
        }
        if self.answered.is_none_or(|last| last.sent < check.sent) {
            self.answered = Some(check);
            self.news = !check.heard;
        }
    }

    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Forgets what was read or watched: every key is read next.
    fn begin_anew(&mut self) {
        self.pages = Some(Pages::default());
    }

    fn probe(&mut self, now: Time) -> u64 {
        let number = self.next();
        self.probes.insert(number, now);
        if self.probes.len() > PROBES {
            self.probes.pop_first();
        }
        number
    }

    /// Tells whether the page or watch in hand should have brought something by now, since the
    /// store answered a probe that was sent after it.
    fn owes(&self, check: Check) -> bool {
        let older = self.asked.is_some_and(|asked| asked.sent < check.sent);
        older && (self.pages.is_some() || check.newest > self.at)
    }

    /// Tells whether a probe was lost that was sent before an answered one.
    fn lost_probe(&self, check: Check) -> bool {
        let first = self.probes.first_key_value();
        !check.heard && first.is_some_and(|(_, sent)| *sent < check.sent)
    }
}

/// Begins to follow the store.
pub fn start(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    view.started = core.now;
    view.begin_anew();
    ask(core, out);
    wake_probe(core, out);
}

fn wake_probe(core: &mut Core, out: &mut Effects) {
    let after = core.rng.random_range(EVERY.0..EVERY.1);
    wake(core, after, RelayTimer::Probe, out);
}

/// Asks for the next page, or for changes.
fn ask(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let number = view.next();
    view.last = number;
    view.asked = Some(Asked {
        number,
        sent: core.now,
    });
    let ask = match &view.pages {
        Some(pages) => Ask::Page {
            after: pages.after.clone(),
        },
        None => Ask::Watch {
            after: view.at,
            wait: WAIT,
        },
    };
    out.push(Effect::Relay(RelayEffect::Ask { number, ask }));
}

/// Goes on after the pause that followed call `last`, unless that was cut short.
pub fn follow(core: &mut Core, last: u64, out: &mut Effects) {
    let view = &core.relay.view;
    if view.asked.is_none() && view.last == last {
        ask(core, out);
    }
}

fn pause(core: &Core, time: Duration, out: &mut Effects) {
    wake(core, time, RelayTimer::Follow(core.relay.view.last), out);
}

/// Returns the pause between two watches for so many hosts.
pub(super) fn spread(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    PAUSE.saturating_mul(hosts).clamp(PAUSES.0, PAUSES.1)
}

/// Takes in an answer of the store, or that there is none.
pub fn answered(core: &mut Core, number: u64, answer: StoreAnswer, out: &mut Effects) {
    let view = &mut core.relay.view;
    if let Some(sent) = view.probes.remove(&number) {
        probed(core, Asked { number, sent }, &answer, out);
        return;
    }
    let Some(asked) = view.asked.take_if(|asked| asked.number == number) else {
        // It was given up.
        return;
    };
    match answer {
        StoreAnswer::Page { at, changes, after } => page(core, asked, at, changes, after, out),
        StoreAnswer::Changes { at, changes } => watched(core, asked, at, changes, out),
        StoreAnswer::Compacted => {
            view.begin_anew();
            retry(core, out);
        }
        StoreAnswer::Failed { refused } => {
            view.begin_anew();
            view.refused = refused;
            retry(core, out);
        }
        // Only probes ask for it.
        StoreAnswer::Newest(_) => {}
    }
}

/// Asks again after a while.
fn retry(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let most = RETRY_LEAST.saturating_mul(1 << view.fails.min(8));
    view.fails += 1;
    let time = most
        .min(RETRY_MOST)
        .mul_f64(core.rng.random_range(0.3..1.0));
    pause(core, time, out);
}

fn page(
    core: &mut Core,
    asked: Asked,
    at: i64,
    changes: Changes,
    after: Option<Box<str>>,
    out: &mut Effects,
) {
    let view = &mut core.relay.view;
    let mut pages = view.pages.take().unwrap_or_default();
    let (first, since) = *pages.first.get_or_insert((at, asked.sent));
    pages.changes.extend(changes);
    if after.is_some() {
        pages.after = after;
        view.pages = Some(pages);
        ask(core, out);
        return;
    }
    view.fails = 0;
    view.losses = 0;
    view.at = first;
    view.confirm(since);
    pages.changes.whole = true;
    super::changed(core, pages.changes, out);
    judge(core, out);
    ask(core, out);
}

fn watched(core: &mut Core, asked: Asked, at: i64, changes: Changes, out: &mut Effects) {
    let hosts = core.relay.peers.hosts();
    let view = &mut core.relay.view;
    view.losses = 0;
    view.confirm(asked.sent);
    let news = at > view.at;
    view.at = view.at.max(at);
    super::changed(core, changes, out);
    if news {
        pause(core, spread(hosts), out);
    } else {
        ask(core, out);
    }
}

/// Asks for the store's newest revision, unless a host near by just did, and says whether the store
/// is up.
///
/// One answered probe serves a whole failure domain: at 90 hosts, probes of each would cost half as
/// much as all other calls together.
pub fn probe(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let last = view.answered.map(|check| core.now.since(check.sent));
    let near = words::heard_near(core) + 1;
    if let Some(ago) = last.filter(|ago| *ago < EVERY.0) {
        let after = core.rng.random_range(EVERY.0..EVERY.1);
        wake(core, after.saturating_sub(ago), RelayTimer::Probe, out);
    } else if core.rng.random::<f64>() * f64::from(near) >= TURNS {
        wake_probe(core, out);
    } else {
        let view = &mut core.relay.view;
        let number = view.probe(core.now);
        let ask = Ask::Probe;
        out.push(Effect::Relay(RelayEffect::Ask { number, ask }));
        wake_probe(core, out);
    }
    judge(core, out);
}

/// Takes in what a probe of another host of this failure domain showed.
pub fn told(core: &mut Core, newest: NewestWord, out: &mut Effects) {
    let check = Check {
        sent: core.now.before(newest.age),
        newest: newest.revision,
        heard: true,
    };
    let view = &mut core.relay.view;
    if view.answered.is_some_and(|last| last.sent >= check.sent) {
        return;
    }
    view.learn(check);
    let spread = core.rng.random_range(Duration::ZERO..SPREAD);
    doubt(core, check, spread, out);
    judge(core, out);
}

fn probed(core: &mut Core, probe: Asked, answer: &StoreAnswer, out: &mut Effects) {
    let view = &mut core.relay.view;
    let newest = match answer {
        StoreAnswer::Newest(newest) => *newest,
        // Nothing was lost: the store answers, or no call reaches it.
        StoreAnswer::Failed { refused: true } => return,
        _ => {
            view.probes.insert(probe.number, probe.sent);
            return;
        }
    };
    let check = Check {
        sent: probe.sent,
        newest,
        heard: false,
    };
    view.learn(check);
    if view.fails > 0 && view.asked.is_none() && !view.refused {
        // The store answers again: the rest of the pause is saved.
        ask(core, out);
    } else {
        let took = core.now.since(probe.sent);
        doubt(core, check, took * 2, out);
    }
    judge(core, out);
}

/// Looks whether older calls were lost, where a probe raises the doubt, so long after their grace.
fn doubt(core: &mut Core, check: Check, more: Duration, out: &mut Effects) {
    let view = &mut core.relay.view;
    let doubt = view.lost_probe(check) || view.owes(check);
    if doubt && view.check.is_none() {
        view.check = Some(check);
        let grace = GRACE.saturating_mul(1 << view.losses);
        wake(core, grace + more, RelayTimer::Overdue, out);
    }
}

/// Gives the page or the watch in hand up if it still owes what a later probe showed, or if a probe
/// beside it was lost: then the store was silent, and it may wait on a connection that stays so.
pub fn overdue(core: &mut Core, out: &mut Effects) {
    let view = &mut core.relay.view;
    let Some(check) = view.check.take() else {
        return;
    };
    let silent = view.lost_probe(check);
    if silent {
        view.probes.retain(|_, sent| *sent >= check.sent);
    }
    let Some(asked) = view.asked.filter(|asked| asked.sent < check.sent) else {
        return;
    };
    if !silent && !view.owes(check) {
        return;
    }
    let call = if view.pages.is_some() {
        "range"
    } else {
        "watch"
    };
    let fields = vec![
        ("call", call.into()),
        ("after_ms", text(core.now.since(asked.sent))),
        ("at", view.at.to_string().into()),
        ("newest", check.newest.to_string().into()),
    ];
    view.losses = (view.losses + 1).min(LOSSES);
    view.begin_anew();
    note(out, log::Level::Warn, "store.call_lost", fields);
    out.push(Effect::Relay(RelayEffect::Unask(asked.number)));
    ask(core, out);
}

/// Says when the store is taken for away, and when it is back.
fn judge(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let view = &mut core.relay.view;
    let up = view.is_fresh(now);
    let before = view.said.map(|(up, _)| up);
    if before == Some(up) || (!up && now.since(view.started) <= STALE) {
        return;
    }
    // When it is back: how long this host had to act on what it knew before.
    let heard = match (up, view.said) {
        (true, Some((_, heard))) => heard,
        _ => view.current,
    };
    view.said = Some((up, view.current));
    let heard = heard.map_or_else(|| "never".into(), |heard| text(now.since(heard)));
    let (level, name) = if up {
        (log::Level::Info, "store.up")
    } else {
        (log::Level::Warn, "store.down")
    };
    note(out, level, name, vec![("heard_ms", heard)]);
}

fn text(span: Duration) -> Box<str> {
    span.as_millis().to_string().into()
}
