//! Which host sums up for this one in a large failure domain.
//!
//! Hosts are ordered by name, and form a tree of few children each, as a heap does. Each reports to its
//! parent there, or where that does not answer to another host before it. One that does not answer is
//! suspected for a while and then asked again, so that hosts which cannot reach each other still learn of
//! each other's work through a third. Who reports to whom always leads to an earlier name: no circle
//! can come about.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::time::Time;

/// Time within which an aggregator answers: several times its gossip interval.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two questions to a host that is preferred to the one that answers.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// First time for which a host that did not answer is not asked; doubled each time.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Doublings of that time, at most: to 16 s.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;
/// Time after which an old suspicion no longer counts.
const BACKOFF_RESET: Duration = Duration::from_secs(30);

/// Hosts that report to one while all answer.
const MAX_CHILDREN: usize = 8;

/// Returns the hosts before one by name in the order in which it should report to them: its parent and
/// the parents of that, then the others.
///
/// `before` holds all of them in the order of their names.
#[must_use]
pub fn preferred_order(before: &[Box<str>]) -> Vec<Box<str>> {
    let mut line = Vec::new();
    let mut at = before.len();
    while at > 0 {
        at = (at - 1) / MAX_CHILDREN;
        line.push(at);
    }
    let others = (0..before.len()).filter(|at| !line.contains(at));
    let order = line.iter().copied().chain(others);
    order.map(|at| before[at].clone()).collect()
}

/// A host that did not answer.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Time,
    failures: u32,
}

impl Suspicion {
    fn is_active(&self, now: Time) -> bool {
        let time =
            SUSPICION_TIMEOUT.saturating_mul(1 << (self.failures - 1).min(MAX_SUSPICION_DOUBLINGS));
        now.since(self.since) < time
    }
}

/// What changed about the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatorChange {
    /// The one before, if any.
    pub previous: Option<Box<str>>,
    /// The one now; none where this host sums up itself.
    pub current: Option<Box<str>>,
}

/// The host that sums up for this one, and those that were asked to.
#[derive(Debug, Default)]
pub struct Aggregator {
    current: Option<Box<str>>,
    /// Hosts that may sum up for this one, the preferred first.
    candidates: Vec<Box<str>>,
    /// Since when the current one has not answered a report.
    awaiting_since: Option<Time>,
    /// Hosts that were asked and did not answer yet.
    pending: BTreeMap<Box<str>, Time>,
    suspected: BTreeMap<Box<str>, Suspicion>,
    /// Hosts asked at once while none answers; doubled each time.
    fanout: usize,
    /// When a host that is preferred to the current one was last asked.
    last_retry: Time,
    /// When this was last looked at.
    last_poll: Time,
}

impl Aggregator {
    /// Returns the host that sums up for this one.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Tells whether no host before this one answers, as far as is known.
    #[must_use]
    pub fn is_root(&self) -> bool {
        self.current.is_none() && self.pending.is_empty()
    }

    /// Looks at the hosts that may sum up, the preferred first: returns which to ask now, and whether
    /// the aggregator was lost.
    pub fn poll(
        &mut self,
        order: Vec<Box<str>>,
        now: Time,
    ) -> (Vec<Box<str>>, Option<AggregatorChange>) {
        if now.since(self.last_poll) > REPLY_TIMEOUT {
            // This host stood still: it is not the others that did not answer.
            self.awaiting_since = self.awaiting_since.map(|_| now);
            self.pending.values_mut().for_each(|at| *at = now);
        }
        self.last_poll = now;
        self.candidates = order;
        let order = &self.candidates;
        self.pending.retain(|name, _| order.contains(name));
        self.suspected.retain(|name, suspicion| {
            order.contains(name) && now.since(suspicion.since) < BACKOFF_RESET
        });
        self.suspect_unresponsive(now);
        let lost = self.drop_lost(now);
        let asked = self.hosts_to_query(now);
        self.pending
            .extend(asked.iter().map(|name| (name.clone(), now)));
        (asked, lost)
    }

    fn suspect_unresponsive(&mut self, now: Time) {
        let late: Vec<Box<str>> = self
            .pending
            .iter()
            .filter(|(_, at)| now.since(**at) > REPLY_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
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

    /// Gives the aggregator up if it is gone or does not answer.
    fn drop_lost(&mut self, now: Time) -> Option<AggregatorChange> {
        let current = self.current.as_ref()?;
        let silent = self
            .awaiting_since
            .is_some_and(|at| now.since(at) > REPLY_TIMEOUT);
        if self.candidates.contains(current) && !silent {
            return None;
        }
        let before = self.current.take()?;
        self.awaiting_since = None;
        self.fanout = 1;
        if silent {
            self.suspect(before.clone(), now);
        }
        Some(AggregatorChange {
            previous: Some(before),
            current: None,
        })
    }

    /// Returns the hosts to ask: the first that is not suspected, and more each time none answered.
    fn hosts_to_query(&mut self, now: Time) -> Vec<Box<str>> {
        let is_suspected = |name: &str| {
            self.suspected
                .get(name)
                .is_some_and(|suspicion| suspicion.is_active(now))
        };
        let better = self.candidates.iter().take(self.rank());
        let free = better.filter(|name| !is_suspected(name) && !self.pending.contains_key(*name));
        if self.current.is_some() {
            if now.since(self.last_retry) < RETRY_INTERVAL {
                return Vec::new();
            }
            let first: Vec<Box<str>> = free.take(1).cloned().collect();
            self.last_retry = now;
            return first;
        }
        if !self.pending.is_empty() {
            return Vec::new();
        }
        let width = self.fanout.max(1);
        let hosts = free.take(width).cloned().collect();
        self.fanout = width.saturating_mul(2);
        hosts
    }

    /// Returns how many hosts are preferred to the one that sums up now.
    fn rank(&self) -> usize {
        let current = self.current.as_ref();
        let rank =
            current.and_then(|current| self.candidates.iter().position(|host| host == current));
        rank.unwrap_or(self.candidates.len())
    }

    /// Notes that a report was sent to the aggregator, which it answers.
    pub fn report_sent(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Takes in that a host answered; returns what changed if it sums up for this one from now on.
    pub fn answer_received(&mut self, name: &str) -> Option<AggregatorChange> {
        let asked = self.pending.remove(name).is_some();
        if self.current() == Some(name) {
            self.awaiting_since = None;
            return None;
        }
        let rank = self.candidates.iter().position(|host| **host == *name);
        if !asked || rank.is_none_or(|rank| rank > self.rank()) {
            return None;
        }
        self.awaiting_since = None;
        self.fanout = 1;
        Some(AggregatorChange {
            previous: self.current.replace(name.into()),
            current: Some(name.into()),
        })
    }

    /// Forgets everything, for a host whose failure domain needs no aggregator.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
