//! Which back end a request goes to.

use rand::RngExt;

use super::event::Role;
use super::fleet::Backend;
use super::key::BackendKey;
use super::{Core, Time};

/// Seconds a prompt token takes at an engine that was never measured.
const PACE: f64 = 0.0;
/// How much longer the wait at the engine that has the prompt's prefix may be, in parts of the
/// prompt's own prefill, before another engine is taken.
const STICK: f64 = 1.0;
/// Age at which a load report is worth half.
///
/// Reports lag, so that a busy engine can look idle to every host at once. This host's own counts
/// are exact; the report only adds what others sent, and less the older it is.
const HALF_AGE: f64 = 2.0;

/// What a request needs, as far as the choice is concerned.
#[derive(Debug, Clone)]
pub struct Need {
    /// Model.
    pub model: Box<str>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Hash of the prompt's first piece; 0 for a prompt shorter than a piece.
    pub prefix: u64,
    /// Back ends not to take again.
    pub avoid: Vec<BackendKey>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Engine that generates the answer, or instance that takes the call.
    pub engine: BackendKey,
    /// Engine that prefills first, where the pool is split.
    pub prefill: Option<BackendKey>,
}

impl Choice {
    /// Returns the choice of one back end for the whole request.
    #[must_use]
    pub fn whole(engine: BackendKey) -> Self {
        Self {
            engine,
            prefill: None,
        }
    }
}

/// Returns the engine, or the two engines, for a request; `None` where none takes work.
#[must_use]
pub fn engine(core: &mut Core, need: &Need) -> Option<Choice> {
    let both = candidates(core, need, Role::Both);
    if let Some(engine) = best(core, &both, need) {
        return Some(Choice::whole(engine));
    }
    let prefills = candidates(core, need, Role::Prefill);
    let decodes = candidates(core, need, Role::Decode);
    let prefill = best(core, &prefills, need)?;
    let engine = least_streams(core, &decodes)?;
    Some(Choice {
        engine,
        prefill: Some(prefill),
    })
}

fn best(core: &mut Core, candidates: &[BackendKey], need: &Need) -> Option<BackendKey> {
    let home = affine(core, need, candidates);
    let best = two_choices(core, candidates, need)?;
    let Some(home) = home else {
        return Some(best);
    };
    let slack = STICK * f64::from(need.prompt) * pace(core, home);
    let stays = wait(core, home) <= wait(core, best) + slack;
    Some(if stays { home } else { best })
}

/// Returns the one of two engines drawn at random that decodes fewer streams.
fn least_streams(core: &mut Core, candidates: &[BackendKey]) -> Option<BackendKey> {
    if candidates.is_empty() {
        return None;
    }
    let one = candidates[core.rng.random_range(0..candidates.len())];
    let two = candidates[core.rng.random_range(0..candidates.len())];
    let streams = |key: BackendKey| core.fleet.arena[key].streams;
    Some(if streams(two) < streams(one) {
        two
    } else {
        one
    })
}

/// Returns the engines of one role that take this request.
fn candidates(core: &Core, need: &Need, role: Role) -> Vec<BackendKey> {
    let fleet = &core.fleet;
    let mut keys: Vec<BackendKey> = fleet
        .serving(&need.model)
        .flat_map(|pool| pool.engines.iter().copied())
        .filter(|&key| {
            let engine = &fleet.arena[key];
            engine.takes(core.now) && engine.role == role && !need.avoid.contains(&key)
        })
        .collect();
    keys.sort_unstable();
    keys
}

/// Returns the engine that prompts with this first piece go to, so that its cache has it.
pub(super) fn affine(core: &Core, need: &Need, candidates: &[BackendKey]) -> Option<BackendKey> {
    if need.prefix == 0 {
        return None;
    }
    candidates.iter().copied().max_by_key(|&key| {
        let hash =
            blake3::hash(format!("{}\n{}", need.prefix, core.fleet.arena[key].name).as_bytes());
        *hash.as_bytes()
    })
}

/// Returns the better of two engines drawn at random.
///
/// Taking the best of all by late reports would send every host to the same engine.
fn two_choices(core: &mut Core, candidates: &[BackendKey], need: &Need) -> Option<BackendKey> {
    if candidates.is_empty() {
        return None;
    }
    let one = candidates[core.rng.random_range(0..candidates.len())];
    let two = candidates[core.rng.random_range(0..candidates.len())];
    let cost = |key: BackendKey| {
        let far = core.fleet.arena[key].domain != core.settings.host.domain;
        let near = u8::from(far);
        (
            wait(core, key) + f64::from(need.prompt) * pace(core, key),
            near,
        )
    };
    Some(if cost(two) < cost(one) { two } else { one })
}

/// Returns the seconds until an engine gets to a new prompt, by this host's reckoning.
#[must_use]
pub fn wait(core: &Core, key: BackendKey) -> f64 {
    let engine = &core.fleet.arena[key];
    let own = engine.prefill as f64 * pace(core, key);
    own + reported(engine, core.now) + f64::from(engine.streams) * 1e-3
}

/// Returns the wait that an engine's own report adds, weighed by its age.
fn reported(engine: &Backend, now: Time) -> f64 {
    let Some((read, report)) = &engine.report else {
        return 0.0;
    };
    let age = now.since(*read).as_secs_f64() + f64::from(report.age) / 1000.0;
    let weight = 0.5_f64.powf(age / HALF_AGE);
    let others = f64::from(report.running + report.waiting) - f64::from(engine.streams);
    weight * others.max(0.0) * 1e-3
}

/// Returns the seconds that a prompt token takes at an engine.
#[must_use]
pub fn pace(core: &Core, key: BackendKey) -> f64 {
    let engine = &core.fleet.arena[key];
    if engine.pace > 0.0 {
        return engine.pace;
    }
    core.fleet.pool(&engine.pool).map_or(PACE, |pool| {
        1.0 / core.fleet.pools[usize::from(pool.0)].settings.prefill
    })
}

/// Returns the instance for a service call: the one with the fewest calls of this host.
#[must_use]
pub fn instance(core: &mut Core, service: &str, avoid: &[BackendKey]) -> Option<BackendKey> {
    let instances = core.fleet.services.get(service)?;
    let ready: Vec<BackendKey> = instances
        .iter()
        .copied()
        .filter(|key| core.fleet.arena[*key].takes(core.now) && !avoid.contains(key))
        .collect();
    let fewest = ready
        .iter()
        .map(|&key| core.fleet.arena[key].streams)
        .min()?;
    let best: Vec<BackendKey> = ready
        .into_iter()
        .filter(|&key| core.fleet.arena[key].streams == fewest)
        .collect();
    Some(best[core.rng.random_range(0..best.len())])
}
