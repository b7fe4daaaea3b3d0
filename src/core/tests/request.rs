//! One stream through the core: pieces late, twice, missing, and ends without an end.

use std::time::Duration;

use super::super::effect::OpenStream;
use super::super::event::{
    Arrival, AttemptFailure, Entry, EntryKind, Fingerprint, FleetEvent, ModelRequest, RequestEvent,
    RequestSpec, Timer,
};
use super::super::key::{AttemptKey, RequestKey};
use super::super::{Core, Effect, Effects, Event, Time};
use super::{CUSTOMER_KEY, World};
use crate::error::{Kind, Ran};
use crate::lists::KeyHash;

const MODEL: &str = "raadgiver";

struct Bench {
    core: Core,
    now: Time,
    out: Effects,
}

impl Bench {
    /// Starts a host that knows `engines` engines.
    fn new(engines: u16) -> Self {
        let mut world = World::new(1, 7);
        let mut bench = Self {
            core: world.hosts.remove(0).core,
            now: world.now,
            out: Effects::new(),
        };
        let entries = (1..=engines).map(|number| Entry {
            name: format!("{MODEL}-{number}").into(),
            kind: EntryKind::Engine,
            pool: MODEL.into(),
            addr: ([127, 0, 0, 1], 100 + number).into(),
            domain: "d".into(),
            leaving: false,
        });
        bench.feed(Event::Fleet(FleetEvent::Listed(entries.collect())));
        bench
    }

    fn feed(&mut self, event: Event) {
        self.out.clear();
        self.core.reduce(self.now, event, &mut self.out);
    }

    fn wait(&mut self, span: Duration, timer: Timer) {
        self.now = self.now.after(span);
        self.feed(Event::Timer(timer));
    }

    fn arrive(&mut self) -> OpenStream {
        let want = ModelRequest {
            model: MODEL.into(),
            prompt_tokens: 10,
            max_output: 3,
            prefix_hashes: Vec::new(),
        };
        let arrival = Arrival {
            tag: 1,
            key_hash: KeyHash::of(CUSTOMER_KEY),
            spec: RequestSpec::Model(want),
            idempotency_key: None,
            fingerprint: Fingerprint([3; 16]),
        };
        self.feed(Event::Request(RequestEvent::Arrived(Box::new(arrival))));
        let refused = self.refused();
        self.opened()
            .unwrap_or_else(|| panic!("no attempt is opened: {refused:?} {:?}", self.out))
    }

    fn opened(&self) -> Option<OpenStream> {
        self.out.iter().find_map(|effect| match effect {
            Effect::OpenStream(open) => Some(open.clone()),
            _ => None,
        })
    }

    /// Takes in a piece; returns whether it was passed on.
    fn chunk(&mut self, attempt: AttemptKey, offset: u64, tokens: u32) -> bool {
        self.feed(Event::Request(RequestEvent::StreamEvent {
            attempt,
            offset,
            tokens,
        }));
        let passed = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
        self.out.iter().any(passed)
    }

    /// Takes in the end marker; returns whether the answer is whole now.
    fn whole(&mut self, attempt: AttemptKey) -> bool {
        self.feed(Event::Request(RequestEvent::StreamCompleted(attempt)));
        let whole = |effect: &Effect| matches!(effect, Effect::Finish(_));
        self.out.iter().any(whole)
    }

    fn broke(&mut self, attempt: AttemptKey, end: AttemptFailure) {
        self.feed(Event::Request(RequestEvent::AttemptFailed {
            attempt,
            ran: Ran::Unknown,
            end,
            detail: "in the test".into(),
        }));
    }

    fn refused(&self) -> Option<Kind> {
        self.out.iter().find_map(|effect| match effect {
            Effect::Refuse { refusal, .. } => Some(refusal.kind),
            _ => None,
        })
    }

    /// Waits out the pause after an engine's loss.
    fn pause(&mut self, request: RequestKey) {
        self.wait(Duration::from_millis(100), Timer::Request(request));
    }

    /// Returns streams, prefill and decode tokens counted at all engines.
    fn counted(&self) -> (u32, u64, u64) {
        let engines = self.core.fleet.arena.values();
        engines.fold((0, 0, 0), |(streams, prefill, decode), engine| {
            (
                streams + engine.streams,
                prefill + engine.prefill,
                decode + engine.decode,
            )
        })
    }
}

/// The stream breaks between the finish reason and the end marker. It is read again from there,
/// and the caller would see a second finish reason, which a client takes for a second answer.
#[test]
fn finish_reason_is_passed_on_once() {
    let mut bench = Bench::new(2);
    let first = bench.arrive().attempt;
    assert!(bench.chunk(first, 0, 1) && bench.chunk(first, 1, 0));
    bench.broke(first, AttemptFailure::Cut);
    let again = bench.opened().expect("it is resumed");
    assert_eq!(again.resume_from, Some(1));
    assert!(!bench.chunk(again.attempt, 1, 0));
    assert!(bench.whole(again.attempt));
    assert_eq!(bench.counted(), (0, 0, 0));
}

/// The end marker comes although the last pieces did not. The answer would be passed off as
/// whole.
#[test]
fn end_marker_alone_is_no_end() {
    let mut bench = Bench::new(2);
    let first = bench.arrive().attempt;
    assert!(bench.chunk(first, 0, 1));
    assert!(!bench.whole(first));
    let again = bench.opened().expect("it is resumed");
    assert_eq!(again.resume_from, Some(1));
}

/// Pieces of an attempt that was given up still arrive while the next one runs.
#[test]
fn pieces_of_an_attempt_given_up_are_dropped() {
    let mut bench = Bench::new(2);
    let first = bench.arrive().attempt;
    assert!(bench.chunk(first, 0, 1));
    bench.broke(first, AttemptFailure::Cut);
    let again = bench.opened().expect("it is resumed").attempt;
    assert!(!bench.chunk(first, 1, 1));
    assert!(!bench.whole(first));
    assert!(!bench.chunk(again, 0, 1), "the caller has it already");
    assert!(bench.chunk(again, 1, 1));
}

/// An engine that answers 404 to a resume after a silence never saw the request: its connection
/// was dead from the start. Counted as a death, two such connections would have the request
/// refused for ten minutes.
#[test]
fn silence_is_no_death() {
    let mut bench = Bench::new(1);
    let first = bench.arrive();
    bench.wait(Duration::from_secs(30), Timer::Silence(first.attempt));
    let resumed = bench.opened().expect("it is resumed");
    assert!(resumed.resume_from.is_some());
    bench.broke(resumed.attempt, AttemptFailure::Forgotten);
    let fresh = bench.opened().expect("it starts again at the same engine");
    assert_eq!((fresh.resume_from, fresh.addr), (None, first.addr));
    assert!(bench.chunk(fresh.attempt, 0, 1));
}

/// A caller that takes nothing has its engine wait. Read as silence of the engine, the stream
/// would be cut and started elsewhere again and again.
#[test]
fn slow_caller_is_no_silent_engine() {
    let mut bench = Bench::new(1);
    let open = bench.arrive();
    assert!(bench.chunk(open.attempt, 0, 1));
    bench.feed(Event::Request(RequestEvent::DeliveryBlocked(open.attempt)));
    bench.wait(Duration::from_secs(50), Timer::Silence(open.attempt));
    assert!(bench.opened().is_none() && bench.refused().is_none());
    bench.feed(Event::Request(RequestEvent::Began(open.attempt)));
    bench.wait(Duration::from_secs(50), Timer::Silence(open.attempt));
    assert!(bench.opened().is_some(), "now the engine is silent");
}

/// A body that the engine calls malformed is malformed for every engine. Tried at each, one
/// caller's mistake would take them all out of service for a while.
#[test]
fn malformed_request_is_tried_once() {
    let mut bench = Bench::new(3);
    let open = bench.arrive();
    bench.broke(open.attempt, AttemptFailure::Rejected);
    assert_eq!(bench.refused(), Some(Kind::Malformed));
    let engines = bench.core.fleet.arena.values();
    assert!(engines.into_iter().all(|engine| engine.failures == 0));
}

/// Two engines die while they run the request; the third is spared, and the counts of work at
/// the engines come back to nothing.
#[test]
fn third_engine_is_spared() {
    let mut bench = Bench::new(4);
    let mut open = bench.arrive();
    for _ in 0..2 {
        bench.broke(open.attempt, AttemptFailure::Cut);
        let resumed = bench.opened().expect("it is resumed");
        assert_eq!(resumed.addr, open.addr);
        bench.broke(resumed.attempt, AttemptFailure::Unreachable);
        assert!(bench.opened().is_none(), "it waits for what others know");
        bench.pause(open.request);
        if let Some(next) = bench.opened() {
            open = next;
        }
    }
    assert_eq!(bench.refused(), Some(Kind::EngineKiller));
    assert_eq!(bench.counted(), (0, 0, 0));
}
