//! Servers that refuse requests and name a pushback.

use std::time::Duration;

use super::standin::{Engine, LONG_PROMPT};
use super::{Site, wait_for};

/// Pushback in seconds; no test lasts as long.
const LONG_PUSHBACK: &str = "600";
/// Requests sent within the pushback.
const REQUEST_COUNT: usize = 30;
/// Response time of the server that refuses nothing, so that a host prefers the other one.
const SLOW_DELAY: Duration = Duration::from_millis(60);

/// A server refuses a request and names a pushback. Guards against requests sent to it meanwhile, and against callers that
/// are refused although another server answers.
#[test]
fn a_server_gets_nothing_during_its_pushback() {
    let (resting, other) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&resting, &other]);
    resting.refuse(LONG_PUSHBACK);
    other.set_delay(SLOW_DELAY);
    wait_for("a refusal", || {
        let answer = site.send("/once/x", "id", &[]).expect("an answer");
        assert_eq!(answer.status, 200);
        resting.caller_requests() > 0
    });
    for _ in 0..REQUEST_COUNT {
        let answer = site.send("/once/x", "id", &[]);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(resting.caller_requests(), 1);
}

/// The only server pushes back. Guards against callers that wait, or that are not given the time to retry after.
#[test]
fn a_request_is_refused_while_the_only_server_pushes_back() {
    let resting = Engine::plain("s-1");
    let site = Site::ready(&[&resting]);
    resting.refuse(LONG_PUSHBACK);
    site.send("/once/x", "id", &[]).expect("an answer");
    let before = resting.caller_requests();
    let answer = site.send("/once/x", "id", &[]).expect("an answer");
    assert_eq!((answer.status, resting.caller_requests()), (503, before));
    let retry_after = answer
        .header("retry-after")
        .and_then(|secs| secs.parse().ok());
    let retry_after: f64 = retry_after.expect("seconds");
    assert!(retry_after > 500.0, "{retry_after}");
}

/// A prefill engine refuses a prompt and names a pushback. Guards against prefills that keep to no pushback.
#[test]
fn a_prefill_engine_gets_nothing_during_its_pushback() {
    let (resting, other, decode) = (
        Engine::model("p-1", "prefill"),
        Engine::model("p-2", "prefill"),
        Engine::model("d-1", "decode"),
    );
    let site = Site::ready(&[&resting, &other, &decode]);
    resting.refuse(LONG_PUSHBACK);
    wait_for("a refusal", || {
        site.send("/long/x", "id", &LONG_PROMPT).expect("an answer");
        resting.caller_requests() > 0
    });
    for _ in 0..REQUEST_COUNT {
        let answer = site.send("/long/x", "id", &LONG_PROMPT);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(resting.caller_requests(), 1);
}
