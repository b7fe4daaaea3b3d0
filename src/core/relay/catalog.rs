//! The operator's configuration in force: routes, services and bounds of input.

use std::collections::BTreeMap;
use std::time::Duration;

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Catalog {
    /// Version; versions only grow.
    pub version: u64,
    /// Routes, in the order given.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// What callers may send.
    pub limits: InputLimits,
}

/// What may be done with a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// It may run again.
    Idempotent,
    /// It runs at most once.
    #[default]
    Once,
}

/// Requests of one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host name that callers ask for, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether the request may run again; a stream that may be resumed counts as idempotent.
    pub retry: RetryPolicy,
    /// Whether a broken stream may go on at another backend server.
    pub resumable: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, is wanted.
    pub target: Duration,
    /// Longest wanted pause between two events.
    pub gap_target: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub rank: u8,
    /// Services and the weights by which requests are split between them.
    pub split: Vec<(Box<str>, u32)>,
    /// Most backend servers that may run one request.
    pub max_attempts: u32,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Connections that one backend server accepts from all callers together; 0 where unknown.
    pub max_connections: u32,
    /// What its engines can do, where it is a service of model engines.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Tokens that one engine's KV cache holds.
    pub kv_capacity: u64,
    /// Bytes of KV cache a token.
    pub token_bytes: u64,
    /// Speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Time a change of stage takes.
    pub switch_time: Duration,
}

/// Bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InputLimits {
    /// Most bytes of a body.
    pub max_body: usize,
}

impl Default for InputLimits {
    fn default() -> Self {
        Self {
            max_body: 8 * 1024 * 1024,
        }
    }
}

impl Catalog {
    /// Returns the route for a host name and path: the longest prefix wins.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the service that a draw from 0 (included) to 1 (excluded) falls on.
    #[must_use]
    pub fn pick_service(route: &Route, draw: f64) -> Option<&str> {
        let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &route.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        route.split.last().map(|(service, _)| &**service)
    }
}
