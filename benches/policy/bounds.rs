//! Checks the figures against the bounds in `bounds.ini`.

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

/// One section per case, and one per fleet.
const SECTION_KINDS: &[SectionKind] = &[
    SectionKind {
        keyword: "case",
        label: Label::Name,
        keys: &[
            key("oracle", "minimum goodput as a fraction of the oracle's"),
            key(
                "static",
                "minimum goodput as a fraction of the best static split's",
            ),
            key("changes", "maximum number of role changes"),
            key(
                "kept",
                "minimum fraction admitted of the callers that honor retry-after",
            ),
            key("retries", "maximum retries by hosts per try of a caller"),
            key(
                "fair",
                "minimum goodput of each plan as a fraction of the best-served plan's",
            ),
        ],
    },
    SectionKind {
        keyword: "fleet",
        label: Label::Name,
        keys: &[key("orders", "maximum number of orders")],
    },
];

/// Returns a line for each figure that violates its bound, and for each case without bounds.
pub fn check(text: &str, rows: &[Row], orders: &[(&str, usize)]) -> Vec<String> {
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
                BoundKind::Min => (figure < bound, "at least"),
                BoundKind::Max => (figure > bound, "at most"),
            };
            if exceeded {
                let name = &section.name;
                violations.push(format!(
                    "{name}: {key} is {figure:.4}, expected {wording} {bound}"
                ));
            }
        }
    }
    for (name, count) in orders {
        let section = doc.sections.iter().find(|section| *section.name == **name);
        let bound = section.and_then(|section| section.get("orders").parse::<usize>().ok());
        match bound {
            None => violations.push(format!("{name}: no bound of orders in bounds.ini")),
            Some(bound) if *count > bound => {
                violations.push(format!("{name}: {count} orders, expected at most {bound}"));
            }
            Some(_) => {}
        }
    }
    if rows.len() == crate::cases::CASES.len() * POLICIES.len() {
        for case in crate::cases::CASES {
            if !doc
                .sections
                .iter()
                .any(|section| *section.name == *case.name)
            {
                violations.push(format!("{}: no section in bounds.ini", case.name));
            }
        }
    }
    violations
}

/// Whether a bound is a minimum or a maximum.
#[derive(Debug, Clone, Copy)]
enum BoundKind {
    Min,
    Max,
}
