//! Bytes held for callers and servers that read slowly.

use super::*;

/// Memory of the host; a quarter of it holds bodies and answers.
const MEMORY: usize = 8 << 20;
const MAX_HELD: usize = MEMORY / 4;

fn host_with_memory(memory: Option<usize>) -> TestHost {
    let mut host = TestHost::with_engines();
    let mut settings = host.core.settings.clone();
    settings.relay.as_mut().expect("a relay").memory = memory;
    host.event(RelayEvent::Reloaded(Box::new(settings)));
    host
}

fn is_admitted(host: &mut TestHost, bytes: usize, held: usize) -> bool {
    host.event(RelayEvent::BodyOffered { bytes, held });
    host.has_effect(|effect| matches!(effect, RelayEffect::AdmitBody))
}

/// Begins a stream whose caller then reads nothing.
fn unread_stream(host: &mut TestHost) -> AttemptKey {
    host.arrive(model_request("/short/x", (2, 300), 30_000));
    let sent = host.sent().expect("a request is sent");
    let attempt = sent.attempt;
    host.event(RelayEvent::StreamEvent { attempt, number: 1 });
    host.event(RelayEvent::DeliveryBlocked(attempt));
    attempt
}

/// Generates a test for each body: the memory, bytes offered and held, and whether the body is admitted.
macro_rules! bodies {
    ($($name:ident: $memory:expr, $bytes:expr, $held:expr => $admitted:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut host = host_with_memory($memory);
            assert_eq!(is_admitted(&mut host, $bytes, $held), $admitted);
        }
    )*};
}

// Pattern: callers send long prompts faster than engines take them. Guards against a host that is ended for its memory, with
// all requests that it holds.
bodies! {
    a_body_that_fits_is_admitted: Some(MEMORY), 17_000, MAX_HELD - 17_000 => true;
    a_body_that_exceeds_the_bound_is_refused: Some(MEMORY), 17_000, MAX_HELD - 16_999 => false;
    without_a_bound_each_body_is_admitted: None, 17_000, 1 << 40 => true;
}

/// Guards against a bound that is reached once and never left.
#[test]
fn bodies_are_admitted_again_once_there_is_room() {
    let mut host = host_with_memory(Some(MEMORY));
    assert!(!is_admitted(&mut host, 1, MAX_HELD));
    assert!(is_admitted(&mut host, 1, 0));
    assert_eq!(host.core.relay.buffers.refused(), 1);
}

/// Callers stop reading for a second or for good while the host has no room. Guards against a begun answer that is cut
/// although its caller may read on: the caller could not ask for the rest of a stream that may not be resumed.
#[test]
fn no_begun_answer_is_ended_for_want_of_memory() {
    let mut host = host_with_memory(Some(MEMORY));
    let streams = [unread_stream(&mut host), unread_stream(&mut host)];
    // Three seconds, within the time-out of the route.
    for _ in 0..6 {
        host.advance(500);
        assert!(!is_admitted(&mut host, 1, MAX_HELD));
        assert!(!host.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))));
    }
    for attempt in streams {
        assert!(host.core.relay.attempts.contains_key(attempt));
        host.event(RelayEvent::DeliveryResumed(attempt));
        host.event(RelayEvent::StreamEvent { attempt, number: 2 });
        assert!(host.has_effect(|effect| matches!(effect, RelayEffect::ForwardEvent(_))));
    }
    assert_eq!(host.core.relay.buffers.refused(), 6);
}

/// Guards against a reload that leaves the former bound in force.
#[test]
fn a_reload_changes_the_bound() {
    let mut host = host_with_memory(Some(MEMORY));
    assert!(!is_admitted(&mut host, 1, MAX_HELD));
    let mut settings = host.core.settings.clone();
    settings.relay.as_mut().expect("a relay").memory = Some(MEMORY * 2);
    host.event(RelayEvent::Reloaded(Box::new(settings)));
    assert!(host.has_effect(
        |effect| matches!(effect, RelayEffect::BoundHeldBytes(Some(max)) if *max == MAX_HELD)
    ));
    assert!(is_admitted(&mut host, 1, MAX_HELD));
}
