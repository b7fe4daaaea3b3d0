//! What runs or is promised, and is given up for something that is not secured yet.

use super::network::Network;
use super::silence::{forward_begun_stream, lose_links};
use super::standby::{LEFT_MS, begin_stream, begun_with_budget, is_cut, next_sent};
use super::*;
use crate::core::relay::event::{ForwardRefusal, Spent, Task};

/// Milliseconds after which a standby is certainly given up.
const EXPIRED_MS: u64 = 350;

/// Defines tests of what is given up too soon.
macro_rules! secured_tests {
    ($($(#[$doc:meta])+ $name:ident: $body:expr;)*) => {$(
        $(#[$doc])+
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

/// Registers servers of another service, so that two silent engines are not taken for lost links.
fn register_others(site: &mut TestHost) {
    site.register(["a", "b", "c"].map(plain_entry).into());
}

fn is_refusal(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::Refuse { .. })
}

/// A first prefill falls silent, and the retry budget has room for one send from a silent server.
fn silent_first_prefill() {
    let (mut site, begun) = begun_with_budget(3);
    site.stream_ended(begun.attempt);
    register_others(&mut site);
    site.register(vec![engine_entry("q", Stage::Prefill)]);
    let mut arrival = model_request("/short/x", (2, 60), 4000);
    arrival.id = "other".into();
    site.arrive(arrival);
    let first = site.sent().expect("a request is sent");
    assert_eq!(first.task, Task::Prefill);
    let mut out = Effects::new();
    while sent(&out).is_empty() && !has_effect(&out, is_refusal) && site.now < 1000 + LEFT_MS {
        out = site.advance(10);
    }
    assert!(!has_effect(&out, is_refusal), "refused with time left");
}

/// The prefill for a begun stream, whose run is reserved, falls silent as well; a decode engine could run the prompt itself.
fn silent_second_prefill() {
    let (mut site, _) = begun_with_budget(4);
    register_others(&mut site);
    let moved = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    assert_eq!(moved.task, Task::Prefill);
    let next = next_sent(&mut site, LEFT_MS).expect("the silent prefill is left");
    assert_eq!(next.task, Task::Whole);
}

/// The prefill for a begun stream falls silent, and the only other decode engine leaves meanwhile.
fn back_to_standby() {
    let (mut site, first) = begun_with_budget(9);
    register_others(&mut site);
    let moved = next_sent(&mut site, LEFT_MS).expect("the stream is moved");
    assert_eq!(moved.task, Task::Prefill);
    let other = if &*first.instance == "d" { "e" } else { "d" };
    let leaving = BackendEntry {
        leaving: true,
        revision: 50,
        ..engine_entry(other, Stage::Decode)
    };
    site.register(vec![leaving]);
    let next = next_sent(&mut site, LEFT_MS);
    let again = next.filter(|next| next.instance == first.instance);
    assert!(again.is_none(), "sent to the server that runs it");
}

/// An engine breaks a begun stream off, and the retry budget has room for one send.
fn crash_with_room_for_one() {
    let (mut site, first) = begun_with_budget(1);
    site.fail_attempt(first.attempt, Ran::Unknown, AttemptFailure::Cut);
    assert!(!site.has_effect(is_cut), "the stream was cut");
    let next = site.sent().expect("the stream is moved");
    assert_eq!(next.task, Task::Whole);
}

/// The links are lost, and the host that a begun stream is forwarded to has no server that takes it, after the silent attempt
/// was given up.
fn refusal_by_a_host_that_sent_nothing() {
    let mut network = Network::new(3, 1);
    let (site, _, attempt) = forward_begun_stream(&mut network);
    let calls = site.core.relay.calls.values();
    let spent = calls.map(|call| Spent {
        runs: call.runs - 1,
        arrivals: call.arrivals,
        prefills: call.prefills,
    });
    let spent = spent.last().expect("a call");
    site.advance(EXPIRED_MS);
    let mut other = TestHost::new();
    other.arrive(Arrival {
        forwarded: Some(spent),
        ..plain_request("/feed/x")
    });
    assert!(other.sent().is_none(), "this host knows no server");
    let refusal = other.out.iter().find_map(|effect| match effect {
        Effect::Relay(RelayEffect::Refuse { refusal, .. }) => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("refused");
    let refusal = ForwardRefusal {
        kind: refusal.kind,
        ran: refusal.ran,
        retry_after: refusal.retry_after,
    };
    network
        .node(0)
        .event(RelayEvent::ForwardRefused { attempt, refusal });
    assert!(!network.node(0).has_effect(is_cut), "the stream was cut");
}

/// The links are lost while a caller does not read its stream, so that nothing is read from the server either.
fn lost_links_and_slow_caller() {
    let mut network = Network::new(3, 1);
    let site = network.node(0);
    site.arrive(plain_request("/feed/x"));
    let attempt = site.sent().expect("a request is sent").attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    site.event(RelayEvent::DeliveryBlocked(attempt));
    let out = lose_links(site);
    assert!(site.core.relay.links.are_lost(), "the links are not lost");
    let forwards = |effect: &RelayEffect| matches!(effect, RelayEffect::Forward(_));
    assert!(!has_effect(&out, forwards), "the stream is forwarded");
}

/// The links are lost while a stream whose run is reserved is prefilled; another host takes it, and charges its own budget.
fn forwarded_with_a_reservation() {
    let mut network = Network::new(3, 1);
    let site = network.node(0);
    site.register(vec![
        engine_entry("x", Stage::Prefill),
        engine_entry("y", Stage::Decode),
        engine_entry("z", Stage::Decode),
    ]);
    let first = begin_stream(site, model_request("/short/x", (1, 60), 290));
    let used = |site: &TestHost| site.core.relay.retry_budgets["model"].used();
    site.fail_attempt(first.attempt, Ran::Unknown, AttemptFailure::Cut);
    let moved = site.sent().expect("the stream is prefilled anew");
    assert_eq!((moved.task, used(site)), (Task::Prefill, 2));
    let out = lose_links(site);
    let forwards = |effect: &RelayEffect| matches!(effect, RelayEffect::Forward(_));
    assert!(has_effect(&out, forwards), "the stream is not forwarded");
    assert_eq!(used(site), 1, "the run is still reserved");
}

secured_tests! {
    /// Guards against a silent prefill that is given up for one whose run the retry budget refuses.
    a_silent_prefill_is_left_only_with_budget_for_the_run: silent_first_prefill();
    /// Guards against a request that stays at a silent prefill since its own reservation uses the budget up.
    a_reservation_does_not_hold_its_own_request_back: silent_second_prefill();
    /// Guards against a stream that is sent to the silent server that still runs it.
    a_silent_prefill_is_not_left_for_the_server_of_the_standby: back_to_standby();
    /// Guards against a begun stream that is cut although the retry budget has room for a run without a prefill.
    a_broken_stream_is_run_whole_with_budget_for_one_send: crash_with_room_for_one();
    /// Guards against a begun stream that is cut since a host that sent it nowhere states that it may have run.
    a_host_that_sends_a_request_nowhere_did_not_run_it: refusal_by_a_host_that_sent_nothing();
    /// Guards against a sound stream that is given up since its caller does not read while the links are lost.
    a_stream_that_its_caller_does_not_read_is_not_forwarded: lost_links_and_slow_caller();
    /// Guards against room of the retry budget that stays reserved while another host runs the request.
    a_forwarded_request_keeps_nothing_reserved: forwarded_with_a_reservation();
}
