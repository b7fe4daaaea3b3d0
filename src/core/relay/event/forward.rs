//! Requests that a host forwards to another one, as data.

use std::net::SocketAddr;
use std::time::Duration;

use super::DepartureReport;
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::versions::Version;
use crate::error::{Kind, Ran};

/// What a request has used up of its attempts and of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Spent {
    /// Backend servers that may have run it.
    pub runs: u32,
    /// Requests that reached backend servers, apart from the first accepted prefill.
    pub arrivals: u32,
    /// Prefills that were requested.
    pub prefills: u32,
}

/// Backend servers that left, as the host knows that forwards a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Departures {
    /// Era of the store that the revisions refer to; 0 if the host has no era yet.
    pub era: u64,
    /// The servers, those that left last first.
    pub reports: Vec<DepartureReport>,
}

/// A request on its way to another host.
#[derive(Debug, Clone)]
pub struct Forwarded {
    /// The request.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Name of this host.
    pub from: Box<str>,
    /// Name of the other host.
    pub to: Box<str>,
    /// Address of the other host.
    pub addr: SocketAddr,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Number of the last event that the caller received.
    pub resume: Option<u64>,
    /// Version at which its stream began, once that is known.
    pub version: Option<Version>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// What it has used up at this host.
    pub spent: Spent,
    /// Servers that left.
    pub departures: Departures,
}

/// Refusal of a forwarded request by the other host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRefusal {
    /// Kind of refusal.
    pub kind: Kind,
    /// Whether a backend server ran the request.
    pub ran: Ran,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

/// A probe of the link to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkProbe {
    /// The server's id.
    pub instance: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Path of its health check; `None` for an engine, which reports its state.
    pub health: Option<Box<str>>,
}
