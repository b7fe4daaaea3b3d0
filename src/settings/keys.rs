//! Every section and key of the settings, with its bounds and its default.

use std::time::Duration;

use crate::form::Form;
use crate::sections::{KeySpec, Label, SectionKind};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const HOUR: Duration = Duration::from_hours(1);
/// Weights and token rates above this are slips of the keyboard.
const MAX_NUMBER: f64 = 1e6;

/// Key that has no default.
pub(super) const fn required(key: &'static str, form: Form, about: &'static str) -> KeySpec {
    KeySpec {
        name: key,
        form,
        default: None,
        description: about,
    }
}

/// Key with a default.
pub(super) const fn optional(
    key: &'static str,
    form: Form,
    default: &'static str,
    about: &'static str,
) -> KeySpec {
    KeySpec {
        name: key,
        form,
        default: Some(default),
        description: about,
    }
}

/// Sections of a host's settings.
pub const SECTIONS: &[SectionKind] = &[
    SectionKind {
        keyword: "host",
        label: Label::None,
        keys: HOST,
    },
    SectionKind {
        keyword: "platform",
        label: Label::None,
        keys: PLATFORM,
    },
    SectionKind {
        keyword: "limits",
        label: Label::None,
        keys: LIMITS,
    },
    SectionKind {
        keyword: "pool",
        label: Label::Name,
        keys: POOL,
    },
    SectionKind {
        keyword: "service",
        label: Label::Name,
        keys: SERVICE,
    },
    SectionKind {
        keyword: "log",
        label: Label::None,
        keys: LOG,
    },
];

const HOST: &[KeySpec] = &[
    required(
        "name",
        Form::Name,
        "name of this host, unique in the deployment",
    ),
    required("region", Form::Name, "region the host stands in"),
    required("domain", Form::Name, "failure domain the host stands in"),
    required("callers", Form::Address, "listener for callers"),
    required("operators", Form::Address, "listener for operators"),
    required("peers", Form::Address, "listener for peers"),
    optional(
        "advertise",
        Form::AddressOrSame,
        "same",
        "address that peers are told, where it is not the listener's own",
    ),
    required("secret", Form::Secret, "secret shared by all hosts"),
    required(
        "operator-key-hash",
        Form::Hash,
        "BLAKE3 hash of the operators' key",
    ),
];

const PLATFORM: &[KeySpec] = &[
    required("kv", Form::Addresses, "endpoints of the key-value service"),
    required(
        "list",
        Form::Address,
        "endpoint of the list of hosts and backend servers",
    ),
    optional(
        "prefix",
        Form::Name,
        "chiveway/",
        "prefix of every key this deployment writes",
    ),
    optional(
        "refresh",
        Form::Time(Duration::from_millis(100), MINUTE),
        "1s",
        "time between two reads of the list",
    ),
    optional(
        "lease",
        Form::Time(SECOND, HOUR),
        "10s",
        "life of a lease in the key-value service",
    ),
];

pub(super) const LIMITS: &[KeySpec] = &[
    optional(
        "body",
        Form::Size(1 << 10, 256 << 20),
        "8MiB",
        "most bytes of a caller's body",
    ),
    optional(
        "body-time",
        Form::Time(SECOND, HOUR),
        "30s",
        "time a caller has to send its body",
    ),
    optional(
        "first-silence",
        Form::Time(SECOND, HOUR),
        "30s",
        "time until the first token before a stream counts as silent",
    ),
    optional(
        "token-silence",
        Form::Time(Duration::from_millis(100), HOUR),
        "10s",
        "time between tokens before a stream counts as silent",
    ),
    optional(
        "stop",
        Form::Time(SECOND, HOUR),
        "2m",
        "time a planned stop may take",
    ),
    optional(
        "cut-off",
        Form::Time(SECOND, HOUR),
        "10s",
        "time without store and peers after which the host takes no new work",
    ),
    optional(
        "drain",
        Form::Time(SECOND, HOUR),
        "2m",
        "time a withdrawn engine may finish its streams",
    ),
    optional(
        "requests",
        Form::Count(1, 1_000_000),
        "4096",
        "most requests a host holds open at once",
    ),
];

const POOL: &[KeySpec] = &[
    required("model", Form::Name, "model name that callers use"),
    required(
        "fencing",
        Form::Choice(&["checks", "ignores"]),
        "whether the engines refuse an order with an old fencing number",
    ),
    optional(
        "first-token",
        Form::Time(MILLISECOND, HOUR),
        "780ms",
        "wanted time to the first token, for 95 in 100",
    ),
    optional(
        "between",
        Form::Time(MILLISECOND, MINUTE),
        "49ms",
        "wanted time between tokens, for 95 in 100",
    ),
    optional(
        "split",
        Form::Choice(&["yes", "no"]),
        "no",
        "whether engines are split between prefill and decode",
    ),
    optional(
        "goodput",
        Form::Number(0.0, MAX_NUMBER),
        "1",
        "weight of goodput in role decisions",
    ),
    optional(
        "change",
        Form::Number(0.0, MAX_NUMBER),
        "5",
        "weight of one role change in role decisions, in engine seconds",
    ),
    optional(
        "prefill",
        Form::Number(1.0, MAX_NUMBER),
        "8000",
        "prompt tokens a second of an engine of nominal speed",
    ),
    optional(
        "decode",
        Form::Number(1.0, MAX_NUMBER),
        "1000",
        "generated tokens a second of an engine of nominal speed, over all its streams",
    ),
    optional(
        "slots",
        Form::Count(1, 10_000),
        "16",
        "streams an engine decodes at once",
    ),
    optional(
        "piece",
        Form::Count(1, 1_000_000),
        "2000",
        "tokens in one piece of an engine's prefix cache",
    ),
];

const SERVICE: &[KeySpec] = &[optional(
    "timeout",
    Form::Time(MILLISECOND, HOUR),
    "30s",
    "time a call may take",
)];

pub(super) const LOG: &[KeySpec] = &[
    optional(
        "level",
        Form::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
        "info",
        "least level written",
    ),
    optional(
        "form",
        Form::Choice(&["text", "json"]),
        "text",
        "form of the lines",
    ),
];
