//! Sections and keys of the operators' two lists.

use crate::form::Form;
use crate::sections::{KeySpec, Label, SectionKind};

/// Maximum rate: larger values are typing errors.
const MAX_RATE: f64 = 1e9;
/// Maximum number of concurrent requests of one plan.
const MAX_RUNNING: usize = 1_000_000;
/// Highest priority of a plan.
pub const MAX_PRIORITY: usize = 9;

/// Sections of the list of customers' plans.
pub const PLANS_SECTIONS: &[SectionKind] = &[SectionKind {
    keyword: "customer",
    label: Label::SpacedName,
    keys: &[
        KeySpec {
            name: "plan",
            form: Form::SpacedName,
            default: None,
            description: "plan the customer is on",
        },
        KeySpec {
            name: "keys",
            form: Form::Hashes,
            default: Some(""),
            description: "BLAKE3 hashes of the keys the customer may send",
        },
    ],
}];

/// Sections of the list of what each plan may use.
pub const USES_SECTIONS: &[SectionKind] = &[
    SectionKind {
        keyword: "plan",
        label: Label::SpacedName,
        keys: &[
            KeySpec {
                name: "models",
                form: Form::Names,
                default: Some(""),
                description: "models the plan may use",
            },
            KeySpec {
                name: "services",
                form: Form::Names,
                default: Some(""),
                description: "services the plan may use",
            },
            KeySpec {
                name: "requests",
                form: Form::Rate(MAX_RATE),
                default: Some("none"),
                description: "requests per second, over all hosts and customers of the plan",
            },
            KeySpec {
                name: "tokens",
                form: Form::Rate(MAX_RATE),
                default: Some("none"),
                description: "prompt and output tokens per second, over all hosts and customers of the plan",
            },
            KeySpec {
                name: "running",
                form: Form::OptionalCount(1, MAX_RUNNING),
                default: Some("none"),
                description: "concurrent requests, over all hosts and customers of the plan",
            },
            KeySpec {
                name: "priority",
                form: Form::Count(0, MAX_PRIORITY),
                default: Some("0"),
                description: "priority of queued requests at the engines; higher is served first",
            },
        ],
    },
    SectionKind {
        keyword: "service",
        label: Label::Name,
        keys: &[
            KeySpec {
                name: "repeat",
                form: Form::Calls,
                default: Some(""),
                description: "calls that may be retried; the first match in both keys applies",
            },
            KeySpec {
                name: "once",
                form: Form::Calls,
                default: Some(""),
                description: "calls that run at most once; the first match in both keys applies",
            },
        ],
    },
];
