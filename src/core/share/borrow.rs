//! Loans between hosts: questions, answers, and what a home draws for itself.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ledger::Ledger;
use super::pledge::{self, LOAN, Pledged, Source};
use super::{
    AHEAD, Open, Part, Taken, allowance, cost, refuse, serve, serve_own, source, wake, wish,
};
use crate::core::effect::Effect;
use crate::core::key::HostKey;
use crate::core::message::{Borrow, Lend, Loan, Message, Wish};
use crate::core::{Core, Effects, Time};
use crate::lists::Quota;

/// Time after which a question without an answer is put anew.
const ANSWER: Duration = Duration::from_millis(250);
/// Most time without a question after an answer that there is nothing: what was too little for
/// one request may do for the next.
const SPENT_MOST: Duration = Duration::from_millis(200);
/// Places asked for ahead of need, as a part of those in use.
const PLACES_AHEAD: u32 = 8;

/// Draws from this host's own ledger what a request costs; returns when to come back if there is
/// not enough.
pub fn draw(core: &mut Core, plan: &str, allowance: &Quota, cost: Taken) -> Duration {
    let now = core.now;
    let name = core.members.name.clone();
    let part = core.shares.parts.entry(plan.into()).or_default();
    let mut wish = wish(plan, part, Some(cost));
    let (requests, tokens) = part.have();
    wish.requests = (cost.requests - requests).max(0.0);
    wish.tokens = (cost.tokens + part.owed - tokens).max(0.0);
    wish.least = wish.tokens;
    wish.running = u32::from(cost.place && part.running >= part.places);
    let loan = lend(core, plan, &name, &wish, allowance);
    let part = core.shares.parts.entry(plan.into()).or_default();
    part.add(now.after(LOAN), loan.requests, loan.tokens);
    seat(part, loan.running, now);
    Duration::from_millis(u64::from(loan.wait))
}

fn seat(part: &mut Part, running: u32, now: Time) {
    if running > 0 {
        part.places += running;
        part.idle = now.after(LOAN);
    }
}

/// Lends from the ledger that this host keeps of a plan.
fn lend(core: &mut Core, plan: &str, host: &str, wish: &Wish, allowance: &Quota) -> Loan {
    let now = core.now;
    let apart = core
        .shares
        .parts
        .get(plan)
        .is_some_and(|part| part.source == Some(Source::Part));
    let pledged = if apart {
        Pledged {
            part: pledge::own_part(core),
            whole: false,
            alone: false,
        }
    } else {
        pledge::pledged(core, plan)
    };
    let calm = pledge::calm(core) && !apart;
    let ledgers = if apart {
        &mut core.shares.own
    } else {
        &mut core.shares.ledgers
    };
    let fresh = !ledgers.contains_key(plan);
    let ledger = ledgers
        .entry(plan.into())
        .or_insert_with(|| Ledger::new(now));
    ledger.allot(now, pledged);
    if fresh && calm {
        ledger.saved(allowance, pledge::CALM);
    }
    ledger.fill(allowance);
    ledger.lend(host, wish, allowance, now)
}

/// Puts what waits for a home and what will be short there into one question.
pub fn ask(core: &mut Core, home: HostKey, out: &mut Effects) {
    let now = core.now;
    let waits = core.shares.open.get(home);
    if waits.is_some_and(|open| now.since(open.sent) < ANSWER) {
        return;
    }
    let plans: Vec<Box<str>> = core
        .shares
        .parts
        .iter()
        .filter(|(_, part)| part.source == Some(Source::Peer(home)))
        .map(|(plan, _)| plan.clone())
        .collect();
    let wishes: Vec<Wish> = plans.iter().filter_map(|plan| want(core, plan)).collect();
    if wishes.is_empty() {
        return;
    }
    core.shares.round += 1;
    let round = core.shares.round;
    core.shares.open.insert(home, Open { round, sent: now });
    out.push(Effect::Send {
        to: home,
        message: Message::Borrow(Borrow { round, wishes }),
    });
}

/// Returns what to ask for a plan, if anything.
fn want(core: &mut Core, plan: &str) -> Option<Wish> {
    let now = core.now;
    let allowance = allowance(core, plan).unwrap_or_default();
    let waiting = &core.shares.parts.get(plan)?.waiting;
    let costs: Vec<Taken> = waiting
        .iter()
        .map(|&key| cost(core, key, &allowance))
        .collect();
    let part = core.shares.parts.get_mut(plan)?;
    let back = part.lapsing(now);
    let mut wish = wish(plan, part, costs.first().copied());
    (wish.back_requests, wish.back_tokens) = back;
    let (requests, tokens) = part.have();
    let short = |need: f64, ahead: f64, have: f64| {
        // Asking only when half is gone keeps the questions few.
        if need > have || have < ahead / 2.0 {
            (need + ahead - have).max(0.0)
        } else {
            0.0
        }
    };
    let needs = |what: fn(&Taken) -> f64| costs.iter().map(what).sum::<f64>();
    let part_ahead = (part.recent.0 * AHEAD, part.recent.1 * AHEAD);
    if allowance.requests.is_some() {
        wish.requests = short(needs(|cost| cost.requests), part_ahead.0, requests);
    }
    if allowance.tokens.is_some() {
        wish.tokens = short(needs(|cost| cost.tokens) + part.owed, part_ahead.1, tokens);
        let owed = if costs.is_empty() { 0.0 } else { part.owed };
        wish.least = (wish.least + owed - tokens).max(0.0);
    }
    if allowance.running.is_some() {
        let waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
        let idle = part.places.saturating_sub(part.running);
        wish.running = waiting.saturating_sub(idle);
        if waiting > 0 {
            wish.running += part.running / PLACES_AHEAD;
        }
    }
    wish.waiting = u32::try_from(costs.len()).unwrap_or(u32::MAX);
    let wanted = wish.requests > 0.0 || wish.tokens > 0.0 || wish.running > 0;
    let gives = back.0 > 0.0 || back.1 > 0.0 || part.told != Some(part.places);
    let tells = gives && (back.0 + back.1 > 0.0 || part.places > 0 || part.told.is_some());
    ((wanted && part.spent <= now) || tells).then_some(wish)
}

/// Asks every home once, and brings this host's own ledgers up to date.
pub fn round(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let plans: Vec<Box<str>> = core.shares.parts.keys().cloned().collect();
    let mut homes = BTreeSet::new();
    for plan in plans {
        match source(core, &plan) {
            Source::Peer(home) => {
                homes.insert(home);
            }
            Source::Own => {
                give_back(core, &plan, now);
                serve_own(core, &plan, out);
            }
            Source::Part => {
                lapse(core, &plan);
                serve_own(core, &plan, out);
            }
            Source::Silent(_) => lapse(core, &plan),
        }
    }
    for home in homes {
        ask(core, home, out);
    }
    let ledgers: Vec<Box<str>> = core.shares.ledgers.keys().cloned().collect();
    for plan in ledgers {
        refill(core, &plan);
    }
}

fn lapse(core: &mut Core, plan: &str) {
    let now = core.now;
    if let Some(part) = core.shares.parts.get_mut(plan) {
        part.lapsing(now);
    }
}

fn give_back(core: &mut Core, plan: &str, now: Time) {
    let Some(allowance) = allowance(core, plan) else {
        return;
    };
    let Some(part) = core.shares.parts.get_mut(plan) else {
        return;
    };
    let back = part.lapsing(now);
    let mut wish = wish(plan, part, None);
    (wish.back_requests, wish.back_tokens) = back;
    let untold = part.told != Some(part.places);
    part.told = Some(part.places);
    if untold || back.0 + back.1 > 0.0 {
        let name = core.members.name.clone();
        lend(core, plan, &name, &wish, &allowance);
    }
}

/// Counts the time that passed at the part that is pledged.
fn refill(core: &mut Core, plan: &str) {
    let Some(allowance) = allowance(core, plan) else {
        return;
    };
    let pledged = pledge::pledged(core, plan);
    if let Some(ledger) = core.shares.ledgers.get_mut(plan) {
        ledger.allot(core.now, pledged);
        ledger.fill(&allowance);
    }
}

/// Forgets ledgers that hold nothing.
pub fn tidy(core: &mut Core) {
    let now = core.now;
    let mut ledgers = std::mem::take(&mut core.shares.ledgers);
    ledgers.retain(|plan, ledger| {
        ledger.keep(|host| pledge::may_hold(core, host));
        allowance(core, plan).is_some_and(|allowance| !ledger.idle(&allowance, now))
    });
    core.shares.ledgers = ledgers;
}

/// A peer asks for loans.
pub fn asked(core: &mut Core, from: HostKey, borrow: &Borrow, out: &mut Effects) {
    // A question that comes twice or late would lend and take back twice.
    if core
        .shares
        .answered
        .get(from)
        .is_some_and(|&last| borrow.round <= last)
    {
        return;
    }
    core.shares.answered.insert(from, borrow.round);
    let name = core.members.arena[from].name.clone();
    let mut loans = Vec::new();
    for wish in &borrow.wishes {
        if pledge::source(core, &wish.plan) != Source::Own {
            continue;
        }
        // A peer may have newer lists than this host.
        if let Some(allowance) = allowance(core, &wish.plan) {
            loans.push(lend(core, &wish.plan, &name, wish, &allowance));
        }
    }
    out.push(Effect::Send {
        to: from,
        message: Message::Lend(Lend {
            round: borrow.round,
            life: u32::try_from(LOAN.as_millis()).unwrap_or(u32::MAX),
            loans,
        }),
    });
    wake(core, out);
}

/// A peer granted loans.
pub fn lent(core: &mut Core, from: HostKey, lend: &Lend, out: &mut Effects) {
    // The answer to a question that was put anew is void: the home was told so by the new one.
    let Some(open) = core.shares.open.get(from).copied() else {
        return;
    };
    if open.round != lend.round {
        return;
    }
    core.shares.open.remove(from);
    let now = core.now;
    let until = open.sent.after(LOAN);
    let mut short = false;
    for loan in &lend.loans {
        let Some(part) = core.shares.parts.get_mut(&loan.plan) else {
            continue;
        };
        if part.source != Some(Source::Peer(from)) {
            continue;
        }
        part.told = Some(part.places + loan.running);
        if until > now {
            part.add(until, loan.requests, loan.tokens);
            seat(part, loan.running, now);
        }
        if loan.wait > 0 {
            let wait = Duration::from_millis(u64::from(loan.wait));
            part.spent = now.after(wait.min(SPENT_MOST));
        }
        serve(core, &loan.plan, out);
        let wait = Duration::from_millis(u64::from(loan.wait));
        let limits = allowance(core, &loan.plan).unwrap_or_default();
        let part = core.shares.parts.get(&loan.plan);
        if !part.is_some_and(|part| part.holds(&limits, wait)) {
            refuse(core, &loan.plan, wait, out);
        }
        let some = loan.requests + loan.tokens + f64::from(loan.running) > 0.0;
        let part = core.shares.parts.get(&loan.plan);
        short |= some && part.is_some_and(|part| !part.waiting.is_empty());
    }
    if short {
        ask(core, from, out);
    }
}
