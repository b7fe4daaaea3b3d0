//! What each plan may still use at this host.
//!
//! Each host uses an equal part of every plan's share: the parts of all hosts add up to the
//! share, whatever requests reach which host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::Want;
use super::key::{HostKey, RequestKey};
use super::message::{Borrow, Lend};
use super::{Core, Effects, Time};

/// Seconds of its rate that a plan may save up.
const BURST: f64 = 1.0;

/// What a request took.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Taken {
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

/// One plan's part at this host.
#[derive(Debug, Default)]
struct Part {
    requests: f64,
    tokens: f64,
    running: u32,
    filled: Time,
}

/// Parts by plan.
#[derive(Debug, Default)]
pub struct Shares {
    parts: BTreeMap<Box<str>, Part>,
}

/// Takes a request's share.
pub fn take(core: &mut Core, key: RequestKey, _out: &mut Effects) -> Answer {
    let request = &core.requests.arena[key];
    let plan = request.record.plan.clone();
    let tokens = match &request.want {
        Want::Model(want) => f64::from(want.prompt) + f64::from(want.output),
        Want::Service(_) => 0.0,
    };
    let Some(allowance) = core.config.lists.uses.plans.get(&plan) else {
        return Answer::Taken;
    };
    let hosts = core.members.count() as f64;
    let part = core.shares.parts.entry(plan).or_default();
    let passed = core.now.since(part.filled).as_secs_f64().min(BURST);
    part.filled = core.now;
    let mut wait: f64 = 0.0;
    if let Some(rate) = allowance.requests {
        let rate = rate / hosts;
        part.requests = (part.requests + rate * passed).min(rate * BURST);
        wait = wait.max((1.0 - part.requests) / rate);
    }
    if let Some(rate) = allowance.tokens {
        let rate = rate / hosts;
        part.tokens = (part.tokens + rate * passed).min(rate * BURST);
        // A request larger than what can be saved up goes when the part is full, and is owed.
        wait = wait.max((tokens.min(rate * BURST) - part.tokens) / rate);
    }
    let full = |running| f64::from(part.running + 1) > f64::from(running) / hosts;
    if allowance.running.is_some_and(full) {
        wait = wait.max(1.0);
    }
    if wait > 0.0 {
        return Answer::Spent(Duration::from_secs_f64(wait));
    }
    part.requests -= 1.0;
    part.tokens -= tokens;
    part.running += 1;
    core.requests.arena[key].taken = Taken {
        tokens,
        place: true,
    };
    Answer::Taken
}

/// Gives back what a request took and did not use.
pub fn settle(core: &mut Core, key: RequestKey, _out: &mut Effects) {
    let request = &core.requests.arena[key];
    let taken = request.taken;
    if !taken.place {
        return;
    }
    let used = match &request.want {
        Want::Model(want) if request.delivered > 0 => {
            f64::from(want.prompt) + request.delivered as f64
        }
        _ => 0.0,
    };
    if let Some(part) = core.shares.parts.get_mut(&request.record.plan) {
        part.running = part.running.saturating_sub(1);
        part.tokens += taken.tokens - used;
    }
}

/// Forgets a request that waits for its share.
pub fn forget(_core: &mut Core, _key: RequestKey) {}

/// The lists changed.
pub fn changed(core: &mut Core) {
    let plans = &core.config.lists.uses.plans;
    core.shares.parts.retain(|plan, _| plans.contains_key(plan));
}

/// The hosts changed.
pub fn moved(_core: &mut Core, _out: &mut Effects) {}

/// This host is leaving.
pub fn leave(_core: &mut Core, _out: &mut Effects) {}

/// Time passed.
pub fn timer(_core: &mut Core, _out: &mut Effects) {}

/// A peer asks for a loan.
pub fn asked(_core: &mut Core, _from: HostKey, _borrow: &Borrow, _out: &mut Effects) {}

/// A peer granted a loan.
pub fn lent(_core: &mut Core, _from: HostKey, _lend: &Lend, _out: &mut Effects) {}
