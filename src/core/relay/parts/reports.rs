//! Reports between hosts: crashes under requests with a part, and whole answers that clear it.

use super::super::event::PartReport;
use super::{PartCrash, Parts, RETENTION, cover};
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Messages in which a report is sent: datagrams can be lost.
const REPORT_COPIES: u8 = 3;
/// Maximum number of reports that wait to be sent; the oldest are dropped first.
const MAX_UNPUBLISHED: usize = 512;

impl Parts {
    /// Queues a report about something at a time.
    pub(super) fn publish(&mut self, report: PartReport, at: Time) {
        let key = |report: &PartReport| (report.part, report.crashed, report.customer);
        let mut known = self.unpublished.iter();
        let known = known.position(|(other, ..)| key(other) == key(&report));
        let began = known.is_none_or(|index| self.unpublished.remove(index).0.began);
        let report = PartReport {
            began: report.began && began,
            ..report
        };
        self.unpublished.push((report, at, REPORT_COPIES));
        let excess = self.unpublished.len().saturating_sub(MAX_UNPUBLISHED);
        self.unpublished.drain(..excess);
    }

    /// Queues reports of the crashes under all blamed parts again: a new process of a host has received none of them.
    pub fn publish_again(&mut self) {
        let mut reports = Vec::new();
        for part in self.blamed.keys() {
            let Some(record) = self.records.get(part) else {
                continue;
            };
            for (server, crash) in &record.crashes {
                let customers = crash.customers.iter();
                reports.extend(customers.map(|customer| {
                    let report = PartReport {
                        part: *part,
                        depth: record.depth,
                        customer: *customer,
                        crashed: Some(*server),
                        began: crash.began,
                        ..PartReport::default()
                    };
                    (report, crash.at)
                }));
            }
        }
        for (report, at) in reports {
            self.publish(report, at);
        }
    }
}

/// Returns up to `max` reports to send in the next message to the other hosts: none of a server that is being probed.
///
/// Crashes are reported even if this host's links may be at fault: each host that receives an answer of the server takes them back,
/// and whole answers clear the parts.
pub fn take_unpublished(core: &mut Core, max: usize) -> Vec<PartReport> {
    let now = core.now;
    let poison_requests = &core.relay.poison_requests;
    let is_due = |report: &PartReport| {
        let server = report.crashed;
        server.is_none_or(|server| !poison_requests.is_probing(server, now))
    };
    let due = core.relay.parts.unpublished.iter().enumerate();
    let due = due.filter(|(_, (report, ..))| is_due(report)).take(max);
    let due: Vec<usize> = due.map(|(index, _)| index).collect();
    let unpublished = &mut core.relay.parts.unpublished;
    let reports = due.into_iter().map(|index| {
        let (report, at, left) = &mut unpublished[index];
        *left -= 1;
        PartReport {
            age: now.since(*at),
            ..*report
        }
    });
    let reports = reports.collect();
    unpublished.retain(|(.., left)| *left > 0);
    reports
}

/// Handles the reports of another host.
pub fn receive(core: &mut Core, reports: &[PartReport], out: &mut Effects) {
    let now = core.now;
    let parts = &mut core.relay.parts;
    for report in reports.iter().filter(|report| report.age < RETENTION) {
        let at = now.before(report.age);
        if let Some(server) = report.crashed {
            let crash = PartCrash {
                at,
                customers: [report.customer].into(),
                began: report.began,
                is_own: false,
                tally: parts.tally,
            };
            parts.record_crash(report.part, report.depth, server, crash);
        } else {
            // A report of a crash before the answer may still arrive.
            let record = parts.records.entry(report.part).or_default();
            parts.is_dirty |= record.clear(at);
            parts.limit();
        }
    }
    if parts.is_dirty {
        cover::update(core, out);
    }
}
