//! Settings of one host, read from INI and checked as a whole.

pub mod keys;
mod parse;
pub mod relay;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything a host is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Who this host is and where it listens.
    pub host: HostSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Bounds of input and time.
    pub limits: Limits,
    /// Model pools by name.
    pub pools: BTreeMap<Box<str>, PoolSettings>,
    /// Plain services by name.
    pub services: BTreeMap<Box<str>, ServiceSettings>,
    /// Where and how logs are written.
    pub log: LogSettings,
    /// What a host that relays requests along an operator's routes is told besides.
    pub relay: Option<relay::RelaySettings>,
}

/// Section `[host]`.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name, one of its kind in the deployment.
    pub name: Box<str>,
    /// Region the host stands in.
    pub region: Box<str>,
    /// Failure domain the host stands in.
    pub domain: Box<str>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Address that peers are told; `None` for the listener's own.
    pub advertise: Option<SocketAddr>,
    /// Secret shared by all hosts; at least 16 bytes.
    pub secret: Secret,
    /// BLAKE3 hash of the operators' key.
    pub operator_key_hash: [u8; 32],
}

/// Text that must not appear in logs or messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(secret.into())
    }

    /// Returns the secret itself; keep it out of messages.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Section `[platform]`.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Endpoints of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Endpoint of the list of live and leaving hosts and backend servers.
    pub list: SocketAddr,
    /// Prefix of every key this deployment writes.
    pub prefix: Box<str>,
    /// Time between two reads of the list.
    pub refresh_interval: Duration,
    /// Life of a lease in the key-value service.
    pub lease_ttl: Duration,
}

/// Section `[limits]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Most bytes of a caller's body.
    pub max_body_bytes: usize,
    /// Time a caller has to send its body.
    pub body_timeout: Duration,
    /// Time until the first token before a stream counts as silent.
    pub first_token_timeout: Duration,
    /// Time between tokens before a stream counts as silent.
    pub token_gap_timeout: Duration,
    /// Time a planned stop may take.
    pub stop_timeout: Duration,
    /// Time without store and peers after which a host takes no new work.
    pub cut_off: Duration,
    /// Time a withdrawn engine may finish its streams.
    pub drain_timeout: Duration,
    /// Most requests a host holds open at once.
    pub max_requests: usize,
}

/// Whether engines of a pool check the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Engines refuse an order that carries an old number.
    Checks,
    /// Engines take any order.
    Ignores,
}

/// Section `[pool NAME]`: the engines of one model in one region.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Model name that callers use.
    pub model: Box<str>,
    /// What the engines do with fencing numbers.
    pub fencing: Fencing,
    /// Wanted time to the first token, for 95 in 100.
    pub first_token: Duration,
    /// Wanted time between tokens, for 95 in 100.
    pub token_gap: Duration,
    /// Whether engines are split between prefill and decode.
    pub split: bool,
    /// Weight of goodput in role decisions.
    pub goodput_weight: f64,
    /// Weight of one role change in role decisions, in engine seconds.
    pub change_cost: f64,
    /// Prompt tokens an engine of nominal speed prefills a second.
    pub prefill_rate: f64,
    /// Tokens an engine of nominal speed generates a second over all its streams.
    pub decode_rate: f64,
    /// Streams an engine decodes at once.
    pub max_streams: usize,
    /// Tokens in one piece of an engine's prefix cache.
    pub block_tokens: usize,
}

/// Section `[service NAME]`: a plain service beside the engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Time a call may take.
    pub timeout: Duration,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One aligned line an event, for people.
    Text,
    /// One JSON object an event.
    Json,
}

/// Section `[log]`.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// Least level written.
    pub level: log::LevelFilter,
    /// Form of the lines.
    pub format: LogFormat,
}
