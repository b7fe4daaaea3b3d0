//! Counts of a run, and the figures computed from them.

use crate::trace::{Class, PLANS};

/// Target time to first token in microseconds.
const FIRST_TOKEN_LIMIT_US: u64 = 780_000;
/// One of this many gaps between tokens may exceed the target.
const GAPS_PER_SLOW_GAP: u64 = 20;

/// Counts of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Requests, by class.
    pub requests: [u32; 2],
    /// Requests answered within the targets, by class.
    pub good: [u32; 2],
    /// Requests, by plan.
    pub plan_requests: [u32; PLANS.len()],
    /// Requests answered within the targets, by plan.
    pub plan_good: [u32; PLANS.len()],
    /// Requests answered, within the targets or late.
    pub answered: u32,
    /// Completed role changes.
    pub role_changes: u32,
    /// Engine seconds without new work because of role changes.
    pub lost_secs: f64,
    /// Refusals.
    pub refusals: u32,
    /// Refusals with a retry-after time.
    pub with_retry_after: u32,
    /// Retries sent after the retry-after time.
    pub returned: u32,
    /// Those of them that were admitted.
    pub returned_admitted: u32,
    /// Attempts after the first within a caller's try.
    pub retries: u32,
    /// Tries of callers: first requests and retries.
    pub tries: u32,
    /// Prompt tokens of all attempts.
    pub prompt_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
}

impl Tally {
    /// Counts a request, unless it is on the hot customer's plan, which exceeds its quota.
    pub fn record_request(&mut self, class: Class, plan: usize) {
        if plan + 1 == PLANS.len() {
            return;
        }
        self.requests[class as usize] += 1;
        self.plan_requests[plan] += 1;
    }

    /// Counts an answer, unless it is on the hot customer's plan.
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

    /// Returns the fraction of all requests answered within the targets.
    pub fn goodput(&self) -> f64 {
        fraction(self.good.iter().sum(), self.requests.iter().sum())
    }

    /// Returns the fraction of a class's requests answered within the targets.
    pub fn class_goodput(&self, class: Class) -> f64 {
        fraction(self.good[class as usize], self.requests[class as usize])
    }

    /// Returns the goodput of the worst-served plan as a fraction of the best-served plan's.
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

    /// Returns the fraction admitted of the retries sent after the retry-after time.
    pub fn admitted_fraction(&self) -> f64 {
        fraction(self.returned_admitted, self.returned)
    }

    /// Returns the retries by hosts per try of a caller.
    pub fn retry_ratio(&self) -> f64 {
        fraction(self.retries, self.tries)
    }

    /// Returns the fraction of the prompt tokens found in prefix caches.
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
