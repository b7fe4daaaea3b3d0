//! Every section and key of the operators' two lists.

use crate::form::Form;
use crate::sections::{Key, Kind, Label};

/// Rates above this are slips of the keyboard.
const MAX_RATE: f64 = 1e9;
/// Most requests of one plan running at once.
const MAX_RUNNING: usize = 1_000_000;
/// Highest priority of a plan.
pub const MAX_PRIORITY: usize = 9;

/// Sections of the customers' plans.
pub const PLANS_SECTIONS: &[Kind] = &[Kind {
    word: "customer",
    label: Label::Title,
    keys: &[
        Key {
            key: "plan",
            form: Form::Title,
            default: None,
            about: "plan the customer is on",
        },
        Key {
            key: "keys",
            form: Form::Hashes,
            default: Some(""),
            about: "BLAKE3 hashes of the keys the customer may send",
        },
    ],
}];

/// Sections of what each plan may use.
pub const USES_SECTIONS: &[Kind] = &[
    Kind {
        word: "plan",
        label: Label::Title,
        keys: &[
            Key {
                key: "models",
                form: Form::Words,
                default: Some(""),
                about: "models the plan may use",
            },
            Key {
                key: "services",
                form: Form::Words,
                default: Some(""),
                about: "services the plan may use",
            },
            Key {
                key: "requests",
                form: Form::Rate(MAX_RATE),
                default: Some("none"),
                about: "requests a second, over all hosts and customers of the plan",
            },
            Key {
                key: "tokens",
                form: Form::Rate(MAX_RATE),
                default: Some("none"),
                about: "prompt and output tokens a second, over all hosts and customers of the plan",
            },
            Key {
                key: "running",
                form: Form::Limit(1, MAX_RUNNING),
                default: Some("none"),
                about: "requests running at once, over all hosts and customers of the plan",
            },
            Key {
                key: "priority",
                form: Form::Count(0, MAX_PRIORITY),
                default: Some("0"),
                about: "order in which engines serve waiting requests; higher goes first",
            },
        ],
    },
    Kind {
        word: "service",
        label: Label::Word,
        keys: &[
            Key {
                key: "repeat",
                form: Form::Calls,
                default: Some(""),
                about: "calls that may be repeated; the first match of both keys decides",
            },
            Key {
                key: "once",
                form: Form::Calls,
                default: Some(""),
                about: "calls that may run at most once; the first match of both keys decides",
            },
        ],
    },
];
