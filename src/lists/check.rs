//! Faults that show only when both lists are seen together.

use std::collections::BTreeMap;

use super::{KeyHash, Plans, Uses};
use crate::sections::Fault;

/// Origin named in the faults of the customers' plans.
const PLANS_ORIGIN: &str = "plans";

/// Compares both lists: every customer's plan exists, and every key belongs to one customer.
#[must_use]
pub fn check(plans: &Plans, uses: &Uses) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut seen: BTreeMap<KeyHash, &str> = BTreeMap::new();
    for (name, customer) in &plans.customers {
        let mut fault = |key: &str, given: &str, allowed: &str| {
            faults.push(Fault {
                file: PLANS_ORIGIN.into(),
                section: format!("customer {name}").into(),
                key: key.into(),
                given: given.into(),
                allowed: allowed.into(),
            });
        };
        if !uses.plans.contains_key(&customer.plan) {
            let given = format!("the unknown plan {}", customer.plan);
            fault(
                "plan",
                &given,
                "a plan with its [plan NAME] in the other list",
            );
        }
        for key in &customer.keys {
            if let Some(other) = seen.insert(*key, name) {
                let given = format!("{key}, which [customer {other}] holds");
                fault("keys", &given, "each key once in the list");
            }
        }
    }
    faults
}
