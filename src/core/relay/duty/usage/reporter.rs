//! Settles the counts of each window in the store, then reports them.
//!
//! The platform accepts one report for a window. A holder may be replaced at any moment, and a call without an answer
//! may be carried out seconds later, so the counts are written to the store under a condition before the first call.
//! Whoever holds the duty afterwards repeats exactly what the store has. Windows are reported in order: the key of the
//! store holds the last settled window, and the next one is settled only after the platform accepted that.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::super::{Counts, DutyResult};
use crate::core::time::Time;
use crate::store::{Compare, Op, Txn};

/// Store key of the last settled window.
pub const KEY: &str = "usage";
/// Pause after a call that was not accepted.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a write without an answer may be made again; its condition keeps it from taking effect twice.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Settled windows that are kept in memory, for a store that was restored from an older copy.
const MAX_SETTLED: usize = 16;
/// Fencing numbers under which the platform may refuse the same report before it counts as not acceptable.
const MAX_CONFLICTS: u32 = 3;

/// The next step of the duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing can be done now.
    Wait,
    /// The counts of this window are to be settled, once they are complete.
    Settle(u64),
    /// The settled counts of this window are to be reported.
    Report(u64, Counts),
}

/// A write of settled counts that awaits its answer.
#[derive(Debug, Clone)]
struct Settlement {
    number: u64,
    window: u64,
    counts: Counts,
    asked: Time,
}

/// State of the reports at a host.
#[derive(Debug, Clone, Default)]
pub struct Reporter {
    /// Settled counts by window.
    settled: BTreeMap<u64, Counts>,
    /// Revision of the key in the store; 0 if it does not exist.
    revision: i64,
    /// Last window that the platform accepted from this host.
    accepted: Option<u64>,
    settling: Option<Settlement>,
    /// Number of the last write.
    writes: u64,
    /// The open call, by number.
    call: Option<u64>,
    /// No call is made before this time.
    retry_at: Time,
    /// The last fencing number under which the last settled window was refused, and how many there were.
    conflicts: (u64, u32),
}

impl Reporter {
    /// Returns the last settled window.
    #[must_use]
    pub fn last_settled(&self) -> Option<u64> {
        self.settled.last_key_value().map(|(window, _)| *window)
    }

    /// Returns the last window that the platform accepted from this host.
    #[must_use]
    pub fn last_accepted(&self) -> Option<u64> {
        self.accepted
    }

    /// Returns the next step; `first` is the first window with counts, and `ended` the last one that has ended.
    #[must_use]
    pub fn next(&self, first: Option<u64>, ended: u64, backlog: u64, now: Time) -> Step {
        if self.call.is_some() || now < self.retry_at {
            return Step::Wait;
        }
        let last = self.settled.last_key_value();
        if let Some((window, counts)) = last
            && self.accepted != Some(*window)
        {
            return Step::Report(*window, counts.clone());
        }
        let is_open = self
            .settling
            .as_ref()
            .is_some_and(|write| now.since(write.asked) < SETTLE_TIMEOUT);
        let next = match last {
            Some((window, _)) if window + backlog >= ended => Some(window + 1),
            // No host ran for a long time.
            Some(_) => first.or(Some(ended)),
            None => first,
        };
        match next {
            Some(next) if next <= ended && !is_open => Step::Settle(next),
            _ => Step::Wait,
        }
    }

    /// Returns the write that settles the counts of a window while the key of the authority has this revision, and the
    /// number of the write.
    pub fn settle(
        &mut self,
        window: u64,
        counts: Counts,
        authority: (&str, i64),
        now: Time,
    ) -> (u64, Txn) {
        self.writes += 1;
        let value = encode(window, &counts);
        self.settling = Some(Settlement {
            number: self.writes,
            window,
            counts,
            asked: now,
        });
        let (key, revision) = authority;
        let own = match self.revision {
            0 => Compare::Absent { key: KEY.into() },
            revision => Compare::Modified {
                key: KEY.into(),
                revision,
            },
        };
        let txn = Txn {
            compare: vec![
                Compare::Modified {
                    key: key.into(),
                    revision,
                },
                own,
            ],
            then: vec![Op::Put {
                key: KEY.into(),
                value: value.into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        };
        (self.writes, txn)
    }

    /// Handles the result of a write: the new revision of the key, or `None` if a condition did not hold.
    pub fn settle_answered(&mut self, number: u64, revision: Option<i64>) {
        // The counts of an earlier write may differ; the store's key shows whether that took effect.
        let write = self.settling.take_if(|write| write.number == number);
        if let (Some(write), Some(revision)) = (write, revision) {
            self.revision = revision;
            self.insert(write.window, write.counts);
        }
    }

    /// Handles the key as the store has it; `None` if it does not exist.
    pub fn stored(&mut self, value: Option<(&[u8], i64)>) {
        let Some((value, revision)) = value else {
            self.revision = 0;
            return;
        };
        if revision != self.revision {
            // Whatever was being written depended on the earlier revision.
            self.settling = None;
        }
        self.revision = revision;
        if let Some((window, counts)) = decode(value) {
            self.insert(window, counts);
        }
    }

    fn insert(&mut self, window: u64, counts: Counts) {
        // The first settlement that was seen of a window may have been reported.
        self.settled.entry(window).or_insert(counts);
        while self.settled.len() > MAX_SETTLED {
            self.settled.pop_first();
        }
    }

    /// Records that a report was sent with this number.
    pub fn report_sent(&mut self, number: u64) {
        self.call = Some(number);
    }

    /// Handles the platform's answer to a report. Returns whether the fencing number must not be used again.
    pub fn report_answered(
        &mut self,
        number: u64,
        window: u64,
        fence: u64,
        result: DutyResult,
        now: Time,
    ) -> bool {
        if self.call.take_if(|open| *open == number).is_none() {
            return false;
        }
        match result {
            DutyResult::Accepted => {
                self.accepted = Some(window);
                self.conflicts = (0, 0);
                return false;
            }
            DutyResult::Conflict if self.conflicts.0 != fence => {
                self.conflicts = (fence, self.conflicts.1 + 1);
                if self.conflicts.1 >= MAX_CONFLICTS {
                    self.accepted = Some(window);
                    self.conflicts = (0, 0);
                    return false;
                }
            }
            _ => {}
        }
        self.retry_at = now.after(RETRY_INTERVAL);
        result == DutyResult::Conflict
    }
}

fn encode(window: u64, counts: &Counts) -> Vec<u8> {
    json!({ "window": window, "counts": counts })
        .to_string()
        .into_bytes()
}

fn decode(value: &[u8]) -> Option<(u64, Counts)> {
    let value: Value = serde_json::from_slice(value).ok()?;
    let counts = value["counts"].as_object()?;
    let counts = counts
        .iter()
        .map(|(customer, count)| Some((customer.as_str().into(), count.as_u64()?)));
    Some((value["window"].as_u64()?, counts.collect::<Option<_>>()?))
}
