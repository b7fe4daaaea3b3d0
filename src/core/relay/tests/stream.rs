//! Streams: separate prefill, handover, resumption.

use super::*;
use crate::core::relay::event::Task;

fn prefilled(site: &mut TestHost, attempt: AttemptKey) -> Outgoing {
    site.event(RelayEvent::Prefilled {
        attempt,
        handle: "k".into(),
    });
    site.sent().expect("the prompt is handed over")
}

fn piece(site: &mut TestHost, attempt: AttemptKey, number: u64) -> bool {
    site.event(RelayEvent::StreamEvent { attempt, number });
    site.has_effect(|effect| matches!(effect, RelayEffect::ForwardEvent(_)))
}

#[test]
fn a_long_prompt_is_prefilled_apart_and_handed_over() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("a request is sent");
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
    site.stream_ended(second.attempt);
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::Finish(_))));
    assert!(!site.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
}

/// The caller leaves between the prefill and the handover. A KV cache that is not freed occupies
/// the engine's memory until it expires.
#[test]
fn an_unused_kv_cache_is_freed() {
    let mut site = TestHost::with_engines();
    let key = site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("a request is sent");
    prefilled(&mut site, first.attempt);
    site.event(RelayEvent::CallerLeft(key));
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
}

/// A KV cache may expire immediately. The decode engine refuses, nothing has run, and the prompt is
/// prefilled again.
#[test]
fn an_expired_kv_cache_is_prefilled_again() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("a request is sent");
    let second = prefilled(&mut site, first.attempt);
    site.fail_attempt(second.attempt, Ran::No, AttemptFailure::Refused);
    let third = site.sent().expect("a retry is sent");
    assert!(matches!(third.task, Task::Prefill | Task::Whole));
}

/// An engine crashes during a resumable stream. Another engine continues after the last event that
/// the caller has, and repeated events are dropped.
#[test]
fn a_broken_stream_resumes_elsewhere_without_duplicate_events() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/short/x", (1, 60), 290));
    let mut first = site.sent().expect("a request is sent");
    if first.task == Task::Prefill {
        first = prefilled(&mut site, first.attempt);
    }
    assert!(piece(&mut site, first.attempt, 1));
    assert!(piece(&mut site, first.attempt, 2));
    site.fail_attempt(first.attempt, Ran::Yes, AttemptFailure::Cut);
    let mut second = site.sent().expect("a retry is sent");
    if second.task == Task::Prefill {
        second = prefilled(&mut site, second.attempt);
    }
    assert_eq!(second.resume, Some(2));
    assert_ne!(second.instance, first.instance);
    assert!(!piece(&mut site, second.attempt, 2));
    assert!(piece(&mut site, second.attempt, 3));
    // Later events of the first attempt are dropped.
    assert!(!piece(&mut site, first.attempt, 4));
}

/// An engine crashes during a stream that is not resumable. The answer must be aborted: if it
/// looked complete, the caller would act on half of it.
#[test]
fn a_broken_stream_that_is_not_resumable_is_cut() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("a request is sent");
    let second = prefilled(&mut site, first.attempt);
    assert!(piece(&mut site, second.attempt, 1));
    site.fail_attempt(second.attempt, Ran::Yes, AttemptFailure::Cut);
    assert!(site.sent().is_none());
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))));
}

/// An engine closes the connection before the first event of a stream that may run only once. The
/// request may have run: it is neither retried nor reported as not run.
#[test]
fn a_stream_that_may_have_begun_is_not_sent_again() {
    let mut site = TestHost::with_engines();
    site.arrive(model_request("/long/x", (1, 13_000), 4000));
    let first = site.sent().expect("a request is sent");
    let second = prefilled(&mut site, first.attempt);
    site.fail_attempt(second.attempt, Ran::Unknown, AttemptFailure::Cut);
    assert!(site.sent().is_none());
    assert_eq!(site.refused().map(|(_, ran, _)| ran), Some(Ran::Unknown));
}

/// A caller resumes with the number of the last event it has, and gets no earlier events.
#[test]
fn a_callers_resumption_reaches_the_engine() {
    let mut site = TestHost::with_engines();
    let call = site.arrive(Arrival {
        id: "first".into(),
        ..model_request("/short/x", (1, 60), 290)
    });
    let mut first = site.sent().expect("a request is sent");
    if first.task == Task::Prefill {
        first = prefilled(&mut site, first.attempt);
    }
    assert!(piece(&mut site, first.attempt, 1));
    site.event(RelayEvent::CallerLeft(call));
    site.arrive(Arrival {
        resume: Some(5),
        resumes: Some("first".into()),
        ..model_request("/short/x", (1, 60), 290)
    });
    let mut sent = site.sent().expect("a request is sent");
    if sent.task == Task::Prefill {
        sent = prefilled(&mut site, sent.attempt);
    }
    assert_eq!(sent.resume, Some(5));
    assert!(!piece(&mut site, sent.attempt, 5));
    assert!(piece(&mut site, sent.attempt, 6));
}

/// An engine falls silent in the middle of a resumable stream while the retry budget is used up, then goes on. Guards
/// against a host that gives the engine up before it knows that the request may go to another one, and cuts the answer.
#[test]
fn a_silent_stream_that_may_not_be_retried_is_not_cut() {
    let mut site = TestHost::with_engines();
    let relay = site.core.settings.relay.as_mut().expect("a relay");
    relay.retry_budget.ratio = 0.0;
    relay.retry_budget.slack = 0.0;
    site.arrive(model_request("/short/x", (1, 60), 290));
    let mut first = site.sent().expect("a request is sent");
    if first.task == Task::Prefill {
        first = prefilled(&mut site, first.attempt);
    }
    assert!(piece(&mut site, first.attempt, 1));
    let out = site.advance(3000);
    let is_given_up = has_effect(&out, |effect| {
        matches!(effect, RelayEffect::AbortAnswer(_) | RelayEffect::Cancel(_))
    });
    assert!(!is_given_up, "the stream was cut");
    assert!(piece(&mut site, first.attempt, 2));
    site.stream_ended(first.attempt);
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::Finish(_))));
}

/// What becomes of a stream that ended as its framing marks it.
#[derive(Debug, PartialEq, Eq)]
enum Ending {
    Finished,
    Aborted,
    Resumed,
    Refused,
}

/// Ends a stream after `events` events; returns what becomes of it.
fn end_stream(path: &str, framing: Framing, events: usize, unfinished: usize) -> Ending {
    let mut site = TestHost::with_engines();
    site.arrive(model_request(path, (1, 60), 290));
    let mut sent = site.sent().expect("a request is sent");
    if sent.task == Task::Prefill {
        sent = prefilled(&mut site, sent.attempt);
    }
    for number in 1..=events as u64 {
        assert!(piece(&mut site, sent.attempt, number));
    }
    site.event(RelayEvent::StreamEnded {
        attempt: sent.attempt,
        end: StreamEnd {
            framing,
            events,
            unfinished,
        },
    });
    if site.has_effect(|effect| matches!(effect, RelayEffect::Finish(_))) {
        Ending::Finished
    } else if site.has_effect(|effect| matches!(effect, RelayEffect::AbortAnswer(_))) {
        Ending::Aborted
    } else if site.sent().is_some() {
        Ending::Resumed
    } else {
        assert_eq!(site.refused().map(|(_, ran, _)| ran), Some(Ran::Unknown));
        Ending::Refused
    }
}

/// Defines one test for each end of a stream.
macro_rules! ends_of_streams {
    ($($name:ident: $path:expr, $framing:ident, $events:expr, $unfinished:expr => $ending:ident;)*) => {$(
        /// Guards against a stream that broke off and is completed, and one that is complete and is not.
        #[test]
        fn $name() {
            let ending = end_stream($path, Framing::$framing, $events, $unfinished);
            assert_eq!(ending, Ending::$ending);
        }
    )*};
}

ends_of_streams! {
    a_stream_that_closes_between_events_is_complete: "/long/x", Connection, 2, 0 => Finished;
    a_stream_that_closes_inside_an_event_is_aborted: "/long/x", Connection, 2, 5 => Aborted;
    a_stream_that_closes_inside_its_first_event_is_refused: "/long/x", Connection, 0, 5 => Refused;
    a_stream_that_closes_before_its_first_event_is_refused: "/long/x", Connection, 0, 0 => Refused;
    a_resumable_stream_that_closes_inside_an_event_is_resumed: "/short/x", Connection, 2, 5 => Resumed;
    a_resumable_stream_that_closes_before_its_first_event_is_repeated: "/short/x", Connection, 0, 0 => Resumed;
    a_stream_in_chunks_that_ends_inside_an_event_is_aborted: "/long/x", Chunks, 2, 5 => Aborted;
    a_stream_with_a_length_that_ends_inside_an_event_is_aborted: "/long/x", Length, 2, 5 => Aborted;
    an_empty_stream_in_chunks_is_complete: "/long/x", Chunks, 0, 0 => Finished;
    an_empty_stream_with_a_length_is_complete: "/long/x", Length, 0, 0 => Finished;
}
