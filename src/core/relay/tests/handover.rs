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

/// The link of one engine that prefills carries KV caches at a crawl: each that it read waits for
/// close to a second to be taken over, however short, while the engine reads as fast as ever. Callers
/// whose prompts go on being read there wait for it, one behind the other.
#[test]
fn an_engine_behind_a_slow_link_gets_few_prompts() {
    let mut site = Site::of_models();
    let mut at_slow = (0, 0);
    for number in 0..60_u64 {
        site.arrive(prompt("/long/x", (number, 1000), 3000 + number));
        let sent = site.sent().expect("it is taken");
        let slow = &*sent.instance == "p";
        let count = if number < 30 {
            &mut at_slow.0
        } else {
            &mut at_slow.1
        };
        *count += u32::from(slow);
        site.now += 100;
        site.event(RelayEvent::Prefilled {
            attempt: sent.attempt,
            handle: "k".into(),
        });
        let next = site.sent().expect("it is handed over");
        site.now += if slow { 900 } else { 15 };
        site.event(RelayEvent::Piece {
            attempt: next.attempt,
            number: 1,
        });
        site.event(RelayEvent::Whole(next.attempt));
    }
    // Known after a few, it is tried again every few seconds.
    assert!((1..=10).contains(&at_slow.0), "{at_slow:?}");
    assert!(at_slow.1 <= 4, "{at_slow:?}");
}

/// An engine that prefills drops its KV caches at once. Every engine that is to take one over
/// refuses; blamed for it, they are avoided one after the other, and nothing is generated any more.
#[test]
fn what_cannot_be_taken_over_is_blamed_on_its_source() {
    let mut site = Site::of_models();
    let mut read_there = 0;
    for number in 0..60_u64 {
        site.arrive(prompt("/long/x", (number, 1000), 3000 + number));
        let mut sent = site.sent();
        while let Some(out) = sent.take() {
            site.now += 50;
            match out.task {
                Task::Prefill => {
                    read_there += u32::from(number >= 40 && &*out.instance == "p");
                    let handle = out.instance.clone();
                    site.event(RelayEvent::Prefilled {
                        attempt: out.attempt,
                        handle,
                    });
                    sent = site.sent();
                }
                Task::Decode { ref handle, .. } if &**handle == "p" => {
                    site.broke(out.attempt, Ran::No, Break::Refused);
                    sent = site.sent();
                }
                Task::Decode { .. } | Task::Whole => {
                    site.event(RelayEvent::Whole(out.attempt));
                }
            }
        }
        site.now += 50;
    }
    assert!(read_there <= 6, "{read_there} of 20 prompts read in vain");
    for id in ["d", "e"] {
        let key = site.core.relay.instances.find(id).expect("known");
        let instance = &site.core.relay.instances.arena[key];
        assert!(instance.error_rate < 0.5, "{id}: {}", instance.error_rate);
    }
}
