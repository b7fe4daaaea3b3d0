//! Prompt parts and deaths on their way to other hosts.

use super::super::event::{CrashReport, PrefixReport};

/// Prompt parts, and deaths, kept to be passed on: those of a second at the largest sites.
const MOST: usize = 256;

/// What was heard and not yet passed on; the oldest is dropped first.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    parts: Vec<PrefixReport>,
    deaths: Vec<CrashReport>,
    /// Whether anything was heard, other hosts' work included.
    any: bool,
}

impl PendingUpdates {
    /// Keeps what was heard.
    pub fn hear(&mut self, parts: &[PrefixReport], deaths: &[CrashReport]) {
        self.any = true;
        self.parts.extend_from_slice(parts);
        self.deaths.extend_from_slice(deaths);
        // Hosts that nobody listens to collect, too, until somebody does.
        let over = self.parts.len().saturating_sub(MOST);
        self.parts.drain(..over);
        let over = self.deaths.len().saturating_sub(MOST);
        self.deaths.drain(..over);
    }

    /// Tells whether anything was heard since it was last taken.
    #[must_use]
    pub fn any(&self) -> bool {
        self.any
    }

    /// Takes what was heard.
    pub fn take(&mut self) -> (Vec<PrefixReport>, Vec<CrashReport>) {
        self.any = false;
        (
            std::mem::take(&mut self.parts),
            std::mem::take(&mut self.deaths),
        )
    }
}
