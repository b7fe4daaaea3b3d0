//! Requests being relayed and their attempts.

use super::super::key::{AttemptKey, BackendKey, CallKey, HostKey};
use super::super::time::Time;
use super::catalog::Route;
use super::choose::Choice;
use super::customers::Identity;
use super::event::{Prompt, Task};
use super::instance;
use super::lateness::Timing;
use super::standby::Standby;
use super::versions::take_up::Lookup;
use super::versions::{StreamKey, Version};

/// A request being relayed.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts that are independent of each other"
)]
pub struct Call {
    /// Id of the attempt, as the caller sent it.
    pub id: Box<str>,
    /// Its route.
    pub route: Route,
    /// Its path, which a later configuration may lead elsewhere.
    pub path: Box<str>,
    /// Version of the configuration at its arrival.
    pub config: u64,
    /// Service that it is routed to.
    pub service: Box<str>,
    /// Whether that has engines, by the configuration at its arrival.
    pub engines: bool,
    /// On whose behalf it runs.
    pub identity: Identity,
    /// Prompt and output.
    pub prompt: Option<Prompt>,
    /// Bytes of its body.
    pub bytes: usize,
    /// Fingerprint of method, host, target, body and customer.
    pub fingerprint: u64,
    /// When it arrived.
    pub arrived: Time,
    /// Time by which it must have its final answer.
    pub deadline: Time,
    /// The current attempt.
    pub attempt: Option<AttemptKey>,
    /// The silent attempt that may still go on in place of the current one.
    pub standby: Option<Standby>,
    /// The server at which a silent attempt was given up.
    pub given_up: Option<BackendKey>,
    /// Number of backend servers that may have run it.
    pub runs: u32,
    /// Those of them before another host forwarded it here.
    pub runs_before: u32,
    /// Requests that reached backend servers, apart from the first accepted prefill.
    pub arrivals: u32,
    /// Prefills that were requested.
    pub prefills: u32,
    /// Backend servers at which an attempt failed.
    pub tried: Vec<BackendKey>,
    /// The choice of the next server, made when the current attempt was silent.
    pub next: Option<Choice>,
    /// Number of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Whether any part of the answer was forwarded.
    pub delivered: bool,
    /// Whether it is part of its customer's usage.
    pub counted: bool,
    /// KV cache that was prefilled for it and not fetched yet.
    pub cache: Option<KvCache>,
    /// Whether it can no longer meet its latency target and yields to requests that can.
    pub is_late: bool,
    /// When the last event was forwarded.
    pub last_forwarded: Option<Time>,
    /// Times of its stages.
    pub timing: Timing,
    /// Whether its prefill was recalled.
    pub recalled: bool,
    /// Whether the retry budget has the run reserved that follows its prefill.
    pub reserved: bool,
    /// Backend servers to which no connection was made.
    pub unreachable: u32,
    /// Hosts that it was forwarded to.
    pub hosts_tried: Vec<HostKey>,
    /// Whether another host forwarded it.
    pub is_forwarded: bool,
    /// The stream that it begins or takes up.
    pub stream: StreamKey,
    /// Version at which its stream began, once that is known.
    pub version: Option<Version>,
    /// The query of other hosts for that version, while it is under way.
    pub lookup: Option<Lookup>,
}

/// A KV cache at an engine.
#[derive(Debug, Clone)]
pub struct KvCache {
    /// The engine.
    pub engine: BackendKey,
    /// The engine's id.
    pub instance: Box<str>,
    /// Address that it listens on.
    pub addr: std::net::SocketAddr,
    /// Handle of the KV cache.
    pub handle: Box<str>,
}

/// One attempt at a backend server.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request.
    pub call: CallKey,
    /// The backend server; none for a request forwarded to a host.
    pub backend: BackendKey,
    /// The host that it was forwarded to.
    pub host: Option<HostKey>,
    /// What it was asked to do.
    pub task: Task,
    /// Version of the server's software.
    pub version: Version,
    /// When it was sent.
    pub sent_at: Time,
    /// Work that it adds at the backend server.
    pub work: instance::Work,
    /// Expected milliseconds until the answer begins.
    pub expected_ms: f64,
    /// Prefill work expected there before its first token.
    pub prefill: PrefillEstimate,
    /// When the first event of the answer arrived.
    pub began: Option<Time>,
    /// When a part of the answer last arrived; the time of sending before the first.
    pub last_received: Time,
    /// When it is next checked for silence.
    pub check_at: Time,
    /// Whether its answer is being read.
    pub delivery: Delivery,
}

/// Whether an answer is read from its server, by what its caller takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// What arrives is read.
    Open,
    /// The caller does not read, so nothing is read from the server.
    Blocked,
    /// The caller reads again; nothing has arrived since.
    Resumed,
}

/// Expected prefill work at an engine before a request's first token.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillEstimate {
    /// Tokens of the prompt that the engine prefills.
    pub uncached: u64,
    /// Tokens before those that the engine has cached or copies from another engine.
    pub cached: u64,
    /// Work queued ahead of it, in tokens of a short prompt.
    pub queued: u64,
    /// Milliseconds before the engine can begin: copies from another engine, and the waits of a
    /// handover.
    pub delay_ms: f64,
    /// The part of these that the transfer of a handover takes over links at nominal speed.
    pub transfer_ms: f64,
    /// Milliseconds of a handover apart from the transfer.
    pub overhead_ms: f64,
}
