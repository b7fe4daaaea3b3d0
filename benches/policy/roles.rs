//! Controllers of role changes: the decision of this project, and those that it is compared with.

use chiveway::core::Time;
use chiveway::core::event::Role;
use chiveway::core::key::BackendKey;
use chiveway::core::role::{self, DecisionState, View};
use chiveway::settings::PoolSettings;

use crate::engine::{BATCH_SLOTS, Load, PREFILL_TOKENS_PER_SEC};
use crate::trace::{Call, Case};

/// Seconds by which the schedule computed from the trace precedes a change of the mix.
const SCHEDULE_LEAD_SECS: f64 = 6.0;
/// Utilization of a role from which the threshold controller moves an engine to it.
const BUSY_FRACTION: f64 = 0.85;
/// Seconds between decisions of the threshold controller.
const THRESHOLD_INTERVAL_SECS: u64 = 5;

/// Controller of role changes.
#[derive(Debug, Clone)]
pub enum RoleController {
    /// No role changes.
    Fixed,
    /// [`role::decide`].
    Chiveway(DecisionState),
    /// Moves one engine when the last reports show that one role is busy and the other is not.
    Threshold,
    /// Wanted number of prefill engines at each second, computed from the trace.
    Schedule(Vec<usize>),
}

/// State of one engine that the controllers decide by.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Input of [`role::decide`].
    pub engine: role::Engine,
    /// Last load report.
    pub load: Load,
}

/// State of the pool that the controllers decide by.
#[derive(Debug)]
pub struct Pool<'a> {
    /// Second of the decision.
    pub second: u64,
    /// Settings.
    pub settings: &'a PoolSettings,
    /// Engines.
    pub engines: &'a [Candidate],
    /// Prompt tokens per second accepted by the hosts over the last second.
    pub prompt_rate: f64,
    /// Output tokens per second accepted by the hosts over the last second.
    pub output_rate: f64,
}

impl RoleController {
    /// Returns the role change to start now, if any.
    pub fn decide(&mut self, pool: &Pool<'_>) -> Option<(BackendKey, Role)> {
        match self {
            Self::Fixed => None,
            Self::Chiveway(state) => {
                let engines: Vec<role::Engine> = pool
                    .engines
                    .iter()
                    .map(|candidate| candidate.engine.clone())
                    .collect();
                let view = View {
                    now: Time::from_millis(pool.second * 1000),
                    settings: pool.settings,
                    engines: &engines,
                    prompt: pool.prompt_rate,
                    output: pool.output_rate,
                };
                role::decide(&view, state).map(|change| (change.engine, change.role))
            }
            Self::Threshold => decide_by_threshold(pool),
            Self::Schedule(wanted) => {
                let second = usize::try_from(pool.second).unwrap_or(usize::MAX);
                follow_schedule(pool, *wanted.get(second)?)
            }
        }
    }
}

/// Moves one engine when one role is above the threshold and the other is below it.
fn decide_by_threshold(pool: &Pool<'_>) -> Option<(BackendKey, Role)> {
    let all_serving = pool
        .engines
        .iter()
        .all(|candidate| candidate.engine.serving);
    if !pool.second.is_multiple_of(THRESHOLD_INTERVAL_SECS) || !all_serving {
        return None;
    }
    let target_secs = pool.settings.first_token.as_secs_f64() / 2.0;
    let with_role = |role: Role| {
        pool.engines
            .iter()
            .filter(move |candidate| candidate.engine.role == role)
    };
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let prefill = mean(
        with_role(Role::Prefill)
            .map(|candidate| candidate.load.queued_prefill as f64)
            .collect(),
    );
    let prefill = prefill / PREFILL_TOKENS_PER_SEC / target_secs;
    let streams = with_role(Role::Decode)
        .map(|candidate| f64::from(candidate.load.running + candidate.load.waiting));
    let decode = mean(streams.collect()) / BATCH_SLOTS as f64;
    let change = |from: Role, to: Role| {
        let is_last = with_role(from).count() < 2;
        let least_busy = with_role(from).min_by_key(|candidate| candidate.engine.streams)?;
        (!is_last).then_some((least_busy.engine.key, to))
    };
    if prefill > BUSY_FRACTION && decode < BUSY_FRACTION {
        change(Role::Decode, Role::Prefill)
    } else if decode > BUSY_FRACTION && prefill < BUSY_FRACTION {
        change(Role::Prefill, Role::Decode)
    } else {
        None
    }
}

/// Moves one engine towards the wanted number of prefill engines.
fn follow_schedule(pool: &Pool<'_>, wanted: usize) -> Option<(BackendKey, Role)> {
    let with_role = |role: Role| {
        pool.engines
            .iter()
            .filter(move |candidate| candidate.engine.role == role)
    };
    let now = with_role(Role::Prefill).count();
    if pool
        .engines
        .iter()
        .any(|candidate| !candidate.engine.serving)
        || now == wanted
    {
        return None;
    }
    let (from, to) = if now < wanted {
        (Role::Decode, Role::Prefill)
    } else {
        (Role::Prefill, Role::Decode)
    };
    let least_busy = with_role(from).min_by_key(|candidate| candidate.engine.streams)?;
    Some((least_busy.engine.key, to))
}

/// Returns the number of prefill engines that minimizes the load of the busier role.
pub fn balanced_split(prefill: f64, decode: f64, engines: usize) -> usize {
    let max_load = |count: usize| {
        let prefill = prefill / count as f64;
        prefill.max(decode / (engines - count) as f64)
    };
    let counts = 1..engines;
    counts
        .min_by(|&one, &other| max_load(one).total_cmp(&max_load(other)))
        .unwrap_or(1)
}

/// Computes the wanted number of prefill engines at each second from the `window_secs` of the trace
/// that follow.
pub fn schedule(case: &Case, calls: &[Call], window_secs: f64) -> Vec<usize> {
    let seconds = case.length_secs as usize;
    let mut work = vec![(0.0, 0.0); seconds + 1];
    for call in calls {
        let cell = &mut work[(call.at_us / 1_000_000) as usize];
        cell.0 += f64::from(call.prompt) / PREFILL_TOKENS_PER_SEC;
        cell.1 += f64::from(call.output) / crate::engine::DECODE_TOKENS_PER_SEC;
    }
    let wanted = (0..seconds).map(|second| {
        let from = (second + SCHEDULE_LEAD_SECS as usize).min(seconds);
        let to = (from + window_secs as usize).min(seconds);
        let ahead = &work[from.min(to.saturating_sub(window_secs as usize))..to];
        let prefill = ahead.iter().map(|cell| cell.0).sum();
        let decode = ahead.iter().map(|cell| cell.1).sum();
        balanced_split(prefill, decode, case.site.engines)
    });
    wanted.collect()
}
