//! Chooses the backend of a request.
//!
//! A host counts its own work at each engine exactly, and estimates that of other hosts from reports that lag and from
//! the duration of its own requests. Both become stale; the choice weights them by age, and has a random part so that
//! hosts do not all choose the same engine.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::event::Role;
use super::fleet::Fleet;
use super::key::BackendKey;
use super::load::{free_streams, gap, mix, pace, wait};
use super::{Core, Time};
use crate::settings::PoolSettings;

/// Minimum free streams of an engine, since other hosts send to it at the same time.
pub const FREE_STREAM_MARGIN: f64 = 3.0;
/// Cost that ranks an engine that looks full behind every other.
const FULL_ENGINE_PENALTY: f64 = 1e6;
/// Upper bound of the random part of the cost, so that hosts with the same data do not all choose the same engine.
const MAX_JITTER_SECS: f64 = 0.02;
/// Minimum weight of an engine that looks full, in free streams.
///
/// The report may be old; with a weight of zero, every host that uses the report would leave the engine idle.
const MIN_FREE_WEIGHT: f64 = 0.25;
/// Maximum number of engines that are compared for one request; larger pools are sampled at random.
const MAX_SAMPLED_ENGINES: usize = 48;
/// Expected fraction of a prompt's first block that is cached at the engine chosen by the block's hash.
const PREFIX_HIT_FRACTION: f64 = 0.8;

/// Properties of a request that determine the choice.
#[derive(Debug, Clone)]
pub struct Need {
    /// Model.
    pub model: Box<str>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Maximum tokens to generate.
    pub output: u32,
    /// Hash of the prompt's first block; 0 for a prompt shorter than a block.
    pub prefix: u64,
    /// Backends that must not be chosen.
    pub avoid: Vec<BackendKey>,
}

/// The backends chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Engine that generates the answer, or instance that serves the call.
    pub engine: BackendKey,
    /// Engine that prefills first, if the pool is split.
    pub prefill: Option<BackendKey>,
}

impl Choice {
    /// Returns the choice of one backend for the whole request.
    #[must_use]
    pub fn whole(engine: BackendKey) -> Self {
        Self {
            engine,
            prefill: None,
        }
    }
}

/// The best engines of one pool for one request, and the estimates for them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// The engines.
    pub choice: Choice,
    /// Seconds until the prompt is prefilled.
    pub first_token: f64,
    /// Seconds between tokens; infinite if no stream is free.
    pub token_gap: f64,
    /// Streams that the engine can still accept.
    pub free_streams: f64,
}

/// Returns the engine, or the two engines, for a request; `None` if none accepts work.
#[must_use]
pub fn choose_engine(core: &mut Core, need: &Need) -> Option<Choice> {
    offer(core, need).map(|offer| offer.choice)
}

/// Returns the best offer of the engines of the model; `None` if none accepts work.
#[must_use]
pub fn offer(core: &mut Core, need: &Need) -> Option<Offer> {
    let Core {
        fleet, rng, now, ..
    } = core;
    let domain = &core.settings.host.domain;
    let offers = fleet.serving(&need.model).filter_map(|pool| {
        let scan = Scan {
            fleet,
            settings: &pool.settings,
            engines: &pool.engines,
            domain,
            need,
            now: *now,
        };
        scan.offer(rng)
    });
    offers.min_by(|one, other| one.first_token.total_cmp(&other.first_token))
}

/// Returns the engine of `keys` that gets the prompts with this first block, so that the block is in its cache.
#[must_use]
pub fn prefix_engine(core: &Core, need: &Need, keys: &[BackendKey]) -> Option<BackendKey> {
    if need.prefix == 0 {
        return None;
    }
    let weight = |key: &BackendKey| mix(need.prefix ^ u64::from(core.fleet.arena[*key].name_hash));
    keys.iter().copied().max_by_key(weight)
}

/// The search for the best engines of a pool.
struct Scan<'a> {
    fleet: &'a Fleet,
    settings: &'a PoolSettings,
    engines: &'a [BackendKey],
    domain: &'a str,
    need: &'a Need,
    now: Time,
}

/// Cheapest engine so far.
type Best = Option<(f64, BackendKey)>;

impl Scan<'_> {
    fn offer(&self, rng: &mut SmallRng) -> Option<Offer> {
        let prefix_engine = self.prefix_engine();
        let (mut both, mut prefill, mut decode) = (None, None, None);
        let count = self.engines.len();
        for at in 0..count.min(MAX_SAMPLED_ENGINES) {
            let at = if count > MAX_SAMPLED_ENGINES {
                rng.random_range(0..count)
            } else {
                at
            };
            self.compare(
                self.engines[at],
                prefix_engine,
                rng,
                [&mut both, &mut prefill, &mut decode],
            );
        }
        let whole = both.map(|(_, engine)| self.estimate(Choice::whole(engine)));
        let split = prefill.zip(decode).map(|((_, prefill), (_, engine))| {
            self.estimate(Choice {
                engine,
                prefill: Some(prefill),
            })
        });
        match (whole, split) {
            (Some(whole), Some(split)) if split.first_token < whole.first_token => Some(split),
            (whole, split) => whole.or(split),
        }
    }

    /// Compares one engine with the best one so far for the part of the request that its role serves.
    fn compare(
        &self,
        key: BackendKey,
        prefix_engine: Best,
        rng: &mut SmallRng,
        best: [&mut Best; 3],
    ) {
        let engine = &self.fleet.arena[key];
        if !engine.is_available(self.now) || self.need.avoid.contains(&key) {
            return;
        }
        let [both, prefill, decode] = best;
        let crossing = if *engine.domain == *self.domain {
            0.0
        } else {
            CROSS_DOMAIN_LATENCY.as_secs_f64()
        };
        let noise = MAX_JITTER_SECS * rng.random::<f64>() + crossing;
        let fill = || {
            let saved = match prefix_engine {
                Some((_, prefix_engine)) if prefix_engine == key => {
                    PREFIX_HIT_FRACTION * self.settings.block_tokens as f64
                }
                _ => 0.0,
            };
            let prompt = (f64::from(self.need.prompt) - saved).max(0.0);
            wait(engine, self.settings, self.now) + prompt * pace(engine, self.settings) + noise
        };
        let (slot, cost) = match engine.role {
            Role::Both => (both, fill() + gap(engine, self.settings)),
            Role::Prefill => (prefill, fill()),
            Role::Decode => {
                // The draws are distributed so that each engine wins with a probability in proportion to its free
                // streams. Hosts with the same late report then spread their requests accordingly, instead of all
                // choosing one engine.
                let free = free_streams(engine, self.settings);
                let draw = -(1.0 - rng.random::<f64>()).ln();
                let penalty = if free < FREE_STREAM_MARGIN {
                    FULL_ENGINE_PENALTY
                } else {
                    0.0
                };
                (decode, draw / free.max(MIN_FREE_WEIGHT) + penalty)
            }
        };
        if slot.is_none_or(|(lowest, _)| cost < lowest) {
            *slot = Some((cost, key));
        }
    }

    /// Returns the engine that gets the prompts with this first block, so that the block is in its cache.
    fn prefix_engine(&self) -> Best {
        if self.need.prefix == 0 {
            return None;
        }
        let mut best: Option<(u64, BackendKey)> = None;
        for &key in self.engines {
            let engine = &self.fleet.arena[key];
            if engine.role == Role::Decode || !engine.is_available(self.now) {
                continue;
            }
            let weight = mix(self.need.prefix ^ u64::from(engine.name_hash));
            if best.is_none_or(|(highest, _)| weight > highest) {
                best = Some((weight, key));
            }
        }
        best.map(|(_, key)| (0.0, key))
    }

    fn estimate(&self, choice: Choice) -> Offer {
        let fill = &self.fleet.arena[choice.prefill.unwrap_or(choice.engine)];
        let prompt = f64::from(self.need.prompt) * pace(fill, self.settings);
        let engine = &self.fleet.arena[choice.engine];
        Offer {
            choice,
            first_token: wait(fill, self.settings, self.now) + prompt,
            token_gap: gap(engine, self.settings),
            free_streams: free_streams(engine, self.settings),
        }
    }
}

/// Additional time of a hop to another failure domain.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_micros(1500);

/// Returns the instance for a service call: one of those with the fewest calls of this host.
#[must_use]
pub fn choose_instance(core: &mut Core, service: &str, avoid: &[BackendKey]) -> Option<BackendKey> {
    let instances = core.fleet.services.get(service)?;
    let ready: Vec<BackendKey> = instances
        .iter()
        .copied()
        .filter(|key| core.fleet.arena[*key].is_available(core.now) && !avoid.contains(key))
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
