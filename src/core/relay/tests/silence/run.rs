//! Requests of callers, and their attempts at servers.

use super::*;

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    Whole,
    Cut,
    Refusal(Kind, Ran),
}

/// A caller of the host.
#[derive(Debug, Default)]
pub struct Caller {
    pub arrived: u64,
    /// Numbers of the events that it got.
    pub events: Vec<u64>,
    /// Whether a server has run its request.
    pub has_run: bool,
    /// What it got in the end, and when.
    pub got: Option<(u64, Got)>,
}

/// An attempt at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub sent: Outgoing,
    /// When it was sent.
    pub at: u64,
    /// When the server does the next thing about it.
    pub due: u64,
    /// The server that holds its KV cache, until that is fetched.
    pub source: Option<Box<str>>,
    /// Number of the last event that the server has sent.
    pub last: u64,
}

impl Run {
    pub fn call(&self) -> CallKey {
        self.sent.call
    }

    pub fn server(&self) -> Box<str> {
        self.sent.instance.clone()
    }

    pub fn prefills(&self) -> bool {
        self.sent.task == Task::Prefill
    }
}
