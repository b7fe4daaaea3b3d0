//! Shares: what each plan may still use at this host.
//!
//! Each plan's share has an owner among the hosts, which lends short-lived parts of it to the hosts
//! that ask for them; the sum of the loans never exceeds the share. This file is the borrower's
//! side: the loans held here, the requests that wait for more, and when to ask the owner.

mod borrow;
mod ledger;
mod pledge;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::SecondaryMap;

use super::effect::Effect;
use super::event::{RequestSpec, Timer};
use super::key::{HostKey, RequestKey};
use super::message::LoanRequest;
use super::{Core, Effects, Time, request};
use crate::lists::Quota;
use ledger::Ledger;
use pledge::{LOAN_LIFETIME, Pledges, Source};

pub use borrow::{borrow_received, lend_received};
pub use pledge::{
    PLEDGE_LIFETIME, SETTLE_TIME, heartbeat_received, heartbeat_sent, host_count, hosts_listed,
    joined, left, recent_views,
};

/// Interval of the rounds that measure use and request and return loans.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);
/// Seconds of recent use that are borrowed ahead of need.
const PREFETCH_SECS: f64 = 0.3;
/// Weight of the last round in the moving average of use.
const USE_EWMA_WEIGHT: f64 = 0.2;
/// Time without use after which a plan's state at this host is removed.
const UNUSED_TTL: Duration = Duration::from_secs(5);
/// Longest expected wait for which a request is queued rather than refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(150);
/// Requests that may queue whatever the plan's rate.
const MIN_QUEUE_LENGTH: f64 = 2.0;
/// Remaining life at which the unused part of a loan is returned.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(150);

/// What a request is charged to its plan's share.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cost {
    /// Requests charged: one, or none without a limit on requests.
    pub requests: f64,
    /// Tokens charged.
    pub tokens: f64,
    /// Whether it holds a permit to run.
    pub permit: bool,
}

/// Outcome of charging a request to its plan's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is charged and may go on.
    Granted,
    /// The request is queued until more of the share is available.
    Queued,
    /// The share is used up; the caller may retry after this time.
    Exhausted(Duration),
}

/// What is left of a loan.
#[derive(Debug)]
struct HeldLoan {
    until: Time,
    requests: f64,
    tokens: f64,
}

/// One plan's share as held at this host.
#[derive(Debug, Default)]
struct LocalShare {
    loans: VecDeque<HeldLoan>,
    /// Tokens used beyond what was charged; deducted from the next loans.
    debt: f64,
    /// Permits lent to this host, in use or idle.
    permits: u32,
    running: u32,
    /// Expiry of the idle permits.
    permits_until: Time,
    /// Permits that the owner has on record for this host; `None` if it may have no record.
    reported_permits: Option<u32>,
    waiting: VecDeque<RequestKey>,
    /// Requests and tokens used since the last round, and their averaged rate a second.
    round_use: (f64, f64),
    use_rate: (f64, f64),
    /// The owner had nothing left to lend and is not asked before this time.
    retry_at: Time,
    last_used: Time,
    source: Option<Source>,
}

/// A borrow request that the owner has not answered.
#[derive(Debug, Clone, Copy)]
struct PendingBorrow {
    round: u64,
    sent: Time,
}

/// Shares held at this host, and ledgers of the plans it owns.
#[derive(Debug, Default)]
pub struct Shares {
    local: BTreeMap<Box<str>, LocalShare>,
    ledgers: BTreeMap<Box<str>, Ledger>,
    /// Ledgers over this host's own fraction of the plans whose owner is silent.
    fallback: BTreeMap<Box<str>, Ledger>,
    pledges: Pledges,
    pending: SecondaryMap<HostKey, PendingBorrow>,
    /// Round of the last borrow request answered, by peer.
    last_answered: SecondaryMap<HostKey, u64>,
    round: u64,
    timer_armed: bool,
}

impl LocalShare {
    /// Deducts a request's cost if the loans held here cover it; returns whether they do.
    fn try_charge(&mut self, cost: Cost, now: Time) -> bool {
        self.loans.retain(|loan| loan.until > now);
        let (requests, tokens) = self.available();
        if requests < cost.requests || tokens < cost.tokens {
            return false;
        }
        if cost.permit && self.running >= self.permits {
            return false;
        }
        let (mut requests, mut tokens) = (cost.requests, cost.tokens);
        for loan in &mut self.loans {
            let (used_requests, used_tokens) =
                (loan.requests.min(requests), loan.tokens.min(tokens));
            loan.requests -= used_requests;
            loan.tokens -= used_tokens;
            requests -= used_requests;
            tokens -= used_tokens;
        }
        self.running += u32::from(cost.permit);
        self.round_use.0 += cost.requests;
        self.round_use.1 += cost.tokens;
        self.last_used = now;
        true
    }

    /// Returns whether requests are queued rather than refused.
    ///
    /// A wait shorter than the caller's own delay before a retry is not worth a refusal; the queue
    /// is limited to what can go within that wait.
    fn may_queue(&self, quota: &Quota, wait: Duration) -> bool {
        let rate = quota.requests.unwrap_or(0.0);
        let max_len = MAX_QUEUE_WAIT.as_secs_f64() * rate + MIN_QUEUE_LENGTH;
        wait.is_zero() || wait <= MAX_QUEUE_WAIT && (self.waiting.len() as f64) < max_len
    }

    fn available(&self) -> (f64, f64) {
        let requests = self.loans.iter().map(|loan| loan.requests).sum();
        let tokens: f64 = self.loans.iter().map(|loan| loan.tokens).sum();
        (requests, tokens)
    }

    /// Adds a loan, less the debt.
    fn add_loan(&mut self, until: Time, requests: f64, tokens: f64) {
        let paid = self.debt.min(tokens);
        self.debt -= paid;
        self.loans.push_back(HeldLoan {
            until,
            requests,
            tokens: tokens - paid,
        });
    }

    /// Removes what is about to expire unused, to be returned to the owner.
    fn take_expiring(&mut self, now: Time) -> (f64, f64) {
        let soon = now.after(RETURN_BEFORE_EXPIRY);
        let mut back = (0.0, 0.0);
        self.loans.retain(|loan| {
            if loan.until > now && loan.until <= soon {
                back.0 += loan.requests;
                back.1 += loan.tokens;
            }
            loan.until > soon
        });
        if self.permits_until <= soon {
            self.permits = self.running;
        }
        back
    }

    /// Updates the averaged use; called once a round.
    fn update_use_rate(&mut self) {
        let used = std::mem::take(&mut self.round_use);
        let rate = |used: f64, average: f64| {
            average * (1.0 - USE_EWMA_WEIGHT)
                + used / BORROW_INTERVAL.as_secs_f64() * USE_EWMA_WEIGHT
        };
        self.use_rate = (rate(used.0, self.use_rate.0), rate(used.1, self.use_rate.1));
    }
}

fn cost(core: &Core, key: RequestKey, quota: &Quota) -> Cost {
    let tokens = match &core.requests.arena[key].want {
        RequestSpec::Model(want) => f64::from(want.prompt_tokens) + f64::from(want.max_output),
        RequestSpec::Service(_) => 0.0,
    };
    Cost {
        requests: f64::from(u8::from(quota.requests.is_some())),
        tokens: quota.tokens.map_or(0.0, |_| tokens),
        permit: quota.running.is_some(),
    }
}

fn quota_of(core: &Core, plan: &str) -> Option<Quota> {
    core.config.lists.uses.plans.get(plan)?.quota()
}

/// Charges a request to its plan's share.
pub fn take(core: &mut Core, key: RequestKey, out: &mut Effects) -> Admission {
    let plan = core.requests.arena[key].record.plan.clone();
    let Some(quota) = quota_of(core, &plan) else {
        return Admission::Granted;
    };
    let cost = cost(core, key, &quota);
    arm_timer(core, out);
    let now = core.now;
    let source = source(core, &plan);
    let local = core.shares.local.entry(plan.clone()).or_default();
    local.last_used = now;
    if local.waiting.is_empty() && local.try_charge(cost, now) {
        core.requests.arena[key].taken = cost;
        return Admission::Granted;
    }
    match source {
        Source::Local | Source::OwnFraction => {
            let wait = borrow::draw(core, &plan, &quota, cost);
            let local = core.shares.local.entry(plan).or_default();
            if local.try_charge(cost, now) {
                core.requests.arena[key].taken = cost;
                Admission::Granted
            } else if local.may_queue(&quota, wait) {
                local.waiting.push_back(key);
                Admission::Queued
            } else {
                Admission::Exhausted(wait)
            }
        }
        Source::OwnerSilent(_) => {
            local.waiting.push_back(key);
            Admission::Queued
        }
        Source::Peer(_) if local.retry_at > now => Admission::Exhausted(local.retry_at.since(now)),
        Source::Peer(owner) => {
            local.waiting.push_back(key);
            borrow::send_borrow(core, owner, out);
            Admission::Queued
        }
    }
}

/// Returns the source of a plan's share, and resets what is kept about an earlier source.
fn source(core: &mut Core, plan: &str) -> Source {
    let source = pledge::source(core, plan);
    let now = core.now;
    let local = core.shares.local.entry(plan.into()).or_default();
    if local.source != Some(source) {
        local.source = Some(source);
        local.retry_at = now;
        local.reported_permits = None;
        if source != Source::OwnFraction {
            core.shares.fallback.remove(plan);
        }
    }
    source
}

/// Returns what a request was charged and did not use, or adds what it used beyond that to the
/// debt.
pub fn reconcile(core: &mut Core, key: RequestKey, _out: &mut Effects) {
    let now = core.now;
    let request = &core.requests.arena[key];
    let taken = request.taken;
    let used = match &request.want {
        RequestSpec::Model(want) if request.delivered > 0 => {
            f64::from(want.prompt_tokens) + request.delivered as f64
        }
        _ => 0.0,
    };
    if taken == Cost::default() {
        return;
    }
    let local = core
        .shares
        .local
        .entry(request.record.plan.clone())
        .or_default();
    if taken.permit {
        local.running = local.running.saturating_sub(1);
        local.permits_until = now.after(LOAN_LIFETIME);
    }
    if taken.tokens > 0.0 {
        if used > taken.tokens {
            local.debt += used - taken.tokens;
        } else {
            local.add_loan(now.after(LOAN_LIFETIME), 0.0, taken.tokens - used);
        }
    }
}

/// Removes a request from its plan's queue.
pub fn cancel_wait(core: &mut Core, key: RequestKey) {
    let plan = &core.requests.arena[key].record.plan;
    if let Some(local) = core.shares.local.get_mut(plan) {
        local.waiting.retain(|&waiting| waiting != key);
    }
}

/// Admits waiting requests as far as the loans held here allow.
fn admit_waiting(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(quota) = quota_of(core, plan) else {
        return;
    };
    let now = core.now;
    while let Some(key) = first_waiting(core, plan) {
        let cost = cost(core, key, &quota);
        let local = core.shares.local.entry(plan.into()).or_default();
        if !local.try_charge(cost, now) {
            return;
        }
        local.waiting.pop_front();
        core.requests.arena[key].taken = cost;
        request::share_granted(core, key, out);
    }
}

fn first_waiting(core: &Core, plan: &str) -> Option<RequestKey> {
    core.shares.local.get(plan)?.waiting.front().copied()
}

/// Draws from this host's own ledger for the waiting requests of a plan.
fn draw_for_waiting(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(quota) = quota_of(core, plan) else {
        return;
    };
    while let Some(key) = first_waiting(core, plan) {
        let cost = cost(core, key, &quota);
        let wait = borrow::draw(core, plan, &quota, cost);
        admit_waiting(core, plan, out);
        if first_waiting(core, plan) == Some(key) {
            let local = core.shares.local.get(plan);
            if !local.is_some_and(|local| local.may_queue(&quota, wait)) {
                refuse_waiting(core, plan, wait, out);
            }
            return;
        }
    }
}

/// Refuses the waiting requests of a plan.
fn refuse_waiting(core: &mut Core, plan: &str, wait: Duration, out: &mut Effects) {
    while let Some(local) = core.shares.local.get_mut(plan)
        && let Some(key) = local.waiting.pop_front()
    {
        request::refuse_spent(core, key, wait, out);
    }
}

/// Removes the ledgers of plans that are no longer in the lists.
pub fn lists_changed(core: &mut Core) {
    let plans = &core.config.lists.uses.plans;
    let shares = &mut core.shares;
    shares.ledgers.retain(|plan, _| plans.contains_key(plan));
    shares.fallback.retain(|plan, _| plans.contains_key(plan));
}

/// Handles a change of the set of registered hosts.
pub fn view_changed(core: &mut Core, out: &mut Effects) {
    if !pledge::view_changed(core) {
        return;
    }
    let plans: Vec<Box<str>> = core.shares.local.keys().cloned().collect();
    for plan in plans {
        source(core, &plan);
    }
    arm_timer(core, out);
}

/// Checks the pledges; called with each heartbeat.
pub fn check_pledges(core: &mut Core) {
    pledge::check(core);
}

/// Returns whether the hosts' pledges have settled since this host started.
///
/// Until then no owner may lend, and this host would refuse every request of a plan with limits.
#[must_use]
pub fn pledges_settled(core: &Core) -> bool {
    pledge::ever_settled(core)
}

/// Stops borrowing ahead of need because this host is stopping.
///
/// Loans held here are returned as they near expiry; this host lends until its process ends.
pub fn leave(core: &mut Core, out: &mut Effects) {
    for local in core.shares.local.values_mut() {
        local.use_rate = (0.0, 0.0);
    }
    arm_timer(core, out);
}

fn arm_timer(core: &mut Core, out: &mut Effects) {
    if !core.shares.timer_armed {
        core.shares.timer_armed = true;
        out.push(Effect::SetTimer {
            at: core.now.after(BORROW_INTERVAL),
            timer: Timer::Shares,
        });
    }
}

/// Runs a round: returns loans, borrows ahead of need, and removes the state of unused plans.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.shares.timer_armed = false;
    let now = core.now;
    for local in core.shares.local.values_mut() {
        local.update_use_rate();
    }
    borrow::run_round(core, out);
    core.shares.local.retain(|_, local| {
        let unused =
            now.since(local.last_used) >= UNUSED_TTL && local.running == 0 && local.debt <= 0.0;
        let idle = local.waiting.is_empty()
            && local.permits == 0
            && local.reported_permits.unwrap_or(0) == 0;
        !(unused && idle)
    });
    borrow::remove_idle_ledgers(core);
    if !(core.shares.local.is_empty() && core.shares.ledgers.is_empty()) {
        arm_timer(core, out);
    }
}

fn wish(plan: &str, local: &LocalShare, cost: Option<Cost>) -> LoanRequest {
    LoanRequest {
        plan: plan.into(),
        waiting: u32::from(cost.is_some()),
        min_tokens: cost.map_or(0.0, |cost| cost.tokens),
        held: local.permits,
        ..LoanRequest::default()
    }
}
