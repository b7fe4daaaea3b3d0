//! One streamed request in the core: late, duplicate and missing chunks, and broken streams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::super::effect::OpenStream;
use super::super::event::{
    Arrival, AttemptFailure, Entry, EntryKind, Fingerprint, FleetEvent, ModelRequest, RequestEvent,
    RequestSpec, Timer,
};
use super::super::key::{AttemptKey, RequestKey};
use super::super::message::Suspect;
use super::super::{Core, Effect, Effects, Event, Time, poison};
use super::{CUSTOMER_KEY, Cluster};
use crate::error::{Kind, Ran};
use crate::lists::KeyHash;

const MODEL: &str = "raadgiver";
const FINGERPRINT: Fingerprint = Fingerprint([3; 16]);
/// Retry delays within which a request is sent again or refused.
const MAX_RETRY_DELAYS: u32 = 20;
/// Requests with different first blocks.
const PREFIX_COUNT: u8 = 12;
/// Copies that reach both engines of a request.
const COPY_COUNT: usize = 12;

struct TestHost {
    core: Core,
    now: Time,
    out: Effects,
}

impl TestHost {
    /// Starts a host with `engines` listed engines.
    fn new(engines: u16) -> Self {
        let mut cluster = Cluster::new(1, 7);
        let mut host = Self {
            core: cluster.hosts.remove(0).core,
            now: cluster.now,
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
        host.feed(Event::Fleet(FleetEvent::Listed(entries.collect())));
        host
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
        self.arrive_as(FINGERPRINT, None)
    }

    fn arrive_as(&mut self, fingerprint: Fingerprint, prefix: Option<u64>) -> OpenStream {
        let want = ModelRequest {
            model: MODEL.into(),
            prompt_tokens: 10,
            max_output: 3,
            prefix_hashes: prefix.into_iter().collect(),
        };
        let arrival = Arrival {
            tag: 1,
            key_hash: KeyHash::of(CUSTOMER_KEY),
            spec: RequestSpec::Model(want),
            idempotency_key: None,
            fingerprint,
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

    /// Delivers a chunk to the core; returns whether it was forwarded.
    fn stream_event(&mut self, attempt: AttemptKey, offset: u64, tokens: u32) -> bool {
        self.feed(Event::Request(RequestEvent::StreamEvent {
            attempt,
            offset,
            tokens,
        }));
        let forwarded = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
        self.out.iter().any(forwarded)
    }

    /// Delivers the end marker to the core; returns whether the answer is complete.
    fn stream_completed(&mut self, attempt: AttemptKey) -> bool {
        self.feed(Event::Request(RequestEvent::StreamCompleted(attempt)));
        let completed = |effect: &Effect| matches!(effect, Effect::Finish(_));
        self.out.iter().any(completed)
    }

    fn fail_attempt(&mut self, attempt: AttemptKey, end: AttemptFailure) {
        self.feed(Event::Request(RequestEvent::AttemptFailed {
            attempt,
            ran: Ran::Unknown,
            end,
            detail: "injected fault".into(),
        }));
    }

    /// Sends a request whose engine falls silent after a token; returns its attempt and the one that resumes it.
    fn fall_silent(&mut self) -> (OpenStream, OpenStream) {
        let first = self.arrive();
        assert!(self.stream_event(first.attempt, 0, 1));
        self.wait(Duration::from_secs(50), Timer::Silence(first.attempt));
        let resumed = self.opened().expect("it is resumed");
        assert_eq!(resumed.resume_from, Some(1));
        (first, resumed)
    }

    fn has_cancelled(&self, attempt: AttemptKey) -> bool {
        let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel(key) if *key == attempt);
        self.out.iter().any(is_cancel)
    }

    /// Ends an attempt as one that the engine refused and did not run.
    fn refuse_attempt(&mut self, attempt: AttemptKey) {
        self.feed(Event::Request(RequestEvent::AttemptFailed {
            attempt,
            ran: Ran::No,
            end: AttemptFailure::Refused,
            detail: "refused".into(),
        }));
    }

    fn refused(&self) -> Option<Kind> {
        self.out.iter().find_map(|effect| match effect {
            Effect::Refuse { refusal, .. } => Some(refusal.kind),
            _ => None,
        })
    }

    /// Waits for the retry delay after the loss of an engine.
    fn wait_retry_delay(&mut self, request: RequestKey) {
        self.wait(Duration::from_millis(100), Timer::Request(request));
    }

    /// Waits until the request is sent again or refused.
    fn wait_until_sent(&mut self, request: RequestKey) -> Option<OpenStream> {
        for _ in 0..MAX_RETRY_DELAYS {
            self.wait_retry_delay(request);
            if self.opened().is_some() || self.refused().is_some() {
                break;
            }
        }
        self.opened()
    }

    /// Delivers another host's report that the engine at `addr` crashed while running the request.
    fn receive_crash(&mut self, fingerprint: Fingerprint, addr: SocketAddr) {
        let engines = self.core.fleet.arena.values();
        let mut engines = engines.filter(|engine| engine.addr == addr);
        let suspect = Suspect {
            fingerprint,
            engine: engines.next().expect("the engine is listed").name.clone(),
            at_ms: self.core.wall_ms(),
            request: "r".into(),
            answering: false,
        };
        poison::receive(&mut self.core, suspect);
    }

    /// Has two engines refuse the connections of the request; returns it and their addresses.
    fn lose_two_engines(&mut self) -> (RequestKey, [SocketAddr; 2]) {
        let first = self.arrive();
        self.fail_attempt(first.attempt, AttemptFailure::Unreachable);
        let second = self.wait_until_sent(first.request);
        let second = second.expect("it is sent to its other engine");
        self.fail_attempt(second.attempt, AttemptFailure::Unreachable);
        (first.request, [first.addr, second.addr])
    }

    /// Returns the sums of streams, prefill and decode tokens over all engines.
    fn total_work(&self) -> (u32, u64, u64) {
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

/// The stream breaks between the finish reason and the end marker, and is resumed before the finish
/// reason. It must not be forwarded again: a client would read it as the end of a second answer.
#[test]
fn finish_reason_is_delivered_once() {
    let mut host = TestHost::new(2);
    let first = host.arrive().attempt;
    assert!(host.stream_event(first, 0, 1) && host.stream_event(first, 1, 0));
    host.fail_attempt(first, AttemptFailure::Cut);
    let again = host.opened().expect("it is resumed");
    assert_eq!(again.resume_from, Some(1));
    assert!(!host.stream_event(again.attempt, 1, 0));
    assert!(host.stream_completed(again.attempt));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// The end marker arrives without the last chunks. The truncated answer must not count as complete.
#[test]
fn end_marker_without_the_last_tokens_is_no_end() {
    let mut host = TestHost::new(2);
    let first = host.arrive().attempt;
    assert!(host.stream_event(first, 0, 1));
    assert!(!host.stream_completed(first));
    let again = host.opened().expect("it is resumed");
    assert_eq!(again.resume_from, Some(1));
}

/// Chunks of an abandoned attempt still arrive while the next attempt runs.
#[test]
fn events_of_an_abandoned_attempt_are_dropped() {
    let mut host = TestHost::new(2);
    let first = host.arrive().attempt;
    assert!(host.stream_event(first, 0, 1));
    host.fail_attempt(first, AttemptFailure::Cut);
    let again = host.opened().expect("it is resumed").attempt;
    assert!(!host.stream_event(first, 1, 1));
    assert!(!host.stream_completed(first));
    assert!(
        !host.stream_event(again, 0, 1),
        "the token was forwarded before"
    );
    assert!(host.stream_event(again, 1, 1));
}

/// An engine that answers 404 to a resume after a silence never received the request: its
/// connection was dead from the start. If that counted as a crash, two such connections would block
/// the request for ten minutes.
#[test]
fn silence_is_not_a_crash() {
    let mut host = TestHost::new(1);
    let first = host.arrive();
    host.wait(Duration::from_secs(30), Timer::Silence(first.attempt));
    let resumed = host.opened().expect("it is resumed");
    assert!(resumed.resume_from.is_some());
    host.fail_attempt(resumed.attempt, AttemptFailure::Forgotten);
    let fresh = host.opened().expect("it starts again at the same engine");
    assert_eq!((fresh.resume_from, fresh.addr), (None, first.addr));
    assert!(host.stream_event(fresh.attempt, 0, 1));
}

/// The only engine falls silent in an answer, refuses to resume it, as one whose connections are all in use does, and goes on.
/// Guards against an answer that is cut for a refusal.
#[test]
fn a_refused_resume_does_not_cut_a_silent_answer() {
    let mut host = TestHost::new(1);
    let (first, resumed) = host.fall_silent();
    host.refuse_attempt(resumed.attempt);
    assert_eq!(host.refused(), None, "the answer is cut");
    assert!(host.stream_event(first.attempt, 1, 1), "it goes on");
    assert!(host.stream_event(first.attempt, 2, 0));
    assert!(host.stream_completed(first.attempt));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// An engine falls silent in an answer, is asked to resume it and goes on first. Guards against tokens that are dropped, or
/// forwarded twice, and against a connection that stays open.
#[test]
fn a_silent_answer_goes_on_while_it_is_resumed() {
    let mut host = TestHost::new(2);
    let (first, resumed) = host.fall_silent();
    assert!(host.stream_event(first.attempt, 1, 1), "it goes on");
    assert!(host.has_cancelled(resumed.attempt));
    assert!(
        !host.stream_event(resumed.attempt, 1, 1),
        "a token came twice"
    );
    assert!(host.stream_event(first.attempt, 2, 0));
    assert!(host.stream_completed(first.attempt));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// An engine falls silent in an answer and resumes it on another connection. Guards against tokens of the silent one that
/// come late.
#[test]
fn a_resumed_answer_closes_the_silent_connection() {
    let mut host = TestHost::new(2);
    let (first, resumed) = host.fall_silent();
    assert!(host.stream_event(resumed.attempt, 1, 1), "it goes on");
    assert!(host.has_cancelled(first.attempt));
    assert!(
        !host.stream_event(first.attempt, 1, 1),
        "a token came twice"
    );
    assert!(host.stream_event(resumed.attempt, 2, 0));
    assert!(host.stream_completed(resumed.attempt));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// The only engine falls silent in an answer for good and refuses to resume it. Guards against a caller that waits for ever.
#[test]
fn an_answer_that_is_silent_for_good_ends() {
    let mut host = TestHost::new(1);
    let (first, resumed) = host.fall_silent();
    host.refuse_attempt(resumed.attempt);
    host.wait(Duration::from_secs(50), Timer::Silence(first.attempt));
    let again = host.opened().expect("it is resumed");
    host.refuse_attempt(again.attempt);
    assert_eq!(host.refused(), Some(Kind::NoEngine));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// A caller that does not read blocks the stream of its engine. If that counted as silence of the
/// engine, the stream would be closed and restarted elsewhere repeatedly.
#[test]
fn slow_caller_is_not_a_silent_engine() {
    let mut host = TestHost::new(1);
    let open = host.arrive();
    assert!(host.stream_event(open.attempt, 0, 1));
    host.feed(Event::Request(RequestEvent::DeliveryBlocked(open.attempt)));
    host.wait(Duration::from_secs(50), Timer::Silence(open.attempt));
    assert!(host.opened().is_none() && host.refused().is_none());
    host.feed(Event::Request(RequestEvent::Began(open.attempt)));
    host.wait(Duration::from_secs(50), Timer::Silence(open.attempt));
    assert!(host.opened().is_some(), "now the engine is silent");
}

/// A body that one engine rejects as malformed is malformed for every engine. If it were retried at
/// each, one caller's mistake would mark them all as failed.
#[test]
fn malformed_request_is_tried_once() {
    let mut host = TestHost::new(3);
    let open = host.arrive();
    host.fail_attempt(open.attempt, AttemptFailure::Rejected);
    assert_eq!(host.refused(), Some(Kind::Malformed));
    let engines = host.core.fleet.arena.values();
    assert!(engines.into_iter().all(|engine| engine.failures == 0));
}

/// Two engines crash while they run the request. It must not be sent to a third, and the work
/// counted at the engines must return to zero.
#[test]
fn poison_request_crashes_at_most_two_engines() {
    let mut host = TestHost::new(4);
    let mut open = host.arrive();
    for _ in 0..2 {
        host.fail_attempt(open.attempt, AttemptFailure::Cut);
        let resumed = host.opened().expect("it is resumed");
        assert_eq!(resumed.addr, open.addr);
        host.fail_attempt(resumed.attempt, AttemptFailure::Unreachable);
        assert!(
            host.opened().is_none(),
            "it waits for reports of other hosts"
        );
        host.wait_retry_delay(open.request);
        if let Some(next) = host.opened() {
            open = next;
        }
    }
    assert_eq!(host.refused(), Some(Kind::EngineKiller));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// Guards against a third engine for copies whose two engines crashed under copies of other hosts, with the reports
/// still in flight.
#[test]
fn late_crash_reports_cost_no_third_engine() {
    let mut host = TestHost::new(4);
    let (request, engines) = host.lose_two_engines();
    host.wait_retry_delay(request);
    assert!(host.opened().is_none(), "sent to a third engine");
    for engine in engines {
        host.receive_crash(FINGERPRINT, engine);
    }
    assert!(host.wait_until_sent(request).is_none());
    assert_eq!(host.refused(), Some(Kind::EngineKiller));
    assert_eq!(host.total_work(), (0, 0, 0));
}

/// Guards against requests that wait for reports although their engines ended for other reasons.
#[test]
fn request_whose_engines_are_gone_goes_elsewhere() {
    let mut host = TestHost::new(4);
    let (request, engines) = host.lose_two_engines();
    let third = host.wait_until_sent(request).expect("it is sent elsewhere");
    assert!(!engines.contains(&third.addr));
}

/// Guards against a third engine for a request whose first block is cached at one of its two engines.
#[test]
fn first_crash_leaves_the_other_of_the_two_engines() {
    for number in 0..PREFIX_COUNT {
        let fingerprint = Fingerprint([number; 16]);
        let prefix = Some(u64::from(number) + 1);
        let mut host = TestHost::new(4);
        let copies = (0..COPY_COUNT).map(|_| host.arrive_as(fingerprint, prefix).addr);
        let engines: BTreeSet<SocketAddr> = copies.collect();
        assert_eq!(engines.len(), 2, "{engines:?}");
        for &crashed in &engines {
            let mut host = TestHost::new(4);
            host.receive_crash(fingerprint, crashed);
            let next = host.arrive_as(fingerprint, prefix).addr;
            assert!(
                next != crashed && engines.contains(&next),
                "{number}: {next}, not of {engines:?}"
            );
        }
    }
}
