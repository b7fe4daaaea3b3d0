//! Which engine of a pool should change its role, if any.
//!
//! Demand is what the hosts took in, not what lagging reports say. A change is worth making when
//! the answers it would save within a horizon outweigh what the engine's absence costs and what
//! the deployment holds against each change; all are counted in engine seconds.

use super::Time;
use super::event::Role;
use super::key::BackendKey;
use crate::settings::PoolSettings;

/// One engine as the decision sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its key.
    pub key: BackendKey,
    /// Failure domain.
    pub domain: Box<str>,
    /// Present role.
    pub role: Role,
    /// Whether new work goes there.
    pub serving: bool,
    /// Streams of all hosts there, as far as hosts have told.
    pub streams: u32,
    /// Speed against a nominal engine.
    pub speed: f64,
}

/// A pool as the decision sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct View<'a> {
    /// Time of the decision.
    pub now: Time,
    /// The pool's settings.
    pub settings: &'a PoolSettings,
    /// Its engines.
    pub engines: &'a [Engine],
    /// Prompt tokens a second that all hosts took in.
    pub prompt: f64,
    /// Output tokens a second that all hosts took in.
    pub output: f64,
}

/// Seconds over which demand is averaged.
///
/// Longer than a change takes, so that a swing which would be over before the engine is back is
/// not followed.
const SHORT_AVERAGE_SECS: f64 = 12.0;
/// Seconds over which demand is averaged to see its trend.
const LONG_AVERAGE_SECS: f64 = 45.0;
/// Seconds ahead for which demand is forecast: about what a change takes with its drain.
const FORECAST_SECS: f64 = 8.0;
/// Seconds over which what a change saves is counted.
const SAVINGS_HORIZON_SECS: f64 = 60.0;
/// Seconds that an engine is away for a change, its drain counted.
const CHANGE_DOWNTIME_SECS: f64 = 10.0;
/// Part of the prefill engines' time above which prompts begin to wait too long.
const MAX_PREFILL_UTILIZATION: f64 = 0.9;
/// Part of the decode engines' streams above which answers begin to wait.
const MAX_DECODE_UTILIZATION: f64 = 0.95;
/// Seconds for which a change must have looked worth making.
const MIN_STABLE_SECS: f64 = 7.0;
/// Seconds after a change during which none is made in the other direction, where only the
/// weight of changes counts; less, the more goodput weighs.
const REVERSAL_COOLDOWN_SECS: f64 = 60.0;
/// What a change costs in goodput, in engine seconds, as far as that rest is concerned.
const COOLDOWN_CHANGE_COST_SECS: f64 = 5.0;
/// Engines of a pool for each of which one may be away at a time.
const ENGINES_PER_CHANGE: usize = 20;

/// What the decision remembers between calls.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DecisionState {
    last_seen: Option<Time>,
    short: Work,
    long: Work,
    /// Role that looked worth taking on, and since when.
    candidate: Option<(Role, Time)>,
    /// Role last taken on, and when.
    last_change: Option<(Role, Time)>,
}

/// Engine seconds asked for a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Work {
    prefill: f64,
    decode: f64,
}

impl Work {
    /// Returns the average after `part` of the way from here to `other`.
    fn interpolate(self, other: Self, part: f64) -> Self {
        Self {
            prefill: self.prefill + part * (other.prefill - self.prefill),
            decode: self.decode + part * (other.decode - self.decode),
        }
    }

    /// Returns the engine seconds a second whose answers come late or not at all where the
    /// engines of each role have these speeds in sum.
    fn lost(self, speeds: Work) -> f64 {
        let all = self.prefill + self.decode;
        let late = |work: f64, speed: f64| {
            if work > 0.0 {
                (1.0 - speed / work).max(0.0)
            } else {
                0.0
            }
        };
        let prefill = late(self.prefill, speeds.prefill * MAX_PREFILL_UTILIZATION);
        let decode = late(self.decode, speeds.decode * MAX_DECODE_UTILIZATION);
        all * prefill.max(decode)
    }
}

/// A change worth making.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: BackendKey,
    /// Its new role.
    pub role: Role,
}

/// Returns the change worth making now, if any; called about once a second by a pool's holder.
#[must_use]
pub fn decide(view: &View<'_>, memory: &mut DecisionState) -> Option<Change> {
    if !view.settings.split {
        return None;
    }
    let work = update_forecast(view, memory);
    let away = view.engines.iter().filter(|engine| !engine.serving);
    if away.count() > view.engines.len() / ENGINES_PER_CHANGE {
        return None;
    }
    let speeds = speeds(view);
    if let Some(change) = split_engine(view, work, speeds) {
        return Some(change);
    }
    let best = [Role::Prefill, Role::Decode]
        .into_iter()
        .filter_map(|role| evaluate(view, work, speeds, role))
        .max_by(|one, other| one.0.total_cmp(&other.0));
    let Some((_, change)) = best else {
        memory.candidate = None;
        return None;
    };
    let since = match memory.candidate {
        Some((role, since)) if role == change.role => since,
        _ => view.now,
    };
    memory.candidate = Some((change.role, since));
    let passed = |at: Time| view.now.since(at).as_secs_f64();
    let back = memory.last_change.is_some_and(|(role, at)| {
        role != change.role && passed(at) < reversal_cooldown(view.settings)
    });
    if back || passed(since) < MIN_STABLE_SECS {
        return None;
    }
    memory.candidate = None;
    memory.last_change = Some((change.role, view.now));
    Some(change)
}

/// Returns the seconds after a change during which none is made in the other direction.
///
/// A deployment that weighs goodput takes a change back soon where it was wrong; one that weighs
/// changes rather waits whether the mix swings back.
fn reversal_cooldown(settings: &PoolSettings) -> f64 {
    let change = settings.change_cost;
    REVERSAL_COOLDOWN_SECS * change
        / (change + COOLDOWN_CHANGE_COST_SECS * settings.goodput_weight).max(f64::EPSILON)
}

/// Takes in the demand of the last second, and returns the forecast.
fn update_forecast(view: &View<'_>, memory: &mut DecisionState) -> Work {
    let now = Work {
        prefill: view.prompt / view.settings.prefill_rate,
        decode: view.output / view.settings.decode_rate,
    };
    let Some(seen) = memory.last_seen.replace(view.now) else {
        memory.short = now;
        memory.long = now;
        return now;
    };
    let passed = view.now.since(seen).as_secs_f64();
    let part = |over: f64| 1.0 - (-passed / over).exp();
    memory.short = memory.short.interpolate(now, part(SHORT_AVERAGE_SECS));
    memory.long = memory.long.interpolate(now, part(LONG_AVERAGE_SECS));
    let ahead = memory.short.interpolate(
        memory.long,
        -FORECAST_SECS / (LONG_AVERAGE_SECS - SHORT_AVERAGE_SECS),
    );
    Work {
        prefill: ahead.prefill.max(0.0),
        decode: ahead.decode.max(0.0),
    }
}

/// Returns the speeds of the serving engines of each role in sum.
fn speeds(view: &View<'_>) -> Work {
    let of = |role: Role| -> f64 {
        let engines = view.engines.iter();
        let engines = engines.filter(|engine| engine.serving && engine.role == role);
        engines.map(|engine| engine.speed).sum()
    };
    Work {
        prefill: of(Role::Prefill),
        decode: of(Role::Decode),
    }
}

/// Gives an engine that does both the role that is shorter of engines: a split pool has none.
fn split_engine(view: &View<'_>, work: Work, speeds: Work) -> Option<Change> {
    let engine = least_loaded(view, Role::Both)?;
    let prefill = (work.prefill + f64::EPSILON) / (speeds.prefill + f64::EPSILON);
    let decode = (work.decode + f64::EPSILON) / (speeds.decode + f64::EPSILON);
    let role = if prefill > decode {
        Role::Prefill
    } else {
        Role::Decode
    };
    Some(Change {
        engine: engine.key,
        role,
    })
}

/// Returns what it is worth that one more engine takes on a role, and which; `None` where it is
/// not worth a change.
fn evaluate(view: &View<'_>, work: Work, speeds: Work, role: Role) -> Option<(f64, Change)> {
    let (from, count) = match role {
        Role::Prefill => (Role::Decode, speeds.decode),
        Role::Decode => (Role::Prefill, speeds.prefill),
        Role::Both => return None,
    };
    let engine = least_loaded(view, from)?;
    if count <= engine.speed {
        return None;
    }
    let (mut without, mut with) = (speeds, speeds);
    match role {
        Role::Prefill => {
            without.decode -= engine.speed;
            with.decode -= engine.speed;
            with.prefill += engine.speed;
        }
        Role::Decode | Role::Both => {
            without.prefill -= engine.speed;
            with.prefill -= engine.speed;
            with.decode += engine.speed;
        }
    }
    let now = work.lost(speeds);
    let saved = (now - work.lost(with)) * SAVINGS_HORIZON_SECS;
    let spent = (work.lost(without) - now) * CHANGE_DOWNTIME_SECS;
    let worth = (saved - spent) * view.settings.goodput_weight - view.settings.change_cost;
    let change = Change {
        engine: engine.key,
        role,
    };
    (worth > 0.0).then_some((worth, change))
}

/// Returns the serving engine of a role with the fewest streams.
///
/// The failure domain with the most engines of the role gives one up, so that the loss of a
/// failure domain takes no role from the pool.
fn least_loaded<'a>(view: &View<'a>, role: Role) -> Option<&'a Engine> {
    let of_role = || {
        let engines = view.engines.iter();
        engines.filter(move |engine| engine.serving && engine.role == role)
    };
    of_role().min_by_key(|engine| {
        let beside = of_role().filter(|other| other.domain == engine.domain);
        (std::cmp::Reverse(beside.count()), engine.streams)
    })
}
