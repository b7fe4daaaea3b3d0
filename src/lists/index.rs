//! Lookups that every request needs.

use std::collections::BTreeMap;

use super::{Customer, KeyHash, Lists, Plans, Uses};

/// Customer and plan behind one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Name of the customer's plan.
    pub plan: Box<str>,
}

/// Customers by the hashes of their keys.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    owners: BTreeMap<KeyHash, KeyOwner>,
}

impl KeyIndex {
    /// Builds the index of both lists.
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

    /// Returns whose key has this hash.
    #[must_use]
    pub fn get(&self, key: KeyHash) -> Option<&KeyOwner> {
        self.owners.get(&key)
    }

    /// Brings the index from one list of customers to the next.
    ///
    /// Building it anew for 31,000 customers holds the thread for longer than the time wanted
    /// between two tokens.
    pub fn update(&mut self, old: &Plans, new: &Plans) {
        // All go before any come: a key may have moved from one customer to another.
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

    /// Returns whose key this is.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&KeyOwner> {
        self.get(KeyHash::of(key))
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Tells whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// Returns the customers that `to` does not have as they are.
fn differing<'a>(
    from: &'a Plans,
    to: &'a Plans,
) -> impl Iterator<Item = (&'a Box<str>, &'a Customer)> {
    let customers = from.customers.iter();
    customers.filter(|(name, customer)| to.customers.get(*name) != Some(*customer))
}

impl Uses {
    /// Tells whether a call to `service` may be repeated; `path` is below the service.
    ///
    /// Without a matching rule GET and HEAD may be repeated and everything else may not.
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

/// Compares with a pattern whose final `*` matches any rest.
fn matches(pattern: &str, text: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(start) => text.starts_with(start),
        None => pattern == text,
    }
}
