//! Requests whose silent attempt is kept, or was given up, while another server is asked to take them.

use super::network::Network;
use super::silence::forward_begun_stream;
use super::*;
use crate::core::relay::event::{ForwardRefusal, Task};
use crate::error::Kind;

/// Milliseconds within which a silent server is left.
pub(super) const LEFT_MS: u64 = 3000;
/// Milliseconds after which a standby is certainly given up.
const EXPIRED_MS: u64 = 350;
/// Milliseconds for which a standby is kept beside another run, at least.
const KEPT_MS: u64 = 280;
/// Milliseconds for which a request may go on at two servers (rule TWICE), less the time to cancel one.
const MAX_BOTH_MS: u64 = 350;
/// Milliseconds until a connection fails.
const CONNECT_MS: u64 = 250;
/// Milliseconds for which this host stands still.
const STALL_MS: u64 = 2000;

/// Defines tests of failures that a standby guards against.
macro_rules! standby_tests {
    ($($(#[$doc:meta])+ $name:ident: $body:expr;)*) => {$(
        $(#[$doc])+
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

/// Lets time pass until a request is sent.
pub(super) fn next_sent(site: &mut TestHost, millis: u64) -> Option<Outgoing> {
    let end = site.now + millis;
    while site.now < end {
        let out = site.advance(10);
        if let Some(first) = sent(&out).into_iter().next() {
            return Some(first);
        }
    }
    None
}

/// Returns a host with these plain servers and the attempt at the first of a request, whose answer has begun or not.
fn asked(ids: &[&str], path: &str, events: u64) -> (TestHost, Outgoing) {
    let mut site = TestHost::new();
    site.register(ids.iter().map(|id| plain_entry(id)).collect());
    site.arrive(plain_request(path));
    let first = site.sent().expect("a request is sent");
    for number in 1..=events {
        let attempt = first.attempt;
        site.event(RelayEvent::StreamEvent { attempt, number });
    }
    (site, first)
}

pub(super) fn is_cut(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::AbortAnswer(_))
}

fn is_answer(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::ForwardAnswer(_))
}

fn is_event(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::ForwardEvent(_))
}

/// A silent server sends a part of something that is no stream, while the next one is asked.
fn part_without_event() {
    let (mut site, first) = asked(&["a", "b"], "/feed/x", 1);
    let second = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    site.event(RelayEvent::AnswerReceived(first.attempt));
    let cancelled = |effect: &RelayEffect| matches!(effect, RelayEffect::Cancel(_));
    assert!(!site.has_effect(cancelled), "the next server is cancelled");
    let attempt = second.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 2 });
    let goes_on = |effect: &RelayEffect| matches!(effect, RelayEffect::ForwardEvent(_));
    assert!(site.has_effect(goes_on), "the next server does not go on");
}

/// The next server first repeats an event that the caller has, and breaks off.
fn repeated_event() {
    let (mut site, first) = asked(&["a", "b"], "/feed/x", 1);
    let second = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    let attempt = second.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    site.fail_attempt(attempt, Ran::Yes, AttemptFailure::Cut);
    let attempt = first.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 2 });
    let goes_on = |effect: &RelayEffect| matches!(effect, RelayEffect::ForwardEvent(_));
    assert!(site.has_effect(goes_on), "the silent server was given up");
}

/// The next server answers a begun stream with something else, after the silent attempt was given up.
fn plain_answer(status: u16) {
    let (mut site, _) = asked(&["a", "b"], "/feed/x", 1);
    let mut next = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    site.advance(EXPIRED_MS);
    for run in 2..=4 {
        let attempt = next.attempt;
        site.event(RelayEvent::Answered { attempt, status });
        // The route allows four attempts.
        assert_eq!(site.has_effect(is_cut), run == 4, "attempt {run}");
        if run < 4 {
            let again = site.sent().or_else(|| next_sent(&mut site, LEFT_MS));
            next = again.expect("the stream is offered again");
        }
    }
}

/// A server falls silent that is leaving, and goes on; another one would refuse its request.
fn silent_while_leaving(events: u64) -> Option<Outgoing> {
    let (mut site, first) = asked(&["a", "b"], "/feed/x", events);
    let leaving = BackendEntry {
        leaving: true,
        revision: 50,
        ..plain_entry(&first.instance)
    };
    site.register(vec![leaving]);
    let moved = next_sent(&mut site, LEFT_MS);
    if moved.is_none() {
        let (attempt, number) = (first.attempt, events + 1);
        site.event(RelayEvent::StreamEvent { attempt, number });
        assert!(site.has_effect(is_event), "the server does not go on");
    }
    moved
}

/// Waits until an attempt is cancelled; returns after how many milliseconds.
fn cancelled_after(site: &mut TestHost, attempt: AttemptKey) -> u64 {
    let start = site.now;
    let cancels = |effect: &RelayEffect| matches!(effect, RelayEffect::Cancel(a) if *a == attempt);
    while site.now < start + LEFT_MS {
        if has_effect(&site.advance(10), cancels) {
            return site.now - start;
        }
    }
    LEFT_MS
}

/// No connection is made to the next server; the one after it has the time to refuse, too.
fn second_next_server() {
    let (mut site, first) = asked(&["a", "b", "c"], "/feed/x", 1);
    let second = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    site.advance(CONNECT_MS);
    site.fail_attempt(second.attempt, Ran::No, AttemptFailure::Unreachable);
    site.sent().expect("the stream is moved again");
    let after = cancelled_after(&mut site, first.attempt);
    assert!((KEPT_MS..MAX_BOTH_MS).contains(&after), "{after} ms");
}

/// Has a stream of engines begin; returns its attempt at the decode engine.
pub(super) fn begin_stream(site: &mut TestHost, arrival: Arrival) -> Outgoing {
    site.arrive(arrival);
    let mut first = site.sent().expect("a request is sent");
    if first.task == Task::Prefill {
        let (attempt, handle) = (first.attempt, "k".into());
        site.event(RelayEvent::Prefilled { attempt, handle });
        first = site.sent().expect("the prompt is handed over");
    }
    let attempt = first.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    first
}

/// The prompt is prefilled for the next server, which takes longer than a standby is kept beside a run.
fn long_prefill() {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
    ]);
    let first = begin_stream(&mut site, model_request("/short/x", (1, 60), 290));
    let next = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    assert_eq!(next.task, Task::Prefill);
    let out = site.advance(EXPIRED_MS);
    let cancels = |effect: &RelayEffect| matches!(effect, RelayEffect::Cancel(_));
    assert!(!has_effect(&out, cancels), "cancelled for a prefill");
    let (attempt, handle) = (next.attempt, "l".into());
    site.event(RelayEvent::Prefilled { attempt, handle });
    let next = site.sent().expect("the prompt is handed over");
    assert!(matches!(next.task, Task::Decode { .. }));
    let after = cancelled_after(&mut site, first.attempt);
    assert!((KEPT_MS..MAX_BOTH_MS).contains(&after), "{after} ms");
}

/// Returns a host whose retry budget has room for so many sends, half of them at silent servers, with a stream that has begun
/// at a decode engine.
pub(super) fn begun_with_budget(sends: u32) -> (TestHost, Outgoing) {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
    ]);
    let relay = site.core.settings.relay.as_mut().expect("a relay");
    // The budget uses seven tenths of its slack.
    relay.retry_budget.slack = (f64::from(sends) + 0.5) / 0.7;
    relay.retry_budget.ratio = 0.0;
    let first = begin_stream(&mut site, model_request("/short/x", (1, 60), 290));
    (site, first)
}

/// Spends a repeat of the retry budget on another request.
fn spend(site: &mut TestHost) {
    let (now, relay) = (Time::from_millis(site.now), &mut site.core.relay);
    let settings = site.core.settings.relay.as_ref().expect("a relay");
    let budget = relay.retry_budgets.get_mut("model").expect("a budget");
    assert!(budget.try_spend(now, &settings.retry_budget, 1, 0));
}

/// The retry budget has room for a prefill of a begun stream, but not for the run that follows; the silent engine goes on.
fn budget_for_prefill() {
    let (mut site, first) = begun_with_budget(3);
    if let Some(next) = next_sent(&mut site, LEFT_MS) {
        let (attempt, handle) = (next.attempt, "l".into());
        site.event(RelayEvent::Prefilled { attempt, handle });
        assert!(!site.has_effect(is_cut), "the stream was cut");
    }
    let attempt = first.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 2 });
    assert!(site.has_effect(is_event), "the engine does not go on");
}

/// The retry budget has room for a prefill alone, and a begun stream falls silent.
fn wasted_prefill() {
    let (mut site, _) = begun_with_budget(3);
    let next = next_sent(&mut site, LEFT_MS);
    assert_eq!(next.map(|next| next.task), None, "sent for nothing");
}

/// Two streams fall silent, and the retry budget has room for a prefill and a run.
fn reserved_run() {
    let (mut site, _) = begun_with_budget(4);
    let mut arrival = model_request("/short/x", (2, 60), 290);
    arrival.id = "other".into();
    begin_stream(&mut site, arrival);
    let moved = next_sent(&mut site, LEFT_MS).expect("a stream is moved");
    assert_eq!(moved.task, Task::Prefill);
    assert!(next_sent(&mut site, 250).is_none(), "both are moved");
    let (attempt, handle) = (moved.attempt, "n".into());
    site.event(RelayEvent::Prefilled { attempt, handle });
    let run = site.sent().expect("the run that follows is sent");
    assert!(matches!(run.task, Task::Decode { .. }));
}

/// A prefill whose run was reserved fails, and its stream goes on at the silent engine; the room serves the next failure.
fn released_run() {
    let (mut site, first) = begun_with_budget(4);
    let moved = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    assert_eq!(moved.task, Task::Prefill);
    spend(&mut site);
    let attempt = first.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 2 });
    site.fail_attempt(attempt, Ran::Unknown, AttemptFailure::Cut);
    let again = site.sent().expect("the stream is prefilled anew");
    let (attempt, handle) = (again.attempt, "n".into());
    site.event(RelayEvent::Prefilled { attempt, handle });
    assert!(site.sent().is_some(), "the run that follows is not sent");
}

/// A begun stream falls silent, and its engine breaks it off after the budget for silent servers is used up.
fn budget_for_failures() {
    let (mut site, first) = begun_with_budget(4);
    spend(&mut site);
    spend(&mut site);
    let moved = next_sent(&mut site, LEFT_MS);
    assert_eq!(moved.map(|moved| moved.task), None, "moved for a silence");
    site.fail_attempt(first.attempt, Ran::Yes, AttemptFailure::Cut);
    assert!(!site.has_effect(is_cut), "the stream was cut");
    assert!(site.sent().is_some(), "the broken stream is not repeated");
}

/// The next server answers that it failed while the silent one still runs the request, which may run no more.
fn failure_beside_standby() {
    let (mut site, first) = asked(&["a", "b"], "/again/x", 0);
    let second = next_sent(&mut site, LEFT_MS).expect("the request is moved");
    let (attempt, status) = (second.attempt, 500);
    site.event(RelayEvent::Answered { attempt, status });
    assert!(!site.has_effect(is_answer), "the failure is passed on");
    site.advance(1000);
    let (attempt, status) = (first.attempt, 200);
    site.event(RelayEvent::Answered { attempt, status });
    assert!(site.has_effect(is_answer), "the answer is not passed on");
}

/// The next server refuses a request after the silent attempt was given up, and for a moment no other takes it.
fn refusal_after_expiry() {
    let (mut site, first) = asked(&["a", "b"], "/again/x", 0);
    let second = next_sent(&mut site, LEFT_MS).expect("the request is moved");
    site.advance(EXPIRED_MS);
    let key = site.core.relay.instances.find(&first.instance);
    let key = key.expect("known");
    site.core.relay.instances.arena[key].leaving = true;
    site.fail_attempt(second.attempt, Ran::No, AttemptFailure::Refused);
    assert_eq!(site.refused(), None, "refused with time left");
    let again = next_sent(&mut site, LEFT_MS).expect("the request is offered again");
    let (attempt, status) = (again.attempt, 200);
    site.event(RelayEvent::Answered { attempt, status });
    assert!(site.has_effect(is_answer), "the answer is not passed on");
}

/// The links are lost, and the host that a begun stream is forwarded to refuses it after the silent attempt was given up.
fn late_refusal_of_a_host(kind: Kind) {
    let mut network = Network::new(3, 1);
    let (site, _, attempt) = forward_begun_stream(&mut network);
    site.advance(EXPIRED_MS);
    let refusal = ForwardRefusal {
        kind,
        ran: Ran::No,
        retry_after: None,
    };
    site.event(RelayEvent::ForwardRefused { attempt, refusal });
    assert!(!site.has_effect(is_cut), "the stream was cut");
}

/// The configuration drops the service of a request whose prompt is being prefilled.
fn dropped_service() {
    let mut site = TestHost::new();
    let decode = engine_entry("d", Stage::Decode);
    site.register(vec![engine_entry("p", Stage::Prefill), decode]);
    site.arrive(model_request("/short/x", (1, 60), 4000));
    let first = site.sent().expect("a request is sent");
    assert_eq!(first.task, Task::Prefill);
    let version = 2;
    site.configure(Catalog {
        version,
        ..Catalog::default()
    });
    let (attempt, handle) = (first.attempt, "k".into());
    site.event(RelayEvent::Prefilled { attempt, handle });
    assert!(site.sent().is_none(), "sent to a dropped service");
    let refused = site.refused().map(|(status, ran, _)| (status, ran));
    assert_eq!(refused, Some((503, Ran::No)));
}

/// This host stands still while three servers send events, and reads these after its timers.
fn stall() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    let mut streams = Vec::new();
    for id in 0..9 {
        let mut arrival = plain_request("/feed/x");
        arrival.id = format!("id{id}").into();
        site.arrive(arrival);
        let attempt = site.sent().expect("a request is sent").attempt;
        site.event(RelayEvent::StreamEvent { attempt, number: 1 });
        streams.push(attempt);
    }
    site.now += STALL_MS;
    let out = site.advance(10);
    assert!(sent(&out).is_empty(), "a stream is moved after a stall");
    for attempt in streams {
        site.event(RelayEvent::StreamEvent { attempt, number: 2 });
    }
    assert!(!site.core.relay.links.are_lost(), "the links are lost");
    let moved = next_sent(&mut site, 500);
    assert!(moved.is_none(), "a stream is moved after a stall");
    assert!(next_sent(&mut site, LEFT_MS).is_some(), "nothing is moved");
}

/// The caller leaves while a silent attempt is kept beside another one.
fn caller_left() {
    let (mut site, first) = asked(&["a", "b"], "/feed/x", 1);
    let second = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    site.event(RelayEvent::CallerLeft(first.call));
    for attempt in [first.attempt, second.attempt] {
        let cancelled =
            |effect: &RelayEffect| matches!(effect, RelayEffect::Cancel(key) if *key == attempt);
        assert!(site.has_effect(cancelled), "{attempt:?} goes on");
    }
    assert!(site.core.relay.attempts.is_empty());
}

standby_tests! {
    /// Guards against a silent attempt, or the one beside it, that goes on for a caller that has left.
    neither_attempt_goes_on_for_a_caller_that_left: caller_left();
    /// Guards against a silent server that takes a begun stream back without an event.
    a_standby_goes_on_only_with_an_event: part_without_event();
    /// Guards against a silent server that is given up for an event that the caller has.
    a_standby_is_kept_while_events_are_repeated: repeated_event();
    /// Guards against a begun stream that is cut by a failure of the next server, with attempts left.
    a_begun_stream_outlives_a_failure_of_the_next_server: plain_answer(500);
    /// Guards against a begun stream that is cut by an answer that is no stream, with attempts left.
    a_begun_stream_outlives_an_answer_that_is_no_stream: plain_answer(404);
    /// Guards against a begun answer that is given up at a server to which it cannot return.
    a_begun_stream_waits_for_a_server_that_leaves: assert!(silent_while_leaving(1).is_none());
    /// Guards against a request without an answer that waits for a server that leaves.
    an_unanswered_stream_leaves_a_server_that_leaves: assert!(silent_while_leaving(0).is_some());
    /// Guards against a silent attempt that is given up before the server asked last can refuse.
    a_standby_is_kept_for_each_server_asked: second_next_server();
    /// Guards against a silent attempt that is given up for a prompt that nobody decodes yet.
    a_standby_is_kept_for_a_prefill: long_prefill();
    /// Guards against a begun stream that is cut since the retry budget has room for its prefill alone.
    a_begun_stream_outlives_a_used_up_budget: budget_for_prefill();
    /// Guards against prefills of begun streams that the retry budget does not let run.
    a_begun_stream_is_not_prefilled_without_budget_for_its_run: wasted_prefill();
    /// Guards against a run that the retry budget refuses since others took its room during the prefill.
    the_run_after_a_prefill_is_reserved: reserved_run();
    /// Guards against silences that use up the retry budget, so that the requests of a crashed server are cut.
    a_silence_leaves_budget_for_failures: budget_for_failures();
    /// Guards against room of the retry budget that is lost when a silent engine goes on.
    a_run_that_is_not_needed_is_released: released_run();
    /// Guards against a failure that is passed on while a silent server still runs the request.
    a_failure_is_not_passed_on_beside_a_standby: failure_beside_standby();
    /// Guards against a request without an answer that fails with time and attempts left, since a server refuses it late.
    an_unanswered_request_waits_for_a_server: refusal_after_expiry();
    /// Guards against a begun stream that is cut when another host is overloaded.
    a_begun_stream_waits_when_a_host_is_overloaded: late_refusal_of_a_host(Kind::Overloaded);
    /// Guards against a begun stream that is cut when another host stops.
    a_begun_stream_waits_when_a_host_stops: late_refusal_of_a_host(Kind::Stopping);
    /// Guards against a begun stream that is cut when another host knows no server of its version.
    a_begun_stream_waits_when_a_host_has_no_version: late_refusal_of_a_host(Kind::NoVersion);
    /// Guards against a begun stream that is cut when another host does not know its route.
    a_begun_stream_waits_when_a_host_has_no_route: late_refusal_of_a_host(Kind::NotFound);
    /// Guards against a request that is sent as a plain one to engines of a dropped service, or fails as if it had run.
    a_request_of_a_dropped_service_is_refused: dropped_service();
    /// Guards against sound servers that count as silent since this host stood still.
    a_stall_of_the_host_is_no_silence: stall();
}
