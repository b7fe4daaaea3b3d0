//! A bounded set of records.

use std::collections::{BTreeMap, VecDeque};

use super::{Attempt, Note, Record};

/// Bytes of a place in a map or queue, and of an allocation's own head, about.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Records up to a number of bytes; the oldest are forgotten first.
#[derive(Debug, Default)]
pub(super) struct RecordBuffer {
    records: BTreeMap<Box<str>, Record>,
    order: VecDeque<Box<str>>,
    bytes: usize,
    newest_evicted: u64,
}

impl RecordBuffer {
    /// Keeps a record, in place of an earlier one of its id.
    ///
    /// A late copy of a request that still ran does not replace the record of its end.
    pub(super) fn put(&mut self, record: Record, most: usize) {
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
        while self.bytes > most {
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

    /// Returns the arrival of the newest record forgotten.
    pub(super) fn newest_evicted(&self) -> u64 {
        self.newest_evicted
    }
}

/// Returns about how many bytes of memory a record takes, its places in map and queue included.
pub(super) fn record_bytes(record: &Record) -> usize {
    let texts = [
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
    let texts: usize = texts
        .iter()
        .map(|text| text.len() + ENTRY_OVERHEAD_BYTES)
        .sum();
    let attempts = record.attempts.iter().map(|attempt| {
        size_of::<Attempt>() + attempt.backend.len() + attempt.end.len() + 2 * ENTRY_OVERHEAD_BYTES
    });
    let notes = record.notes.iter();
    let notes = notes.map(|note| size_of::<Note>() + note.text.len() + ENTRY_OVERHEAD_BYTES);
    size_of::<Record>() + texts + attempts.sum::<usize>() + notes.sum::<usize>()
}
