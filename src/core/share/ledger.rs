//! What a home may still lend of one plan's share: an exact bucket over the part pledged to it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pledge::Pledged;
use crate::core::Time;
use crate::core::message::{Loan, LoanRequest};
use crate::lists::Quota;

/// Seconds of its rate that a plan may save up at its home.
///
/// Together with what is lent and not yet spent, a plan may use twice this at once.
pub const BURST_SECS: f64 = 0.75;
/// Time after which a share that is saved up and not asked for is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(10);
/// Most time filled up at once. A pledge that was withdrawn rests for longer than this, so that
/// its rest is always seen.
const MAX_REFILL_SECS: f64 = 1.0;
/// Time after which a refused request for a place may come back.
const PERMIT_WAIT_SECS: f64 = 1.0;
/// Least time before it is worth asking again.
const MIN_WAIT_SECS: f64 = 0.02;
/// Most time a caller is sent away for.
const MAX_WAIT_SECS: f64 = 60.0;

/// One plan's share at its home.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: f64,
    tokens: f64,
    /// Part pledged at the last look, and the time since it has counted.
    fraction: f64,
    elapsed_secs: f64,
    updated: Time,
    last_used: Time,
    /// Whether what every host holds is known.
    permits_known: bool,
    complete: bool,
    /// Places that each host has.
    permits: BTreeMap<Box<str>, u32>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            updated: now,
            last_used: now,
            ..Self::default()
        }
    }

    /// Counts as saved up what came in over a time that is known to have been quiet.
    pub fn credit_stable_time(&mut self, allowance: &Quota, quiet: Duration) {
        let seconds = quiet.as_secs_f64() * self.fraction;
        self.requests = allowance.requests.unwrap_or(0.0) * seconds;
        self.tokens = allowance.tokens.unwrap_or(0.0) * seconds;
        self.clamp(allowance);
    }

    /// Takes in what is pledged now.
    ///
    /// Time since the last look counts at the smaller of both parts, since the change between them
    /// may have come at any moment.
    pub fn set_pledged(&mut self, now: Time, pledged: Pledged) {
        let passed = now.since(self.updated).as_secs_f64().min(MAX_REFILL_SECS);
        self.elapsed_secs = passed * self.fraction.min(pledged.fraction);
        self.updated = now;
        self.fraction = pledged.fraction;
        self.complete = pledged.complete;
        // Places outlast a loan. Until every host has told what it holds, none is lent: another
        // home may have lent them all.
        self.permits_known = pledged.complete || (self.permits_known && pledged.exclusive);
    }

    /// Fills up at the allowance's rate.
    pub fn refill(&mut self, allowance: &Quota) {
        let passed = std::mem::take(&mut self.elapsed_secs);
        let requests = allowance.requests.unwrap_or(0.0);
        let tokens = allowance.tokens.unwrap_or(0.0);
        self.requests += requests * passed;
        self.tokens += tokens * passed;
        self.clamp(allowance);
    }

    fn clamp(&mut self, allowance: &Quota) {
        self.requests = self.requests.min(request_burst(allowance) * self.fraction);
        self.tokens = self.tokens.min(token_burst(allowance) * self.fraction);
    }

    /// Lends what a host asks for, as far as there is.
    pub fn lend(&mut self, host: &str, wish: &LoanRequest, allowance: &Quota, now: Time) -> Loan {
        self.last_used = now;
        self.requests += wish.returned_requests;
        self.tokens += wish.returned_tokens;
        self.clamp(allowance);
        let running = self.lend_permits(host, wish, allowance);
        let mut loan = Loan {
            plan: wish.plan.clone(),
            running,
            ..Loan::default()
        };
        if self.fraction <= 0.0 {
            // Hosts have not settled yet: what asks waits, since nothing is used up.
            return loan;
        }
        let wait = self.wait_secs(wish, allowance, running);
        if wait > 0.0 {
            let millis =
                Duration::from_secs_f64(wait.clamp(MIN_WAIT_SECS, MAX_WAIT_SECS)).as_millis();
            loan.retry_ms = u32::try_from(millis).unwrap_or(u32::MAX);
            return loan;
        }
        if allowance.requests.is_some() {
            let first = first_request(wish);
            loan.requests = wish.requests.min(self.requests).max(first);
            self.requests -= loan.requests;
        }
        if allowance.tokens.is_some() {
            loan.tokens = wish.tokens.min(self.tokens).max(wish.min_tokens).max(0.0);
            self.tokens -= loan.tokens;
        }
        loan
    }

    /// Returns the time until the first waiting request could go; 0 when it can.
    ///
    /// A request larger than what can be saved up goes when everything is saved up, and is owed.
    fn wait_secs(&self, wish: &LoanRequest, allowance: &Quota, running: u32) -> f64 {
        let until = |need: f64, most: f64, have: f64, rate: Option<f64>| {
            let rate = rate? * self.fraction;
            Some((need.min(most * self.fraction) - have) / rate)
        };
        let (most, rate) = (request_burst(allowance), allowance.requests);
        let requests = until(first_request(wish), most, self.requests, rate).unwrap_or(0.0);
        let (most, rate) = (token_burst(allowance), allowance.tokens);
        let tokens = until(wish.min_tokens, most, self.tokens, rate).unwrap_or(0.0);
        let placeless = wish.waiting > 0 && wish.running > 0 && running == 0;
        let place = match allowance.running {
            Some(_) if placeless => PERMIT_WAIT_SECS,
            _ => 0.0,
        };
        requests.max(tokens).max(place)
    }

    /// Lends places for running requests.
    fn lend_permits(&mut self, host: &str, wish: &LoanRequest, allowance: &Quota) -> u32 {
        let Some(most) = allowance.running else {
            return 0;
        };
        self.permits.insert(host.into(), wish.held);
        if !self.permits_known || self.fraction <= 0.0 {
            return 0;
        }
        let lent: u32 = self.permits.values().sum();
        let running = wish.running.min(most.saturating_sub(lent));
        self.permits.insert(host.into(), wish.held + running);
        running
    }

    /// Forgets the places of hosts that are gone.
    pub fn retain_permits(&mut self, may_hold: impl Fn(&str) -> bool) {
        self.permits
            .retain(|name, count| *count > 0 && may_hold(name));
    }

    /// Returns whether nothing would be lost by forgetting the ledger.
    #[must_use]
    pub fn is_idle(&self, allowance: &Quota, now: Time) -> bool {
        let full = self.requests >= request_burst(allowance) * self.fraction
            && self.tokens >= token_burst(allowance) * self.fraction;
        // At less than a request or so a second, what is saved up could not be told again.
        let slow = allowance
            .requests
            .is_some_and(|rate| rate * BURST_SECS < 1.0);
        let unasked = !slow && now.since(self.last_used) >= IDLE_TTL;
        let places = self.complete && self.permits.is_empty();
        unasked && full && (allowance.running.is_none() || places)
    }
}

/// Returns the requests without which the first waiting one cannot go.
fn first_request(wish: &LoanRequest) -> f64 {
    wish.requests.min(f64::from(wish.waiting.min(1)))
}

fn request_burst(allowance: &Quota) -> f64 {
    allowance
        .requests
        .map_or(0.0, |rate| (rate * BURST_SECS).max(1.0))
}

fn token_burst(allowance: &Quota) -> f64 {
    allowance.tokens.map_or(0.0, |rate| rate * BURST_SECS)
}
