//! Trace records of requests: kept in memory, copied to peers, and returned to operators.
//!
//! Every record is copied to two peers, in other failure domains where possible. Records of failed
//! or retried requests and of at-most-once calls are also written to the store, in batches, so that
//! they survive the loss of hosts.

mod buffer;
mod search;
mod segment;

pub use search::{answer_peer, explain, handle_answer, handle_segments};
pub use segment::{RETENTION, handle_write};

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::effect::Effect;
use super::event::Timer;
use super::member;
use super::message::Message;
use super::{Core, Effects};
use crate::error::Ran;
use crate::settings::HostSettings;
use buffer::RecordBuffer;
use search::Search;
use segment::Segments;

/// Memory limit for records of requests that this host served.
const MAX_OWN_BYTES: usize = 12 * 1024 * 1024;
/// Memory limit for copies of peers' records.
const MAX_COPY_BYTES: usize = 20 * 1024 * 1024;
/// Note on an at-most-once call whose start has been recorded.
pub const RECORDED_NOTE: &str = "recorded as started";
/// Time between two batches of copies.
///
/// When a host is killed, its decisions since the last batch are lost.
const COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers that get a copy of each record.
const COPY_COUNT: usize = 2;
/// Maximum number of records per message; keeps a frame well below its size limit.
const MAX_BATCH_RECORDS: usize = 256;

/// Trace record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// Request id.
    pub id: Box<str>,
    /// Customer; empty when the caller's key was unknown.
    pub customer: Box<str>,
    /// Plan; empty when the caller's key was unknown.
    pub plan: Box<str>,
    /// Model, or service with method and path.
    pub target: Box<str>,
    /// Host that served it.
    pub host: Box<str>,
    /// Arrival; milliseconds since the Unix epoch.
    pub arrived: u64,
    /// Milliseconds from arrival to the end; meaningful when `outcome` is set.
    pub lasted: u64,
    /// `answered`, or the code of the refusal; empty while it runs.
    pub outcome: Box<str>,
    /// Whether it ran.
    pub ran: Option<Ran>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens delivered.
    pub output: u32,
    /// Idempotency key.
    pub key: Box<str>,
    /// Attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Decisions and their reasons, in order.
    pub notes: Vec<Note>,
}

/// One attempt at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Attempt {
    /// Name of the backend server.
    pub backend: Box<str>,
    /// Milliseconds from the request's arrival.
    pub began: u64,
    /// Milliseconds from the request's arrival; meaningful when `end` is set.
    pub ended: u64,
    /// How it ended; empty while it runs.
    pub end: Box<str>,
    /// Tokens it delivered.
    pub tokens: u32,
    /// Whether the backend server ran it; `None` while it runs.
    pub ran: Option<Ran>,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Note {
    /// Milliseconds from the request's arrival.
    pub at: u64,
    /// What was decided and why.
    pub text: Box<str>,
}

/// Trace records of this host's requests, and copies of peers' records.
#[derive(Debug)]
pub struct Traces {
    host: Box<str>,
    tag: Box<str>,
    last_number: u64,
    since: u64,
    own: RecordBuffer,
    copies: RecordBuffer,
    /// Own records changed since the last batch of copies.
    dirty: BTreeSet<Box<str>>,
    searches: BTreeMap<u64, Search>,
    last_round: u64,
    segments: Segments,
}

impl Traces {
    /// Creates a state without records.
    ///
    /// `incarnation` is the wall clock at the start of this process, in milliseconds; it makes
    /// request ids differ from those of an earlier process with the same host name.
    #[must_use]
    pub fn new(host: &HostSettings, incarnation: u64) -> Self {
        Self {
            host: host.name.clone(),
            tag: process_tag(&host.name, incarnation),
            last_number: 0,
            since: incarnation,
            own: RecordBuffer::default(),
            copies: RecordBuffer::default(),
            dirty: BTreeSet::new(),
            searches: BTreeMap::new(),
            last_round: 0,
            segments: Segments::default(),
        }
    }

    /// Returns a new record with a unique id: process tag, arrival and count, in hexadecimal.
    pub fn new_record(&mut self, wall: u64) -> Record {
        self.last_number += 1;
        Record {
            id: format!("{}-{wall:x}-{:x}", self.tag, self.last_number).into(),
            host: self.host.clone(),
            arrived: wall,
            ..Record::default()
        }
    }

    /// Keeps the current state of a record; the next batch copies it to peers.
    pub fn keep(&mut self, record: Record) {
        self.dirty.insert(record.id.clone());
        self.segments.offer(&record);
        self.own.put(record, MAX_OWN_BYTES);
    }

    /// Returns the record of a request, own or copied.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&Record> {
        self.own.get(id).or_else(|| self.copies.get(id))
    }

    /// Returns this host's own record of a request.
    #[must_use]
    pub fn own(&self, id: &str) -> Option<&Record> {
        self.own.get(id)
    }

    /// Returns the numbers of own records and of copies.
    #[must_use]
    pub fn count(&self) -> (usize, usize) {
        (self.own.len(), self.copies.len())
    }

    /// Returns the arrival time after which this host has every record that it served or received;
    /// milliseconds since the Unix epoch.
    fn complete_since(&self) -> u64 {
        self.since
            .max(self.own.newest_evicted())
            .max(self.copies.newest_evicted())
    }
}

/// Returns the first part of the request ids that one process of a host assigns.
#[must_use]
pub fn process_tag(host: &str, incarnation: u64) -> Box<str> {
    let hash = blake3::hash(format!("{host}\n{incarnation}").as_bytes());
    hash.to_hex()[..8].into()
}

/// Returns the arrival time in a request id, in milliseconds since the Unix epoch.
#[must_use]
pub fn arrival_of(id: &str) -> Option<u64> {
    let mut parts = id.split('-');
    let (tag, wall, count) = (parts.next()?, parts.next()?, parts.next()?);
    let fits = tag.len() == 8 && !count.is_empty() && parts.next().is_none();
    fits.then(|| u64::from_str_radix(wall, 16).ok())?
}

/// Schedules the next batch of copies.
pub fn start(core: &mut Core, out: &mut Effects) {
    out.push(Effect::SetTimer {
        at: core.now.after(COPY_INTERVAL),
        timer: Timer::Traces,
    });
}

/// Sends a batch of copies, or handles a search that timed out.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    match timer {
        Timer::Traces => {
            flush(core, out);
            segment::tick(core, out);
            start(core, out);
        }
        Timer::Command(ask) => search::timed_out(core, ask, out),
        _ => {}
    }
}

/// Copies every changed record to peers.
pub fn flush(core: &mut Core, out: &mut Effects) {
    if core.stop.is_stopping() {
        segment::write(core, out);
    }
    if core.traces.dirty.is_empty() {
        return;
    }
    let targets = member::copy_targets(core, COPY_COUNT);
    let dirty = std::mem::take(&mut core.traces.dirty);
    let records: Vec<Record> = dirty
        .iter()
        .filter_map(|id| core.traces.own.get(id).cloned())
        .collect();
    for to in targets {
        for batch in records.chunks(MAX_BATCH_RECORDS) {
            out.push(Effect::Send {
                to,
                message: Message::TraceCopies(batch.to_vec()),
            });
        }
    }
}

/// Keeps copies of a peer's records.
pub fn store_copies(core: &mut Core, records: Vec<Record>) {
    for record in records {
        core.traces.copies.put(record, MAX_COPY_BYTES);
    }
}
