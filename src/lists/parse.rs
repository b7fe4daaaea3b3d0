//! The two lists from INI text, with every fault reported.

use super::keys::{PLANS_SECTIONS, USES_SECTIONS};
use super::{Allowance, Customer, Plans, RetryRule, Uses};
use crate::form;
use crate::sections::{Document, Fault, Kind, Section};
use crate::units;

impl Plans {
    /// Reads the customers' plans; `file` names the origin in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let sections = read(text, file, PLANS_SECTIONS)?;
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
    /// Reads what each plan may use; `file` names the origin in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let mut uses = Self::default();
        for section in read(text, file, USES_SECTIONS)? {
            if section.word() == "plan" {
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

fn read(text: &str, file: &str, kinds: &'static [Kind]) -> Result<Vec<Section>, Vec<Fault>> {
    let doc = Document::read(text, file, kinds);
    if doc.faults.is_empty() {
        Ok(doc.sections)
    } else {
        Err(doc.faults)
    }
}

fn parse_customer(section: &Section) -> Customer {
    Customer {
        plan: section.get("plan").into(),
        keys: section.read("keys", |text| form::items(text).map(form::hash).collect()),
    }
}

fn parse_allowance(section: &Section) -> Allowance {
    let words = |key| form::items(section.get(key)).map(Into::into).collect();
    let running = |text: &str| units::count(text).and_then(|count| u32::try_from(count).ok());
    let priority = |text: &str| units::count(text).and_then(|count| u8::try_from(count).ok());
    Allowance {
        models: words("models"),
        services: words("services"),
        requests: units::rate(section.get("requests")),
        tokens: units::rate(section.get("tokens")),
        running: running(section.get("running")),
        priority: section.read("priority", priority),
    }
}

/// Reads the rules of one key of a service, in their order.
fn parse_rules((key, value): &(Box<str>, Box<str>)) -> Vec<RetryRule> {
    form::items(value)
        .filter_map(form::call)
        .map(|(method, path)| RetryRule {
            method: method.into(),
            path: path.into(),
            retryable: &**key == "repeat",
        })
        .collect()
}
