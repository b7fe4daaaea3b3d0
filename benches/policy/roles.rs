//! Who decides role changes: the project's own decision, and what it is compared with.

use chiveway::core::Time;
use chiveway::core::event::Role;
use chiveway::core::key::BackendKey;
use chiveway::core::role::{self, DecisionState, View};
use chiveway::settings::PoolSettings;

use crate::engine::{Load, PREFILL, SLOTS};
use crate::trace::{Call, Case};

/// Seconds by which the schedule that knows the trace goes ahead of a shift.
const LEAD: f64 = 6.0;
/// Part of the engines' work above which the threshold controller changes a role.
const HIGH: f64 = 0.85;
/// Seconds between two looks of the threshold controller.
const LOOK: u64 = 5;

/// Who decides.
#[derive(Debug, Clone)]
pub enum Roles {
    /// Nobody.
    Fixed,
    /// [`role::decide`].
    Ours(DecisionState),
    /// Changes one engine when one side is busy and the other is not, by the last reports.
    Threshold,
    /// Prefill engines wanted at each second, worked out from the trace.
    Schedule(Vec<usize>),
}

/// One engine as deciders see it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// As the project's own decision sees it.
    pub own: role::Engine,
    /// Last report.
    pub load: Load,
}

/// What deciders see.
#[derive(Debug)]
pub struct Pool<'a> {
    /// Second of the decision.
    pub second: u64,
    /// Settings.
    pub settings: &'a PoolSettings,
    /// Engines.
    pub engines: &'a [Seen],
    /// Prompt tokens a second that the hosts took in over the last second.
    pub prompt: f64,
    /// Output tokens a second that the hosts took in over the last second.
    pub output: f64,
}

impl Roles {
    /// Returns the change to make now.
    pub fn decide(&mut self, pool: &Pool<'_>) -> Option<(BackendKey, Role)> {
        match self {
            Self::Fixed => None,
            Self::Ours(memory) => {
                let engines: Vec<role::Engine> =
                    pool.engines.iter().map(|seen| seen.own.clone()).collect();
                let view = View {
                    now: Time::from_millis(pool.second * 1000),
                    settings: pool.settings,
                    engines: &engines,
                    prompt: pool.prompt,
                    output: pool.output,
                };
                role::decide(&view, memory).map(|change| (change.engine, change.role))
            }
            Self::Threshold => threshold(pool),
            Self::Schedule(wanted) => {
                let second = usize::try_from(pool.second).unwrap_or(usize::MAX);
                follow(pool, *wanted.get(second)?)
            }
        }
    }
}

/// Changes one engine as soon as one side passes the threshold while the other is below it.
fn threshold(pool: &Pool<'_>) -> Option<(BackendKey, Role)> {
    let quiet = pool.engines.iter().all(|seen| seen.own.serving);
    if !pool.second.is_multiple_of(LOOK) || !quiet {
        return None;
    }
    let wanted = pool.settings.first_token.as_secs_f64() / 2.0;
    let of = |role: Role| {
        pool.engines
            .iter()
            .filter(move |seen| seen.own.role == role)
    };
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let prefill = mean(
        of(Role::Prefill)
            .map(|seen| seen.load.prefill as f64)
            .collect(),
    );
    let prefill = prefill / PREFILL / wanted;
    let streams = of(Role::Decode).map(|seen| f64::from(seen.load.running + seen.load.waiting));
    let decode = mean(streams.collect()) / SLOTS as f64;
    let change = |from: Role, to: Role| {
        let few = of(from).count() < 2;
        let idle = of(from).min_by_key(|seen| seen.own.streams)?;
        (!few).then_some((idle.own.key, to))
    };
    if prefill > HIGH && decode < HIGH {
        change(Role::Decode, Role::Prefill)
    } else if decode > HIGH && prefill < HIGH {
        change(Role::Prefill, Role::Decode)
    } else {
        None
    }
}

/// Goes one engine towards the number of prefill engines wanted.
fn follow(pool: &Pool<'_>, wanted: usize) -> Option<(BackendKey, Role)> {
    let of = |role: Role| {
        pool.engines
            .iter()
            .filter(move |seen| seen.own.role == role)
    };
    let now = of(Role::Prefill).count();
    if pool.engines.iter().any(|seen| !seen.own.serving) || now == wanted {
        return None;
    }
    let (from, to) = if now < wanted {
        (Role::Decode, Role::Prefill)
    } else {
        (Role::Prefill, Role::Decode)
    };
    let idle = of(from).min_by_key(|seen| seen.own.streams)?;
    Some((idle.own.key, to))
}

/// Returns the prefill engines that suit this work best: the busier side is least busy.
pub fn suited(prefill: f64, decode: f64, engines: usize) -> usize {
    let worst = |count: usize| {
        let prefill = prefill / count as f64;
        prefill.max(decode / (engines - count) as f64)
    };
    let counts = 1..engines;
    counts
        .min_by(|&one, &other| worst(one).total_cmp(&worst(other)))
        .unwrap_or(1)
}

/// Works out from the trace how many prefill engines to have at each second, looking `window`
/// seconds ahead.
pub fn schedule(case: &Case, calls: &[Call], window: f64) -> Vec<usize> {
    let seconds = case.length as usize;
    let mut work = vec![(0.0, 0.0); seconds + 1];
    for call in calls {
        let cell = &mut work[(call.at / 1_000_000) as usize];
        cell.0 += f64::from(call.prompt) / PREFILL;
        cell.1 += f64::from(call.output) / crate::engine::DECODE;
    }
    let wanted = (0..seconds).map(|second| {
        let from = (second + LEAD as usize).min(seconds);
        let to = (from + window as usize).min(seconds);
        let ahead = &work[from.min(to.saturating_sub(window as usize))..to];
        let prefill = ahead.iter().map(|cell| cell.0).sum();
        let decode = ahead.iter().map(|cell| cell.1).sum();
        suited(prefill, decode, case.site.engines)
    });
    wanted.collect()
}
