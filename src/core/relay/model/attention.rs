//! Growth of a token's prefill time with the tokens before it: the quadratic cost of attention.
//!
//! Estimated by length alone, the longest prompts would come late. The factor is a linear
//! regression of the time per token over the average number of tokens before it, with weights that
//! decay with each new prompt.

/// Fraction of their weight that older prompts keep with each new one: about a thousand count.
const RETAINED_FRACTION: f64 = 0.999;
/// Weight of the prior of no growth, in prompts of [`FULL_WEIGHT_TOKENS`] tokens after as many:
/// queueing of the first few prompts must not be taken for growth.
const PRIOR_WEIGHT: f64 = 4.0;
/// Tokens of a prompt with weight 1: the time of a shorter one is mostly that of other work.
const FULL_WEIGHT_TOKENS: f64 = 10_000.0;
/// Maximum weight of one prompt.
const MAX_WEIGHT: f64 = 4.0;
/// Ratio of measured to expected time from which a prompt is ignored: it waited in a queue.
const MAX_TIME_RATIO: f64 = 3.0;
/// Maximum growth of a token's time for each token before it: three times as long after 20,000.
const MAX_FACTOR: f64 = 1e-4;

/// Returns the token pairs that attention compares to prefill `uncached` tokens after `cached`
/// ones.
#[must_use]
pub fn token_pairs(uncached: u64, cached: u64) -> f64 {
    let uncached = uncached as f64;
    uncached * (cached as f64 + uncached / 2.0)
}

/// Weighted sums over prompts for the regression.
#[derive(Debug, Clone, Default)]
pub struct AttentionCost {
    weight: f64,
    /// Average number of tokens before a token, in [`FULL_WEIGHT_TOKENS`].
    before: f64,
    before_squared: f64,
    /// Times, relative to those expected without growth.
    time: f64,
    product: f64,
}

impl AttentionCost {
    /// Records the time of a prompt, relative to that expected by its length alone.
    pub fn learn(&mut self, uncached: u64, cached: u64, time: f64) {
        if !(0.0..MAX_TIME_RATIO).contains(&time) || uncached == 0 {
            return;
        }
        let before = token_pairs(uncached, cached) / uncached as f64 / FULL_WEIGHT_TOKENS;
        let weight = (uncached as f64 / FULL_WEIGHT_TOKENS)
            .powi(2)
            .min(MAX_WEIGHT);
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETAINED_FRACTION + value * weight;
        add(&mut self.weight, 1.0);
        add(&mut self.before, before);
        add(&mut self.before_squared, before * before);
        add(&mut self.time, time);
        add(&mut self.product, before * time);
    }

    /// Returns the relative growth of a token's time for each token before it.
    #[must_use]
    pub fn factor(&self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let before = self.before / self.weight;
        let time = self.time / self.weight;
        let variance = self.before_squared - self.before * before;
        let slope = (self.product - self.before * time) / (variance + PRIOR_WEIGHT);
        let intercept = time - slope * before;
        if intercept <= 0.0 {
            return 0.0;
        }
        (slope / intercept / FULL_WEIGHT_TOKENS).clamp(0.0, MAX_FACTOR)
    }
}
