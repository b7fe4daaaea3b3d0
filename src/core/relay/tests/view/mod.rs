//! A host's view of a store that hangs, rejects calls, is slow or loses answers.

mod probes;
mod replicated;
mod restart;
mod transfers;

use super::*;
use crate::core::relay::event::{StoreAnswer, StoreCall};
use crate::core::relay::view::watch_pause;

/// Time after the store's return within which a host must have all changes.
const MAX_CATCH_UP_MS: u64 = 1000;
/// Time between two steps of a run.
const STEP_MS: u64 = 10;

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreMode {
    Answers,
    /// It accepts calls and never answers them; pending calls are lost too.
    Hangs,
    /// The same, but a watch that was pending before is answered later.
    Paused,
    /// It rejects every call.
    Rejects,
    /// No packet reaches it, and connection attempts are repeated as by a kernel.
    Cut,
}

/// Times after which a kernel sends the first packet of a connection again.
const SYN_RETRY_MS: [u64; 3] = [1000, 3000, 7000];
/// Time between two parts of an answer.
const PART_INTERVAL_MS: u64 = 50;
/// Connect timeout of a page or a probe.
const CONNECT_TIMEOUT_MS: u64 = 1500;

/// A store in virtual time; only the version of its configuration changes.
struct Store {
    mode: StoreMode,
    revision: i64,
    /// Pending calls, and when their answers are due.
    calls: BTreeMap<u64, (StoreCall, u64)>,
    /// Response time.
    response_ms: u64,
    /// Additional response time of a page.
    page: u64,
    /// Whether a page arrives in parts during that time, and not at its end.
    in_parts: bool,
    /// Pages of a full read.
    pages: usize,
    /// Number of pages of which the store answers one and refuses the others.
    answers_one_in: u32,
    /// Number of page, watch and probe calls.
    call_counts: (u32, u32, u32),
    /// Revisions by which the answers to probes lag behind.
    behind: i64,
    /// Calls whose connection is not established yet, and when they were made.
    connecting: BTreeMap<u64, (StoreCall, u64)>,
}

impl Store {
    fn new() -> Self {
        Self {
            mode: StoreMode::Answers,
            revision: 10,
            calls: BTreeMap::new(),
            response_ms: STEP_MS,
            page: 0,
            in_parts: false,
            pages: 1,
            answers_one_in: 1,
            call_counts: (0, 0, 0),
            behind: 0,
            connecting: BTreeMap::new(),
        }
    }

    fn version(&self) -> u64 {
        u64::try_from(self.revision).expect("positive")
    }

    fn configured(&self) -> Changes {
        Changes {
            catalog: Some(catalog(self.version())),
            ..Changes::default()
        }
    }

    fn accept(&mut self, number: u64, ask: &StoreCall, now: u64) {
        let (count, response_ms) = match ask {
            StoreCall::Page { .. } => (&mut self.call_counts.0, self.response_ms + self.page),
            StoreCall::Watch { .. } => (&mut self.call_counts.1, self.response_ms),
            StoreCall::Probe => (&mut self.call_counts.2, self.response_ms),
        };
        *count += 1;
        if self.mode == StoreMode::Cut {
            self.connecting.insert(number, (ask.clone(), now));
        } else if !matches!(self.mode, StoreMode::Hangs | StoreMode::Paused) {
            self.calls.insert(number, (ask.clone(), now + response_ms));
        }
    }

    /// Returns the answer to a due call, if there is one yet.
    fn answer(&self, ask: &StoreCall, due: u64, now: u64) -> Option<StoreAnswer> {
        if self.mode == StoreMode::Rejects {
            return Some(StoreAnswer::Failed { refused: true });
        }
        Some(match ask {
            StoreCall::Probe => StoreAnswer::Newest(self.revision - self.behind),
            StoreCall::Page { .. } if !self.call_counts.0.is_multiple_of(self.answers_one_in) => {
                StoreAnswer::Failed { refused: true }
            }
            StoreCall::Page { after } => {
                let page = after.as_ref().map_or(0, |after| after.len()) + 1;
                StoreAnswer::Page {
                    revision: self.revision,
                    changes: self.configured(),
                    after: (page < self.pages).then(|| "x".repeat(page).into()),
                }
            }
            StoreCall::Watch { after, wait } => {
                let over = now >= due + u64::try_from(wait.as_millis()).expect("short");
                if self.revision <= *after && !over {
                    return None;
                }
                let changes = if self.revision > *after {
                    self.configured()
                } else {
                    Changes::default()
                };
                StoreAnswer::Changes {
                    revision: self.revision,
                    changes,
                    events: Vec::new(),
                }
            }
        })
    }

    /// Returns the calls of which a part of the answer arrives now.
    fn take_parts(&self, now: u64) -> Vec<u64> {
        let arriving = self.calls.iter().filter(|(_, (ask, due))| {
            matches!(ask, StoreCall::Page { .. }) && now < *due && now + self.page > *due
        });
        let due = self.in_parts && now.is_multiple_of(PART_INTERVAL_MS);
        arriving
            .filter(|_| due)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Removes and returns the calls whose connect timeout is over.
    fn take_timed_out(&mut self, now: u64) -> Vec<u64> {
        let late = |ask: &StoreCall, at: u64| {
            !matches!(ask, StoreCall::Watch { .. }) && now >= at + CONNECT_TIMEOUT_MS
        };
        let all = self.connecting.iter();
        let late = all.filter(|(_, (ask, at))| late(ask, *at));
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        self.connecting.retain(|number, _| !late.contains(number));
        late
    }

    /// Delivers the calls whose first packet is sent again now.
    fn connect(&mut self, now: u64) {
        let repeats = |at: u64| SYN_RETRY_MS.iter().any(|after| at + after == now);
        let (ready, later): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.connecting)
            .into_iter()
            .partition(|(_, (_, at))| repeats(*at));
        self.connecting = later;
        let response_ms = self.response_ms;
        self.calls.extend(
            ready
                .into_iter()
                .map(|(number, (ask, _))| (number, (ask, now + response_ms))),
        );
    }

    fn set_mode(&mut self, mode: StoreMode) {
        if mode == StoreMode::Cut {
            self.calls.clear();
        }
        if mode == StoreMode::Hangs {
            self.calls.clear();
        }
        if mode == StoreMode::Paused {
            self.calls
                .retain(|_, (ask, _)| matches!(ask, StoreCall::Watch { .. }));
        }
        self.mode = mode;
    }
}

/// A host, a store, and the number of calls that the host abandoned.
struct Run {
    site: TestHost,
    store: Store,
    abandoned: u32,
}

impl Run {
    fn start(store: Store) -> Self {
        let site = TestHost::blank();
        let mut run = Self {
            site,
            store,
            abandoned: 0,
        };
        let first = run.site.out.clone();
        run.dispatch(&first);
        run
    }

    fn dispatch(&mut self, effects: &Effects) {
        for effect in effects {
            match effect {
                Effect::Relay(RelayEffect::CallStore { number, call: ask }) => {
                    self.store.accept(*number, ask, self.site.now);
                }
                Effect::Relay(RelayEffect::CancelStoreCall(number)) => {
                    self.store.calls.remove(number);
                    self.store.connecting.remove(number);
                    self.abandoned += 1;
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        let out = self.site.advance(STEP_MS);
        self.dispatch(&out);
        let now = self.site.now;
        for number in self.store.take_timed_out(now) {
            let answer = StoreAnswer::Failed { refused: true };
            self.site
                .event(RelayEvent::StoreAnswered { number, answer });
            let out = self.site.out.clone();
            self.dispatch(&out);
        }
        if matches!(
            self.store.mode,
            StoreMode::Hangs | StoreMode::Paused | StoreMode::Cut
        ) {
            return;
        }
        self.store.connect(now);
        for number in self.store.take_parts(now) {
            let bytes = now;
            self.site.event(RelayEvent::StoreReceived { number, bytes });
        }
        let store = &self.store;
        let due = store.calls.iter().filter(|(_, (_, due))| *due <= now);
        let answers =
            due.filter_map(|(number, (ask, due))| Some((*number, store.answer(ask, *due, now)?)));
        let answers: Vec<_> = answers.collect();
        for (number, answer) in answers {
            self.store.calls.remove(&number);
            self.site
                .event(RelayEvent::StoreAnswered { number, answer });
            let out = self.site.out.clone();
            self.dispatch(&out);
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    fn is_current(&self) -> bool {
        let catalog = self.site.core.relay.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.version == self.store.version())
    }

    /// Returns the time until the host has the newest configuration.
    fn until_current(&mut self) -> u64 {
        let start = self.site.now;
        while !self.is_current() {
            self.step();
            assert!(self.site.now < start + 60_000, "the change is never known");
        }
        self.site.now - start
    }
}

/// Lengths of an outage: shorter and longer than the probe interval, than the timeout of a call and than the timeout
/// of a watch.
const OUTAGE_MS: [u64; 8] = [50, 300, 650, 1000, 2200, 5000, 12_000, 24_000];
/// Number of start times of the outage, relative to the host's own calls.
const START_OFFSETS: u64 = 40;

/// Puts the store in a mode at various times and for various lengths, with a change meanwhile, and checks when the host
/// has the change.
fn check_outages(mode: StoreMode, pages: usize, before: u64) {
    for length in OUTAGE_MS {
        for offset in 0..START_OFFSETS {
            let mut run = Run::start(Store {
                pages,
                ..Store::new()
            });
            run.pass(before + offset * 50);
            // The host watches again within 150 ms of a change, before the outage or during it.
            run.store.revision += 1;
            run.pass(offset % 20 * STEP_MS);
            run.store.set_mode(mode);
            run.pass(length / 2);
            run.store.revision += 1;
            run.pass(length - length / 2);
            run.store.set_mode(StoreMode::Answers);
            let took = run.until_current();
            assert!(
                took <= MAX_CATCH_UP_MS,
                "{took} ms after {mode:?} of {length} ms at offset {offset}"
            );
            // The host also receives later changes.
            run.pass(3000);
            run.store.revision += 1;
            let took = run.until_current();
            assert!(took <= MAX_CATCH_UP_MS, "{took} ms later");
        }
    }
}

/// Makes a change during an outage of two seconds, and checks when the host has it.
fn miss_a_change(run: &mut Run) {
    run.store.set_mode(StoreMode::Hangs);
    run.store.revision += 1;
    run.pass(2000);
    run.store.set_mode(StoreMode::Answers);
    let took = run.until_current();
    assert!(took <= MAX_CATCH_UP_MS, "{took} ms");
}

macro_rules! outages {
    ($($(#[$doc:meta])* $name:ident: $mode:expr, $pages:expr, $before:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_outages($mode, $pages, $before); })*
    };
}

outages! {
    /// The store accepts calls and answers none while a watch is pending, and the watch stays unanswered after the
    /// store's return. Guards against waiting for that watch, which left callers with an old configuration for 21 s.
    a_watch_is_lost_in_an_outage: StoreMode::Hangs, 1, 2000;
    /// The same, but the watch that was pending before is answered: only calls made during the outage are lost.
    a_call_is_sent_in_an_outage: StoreMode::Paused, 1, 2000;
    /// The host starts as the store hangs, during its full read.
    a_page_is_lost_in_an_outage: StoreMode::Hangs, 5, 0;
    /// The store rejects every call for a while.
    a_store_rejects_calls: StoreMode::Rejects, 1, 2000;
    /// The host is cut off from the store, and probes that connect after the cut are answered late. Guards against
    /// taking the store for slow, which would delay the detection of the lost watch by seconds.
    a_watch_is_lost_in_a_cut: StoreMode::Cut, 1, 2000;
    /// The host starts while the store rejects every call.
    a_store_rejects_a_new_host: StoreMode::Rejects, 3, 0;
}

/// A single connection hangs forever, and the watch with it; the store answers every other call.
#[test]
fn a_watch_alone_is_lost() {
    for offset in 0..START_OFFSETS {
        let mut run = Run::start(Store::new());
        run.pass(2000 + offset * 50);
        run.store
            .calls
            .retain(|_, (ask, _)| *ask == StoreCall::Probe);
        run.store.revision += 1;
        let took = run.until_current();
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms at offset {offset}");
    }
}

/// Probes return a revision that lags behind the store. Guards against missing a watch that was lost in an outage: the
/// probes lost with it show the loss.
#[test]
fn lagging_probes_hide_no_outage() {
    let mut run = Run::start(Store {
        behind: 5,
        ..Store::new()
    });
    run.pass(3000);
    miss_a_change(&mut run);
}

/// The store is fifty times as slow as usual, and no call is lost. Guards against abandoning calls, after which hosts
/// would read every key again and again.
#[test]
fn calls_to_a_slow_store_are_not_abandoned() {
    for response_ms in [200, 500, 1200] {
        let mut run = Run::start(Store {
            response_ms,
            ..Store::new()
        });
        for _ in 0..20 {
            run.pass(3000);
            run.store.revision += 1;
        }
        assert_eq!(run.abandoned, 0, "at {response_ms} ms a call");
        assert_eq!(run.store.call_counts.0, 1, "at {response_ms} ms a call");
    }
}

/// Nothing changes. The store gets only watches and probes, and a probe costs a tenth of a read.
#[test]
fn an_idle_minute_costs_few_calls() {
    let mut run = Run::start(Store::new());
    run.pass(60_000);
    let (pages, watches, probes) = run.store.call_counts;
    assert_eq!((pages, watches), (1, 3));
    assert!((92..=150).contains(&probes), "{probes} probes");
    assert_eq!(run.abandoned, 0);
}

/// The store hangs until the host's view is stale. A path without a route is then refused with a time to retry after,
/// not answered as unknown.
#[test]
fn a_path_without_a_route_may_be_new_in_an_outage() {
    let mut run = Run::start(Store::new());
    run.pass(5000);
    run.site.arrive(plain_request("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(404));
    run.store.set_mode(StoreMode::Hangs);
    run.pass(2000);
    run.site.arrive(plain_request("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(503));
    run.store.set_mode(StoreMode::Answers);
    run.pass(MAX_CATCH_UP_MS);
    run.site.arrive(plain_request("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(404));
}

/// An answer arrives after its call was abandoned and after a newer answer. Guards against reverting the view.
#[test]
fn a_late_answer_changes_nothing() {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let at = run.store.revision;
    run.site.event(RelayEvent::StoreAnswered {
        number: 1,
        answer: StoreAnswer::Page {
            revision: at + 50,
            changes: Changes::default(),
            after: None,
        },
    });
    run.store.revision += 1;
    assert!(run.until_current() <= MAX_CATCH_UP_MS);
}

/// Every change ends the watch of every host, and the store can serve some thousand calls per second in total. The more
/// hosts there are, the longer each pauses between two watches.
#[test]
fn more_hosts_pause_longer_between_watches() {
    let pause = |hosts| watch_pause(hosts).as_millis();
    assert_eq!(
        [pause(1), pause(9), pause(78), pause(370)],
        [150, 150, 936, 1200]
    );
    let calls = |hosts: u32| f64::from(hosts) * 1000.0 / pause(hosts as usize) as f64;
    assert!(calls(78) < 90.0 && calls(370) < 310.0);
}
