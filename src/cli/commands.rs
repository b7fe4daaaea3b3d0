//! All commands and options, with their forms, defaults and help texts.

use std::time::Duration;

use crate::form::Form;

/// One option of a command.
#[derive(Debug)]
pub struct Opt {
    /// Long name with its dashes.
    pub name: &'static str,
    /// Name of the value in help; empty for a switch.
    pub value: &'static str,
    /// Form of the value.
    pub form: Form,
    /// Value where the option is absent.
    pub default: Option<&'static str>,
    /// What the option is for.
    pub about: &'static str,
}

/// One command.
#[derive(Debug)]
pub struct CommandSpec {
    /// Words that select the command.
    pub words: &'static str,
    /// Positional arguments as shown in the usage; empty for none.
    pub positional: &'static str,
    /// What the command does.
    pub about: &'static str,
    /// Its options.
    pub opts: &'static [&'static Opt],
}

const ANY_TIME: Form = Form::Time(Duration::ZERO, Duration::from_hours(1));
const ANY_COUNT: Form = Form::Count(1, 1_000_000_000);
/// Hosts assign revisions, so no number is ruled out.
const REVISION_RANGE: Form = Form::Count(0, usize::MAX);
/// Most hosts of `try`, which runs them all in one process.
const MAX_TRIAL_HOSTS: usize = 16;
/// Slowest and fastest engine, relative to a nominal one.
const SPEED_RANGE: Form = Form::Number(0.01, 100.0);

const fn opt(
    name: &'static str,
    value: &'static str,
    form: Form,
    default: Option<&'static str>,
    about: &'static str,
) -> Opt {
    Opt {
        name,
        value,
        form,
        default,
        about,
    }
}

const fn switch(name: &'static str, about: &'static str) -> Opt {
    opt(name, "", Form::Text, None, about)
}

/// `--config`
pub const CONFIG: Opt = opt(
    "--config",
    "FILE",
    Form::Text,
    None,
    "settings of the host; also -c",
);
/// `--listen`
pub const LISTEN: Opt = opt(
    "--listen",
    "IP:PORT",
    Form::Address,
    Some("127.0.0.1:0"),
    "listener; port 0 lets the kernel choose, and the address is printed",
);
/// `--name`
pub const NAME: Opt = opt(
    "--name",
    "NAME",
    Form::Name,
    Some("standin"),
    "name in the list and logs",
);
/// `--model`
pub const MODEL: Opt = opt("--model", "NAME", Form::Name, Some("small"), "model served");
/// `--domain`
pub const DOMAIN: Opt = opt(
    "--domain",
    "NAME",
    Form::Name,
    Some("local"),
    "failure domain",
);
/// `--register`
pub const REGISTER: Opt = opt(
    "--register",
    "IP:PORT",
    Form::Address,
    None,
    "list of backend servers to register with; without it the stand-in stays unlisted",
);
/// `--fencing`
pub const FENCING: Opt = opt(
    "--fencing",
    "checks|ignores",
    Form::Choice(&["checks", "ignores"]),
    Some("checks"),
    "whether orders with an old fencing number are refused",
);
/// `--speed`
pub const SPEED: Opt = opt(
    "--speed",
    "N",
    SPEED_RANGE,
    Some("1"),
    "speed relative to a nominal engine",
);
/// `--prefill-cost`
pub const PREFILL_COST: Opt = opt(
    "--prefill-cost",
    "TIME",
    ANY_TIME,
    Some("125us"),
    "time to prefill one prompt token",
);
/// `--decode-cost`
pub const DECODE_COST: Opt = opt(
    "--decode-cost",
    "TIME",
    ANY_TIME,
    Some("20ms"),
    "time of one decode step of a full batch",
);
/// `--slots`
pub const SLOTS: Opt = opt(
    "--slots",
    "N",
    ANY_COUNT,
    Some("16"),
    "streams decoded concurrently",
);
/// `--piece`
pub const PIECE: Opt = opt(
    "--piece",
    "N",
    ANY_COUNT,
    Some("2000"),
    "tokens in one block of the prefix cache",
);
/// `--lag`
pub const LAG: Opt = opt(
    "--lag",
    "TIME",
    ANY_TIME,
    Some("0s"),
    "age of the reported state",
);
/// `--instant`
pub const INSTANT: Opt = switch("--instant", "answer without the modelled costs");
/// `--once`
pub const ONCE: Opt = switch(
    "--once",
    "send one request and one call, check both and their explanations, and exit",
);
/// `--hosts`
pub const HOSTS: Opt = opt(
    "--hosts",
    "N",
    Form::Count(1, MAX_TRIAL_HOSTS),
    Some("3"),
    "hosts to run",
);
/// `--operators`
pub const OPERATORS: Opt = opt(
    "--operators",
    "IP:PORT",
    Form::Address,
    None,
    "operators' listener of any host",
);
/// `--key-file`
pub const KEY_FILE: Opt = opt(
    "--key-file",
    "FILE",
    Form::Text,
    None,
    "file with the operators' key; without it CHIVEWAY_OPERATOR_KEY is read",
);
/// `--file`
pub const FILE: Opt = opt("--file", "FILE", Form::Text, None, "file of the list");
/// `--revision`
pub const REVISION: Opt = opt(
    "--revision",
    "N",
    REVISION_RANGE,
    None,
    "revision the edit is based on; without it the one in the comment that edit wrote",
);
/// `--wait`
pub const WAIT: Opt = switch(
    "--wait",
    "wait until the revision is in force on every host, and print the hosts",
);
/// `--json`
pub const JSON: Opt = switch("--json", "print JSON");
/// `--target`
pub const TARGET: Opt = opt(
    "--target",
    "[NAME=]IP:PORT,...",
    Form::Text,
    None,
    "callers' listeners of hosts, engines or hops; each gets the same share of requests",
);
/// `--target` of a hop
pub const HOP_TARGET: Opt = opt(
    "--target",
    "IP:PORT",
    Form::Address,
    None,
    "address that requests are forwarded to",
);
/// `--pool`
pub const POOL: Opt = opt(
    "--pool",
    "NAME",
    Form::Name,
    None,
    "pool or service to register under; without it the model or the name",
);
/// `--key`
pub const KEY: Opt = opt("--key", "KEY", Form::Text, None, "key of a test customer");
/// `--requests`
pub const REQUESTS: Opt = opt(
    "--requests",
    "N",
    ANY_COUNT,
    Some("100"),
    "requests to send",
);
/// `--concurrency`
pub const CONCURRENCY: Opt = opt(
    "--concurrency",
    "N",
    Form::Count(1, 10_000),
    Some("8"),
    "concurrent requests",
);
/// `--prompt-tokens`
pub const PROMPT_TOKENS: Opt = opt(
    "--prompt-tokens",
    "N",
    ANY_COUNT,
    Some("200"),
    "tokens of each prompt",
);
/// `--output-tokens`
pub const OUTPUT_TOKENS: Opt = opt(
    "--output-tokens",
    "N",
    ANY_COUNT,
    Some("50"),
    "tokens of each answer",
);
/// `--stream`
pub const STREAM: Opt = switch("--stream", "request streamed answers");

/// `--first`
pub const FIRST: Opt = opt(
    "--first",
    "TIME",
    ANY_TIME,
    Some("780ms"),
    "longest time to first token of an answer that counts as good",
);
/// `--between`
pub const BETWEEN: Opt = opt(
    "--between",
    "TIME",
    ANY_TIME,
    Some("49ms"),
    "longest time between tokens, at the 95th percentile, of an answer that counts as good",
);

const ACCESS_OPTIONS: &[&Opt] = &[&OPERATORS, &KEY_FILE];
const QUERY_OPTIONS: &[&Opt] = &[&JSON, &OPERATORS, &KEY_FILE];
const FILE_OPTIONS: &[&Opt] = &[&FILE, &OPERATORS, &KEY_FILE];
const APPLY_OPTIONS: &[&Opt] = &[&FILE, &REVISION, &WAIT, &OPERATORS, &KEY_FILE];
const ENGINE_OPTIONS: &[&Opt] = &[
    &LISTEN,
    &REGISTER,
    &NAME,
    &POOL,
    &MODEL,
    &DOMAIN,
    &FENCING,
    &SPEED,
    &PREFILL_COST,
    &DECODE_COST,
    &SLOTS,
    &PIECE,
    &LAG,
    &INSTANT,
];
const LOAD_OPTIONS: &[&Opt] = &[
    &TARGET,
    &KEY,
    &MODEL,
    &REQUESTS,
    &CONCURRENCY,
    &PROMPT_TOKENS,
    &OUTPUT_TOKENS,
    &STREAM,
    &FIRST,
    &BETWEEN,
];

const fn command(
    words: &'static str,
    positional: &'static str,
    opts: &'static [&'static Opt],
    about: &'static str,
) -> CommandSpec {
    CommandSpec {
        words,
        positional,
        about,
        opts,
    }
}

/// All commands, in the order of the help.
pub const COMMANDS: &[CommandSpec] = &[
    command("host", "", &[&CONFIG], "Runs one host"),
    command(
        "check",
        "FILE...",
        &[],
        "Checks settings files and prints every fault",
    ),
    command(
        "plans get",
        "",
        ACCESS_OPTIONS,
        "Prints the customers' plans in force",
    ),
    command(
        "plans edit",
        "",
        FILE_OPTIONS,
        "Fetches the customers' plans into a file for editing",
    ),
    command(
        "plans check",
        "",
        FILE_OPTIONS,
        "Checks a file of customers' plans; with --operators also against the other list",
    ),
    command(
        "plans diff",
        "",
        FILE_OPTIONS,
        "Shows how a file differs from the customers' plans in force",
    ),
    command(
        "plans apply",
        "",
        APPLY_OPTIONS,
        "Puts a file of customers' plans in force",
    ),
    command(
        "use get",
        "",
        ACCESS_OPTIONS,
        "Prints what each plan may use",
    ),
    command(
        "use edit",
        "",
        FILE_OPTIONS,
        "Fetches what each plan may use into a file for editing",
    ),
    command(
        "use check",
        "",
        FILE_OPTIONS,
        "Checks a file of what plans may use; with --operators also against the other list",
    ),
    command(
        "use diff",
        "",
        FILE_OPTIONS,
        "Shows how a file differs from the list of what plans may use in force",
    ),
    command(
        "use apply",
        "",
        APPLY_OPTIONS,
        "Puts a file of what plans may use in force",
    ),
    command(
        "explain",
        "ID",
        QUERY_OPTIONS,
        "Explains how a request was handled, and why",
    ),
    command(
        "status",
        "",
        QUERY_OPTIONS,
        "Shows hosts, engines, the revision in force and the store's health",
    ),
    command(
        "refused get",
        "",
        &[&JSON, &CONFIG],
        "Lists the requests and parts of prompts that hosts refuse since servers crashed",
    ),
    command(
        "refused lift",
        "KEY",
        &[&CONFIG],
        "Lifts the refusal with a key that \"refused get\" lists, at all hosts",
    ),
    command(
        "hash",
        "",
        &[],
        "Reads a key from standard input and prints its BLAKE3 hash",
    ),
    command(
        "try",
        "",
        &[&ONCE, &HOSTS],
        "Runs hosts and stand-ins in one process on loopback",
    ),
    command(
        "standin kv",
        "",
        &[&LISTEN, &LAG],
        "Runs a stand-in of the key-value service, for trials",
    ),
    command(
        "standin engine",
        "",
        ENGINE_OPTIONS,
        "Runs a stand-in of an engine, for trials",
    ),
    command(
        "standin service",
        "",
        &[&LISTEN, &REGISTER, &NAME, &POOL, &DOMAIN],
        "Runs a stand-in of a plain service, for trials",
    ),
    command(
        "standin hop",
        "",
        &[&LISTEN, &HOP_TARGET],
        "Forwards requests unchanged, as a baseline, for trials",
    ),
    command(
        "load",
        "",
        LOAD_OPTIONS,
        "Sends requests to a host and prints times, for trials",
    ),
];
