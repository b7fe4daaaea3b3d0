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
use attention::Square;
pub use link::Link;

/// Milliseconds a token takes at an engine that prefills, and at one that generates, before any
/// was measured: 40 tokens a millisecond, and less than half of it where others are generated for.
const TOKEN: (f64, f64) = (0.025, 0.06);
/// Milliseconds until an idle engine has read the shortest prompt, before any was measured.
const BASE: f64 = 50.0;
/// Milliseconds from a hand-over to the first token, before any was measured.
const HANDOVER: f64 = 20.0;
/// Shortest time that a hand-over is taken for, in milliseconds: a step of a fast engine. What is
/// taken off for the transfer may be more than it was.
const HANDOVER_LEAST: f64 = 3.0;
/// Weight of a measurement above and below what is known of the shortest time: queues make it
/// longer now and then, nothing makes it shorter.
const BASE_STEP: (f64, f64) = (0.01, 0.2);
/// Tokens from which on a measurement tells of speed, and below which it tells of the shortest
/// time: ten times the tokens that an engine reads in the millisecond to which times are known.
const TELLING: u64 = 1000;
/// Weight of the newest measurement in an engine's pace.
const PACE_STEP: f64 = 0.2;
/// Bounds of the pace, far outside of the speeds seen.
const PACE: (f64, f64) = (0.15, 12.0);
/// Least weight of a measurement in what all engines of a service have in common.
const COMMON_STEP: f64 = 0.01;
/// Least weight of one pause between events in an engine's pace: two hundred a second come from
/// an engine with forty streams, and single ones are drawn out by what it reads meanwhile.
const PAUSE_STEP: f64 = 0.01;
/// Part of the time for the shortest prompt by which any time may differ for no reason.
const BASE_DOUBT: f64 = 0.5;
/// Part of a prompt's own work that may be ahead of it where it tells of the square.
const ALONE: f64 = 0.5;

/// How fast an engine is against the others of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time that work takes there, against an average engine.
    pub slow: f64,
    /// Measurements of it, as many as matter.
    seen: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slow: UNTRIED,
            seen: 0,
        }
    }
}

impl Pace {
    /// Returns whether enough was measured to rank the engine by it.
    #[must_use]
    pub fn known(&self) -> bool {
        self.seen >= KNOWN
    }

    /// Takes in a measurement, with at least this weight, as far as it can be trusted.
    fn learn(&mut self, slow: f64, least: f64, trust: f64) {
        self.seen = self.seen.saturating_add(1);
        let step = least.max(1.0 / f64::from(self.seen.saturating_add(FIRST)));
        self.slow += (slow.clamp(PACE.0, PACE.1) - self.slow) * step * trust;
    }

    /// Returns the pace by which a measurement is freed of the engine; while little is known of
    /// it, what was measured counts as that of an average one.
    fn sure(&self) -> f64 {
        if self.known() { self.slow } else { 1.0 }
    }
}

/// Pace of an engine of which nothing was measured: a little faster than the average, so that it
/// is tried. Where only slow engines were measured, all others would pass for as slow.
const UNTRIED: f64 = 0.85;

/// Measurements that make an engine's pace known.
const KNOWN: u32 = 8;
/// Measurements that the average engine counts for, before any of the engine itself.
const FIRST: u32 = 2;

/// A time that all engines of a service have in common, but for their pace.
#[derive(Debug, Clone, Copy)]
struct Common {
    millis: f64,
    seen: u32,
}

impl Common {
    fn new(millis: f64) -> Self {
        Self { millis, seen: 0 }
    }

    /// Takes in a measurement, freed of the engine's pace, as far as it can be trusted.
    fn learn(&mut self, millis: f64, trust: f64) {
        if self.seen == 0 {
            self.millis = millis.clamp(self.millis * PACE.0, self.millis * PACE.1);
        }
        let ratio = (millis / self.millis).clamp(PACE.0, PACE.1);
        self.seen = self.seen.saturating_add(1);
        let step = COMMON_STEP.max(1.0 / f64::from(self.seen));
        self.millis *= 1.0 + (ratio - 1.0) * step * trust;
    }
}

/// What reading takes at the engines of one stage.
#[derive(Debug, Clone, Copy)]
struct Reading {
    token: Common,
    base: Option<f64>,
}

/// What the time of one prompt was made of.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Milliseconds until it was read, without what was spent on copying parts of it.
    pub took: f64,
    /// Tokens of it that were read.
    pub unread: u64,
    /// Tokens before those that the engine held.
    pub held: u64,
    /// Work that was ahead of it, in tokens by [`Learned::tokens`].
    pub ahead: u64,
}

/// What is known of the engines of one service.
#[derive(Debug, Clone)]
pub struct Learned {
    prefill: Reading,
    decode: Reading,
    /// Milliseconds between two events of a stream.
    pause: Option<Common>,
    /// Milliseconds from a hand-over to the first token, beside the transfer.
    handover: Common,
    square: Square,
}

impl Default for Learned {
    fn default() -> Self {
        let reading = |token| Reading {
            token: Common::new(token),
            base: None,
        };
        Self {
            prefill: reading(TOKEN.0),
            decode: reading(TOKEN.1),
            pause: None,
            handover: Common::new(HANDOVER),
            square: Square::default(),
        }
    }
}

impl Learned {
    fn of(&self, stage: Stage) -> &Reading {
        match stage {
            Stage::Prefill => &self.prefill,
            Stage::Decode => &self.decode,
        }
    }

    fn of_mut(&mut self, stage: Stage) -> &mut Reading {
        match stage {
            Stage::Prefill => &mut self.prefill,
            Stage::Decode => &mut self.decode,
        }
    }

    /// Returns the work of reading `unread` tokens behind `held` ones, in tokens of a short
    /// prompt: each token is compared with all before it, so that long prompts take longer than
    /// their length says.
    #[must_use]
    pub fn tokens(&self, unread: u64, held: u64) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some ten thousand tokens, never below zero"
        )]
        let more = (self.square.factor() * attention::pairs(unread, held)) as u64;
        unread.saturating_add(more)
    }

    /// Returns the milliseconds that work of so many tokens takes at an engine of this pace.
    #[must_use]
    pub fn reading(&self, stage: Stage, pace: Pace, tokens: u64) -> f64 {
        tokens as f64 * self.of(stage).token.millis * pace.slow
    }

    /// Returns the milliseconds that work of so many tokens takes at an average engine that
    /// prefills.
    #[must_use]
    pub fn usual(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill.token.millis
    }

    /// Returns the milliseconds until an idle engine has read the shortest prompt.
    #[must_use]
    pub fn base(&self, stage: Stage) -> f64 {
        self.of(stage).base.unwrap_or(BASE)
    }

    /// Returns the milliseconds between two events of a stream at an engine of this pace, if any
    /// was measured.
    #[must_use]
    pub fn pause(&self, pace: Pace) -> Option<f64> {
        self.pause.map(|pause| pause.millis * pace.slow)
    }

    /// Learns from the time in which an engine of this pace has read a prompt.
    pub fn read(&mut self, stage: Stage, sample: &Sample, pace: &mut Pace) {
        let own = self.tokens(sample.unread, sample.held);
        let all = own.saturating_add(sample.ahead);
        let base = self.base(stage);
        if all < TELLING {
            let took = sample.took - self.reading(stage, *pace, all);
            let reading = self.of_mut(stage);
            let base = reading.base.get_or_insert(took);
            let step = if took > *base {
                BASE_STEP.0
            } else {
                BASE_STEP.1
            };
            *base += (took - *base) * step;
            return;
        }
        let reading = (sample.took - base).max(0.0);
        if sample.unread >= TELLING && sample.ahead as f64 <= own as f64 * ALONE {
            let alone = reading - self.reading(stage, *pace, sample.ahead);
            let plain = self.reading(stage, *pace, sample.unread);
            self.square.learn(sample.unread, sample.held, alone / plain);
        }
        let token = reading / all as f64;
        // What is fixed varies, too: of a short prompt little more than that is seen.
        let expected = self.reading(stage, *pace, all);
        let trust = expected / (expected + base.max(0.0) * BASE_DOUBT);
        let common = &mut self.of_mut(stage).token;
        common.learn(token / pace.sure(), trust);
        let slow = token / common.millis;
        pace.learn(slow, PACE_STEP, trust);
    }

    /// Returns the milliseconds from a hand-over to the first token at an engine of this pace,
    /// beside the transfer.
    #[must_use]
    pub fn handover(&self, pace: Pace) -> f64 {
        self.handover.millis * pace.slow
    }

    /// Learns from the time that a hand-over took beside the transfer and what was read before it.
    pub fn handed_over(&mut self, millis: f64, pace: Pace) {
        let millis = millis.max(HANDOVER_LEAST);
        self.handover.learn(millis / pace.sure(), 1.0);
    }

    /// Learns from the time between two events of a stream at an engine of this pace.
    pub fn paused(&mut self, millis: f64, pace: &mut Pace) {
        let common = self.pause.get_or_insert(Common::new(millis.max(1.0)));
        common.learn(millis / pace.sure(), 1.0);
        pace.learn(millis / common.millis, PAUSE_STEP, 1.0);
    }
}

/// What is known of the engines of all services.
#[derive(Debug, Default)]
pub struct Model {
    services: BTreeMap<Box<str>, Learned>,
    /// What stands for a service of which nothing was measured.
    unknown: Learned,
}

impl Model {
    /// Returns what is known of the engines of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &Learned {
        self.services.get(service).unwrap_or(&self.unknown)
    }

    /// Returns what is known of the engines of a service, to be added to.
    pub fn of_mut(&mut self, service: &str) -> &mut Learned {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Learned::default());
        }
        self.services.get_mut(service).unwrap_or(&mut self.unknown)
    }
}
