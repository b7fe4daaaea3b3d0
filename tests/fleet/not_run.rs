//! A refusal that says "not run" is true: the counters of engines and services do not change, and
//! the answer has a `retry-after` where a later try can succeed.

use std::thread;

use serde_json::{Value, json};

use crate::support::http::{Answer, RawConnection, send};
use crate::support::{
    CUSTOMER_KEY, Fleet, FleetConfig, MODEL, SERVICE, call_service, complete, inject_fault,
    open_completion, wait_for,
};

/// Returns the number of attempts that engines logged and calls that services counted.
fn total_runs(fleet: &Fleet) -> u64 {
    let get = |addr, path| {
        let answer = send(addr, "GET", path, &[], &[]);
        answer.map(|answer| answer.json()).unwrap_or_default()
    };
    let engines = fleet.engines().map(|engine| {
        let log: Value = get(engine.addr, "/log");
        log["runs"].as_array().map_or(0, Vec::len) as u64
    });
    let services = fleet.services().map(|service| {
        let counts: Value = get(service.addr, "/counts");
        let counts = counts.as_object().cloned().unwrap_or_default();
        counts.values().filter_map(Value::as_u64).sum::<u64>()
    });
    engines.sum::<u64>() + services.sum::<u64>()
}

/// Checks a refusal: its kind, that it says "not run", and that it has a `retry-after` if its kind
/// has one.
fn check_refusal(answer: Option<Answer>, code: &str) {
    let answer = answer.unwrap_or_else(|| panic!("{code}: no answer"));
    let document = answer.json();
    let kind = document["type"].as_str().unwrap_or_default();
    assert_eq!(kind, format!("urn:chiveway:{code}"), "{}", answer.text());
    assert_eq!(document["ran"], "no", "{code}: {}", answer.text());
    let retry_after =
        chiveway::error::Kind::from_code(code).and_then(|kind| kind.answer().retry_after);
    assert_eq!(
        answer.header("retry-after").is_some(),
        retry_after.is_some(),
        "{code}"
    );
}

fn post(fleet: &Fleet, path: &str, key: &str, body: &str) -> Option<Answer> {
    let auth = format!("Bearer {key}");
    let headers = [("authorization", auth.as_str())];
    send(
        fleet.hosts[0].callers,
        "POST",
        path,
        &headers,
        body.as_bytes(),
    )
}

/// Invalid requests: each must be refused with its kind of error, and none may reach an engine or
/// service.
#[test]
fn invalid_requests_do_not_run() {
    let fleet = Fleet::start(FleetConfig {
        limits: "body = 2KiB\nbody-time = 1s\n".into(),
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    assert_eq!(
        call_service(host, "POST", "/x", "used", "{}").map(|a| a.status),
        Some(200)
    );
    let before = total_runs(&fleet);
    let path = "/v1/completions";
    let completion = |model: &str| json!({"model": model, "prompt": "p"}).to_string();
    check_refusal(post(&fleet, path, CUSTOMER_KEY, "{"), "malformed");
    check_refusal(call_service(host, "GET", "/a/../x", "", ""), "malformed");
    check_refusal(
        call_service(host, "POST", "/x", &"k".repeat(300), "{}"),
        "malformed",
    );
    let long = "x".repeat(4096);
    check_refusal(post(&fleet, path, CUSTOMER_KEY, &long), "too-large");
    check_refusal(call_service(host, "POST", "/x", "k", &long), "too-large");
    check_refusal(post(&fleet, path, "nobody", &completion(MODEL)), "bad-key");
    check_refusal(
        post(&fleet, path, CUSTOMER_KEY, &completion("none")),
        "not-found",
    );
    check_refusal(
        post(&fleet, "/services/none/x", CUSTOMER_KEY, "{}"),
        "not-found",
    );
    check_refusal(call_service(host, "POST", "/x", "", "{}"), "key-missing");
    check_refusal(
        call_service(host, "POST", "/x", "used", "{\"other\":1}"),
        "key-reused",
    );
    let mut slow_sender = RawConnection::connect(host);
    let head = format!(
        "POST /services/{SERVICE}/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         idempotency-key: k\r\ncontent-length: 100\r\n\r\nhalf"
    );
    assert!(slow_sender.write(head.as_bytes()));
    check_refusal(slow_sender.answer(), "too-slow");
    assert_eq!(total_runs(&fleet), before);
}

/// Requests that the plan does not include or whose share is used up must not run.
#[test]
fn requests_beyond_the_plan_do_not_run() {
    let fleet = Fleet::start(FleetConfig {
        hosts: 1,
        use_list: format!(
            "[plan medlem]\nmodels = {MODEL}\nrequests = 0.01/s\n\
             [service {SERVICE}]\nrepeat = GET *\nonce = POST *\n"
        ),
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    let before = total_runs(&fleet);
    check_refusal(call_service(host, "POST", "/x", "k", "{}"), "not-allowed");
    assert_eq!(total_runs(&fleet), before);
    // The share that accumulated until now has to be used up first.
    let mut before = before;
    let mut answer = None;
    wait_for("the share is used up", || {
        before = total_runs(&fleet);
        answer = complete(host, "p", 5, false);
        answer.as_ref().is_some_and(|answer| answer.status != 200)
    });
    check_refusal(answer, "share-spent");
    assert_eq!(total_runs(&fleet), before);
}

/// Requests that cannot be served must not run: the host is at its limit, the key-value service is
/// down, all backend servers are leaving, or the host is cut off from the service and its peers.
#[test]
fn requests_without_capacity_do_not_run() {
    let mut fleet = Fleet::start(FleetConfig {
        hosts: 2,
        limits: "requests = 1\ncut-off = 1s\n".into(),
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    for service in fleet.services() {
        inject_fault(service.addr, &json!({"slow_ms": 500}));
    }
    let slow_call = thread::spawn(move || call_service(host, "GET", "/slow", "", ""));
    wait_for("the host has one open request", || {
        fleet.status(0)["requests"] == 1
    });
    check_refusal(call_service(host, "GET", "/x", "", ""), "overloaded");
    drop(slow_call.join());
    let before = total_runs(&fleet);
    fleet.inject_kv_fault(&json!({"down": true}));
    wait_for("the host reports the store as down", || {
        fleet.status(0)["store"] == "down"
    });
    check_refusal(call_service(host, "POST", "/x", "k", "{}"), "store-down");
    fleet.inject_kv_fault(&json!({"down": false}));
    wait_for("the host reports the store as up", || {
        fleet.status(0)["store"] == "up"
    });
    fleet.publish_listing(|_| "leaving");
    wait_for("the host lists all backend servers as leaving", || {
        let status = fleet.status(0);
        let backends = status["backends"].as_array().cloned().unwrap_or_default();
        backends
            .iter()
            .all(|backend| backend["listed"] == "leaving")
    });
    check_refusal(complete(host, "p", 5, false), "no-engine");
    check_refusal(call_service(host, "POST", "/x", "k", "{}"), "service-down");
    fleet.inject_kv_fault(&json!({"down": true}));
    fleet.hosts[1].process.kill();
    wait_for("the host reports that it is cut off", || {
        fleet.status(0)["why"]
            .as_str()
            .is_some_and(|reason| reason.contains("cut off"))
    });
    check_refusal(complete(host, "p", 5, false), "cut-off");
    assert_eq!(total_runs(&fleet), before);
}

/// The only engine and the only service instance have crashed. Requests must be refused as not
/// run.
#[test]
fn calls_to_a_crashed_service_do_not_run() {
    let mut fleet = Fleet::start(FleetConfig {
        services: 1,
        engines: 1,
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    let before = total_runs(&fleet);
    for backend in &mut fleet.backends {
        backend.process.kill();
    }
    check_refusal(call_service(host, "POST", "/x", "k", "{}"), "service-down");
    let answer = complete(host, "p", 5, false).expect("the host answers");
    assert_eq!(answer.json()["ran"], "no", "{}", answer.text());
    assert_eq!(before, 0);
}

/// A request arrives on an open connection after a planned stop began. It may be served, refused or
/// not read, but a request that is refused as not run must not run. The running one must finish.
#[test]
fn request_to_a_stopping_host_runs_or_reports_not_run() {
    let fleet = Fleet::start(FleetConfig {
        engine_args: Vec::new(),
        ..FleetConfig::default()
    });
    let host = &fleet.hosts[0];
    let mut connection = RawConnection::connect(host.callers);
    let models = format!(
        "GET /v1/models HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\r\n"
    );
    assert!(connection.write(models.as_bytes()));
    assert_eq!(connection.answer().map(|answer| answer.status), Some(200));
    let running = open_completion(host.callers, "p", 200, true).expect("the host answers");
    let before = total_runs(&fleet);
    host.process.term();
    wait_for("the host is stopping", || {
        fleet.status(0)["why"] == "stopping"
    });
    connection.completion("another", 5, false);
    let ran = match connection.answer() {
        Some(answer) if answer.status == 200 => {
            let completion = chiveway::standin::engine::expected(MODEL, "another", 5);
            assert_eq!(answer.json()["choices"][0]["text"], completion.as_str());
            1
        }
        Some(answer) => {
            check_refusal(Some(answer), "stopping");
            0
        }
        None => 0,
    };
    assert!(running.rest().text().contains("[DONE]"));
    assert_eq!(total_runs(&fleet), before + ran);
}
