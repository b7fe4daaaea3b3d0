//! Registered backend servers, and what this host has measured of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::changing::StageChange;
use super::departed::{Position, ServerStart};
use super::event::{BackendEntry, LoadReport, Stage};
use super::limit::Limit;
use super::model::{FailureRate, Link, Slowdown};
use super::prefix_cache::CachedBlock;
use super::pushback::Pushback;
use super::versions::Version;
use crate::core::key::HostKey;
use crate::core::time::Time;

/// Initial backoff after a backend server could not be reached; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after failures of a backend server.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Initial backoff after a backend server refused a request, about the length of a short request; doubled with each
/// further refusal.
///
/// A server that reports itself healthy and refuses nearly every request looks idle and attracts all of them, and each
/// refusal costs a retry: 1,200 refusals of two engines in 12 s exhausted the retry budget of all requests.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(30);
/// Maximum doublings of that backoff, up to two seconds.
const MAX_REFUSAL_DOUBLINGS: u32 = 6;
/// Time for which a backend server is still used after its entry went missing while the watch was interrupted, unless
/// the store has been up for as long: entries that expired while the store was unavailable are written again within
/// about two seconds of its return.
pub const MISSING_GRACE: Duration = Duration::from_millis(2200);
/// Consecutive failures from which on a backend server counts as unhealthy.
const UNHEALTHY_FAILURES: u32 = 2;

/// A backend server.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Id, unique for each start of the server.
    pub id: Box<str>,
    /// Short hash of the id, which identifies the server in messages between hosts.
    pub short_hash: u32,
    /// Service it belongs to.
    pub service: Box<str>,
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down, or its entry was removed.
    pub leaving: bool,
    /// Its stage, if it is an engine.
    pub stage: Option<Stage>,
    /// The change of its stage that was announced last.
    pub change: Option<StageChange>,
    /// Whether the platform may take it away at short notice.
    pub is_spot: bool,
    /// Version of its software; `None` if its entry names none.
    pub version: Option<Box<str>>,
    /// Key of that version, compared at each choice.
    pub version_key: Version,
    /// Time of its start by the wall clock, in milliseconds since the Unix epoch.
    pub born: u64,
    /// When an answer of it first stated that it is leaving.
    pub named_leaving: Option<Time>,
    /// Point in the store's history at which its entry was last written.
    pub listed_at: Position,
    /// When its entry was first found missing after the watch was interrupted.
    pub missing_since: Option<Time>,
    /// Whether another instance answered at its address.
    pub addr_reused: bool,
    /// This host's unfinished work there.
    pub own_work: Work,
    /// The other hosts' unfinished work there, as reported by them.
    pub peer_work: BTreeMap<HostKey, Work>,
    /// Sum of the other hosts' work.
    pub peer_total: Work,
    /// Failures since the last success.
    pub failures: u32,
    /// Refusals since the last success.
    pub refusals: u32,
    /// It gets no new work before this time.
    pub retry_at: Time,
    /// End of the backoff after a failed connection. Answers on open connections do not end it.
    unreachable_until: Time,
    /// Its speed relative to the other engines of its service.
    pub pace: Slowdown,
    /// Delay of its network link.
    pub link: Link,
    /// Recent fraction of KV caches prefilled there that could not be transferred.
    pub kv_losses: FailureRate,
    /// Recent fraction of requests that failed there.
    pub errors: FailureRate,
    /// Milliseconds that a plain request takes there; 0 before the first.
    pub latency_ms: f64,
    /// When it last sent anything.
    pub last_response: Option<Time>,
    /// Tokens that this host put into its memory, decayed with age, and the time up to which they are decayed.
    recent_fill: (f64, Time),
    /// Equivalent prompt tokens that arrived for it at this host since [`Instance::end_period`].
    pub arrived_tokens: u64,
    /// Limit on the requests that it accepts from all hosts together.
    pub limit: Limit,
    /// Time in which it wants no requests from this host.
    pub pushback: Pushback,
    /// Prefix blocks that it holds or is about to hold, by id.
    pub blocks: BTreeMap<u64, CachedBlock>,
}

/// Unfinished work at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Requests.
    pub calls: u32,
    /// Tokens per second recently put into its memory.
    pub fill_rate: u64,
    /// Prompt tokens to be prefilled.
    pub tokens: u64,
    /// Context tokens of the requests that run or are to run there.
    pub context: u64,
    /// Equivalent prompt tokens per second that arrived in the last period of the measurement of demand.
    pub prompt_rate: u64,
}

impl Work {
    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            fill_rate: self.fill_rate.saturating_add(other.fill_rate),
            tokens: self.tokens.saturating_add(other.tokens),
            context: self.context.saturating_add(other.context),
            prompt_rate: self.prompt_rate.saturating_add(other.prompt_rate),
        }
    }

    /// Returns the difference, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(other.calls),
            fill_rate: self.fill_rate.saturating_sub(other.fill_rate),
            tokens: self.tokens.saturating_sub(other.tokens),
            context: self.context.saturating_sub(other.context),
            prompt_rate: self.prompt_rate.saturating_sub(other.prompt_rate),
        }
    }
}

impl From<LoadReport> for Work {
    fn from(message: LoadReport) -> Self {
        Self {
            calls: message.calls,
            fill_rate: message.fill.into(),
            tokens: message.tokens.into(),
            prompt_rate: message.prompts.into(),
            context: message.context.into(),
        }
    }
}

impl Instance {
    /// Returns a server of which only its entry is known.
    #[must_use]
    pub fn new(entry: BackendEntry) -> Self {
        Self {
            short_hash: short_hash(&entry.id),
            id: entry.id,
            service: entry.service,
            addr: entry.addr,
            domain: entry.domain,
            slots: entry.slots.max(1),
            leaving: entry.leaving,
            stage: entry.stage,
            change: None,
            is_spot: entry.is_spot,
            version_key: Version::of(entry.version.as_deref()),
            version: entry.version,
            born: entry.started_ms,
            named_leaving: None,
            listed_at: Position::default(),
            missing_since: None,
            addr_reused: false,
            own_work: Work::default(),
            peer_work: BTreeMap::new(),
            peer_total: Work::default(),
            failures: 0,
            refusals: 0,
            retry_at: Time::default(),
            unreachable_until: Time::default(),
            pace: Slowdown::default(),
            link: Link::default(),
            kv_losses: FailureRate::default(),
            errors: FailureRate::default(),
            latency_ms: 0.0,
            last_response: None,
            recent_fill: (0.0, Time::default()),
            arrived_tokens: 0,
            limit: Limit::default(),
            pushback: Pushback::default(),
            blocks: BTreeMap::new(),
        }
    }

    /// Returns which start of the server this is.
    #[must_use]
    pub fn start(&self) -> ServerStart {
        (self.short_hash, self.born)
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        now >= self.retry_at && self.is_usable(now)
    }

    /// Whether it may serve requests, in a backoff or not.
    fn is_usable(&self, now: Time) -> bool {
        let missed = self
            .missing_since
            .is_some_and(|at| now.since(at) > MISSING_GRACE);
        let changes = self
            .change
            .is_some_and(|change| change.withholds(self.stage, now));
        !self.leaving && !self.addr_reused && !missed && !changes && self.pushback.admits(now)
    }

    /// Returns the time until a server that stays may get work again; `None` for one that is gone.
    #[must_use]
    pub fn wait(&self, now: Time) -> Option<Duration> {
        let stays = !self.leaving && !self.addr_reused && self.missing_since.is_none();
        stays.then(|| self.retry_at.since(now).max(self.pushback.remaining(now)))
    }

    /// Whether new work may go there now, its limit included.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        self.is_available(now) && self.limit.admits(now)
    }

    /// Whether a request may go there in spite of a backoff.
    #[must_use]
    pub fn admits_in_backoff(&self, now: Time) -> bool {
        self.is_usable(now) && self.limit.admits(now)
    }

    /// Returns all known unfinished work there.
    #[must_use]
    pub fn work(&self) -> Work {
        self.own_work.plus(self.peer_total)
    }

    /// Records tokens put into its memory.
    pub fn add_fill(&mut self, tokens: u64, now: Time) {
        self.update_fill_rate(now);
        self.recent_fill.0 += tokens as f64;
    }

    /// Updates the rate at which this host fills its memory.
    pub fn update_fill_rate(&mut self, now: Time) {
        let (sum, at) = self.recent_fill;
        let elapsed = now.since(at).as_secs_f64() / FILL_WINDOW.as_secs_f64();
        self.recent_fill = (sum * (-elapsed).exp(), now);
        let rate = self.recent_fill.0 / FILL_WINDOW.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a sum of tokens, never below zero"
        )]
        let units = (rate / FILL_RATE_STEP as f64) as u64;
        self.own_work.fill_rate = units * FILL_RATE_STEP;
    }

    /// Adds work that this host sends there.
    pub fn add_work(&mut self, work: Work) {
        self.own_work = self.own_work.plus(work);
        self.arrived_tokens += work.tokens;
    }

    /// Ends a period of the measurement of demand: what arrived in it becomes the rate that other hosts receive.
    pub fn end_period(&mut self, length: Duration) {
        let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
        let arrived = std::mem::take(&mut self.arrived_tokens);
        self.own_work.prompt_rate = arrived.saturating_mul(1000) / millis;
    }

    /// Records that it could not be reached or broke off a request; from `UNHEALTHY_FAILURES` on it gets no new work
    /// for the backoff.
    pub fn record_failure(&mut self, now: Time) {
        let factor = 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.errors.record(true, now);
        if self.failures >= UNHEALTHY_FAILURES {
            self.retry_at = now.after((INITIAL_BACKOFF * factor).min(MAX_BACKOFF));
        }
    }

    /// Forgets its failures, which were not its own.
    pub fn forget_failures(&mut self) {
        self.failures = 0;
        self.retry_at = Time::default();
        self.unreachable_until = Time::default();
    }

    /// Records that nothing listens or answers at its address; it gets no new work for the backoff.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(UNHEALTHY_FAILURES - 1);
        self.record_failure(now);
        self.unreachable_until = self.retry_at;
    }

    /// Whether it is in a backoff because this host could not connect to it.
    #[must_use]
    pub fn is_unreachable(&self, now: Time) -> bool {
        now < self.unreachable_until
    }

    /// Records that it refused a request; it gets no new work for the backoff.
    pub fn record_refusal(&mut self, now: Time) {
        let pause = REFUSAL_BACKOFF * 2_u32.pow(self.refusals.min(MAX_REFUSAL_DOUBLINGS));
        self.refusals += 1;
        self.errors.record(true, now);
        self.retry_at = self.retry_at.max(now.after(pause));
    }

    /// Returns the expected cost, in milliseconds, of a request that is sent there and fails.
    #[must_use]
    pub fn failure_cost(&self, now: Time) -> f64 {
        self.errors.odds(now) * FAILED_SEND_COST_MS
    }

    /// Records whether a KV cache that was prefilled there could be transferred.
    pub fn record_kv_transfer(&mut self, transferred: bool, now: Time) {
        self.kv_losses.record(!transferred, now);
    }

    /// Returns the expected cost, in milliseconds, of a prefill there that takes `millis`: a prompt whose KV cache
    /// cannot be transferred is prefilled again elsewhere.
    #[must_use]
    pub fn kv_loss_cost(&self, millis: f64, now: Time) -> f64 {
        self.kv_losses.odds(now) * (FAILED_SEND_COST_MS + millis)
    }

    /// Records that it answered.
    pub fn record_success(&mut self, now: Time) {
        self.pushback.succeeded(now);
        self.failures = 0;
        self.refusals = 0;
        self.errors.record(false, now);
    }
}

/// Time constant of the average rate at which an engine's memory is filled: long enough to cover a part of a burst and
/// a part of the time between bursts.
const FILL_WINDOW: Duration = Duration::from_secs(2);
/// Tokens per second to which that rate is rounded in messages: a hundredth of the rate that fills an engine in some
/// seconds, so that small fluctuations cause no new messages.
const FILL_RATE_STEP: u64 = 512;
/// Cost of a request that is sent and fails, in milliseconds; it uses up a retry as well.
const FAILED_SEND_COST_MS: f64 = 150.0;

/// Returns the short hash of an id.
#[must_use]
pub fn short_hash(id: &str) -> u32 {
    let mut first = [0; 4];
    first.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..4]);
    u32::from_le_bytes(first)
}
