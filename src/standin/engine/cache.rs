//! Prefix cache in blocks, whose events are published late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::{CacheEvent, CacheOp};

/// Maximum number of events kept; a caller that is further behind finds a gap.
const MAX_EVENTS: usize = 10_000;

/// Size and faults of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheOptions {
    /// Tokens of one block.
    pub block_tokens: u64,
    /// Maximum number of cached blocks.
    pub max_blocks: usize,
    /// Delay of the publication of an event.
    pub event_lag: Duration,
    /// Every nth event is never published; 0 publishes all.
    pub drop_nth: u64,
}

impl Default for CacheOptions {
    fn default() -> Self {
        Self {
            block_tokens: 2000,
            max_blocks: 256,
            event_lag: Duration::ZERO,
            drop_nth: 0,
        }
    }
}

/// LRU cache of blocks, by hash, and the events of their storing and eviction.
#[derive(Debug)]
pub(super) struct PrefixCache {
    opts: CacheOptions,
    /// Value of the use counter at each block's last use, by hash.
    last_used: BTreeMap<Box<str>, u64>,
    /// Hashes by last use, oldest first.
    by_last_use: BTreeMap<u64, Box<str>>,
    /// Logical clock that advances with each use of a block.
    use_counter: u64,
    last_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub fn new(opts: CacheOptions) -> Self {
        Self {
            opts,
            last_used: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
            last_seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns the tokens of the leading blocks of a prompt that are cached, and marks these blocks
    /// as used.
    pub fn match_prefix(&mut self, blocks: &[Box<str>]) -> u64 {
        let mut count = 0;
        for block in blocks {
            if !self.last_used.contains_key(block) {
                break;
            }
            self.touch(block);
            count += 1;
        }
        count * self.opts.block_tokens
    }

    /// Stores the blocks of a prompt, evicting the least recently used ones.
    pub fn insert(&mut self, blocks: &[Box<str>], now: Instant) {
        for block in blocks.iter().take(self.opts.max_blocks) {
            if self.last_used.contains_key(block) {
                self.touch(block);
                continue;
            }
            while self.last_used.len() >= self.opts.max_blocks {
                let Some((_, evicted)) = self.by_last_use.pop_first() else {
                    return;
                };
                self.last_used.remove(&evicted);
                self.publish(CacheOp::Evicted, evicted, now);
            }
            self.touch(block);
            self.publish(CacheOp::Stored, block.clone(), now);
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self, now: Instant) {
        self.last_used.clear();
        while let Some((_, evicted)) = self.by_last_use.pop_first() {
            self.publish(CacheOp::Evicted, evicted, now);
        }
    }

    /// Returns the events with a number above `after` that are at least `event_lag` old.
    pub fn events(&self, after: u64, now: Instant) -> Vec<&CacheEvent> {
        self.events
            .iter()
            .take_while(|(at, _)| *at + self.opts.event_lag <= now)
            .map(|(_, event)| event)
            .filter(|event| event.seq > after)
            .collect()
    }

    fn touch(&mut self, block: &str) {
        self.use_counter += 1;
        if let Some(previous) = self.last_used.insert(block.into(), self.use_counter) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.use_counter, block.into());
    }

    fn publish(&mut self, op: CacheOp, block: Box<str>, now: Instant) {
        self.last_seq += 1;
        if self.opts.drop_nth > 0 && self.last_seq.is_multiple_of(self.opts.drop_nth) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let seq = self.last_seq;
        self.events.push_back((
            now,
            CacheEvent {
                seq,
                op,
                piece: block,
            },
        ));
    }
}
