//! The retry budget of a service, shared by all hosts.
//!
//! During failures, retries add load where capacity is lowest. All hosts together may retry a ratio
//! of a service's requests, plus a fixed number (the slack). Each host uses the ratio of the
//! requests that it received itself, and the slack divided by the number of hosts. The ratios add
//! up to the total by themselves. A safety margin keeps the total within the budget although a host
//! may count too few others, or restart with an empty window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::time::Time;

/// Fraction of the budget that is used: the rest covers hosts that were replaced within a window,
/// and requests that a server counts a moment after they were sent.
const USABLE_FRACTION: f64 = 0.7;

/// Fraction of the budget that recalls of prefills may take, so that failures keep their share.
const RECALL_FRACTION: f64 = 0.25;

/// Rules of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRules {
    /// Retries for each request.
    pub ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Retries beyond the ratio, for all hosts together.
    pub slack: f64,
}

/// One host's share of a service's retry budget.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// Retries that will follow those that were sent.
    reserved: usize,
    /// Retries that followed recalls of prefills, also those that are only reserved.
    recalls: VecDeque<Time>,
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.requests.push_back(now);
    }

    /// Withdraws the newest request: the host that it is forwarded to records it.
    pub fn withdraw_request(&mut self) {
        self.requests.pop_back();
    }

    /// Returns how many requests arrived within a span.
    #[must_use]
    pub fn requests_within(&self, now: Time, span: Duration) -> usize {
        let recent = self.requests.iter().rev();
        recent.take_while(|at| now.since(**at) <= span).count()
    }

    /// Counts one more retry, and reserves as many as will follow it, if the budget allows them all; returns whether it does.
    pub fn try_spend(
        &mut self,
        now: Time,
        rules: &BudgetRules,
        hosts: usize,
        follow: usize,
    ) -> bool {
        let allowed = self.allows(now, rules, hosts, 1 + follow);
        if allowed {
            self.retries.push_back(now);
            self.reserved += follow;
        }
        allowed
    }

    /// Returns whether the part of the budget for recalls allows this many more retries.
    pub fn allows_recall(
        &mut self,
        now: Time,
        rules: &BudgetRules,
        hosts: usize,
        sends: usize,
    ) -> bool {
        let max = self.limit(now, rules, hosts) * RECALL_FRACTION;
        (self.recalls.len() + sends) as f64 <= max
    }

    /// Records the retries of a recall, which are charged when they are sent.
    pub fn record_recall(&mut self, now: Time, sends: usize) {
        self.recalls.extend(std::iter::repeat_n(now, sends));
    }

    /// Counts a retry that was reserved.
    pub fn spend_reserved(&mut self, now: Time) {
        self.release();
        self.retries.push_back(now);
    }

    /// Releases a retry that was reserved and is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns whether the budget allows this many more retries.
    pub fn allows(&mut self, now: Time, rules: &BudgetRules, hosts: usize, sends: usize) -> bool {
        let max = self.limit(now, rules, hosts);
        ((self.used() + sends) as f64) <= max
    }

    /// Returns how many retries were sent within the window that ended when the limit was last asked, or are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.retries.len() + self.reserved
    }

    /// Returns how many retries this host may send within the window that ends now.
    pub fn limit(&mut self, now: Time, rules: &BudgetRules, hosts: usize) -> f64 {
        let drop_expired = |times: &mut VecDeque<Time>| {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > rules.window)
            {
                times.pop_front();
            }
        };
        drop_expired(&mut self.requests);
        drop_expired(&mut self.retries);
        drop_expired(&mut self.recalls);
        let share = rules.slack / hosts.max(1) as f64;
        (rules.ratio * self.requests.len() as f64 + share) * USABLE_FRACTION
    }
}
