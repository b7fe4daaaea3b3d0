//! "Not run" is true: for every refusal that says so, the counters of engines and services stand
//! still, and the caller has its answer at once with the time to come back where that helps.

use std::thread;

use serde_json::{Value, json};

use crate::support::http::{Answer, Raw, send};
use crate::support::{
    CUSTOMER_KEY, Fleet, FleetConfig, MODEL, SERVICE, call_service, complete, inject_fault,
    open_completion, wait_for,
};

/// Returns how many attempts engines logged and calls services counted.
fn total(fleet: &Fleet) -> u64 {
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

/// Checks a refusal: its kind, that it says "not run", and when to come back.
fn refused(answer: Option<Answer>, code: &str) {
    let answer = answer.unwrap_or_else(|| panic!("{code}: no answer"));
    let document = answer.json();
    let kind = document["type"].as_str().unwrap_or_default();
    assert_eq!(kind, format!("urn:chiveway:{code}"), "{}", answer.text());
    assert_eq!(document["ran"], "no", "{code}: {}", answer.text());
    let back = chiveway::error::Kind::from_code(code).and_then(|kind| kind.answer().retry_after);
    assert_eq!(
        answer.header("retry-after").is_some(),
        back.is_some(),
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

/// Requests that are at fault themselves: the caller is told at once what to correct, and no
/// engine or service sees them.
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
    let before = total(&fleet);
    let completions = "/v1/completions";
    let ask = |model: &str| json!({"model": model, "prompt": "p"}).to_string();
    refused(post(&fleet, completions, CUSTOMER_KEY, "{"), "malformed");
    refused(call_service(host, "GET", "/a/../x", "", ""), "malformed");
    refused(
        call_service(host, "POST", "/x", &"k".repeat(300), "{}"),
        "malformed",
    );
    let long = "x".repeat(4096);
    refused(post(&fleet, completions, CUSTOMER_KEY, &long), "too-large");
    refused(call_service(host, "POST", "/x", "k", &long), "too-large");
    refused(post(&fleet, completions, "nobody", &ask(MODEL)), "bad-key");
    refused(
        post(&fleet, completions, CUSTOMER_KEY, &ask("none")),
        "not-found",
    );
    refused(
        post(&fleet, "/services/none/x", CUSTOMER_KEY, "{}"),
        "not-found",
    );
    refused(call_service(host, "POST", "/x", "", "{}"), "key-missing");
    refused(
        call_service(host, "POST", "/x", "used", "{\"other\":1}"),
        "key-reused",
    );
    let mut slow = Raw::connect(host);
    let head = format!(
        "POST /services/{SERVICE}/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         idempotency-key: k\r\ncontent-length: 100\r\n\r\nhalf"
    );
    assert!(slow.write(head.as_bytes()));
    refused(slow.answer(), "too-slow");
    assert_eq!(total(&fleet), before);
}

/// The plan does not allow it, or has used its share.
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
    let before = total(&fleet);
    refused(call_service(host, "POST", "/x", "k", "{}"), "not-allowed");
    assert_eq!(total(&fleet), before);
    // What the plan has saved up is used up first.
    let mut before = before;
    let mut answer = None;
    wait_for("the share is used up", || {
        before = total(&fleet);
        answer = complete(host, "p", 5, false);
        answer.as_ref().is_some_and(|answer| answer.status != 200)
    });
    refused(answer, "share-spent");
    assert_eq!(total(&fleet), before);
}

/// Nothing can take the request: the host is full, engines and services are gone, the key-value
/// service is down, and in the end the host is cut off from everyone.
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
    let full = thread::spawn(move || call_service(host, "GET", "/slow", "", ""));
    wait_for("a request is open", || fleet.status(0)["requests"] == 1);
    refused(call_service(host, "GET", "/x", "", ""), "overloaded");
    drop(full.join());
    let before = total(&fleet);
    fleet.inject_kv_fault(&json!({"down": true}));
    wait_for("the host notices", || fleet.status(0)["store"] == "down");
    refused(call_service(host, "POST", "/x", "k", "{}"), "store-down");
    fleet.inject_kv_fault(&json!({"down": false}));
    wait_for("the host notices", || fleet.status(0)["store"] == "up");
    fleet.publish_listing(|_| "leaving");
    wait_for("the list is read", || {
        let status = fleet.status(0);
        let backends = status["backends"].as_array().cloned().unwrap_or_default();
        backends
            .iter()
            .all(|backend| backend["listed"] == "leaving")
    });
    refused(complete(host, "p", 5, false), "no-engine");
    refused(call_service(host, "POST", "/x", "k", "{}"), "service-down");
    fleet.inject_kv_fault(&json!({"down": true}));
    fleet.hosts[1].process.kill();
    wait_for("the host is cut off", || {
        fleet.status(0)["why"]
            .as_str()
            .is_some_and(|why| why.contains("cut off"))
    });
    refused(complete(host, "p", 5, false), "cut-off");
    assert_eq!(total(&fleet), before);
}

/// A service instance dies; a call that was never sent to it is told so.
#[test]
fn calls_to_a_crashed_service_do_not_run() {
    let mut fleet = Fleet::start(FleetConfig {
        services: 1,
        engines: 1,
        ..FleetConfig::default()
    });
    let host = fleet.hosts[0].callers;
    let before = total(&fleet);
    for backend in &mut fleet.backends {
        backend.process.kill();
    }
    refused(call_service(host, "POST", "/x", "k", "{}"), "service-down");
    let answer = complete(host, "p", 5, false).expect("an answer");
    assert_eq!(answer.json()["ran"], "no", "{}", answer.text());
    assert_eq!(before, 0);
}

/// A planned stop has begun while a connection is open. A request that was on its way on it is
/// served whole, refused, or never read; it must not run and be called "not run", and the running
/// one is finished.
#[test]
fn request_to_a_stopping_host_runs_or_reports_not_run() {
    let fleet = Fleet::start(FleetConfig {
        engine_args: Vec::new(),
        ..FleetConfig::default()
    });
    let host = &fleet.hosts[0];
    let mut kept = Raw::connect(host.callers);
    let models = format!(
        "GET /v1/models HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\r\n"
    );
    assert!(kept.write(models.as_bytes()));
    assert_eq!(kept.answer().map(|answer| answer.status), Some(200));
    let running = open_completion(host.callers, "p", 200, true).expect("a stream");
    let before = total(&fleet);
    host.process.term();
    wait_for("the stop has begun", || {
        fleet.status(0)["why"] == "stopping"
    });
    kept.completion("another", 5, false);
    let ran = match kept.answer() {
        Some(answer) if answer.status == 200 => {
            let wanted = chiveway::standin::engine::expected(MODEL, "another", 5);
            assert_eq!(answer.json()["choices"][0]["text"], wanted.as_str());
            1
        }
        Some(answer) => {
            refused(Some(answer), "stopping");
            0
        }
        None => 0,
    };
    assert!(running.rest().text().contains("[DONE]"));
    assert_eq!(total(&fleet), before + ran);
}
