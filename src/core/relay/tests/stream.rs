//! Streams: prefill apart, hand-over, resumption.

use super::*;
use crate::core::relay::event::Task;

fn prefilled(site: &mut TestHost, attempt: AttemptKey) -> Outgoing {
    site.event(RelayEvent::Prefilled {
        attempt,
        handle: "k".into(),
    });
    site.sent().expect("handed over")
}

fn piece(site: &mut TestHost, attempt: AttemptKey, number: u64) -> bool {
    site.event(RelayEvent::StreamEvent { attempt, number });
    site.has_effect(|effect| matches!(effect, RelayEffect::ForwardEvent(_)))
}

#[test]
fn a_long_prompt_is_prefilled_apart_and_handed_over() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("sent");
    assert_eq!(first.task, Task::Prefill);
    assert!(!first.streaming);
    let second = prefilled(&mut site, first.attempt);
    assert_eq!(
        second.task,
        Task::Decode {
            from: first.addr,
            handle: "k".into()
        }
    );
    assert!(second.streaming);
    assert!(piece(&mut site, second.attempt, 1));
    site.event(RelayEvent::StreamCompleted(second.attempt));
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::Finish(_))));
    assert!(!site.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
}

/// The caller leaves between the prefill and the hand-over. A KV cache that nobody takes fills the
/// engine's memory until it lapses.
#[test]
fn an_unused_kv_cache_is_given_back() {
    let mut site = TestHost::with_engines();
    let key = site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("sent");
    prefilled(&mut site, first.attempt);
    site.event(RelayEvent::CallerLeft(key));
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
}

/// KV caches can lapse at once. The engine that was to go on refuses, nothing has run, and the
/// prompt is read again where its parts still lie.
#[test]
fn a_lapsed_kv_cache_is_made_again() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("sent");
    let second = prefilled(&mut site, first.attempt);
    site.fail_attempt(second.attempt, Ran::No, Break::Refused);
    let third = site.sent().expect("sent again");
    assert!(matches!(third.task, Task::Prefill | Task::Whole));
}

/// An engine dies in the middle of a stream that may be resumed. Another goes on after the last
/// event that the caller has, and an event that comes again is dropped.
#[test]
fn a_broken_stream_goes_on_elsewhere_without_a_piece_twice() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/short/x", (1, 60), 290));
    let mut first = site.sent().expect("sent");
    if first.task == Task::Prefill {
        first = prefilled(&mut site, first.attempt);
    }
    assert!(piece(&mut site, first.attempt, 1));
    assert!(piece(&mut site, first.attempt, 2));
    site.fail_attempt(first.attempt, Ran::Yes, Break::Cut);
    let mut second = site.sent().expect("sent again");
    if second.task == Task::Prefill {
        second = prefilled(&mut site, second.attempt);
    }
    assert_eq!(second.resume, Some(2));
    assert_ne!(second.instance, first.instance);
    assert!(!piece(&mut site, second.attempt, 2));
    assert!(piece(&mut site, second.attempt, 3));
    // What the first still sends is for nobody.
    assert!(!piece(&mut site, first.attempt, 4));
}

/// An engine dies in the middle of a stream that may not be resumed. It must look cut: taken for
/// whole, the caller would act on half an answer.
#[test]
fn a_broken_stream_that_may_not_go_on_looks_cut() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("sent");
    let second = prefilled(&mut site, first.attempt);
    assert!(piece(&mut site, second.attempt, 1));
    site.fail_attempt(second.attempt, Ran::Yes, Break::Cut);
    assert!(site.sent().is_none());
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))));
}

/// An engine breaks off before the first event of a stream that runs once. It may have run, and is
/// neither sent again nor called not run.
#[test]
fn a_stream_that_may_have_begun_is_not_sent_again() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("sent");
    let second = prefilled(&mut site, first.attempt);
    site.fail_attempt(second.attempt, Ran::Unknown, Break::Cut);
    assert!(site.sent().is_none());
    assert_eq!(site.refused().map(|(_, ran, _)| ran), Some(Ran::Unknown));
}

/// A caller comes back with the number of the last event it has. It gets nothing of before.
#[test]
fn a_callers_own_resumption_goes_through() {
    let mut site = TestHost::with_engines();
    site.arrive(Arrival {
        resume: Some(5),
        ..model_request("/short/x", (1, 60), 290)
    });
    let mut sent = site.sent().expect("sent");
    if sent.task == Task::Prefill {
        sent = prefilled(&mut site, sent.attempt);
    }
    assert_eq!(sent.resume, Some(5));
    assert!(!piece(&mut site, sent.attempt, 5));
    assert!(piece(&mut site, sent.attempt, 6));
}
