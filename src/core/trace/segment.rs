//! Batches of records in the key-value service, for what must outlive the hosts.
//!
//! A segment holds records of one host's life that arrived in the same few seconds. Its key is
//! made of what every request id says, so that one read finds a record without any index. Segments
//! go with a lease that nobody renews: the service forgets them by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::{RECORDED, Record, shelf};
use crate::core::effect::{Effect, log_event};
use crate::core::event::{Health, Job, StoreReply, StoreResult};
use crate::core::{Core, Effects, Time};
use crate::error::Ran;
use crate::store::{Op, Span, Txn};
use crate::wire;

/// Least time that a segment lasts.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Time for which one lease is used; a segment lasts up to this much longer.
const LEASE_USE: Duration = Duration::from_hours(1);
/// Least time between two writes of a host.
const LEAST: Duration = Duration::from_secs(2);
/// Time between two writes of all hosts together: ten a second at most, of several hundred that
/// the service takes, however many hosts there are.
const SHARED: Duration = Duration::from_millis(100);
/// Milliseconds of arrivals that share a folder; one read of it finds a record.
const FOLDER: u64 = 10_000;
/// Most bytes in one write, by the records' weight in memory; a value holds a megabyte.
const BATCH: usize = 256 * 1024;
/// Most bytes that wait for a write.
const WAITING: usize = 2 * 1024 * 1024;
/// Most bytes of all hosts' segments together, over the time they last.
const TOTAL: f64 = 512.0 * 1024.0 * 1024.0;
/// Part of its budget that a host may save up.
const BURST: f64 = 1.0 / 24.0;

/// What waits to be written, and what is on its way.
#[derive(Debug, Default)]
pub(super) struct Segments {
    queue: BTreeMap<Box<str>, Record>,
    waiting: usize,
    /// Records in the write on its way; written again under the same keys when it fails.
    batch: Vec<Record>,
    /// Number of the batch.
    number: u64,
    busy: bool,
    lease: i64,
    granted: Time,
    /// Earliest time of the next write.
    due: Time,
    /// Bytes that may be written now.
    budget: f64,
    filled: Option<Time>,
    /// Records left out because too many came.
    left_out: u64,
}

/// Tells whether a record must outlive the hosts.
fn notable(record: &Record) -> bool {
    let recorded = record.notes.iter().any(|note| *note.text == *RECORDED);
    let ended = !record.outcome.is_empty();
    let failed = &*record.outcome != "answered" && record.ran != Some(Ran::No);
    recorded || ended && (failed || record.attempts.len() > 1)
}

impl Segments {
    /// Takes a record in if it must outlive the hosts.
    pub(super) fn offer(&mut self, record: &Record) {
        if !notable(record) {
            return;
        }
        let weight = shelf::weight(record);
        if let Some(known) = self.queue.remove(&record.id) {
            self.waiting -= shelf::weight(&known);
        }
        if self.waiting + weight > WAITING {
            self.left_out += 1;
            return;
        }
        self.waiting += weight;
        self.queue.insert(record.id.clone(), record.clone());
    }

    /// Takes the next batch out of the queue, within the budget.
    fn next(&mut self) {
        let mut bytes = 0;
        while let Some(entry) = self.queue.first_entry() {
            let weight = shelf::weight(entry.get());
            let spent = (bytes + weight) as f64;
            if bytes + weight > BATCH || spent > self.budget {
                break;
            }
            bytes += weight;
            self.batch.push(entry.remove());
        }
        self.waiting -= bytes;
        self.budget -= bytes as f64;
        self.number += u64::from(!self.batch.is_empty());
    }

    fn refill(&mut self, now: Time, hosts: f64) {
        let most = TOTAL / hosts * BURST;
        let rate = TOTAL / hosts / RETENTION.as_secs_f64();
        let passed = self.filled.map(|filled| now.since(filled).as_secs_f64());
        let more = passed.map_or(most, |passed| passed * rate);
        self.budget = (self.budget + more).min(most);
        self.filled = Some(now);
    }
}

/// Returns the folder of the segments that may hold a request; `None` where it is no id.
pub(super) fn folder(id: &str) -> Option<Box<str>> {
    let arrived = super::arrival_of(id)?;
    let tag = id.split('-').next()?;
    Some(format!("d/trace/{tag}/{:x}/", arrived / FOLDER).into())
}

/// Writes what waits, when it is time.
pub(super) fn tick(core: &mut Core, out: &mut Effects) {
    let hosts = u32::try_from(core.members.count()).unwrap_or(u32::MAX);
    let every = LEAST.max(SHARED * hosts);
    if core.members.store == Health::Down {
        // All hosts see the service come back at the same moment; each waits a time of its own.
        let part = core.rng.random_range(0.0..1.0);
        core.traces.segments.due = core.now.after(every.mul_f64(part));
        return;
    }
    let segments = &mut core.traces.segments;
    segments.refill(core.now, f64::from(hosts));
    if core.now >= segments.due {
        segments.due = core.now.after(every);
        write(core, out);
    }
    tell(core, out);
}

fn tell(core: &mut Core, out: &mut Effects) {
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
    if segments.busy {
        return;
    }
    if segments.batch.is_empty() {
        segments.next();
    }
    if segments.batch.is_empty() {
        return;
    }
    segments.busy = true;
    let job = Job::Segment;
    if segments.lease == 0 || now.since(segments.granted) > LEASE_USE {
        let life = RETENTION + LEASE_USE;
        out.push(Effect::Grant { job, life });
    } else {
        let txn = batch(segments);
        out.push(Effect::Txn { job, txn });
    }
}

fn batch(segments: &Segments) -> Txn {
    let mut folders: BTreeMap<Box<str>, Vec<Record>> = BTreeMap::new();
    for record in &segments.batch {
        if let Some(folder) = folder(&record.id) {
            folders.entry(folder).or_default().push(record.clone());
        }
    }
    let puts = folders.into_iter().map(|(folder, records)| Op::Put {
        key: format!("{folder}{:x}", segments.number).into(),
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
    segments.busy = false;
    match &reply.result {
        StoreResult::Lease(lease) => {
            segments.lease = *lease;
            segments.granted = now;
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
        job: Job::Find(round),
        span: Span::Prefix(folder),
    });
}
