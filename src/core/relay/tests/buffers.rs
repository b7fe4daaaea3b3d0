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
    assert_eq!(host.core.relay.buffers.counts(), (1, 0));
}

/// Guards against ending a caller that only pauses, and one that is read while the host has room.
#[test]
fn a_reader_that_pauses_shortly_keeps_its_answer() {
    let mut host = host_with_memory(Some(MEMORY));
    unread_stream(&mut host);
    host.advance(1_900);
    assert!(!is_admitted(&mut host, 1, MAX_HELD));
    assert!(!host.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))));
    host.advance(1_000);
    assert!(is_admitted(&mut host, 1, 0));
    assert!(!host.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))));
}

/// Callers that read nothing hold the memory that others need. Guards against refusing all others for as long as they stay.
#[test]
fn the_slowest_reader_is_ended_when_the_host_is_full() {
    let mut host = host_with_memory(Some(MEMORY));
    let slowest = unread_stream(&mut host);
    host.advance(500);
    let other = unread_stream(&mut host);
    host.advance(2_100);
    assert!(!is_admitted(&mut host, 1, MAX_HELD));
    assert!(!host.core.relay.attempts.contains_key(slowest));
    assert!(host.core.relay.attempts.contains_key(other));
    assert_eq!(host.core.relay.buffers.counts(), (1, 1));
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
