//! Sections and keys of the settings, with bounds and defaults.

use std::time::Duration;

use crate::form::Form;
use crate::sections::{KeySpec, Label, SectionKind};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const HOUR: Duration = Duration::from_hours(1);
/// Maximum weight or token rate: larger values are typing errors.
const MAX_NUMBER: f64 = 1e6;

/// Key without a default.
pub(super) const fn required(name: &'static str, form: Form, description: &'static str) -> KeySpec {
    KeySpec {
        name,
        form,
        default: None,
        description,
    }
}

/// Key with a default.
pub(super) const fn optional(
    name: &'static str,
    form: Form,
    default: &'static str,
    description: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        form,
        default: Some(default),
        description,
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
    required("region", Form::Name, "region of this host"),
    required("domain", Form::Name, "failure domain of this host"),
    required("callers", Form::Address, "listener for callers"),
    required("operators", Form::Address, "listener for operators"),
    required("peers", Form::Address, "listener for peers"),
    optional(
        "advertise",
        Form::AddressOrSame,
        "same",
        "address registered for peers, if it differs from the listener's",
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
        "endpoint of the listing of hosts and backend servers",
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
        "time to live of a lease in the key-value service",
    ),
];

pub(super) const LIMITS: &[KeySpec] = &[
    optional(
        "body",
        Form::Size(1 << 10, 256 << 20),
        "8MiB",
        "maximum size of a request body",
    ),
    optional(
        "body-time",
        Form::Time(SECOND, HOUR),
        "30s",
        "time within which a caller must send its request body",
    ),
    optional(
        "first-silence",
        Form::Time(SECOND, HOUR),
        "30s",
        "time without a first token after which a stream counts as silent",
    ),
    optional(
        "token-silence",
        Form::Time(Duration::from_millis(100), HOUR),
        "10s",
        "time without a further token after which a stream counts as silent",
    ),
    optional(
        "stop",
        Form::Time(SECOND, HOUR),
        "2m",
        "maximum time of a planned stop",
    ),
    optional(
        "cut-off",
        Form::Time(SECOND, HOUR),
        "10s",
        "time without contact to store and peers after which the host refuses new requests",
    ),
    optional(
        "drain",
        Form::Time(SECOND, HOUR),
        "2m",
        "time a withdrawn engine has to finish its streams",
    ),
    optional(
        "requests",
        Form::Count(1, 1_000_000),
        "4096",
        "maximum number of concurrent requests of a host",
    ),
];

const POOL: &[KeySpec] = &[
    required("model", Form::Name, "model name that callers use"),
    required(
        "fencing",
        Form::Choice(&["checks", "ignores"]),
        "whether the engines reject an order with an old fencing number",
    ),
    optional(
        "first-token",
        Form::Time(MILLISECOND, HOUR),
        "780ms",
        "target time to first token, 95th percentile",
    ),
    optional(
        "between",
        Form::Time(MILLISECOND, MINUTE),
        "49ms",
        "target time between tokens, 95th percentile",
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
        "prompt tokens per second of an engine of nominal speed",
    ),
    optional(
        "decode",
        Form::Number(1.0, MAX_NUMBER),
        "1000",
        "generated tokens per second of an engine of nominal speed, over all its streams",
    ),
    optional(
        "slots",
        Form::Count(1, 10_000),
        "16",
        "maximum number of streams an engine decodes concurrently",
    ),
    optional(
        "piece",
        Form::Count(1, 1_000_000),
        "2000",
        "tokens per block of an engine's prefix cache",
    ),
];

const SERVICE: &[KeySpec] = &[optional(
    "timeout",
    Form::Time(MILLISECOND, HOUR),
    "30s",
    "maximum time of a call",
)];

pub(super) const LOG: &[KeySpec] = &[
    optional(
        "level",
        Form::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
        "info",
        "lowest level written",
    ),
    optional(
        "form",
        Form::Choice(&["text", "json"]),
        "text",
        "format of the log lines",
    ),
];
