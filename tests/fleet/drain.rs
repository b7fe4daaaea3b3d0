//! Back ends that leave: no new work from any host, and nothing that runs is cut.

use serde_json::json;

use crate::support::http::send;
use crate::support::proxy::FaultProxy;
use crate::support::{
    Fleet, FleetConfig, MODEL, call_service, complete, open_completion, wait_for,
};

/// Returns the attempts that an engine's log names for a prompt.
fn runs(fleet: &Fleet, engine: usize, prompt: &str) -> usize {
    let engine = fleet.engines().nth(engine).expect("an engine");
    let log = send(engine.addr, "GET", "/log", &[], &[]).expect("the stand-in answers");
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let log = log.json();
    let runs = log["runs"].as_array().into_iter().flatten();
    runs.filter(|run| run["prompt_hash"] == hash.as_str())
        .count()
}

fn listed(fleet: &Fleet, host: usize, name: &str) -> String {
    let status = fleet.status(host);
    let backends = status["backends"].as_array().cloned().unwrap_or_default();
    let one = backends.iter().find(|one| one["name"] == name);
    one.map_or("gone".into(), |one| {
        one["listed"].as_str().unwrap_or_default().into()
    })
}

/// The platform's list calls an engine and a service leaving, late; one host is cut off from the
/// list and learns it from its peers. A caller's running answer is whole, and nobody's new
/// request goes there.
#[test]
fn leaving_backend_gets_no_new_work_and_finishes_running() {
    let mut fleet = Fleet::start(FleetConfig {
        hosts: 2,
        engines: 2,
        engine_args: vec!["--decode-cost".into(), "5ms".into()],
        ..FleetConfig::default()
    });
    // It takes effect at once, and the list it then gives may be empty for as long as it lags.
    fleet.inject_kv_fault(&json!({"lag_ms": 300}));
    let list = FaultProxy::start(fleet.kv_addr);
    let own = format!("list = {}", fleet.kv_addr);
    let text = fleet.settings("host-3");
    let text = text.replace(&own, &format!("list = {}", list.addr));
    fleet.add_host_with("host-3", &text);
    fleet.wait_until_ready(2);

    let prompt = "a long briefing";
    let running: Vec<_> = (0..6)
        .map(|at| open_completion(fleet.hosts[at % 3].callers, prompt, 300, true))
        .map(|answer| answer.expect("the host answers"))
        .collect();

    list.refuse();
    fleet.publish_listing(|name| {
        if name.ends_with("-1") {
            "leaving"
        } else {
            "live"
        }
    });
    for host in 0..3 {
        for name in ["raadgiver-1", "fristportal-1"] {
            wait_for("the host knows that it is leaving", || {
                listed(&fleet, host, name) == "leaving"
            });
        }
    }
    for (at, host) in fleet.hosts.iter().enumerate() {
        for turn in 0..5 {
            let text = format!("a clause {at} {turn}");
            let answer = complete(host.callers, &text, 5, false).expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!((runs(&fleet, 0, &text), runs(&fleet, 1, &text)), (0, 1));
            let key = format!("key {at} {turn}");
            let answer = call_service(host.callers, "POST", "/extensions", &key, "{}");
            assert_eq!(answer.map(|answer| answer.status), Some(200));
        }
    }
    let leaving = fleet.services().next().expect("a service");
    let counts = send(leaving.addr, "GET", "/counts", &[], &[]).expect("the stand-in answers");
    assert_eq!(counts.json(), json!({}));

    let wanted = chiveway::standin::engine::expected(MODEL, prompt, 300);
    for answer in running {
        let answer = answer.rest();
        assert_eq!(
            chiveway::trial::stream_text(&answer.body),
            Some(wanted.clone())
        );
    }
    assert!(
        runs(&fleet, 0, prompt) > 0,
        "nothing ran on the leaving engine"
    );
}

/// The list no longer names an engine at all. It gets no new work either, and its running answer
/// is whole.
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
    wait_for("the host knows that it is gone", || {
        listed(&fleet, 0, "raadgiver-1") != "serving"
    });
    let text = "a clause";
    let answer = complete(fleet.hosts[0].callers, text, 5, false).expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(runs(&fleet, 0, text), 0);
    let wanted = chiveway::standin::engine::expected(MODEL, prompt, 200);
    for answer in running {
        let answer = answer.rest();
        assert_eq!(
            chiveway::trial::stream_text(&answer.body),
            Some(wanted.clone())
        );
    }
}
