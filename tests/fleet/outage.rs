//! Outages of the key-value service: what goes on, what stops, what a caller sees, and the return.

use serde_json::{Value, json};

use crate::support::http::{Answer, send};
use crate::support::{
    CUSTOMER_KEY, Fleet, FleetConfig, OPERATOR_KEY, call_service, complete, service_runs, wait_for,
};

/// Puts a list on top of a revision.
fn put(fleet: &Fleet, at: usize, base: u64, text: &str) -> Option<Answer> {
    let auth = format!("Bearer {OPERATOR_KEY}");
    let base = format!("\"{base}\"");
    let headers = [("authorization", auth.as_str()), ("if-match", &base)];
    send(
        fleet.hosts[at].operators,
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

fn store_state(fleet: &Fleet, at: usize, state: &str) -> bool {
    fleet.status(at)["store"] == state
}

fn fault(fleet: &Fleet, switches: &Value) {
    fleet.inject_kv_fault(switches);
}

/// Waits until every host has seen that the service is gone.
fn wait_down(fleet: &Fleet) {
    wait_for("every host misses the service", || {
        (0..fleet.hosts.len()).all(|at| store_state(fleet, at, "down"))
    });
}

fn wait_up(fleet: &Fleet) {
    wait_for("every host has the service again", || {
        (0..fleet.hosts.len())
            .all(|at| store_state(fleet, at, "up") && fleet.status(at)["ready"] == true)
    });
}

/// The service goes down, by refusing or by falling silent. Completions and calls that may repeat
/// go on; a filing is refused at once, as not run, with a time to come back; an edit is refused.
/// On return everything works again, also the filing that was refused.
fn goes_on(down: &Value) {
    let fleet = Fleet::start(FleetConfig::default());
    fault(&fleet, &json!({"down": down}));
    wait_down(&fleet);
    for at in 0..3 {
        let host = &fleet.hosts[at];
        let answer = complete(host.callers, "a clause", 10, true).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let read = call_service(host.callers, "GET", "/deadlines", "", "").expect("an answer");
        assert_eq!(read.status, 200, "{}", read.text());
        let key = format!("filing-{at}");
        let filing =
            call_service(host.callers, "POST", "/extensions", &key, "{}").expect("an answer");
        assert_eq!(filing.status, 503, "{}", filing.text());
        assert_eq!(filing.json()["ran"], "no");
        assert!(filing.header("retry-after").is_some());
        assert_eq!(service_runs(&fleet, &key), 0);
    }
    let edit = put(&fleet, 0, 2, &plans("Another", "other-key")).expect("an answer");
    assert!(edit.status >= 500, "{} {}", edit.status, edit.text());
    fault(&fleet, &json!({"down": false}));
    wait_up(&fleet);
    for at in 0..3 {
        let key = format!("filing-{at}");
        wait_for("the filing is taken", || {
            call_service(fleet.hosts[at].callers, "POST", "/extensions", &key, "{}")
                .is_some_and(|answer| answer.status == 200)
        });
        assert_eq!(service_runs(&fleet, &key), 1);
    }
}

macro_rules! outages {
    ($($name:ident: $down:expr;)+) => {
        $(#[test]
        fn $name() {
            goes_on(&json!($down));
        })+
    };
}

outages! {
    store_refuses_connections: "refuse";
    store_hangs: "hang";
}

/// A host starts while the service is down. It knows neither lists nor peers, and must not look
/// ready: the balancer would send it callers that it can only turn away.
#[test]
fn host_started_during_store_outage_is_not_ready() {
    let mut fleet = Fleet::start(FleetConfig::default());
    fault(&fleet, &json!({"down": "refuse"}));
    wait_down(&fleet);
    fleet.add_host("host-4");
    wait_for("the new host answers", || {
        fleet.get_operator(3, "/status").is_some()
    });
    let ready = fleet.get_operator(3, "/readyz").expect("an answer");
    assert_eq!(ready.status, 503);
    assert_eq!(fleet.status(3)["revision"], 0);
    let early = complete(fleet.hosts[3].callers, "a clause", 5, false).expect("an answer");
    assert_ne!(early.status, 200);
    fault(&fleet, &json!({"down": false}));
    wait_up(&fleet);
    assert_eq!(fleet.status(3)["revision"], 2);
    // Leases that lapsed meanwhile are taken anew, and shares settle again: until then a caller is
    // told when to come back.
    wait_for("the new host serves", || {
        let answer = complete(fleet.hosts[3].callers, "a clause", 5, false).expect("an answer");
        let waits = answer.status == 429 && answer.header("retry-after").is_some();
        assert!(waits || answer.status == 200, "{}", answer.text());
        answer.status == 200
    });
}

/// Every watch open now falls silent for good while the service works. An edit must be in force
/// everywhere all the same, and a customer that lost access must be refused everywhere.
#[test]
fn edit_reaches_hosts_with_frozen_watches() {
    let fleet = Fleet::start(FleetConfig::default());
    fault(&fleet, &json!({"freeze_watches": true}));
    let edit = put(&fleet, 0, 2, &plans("Another", "other-key")).expect("an answer");
    assert_eq!(edit.status, 200, "{}", edit.text());
    wait_for("the edit is in force everywhere", || {
        let force = fleet.get_operator(0, "/lists/force?revision=3");
        force.is_some_and(|answer| answer.json()["missing"] == json!([]))
    });
    for host in &fleet.hosts {
        let answer = complete(host.callers, "a clause", 5, false).expect("an answer");
        assert_eq!(
            answer.status, 401,
            "{} still lets {CUSTOMER_KEY} in",
            host.name
        );
    }
}

/// The service is slow. Completions do not wait for it, and nobody is registered anew.
#[test]
fn slow_store_fails_no_completion() {
    let fleet = Fleet::start(FleetConfig::default());
    fault(&fleet, &json!({"slow_ms": 300}));
    for at in [0, 1, 2, 0, 1, 2] {
        let answer = complete(fleet.hosts[at].callers, "a clause", 10, false).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let edit = put(&fleet, 1, 2, &plans("Another", "other-key")).expect("an answer");
    assert_eq!(edit.status, 200, "{}", edit.text());
}

/// All hosts lose the service at the same moment and find it again at the same moment. The calls
/// they make on return are counted: they must fit the budget of the service.
#[test]
fn store_recovery_stays_within_call_budget() {
    let fleet = Fleet::start(FleetConfig {
        hosts: 4,
        ..FleetConfig::default()
    });
    fault(&fleet, &json!({"down": "refuse"}));
    wait_down(&fleet);
    let reset = send(fleet.kv_addr, "POST", "/calls/reset", &[], &[]);
    assert!(reset.is_some_and(|answer| answer.status < 300));
    fault(&fleet, &json!({"down": false}));
    wait_up(&fleet);
    wait_for("every host has renewed its lease twice", || {
        fleet.kv_calls()["keepalive"].as_u64() >= Some(2 * fleet.hosts.len() as u64)
    });
    let calls = fleet.kv_calls();
    println!("calls on return: {calls}");
    let busiest = calls["busiest_second"].as_u64().expect("a count");
    assert!(busiest <= CALLS * fleet.hosts.len() as u64, "{calls}");
}

/// Calls that one host may make in a second: the list five times, as these settings ask, its
/// lease, watch and registration, and the holder's keys. At 370 hosts that read the list once a
/// second the same return is five calls a host over five seconds of jitter, 370 a second.
const CALLS: u64 = 8;
