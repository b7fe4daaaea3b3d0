//! Decides which engine of a pool should change its role, if any.
//!
//! Demand is the work that hosts accepted, not what lagging reports show. A change is made if the goodput that it saves
//! within a horizon exceeds the cost of the engine's absence plus the weight that the deployment gives each change. All
//! are counted in engine seconds.

use super::Time;
use super::event::Role;
use super::key::BackendKey;
use crate::settings::PoolSettings;

/// One engine, as input to the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its key.
    pub key: BackendKey,
    /// Failure domain.
    pub domain: Box<str>,
    /// Current role.
    pub role: Role,
    /// Whether new work goes there.
    pub serving: bool,
    /// Streams of all hosts there, as far as hosts reported them.
    pub streams: u32,
    /// Speed relative to a nominal engine.
    pub speed: f64,
}

/// A pool, as input to the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct View<'a> {
    /// Time of the decision.
    pub now: Time,
    /// The pool's settings.
    pub settings: &'a PoolSettings,
    /// Its engines.
    pub engines: &'a [Engine],
    /// Prompt tokens per second that all hosts accepted.
    pub prompt: f64,
    /// Output tokens per second that all hosts accepted.
    pub output: f64,
}

/// Time constant of the short-term average of demand.
///
/// It is longer than a change takes, so that a swing which ends before the engine is back causes no change.
const SHORT_AVERAGE_SECS: f64 = 12.0;
/// Time constant of the long-term average of demand, which gives the trend.
const LONG_AVERAGE_SECS: f64 = 45.0;
/// Time ahead for which demand is forecast: about what a change takes with its drain.
const FORECAST_SECS: f64 = 8.0;
/// Time over which the savings of a change are counted.
const SAVINGS_HORIZON_SECS: f64 = 60.0;
/// Time for which an engine is unavailable during a change, its drain included.
const CHANGE_DOWNTIME_SECS: f64 = 10.0;
/// Utilization of the prefill engines above which prompts wait too long.
const MAX_PREFILL_UTILIZATION: f64 = 0.9;
/// Utilization of the decode engines' streams above which answers wait.
const MAX_DECODE_UTILIZATION: f64 = 0.95;
/// Time for which a change must have been worth making before it is made.
const MIN_STABLE_SECS: f64 = 7.0;
/// Time after a change during which none is made in the other direction, if only the weight of changes counts. The more
/// goodput weighs, the shorter it is.
const REVERSAL_COOLDOWN_SECS: f64 = 60.0;
/// Cost of a change in goodput, in engine seconds, for that time.
const COOLDOWN_CHANGE_COST_SECS: f64 = 5.0;
/// Number of engines of a pool for each of which one may be unavailable at a time.
const ENGINES_PER_CHANGE: usize = 20;

/// State of the decision between calls.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DecisionState {
    last_seen: Option<Time>,
    short_average: Work,
    long_average: Work,
    /// Role for which a change has been worth making, and since when.
    candidate: Option<(Role, Time)>,
    /// Role of the last change, and when it was made.
    last_change: Option<(Role, Time)>,
}

/// Engine seconds of work per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Work {
    prefill: f64,
    decode: f64,
}

impl Work {
    /// Interpolates from this to `other` by `fraction`.
    fn interpolate(self, other: Self, fraction: f64) -> Self {
        Self {
            prefill: self.prefill + fraction * (other.prefill - self.prefill),
            decode: self.decode + fraction * (other.decode - self.decode),
        }
    }

    /// Returns the engine seconds per second whose answers are late or missing if the engines of each role have these
    /// total speeds.
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

/// A change of an engine's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: BackendKey,
    /// Its new role.
    pub role: Role,
}

/// Returns the change to make now, if any; called about once a second by a pool's holder.
#[must_use]
pub fn decide(view: &View<'_>, state: &mut DecisionState) -> Option<Change> {
    if !view.settings.split {
        return None;
    }
    let work = update_forecast(view, state);
    let unavailable = view.engines.iter().filter(|engine| !engine.serving);
    if unavailable.count() > view.engines.len() / ENGINES_PER_CHANGE {
        return None;
    }
    let speeds = speeds(view);
    if let Some(change) = assign_role(view, work, speeds) {
        return Some(change);
    }
    let best = [Role::Prefill, Role::Decode]
        .into_iter()
        .filter_map(|role| evaluate(view, work, speeds, role))
        .max_by(|one, other| one.0.total_cmp(&other.0));
    let Some((_, change)) = best else {
        state.candidate = None;
        return None;
    };
    let since = match state.candidate {
        Some((role, since)) if role == change.role => since,
        _ => view.now,
    };
    state.candidate = Some((change.role, since));
    let passed = |at: Time| view.now.since(at).as_secs_f64();
    let reversal = state.last_change.is_some_and(|(role, at)| {
        role != change.role && passed(at) < reversal_cooldown(view.settings)
    });
    if reversal || passed(since) < MIN_STABLE_SECS {
        return None;
    }
    state.candidate = None;
    state.last_change = Some((change.role, view.now));
    Some(change)
}

/// Returns the seconds after a change during which none is made in the other direction.
///
/// A deployment that weighs goodput reverses a wrong change soon; one that weighs changes waits longer for the mix of
/// requests to swing back.
fn reversal_cooldown(settings: &PoolSettings) -> f64 {
    let change = settings.change_cost;
    REVERSAL_COOLDOWN_SECS * change
        / (change + COOLDOWN_CHANGE_COST_SECS * settings.goodput_weight).max(f64::EPSILON)
}

/// Adds the demand of the last second to the averages, and returns the forecast.
fn update_forecast(view: &View<'_>, state: &mut DecisionState) -> Work {
    let now = Work {
        prefill: view.prompt / view.settings.prefill_rate,
        decode: view.output / view.settings.decode_rate,
    };
    let Some(seen) = state.last_seen.replace(view.now) else {
        state.short_average = now;
        state.long_average = now;
        return now;
    };
    let passed = view.now.since(seen).as_secs_f64();
    let weight = |over: f64| 1.0 - (-passed / over).exp();
    state.short_average = state
        .short_average
        .interpolate(now, weight(SHORT_AVERAGE_SECS));
    state.long_average = state
        .long_average
        .interpolate(now, weight(LONG_AVERAGE_SECS));
    let ahead = state.short_average.interpolate(
        state.long_average,
        -FORECAST_SECS / (LONG_AVERAGE_SECS - SHORT_AVERAGE_SECS),
    );
    Work {
        prefill: ahead.prefill.max(0.0),
        decode: ahead.decode.max(0.0),
    }
}

/// Returns the total speed of the serving engines of each role.
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

/// Assigns an engine with both roles to the role that lacks engines more; a split pool has no engines with both.
fn assign_role(view: &View<'_>, work: Work, speeds: Work) -> Option<Change> {
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

/// Returns the net benefit of one more engine in a role, and the change; `None` if it is not worth a change.
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
    let net = (saved - spent) * view.settings.goodput_weight - view.settings.change_cost;
    let change = Change {
        engine: engine.key,
        role,
    };
    (net > 0.0).then_some((net, change))
}

/// Returns the serving engine of a role with the fewest streams, from the failure domain with the most engines of that
/// role.
///
/// Engines of a role thereby stay spread over the failure domains, so that the loss of one domain removes no role from
/// the pool.
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
