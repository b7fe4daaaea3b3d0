//! Calls that may not repeat: each is recorded as started before a back end sees it.
//!
//! Records are grouped into shards, one value in the key-value service each. A shard is written
//! by the host that it falls to by rendezvous hashing; every write is a compare-and-swap on the
//! value last read, so that a host which wrongly believes to own a shard cannot write over
//! another's records. Whatever is waiting when a write returns goes out with the next one, so
//! that the number of writes does not grow with the traffic.
//!
//! Only the host that serves a request may say that it did not run: it alone knows whether it
//! ever sent it. An owner never takes a record back by itself.

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

/// Number of shards. More shards make each value, and so each write, smaller.
const SHARD_COUNT: u16 = 256;
/// Rounds kept free for one millisecond of a host's starts; far more than it can ask in one.
const ROUNDS_PER_MS: u64 = 1 << 20;
/// Time between two looks at shards that nobody uses.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// What a host asks of a shard's owner.
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

/// A question of this host to an owner.
#[derive(Debug, Clone)]
struct PendingOp {
    request: Option<RequestKey>,
    op: RecordOp,
    since: Time,
    /// When the question was last put, and how often.
    last_sent: Time,
    sends: u32,
    owner: Option<HostKey>,
}

/// Records of calls that may not repeat.
#[derive(Debug)]
pub struct Once {
    shards: BTreeMap<ShardKey, owner::Shard>,
    pending: BTreeMap<u64, PendingOp>,
    last_round: u64,
    last_job: u64,
    /// When the next look is due.
    next_check: Option<Time>,
}

impl Once {
    /// Creates the state of a host that has asked nothing yet.
    ///
    /// `incarnation` is the wall clock at the start of this process, in milliseconds. Rounds start
    /// from it: the answer to a question of a former process under the same name must not be taken
    /// for the answer to one of this process, or a call would run without its record.
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

    /// Returns whether no record is on its way.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.pending.is_empty() && self.shards.values().all(owner::Shard::idle)
    }

    /// Returns how many shards are held in memory.
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

fn remote_owner(core: &Core, shard: ShardKey) -> Option<HostKey> {
    core.members.remote_owner(&format!("once/{}", shard.0))
}

/// Asks for a look after `span`, unless one comes sooner.
fn schedule_check(core: &mut Core, span: Duration, out: &mut Effects) {
    let at = core.now.after(span);
    if core.once.next_check.is_none_or(|look| at < look) {
        core.once.next_check = Some(at);
        let timer = Timer::Once;
        out.push(Effect::SetTimer { at, timer });
    }
}
