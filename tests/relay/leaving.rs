//! Servers whose answers state that they are leaving while the store answers nobody.

use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT};
use super::watcher::SecondHost;
use super::{LOG_FILE, Site, http, is_listed_ready, wait_for};

/// Requests sent after the statement.
const REQUEST_COUNT: usize = 20;

/// The head of a stream states that its engine is leaving while the store hangs. Guards against the host that forwarded
/// it, and the other one, sending it requests until the store is back.
#[test]
fn an_engine_whose_stream_states_that_it_leaves_gets_nothing_more() {
    let (one, two) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&one, &two]);
    let second = SecondHost::start(&site);
    wait_for("both engines in the second host's view", || {
        let log = second.folder.read(LOG_FILE);
        is_listed_ready(&log, "d-1") && is_listed_ready(&log, "d-2")
    });
    wait_for("the hosts to know each other", || {
        let joined = |log: &str, host: &str| {
            let mut lines = log.lines();
            lines.any(|line| line.contains("host.joined") && line.contains(host))
        };
        joined(&site.log(), "host-2") && joined(&second.folder.read(LOG_FILE), "host-1")
    });
    site.store.hang();
    one.state_leaving();
    wait_for("an answer of the leaving engine", || {
        site.send("/short/x", "id", &SHORT_PROMPT)
            .expect("an answer");
        one.caller_requests() > 0
    });
    wait_for("the departure at the second host", || {
        let log = second.folder.read(LOG_FILE);
        log.lines().any(|line| {
            line.contains("backend.listed") && line.contains("d-1") && line.contains("leaving")
        })
    });
    let before = one.caller_requests();
    let mut headers = vec![("x-chiveway-attempt-id", "id")];
    headers.extend(SHORT_PROMPT);
    for _ in 0..REQUEST_COUNT {
        let answer = site.send("/short/x", "id", &SHORT_PROMPT);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        let answer = http::send(second.callers, "POST", "/short/x", &headers, b"body");
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(one.caller_requests(), before);
}

/// The answer to a prefill states that its engine is leaving. Guards against reading the statement from answers that go
/// to callers only.
#[test]
fn an_engine_whose_prefill_states_that_it_leaves_gets_nothing_more() {
    let (one, two, decode) = (
        Engine::model("p-1", "prefill"),
        Engine::model("p-2", "prefill"),
        Engine::model("d-1", "decode"),
    );
    let site = Site::ready(&[&one, &two, &decode]);
    one.state_leaving();
    wait_for("a prefill at the leaving engine", || {
        site.send("/long/x", "id", &LONG_PROMPT).expect("an answer");
        one.caller_requests() > 0
    });
    let before = one.caller_requests();
    for _ in 0..REQUEST_COUNT {
        let answer = site.send("/long/x", "id", &LONG_PROMPT);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(one.caller_requests(), before);
}
