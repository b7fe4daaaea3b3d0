//! How a host keeps up with a store that falls silent, turns calls away, is slow or loses answers.

mod probes;
mod replicated;

use super::*;
use crate::core::relay::event::{Ask, StoreAnswer};
use crate::core::relay::view::watch_pause;

/// Time after the store's return within which a host must know what changed meanwhile.
const MAX_CATCH_UP_MS: u64 = 1000;
/// Time between two steps of a run.
const STEP_MS: u64 = 10;

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mood {
    Answers,
    /// It takes calls and never answers them; those that wait are not answered either.
    Silent,
    /// The same, but a watch that waited before is answered later.
    Paused,
    /// It turns every call away.
    Refuses,
    /// Nothing reaches it, and connections are tried again as a kernel does.
    Cut,
}

/// Times after which a kernel repeats the first packet of a connection.
const SYN_RETRY_MS: [u64; 3] = [1000, 3000, 7000];
/// Time that a page's or a probe's connection may take.
const CONNECT_TIMEOUT_MS: u64 = 1500;

/// A store in virtual time, with a configuration whose version is the only thing that changes.
struct Store {
    mood: Mood,
    revision: i64,
    /// Calls in hand: what was asked, and when the answer is due.
    calls: BTreeMap<u64, (Ask, u64)>,
    /// Time that an answer takes.
    takes: u64,
    /// Time that a page takes beyond that.
    page: u64,
    /// Pages of a whole read.
    pages: usize,
    /// Pages, watches and probes asked for.
    asked: (u32, u32, u32),
    /// Revisions by which the answers to probes are behind.
    behind: i64,
    /// Calls whose connection is not made yet, and when they were made.
    connecting: BTreeMap<u64, (Ask, u64)>,
}

impl Store {
    fn new() -> Self {
        Self {
            mood: Mood::Answers,
            revision: 10,
            calls: BTreeMap::new(),
            takes: STEP_MS,
            page: 0,
            pages: 1,
            asked: (0, 0, 0),
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

    fn take(&mut self, number: u64, ask: &Ask, now: u64) {
        let (count, takes) = match ask {
            Ask::Page { .. } => (&mut self.asked.0, self.takes + self.page),
            Ask::Watch { .. } => (&mut self.asked.1, self.takes),
            Ask::Probe => (&mut self.asked.2, self.takes),
        };
        *count += 1;
        if self.mood == Mood::Cut {
            self.connecting.insert(number, (ask.clone(), now));
        } else if !matches!(self.mood, Mood::Silent | Mood::Paused) {
            self.calls.insert(number, (ask.clone(), now + takes));
        }
    }

    /// Returns the answer to a call that is due, if there is one by now.
    fn answer(&self, ask: &Ask, due: u64, now: u64) -> Option<StoreAnswer> {
        if self.mood == Mood::Refuses {
            return Some(StoreAnswer::Failed { refused: true });
        }
        Some(match ask {
            Ask::Probe => StoreAnswer::Newest(self.revision - self.behind),
            Ask::Page { after } => {
                let page = after.as_ref().map_or(0, |after| after.len()) + 1;
                StoreAnswer::Page {
                    at: self.revision,
                    changes: self.configured(),
                    after: (page < self.pages).then(|| "x".repeat(page).into()),
                }
            }
            Ask::Watch { after, wait } => {
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
                    at: self.revision,
                    changes,
                    events: Vec::new(),
                }
            }
        })
    }

    /// Returns the calls whose connection is given up.
    fn unconnected(&mut self, now: u64) -> Vec<u64> {
        let late = |ask: &Ask, at: u64| {
            !matches!(ask, Ask::Watch { .. }) && now >= at + CONNECT_TIMEOUT_MS
        };
        let all = self.connecting.iter();
        let late = all.filter(|(_, (ask, at))| late(ask, *at));
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        self.connecting.retain(|number, _| !late.contains(number));
        late
    }

    /// Has the calls reach the store whose first packet is repeated now.
    fn connect(&mut self, now: u64) {
        let repeats = |at: u64| SYN_RETRY_MS.iter().any(|after| at + after == now);
        let (ready, later): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.connecting)
            .into_iter()
            .partition(|(_, (_, at))| repeats(*at));
        self.connecting = later;
        let takes = self.takes;
        self.calls.extend(
            ready
                .into_iter()
                .map(|(number, (ask, _))| (number, (ask, now + takes))),
        );
    }

    fn turn(&mut self, mood: Mood) {
        if mood == Mood::Cut {
            self.calls.clear();
        }
        if mood == Mood::Silent {
            self.calls.clear();
        }
        if mood == Mood::Paused {
            self.calls
                .retain(|_, (ask, _)| matches!(ask, Ask::Watch { .. }));
        }
        self.mood = mood;
    }
}

/// A host, a store, and the calls that the host gave up as lost.
struct Run {
    site: Site,
    store: Store,
    given_up: u32,
}

impl Run {
    fn start(store: Store) -> Self {
        let site = Site::blank();
        let mut run = Self {
            site,
            store,
            given_up: 0,
        };
        let first = run.site.out.clone();
        run.carry(&first);
        run
    }

    fn carry(&mut self, effects: &Effects) {
        for effect in effects {
            match effect {
                Effect::Relay(RelayEffect::Ask { number, ask }) => {
                    self.store.take(*number, ask, self.site.now);
                }
                Effect::Relay(RelayEffect::Unask(number)) => {
                    self.store.calls.remove(number);
                    self.store.connecting.remove(number);
                    self.given_up += 1;
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        let out = self.site.pass(STEP_MS);
        self.carry(&out);
        let now = self.site.now;
        for number in self.store.unconnected(now) {
            let answer = StoreAnswer::Failed { refused: true };
            self.site.event(RelayEvent::Store { number, answer });
            let out = self.site.out.clone();
            self.carry(&out);
        }
        if matches!(self.store.mood, Mood::Silent | Mood::Paused | Mood::Cut) {
            return;
        }
        self.store.connect(now);
        let store = &self.store;
        let due = store.calls.iter().filter(|(_, (_, due))| *due <= now);
        let answers =
            due.filter_map(|(number, (ask, due))| Some((*number, store.answer(ask, *due, now)?)));
        let answers: Vec<_> = answers.collect();
        for (number, answer) in answers {
            self.store.calls.remove(&number);
            self.site.event(RelayEvent::Store { number, answer });
            let out = self.site.out.clone();
            self.carry(&out);
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    fn knows(&self) -> bool {
        let catalog = self.site.core.relay.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.version == self.store.version())
    }

    /// Returns the time until the host knows the newest configuration.
    fn until_known(&mut self) -> u64 {
        let start = self.site.now;
        while !self.knows() {
            self.step();
            assert!(self.site.now < start + 60_000, "it is never known");
        }
        self.site.now - start
    }
}

/// Lengths of a silence: shorter and longer than the time between probes, than the bound of a call
/// and than the wait of a watch.
const OUTAGE_MS: [u64; 8] = [50, 300, 650, 1000, 2200, 5000, 12_000, 24_000];
/// Moments at which it begins, against the host's own calls.
const START_OFFSETS: u64 = 40;

/// Has the store in a mood at any moment and for any time, with a change in it, and checks when the
/// host knows the change.
fn any_moment(mood: Mood, pages: usize, before: u64) {
    for length in OUTAGE_MS {
        for moment in 0..START_OFFSETS {
            let mut run = Run::start(Store {
                pages,
                ..Store::new()
            });
            run.pass(before + moment * 50);
            // The host watches again within 150 ms of a change, before the silence or in it.
            run.store.revision += 1;
            run.pass(moment % 20 * STEP_MS);
            run.store.turn(mood);
            run.pass(length / 2);
            run.store.revision += 1;
            run.pass(length - length / 2);
            run.store.turn(Mood::Answers);
            let known = run.until_known();
            assert!(
                known <= MAX_CATCH_UP_MS,
                "{known} ms after {mood:?} of {length} ms at moment {moment}"
            );
            // And it goes on following.
            run.pass(3000);
            run.store.revision += 1;
            let known = run.until_known();
            assert!(known <= MAX_CATCH_UP_MS, "{known} ms later");
        }
    }
}

/// Has the store change something in two seconds of silence, and checks when the host knows it.
fn miss_a_change(run: &mut Run) {
    run.store.turn(Mood::Silent);
    run.store.revision += 1;
    run.pass(2000);
    run.store.turn(Mood::Answers);
    let known = run.until_known();
    assert!(known <= MAX_CATCH_UP_MS, "{known} ms");
}

macro_rules! moments {
    ($($(#[$story:meta])* $name:ident: $mood:expr, $pages:expr, $before:expr;)*) => {
        $($(#[$story])* #[test] fn $name() { any_moment($mood, $pages, $before); })*
    };
}

moments! {
    /// The store takes calls and answers none, while the host waits for changes. What the host waits
    /// on stays silent also after the store's return: callers met an old configuration for 21 s.
    a_watch_is_lost_in_a_silence: Mood::Silent, 1, 2000;
    /// The same, but the watch that waited before is answered: only what is asked in it is lost.
    a_call_is_sent_into_a_silence: Mood::Paused, 1, 2000;
    /// The host starts as the store falls silent, in the middle of reading every key.
    a_page_is_lost_in_a_silence: Mood::Silent, 5, 0;
    /// The store turns every call away for a while.
    a_store_turns_calls_away: Mood::Refuses, 1, 2000;
    /// The host is cut off from the store, and probes whose connection is repeated after the cut are
    /// answered late: that is no slow store, for which a lost watch is given up seconds later.
    a_watch_is_lost_in_a_cut: Mood::Cut, 1, 2000;
    /// The host starts while the store turns every call away.
    a_store_turns_a_new_host_away: Mood::Refuses, 3, 0;
}

/// One connection falls silent for good, and the watch with it; the store answers every other call.
#[test]
fn a_watch_alone_is_lost() {
    for moment in 0..START_OFFSETS {
        let mut run = Run::start(Store::new());
        run.pass(2000 + moment * 50);
        run.store.calls.retain(|_, (ask, _)| *ask == Ask::Probe);
        run.store.revision += 1;
        let known = run.until_known();
        assert!(known <= MAX_CATCH_UP_MS, "{known} ms at moment {moment}");
    }
}

/// The revision that probes are told is behind what the store holds. A watch lost in a silence is
/// noticed all the same, by the probes lost beside it.
#[test]
fn probes_that_are_behind_hide_no_silence() {
    let mut run = Run::start(Store {
        behind: 5,
        ..Store::new()
    });
    run.pass(3000);
    miss_a_change(&mut run);
}

/// The store is fifty times as slow as it should be. Nothing is lost, and hosts that gave calls up
/// for lost would ask for everything again and again.
#[test]
fn a_slow_store_is_not_a_silent_one() {
    for takes in [200, 500, 1200] {
        let mut run = Run::start(Store {
            takes,
            ..Store::new()
        });
        for _ in 0..20 {
            run.pass(3000);
            run.store.revision += 1;
        }
        assert_eq!(run.given_up, 0, "at {takes} ms a call");
        assert_eq!(run.store.asked.0, 1, "at {takes} ms a call");
    }
}

/// Pages come slowly over a narrow link beside probes that are answered at once. Given up each time,
/// the keys would never be read.
#[test]
fn a_slow_page_comes_through() {
    let mut run = Run::start(Store {
        page: 2500,
        pages: 3,
        ..Store::new()
    });
    run.pass(30_000);
    assert!(run.knows());
    assert!(run.given_up <= 5, "{} given up", run.given_up);
}

/// Nothing happens. Watches and probes are all that the store is asked, and a probe costs a tenth.
#[test]
fn a_quiet_minute_costs_few_calls() {
    let mut run = Run::start(Store::new());
    run.pass(60_000);
    let (pages, watches, probes) = run.store.asked;
    assert_eq!((pages, watches), (1, 3));
    assert!((92..=150).contains(&probes), "{probes} probes");
    assert_eq!(run.given_up, 0);
}

/// The store falls silent. After a while the host no longer takes what it knows for all there is: a
/// path without a route is refused with a time to come back, not called unknown.
#[test]
fn a_path_without_a_route_may_be_new_in_a_silence() {
    let mut run = Run::start(Store::new());
    run.pass(5000);
    run.site.arrive(call("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(404));
    run.store.turn(Mood::Silent);
    run.pass(2000);
    run.site.arrive(call("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(503));
    run.store.turn(Mood::Answers);
    run.pass(MAX_CATCH_UP_MS);
    run.site.arrive(call("/none/x"));
    assert_eq!(run.site.refused().map(|(status, ..)| status), Some(404));
}

/// An answer comes after its call was given up, and after a newer one. It must not undo what is
/// known since.
#[test]
fn a_late_answer_changes_nothing() {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let at = run.store.revision;
    run.site.event(RelayEvent::Store {
        number: 1,
        answer: StoreAnswer::Page {
            at: at + 50,
            changes: Changes::default(),
            after: None,
        },
    });
    run.store.revision += 1;
    assert!(run.until_known() <= MAX_CATCH_UP_MS);
}

/// Every change ends the watch of every host, and the store takes some thousand calls a second from
/// all of them. Few hosts ask soon; of many, each asks seldom, and all together no more often.
#[test]
fn hosts_ask_the_store_less_often_the_more_they_are() {
    let pause = |hosts| watch_pause(hosts).as_millis();
    assert_eq!(
        [pause(1), pause(9), pause(78), pause(370)],
        [150, 150, 936, 1200]
    );
    let calls = |hosts: u32| f64::from(hosts) * 1000.0 / pause(hosts as usize) as f64;
    assert!(calls(78) < 90.0 && calls(370) < 310.0);
}
