//! What work takes at the engines of a service, learned from their answers.
//!
//! Engines are not described: neither how fast they read, nor how much one differs from another.
//! Nothing here knows of requests or hosts; the caller brings measurements and asks for times.

mod attention;
mod link;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::event::Stage;
use attention::AttentionCost;
pub use link::Link;

/// Milliseconds a token takes at an engine that prefills, and at one that generates, before any
/// was measured: 40 tokens a millisecond, and less than half of it where others are generated for.
const INITIAL_TOKEN_MS: (f64, f64) = (0.025, 0.06);
/// Milliseconds until an idle engine has read the shortest prompt, before any was measured.
const INITIAL_BASE_MS: f64 = 50.0;
/// Milliseconds from a hand-over to the first token, before any was measured.
const INITIAL_HANDOVER_MS: f64 = 20.0;
/// Shortest time that a hand-over is taken for, in milliseconds: a step of a fast engine. What is
/// taken off for the transfer may be more than it was.
const MIN_HANDOVER_MS: f64 = 3.0;
/// Weight of a measurement above and below what is known of the shortest time: queues make it
/// longer now and then, nothing makes it shorter.
const BASE_WEIGHTS: (f64, f64) = (0.01, 0.2);
/// Tokens from which on a measurement tells of speed, and below which it tells of the shortest
/// time: ten times the tokens that an engine reads in the millisecond to which times are known.
const MIN_SPEED_TOKENS: u64 = 1000;
/// Weight of the newest measurement in an engine's pace.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Bounds of the pace, far outside of the speeds seen.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.15, 12.0);
/// Least weight of a measurement in what all engines of a service have in common.
const MIN_SHARED_WEIGHT: f64 = 0.01;
/// Least weight of one pause between events in an engine's pace: two hundred a second come from
/// an engine with forty streams, and single ones are drawn out by what it reads meanwhile.
const MIN_GAP_WEIGHT: f64 = 0.01;
/// Part of the time for the shortest prompt by which any time may differ for no reason.
const BASE_VARIATION_FRACTION: f64 = 0.5;
/// Part of a prompt's own work that may be ahead of it where it tells of the square.
const MAX_QUEUED_FRACTION: f64 = 0.5;

/// How fast an engine is against the others of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// Time that work takes there, against an average engine.
    pub factor: f64,
    /// Measurements of it, as many as matter.
    samples: u32,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            factor: INITIAL_SLOWDOWN,
            samples: 0,
        }
    }
}

impl Slowdown {
    /// Returns whether enough was measured to rank the engine by it.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SLOWDOWN_SAMPLES
    }

    /// Takes in a measurement, with at least this weight, as far as it can be trusted.
    fn learn(&mut self, slow: f64, least: f64, trust: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = least.max(1.0 / f64::from(self.samples.saturating_add(PRIOR_SAMPLES)));
        self.factor +=
            (slow.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1) - self.factor) * step * trust;
    }

    /// Returns the pace by which a measurement is freed of the engine; while little is known of
    /// it, what was measured counts as that of an average one.
    fn factor_if_known(&self) -> f64 {
        if self.is_known() { self.factor } else { 1.0 }
    }
}

/// Slowdown of an engine of which nothing was measured: a little faster than the average, so that it
/// is tried. Where only slow engines were measured, all others would pass for as slow.
const INITIAL_SLOWDOWN: f64 = 0.85;

/// Measurements that make an engine's pace known.
const MIN_SLOWDOWN_SAMPLES: u32 = 8;
/// Measurements that the average engine counts for, before any of the engine itself.
const PRIOR_SAMPLES: u32 = 2;

/// A time that all engines of a service have in common, but for their pace.
#[derive(Debug, Clone, Copy)]
struct SharedEstimate {
    millis: f64,
    samples: u32,
}

impl SharedEstimate {
    fn new(millis: f64) -> Self {
        Self { millis, samples: 0 }
    }

    /// Takes in a measurement, freed of the engine's pace, as far as it can be trusted.
    fn learn(&mut self, millis: f64, trust: f64) {
        if self.samples == 0 {
            self.millis = millis.clamp(
                self.millis * SLOWDOWN_BOUNDS.0,
                self.millis * SLOWDOWN_BOUNDS.1,
            );
        }
        let ratio = (millis / self.millis).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.samples = self.samples.saturating_add(1);
        let step = MIN_SHARED_WEIGHT.max(1.0 / f64::from(self.samples));
        self.millis *= 1.0 + (ratio - 1.0) * step * trust;
    }
}

/// What reading takes at the engines of one stage.
#[derive(Debug, Clone, Copy)]
struct StageModel {
    token: SharedEstimate,
    base: Option<f64>,
}

/// What the time of one prompt was made of.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Milliseconds until it was read, without what was spent on copying parts of it.
    pub took: f64,
    /// Tokens of it that were read.
    pub uncached: u64,
    /// Tokens before those that the engine held.
    pub cached: u64,
    /// Work that was ahead of it, in tokens by [`ServiceModel::equivalent_tokens`].
    pub queued: u64,
}

/// What is known of the engines of one service.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    prefill: StageModel,
    decode: StageModel,
    /// Milliseconds between two events of a stream.
    event_gap: Option<SharedEstimate>,
    /// Milliseconds from a hand-over to the first token, beside the transfer.
    handover: SharedEstimate,
    attention: AttentionCost,
}

impl Default for ServiceModel {
    fn default() -> Self {
        let reading = |token| StageModel {
            token: SharedEstimate::new(token),
            base: None,
        };
        Self {
            prefill: reading(INITIAL_TOKEN_MS.0),
            decode: reading(INITIAL_TOKEN_MS.1),
            event_gap: None,
            handover: SharedEstimate::new(INITIAL_HANDOVER_MS),
            attention: AttentionCost::default(),
        }
    }
}

impl ServiceModel {
    fn of(&self, stage: Stage) -> &StageModel {
        match stage {
            Stage::Prefill => &self.prefill,
            Stage::Decode => &self.decode,
        }
    }

    fn of_mut(&mut self, stage: Stage) -> &mut StageModel {
        match stage {
            Stage::Prefill => &mut self.prefill,
            Stage::Decode => &mut self.decode,
        }
    }

    /// Returns the work of reading `unread` tokens behind `held` ones, in tokens of a short
    /// prompt: each token is compared with all before it, so that long prompts take longer than
    /// their length says.
    #[must_use]
    pub fn equivalent_tokens(&self, unread: u64, held: u64) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some ten thousand tokens, never below zero"
        )]
        let more = (self.attention.factor() * attention::token_pairs(unread, held)) as u64;
        unread.saturating_add(more)
    }

    /// Returns the milliseconds that work of so many tokens takes at an engine of this pace.
    #[must_use]
    pub fn prefill_ms(&self, stage: Stage, pace: Slowdown, tokens: u64) -> f64 {
        tokens as f64 * self.of(stage).token.millis * pace.factor
    }

    /// Returns the milliseconds that work of so many tokens takes at an average engine that
    /// prefills.
    #[must_use]
    pub fn average_prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill.token.millis
    }

    /// Returns the milliseconds until an idle engine has read the shortest prompt.
    #[must_use]
    pub fn base_ms(&self, stage: Stage) -> f64 {
        self.of(stage).base.unwrap_or(INITIAL_BASE_MS)
    }

    /// Returns the milliseconds between two events of a stream at an engine of this pace, if any
    /// was measured.
    #[must_use]
    pub fn event_gap_ms(&self, pace: Slowdown) -> Option<f64> {
        self.event_gap.map(|gap| gap.millis * pace.factor)
    }

    /// Learns from the time in which an engine of this pace has read a prompt.
    pub fn record_prefill(&mut self, stage: Stage, sample: &Sample, pace: &mut Slowdown) {
        let own = self.equivalent_tokens(sample.uncached, sample.cached);
        let all = own.saturating_add(sample.queued);
        let base = self.base_ms(stage);
        if all < MIN_SPEED_TOKENS {
            let took = sample.took - self.prefill_ms(stage, *pace, all);
            let reading = self.of_mut(stage);
            let base = reading.base.get_or_insert(took);
            let step = if took > *base {
                BASE_WEIGHTS.0
            } else {
                BASE_WEIGHTS.1
            };
            *base += (took - *base) * step;
            return;
        }
        let reading = (sample.took - base).max(0.0);
        if sample.uncached >= MIN_SPEED_TOKENS
            && sample.queued as f64 <= own as f64 * MAX_QUEUED_FRACTION
        {
            let alone = reading - self.prefill_ms(stage, *pace, sample.queued);
            let plain = self.prefill_ms(stage, *pace, sample.uncached);
            self.attention
                .learn(sample.uncached, sample.cached, alone / plain);
        }
        let token = reading / all as f64;
        // What is fixed varies, too: of a short prompt little more than that is seen.
        let expected = self.prefill_ms(stage, *pace, all);
        let trust = expected / (expected + base.max(0.0) * BASE_VARIATION_FRACTION);
        let common = &mut self.of_mut(stage).token;
        common.learn(token / pace.factor_if_known(), trust);
        let slow = token / common.millis;
        pace.learn(slow, SLOWDOWN_WEIGHT, trust);
    }

    /// Returns the milliseconds from a hand-over to the first token at an engine of this pace,
    /// beside the transfer.
    #[must_use]
    pub fn handover_ms(&self, pace: Slowdown) -> f64 {
        self.handover.millis * pace.factor
    }

    /// Learns from the time that a hand-over took beside the transfer and what was read before it.
    pub fn record_handover(&mut self, millis: f64, pace: Slowdown) {
        let millis = millis.max(MIN_HANDOVER_MS);
        self.handover.learn(millis / pace.factor_if_known(), 1.0);
    }

    /// Learns from the time between two events of a stream at an engine of this pace.
    pub fn record_event_gap(&mut self, millis: f64, pace: &mut Slowdown) {
        let common = self
            .event_gap
            .get_or_insert(SharedEstimate::new(millis.max(1.0)));
        common.learn(millis / pace.factor_if_known(), 1.0);
        pace.learn(millis / common.millis, MIN_GAP_WEIGHT, 1.0);
    }
}

/// What is known of the engines of all services.
#[derive(Debug, Default)]
pub struct CostModel {
    services: BTreeMap<Box<str>, ServiceModel>,
    /// What stands for a service of which nothing was measured.
    unknown: ServiceModel,
}

impl CostModel {
    /// Returns what is known of the engines of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &ServiceModel {
        self.services.get(service).unwrap_or(&self.unknown)
    }

    /// Returns what is known of the engines of a service, to be added to.
    pub fn of_mut(&mut self, service: &str) -> &mut ServiceModel {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.into(), ServiceModel::default());
        }
        self.services.get_mut(service).unwrap_or(&mut self.unknown)
    }
}
