//! What came of a run.

use crate::trace::{Class, PLANS};

/// Wanted time to the first token in microseconds.
const FIRST_TOKEN_LIMIT_US: u64 = 780_000;
/// Of this many gaps between tokens, one may be longer than wanted.
const GAPS_PER_SLOW_GAP: u64 = 20;

/// Counts of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Requests, by class.
    pub requests: [u32; 2],
    /// Requests answered in time, by class.
    pub good: [u32; 2],
    /// Requests by plan.
    pub plan_requests: [u32; PLANS.len()],
    /// Requests answered in time by plan.
    pub plan_good: [u32; PLANS.len()],
    /// Requests answered, in time or late.
    pub answered: u32,
    /// Role changes made.
    pub role_changes: u32,
    /// Engine seconds during which an engine took no new work for a change.
    pub lost_secs: f64,
    /// Refusals.
    pub refusals: u32,
    /// Refusals that named a time to come back.
    pub with_retry_after: u32,
    /// Callers who came back when they were told to.
    pub returned: u32,
    /// Those of them who were then taken.
    pub returned_admitted: u32,
    /// Attempts after the first within one try of a caller.
    pub retries: u32,
    /// Tries of callers.
    pub tries: u32,
    /// Prompt tokens of attempts.
    pub prompt_tokens: u64,
    /// Prompt tokens that came from engines' caches.
    pub cached_tokens: u64,
}

impl Tally {
    /// Counts a request; what a hot customer asks beyond its share is nobody's goodput.
    pub fn record_request(&mut self, class: Class, plan: usize) {
        if plan + 1 == PLANS.len() {
            return;
        }
        self.requests[class as usize] += 1;
        self.plan_requests[plan] += 1;
    }

    /// Counts an answer.
    pub fn record_answer(
        &mut self,
        class: Class,
        plan: usize,
        first_token_us: u64,
        slow_gaps: u64,
        gaps: u64,
    ) {
        if plan + 1 == PLANS.len() {
            return;
        }
        self.answered += 1;
        if first_token_us <= FIRST_TOKEN_LIMIT_US && slow_gaps * GAPS_PER_SLOW_GAP <= gaps {
            self.good[class as usize] += 1;
            self.plan_good[plan] += 1;
        }
    }

    /// Returns the part of all requests that was answered in time.
    pub fn goodput(&self) -> f64 {
        fraction(self.good.iter().sum(), self.requests.iter().sum())
    }

    /// Returns the part of one class that was answered in time.
    pub fn class_goodput(&self, class: Class) -> f64 {
        fraction(self.good[class as usize], self.requests[class as usize])
    }

    /// Returns how the worst-served of the plans in `plans` fares against the best-served.
    pub fn fairness(&self) -> f64 {
        let fractions = self.plan_good.iter().zip(&self.plan_requests);
        let fractions = fractions.filter(|(_, requests)| **requests > 0);
        let fractions: Vec<f64> = fractions
            .map(|(&good, &requests)| fraction(good, requests))
            .collect();
        let lowest = fractions.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = fractions.iter().copied().fold(0.0, f64::max);
        if highest > 0.0 { lowest / highest } else { 1.0 }
    }

    /// Returns the part of callers who came back as told that were taken.
    pub fn admitted_fraction(&self) -> f64 {
        fraction(self.returned_admitted, self.returned)
    }

    /// Returns our own repeats per try of a caller.
    pub fn retry_ratio(&self) -> f64 {
        fraction(self.retries, self.tries)
    }

    /// Returns the part of the prompt tokens that came from caches.
    pub fn cache_hit_fraction(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

fn fraction(count: u32, total: u32) -> f64 {
    if total == 0 {
        return 1.0;
    }
    f64::from(count) / f64::from(total)
}
