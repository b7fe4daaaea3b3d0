//! Outages of the key-value service: what hosts still serve, what they refuse, and recovery.

use serde_json::{Value, json};

use crate::support::http::{Answer, send};
use crate::support::{
    CUSTOMER_KEY, Fleet, FleetConfig, OPERATOR_KEY, call_service, complete, service_runs, wait_for,
};

/// Uploads the list of plans at a host, on condition that the current revision is `revision`.
fn put_plans(fleet: &Fleet, host: usize, revision: u64, text: &str) -> Option<Answer> {
    let auth = format!("Bearer {OPERATOR_KEY}");
    let tag = format!("\"{revision}\"");
    let headers = [("authorization", auth.as_str()), ("if-match", &tag)];
    send(
        fleet.hosts[host].operators,
        "PUT",
        "/lists/plans",
        &headers,
        text.as_bytes(),
    )
}

fn plans(customer: &str, key: &str) -> String {
    let key = blake3::hash(key.as_bytes()).to_hex();
    format!("[customer {customer}]\nplan = medlem\nkeys = {key}\n")
}

fn store_state(fleet: &Fleet, host: usize, state: &str) -> bool {
    fleet.status(host)["store"] == state
}

fn inject(fleet: &Fleet, fault: &Value) {
    fleet.inject_kv_fault(fault);
}

/// Waits until every host reports that the service is down.
fn wait_until_down(fleet: &Fleet) {
    wait_for("every host reports the store as down", || {
        (0..fleet.hosts.len()).all(|host| store_state(fleet, host, "down"))
    });
}

fn wait_until_up(fleet: &Fleet) {
    wait_for("every host is ready and reports the store as up", || {
        (0..fleet.hosts.len())
            .all(|host| store_state(fleet, host, "up") && fleet.status(host)["ready"] == true)
    });
}

/// The service answers 503 to every call, or not at all. Completions and retryable calls must
/// still be served. Calls that may not be retried must be refused as not run, with a `retry-after`,
/// and edits must be refused. After recovery the refused calls must run once.
fn check_outage(down: &Value) {
    let fleet = Fleet::start(FleetConfig::default());
    inject(&fleet, &json!({"down": down}));
    wait_until_down(&fleet);
    for index in 0..3 {
        let host = &fleet.hosts[index];
        let answer = complete(host.callers, "a clause", 10, true).expect("the host answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let retryable =
            call_service(host.callers, "GET", "/deadlines", "", "").expect("the host answers");
        assert_eq!(retryable.status, 200, "{}", retryable.text());
        let key = format!("filing-{index}");
        let refused = call_service(host.callers, "POST", "/extensions", &key, "{}")
            .expect("the host answers");
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert_eq!(refused.json()["ran"], "no");
        assert!(refused.header("retry-after").is_some());
        assert_eq!(service_runs(&fleet, &key), 0);
    }
    let edit = put_plans(&fleet, 0, 2, &plans("Another", "other-key")).expect("the host answers");
    assert!(edit.status >= 500, "{} {}", edit.status, edit.text());
    inject(&fleet, &json!({"down": false}));
    wait_until_up(&fleet);
    for index in 0..3 {
        let key = format!("filing-{index}");
        wait_for("the call is accepted", || {
            call_service(
                fleet.hosts[index].callers,
                "POST",
                "/extensions",
                &key,
                "{}",
            )
            .is_some_and(|answer| answer.status == 200)
        });
        assert_eq!(service_runs(&fleet, &key), 1);
    }
}

macro_rules! outages {
    ($($name:ident: $down:expr;)+) => {
        $(#[test]
        fn $name() {
            check_outage(&json!($down));
        })+
    };
}

outages! {
    store_answers_503: "refuse";
    store_hangs: "hang";
}

/// A host starts while the service is down and has neither lists nor peers. If it reported ready,
/// the load balancer would send it requests that it can only refuse.
#[test]
fn host_started_during_store_outage_is_not_ready() {
    let mut fleet = Fleet::start(FleetConfig::default());
    inject(&fleet, &json!({"down": "refuse"}));
    wait_until_down(&fleet);
    fleet.add_host("host-4");
    wait_for("the new host answers", || {
        fleet.get_operator(3, "/status").is_some()
    });
    let ready = fleet.get_operator(3, "/readyz").expect("the host answers");
    assert_eq!(ready.status, 503);
    assert_eq!(fleet.status(3)["revision"], 0);
    let early = complete(fleet.hosts[3].callers, "a clause", 5, false).expect("the host answers");
    assert_ne!(early.status, 200);
    inject(&fleet, &json!({"down": false}));
    wait_until_up(&fleet);
    assert_eq!(fleet.status(3)["revision"], 2);
    // Until expired leases are renewed and shares are lent again, requests are refused with a
    // `retry-after`.
    wait_for("the new host serves", || {
        let answer =
            complete(fleet.hosts[3].callers, "a clause", 5, false).expect("the host answers");
        let throttled = answer.status == 429 && answer.header("retry-after").is_some();
        assert!(throttled || answer.status == 200, "{}", answer.text());
        answer.status == 200
    });
}

/// All open watches of the service stop delivering while its other calls work. An edit must still
/// reach every host, else a customer without access would still be served.
#[test]
fn edit_reaches_hosts_with_frozen_watches() {
    let fleet = Fleet::start(FleetConfig::default());
    inject(&fleet, &json!({"freeze_watches": true}));
    let edit = put_plans(&fleet, 0, 2, &plans("Another", "other-key")).expect("the host answers");
    assert_eq!(edit.status, 200, "{}", edit.text());
    wait_for("every host has the edit in force", || {
        let in_force = fleet.get_operator(0, "/lists/force?revision=3");
        in_force.is_some_and(|answer| answer.json()["missing"] == json!([]))
    });
    for host in &fleet.hosts {
        let answer = complete(host.callers, "a clause", 5, false).expect("the host answers");
        assert_eq!(
            answer.status, 401,
            "{} still accepts {CUSTOMER_KEY}",
            host.name
        );
    }
}

/// Each answer of the service is delayed by 300 ms. Completions and edits must still succeed.
#[test]
fn slow_store_fails_no_completion() {
    let fleet = Fleet::start(FleetConfig::default());
    inject(&fleet, &json!({"slow_ms": 300}));
    for host in [0, 1, 2, 0, 1, 2] {
        let answer =
            complete(fleet.hosts[host].callers, "a clause", 10, false).expect("the host answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let edit = put_plans(&fleet, 1, 2, &plans("Another", "other-key")).expect("the host answers");
    assert_eq!(edit.status, 200, "{}", edit.text());
}

/// All hosts lose the service and reconnect at the same moment. A burst of calls could overload it
/// again, so the calls in any second must stay within a budget.
#[test]
fn store_recovery_stays_within_call_budget() {
    let fleet = Fleet::start(FleetConfig {
        hosts: 4,
        ..FleetConfig::default()
    });
    inject(&fleet, &json!({"down": "refuse"}));
    wait_until_down(&fleet);
    let reset = send(fleet.kv_addr, "POST", "/calls/reset", &[], &[]);
    assert!(reset.is_some_and(|answer| answer.status < 300));
    inject(&fleet, &json!({"down": false}));
    wait_until_up(&fleet);
    wait_for("every host has renewed its lease twice", || {
        fleet.kv_calls()["keepalive"].as_u64() >= Some(2 * fleet.hosts.len() as u64)
    });
    let calls = fleet.kv_calls();
    println!("calls after recovery: {calls}");
    let busiest = calls["busiest_second"]
        .as_u64()
        .expect("the count is a number");
    assert!(
        busiest <= MAX_CALLS_PER_SECOND * fleet.hosts.len() as u64,
        "{calls}"
    );
}

/// Bound of one host's calls in a second: five reads of the list, due to the `refresh` of these
/// tests, and the lease, watch, registration and holder's keys. 370 hosts that read the list once
/// a second make five calls each after an outage, over five seconds of jitter: 370 a second.
const MAX_CALLS_PER_SECOND: u64 = 8;
