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

use super::record::{Record, fence_key, holder_key, put_record, read_both, read_pairs, record_in};
use super::suspect::{Process, Suspect};
use super::{RETRY_DELAY, name};
use crate::core::effect::{Effect, log_event};
use crate::core::event::{Health, Job, OrderResult, StoreResult, WatchedKey};
use crate::core::key::PoolKey;
use crate::core::{Core, Effects, Time};
use crate::store::{Compare, Op, Range, Reply, Span, Txn, TxnReply};

/// Part of the lease's life that the holder uses.
///
/// The service counts the lease from when it granted it, the holder from before it asked; the
/// rest is for clocks that run at different speeds and for the way of an order to its engine.
const USABLE_FRACTION: f64 = 0.75;
/// Renewals in one life of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Time that hosts other than the preferred one leave a pool without a holder.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Time an order's bytes may still be on their way after its sender is done with it.
///
/// The kernel drops what an order's connection could not deliver within
/// the host's `ORDER_LIFE`, whatever became of the process.
pub const MAX_FLIGHT_TIME: Duration = Duration::from_secs(3);

/// How far the authority over a pool has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// Another host has it, or none.
    #[default]
    NotHeld,
    /// The keys are being read.
    Reading,
    /// A lease is being granted.
    Granting,
    /// The keys are being written.
    Swapping,
    /// The answer to the write was lost; the keys are read back.
    ReadingBack,
    /// This process has it.
    Held,
    /// This process had it and takes its name out of the record.
    Leaving,
}

/// The authority over one pool, as one host sees it.
#[derive(Debug, Default)]
pub struct Authority {
    /// How far it has come.
    pub stage: Stage,
    /// A call is on its way.
    call_pending: bool,
    /// When the call on its way was sent.
    call_sent: Time,
    /// No call before this time.
    next_call: Time,
    lease: i64,
    /// The right to order ends here.
    pub valid_until: Time,
    /// Fencing number of the last take-over of this process.
    pub fence: u64,
    token: Box<str>,
    /// Value of the holder's key while this process holds it.
    pub value: Bytes,
    /// Revision of the key-value service at the take-over.
    taken_revision: i64,
    record: Record,
    record_revision: i64,
    /// Since when the watch shows no holder.
    vacant_since: Option<Time>,
    /// Host that the watch shows as the holder.
    watched_holder: Option<Box<str>>,
    /// Processes that held the authority before and are not known dead.
    pub suspects: Vec<Suspect>,
    /// Orders of this process by fencing number whose end is not known.
    in_flight: BTreeMap<u64, u32>,
    /// Bytes of this process's orders may be on their way until here.
    in_flight_until: Time,
    /// The record may name this process though it no longer holds the authority.
    maybe_recorded: bool,
}

impl Authority {
    /// Returns the holder's name as the watch shows it.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.watched_holder.as_deref()
    }

    /// Notes that the watch is open: a pool that no key names has no holder.
    pub fn watch_opened(&mut self, now: Time) {
        if self.watched_holder.is_none() && self.vacant_since.is_none() {
            self.vacant_since = Some(now);
        }
    }

    /// Notes that an order was handed to the adapter.
    pub fn order_sent(&mut self) {
        *self.in_flight.entry(self.fence).or_default() += 1;
    }

    /// Notes the end of an order; returns whether it was this pool's.
    pub fn order_ended(&mut self, fence: u64, result: OrderResult, now: Time) -> bool {
        let Some(count) = self.in_flight.get_mut(&fence) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(&fence);
        }
        if result == OrderResult::Unknown {
            self.in_flight_until = now.after(MAX_FLIGHT_TIME);
        }
        true
    }
}

/// Returns whether this process may give orders to a pool's engines now.
#[must_use]
pub fn holds(core: &Core, pool: PoolKey) -> bool {
    let hold = &core.orders.pool(pool).authority;
    hold.stage == Stage::Held && core.now < hold.valid_until && !core.stop.is_stopping()
}

/// Goes on with the authority over a pool.
pub(super) fn advance(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let now = core.now;
    let hold = &core.orders.pool(pool).authority;
    if hold.call_pending || now < hold.next_call {
        return;
    }
    let (stage, lease) = (hold.stage, hold.lease);
    match stage {
        Stage::NotHeld
            if hold.maybe_recorded && hold.in_flight.is_empty() && now >= hold.in_flight_until =>
        {
            core.orders.pool_mut(pool).authority.stage = Stage::Leaving;
            read(core, pool, out);
        }
        Stage::NotHeld if may_try(core, pool) => {
            core.orders.pool_mut(pool).authority.stage = Stage::Reading;
            read(core, pool, out);
        }
        Stage::ReadingBack if now >= hold.valid_until => give_up(core, pool, out),
        Stage::ReadingBack => read(core, pool, out),
        Stage::Held => {
            let job = Job::Authority(pool);
            start_call(core, pool, Effect::RenewLease { job, lease }, out);
        }
        _ => {}
    }
}

/// Returns whether this host should try to become the holder now.
fn may_try(core: &Core, pool: PoolKey) -> bool {
    let members = &core.members;
    if core.stop.is_stopping() || !members.registered || members.store != Health::Up {
        return false;
    }
    let Some(vacant) = core.orders.pool(pool).authority.vacant_since else {
        return false;
    };
    let preferred = members
        .remote_owner(&holder_key(&name(core, pool)))
        .is_none();
    // The others wait differently long, so that they do not all try at the same moment.
    let hash = blake3::hash(&members.incarnation().to_le_bytes());
    let spread = TAKEOVER_DELAY.mul_f64(f64::from(hash.as_bytes()[0]) / 256.0);
    preferred || core.now.since(vacant) >= TAKEOVER_DELAY + spread
}

fn start_call(core: &mut Core, pool: PoolKey, effect: Effect, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.call_pending = true;
    hold.call_sent = now;
    out.push(effect);
}

/// Reads both keys at one revision.
fn read(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let txn = Txn {
        compare: Vec::new(),
        then: read_both(&name(core, pool)),
        otherwise: Vec::new(),
    };
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

/// Goes on when the key-value service has answered.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult, out: &mut Effects) {
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.call_pending = false;
    match (hold.stage, result) {
        (Stage::Reading, StoreResult::Txn(txn)) => keys_read(core, pool, &txn, out),
        (Stage::Granting, StoreResult::Lease(lease)) if lease != 0 => {
            write_keys(core, pool, lease, out)
        }
        (Stage::Swapping, StoreResult::Txn(txn)) if txn.succeeded => {
            taken_over(core, pool, txn.revision, out);
        }
        (Stage::Swapping, StoreResult::Unknown) => hold.stage = Stage::ReadingBack,
        (Stage::ReadingBack, StoreResult::Txn(txn)) => resolve_write(core, pool, &txn, out),
        (Stage::Held, StoreResult::Lease(0)) => lose_authority(core, pool, "the lease lapsed", out),
        (Stage::Held, StoreResult::Lease(_)) => renewed(core, pool),
        (Stage::Held, StoreResult::Read(range)) => record_reread(core, pool, &range),
        (Stage::Leaving, StoreResult::Txn(txn)) => remove_self(core, pool, &txn, out),
        (Stage::Swapping, _) => give_up(core, pool, out),
        // A read that failed is made again; a renewal too, while the lease may last.
        (Stage::ReadingBack | Stage::Held, _) => {}
        _ => {
            hold.stage = Stage::NotHeld;
        }
    }
    let now = core.now;
    let hold = &mut core.orders.pool_mut(pool).authority;
    if !hold.call_pending && hold.next_call <= now {
        hold.next_call = now.after(RETRY_DELAY);
    }
}

/// Takes in what was read before a take-over, and asks for a lease if there is no holder.
fn keys_read(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let life = core.settings.platform.lease;
    let hold = &mut core.orders.pool_mut(pool).authority;
    if read_pairs(txn).any(|pair| pair.key == holder_key(&name)) {
        hold.stage = Stage::NotHeld;
        return;
    }
    let Some(record) = record_in(txn, &name) else {
        hold.stage = Stage::NotHeld;
        return;
    };
    (hold.record, hold.record_revision) = record;
    hold.stage = Stage::Granting;
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::GrantLease { job, ttl: life }, out);
}

/// Writes both keys, provided that nobody did so since they were read.
fn write_keys(core: &mut Core, pool: PoolKey, lease: i64, out: &mut Effects) {
    let name = name(core, pool);
    let token: u64 = core.rng.random();
    let me = Process::own(core);
    let life = core.settings.platform.lease;
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.lease = lease;
    hold.valid_until = hold.call_sent.after(life.mul_f64(USABLE_FRACTION));
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
            Compare::Absent {
                key: holder_key(&name),
            },
            Compare::Modified {
                key: fence_key(&name),
                at: hold.record_revision,
            },
        ],
        then: vec![
            Op::Put {
                key: holder_key(&name),
                value: hold.value.clone(),
                lease,
            },
            put_record(&name, &record),
        ],
        otherwise: read_both(&name),
    };
    hold.record = record;
    hold.stage = Stage::Swapping;
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

/// Reads back whether a write whose answer was lost took effect: only it has this token.
fn resolve_write(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let hold = &core.orders.pool(pool).authority;
    let ours =
        read_pairs(txn).find(|pair| pair.key == holder_key(&name) && pair.value == hold.value);
    if let Some(pair) = ours {
        taken_over(core, pool, pair.modified, out);
        return;
    }
    let other = read_pairs(txn).any(|pair| pair.key == holder_key(&name));
    let owed = record_in(txn, &name).is_some_and(|(record, _)| record.token == hold.token);
    if other || owed {
        give_up(core, pool, out);
    }
}

fn taken_over(core: &mut Core, pool: PoolKey, revision: i64, out: &mut Effects) {
    let now = core.now;
    let me = Process::own(core);
    let life = core.settings.platform.lease;
    let host = core.members.name.clone();
    let desk = core.orders.pool_mut(pool);
    desk.holder = super::HolderState::default();
    desk.confirms.clear();
    let hold = &mut desk.authority;
    hold.stage = Stage::Held;
    hold.taken_revision = revision;
    hold.next_call = hold.call_sent.after(life / RENEWALS_PER_LEASE).max(now);
    hold.vacant_since = None;
    hold.watched_holder = Some(host);
    hold.maybe_recorded = true;
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
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.valid_until = hold.call_sent.after(life.mul_f64(USABLE_FRACTION));
    hold.next_call = hold.call_sent.after(life / RENEWALS_PER_LEASE).max(now);
}

/// Reads the record again: an earlier holder may have taken its name out.
pub(super) fn reread_record(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    if core.orders.pool(pool).authority.call_pending {
        return;
    }
    let span = Span::Key(fence_key(&name(core, pool)));
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Read { job, span }, out);
}

fn record_reread(core: &mut Core, pool: PoolKey, range: &Range) {
    let hold = &mut core.orders.pool_mut(pool).authority;
    let record = range.pairs.first().and_then(|p| Record::parse(&p.value));
    let Some(record) = record.filter(|record| record.token == hold.token) else {
        return;
    };
    hold.suspects
        .retain(|suspect| record.processes.contains(&suspect.process));
    hold.record = record;
}

/// Takes the processes that are known dead out of the record.
pub(super) fn remove_dead(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let pool_name = name(core, pool);
    let me = Process::own(core);
    let hold = &mut core.orders.pool_mut(pool).authority;
    if hold.call_pending {
        return;
    }
    hold.suspects.clear();
    hold.record.processes = vec![me];
    let txn = Txn {
        compare: vec![Compare::Value {
            key: holder_key(&pool_name),
            is: hold.value.clone(),
        }],
        then: vec![put_record(&pool_name, &hold.record)],
        otherwise: Vec::new(),
    };
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

/// Takes this process out of the record, once its orders have landed.
fn remove_self(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let me = Process::own(core);
    let hold = &mut core.orders.pool_mut(pool).authority;
    let written = txn.succeeded && txn.replies.contains(&Reply::Put);
    let named = record_in(txn, &name).filter(|(record, _)| record.processes.contains(&me));
    let Some((mut record, modified)) = named.filter(|_| !written) else {
        // A failed write reads as a record without this process only if both keys were read.
        hold.maybe_recorded = !written && !txn.succeeded;
        hold.stage = Stage::NotHeld;
        return;
    };
    record.processes.retain(|process| *process != me);
    let txn = Txn {
        compare: vec![Compare::Modified {
            key: fence_key(&name),
            at: modified,
        }],
        then: vec![put_record(&name, &record)],
        otherwise: Vec::new(),
    };
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

fn give_up(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.stage = Stage::NotHeld;
    hold.maybe_recorded = true;
    let lease = std::mem::take(&mut hold.lease);
    if lease != 0 {
        out.push(Effect::RevokeLease(lease));
    }
}

fn lose_authority(core: &mut Core, pool: PoolKey, why: &str, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.stage = Stage::NotHeld;
    hold.lease = 0;
    hold.watched_holder = None;
    hold.vacant_since = Some(now);
    core.orders.pool_mut(pool).holder = super::HolderState::default();
    let text = format!("lost {}: {why}", name(core, pool));
    out.push(log_event(log::Level::Warn, "pool.lost", text));
}

/// Takes in a change of the holder's key.
pub(super) fn watched(core: &mut Core, pool: PoolKey, pair: &WatchedKey, out: &mut Effects) {
    let now = core.now;
    let hold = &mut core.orders.pool_mut(pool).authority;
    // News from before the take-over is about an earlier holder.
    if hold.stage == Stage::Held && pair.modified <= hold.taken_revision {
        return;
    }
    let value = pair.value.as_deref();
    if hold.stage == Stage::Held && value != Some(&*hold.value) {
        lose_authority(core, pool, "another holder or none", out);
    }
    let hold = &mut core.orders.pool_mut(pool).authority;
    hold.watched_holder = value.and_then(host_of);
    hold.vacant_since = match hold.watched_holder {
        Some(_) => None,
        None => hold.vacant_since.or(Some(now)),
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
    let hold = &mut core.orders.pool_mut(pool).authority;
    if hold.stage != Stage::Held {
        return;
    }
    // An order on its way may still land; then only the end of this process clears it.
    if hold.in_flight.is_empty() {
        hold.record.processes.retain(|process| *process != me);
    }
    let txn = Txn {
        compare: vec![Compare::Value {
            key: holder_key(&pool_name),
            is: hold.value.clone(),
        }],
        then: vec![
            Op::Delete(Span::Key(holder_key(&pool_name))),
            put_record(&pool_name, &hold.record),
        ],
        otherwise: Vec::new(),
    };
    hold.stage = Stage::NotHeld;
    hold.lease = 0;
    let job = Job::Authority(pool);
    out.push(Effect::Txn { job, txn });
}
