//! Prefix cache in pieces, with its late and gappy events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::{CacheEvent, CacheOp};

/// Published events that are kept; a caller further behind finds a gap.
const MAX_EVENTS: usize = 10_000;

/// Size and faults of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheOptions {
    /// Tokens of one piece.
    pub block_tokens: u64,
    /// Pieces held at most.
    pub max_blocks: usize,
    /// Time after which an event is published.
    pub event_lag: Duration,
    /// Every nth event is never published; 0 for none.
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

/// Pieces held, by hash, and the events of their coming and going.
#[derive(Debug)]
pub(super) struct PrefixCache {
    opts: CacheOptions,
    /// Hash to time of last use.
    last_used: BTreeMap<Box<str>, u64>,
    /// Time of last use to hash.
    by_last_use: BTreeMap<u64, Box<str>>,
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

    /// Returns the number of pieces held.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns the tokens that the leading pieces of a prompt save, and marks them as used.
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

    /// Holds all pieces of a prompt, evicting those not used for longest.
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

    /// Evicts everything.
    pub fn clear(&mut self, now: Instant) {
        self.last_used.clear();
        while let Some((_, evicted)) = self.by_last_use.pop_first() {
            self.publish(CacheOp::Evicted, evicted, now);
        }
    }

    /// Returns the events numbered above `after` that are old enough to be public.
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
        if let Some(before) = self.last_used.insert(block.into(), self.use_counter) {
            self.by_last_use.remove(&before);
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
