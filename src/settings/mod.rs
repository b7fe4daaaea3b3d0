//! Settings of one host, parsed from INI text.

pub mod duties;
pub mod keys;
mod parse;
pub mod relay;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// All settings of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Identity and listeners of this host.
    pub host: HostSettings,
    /// Endpoints of the platform.
    pub platform: PlatformSettings,
    /// Limits on request size, time and concurrency.
    pub limits: Limits,
    /// Model pools by name.
    pub pools: BTreeMap<Box<str>, PoolSettings>,
    /// Plain services by name.
    pub services: BTreeMap<Box<str>, ServiceSettings>,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Further settings of a relaying host; `None` on any other host.
    pub relay: Option<relay::RelaySettings>,
}

/// Section `[host]`.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name, unique in the deployment.
    pub name: Box<str>,
    /// Region of this host.
    pub region: Box<str>,
    /// Failure domain of this host.
    pub domain: Box<str>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Address registered for peers; `None` for the address of the listener.
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

    /// Returns the secret in plain text, which must not be logged.
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
    /// Endpoint of the listing of live and leaving hosts and backend servers.
    pub list: SocketAddr,
    /// Prefix of every key this deployment writes.
    pub prefix: Box<str>,
    /// Time between two reads of the listing.
    pub refresh_interval: Duration,
    /// Time to live of a lease in the key-value service.
    pub lease_ttl: Duration,
}

/// Section `[limits]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time within which a caller must send its request body.
    pub body_timeout: Duration,
    /// Time without a first token after which a stream counts as silent.
    pub first_token_timeout: Duration,
    /// Time without a further token after which a stream counts as silent.
    pub token_gap_timeout: Duration,
    /// Maximum time of a planned stop.
    pub stop_timeout: Duration,
    /// Time without contact to store and peers after which a host refuses new requests.
    pub cut_off: Duration,
    /// Time a withdrawn engine has to finish its streams.
    pub drain_timeout: Duration,
    /// Maximum number of concurrent requests of a host.
    pub max_requests: usize,
}

/// Whether engines of a pool check the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Engines reject an order that carries an old fencing number.
    Checks,
    /// Engines accept any order.
    Ignores,
}

/// Section `[pool NAME]`: the engines of one model in one region.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Model name that callers use.
    pub model: Box<str>,
    /// Whether the engines check fencing numbers.
    pub fencing: Fencing,
    /// Target time to first token, 95th percentile.
    pub first_token: Duration,
    /// Target time between tokens, 95th percentile.
    pub token_gap: Duration,
    /// Whether engines are split between prefill and decode.
    pub split: bool,
    /// Weight of goodput in role decisions.
    pub goodput_weight: f64,
    /// Weight of one role change in role decisions, in engine seconds.
    pub change_cost: f64,
    /// Prompt tokens per second of an engine of nominal speed.
    pub prefill_rate: f64,
    /// Generated tokens per second of an engine of nominal speed, over all its streams.
    pub decode_rate: f64,
    /// Maximum number of streams an engine decodes concurrently.
    pub max_streams: usize,
    /// Tokens per block of an engine's prefix cache.
    pub block_tokens: usize,
}

/// Section `[service NAME]`: an HTTP service other than the engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Maximum time of a call.
    pub timeout: Duration,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One aligned, human-readable line per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Section `[log]`.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// Lowest level written.
    pub level: log::LevelFilter,
    /// Format of the lines.
    pub format: LogFormat,
}
