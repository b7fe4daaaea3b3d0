//! Counts and reports of usage, without a host.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;

use super::ledger::{Ledger, Process, Row, UsageReport, window_at, window_end};
use super::reporter::{KEY, Reporter, Step};
use crate::core::Time;
use crate::core::relay::duty::{Counts, DutyResult};
use crate::store::{Compare, Op, Txn};

fn process(host: &str, incarnation: u64) -> Process {
    Process {
        host: host.into(),
        incarnation,
    }
}

fn report(process: &Process, window: u64, version: u64, count: u64) -> UsageReport {
    UsageReport {
        process: process.clone(),
        window,
        row: Row {
            version,
            closed: false,
            counts: counts(count),
        },
    }
}

fn counts(count: u64) -> Counts {
    Counts::from([("c".into(), count)])
}

#[test]
fn windows_begin_at_multiples_of_their_length_since_1970() {
    let length = Duration::from_secs(5);
    assert_eq!(window_at(1_767_225_600_000, length), 353_445_120);
    assert_eq!(window_at(1_767_225_604_999, length), 353_445_120);
    assert_eq!(window_end(353_445_120, length), 1_767_225_605_000);
}

/// Datagrams arrive late, twice and out of order. Guards against counting a request twice or dropping newer counts.
#[test]
fn the_newest_counts_of_a_process_replace_the_others() {
    let (one, two) = (process("one", 1), process("two", 1));
    let mut ledger = Ledger::default();
    for (process, version, count) in [(&one, 2, 5), (&two, 1, 1), (&one, 1, 3), (&one, 2, 5)] {
        ledger.merge(report(process, 7, version, count));
    }
    assert_eq!(ledger.totals(7), counts(6));
}

/// A host is killed and starts again within a window. Guards against replacing what its first process counted.
#[test]
fn a_restarted_host_adds_to_the_counts_of_its_earlier_process() {
    let mut ledger = Ledger::default();
    ledger.merge(report(&process("one", 1), 7, 9, 9));
    ledger.merge(report(&process("one", 2), 7, 1, 1));
    assert_eq!(ledger.totals(7), counts(10));
    assert!(!ledger.has_closed(7, "one"));
    ledger.close(&process("one", 2), 7);
    assert!(ledger.has_closed(7, "one"));
}

#[test]
fn settled_windows_are_forgotten() {
    let one = process("one", 1);
    let mut ledger = Ledger::default();
    for window in 5..9 {
        ledger.record(&one, window, "c");
    }
    ledger.forget(6);
    assert_eq!(ledger.first_counted(), Some(7));
}

/// No host ran for hours. Guards against reporting every window of that time before the present one.
#[test]
fn windows_of_a_long_interruption_are_skipped() {
    let mut reporter = Reporter::default();
    reporter.stored(Some((br#"{"window":7,"counts":{}}"#, 1)));
    reporter.report_sent(1);
    reporter.report_answered(1, 7, 1, DutyResult::Accepted, Time::default());
    let next = |first| reporter.next(first, 5000, 60, Time::default());
    assert_eq!(next(Some(4999)), Step::Settle(4999));
    assert_eq!(next(None), Step::Settle(5000));
    assert_eq!(
        reporter.next(Some(9), 9, 60, Time::default()),
        Step::Settle(8)
    );
}

/// The store is restored from a copy without the last settlement. Guards against settling other counts for a window
/// that may have been reported.
#[test]
fn a_settlement_that_the_store_lost_is_kept() {
    let mut reporter = Reporter::default();
    reporter.stored(Some((br#"{"window":7,"counts":{"c":1}}"#, 50)));
    reporter.stored(Some((br#"{"window":6,"counts":{"c":2}}"#, 40)));
    let next = reporter.next(Some(7), 9, 60, Time::default());
    assert_eq!(next, Step::Report(7, counts(1)));
}

/// The platform refuses a report under every number. Guards against a holder that never reports another window.
#[test]
fn a_report_that_is_refused_under_several_numbers_is_given_up() {
    let mut reporter = Reporter::default();
    reporter.stored(Some((br#"{"window":7,"counts":{}}"#, 1)));
    let mut now = Time::default();
    for fence in 1..=3 {
        assert_eq!(
            reporter.next(None, 9, 60, now),
            Step::Report(7, Counts::new())
        );
        reporter.report_sent(fence);
        let resign = reporter.report_answered(fence, 7, fence, DutyResult::Conflict, now);
        assert_eq!(resign, fence < 3);
        now = now.after(Duration::from_secs(1));
    }
    assert_eq!(reporter.next(None, 9, 60, now), Step::Settle(8));
}

/// Number of hosts in the model.
const HOSTS: usize = 3;

/// What happens next in the model.
#[derive(Debug, Clone)]
enum Happening {
    /// A host acquires the authority; others that had it do not notice.
    Acquire(usize),
    /// A host reads the store.
    Read(usize),
    /// A host takes its next step.
    Step(usize),
    /// A write reaches the store; whether its answer arrives.
    Write(usize, bool),
    /// A report reaches the platform; whether its answer arrives.
    Report(usize, bool),
    /// A host loses its memory.
    Crash(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        1 => (0..HOSTS).prop_map(Happening::Acquire),
        3 => (0..HOSTS).prop_map(Happening::Read),
        6 => (0..HOSTS).prop_map(Happening::Step),
        4 => (0..8_usize, any::<bool>()).prop_map(|(at, answer)| Happening::Write(at, answer)),
        4 => (0..8_usize, any::<bool>()).prop_map(|(at, answer)| Happening::Report(at, answer)),
        1 => (0..HOSTS).prop_map(Happening::Crash),
    ]
}

/// A report on its way: host, number, window, fencing number and counts.
type Call = (usize, u64, u64, u64, Counts);

/// Hosts, the store and the platform.
#[derive(Default)]
struct Model {
    now: Time,
    reporters: [Reporter; HOSTS],
    /// Revision of the authority that each host believes to hold.
    grants: [Option<i64>; HOSTS],
    revision: i64,
    authority: i64,
    usage: Option<(Vec<u8>, i64)>,
    writes: Vec<(usize, u64, Txn)>,
    calls: Vec<Call>,
    made: u64,
    highest: u64,
    accepted: BTreeMap<u64, Counts>,
}

impl Model {
    fn run(&mut self, happening: &Happening) {
        self.now = self.now.after(Duration::from_millis(300));
        match *happening {
            Happening::Acquire(host) => {
                self.revision += 1;
                self.authority = self.revision;
                self.grants[host] = Some(self.revision);
            }
            Happening::Read(host) => {
                let usage = self.usage.as_ref();
                self.reporters[host].stored(usage.map(|(value, at)| (&**value, *at)));
            }
            Happening::Step(host) => self.step(host),
            Happening::Write(at, answer) => {
                if at < self.writes.len() {
                    let (host, number, txn) = self.writes.remove(at);
                    let revision = self.write(&txn);
                    if answer {
                        self.reporters[host].settle_answered(number, revision);
                    }
                }
            }
            Happening::Report(at, answer) => {
                if at < self.calls.len() {
                    let call = self.calls[at].clone();
                    self.report(&call, answer);
                }
            }
            Happening::Crash(host) => {
                self.reporters[host] = Reporter::default();
                self.grants[host] = None;
            }
        }
    }

    fn step(&mut self, host: usize) {
        let Some(grant) = self.grants[host] else {
            return;
        };
        match self.reporters[host].next(Some(1), 5, 60, self.now) {
            Step::Wait => {}
            Step::Settle(window) => {
                // Each attempt knows other counts.
                self.made += 1;
                let counts = counts(self.made);
                let reporter = &mut self.reporters[host];
                let (number, txn) = reporter.settle(window, counts, ("planner", grant), self.now);
                self.writes.push((host, number, txn));
            }
            Step::Report(window, counts) => {
                self.made += 1;
                self.reporters[host].report_sent(self.made);
                let fence = u64::try_from(grant).expect("a revision");
                self.calls.push((host, self.made, window, fence, counts));
            }
        }
    }

    fn write(&mut self, txn: &Txn) -> Option<i64> {
        let usage = self.usage.as_ref().map_or(0, |(_, revision)| *revision);
        let holds = txn.compare.iter().all(|compare| match compare {
            Compare::Modified { key, revision } if **key == *KEY => *revision == usage,
            Compare::Modified { revision, .. } => *revision == self.authority,
            Compare::Absent { .. } => usage == 0,
            Compare::Value { .. } => false,
        });
        let Some(Op::Put { value, .. }) = txn.then.first().filter(|_| holds) else {
            return None;
        };
        self.revision += 1;
        self.usage = Some((value.to_vec(), self.revision));
        Some(self.revision)
    }

    /// Delivers a report; one without an answer stays on its way, and may be carried out again.
    fn report(&mut self, call: &Call, answer: bool) {
        let (host, number, window, fence, counts) = call.clone();
        let result = if fence < self.highest {
            DutyResult::Conflict
        } else {
            self.highest = fence;
            let first = self
                .accepted
                .entry(window)
                .or_insert_with(|| counts.clone());
            assert_eq!(
                *first, counts,
                "window {window} was reported twice with different counts"
            );
            DutyResult::Accepted
        };
        if answer {
            self.calls.retain(|other| other != call);
            let reporter = &mut self.reporters[host];
            if reporter.report_answered(number, window, fence, result, self.now) {
                self.grants[host] = None;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Holders crash, are replaced unnoticed, and calls are delayed, lost, repeated and reordered. Guards against two
    /// reports of one window with different counts, and against a window that is skipped.
    #[test]
    fn each_window_is_reported_with_one_set_of_counts(
        happenings in prop::collection::vec(happening(), 0..120),
    ) {
        let mut model = Model::default();
        for happening in &happenings {
            model.run(happening);
        }
        let reported: Vec<u64> = model.accepted.keys().copied().collect();
        let expected: Vec<u64> = (1..).take(reported.len()).collect();
        prop_assert_eq!(reported, expected);
    }
}

/// Nothing fails. Guards against a model in which no window is ever reported.
#[test]
fn a_holder_reports_all_ended_windows() {
    let mut model = Model::default();
    model.run(&Happening::Acquire(0));
    for _ in 0..40 {
        for happening in [
            Happening::Step(0),
            Happening::Write(0, true),
            Happening::Report(0, true),
        ] {
            model.run(&happening);
        }
    }
    assert_eq!(model.accepted.len(), 5);
}
