//! Headers of requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::relay::customers::Credential;
use crate::core::relay::event::{
    NamedLimit, NamedPushback, Notices, Outgoing, PrefixBlock, Prompt, Stage, Task,
};
use crate::lists::KeyHash;

/// Id of a caller's attempt; backend servers echo it.
pub const ATTEMPT_ID: &str = "x-chiveway-attempt-id";
/// Time limit of the caller in milliseconds; towards a backend server, the remaining time.
const DEADLINE_MS: &str = "x-chiveway-deadline-ms";
/// Number of prompt tokens and maximum number of tokens to generate.
const TOKEN_USAGE: &str = "x-chiveway-token-usage";
/// Prefix blocks of the prompt.
const PROMPT_PREFIX: &str = "x-chiveway-prompt-prefix";
/// The caller's estimate of the number of tokens to generate.
const LENGTH_HINT: &str = "x-chiveway-length-hint";
/// Id of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Id of the attempt that brought the first event of the stream that the caller takes up.
const RESUMES: &str = "resumes";
/// The only instance that may run the request.
const EXPECT_INSTANCE: &str = "x-chiveway-expect-instance";
/// Serving stage that the engine runs.
const SERVING_STAGE: &str = "x-chiveway-serving-stage";
/// Engine and handle of the KV cache from which to decode.
const KV_SOURCE: &str = "x-chiveway-kv-source";
/// Scheduling priority at the engine.
const REQUEST_PRIORITY: &str = "x-chiveway-request-priority";
/// Engine from which cached blocks of the prompt are copied before prefilling.
const KV_FETCH: &str = "kv-fetch";
/// Set by a backend server that did not run the request.
const NOT_EXECUTED: &str = "x-chiveway-not-executed";
/// Signature of the backend server that sent the response.
const SERVER_STAMP: &str = "x-chiveway-server-stamp";
/// Id of the backend server that sent the response.
const INSTANCE_ID: &str = "x-chiveway-instance-id";
/// Requests per second that the backend server accepts from all hosts together.
const SERVER_LIMIT: &str = "server-limit";
/// Set to `1` by a backend server that is leaving.
const SERVER_LEAVING: &str = "server-leaving";
/// Seconds for which a backend server that refused a request wants no other from this host.
const RETRY_AFTER: &str = "retry-after";
/// Keep-alive timeout of the connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Name of the customer whose request it is.
const TENANT: &str = "x-chiveway-tenant";
/// The caller's key.
const AUTHORIZATION: &str = "authorization";
/// Scheme of that header.
pub const AUTH_SCHEME: &str = "Token";
/// Largest size of a key.
const MAX_KEY_BYTES: usize = 256;

/// Headers that callers must not set; they are not forwarded.
///
/// With forged headers, a request would run at the wrong stage, decode from another caller's KV
/// cache, or take a reserved place.
const INTERNAL_HEADERS: [&str; 16] = [
    TENANT,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    SERVING_STAGE,
    KV_SOURCE,
    REQUEST_PRIORITY,
    NOT_EXECUTED,
    SERVER_STAMP,
    INSTANCE_ID,
    "x-chiveway-weight-versions",
    "x-chiveway-expect-version",
    "x-chiveway-pin-ms",
    "x-chiveway-kv-hold",
    "x-chiveway-kv-backup",
    KV_FETCH,
    "wait-ms",
];

/// Hop-by-hop headers, and those that the HTTP library writes itself.
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

/// Name and value of a header as received.
pub type Header = (Box<str>, Box<[u8]>);

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt.
    pub attempt_id: Option<Box<str>>,
    /// Time limit of the caller.
    pub deadline: Option<Duration>,
    /// Sizes of the prompt and the output.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received.
    pub resume: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the caller takes up.
    pub resumes: Option<Box<str>>,
    /// The caller's key.
    pub credential: Credential,
    /// Headers with credentials, for a backend server that checks them itself.
    pub credentials: Vec<Header>,
    /// Other headers to forward to a backend server.
    pub forwarded: Vec<Header>,
}

/// Decodes a caller's headers, given with lower-case names.
#[must_use]
pub fn decode_request(headers: &[(&str, &[u8])]) -> RequestHead {
    let connection_names = connection_headers(headers);
    let mut head = RequestHead::default();
    let (mut usage, mut blocks, mut output_hint) = (None, Vec::new(), None);
    for &(name, value) in headers {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        match name {
            ATTEMPT_ID => head.attempt_id = (!text.is_empty()).then(|| text.into()),
            DEADLINE_MS => head.deadline = millis(text),
            TOKEN_USAGE => usage = token_usage(text),
            PROMPT_PREFIX => blocks = prefix_blocks(text),
            LENGTH_HINT => output_hint = text.parse().ok(),
            LAST_EVENT_ID => head.resume = text.parse().ok(),
            RESUMES => head.resumes = (!text.is_empty()).then(|| text.into()),
            _ => {}
        }
        // The event id to resume from is set again on each attempt at a backend server.
        let dropped = is_internal(name)
            || HOP_BY_HOP_HEADERS.contains(&name)
            || name == LAST_EVENT_ID
            || connection_names.iter().any(|other| other == name);
        if name == AUTHORIZATION {
            head.credential = match head.credential {
                Credential::Absent => credential(text),
                _ => Credential::Malformed,
            };
            head.credentials.push((name.into(), value.into()));
        } else if !dropped {
            head.forwarded.push((name.into(), value.into()));
        }
    }
    head.prompt = usage.map(|(tokens, max_output)| Prompt {
        tokens,
        max_output,
        output_hint,
        blocks,
    });
    head
}

/// Returns the header names listed in the `Connection` header, in lower case.
fn connection_headers(headers: &[(&str, &[u8])]) -> Vec<String> {
    headers
        .iter()
        .filter(|(name, _)| *name == "connection")
        .filter_map(|(_, value)| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether callers must not set a header, also spelled with underscores, which some servers read as hyphens.
fn is_internal(name: &str) -> bool {
    INTERNAL_HEADERS.contains(&name)
        || name.contains('_') && INTERNAL_HEADERS.contains(&&*name.replace('_', "-"))
}

/// Decodes the value of an `Authorization` header.
fn credential(text: &str) -> Credential {
    let key = text.split_once(' ').and_then(|(scheme, key)| {
        let key = key.trim_start();
        let valid = !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        (scheme.eq_ignore_ascii_case(AUTH_SCHEME) && valid).then_some(key)
    });
    key.map_or(Credential::Malformed, |key| {
        Credential::Key(KeyHash::of(key))
    })
}

fn millis(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

fn token_usage(text: &str) -> Option<(u64, u64)> {
    let (prompt, max_output) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max_output.trim().parse().ok()?))
}

fn prefix_blocks(text: &str) -> Vec<PrefixBlock> {
    let block = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some(PrefixBlock {
            id: block_id(id),
            tokens: tokens.trim().parse().ok()?,
        })
    };
    text.split(',').filter_map(block).collect()
}

/// Returns the number of a block's hexadecimal id, or a hash of an id that does not fit 64 bits.
fn block_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_unparsable| {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
        u64::from_le_bytes(first)
    })
}

/// Returns the headers to add to a request to a backend server.
#[must_use]
pub fn encode_request(out: &Outgoing) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        (DEADLINE_MS, out.remaining.as_millis().to_string()),
        (EXPECT_INSTANCE, out.instance.to_string()),
    ];
    if let Some(urgency) = out.urgency {
        headers.push((REQUEST_PRIORITY, urgency.to_string()));
    }
    if let Some(event_id) = out.resume {
        headers.push((LAST_EVENT_ID, event_id.to_string()));
    }
    if let Some(from) = out.fetch_from {
        headers.push((KV_FETCH, from.to_string()));
    }
    if let Some(customer) = out.identity.customer() {
        headers.push((TENANT, customer.name.to_string()));
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

/// Returns the header that restricts a call to one instance.
#[must_use]
pub fn expect_instance(instance: &str) -> (&'static str, String) {
    (EXPECT_INSTANCE, instance.to_owned())
}

/// Decoded headers of a backend server's response.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Id of the attempt to which the response belongs.
    pub attempt_id: Option<Box<str>>,
    /// Whether the response carries the backend server's signature.
    pub has_stamp: bool,
    /// Whether the backend server states that it did not run the request.
    pub not_run: bool,
    /// Time after which the backend server closes the idle connection.
    pub keep_alive: Option<Duration>,
    /// What the backend server states about itself.
    pub notices: Notices,
    /// Headers to forward to the caller.
    pub forwarded: Vec<Header>,
}

/// Decodes the headers of a backend server's response, given with lower-case names.
#[must_use]
pub fn decode_answer(status: u16, headers: &[(&str, &[u8])]) -> AnswerHead {
    let connection_names = connection_headers(headers);
    let mut head = AnswerHead {
        // 421: another instance serves at this address and never runs the request.
        not_run: status == 421,
        notices: decode_notices(status, headers),
        ..AnswerHead::default()
    };
    for &(name, value) in headers {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        match name {
            ATTEMPT_ID => head.attempt_id = (!text.is_empty()).then(|| text.into()),
            SERVER_STAMP => head.has_stamp = true,
            NOT_EXECUTED => head.not_run = true,
            KEEP_ALIVE => head.keep_alive = keep_alive_timeout(text),
            _ => {}
        }
        if !HOP_BY_HOP_HEADERS.contains(&name)
            && !connection_names.iter().any(|other| other == name)
        {
            head.forwarded.push((name.into(), value.into()));
        }
    }
    head
}

/// Headers that one response has once.
const SINGLE_HEADERS: [&str; 5] = [
    ATTEMPT_ID,
    SERVER_STAMP,
    INSTANCE_ID,
    NOT_EXECUTED,
    "content-length",
];
/// Number of digits of a status.
const STATUS_DIGITS: usize = 3;
/// Start of a status line, before its status.
const STATUS_LINES: [&[u8]; 2] = [b"HTTP/1.0 ", b"HTTP/1.1 "];

/// Returns whether a response head is made of two, of which the first was cut off; headers are given with lower-case names.
///
/// The status is then that of the first response, and the rest of the head in part that of the second.
#[must_use]
pub fn is_merged(reason: &[u8], headers: &[(&str, &[u8])]) -> bool {
    let count = |name: &&str| headers.iter().filter(|(other, _)| other == name).count();
    contains_status_line(reason)
        || headers.iter().any(|(_, value)| contains_status_line(value))
        || SINGLE_HEADERS.iter().any(|name| count(name) > 1)
}

/// Returns whether a text contains the start of a status line.
fn contains_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(STATUS_LINES[0].len() + STATUS_DIGITS);
    starts.any(|start| {
        let (version, status) = start.split_at(STATUS_LINES[0].len());
        STATUS_LINES.contains(&version) && status.iter().all(u8::is_ascii_digit)
    })
}

/// Decodes what a backend server states about itself in the headers of any response, given with lower-case names.
#[must_use]
pub fn decode_notices(status: u16, headers: &[(&str, &[u8])]) -> Notices {
    let mut notices = Notices::default();
    for &(name, value) in headers {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        match name {
            SERVER_LIMIT => notices.limit = rate_limit(text),
            SERVER_LEAVING => notices.leaving |= text == "1",
            RETRY_AFTER if status == 503 => {
                notices.pushback = longer(notices.pushback, pushback(text));
            }
            _ => {}
        }
    }
    notices
}

/// Parses a pushback in seconds; one too long for a duration is the longest duration.
fn pushback(text: &str) -> NamedPushback {
    match text.parse::<f64>() {
        Ok(secs) if secs.is_finite() && secs >= 0.0 => {
            NamedPushback::For(Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX))
        }
        _ => NamedPushback::Unreadable,
    }
}

/// Returns the longer of the pushbacks that two headers of a response name.
fn longer(one: NamedPushback, other: NamedPushback) -> NamedPushback {
    match (one, other) {
        (NamedPushback::For(one), NamedPushback::For(other)) => NamedPushback::For(one.max(other)),
        (NamedPushback::For(_), _) => one,
        _ => other,
    }
}

/// Parses a limit in requests per second.
fn rate_limit(text: &str) -> NamedLimit {
    match text.parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate >= 0.0 => NamedLimit::Rate(rate),
        _ => NamedLimit::Unreadable,
    }
}

/// Parses the timeout of a `Keep-Alive` header, in seconds.
fn keep_alive_timeout(text: &str) -> Option<Duration> {
    let mut fields = text.split(',').map(str::trim);
    let value = fields.find_map(|field| field.strip_prefix("timeout="))?;
    value.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether the header carries the attempt id.
#[must_use]
pub fn is_attempt(name: &str) -> bool {
    name == ATTEMPT_ID
}

/// Returns whether an intermediary encoded the body; it is then not the backend server's own.
#[must_use]
pub fn is_encoded(headers: &[Header]) -> bool {
    headers
        .iter()
        .any(|(name, value)| &**name == "content-encoding" && &**value != b"identity")
}
