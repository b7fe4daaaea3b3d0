//! What a home may still lend of one plan's share: an exact bucket over the part pledged to it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pledge::Pledged;
use crate::core::Time;
use crate::core::message::{Loan, Wish};
use crate::lists::Quota;

/// Seconds of its rate that a plan may save up at its home.
///
/// Together with what is lent and not yet spent, a plan may use twice this at once.
pub const SAVED: f64 = 0.75;
/// Time after which a share that is saved up and not asked for is forgotten.
const IDLE: Duration = Duration::from_secs(10);
/// Most time filled up at once. A pledge that was withdrawn rests for longer than this, so that
/// its rest is always seen.
const STEP: f64 = 1.0;
/// Time after which a refused request for a place may come back.
const PLACE_WAIT: f64 = 1.0;
/// Least time before it is worth asking again.
const WAIT_LEAST: f64 = 0.02;
/// Most time a caller is sent away for.
const WAIT_MOST: f64 = 60.0;

/// One plan's share at its home.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: f64,
    tokens: f64,
    /// Part pledged at the last look, and the time since it has counted.
    part: f64,
    passed: f64,
    looked: Time,
    used: Time,
    /// Whether what every host holds is known.
    open: bool,
    whole: bool,
    /// Places that each host has.
    places: BTreeMap<Box<str>, u32>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            looked: now,
            used: now,
            ..Self::default()
        }
    }

    /// Counts as saved up what came in over a time that is known to have been quiet.
    pub fn saved(&mut self, allowance: &Quota, quiet: Duration) {
        let seconds = quiet.as_secs_f64() * self.part;
        self.requests = allowance.requests.unwrap_or(0.0) * seconds;
        self.tokens = allowance.tokens.unwrap_or(0.0) * seconds;
        self.clamp(allowance);
    }

    /// Takes in what is pledged now.
    ///
    /// Time since the last look counts at the smaller of both parts, since the change between them
    /// may have come at any moment.
    pub fn allot(&mut self, now: Time, pledged: Pledged) {
        let passed = now.since(self.looked).as_secs_f64().min(STEP);
        self.passed = passed * self.part.min(pledged.part);
        self.looked = now;
        self.part = pledged.part;
        self.whole = pledged.whole;
        // Places outlast a loan. Until every host has told what it holds, none is lent: another
        // home may have lent them all.
        self.open = pledged.whole || (self.open && pledged.alone);
    }

    /// Fills up at the allowance's rate.
    pub fn fill(&mut self, allowance: &Quota) {
        let passed = std::mem::take(&mut self.passed);
        let requests = allowance.requests.unwrap_or(0.0);
        let tokens = allowance.tokens.unwrap_or(0.0);
        self.requests += requests * passed;
        self.tokens += tokens * passed;
        self.clamp(allowance);
    }

    fn clamp(&mut self, allowance: &Quota) {
        self.requests = self.requests.min(requests_most(allowance) * self.part);
        self.tokens = self.tokens.min(tokens_most(allowance) * self.part);
    }

    /// Lends what a host asks for, as far as there is.
    pub fn lend(&mut self, host: &str, wish: &Wish, allowance: &Quota, now: Time) -> Loan {
        self.used = now;
        self.requests += wish.back_requests;
        self.tokens += wish.back_tokens;
        self.clamp(allowance);
        let running = self.seat(host, wish, allowance);
        let mut loan = Loan {
            plan: wish.plan.clone(),
            running,
            ..Loan::default()
        };
        if self.part <= 0.0 {
            // Hosts have not settled yet: what asks waits, since nothing is used up.
            return loan;
        }
        let wait = self.wait(wish, allowance, running);
        if wait > 0.0 {
            let millis = Duration::from_secs_f64(wait.clamp(WAIT_LEAST, WAIT_MOST)).as_millis();
            loan.wait = u32::try_from(millis).unwrap_or(u32::MAX);
            return loan;
        }
        if allowance.requests.is_some() {
            let first = first(wish);
            loan.requests = wish.requests.min(self.requests).max(first);
            self.requests -= loan.requests;
        }
        if allowance.tokens.is_some() {
            loan.tokens = wish.tokens.min(self.tokens).max(wish.least).max(0.0);
            self.tokens -= loan.tokens;
        }
        loan
    }

    /// Returns the time until the first waiting request could go; 0 when it can.
    ///
    /// A request larger than what can be saved up goes when everything is saved up, and is owed.
    fn wait(&self, wish: &Wish, allowance: &Quota, running: u32) -> f64 {
        let until = |need: f64, most: f64, have: f64, rate: Option<f64>| {
            let rate = rate? * self.part;
            Some((need.min(most * self.part) - have) / rate)
        };
        let (most, rate) = (requests_most(allowance), allowance.requests);
        let requests = until(first(wish), most, self.requests, rate).unwrap_or(0.0);
        let (most, rate) = (tokens_most(allowance), allowance.tokens);
        let tokens = until(wish.least, most, self.tokens, rate).unwrap_or(0.0);
        let placeless = wish.waiting > 0 && wish.running > 0 && running == 0;
        let place = match allowance.running {
            Some(_) if placeless => PLACE_WAIT,
            _ => 0.0,
        };
        requests.max(tokens).max(place)
    }

    /// Lends places for running requests.
    fn seat(&mut self, host: &str, wish: &Wish, allowance: &Quota) -> u32 {
        let Some(most) = allowance.running else {
            return 0;
        };
        self.places.insert(host.into(), wish.held);
        if !self.open || self.part <= 0.0 {
            return 0;
        }
        let lent: u32 = self.places.values().sum();
        let running = wish.running.min(most.saturating_sub(lent));
        self.places.insert(host.into(), wish.held + running);
        running
    }

    /// Forgets the places of hosts that are gone.
    pub fn keep(&mut self, may_hold: impl Fn(&str) -> bool) {
        self.places
            .retain(|name, count| *count > 0 && may_hold(name));
    }

    /// Returns whether nothing would be lost by forgetting the ledger.
    #[must_use]
    pub fn idle(&self, allowance: &Quota, now: Time) -> bool {
        let full = self.requests >= requests_most(allowance) * self.part
            && self.tokens >= tokens_most(allowance) * self.part;
        // At less than a request or so a second, what is saved up could not be told again.
        let slow = allowance.requests.is_some_and(|rate| rate * SAVED < 1.0);
        let unasked = !slow && now.since(self.used) >= IDLE;
        let places = self.whole && self.places.is_empty();
        unasked && full && (allowance.running.is_none() || places)
    }
}

/// Returns the requests without which the first waiting one cannot go.
fn first(wish: &Wish) -> f64 {
    wish.requests.min(f64::from(wish.waiting.min(1)))
}

fn requests_most(allowance: &Quota) -> f64 {
    allowance
        .requests
        .map_or(0.0, |rate| (rate * SAVED).max(1.0))
}

fn tokens_most(allowance: &Quota) -> f64 {
    allowance.tokens.map_or(0.0, |rate| rate * SAVED)
}
