//! The operators' two lists: the plan of each customer, and what each plan may use.

mod check;
mod chunk;
mod diff;
mod index;
pub mod keys;
mod parse;
mod reparse;
#[cfg(test)]
mod tests;
mod write;

pub use check::check;
pub use chunk::{Chunk, JoinError, chunks, join};
pub use diff::{diff, diff_plans, diff_uses};
pub use index::{KeyIndex, KeyOwner};

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// BLAKE3 hash of a customer's key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// Both lists at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Lists {
    /// Incremented with each accepted edit; 0 before the first.
    pub revision: u64,
    /// Plan of each customer.
    pub plans: Plans,
    /// What each plan may use.
    pub uses: Uses,
}

/// First list: the plan of each customer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plans {
    /// Customers by name.
    pub customers: BTreeMap<Box<str>, Customer>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer's plan.
    pub plan: Box<str>,
    /// Hashes of the keys that the customer may send.
    pub keys: Vec<KeyHash>,
}

/// Second list: what each plan may use, and which service calls may be retried.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Uses {
    /// Allowances by plan name.
    pub plans: BTreeMap<Box<str>, Allowance>,
    /// Retry rules by service name.
    pub services: BTreeMap<Box<str>, Vec<RetryRule>>,
}

/// What one plan may use, summed over all hosts and all its customers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Allowance {
    /// Models by name.
    pub models: BTreeSet<Box<str>>,
    /// Services by name.
    pub services: BTreeSet<Box<str>>,
    /// Requests per second; `None` for no limit.
    pub requests: Option<f64>,
    /// Prompt and output tokens per second, summed; `None` for no limit.
    pub tokens: Option<f64>,
    /// Concurrent requests; `None` for no limit.
    pub running: Option<u32>,
    /// Priority of queued requests at the engines, 0 to 9; higher is served first.
    pub priority: u8,
}

/// The limits of an allowance without its names; looked up for each request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Quota {
    /// Requests per second; `None` for no limit.
    pub requests: Option<f64>,
    /// Prompt and output tokens per second, summed; `None` for no limit.
    pub tokens: Option<f64>,
    /// Concurrent requests; `None` for no limit.
    pub running: Option<u32>,
}

impl Allowance {
    /// Returns the limits; `None` if the plan has none.
    #[must_use]
    pub fn quota(&self) -> Option<Quota> {
        let quota = Quota {
            requests: self.requests,
            tokens: self.tokens,
            running: self.running,
        };
        (quota != Quota::default()).then_some(quota)
    }
}

/// Whether matching calls may be retried; the first matching rule applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRule {
    /// HTTP method, upper case; `*` for any.
    pub method: Box<str>,
    /// Path relative to the service; a final `*` matches any suffix.
    pub path: Box<str>,
    /// Whether a call may run more than once.
    pub retryable: bool,
}
