//! Cost model of a service's engines, estimated from measured response times.
//!
//! The configuration does not describe engines: neither how fast they prefill, nor how much they
//! differ. This module does not depend on requests or hosts; callers record samples and query
//! times.

mod attention;
mod failures;
mod gaps;
mod link;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::event::Stage;
use attention::AttentionCost;
pub use failures::FailureRate;
pub use gaps::GapLoad;
use gaps::GapModel;
pub use link::Link;

/// Initial prefill time of a token at a prefill engine and at a decode engine: 40 tokens per
/// millisecond, and less than half of that where streams are decoded at the same time.
const INITIAL_TOKEN_MS: (f64, f64) = (0.025, 0.06);
/// Initial time in which an idle engine prefills the shortest prompt.
const INITIAL_BASE_MS: f64 = 50.0;
/// Initial time from a handover to the first token.
const INITIAL_HANDOVER_MS: f64 = 20.0;
/// Minimum time of a handover: one step of a fast engine. The transfer time that is subtracted
/// from a sample is an estimate and may exceed the real one.
const MIN_HANDOVER_MS: f64 = 3.0;
/// Weight of a sample above and below the estimated base time: queueing can lengthen a sample,
/// nothing shortens it.
const BASE_WEIGHTS: (f64, f64) = (0.01, 0.2);
/// Weight of a sample above and below the time of a token without a queue: work that a host does not know of lengthens a
/// sample, and nothing shortens it.
const UNQUEUED_WEIGHTS: (f64, f64) = (0.02, 0.1);
/// Tokens from which a sample updates the prefill speed; smaller ones update the base time. Ten
/// times what an engine prefills in 1 ms, the resolution of measured times.
const MIN_SPEED_TOKENS: u64 = 1000;
/// Minimum weight of a prefill sample in an engine's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Bounds of the slowdown factor, far outside of measured speeds.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.15, 12.0);
/// Minimum weight of a sample in an estimate shared by all engines of a service.
const MIN_SHARED_WEIGHT: f64 = 0.01;
/// Minimum weight of one gap between stream events in an engine's slowdown: an engine with 40
/// streams yields 200 gaps per second, and prefills in between lengthen single ones.
const MIN_GAP_WEIGHT: f64 = 0.01;
/// Fraction of the base time by which any measured time may vary without a cause.
const BASE_VARIATION_FRACTION: f64 = 0.5;
/// Streams that have ended from which on the duration of runs is used: it varies several times with
/// the length of answers.
const MIN_RUNS: u32 = 8;
/// Queued work, as a fraction of a prompt's own, up to which its sample updates the attention cost.
const MAX_QUEUED_FRACTION: f64 = 0.5;

/// How slow an engine is relative to the others of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// Time that work takes, relative to an average engine.
    pub factor: f64,
    /// Samples so far.
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
    /// Returns whether there are enough samples to rank the engine by the factor.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SLOWDOWN_SAMPLES
    }

    /// Adds a sample; its weight is at least this one, and is multiplied by its confidence.
    fn learn(&mut self, factor: f64, min_weight: f64, confidence: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = min_weight.max(1.0 / f64::from(self.samples.saturating_add(PRIOR_SAMPLES)));
        self.factor += (factor.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1) - self.factor)
            * weight
            * confidence;
    }

    /// Returns the factor by which the engine's samples are divided to compare them with others; 1
    /// while there are too few samples, as for an average engine.
    fn factor_if_known(&self) -> f64 {
        if self.is_known() { self.factor } else { 1.0 }
    }
}

/// Slowdown of an engine without samples: a little faster than the average, so that it gets
/// requests. If only slow engines were measured, all others would be rated as slow.
const INITIAL_SLOWDOWN: f64 = 0.85;

/// Samples after which an engine's slowdown counts as known.
const MIN_SLOWDOWN_SAMPLES: u32 = 8;
/// Samples for which the initial slowdown counts.
const PRIOR_SAMPLES: u32 = 2;

/// A time that all engines of a service share, apart from their slowdown.
#[derive(Debug, Clone, Copy)]
struct SharedEstimate {
    millis: f64,
    samples: u32,
}

impl SharedEstimate {
    fn new(millis: f64) -> Self {
        Self { millis, samples: 0 }
    }

    /// Adds a sample, divided by the engine's slowdown; its weight is multiplied by its confidence.
    fn learn(&mut self, millis: f64, confidence: f64) {
        if self.samples == 0 {
            self.millis = millis.clamp(
                self.millis * SLOWDOWN_BOUNDS.0,
                self.millis * SLOWDOWN_BOUNDS.1,
            );
        }
        let ratio = (millis / self.millis).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SHARED_WEIGHT.max(1.0 / f64::from(self.samples));
        self.millis *= 1.0 + (ratio - 1.0) * weight * confidence;
    }
}

/// Prefill times at the engines of one stage.
#[derive(Debug, Clone, Copy)]
struct StageModel {
    /// Time for each equivalent token.
    token: SharedEstimate,
    /// Milliseconds that any prefill takes at least.
    base: Option<f64>,
    /// Time for each equivalent token where nothing is queued, known or not.
    unqueued: Option<f64>,
}

/// The measured prefill of one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Milliseconds until it was prefilled, without the time for copying prefix blocks.
    pub took: f64,
    /// Tokens that were prefilled.
    pub uncached: u64,
    /// Tokens before those that the engine had cached.
    pub cached: u64,
    /// Work queued ahead of it, by [`ServiceModel::equivalent_tokens`].
    pub queued: u64,
}

/// Cost model of the engines of one service.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    prefill: StageModel,
    decode: StageModel,
    /// Time between two events of a stream.
    event_gap: Option<SharedEstimate>,
    /// The same by the load of the engine.
    gaps: GapModel,
    /// Time from a handover to the first token, without the transfer.
    handover: SharedEstimate,
    /// Time from the first event of a stream to its end.
    run: Option<SharedEstimate>,
    attention: AttentionCost,
}

impl Default for ServiceModel {
    fn default() -> Self {
        let stage = |token| StageModel {
            token: SharedEstimate::new(token),
            base: None,
            unqueued: None,
        };
        Self {
            prefill: stage(INITIAL_TOKEN_MS.0),
            decode: stage(INITIAL_TOKEN_MS.1),
            event_gap: None,
            gaps: GapModel::default(),
            handover: SharedEstimate::new(INITIAL_HANDOVER_MS),
            run: None,
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

    /// Returns the work of prefilling `uncached` tokens after `cached` ones, in tokens of a short
    /// prompt: each token attends to all before it, so that the time for long prompts grows faster
    /// than their length.
    #[must_use]
    pub fn equivalent_tokens(&self, uncached: u64, cached: u64) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some ten thousand tokens, never below zero"
        )]
        let extra = (self.attention.factor() * attention::token_pairs(uncached, cached)) as u64;
        uncached.saturating_add(extra)
    }

    /// Returns the prefill time of so many equivalent tokens at an engine with this slowdown.
    #[must_use]
    pub fn prefill_ms(&self, stage: Stage, slowdown: Slowdown, tokens: u64) -> f64 {
        tokens as f64 * self.of(stage).token.millis * slowdown.factor
    }

    /// Returns the prefill time of so many equivalent tokens at an average prefill engine.
    #[must_use]
    pub fn average_prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill.token.millis
    }

    /// Returns the time that so many equivalent tokens take at an average prefill engine, without any queue.
    ///
    /// The average time contains waits behind work that the host did not know of, so it grows with the load.
    #[must_use]
    pub fn unqueued_prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill.unqueued.unwrap_or(self.prefill.token.millis)
    }

    /// Returns the time in which an idle engine prefills the shortest prompt.
    #[must_use]
    pub fn base_ms(&self, stage: Stage) -> f64 {
        self.of(stage).base.unwrap_or(INITIAL_BASE_MS)
    }

    /// Returns the time between two events of a stream at an engine with this slowdown, if any was
    /// measured.
    #[must_use]
    pub fn event_gap_ms(&self, slowdown: Slowdown) -> Option<f64> {
        self.event_gap.map(|gap| gap.millis * slowdown.factor)
    }

    /// Returns the same for an engine with this load; the mean gap before enough were measured at
    /// different loads.
    #[must_use]
    pub fn loaded_gap_ms(&self, slowdown: Slowdown, load: GapLoad) -> Option<f64> {
        let by_load = self.gaps.expected_ms(load);
        by_load
            .map(|gap| gap * slowdown.factor)
            .or_else(|| self.event_gap_ms(slowdown))
    }

    /// Records the prefill of a prompt at an engine with this slowdown.
    pub fn record_prefill(&mut self, stage: Stage, sample: &Sample, slowdown: &mut Slowdown) {
        let own = self.equivalent_tokens(sample.uncached, sample.cached);
        let total = own.saturating_add(sample.queued);
        let base = self.base_ms(stage);
        if total < MIN_SPEED_TOKENS {
            let took = sample.took - self.prefill_ms(stage, *slowdown, total);
            let model = self.of_mut(stage);
            let base = model.base.get_or_insert(took);
            let weight = if took > *base {
                BASE_WEIGHTS.0
            } else {
                BASE_WEIGHTS.1
            };
            *base += (took - *base) * weight;
            return;
        }
        let elapsed = (sample.took - base).max(0.0);
        if sample.uncached >= MIN_SPEED_TOKENS
            && sample.queued as f64 <= own as f64 * MAX_QUEUED_FRACTION
        {
            let own_ms = elapsed - self.prefill_ms(stage, *slowdown, sample.queued);
            let linear_ms = self.prefill_ms(stage, *slowdown, sample.uncached);
            self.attention
                .learn(sample.uncached, sample.cached, own_ms / linear_ms);
        }
        let token = elapsed / total as f64;
        // The base time varies as well, and makes up most of the time of a short prompt.
        let expected = self.prefill_ms(stage, *slowdown, total);
        let confidence = expected / (expected + base.max(0.0) * BASE_VARIATION_FRACTION);
        let model = self.of_mut(stage);
        let normal = token / slowdown.factor_if_known();
        let unqueued = model.unqueued.get_or_insert(normal);
        let weight = if normal > *unqueued {
            UNQUEUED_WEIGHTS.0
        } else {
            UNQUEUED_WEIGHTS.1
        };
        *unqueued += (normal - *unqueued) * weight;
        let shared = &mut model.token;
        shared.learn(token / slowdown.factor_if_known(), confidence);
        let factor = token / shared.millis;
        slowdown.learn(factor, SLOWDOWN_WEIGHT, confidence);
    }

    /// Returns the time from a handover to the first token at an engine with this slowdown, without
    /// the transfer.
    #[must_use]
    pub fn handover_ms(&self, slowdown: Slowdown) -> f64 {
        self.handover.millis * slowdown.factor
    }

    /// Records the time of a handover, without the transfer and the work queued ahead of it.
    pub fn record_handover(&mut self, millis: f64, slowdown: Slowdown) {
        let millis = millis.max(MIN_HANDOVER_MS);
        self.handover
            .learn(millis / slowdown.factor_if_known(), 1.0);
    }

    /// Returns the time for which a stream runs at an engine with this slowdown; `None` before
    /// enough have ended.
    #[must_use]
    pub fn run_ms(&self, slowdown: Slowdown) -> Option<f64> {
        let run = self.run.filter(|run| run.samples >= MIN_RUNS);
        run.map(|run| run.millis * slowdown.factor)
    }

    /// Records the time from the first event of a stream to its end.
    pub fn record_run(&mut self, millis: f64, slowdown: Slowdown) {
        let normalized = millis.max(1.0) / slowdown.factor_if_known();
        let run = self.run.get_or_insert(SharedEstimate::new(normalized));
        run.learn(normalized, 1.0);
    }

    /// Records the time between two events of a stream at an engine with this slowdown.
    pub fn record_event_gap(&mut self, millis: f64, slowdown: &mut Slowdown) {
        let shared = self
            .event_gap
            .get_or_insert(SharedEstimate::new(millis.max(1.0)));
        shared.learn(millis / slowdown.factor_if_known(), 1.0);
        slowdown.learn(millis / shared.millis, MIN_GAP_WEIGHT, 1.0);
    }

    /// Records the same at an engine with this load, which does not count as slow for the gaps that
    /// its load explains.
    pub fn record_loaded_gap(&mut self, millis: f64, load: GapLoad, slowdown: &mut Slowdown) {
        let normalized = millis / slowdown.factor_if_known();
        let shared = self
            .event_gap
            .get_or_insert(SharedEstimate::new(millis.max(1.0)));
        shared.learn(normalized, 1.0);
        let mean = shared.millis;
        self.gaps.learn(normalized, load, mean);
        let expected = self.gaps.expected_ms(load).unwrap_or(mean);
        slowdown.learn(millis / expected, MIN_GAP_WEIGHT, 1.0);
    }
}

/// Cost models of all services.
#[derive(Debug, Default)]
pub struct CostModel {
    services: BTreeMap<Box<str>, ServiceModel>,
    /// Initial model, for a service without samples.
    initial: ServiceModel,
}

impl CostModel {
    /// Returns the model of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &ServiceModel {
        self.services.get(service).unwrap_or(&self.initial)
    }

    /// Returns the model of a service for recording samples.
    pub fn of_mut(&mut self, service: &str) -> &mut ServiceModel {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.into(), ServiceModel::default());
        }
        self.services.get_mut(service).unwrap_or(&mut self.initial)
    }
}
