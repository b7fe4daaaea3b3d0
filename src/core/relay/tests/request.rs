//! Plain requests: what is refused, repeated and given up.

use super::*;

/// A backend server resets a connection on which a request is under way. Whether it ran is not
/// known: told "not run", the caller would send a booking twice.
#[test]
fn a_call_that_may_have_run_is_not_called_not_run() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("sent");
    site.fail_attempt(sent.attempt, Ran::Unknown, Break::Cut);
    assert!(site.sent().is_none());
    let (_, ran, _) = site.refused().expect("an answer");
    assert_eq!(ran, Ran::Unknown);
}

/// A backend server says that it is full. The request did not run, and another one takes it.
#[test]
fn a_call_that_was_refused_goes_elsewhere() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/once/x"));
    let first = site.sent().expect("sent");
    site.fail_attempt(first.attempt, Ran::No, Break::Refused);
    let second = site.sent().expect("sent again");
    assert_ne!(second.instance, first.instance);
    site.event(RelayEvent::Answered {
        attempt: second.attempt,
        status: 200,
    });
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::ForwardAnswer(_))));
}

/// Nothing listens at the only address. The caller is told at once that the request did not run,
/// and when to come back.
#[test]
fn a_call_that_reaches_nothing_is_refused_as_not_run() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let mut sent = site.sent().expect("sent");
    for _ in 0..3 {
        site.fail_attempt(sent.attempt, Ran::No, Break::Unreachable);
        match site.sent() {
            Some(next) => sent = next,
            None => break,
        }
    }
    let (status, ran, retry) = site.refused().expect("an answer");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some());
}

/// A backend server answers 500 to a request that may run again; another one may answer it in
/// time, and the caller notices nothing.
#[test]
fn an_idempotent_request_that_failed_is_repeated_once() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.arrive(plain_request("/again/x"));
    let first = site.sent().expect("sent");
    site.event(RelayEvent::Answered {
        attempt: first.attempt,
        status: 500,
    });
    let second = site.sent().expect("sent again");
    assert_ne!(second.instance, first.instance);
    site.event(RelayEvent::Answered {
        attempt: second.attempt,
        status: 500,
    });
    // The route allows two runs: the second failure is the answer.
    assert!(site.sent().is_none());
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::ForwardAnswer(_))));
}

/// The caller waits longer than the operator wants it kept waiting. It gets its final answer at
/// the route's time, and the work is called off.
#[test]
fn the_routes_time_ends_a_request() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("sent");
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

/// A backend server hangs while others answer. What may run again goes elsewhere before its
/// wanted time is long over; what may not waits.
#[test]
fn a_silent_backend_server_is_left_only_where_that_is_allowed() {
    for (path, again) in [("/again/x", true), ("/once/x", false)] {
        let mut site = TestHost::new();
        site.register(vec![plain_entry("a"), plain_entry("b")]);
        site.arrive(plain_request(path));
        let first = site.sent().expect("sent");
        let out = site.advance(1000);
        let moved = sent(&out)
            .iter()
            .any(|sent| sent.instance != first.instance);
        assert_eq!(moved, again, "{path}");
    }
}

/// The caller closes its connection; a backend server that worked on would work for nobody.
#[test]
fn a_caller_that_leaves_ends_its_attempt() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    let key = site.arrive(plain_request("/once/x"));
    site.event(RelayEvent::CallerLeft(key));
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::Cancel(_))));
    assert!(site.core.relay.calls.is_empty());
}

/// One request crashes every backend server that begins to run it, and its caller sends it again.
/// After two it is refused; the others go on.
#[test]
fn a_request_that_backend_servers_die_of_is_refused_after_two() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    for _ in 0..2 {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("sent");
        site.fail_attempt(sent.attempt, Ran::Unknown, Break::Cut);
    }
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_none());
    let (_, ran, _) = site.refused().expect("an answer");
    assert_eq!(ran, Ran::No);
    let other = Arrival {
        fingerprint: Print([2; 16]),
        ..plain_request("/once/y")
    };
    site.arrive(other);
    assert!(site.sent().is_some());
}

/// Answers are lost now and then without a death. A request that was answered since is no suspect.
#[test]
fn a_request_that_is_answered_is_no_longer_suspected() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    for lost in [true, false, true, false, true] {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("sent");
        if lost {
            site.fail_attempt(sent.attempt, Ran::Unknown, Break::Cut);
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
