//! Plain requests: refusals, retries, time-outs and crashes.

use super::*;

/// A backend server resets a connection with a request in progress. It is unknown whether the
/// request ran: if the answer said "not run", the caller would send a booking twice.
#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("a request is sent");
    site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut);
    assert!(site.sent().is_none());
    let (_, ran, _) = site.refused().expect("the request is refused");
    assert_eq!(ran, Ran::Unknown);
}

/// A backend server refuses a request because it is full. The request did not run, and goes to
/// another server.
#[test]
fn a_refused_request_goes_to_another_server() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/once/x"));
    let first = site.sent().expect("a request is sent");
    site.fail_attempt(first.attempt, Ran::No, AttemptFailure::Refused);
    let second = site.sent().expect("a retry is sent");
    assert_ne!(second.instance, first.instance);
    site.event(RelayEvent::Answered {
        attempt: second.attempt,
        status: 200,
    });
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::ForwardAnswer(_))));
}

/// Nothing listens at the only address. The caller immediately gets a refusal as not run, with a
/// time to retry after.
#[test]
fn an_undeliverable_request_is_refused_as_not_run() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let mut sent = site.sent().expect("a request is sent");
    for _ in 0..3 {
        site.fail_attempt(sent.attempt, Ran::No, AttemptFailure::Unreachable);
        match site.sent() {
            Some(next) => sent = next,
            None => break,
        }
    }
    let (status, ran, retry) = site.refused().expect("the request is refused");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some());
}

/// A backend server answers 500 to an idempotent request. It is retried at another server, which
/// may still answer in time.
#[test]
fn a_failed_idempotent_request_is_retried_once() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/again/x"));
    let first = site.sent().expect("a request is sent");
    site.event(RelayEvent::Answered {
        attempt: first.attempt,
        status: 500,
    });
    let second = site.sent().expect("a retry is sent");
    assert_ne!(second.instance, first.instance);
    site.event(RelayEvent::Answered {
        attempt: second.attempt,
        status: 500,
    });
    // The route allows two runs: the second failure is forwarded.
    assert!(site.sent().is_none());
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::ForwardAnswer(_))));
}

/// The caller's deadline is longer than the route's time-out. The caller gets its final answer at
/// the time-out, and the attempt is cancelled.
#[test]
fn the_route_timeout_ends_a_request() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("a request is sent");
    assert_eq!(sent.remaining, Duration::from_secs(4));
    let before = site.advance(3900);
    assert!(!has_effect(&before, |effect| matches!(
        effect,
        RelayEffect::Refuse { .. }
    )));
    let after = site.advance(200);
    assert!(has_effect(&after, |effect| matches!(
        effect,
        RelayEffect::Refuse { .. }
    )));
    assert!(has_effect(&after, |effect| matches!(
        effect,
        RelayEffect::Cancel(_)
    )));
}

/// A backend server hangs while others answer. An idempotent request moves to another server soon
/// after its target; other requests wait.
#[test]
fn only_idempotent_requests_leave_a_silent_server() {
    for (path, again) in [("/again/x", true), ("/once/x", false)] {
        let mut site = TestHost::new();
        site.register(vec![plain_entry("a"), plain_entry("b")]);
        site.arrive(plain_request(path));
        let first = site.sent().expect("a request is sent");
        let out = site.advance(1000);
        let moved = sent(&out)
            .iter()
            .any(|sent| sent.instance != first.instance);
        assert_eq!(moved, again, "{path}");
    }
}

/// A large answer arrives in parts for longer than a server may be silent. Guards against ending the transfer and
/// sending the request to another server.
#[test]
fn an_answer_in_transfer_is_not_silence() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/again/x"));
    let attempt = site.sent().expect("a request is sent").attempt;
    for _ in 0..20 {
        let out = site.advance(100);
        assert!(sent(&out).is_empty());
        site.event(RelayEvent::AnswerReceived(attempt));
    }
    // The transfer stops.
    assert_eq!(sent(&site.advance(1000)).len(), 1);
}

/// A caller does not read its stream for longer than a server may be silent, and reads on. Guards against a host that takes
/// the server, of which it reads nothing meanwhile, for a silent one.
#[test]
fn a_slow_caller_is_not_a_silent_server() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/feed/x"));
    let attempt = site.sent().expect("a request is sent").attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    site.event(RelayEvent::DeliveryBlocked(attempt));
    assert!(sent(&site.advance(1500)).is_empty(), "the stream is moved");
    site.event(RelayEvent::DeliveryResumed(attempt));
    assert!(sent(&site.advance(800)).is_empty(), "the stream is moved");
    assert_eq!(sent(&site.advance(500)).len(), 1, "the server is silent");
}

/// The caller closes its connection: the attempt is cancelled, as nobody would receive the answer.
#[test]
fn a_disconnected_caller_ends_its_attempt() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    let key = site.arrive(plain_request("/once/x"));
    site.event(RelayEvent::CallerLeft(key));
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::Cancel(_))));
    assert!(site.core.relay.calls.is_empty());
}

/// One request crashes every backend server that starts to run it, and its caller sends it again.
/// After two crashes it is refused; other requests are not.
#[test]
fn a_request_that_crashes_two_servers_is_refused() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    for _ in 0..2 {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("a request is sent");
        site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut);
    }
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_none());
    let (_, ran, _) = site.refused().expect("the request is refused");
    assert_eq!(ran, Ran::No);
    let other = Arrival {
        fingerprint: Fingerprint([2; 16]),
        ..plain_request("/once/y")
    };
    site.arrive(other);
    assert!(site.sent().is_some());
}

/// Answers can be lost without a crash. A request that was answered since is no longer suspected.
#[test]
fn a_request_that_is_answered_is_no_longer_suspected() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    for lost in [true, false, true, false, true] {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("a request is sent");
        if lost {
            site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut);
        } else {
            let answered = RelayEvent::Answered {
                attempt: sent.attempt,
                status: 200,
            };
            site.event(answered);
        }
    }
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_some());
}

/// A server that is out of order answers a request that crashes servers with an error of its own. Guards against a host
/// that takes this for a proof that the request is harmless.
#[test]
fn an_error_answer_clears_no_crash() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    for status in [None, Some(500), None] {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("a request is sent");
        match status {
            Some(status) => site.event(RelayEvent::Answered {
                attempt: sent.attempt,
                status,
            }),
            None => site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut),
        }
    }
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_none());
}

/// Servers answer slowly for a while, and then as before. Guards against a host that refuses every request because of a
/// latency that only an answer could correct.
#[test]
fn plain_servers_that_were_slow_are_used_again() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    let mut is_served = |latency_ms| {
        site.arrive(Arrival {
            deadline: Some(Duration::from_millis(600)),
            ..plain_request("/once/x")
        });
        let sent = site.sent();
        site.advance(latency_ms);
        if let Some(sent) = &sent {
            site.event(RelayEvent::Answered {
                attempt: sent.attempt,
                status: 200,
            });
        }
        sent.is_some()
    };
    for _ in 0..60 {
        is_served(550);
    }
    let served = (0..20).filter(|_| is_served(10)).count();
    assert_eq!(served, 20);
}
