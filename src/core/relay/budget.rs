//! The budget of repeats, one for all hosts together.
//!
//! Repeats during trouble add load where there is least room. All hosts together may add a part of
//! the requests of a service, and a few more. Each host takes its own part: the ratio of the
//! requests it took in itself, and its share of the few by the number of hosts. Parts of the ratio
//! add up by themselves; the share of the few is cut by a margin, so that a host that counts too
//! few others, or that starts anew with an empty window, does not break the sum.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::time::Time;

/// Part of the budget that is used: the rest covers hosts that were replaced within a window and
/// arrivals that a server counts a moment later than they were sent.
const USABLE_FRACTION: f64 = 0.7;

/// Rules of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRules {
    /// Repeats for each request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Duration,
    /// Repeats beyond the ratio, for all hosts together.
    pub slack: f64,
}

/// One host's part of a service's budget.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.requests.push_back(now);
    }

    /// Returns how many requests came within a span.
    #[must_use]
    pub fn requests_within(&self, now: Time, span: Duration) -> usize {
        let recent = self.requests.iter().rev();
        recent.take_while(|at| now.since(**at) <= span).count()
    }

    /// Tells whether one more repeat may be sent, and counts it if so.
    pub fn try_spend(&mut self, now: Time, rules: &BudgetRules, hosts: usize) -> bool {
        let old = |times: &mut VecDeque<Time>| {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > rules.window)
            {
                times.pop_front();
            }
        };
        old(&mut self.requests);
        old(&mut self.retries);
        let share = rules.slack / hosts.max(1) as f64;
        let most = (rules.ratio * self.requests.len() as f64 + share) * USABLE_FRACTION;
        let may = ((self.retries.len() + 1) as f64) <= most;
        if may {
            self.retries.push_back(now);
        }
        may
    }
}
