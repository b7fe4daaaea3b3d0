//! Lookups for each request: the owner of a key, and whether a call may be retried.

use std::collections::BTreeMap;

use super::{Customer, KeyHash, Lists, Plans, Uses};

/// Customer that owns a key, and its plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Name of the customer's plan.
    pub plan: Box<str>,
}

/// Index of customers by the hashes of their keys.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    owners: BTreeMap<KeyHash, KeyOwner>,
}

impl KeyIndex {
    /// Builds the index from the list of customers.
    #[must_use]
    pub fn new(lists: &Lists) -> Self {
        let mut owners = BTreeMap::new();
        for (name, customer) in &lists.plans.customers {
            for key in &customer.keys {
                let owner = KeyOwner {
                    customer: name.clone(),
                    plan: customer.plan.clone(),
                };
                owners.insert(*key, owner);
            }
        }
        Self { owners }
    }

    /// Returns the owner of the key with this hash.
    #[must_use]
    pub fn get(&self, key: KeyHash) -> Option<&KeyOwner> {
        self.owners.get(&key)
    }

    /// Updates the index from the customers of `old` to those of `new`.
    ///
    /// Rebuilding it for 31,000 customers blocks the thread for longer than the target time
    /// between two tokens.
    pub fn update(&mut self, old: &Plans, new: &Plans) {
        // Removals come first: a key may have moved from one customer to another.
        for (_, customer) in differing(old, new) {
            for key in &customer.keys {
                self.owners.remove(key);
            }
        }
        for (name, customer) in differing(new, old) {
            for key in &customer.keys {
                let owner = KeyOwner {
                    customer: name.clone(),
                    plan: customer.plan.clone(),
                };
                self.owners.insert(*key, owner);
            }
        }
    }

    /// Returns the owner of a key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&KeyOwner> {
        self.get(KeyHash::of(key))
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether the index holds no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// Returns the customers of `from` that are absent from `to` or differ there.
fn differing<'a>(
    from: &'a Plans,
    to: &'a Plans,
) -> impl Iterator<Item = (&'a Box<str>, &'a Customer)> {
    let customers = from.customers.iter();
    customers.filter(|(name, customer)| to.customers.get(*name) != Some(*customer))
}

impl Uses {
    /// Returns whether a call to `service` may be retried; `path` is relative to the service.
    ///
    /// Without a matching rule, only GET and HEAD may be retried.
    #[must_use]
    pub fn is_retryable(&self, service: &str, method: &str, path: &str) -> bool {
        let rules = self.services.get(service);
        let rule = rules.and_then(|rules| {
            rules
                .iter()
                .find(|rule| matches(&rule.method, method) && matches(&rule.path, path))
        });
        rule.map_or(matches!(method, "GET" | "HEAD"), |rule| rule.retryable)
    }
}

/// Returns whether `text` matches a pattern, whose final `*` matches any suffix.
fn matches(pattern: &str, text: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => text.starts_with(prefix),
        None => pattern == text,
    }
}
