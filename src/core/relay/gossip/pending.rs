//! Prompt parts and deaths on their way to other hosts.

use super::super::event::{BlockReport, CrashReport};

/// Prompt parts, and deaths, kept to be passed on: those of a second at the largest sites.
const MAX_PENDING_UPDATES: usize = 256;

/// What was heard and not yet passed on; the oldest is dropped first.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    blocks: Vec<BlockReport>,
    crashes: Vec<CrashReport>,
    /// Whether anything was heard, other hosts' work included.
    dirty: bool,
}

impl PendingUpdates {
    /// Keeps what was heard.
    pub fn add(&mut self, parts: &[BlockReport], deaths: &[CrashReport]) {
        self.dirty = true;
        self.blocks.extend_from_slice(parts);
        self.crashes.extend_from_slice(deaths);
        // Hosts that nobody listens to collect, too, until somebody does.
        let over = self.blocks.len().saturating_sub(MAX_PENDING_UPDATES);
        self.blocks.drain(..over);
        let over = self.crashes.len().saturating_sub(MAX_PENDING_UPDATES);
        self.crashes.drain(..over);
    }

    /// Tells whether anything was heard since it was last taken.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Takes what was heard.
    pub fn take(&mut self) -> (Vec<BlockReport>, Vec<CrashReport>) {
        self.dirty = false;
        (
            std::mem::take(&mut self.blocks),
            std::mem::take(&mut self.crashes),
        )
    }
}
