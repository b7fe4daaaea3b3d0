//! How much longer a token takes the more tokens stand before it.
//!
//! A long prompt takes longer than its length says; judged by its length, the longest come late. A line through the time a token of each prompt took, over the tokens that stood
//! before it on average, gives the factor; old prompts count ever less.

/// Part of the weight of older prompts that stays with each new one: some thousand prompts count.
const RETAINED_FRACTION: f64 = 0.999;
/// Weight by which no growth is assumed, in prompts of [`FULL_WEIGHT_TOKENS`] tokens behind as many: the first
/// few prompts, each with a queue of its own, must not tell of a growth that is not there.
const PRIOR_WEIGHT: f64 = 4.0;
/// Tokens of a prompt that counts fully: the time of a shorter one is mostly that of other work.
const FULL_WEIGHT_TOKENS: f64 = 10_000.0;
/// Most weight of one prompt.
const MAX_WEIGHT: f64 = 4.0;
/// Times as long as expected that a prompt may have taken to tell anything: it waited.
const MAX_TIME_RATIO: f64 = 3.0;
/// Most that a token takes longer for each that stands before it: three times as long behind
/// 20,000 tokens.
const MAX_FACTOR: f64 = 1e-4;

/// Returns the pairs of tokens that are compared when `unread` tokens are read behind `held` ones.
#[must_use]
pub fn token_pairs(unread: u64, held: u64) -> f64 {
    let unread = unread as f64;
    unread * (held as f64 + unread / 2.0)
}

/// Sums over prompts, for a line through their times.
#[derive(Debug, Clone, Default)]
pub struct AttentionCost {
    weight: f64,
    /// Of the tokens before one on average, in [`FULL_WEIGHT_TOKENS`].
    before: f64,
    before_squared: f64,
    /// Of the times, against those expected without growth.
    time: f64,
    product: f64,
}

impl AttentionCost {
    /// Takes in how long a prompt took against what its length alone says.
    pub fn learn(&mut self, unread: u64, held: u64, time: f64) {
        if !(0.0..MAX_TIME_RATIO).contains(&time) || unread == 0 {
            return;
        }
        let before = token_pairs(unread, held) / unread as f64 / FULL_WEIGHT_TOKENS;
        let weight = (unread as f64 / FULL_WEIGHT_TOKENS).powi(2).min(MAX_WEIGHT);
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETAINED_FRACTION + value * weight;
        add(&mut self.weight, 1.0);
        add(&mut self.before, before);
        add(&mut self.before_squared, before * before);
        add(&mut self.time, time);
        add(&mut self.product, before * time);
    }

    /// Returns by how much a token takes longer for each token before it.
    #[must_use]
    pub fn factor(&self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let before = self.before / self.weight;
        let time = self.time / self.weight;
        let spread = self.before_squared - self.before * before;
        let slope = (self.product - self.before * time) / (spread + PRIOR_WEIGHT);
        let start = time - slope * before;
        if start <= 0.0 {
            return 0.0;
        }
        (slope / start / FULL_WEIGHT_TOKENS).clamp(0.0, MAX_FACTOR)
    }
}
