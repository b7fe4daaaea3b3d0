//! Events: the inputs of a host, which the adapters deliver.

use std::net::SocketAddr;

use super::key::{AttemptKey, CommandKey, HostKey, PoolKey, RequestKey, ShardKey};
use super::message::Message;
use super::relay::event::RelayEvent;
use super::relay::{RelayJob, RelayTimer};
use crate::error::Ran;
use crate::lists::KeyHash;
use crate::store::{Range, TxnReply};

/// One event.
#[derive(Debug, Clone)]
pub enum Event {
    /// The adapters are ready; always the first event.
    Start,
    /// Event of a request, from its caller or a backend server.
    Request(RequestEvent),
    /// Event of a peer.
    Peer(PeerEvent),
    /// Event of the key-value service.
    Store(StoreEvent),
    /// Event of the backend servers or the platform's list.
    Fleet(FleetEvent),
    /// Command of an operator.
    Operator(OperatorEvent),
    /// A timer is due.
    Timer(Timer),
    /// Event of a planned stop.
    Stop(StopEvent),
    /// Event of relayed requests.
    Relay(RelayEvent),
}

/// A timer, set by [`Effect::SetTimer`](super::Effect::SetTimer).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send heartbeats to peers and check their pledges.
    Heartbeat,
    /// Renew this host's registration.
    Register,
    /// Fetch lists that are known to be newer.
    FetchLists,
    /// Read the platform's list.
    Listing,
    /// Read the load reports of backend servers.
    Reports,
    /// The wait of a request has ended.
    Request(RequestKey),
    /// Check whether an attempt has been silent for too long.
    Silence(AttemptKey),
    /// Refill shares, and lend and expire loans.
    Shares,
    /// Resend or time out pending record operations, and unload idle shards.
    Once,
    /// Renew authorities and continue orders.
    Orders,
    /// Copy trace records to peers.
    Traces,
    /// A command of an operator has timed out.
    Command(CommandKey),
    /// The next phase of a planned stop is due.
    Stop,
    /// A timer of the relay.
    Relay(RelayTimer),
}

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number by which the adapter identifies the request until it has a key.
    pub tag: u64,
    /// Hash of the customer's key.
    pub key_hash: KeyHash,
    /// Completion or service call that is requested.
    pub spec: RequestSpec,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// First half of the BLAKE3 hash of target and body.
    pub fingerprint: Fingerprint,
}

/// Fingerprint of a request's target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Fingerprint(pub [u8; 16]);

/// A completion or a service call that a caller requests.
#[derive(Debug, Clone)]
pub enum RequestSpec {
    /// A completion.
    Model(ModelRequest),
    /// A call of a plain service.
    Service(ServiceRequest),
}

/// A requested completion.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Model name.
    pub model: Box<str>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub max_output: u32,
    /// Hashes of the prompt's prefixes: one per prefix block, over the prompt up to its end.
    pub prefix_hashes: Vec<u64>,
}

/// A requested service call.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Service name.
    pub service: Box<str>,
    /// HTTP method, upper case.
    pub method: Box<str>,
    /// Path below the service, without the query.
    pub path: Box<str>,
}

/// Event of a request.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// A caller sent a request.
    Arrived(Box<Arrival>),
    /// The caller closed its connection.
    CallerLeft(RequestKey),
    /// The engine or service accepted the request and began to answer, or reading from it resumed
    /// after [`RequestEvent::DeliveryBlocked`].
    Began(AttemptKey),
    /// The caller does not read the answer; the engine's stream is not read until it does.
    DeliveryBlocked(AttemptKey),
    /// A chunk of the answer arrived: tokens from `offset` on.
    StreamEvent {
        /// The attempt that received it.
        attempt: AttemptKey,
        /// Position of the chunk's first token in the complete answer.
        offset: u64,
        /// Tokens in the chunk; 0 for a chunk without any, such as the finish reason.
        tokens: u32,
    },
    /// The end marker of the stream arrived.
    StreamCompleted(AttemptKey),
    /// The complete response of a service arrived.
    Answered {
        /// The attempt that received it.
        attempt: AttemptKey,
        /// The response.
        result: StoredResponse,
    },
    /// The attempt ended without a complete answer.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the backend server ran the request.
        ran: Ran,
        /// How the attempt ended.
        end: AttemptFailure,
        /// Description of the failure from the adapter, for the trace record.
        detail: Box<str>,
    },
}

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// This host has no file descriptor left for a connection; neither the backend server nor its link failed.
    NoDescriptor,
    /// The backend server refused the request; whether before it started, it may not have stated.
    Refused,
    /// The backend server answered that the request is invalid.
    Rejected,
    /// The connection ended before the end marker.
    Cut,
    /// The response belongs to another request.
    Foreign,
    /// The connection stayed open and delivered nothing for too long.
    Silent,
    /// The backend server has no attempt with the label that was to be resumed.
    Forgotten,
}

/// Response of a service, as it is stored for retries.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
}

/// Event of a peer.
#[derive(Debug, Clone)]
pub enum PeerEvent {
    /// A message arrived from an authenticated peer.
    Message {
        /// Name that the peer proved.
        from: Box<str>,
        /// The message.
        message: Message,
    },
    /// The connection to a peer could not be opened, or was lost.
    Down(HostKey),
}

/// Event of the key-value service.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// Current values of watched keys; the keys come without the deployment's prefix.
    Watched(Vec<WatchedKey>),
    /// A call was answered or failed.
    Reply(StoreReply),
    /// The service started or stopped answering.
    Health(Health),
}

/// Whether the key-value service answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers and the watch is open.
    Up,
    /// It does not answer, or the watch is closed.
    Down,
}

/// A watched key.
#[derive(Debug, Clone)]
pub struct WatchedKey {
    /// Key without the deployment's prefix and the watched folder.
    pub key: Box<str>,
    /// Value; `None` if the key was removed.
    pub value: Option<Box<[u8]>>,
    /// Revision of the key-value service at which the key changed.
    pub modified: i64,
}

/// Purpose of a call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Job {
    /// Register this host, in the round of this number.
    Register(u64),
    /// Put new lists in force for an operator.
    Apply(CommandKey),
    /// Read the chunks of new lists, for this revision.
    Chunk(u64),
    /// Read or write a shard of records. The number tells apart the calls of a shard that moved
    /// away and back.
    Record(ShardKey, u64),
    /// Write trace records, or get the lease for them.
    WriteSegment,
    /// Read trace records for the query of this number.
    ReadSegments(u64),
    /// Acquire, renew or release the authority over a pool.
    Authority(PoolKey),
    /// Read or write the intended orders of a pool.
    Intent(PoolKey),
    /// Write the routing state of a pool.
    Route(PoolKey),
    /// A job of the relay, and the number of store eras that had ended when it was requested.
    Relay(RelayJob, u32),
}

/// Result of a call to the key-value service, with the call's purpose.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// Purpose of the call.
    pub job: Job,
    /// Its result.
    pub result: StoreResult,
}

/// Result of a call to the key-value service.
#[derive(Debug, Clone)]
pub enum StoreResult {
    /// Answer to a read.
    Read(Range),
    /// Answer to a transaction.
    Txn(TxnReply),
    /// Lease that was granted or renewed; 0 if it has expired.
    Lease(i64),
    /// The call certainly had no effect.
    Refused,
    /// The call may have taken effect.
    Unknown,
}

/// Event of backend servers.
#[derive(Debug, Clone)]
pub enum FleetEvent {
    /// The platform's list was read.
    Listed(Vec<Entry>),
    /// A backend server was asked for its load report.
    Report {
        /// Name of the backend server.
        name: Box<str>,
        /// The report; `None` if the backend server did not answer.
        report: Option<Report>,
    },
    /// A probe of an address ended.
    Probed {
        /// The address.
        addr: SocketAddr,
        /// Result of the probe.
        result: ProbeResult,
    },
    /// An order was answered or failed.
    OrderAnswered {
        /// Name of the engine.
        name: Box<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Number of the order.
        number: u64,
        /// Result of the order.
        result: OrderResult,
    },
}

/// Result of an attempt to connect to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: no process listens there.
    Refused,
    /// A process listens there, or it is unknown whether one does.
    Open,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted it.
    Done,
    /// The engine has seen this higher fencing number.
    Fenced(u64),
    /// The engine certainly did not receive it.
    Unsent,
    /// The engine may have received it.
    Unknown,
}

/// One line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub name: Box<str>,
    /// Kind of the listed process.
    pub kind: EntryKind,
    /// Pool or service that it belongs to.
    pub pool: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Kind of a process in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryKind {
    /// An entry host.
    Host,
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Stages of a request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

impl Role {
    /// Returns the role's name in protocols and documents.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Returns the role of that name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::Both, Self::Prefill, Self::Decode];
        all.into_iter().find(|role| role.name() == name)
    }
}

/// Load of an engine, as it was at an unknown time before.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Streams being decoded.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub queued_prefill: u64,
    /// Current role of the engine.
    pub role: Role,
    /// Age of the figures by the engine's own account, in milliseconds.
    pub age_ms: u32,
    /// Whether the engine is executing an order.
    pub changing: bool,
    /// Highest fencing number that the engine has seen; 0 for none.
    pub fence: u64,
    /// Highest order number that the engine has seen with that fencing number; 0 for none.
    pub order: u64,
}

/// Command of an operator.
#[derive(Debug, Clone)]
pub enum OperatorEvent {
    /// Return the trace record of a request.
    Explain {
        /// Key of the command.
        command: CommandKey,
        /// Request id.
        id: Box<str>,
    },
    /// Put an edited list in force.
    Apply {
        /// Key of the command.
        command: CommandKey,
        /// The edit.
        edit: Edit,
    },
}

/// An operator's edit of one list.
#[derive(Debug, Clone)]
pub struct Edit {
    /// List to edit.
    pub list: ListKind,
    /// Complete new text.
    pub text: Box<str>,
    /// Revision that the edit started from.
    pub base_revision: u64,
}

/// One of the two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The customers' plans.
    Plans,
    /// Models, services and limits of each plan.
    Uses,
}

/// Event of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// The stop was requested.
    Begin,
    /// Every connection of a caller, or of a host that forwards requests, is closed.
    Idle,
}
