//! Prefix cache in pieces, with its late and gappy events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::{CacheEvent, CacheOp};

/// Published events that are kept; a caller further behind finds a gap.
const EVENT_LIMIT: usize = 10_000;

/// Size and faults of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheOptions {
    /// Tokens of one piece.
    pub piece: u64,
    /// Pieces held at most.
    pub pieces: usize,
    /// Time after which an event is published.
    pub lag: Duration,
    /// Every nth event is never published; 0 for none.
    pub drop_nth: u64,
}

impl Default for CacheOptions {
    fn default() -> Self {
        Self {
            piece: 2000,
            pieces: 256,
            lag: Duration::ZERO,
            drop_nth: 0,
        }
    }
}

/// Pieces held, by hash, and the events of their coming and going.
#[derive(Debug)]
pub(super) struct Cache {
    opts: CacheOptions,
    /// Hash to time of last use.
    held: BTreeMap<Box<str>, u64>,
    /// Time of last use to hash.
    order: BTreeMap<u64, Box<str>>,
    clock: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub fn new(opts: CacheOptions) -> Self {
        Self {
            opts,
            held: BTreeMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of pieces held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns the tokens that the leading pieces of a prompt save, and marks them as used.
    pub fn reuse(&mut self, pieces: &[Box<str>]) -> u64 {
        let mut count = 0;
        for piece in pieces {
            if !self.held.contains_key(piece) {
                break;
            }
            self.touch(piece);
            count += 1;
        }
        count * self.opts.piece
    }

    /// Holds all pieces of a prompt, evicting those not used for longest.
    pub fn store(&mut self, pieces: &[Box<str>], now: Instant) {
        for piece in pieces.iter().take(self.opts.pieces) {
            if self.held.contains_key(piece) {
                self.touch(piece);
                continue;
            }
            while self.held.len() >= self.opts.pieces {
                let Some((_, old)) = self.order.pop_first() else {
                    return;
                };
                self.held.remove(&old);
                self.publish(CacheOp::Evicted, old, now);
            }
            self.touch(piece);
            self.publish(CacheOp::Stored, piece.clone(), now);
        }
    }

    /// Evicts everything.
    pub fn clear(&mut self, now: Instant) {
        self.held.clear();
        while let Some((_, old)) = self.order.pop_first() {
            self.publish(CacheOp::Evicted, old, now);
        }
    }

    /// Returns the events numbered above `after` that are old enough to be public.
    pub fn events(&self, after: u64, now: Instant) -> Vec<&CacheEvent> {
        self.events
            .iter()
            .take_while(|(at, _)| *at + self.opts.lag <= now)
            .map(|(_, event)| event)
            .filter(|event| event.seq > after)
            .collect()
    }

    fn touch(&mut self, piece: &str) {
        self.clock += 1;
        if let Some(before) = self.held.insert(piece.into(), self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, piece.into());
    }

    fn publish(&mut self, op: CacheOp, piece: Box<str>, now: Instant) {
        self.seq += 1;
        if self.opts.drop_nth > 0 && self.seq.is_multiple_of(self.opts.drop_nth) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        let seq = self.seq;
        self.events.push_back((now, CacheEvent { seq, op, piece }));
    }
}
