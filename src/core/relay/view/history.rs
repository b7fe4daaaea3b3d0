//! Changes of the store that this host learned lately, to be passed on to hosts near by.

use std::collections::VecDeque;

use super::super::event::{ReplicatedChanges, StoreChange};

/// Words in which a change is passed on: datagrams are lost now and then.
const SENDS_PER_CHANGE: u8 = 3;
/// Most bytes of keys and values in one message. What is more is read from the store by each host.
const MAX_HISTORY_BYTES: usize = 24 * 1024;

/// Changes that follow each other without a gap.
#[derive(Debug, Default)]
pub struct History {
    /// Revision before the first change.
    after: i64,
    /// Changes, and in how many messages each was passed on.
    events: VecDeque<(StoreChange, u8)>,
    unsent: bool,
}

impl History {
    /// Begins anew at a revision up to which everything was read.
    pub fn reset(&mut self, at: i64) {
        *self = Self {
            after: at,
            ..Self::default()
        };
    }

    /// Adds changes that follow those known.
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

    /// Tells whether changes were learned since the last message.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.unsent
    }

    /// Returns what the next message passes on, where all changes up to a revision are known.
    pub fn next_batch(&mut self, at: i64) -> ReplicatedChanges {
        self.unsent = false;
        while let Some((event, times)) = self.events.front()
            && *times >= SENDS_PER_CHANGE
        {
            self.after = event.revision;
            self.events.pop_front();
        }
        if self.events.is_empty() {
            self.after = at;
        }
        let events = self.events.iter_mut().map(|(event, times)| {
            *times += 1;
            event.clone()
        });
        ReplicatedChanges {
            events: events.collect(),
            after: self.after,
            at,
        }
    }
}

fn size(event: &StoreChange) -> usize {
    event.key.len() + event.value.as_ref().map_or(0, |value| value.len())
}
