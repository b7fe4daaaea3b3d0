//! Which host aggregates load reports for this one in a large failure domain.
//!
//! Hosts are ordered by name and form a tree with few children per node, laid out like a heap. Each
//! reports to its parent in that tree or, where the parent does not answer, to another host with an
//! earlier name. A host that does not answer is suspected for a while and then queried again, so that
//! hosts which cannot reach each other still receive each other's load through a third. A host reports
//! only to hosts with earlier names, so reports cannot form a cycle.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::time::Time;

/// Time within which an aggregator must answer: several times its gossip interval.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two queries to hosts that are preferred to the current aggregator.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a host that did not answer once is not queried; doubled with each further failure.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of doublings of [`SUSPICION_TIMEOUT`]: to 16 s.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;
/// Time without a further failure after which a suspicion and its count are dropped.
const BACKOFF_RESET: Duration = Duration::from_secs(30);

/// Children of a host in the tree: hosts that report to it while all hosts answer.
const MAX_CHILDREN: usize = 8;

/// Returns the possible aggregators of a host in order of preference: its parent and further ancestors
/// in the tree, then the others.
///
/// `before` holds the names of all hosts that sort before it, in order.
#[must_use]
pub fn preferred_order(before: &[Box<str>]) -> Vec<Box<str>> {
    let mut ancestors = Vec::new();
    let mut index = before.len();
    while index > 0 {
        index = (index - 1) / MAX_CHILDREN;
        ancestors.push(index);
    }
    let others = (0..before.len()).filter(|index| !ancestors.contains(index));
    let order = ancestors.iter().copied().chain(others);
    order.map(|index| before[index].clone()).collect()
}

/// Failures of a host to answer.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Time,
    failures: u32,
}

impl Suspicion {
    fn is_active(&self, now: Time) -> bool {
        let timeout =
            SUSPICION_TIMEOUT.saturating_mul(1 << (self.failures - 1).min(MAX_SUSPICION_DOUBLINGS));
        now.since(self.since) < timeout
    }
}

/// A change of the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatorChange {
    /// The previous one, if any.
    pub previous: Option<Box<str>>,
    /// The current one; `None` if this host has none.
    pub current: Option<Box<str>>,
}

/// The host that aggregates for this one, and those queried to do so.
#[derive(Debug, Default)]
pub struct Aggregator {
    current: Option<Box<str>>,
    /// Hosts that may aggregate for this one, most preferred first.
    candidates: Vec<Box<str>>,
    /// When the oldest report that the current one has not answered was sent.
    awaiting_since: Option<Time>,
    /// Hosts that were queried and have not answered yet, with the time of the query.
    pending: BTreeMap<Box<str>, Time>,
    suspected: BTreeMap<Box<str>, Suspicion>,
    /// Hosts queried at the same time while none answers; doubled each time.
    fanout: usize,
    /// When a host that is preferred to the current one was last queried.
    last_retry: Time,
    /// When [`Aggregator::poll`] last ran.
    last_poll: Time,
}

impl Aggregator {
    /// Returns the host that aggregates for this one.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Whether this host has no aggregator and no query for one is open.
    #[must_use]
    pub fn is_root(&self) -> bool {
        self.current.is_none() && self.pending.is_empty()
    }

    /// Updates the candidates, given most preferred first, and checks for time-outs. Returns the hosts to
    /// query now, and the change if the aggregator was lost.
    pub fn poll(
        &mut self,
        candidates: Vec<Box<str>>,
        now: Time,
    ) -> (Vec<Box<str>>, Option<AggregatorChange>) {
        if now.since(self.last_poll) > REPLY_TIMEOUT {
            // This host was paused and may have missed answers: restart all time-outs.
            self.awaiting_since = self.awaiting_since.map(|_| now);
            self.pending.values_mut().for_each(|at| *at = now);
        }
        self.last_poll = now;
        self.candidates = candidates;
        let candidates = &self.candidates;
        self.pending.retain(|name, _| candidates.contains(name));
        self.suspected.retain(|name, suspicion| {
            candidates.contains(name) && now.since(suspicion.since) < BACKOFF_RESET
        });
        self.suspect_unresponsive(now);
        let lost = self.drop_lost(now);
        let queried = self.hosts_to_query(now);
        self.pending
            .extend(queried.iter().map(|name| (name.clone(), now)));
        (queried, lost)
    }

    fn suspect_unresponsive(&mut self, now: Time) {
        let timed_out: Vec<Box<str>> = self
            .pending
            .iter()
            .filter(|(_, at)| now.since(**at) > REPLY_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in timed_out {
            self.pending.remove(&name);
            self.suspect(name, now);
        }
    }

    fn suspect(&mut self, name: Box<str>, now: Time) {
        let suspicion = self.suspected.entry(name).or_insert(Suspicion {
            since: now,
            failures: 0,
        });
        suspicion.since = now;
        suspicion.failures += 1;
    }

    /// Drops the aggregator if it is no longer a candidate or does not answer.
    fn drop_lost(&mut self, now: Time) -> Option<AggregatorChange> {
        let current = self.current.as_ref()?;
        let timed_out = self
            .awaiting_since
            .is_some_and(|at| now.since(at) > REPLY_TIMEOUT);
        if self.candidates.contains(current) && !timed_out {
            return None;
        }
        let previous = self.current.take()?;
        self.awaiting_since = None;
        self.fanout = 1;
        if timed_out {
            self.suspect(previous.clone(), now);
        }
        Some(AggregatorChange {
            previous: Some(previous),
            current: None,
        })
    }

    /// Returns the hosts to query. With an aggregator: the most preferred unsuspected host before it, once
    /// per [`RETRY_INTERVAL`]. Without one: the first unsuspected hosts, twice as many each time.
    fn hosts_to_query(&mut self, now: Time) -> Vec<Box<str>> {
        let is_suspected = |name: &str| {
            self.suspected
                .get(name)
                .is_some_and(|suspicion| suspicion.is_active(now))
        };
        let preferred = self.candidates.iter().take(self.rank());
        let eligible =
            preferred.filter(|name| !is_suspected(name) && !self.pending.contains_key(*name));
        if self.current.is_some() {
            if now.since(self.last_retry) < RETRY_INTERVAL {
                return Vec::new();
            }
            let first: Vec<Box<str>> = eligible.take(1).cloned().collect();
            self.last_retry = now;
            return first;
        }
        if !self.pending.is_empty() {
            return Vec::new();
        }
        let fanout = self.fanout.max(1);
        let hosts = eligible.take(fanout).cloned().collect();
        self.fanout = fanout.saturating_mul(2);
        hosts
    }

    /// Returns how many candidates are preferred to the current aggregator; all if there is none.
    fn rank(&self) -> usize {
        let current = self.current.as_ref();
        let rank =
            current.and_then(|current| self.candidates.iter().position(|host| host == current));
        rank.unwrap_or(self.candidates.len())
    }

    /// Records that a report was sent to the aggregator, which must answer it.
    pub fn report_sent(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records the answer of a host. Returns the change if that host becomes the aggregator: it was
    /// queried, and none before it in the order of preference is the aggregator.
    pub fn answer_received(&mut self, name: &str) -> Option<AggregatorChange> {
        let queried = self.pending.remove(name).is_some();
        if self.current() == Some(name) {
            self.awaiting_since = None;
            return None;
        }
        let rank = self.candidates.iter().position(|host| **host == *name);
        if !queried || rank.is_none_or(|rank| rank > self.rank()) {
            return None;
        }
        self.awaiting_since = None;
        self.fanout = 1;
        Some(AggregatorChange {
            previous: self.current.replace(name.into()),
            current: Some(name.into()),
        })
    }

    /// Clears all state, for a host whose failure domain needs no aggregator.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
