//! Gossip messages between hosts, as data.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Changes, Stage, StreamMessage};
use crate::core::relay::changing::ChangeNumber;
use crate::core::relay::duty::usage::ledger::UsageReport;

/// One gossip message.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Gossip {
    /// Name of the sender.
    pub host: Box<str>,
    /// Address at which the sender takes gossip and forwarded requests, while its registration does not name it.
    pub addr: Option<SocketAddr>,
    /// Wall clock at the start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the message; later messages have higher numbers.
    pub sequence: u64,
    /// Unfinished work, by backend server.
    pub loads: Vec<LoadReport>,
    /// Prefix blocks sent to engines since the last message.
    pub blocks: Vec<BlockReport>,
    /// Crashes of backend servers, with the fingerprints of the requests that they ran.
    pub crashes: Vec<CrashReport>,
    /// Crashes under requests with a part of their prompts, and whole answers that clear such a part.
    pub parts: Vec<PartReport>,
    /// Whose load the message reports, and what the receiver does with it.
    pub kind: GossipKind,
    /// Era of the store that the following fields refer to; 0 if the sender has no era yet.
    pub era: u64,
    /// Latest probe of the store.
    pub probe: Option<ProbeReport>,
    /// Changes of the store, from a host that replicates them to others.
    pub replicated: Option<ReplicatedChanges>,
    /// Rate limits that backend servers name, or stopped naming lately.
    pub limits: Vec<LimitReport>,
    /// Engines that are about to change their stage.
    pub changes: Vec<ChangeReport>,
    /// Backend servers that left lately.
    pub departures: Vec<DepartureReport>,
    /// Whether the sender reaches no backend server, or has closed in a planned stop.
    pub cut_off: bool,
    /// Time for which the store has answered without a break, as far as the sender has observed.
    pub uptime: Option<UptimeReport>,
    /// Short hashes of the failure domains whose load totals include; empty from a host of an older build.
    pub included_domains: Vec<u32>,
    /// Engine time that customers used at services that are short.
    pub engine_times: Vec<EngineTimeReport>,
}

/// Whose load a message reports, and what the receiver does with it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum GossipKind {
    /// The sender's own load, sent to each host of its failure domain.
    #[default]
    Own,
    /// No load: queries the receiver for totals.
    Hello,
    /// The load of the sender and of the hosts that report to it; the receiver answers with totals.
    Report,
    /// No load: the sender no longer reports to the receiver.
    Farewell,
    /// All load that the sender has reports of, sent to the hosts that report to it.
    Totals(Vec<IncludedReport>),
    /// Sum over the named failure domain, sent to another one.
    Domain(Box<str>),
    /// The same, forwarded within the receiver's failure domain.
    Forwarded(Box<str>),
    /// No load: versions of streams, queries for them and answers.
    Streams(StreamMessage),
    /// No load: requests that began at the sender, or at hosts that no longer send theirs.
    Usage(Vec<UsageReport>),
}

/// A report that totals include; its sender subtracts its own load from them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct IncludedReport {
    /// Short hash of the reporting process.
    pub process: u32,
    /// Sequence number of the report.
    pub sequence: u64,
}

/// The store's newest revision, as a probe returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeReport {
    /// The revision.
    pub revision: i64,
    /// Time since the probe was sent.
    pub age: Duration,
}

/// A backend server's rate limit, as a host last received it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Requests per second from all hosts together; `None` if the limit ended.
    pub rate: Option<f64>,
    /// Time since this was last known to hold.
    pub age: Duration,
}

/// A backend server that left, as a host learned from the store or from the server's own answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DepartureReport {
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Wall clock at its start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Revision of the store as of which it had left; `None` if an answer of it states that it is leaving.
    pub revision: Option<i64>,
}

/// A time span in which the store answered without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UptimeReport {
    /// Its length.
    pub length: Duration,
    /// Time since its end.
    pub age: Duration,
}

/// Engine time that customers used at a service that is short, in a window that ends with the message.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineTimeReport {
    /// Short hash of the service.
    pub service: u32,
    /// Time since a request was last refused or placed late.
    pub overload_age: Duration,
    /// Customers with the most.
    pub customers: Vec<CustomerTime>,
    /// All others.
    pub rest: RestTime,
}

/// Engine time of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CustomerTime {
    /// Hash of the customer's name; 0 for all callers without a customer.
    pub customer: u64,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Microseconds of the requests that were sent to engines.
    pub used_us: u32,
    /// Microseconds of the requests that were refused, as estimated.
    pub unmet_us: u32,
}

/// Engine time of several customers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RestTime {
    /// Their number.
    pub customers: u32,
    /// The least urgent of their ranks.
    pub rank: u8,
    /// Microseconds of the requests that were sent to engines.
    pub used_us: u32,
    /// Microseconds of the requests that were refused, as estimated.
    pub unmet_us: u32,
}

/// Unfinished work of one host at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Requests.
    pub calls: u32,
    /// Tokens per second that the host lately added to its KV cache.
    pub fill: u32,
    /// Prompt tokens to be prefilled.
    pub tokens: u32,
    /// Equivalent prompt tokens per second that arrived in the last period; 0 from a host of an older build.
    pub prompts: u32,
    /// Context tokens of the requests, a multiple of [`CONTEXT_UNIT`]; 0 if none are known.
    pub context: u32,
}

/// Unit of context tokens in messages: reports have an entry for each backend server and are sent
/// many times a second, and the gaps of streams do not depend on a few hundred tokens.
pub const CONTEXT_UNIT: u32 = 256;

/// A prefix block that an engine is prefilling or holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockReport {
    /// Id of the block.
    pub block: u64,
    /// Its tokens.
    pub tokens: u32,
    /// Short hash of the engine's id.
    pub instance: u32,
}

/// A crash of a backend server while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// First half of the request's fingerprint.
    pub fingerprint: u64,
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Wall clock at its start, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// How often it had broken the request off before, and turned out to be alive.
    pub number: u32,
}

/// A crash of a backend server under requests with a part of their prompts, or a whole answer to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PartReport {
    /// Id of the part.
    pub part: u64,
    /// Its position in the prompt, from 0.
    pub depth: u32,
    /// Short hash of the customer whose request it was; 0 if none.
    pub customer: u32,
    /// The crashed process: short hash of its id, and wall clock at its start in milliseconds. `None` for a whole
    /// answer.
    pub crashed: Option<(u32, u64)>,
    /// Whether the answers to all requests with it that broke off there had begun.
    pub began: bool,
    /// Time since the crash, or since the request was sent that was answered.
    pub age: Duration,
}

/// What hosts pass on to each other beside their loads.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Updates {
    /// Prefix blocks sent to engines.
    pub blocks: Vec<BlockReport>,
    /// Crashes under requests.
    pub crashes: Vec<CrashReport>,
    /// Crashes under parts of prompts, and whole answers.
    pub parts: Vec<PartReport>,
}

impl Updates {
    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty() && self.crashes.is_empty() && self.parts.is_empty()
    }
}

/// One change of the store, as hosts replicate it to each other.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoreChange {
    /// Revision that the change created.
    pub revision: i64,
    /// Full key; only the adapter reads it.
    pub key: Box<str>,
    /// Value as stored; `None` for a removal.
    pub value: Option<Box<[u8]>>,
    /// The decoded change.
    pub changes: Changes,
}

/// Consecutive changes of the store, as hosts replicate them to each other.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReplicatedChanges {
    /// Revision before the first of them.
    pub after: i64,
    /// Last revision covered: these are all changes after `after` up to it.
    pub revision: i64,
    /// The changes, in order.
    pub events: Vec<StoreChange>,
}

/// An engine that is about to change its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeReport {
    /// Short hash of its id.
    pub instance: u32,
    /// The stage that it is to have.
    pub to: Stage,
    /// Number of the announcement.
    pub number: ChangeNumber,
    /// Time for which it gets no new work.
    pub remaining: Duration,
}
