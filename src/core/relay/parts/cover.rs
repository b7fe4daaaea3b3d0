//! Which parts are blamed for the crashes: the fewest that explain them.
//!
//! The part with the most crashes since its last whole answer explains these, and the others count only for what is left.
//! Parts that were answered whole shortly before come last. Of equal ones, that is blamed under which more answers had not
//! begun, then the deeper one, which fewer requests share. A wrong choice ends with a whole answer to a
//! request with that part, or with the next crash under the right one.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::note;
use super::{BLOCK_DURATION, PartCrash, Parts, Tally, evidence, part_text, stored};
use crate::core::relay::departed::ServerStart;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Crashed servers from which on requests with a part are tried one at a time.
pub(super) const SERVERS_TO_TRY: usize = 3;
/// The same while servers crash again and again and nothing is answered.
const UNCONFIRMED_SERVERS_TO_TRY: usize = 2;
/// Crashed servers from which on requests with a part are refused.
const SERVERS_TO_BLOCK: usize = 4;
/// Events from which on any request may be the cause, while nothing is answered.
const MIN_UNCONFIRMED_EVENTS: usize = 2;
/// Requests answered for each one that broke off, from which on servers count as sound in between.
pub(super) const MIN_ANSWERED_PER_BROKEN: u64 = 2;
/// Requests answered after the last crash from which on the servers count as sound since.
const ANSWERED_TO_TRUST: u64 = 5;
/// Time without a crash between two events: servers may end together, or in turn, for a reason of their own.
pub(super) const EVENT_GAP: Duration = Duration::from_secs(1);
/// Time within which crashes count as one: whole answers clear sound parts by then.
const CLEARING_TIME: Duration = Duration::from_millis(500);
/// Time for which a part that was answered whole here is blamed after others only.
const SOUND_TIME: Duration = Duration::from_mins(1);
/// Interval at which blame is computed anew while nothing changes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// A part that is blamed for crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blame {
    /// Servers that count.
    pub servers: usize,
    /// Events among their crashes.
    pub events: usize,
    /// When the last of them crashed.
    pub last: Time,
    /// Since when this host blames it, without a further crash.
    pub since: Time,
    /// Short hashes of the customers whose requests they ran.
    pub customers: BTreeSet<u32>,
    /// Whether other requests were answered between the crashes.
    pub has_contrast: bool,
    /// Whether others were answered since the last crash.
    pub is_over: bool,
    /// Whether requests with it are refused; they are tried one at a time otherwise.
    pub is_refused: bool,
}

impl Blame {
    /// Whether servers crash again and again and nothing is answered: any request may be the cause.
    fn is_unconfirmed(&self) -> bool {
        !self.has_contrast && !self.is_over && self.events >= MIN_UNCONFIRMED_EVENTS
    }

    /// Whether it concerns requests of a customer: not if all crashes were under requests of another one.
    pub fn concerns(&self, customer: u32) -> bool {
        self.customers.len() > 1 || self.customers.contains(&customer)
    }
}

/// Crashed servers that parts explain.
#[derive(Debug, Default)]
struct Explained {
    /// By parts that are blamed.
    servers: BTreeSet<ServerStart>,
    /// By parts that are refused.
    refused: BTreeSet<ServerStart>,
}

/// Computes anew which parts are blamed, if anything changed or enough time has passed.
pub(super) fn update(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let parts = &mut core.relay.parts;
    let is_due = now.since(parts.computed_at) >= UPDATE_INTERVAL && !parts.records.is_empty();
    if !parts.is_dirty && !is_due {
        return;
    }
    parts.records.retain(|_, record| !record.is_outdated(now));
    parts.is_dirty = false;
    parts.computed_at = now;
    let mut blamed = compute(parts, now);
    for (part, blame) in &mut blamed {
        let old = parts.blamed.get(part);
        blame.since = match old.filter(|old| old.last == blame.last) {
            Some(old) => old.since,
            None => now,
        };
    }
    let before = std::mem::replace(&mut parts.blamed, blamed);
    let mut newly_refused = Vec::new();
    for (part, blame) in &parts.blamed {
        let old = before.get(part);
        if old.is_none_or(|old| old.is_refused != blame.is_refused) {
            log_blame(*part, blame, out);
            newly_refused.extend(blame.is_refused.then_some(*part));
        }
    }
    for part in before
        .keys()
        .filter(|part| !parts.blamed.contains_key(part))
    {
        let why = match parts.records.get(part) {
            Some(record) if !record.crashes.is_empty() => "explained",
            _ => "answered",
        };
        let fields = vec![("part", part_text(*part)), ("why", why.into())];
        note(out, log::Level::Info, "part.cleared", fields);
    }
    let gone: Vec<u64> = before.into_keys().collect();
    for part in newly_refused {
        stored::refused(core, part, out);
    }
    for part in gone {
        stored::maybe_cleared(core, part, out);
    }
}

fn log_blame(part: u64, blame: &Blame, out: &mut Effects) {
    let customers = blame.customers.iter().map(|hash| format!("{hash:08x}"));
    let customers: Vec<String> = customers.collect();
    let fields = vec![
        ("part", part_text(part)),
        (
            "state",
            if blame.is_refused { "refused" } else { "tried" }.into(),
        ),
        ("servers", blame.servers.to_string().into()),
        ("events", blame.events.to_string().into()),
        ("customers", customers.join(",").into()),
    ];
    note(out, log::Level::Warn, "part.blamed", fields);
}

fn compute(parts: &Parts, now: Time) -> std::collections::BTreeMap<u64, Blame> {
    let mut blamed = std::collections::BTreeMap::new();
    let mut explained = Explained::default();
    loop {
        let is_new = |part: &u64| {
            let sound = parts.sound.get(part);
            sound.is_none_or(|at| now.since(*at) >= SOUND_TIME)
        };
        let left = parts.records.iter().map(|(part, record)| {
            let left = record.crashes.iter();
            let left = left.filter(|(server, _)| !explained.servers.contains(server));
            let direct = left.clone().filter(|(_, crash)| !crash.began).count();
            (left.count(), direct, record.depth, *part)
        });
        let candidates: Vec<_> = left.collect();
        let best = candidates.iter();
        let best = best.filter(|(count, ..)| *count >= SERVERS_TO_TRY);
        let best = best.max_by_key(|candidate| (is_new(&candidate.3), **candidate));
        let Some((.., part)) = best else {
            return blamed;
        };
        let blame_of = |part: &u64, min| blame(parts, *part, &explained, min, now);
        let best = blame_of(part, SERVERS_TO_TRY);
        if best.as_ref().is_some_and(Blame::is_unconfirmed) {
            let others = candidates.iter().filter_map(|(.., other)| {
                Some((*other, blame_of(other, UNCONFIRMED_SERVERS_TO_TRY)?))
            });
            blamed.extend(others.filter(|(_, blame)| !blame.is_refused));
        }
        let crashes = &parts.records[part].crashes;
        explained.servers.extend(crashes.keys().copied());
        if best.as_ref().is_some_and(|best| best.is_refused) {
            explained.refused.extend(crashes.keys().copied());
        }
        blamed.extend(best.map(|best| (*part, best)));
    }
}

/// Returns how far a part is blamed for the crashes that no other explains; `None` if these do not suffice.
fn blame(
    parts: &Parts,
    part: u64,
    explained: &Explained,
    min_servers: usize,
    now: Time,
) -> Option<Blame> {
    let (record, tally) = (&parts.records[&part], parts.tally);
    let left = record.crashes.iter();
    let left = left.filter(|(server, _)| !explained.servers.contains(server));
    let mut crashes: Vec<&PartCrash> = left.map(|(_, crash)| crash).collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    let (servers, events, last_event) = count(&crashes, now);
    let (first, last) = (*crashes.first()?, *crashes.last()?);
    let has_contrast = record.is_stored || is_sound_between(first.tally, last_event?.tally);
    let answered = tally.answered.saturating_sub(last.tally.answered);
    let is_over = answered >= ANSWERED_TO_TRUST && is_sound_between(last.tally, tally);
    let elsewhere = |from, to| parts.crashed_elsewhere(record, &explained.refused, from, to);
    let is_certain = record.is_stored || evidence::is_certain(&crashes, events, elsewhere);
    let is_blocked = servers >= SERVERS_TO_BLOCK && is_certain;
    (servers >= min_servers).then(|| Blame {
        servers,
        events,
        last: last.at,
        since: now,
        customers: crashes
            .iter()
            .flat_map(|crash| crash.customers.iter().copied())
            .collect(),
        has_contrast,
        is_over,
        is_refused: is_blocked && now.since(last.at) < BLOCK_DURATION,
    })
}

/// Whether most requests that ended in between were answered: the servers were sound.
fn is_sound_between(first: Tally, last: Tally) -> bool {
    let answered = last.answered.saturating_sub(first.answered);
    let broken = last.broken.saturating_sub(first.broken);
    answered > 0 && answered >= broken * MIN_ANSWERED_PER_BROKEN
}

/// Returns the servers that count, by their crashes in order of time, the events among these, and the first crash of the last
/// event.
fn count<'a>(crashes: &[&'a PartCrash], now: Time) -> (usize, usize, Option<&'a PartCrash>) {
    let is_recent = |crash: &&&PartCrash| now.since(crash.at) < CLEARING_TIME;
    let recent = crashes.iter().filter(is_recent).count();
    let servers = crashes.len() - recent + recent.min(1);
    let (mut events, mut last_event) = (0, None);
    let mut before: Option<Time> = None;
    for crash in crashes {
        if before.is_none_or(|before| crash.at.since(before) >= EVENT_GAP) {
            events += 1;
            last_event = Some(*crash);
        }
        before = Some(crash.at);
    }
    (servers, events, last_event)
}
