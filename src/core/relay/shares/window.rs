//! Engine time by customer in a sliding window.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::time::Time;

/// Length of the window: longer than the queue of any engine whose requests are still in time, so that the usage of a
/// burst is known until the burst is worked off.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Buckets of the window.
const BUCKETS: u64 = 8;
/// Buckets that are kept: those of the window, and the one that leaves it. That one counts by the part that is left, since
/// a customer that waits for room would otherwise send a bucket's worth of requests at once whenever one leaves.
const KEPT: usize = 9;

/// Engine time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineTime {
    /// Of requests that were sent to engines.
    pub used: f64,
    /// Of requests that were refused, as estimated.
    pub unmet: f64,
}

impl EngineTime {
    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            used: self.used + other.used,
            unmet: self.unmet + other.unmet,
        }
    }

    /// Returns the difference, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            used: (self.used - other.used).max(0.0),
            unmet: (self.unmet - other.unmet).max(0.0),
        }
    }

    /// Returns a part of it.
    #[must_use]
    fn times(self, part: f64) -> Self {
        Self {
            used: self.used * part,
            unmet: self.unmet * part,
        }
    }

    /// Returns what was asked for, whether it was served or not.
    #[must_use]
    pub fn demand(self) -> f64 {
        self.used + self.unmet
    }
}

/// One customer's engine time, by buckets.
#[derive(Debug, Clone, Copy)]
struct Entry {
    rank: u8,
    buckets: [EngineTime; KEPT],
    /// Number of the newest bucket.
    newest: u64,
}

impl Entry {
    /// Returns the sum over the window that ends at a time.
    fn sum(&self, now: Time) -> EngineTime {
        let (current, passed) = bucket_at(now);
        let numbers = (0..=BUCKETS).filter_map(|age| self.newest.checked_sub(age));
        let sum = EngineTime::default();
        numbers.fold(sum, |sum, number| {
            let time = self.buckets[index(number)];
            match current.saturating_sub(number) {
                0..BUCKETS => sum.plus(time),
                BUCKETS => sum.plus(time.times(1.0 - passed)),
                _ => sum,
            }
        })
    }

    /// Adds engine time to a bucket, and empties those that have left the window meanwhile.
    fn add(&mut self, bucket: u64, time: EngineTime) {
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS + 1);
        for age in 0..passed {
            self.buckets[index(bucket - age)] = EngineTime::default();
        }
        self.newest = self.newest.max(bucket);
        let at = &mut self.buckets[index(self.newest)];
        *at = at.plus(time);
    }
}

/// Returns the position of a bucket in an entry.
fn index(bucket: u64) -> usize {
    usize::try_from(bucket % (BUCKETS + 1)).unwrap_or(0)
}

/// Returns the number of the bucket at a time, and the part of it that has passed.
fn bucket_at(now: Time) -> (u64, f64) {
    let length = u64::try_from(WINDOW.as_micros()).unwrap_or(u64::MAX) / BUCKETS;
    let passed = (now.micros() % length) as f64 / length as f64;
    (now.micros() / length, passed)
}

/// Engine time of all customers with any in the window, by the hash of the customer's name.
#[derive(Debug, Default)]
pub struct UsageWindow {
    customers: BTreeMap<u64, Entry>,
}

impl UsageWindow {
    /// Adds engine time of a customer.
    pub fn record(&mut self, customer: u64, rank: u8, time: EngineTime, now: Time) {
        let (bucket, _) = bucket_at(now);
        let entry = self.customers.entry(customer).or_insert(Entry {
            rank,
            buckets: [EngineTime::default(); KEPT],
            newest: bucket,
        });
        entry.rank = rank;
        entry.add(bucket, time);
    }

    /// Returns the engine time of a customer in the window that ends now.
    #[must_use]
    pub fn of(&self, customer: u64, now: Time) -> EngineTime {
        let entry = self.customers.get(&customer);
        entry.map_or_else(EngineTime::default, |entry| entry.sum(now))
    }

    /// Returns customer, rank and engine time of all customers with any in the window that ends now.
    pub fn sums(&self, now: Time) -> impl Iterator<Item = (u64, u8, EngineTime)> {
        let all = self.customers.iter();
        all.map(move |(customer, entry)| (*customer, entry.rank, entry.sum(now)))
            .filter(|(.., time)| time.demand() > 0.0)
    }

    /// Drops customers without usage in the window that ends now.
    pub fn expire(&mut self, now: Time) {
        let (bucket, _) = bucket_at(now);
        self.customers
            .retain(|_, entry| bucket.saturating_sub(entry.newest) <= BUCKETS);
    }

    /// Returns the number of customers that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
    }
}
