//! Canonical text of both lists, as displayed, stored and sent between hosts.
//!
//! Parsing the text gives the same list, and equal lists have equal texts.

use std::collections::BTreeSet;
use std::fmt;

use super::{Allowance, Customer, Plans, RetryRule, Uses};
use crate::units;

impl fmt::Display for Plans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, customer) in &self.customers {
            write_section(f, "customer", name)?;
            write_customer(f, customer)?;
        }
        Ok(())
    }
}

impl fmt::Display for Uses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, allowance) in &self.plans {
            write_section(f, "plan", name)?;
            write_allowance(f, allowance)?;
        }
        for (name, rules) in &self.services {
            write_section(f, "service", name)?;
            write_rules(f, rules)?;
        }
        Ok(())
    }
}

fn write_section(f: &mut fmt::Formatter<'_>, keyword: &str, name: &str) -> fmt::Result {
    writeln!(f, "[{keyword} {name}]")
}

fn write_customer(f: &mut fmt::Formatter<'_>, customer: &Customer) -> fmt::Result {
    writeln!(f, "plan = {}", customer.plan)?;
    if !customer.keys.is_empty() {
        writeln!(f, "keys = {}", join(&customer.keys))?;
    }
    writeln!(f)
}

fn write_allowance(f: &mut fmt::Formatter<'_>, allowance: &Allowance) -> fmt::Result {
    write_names(f, "models", &allowance.models)?;
    write_names(f, "services", &allowance.services)?;
    if let Some(rate) = allowance.requests {
        writeln!(f, "requests = {}", units::show_rate(rate))?;
    }
    if let Some(rate) = allowance.tokens {
        writeln!(f, "tokens = {}", units::show_rate(rate))?;
    }
    if let Some(running) = allowance.running {
        writeln!(f, "running = {running}")?;
    }
    writeln!(f, "priority = {}", allowance.priority)?;
    writeln!(f)
}

fn write_names(f: &mut fmt::Formatter<'_>, key: &str, names: &BTreeSet<Box<str>>) -> fmt::Result {
    if names.is_empty() {
        return Ok(());
    }
    writeln!(f, "{key} = {}", join(names))
}

/// Writes rules in order, consecutive rules of the same kind on one line.
fn write_rules(f: &mut fmt::Formatter<'_>, rules: &[RetryRule]) -> fmt::Result {
    for run in rules.chunk_by(|a, b| a.retryable == b.retryable) {
        let key = if run[0].retryable { "repeat" } else { "once" };
        let calls: Vec<_> = run
            .iter()
            .map(|rule| format!("{} {}", rule.method, rule.path))
            .collect();
        writeln!(f, "{key} = {}", calls.join(", "))?;
    }
    writeln!(f)
}

fn join<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
