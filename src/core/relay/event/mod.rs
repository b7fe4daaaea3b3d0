//! What happens to relayed requests and what is done about them, as data.

mod gossip;

use std::net::SocketAddr;
use std::time::Duration;

use super::catalog::Catalog;
use crate::core::effect::Refusal;
use crate::core::event::{Break, Print};
use crate::core::key::{AttemptKey, CallKey};
use crate::core::time::Time;
use crate::error::Ran;
use crate::settings::Settings;
pub use gossip::{
    BlockReport, CrashReport, Gossip, GossipKind, IncludedReport, LimitReport, LoadReport,
    ProbeReport, ReplicatedChanges, StoreChange, UptimeReport,
};

/// One event about relayed requests.
#[derive(Debug, Clone)]
pub enum RelayEvent {
    /// A caller sent a whole request.
    Arrived(Box<Arrival>),
    /// The caller closed its connection.
    CallerLeft(CallKey),
    /// An engine has prefilled the prompt and holds its KV cache.
    Prefilled {
        /// The attempt.
        attempt: AttemptKey,
        /// Name by which the KV cache is taken.
        handle: Box<str>,
    },
    /// The head of a backend server's own answer arrived.
    Limited {
        /// The attempt.
        attempt: AttemptKey,
        /// Limit that it names.
        limit: NamedLimit,
    },
    /// A whole answer, or one longer than is held back, arrived.
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
        /// Number of the event in the answer; 0 where it has none.
        number: u64,
    },
    /// The streamed answer ended as it should.
    StreamCompleted(AttemptKey),
    /// The attempt ended without a whole answer.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the backend server ran the request.
        ran: Ran,
        /// How it ended.
        end: Break,
        /// What the adapter saw.
        detail: Box<str>,
    },
    /// An answer of the store named its era.
    StoreEra(u64),
    /// The store answered a call, or will not.
    StoreAnswered {
        /// Number of the call.
        number: u64,
        /// What it answered.
        answer: StoreAnswer,
    },
    /// An engine told of its state.
    EngineReported {
        /// The engine's id.
        instance: Box<str>,
        /// Its state; `None` where it did not answer.
        report: Option<EngineReport>,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine's id.
        instance: Box<str>,
        /// Fencing number of the order.
        fence: u64,
        /// What came of it.
        result: OrderResult,
    },
    /// The settings were read again.
    Reloaded(Box<Settings>),
    /// Another host sent its state.
    Gossiped(Box<Gossip>),
}

/// Limit that an answer names: requests a second that its backend server takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    None,
    /// Requests a second; finite and not negative.
    Rate(f64),
    /// It names one that is no such number.
    Unreadable,
}

/// What came of a call by which this host follows the store.
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    /// A page of the keys.
    Page {
        /// Revision of the store as of this page.
        revision: i64,
        /// The keys.
        changes: Changes,
        /// Last key, where more follow.
        after: Option<Box<str>>,
    },
    /// What changed.
    Changes {
        /// Revision from which to go on.
        revision: i64,
        /// The changes; none where the wait ended without any.
        changes: Changes,
        /// The same one by one, to be passed on.
        events: Vec<StoreChange>,
    },
    /// Newest revision of the store.
    Newest(i64),
    /// The changes asked for are no longer known.
    Compacted,
    /// There is no answer.
    Failed {
        /// Whether the store turned the call away, or was not reached.
        refused: bool,
    },
}

/// What the store told.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Changes {
    /// Whether all keys were read: what is not named here is not there.
    pub is_snapshot: bool,
    /// Configuration, where it changed.
    pub catalog: Option<Catalog>,
    /// Backend servers that were written.
    pub instances: Vec<BackendEntry>,
    /// Ids of backend servers whose entries were removed.
    pub removed: Vec<Box<str>>,
    /// Keys of this program that changed.
    pub keys: Vec<KeyChange>,
}

impl Changes {
    /// Adds what came later.
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
    /// Value; `None` when the key is gone.
    pub value: Option<Box<[u8]>>,
    /// Revision of the last write.
    pub revision: i64,
}

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendEntry {
    /// Id of this start of it.
    pub id: Box<str>,
    /// Service it belongs to.
    pub service: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Part of a request that it does; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Wall clock at its start, in milliseconds since the Unix epoch; 0 where it did not say.
    pub started_ms: u64,
}

/// Part of a model request that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It prefills prompts for others.
    Prefill,
    /// It generates, and prefills where nobody did.
    Decode,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the attempt, as the caller sent it.
    pub id: Box<str>,
    /// Host name that it asked for.
    pub host: Box<str>,
    /// Path, without the query.
    pub path: Box<str>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Prompt and output, where it is for a model.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has of an earlier attempt.
    pub resume: Option<u64>,
    /// Bytes of the body.
    pub bytes: usize,
    /// Fingerprint of path and body.
    pub fingerprint: Print,
}

/// What a model request asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u64,
    /// Most tokens to generate.
    pub max_output: u64,
    /// The caller's own estimate of the tokens to generate.
    pub output_hint: Option<u64>,
    /// Parts of the prompt in order; all but the last may be shared with other requests.
    pub blocks: Vec<PrefixBlock>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixBlock {
    /// What identifies it: equal parts have equal numbers.
    pub id: u64,
    /// Tokens.
    pub tokens: u64,
}

/// One effect for relayed requests.
#[derive(Debug, Clone)]
pub enum RelayEffect {
    /// The request just arrived has this key.
    Opened(CallKey),
    /// Send the request to a backend server.
    Send(Box<Outgoing>),
    /// Close the attempt's connection and forget it.
    Cancel(AttemptKey),
    /// Pass the event in hand on to the caller.
    ForwardEvent(CallKey),
    /// Pass the answer in hand on to the caller.
    ForwardAnswer(CallKey),
    /// The caller has the whole answer.
    Finish(CallKey),
    /// The caller's answer has begun and cannot be completed: it must look cut.
    AbortAnswer(CallKey),
    /// Answer that there will be no whole answer.
    Refuse {
        /// The request.
        call: CallKey,
        /// Why.
        refusal: Refusal,
    },
    /// Give back a KV cache that will not be used.
    FreeCache {
        /// Id of the engine that holds it.
        instance: Box<str>,
        /// Where it listens.
        addr: SocketAddr,
        /// Name of the KV cache.
        handle: Box<str>,
    },
    /// Ask an engine for its state.
    FetchReport {
        /// Its id.
        instance: Box<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Have an engine change its stage.
    Order(StageOrder),
    /// The hosts share this secret: messages are proved and checked with it.
    Secret([u8; 32]),
    /// Call the store.
    CallStore {
        /// Number of the call.
        number: u64,
        /// What is asked.
        ask: StoreCall,
    },
    /// Give a call of the store up.
    CancelStoreCall(u64),
    /// Send this to other hosts.
    Publish {
        /// Where they listen.
        to: Vec<SocketAddr>,
        /// What is sent.
        message: Box<Gossip>,
    },
}

/// A call by which this host follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read a page of all keys.
    Page {
        /// Last key of the page before.
        after: Option<Box<str>>,
    },
    /// Wait for changes.
    Watch {
        /// Revision up to which they are known.
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
    /// Run it whole.
    Whole,
    /// Prefill its prompt and keep the KV cache.
    Prefill,
    /// Generate from the KV cache of this name at this engine.
    Decode {
        /// Where the engine that prefilled listens.
        from: SocketAddr,
        /// Name of the KV cache.
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
    /// Id of the backend server; another one at its address must not take the request.
    pub instance: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What to do.
    pub task: Task,
    /// Time that is left.
    pub remaining: Duration,
    /// Urgency at the engine, 0 to 9; lower goes first.
    pub urgency: Option<u8>,
    /// Number of the last event that the caller has.
    pub resume: Option<u64>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Idle connections to one backend server that may be kept.
    pub max_idle: usize,
    /// Where the engine listens from which it first copies what that one holds of the prompt.
    pub fetch_from: Option<SocketAddr>,
}

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine's id.
    pub instance: Box<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Stage that it is to have.
    pub stage: Stage,
    /// This host's name.
    pub holder: Box<str>,
    /// Fencing number.
    pub fence: u64,
    /// Orders that the engine had accepted when this was decided.
    pub expected: u64,
    /// The right to order ends here; checked again just before the write.
    pub until: Time,
    /// Era of the store to which the right belongs; checked likewise.
    pub era: u64,
}

/// An engine's state by its own report, some hundred milliseconds old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Stage that it has.
    pub stage: Stage,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carries it out, or has that stage.
    Done,
    /// The engine is busy, or its state is another than expected.
    Conflict,
    /// The engine knows a higher fencing number.
    Fenced,
    /// The engine surely did not take it.
    Unsent,
    /// The engine may have taken it, or may take it later.
    Unknown,
}
