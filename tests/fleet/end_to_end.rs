//! End-to-end requests through separate processes.

use std::process::Command;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;

use serde_json::json;

use crate::support::http::send;
use crate::support::{
    CUSTOMER, CUSTOMER_KEY, Fleet, FleetConfig, MODEL, call_service, complete, service_runs,
    wait_for,
};

/// A streamed completion, an unstreamed one and a call of the service must succeed, and another
/// host must be able to explain each of them.
#[test]
fn requests_are_explained_by_another_host() {
    let fleet = Fleet::start(FleetConfig::default());
    let completion = expected(MODEL, "a clause", 40);

    let streamed =
        complete(fleet.hosts[0].callers, "a clause", 40, true).expect("the host answers");
    assert_eq!(streamed.status, 200, "{}", streamed.text());
    assert_eq!(stream_text(&streamed.body), Some(completion.clone()));

    let unstreamed =
        complete(fleet.hosts[1].callers, "a clause", 40, false).expect("the host answers");
    assert_eq!(unstreamed.json()["choices"][0]["text"], completion.as_str());

    let called = call_service(fleet.hosts[2].callers, "POST", "/extensions", "k-1", "{}");
    assert_eq!(called.as_ref().map(|answer| answer.status), Some(200));
    assert_eq!(service_runs(&fleet, "k-1"), 1);

    for (answer, other) in [
        (streamed, 2),
        (unstreamed, 0),
        (called.expect("the host answers"), 1),
    ] {
        let id = answer.id();
        wait_for("another host explains the request", || {
            let record = fleet.explain(other, &id);
            record["outcome"] == "answered" && record["customer"] == CUSTOMER
        });
    }
}

/// The README's `try --once` must work on a machine without further setup.
#[test]
fn trial_command_succeeds() {
    let output = Command::new(env!("CARGO_BIN_EXE_chiveway"))
        .args(["try", "--once"])
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert_eq!(text.matches("Explained by host-3").count(), 2, "{text}");
}

/// Users' machines forbid `io_uring`, so a library that opens a ring would fail there.
#[test]
fn host_opens_no_io_uring() {
    let fleet = Fleet::start(FleetConfig::default());
    let answer = complete(fleet.hosts[0].callers, "a clause", 4, true).expect("the host answers");
    assert_eq!(answer.status, 200);
    let dir = format!("/proc/{}/fd", fleet.hosts[0].process.id());
    let targets: Vec<String> = std::fs::read_dir(dir)
        .expect("the process's descriptors can be read")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(targets.iter().any(|target| target.contains("eventpoll")));
    assert!(
        !targets.iter().any(|target| target.contains("io_uring")),
        "{targets:?}"
    );
}

/// Common client libraries list the models first and then request chat completions.
#[test]
fn models_are_listed_and_chats_are_answered() {
    let fleet = Fleet::start(FleetConfig::default());
    let host = &fleet.hosts[0];
    let auth = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", auth.as_str())];

    let models = send(host.callers, "GET", "/v1/models", &headers, &[]).expect("the host answers");
    assert_eq!(models.json()["data"][0]["id"], MODEL);

    let completion = expected(MODEL, "user: Hvad mangler vi?\n", 12);
    for stream in [true, false] {
        let body = json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": "Hvad mangler vi?"}],
            "max_tokens": 12,
            "stream": stream,
        });
        let body = body.to_string();
        let path = "/v1/chat/completions";
        let answer = send(host.callers, "POST", path, &headers, body.as_bytes());
        let answer = answer.expect("the host answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let text = if stream {
            stream_text(&answer.body).expect("the stream has an end marker")
        } else {
            let text = &answer.json()["choices"][0]["message"]["content"];
            text.as_str().unwrap_or_default().to_owned()
        };
        assert_eq!(text, completion);
    }
}

/// A served request must appear in the metrics that operators watch.
#[test]
fn metrics_include_a_served_request() {
    let fleet = Fleet::start(FleetConfig::default());
    complete(fleet.hosts[0].callers, "a clause", 4, true).expect("the host answers");
    let metrics = fleet
        .get_operator(0, "/metrics")
        .expect("the host answers")
        .text();
    for name in [
        "chiveway_first_token_seconds_count",
        "chiveway_between_tokens_seconds_count",
        "chiveway_queued_seconds_count",
        "chiveway_requests_seconds_count",
        "chiveway_store_calls_total",
    ] {
        assert!(metrics.contains(name), "no {name} in {metrics}");
    }
    assert!(metrics.contains("outcome=\"answered\""), "{metrics}");
}
