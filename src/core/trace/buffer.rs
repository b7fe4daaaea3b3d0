//! Bounded buffer of trace records.

use std::collections::{BTreeMap, VecDeque};

use super::{Attempt, Note, Record};

/// Approximate overhead of an entry in a map or queue, or of an allocation.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Records up to a total size; the oldest are evicted first.
#[derive(Debug, Default)]
pub(super) struct RecordBuffer {
    records: BTreeMap<Box<str>, Record>,
    order: VecDeque<Box<str>>,
    bytes: usize,
    newest_evicted: u64,
}

impl RecordBuffer {
    /// Stores a record, replacing an earlier one with the same id.
    ///
    /// A late copy of an unfinished record does not replace a finished one.
    pub(super) fn put(&mut self, record: Record, max_bytes: usize) {
        let id = record.id.clone();
        if let Some(known) = self.records.get(&id) {
            if !known.outcome.is_empty() && record.outcome.is_empty() {
                return;
            }
            self.bytes -= record_bytes(known);
        } else {
            self.order.push_back(id.clone());
        }
        self.bytes += record_bytes(&record);
        self.records.insert(id, record);
        while self.bytes > max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if let Some(record) = self.records.remove(&oldest) {
                self.bytes -= record_bytes(&record);
                self.newest_evicted = self.newest_evicted.max(record.arrived);
            }
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&Record> {
        self.records.get(id)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the latest arrival among evicted records; milliseconds since the Unix epoch.
    pub(super) fn newest_evicted(&self) -> u64 {
        self.newest_evicted
    }
}

/// Returns the approximate memory of a record in bytes, including its entries in map and queue.
pub(super) fn record_bytes(record: &Record) -> usize {
    let strings = [
        &record.id,
        &record.id,
        &record.id,
        &record.customer,
        &record.plan,
        &record.target,
        &record.host,
        &record.outcome,
        &record.key,
    ];
    let strings: usize = strings
        .iter()
        .map(|text| text.len() + ENTRY_OVERHEAD_BYTES)
        .sum();
    let attempts = record.attempts.iter().map(|attempt| {
        size_of::<Attempt>() + attempt.backend.len() + attempt.end.len() + 2 * ENTRY_OVERHEAD_BYTES
    });
    let notes = record.notes.iter();
    let notes = notes.map(|note| size_of::<Note>() + note.text.len() + ENTRY_OVERHEAD_BYTES);
    size_of::<Record>() + strings + attempts.sum::<usize>() + notes.sum::<usize>()
}
