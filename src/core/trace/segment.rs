//! Batches of trace records in the store, for records that must survive the loss of hosts.
//!
//! A segment holds records of one host process whose requests arrived within the same few seconds.
//! Its key is derived from parts of the request id, so one read finds a record without an index.
//! Segments are attached to a lease that is never renewed, so the store deletes them on expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::{RECORDED_NOTE, Record, buffer};
use crate::core::effect::{Effect, log_event};
use crate::core::event::{Health, Job, StoreReply, StoreResult};
use crate::core::{Core, Effects, Time};
use crate::error::Ran;
use crate::store::{Op, Span, Txn};
use crate::wire;

/// Minimum lifetime of a segment.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Time for which one lease is used for new segments; a segment lasts up to this much longer.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// Minimum time between two writes of a host.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two writes of all hosts together.
///
/// However many hosts there are, they make at most ten writes a second, of the several hundred that
/// the store accepts.
const GLOBAL_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Span of arrival times that share a key prefix; one read of the prefix finds a record.
const FOLDER_SPAN_MS: u64 = 10_000;
/// Maximum size of one write, by the size of records in memory; a value in the store holds at most
/// 1 MB.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Maximum size of the records that wait for a write.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size of all segments of all hosts within [`RETENTION`].
const MAX_TOTAL_BYTES: f64 = 512.0 * 1024.0 * 1024.0;
/// Fraction of a host's byte budget per [`RETENTION`] that may accumulate.
const BURST_FRACTION: f64 = 1.0 / 24.0;

/// Records queued for the store, and the write in flight.
#[derive(Debug, Default)]
pub(super) struct Segments {
    queue: BTreeMap<Box<str>, Record>,
    queued_bytes: usize,
    /// Records in the write in flight; written again under the same keys if it fails.
    batch: Vec<Record>,
    /// Number of the batch, part of the keys.
    batch_number: u64,
    in_flight: bool,
    lease: i64,
    lease_granted: Time,
    /// Earliest time of the next write.
    next_write: Time,
    /// Bytes that may be written now.
    budget: f64,
    last_refill: Option<Time>,
    /// Records dropped because the queue was full, since the last log event.
    left_out: u64,
}

/// Returns whether a record must survive the loss of hosts.
fn must_persist(record: &Record) -> bool {
    let recorded = record.notes.iter().any(|note| *note.text == *RECORDED_NOTE);
    let ended = !record.outcome.is_empty();
    let failed = &*record.outcome != "answered" && record.ran != Some(Ran::No);
    recorded || ended && (failed || record.attempts.len() > 1)
}

impl Segments {
    /// Queues a record if it must survive the loss of hosts.
    pub(super) fn offer(&mut self, record: &Record) {
        if !must_persist(record) {
            return;
        }
        let size = buffer::record_bytes(record);
        if let Some(known) = self.queue.remove(&record.id) {
            self.queued_bytes -= buffer::record_bytes(&known);
        }
        if self.queued_bytes + size > MAX_QUEUED_BYTES {
            self.left_out += 1;
            return;
        }
        self.queued_bytes += size;
        self.queue.insert(record.id.clone(), record.clone());
    }

    /// Moves records from the queue to the next batch, within the budget.
    fn take_batch(&mut self) {
        let mut bytes = 0;
        while let Some(entry) = self.queue.first_entry() {
            let size = buffer::record_bytes(entry.get());
            let spent = (bytes + size) as f64;
            if bytes + size > MAX_BATCH_BYTES || spent > self.budget {
                break;
            }
            bytes += size;
            self.batch.push(entry.remove());
        }
        self.queued_bytes -= bytes;
        self.budget -= bytes as f64;
        self.batch_number += u64::from(!self.batch.is_empty());
    }

    fn refill(&mut self, now: Time, hosts: f64) {
        let max_budget = MAX_TOTAL_BYTES / hosts * BURST_FRACTION;
        let rate = MAX_TOTAL_BYTES / hosts / RETENTION.as_secs_f64();
        let elapsed = self
            .last_refill
            .map(|filled| now.since(filled).as_secs_f64());
        let refill = elapsed.map_or(max_budget, |elapsed| elapsed * rate);
        self.budget = (self.budget + refill).min(max_budget);
        self.last_refill = Some(now);
    }
}

/// Returns the key prefix of the segments that may hold a record; `None` if `id` is no request id.
pub(super) fn folder(id: &str) -> Option<Box<str>> {
    let arrived = super::arrival_of(id)?;
    let tag = id.split('-').next()?;
    Some(format!("d/trace/{tag}/{:x}/", arrived / FOLDER_SPAN_MS).into())
}

/// Writes queued records if a write is due.
pub(super) fn tick(core: &mut Core, out: &mut Effects) {
    let hosts = u32::try_from(core.members.count()).unwrap_or(u32::MAX);
    let interval = MIN_WRITE_INTERVAL.max(GLOBAL_WRITE_INTERVAL * hosts);
    if core.members.store == Health::Down {
        // All hosts see the store come back at the same time; a random delay spreads their writes.
        let fraction = core.rng.random_range(0.0..1.0);
        core.traces.segments.next_write = core.now.after(interval.mul_f64(fraction));
        return;
    }
    let segments = &mut core.traces.segments;
    segments.refill(core.now, f64::from(hosts));
    if core.now >= segments.next_write {
        segments.next_write = core.now.after(interval);
        write(core, out);
    }
    report_left_out(core, out);
}

fn report_left_out(core: &mut Core, out: &mut Effects) {
    let count = std::mem::take(&mut core.traces.segments.left_out);
    if count > 0 {
        let text = format!(
            "{count} trace records are kept in memory only: the queue for the store was full"
        );
        out.push(log_event(log::Level::Warn, "trace.left_out", text));
    }
}

/// Writes the next batch, or requests a lease first if there is none to use.
pub(super) fn write(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let segments = &mut core.traces.segments;
    if segments.in_flight {
        return;
    }
    if segments.batch.is_empty() {
        segments.take_batch();
    }
    if segments.batch.is_empty() {
        return;
    }
    segments.in_flight = true;
    let job = Job::WriteSegment;
    if segments.lease == 0 || now.since(segments.lease_granted) > LEASE_REUSE {
        let life = RETENTION + LEASE_REUSE;
        out.push(Effect::GrantLease { job, ttl: life });
    } else {
        let txn = batch_txn(segments);
        out.push(Effect::Txn { job, txn });
    }
}

fn batch_txn(segments: &Segments) -> Txn {
    let mut folders: BTreeMap<Box<str>, Vec<Record>> = BTreeMap::new();
    for record in &segments.batch {
        if let Some(folder) = folder(&record.id) {
            folders.entry(folder).or_default().push(record.clone());
        }
    }
    let puts = folders.into_iter().map(|(folder, records)| Op::Put {
        key: format!("{folder}{:x}", segments.batch_number).into(),
        value: wire::encode_records(&records).into(),
        lease: segments.lease,
    });
    Txn {
        compare: Vec::new(),
        then: puts.collect(),
        otherwise: Vec::new(),
    }
}

/// Handles the answer to a lease request or a write.
pub fn handle_write(core: &mut Core, reply: &StoreReply, out: &mut Effects) {
    let now = core.now;
    let segments = &mut core.traces.segments;
    segments.in_flight = false;
    match &reply.result {
        StoreResult::Lease(lease) => {
            segments.lease = *lease;
            segments.lease_granted = now;
            if *lease != 0 {
                write(core, out);
            }
        }
        StoreResult::Txn(_) => segments.batch.clear(),
        // The lease may have expired. The batch is kept and written again under the same keys.
        _ => segments.lease = 0,
    }
}

/// Reads the segments that may hold a record.
pub(super) fn read(round: u64, folder: Box<str>, out: &mut Effects) {
    out.push(Effect::Read {
        job: Job::ReadSegments(round),
        span: Span::Prefix(folder),
    });
}
