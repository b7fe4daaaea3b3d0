//! Loans between hosts: questions, answers, and what a home draws for itself.

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

/// Time after which a question without an answer is put anew.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);
/// Most time without a question after an answer that there is nothing: what was too little for
/// one request may do for the next.
const MAX_BORROW_BACKOFF: Duration = Duration::from_millis(200);
/// Places asked for ahead of need, as a part of those in use.
const PERMIT_PREFETCH_DIVISOR: u32 = 8;

/// Draws from this host's own ledger what a request costs; returns when to come back if there is
/// not enough.
pub fn draw(core: &mut Core, plan: &str, allowance: &Quota, cost: Cost) -> Duration {
    let now = core.now;
    let name = core.members.name.clone();
    let part = core.shares.local.entry(plan.into()).or_default();
    let mut wish = wish(plan, part, Some(cost));
    let (requests, tokens) = part.available();
    wish.requests = (cost.requests - requests).max(0.0);
    wish.tokens = (cost.tokens + part.debt - tokens).max(0.0);
    wish.min_tokens = wish.tokens;
    wish.running = u32::from(cost.permit && part.running >= part.permits);
    let loan = lend(core, plan, &name, &wish, allowance);
    let part = core.shares.local.entry(plan.into()).or_default();
    part.add_loan(now.after(LOAN_LIFETIME), loan.requests, loan.tokens);
    add_permits(part, loan.running, now);
    Duration::from_millis(u64::from(loan.retry_ms))
}

fn add_permits(part: &mut LocalShare, running: u32, now: Time) {
    if running > 0 {
        part.permits += running;
        part.permits_until = now.after(LOAN_LIFETIME);
    }
}

/// Lends from the ledger that this host keeps of a plan.
fn lend(core: &mut Core, plan: &str, host: &str, wish: &LoanRequest, allowance: &Quota) -> Loan {
    let now = core.now;
    let apart = core
        .shares
        .local
        .get(plan)
        .is_some_and(|part| part.source == Some(Source::OwnFraction));
    let pledged = if apart {
        Pledged {
            fraction: pledge::own_fraction(core),
            complete: false,
            exclusive: false,
        }
    } else {
        pledge::pledged(core, plan)
    };
    let calm = pledge::stable(core) && !apart;
    let ledgers = if apart {
        &mut core.shares.fallback
    } else {
        &mut core.shares.ledgers
    };
    let fresh = !ledgers.contains_key(plan);
    let ledger = ledgers
        .entry(plan.into())
        .or_insert_with(|| Ledger::new(now));
    ledger.set_pledged(now, pledged);
    if fresh && calm {
        ledger.credit_stable_time(allowance, pledge::PLEDGE_STABLE_TIME);
    }
    ledger.refill(allowance);
    ledger.lend(host, wish, allowance, now)
}

/// Puts what waits for a home and what will be short there into one question.
pub fn send_borrow(core: &mut Core, owner: HostKey, out: &mut Effects) {
    let now = core.now;
    let waits = core.shares.pending.get(owner);
    if waits.is_some_and(|open| now.since(open.sent) < BORROW_TIMEOUT) {
        return;
    }
    let plans: Vec<Box<str>> = core
        .shares
        .local
        .iter()
        .filter(|(_, part)| part.source == Some(Source::Peer(owner)))
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

/// Returns what to ask for a plan, if anything.
fn build_wish(core: &mut Core, plan: &str) -> Option<LoanRequest> {
    let now = core.now;
    let allowance = quota_of(core, plan).unwrap_or_default();
    let waiting = &core.shares.local.get(plan)?.waiting;
    let costs: Vec<Cost> = waiting
        .iter()
        .map(|&key| cost(core, key, &allowance))
        .collect();
    let part = core.shares.local.get_mut(plan)?;
    let back = part.take_expiring(now);
    let mut wish = wish(plan, part, costs.first().copied());
    (wish.returned_requests, wish.returned_tokens) = back;
    let (requests, tokens) = part.available();
    let short = |need: f64, ahead: f64, have: f64| {
        // Asking only when half is gone keeps the questions few.
        if need > have || have < ahead / 2.0 {
            (need + ahead - have).max(0.0)
        } else {
            0.0
        }
    };
    let needs = |what: fn(&Cost) -> f64| costs.iter().map(what).sum::<f64>();
    let part_ahead = (
        part.use_rate.0 * PREFETCH_SECS,
        part.use_rate.1 * PREFETCH_SECS,
    );
    if allowance.requests.is_some() {
        wish.requests = short(needs(|cost| cost.requests), part_ahead.0, requests);
    }
    if allowance.tokens.is_some() {
        wish.tokens = short(needs(|cost| cost.tokens) + part.debt, part_ahead.1, tokens);
        let owed = if costs.is_empty() { 0.0 } else { part.debt };
        wish.min_tokens = (wish.min_tokens + owed - tokens).max(0.0);
    }
    if allowance.running.is_some() {
        let waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
        let idle = part.permits.saturating_sub(part.running);
        wish.running = waiting.saturating_sub(idle);
        if waiting > 0 {
            wish.running += part.running / PERMIT_PREFETCH_DIVISOR;
        }
    }
    wish.waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
    let wanted = wish.requests > 0.0 || wish.tokens > 0.0 || wish.running > 0;
    let gives = back.0 > 0.0 || back.1 > 0.0 || part.reported_permits != Some(part.permits);
    let tells =
        gives && (back.0 + back.1 > 0.0 || part.permits > 0 || part.reported_permits.is_some());
    ((wanted && part.retry_at <= now) || tells).then_some(wish)
}

/// Asks every home once, and brings this host's own ledgers up to date.
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
    if let Some(part) = core.shares.local.get_mut(plan) {
        part.take_expiring(now);
    }
}

fn return_expiring(core: &mut Core, plan: &str, now: Time) {
    let Some(allowance) = quota_of(core, plan) else {
        return;
    };
    let Some(part) = core.shares.local.get_mut(plan) else {
        return;
    };
    let back = part.take_expiring(now);
    let mut wish = wish(plan, part, None);
    (wish.returned_requests, wish.returned_tokens) = back;
    let untold = part.reported_permits != Some(part.permits);
    part.reported_permits = Some(part.permits);
    if untold || back.0 + back.1 > 0.0 {
        let name = core.members.name.clone();
        lend(core, plan, &name, &wish, &allowance);
    }
}

/// Counts the time that passed at the part that is pledged.
fn refill(core: &mut Core, plan: &str) {
    let Some(allowance) = quota_of(core, plan) else {
        return;
    };
    let pledged = pledge::pledged(core, plan);
    if let Some(ledger) = core.shares.ledgers.get_mut(plan) {
        ledger.set_pledged(core.now, pledged);
        ledger.refill(&allowance);
    }
}

/// Forgets ledgers that hold nothing.
pub fn remove_idle_ledgers(core: &mut Core) {
    let now = core.now;
    let mut ledgers = std::mem::take(&mut core.shares.ledgers);
    ledgers.retain(|plan, ledger| {
        ledger.retain_permits(|host| pledge::may_hold_permits(core, host));
        quota_of(core, plan).is_some_and(|allowance| !ledger.is_idle(&allowance, now))
    });
    core.shares.ledgers = ledgers;
}

/// A peer asks for loans.
pub fn borrow_received(core: &mut Core, from: HostKey, borrow: &Borrow, out: &mut Effects) {
    // A question that comes twice or late would lend and take back twice.
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
        // A peer may have newer lists than this host.
        if let Some(allowance) = quota_of(core, &wish.plan) {
            loans.push(lend(core, &wish.plan, &name, wish, &allowance));
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

/// A peer granted loans.
pub fn lend_received(core: &mut Core, from: HostKey, lend: &Lend, out: &mut Effects) {
    // The answer to a question that was put anew is void: the home was told so by the new one.
    let Some(open) = core.shares.pending.get(from).copied() else {
        return;
    };
    if open.round != lend.round {
        return;
    }
    core.shares.pending.remove(from);
    let now = core.now;
    let until = open.sent.after(LOAN_LIFETIME);
    let mut short = false;
    for loan in &lend.loans {
        let Some(part) = core.shares.local.get_mut(&loan.plan) else {
            continue;
        };
        if part.source != Some(Source::Peer(from)) {
            continue;
        }
        part.reported_permits = Some(part.permits + loan.running);
        if until > now {
            part.add_loan(until, loan.requests, loan.tokens);
            add_permits(part, loan.running, now);
        }
        if loan.retry_ms > 0 {
            let wait = Duration::from_millis(u64::from(loan.retry_ms));
            part.retry_at = now.after(wait.min(MAX_BORROW_BACKOFF));
        }
        admit_waiting(core, &loan.plan, out);
        let wait = Duration::from_millis(u64::from(loan.retry_ms));
        let limits = quota_of(core, &loan.plan).unwrap_or_default();
        let part = core.shares.local.get(&loan.plan);
        if !part.is_some_and(|part| part.may_queue(&limits, wait)) {
            refuse_waiting(core, &loan.plan, wait, out);
        }
        let some = loan.requests + loan.tokens + f64::from(loan.running) > 0.0;
        let part = core.shares.local.get(&loan.plan);
        short |= some && part.is_some_and(|part| !part.waiting.is_empty());
    }
    if short {
        send_borrow(core, from, out);
    }
}
