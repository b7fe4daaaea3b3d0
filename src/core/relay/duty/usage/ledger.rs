//! Counts of requests by window and by the process that served them.
//!
//! Each process counts the requests that begin at it, and sends its counts to other hosts. Counts are cumulative and
//! versioned: a later version replaces an earlier one, so that loss, repetition and reordering of messages do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::{Counts, whole_ms};

/// Largest number of windows that are kept; the oldest are dropped first.
const MAX_WINDOWS: usize = 64;

/// One process of a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Process {
    /// Name of the host.
    pub host: Box<str>,
    /// Wall clock at the start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Requests that began at one process in one window.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Row {
    /// Increases with every change.
    pub version: u64,
    /// Whether the window has ended at the process.
    pub closed: bool,
    /// Requests by customer.
    pub counts: Counts,
}

/// A row on its way to another host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageReport {
    /// The process that counted.
    pub process: Process,
    /// Number of the window.
    pub window: u64,
    /// Its counts.
    pub row: Row,
}

/// Returns the number of the window that contains a wall-clock time.
#[must_use]
pub fn window_at(wall_ms: u64, length: Duration) -> u64 {
    wall_ms / whole_ms(length).max(1)
}

/// Returns the end of a window by the wall clock, in milliseconds since the Unix epoch.
#[must_use]
pub fn window_end(window: u64, length: Duration) -> u64 {
    window.saturating_add(1).saturating_mul(whole_ms(length))
}

/// All counts that a host knows.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, BTreeMap<Process, Row>>,
}

impl Ledger {
    /// Counts a request that began at a process of this host.
    pub fn record(&mut self, process: &Process, window: u64, customer: &str) {
        let row = self.row(process, window);
        *row.counts.entry(customer.into()).or_default() += 1;
        row.version += 1;
        self.trim();
    }

    /// Marks a window as ended at a process of this host; returns whether it was open.
    pub fn close(&mut self, process: &Process, window: u64) -> bool {
        let row = self.row(process, window);
        let was_open = !std::mem::replace(&mut row.closed, true);
        row.version += u64::from(was_open);
        self.trim();
        was_open
    }

    /// Adds another process's counts, unless those known are as new.
    pub fn merge(&mut self, report: UsageReport) {
        let row = self.row(&report.process, report.window);
        if report.row.version > row.version {
            *row = report.row;
        }
        self.trim();
    }

    /// Returns the sum over all processes of the requests that began in a window.
    #[must_use]
    pub fn totals(&self, window: u64) -> Counts {
        let mut totals = Counts::new();
        let rows = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values);
        for (customer, count) in rows.flat_map(|row| &row.counts) {
            *totals.entry(customer.clone()).or_default() += count;
        }
        totals
    }

    /// Returns whether a host has reported that a window has ended at it.
    #[must_use]
    pub fn has_closed(&self, window: u64, host: &str) -> bool {
        let rows = self.windows.get(&window);
        let mut rows = rows.into_iter().flat_map(|rows| rows.iter().rev());
        let newest = rows.find(|(process, _)| *process.host == *host);
        newest.is_some_and(|(_, row)| row.closed)
    }

    /// Returns the first window in which a request began.
    #[must_use]
    pub fn first_counted(&self) -> Option<u64> {
        let has_counts =
            |rows: &BTreeMap<Process, Row>| rows.values().any(|row| !row.counts.is_empty());
        let mut windows = self.windows.iter();
        windows
            .find(|(_, rows)| has_counts(rows))
            .map(|(window, _)| *window)
    }

    /// Returns the counts of a process.
    pub fn reports_of(&self, process: &Process) -> impl Iterator<Item = UsageReport> {
        self.windows.iter().filter_map(|(window, rows)| {
            Some(UsageReport {
                process: process.clone(),
                window: *window,
                row: rows.get(process)?.clone(),
            })
        })
    }

    /// Drops the counts of all windows up to one.
    pub fn forget(&mut self, last: u64) {
        self.windows = self.windows.split_off(&last.saturating_add(1));
    }

    fn row(&mut self, process: &Process, window: u64) -> &mut Row {
        let rows = self.windows.entry(window).or_default();
        rows.entry(process.clone()).or_default()
    }

    fn trim(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }
}
