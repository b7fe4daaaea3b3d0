//! Bounds that the figures are checked against.

use chiveway::form::Form;
use chiveway::sections::{Document, KeySpec, Label, SectionKind};

use crate::table::{Row, find, of_oracle};
use crate::{POLICIES, Policy};

const fn key(key: &'static str, about: &'static str) -> KeySpec {
    KeySpec {
        name: key,
        form: Form::Number(0.0, 1e6),
        default: Some(""),
        description: about,
    }
}

/// One section a case.
const KINDS: &[SectionKind] = &[SectionKind {
    keyword: "case",
    label: Label::Name,
    keys: &[
        key("oracle", "least part of the oracle's goodput"),
        key("static", "least part of the best static split's goodput"),
        key("changes", "most role changes"),
        key(
            "kept",
            "least part of callers who come back as told and are taken",
        ),
        key("retries", "most repeats of our own per try"),
        key(
            "fair",
            "least part of the best-served plan's goodput that each plan has",
        ),
    ],
}];

/// Returns a line for each figure beyond its bound.
pub fn check(text: &str, rows: &[Row]) -> Vec<String> {
    let doc = Document::parse(text, "bounds.ini", KINDS);
    let mut broken: Vec<String> = doc.faults.iter().map(ToString::to_string).collect();
    for section in &doc.sections {
        let Some(ours) = find(rows, &section.name, Policy::Ours) else {
            continue;
        };
        let tally = &ours.tally;
        let fixed = find(rows, &section.name, Policy::Static);
        let fixed = fixed.map_or(1.0, |row| row.tally.goodput());
        let figures = [
            ("oracle", of_oracle(rows, ours), Side::Least),
            ("static", tally.goodput() / fixed, Side::Least),
            ("changes", f64::from(tally.changes), Side::Most),
            ("kept", tally.truth(), Side::Least),
            ("retries", tally.repeats(), Side::Most),
            ("fair", tally.fairness(), Side::Least),
        ];
        for (key, figure, side) in figures {
            let Ok(bound) = section.get(key).parse::<f64>() else {
                continue;
            };
            let (beyond, word) = match side {
                Side::Least => (figure < bound, "least"),
                Side::Most => (figure > bound, "most"),
            };
            if beyond {
                let name = &section.name;
                broken.push(format!(
                    "{name}: {key} is {figure:.4}, {word} {bound} allowed"
                ));
            }
        }
    }
    if rows.len() == crate::cases::CASES.len() * POLICIES.len() {
        for case in crate::cases::CASES {
            if !doc
                .sections
                .iter()
                .any(|section| *section.name == *case.name)
            {
                broken.push(format!("{}: has no bounds", case.name));
            }
        }
    }
    broken
}

/// On which side of a bound figures must lie.
#[derive(Debug, Clone, Copy)]
enum Side {
    Least,
    Most,
}
