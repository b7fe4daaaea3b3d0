//! Consistency checks across both lists.

use std::collections::BTreeMap;

use super::{KeyHash, Plans, Uses};
use crate::sections::Fault;

/// Origin reported for faults in the list of customers' plans.
const PLANS_ORIGIN: &str = "plans";

/// Checks that every customer's plan exists and that every key belongs to one customer only.
#[must_use]
pub fn check(plans: &Plans, uses: &Uses) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<KeyHash, &str> = BTreeMap::new();
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
            if let Some(other) = owners.insert(*key, name) {
                let given = format!("{key}, which [customer {other}] holds");
                fault("keys", &given, "each key once in the list");
            }
        }
    }
    faults
}
