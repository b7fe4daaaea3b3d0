//! Handovers of prompts from prefill to decode engines.
//!
//! Modelled on sites whose engines differ in speed and whose links are slow at times: the handover
//! time decides whether a prompt with half a second of prefill meets its target.

use super::*;
use crate::core::relay::event::Task;

/// Has one prompt prefilled and handed over; returns the expected time of the handover.
fn hand_over(site: &mut TestHost, own: u64, took: u64) -> f64 {
    site.arrive(model_request("/long/x", (own, 1000), own));
    let sent = site.sent().expect("the request is admitted");
    assert_eq!(sent.task, Task::Prefill);
    site.now += 100;
    site.event(RelayEvent::Prefilled {
        attempt: sent.attempt,
        handle: "k".into(),
    });
    let next = site.sent().expect("the prompt is handed over");
    let expected = site.core.relay.attempts[next.attempt].expected_ms;
    site.now += took;
    site.event(RelayEvent::StreamEvent {
        attempt: next.attempt,
        number: 1,
    });
    site.stream_ended(next.attempt);
    expected
}

/// Engines take handovers faster than initially estimated. With the initial estimate, a prompt that
/// would just meet its target counts as late.
#[test]
fn the_handover_time_is_learned() {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
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

/// The link of one prefill engine is slow: the transfer of each KV cache takes close to a second,
/// although the engine prefills at normal speed. Guards against sending it further prompts, whose
/// transfers would queue there.
#[test]
fn an_engine_behind_a_slow_link_gets_few_prompts() {
    let mut site = TestHost::with_engines();
    let mut slow_counts = (0, 0);
    for number in 0..60_u64 {
        site.arrive(model_request("/long/x", (number, 1000), 3000 + number));
        let sent = site.sent().expect("the request is admitted");
        let slow = &*sent.instance == "p";
        let count = if number < 30 {
            &mut slow_counts.0
        } else {
            &mut slow_counts.1
        };
        *count += u32::from(slow);
        site.now += 100;
        site.event(RelayEvent::Prefilled {
            attempt: sent.attempt,
            handle: "k".into(),
        });
        let next = site.sent().expect("the prompt is handed over");
        site.now += if slow { 900 } else { 15 };
        site.event(RelayEvent::StreamEvent {
            attempt: next.attempt,
            number: 1,
        });
        site.stream_ended(next.attempt);
    }
    // The delay is known after a few handovers; the engine is tried again every few seconds.
    assert!((1..=10).contains(&slow_counts.0), "{slow_counts:?}");
    assert!(slow_counts.1 <= 4, "{slow_counts:?}");
}

/// A prefill engine loses its KV caches immediately, and every decode engine that should fetch one
/// refuses. If the refusals counted against the decode engines, all of them would be avoided and
/// nothing would be decoded any more.
#[test]
fn failed_handovers_count_against_the_source_engine() {
    let mut site = TestHost::with_engines();
    let mut wasted = 0;
    for number in 0..60_u64 {
        site.arrive(model_request("/long/x", (number, 1000), 3000 + number));
        let mut sent = site.sent();
        while let Some(out) = sent.take() {
            site.now += 50;
            match out.task {
                Task::Prefill => {
                    wasted += u32::from(number >= 40 && &*out.instance == "p");
                    let handle = out.instance.clone();
                    site.event(RelayEvent::Prefilled {
                        attempt: out.attempt,
                        handle,
                    });
                    sent = site.sent();
                }
                Task::Decode { ref handle, .. } if &**handle == "p" => {
                    site.fail_attempt(out.attempt, Ran::No, AttemptFailure::Refused);
                    sent = site.sent();
                }
                Task::Decode { .. } | Task::Whole => {
                    site.stream_ended(out.attempt);
                }
            }
        }
        site.now += 50;
    }
    assert!(wasted <= 6, "{wasted} of 20 prompts prefilled without use");
    for id in ["d", "e"] {
        let key = site.core.relay.instances.find(id).expect("registered");
        let instance = &site.core.relay.instances.arena[key];
        let errors = instance.errors.fraction(Time::from_millis(site.now));
        assert!(errors < 0.5, "{id}: {errors}");
    }
}
