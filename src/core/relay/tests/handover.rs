//! Hand-overs of prompts from the engines that read them to those that generate.
//!
//! The pattern is that of sites whose engines differ in speed, and whose links are slow now and
//! then: what a hand-over takes decides whether a prompt of half a second's reading is in time.

use super::*;
use crate::core::relay::event::Task;

/// Has one prompt read and handed over; returns the milliseconds expected of the hand-over.
fn hand_over(site: &mut Site, own: u64, took: u64) -> f64 {
    site.arrive(prompt("/long/x", (own, 1000), own));
    let sent = site.sent().expect("it is taken");
    assert_eq!(sent.task, Task::Prefill);
    site.now += 100;
    site.event(RelayEvent::Prefilled {
        attempt: sent.attempt,
        handle: "k".into(),
    });
    let next = site.sent().expect("it is handed over");
    let expected = site.core.relay.attempts[next.attempt].expected;
    site.now += took;
    site.event(RelayEvent::Piece {
        attempt: next.attempt,
        number: 1,
    });
    site.event(RelayEvent::Whole(next.attempt));
    expected
}

/// Engines take hand-overs faster than those that the first figures come from. A prompt that would
/// just be in time is given up for late as long as the old figure is expected.
#[test]
fn what_a_hand_over_takes_is_learned() {
    let mut site = Site::new();
    site.register(vec![
        engine("p", Stage::Prefill),
        engine("d", Stage::Decode),
    ]);
    let first = hand_over(&mut site, 3000, 6);
    let mut last = first;
    for number in 0..30 {
        last = hand_over(&mut site, 3001 + number, 6);
    }
    assert!(
        last < first && (3.0..12.0).contains(&last),
        "{first} {last}"
    );
}
