//! Messages between hosts, in the core's own types.

use super::event::{Fingerprint, StoredResponse};
use super::trace::Record;

/// One message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The sender is there.
    Heartbeat(Heartbeat),
    /// Asks the home of a plan's share for a part of it.
    Borrow(Borrow),
    /// Answers [`Message::Borrow`].
    Lend(Lend),
    /// Asks the owner of a record shard to record that a call starts.
    Begin(Begin),
    /// Answers [`Message::Begin`].
    Begun {
        /// Number of the question.
        round: u64,
        /// What the record says.
        state: BeginState,
        /// Request that first used the key.
        request: Box<str>,
    },
    /// Tells the owner of a record shard how a call ended.
    Done(Done),
    /// Answers [`Message::Done`].
    Recorded {
        /// Number of the question.
        round: u64,
        /// Whether the record is in the key-value service.
        durable: bool,
    },
    /// Copies of records for safe keeping.
    TraceCopies(Vec<Record>),
    /// Asks for the record of a request.
    TraceQuery {
        /// Number of the question.
        round: u64,
        /// Request id.
        id: Box<str>,
    },
    /// Answers [`Message::TraceQuery`].
    TraceReply {
        /// Number of the question.
        round: u64,
        /// The record, where the peer has it.
        record: Option<Box<Record>>,
        /// The peer keeps records since this time; milliseconds since the Unix epoch.
        since: u64,
    },
    /// Asks for the lists in force at the peer if newer than this revision.
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
    /// A host acts on a routing revision.
    Confirm(Confirm),
    /// Work the sender took in for a pool.
    Demand(Demand),
    /// Prompts the sender sent to an engine.
    SentPrompt(SentPrompt),
    /// The sender's streams at each engine where it has any: low half of the hash of the
    /// engine's name, and count.
    StreamCounts(Vec<(u32, u32)>),
    /// Back ends that are leaving by the platform's list.
    Listing(Listing),
    /// An engine died while this request ran on it.
    Suspect(Suspect),
}

/// See the protocol's definition of the fields.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Heartbeat {
    /// Counts beats to this peer.
    pub number: u64,
    /// Last number received from this peer.
    pub echo: u64,
    /// Hash of the member set the sender acts on.
    pub view_hash: u64,
    /// Milliseconds the sender has been at that view; more where no other came before it.
    pub view_age_ms: u64,
    /// Revision of the lists in force at the sender.
    pub revision: u64,
    /// The sender is shutting down.
    pub stopping: bool,
    /// Views the sender acted on before, newest first, while they may still matter.
    pub views: Vec<View>,
    /// Milliseconds the sender has let the recipient lend the sender's part of each share.
    pub pledged_ms: u64,
    /// Hosts that may be alive, as far as the sender knows.
    pub hosts: u32,
}

/// Member set that a host acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct View {
    /// Hash of the names and incarnations.
    pub hash: u64,
    /// Milliseconds since the sender began to act on it.
    pub age_ms: u64,
}

/// Wishes for loans, sent to the home of their plans' shares.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Borrow {
    /// Number of the question.
    pub round: u64,
    /// One wish a plan.
    pub loan_requests: Vec<LoanRequest>,
}

/// Wish for a loan of one plan's share; see the protocol's definition of the fields.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoanRequest {
    /// Plan.
    pub plan: Box<str>,
    /// Requests wanted.
    pub requests: f64,
    /// Tokens wanted.
    pub tokens: f64,
    /// Places for running requests wanted.
    pub running: u32,
    /// Tokens without which the first waiting request cannot go.
    pub min_tokens: f64,
    /// Requests waiting for the answer.
    pub waiting: u32,
    /// Places that the sender has, used or idle.
    pub held: u32,
    /// Requests given back.
    pub returned_requests: f64,
    /// Tokens given back.
    pub returned_tokens: f64,
}

/// Answer to [`Borrow`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Lend {
    /// Number of the question.
    pub round: u64,
    /// Life in milliseconds from when the question was sent.
    pub ttl_ms: u32,
    /// One loan a wish.
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
    /// Places for running requests lent.
    pub running: u32,
    /// If nothing was lent: milliseconds until it is worth asking again.
    pub retry_ms: u32,
}

/// Start of a call that may not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begin {
    /// Number of the question.
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

/// What the record of a call says when another with its key arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginState {
    /// It was recorded just now: run it.
    Started,
    /// It ran; this is its answer.
    Done(StoredResponse),
    /// It is running.
    Running,
    /// It may have run and will not be run again.
    MayHaveRun,
    /// The key belongs to another call.
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

/// End of a call that may not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Number of the question.
    pub round: u64,
    /// Customer.
    pub customer: Box<str>,
    /// Idempotency key.
    pub key: Box<str>,
    /// Request id.
    pub request: Box<str>,
    /// How it ended.
    pub outcome: DoneState,
}

/// How a call that may not repeat ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DoneState {
    /// With this answer.
    Result(StoredResponse),
    /// It surely did not run; the key may be used again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// How many streams run on withdrawn engines at the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirm {
    /// Pool.
    pub pool: Box<str>,
    /// Routing revision the sender acts on.
    pub revision: u64,
    /// Streams by engine name, for engines withdrawn at that revision.
    pub streams: Vec<(Box<str>, u32)>,
}

/// Work a host took in for a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Pool.
    pub pool: Box<str>,
    /// Prompt tokens a second over the last period.
    pub prompt_rate: f64,
    /// Output tokens a second over the last period.
    pub output_rate: f64,
    /// Requests a second refused for want of engines over the last period.
    pub refusal_rate: f64,
}

/// Prompts that a host has sent to an engine since it last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentPrompt {
    /// Low half of the hash of the engine's name.
    pub engine: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
}

/// Back ends that the platform's list calls leaving, or no longer names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Milliseconds since the sender read the list.
    pub age_ms: u64,
    /// Names.
    pub leaving: Vec<Box<str>>,
}

/// A request that was running on an engine when it died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Engine that died.
    pub engine: Box<str>,
    /// When; milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request id.
    pub request: Box<str>,
    /// Whether the engine had begun to answer it.
    pub answering: bool,
}
