//! Everything a host can do.

use std::net::SocketAddr;
use std::time::Duration;

use super::event::{Job, Stored, Timer};
use super::key::{AskKey, AttemptKey, HostKey, RequestKey};
use super::message::Message;
use super::relay::event::RelayEffect;
use super::time::Time;
use super::trace::Record;
use crate::error::{Kind, Ran};
use crate::store::{Span, Txn};

/// One effect.
#[derive(Debug, Clone)]
pub enum Effect {
    /// The request just arrived has this key and id.
    Opened {
        /// Number the adapter gave it.
        tag: u64,
        /// Its key.
        request: RequestKey,
        /// Its id, as callers and operators see it.
        id: Box<str>,
    },
    /// Send the request to an engine and stream its answer back as events.
    Open(Open),
    /// Send the request to a service.
    Call {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: AttemptKey,
        /// Where the service listens.
        addr: SocketAddr,
        /// Time the call may take.
        timeout: Duration,
    },
    /// Close the attempt's connection and forget it.
    Cancel(AttemptKey),
    /// Pass the piece just reported on to the caller, less its first `skip` tokens.
    Deliver {
        /// The request.
        request: RequestKey,
    },
    /// The caller has the whole answer.
    Finish(RequestKey),
    /// Answer with the service's answer.
    Reply {
        /// The request.
        request: RequestKey,
        /// The answer.
        result: Stored,
        /// The request that ran it, where that was an earlier one.
        first: Option<Box<str>>,
    },
    /// Answer that there will be no whole answer.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why.
        refusal: Refusal,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostKey,
        /// The message.
        message: Message,
    },
    /// A peer is at this address; connect on the first message.
    Peer {
        /// The peer.
        host: HostKey,
        /// Its name, which it must prove.
        name: Box<str>,
        /// Where it listens for peers.
        addr: SocketAddr,
    },
    /// A peer is gone; close its connection.
    Unpeer(HostKey),
    /// Close the connection to a peer; the next message opens a new one.
    Reconnect(HostKey),
    /// Read from the key-value service.
    Read {
        /// What for.
        job: Job,
        /// Which keys, without the deployment's prefix.
        span: Span,
    },
    /// Write to the key-value service.
    Txn {
        /// What for.
        job: Job,
        /// The transaction; keys without the deployment's prefix.
        txn: Txn,
    },
    /// Get a lease from the key-value service.
    Grant {
        /// What for.
        job: Job,
        /// Life of the lease.
        life: Duration,
    },
    /// Renew a lease.
    Renew {
        /// What for.
        job: Job,
        /// The lease.
        lease: i64,
    },
    /// Give a lease back.
    Revoke(i64),
    /// Read the platform's list.
    List,
    /// Read the load report of a back end.
    Load {
        /// Name of the back end.
        name: Box<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Give an order to an engine.
    Order(Order),
    /// Try to connect, to see whether a process listens there.
    Probe(SocketAddr),
    /// Ask for a timer event.
    Wake {
        /// When.
        at: Time,
        /// Which.
        timer: Timer,
    },
    /// Answer an operator's question.
    Answer {
        /// The question.
        ask: AskKey,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Count something.
    Meter(Meter),
    /// Write a log event.
    Log(LogEvent),
    /// Write a log event with fields.
    Note(Note),
    /// Something for relayed requests.
    Relay(RelayEffect),
    /// Close listeners: new connections go to other hosts.
    Close,
    /// End the process in good order.
    Exit,
}

/// A stream to open at an engine.
#[derive(Debug, Clone)]
pub struct Open {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where the engine listens.
    pub addr: SocketAddr,
    /// Name of the attempt at the engine.
    pub label: Box<str>,
    /// Resume the attempt of this label from this offset.
    pub resume: Option<u64>,
    /// Tokens already delivered by an earlier attempt, which the engine is to continue from.
    pub delivered: u64,
    /// Priority at the engine; higher goes first.
    pub priority: u8,
    /// Prefill at this engine first and take its KV cache from there.
    pub prefill: Option<SocketAddr>,
}

/// Why a request gets no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry: Option<Duration>,
    /// One sentence about this case.
    pub detail: Box<str>,
}

impl Refusal {
    /// Creates a refusal with the kind's own answer.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<Box<str>>) -> Self {
        let answer = kind.answer();
        Self {
            kind,
            ran: answer.ran,
            retry: answer.retry_after,
            detail: detail.into(),
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the engine.
    pub engine: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Fencing number of the holder.
    pub fence: u64,
    /// Number of the order under this fencing number.
    pub order: u64,
    /// The holder's name, for the engine's log.
    pub holder: Box<str>,
    /// What to do.
    pub action: Action,
    /// The sender's right to send ends here; checked again just before the write.
    pub until: Time,
}

/// What an order tells an engine to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Take this role.
    Role(super::event::Role),
    /// Load a model.
    Model(Box<str>),
    /// Load an adapter.
    Adapter(Box<str>),
    /// Load a version.
    Version(Box<str>),
}

/// Answer to an operator's question.
#[derive(Debug, Clone)]
pub enum OperatorAnswer {
    /// The record of a request.
    Record(Box<Record>),
    /// No host has a record of the request.
    NoRecord {
        /// Why not: never seen, aged out, or the hosts that had it are gone.
        why: Box<str>,
    },
    /// The edit is accepted under this revision.
    Accepted(u64),
    /// Another edit came first.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Text of the list in force.
        text: Box<str>,
    },
    /// The edit has faults.
    Faults(Vec<Box<str>>),
    /// The key-value service does not answer; the edit had no effect.
    StoreDown,
    /// Whether the edit was accepted could not be found out.
    Unclear,
}

/// Something counted or timed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Meter {
    /// A request ended.
    Ended {
        /// Model or service.
        class: Box<str>,
        /// Customer.
        customer: Box<str>,
        /// Code of the outcome.
        outcome: &'static str,
        /// From arrival to the end.
        lasted: Duration,
    },
    /// The first token was passed on.
    First {
        /// Model.
        class: Box<str>,
        /// Customer.
        customer: Box<str>,
        /// From arrival.
        after: Duration,
    },
    /// Another token was passed on.
    Between {
        /// Model.
        class: Box<str>,
        /// Since the one before.
        gap: Duration,
    },
    /// A request went to a back end.
    Queued {
        /// Model or service.
        class: Box<str>,
        /// From arrival.
        after: Duration,
    },
    /// An attempt was repeated.
    Retried {
        /// Model or service.
        class: Box<str>,
    },
    /// An order was given.
    Ordered {
        /// Pool.
        pool: Box<str>,
    },
}

/// A structured log event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// Level.
    pub level: log::Level,
    /// Name of the event, dotted.
    pub name: &'static str,
    /// Sentence with the values in it.
    pub text: Box<str>,
}

/// A structured log event whose values are fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Level.
    pub level: log::Level,
    /// Name of the event, dotted.
    pub name: &'static str,
    /// Names and values.
    pub fields: Vec<(&'static str, Box<str>)>,
}

/// Returns a log effect.
#[must_use]
pub fn log_event(level: log::Level, name: &'static str, text: impl Into<Box<str>>) -> Effect {
    Effect::Log(LogEvent {
        level,
        name,
        text: text.into(),
    })
}
