//! Which back end a request goes to.
//!
//! A host knows its own work at each engine exactly and that of other hosts only by reports that
//! lag and by how long its own requests took. Both grow stale, so that the choice weighs them by
//! age, and no host's choice is that of every other.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::event::Role;
use super::fleet::Fleet;
use super::key::BackendKey;
use super::load::{free_streams, gap, mix, pace, wait};
use super::{Core, Time};
use crate::settings::PoolSettings;

/// Free streams that an engine must have, since other hosts send to it at the same time.
pub const FREE_STREAM_MARGIN: f64 = 3.0;
/// Cost that puts an engine that looks full behind every other.
const FULL_ENGINE_PENALTY: f64 = 1e6;
/// Random part of the cost in seconds, so that hosts that know the same do not all choose the
/// same engine.
const MAX_JITTER_SECS: f64 = 0.02;
/// Least weight of an engine that looks full, against one with that many free streams.
///
/// The report may be old, and every host that believes it would leave the engine idle.
const MIN_FREE_WEIGHT: f64 = 0.25;
/// Engines that are weighed for one request at most, drawn at random from larger pools.
const MAX_SAMPLED_ENGINES: usize = 48;
/// Part of a prompt's first piece that the engine chosen by the piece's hash will have in its
/// cache, by expectation.
const PREFIX_HIT_FRACTION: f64 = 0.8;

/// What a request needs, as far as the choice is concerned.
#[derive(Debug, Clone)]
pub struct Need {
    /// Model.
    pub model: Box<str>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Most tokens to generate.
    pub output: u32,
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

/// The best engines of one pool for one request, and what they promise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// The engines.
    pub choice: Choice,
    /// Seconds until the prompt is worked through.
    pub first_token: f64,
    /// Seconds between tokens; infinite where no stream is free.
    pub token_gap: f64,
    /// Streams that the engine can still take.
    pub free: f64,
}

/// Returns the engine, or the two engines, for a request; `None` where none takes work.
#[must_use]
pub fn choose_engine(core: &mut Core, need: &Need) -> Option<Choice> {
    offer(core, need).map(|offer| offer.choice)
}

/// Returns what the engines of the model offer; `None` where none takes work.
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

/// Returns the one of `keys` that prompts with this first piece go to, so that its cache has it.
#[must_use]
pub fn prefix_engine(core: &Core, need: &Need, keys: &[BackendKey]) -> Option<BackendKey> {
    if need.prefix == 0 {
        return None;
    }
    let weight = |key: &BackendKey| mix(need.prefix ^ u64::from(core.fleet.arena[*key].name_hash));
    keys.iter().copied().max_by_key(weight)
}

/// One look over a pool.
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
        let home = self.prefix_engine();
        let (mut both, mut prefill, mut decode) = (None, None, None);
        let count = self.engines.len();
        for at in 0..count.min(MAX_SAMPLED_ENGINES) {
            let at = if count > MAX_SAMPLED_ENGINES {
                rng.random_range(0..count)
            } else {
                at
            };
            self.weigh(
                self.engines[at],
                home,
                rng,
                [&mut both, &mut prefill, &mut decode],
            );
        }
        let whole = both.map(|(_, engine)| self.promise(Choice::whole(engine)));
        let split = prefill.zip(decode).map(|((_, prefill), (_, engine))| {
            self.promise(Choice {
                engine,
                prefill: Some(prefill),
            })
        });
        match (whole, split) {
            (Some(whole), Some(split)) if split.first_token < whole.first_token => Some(split),
            (whole, split) => whole.or(split),
        }
    }

    /// Weighs one engine for the part of the request that its role does.
    fn weigh(&self, key: BackendKey, home: Best, rng: &mut SmallRng, best: [&mut Best; 3]) {
        let engine = &self.fleet.arena[key];
        if !engine.is_available(self.now) || self.need.avoid.contains(&key) {
            return;
        }
        let [both, prefill, decode] = best;
        let near = if *engine.domain == *self.domain {
            0.0
        } else {
            CROSS_DOMAIN_LATENCY.as_secs_f64()
        };
        let noise = MAX_JITTER_SECS * rng.random::<f64>() + near;
        let fill = || {
            let saved = match home {
                Some((_, home)) if home == key => {
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
                // Each engine's draw is distributed so that it wins with a probability in
                // proportion to its free streams: hosts that believe the same late report
                // then share the work out as it says, and do not all go to one engine.
                let free = free_streams(engine, self.settings);
                let draw = -(1.0 - rng.random::<f64>()).ln();
                let last = if free < FREE_STREAM_MARGIN {
                    FULL_ENGINE_PENALTY
                } else {
                    0.0
                };
                (decode, draw / free.max(MIN_FREE_WEIGHT) + last)
            }
        };
        if slot.is_none_or(|(least, _)| cost < least) {
            *slot = Some((cost, key));
        }
    }

    /// Returns the engine that prompts with this first piece go to, so that its cache has it.
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
            if best.is_none_or(|(most, _)| weight > most) {
                best = Some((weight, key));
            }
        }
        best.map(|(_, key)| (0.0, key))
    }

    fn promise(&self, choice: Choice) -> Offer {
        let fill = &self.fleet.arena[choice.prefill.unwrap_or(choice.engine)];
        let prompt = f64::from(self.need.prompt) * pace(fill, self.settings);
        let engine = &self.fleet.arena[choice.engine];
        Offer {
            choice,
            first_token: wait(fill, self.settings, self.now) + prompt,
            token_gap: gap(engine, self.settings),
            free: free_streams(engine, self.settings),
        }
    }
}

/// Time a hop to another failure domain takes longer than one within a failure domain.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_micros(1500);

/// Returns the instance for a service call: the one with the fewest calls of this host.
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
