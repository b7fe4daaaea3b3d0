//! What each plan may still use at this host.
//!
//! Each plan's share has a home among the hosts, which lends short-lived parts of it to the hosts
//! that ask; the sum lent never exceeds the share. This file is the borrower's side: what is here,
//! what waits for more, when to ask.

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

/// Time between two looks at what is short.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);
/// Time of recent use that is asked for ahead of need.
const PREFETCH_SECS: f64 = 0.3;
/// Weight of the last round in the recent use.
const USE_EWMA_WEIGHT: f64 = 0.2;
/// Time without use after which a plan costs nothing any more.
const UNUSED_TTL: Duration = Duration::from_secs(5);
/// Longest wait for which a request is held back rather than refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(150);
/// Requests held at any rate.
const MIN_QUEUE_LENGTH: f64 = 2.0;
/// Remaining life at which what was not used goes back.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(150);

/// What a request took.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cost {
    /// Requests taken: one or, without a limit, none.
    pub requests: f64,
    /// Tokens taken.
    pub tokens: f64,
    /// Whether a place for a running request was taken.
    pub permit: bool,
}

/// Answer to a request that wants its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It has it.
    Granted,
    /// It waits for another host.
    Queued,
    /// There is none; it may come back after this time.
    Exhausted(Duration),
}

/// A loan that is not used up.
#[derive(Debug)]
struct HeldLoan {
    until: Time,
    requests: f64,
    tokens: f64,
}

/// One plan's part at this host.
#[derive(Debug, Default)]
struct LocalShare {
    loans: VecDeque<HeldLoan>,
    /// Tokens used beyond what was taken.
    debt: f64,
    /// Places lent to this host, used or idle.
    permits: u32,
    running: u32,
    /// Idle places go back after this.
    permits_until: Time,
    /// Places that the home knows of; `None` when it may not.
    reported_permits: Option<u32>,
    waiting: VecDeque<RequestKey>,
    /// Taken since the last round, and a second lately.
    round_use: (f64, f64),
    use_rate: (f64, f64),
    /// The home has nothing before this.
    retry_at: Time,
    last_used: Time,
    source: Option<Source>,
}

/// A question to a home that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingBorrow {
    round: u64,
    sent: Time,
}

/// Parts at this host, and ledgers of the plans it is the home of.
#[derive(Debug, Default)]
pub struct Shares {
    local: BTreeMap<Box<str>, LocalShare>,
    ledgers: BTreeMap<Box<str>, Ledger>,
    /// This host's own parts of plans whose home is silent.
    fallback: BTreeMap<Box<str>, Ledger>,
    pledges: Pledges,
    pending: SecondaryMap<HostKey, PendingBorrow>,
    /// Last round of questions answered, by peer.
    last_answered: SecondaryMap<HostKey, u64>,
    round: u64,
    timer_armed: bool,
}

impl LocalShare {
    /// Takes what a request costs, if it is here.
    fn try_charge(&mut self, cost: Cost, now: Time) -> bool {
        self.loans.retain(|lot| lot.until > now);
        let (requests, tokens) = self.available();
        if requests < cost.requests || tokens < cost.tokens {
            return false;
        }
        if cost.permit && self.running >= self.permits {
            return false;
        }
        let (mut requests, mut tokens) = (cost.requests, cost.tokens);
        for lot in &mut self.loans {
            let (some, more) = (lot.requests.min(requests), lot.tokens.min(tokens));
            lot.requests -= some;
            lot.tokens -= more;
            requests -= some;
            tokens -= more;
        }
        self.running += u32::from(cost.permit);
        self.round_use.0 += cost.requests;
        self.round_use.1 += cost.tokens;
        self.last_used = now;
        true
    }

    /// Returns whether requests are rather held than refused.
    ///
    /// A wait that is shorter than the caller's own next try would be is not worth a refusal; the
    /// queue is kept as short as the wait.
    fn may_queue(&self, allowance: &Quota, wait: Duration) -> bool {
        let rate = allowance.requests.unwrap_or(0.0);
        let most = MAX_QUEUE_WAIT.as_secs_f64() * rate + MIN_QUEUE_LENGTH;
        wait.is_zero() || wait <= MAX_QUEUE_WAIT && (self.waiting.len() as f64) < most
    }

    fn available(&self) -> (f64, f64) {
        let requests = self.loans.iter().map(|lot| lot.requests).sum();
        let tokens: f64 = self.loans.iter().map(|lot| lot.tokens).sum();
        (requests, tokens)
    }

    /// Adds a loan; what is owed is paid from it first.
    fn add_loan(&mut self, until: Time, requests: f64, tokens: f64) {
        let paid = self.debt.min(tokens);
        self.debt -= paid;
        self.loans.push_back(HeldLoan {
            until,
            requests,
            tokens: tokens - paid,
        });
    }

    /// Takes out what is about to lapse unused, to be given back.
    fn take_expiring(&mut self, now: Time) -> (f64, f64) {
        let soon = now.after(RETURN_BEFORE_EXPIRY);
        let mut back = (0.0, 0.0);
        self.loans.retain(|lot| {
            if lot.until > now && lot.until <= soon {
                back.0 += lot.requests;
                back.1 += lot.tokens;
            }
            lot.until > soon
        });
        if self.permits_until <= soon {
            self.permits = self.running;
        }
        back
    }

    /// Brings the recent use up to date; called once a round.
    fn update_use_rate(&mut self) {
        let taken = std::mem::take(&mut self.round_use);
        let rate = |taken: f64, recent: f64| {
            recent * (1.0 - USE_EWMA_WEIGHT)
                + taken / BORROW_INTERVAL.as_secs_f64() * USE_EWMA_WEIGHT
        };
        self.use_rate = (
            rate(taken.0, self.use_rate.0),
            rate(taken.1, self.use_rate.1),
        );
    }
}

fn cost(core: &Core, key: RequestKey, allowance: &Quota) -> Cost {
    let tokens = match &core.requests.arena[key].want {
        RequestSpec::Model(want) => f64::from(want.prompt_tokens) + f64::from(want.max_output),
        RequestSpec::Service(_) => 0.0,
    };
    Cost {
        requests: f64::from(u8::from(allowance.requests.is_some())),
        tokens: allowance.tokens.map_or(0.0, |_| tokens),
        permit: allowance.running.is_some(),
    }
}

fn quota_of(core: &Core, plan: &str) -> Option<Quota> {
    core.config.lists.uses.plans.get(plan)?.quota()
}

/// Takes a request's share.
pub fn take(core: &mut Core, key: RequestKey, out: &mut Effects) -> Admission {
    let plan = core.requests.arena[key].record.plan.clone();
    let Some(allowance) = quota_of(core, &plan) else {
        return Admission::Granted;
    };
    let cost = cost(core, key, &allowance);
    arm_timer(core, out);
    let now = core.now;
    let source = source(core, &plan);
    let part = core.shares.local.entry(plan.clone()).or_default();
    part.last_used = now;
    if part.waiting.is_empty() && part.try_charge(cost, now) {
        core.requests.arena[key].taken = cost;
        return Admission::Granted;
    }
    match source {
        Source::Local | Source::OwnFraction => {
            let wait = borrow::draw(core, &plan, &allowance, cost);
            let part = core.shares.local.entry(plan).or_default();
            if part.try_charge(cost, now) {
                core.requests.arena[key].taken = cost;
                Admission::Granted
            } else if part.may_queue(&allowance, wait) {
                part.waiting.push_back(key);
                Admission::Queued
            } else {
                Admission::Exhausted(wait)
            }
        }
        Source::OwnerSilent(_) => {
            part.waiting.push_back(key);
            Admission::Queued
        }
        Source::Peer(_) if part.retry_at > now => Admission::Exhausted(part.retry_at.since(now)),
        Source::Peer(owner) => {
            part.waiting.push_back(key);
            borrow::send_borrow(core, owner, out);
            Admission::Queued
        }
    }
}

/// Returns where a plan's share comes from, and drops what came from elsewhere.
fn source(core: &mut Core, plan: &str) -> Source {
    let source = pledge::source(core, plan);
    let now = core.now;
    let part = core.shares.local.entry(plan.into()).or_default();
    if part.source != Some(source) {
        part.source = Some(source);
        part.retry_at = now;
        part.reported_permits = None;
        if source != Source::OwnFraction {
            core.shares.fallback.remove(plan);
        }
    }
    source
}

/// Gives back what a request took and did not use.
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
    let part = core
        .shares
        .local
        .entry(request.record.plan.clone())
        .or_default();
    if taken.permit {
        part.running = part.running.saturating_sub(1);
        part.permits_until = now.after(LOAN_LIFETIME);
    }
    if taken.tokens > 0.0 {
        if used > taken.tokens {
            part.debt += used - taken.tokens;
        } else {
            part.add_loan(now.after(LOAN_LIFETIME), 0.0, taken.tokens - used);
        }
    }
}

/// Forgets a request that waits for its share.
pub fn cancel_wait(core: &mut Core, key: RequestKey) {
    let plan = &core.requests.arena[key].record.plan;
    if let Some(part) = core.shares.local.get_mut(plan) {
        part.waiting.retain(|&waiting| waiting != key);
    }
}

/// Lets waiting requests go as far as what is here allows.
fn admit_waiting(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(allowance) = quota_of(core, plan) else {
        return;
    };
    let now = core.now;
    while let Some(key) = first_waiting(core, plan) {
        let cost = cost(core, key, &allowance);
        let part = core.shares.local.entry(plan.into()).or_default();
        if !part.try_charge(cost, now) {
            return;
        }
        part.waiting.pop_front();
        core.requests.arena[key].taken = cost;
        request::share_granted(core, key, out);
    }
}

fn first_waiting(core: &Core, plan: &str) -> Option<RequestKey> {
    core.shares.local.get(plan)?.waiting.front().copied()
}

/// Draws for the waiting requests of a plan that this host lends to itself.
fn draw_for_waiting(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(allowance) = quota_of(core, plan) else {
        return;
    };
    while let Some(key) = first_waiting(core, plan) {
        let cost = cost(core, key, &allowance);
        let wait = borrow::draw(core, plan, &allowance, cost);
        admit_waiting(core, plan, out);
        if first_waiting(core, plan) == Some(key) {
            let part = core.shares.local.get(plan);
            if !part.is_some_and(|part| part.may_queue(&allowance, wait)) {
                refuse_waiting(core, plan, wait, out);
            }
            return;
        }
    }
}

/// Refuses the waiting requests of a plan.
fn refuse_waiting(core: &mut Core, plan: &str, wait: Duration, out: &mut Effects) {
    while let Some(part) = core.shares.local.get_mut(plan)
        && let Some(key) = part.waiting.pop_front()
    {
        request::refuse_spent(core, key, wait, out);
    }
}

/// The lists changed.
pub fn lists_changed(core: &mut Core) {
    let plans = &core.config.lists.uses.plans;
    let shares = &mut core.shares;
    shares.ledgers.retain(|plan, _| plans.contains_key(plan));
    shares.fallback.retain(|plan, _| plans.contains_key(plan));
}

/// The hosts changed.
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

/// Checks on pledges; called with each beat.
pub fn check_pledges(core: &mut Core) {
    pledge::check(core);
}

/// Returns whether the hosts have settled with this one since its start.
///
/// Until then no home may lend and this host would refuse every caller with a limit.
#[must_use]
pub fn pledges_settled(core: &Core) -> bool {
    pledge::ever_settled(core)
}

/// This host is leaving: what is here goes back with the next round, and it lends to its end.
pub fn leave(core: &mut Core, out: &mut Effects) {
    for part in core.shares.local.values_mut() {
        part.use_rate = (0.0, 0.0);
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

/// Gives back, asks ahead of need, and forgets what is not used.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.shares.timer_armed = false;
    let now = core.now;
    for part in core.shares.local.values_mut() {
        part.update_use_rate();
    }
    borrow::run_round(core, out);
    core.shares.local.retain(|_, part| {
        let unused =
            now.since(part.last_used) >= UNUSED_TTL && part.running == 0 && part.debt <= 0.0;
        let idle =
            part.waiting.is_empty() && part.permits == 0 && part.reported_permits.unwrap_or(0) == 0;
        !(unused && idle)
    });
    borrow::remove_idle_ledgers(core);
    if !(core.shares.local.is_empty() && core.shares.ledgers.is_empty()) {
        arm_timer(core, out);
    }
}

fn wish(plan: &str, part: &LocalShare, cost: Option<Cost>) -> LoanRequest {
    LoanRequest {
        plan: plan.into(),
        waiting: u32::from(cost.is_some()),
        min_tokens: cost.map_or(0.0, |cost| cost.tokens),
        held: part.permits,
        ..LoanRequest::default()
    }
}
