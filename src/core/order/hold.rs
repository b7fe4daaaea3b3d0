//! Authority over a pool: a lease in the key-value service with a fencing number.
//!
//! The holder's key goes with a lease and vanishes with it. A second key without a lease keeps
//! the highest fencing number and the processes that may still have orders on their way; both are
//! written in the same transaction, so that a number never comes twice.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use serde_json::{Value, json};

use super::record::{Record, both, fence_key, key, pairs, put, record_in};
use super::suspect::{Process, Suspect};
use super::{RETRY, name};
use crate::core::effect::{Effect, log_event};
use crate::core::event::{Health, Job, Ordered, StoreResult, Watched};
use crate::core::key::PoolKey;
use crate::core::{Core, Effects, Time};
use crate::store::{Compare, Op, Range, Reply, Span, Txn, TxnReply};

/// Part of the lease's life that the holder uses.
///
/// The service counts the lease from when it granted it, the holder from before it asked; the
/// rest is for clocks that run at different speeds and for the way of an order to its engine.
const USED: f64 = 0.75;
/// Renewals in one life of a lease.
const RENEWALS: u32 = 3;
/// Time that hosts other than the preferred one leave a pool without a holder.
const TAKE_DELAY: Duration = Duration::from_secs(2);
/// Time an order's bytes may still be on their way after its sender is done with it.
///
/// The kernel drops what an order's connection could not deliver within
/// the host's `ORDER_LIFE`, whatever became of the process.
pub const FLIGHT: Duration = Duration::from_secs(3);

/// How far the authority over a pool has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// Another host has it, or none.
    #[default]
    Away,
    /// The keys are being read.
    Reading,
    /// A lease is being granted.
    Granting,
    /// The keys are being written.
    Swapping,
    /// The answer to the write was lost; the keys are read back.
    Settling,
    /// This process has it.
    Held,
    /// This process had it and takes its name out of the record.
    Leaving,
}

/// The authority over one pool, as one host sees it.
#[derive(Debug, Default)]
pub struct Hold {
    /// How far it has come.
    pub stage: Stage,
    /// A call is on its way.
    busy: bool,
    /// When the call on its way was sent.
    sent: Time,
    /// No call before this time.
    next: Time,
    lease: i64,
    /// The right to order ends here.
    pub until: Time,
    /// Fencing number of the last take-over of this process.
    pub fence: u64,
    token: Box<str>,
    /// Value of the holder's key while this process holds it.
    pub value: Bytes,
    /// Revision of the key-value service at the take-over.
    taken: i64,
    record: Record,
    modified: i64,
    /// Since when the watch shows no holder.
    vacant: Option<Time>,
    /// Host that the watch shows as the holder.
    seen: Option<Box<str>>,
    /// Processes that held the authority before and are not known dead.
    pub suspects: Vec<Suspect>,
    /// Orders of this process by fencing number whose end is not known.
    flying: BTreeMap<u64, u32>,
    /// Bytes of this process's orders may be on their way until here.
    clean: Time,
    /// The record may name this process though it no longer holds the authority.
    owed: bool,
}

impl Hold {
    /// Returns the holder's name as the watch shows it.
    #[must_use]
    pub fn host(&self) -> Option<&str> {
        self.seen.as_deref()
    }

    /// Notes that the watch is open: a pool that no key names has no holder.
    pub fn noticed(&mut self, now: Time) {
        if self.seen.is_none() && self.vacant.is_none() {
            self.vacant = Some(now);
        }
    }

    /// Notes that an order was handed to the adapter.
    pub fn flies(&mut self) {
        *self.flying.entry(self.fence).or_default() += 1;
    }

    /// Notes the end of an order; returns whether it was this pool's.
    pub fn landed(&mut self, fence: u64, result: Ordered, now: Time) -> bool {
        let Some(count) = self.flying.get_mut(&fence) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.flying.remove(&fence);
        }
        if result == Ordered::Unknown {
            self.clean = now.after(FLIGHT);
        }
        true
    }
}

/// Returns whether this process may give orders to a pool's engines now.
#[must_use]
pub fn holds(core: &Core, pool: PoolKey) -> bool {
    let hold = &core.orders.desk(pool).hold;
    hold.stage == Stage::Held && core.now < hold.until && !core.stop.begun()
}

/// Goes on with the authority over a pool.
pub(super) fn look(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let now = core.now;
    let hold = &core.orders.desk(pool).hold;
    if hold.busy || now < hold.next {
        return;
    }
    let (stage, lease) = (hold.stage, hold.lease);
    match stage {
        Stage::Away if hold.owed && hold.flying.is_empty() && now >= hold.clean => {
            core.orders.desk_mut(pool).hold.stage = Stage::Leaving;
            read(core, pool, out);
        }
        Stage::Away if may_try(core, pool) => {
            core.orders.desk_mut(pool).hold.stage = Stage::Reading;
            read(core, pool, out);
        }
        Stage::Settling if now >= hold.until => give_up(core, pool, out),
        Stage::Settling => read(core, pool, out),
        Stage::Held => {
            let job = Job::Holder(pool);
            call(core, pool, Effect::Renew { job, lease }, out);
        }
        _ => {}
    }
}

/// Returns whether this host should try to become the holder now.
fn may_try(core: &Core, pool: PoolKey) -> bool {
    let members = &core.members;
    if core.stop.begun() || !members.registered || members.store != Health::Up {
        return false;
    }
    let Some(vacant) = core.orders.desk(pool).hold.vacant else {
        return false;
    };
    let preferred = members.remote_owner(&key(&name(core, pool))).is_none();
    // The others wait differently long, so that they do not all try at the same moment.
    let hash = blake3::hash(&members.incarnation().to_le_bytes());
    let spread = TAKE_DELAY.mul_f64(f64::from(hash.as_bytes()[0]) / 256.0);
    preferred || core.now.since(vacant) >= TAKE_DELAY + spread
}

fn call(core: &mut Core, pool: PoolKey, effect: Effect, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.busy = true;
    hold.sent = now;
    out.push(effect);
}

/// Reads both keys at one revision.
fn read(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let txn = Txn {
        compare: Vec::new(),
        then: both(&name(core, pool)),
        otherwise: Vec::new(),
    };
    let job = Job::Holder(pool);
    call(core, pool, Effect::Txn { job, txn }, out);
}

/// Goes on when the key-value service has answered.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult, out: &mut Effects) {
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.busy = false;
    match (hold.stage, result) {
        (Stage::Reading, StoreResult::Txn(txn)) => found(core, pool, &txn, out),
        (Stage::Granting, StoreResult::Lease(lease)) if lease != 0 => swap(core, pool, lease, out),
        (Stage::Swapping, StoreResult::Txn(txn)) if txn.succeeded => {
            held(core, pool, txn.revision, out);
        }
        (Stage::Swapping, StoreResult::Unknown) => hold.stage = Stage::Settling,
        (Stage::Settling, StoreResult::Txn(txn)) => settle(core, pool, &txn, out),
        (Stage::Held, StoreResult::Lease(0)) => drop_hold(core, pool, "the lease lapsed", out),
        (Stage::Held, StoreResult::Lease(_)) => renewed(core, pool),
        (Stage::Held, StoreResult::Read(range)) => reread(core, pool, &range),
        (Stage::Leaving, StoreResult::Txn(txn)) => leave(core, pool, &txn, out),
        (Stage::Swapping, _) => give_up(core, pool, out),
        // A read that failed is made again; a renewal too, while the lease may last.
        (Stage::Settling | Stage::Held, _) => {}
        _ => {
            hold.stage = Stage::Away;
        }
    }
    let now = core.now;
    let hold = &mut core.orders.desk_mut(pool).hold;
    if !hold.busy && hold.next <= now {
        hold.next = now.after(RETRY);
    }
}

/// Takes in what was read before a take-over, and asks for a lease if there is no holder.
fn found(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let life = core.settings.platform.lease;
    let hold = &mut core.orders.desk_mut(pool).hold;
    if pairs(txn).any(|pair| pair.key == key(&name)) {
        hold.stage = Stage::Away;
        return;
    }
    let Some(record) = record_in(txn, &name) else {
        hold.stage = Stage::Away;
        return;
    };
    (hold.record, hold.modified) = record;
    hold.stage = Stage::Granting;
    let job = Job::Holder(pool);
    call(core, pool, Effect::Grant { job, life }, out);
}

/// Writes both keys, provided that nobody did so since they were read.
fn swap(core: &mut Core, pool: PoolKey, lease: i64, out: &mut Effects) {
    let name = name(core, pool);
    let token: u64 = core.rng.random();
    let me = Process::own(core);
    let life = core.settings.platform.lease;
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.lease = lease;
    hold.until = hold.sent.after(life.mul_f64(USED));
    hold.fence = hold.record.fence + 1;
    hold.token = format!("{}-{token:016x}", me.host).into();
    let value = json!({
        "host": &*me.host,
        "incarnation": me.incarnation,
        "fence": hold.fence,
        "token": &*hold.token,
    });
    hold.value = value.to_string().into();
    let mut processes = hold.record.processes.clone();
    processes.retain(|process| *process != me);
    processes.push(me);
    let record = Record {
        fence: hold.fence,
        token: hold.token.clone(),
        processes,
    };
    let txn = Txn {
        compare: vec![
            Compare::Absent { key: key(&name) },
            Compare::Modified {
                key: fence_key(&name),
                at: hold.modified,
            },
        ],
        then: vec![
            Op::Put {
                key: key(&name),
                value: hold.value.clone(),
                lease,
            },
            put(&name, &record),
        ],
        otherwise: both(&name),
    };
    hold.record = record;
    hold.stage = Stage::Swapping;
    let job = Job::Holder(pool);
    call(core, pool, Effect::Txn { job, txn }, out);
}

/// Reads back whether a write whose answer was lost took effect: only it has this token.
fn settle(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let hold = &core.orders.desk(pool).hold;
    let ours = pairs(txn).find(|pair| pair.key == key(&name) && pair.value == hold.value);
    if let Some(pair) = ours {
        held(core, pool, pair.modified, out);
        return;
    }
    let other = pairs(txn).any(|pair| pair.key == key(&name));
    let owed = record_in(txn, &name).is_some_and(|(record, _)| record.token == hold.token);
    if other || owed {
        give_up(core, pool, out);
    }
}

fn held(core: &mut Core, pool: PoolKey, revision: i64, out: &mut Effects) {
    let now = core.now;
    let me = Process::own(core);
    let life = core.settings.platform.lease;
    let host = core.members.name.clone();
    let desk = core.orders.desk_mut(pool);
    desk.work = super::Work::default();
    desk.heard.clear();
    let hold = &mut desk.hold;
    hold.stage = Stage::Held;
    hold.taken = revision;
    hold.next = hold.sent.after(life / RENEWALS).max(now);
    hold.vacant = None;
    hold.seen = Some(host);
    hold.owed = true;
    let others = hold.record.processes.iter().filter(|one| **one != me);
    hold.suspects = others.cloned().map(Suspect::new).collect();
    let (fence, count) = (hold.fence, hold.suspects.len());
    let text = format!(
        "holds {} under the fencing number {fence}; {count} earlier processes are not known dead",
        name(core, pool)
    );
    out.push(log_event(log::Level::Info, "pool.held", text));
}

fn renewed(core: &mut Core, pool: PoolKey) {
    let now = core.now;
    let life = core.settings.platform.lease;
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.until = hold.sent.after(life.mul_f64(USED));
    hold.next = hold.sent.after(life / RENEWALS).max(now);
}

/// Reads the record again: an earlier holder may have taken its name out.
pub(super) fn check(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    if core.orders.desk(pool).hold.busy {
        return;
    }
    let span = Span::Key(fence_key(&name(core, pool)));
    let job = Job::Holder(pool);
    call(core, pool, Effect::Read { job, span }, out);
}

fn reread(core: &mut Core, pool: PoolKey, range: &Range) {
    let hold = &mut core.orders.desk_mut(pool).hold;
    let record = range.pairs.first().and_then(|p| Record::parse(&p.value));
    let Some(record) = record.filter(|record| record.token == hold.token) else {
        return;
    };
    hold.suspects
        .retain(|suspect| record.processes.contains(&suspect.process));
    hold.record = record;
}

/// Takes the processes that are known dead out of the record.
pub(super) fn forget(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let pool_name = name(core, pool);
    let me = Process::own(core);
    let hold = &mut core.orders.desk_mut(pool).hold;
    if hold.busy {
        return;
    }
    hold.suspects.clear();
    hold.record.processes = vec![me];
    let txn = Txn {
        compare: vec![Compare::Value {
            key: key(&pool_name),
            is: hold.value.clone(),
        }],
        then: vec![put(&pool_name, &hold.record)],
        otherwise: Vec::new(),
    };
    let job = Job::Holder(pool);
    call(core, pool, Effect::Txn { job, txn }, out);
}

/// Takes this process out of the record, once its orders have landed.
fn leave(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let me = Process::own(core);
    let hold = &mut core.orders.desk_mut(pool).hold;
    let written = txn.succeeded && txn.replies.contains(&Reply::Put);
    let named = record_in(txn, &name).filter(|(record, _)| record.processes.contains(&me));
    let Some((mut record, modified)) = named.filter(|_| !written) else {
        // A failed write reads as a record without this process only if both keys were read.
        hold.owed = !written && !txn.succeeded;
        hold.stage = Stage::Away;
        return;
    };
    record.processes.retain(|process| *process != me);
    let txn = Txn {
        compare: vec![Compare::Modified {
            key: fence_key(&name),
            at: modified,
        }],
        then: vec![put(&name, &record)],
        otherwise: Vec::new(),
    };
    let job = Job::Holder(pool);
    call(core, pool, Effect::Txn { job, txn }, out);
}

fn give_up(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.stage = Stage::Away;
    hold.owed = true;
    let lease = std::mem::take(&mut hold.lease);
    if lease != 0 {
        out.push(Effect::Revoke(lease));
    }
}

fn drop_hold(core: &mut Core, pool: PoolKey, why: &str, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.stage = Stage::Away;
    hold.lease = 0;
    hold.seen = None;
    hold.vacant = Some(now);
    core.orders.desk_mut(pool).work = super::Work::default();
    let text = format!("lost {}: {why}", name(core, pool));
    out.push(log_event(log::Level::Warn, "pool.lost", text));
}

/// Takes in a change of the holder's key.
pub(super) fn watched(core: &mut Core, pool: PoolKey, pair: &Watched, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.desk_mut(pool).hold;
    // News from before the take-over is about an earlier holder.
    if hold.stage == Stage::Held && pair.modified <= hold.taken {
        return;
    }
    let value = pair.value.as_deref();
    if hold.stage == Stage::Held && value != Some(&*hold.value) {
        drop_hold(core, pool, "another holder or none", out);
    }
    let hold = &mut core.orders.desk_mut(pool).hold;
    hold.seen = value.and_then(host_of);
    hold.vacant = match hold.seen {
        Some(_) => None,
        None => hold.vacant.or(Some(now)),
    };
}

fn host_of(bytes: &[u8]) -> Option<Box<str>> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    Some(value["host"].as_str()?.into())
}

/// Gives the authority back, in one transaction with the name in the record.
pub(super) fn release(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let pool_name = name(core, pool);
    let me = Process::own(core);
    let hold = &mut core.orders.desk_mut(pool).hold;
    if hold.stage != Stage::Held {
        return;
    }
    // An order on its way may still land; then only the end of this process clears it.
    if hold.flying.is_empty() {
        hold.record.processes.retain(|process| *process != me);
    }
    let txn = Txn {
        compare: vec![Compare::Value {
            key: key(&pool_name),
            is: hold.value.clone(),
        }],
        then: vec![
            Op::Delete(Span::Key(key(&pool_name))),
            put(&pool_name, &hold.record),
        ],
        otherwise: Vec::new(),
    };
    hold.stage = Stage::Away;
    hold.lease = 0;
    let job = Job::Holder(pool);
    out.push(Effect::Txn { job, txn });
}
