//! The operator's configuration: routes, services and input limits.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::customers::Customers;

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Catalog {
    /// Version; later configurations have higher versions.
    pub version: u64,
    /// Routes, in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Limits on what callers may send.
    pub limits: InputLimits,
    /// Customers and their keys; `None` if callers need no key.
    pub customers: Option<Rc<Customers>>,
}

/// Whether callers of a route need a key, where the configuration names customers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Access {
    /// Only requests with a customer's key run.
    #[default]
    Keyed,
    /// All requests run.
    Public,
}

/// Whether a request whose outcome is unknown may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// It may run again.
    Idempotent,
    /// It runs at most once.
    #[default]
    Once,
}

/// Route for requests of one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host name of the requests, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether the request may be retried; a resumable stream counts as idempotent.
    pub retry: RetryPolicy,
    /// Whether a broken stream may be resumed at another backend server.
    pub resumable: bool,
    /// Time-out for the final answer.
    pub timeout: Duration,
    /// Latency target of the answer, or of its first event.
    pub target: Duration,
    /// Target for the longest pause between two events.
    pub gap_target: Duration,
    /// Priority rank among routes; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need a key.
    pub access: Access,
    /// Services, with the weights by which requests are split between them.
    pub split: Vec<(Box<str>, u32)>,
    /// Largest number of backend servers that may run one request.
    pub max_attempts: u32,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Connections that one backend server accepts from all callers together; 0 if unknown.
    pub max_connections: u32,
    /// Path of the health check of its servers; empty if unknown.
    pub health: Box<str>,
    /// Properties of its engines, if it is a service of model engines.
    pub engine: Option<Engine>,
    /// How many workers may be ordered; `None` if their number is fixed.
    pub scaling: Option<Scaling>,
}

/// How many workers of a service may be ordered, and what they cost.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Scaling {
    /// Minimum number in each failure domain.
    pub min: u32,
    /// Maximum number in each failure domain, of all kinds together.
    pub max: u32,
    /// Time until a new worker serves.
    pub boot: Duration,
    /// Price of a spot worker relative to a regular one; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a worker per second, by failure domain.
    pub prices: BTreeMap<Box<str>, f64>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Tokens that one engine's KV cache holds.
    pub kv_capacity: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Speed of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Duration of a change of stage.
    pub switch_time: Duration,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InputLimits {
    /// Largest number of bytes in a body.
    pub max_body: usize,
}

impl Default for InputLimits {
    fn default() -> Self {
        Self {
            max_body: 8 * 1024 * 1024,
        }
    }
}

/// Returns the host name of a `Host` header, which may have a port.
#[must_use]
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    })
}

impl Catalog {
    /// Returns the route with the longest prefix that matches a host name, with or without a port, and a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the service selected by weight for a random draw from 0 (included) to 1 (excluded).
    #[must_use]
    pub fn pick_service(route: &Route, draw: f64) -> Option<&str> {
        let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &route.split {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        route.split.last().map(|(service, _)| &**service)
    }
}
