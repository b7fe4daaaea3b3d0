//! Authority over a pool: a lease in the key-value service with a fencing number.
//!
//! The holder's key is bound to a lease and vanishes with it. A second key without a lease keeps
//! the highest fencing number and the processes that may still have orders in flight. Both keys are
//! written in the same transaction, so that no fencing number is given out twice.

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
use crate::store::{Compare, Op, OpReply, Range, Span, Txn, TxnReply};

/// Fraction of the lease's life that the holder uses.
///
/// The service counts the lease from when it granted it, the holder from before it asked; the rest
/// allows for clocks that run at different speeds and for the time an order takes to reach its
/// engine.
const USABLE_FRACTION: f64 = 0.75;
/// Renewals within one lifetime of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Time for which hosts other than the preferred one leave a pool without a holder.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Longest time that an order's bytes may still be in flight after its sender is done with it.
///
/// The kernel drops what an order's connection could not deliver within the host's `ORDER_LIFE`,
/// whatever became of the process.
pub const MAX_FLIGHT_TIME: Duration = Duration::from_secs(3);

/// Stage of this process's authority over a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// Another host has the authority, or none.
    #[default]
    NotHeld,
    /// The keys are being read.
    Reading,
    /// A lease is being granted.
    Granting,
    /// The keys are being written by compare-and-swap.
    Swapping,
    /// The answer to the write was lost; the keys are read back.
    ReadingBack,
    /// This process has the authority.
    Held,
    /// This process had the authority and is removing its name from the record.
    Leaving,
}

/// The authority over one pool, as one host sees it.
#[derive(Debug, Default)]
pub struct Authority {
    /// Stage of this process.
    pub stage: Stage,
    /// A call to the key-value service is pending.
    call_pending: bool,
    /// When the pending call was sent.
    call_sent: Time,
    /// No call is sent before this time.
    next_call: Time,
    lease: i64,
    /// This process may give orders until this time.
    pub valid_until: Time,
    /// Fencing number of this process's last takeover.
    pub fence: u64,
    token: Box<str>,
    /// Value of the holder's key while this process holds it.
    pub value: Bytes,
    /// Revision of the key-value service at the takeover.
    taken_revision: i64,
    record: Record,
    record_revision: i64,
    /// Since when the watch shows no holder.
    vacant_since: Option<Time>,
    /// Host that the watch shows as the holder.
    watched_holder: Option<Box<str>>,
    /// Processes that held the authority before and are not known to be dead.
    pub suspects: Vec<Suspect>,
    /// Orders of this process whose end is not known, counted by fencing number.
    in_flight: BTreeMap<u64, u32>,
    /// Bytes of this process's orders may be in flight until this time.
    in_flight_until: Time,
    /// The record may name this process although it no longer holds the authority.
    maybe_recorded: bool,
}

impl Authority {
    /// Returns the holder's name as the watch shows it.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.watched_holder.as_deref()
    }

    /// Notes that the watch is open: a pool without a holder's key has no holder.
    pub fn watch_opened(&mut self, now: Time) {
        if self.watched_holder.is_none() && self.vacant_since.is_none() {
            self.vacant_since = Some(now);
        }
    }

    /// Notes that an order was handed to the adapter.
    pub fn order_sent(&mut self) {
        *self.in_flight.entry(self.fence).or_default() += 1;
    }

    /// Notes the end of an order; returns whether it was one of this pool's.
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
    let authority = &core.orders.pool(pool).authority;
    authority.stage == Stage::Held && core.now < authority.valid_until && !core.stop.is_stopping()
}

/// Starts the next call about the authority over a pool, if one is due.
pub(super) fn advance(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let now = core.now;
    let authority = &core.orders.pool(pool).authority;
    if authority.call_pending || now < authority.next_call {
        return;
    }
    let (stage, lease) = (authority.stage, authority.lease);
    match stage {
        Stage::NotHeld
            if authority.maybe_recorded
                && authority.in_flight.is_empty()
                && now >= authority.in_flight_until =>
        {
            core.orders.pool_mut(pool).authority.stage = Stage::Leaving;
            read(core, pool, out);
        }
        Stage::NotHeld if may_try(core, pool) => {
            core.orders.pool_mut(pool).authority.stage = Stage::Reading;
            read(core, pool, out);
        }
        Stage::ReadingBack if now >= authority.valid_until => give_up(core, pool, out),
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
    // The other hosts wait for different times, so that they do not all try at the same moment.
    let hash = blake3::hash(&members.incarnation().to_le_bytes());
    let spread = TAKEOVER_DELAY.mul_f64(f64::from(hash.as_bytes()[0]) / 256.0);
    preferred || core.now.since(vacant) >= TAKEOVER_DELAY + spread
}

fn start_call(core: &mut Core, pool: PoolKey, effect: Effect, out: &mut Effects) {
    let now = core.now;
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.call_pending = true;
    authority.call_sent = now;
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

/// Handles the answer of the key-value service.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult, out: &mut Effects) {
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.call_pending = false;
    match (authority.stage, result) {
        (Stage::Reading, StoreResult::Txn(txn)) => keys_read(core, pool, &txn, out),
        (Stage::Granting, StoreResult::Lease(lease)) if lease != 0 => {
            write_keys(core, pool, lease, out);
        }
        (Stage::Swapping, StoreResult::Txn(txn)) if txn.succeeded => {
            taken_over(core, pool, txn.revision, out);
        }
        (Stage::Swapping, StoreResult::Unknown) => authority.stage = Stage::ReadingBack,
        (Stage::ReadingBack, StoreResult::Txn(txn)) => resolve_write(core, pool, &txn, out),
        (Stage::Held, StoreResult::Lease(0)) => lose_authority(core, pool, "the lease lapsed", out),
        (Stage::Held, StoreResult::Lease(_)) => renewed(core, pool),
        (Stage::Held, StoreResult::Read(range)) => record_reread(core, pool, &range),
        (Stage::Leaving, StoreResult::Txn(txn)) => remove_self(core, pool, &txn, out),
        (Stage::Swapping, _) => give_up(core, pool, out),
        // A failed read is retried; so is a renewal, while the lease may last.
        (Stage::ReadingBack | Stage::Held, _) => {}
        _ => {
            authority.stage = Stage::NotHeld;
        }
    }
    let now = core.now;
    let authority = &mut core.orders.pool_mut(pool).authority;
    if !authority.call_pending && authority.next_call <= now {
        authority.next_call = now.after(RETRY_DELAY);
    }
}

/// Handles the keys read before a takeover, and asks for a lease if there is no holder.
fn keys_read(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let life = core.settings.platform.lease_ttl;
    let authority = &mut core.orders.pool_mut(pool).authority;
    if read_pairs(txn).any(|pair| pair.key == holder_key(&name)) {
        authority.stage = Stage::NotHeld;
        return;
    }
    let Some(record) = record_in(txn, &name) else {
        authority.stage = Stage::NotHeld;
        return;
    };
    (authority.record, authority.record_revision) = record;
    authority.stage = Stage::Granting;
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::GrantLease { job, ttl: life }, out);
}

/// Writes both keys, provided that nobody wrote them since they were read.
fn write_keys(core: &mut Core, pool: PoolKey, lease: i64, out: &mut Effects) {
    let name = name(core, pool);
    let token: u64 = core.rng.random();
    let own = Process::own(core);
    let life = core.settings.platform.lease_ttl;
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.lease = lease;
    authority.valid_until = authority.call_sent.after(life.mul_f64(USABLE_FRACTION));
    authority.fence = authority.record.fence + 1;
    authority.token = format!("{}-{token:016x}", own.host).into();
    let value = json!({
        "host": &*own.host,
        "incarnation": own.incarnation,
        "fence": authority.fence,
        "token": &*authority.token,
    });
    authority.value = value.to_string().into();
    let mut processes = authority.record.processes.clone();
    processes.retain(|process| *process != own);
    processes.push(own);
    let record = Record {
        fence: authority.fence,
        token: authority.token.clone(),
        processes,
    };
    let txn = Txn {
        compare: vec![
            Compare::Absent {
                key: holder_key(&name),
            },
            Compare::Modified {
                key: fence_key(&name),
                revision: authority.record_revision,
            },
        ],
        then: vec![
            Op::Put {
                key: holder_key(&name),
                value: authority.value.clone(),
                lease,
            },
            put_record(&name, &record),
        ],
        otherwise: read_both(&name),
    };
    authority.record = record;
    authority.stage = Stage::Swapping;
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

/// Handles the keys read after the answer to a write was lost: only that write has this token.
fn resolve_write(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let authority = &core.orders.pool(pool).authority;
    let ours =
        read_pairs(txn).find(|pair| pair.key == holder_key(&name) && pair.value == authority.value);
    if let Some(pair) = ours {
        taken_over(core, pool, pair.mod_revision, out);
        return;
    }
    let other = read_pairs(txn).any(|pair| pair.key == holder_key(&name));
    let recorded = record_in(txn, &name).is_some_and(|(record, _)| record.token == authority.token);
    if other || recorded {
        give_up(core, pool, out);
    }
}

fn taken_over(core: &mut Core, pool: PoolKey, revision: i64, out: &mut Effects) {
    let now = core.now;
    let own = Process::own(core);
    let life = core.settings.platform.lease_ttl;
    let host = core.members.name.clone();
    let state = core.orders.pool_mut(pool);
    state.holder = super::HolderState::default();
    state.confirms.clear();
    let authority = &mut state.authority;
    authority.stage = Stage::Held;
    authority.taken_revision = revision;
    authority.next_call = authority
        .call_sent
        .after(life / RENEWALS_PER_LEASE)
        .max(now);
    authority.vacant_since = None;
    authority.watched_holder = Some(host);
    authority.maybe_recorded = true;
    let others = authority.record.processes.iter().filter(|one| **one != own);
    authority.suspects = others.cloned().map(Suspect::new).collect();
    let (fence, count) = (authority.fence, authority.suspects.len());
    let text = format!(
        "holds {} with fencing number {fence}; {count} earlier holders are not known to be dead",
        name(core, pool)
    );
    out.push(log_event(log::Level::Info, "pool.held", text));
}

fn renewed(core: &mut Core, pool: PoolKey) {
    let now = core.now;
    let life = core.settings.platform.lease_ttl;
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.valid_until = authority.call_sent.after(life.mul_f64(USABLE_FRACTION));
    authority.next_call = authority
        .call_sent
        .after(life / RENEWALS_PER_LEASE)
        .max(now);
}

/// Reads the record again: an earlier holder may have removed its name.
pub(super) fn reread_record(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    if core.orders.pool(pool).authority.call_pending {
        return;
    }
    let span = Span::Key(fence_key(&name(core, pool)));
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Read { job, span }, out);
}

fn record_reread(core: &mut Core, pool: PoolKey, range: &Range) {
    let authority = &mut core.orders.pool_mut(pool).authority;
    let record = range.pairs.first().and_then(|p| Record::parse(&p.value));
    let Some(record) = record.filter(|record| record.token == authority.token) else {
        return;
    };
    authority
        .suspects
        .retain(|suspect| record.processes.contains(&suspect.process));
    authority.record = record;
}

/// Removes the processes that are known to be dead from the record.
pub(super) fn remove_dead(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let pool_name = name(core, pool);
    let own = Process::own(core);
    let authority = &mut core.orders.pool_mut(pool).authority;
    if authority.call_pending {
        return;
    }
    authority.suspects.clear();
    authority.record.processes = vec![own];
    let txn = Txn {
        compare: vec![Compare::Value {
            key: holder_key(&pool_name),
            value: authority.value.clone(),
        }],
        then: vec![put_record(&pool_name, &authority.record)],
        otherwise: Vec::new(),
    };
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

/// Removes this process from the record once none of its orders is in flight.
fn remove_self(core: &mut Core, pool: PoolKey, txn: &TxnReply, out: &mut Effects) {
    let name = name(core, pool);
    let own = Process::own(core);
    let authority = &mut core.orders.pool_mut(pool).authority;
    let written = txn.succeeded && txn.replies.contains(&OpReply::Put);
    let named = record_in(txn, &name).filter(|(record, _)| record.processes.contains(&own));
    let Some((mut record, modified)) = named.filter(|_| !written) else {
        // A failed write has no replies and so looks like a record without this process; only a
        // successful read shows that the record does not name it.
        authority.maybe_recorded = !written && !txn.succeeded;
        authority.stage = Stage::NotHeld;
        return;
    };
    record.processes.retain(|process| *process != own);
    let txn = Txn {
        compare: vec![Compare::Modified {
            key: fence_key(&name),
            revision: modified,
        }],
        then: vec![put_record(&name, &record)],
        otherwise: Vec::new(),
    };
    let job = Job::Authority(pool);
    start_call(core, pool, Effect::Txn { job, txn }, out);
}

fn give_up(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.stage = Stage::NotHeld;
    authority.maybe_recorded = true;
    let lease = std::mem::take(&mut authority.lease);
    if lease != 0 {
        out.push(Effect::RevokeLease(lease));
    }
}

fn lose_authority(core: &mut Core, pool: PoolKey, why: &str, out: &mut Effects) {
    let now = core.now;
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.stage = Stage::NotHeld;
    authority.lease = 0;
    authority.watched_holder = None;
    authority.vacant_since = Some(now);
    core.orders.pool_mut(pool).holder = super::HolderState::default();
    let text = format!("lost authority over {}: {why}", name(core, pool));
    out.push(log_event(log::Level::Warn, "pool.lost", text));
}

/// Handles a change of the holder's key.
pub(super) fn watched(core: &mut Core, pool: PoolKey, pair: &WatchedKey, out: &mut Effects) {
    let now = core.now;
    let authority = &mut core.orders.pool_mut(pool).authority;
    // Changes from before the takeover concern an earlier holder.
    if authority.stage == Stage::Held && pair.modified <= authority.taken_revision {
        return;
    }
    let value = pair.value.as_deref();
    if authority.stage == Stage::Held && value != Some(&*authority.value) {
        lose_authority(core, pool, "the holder's key was changed or removed", out);
    }
    let authority = &mut core.orders.pool_mut(pool).authority;
    authority.watched_holder = value.and_then(host_of);
    authority.vacant_since = match authority.watched_holder {
        Some(_) => None,
        None => authority.vacant_since.or(Some(now)),
    };
}

fn host_of(bytes: &[u8]) -> Option<Box<str>> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    Some(value["host"].as_str()?.into())
}

/// Gives up the authority, and removes this process from the record in the same transaction.
pub(super) fn release(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let pool_name = name(core, pool);
    let own = Process::own(core);
    let authority = &mut core.orders.pool_mut(pool).authority;
    if authority.stage != Stage::Held {
        return;
    }
    // An order in flight may still arrive; this process then stays in the record until it is known
    // to be dead.
    if authority.in_flight.is_empty() {
        authority.record.processes.retain(|process| *process != own);
    }
    let txn = Txn {
        compare: vec![Compare::Value {
            key: holder_key(&pool_name),
            value: authority.value.clone(),
        }],
        then: vec![
            Op::Delete(Span::Key(holder_key(&pool_name))),
            put_record(&pool_name, &authority.record),
        ],
        otherwise: Vec::new(),
    };
    authority.stage = Stage::NotHeld;
    authority.lease = 0;
    let job = Job::Authority(pool);
    out.push(Effect::Txn { job, txn });
}
