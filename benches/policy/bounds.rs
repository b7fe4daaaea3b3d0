//! Bounds that the figures are checked against.

use chiveway::form::Form;
use chiveway::sections::{Document, KeySpec, Label, SectionKind};

use crate::table::{Row, find_row, oracle_fraction};
use crate::{POLICIES, Policy};

const fn key(name: &'static str, description: &'static str) -> KeySpec {
    KeySpec {
        name,
        form: Form::Number(0.0, 1e6),
        default: Some(""),
        description,
    }
}

/// One section a case.
const SECTION_KINDS: &[SectionKind] = &[SectionKind {
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
    let doc = Document::parse(text, "bounds.ini", SECTION_KINDS);
    let mut violations: Vec<String> = doc.faults.iter().map(ToString::to_string).collect();
    for section in &doc.sections {
        let Some(row) = find_row(rows, &section.name, Policy::Chiveway) else {
            continue;
        };
        let tally = &row.tally;
        let static_row = find_row(rows, &section.name, Policy::Static);
        let static_goodput = static_row.map_or(1.0, |fixed| fixed.tally.goodput());
        let figures = [
            ("oracle", oracle_fraction(rows, row), BoundKind::Min),
            ("static", tally.goodput() / static_goodput, BoundKind::Min),
            ("changes", f64::from(tally.role_changes), BoundKind::Max),
            ("kept", tally.admitted_fraction(), BoundKind::Min),
            ("retries", tally.retry_ratio(), BoundKind::Max),
            ("fair", tally.fairness(), BoundKind::Min),
        ];
        for (key, figure, kind) in figures {
            let Ok(bound) = section.get(key).parse::<f64>() else {
                continue;
            };
            let (exceeded, wording) = match kind {
                BoundKind::Min => (figure < bound, "least"),
                BoundKind::Max => (figure > bound, "most"),
            };
            if exceeded {
                let name = &section.name;
                violations.push(format!(
                    "{name}: {key} is {figure:.4}, {wording} {bound} allowed"
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
                violations.push(format!("{}: has no bounds", case.name));
            }
        }
    }
    violations
}

/// On which side of a bound figures must lie.
#[derive(Debug, Clone, Copy)]
enum BoundKind {
    Min,
    Max,
}
