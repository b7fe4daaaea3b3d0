//! Batches of records in the key-value service, for what must outlive the hosts.
//!
//! A segment holds records of one host's life that arrived in the same few seconds. Its key is
//! made of what every request id says, so that one read finds a record without any index. Segments
//! go with a lease that nobody renews: the service forgets them by itself.

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

/// Least time that a segment lasts.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Time for which one lease is used; a segment lasts up to this much longer.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// Least time between two writes of a host.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two writes of all hosts together: ten a second at most, of several hundred that
/// the service takes, however many hosts there are.
const GLOBAL_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Milliseconds of arrivals that share a folder; one read of it finds a record.
const FOLDER_SPAN_MS: u64 = 10_000;
/// Most bytes in one write, by the records' weight in memory; a value holds a megabyte.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Most bytes that wait for a write.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
/// Most bytes of all hosts' segments together, over the time they last.
const MAX_TOTAL_BYTES: f64 = 512.0 * 1024.0 * 1024.0;
/// Part of its budget that a host may save up.
const BURST_FRACTION: f64 = 1.0 / 24.0;

/// What waits to be written, and what is on its way.
#[derive(Debug, Default)]
pub(super) struct Segments {
    queue: BTreeMap<Box<str>, Record>,
    queued_bytes: usize,
    /// Records in the write on its way; written again under the same keys when it fails.
    batch: Vec<Record>,
    /// Number of the batch.
    batch_number: u64,
    in_flight: bool,
    lease: i64,
    lease_granted: Time,
    /// Earliest time of the next write.
    next_write: Time,
    /// Bytes that may be written now.
    budget: f64,
    last_refill: Option<Time>,
    /// Records left out because too many came.
    left_out: u64,
}

/// Tells whether a record must outlive the hosts.
fn must_persist(record: &Record) -> bool {
    let recorded = record.notes.iter().any(|note| *note.text == *RECORDED_NOTE);
    let ended = !record.outcome.is_empty();
    let failed = &*record.outcome != "answered" && record.ran != Some(Ran::No);
    recorded || ended && (failed || record.attempts.len() > 1)
}

impl Segments {
    /// Takes a record in if it must outlive the hosts.
    pub(super) fn offer(&mut self, record: &Record) {
        if !must_persist(record) {
            return;
        }
        let weight = buffer::record_bytes(record);
        if let Some(known) = self.queue.remove(&record.id) {
            self.queued_bytes -= buffer::record_bytes(&known);
        }
        if self.queued_bytes + weight > MAX_QUEUED_BYTES {
            self.left_out += 1;
            return;
        }
        self.queued_bytes += weight;
        self.queue.insert(record.id.clone(), record.clone());
    }

    /// Takes the next batch out of the queue, within the budget.
    fn take_batch(&mut self) {
        let mut bytes = 0;
        while let Some(entry) = self.queue.first_entry() {
            let weight = buffer::record_bytes(entry.get());
            let spent = (bytes + weight) as f64;
            if bytes + weight > MAX_BATCH_BYTES || spent > self.budget {
                break;
            }
            bytes += weight;
            self.batch.push(entry.remove());
        }
        self.queued_bytes -= bytes;
        self.budget -= bytes as f64;
        self.batch_number += u64::from(!self.batch.is_empty());
    }

    fn refill(&mut self, now: Time, hosts: f64) {
        let most = MAX_TOTAL_BYTES / hosts * BURST_FRACTION;
        let rate = MAX_TOTAL_BYTES / hosts / RETENTION.as_secs_f64();
        let passed = self
            .last_refill
            .map(|filled| now.since(filled).as_secs_f64());
        let more = passed.map_or(most, |passed| passed * rate);
        self.budget = (self.budget + more).min(most);
        self.last_refill = Some(now);
    }
}

/// Returns the folder of the segments that may hold a request; `None` where it is no id.
pub(super) fn folder(id: &str) -> Option<Box<str>> {
    let arrived = super::arrival_of(id)?;
    let tag = id.split('-').next()?;
    Some(format!("d/trace/{tag}/{:x}/", arrived / FOLDER_SPAN_MS).into())
}

/// Writes what waits, when it is time.
pub(super) fn tick(core: &mut Core, out: &mut Effects) {
    let hosts = u32::try_from(core.members.count()).unwrap_or(u32::MAX);
    let every = MIN_WRITE_INTERVAL.max(GLOBAL_WRITE_INTERVAL * hosts);
    if core.members.store == Health::Down {
        // All hosts see the service come back at the same moment; each waits a time of its own.
        let part = core.rng.random_range(0.0..1.0);
        core.traces.segments.next_write = core.now.after(every.mul_f64(part));
        return;
    }
    let segments = &mut core.traces.segments;
    segments.refill(core.now, f64::from(hosts));
    if core.now >= segments.next_write {
        segments.next_write = core.now.after(every);
        write(core, out);
    }
    report_left_out(core, out);
}

fn report_left_out(core: &mut Core, out: &mut Effects) {
    let count = std::mem::take(&mut core.traces.segments.left_out);
    if count > 0 {
        let text = format!("{count} explanations are kept in hosts' memory only: too many came");
        out.push(log_event(log::Level::Warn, "trace.left_out", text));
    }
}

/// Writes the next batch, after getting a lease where there is none.
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

/// Takes in the answer to a lease or a write.
pub fn written(core: &mut Core, reply: &StoreReply, out: &mut Effects) {
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
        // The lease may be gone. The batch stays, and is written again under the same keys.
        _ => segments.lease = 0,
    }
}

/// Reads the segments that may hold a request.
pub(super) fn read(round: u64, folder: Box<str>, out: &mut Effects) {
    out.push(Effect::Read {
        job: Job::ReadSegments(round),
        span: Span::Prefix(folder),
    });
}
