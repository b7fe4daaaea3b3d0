//! What a site's requests came to.

use super::site::Site;

/// Engines that end under a part before sends with it may count as late.
const LIMIT: usize = 5;
/// Milliseconds after the last of these from which sends with the part are late.
const STABLE_MS: u64 = 3000;

impl Site {
    /// Returns the sends with a part later than three seconds after the fifth engine ended under it, by hosts that had run for
    /// as long.
    pub fn late_sends(&self, part: u64) -> usize {
        let ended = self
            .ended
            .iter()
            .filter(|(_, blocks)| blocks.contains(&part));
        let Some((fifth, _)) = ended.clone().nth(LIMIT - 1) else {
            return 0;
        };
        let sends = self.sends.iter();
        let late = sends.filter(|(at, host_age, blocks)| {
            blocks.contains(&part) && *at > fifth + STABLE_MS && *host_age >= STABLE_MS
        });
        late.count()
    }

    /// Returns the time from which on sound requests must be served, although engines ended under a part.
    pub fn stable_from(&self, part: u64) -> u64 {
        let ended = self
            .ended
            .iter()
            .filter(|(_, blocks)| blocks.contains(&part));
        let fifth = ended.take(LIMIT).last();
        fifth.map_or(0, |(at, _)| at + 2 * STABLE_MS)
    }

    /// Returns the share of sound requests with a first part, sent since a time, whose answers began.
    pub fn served(&self, first: impl Fn(u64) -> bool, since: u64) -> f64 {
        let sound = self.results.iter();
        let sound = sound.filter(|outcome| {
            outcome.at >= since && first(outcome.blocks[0]) && !self.is_bad(&outcome.blocks)
        });
        let begun: Vec<bool> = sound.map(|outcome| outcome.begun).collect();
        let served = begun.iter().filter(|begun| **begun).count();
        served as f64 / begun.len().max(1) as f64
    }
}
