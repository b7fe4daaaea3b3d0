//! At-most-once calls: each is recorded as started before it is sent to a backend server.
//!
//! Records are grouped into shards; each shard is one value in the store. A shard is written by
//! the host that owns it by rendezvous hashing. Every write is a compare-and-swap on the value
//! last read, so a host that owns a shard only by an outdated view cannot overwrite the records
//! of another. Operations that arrive during a write go out together with the next one, so the
//! number of writes does not grow with traffic.
//!
//! Only the host that serves a request may declare that it did not run: only that host can
//! determine whether it ever sent the request. An owner never removes a start record on its own.

mod ask;
mod owner;
mod path;
mod record;

pub use ask::{
    begin, finish, give_up, handle_begun, handle_recorded, peer_down, timer, view_changed,
};
pub use owner::{handle_begin, handle_done, handle_health, reply};
pub use path::is_canonical;
pub use record::{Call, CallName, CallState, Calls, RETENTION};

use std::collections::BTreeMap;
use std::time::Duration;

use super::effect::Effect;
use super::event::Timer;
use super::key::{HostKey, RequestKey, ShardKey};
use super::message::{Begin, Done, Message};
use super::{Core, Effects, Time};

/// Number of shards; more shards make each value, and so each write, smaller.
const SHARD_COUNT: u16 = 256;
/// Round numbers reserved per millisecond of process start time; a host submits far fewer
/// operations in a millisecond.
const ROUNDS_PER_MS: u64 = 1 << 20;
/// Time between two sweeps of unused shards.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Operation that a host requests from the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RecordOp {
    Begin(Begin),
    Done(Done),
}

impl RecordOp {
    fn shard(&self) -> ShardKey {
        let (customer, key) = match self {
            Self::Begin(begin) => (&begin.customer, &begin.key),
            Self::Done(done) => (&done.customer, &done.key),
        };
        shard_of(customer, key)
    }

    fn name(&self) -> CallName {
        match self {
            Self::Begin(begin) => (begin.customer.clone(), begin.key.clone()),
            Self::Done(done) => (done.customer.clone(), done.key.clone()),
        }
    }

    fn message(&self) -> Message {
        match self {
            Self::Begin(begin) => Message::Begin(begin.clone()),
            Self::Done(done) => Message::Done(done.clone()),
        }
    }
}

/// Operation of this host that its owner has not confirmed yet.
#[derive(Debug, Clone)]
struct PendingOp {
    request: Option<RequestKey>,
    op: RecordOp,
    since: Time,
    /// When the operation was last sent; `sends` counts how often.
    last_sent: Time,
    sends: u32,
    /// Owner it was last sent to; `None` for this host.
    owner: Option<HostKey>,
}

/// Records of at-most-once calls.
#[derive(Debug)]
pub struct Once {
    shards: BTreeMap<ShardKey, owner::Shard>,
    pending: BTreeMap<u64, PendingOp>,
    last_round: u64,
    last_job: u64,
    /// When the next check of pending operations and unused shards is due.
    next_check: Option<Time>,
}

impl Once {
    /// Creates the state of a host without pending operations.
    ///
    /// `incarnation` is the wall clock at the start of this process, in milliseconds. Round numbers
    /// start from it: an answer to an operation of an earlier process with the same name must not
    /// match one of this process, or a call would run without a record.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            shards: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_round: incarnation.wrapping_mul(ROUNDS_PER_MS),
            last_job: 0,
            next_check: None,
        }
    }

    /// Returns whether no operation is pending, here or for another host.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.pending.is_empty() && self.shards.values().all(owner::Shard::idle)
    }

    /// Returns the number of shards in memory.
    #[must_use]
    pub fn loaded_shards(&self) -> usize {
        self.shards.len()
    }
}

/// Returns the shard that a call's record belongs to.
pub(super) fn shard_of(customer: &str, key: &str) -> ShardKey {
    let hash = blake3::hash(format!("{customer}\n{key}").as_bytes());
    let bytes = hash.as_bytes();
    ShardKey(u16::from_le_bytes([bytes[0], bytes[1]]) % SHARD_COUNT)
}

/// Returns the peer that owns a shard; `None` for this host.
fn remote_owner(core: &Core, shard: ShardKey) -> Option<HostKey> {
    core.members.remote_owner(&format!("once/{}", shard.0))
}

/// Schedules a check after `span`, unless an earlier one is scheduled.
fn schedule_check(core: &mut Core, span: Duration, out: &mut Effects) {
    let at = core.now.after(span);
    if core.once.next_check.is_none_or(|due| at < due) {
        core.once.next_check = Some(at);
        let timer = Timer::Once;
        out.push(Effect::SetTimer { at, timer });
    }
}
