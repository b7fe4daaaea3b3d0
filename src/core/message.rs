//! Messages between hosts, as the core's own types.

use super::event::{Fingerprint, StoredResponse};
use super::trace::Record;

/// One message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Shows that the sender is alive, and carries its state.
    Heartbeat(Heartbeat),
    /// Requests loans from the owner of plans' shares.
    Borrow(Borrow),
    /// Answers [`Message::Borrow`].
    Lend(Lend),
    /// Requests the owner of a record shard to record the start of a call.
    Begin(Begin),
    /// Answers [`Message::Begin`].
    Begun {
        /// Number of the query.
        round: u64,
        /// State of the call's record.
        state: BeginState,
        /// Request that first used the key.
        request: Box<str>,
    },
    /// Reports the end of a call to the owner of a record shard.
    Done(Done),
    /// Answers [`Message::Done`].
    Recorded {
        /// Number of the query.
        round: u64,
        /// Whether the record is stored in the key-value service.
        durable: bool,
    },
    /// Copies of trace records, which outlive a crash of the sender.
    TraceCopies(Vec<Record>),
    /// Queries the trace record of a request.
    TraceQuery {
        /// Number of the query.
        round: u64,
        /// Request id.
        id: Box<str>,
    },
    /// Answers [`Message::TraceQuery`].
    TraceReply {
        /// Number of the query.
        round: u64,
        /// The record, if the peer has it.
        record: Option<Box<Record>>,
        /// Start of the time for which the peer has records; milliseconds since the Unix epoch.
        since: u64,
    },
    /// Requests the lists in force at the peer if they are newer than this revision.
    FetchLists(u64),
    /// Answers [`Message::FetchLists`].
    Lists {
        /// Revision.
        revision: u64,
        /// Text of the customers' plans.
        plans: Box<str>,
        /// Text of what each plan may use.
        uses: Box<str>,
    },
    /// Confirms that the sender applies a routing revision.
    Confirm(Confirm),
    /// Load that the sender accepted for a pool.
    Demand(Demand),
    /// Prompt tokens that the sender sent to an engine.
    SentPrompt(SentPrompt),
    /// The sender's streams at each engine where it has any: low half of the hash of the
    /// engine's name, and count.
    StreamCounts(Vec<(u32, u32)>),
    /// Backend servers that are leaving according to the platform's list.
    Listing(Listing),
    /// An engine crashed while it ran this request.
    Suspect(Suspect),
}

/// State of a host, sent to each peer at an interval.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Heartbeat {
    /// Number of this heartbeat among those to this peer.
    pub number: u64,
    /// Last number received from this peer.
    pub echo: u64,
    /// Hash of the member set that the sender applies.
    pub view_hash: u64,
    /// Milliseconds for which the sender has pledged by that view alone; for its first view, longer
    /// than the view's age, as there was no pledge before it.
    pub view_age_ms: u64,
    /// Revision of the lists in force at the sender.
    pub revision: u64,
    /// The sender is shutting down.
    pub stopping: bool,
    /// Earlier views of the sender, newest first, while pledges by them may be in use.
    pub views: Vec<View>,
    /// Milliseconds for which the sender has pledged its part of each share to the recipient.
    pub pledged_ms: u64,
    /// Number of hosts that may be alive by the sender's view.
    pub hosts: u32,
}

/// A member set that a host applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct View {
    /// Hash of the names and incarnations.
    pub hash: u64,
    /// Milliseconds since the sender began to apply it; see [`Heartbeat::view_age_ms`].
    pub age_ms: u64,
}

/// Loan requests to the owner of the plans' shares.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Borrow {
    /// Number of the query.
    pub round: u64,
    /// Loan requests, one per plan.
    pub loan_requests: Vec<LoanRequest>,
}

/// Request for a loan of one plan's share.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoanRequest {
    /// Plan.
    pub plan: Box<str>,
    /// Requests wanted.
    pub requests: f64,
    /// Tokens wanted.
    pub tokens: f64,
    /// Permits for running requests wanted.
    pub running: u32,
    /// Tokens that the first waiting request needs at least.
    pub min_tokens: f64,
    /// Requests that wait for the answer.
    pub waiting: u32,
    /// Permits that the sender holds, used or idle.
    pub held: u32,
    /// Requests returned.
    pub returned_requests: f64,
    /// Tokens returned.
    pub returned_tokens: f64,
}

/// Answer to [`Borrow`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Lend {
    /// Number of the query.
    pub round: u64,
    /// Time to live of the loans in milliseconds, from when the query was sent.
    pub ttl_ms: u32,
    /// Loans, one per loan request.
    pub loans: Vec<Loan>,
}

/// Loan of one plan's share.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Loan {
    /// Plan.
    pub plan: Box<str>,
    /// Requests lent.
    pub requests: f64,
    /// Tokens lent.
    pub tokens: f64,
    /// Permits for running requests lent.
    pub running: u32,
    /// Milliseconds after which to ask again, if nothing was lent.
    pub retry_ms: u32,
}

/// Start of a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begin {
    /// Number of the query.
    pub round: u64,
    /// Customer.
    pub customer: Box<str>,
    /// Idempotency key.
    pub key: Box<str>,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Request id.
    pub request: Box<str>,
}

/// State of a call's record when a request with its key arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginState {
    /// The start was recorded for this request, which is to run the call.
    Started,
    /// The call ran, with this response.
    Done(StoredResponse),
    /// The call is running.
    Running,
    /// The call may have run and will not be run again.
    MayHaveRun,
    /// The key was used with another call.
    OtherBody,
    /// The key-value service does not answer; nothing was recorded for this request.
    StoreDown,
    /// The key-value service did not answer; the start may have been recorded.
    Unclear,
    /// The shard is full.
    Full,
    /// The peer does not own the shard by its view.
    NotOwner,
}

/// End of a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Number of the query.
    pub round: u64,
    /// Customer.
    pub customer: Box<str>,
    /// Idempotency key.
    pub key: Box<str>,
    /// Request id.
    pub request: Box<str>,
    /// Its outcome.
    pub outcome: DoneState,
}

/// Outcome of a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DoneState {
    /// It ran, with this response.
    Result(StoredResponse),
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Confirmation of a routing revision, with the sender's streams on withdrawn engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirm {
    /// Pool.
    pub pool: Box<str>,
    /// Routing revision that the sender applies.
    pub revision: u64,
    /// Streams by engine name, for engines withdrawn at that revision.
    pub streams: Vec<(Box<str>, u32)>,
}

/// Load that a host accepted for a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Pool.
    pub pool: Box<str>,
    /// Prompt tokens per second over the last period.
    pub prompt_rate: f64,
    /// Output tokens per second over the last period.
    pub output_rate: f64,
    /// Requests per second refused for lack of engines over the last period.
    pub refusal_rate: f64,
}

/// Prompt tokens that a host has sent to an engine since its last such message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentPrompt {
    /// Low half of the hash of the engine's name.
    pub engine: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
}

/// Backend servers that the platform's list marks as leaving or no longer contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Milliseconds since the sender read the list.
    pub age_ms: u64,
    /// Names of the backend servers.
    pub leaving: Vec<Box<str>>,
}

/// A request that was running on an engine when the engine crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Engine that crashed.
    pub engine: Box<str>,
    /// Time of the crash; milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request id.
    pub request: Box<str>,
    /// Whether the engine had begun to answer it.
    pub answering: bool,
}
