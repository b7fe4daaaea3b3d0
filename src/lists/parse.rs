//! Parsing of the two lists from INI text; every fault is reported.

use super::keys::{PLANS_SECTIONS, USES_SECTIONS};
use super::{Allowance, Customer, Plans, RetryRule, Uses};
use crate::form;
use crate::sections::{Document, Fault, Section, SectionKind};
use crate::units;

impl Plans {
    /// Parses the list of customers' plans; `file` is the origin reported in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let sections = parse_sections(text, file, PLANS_SECTIONS)?;
        let customers = sections
            .into_iter()
            .map(|section| {
                let customer = parse_customer(&section);
                (section.name, customer)
            })
            .collect();
        Ok(Self { customers })
    }
}

impl Uses {
    /// Parses the list of what each plan may use; `file` is the origin reported in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let mut uses = Self::default();
        for section in parse_sections(text, file, USES_SECTIONS)? {
            if section.keyword() == "plan" {
                let allowance = parse_allowance(&section);
                uses.plans.insert(section.name, allowance);
            } else {
                let rules = section.pairs.iter().flat_map(parse_rules).collect();
                uses.services.insert(section.name, rules);
            }
        }
        Ok(uses)
    }
}

fn parse_sections(
    text: &str,
    file: &str,
    kinds: &'static [SectionKind],
) -> Result<Vec<Section>, Vec<Fault>> {
    let doc = Document::parse(text, file, kinds);
    if doc.faults.is_empty() {
        Ok(doc.sections)
    } else {
        Err(doc.faults)
    }
}

fn parse_customer(section: &Section) -> Customer {
    Customer {
        plan: section.get("plan").into(),
        keys: section.read("keys", |text| {
            form::split_items(text).map(form::parse_hash).collect()
        }),
    }
}

fn parse_allowance(section: &Section) -> Allowance {
    let names = |key| {
        form::split_items(section.get(key))
            .map(Into::into)
            .collect()
    };
    let running = |text: &str| units::count(text).and_then(|count| u32::try_from(count).ok());
    let priority = |text: &str| units::count(text).and_then(|count| u8::try_from(count).ok());
    Allowance {
        models: names("models"),
        services: names("services"),
        requests: units::rate(section.get("requests")),
        tokens: units::rate(section.get("tokens")),
        running: running(section.get("running")),
        priority: section.read("priority", priority),
    }
}

/// Parses the rules of one key of a service, in order.
fn parse_rules((key, value): &(Box<str>, Box<str>)) -> Vec<RetryRule> {
    form::split_items(value)
        .filter_map(form::parse_call)
        .map(|(method, path)| RetryRule {
            method: method.into(),
            path: path.into(),
            retryable: &**key == "repeat",
        })
        .collect()
}
