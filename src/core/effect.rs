//! Effects: the actions of a host, which the adapters execute.

use std::net::SocketAddr;
use std::time::Duration;

use super::event::{Job, StoredResponse, Timer};
use super::key::{AttemptKey, CommandKey, HostKey, RequestKey};
use super::message::Message;
use super::relay::event::RelayEffect;
use super::time::Time;
use super::trace::Record;
use crate::error::{Kind, Ran};
use crate::store::{Span, Txn};

/// One effect.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Assigns a key and an id to the request that just arrived.
    Opened {
        /// Number that the adapter gave the request.
        tag: u64,
        /// Its key.
        request: RequestKey,
        /// Its id, as callers and operators see it.
        id: Box<str>,
    },
    /// Sends the request to an engine and streams the answer back as events.
    OpenStream(OpenStream),
    /// Sends the request to a service.
    CallService {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: AttemptKey,
        /// Address that the service listens on.
        addr: SocketAddr,
        /// Name of the attempt at the service.
        label: Box<str>,
        /// Time limit of the call.
        timeout: Duration,
    },
    /// Closes the attempt's connection and drops the attempt.
    Cancel(AttemptKey),
    /// Forwards the chunk that was just reported to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
    },
    /// Ends the request: the caller has the complete answer.
    Finish(RequestKey),
    /// Answers the caller with a service's response.
    Reply {
        /// The request.
        request: RequestKey,
        /// The response.
        result: StoredResponse,
        /// Id of the earlier request that ran the call, if it was not this one.
        first: Option<Box<str>>,
    },
    /// Ends the request without a complete answer.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The error for the caller.
        refusal: Refusal,
    },
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: HostKey,
        /// The message.
        message: Message,
    },
    /// Adds a peer; the connection is opened with the first message.
    AddPeer {
        /// The peer.
        host: HostKey,
        /// Its name, which it must prove.
        name: Box<str>,
        /// Address that it listens on for peers.
        addr: SocketAddr,
    },
    /// Removes a peer and closes its connection.
    RemovePeer(HostKey),
    /// Closes the connection to a peer; the next message opens a new one.
    Reconnect(HostKey),
    /// Reads from the key-value service.
    Read {
        /// Purpose of the call.
        job: Job,
        /// Keys to read, without the deployment's prefix.
        span: Span,
    },
    /// Runs a transaction of the key-value service.
    Txn {
        /// Purpose of the call.
        job: Job,
        /// The transaction; keys without the deployment's prefix.
        txn: Txn,
    },
    /// Requests a lease from the key-value service.
    GrantLease {
        /// Purpose of the call.
        job: Job,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// Purpose of the call.
        job: Job,
        /// The lease.
        lease: i64,
    },
    /// Revokes a lease.
    RevokeLease(i64),
    /// Reads the platform's list.
    ReadListing,
    /// Reads the load report of a backend server.
    ReadLoad {
        /// Name of the backend server.
        name: Box<str>,
        /// Address that it listens on.
        addr: SocketAddr,
    },
    /// Sends an order to an engine.
    Order(Order),
    /// Opens a connection to check whether a process listens at this address.
    Probe(SocketAddr),
    /// Schedules a timer event.
    SetTimer {
        /// When it is due.
        at: Time,
        /// The timer.
        timer: Timer,
    },
    /// Answers an operator's command.
    AnswerOperator {
        /// The command.
        command: CommandKey,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Records a metric.
    Meter(Meter),
    /// Writes a log event with a message.
    Log(LogEvent),
    /// Writes a log event with fields.
    LogFields(LogFields),
    /// An effect for relayed requests.
    Relay(RelayEffect),
    /// Closes the listeners, so that new connections go to other hosts.
    CloseListeners,
    /// Ends the process normally.
    Exit,
}

/// A stream to open at an engine.
#[derive(Debug, Clone)]
pub struct OpenStream {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address that the engine listens on.
    pub addr: SocketAddr,
    /// Name of the attempt at the engine.
    pub label: Box<str>,
    /// Token offset at which to resume the attempt of this label; `None` to start a new one.
    pub resume_from: Option<u64>,
    /// Tokens that earlier attempts delivered, after which the engine continues.
    pub delivered: u64,
    /// Priority at the engine; higher goes first.
    pub priority: u8,
    /// Address of another engine that prefills the prompt and hands over its KV cache.
    pub prefill_addr: Option<SocketAddr>,
}

/// The error of a request that gets no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// One sentence about this case.
    pub detail: Box<str>,
}

impl Refusal {
    /// Creates a refusal with the defaults of its kind.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<Box<str>>) -> Self {
        let answer = kind.answer();
        Self {
            kind,
            ran: answer.ran,
            retry_after: answer.retry_after,
            detail: detail.into(),
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, with_ran: Ran) -> Self {
        self.ran = with_ran;
        self
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the engine.
    pub engine: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Fencing number of the authority's holder.
    pub fence: u64,
    /// Number of the order under this fencing number.
    pub number: u64,
    /// The holder's name, for the engine's log.
    pub holder: Box<str>,
    /// Action to perform.
    pub action: Action,
    /// End of the sender's authority; checked again just before the write.
    pub valid_until: Time,
}

/// Action that an order demands of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Change to this role.
    Role(super::event::Role),
    /// Load a model.
    Model(Box<str>),
    /// Load an adapter.
    Adapter(Box<str>),
    /// Load a version.
    Version(Box<str>),
}

/// Answer to an operator's command.
#[derive(Debug, Clone)]
pub enum OperatorAnswer {
    /// The trace record of a request.
    Record(Box<Record>),
    /// No host has a record of the request.
    NoRecord {
        /// Why: never received, expired, or the hosts that stored it are gone.
        reason: Box<str>,
    },
    /// The edit was accepted as this revision.
    Accepted(u64),
    /// Another edit was accepted first.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Text of the list in force.
        text: Box<str>,
    },
    /// The edit is invalid, for these reasons.
    Faults(Vec<Box<str>>),
    /// The key-value service does not answer; the edit had no effect.
    StoreDown,
    /// It is unknown whether the edit was accepted.
    Unclear,
}

/// A measurement for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Meter {
    /// A caller took a stream up.
    TakenUp {
        /// How the version of the stream was found, or that it was not.
        outcome: &'static str,
    },
    /// A request was forwarded to another host.
    Forwarded {
        /// Route.
        class: Box<str>,
    },
    /// A request ended.
    RequestEnded {
        /// Model or service.
        class: Box<str>,
        /// Customer.
        customer: Box<str>,
        /// Code of the outcome.
        outcome: &'static str,
        /// Time from arrival to the end.
        duration: Duration,
    },
    /// The first token was forwarded to the caller.
    FirstToken {
        /// Model.
        class: Box<str>,
        /// Customer.
        customer: Box<str>,
        /// Time since arrival.
        after: Duration,
    },
    /// A later token was forwarded to the caller.
    TokenGap {
        /// Model.
        class: Box<str>,
        /// Time since the token before it.
        gap: Duration,
    },
    /// A streamed answer ended that was late.
    Late {
        /// Route.
        class: Box<str>,
        /// What made it late.
        cause: &'static str,
    },
    /// A prefill was recalled, or could not be.
    Recalled {
        /// Route.
        class: Box<str>,
        /// How the answer came, or why the prefill was not recalled.
        outcome: &'static str,
    },
    /// A request was refused because its customer had used up its share of a short service.
    OverShare {
        /// Route.
        class: Box<str>,
    },
    /// A request was sent to a backend server.
    Queued {
        /// Model or service.
        class: Box<str>,
        /// Time since arrival.
        after: Duration,
    },
    /// A request was retried.
    Retried {
        /// Model or service.
        class: Box<str>,
    },
    /// A response arrived that belongs to another request than the one under way on its connection.
    ForeignResponse {
        /// Kind of the call under way.
        reader: &'static str,
    },
    /// A refusal promised that a request did not run, although sends of it may have run.
    UnprovenRefusal,
    /// A read or watch of the store was abandoned as lost.
    StoreCallLost,
    /// An order was sent to an engine.
    OrderSent {
        /// Pool.
        pool: Box<str>,
    },
}

/// A log event with a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// Level.
    pub level: log::Level,
    /// Dotted name of the event.
    pub name: &'static str,
    /// Message, which includes the values.
    pub text: Box<str>,
}

/// A log event whose values are fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogFields {
    /// Level.
    pub level: log::Level,
    /// Dotted name of the event.
    pub name: &'static str,
    /// Names and values of the fields.
    pub fields: Vec<(&'static str, Box<str>)>,
}

/// Returns the effect of a log event with a message.
#[must_use]
pub fn log_event(level: log::Level, name: &'static str, text: impl Into<Box<str>>) -> Effect {
    Effect::Log(LogEvent {
        level,
        name,
        text: text.into(),
    })
}
