//! What an owner may still lend of one plan's share: an exact token bucket over the fraction of the
//! share that is pledged to it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pledge::Pledged;
use crate::core::Time;
use crate::core::message::{Loan, LoanRequest};
use crate::lists::Quota;

/// Seconds of a plan's rate that accrue at the owner while unused.
///
/// Together with loans that are not yet spent, a plan may use twice this in one burst.
pub const BURST_SECS: f64 = 0.75;
/// Time without a borrow request after which a full ledger is removed.
const IDLE_TTL: Duration = Duration::from_secs(10);
/// Longest time credited in one refill. A withdrawn pledge stays uncounted for longer than this, so
/// that a refill always sees the gap.
const MAX_REFILL_SECS: f64 = 1.0;
/// Wait before a request refused for want of a permit may be retried.
const PERMIT_WAIT_SECS: f64 = 1.0;
/// Shortest wait after which it is worth asking again.
const MIN_WAIT_SECS: f64 = 0.02;
/// Longest wait that a caller is given.
const MAX_WAIT_SECS: f64 = 60.0;

/// One plan's share at its owner.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: f64,
    tokens: f64,
    /// Fraction pledged at the last update, and the seconds at the full rate that the next refill
    /// credits.
    fraction: f64,
    elapsed_secs: f64,
    updated: Time,
    last_used: Time,
    /// Whether the permits that each host holds are known.
    permits_known: bool,
    complete: bool,
    /// Permits held, by host.
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

    /// Credits what accrued over a time that is known to be without use.
    pub fn credit_stable_time(&mut self, quota: &Quota, unused: Duration) {
        let seconds = unused.as_secs_f64() * self.fraction;
        self.requests = quota.requests.unwrap_or(0.0) * seconds;
        self.tokens = quota.tokens.unwrap_or(0.0) * seconds;
        self.clamp(quota);
    }

    /// Sets what is pledged now.
    ///
    /// Time since the last update is credited at the smaller of the old and the new fraction, since
    /// the change between them may have come at any moment.
    pub fn set_pledged(&mut self, now: Time, pledged: Pledged) {
        let passed = now.since(self.updated).as_secs_f64().min(MAX_REFILL_SECS);
        self.elapsed_secs = passed * self.fraction.min(pledged.fraction);
        self.updated = now;
        self.fraction = pledged.fraction;
        self.complete = pledged.complete;
        // Permits outlast a loan. None is lent until every host has reported what it holds, because
        // another owner may have lent them all.
        self.permits_known = pledged.complete || (self.permits_known && pledged.exclusive);
    }

    /// Credits the elapsed time at the quota's rate.
    pub fn refill(&mut self, quota: &Quota) {
        let passed = std::mem::take(&mut self.elapsed_secs);
        let requests = quota.requests.unwrap_or(0.0);
        let tokens = quota.tokens.unwrap_or(0.0);
        self.requests += requests * passed;
        self.tokens += tokens * passed;
        self.clamp(quota);
    }

    fn clamp(&mut self, quota: &Quota) {
        self.requests = self.requests.min(request_burst(quota) * self.fraction);
        self.tokens = self.tokens.min(token_burst(quota) * self.fraction);
    }

    /// Lends what a host requests, as far as available.
    pub fn lend(&mut self, host: &str, wish: &LoanRequest, quota: &Quota, now: Time) -> Loan {
        self.last_used = now;
        self.requests += wish.returned_requests;
        self.tokens += wish.returned_tokens;
        self.clamp(quota);
        let running = self.lend_permits(host, wish, quota);
        let mut loan = Loan {
            plan: wish.plan.clone(),
            running,
            ..Loan::default()
        };
        if self.fraction <= 0.0 {
            // No pledge counts yet: waiting requests stay queued, since the share is not used up.
            return loan;
        }
        let wait = self.wait_secs(wish, quota, running);
        if wait > 0.0 {
            let millis =
                Duration::from_secs_f64(wait.clamp(MIN_WAIT_SECS, MAX_WAIT_SECS)).as_millis();
            loan.retry_ms = u32::try_from(millis).unwrap_or(u32::MAX);
            return loan;
        }
        if quota.requests.is_some() {
            let first = first_request(wish);
            loan.requests = wish.requests.min(self.requests).max(first);
            self.requests -= loan.requests;
        }
        if quota.tokens.is_some() {
            loan.tokens = wish.tokens.min(self.tokens).max(wish.min_tokens).max(0.0);
            self.tokens -= loan.tokens;
        }
        loan
    }

    /// Returns the seconds until the first waiting request can go; 0 when it can.
    ///
    /// A request larger than the full burst goes once the burst is full, and leaves the balance
    /// negative.
    fn wait_secs(&self, wish: &LoanRequest, quota: &Quota, running: u32) -> f64 {
        let until = |need: f64, burst: f64, have: f64, rate: Option<f64>| {
            let rate = rate? * self.fraction;
            Some((need.min(burst * self.fraction) - have) / rate)
        };
        let (burst, rate) = (request_burst(quota), quota.requests);
        let requests = until(first_request(wish), burst, self.requests, rate).unwrap_or(0.0);
        let (burst, rate) = (token_burst(quota), quota.tokens);
        let tokens = until(wish.min_tokens, burst, self.tokens, rate).unwrap_or(0.0);
        let no_permit = wish.waiting > 0 && wish.running > 0 && running == 0;
        let permit = match quota.running {
            Some(_) if no_permit => PERMIT_WAIT_SECS,
            _ => 0.0,
        };
        requests.max(tokens).max(permit)
    }

    /// Lends permits for running requests; returns how many.
    fn lend_permits(&mut self, host: &str, wish: &LoanRequest, quota: &Quota) -> u32 {
        let Some(limit) = quota.running else {
            return 0;
        };
        self.permits.insert(host.into(), wish.held);
        if !self.permits_known || self.fraction <= 0.0 {
            return 0;
        }
        let lent: u32 = self.permits.values().sum();
        let running = wish.running.min(limit.saturating_sub(lent));
        self.permits.insert(host.into(), wish.held + running);
        running
    }

    /// Removes hosts that hold no permits, or that can hold none any more.
    pub fn retain_permits(&mut self, may_hold: impl Fn(&str) -> bool) {
        self.permits
            .retain(|name, count| *count > 0 && may_hold(name));
    }

    /// Returns whether the ledger can be removed without loss.
    #[must_use]
    pub fn is_idle(&self, quota: &Quota, now: Time) -> bool {
        let full = self.requests >= request_burst(quota) * self.fraction
            && self.tokens >= token_burst(quota) * self.fraction;
        // At about one request a second or less, a new ledger is credited less than a full one
        // holds.
        let slow = quota.requests.is_some_and(|rate| rate * BURST_SECS < 1.0);
        let unasked = !slow && now.since(self.last_used) >= IDLE_TTL;
        let none_held = self.complete && self.permits.is_empty();
        unasked && full && (quota.running.is_none() || none_held)
    }
}

/// Returns the requests without which the first waiting one cannot go.
fn first_request(wish: &LoanRequest) -> f64 {
    wish.requests.min(f64::from(wish.waiting.min(1)))
}

fn request_burst(quota: &Quota) -> f64 {
    quota
        .requests
        .map_or(0.0, |rate| (rate * BURST_SECS).max(1.0))
}

fn token_burst(quota: &Quota) -> f64 {
    quota.tokens.map_or(0.0, |rate| rate * BURST_SECS)
}
