//! What hosts tell each other, as data.

use std::time::Duration;

use super::Changes;

/// What a host tells the others of its work.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Gossip {
    /// Name of the host.
    pub host: Box<str>,
    /// Wall clock at the start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the message; later messages have higher numbers.
    pub sequence: u64,
    /// Its unfinished work, by backend server.
    pub loads: Vec<LoadReport>,
    /// Prompt parts that it sent to engines since the last message.
    pub blocks: Vec<BlockReport>,
    /// Fingerprints of requests that backend servers died of.
    pub crashes: Vec<CrashReport>,
    /// Whose work it tells of, and what is expected of the listener.
    pub kind: GossipKind,
    /// Era of the store to which what follows belongs; 0 where the sender knows none.
    pub era: u64,
    /// What the store last answered to a probe of that host.
    pub probe: Option<ProbeReport>,
    /// Changes of the store, from a host that follows it for others.
    pub replicated: Option<ReplicatedChanges>,
    /// Limits that backend servers name, or ended to name lately.
    pub limits: Vec<LimitReport>,
    /// For how long the store has answered, as far as the sender knows.
    pub uptime: Option<UptimeReport>,
}

/// Whose work a message tells of, and what is expected of the listener.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum GossipKind {
    /// The sender's own work, told to each host of its failure domain.
    #[default]
    Own,
    /// No work: asks the listener for totals.
    Hello,
    /// The work of the sender and of those that report to it; it is answered with totals.
    Report,
    /// No work: the sender no longer reports to the listener.
    Farewell,
    /// All the work that the sender knows of, told to those that report to it.
    Totals(Vec<IncludedReport>),
    /// Sum over this failure domain, told to another one.
    Domain(Box<str>),
    /// The same, passed on within the listener's failure domain.
    Forwarded(Box<str>),
}

/// A report that is part of totals: its sender takes its own work out of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct IncludedReport {
    /// Short hash of the reporting process.
    pub process: u32,
    /// Number of the report.
    pub sequence: u64,
}

/// The store's newest revision, as a probe showed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeReport {
    /// The revision.
    pub revision: i64,
    /// Time since the probe was sent.
    pub age: Duration,
}

/// What a host knows of a backend server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Requests a second from all hosts together; `None` where the limit ended.
    pub rate: Option<f64>,
    /// Time since that was known to hold.
    pub age: Duration,
}

/// A span of time in which the store answered without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UptimeReport {
    /// Its length.
    pub length: Duration,
    /// Time since its end.
    pub age: Duration,
}

/// Unfinished work of one host at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Short hash of the backend server's id.
    pub instance: u32,
    /// Requests.
    pub calls: u32,
    /// Tokens that the host lately had put into its memory, a second.
    pub fill: u32,
    /// Prompt tokens to be prefilled.
    pub tokens: u32,
}

/// A prompt part that an engine reads or has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockReport {
    /// The part.
    pub block: u64,
    /// Its tokens.
    pub tokens: u32,
    /// Short hash of the engine's id.
    pub instance: u32,
}

/// A backend server that died while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// First half of the request's fingerprint.
    pub fingerprint: u64,
    /// Short hash of the backend server's id.
    pub instance: u32,
}

/// One change of the store, as hosts pass it on to each other.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoreChange {
    /// Revision that it made.
    pub revision: i64,
    /// Whole key; only the adapter reads it.
    pub key: Box<str>,
    /// Value as the store holds it; `None` for a removal.
    pub value: Option<Box<[u8]>>,
    /// What it means.
    pub changes: Changes,
}

/// Changes of the store without a gap, as hosts pass them on to each other.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReplicatedChanges {
    /// Revision before the first of them.
    pub after: i64,
    /// Revision up to which these are all changes.
    pub revision: i64,
    /// The changes, in order.
    pub events: Vec<StoreChange>,
}
