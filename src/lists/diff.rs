//! Human-readable differences between two versions of the lists.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use super::{Allowance, Customer, KeyHash, Lists, Plans, RetryRule, Uses};
use crate::units;

/// Number of digits of a key's hash that are shown: enough to distinguish a customer's keys.
const SHOWN_HASH_DIGITS: usize = 12;

/// Returns one line for each difference; empty if the lists are equal.
#[must_use]
pub fn diff(old: &Lists, new: &Lists) -> Vec<Box<str>> {
    let mut lines = diff_plans(&old.plans, &new.plans);
    lines.extend(diff_uses(&old.uses, &new.uses));
    lines
}

/// Returns one line for each difference of the customers' plans.
#[must_use]
pub fn diff_plans(old: &Plans, new: &Plans) -> Vec<Box<str>> {
    diff_maps("customer", &old.customers, &new.customers, |name, pair| {
        diff_customer(name, pair)
    })
}

/// Returns one line for each difference in what plans may use.
#[must_use]
pub fn diff_uses(old: &Uses, new: &Uses) -> Vec<Box<str>> {
    let mut lines = diff_maps("plan", &old.plans, &new.plans, diff_allowance);
    lines.extend(diff_maps(
        "service",
        &old.services,
        &new.services,
        diff_rules,
    ));
    lines
}

/// The old and the new value under one name.
type Pair<'a, T> = (&'a T, &'a T);

/// Compares two maps: lists removed and added names, and the lines of `changed` for the others.
fn diff_maps<T: PartialEq + Debug>(
    kind: &str,
    old: &BTreeMap<Box<str>, T>,
    new: &BTreeMap<Box<str>, T>,
    changed: impl Fn(&str, Pair<'_, T>) -> Vec<Box<str>>,
) -> Vec<Box<str>> {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let mut lines = Vec::new();
    for name in names {
        match (old.get(name), new.get(name)) {
            (Some(_), None) => lines.push(format!("- {kind} {name}").into()),
            (None, Some(_)) => lines.push(format!("+ {kind} {name}").into()),
            (Some(old), Some(new)) if old != new => lines.extend(changed(name, (old, new))),
            _ => {}
        }
    }
    lines
}

fn diff_customer(name: &str, (old, new): Pair<'_, Customer>) -> Vec<Box<str>> {
    let mut lines = Vec::new();
    let field = |field: &str, old: &str, new: &str| field_line("customer", name, field, old, new);
    lines.extend(field("plan", &old.plan, &new.plan));
    lines.extend(field("keys", &show_keys(&old.keys), &show_keys(&new.keys)));
    lines
}

fn diff_allowance(name: &str, (old, new): Pair<'_, Allowance>) -> Vec<Box<str>> {
    let fields = [
        ("models", join_names(&old.models), join_names(&new.models)),
        (
            "services",
            join_names(&old.services),
            join_names(&new.services),
        ),
        ("requests", show_rate(old.requests), show_rate(new.requests)),
        ("tokens", show_rate(old.tokens), show_rate(new.tokens)),
        ("running", show_limit(old.running), show_limit(new.running)),
        (
            "priority",
            old.priority.to_string(),
            new.priority.to_string(),
        ),
    ];
    fields
        .into_iter()
        .filter_map(|(field, old, new)| field_line("plan", name, field, &old, &new))
        .collect()
}

fn diff_rules(name: &str, (old, new): Pair<'_, Vec<RetryRule>>) -> Vec<Box<str>> {
    let line = field_line("service", name, "rules", &show_rules(old), &show_rules(new));
    line.into_iter().collect()
}

fn field_line(kind: &str, name: &str, field: &str, old: &str, new: &str) -> Option<Box<str>> {
    let shown = |value: &str| {
        if value.is_empty() {
            "nothing".to_owned()
        } else {
            value.to_owned()
        }
    };
    (old != new)
        .then(|| format!("~ {kind} {name}: {field} {} -> {}", shown(old), shown(new)).into())
}

fn show_keys(keys: &[KeyHash]) -> String {
    let short = |key: &KeyHash| key.to_string()[..SHOWN_HASH_DIGITS].to_owned();
    keys.iter().map(short).collect::<Vec<_>>().join(", ")
}

fn join_names(names: &BTreeSet<Box<str>>) -> String {
    let names: Vec<_> = names.iter().map(|name| &**name).collect();
    names.join(", ")
}

fn show_rate(rate: Option<f64>) -> String {
    rate.map_or("none".to_owned(), |rate| units::show_rate(rate).into())
}

fn show_limit(limit: Option<u32>) -> String {
    limit.map_or("none".to_owned(), |limit| limit.to_string())
}

fn show_rules(rules: &[RetryRule]) -> String {
    let show = |rule: &RetryRule| {
        let key = if rule.retryable { "repeat" } else { "once" };
        format!("{key} {} {}", rule.method, rule.path)
    };
    rules.iter().map(show).collect::<Vec<_>>().join(", ")
}
