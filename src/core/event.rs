//! Everything that can happen to a host.

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
    /// The adapters are ready; the first event.
    Start,
    /// A caller or a back end did something about a request.
    Request(RequestEvent),
    /// A peer did something.
    Peer(PeerEvent),
    /// The key-value service did something.
    Store(StoreEvent),
    /// The platform's list or a back end's report arrived.
    Fleet(FleetEvent),
    /// An operator asked something.
    Operator(OperatorEvent),
    /// A time that was asked for has come.
    Timer(Timer),
    /// A planned stop goes on.
    Stop(StopEvent),
    /// Something about relayed requests.
    Relay(RelayEvent),
}

/// A time that a part asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send beats to peers and check on them.
    Heartbeat,
    /// Renew this host's registration.
    Register,
    /// Fetch lists that are known to be newer.
    FetchLists,
    /// Read the platform's list.
    Listing,
    /// Read the back ends' load reports.
    Reports,
    /// A request has waited long enough for what it waits for.
    Request(RequestKey),
    /// Look whether an attempt has fallen silent.
    Silence(AttemptKey),
    /// Refill, lend and expire loans.
    Shares,
    /// Write grouped records and expire old ones.
    Once,
    /// Renew authority and go on with orders.
    Orders,
    /// Copy records to peers.
    Traces,
    /// An operator's question has waited long enough.
    Command(CommandKey),
    /// The planned stop has reached its bound.
    Stop,
    /// A part of the relay asked for it.
    Relay(RelayTimer),
}

/// What a caller wants.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number by which the adapter knows the request until it has a key.
    pub tag: u64,
    /// Hash of the customer's key.
    pub key_hash: KeyHash,
    /// What the request is for.
    pub spec: RequestSpec,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// First half of the BLAKE3 hash of target and body.
    pub fingerprint: Fingerprint,
}

/// Fingerprint of a request's target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Fingerprint(pub [u8; 16]);

/// What a request is for.
#[derive(Debug, Clone)]
pub enum RequestSpec {
    /// A completion.
    Model(ModelRequest),
    /// A call of a plain service.
    Service(ServiceRequest),
}

/// A completion that a caller wants.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Model name.
    pub model: Box<str>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output: u32,
    /// Hashes of the prompt's pieces, each over everything up to its end.
    pub prefix_hashes: Vec<u64>,
}

/// A service call that a caller wants.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Service name.
    pub service: Box<str>,
    /// HTTP method, upper case.
    pub method: Box<str>,
    /// Path below the service, without the query.
    pub path: Box<str>,
}

/// Something about a request.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// A caller sent a request.
    Arrived(Box<Arrival>),
    /// The caller closed its connection.
    CallerLeft(RequestKey),
    /// The engine or service took the request and began to answer.
    Began(AttemptKey),
    /// The caller does not take what came; nothing more is read until it does.
    DeliveryBlocked(AttemptKey),
    /// A piece of the answer arrived: tokens from `offset` on.
    StreamEvent {
        /// The attempt it came in on.
        attempt: AttemptKey,
        /// Position of the first token of the piece in the whole answer.
        offset: u64,
        /// Tokens in the piece; 0 for a piece that carries none, such as the end marker.
        tokens: u32,
    },
    /// The end marker arrived: the answer is whole.
    StreamCompleted(AttemptKey),
    /// The service's whole answer arrived.
    Answered {
        /// The attempt it came in on.
        attempt: AttemptKey,
        /// The answer.
        result: StoredResponse,
    },
    /// The attempt ended without a whole answer.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the back end ran the request.
        ran: Ran,
        /// How it ended.
        end: AttemptFailure,
        /// What the adapter saw, for the explanation.
        detail: Box<str>,
    },
}

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// The back end refused before it started.
    Refused,
    /// The back end answered that the request is at fault.
    Rejected,
    /// The connection ended before the end marker.
    Cut,
    /// The connection stayed open and brought nothing for too long.
    Silent,
    /// The back end does not know the attempt that was to be resumed.
    Forgotten,
}

/// The answer of a service, as it is kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
}

/// Something about a peer.
#[derive(Debug, Clone)]
pub enum PeerEvent {
    /// A message arrived from a peer that proved who it is.
    Message {
        /// Name the peer proved.
        from: Box<str>,
        /// The message.
        message: Message,
    },
    /// The connection to a peer could not be opened or broke.
    Down(HostKey),
}

/// Something about the key-value service.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// Watched keys have these values now; keys are without the deployment's prefix.
    Watched(Vec<WatchedKey>),
    /// A job ended.
    Reply(StoreReply),
    /// The service began to answer, or stopped answering.
    Health(Health),
}

/// Whether the key-value service answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers and the watch is open.
    Up,
    /// It does not answer or the watch broke.
    Down,
}

/// A watched key.
#[derive(Debug, Clone)]
pub struct WatchedKey {
    /// Key without the deployment's prefix and the watched folder.
    pub key: Box<str>,
    /// Value; `None` when the key is gone.
    pub value: Option<Box<[u8]>>,
    /// Revision of the key-value service at which it changed.
    pub modified: i64,
}

/// What a call to the key-value service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Job {
    /// Register this host; numbered by the try.
    Register(u64),
    /// Put new lists in force for an operator.
    Apply(CommandKey),
    /// Read the chunks of new lists, for this revision.
    Chunk(u64),
    /// Read or write a shard of records; numbered, since shards move away and back.
    Record(ShardKey, u64),
    /// Write explanations, or get the lease they go with.
    WriteSegment,
    /// Read explanations for the question of this number.
    ReadSegments(u64),
    /// Take, renew or give back the authority over a pool.
    Authority(PoolKey),
    /// Read or write the intended orders of a pool.
    Intent(PoolKey),
    /// Write the routing state of a pool.
    Route(PoolKey),
    /// A job of the relay, and how many eras of the store had ended when it was asked for.
    Relay(RelayJob, u32),
}

/// End of a job.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// The job.
    pub job: Job,
    /// What came of it.
    pub result: StoreResult,
}

/// What came of a call to the key-value service.
#[derive(Debug, Clone)]
pub enum StoreResult {
    /// A read's answer.
    Read(Range),
    /// A transaction's answer.
    Txn(TxnReply),
    /// A lease was granted or renewed; 0 when it has lapsed.
    Lease(i64),
    /// The call surely had no effect.
    Refused,
    /// The call may have taken effect.
    Unknown,
}

/// Something about back ends.
#[derive(Debug, Clone)]
pub enum FleetEvent {
    /// The platform's list was read.
    Listed(Vec<Entry>),
    /// A back end's load report was read.
    Report {
        /// Name of the back end.
        name: Box<str>,
        /// The report; `None` when the back end did not answer.
        report: Option<Report>,
    },
    /// A try to connect ended.
    Probed {
        /// Where.
        addr: SocketAddr,
        /// What it met.
        result: ProbeResult,
    },
    /// An order was answered.
    OrderAnswered {
        /// Name of the engine.
        name: Box<str>,
        /// Fencing number the order carried.
        fence: u64,
        /// Number of the order.
        number: u64,
        /// What came of it.
        result: OrderResult,
    },
}

/// What a try to connect met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// No process listens there.
    Refused,
    /// A process listens there, or nothing is known.
    Open,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried it out.
    Done,
    /// The engine knows a higher fencing number.
    Fenced(u64),
    /// The engine surely did not see it.
    Unsent,
    /// The engine may have seen it.
    Unknown,
}

/// One line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub name: Box<str>,
    /// What it is.
    pub kind: EntryKind,
    /// Pool or service it belongs to.
    pub pool: Box<str>,
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What a line of the platform's list names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryKind {
    /// An entry host.
    Host,
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Which part of a request an engine does.
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
    pub fn from_name(word: &str) -> Option<Self> {
        let all = [Self::Both, Self::Prefill, Self::Decode];
        all.into_iter().find(|role| role.name() == word)
    }
}

/// An engine's load, late by some unknown time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Streams being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub queued_prefill: u64,
    /// Role the engine has.
    pub role: Role,
    /// Age that the engine gives for its figures, in milliseconds.
    pub age_ms: u32,
    /// Whether a change is under way there.
    pub changing: bool,
    /// Highest fencing number it has seen; 0 for none.
    pub fence: u64,
    /// Highest order number it has seen with that fencing number; 0 for none.
    pub order: u64,
}

/// Something an operator asks.
#[derive(Debug, Clone)]
pub enum OperatorEvent {
    /// What became of a request.
    Explain {
        /// Question.
        command: CommandKey,
        /// Request id.
        id: Box<str>,
    },
    /// Put a list in force.
    Apply {
        /// Question.
        command: CommandKey,
        /// The edit.
        edit: Edit,
    },
}

/// An operator's edit of one list.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Which list.
    pub list: ListKind,
    /// Whole new text.
    pub text: Box<str>,
    /// Revision that was edited.
    pub base_revision: u64,
}

/// One of the two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The customers' plans.
    Plans,
    /// What each plan may use.
    Uses,
}

/// Something about a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// Stop in good order.
    Begin,
    /// Every open connection has been served.
    Idle,
}
