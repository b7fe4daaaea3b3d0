//! Prefix blocks and crash reports that are still to be sent to other hosts.

use super::super::event::{BlockReport, CrashReport, PartReport, Updates};
use crate::core::time::Time;

/// Largest number of pending prefix blocks, of crash reports, and of reports about parts: a second's worth at the largest
/// sites.
const MAX_PENDING_UPDATES: usize = 256;
/// Largest number of reports about parts in one message: about two kilobytes.
pub const MAX_PART_REPORTS: usize = 64;

/// Updates received and not sent yet; the oldest are dropped first.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    blocks: Vec<BlockReport>,
    crashes: Vec<CrashReport>,
    /// Reports about parts, and the times that they state.
    parts: Vec<(PartReport, Time)>,
    /// Whether anything was received since the last [`PendingUpdates::take`], load reports included.
    dirty: bool,
}

impl PendingUpdates {
    /// Adds the updates of a message; all are empty for one that has only loads.
    pub fn add(&mut self, updates: &Updates, now: Time) {
        self.dirty = true;
        self.blocks.extend_from_slice(&updates.blocks);
        self.crashes.extend_from_slice(&updates.crashes);
        for report in &updates.parts {
            self.add_part(*report, now);
        }
        // Hosts that currently send to nobody collect updates as well: without the limit they would grow
        // until somebody takes them.
        let excess = self.blocks.len().saturating_sub(MAX_PENDING_UPDATES);
        self.blocks.drain(..excess);
        let excess = self.crashes.len().saturating_sub(MAX_PENDING_UPDATES);
        self.crashes.drain(..excess);
        let excess = self.parts.len().saturating_sub(MAX_PENDING_UPDATES);
        self.parts.drain(..excess);
    }

    /// Adds a report about a part, in place of an equal one; of whole answers, the latest counts.
    fn add_part(&mut self, report: PartReport, now: Time) {
        let at = now.before(report.age);
        let known = self.parts.iter_mut().find(|(other, _)| {
            (other.part, other.crashed, other.customer)
                == (report.part, report.crashed, report.customer)
        });
        match known {
            Some((_, known)) if report.crashed.is_none() => *known = at.max(*known),
            Some((other, known)) => {
                *known = at.min(*known);
                other.began &= report.began;
            }
            None => self.parts.push((report, at)),
        }
    }

    /// Whether anything was added since the last [`PendingUpdates::take`], or is left.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Returns the pending updates for one message and removes them.
    pub fn take(&mut self, now: Time) -> Updates {
        let count = self.parts.len().min(MAX_PART_REPORTS);
        let parts = self.parts.drain(..count);
        let parts = parts.map(|(report, at)| PartReport {
            age: now.since(at),
            ..report
        });
        let parts = parts.collect();
        self.dirty = !self.parts.is_empty();
        Updates {
            blocks: std::mem::take(&mut self.blocks),
            crashes: std::mem::take(&mut self.crashes),
            parts,
        }
    }
}
