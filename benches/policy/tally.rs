//! What came of a run.

use crate::trace::{Class, PLANS};

/// Wanted time to the first token in microseconds.
const FIRST: u64 = 780_000;
/// Of this many gaps between tokens, one may be longer than wanted.
const GAPS: u64 = 20;

/// Counts of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Requests, by class.
    pub asked: [u32; 2],
    /// Requests answered in time, by class.
    pub good: [u32; 2],
    /// Requests by plan.
    pub plan_asked: [u32; PLANS.len()],
    /// Requests answered in time by plan.
    pub plan_good: [u32; PLANS.len()],
    /// Requests answered, in time or late.
    pub whole: u32,
    /// Role changes made.
    pub changes: u32,
    /// Engine seconds during which an engine took no new work for a change.
    pub lost: f64,
    /// Refusals.
    pub refused: u32,
    /// Refusals that named a time to come back.
    pub named: u32,
    /// Callers who came back when they were told to.
    pub back: u32,
    /// Those of them who were then taken.
    pub kept: u32,
    /// Attempts after the first within one try of a caller.
    pub retries: u32,
    /// Tries of callers.
    pub tries: u32,
    /// Prompt tokens of attempts.
    pub prompt: u64,
    /// Prompt tokens that came from engines' caches.
    pub hits: u64,
}

impl Tally {
    /// Counts a request; what a hot customer asks beyond its share is nobody's goodput.
    pub fn ask(&mut self, class: Class, plan: usize) {
        if plan + 1 == PLANS.len() {
            return;
        }
        self.asked[class as usize] += 1;
        self.plan_asked[plan] += 1;
    }

    /// Counts an answer.
    pub fn answer(&mut self, class: Class, plan: usize, first: u64, slow: u64, gaps: u64) {
        if plan + 1 == PLANS.len() {
            return;
        }
        self.whole += 1;
        if first <= FIRST && slow * GAPS <= gaps {
            self.good[class as usize] += 1;
            self.plan_good[plan] += 1;
        }
    }

    /// Returns the part of all requests that was answered in time.
    pub fn goodput(&self) -> f64 {
        part(self.good.iter().sum(), self.asked.iter().sum())
    }

    /// Returns the part of one class that was answered in time.
    pub fn class(&self, class: Class) -> f64 {
        part(self.good[class as usize], self.asked[class as usize])
    }

    /// Returns how the worst-served of the plans in `plans` fares against the best-served.
    pub fn fairness(&self) -> f64 {
        let parts = self.plan_good.iter().zip(&self.plan_asked);
        let parts = parts.filter(|(_, asked)| **asked > 0);
        let parts: Vec<f64> = parts.map(|(&good, &asked)| part(good, asked)).collect();
        let least = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let most = parts.iter().copied().fold(0.0, f64::max);
        if most > 0.0 { least / most } else { 1.0 }
    }

    /// Returns the part of callers who came back as told that were taken.
    pub fn truth(&self) -> f64 {
        part(self.kept, self.back)
    }

    /// Returns our own repeats per try of a caller.
    pub fn repeats(&self) -> f64 {
        part(self.retries, self.tries)
    }

    /// Returns the part of the prompt tokens that came from caches.
    pub fn hit_part(&self) -> f64 {
        self.hits as f64 / self.prompt.max(1) as f64
    }
}

fn part(some: u32, all: u32) -> f64 {
    if all == 0 {
        return 1.0;
    }
    f64::from(some) / f64::from(all)
}
