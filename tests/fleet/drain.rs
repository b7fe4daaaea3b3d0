//! Draining of backend servers: they get no new requests from any host, and running requests
//! finish.

use serde_json::json;

use crate::support::http::send;
use crate::support::proxy::FaultProxy;
use crate::support::{
    Fleet, FleetConfig, MODEL, call_service, complete, open_completion, wait_for,
};

/// Returns the number of attempts with a prompt in an engine's log.
fn attempts(fleet: &Fleet, engine: usize, prompt: &str) -> usize {
    let engine = fleet.engines().nth(engine).expect("the engine exists");
    let log = send(engine.addr, "GET", "/log", &[], &[]).expect("the stand-in responds");
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let log = log.json();
    let runs = log["runs"].as_array().into_iter().flatten();
    runs.filter(|run| run["prompt_hash"] == hash.as_str())
        .count()
}

fn listing_state(fleet: &Fleet, host: usize, name: &str) -> String {
    let status = fleet.status(host);
    let backends = status["backends"].as_array().cloned().unwrap_or_default();
    let backend = backends.iter().find(|backend| backend["name"] == name);
    backend.map_or("gone".into(), |backend| {
        backend["listed"].as_str().unwrap_or_default().into()
    })
}

/// The platform's list marks an engine and a service as leaving. One host cannot reach the list
/// and must learn it from its peers. No host may send them new requests, and running answers must
/// be complete.
#[test]
fn leaving_backend_gets_no_new_work_and_finishes_running() {
    let mut fleet = Fleet::start(FleetConfig {
        hosts: 2,
        engines: 2,
        engine_args: vec!["--decode-cost".into(), "5ms".into()],
        ..FleetConfig::default()
    });
    // The lag applies immediately; until it has passed, the served list may be empty.
    fleet.inject_kv_fault(&json!({"lag_ms": 300}));
    let list_proxy = FaultProxy::start(fleet.kv_addr);
    let direct = format!("list = {}", fleet.kv_addr);
    let settings = fleet.settings("host-3");
    let settings = settings.replace(&direct, &format!("list = {}", list_proxy.addr));
    fleet.add_host_with("host-3", &settings);
    fleet.wait_until_ready(2);

    let prompt = "a long briefing";
    let running: Vec<_> = (0..6)
        .map(|index| open_completion(fleet.hosts[index % 3].callers, prompt, 300, true))
        .map(|answer| answer.expect("the host answers"))
        .collect();

    list_proxy.refuse();
    fleet.publish_listing(|name| {
        if name.ends_with("-1") {
            "leaving"
        } else {
            "live"
        }
    });
    for host in 0..3 {
        for name in ["raadgiver-1", "fristportal-1"] {
            wait_for("the host lists the backend server as leaving", || {
                listing_state(&fleet, host, name) == "leaving"
            });
        }
    }
    for (index, host) in fleet.hosts.iter().enumerate() {
        for round in 0..5 {
            let text = format!("a clause {index} {round}");
            let answer = complete(host.callers, &text, 5, false).expect("the host answers");
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!(
                (attempts(&fleet, 0, &text), attempts(&fleet, 1, &text)),
                (0, 1)
            );
            let key = format!("key {index} {round}");
            let answer = call_service(host.callers, "POST", "/extensions", &key, "{}");
            assert_eq!(answer.map(|answer| answer.status), Some(200));
        }
    }
    let leaving = fleet.services().next().expect("the service exists");
    let counts = send(leaving.addr, "GET", "/counts", &[], &[]).expect("the stand-in responds");
    assert_eq!(counts.json(), json!({}));

    let expected = chiveway::standin::engine::expected(MODEL, prompt, 300);
    for answer in running {
        let answer = answer.rest();
        assert_eq!(
            chiveway::trial::stream_text(&answer.body),
            Some(expected.clone())
        );
    }
    assert!(
        attempts(&fleet, 0, prompt) > 0,
        "no request ran at the leaving engine"
    );
}

/// The platform's list no longer names an engine. The host must send it no new requests, and
/// running answers must be complete.
#[test]
fn delisted_backend_gets_no_new_work_and_finishes_running() {
    let fleet = Fleet::start(FleetConfig {
        hosts: 1,
        engines: 2,
        services: 0,
        engine_args: vec!["--decode-cost".into(), "5ms".into()],
        ..FleetConfig::default()
    });
    let prompt = "a long briefing";
    let running: Vec<_> = (0..6)
        .map(|_| open_completion(fleet.hosts[0].callers, prompt, 200, true))
        .map(|answer| answer.expect("the host answers"))
        .collect();
    fleet.publish_listing(|name| if name.ends_with("-1") { "gone" } else { "live" });
    wait_for("the host no longer lists the engine as serving", || {
        listing_state(&fleet, 0, "raadgiver-1") != "serving"
    });
    let text = "a clause";
    let answer = complete(fleet.hosts[0].callers, text, 5, false).expect("the host answers");
    assert_eq!(answer.status, 200);
    assert_eq!(attempts(&fleet, 0, text), 0);
    let expected = chiveway::standin::engine::expected(MODEL, prompt, 200);
    for answer in running {
        let answer = answer.rest();
        assert_eq!(
            chiveway::trial::stream_text(&answer.body),
            Some(expected.clone())
        );
    }
}
