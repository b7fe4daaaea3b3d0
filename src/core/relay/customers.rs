//! Customers, and the keys by which their requests are recognised.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::catalog::Access;
use crate::lists::KeyHash;

/// A customer of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Customer {
    /// Name.
    pub name: Box<str>,
    /// Priority rank of its requests, in place of the route's; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// All customers, by the hashes of their keys.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Customers {
    by_key: BTreeMap<KeyHash, Rc<Customer>>,
}

impl Customers {
    /// Adds a customer with its keys; a key that several customers list belongs to the first.
    pub fn add(&mut self, customer: Customer, keys: impl IntoIterator<Item = KeyHash>) {
        let customer = Rc::new(customer);
        for key in keys {
            let owner = self.by_key.entry(key);
            owner.or_insert_with(|| Rc::clone(&customer));
        }
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn find(&self, key: KeyHash) -> Option<&Rc<Customer>> {
        self.by_key.get(&key)
    }
}

/// The key that a caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Credential {
    /// None.
    #[default]
    Absent,
    /// One that is no key, or several.
    Malformed,
    /// A key with this hash.
    Key(KeyHash),
}

/// On whose behalf a request runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Identity {
    /// The configuration names no customers; the caller's credentials belong to the backend server.
    #[default]
    Unchecked,
    /// No customer: the route is public.
    Public,
    /// A customer.
    Customer(Rc<Customer>),
}

impl Identity {
    /// Returns the customer.
    #[must_use]
    pub fn customer(&self) -> Option<&Rc<Customer>> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unchecked | Self::Public => None,
        }
    }
}

/// Reason for which a caller is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request has no key.
    Absent,
    /// The request has no valid key.
    Malformed,
    /// No customer holds the key.
    Unknown,
    /// No customer holds the key as far as this host knows, and its view is not recent.
    Unconfirmed,
    /// Keys may have been withdrawn since this host's view was complete.
    Expired,
}

/// How old a host's view of the configuration is, and what follows from that.
#[derive(Debug, Clone, Copy)]
pub struct ViewAge {
    /// Whether a key that the view lacks does not exist.
    pub is_fresh: bool,
    /// Time since the view was complete; `None` if it never was.
    pub age: Option<Duration>,
    /// Age up to which known keys are accepted; `None` for any age.
    pub max_age: Option<Duration>,
}

/// Identifies the customer of a request.
///
/// # Errors
///
/// Returns why the request must not run.
pub fn identify(
    customers: Option<&Customers>,
    access: Access,
    credential: Credential,
    view: ViewAge,
) -> Result<Identity, Denial> {
    let Some(customers) = customers else {
        return Ok(Identity::Unchecked);
    };
    let found = match credential {
        Credential::Key(key) => customers.find(key).ok_or(if view.is_fresh {
            Denial::Unknown
        } else {
            Denial::Unconfirmed
        }),
        Credential::Absent => Err(Denial::Absent),
        Credential::Malformed => Err(Denial::Malformed),
    };
    match (found, access) {
        (Err(_), Access::Public) => Ok(Identity::Public),
        (Err(denial), Access::Keyed) => Err(denial),
        (Ok(customer), _) => {
            let expired = |max: Duration| view.age.is_none_or(|age| age > max);
            if access == Access::Keyed && view.max_age.is_some_and(expired) {
                return Err(Denial::Expired);
            }
            Ok(Identity::Customer(Rc::clone(customer)))
        }
    }
}
