//! Headers of requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::relay::event::{NamedLimit, Outgoing, PrefixBlock, Prompt, Stage, Task};

/// Id of one attempt of a caller; echoed by backend servers.
const ATTEMPT_ID: &str = "x-chiveway-attempt-id";
/// Milliseconds that the caller will wait; on the way to a backend server, those that are left.
const DEADLINE_MS: &str = "x-chiveway-deadline-ms";
/// Prompt tokens and most tokens to generate.
const TOKEN_USAGE: &str = "x-chiveway-token-usage";
/// Parts of the prompt.
const PROMPT_PREFIX: &str = "x-chiveway-prompt-prefix";
/// The caller's estimate of the tokens to generate.
const LENGTH_HINT: &str = "x-chiveway-length-hint";
/// Number of the last event that the caller has.
const LAST_EVENT_ID: &str = "last-event-id";
/// Instance that alone may take the request.
const EXPECT_INSTANCE: &str = "x-chiveway-expect-instance";
/// Part of the work that the engine is to do.
const SERVING_STAGE: &str = "x-chiveway-serving-stage";
/// Engine and name of the KV cache to go on from.
const KV_SOURCE: &str = "x-chiveway-kv-source";
/// Urgency at the engine.
const REQUEST_PRIORITY: &str = "x-chiveway-request-priority";
/// Engine from which what it holds of the prompt is copied first.
const KV_FETCH: &str = "kv-fetch";
/// The backend server did not run the request.
const NOT_EXECUTED: &str = "x-chiveway-not-executed";
/// Signature of the backend server that answered.
const SERVER_STAMP: &str = "x-chiveway-server-stamp";
/// Requests a second that the backend server takes from all hosts together.
const SERVER_LIMIT: &str = "server-limit";
/// Time after which an idle connection is closed.
const KEEP_ALIVE: &str = "keep-alive";

/// Headers that only this side may set, whatever a caller sent.
///
/// Callers forge them: a request would run at the wrong stage, go on from another caller's KV
/// cache, or take a reserved place.
const INTERNAL_HEADERS: [&str; 15] = [
    DEADLINE_MS,
    EXPECT_INSTANCE,
    SERVING_STAGE,
    KV_SOURCE,
    REQUEST_PRIORITY,
    NOT_EXECUTED,
    SERVER_STAMP,
    "x-chiveway-instance-id",
    "x-chiveway-weight-versions",
    "x-chiveway-expect-version",
    "x-chiveway-pin-ms",
    "x-chiveway-kv-hold",
    "x-chiveway-kv-backup",
    KV_FETCH,
    "wait-ms",
];

/// Headers that concern one connection, or that the library writes itself.
const HOP_BY_HOP_HEADERS: [&str; 12] = [
    "connection",
    KEEP_ALIVE,
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "trailers",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// A header as it came.
pub type Header = (Box<str>, Box<[u8]>);

/// A caller's request head, decoded.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt.
    pub attempt_id: Option<Box<str>>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Prompt and output.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has.
    pub resume: Option<u64>,
    /// Headers passed on.
    pub forwarded: Vec<Header>,
}

/// Decodes a caller's headers, given with lower-case names.
#[must_use]
pub fn decode_request(headers: &[(&str, &[u8])]) -> RequestHead {
    let named = connection_headers(headers);
    let mut asked = RequestHead::default();
    let (mut tokens, mut parts, mut hint) = (None, Vec::new(), None);
    for &(name, value) in headers {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        match name {
            ATTEMPT_ID => asked.attempt_id = Some(text.into()),
            DEADLINE_MS => asked.deadline = millis(text),
            TOKEN_USAGE => tokens = token_usage(text),
            PROMPT_PREFIX => parts = prefix_blocks(text),
            LENGTH_HINT => hint = text.parse().ok(),
            LAST_EVENT_ID => asked.resume = text.parse().ok(),
            _ => {}
        }
        // The resumption is set anew on each way to a backend server.
        let dropped = INTERNAL_HEADERS.contains(&name)
            || HOP_BY_HOP_HEADERS.contains(&name)
            || name == LAST_EVENT_ID;
        if !dropped && !named.iter().any(|other| other == name) {
            asked.forwarded.push((name.into(), value.into()));
        }
    }
    asked.prompt = tokens.map(|(tokens, output)| Prompt {
        tokens,
        max_output: output,
        output_hint: hint,
        blocks: parts,
    });
    asked
}

/// Returns the names that the `Connection` header lists, in lower case.
fn connection_headers(headers: &[(&str, &[u8])]) -> Vec<String> {
    headers
        .iter()
        .filter(|(name, _)| *name == "connection")
        .filter_map(|(_, value)| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn millis(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

fn token_usage(text: &str) -> Option<(u64, u64)> {
    let (first, second) = text.split_once(',')?;
    Some((first.trim().parse().ok()?, second.trim().parse().ok()?))
}

fn prefix_blocks(text: &str) -> Vec<PrefixBlock> {
    let part = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some(PrefixBlock {
            id: block_id(id),
            tokens: tokens.trim().parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}

/// Returns a number for a part's hexadecimal id; equal ids have equal numbers.
fn block_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_long| {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
        u64::from_le_bytes(first)
    })
}

/// Returns the headers that go with a request to a backend server.
#[must_use]
pub fn encode_request(out: &Outgoing) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        (DEADLINE_MS, out.remaining.as_millis().to_string()),
        (EXPECT_INSTANCE, out.instance.to_string()),
    ];
    if let Some(urgency) = out.urgency {
        headers.push((REQUEST_PRIORITY, urgency.to_string()));
    }
    if let Some(number) = out.resume {
        headers.push((LAST_EVENT_ID, number.to_string()));
    }
    if let Some(from) = out.fetch_from {
        headers.push((KV_FETCH, from.to_string()));
    }
    match &out.task {
        Task::Whole => {}
        Task::Prefill => headers.push((
            SERVING_STAGE,
            super::entry::stage_name(Stage::Prefill).to_owned(),
        )),
        Task::Decode { from, handle } => headers.push((KV_SOURCE, kv_source(*from, handle))),
    }
    headers
}

fn kv_source(from: SocketAddr, handle: &str) -> String {
    format!("{from}/{handle}")
}

/// Returns the headers of a call that only one instance may take.
#[must_use]
pub fn expect_instance(instance: &str) -> (&'static str, String) {
    (EXPECT_INSTANCE, instance.to_owned())
}

/// A backend server's answer head, decoded.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Id of the attempt that the answer is for.
    pub attempt_id: Option<Box<str>>,
    /// Whether the backend server signed it.
    pub has_stamp: bool,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Time for which an idle connection is kept open there.
    pub keep_alive: Option<Duration>,
    /// Limit that the backend server names.
    pub limit: NamedLimit,
    /// Headers passed on.
    pub forwarded: Vec<Header>,
}

/// Decodes the head of a backend server's answer.
#[must_use]
pub fn decode_answer(status: u16, headers: &[(&str, &[u8])]) -> AnswerHead {
    let named = connection_headers(headers);
    let mut reply = AnswerHead {
        // Another instance at the address never runs the request.
        not_run: status == 421,
        ..AnswerHead::default()
    };
    for &(name, value) in headers {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        match name {
            ATTEMPT_ID => reply.attempt_id = Some(text.into()),
            SERVER_STAMP => reply.has_stamp = true,
            NOT_EXECUTED => reply.not_run = true,
            KEEP_ALIVE => reply.keep_alive = timeout(text),
            SERVER_LIMIT => reply.limit = rate_limit(text),
            _ => {}
        }
        if !HOP_BY_HOP_HEADERS.contains(&name) && !named.iter().any(|other| other == name) {
            reply.forwarded.push((name.into(), value.into()));
        }
    }
    reply
}

/// Reads a limit in requests a second.
fn rate_limit(text: &str) -> NamedLimit {
    match text.parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate >= 0.0 => NamedLimit::Rate(rate),
        _ => NamedLimit::Unreadable,
    }
}

/// Reads the time-out from a `Keep-Alive` header.
fn timeout(text: &str) -> Option<Duration> {
    let mut fields = text.split(',').map(str::trim);
    let value = fields.find_map(|field| field.strip_prefix("timeout="))?;
    value.trim().parse().ok().map(Duration::from_secs)
}

/// Tells whether a header carries the id of the attempt.
#[must_use]
pub fn is_attempt(name: &str) -> bool {
    name == ATTEMPT_ID
}

/// Tells whether an answer's body was encoded on the way: it is then not the backend server's.
#[must_use]
pub fn is_encoded(headers: &[Header]) -> bool {
    headers
        .iter()
        .any(|(name, value)| &**name == "content-encoding" && &**value != b"identity")
}
