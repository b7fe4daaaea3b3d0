//! Whether crashes under a part show that it is bad, and not that servers end for reasons of their own.
//!
//! From the third crashed server on, one request with the part is tried at a time. That such a request breaks off by chance
//! is about as likely as for the other requests of the time. The part is bad if it is too unlikely that all tried ones
//! did, and none was answered.

use std::collections::BTreeSet;

use super::cover::{EVENT_GAP, MIN_ANSWERED_PER_BROKEN, SERVERS_TO_TRY};
use super::{PartCrash, PartRecord, Parts};
use crate::core::relay::departed::ServerStart;
use crate::core::time::Time;

/// Probability up to which it is no chance that all tried requests broke off.
const MAX_CHANCE: f64 = 0.001;
/// Requests that must have ended here during the trials to estimate how many break off by chance.
const MIN_ENDED: u64 = 8;
/// Share of requests that break off by chance, without other evidence.
const PRIOR_BROKEN: f64 = 0.1;
/// Events from which on a part is bad if too few requests ended here.
const EVENTS_WITHOUT_TALLY: usize = 5;

/// Whether the crashes under a part, in their order, show that it is bad.
///
/// `crashed_elsewhere` returns whether servers crashed in a time without a request with the part.
pub(super) fn is_certain(
    crashes: &[&PartCrash],
    events: usize,
    crashed_elsewhere: impl Fn(Time, Time) -> bool,
) -> bool {
    let Some(third) = crashes.get(SERVERS_TO_TRY - 1) else {
        return false;
    };
    let mut trials = Vec::new();
    let mut before = third.at;
    for crash in &crashes[SERVERS_TO_TRY..] {
        if crash.at.since(before) >= EVENT_GAP {
            trials.push(*crash);
        }
        before = crash.at;
    }
    let (Some(begin), Some(last)) = (trials.first(), trials.last()) else {
        return false;
    };
    let answered = last.tally.answered.saturating_sub(begin.tally.answered);
    let broken = last.tally.broken.saturating_sub(begin.tally.broken);
    let unbegun = last.tally.unbegun.saturating_sub(begin.tally.unbegun);
    let ended = answered + broken;
    if ended < MIN_ENDED {
        return events >= EVENTS_WITHOUT_TALLY
            && answered >= broken * MIN_ANSWERED_PER_BROKEN
            && !crashed_elsewhere(third.at, last.at);
    }
    // A bad part mostly crashes its server before the first event: then only requests that ended so compare.
    let alike = if trials.iter().any(|crash| crash.began) {
        broken
    } else {
        unbegun
    };
    let share = (alike as f64 + PRIOR_BROKEN) / (ended as f64 + 1.0);
    let tried = i32::try_from(trials.len()).unwrap_or(i32::MAX);
    share.powi(tried) <= MAX_CHANCE
}

impl Parts {
    /// Whether servers crashed in a time under neither a part nor those that are refused.
    pub(super) fn crashed_elsewhere(
        &self,
        record: &PartRecord,
        refused: &BTreeSet<ServerStart>,
        from: Time,
        to: Time,
    ) -> bool {
        self.crashed.iter().any(|(server, at)| {
            let is_explained = record.crashes.contains_key(server) || refused.contains(server);
            *at > from && *at <= to && !is_explained
        })
    }
}
