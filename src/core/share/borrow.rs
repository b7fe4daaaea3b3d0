//! Loans between hosts: borrow requests, their answers, and what an owner draws for itself.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ledger::Ledger;
use super::pledge::{self, LOAN_LIFETIME, Pledged, Source};
use super::{
    Cost, LocalShare, PREFETCH_SECS, PendingBorrow, admit_waiting, arm_timer, cost,
    draw_for_waiting, quota_of, refuse_waiting, source, wish,
};
use crate::core::effect::Effect;
use crate::core::key::HostKey;
use crate::core::message::{Borrow, Lend, Loan, LoanRequest, Message};
use crate::core::{Core, Effects, Time};
use crate::lists::Quota;

/// Time after which an unanswered borrow request is replaced by a new one.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest pause after an answer without a loan: what did not suffice for one request may suffice
/// for the next.
const MAX_BORROW_BACKOFF: Duration = Duration::from_millis(200);
/// Permits in use for each permit that is borrowed ahead of need.
const PERMIT_PREFETCH_DIVISOR: u32 = 8;

/// Draws a request's cost from this host's own ledger; returns the wait before a retry if there is
/// not enough.
pub fn draw(core: &mut Core, plan: &str, quota: &Quota, cost: Cost) -> Duration {
    let now = core.now;
    let name = core.members.name.clone();
    let local = core.shares.local.entry(plan.into()).or_default();
    let mut wish = wish(plan, local, Some(cost));
    let (requests, tokens) = local.available();
    wish.requests = (cost.requests - requests).max(0.0);
    wish.tokens = (cost.tokens + local.debt - tokens).max(0.0);
    wish.min_tokens = wish.tokens;
    wish.running = u32::from(cost.permit && local.running >= local.permits);
    let loan = lend(core, plan, &name, &wish, quota);
    let local = core.shares.local.entry(plan.into()).or_default();
    local.add_loan(now.after(LOAN_LIFETIME), loan.requests, loan.tokens);
    add_permits(local, loan.running, now);
    Duration::from_millis(u64::from(loan.retry_ms))
}

fn add_permits(local: &mut LocalShare, running: u32, now: Time) {
    if running > 0 {
        local.permits += running;
        local.permits_until = now.after(LOAN_LIFETIME);
    }
}

/// Lends from the ledger that this host keeps of a plan.
fn lend(core: &mut Core, plan: &str, host: &str, wish: &LoanRequest, quota: &Quota) -> Loan {
    let now = core.now;
    let fallback = core
        .shares
        .local
        .get(plan)
        .is_some_and(|local| local.source == Some(Source::OwnFraction));
    let pledged = if fallback {
        Pledged {
            fraction: pledge::own_fraction(core),
            complete: false,
            exclusive: false,
        }
    } else {
        pledge::pledged(core, plan)
    };
    let stable = pledge::stable(core) && !fallback;
    let ledgers = if fallback {
        &mut core.shares.fallback
    } else {
        &mut core.shares.ledgers
    };
    let is_new = !ledgers.contains_key(plan);
    let ledger = ledgers
        .entry(plan.into())
        .or_insert_with(|| Ledger::new(now));
    ledger.set_pledged(now, pledged);
    if is_new && stable {
        ledger.credit_stable_time(quota, pledge::PLEDGE_STABLE_TIME);
    }
    ledger.refill(quota);
    ledger.lend(host, wish, quota, now)
}

/// Asks an owner in one message for what waiting requests need and for what will run short.
pub fn send_borrow(core: &mut Core, owner: HostKey, out: &mut Effects) {
    let now = core.now;
    let pending = core.shares.pending.get(owner);
    if pending.is_some_and(|pending| now.since(pending.sent) < BORROW_TIMEOUT) {
        return;
    }
    let plans: Vec<Box<str>> = core
        .shares
        .local
        .iter()
        .filter(|(_, local)| local.source == Some(Source::Peer(owner)))
        .map(|(plan, _)| plan.clone())
        .collect();
    let wishes: Vec<LoanRequest> = plans
        .iter()
        .filter_map(|plan| build_wish(core, plan))
        .collect();
    if wishes.is_empty() {
        return;
    }
    core.shares.round += 1;
    let round = core.shares.round;
    core.shares
        .pending
        .insert(owner, PendingBorrow { round, sent: now });
    out.push(Effect::Send {
        to: owner,
        message: Message::Borrow(Borrow {
            round,
            loan_requests: wishes,
        }),
    });
}

/// Returns what to ask of the owner for a plan, if anything.
fn build_wish(core: &mut Core, plan: &str) -> Option<LoanRequest> {
    let now = core.now;
    let quota = quota_of(core, plan).unwrap_or_default();
    let waiting = &core.shares.local.get(plan)?.waiting;
    let costs: Vec<Cost> = waiting.iter().map(|&key| cost(core, key, &quota)).collect();
    let local = core.shares.local.get_mut(plan)?;
    let back = local.take_expiring(now);
    let mut wish = wish(plan, local, costs.first().copied());
    (wish.returned_requests, wish.returned_tokens) = back;
    let (requests, tokens) = local.available();
    let shortfall = |need: f64, prefetch: f64, have: f64| {
        // Borrowing only when half of it is used keeps the requests to the owner few.
        if need > have || have < prefetch / 2.0 {
            (need + prefetch - have).max(0.0)
        } else {
            0.0
        }
    };
    let total = |amount: fn(&Cost) -> f64| costs.iter().map(amount).sum::<f64>();
    let prefetch = (
        local.use_rate.0 * PREFETCH_SECS,
        local.use_rate.1 * PREFETCH_SECS,
    );
    if quota.requests.is_some() {
        wish.requests = shortfall(total(|cost| cost.requests), prefetch.0, requests);
    }
    if quota.tokens.is_some() {
        wish.tokens = shortfall(total(|cost| cost.tokens) + local.debt, prefetch.1, tokens);
        let debt = if costs.is_empty() { 0.0 } else { local.debt };
        wish.min_tokens = (wish.min_tokens + debt - tokens).max(0.0);
    }
    if quota.running.is_some() {
        let waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
        let idle = local.permits.saturating_sub(local.running);
        wish.running = waiting.saturating_sub(idle);
        if waiting > 0 {
            wish.running += local.running / PERMIT_PREFETCH_DIVISOR;
        }
    }
    wish.waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
    let wanted = wish.requests > 0.0 || wish.tokens > 0.0 || wish.running > 0;
    let changed = back.0 > 0.0 || back.1 > 0.0 || local.reported_permits != Some(local.permits);
    let reports =
        changed && (back.0 + back.1 > 0.0 || local.permits > 0 || local.reported_permits.is_some());
    ((wanted && local.retry_at <= now) || reports).then_some(wish)
}

/// Asks each owner once, and brings this host's own ledgers up to date.
pub fn run_round(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let plans: Vec<Box<str>> = core.shares.local.keys().cloned().collect();
    let mut owners = BTreeSet::new();
    for plan in plans {
        match source(core, &plan) {
            Source::Peer(owner) => {
                owners.insert(owner);
            }
            Source::Local => {
                return_expiring(core, &plan, now);
                draw_for_waiting(core, &plan, out);
            }
            Source::OwnFraction => {
                drop_expiring(core, &plan);
                draw_for_waiting(core, &plan, out);
            }
            Source::OwnerSilent(_) => drop_expiring(core, &plan),
        }
    }
    for owner in owners {
        send_borrow(core, owner, out);
    }
    let ledgers: Vec<Box<str>> = core.shares.ledgers.keys().cloned().collect();
    for plan in ledgers {
        refill(core, &plan);
    }
}

fn drop_expiring(core: &mut Core, plan: &str) {
    let now = core.now;
    if let Some(local) = core.shares.local.get_mut(plan) {
        local.take_expiring(now);
    }
}

fn return_expiring(core: &mut Core, plan: &str, now: Time) {
    let Some(quota) = quota_of(core, plan) else {
        return;
    };
    let Some(local) = core.shares.local.get_mut(plan) else {
        return;
    };
    let back = local.take_expiring(now);
    let mut wish = wish(plan, local, None);
    (wish.returned_requests, wish.returned_tokens) = back;
    let unreported = local.reported_permits != Some(local.permits);
    local.reported_permits = Some(local.permits);
    if unreported || back.0 + back.1 > 0.0 {
        let name = core.members.name.clone();
        lend(core, plan, &name, &wish, &quota);
    }
}

/// Credits the time that passed at the pledged fraction.
fn refill(core: &mut Core, plan: &str) {
    let Some(quota) = quota_of(core, plan) else {
        return;
    };
    let pledged = pledge::pledged(core, plan);
    if let Some(ledger) = core.shares.ledgers.get_mut(plan) {
        ledger.set_pledged(core.now, pledged);
        ledger.refill(&quota);
    }
}

/// Removes ledgers whose state need not be kept.
pub fn remove_idle_ledgers(core: &mut Core) {
    let now = core.now;
    let mut ledgers = std::mem::take(&mut core.shares.ledgers);
    ledgers.retain(|plan, ledger| {
        ledger.retain_permits(|host| pledge::may_hold_permits(core, host));
        quota_of(core, plan).is_some_and(|quota| !ledger.is_idle(&quota, now))
    });
    core.shares.ledgers = ledgers;
}

/// Handles a peer's borrow request.
pub fn borrow_received(core: &mut Core, from: HostKey, borrow: &Borrow, out: &mut Effects) {
    // A duplicate or late request would lend and return the same amounts twice.
    if core
        .shares
        .last_answered
        .get(from)
        .is_some_and(|&last| borrow.round <= last)
    {
        return;
    }
    core.shares.last_answered.insert(from, borrow.round);
    let name = core.members.arena[from].name.clone();
    let mut loans = Vec::new();
    for wish in &borrow.loan_requests {
        if pledge::source(core, &wish.plan) != Source::Local {
            continue;
        }
        // The peer's lists may be newer and name a plan that this host does not have.
        if let Some(quota) = quota_of(core, &wish.plan) {
            loans.push(lend(core, &wish.plan, &name, wish, &quota));
        }
    }
    out.push(Effect::Send {
        to: from,
        message: Message::Lend(Lend {
            round: borrow.round,
            ttl_ms: u32::try_from(LOAN_LIFETIME.as_millis()).unwrap_or(u32::MAX),
            loans,
        }),
    });
    arm_timer(core, out);
}

/// Handles a peer's answer to a borrow request.
pub fn lend_received(core: &mut Core, from: HostKey, lend: &Lend, out: &mut Effects) {
    // The answer to a replaced request is void: the newer request states the permits held here, so
    // that the owner does not count those of the void answer.
    let Some(pending) = core.shares.pending.get(from).copied() else {
        return;
    };
    if pending.round != lend.round {
        return;
    }
    core.shares.pending.remove(from);
    let now = core.now;
    let until = pending.sent.after(LOAN_LIFETIME);
    let mut short = false;
    for loan in &lend.loans {
        let Some(local) = core.shares.local.get_mut(&loan.plan) else {
            continue;
        };
        if local.source != Some(Source::Peer(from)) {
            continue;
        }
        local.reported_permits = Some(local.permits + loan.running);
        if until > now {
            local.add_loan(until, loan.requests, loan.tokens);
            add_permits(local, loan.running, now);
        }
        if loan.retry_ms > 0 {
            let wait = Duration::from_millis(u64::from(loan.retry_ms));
            local.retry_at = now.after(wait.min(MAX_BORROW_BACKOFF));
        }
        admit_waiting(core, &loan.plan, out);
        let wait = Duration::from_millis(u64::from(loan.retry_ms));
        let quota = quota_of(core, &loan.plan).unwrap_or_default();
        let local = core.shares.local.get(&loan.plan);
        if !local.is_some_and(|local| local.may_queue(&quota, wait)) {
            refuse_waiting(core, &loan.plan, wait, out);
        }
        let granted = loan.requests + loan.tokens + f64::from(loan.running) > 0.0;
        let local = core.shares.local.get(&loan.plan);
        short |= granted && local.is_some_and(|local| !local.waiting.is_empty());
    }
    if short {
        send_borrow(core, from, out);
    }
}
