//! Recent changes of the store, to be replicated to other hosts.

use std::collections::VecDeque;

use super::super::event::{ReplicatedChanges, StoreChange};

/// Messages in which each change is sent, since datagrams are lost.
const SENDS_PER_CHANGE: u8 = 3;
/// Maximum bytes of keys and values in one message. Hosts read from the store what no longer fits.
const MAX_HISTORY_BYTES: usize = 24 * 1024;

/// Consecutive changes without a gap.
#[derive(Debug, Default)]
pub struct History {
    /// Revision before the first change.
    after: i64,
    /// Changes, and the number of messages in which each was sent.
    events: VecDeque<(StoreChange, u8)>,
    /// Whether changes were appended since the last message.
    unsent: bool,
}

impl History {
    /// Clears the history after a read of everything up to a revision.
    pub fn reset(&mut self, revision: i64) {
        *self = Self {
            after: revision,
            ..Self::default()
        };
    }

    /// Appends changes that directly follow the known ones.
    pub fn append(&mut self, events: impl IntoIterator<Item = StoreChange>) {
        self.unsent = true;
        self.events
            .extend(events.into_iter().map(|event| (event, 0)));
        let mut size: usize = self.events.iter().map(|(event, _)| size(event)).sum();
        while size > MAX_HISTORY_BYTES
            && let Some((event, _)) = self.events.pop_front()
        {
            size -= self::size(&event);
            self.after = event.revision;
        }
    }

    /// Whether changes were appended since the last message.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.unsent
    }

    /// Returns the changes for the next message; all changes up to `revision` are known.
    pub fn next_batch(&mut self, revision: i64) -> ReplicatedChanges {
        self.unsent = false;
        while let Some((event, sends)) = self.events.front()
            && *sends >= SENDS_PER_CHANGE
        {
            self.after = event.revision;
            self.events.pop_front();
        }
        if self.events.is_empty() {
            self.after = revision;
        }
        let events = self.events.iter_mut().map(|(event, sends)| {
            *sends += 1;
            event.clone()
        });
        ReplicatedChanges {
            events: events.collect(),
            after: self.after,
            at: revision,
        }
    }
}

fn size(event: &StoreChange) -> usize {
    event.key.len() + event.value.as_ref().map_or(0, |value| value.len())
}
