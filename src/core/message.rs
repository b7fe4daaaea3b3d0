//! Messages between hosts, in the core's own types.

use super::event::{Print, Stored};
use super::trace::Record;

/// One message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The sender is there.
    Beat(Beat),
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
    Traces(Vec<Record>),
    /// Asks for the record of a request.
    Ask {
        /// Number of the question.
        round: u64,
        /// Request id.
        id: Box<str>,
    },
    /// Answers [`Message::Ask`].
    Told {
        /// Number of the question.
        round: u64,
        /// The record, where the peer has it.
        record: Option<Box<Record>>,
        /// The peer keeps records since this time; milliseconds since the Unix epoch.
        since: u64,
    },
    /// Asks for the lists in force at the peer if newer than this revision.
    Fetch(u64),
    /// Answers [`Message::Fetch`].
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
    Sent(Sent),
    /// The sender's streams at each engine where it has any: low half of the hash of the
    /// engine's name, and count.
    Running(Vec<(u32, u32)>),
    /// An engine died while this request ran on it.
    Suspect(Suspect),
}

/// See the protocol's definition of the fields.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Beat {
    /// Counts beats to this peer.
    pub number: u64,
    /// Last number received from this peer.
    pub echo: u64,
    /// Hash of the member set the sender acts on.
    pub view: u64,
    /// Milliseconds the sender has been at that view.
    pub settled: u64,
    /// Revision of the lists in force at the sender.
    pub revision: u64,
    /// The sender is shutting down.
    pub stopping: bool,
}

/// Wish for a loan.
#[derive(Debug, Clone, PartialEq)]
pub struct Borrow {
    /// Plan.
    pub plan: Box<str>,
    /// Number of the question.
    pub round: u64,
    /// Hash of the member set the sender acts on.
    pub view: u64,
    /// Requests wanted.
    pub requests: f64,
    /// Tokens wanted.
    pub tokens: f64,
    /// Places for running requests wanted.
    pub running: u32,
    /// Requests of this plan now running at the sender.
    pub held: u32,
}

/// A loan.
#[derive(Debug, Clone, PartialEq)]
pub struct Lend {
    /// Plan.
    pub plan: Box<str>,
    /// Number of the question.
    pub round: u64,
    /// Requests lent.
    pub requests: f64,
    /// Tokens lent.
    pub tokens: f64,
    /// Places for running requests lent.
    pub running: u32,
    /// Life in milliseconds from receipt.
    pub life: u32,
    /// If nothing was lent: milliseconds until it is worth asking again.
    pub wait: u32,
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
    pub print: Print,
    /// Request id.
    pub request: Box<str>,
}

/// What the record of a call says when another with its key arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginState {
    /// It was recorded just now: run it.
    Started,
    /// It ran; this is its answer.
    Done(Stored),
    /// It is running.
    Running,
    /// It may have run and will not be run again.
    MayHaveRun,
    /// The key belongs to another call.
    OtherBody,
    /// The key-value service does not answer; nothing was recorded for this request.
    StoreDown,
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
    Result(Stored),
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
    pub prompt: f64,
    /// Output tokens a second over the last period.
    pub output: f64,
    /// Requests a second refused for want of engines over the last period.
    pub refused: f64,
}

/// Prompts that a host has sent to an engine since it last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Low half of the hash of the engine's name.
    pub engine: u32,
    /// Prompt tokens.
    pub prompt: u32,
}

/// A request that was running on an engine when it died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub print: Print,
    /// Engine that died.
    pub engine: Box<str>,
    /// When; milliseconds since the Unix epoch.
    pub at: u64,
    /// Request id.
    pub request: Box<str>,
}
