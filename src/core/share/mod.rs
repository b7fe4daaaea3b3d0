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
use super::event::{Timer, Want};
use super::key::{HostKey, RequestKey};
use super::message::Wish;
use super::{Core, Effects, Time, request};
use crate::lists::Quota;
use ledger::Ledger;
use pledge::{LOAN, Pledges, Source};

pub use borrow::{asked, lent};
pub use pledge::{PLEDGE, SETTLE, heard, hosts, joined, left, listed, sending, views};

/// Time between two looks at what is short.
const ROUND: Duration = Duration::from_millis(100);
/// Time of recent use that is asked for ahead of need.
const AHEAD: f64 = 0.3;
/// Weight of the last round in the recent use.
const RECENT: f64 = 0.2;
/// Time without use after which a plan costs nothing any more.
const UNUSED: Duration = Duration::from_secs(5);
/// Longest wait for which a request is held back rather than refused.
const HOLD: Duration = Duration::from_millis(150);
/// Requests held at any rate.
const HELD: f64 = 2.0;
/// Remaining life at which what was not used goes back.
const GIVE_BACK: Duration = Duration::from_millis(150);

/// What a request took.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Taken {
    /// Requests taken: one or, without a limit, none.
    pub requests: f64,
    /// Tokens taken.
    pub tokens: f64,
    /// Whether a place for a running request was taken.
    pub place: bool,
}

/// Answer to a request that wants its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It has it.
    Taken,
    /// It waits for another host.
    Wait,
    /// There is none; it may come back after this time.
    Spent(Duration),
}

/// A loan that is not used up.
#[derive(Debug)]
struct Lot {
    until: Time,
    requests: f64,
    tokens: f64,
}

/// One plan's part at this host.
#[derive(Debug, Default)]
struct Part {
    lots: VecDeque<Lot>,
    /// Tokens used beyond what was taken.
    owed: f64,
    /// Places lent to this host, used or idle.
    places: u32,
    running: u32,
    /// Idle places go back after this.
    idle: Time,
    /// Places that the home knows of; `None` when it may not.
    told: Option<u32>,
    waiting: VecDeque<RequestKey>,
    /// Taken since the last round, and a second lately.
    taken: (f64, f64),
    recent: (f64, f64),
    /// The home has nothing before this.
    spent: Time,
    used: Time,
    source: Option<Source>,
}

/// A question to a home that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct Open {
    round: u64,
    sent: Time,
}

/// Parts at this host, and ledgers of the plans it is the home of.
#[derive(Debug, Default)]
pub struct Shares {
    parts: BTreeMap<Box<str>, Part>,
    ledgers: BTreeMap<Box<str>, Ledger>,
    /// This host's own parts of plans whose home is silent.
    own: BTreeMap<Box<str>, Ledger>,
    pledges: Pledges,
    open: SecondaryMap<HostKey, Open>,
    /// Last round of questions answered, by peer.
    answered: SecondaryMap<HostKey, u64>,
    round: u64,
    awake: bool,
}

impl Part {
    /// Takes what a request costs, if it is here.
    fn pay(&mut self, cost: Taken, now: Time) -> bool {
        self.lots.retain(|lot| lot.until > now);
        let (requests, tokens) = self.have();
        if requests < cost.requests || tokens < cost.tokens {
            return false;
        }
        if cost.place && self.running >= self.places {
            return false;
        }
        let (mut requests, mut tokens) = (cost.requests, cost.tokens);
        for lot in &mut self.lots {
            let (some, more) = (lot.requests.min(requests), lot.tokens.min(tokens));
            lot.requests -= some;
            lot.tokens -= more;
            requests -= some;
            tokens -= more;
        }
        self.running += u32::from(cost.place);
        self.taken.0 += cost.requests;
        self.taken.1 += cost.tokens;
        self.used = now;
        true
    }

    /// Returns whether requests are rather held than refused.
    ///
    /// A wait that is shorter than the caller's own next try would be is not worth a refusal; the
    /// queue is kept as short as the wait.
    fn holds(&self, allowance: &Quota, wait: Duration) -> bool {
        let rate = allowance.requests.unwrap_or(0.0);
        let most = HOLD.as_secs_f64() * rate + HELD;
        wait.is_zero() || wait <= HOLD && (self.waiting.len() as f64) < most
    }

    fn have(&self) -> (f64, f64) {
        let requests = self.lots.iter().map(|lot| lot.requests).sum();
        let tokens: f64 = self.lots.iter().map(|lot| lot.tokens).sum();
        (requests, tokens)
    }

    /// Adds a loan; what is owed is paid from it first.
    fn add(&mut self, until: Time, requests: f64, tokens: f64) {
        let paid = self.owed.min(tokens);
        self.owed -= paid;
        self.lots.push_back(Lot {
            until,
            requests,
            tokens: tokens - paid,
        });
    }

    /// Takes out what is about to lapse unused, to be given back.
    fn lapsing(&mut self, now: Time) -> (f64, f64) {
        let soon = now.after(GIVE_BACK);
        let mut back = (0.0, 0.0);
        self.lots.retain(|lot| {
            if lot.until > now && lot.until <= soon {
                back.0 += lot.requests;
                back.1 += lot.tokens;
            }
            lot.until > soon
        });
        if self.idle <= soon {
            self.places = self.running;
        }
        back
    }

    /// Brings the recent use up to date; called once a round.
    fn count(&mut self) {
        let taken = std::mem::take(&mut self.taken);
        let rate = |taken: f64, recent: f64| {
            recent * (1.0 - RECENT) + taken / ROUND.as_secs_f64() * RECENT
        };
        self.recent = (rate(taken.0, self.recent.0), rate(taken.1, self.recent.1));
    }
}

fn cost(core: &Core, key: RequestKey, allowance: &Quota) -> Taken {
    let tokens = match &core.requests.arena[key].want {
        Want::Model(want) => f64::from(want.prompt) + f64::from(want.output),
        Want::Service(_) => 0.0,
    };
    Taken {
        requests: f64::from(u8::from(allowance.requests.is_some())),
        tokens: allowance.tokens.map_or(0.0, |_| tokens),
        place: allowance.running.is_some(),
    }
}

fn allowance(core: &Core, plan: &str) -> Option<Quota> {
    core.config.lists.uses.plans.get(plan)?.quota()
}

/// Takes a request's share.
pub fn take(core: &mut Core, key: RequestKey, out: &mut Effects) -> Answer {
    let plan = core.requests.arena[key].record.plan.clone();
    let Some(allowance) = allowance(core, &plan) else {
        return Answer::Taken;
    };
    let cost = cost(core, key, &allowance);
    wake(core, out);
    let now = core.now;
    let source = source(core, &plan);
    let part = core.shares.parts.entry(plan.clone()).or_default();
    part.used = now;
    if part.waiting.is_empty() && part.pay(cost, now) {
        core.requests.arena[key].taken = cost;
        return Answer::Taken;
    }
    match source {
        Source::Own | Source::Part => {
            let wait = borrow::draw(core, &plan, &allowance, cost);
            let part = core.shares.parts.entry(plan).or_default();
            if part.pay(cost, now) {
                core.requests.arena[key].taken = cost;
                Answer::Taken
            } else if part.holds(&allowance, wait) {
                part.waiting.push_back(key);
                Answer::Wait
            } else {
                Answer::Spent(wait)
            }
        }
        Source::Silent(_) => {
            part.waiting.push_back(key);
            Answer::Wait
        }
        Source::Peer(_) if part.spent > now => Answer::Spent(part.spent.since(now)),
        Source::Peer(home) => {
            part.waiting.push_back(key);
            borrow::ask(core, home, out);
            Answer::Wait
        }
    }
}

/// Returns where a plan's share comes from, and drops what came from elsewhere.
fn source(core: &mut Core, plan: &str) -> Source {
    let source = pledge::source(core, plan);
    let now = core.now;
    let part = core.shares.parts.entry(plan.into()).or_default();
    if part.source != Some(source) {
        part.source = Some(source);
        part.spent = now;
        part.told = None;
        if source != Source::Part {
            core.shares.own.remove(plan);
        }
    }
    source
}

/// Gives back what a request took and did not use.
pub fn settle(core: &mut Core, key: RequestKey, _out: &mut Effects) {
    let now = core.now;
    let request = &core.requests.arena[key];
    let taken = request.taken;
    let used = match &request.want {
        Want::Model(want) if request.delivered > 0 => {
            f64::from(want.prompt) + request.delivered as f64
        }
        _ => 0.0,
    };
    if taken == Taken::default() {
        return;
    }
    let part = core
        .shares
        .parts
        .entry(request.record.plan.clone())
        .or_default();
    if taken.place {
        part.running = part.running.saturating_sub(1);
        part.idle = now.after(LOAN);
    }
    if taken.tokens > 0.0 {
        if used > taken.tokens {
            part.owed += used - taken.tokens;
        } else {
            part.add(now.after(LOAN), 0.0, taken.tokens - used);
        }
    }
}

/// Forgets a request that waits for its share.
pub fn forget(core: &mut Core, key: RequestKey) {
    let plan = &core.requests.arena[key].record.plan;
    if let Some(part) = core.shares.parts.get_mut(plan) {
        part.waiting.retain(|&waiting| waiting != key);
    }
}

/// Lets waiting requests go as far as what is here allows.
fn serve(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(allowance) = allowance(core, plan) else {
        return;
    };
    let now = core.now;
    while let Some(key) = first(core, plan) {
        let cost = cost(core, key, &allowance);
        let part = core.shares.parts.entry(plan.into()).or_default();
        if !part.pay(cost, now) {
            return;
        }
        part.waiting.pop_front();
        core.requests.arena[key].taken = cost;
        request::share_granted(core, key, out);
    }
}

fn first(core: &Core, plan: &str) -> Option<RequestKey> {
    core.shares.parts.get(plan)?.waiting.front().copied()
}

/// Draws for the waiting requests of a plan that this host lends to itself.
fn serve_own(core: &mut Core, plan: &str, out: &mut Effects) {
    let Some(allowance) = allowance(core, plan) else {
        return;
    };
    while let Some(key) = first(core, plan) {
        let cost = cost(core, key, &allowance);
        let wait = borrow::draw(core, plan, &allowance, cost);
        serve(core, plan, out);
        if first(core, plan) == Some(key) {
            let part = core.shares.parts.get(plan);
            if !part.is_some_and(|part| part.holds(&allowance, wait)) {
                refuse(core, plan, wait, out);
            }
            return;
        }
    }
}

/// Refuses the waiting requests of a plan.
fn refuse(core: &mut Core, plan: &str, wait: Duration, out: &mut Effects) {
    while let Some(part) = core.shares.parts.get_mut(plan)
        && let Some(key) = part.waiting.pop_front()
    {
        request::refuse_spent(core, key, wait, out);
    }
}

/// The lists changed.
pub fn changed(core: &mut Core) {
    let plans = &core.config.lists.uses.plans;
    let shares = &mut core.shares;
    shares.ledgers.retain(|plan, _| plans.contains_key(plan));
    shares.own.retain(|plan, _| plans.contains_key(plan));
}

/// The hosts changed.
pub fn moved(core: &mut Core, out: &mut Effects) {
    if !pledge::moved(core) {
        return;
    }
    let plans: Vec<Box<str>> = core.shares.parts.keys().cloned().collect();
    for plan in plans {
        source(core, &plan);
    }
    wake(core, out);
}

/// Checks on pledges; called with each beat.
pub fn beat(core: &mut Core) {
    pledge::look(core);
}

/// Returns whether the hosts have settled with this one since its start.
///
/// Until then no home may lend and this host would refuse every caller with a limit.
#[must_use]
pub fn settled(core: &Core) -> bool {
    pledge::settled_in(core)
}

/// This host is leaving: what is here goes back with the next round, and it lends to its end.
pub fn leave(core: &mut Core, out: &mut Effects) {
    for part in core.shares.parts.values_mut() {
        part.recent = (0.0, 0.0);
    }
    wake(core, out);
}

fn wake(core: &mut Core, out: &mut Effects) {
    if !core.shares.awake {
        core.shares.awake = true;
        out.push(Effect::Wake {
            at: core.now.after(ROUND),
            timer: Timer::Shares,
        });
    }
}

/// Gives back, asks ahead of need, and forgets what is not used.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.shares.awake = false;
    let now = core.now;
    for part in core.shares.parts.values_mut() {
        part.count();
    }
    borrow::round(core, out);
    core.shares.parts.retain(|_, part| {
        let unused = now.since(part.used) >= UNUSED && part.running == 0 && part.owed <= 0.0;
        let idle = part.waiting.is_empty() && part.places == 0 && part.told.unwrap_or(0) == 0;
        !(unused && idle)
    });
    borrow::tidy(core);
    if !(core.shares.parts.is_empty() && core.shares.ledgers.is_empty()) {
        wake(core, out);
    }
}

fn wish(plan: &str, part: &Part, cost: Option<Taken>) -> Wish {
    Wish {
        plan: plan.into(),
        waiting: u32::from(cost.is_some()),
        least: cost.map_or(0.0, |cost| cost.tokens),
        held: part.places,
        ..Wish::default()
    }
}
