//! Calls that may not repeat: each is recorded as started before a back end sees it.
//!
//! Records are grouped into shards, one value in the key-value service each. A shard is written
//! by the host that it falls to by rendezvous hashing; every write is a compare-and-swap on the
//! value last read, so that a host which wrongly believes to own a shard cannot write over
//! another's records. Whatever is waiting when a write returns goes out with the next one, so
//! that the number of writes does not grow with the traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use super::effect::{Effect, Refusal, log_event};
use super::event::{Health, Job, Print, StoreReply, StoreResult, Stored, Timer};
use super::key::{HostKey, RequestKey, ShardKey};
use super::message::{Begin, BeginState, Done, DoneState, Message};
use super::request::{self, Phase};
use super::{Core, Effects, Time, trace};
use crate::error::{Kind, Ran};
use crate::store::{Compare, Op, Span, Txn};
use crate::wire;

/// Number of shards. More shards make each value, and so each write, smaller.
const SHARDS: u16 = 256;
/// Time a record is kept.
pub const KEEP: Duration = Duration::from_hours(24);
/// Largest encoded shard; a value of the key-value service holds a megabyte.
const SHARD_LIMIT: usize = 900 * 1024;
/// Largest answer kept with a record; a longer one is answered once and then only named.
const RESULT_LIMIT: usize = 16 * 1024;
/// Time a caller waits for the record of its call's start or end.
const RECORD_TIME: Duration = Duration::from_secs(2);
/// Time between two looks at questions that wait for an owner.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Media type of the note that stands for an answer too long to keep.
const TOO_LONG: &str = "application/problem+json";

/// One recorded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Fingerprint of the call.
    pub print: Print,
    /// Request that started it.
    pub request: Box<str>,
    /// How far it is.
    pub state: CallState,
    /// When it was recorded; milliseconds since the Unix epoch.
    pub at: u64,
}

/// How far a recorded call is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallState {
    /// It was about to be sent.
    Started,
    /// It ended with this answer.
    Done(Stored),
    /// It may have run.
    MayHaveRun,
}

/// Customer and idempotency key.
pub type CallName = (Box<str>, Box<str>);

/// Recorded calls by name.
pub type Calls = BTreeMap<CallName, Call>;

/// What a host asks of a shard's owner.
#[derive(Debug, Clone)]
enum Wish {
    Begin(Begin),
    Done(Done),
}

/// A wish and where its answer goes; `None` for this host.
#[derive(Debug, Clone)]
struct Queued {
    from: Option<HostKey>,
    wish: Wish,
}

/// A shard that this host owns by its view.
#[derive(Debug, Default)]
struct Shard {
    calls: Calls,
    /// Revision of the value in the key-value service that `calls` grew from; `None` before it
    /// was read.
    read: Option<i64>,
    /// Whether a read or write is on its way.
    busy: bool,
    /// Wishes in the write on its way, with their answers.
    writing: Vec<(Queued, Message)>,
    /// Wishes not looked at yet.
    queue: Vec<Queued>,
}

/// A question of this host to an owner.
#[derive(Debug, Clone)]
struct Asked {
    request: Option<RequestKey>,
    wish: Wish,
    since: Time,
    /// When the question was last put.
    put: Time,
    to: Option<HostKey>,
}

/// Records of calls that may not repeat.
#[derive(Debug, Default)]
pub struct Once {
    shards: BTreeMap<ShardKey, Shard>,
    asked: BTreeMap<u64, Asked>,
    rounds: u64,
    looking: bool,
}

impl Once {
    /// Returns how many shards are held in memory.
    #[must_use]
    pub fn loaded(&self) -> usize {
        self.shards.len()
    }

    /// Returns whether no record is on its way.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.asked.is_empty()
            && self
                .shards
                .values()
                .all(|shard| shard.queue.is_empty() && shard.writing.is_empty())
    }
}

pub(super) fn shard_of(customer: &str, key: &str) -> ShardKey {
    let hash = blake3::hash(format!("{customer}\n{key}").as_bytes());
    let bytes = hash.as_bytes();
    ShardKey(u16::from_le_bytes([bytes[0], bytes[1]]) % SHARDS)
}

fn shard_key(shard: ShardKey) -> Box<str> {
    format!("d/once/{}", shard.0).into()
}

fn home(core: &Core, shard: ShardKey) -> Option<HostKey> {
    core.members.home(&format!("once/{}", shard.0))
}

impl Wish {
    fn shard(&self) -> ShardKey {
        match self {
            Self::Begin(begin) => shard_of(&begin.customer, &begin.key),
            Self::Done(done) => shard_of(&done.customer, &done.key),
        }
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

/// Asks for the record that a call starts.
pub fn begin(core: &mut Core, key: RequestKey, out: &mut Effects) {
    core.once.rounds += 1;
    let request = &core.requests.arena[key];
    let wish = Wish::Begin(Begin {
        round: core.once.rounds,
        customer: request.record.customer.clone(),
        key: request.idem.clone().unwrap_or_default(),
        print: request.print,
        request: request.record.id.clone(),
    });
    put(core, Some(key), wish, out);
}

/// Asks for the record of a call's answer; the caller is answered once it is kept.
pub fn finish(core: &mut Core, key: RequestKey, result: Stored, out: &mut Effects) {
    let kept = if result.body.len() > RESULT_LIMIT {
        too_long(&result)
    } else {
        result.clone()
    };
    core.requests.arena[key].result = Some(result);
    ended(core, Some(key), DoneState::Result(kept), out);
}

fn too_long(result: &Stored) -> Stored {
    let text = "{\"title\":\"The call ran; its answer was too long to be kept for a repeat.\"}";
    Stored {
        status: result.status,
        media: TOO_LONG.into(),
        body: text.as_bytes().into(),
    }
}

/// Asks for the record that a call was given up, then refuses it.
pub fn give_up(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    let outcome = match refusal.ran {
        Ran::No => DoneState::NotRun,
        Ran::Yes | Ran::Unknown => DoneState::MayHaveRun,
    };
    ended(core, Some(key), outcome, out);
    // The final answer does not wait for the record: whatever becomes of it, this host will not
    // run the call again, and a record left at "started" only refuses repeats.
    request::refuse(core, key, refusal, out);
}

fn ended(core: &mut Core, key: Option<RequestKey>, outcome: DoneState, out: &mut Effects) {
    let Some(request) = key.and_then(|key| core.requests.arena.get(key)) else {
        return;
    };
    core.once.rounds += 1;
    let wish = Wish::Done(Done {
        round: core.once.rounds,
        customer: request.record.customer.clone(),
        key: request.idem.clone().unwrap_or_default(),
        request: request.record.id.clone(),
        outcome,
    });
    put(core, key, wish, out);
}

fn put(core: &mut Core, request: Option<RequestKey>, wish: Wish, out: &mut Effects) {
    let round = match &wish {
        Wish::Begin(begin) => begin.round,
        Wish::Done(done) => done.round,
    };
    let asked = Asked {
        request,
        wish,
        since: core.now,
        put: core.now,
        to: None,
    };
    core.once.asked.insert(round, asked);
    ask(core, round, out);
    if !core.once.looking {
        core.once.looking = true;
        out.push(Effect::Wake {
            at: core.now.after(LOOK_EVERY),
            timer: Timer::Once,
        });
    }
}

/// Puts a question to the shard's owner by the present view.
fn ask(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(asked) = core.once.asked.get(&round) else {
        return;
    };
    let wish = asked.wish.clone();
    let to = home(core, wish.shard());
    if let Some(asked) = core.once.asked.get_mut(&round) {
        asked.to = to;
        asked.put = core.now;
    }
    match to {
        Some(to) => out.push(Effect::Send {
            to,
            message: wish.message(),
        }),
        None => take(core, Queued { from: None, wish }, out),
    }
}

/// Puts questions again that have waited, and gives up those that waited too long.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.once.looking = false;
    let rounds: Vec<u64> = core.once.asked.keys().copied().collect();
    for round in rounds {
        let asked = &core.once.asked[&round];
        if core.now.since(asked.since) >= RECORD_TIME {
            expired(core, round, out);
        } else if core.now.since(asked.put) >= LOOK_EVERY * 4 {
            ask(core, round, out);
        }
    }
    if !core.once.asked.is_empty() {
        core.once.looking = true;
        out.push(Effect::Wake {
            at: core.now.after(LOOK_EVERY),
            timer: Timer::Once,
        });
    }
}

/// The owner did not answer in time.
fn expired(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(asked) = core.once.asked.get_mut(&round) else {
        return;
    };
    let waiting = asked.request.take();
    match &asked.wish {
        Wish::Begin(_) => {
            core.once.asked.remove(&round);
            if let Some(key) = waiting {
                let detail = "the start of the call could not be recorded";
                request::refuse(core, key, Refusal::new(Kind::StoreDown, detail), out);
            }
        }
        // The caller gets its answer; the record is put again until it is kept.
        Wish::Done(_) => {
            asked.since = core.now;
            if let Some(key) = waiting {
                saved(core, key, out);
            }
        }
    }
}

/// A peer is gone: questions to it are put again to whom its shards fall.
pub fn peer_down(core: &mut Core, host: HostKey, out: &mut Effects) {
    put_again(core, |asked| asked.to == Some(host), out);
}

/// The view changed: shards that fall to another host are given up, and questions are put again.
pub fn moved(core: &mut Core, out: &mut Effects) {
    let gone: Vec<ShardKey> = core
        .once
        .shards
        .keys()
        .copied()
        .filter(|&shard| home(core, shard).is_some())
        .collect();
    for shard in gone {
        let Some(shard) = core.once.shards.remove(&shard) else {
            continue;
        };
        let waiting = shard.writing.into_iter().map(|(queued, _)| queued);
        for queued in waiting.chain(shard.queue) {
            refer(core, &queued, out);
        }
    }
    put_again(core, |asked| asked.to.is_none(), out);
}

/// Tells a peer that this host does not own the shard.
fn refer(core: &mut Core, queued: &Queued, out: &mut Effects) {
    if let (Some(_), Wish::Begin(begin)) = (queued.from, &queued.wish) {
        let message = begun_message(begin, BeginState::NotOwner, &begin.request);
        answer(core, queued, message, out);
    }
}

fn put_again(core: &mut Core, which: impl Fn(&Asked) -> bool, out: &mut Effects) {
    let rounds: Vec<u64> = core
        .once
        .asked
        .iter()
        .filter(|(_, asked)| which(asked))
        .map(|(round, _)| *round)
        .collect();
    for round in rounds {
        ask(core, round, out);
    }
}

/// When the key-value service is back, reads what waits.
pub fn health(core: &mut Core, health: Health, out: &mut Effects) {
    if health == Health::Up {
        let shards: Vec<ShardKey> = core.once.shards.keys().copied().collect();
        for shard in shards {
            push(core, shard, out);
        }
    }
}

/// A peer asks for the record of a start.
pub fn asked(core: &mut Core, from: HostKey, begin: Begin, out: &mut Effects) {
    let wish = Wish::Begin(begin);
    let from = Some(from);
    take(core, Queued { from, wish }, out);
}

/// A peer asks for the record of an end.
pub fn done_asked(core: &mut Core, from: HostKey, done: Done, out: &mut Effects) {
    let wish = Wish::Done(done);
    let from = Some(from);
    take(core, Queued { from, wish }, out);
}

/// Takes a wish into the queue of its shard.
fn take(core: &mut Core, queued: Queued, out: &mut Effects) {
    let shard = queued.wish.shard();
    if queued.from.is_some() && home(core, shard).is_some() {
        refer(core, &queued, out);
        return;
    }
    if core.members.store == Health::Down
        && let Wish::Begin(begin) = &queued.wish
    {
        let message = begun_message(begin, BeginState::StoreDown, &begin.request);
        answer(core, &queued, message, out);
        return;
    }
    let entry = core.once.shards.entry(shard).or_default();
    let same = |other: &Queued| other.wish.message() == queued.wish.message();
    if entry
        .queue
        .iter()
        .chain(entry.writing.iter().map(|(other, _)| other))
        .any(same)
    {
        return;
    }
    entry.queue.push(queued);
    push(core, shard, out);
}

/// Reads the shard if need be, then writes what the queue changes.
fn push(core: &mut Core, key: ShardKey, out: &mut Effects) {
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    if shard.busy || shard.queue.is_empty() {
        return;
    }
    let job = Job::Record(key);
    let Some(read) = shard.read else {
        shard.busy = true;
        out.push(Effect::Read {
            job,
            span: Span::Key(shard_key(key)),
        });
        return;
    };
    let queue = std::mem::take(&mut shard.queue);
    let mut answers = Vec::new();
    for queued in queue {
        let (changed, message) = look(core, key, &queued.wish);
        if changed {
            if let Some(shard) = core.once.shards.get_mut(&key) {
                shard.writing.push((queued, message));
            }
        } else {
            answers.push((queued, message));
        }
    }
    // What changed nothing is answered at once, but for what this very write is about: that is
    // answered as if it came just after it.
    for (queued, message) in answers {
        let name = queued.wish.name();
        let shard = core.once.shards.entry(key).or_default();
        if shard
            .writing
            .iter()
            .any(|(other, _)| other.wish.name() == name)
        {
            shard.queue.push(queued);
        } else {
            answer(core, &queued, message, out);
        }
    }
    write(core, key, read, out);
}

fn write(core: &mut Core, key: ShardKey, read: i64, out: &mut Effects) {
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    if shard.writing.is_empty() {
        return;
    }
    shard.busy = true;
    let at = shard_key(key);
    let compare = match read {
        0 => Compare::Absent { key: at.clone() },
        modified => Compare::Modified {
            key: at.clone(),
            at: modified,
        },
    };
    out.push(Effect::Txn {
        job: Job::Record(key),
        txn: Txn {
            compare: vec![compare],
            then: vec![Op::Put {
                key: at,
                value: wire::encode_shard(&shard.calls).into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Applies a wish to the shard's records; returns whether it changed them, and the answer.
fn look(core: &mut Core, key: ShardKey, wish: &Wish) -> (bool, Message) {
    match wish {
        Wish::Begin(begin) => {
            let (changed, state, request) = look_begin(core, key, begin);
            (changed, begun_message(begin, state, &request))
        }
        Wish::Done(done) => {
            let changed = look_done(core, key, done);
            let message = Message::Recorded {
                round: done.round,
                durable: true,
            };
            (changed, message)
        }
    }
}

fn look_begin(core: &mut Core, key: ShardKey, begin: &Begin) -> (bool, BeginState, Box<str>) {
    let now = core.wall();
    let name = (begin.customer.clone(), begin.key.clone());
    let own = begin.request.clone();
    let known = core
        .once
        .shards
        .get(&key)
        .and_then(|shard| shard.calls.get(&name));
    if let Some(call) = known {
        let state = match &call.state {
            _ if call.print != begin.print => BeginState::OtherBody,
            CallState::Started if call.request == begin.request => BeginState::Started,
            CallState::Started if alive(core, &call.request) => BeginState::Running,
            CallState::Started | CallState::MayHaveRun => BeginState::MayHaveRun,
            CallState::Done(result) => BeginState::Done(result.clone()),
        };
        return (false, state, call.request.clone());
    }
    let shard = core.once.shards.entry(key).or_default();
    let keep = u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX);
    if size(&shard.calls) > SHARD_LIMIT {
        shard.calls.retain(|_, call| call.at + keep > now);
    }
    if size(&shard.calls) > SHARD_LIMIT {
        return (false, BeginState::Full, own);
    }
    let call = Call {
        print: begin.print,
        request: own.clone(),
        state: CallState::Started,
        at: now,
    };
    shard.calls.insert(name, call);
    (true, BeginState::Started, own)
}

/// Returns about how many bytes the records take when written.
fn size(calls: &Calls) -> usize {
    let one = |((customer, key), call): (&CallName, &Call)| {
        let body = match &call.state {
            CallState::Done(result) => result.body.len() + result.media.len(),
            CallState::Started | CallState::MayHaveRun => 0,
        };
        customer.len() + key.len() + call.request.len() + body + 64
    };
    calls.iter().map(one).sum()
}

fn look_done(core: &mut Core, key: ShardKey, done: &Done) -> bool {
    let name = (done.customer.clone(), done.key.clone());
    let shard = core.once.shards.entry(key).or_default();
    let Some(call) = shard.calls.get_mut(&name) else {
        return false;
    };
    if call.request != done.request {
        return false;
    }
    let state = match &done.outcome {
        DoneState::Result(result) => CallState::Done(result.clone()),
        DoneState::MayHaveRun => CallState::MayHaveRun,
        DoneState::NotRun => {
            shard.calls.remove(&name);
            return true;
        }
    };
    let changed = call.state != state;
    call.state = state;
    changed
}

/// Returns whether the host that serves a request, in the same life, is among the hosts.
fn alive(core: &Core, request: &str) -> bool {
    let tag = request.split('-').next().unwrap_or_default();
    let own = trace::tag(&core.members.name, core.members.incarnation());
    let mut peers = core.members.arena.values();
    *own == *tag || peers.any(|peer| *trace::tag(&peer.name, peer.incarnation) == *tag)
}

/// Goes on with a shard that was read or written.
pub fn reply(core: &mut Core, reply: StoreReply, out: &mut Effects) {
    let Job::Record(key) = reply.job else {
        return;
    };
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    shard.busy = false;
    match reply.result {
        StoreResult::Read(range) => {
            let pair = range.pairs.first();
            let calls = pair.map_or(Some(Calls::new()), |pair| wire::decode_shard(&pair.value));
            let Some(calls) = calls else {
                let text = format!("record shard {} cannot be read", key.0);
                out.push(log_event(log::Level::Error, "once.unreadable", text));
                refuse_waiting(core, key, out);
                return;
            };
            shard.read = Some(pair.map_or(0, |pair| pair.modified));
            shard.calls = calls;
            push(core, key, out);
        }
        StoreResult::Txn(txn) if txn.succeeded => {
            shard.read = Some(txn.revision);
            for (queued, message) in std::mem::take(&mut shard.writing) {
                answer(core, &queued, message, out);
            }
            push(core, key, out);
        }
        // Another host wrote the shard, or it is unknown whether this write took effect: read it
        // anew and look at each wish again. A start that did take effect is known again by its
        // request.
        StoreResult::Txn(_) => again(core, key, out),
        _ => {
            again_later(shard);
            refuse_waiting(core, key, out);
        }
    }
}

fn again(core: &mut Core, key: ShardKey, out: &mut Effects) {
    if let Some(shard) = core.once.shards.get_mut(&key) {
        again_later(shard);
    }
    push(core, key, out);
}

fn again_later(shard: &mut Shard) {
    shard.read = None;
    let writing = std::mem::take(&mut shard.writing);
    let queue = std::mem::take(&mut shard.queue);
    let before = writing.into_iter().map(|(queued, _)| queued);
    shard.queue = before.chain(queue).collect();
}

/// The key-value service did not answer: callers are told at once, ends are kept for later.
///
/// A start whose write may yet take effect is withdrawn by the host that asked for it, should it
/// ever be told that the call is recorded.
fn refuse_waiting(core: &mut Core, key: ShardKey, out: &mut Effects) {
    let Some(shard) = core.once.shards.get_mut(&key) else {
        return;
    };
    let queue = std::mem::take(&mut shard.queue);
    let (begins, dones): (Vec<Queued>, Vec<Queued>) = queue
        .into_iter()
        .partition(|queued| matches!(queued.wish, Wish::Begin(_)));
    shard.queue = dones;
    for queued in begins {
        if let Wish::Begin(begin) = &queued.wish {
            let message = begun_message(begin, BeginState::StoreDown, &begin.request);
            answer(core, &queued, message, out);
        }
    }
}

fn begun_message(begin: &Begin, state: BeginState, request: &str) -> Message {
    Message::Begun {
        round: begin.round,
        state,
        request: request.into(),
    }
}

fn answer(core: &mut Core, queued: &Queued, message: Message, out: &mut Effects) {
    match (queued.from, message) {
        (Some(to), message) => out.push(Effect::Send { to, message }),
        (
            None,
            Message::Begun {
                round,
                state,
                request,
            },
        ) => begun(core, round, state, request, out),
        (None, Message::Recorded { round, durable }) => recorded(core, round, durable, out),
        (None, _) => {}
    }
}

/// The owner answered about a start.
pub fn begun(core: &mut Core, round: u64, state: BeginState, first: Box<str>, out: &mut Effects) {
    if state == BeginState::NotOwner {
        // Put again at the next look, when this view or the peer's has caught up.
        return;
    }
    let asked = core.once.asked.remove(&round);
    let waiting = asked.and_then(|asked| asked.request);
    let running = waiting
        .and_then(|key| core.requests.arena.get(key))
        .is_some_and(|request| request.phase == Phase::Starting);
    let Some(key) = waiting.filter(|_| running) else {
        return;
    };
    let refusal = match state {
        BeginState::Started => {
            core.requests.arena[key].phase = Phase::Running;
            request::note(core, key, "recorded as started");
            request::dispatch(core, key, out);
            return;
        }
        BeginState::Done(result) => {
            request::note(
                core,
                key,
                format!("ran before as {first}; its answer is repeated"),
            );
            request::reply(core, key, result, Some(first), out);
            return;
        }
        BeginState::Running => Refusal::new(Kind::StillRunning, format!("it runs as {first}")),
        BeginState::MayHaveRun => {
            Refusal::new(Kind::MayHaveRun, format!("{first} may have run it"))
        }
        BeginState::OtherBody => {
            Refusal::new(Kind::KeyReused, format!("the key belongs to {first}"))
        }
        BeginState::StoreDown | BeginState::NotOwner => {
            Refusal::new(Kind::StoreDown, "the key-value service does not answer")
        }
        BeginState::Full => Refusal::new(Kind::RecordsFull, "the shard of this key is full"),
    };
    request::refuse(core, key, refusal, out);
}

/// The owner answered about an end.
pub fn recorded(core: &mut Core, round: u64, durable: bool, out: &mut Effects) {
    if !durable {
        return;
    }
    let asked = core.once.asked.remove(&round);
    if let Some(key) = asked.and_then(|asked| asked.request) {
        saved(core, key, out);
    }
    super::stop::look(core, out);
}

/// Gives the caller the answer of its call.
fn saved(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let result = core
        .requests
        .arena
        .get_mut(key)
        .and_then(|request| request.result.take());
    if let Some(result) = result {
        request::reply(core, key, result, None, out);
    }
}
