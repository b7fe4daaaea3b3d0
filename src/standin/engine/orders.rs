//! Orders, and their fencing by number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::options::Fencing;
use crate::backend::Action;

/// Maximum number of orders kept to recognise repeated ones.
const MAX_ORDERS: usize = 1000;

/// An order as received.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Order {
    pub fence: u64,
    #[serde(rename = "order")]
    pub number: u64,
    pub holder: Box<str>,
    pub action: Action,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum OrderResult {
    /// It is executed.
    Applied,
    /// It was executed before.
    Repeat,
    /// It is not newer than the newest order seen.
    Refused,
}

/// Entry of the log of orders.
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

    /// Decides whether an order is executed, and keeps it unless it is refused.
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
