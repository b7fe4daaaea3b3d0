//! Refusals of engines and services that do not state whether the request ran.

use serde_json::{Value, json};

use crate::support::http::Answer;
use crate::support::{
    Fleet, FleetConfig, call_service, complete, inject_fault, service_runs, wait_for,
};

/// Checks an error: its kind, its status, and that the request may have run.
fn check_unknown(answer: &Answer, code: &str) {
    let document = answer.json();
    assert_eq!(
        document["type"],
        format!("urn:chiveway:{code}"),
        "{}",
        answer.text()
    );
    assert_eq!(document["ran"], "unknown", "{}", answer.text());
    assert_eq!(
        (answer.status, &document["status"]),
        (502, &json!(502)),
        "{}",
        answer.text()
    );
}

fn inject_into(fleet: &Fleet, kind: &str, fault: &Value) {
    for backend in fleet.backends.iter().filter(|backend| backend.kind == kind) {
        inject_fault(backend.addr, fault);
    }
}

/// All instances of a service run a call and answer with this status. The answer to the caller must not state that it did not run, by
/// status or field, and neither may the record: it must not run again under its key.
fn check_service(status: u16) {
    let fleet = Fleet::start(FleetConfig {
        hosts: 2,
        engines: 1,
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    inject_into(&fleet, "service", &json!({"unstated": status}));
    let answer = call_service(host, "POST", "/extensions", "k-1", "{}").expect("the host answers");
    check_unknown(&answer, "service-failed");
    assert_eq!(service_runs(&fleet, "k-1"), 1);
    let record = fleet.explain(0, &answer.id());
    assert_eq!(
        (&record["outcome"], &record["ran"]),
        (&json!("service-failed"), &json!("unknown")),
        "{record}"
    );
    let retryable = call_service(host, "GET", "/deadlines", "", "").expect("the host answers");
    assert_eq!(
        (retryable.status, &retryable.json()["ran"]),
        (502, &json!("unknown")),
        "{}",
        retryable.text()
    );
    inject_into(&fleet, "service", &json!({"unstated": 0}));
    for host in &fleet.hosts {
        wait_for("the end of the call is recorded", || {
            let again = call_service(host.callers, "POST", "/extensions", "k-1", "{}");
            again.is_some_and(|again| again.json()["type"] == "urn:chiveway:may-have-run")
        });
    }
    assert_eq!(service_runs(&fleet, "k-1"), 1);
    wait_for("retryable calls are served", || {
        call_service(host, "GET", "/deadlines", "", "").is_some_and(|answer| answer.status == 200)
    });
}

/// Engines answer a completion with this status, first one of two, then both. The sound one must serve it; without one the
/// answer to the caller must not state that it did not run. It must not count as a request that crashes engines.
fn check_engine(status: u16) {
    let fleet = Fleet::start(FleetConfig {
        hosts: 1,
        engines: 2,
        services: 1,
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    let first = fleet.engines().next().expect("an engine").addr;
    inject_fault(first, &json!({"unstated": status}));
    for turn in 0..4 {
        let answer =
            complete(host, &format!("one of two {turn}"), 5, false).expect("the host answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    inject_into(&fleet, "engine", &json!({"unstated": status}));
    let answer = complete(host, "none", 5, false).expect("the host answers");
    assert_eq!(
        (answer.status, &answer.json()["ran"]),
        (502, &json!("unknown")),
        "{}",
        answer.text()
    );
    inject_into(&fleet, "engine", &json!({"unstated": 0}));
    wait_for("the same completion is served", || {
        let answer = complete(host, "none", 5, false).expect("the host answers");
        assert_ne!(answer.status, 422, "{}", answer.text());
        answer.status == 200
    });
}

/// Makes one test of each case. Guards against a status that callers read as "did not run", passed on from a server that
/// did not state it.
macro_rules! statuses {
    ($($name:ident: $check:ident $status:literal;)+) => {
        $(#[test]
        fn $name() {
            $check($status);
        })+
    };
}

statuses! {
    service_timeout_is_no_promise: check_service 408;
    service_misdirection_is_no_promise: check_service 421;
    service_limit_is_no_promise: check_service 429;
    service_overload_is_no_promise: check_service 503;
    engine_timeout_is_no_promise: check_engine 408;
    engine_misdirection_is_no_promise: check_engine 421;
    engine_limit_is_no_promise: check_engine 429;
    engine_overload_is_no_promise: check_engine 503;
}

/// Other failures of a service are its own answers. Guards against a refusal in place of the answer of a call that ran.
#[test]
fn other_failures_of_a_service_are_passed_on() {
    let fleet = Fleet::start(FleetConfig {
        hosts: 1,
        engines: 1,
        services: 1,
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    for status in [404, 409, 500, 502, 504] {
        inject_into(&fleet, "service", &json!({"unstated": status}));
        let key = format!("k-{status}");
        for _ in 0..2 {
            let answer =
                call_service(host, "POST", "/extensions", &key, "{}").expect("the host answers");
            assert_eq!(
                (answer.status, answer.text()),
                (status, "{\"error\":\"unstated\"}".into())
            );
        }
        assert_eq!(service_runs(&fleet, &key), 1);
    }
}
