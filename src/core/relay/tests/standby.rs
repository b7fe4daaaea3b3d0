//! Requests whose silent attempt is kept, or was given up, while another server is asked to take them.

use super::*;

/// Milliseconds within which a silent server is left.
const LEFT_MS: u64 = 3000;

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
fn next_sent(site: &mut TestHost, millis: u64) -> Option<Outgoing> {
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

standby_tests! {
    /// Guards against a silent server that takes a begun stream back without an event.
    a_standby_goes_on_only_with_an_event: part_without_event();
    /// Guards against a silent server that is given up for an event that the caller has.
    a_standby_is_kept_while_events_are_repeated: repeated_event();
}
