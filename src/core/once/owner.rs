//! Owner side of at-most-once records: reads the shard, applies and writes operations, answers.

use std::time::Duration;

use super::record::{self, CallState, Calls};
use super::{RecordOp, SWEEP_INTERVAL, ask, remote_owner, schedule_check};
use crate::core::effect::{Effect, log_event};
use crate::core::event::{Health, Job, StoreReply, StoreResult};
use crate::core::key::{HostKey, ShardKey};
use crate::core::message::{Begin, BeginState, Done, Message};
use crate::core::{Core, Effects, Time};
use crate::store::{Compare, Op, Range, Span, Txn};
use crate::wire;

/// Time without use after which a shard is unloaded.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Age of the last confirmed read or write up to which a call is reported as running from memory.
const MAX_READ_AGE: Duration = Duration::from_secs(1);
/// Bytes of loaded shards above which idle ones are unloaded; the host's memory budget is 64 MB.
const MAX_LOADED_BYTES: usize = 8 * 1024 * 1024;

/// Operation and the peer to answer; `None` for this host.
#[derive(Debug, Clone)]
pub(super) struct QueuedOp {
    pub(super) from: Option<HostKey>,
    pub(super) op: RecordOp,
}

/// A shard that this host owns by its view.
#[derive(Debug, Default)]
pub(super) struct Shard {
    pub(super) calls: Calls,
    /// Approximate size of the value.
    pub(super) bytes: usize,
    /// Store revision of the value that `calls` is based on; 0 if the key does not exist, `None`
    /// before it is read.
    revision: Option<i64>,
    /// Number of the read or write in flight.
    ///
    /// A shard can move to another host and back while a store call is in flight. Without the
    /// number, the answer to an old write would be taken for the answer to a new read, and the
    /// shard for empty.
    job: Option<u64>,
    /// Operations in the write in flight, with their answers.
    writing: Vec<(QueuedOp, Message)>,
    /// Operations not processed yet.
    queue: Vec<QueuedOp>,
    last_used: Time,
    /// When the store last confirmed `calls`.
    last_confirmed: Time,
}

impl Shard {
    /// Returns whether no operation is queued or in flight.
    pub(super) fn idle(&self) -> bool {
        self.job.is_none() && self.queue.is_empty() && self.writing.is_empty()
    }
}

fn shard_key(shard: ShardKey) -> Box<str> {
    format!("d/once/{}", shard.0).into()
}

/// Drops shards that another host owns by the current view.
pub(super) fn drop_moved_shards(core: &mut Core, out: &mut Effects) {
    let shards = core.once.shards.keys().copied();
    let moved: Vec<ShardKey> = shards
        .filter(|&key| remote_owner(core, key).is_some())
        .collect();
    for key in moved {
        let Some(shard) = core.once.shards.remove(&key) else {
            continue;
        };
        let writing = shard.writing.into_iter().map(|(queued, _)| queued);
        for queued in writing.chain(shard.queue) {
            reply_not_owner(core, &queued, out);
        }
    }
}

/// Answers a peer's start that this host does not own the shard.
fn reply_not_owner(core: &mut Core, queued: &QueuedOp, out: &mut Effects) {
    if let (Some(_), RecordOp::Begin(begin)) = (queued.from, &queued.op) {
        let message = begun_message(begin, BeginState::NotOwner);
        send_answer(core, queued, message, out);
    }
}

/// Processes queued operations once the store is available again.
pub fn handle_health(core: &mut Core, health: Health, out: &mut Effects) {
    if health == Health::Up {
        let shards: Vec<ShardKey> = core.once.shards.keys().copied().collect();
        for shard in shards {
            process_queue(core, shard, out);
        }
    }
}

/// Handles a peer's request to record a start.
pub fn handle_begin(core: &mut Core, from: HostKey, begin: Begin, out: &mut Effects) {
    let (from, op) = (Some(from), RecordOp::Begin(begin));
    enqueue(core, QueuedOp { from, op }, out);
}

/// Handles a peer's request to record an end.
pub fn handle_done(core: &mut Core, from: HostKey, done: Done, out: &mut Effects) {
    let (from, op) = (Some(from), RecordOp::Done(done));
    enqueue(core, QueuedOp { from, op }, out);
}

/// Adds an operation to the queue of its shard.
pub(super) fn enqueue(core: &mut Core, queued: QueuedOp, out: &mut Effects) {
    let key = queued.op.shard();
    if queued.from.is_some() && remote_owner(core, key).is_some() {
        reply_not_owner(core, &queued, out);
        return;
    }
    if core.members.store == Health::Down
        && let RecordOp::Begin(begin) = &queued.op
    {
        let message = begun_message(begin, BeginState::StoreDown);
        send_answer(core, &queued, message, out);
        return;
    }
    let now = core.now;
    let shard = core.once.shards.entry(key).or_default();
    shard.last_used = now;
    let sent = shard.writing.iter().map(|(other, _)| other);
    let mut known = shard.queue.iter().chain(sent);
    if !known.any(|other| other.op == queued.op) {
        shard.queue.push(queued);
    }
    process_queue(core, key, out);
    schedule_check(core, SWEEP_INTERVAL, out);
}

/// Reads the shard if necessary, then applies the queue and writes the changes.
fn process_queue(core: &mut Core, key: ShardKey, out: &mut Effects) {
    // Ends stay queued until the store is back; calls to it meanwhile would only add load.
    if core.members.store == Health::Down {
        return;
    }
    let (now, time) = (core.wall_ms(), core.now);
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    if shard.job.is_some() || shard.queue.is_empty() {
        return;
    }
    if time.since(shard.last_confirmed) > MAX_READ_AGE && needs_reread(shard) {
        shard.revision = None;
    }
    let Some(revision) = shard.revision else {
        let span = Span::Key(shard_key(key));
        let job = new_job(core, key);
        out.push(Effect::Read { job, span });
        return;
    };
    record::expire(&mut shard.calls, now);
    for queued in std::mem::take(&mut shard.queue) {
        apply_op(core, key, queued, out);
    }
    write_shard(core, key, revision, out);
}

/// Returns whether a queued start meets a record that another request left at "started".
///
/// While this host was suspended or cut off, another host may have owned the shard and recorded
/// the end of that call. Callers would get "running" for as long as this host keeps the shard.
fn needs_reread(shard: &Shard) -> bool {
    shard.queue.iter().any(|queued| {
        let RecordOp::Begin(begin) = &queued.op else {
            return false;
        };
        let call = shard.calls.get(&queued.op.name());
        call.is_some_and(|call| call.state == CallState::Started && call.request != begin.request)
    })
}

fn new_job(core: &mut Core, key: ShardKey) -> Job {
    core.once.last_job += 1;
    let number = core.once.last_job;
    if let Some(shard) = core.once.shards.get_mut(&key) {
        shard.job = Some(number);
    }
    Job::Record(key, number)
}

/// Applies an operation to the records in memory; it is answered when the change is written.
///
/// An operation that changes nothing is answered immediately, unless the write being prepared
/// changes the same record: then it is processed again after that write.
fn apply_op(core: &mut Core, key: ShardKey, queued: QueuedOp, out: &mut Effects) {
    let (changed, message) = match &queued.op {
        RecordOp::Begin(begin) => {
            let (changed, state, first) = record::apply_begin(core, key, begin, out);
            let message = Message::Begun {
                round: begin.round,
                state,
                request: first,
            };
            (changed, message)
        }
        RecordOp::Done(done) => {
            let changed = record::apply_done(core, key, done);
            let round = done.round;
            let durable = true;
            (changed, Message::Recorded { round, durable })
        }
    };
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    let name = queued.op.name();
    let mut writing = shard.writing.iter();
    if changed {
        shard.writing.push((queued, message));
    } else if writing.any(|(other, _)| other.op.name() == name) {
        shard.queue.push(queued);
    } else {
        send_answer(core, &queued, message, out);
    }
}

fn write_shard(core: &mut Core, key: ShardKey, revision: i64, out: &mut Effects) {
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    if shard.writing.is_empty() {
        return;
    }
    let value = wire::encode_shard(&shard.calls);
    shard.bytes = value.len();
    let at = shard_key(key);
    let compare = match revision {
        0 => Compare::Absent { key: at.clone() },
        modified => Compare::Modified {
            key: at.clone(),
            revision: modified,
        },
    };
    let put = Op::Put {
        key: at,
        value: value.into(),
        lease: 0,
    };
    let job = new_job(core, key);
    let txn = Txn {
        compare: vec![compare],
        then: vec![put],
        otherwise: Vec::new(),
    };
    out.push(Effect::Txn { job, txn });
}

/// Handles the store's answer to a read or write of a shard.
pub fn reply(core: &mut Core, reply: StoreReply, out: &mut Effects) {
    let Job::Record(key, number) = reply.job else {
        return;
    };
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    if shard.job != Some(number) {
        return;
    }
    shard.job = None;
    match reply.result {
        StoreResult::Read(range) => read(core, key, &range, out),
        StoreResult::Txn(txn) if txn.succeeded => {
            shard.revision = Some(txn.revision);
            shard.last_confirmed = core.now;
            for (queued, message) in std::mem::take(&mut shard.writing) {
                send_answer(core, &queued, message, out);
            }
            process_queue(core, key, out);
        }
        // Another host wrote the shard: read it again and reapply each operation.
        StoreResult::Txn(_) => {
            requeue_writes(shard);
            process_queue(core, key, out);
        }
        StoreResult::Refused => {
            requeue_writes(shard);
            refuse_begins(core, key, &BeginState::StoreDown, out);
        }
        _ => {
            let was_write = !shard.writing.is_empty();
            requeue_writes(shard);
            let state = if was_write {
                BeginState::Unclear
            } else {
                BeginState::StoreDown
            };
            refuse_begins(core, key, &state, out);
        }
    }
}

fn read(core: &mut Core, key: ShardKey, range: &Range, out: &mut Effects) {
    let pair = range.pairs.first();
    let calls = pair.map_or(Some(Calls::new()), |pair| wire::decode_shard(&pair.value));
    let (Some(calls), Some(shard)) = (calls, core.once.shards.get_mut(&key)) else {
        let text = format!("record shard {} in the store cannot be decoded", key.0);
        out.push(log_event(log::Level::Error, "once.unreadable", text));
        refuse_begins(core, key, &BeginState::StoreDown, out);
        return;
    };
    shard.revision = Some(pair.map_or(0, |pair| pair.mod_revision));
    shard.last_confirmed = core.now;
    shard.bytes = pair.map_or(0, |pair| pair.value.len());
    shard.calls = calls;
    process_queue(core, key, out);
}

fn requeue_writes(shard: &mut Shard) {
    shard.revision = None;
    let writing = std::mem::take(&mut shard.writing);
    let queue = std::mem::take(&mut shard.queue);
    let before = writing.into_iter().map(|(queued, _)| queued);
    shard.queue = before.chain(queue).collect();
}

/// Refuses queued starts after a failed store call; ends stay queued.
fn refuse_begins(core: &mut Core, key: ShardKey, state: &BeginState, out: &mut Effects) {
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    let queue = std::mem::take(&mut shard.queue).into_iter();
    let (begins, dones): (Vec<QueuedOp>, Vec<QueuedOp>) =
        queue.partition(|queued| matches!(queued.op, RecordOp::Begin(_)));
    shard.queue = dones;
    for queued in begins {
        if let RecordOp::Begin(begin) = &queued.op {
            let message = begun_message(begin, state.clone());
            send_answer(core, &queued, message, out);
        }
    }
}

fn begun_message(begin: &Begin, state: BeginState) -> Message {
    Message::Begun {
        round: begin.round,
        state,
        request: begin.request.clone(),
    }
}

fn send_answer(core: &mut Core, queued: &QueuedOp, message: Message, out: &mut Effects) {
    match (queued.from, message) {
        (Some(to), message) => out.push(Effect::Send { to, message }),
        (
            None,
            Message::Begun {
                round,
                state,
                request,
            },
        ) => ask::handle_begun(core, round, state, request, out),
        (None, Message::Recorded { round, durable }) => {
            ask::handle_recorded(core, round, durable, out);
        }
        (None, _) => {}
    }
}

/// Unloads idle shards: those past the idle timeout, then the least recently used above the limit.
pub(super) fn sweep(core: &mut Core) {
    let now = core.now;
    let shards = &mut core.once.shards;
    shards.retain(|_, shard| !shard.idle() || now.since(shard.last_used) < IDLE_TIMEOUT);
    let mut loaded: usize = shards.values().map(|shard| shard.bytes).sum();
    while loaded > MAX_LOADED_BYTES {
        let idle = shards.iter().filter(|(_, shard)| shard.idle());
        let Some(key) = idle
            .min_by_key(|(_, shard)| shard.last_used)
            .map(|(key, _)| *key)
        else {
            break;
        };
        loaded -= shards.remove(&key).map_or(0, |shard| shard.bytes);
    }
}
