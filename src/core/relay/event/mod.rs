//! Events and effects of relayed requests, as data.

mod foreign;
mod forward;
mod gossip;
mod notice;
mod order;
mod stream;
mod unproven;
mod versions;

use std::net::SocketAddr;
use std::time::Duration;

use super::catalog::Catalog;
use super::customers::{Credential, Identity};
use super::duty::{DutyCall, DutyResult};
use super::versions::Version;
use crate::core::effect::Refusal;
use crate::core::event::{AttemptFailure, Fingerprint};
use crate::core::key::{AttemptKey, CallKey};
use crate::error::Ran;
use crate::settings::Settings;
pub use foreign::{ForeignResponse, Reader};
pub use forward::{Departures, ForwardRefusal, Forwarded, LinkProbe, Spent};
pub use gossip::{
    BlockReport, CONTEXT_UNIT, ChangeReport, CrashReport, CustomerTime, DepartureReport,
    EngineTimeReport, Gossip, GossipKind, IncludedReport, LimitReport, LoadReport, PartReport,
    ProbeReport, ReplicatedChanges, RestTime, StoreChange, Updates, UptimeReport,
};
pub use notice::{NamedLimit, NamedPushback, Notices};
pub use order::{EngineReport, OrderResult, StageOrder};
pub use stream::{Framing, StreamEnd};
pub use unproven::UnprovenRefusal;
pub use versions::{StreamMessage, StreamQuery, StreamRecord, StreamReply};

/// One event about relayed requests.
#[derive(Debug, Clone)]
pub enum RelayEvent {
    /// This process may open so many file descriptors.
    Descriptors(u64),
    /// Bytes of a request's body arrived while the host holds others.
    BodyOffered {
        /// Bytes that arrived.
        bytes: usize,
        /// Bytes held.
        held: usize,
    },
    /// A caller opened a connection, from which nothing is read before it is admitted.
    CallerConnected,
    /// An admitted connection of a caller ended.
    CallerDisconnected,
    /// A caller sent a complete request.
    Arrived(Box<Arrival>),
    /// The caller closed its connection.
    CallerLeft(CallKey),
    /// An engine has prefilled the prompt and holds its KV cache.
    Prefilled {
        /// The attempt.
        attempt: AttemptKey,
        /// Handle by which another engine fetches the KV cache.
        handle: Box<str>,
    },
    /// A response arrived that belongs to another request than the one under way on its connection.
    ForeignResponse(Box<ForeignResponse>),
    /// An answer does not state that a request did not run, since sends of it may have run.
    UnprovenRefusal(Box<UnprovenRefusal>),
    /// The head of an answer from the backend server itself arrived.
    Noticed {
        /// The attempt.
        attempt: AttemptKey,
        /// What it states about the server.
        notices: Notices,
    },
    /// The head of a backend server's answer to a call that is no caller's request arrived.
    ControlNoticed {
        /// The server's id.
        instance: Box<str>,
        /// What it states about the server.
        notices: Notices,
    },
    /// A part of an answer that is not streamed arrived.
    AnswerReceived(AttemptKey),
    /// An answer arrived: complete, or already longer than the adapter buffers.
    Answered {
        /// The attempt.
        attempt: AttemptKey,
        /// HTTP status.
        status: u16,
    },
    /// An event of a streamed answer arrived.
    StreamEvent {
        /// The attempt.
        attempt: AttemptKey,
        /// Number of the event in the answer; 0 if it has none.
        number: u64,
    },
    /// The caller does not read a streamed answer; nothing is read from the server until it does.
    DeliveryBlocked(AttemptKey),
    /// The caller reads again after [`RelayEvent::DeliveryBlocked`].
    DeliveryResumed(AttemptKey),
    /// Another host refused a request that was forwarded to it.
    ForwardRefused {
        /// The attempt.
        attempt: AttemptKey,
        /// The refusal.
        refusal: ForwardRefusal,
    },
    /// A probe of the link to a backend server ended.
    LinkProbed {
        /// The server's id.
        instance: Box<str>,
        /// Whether it answered.
        reached: bool,
    },
    /// A probe of a backend server that broke a request off ended.
    ServerProbed {
        /// The server's id.
        instance: Box<str>,
        /// Whether that server itself answered.
        is_alive: bool,
    },
    /// The body of a streamed answer ended as its framing marks it.
    StreamEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: StreamEnd,
    },
    /// The attempt ended without a complete answer.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the backend server ran the request.
        ran: Ran,
        /// How the attempt ended.
        end: AttemptFailure,
        /// Description of the failure from the adapter.
        detail: Box<str>,
    },
    /// An answer of the store named its era.
    StoreEra(u64),
    /// A part of the answer to a call of the store arrived.
    StoreReceived {
        /// Number of the call.
        number: u64,
        /// Bytes of the answer received so far.
        bytes: u64,
    },
    /// A call of the store was answered or failed.
    StoreAnswered {
        /// Number of the call.
        number: u64,
        /// The answer.
        answer: StoreAnswer,
    },
    /// An engine was asked for its state.
    EngineReported {
        /// The engine's id.
        instance: Box<str>,
        /// Its state; `None` if it did not answer.
        report: Option<EngineReport>,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine's id.
        instance: Box<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Result of the order.
        result: OrderResult,
    },
    /// The platform answered a call of a duty.
    DutyAnswered(DutyCall, DutyResult),
    /// The settings file was reloaded.
    Reloaded(Box<Settings>),
    /// A gossip message from another host arrived.
    Gossiped(Box<Gossip>),
}

/// Result of a call by which this host follows the store.
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    /// A page of all keys.
    Page {
        /// Revision of the store as of this page.
        revision: i64,
        /// The keys.
        changes: Changes,
        /// Last key of the page, if more follow.
        after: Option<Box<str>>,
    },
    /// Answer to a watch.
    Changes {
        /// Revision up to which all changes are known.
        revision: i64,
        /// The changes; empty if the wait ended without any.
        changes: Changes,
        /// The same changes one by one, for replication to other hosts.
        events: Vec<StoreChange>,
    },
    /// Newest revision of the store, the answer to a probe.
    Newest(i64),
    /// The store no longer has the changes asked for.
    Compacted,
    /// The call failed.
    Failed {
        /// Whether the store refused the call or was not reached.
        refused: bool,
    },
}

/// Changes of the store, decoded.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Changes {
    /// Whether these are all keys of the store: a key that is missing here does not exist.
    pub is_snapshot: bool,
    /// New configuration, if it changed.
    pub catalog: Option<Catalog>,
    /// Entries of backend servers that were written.
    pub instances: Vec<BackendEntry>,
    /// Ids of backend servers whose entries were removed.
    pub removed: Vec<Box<str>>,
    /// Keys of this program that changed.
    pub keys: Vec<KeyChange>,
}

impl Changes {
    /// Adds later changes.
    pub fn merge(&mut self, later: Self) {
        self.catalog = later.catalog.or(self.catalog.take());
        self.instances.extend(later.instances);
        self.removed.extend(later.removed);
        self.keys.extend(later.keys);
    }
}

/// A key of this program that changed.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyChange {
    /// Key, without the deployment's prefix.
    pub key: Box<str>,
    /// Value; `None` if the key was removed.
    pub value: Option<Box<[u8]>>,
    /// Revision of the last write.
    pub revision: i64,
}

/// The entry by which a backend server registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendEntry {
    /// Id of this process of the server.
    pub id: Box<str>,
    /// Service it belongs to.
    pub service: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Stage that an engine serves; `None` for a server of a plain service.
    pub stage: Option<Stage>,
    /// Whether the platform may take it away at short notice.
    pub is_spot: bool,
    /// Version of its software; `None` if its entry names none.
    pub version: Option<Box<str>>,
    /// Wall clock at its start, in milliseconds since the Unix epoch; 0 if its entry names none.
    pub started_ms: u64,
    /// Revision of the store at which the entry was written.
    pub revision: i64,
}

/// Stage of model requests that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Prefills prompts for other engines.
    Prefill,
    /// Generates, and prefills prompts that no other engine has prefilled.
    Decode,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the attempt, as the caller sent it.
    pub id: Box<str>,
    /// Host name of the request.
    pub host: Box<str>,
    /// Path, without the query.
    pub path: Box<str>,
    /// Time until the caller gives up.
    pub deadline: Option<Duration>,
    /// Prompt and output, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller received in an earlier attempt.
    pub resume: Option<u64>,
    /// Id of the attempt that brought the caller the first event of the stream that it takes up.
    pub resumes: Option<Box<str>>,
    /// Bytes of the body.
    pub bytes: usize,
    /// Fingerprint of method, host, target and body.
    pub fingerprint: Fingerprint,
    /// The caller's key.
    pub credential: Credential,
    /// What it has used up at the host that forwarded it; `None` if its caller sent it.
    pub forwarded: Option<Spent>,
    /// Version at which its stream began, from the host that forwarded it.
    pub version: Option<Version>,
    /// Servers that left, as that host knows.
    pub departures: Departures,
}

/// What a model request asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u64,
    /// Largest number of tokens to generate.
    pub max_output: u64,
    /// The caller's own estimate of the tokens to generate.
    pub output_hint: Option<u64>,
    /// Prefix blocks of the prompt in order; all but the last may be shared with other requests.
    pub blocks: Vec<PrefixBlock>,
}

/// A block of a prompt, which with the blocks before it forms a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Id of the block: equal blocks have equal ids.
    pub id: u64,
    /// Tokens of the block.
    pub tokens: u64,
}

/// One effect for relayed requests.
#[derive(Debug, Clone)]
pub enum RelayEffect {
    /// Keep the bytes of a body that the current event offers; without this effect they are discarded.
    AdmitBody,
    /// From so many bytes held on, read no more for callers that do not keep up; `None` for no bound.
    BoundHeldBytes(Option<usize>),
    /// Serve the connection that a caller just opened; without this it is closed unread.
    AdmitConnection,
    /// The request that just arrived has this key.
    Opened(CallKey),
    /// Send the request to a backend server.
    Send(Box<Outgoing>),
    /// Forward the request to another host.
    Forward(Box<Forwarded>),
    /// Probe the link to a backend server.
    ProbeLink(LinkProbe),
    /// Probe whether a backend server runs that broke a request off.
    ProbeServer(LinkProbe),
    /// Close the attempt's connection and drop the attempt.
    Cancel(AttemptKey),
    /// Forward the current stream event to the caller.
    ForwardEvent(CallKey),
    /// Forward the current answer to the caller.
    ForwardAnswer(CallKey),
    /// The caller has the complete answer.
    Finish(CallKey),
    /// The caller's answer has begun and cannot be completed: end it so that the caller sees a truncated
    /// answer.
    AbortAnswer(CallKey),
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        call: CallKey,
        /// The refusal.
        refusal: Refusal,
    },
    /// Release a KV cache that will not be used.
    FreeCache {
        /// Id of the engine that holds it.
        instance: Box<str>,
        /// Address that the engine listens on.
        addr: SocketAddr,
        /// Handle of the KV cache.
        handle: Box<str>,
    },
    /// Ask an engine for its state.
    FetchReport {
        /// The engine's id.
        instance: Box<str>,
        /// Address that the engine listens on.
        addr: SocketAddr,
    },
    /// Order an engine to change its stage.
    Order(StageOrder),
    /// Make a call of a duty.
    CallDuty(DutyCall),
    /// Secret shared by all hosts: messages between them are authenticated with it.
    Secret([u8; 32]),
    /// Call the store.
    CallStore {
        /// Number of the call.
        number: u64,
        /// The call.
        call: StoreCall,
    },
    /// Cancel the call of the store with this number.
    CancelStoreCall(u64),
    /// Send a gossip message to other hosts.
    Publish {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// The message.
        message: Box<Gossip>,
    },
}

/// A call by which this host follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read a page of all keys.
    Page {
        /// Last key of the previous page.
        after: Option<Box<str>>,
    },
    /// Wait for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: i64,
        /// Time to wait.
        wait: Duration,
    },
    /// Ask for the newest revision.
    Probe,
}

/// What a backend server is asked to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run all of it.
    Whole,
    /// Prefill its prompt and keep the KV cache.
    Prefill,
    /// Generate from a KV cache at another engine.
    Decode {
        /// Address of the engine that prefilled.
        from: SocketAddr,
        /// Handle of the KV cache.
        handle: Box<str>,
    },
}

/// A request on its way to a backend server.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The request.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Id of the backend server; a different server at this address must refuse the request.
    pub instance: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// What to do.
    pub task: Task,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Urgency at the engine, from 0 to 9; lower values are served first.
    pub urgency: Option<u8>,
    /// Number of the last event that the caller received.
    pub resume: Option<u64>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Largest number of idle connections to keep to one backend server.
    pub max_idle: usize,
    /// Address of an engine from which it first copies the prefix blocks that are cached there.
    pub fetch_from: Option<SocketAddr>,
    /// On whose behalf it runs.
    pub identity: Identity,
}
