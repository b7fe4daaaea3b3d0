//! Prefix blocks and crash reports that are still to be sent to other hosts.

use super::super::event::{BlockReport, CrashReport};

/// Largest number of pending prefix blocks, and of crash reports: a second's worth at the largest sites.
const MAX_PENDING_UPDATES: usize = 256;

/// Updates received and not sent yet; the oldest are dropped first.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    blocks: Vec<BlockReport>,
    crashes: Vec<CrashReport>,
    /// Whether anything was received since the last [`PendingUpdates::take`], load reports included.
    dirty: bool,
}

impl PendingUpdates {
    /// Adds the blocks and crashes of a message; both are empty for one that has only loads.
    pub fn add(&mut self, blocks: &[BlockReport], crashes: &[CrashReport]) {
        self.dirty = true;
        self.blocks.extend_from_slice(blocks);
        self.crashes.extend_from_slice(crashes);
        // Hosts that currently send to nobody collect updates as well: without the limit they would grow
        // until somebody takes them.
        let excess = self.blocks.len().saturating_sub(MAX_PENDING_UPDATES);
        self.blocks.drain(..excess);
        let excess = self.crashes.len().saturating_sub(MAX_PENDING_UPDATES);
        self.crashes.drain(..excess);
    }

    /// Whether anything was added since the last [`PendingUpdates::take`].
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Returns the pending updates and removes them.
    pub fn take(&mut self) -> (Vec<BlockReport>, Vec<CrashReport>) {
        self.dirty = false;
        (
            std::mem::take(&mut self.blocks),
            std::mem::take(&mut self.crashes),
        )
    }
}
