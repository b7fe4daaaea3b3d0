//! Orders and their fencing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::options::Fencing;
use crate::backend::Action;

/// Orders that are remembered so that a repeat is known as one.
const MAX_ORDERS: usize = 1000;

/// One order as it comes in.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Order {
    pub fence: u64,
    #[serde(rename = "order")]
    pub number: u64,
    pub holder: Box<str>,
    pub action: Action,
}

/// What is done with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum OrderResult {
    /// It is carried out.
    Applied,
    /// It was carried out before.
    Repeat,
    /// It is older than another the engine has seen.
    Refused,
}

/// One line of the log of orders.
#[derive(Debug, Clone, Serialize)]
pub(super) struct OrderLogEntry {
    pub at_ms: u64,
    pub fence: u64,
    pub order: u64,
    pub holder: Box<str>,
    pub action: Action,
    pub result: OrderResult,
}

/// Orders seen, by fencing number and order number.
#[derive(Debug, Default)]
pub(super) struct Orders {
    seen: BTreeMap<(u64, u64), Action>,
}

impl Orders {
    /// Returns the highest fencing number and order number seen; zeros for none.
    pub fn highest(&self) -> (u64, u64) {
        self.seen.last_key_value().map_or((0, 0), |(key, _)| *key)
    }

    /// Decides about an order and remembers it unless it is refused.
    pub fn decide(&mut self, order: &Order, fencing: Fencing) -> OrderResult {
        let key = (order.fence, order.number);
        if fencing == Fencing::Checks {
            if order.fence < self.highest().0 {
                return OrderResult::Refused;
            }
            if self.seen.get(&key) == Some(&order.action) {
                return OrderResult::Repeat;
            }
            if !self.seen.is_empty() && key <= self.highest() {
                return OrderResult::Refused;
            }
        }
        self.seen.insert(key, order.action.clone());
        if self.seen.len() > MAX_ORDERS {
            self.seen.pop_first();
        }
        OrderResult::Applied
    }
}
