//! Calls that may not be retried, checked against the service's own counts of runs.

use std::thread;

use serde_json::json;

use crate::support::account::retry_while_throttled;
use crate::support::http::Answer;
use crate::support::{Fleet, FleetConfig, call_service, inject_fault, service_runs, wait_for};

/// Statuses that settle a call: the answer of its run, or that it may have run.
const SETTLED_STATUSES: [u16; 2] = [200, 409];

fn call_once(fleet: &Fleet, host: usize, key: &str) -> Option<Answer> {
    call_service(fleet.hosts[host].callers, "POST", "/extensions", key, "{}")
}

/// Sends a call with the same key to a host until its answer settles it.
fn settle(fleet: &Fleet, host: usize, key: &str) -> Answer {
    let mut last = None;
    wait_for("the call is settled", || {
        last = call_once(fleet, host, key);
        last.as_ref().is_some_and(|answer| {
            let running = answer.json()["type"] == "urn:chiveway:still-running";
            SETTLED_STATUSES.contains(&answer.status) && !running
        })
    });
    last.expect("the call is settled")
}

fn inject_service_faults(fleet: &Fleet, fault: &serde_json::Value) {
    for service in fleet.services() {
        inject_fault(service.addr, fault);
    }
}

/// A client sends the same key to every host at the same moment, and again later. The call must
/// run once, and every later answer must be that of this run.
#[test]
fn same_key_at_every_host_runs_once() {
    let fleet = Fleet::start(FleetConfig::default());
    inject_service_faults(&fleet, &json!({"slow_ms": 50}));
    thread::scope(|scope| {
        for index in 0..9 {
            let fleet = &fleet;
            scope.spawn(move || call_once(fleet, index % 3, "k-1"));
        }
    });
    for host in 0..3 {
        let answer = settle(&fleet, host, "k-1");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["count"], 1);
    }
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// The key-value service stores the record that a call starts, but its answer is lost. The host
/// answers "not run", so the call must not have been sent, and the caller's next try must run it.
#[test]
fn lost_store_answer_prevents_send() {
    let fleet = Fleet::start(FleetConfig::default());
    fleet.inject_kv_fault(&json!({"lose_answers": 1, "lose_key": "chiveway/d/once/"}));
    let answer = call_once(&fleet, 0, "k-1").expect("the host answers");
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["ran"], "no");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(service_runs(&fleet, "k-1"), 0);
    let again = settle(&fleet, 1, "k-1");
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// The key-value service is down. A call that may not be retried must be refused and not run, a
/// retryable call must be served, and after recovery the refused call must run.
#[test]
fn store_outage_refuses_only_non_retryable_calls() {
    let fleet = Fleet::start(FleetConfig::default());
    fleet.inject_kv_fault(&json!({"down": true}));
    wait_for("the host reports the store as down", || {
        fleet.status(0)["store"] == "down"
    });
    let answer = call_once(&fleet, 0, "k-1").expect("the host answers");
    assert_eq!((answer.status, &answer.json()["ran"]), (503, &json!("no")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(service_runs(&fleet, "k-1"), 0);
    let retryable = call_service(fleet.hosts[0].callers, "GET", "/deadlines", "", "");
    assert_eq!(retryable.map(|answer| answer.status), Some(200));
    fleet.inject_kv_fault(&json!({"down": false}));
    assert_eq!(settle(&fleet, 0, "k-1").status, 200);
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// Instances of the service refuse a call without running it. If another instance accepts it, the
/// caller must get its answer; if all refuse, "not run", and a later try must run it once.
#[test]
fn call_not_run_is_retried_at_another_instance() {
    let fleet = Fleet::start(FleetConfig::default());
    let first = fleet.services().next().expect("the service exists").addr;
    for number in 0..4 {
        inject_fault(first, &json!({"fail_next": 1}));
        let key = format!("k-{number}");
        assert_eq!(call_once(&fleet, 0, &key).map(|a| a.status), Some(200));
        assert_eq!(service_runs(&fleet, &key), 1);
    }
    inject_service_faults(&fleet, &json!({"fail_next": 100}));
    let refused = call_once(&fleet, 1, "none").expect("the host answers");
    assert_eq!(refused.json()["ran"], "no", "{}", refused.text());
    assert_eq!(service_runs(&fleet, "none"), 0);
    inject_service_faults(&fleet, &json!({"fail_next": 0}));
    let answer = settle(&fleet, 2, "none");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(service_runs(&fleet, "none"), 1);
}

/// A rule makes GET calls retryable. A path that the host and the service may read differently
/// could pass that rule and run another call, so it must be refused, as must a lower-case method.
#[test]
fn ambiguous_path_is_refused() {
    let fleet = Fleet::start(FleetConfig::default());
    for path in [
        "/deadlines/../extensions",
        "/deadlines/%2e%2e/extensions",
        "//extensions",
        "/%65xtensions",
    ] {
        let answer =
            call_service(fleet.hosts[0].callers, "GET", path, "", "").expect("the host answers");
        assert_eq!(answer.status, 400, "{path}: {}", answer.text());
    }
    let lower_case = call_service(fleet.hosts[0].callers, "get", "/extensions", "", "");
    assert!(lower_case.is_none_or(|answer| answer.status >= 400));
    assert_eq!(service_runs(&fleet, "extensions"), 0);
}

/// A failure of a host during a call.
#[derive(Debug, Clone, Copy)]
enum HostFailure {
    Kill,
    Freeze,
}

/// Progress of the call when the host fails.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The key-value service has not confirmed the record.
    Recording,
    /// The service is running the call.
    Running,
    /// The caller has received the answer.
    Answered,
}

/// Fails a host during a call received by host 0, and sends the same key to another host until it
/// is settled. A frozen host then resumes with its pending work.
fn check_failure(failed_host: usize, failure: HostFailure, step: Step) {
    let mut fleet = Fleet::start(FleetConfig::default());
    match step {
        Step::Recording => fleet.inject_kv_fault(&json!({"slow_ms": 300})),
        Step::Running => inject_service_faults(&fleet, &json!({"slow_ms": 300})),
        Step::Answered => {}
    }
    let callers = fleet.hosts[0].callers;
    let writes = fleet.kv_calls()["txn"].as_u64();
    let first = thread::spawn(move || call_service(callers, "POST", "/extensions", "k-1", "{}"));
    match step {
        // Half of the record's delay; the test also holds if the call has not got there or is past it.
        Step::Recording => thread::sleep(std::time::Duration::from_millis(150)),
        Step::Running => wait_for("the record is written", || {
            fleet.kv_calls()["txn"].as_u64() > writes
        }),
        // The first call may still be running.
        Step::Answered => assert_eq!(settle(&fleet, 0, "k-1").status, 200),
    }
    match failure {
        HostFailure::Kill => fleet.hosts[failed_host].process.kill(),
        HostFailure::Freeze => fleet.hosts[failed_host].process.freeze(),
    }
    fleet.inject_kv_fault(&json!({"slow_ms": 0}));
    let other = if failed_host == 1 { 2 } else { 1 };
    let answer = settle(&fleet, other, "k-1");
    assert!(service_runs(&fleet, "k-1") <= 1, "{}", answer.text());
    if let HostFailure::Freeze = failure {
        fleet.hosts[failed_host].process.thaw();
        wait_for("the resumed host is ready", || {
            fleet.status(failed_host)["ready"] == true
        });
    }
    drop(first.join());
    let last = settle(&fleet, other, "k-1");
    assert!(service_runs(&fleet, "k-1") <= 1, "{}", last.text());
    if answer.status == 200 {
        assert_eq!(service_runs(&fleet, "k-1"), 1);
        assert_eq!(last.status, 200);
    }
}

/// Makes one test of each case: the host that fails, how, and at which step of the call. Host 0
/// serves the call; any host may own its record. A later try must be answered or, if the outcome
/// is unknown, refused because the call may have run. The call must never run twice.
macro_rules! host_failures {
    ($($name:ident: $host:literal $failure:ident $step:ident;)+) => {
        $(#[test]
        fn $name() {
            check_failure($host, HostFailure::$failure, Step::$step);
        })+
    };
}

host_failures! {
    serving_host_killed_before_record: 0 Kill Recording;
    serving_host_killed_after_send: 0 Kill Running;
    serving_host_killed_after_answer: 0 Kill Answered;
    serving_host_frozen_before_record: 0 Freeze Recording;
    serving_host_frozen_after_send: 0 Freeze Running;
    peer_killed_before_record: 1 Kill Recording;
    peer_killed_after_send: 2 Kill Running;
    peer_frozen_before_record: 2 Freeze Recording;
}

/// One host is stopped, one killed and one added while clients send calls. Each key must run at
/// most once, and each key that was answered must have run.
#[test]
fn no_key_runs_twice_while_hosts_change() {
    let mut fleet = Fleet::start(FleetConfig::default());
    let callers: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let callers = callers.clone();
            thread::spawn(move || {
                let mut answered = Vec::new();
                for number in 0..60 {
                    let key = format!("k-{}-", number % 20);
                    let addr = callers[(client + number) % callers.len()];
                    let answers = retry_while_throttled(|| {
                        call_service(addr, "POST", "/extensions", &key, "{}")
                    });
                    let mut answers = answers.into_iter().flatten();
                    if answers.any(|answer| answer.status == 200) {
                        answered.push(key);
                    }
                }
                answered
            })
        })
        .collect();
    fleet.hosts[1].process.term();
    fleet.add_host("host-4");
    fleet.hosts[2].process.kill();
    let mut answered = Vec::new();
    for client in clients {
        answered.extend(client.join().expect("the client does not panic"));
    }
    for number in 0..20 {
        assert!(
            service_runs(&fleet, &format!("k-{number}-")) <= 1,
            "k-{number}-"
        );
    }
    assert!(!answered.is_empty());
    for key in answered {
        assert_eq!(service_runs(&fleet, &key), 1, "{key}");
    }
}
