//! Calls that may not repeat, through real processes; the service's own counters are the evidence.

use std::thread;

use serde_json::json;

use crate::support::account::retry_while_throttled;
use crate::support::http::Answer;
use crate::support::{Fleet, FleetConfig, call_service, inject_fault, service_runs, wait_for};

/// Statuses that settle a repeat: the first answer, or that the call may have run.
const SETTLED: [u16; 2] = [200, 409];

fn file(fleet: &Fleet, at: usize, key: &str) -> Option<Answer> {
    call_service(fleet.hosts[at].callers, "POST", "/extensions", key, "{}")
}

/// Repeats a key at a host until it gets an answer that settles it.
fn settle(fleet: &Fleet, at: usize, key: &str) -> Answer {
    let mut last = None;
    wait_for("the repeat is settled", || {
        last = file(fleet, at, key);
        last.as_ref().is_some_and(|answer| {
            let again = answer.json()["type"] == "urn:chiveway:still-running";
            SETTLED.contains(&answer.status) && !again
        })
    });
    last.expect("waited for")
}

fn services(fleet: &Fleet, fault: &serde_json::Value) {
    for service in fleet.services() {
        inject_fault(service.addr, fault);
    }
}

/// A member's portal sends the same filing to every host at the same moment, and once more later.
/// The funder must get one filing, and every answer must tell of that one.
#[test]
fn same_key_at_every_host_runs_once() {
    let fleet = Fleet::start(FleetConfig::default());
    services(&fleet, &json!({"slow_ms": 50}));
    thread::scope(|scope| {
        for at in 0..9 {
            let fleet = &fleet;
            scope.spawn(move || file(fleet, at % 3, "k-1"));
        }
    });
    for at in 0..3 {
        let answer = settle(&fleet, at, "k-1");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["count"], 1);
    }
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// The key-value service takes the record of the start and its answer is lost. The caller is told
/// "not run"; the filing must not have gone out, and the member's next try must send it.
#[test]
fn lost_store_answer_prevents_send() {
    let fleet = Fleet::start(FleetConfig::default());
    fleet.inject_kv_fault(&json!({"lose_answers": 1, "lose_key": "chiveway/d/once/"}));
    let answer = file(&fleet, 0, "k-1").expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["ran"], "no");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(service_runs(&fleet, "k-1"), 0);
    let again = settle(&fleet, 1, "k-1");
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// The key-value service is down. A filing is refused at once and has not run, a question about a
/// deadline is answered as ever, and filings go on when the service is back.
#[test]
fn store_outage_refuses_only_non_retryable_calls() {
    let fleet = Fleet::start(FleetConfig::default());
    fleet.inject_kv_fault(&json!({"down": true}));
    wait_for("the hosts notice", || fleet.status(0)["store"] == "down");
    let answer = file(&fleet, 0, "k-1").expect("an answer");
    assert_eq!((answer.status, &answer.json()["ran"]), (503, &json!("no")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(service_runs(&fleet, "k-1"), 0);
    let status = call_service(fleet.hosts[0].callers, "GET", "/deadlines", "", "");
    assert_eq!(status.map(|answer| answer.status), Some(200));
    fleet.inject_kv_fault(&json!({"down": false}));
    assert_eq!(settle(&fleet, 0, "k-1").status, 200);
    assert_eq!(service_runs(&fleet, "k-1"), 1);
}

/// The service refuses before it runs a call, at one instance or at all. Where one takes it the
/// caller notices nothing; where none does the caller is told "not run" and may send it again.
#[test]
fn call_not_run_is_retried_at_another_instance() {
    let fleet = Fleet::start(FleetConfig::default());
    let first = fleet.services().next().expect("an instance").addr;
    for number in 0..4 {
        inject_fault(first, &json!({"fail_next": 1}));
        let key = format!("k-{number}");
        assert_eq!(file(&fleet, 0, &key).map(|a| a.status), Some(200));
        assert_eq!(service_runs(&fleet, &key), 1);
    }
    services(&fleet, &json!({"fail_next": 100}));
    let refused = file(&fleet, 1, "none").expect("an answer");
    assert_eq!(refused.json()["ran"], "no", "{}", refused.text());
    assert_eq!(service_runs(&fleet, "none"), 0);
    services(&fleet, &json!({"fail_next": 0}));
    let answer = settle(&fleet, 2, "none");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(service_runs(&fleet, "none"), 1);
}

/// A rule lets deadline questions repeat. A path that the rule reads as such a question and the
/// service as a filing is refused, and so is a method in small letters.
#[test]
fn ambiguous_path_is_refused() {
    let fleet = Fleet::start(FleetConfig::default());
    for path in [
        "/deadlines/../extensions",
        "/deadlines/%2e%2e/extensions",
        "//extensions",
        "/%65xtensions",
    ] {
        let answer = call_service(fleet.hosts[0].callers, "GET", path, "", "").expect("an answer");
        assert_eq!(answer.status, 400, "{path}: {}", answer.text());
    }
    let small = call_service(fleet.hosts[0].callers, "get", "/extensions", "", "");
    assert!(small.is_none_or(|answer| answer.status >= 400));
    assert_eq!(service_runs(&fleet, "extensions"), 0);
}

/// What is done to a host while a call is on its way through it.
#[derive(Debug, Clone, Copy)]
enum Blow {
    Kill,
    Freeze,
}

/// How far the call is when a host is struck.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The key-value service has not answered about the record.
    Recording,
    /// The service is working on the call.
    Running,
    /// The caller has its answer.
    Answered,
}

/// Strikes a host in the middle of a call that came in at host 0, and repeats the call elsewhere
/// until it is settled; a frozen host then wakes with whatever it still meant to do.
fn strike(victim: usize, blow: Blow, step: Step) {
    let mut fleet = Fleet::start(FleetConfig::default());
    match step {
        Step::Recording => fleet.inject_kv_fault(&json!({"slow_ms": 300})),
        Step::Running => services(&fleet, &json!({"slow_ms": 300})),
        Step::Answered => {}
    }
    let callers = fleet.hosts[0].callers;
    let writes = fleet.kv_calls()["txn"].as_u64();
    let first = thread::spawn(move || call_service(callers, "POST", "/extensions", "k-1", "{}"));
    match step {
        // Half of the time that the record takes; earlier and later are right as well.
        Step::Recording => thread::sleep(std::time::Duration::from_millis(150)),
        Step::Running => wait_for("the record is there", || {
            fleet.kv_calls()["txn"].as_u64() > writes
        }),
        // A repeat may still meet the first call running.
        Step::Answered => assert_eq!(settle(&fleet, 0, "k-1").status, 200),
    }
    match blow {
        Blow::Kill => fleet.hosts[victim].process.kill(),
        Blow::Freeze => fleet.hosts[victim].process.freeze(),
    }
    fleet.inject_kv_fault(&json!({"slow_ms": 0}));
    let other = if victim == 1 { 2 } else { 1 };
    let answer = settle(&fleet, other, "k-1");
    assert!(service_runs(&fleet, "k-1") <= 1, "{}", answer.text());
    if let Blow::Freeze = blow {
        fleet.hosts[victim].process.thaw();
        wait_for("the host is back", || fleet.status(victim)["ready"] == true);
    }
    drop(first.join());
    let last = settle(&fleet, other, "k-1");
    assert!(service_runs(&fleet, "k-1") <= 1, "{}", last.text());
    if answer.status == 200 {
        assert_eq!(service_runs(&fleet, "k-1"), 1);
        assert_eq!(last.status, 200);
    }
}

/// Names each case: the host that is struck, how, and how far the call is. Any host may own the
/// call's record; host 0 serves the call. The member sees its repeat answered or, where nobody can
/// know, is told that it may have run; the funder never gets two filings.
macro_rules! strikes {
    ($($name:ident: $victim:literal $blow:ident $step:ident;)+) => {
        $(#[test]
        fn $name() {
            strike($victim, Blow::$blow, Step::$step);
        })+
    };
}

strikes! {
    serving_host_killed_before_record: 0 Kill Recording;
    serving_host_killed_after_send: 0 Kill Running;
    serving_host_killed_after_answer: 0 Kill Answered;
    serving_host_frozen_before_record: 0 Freeze Recording;
    serving_host_frozen_after_send: 0 Freeze Running;
    peer_killed_before_record: 1 Kill Recording;
    peer_killed_after_send: 2 Kill Running;
    peer_frozen_before_record: 2 Freeze Recording;
}

/// Hosts come and go while members file: one is stopped, one killed, one added. Each key runs at
/// most once, and one that was answered ran.
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
                    let at = callers[(client + number) % callers.len()];
                    let answers = retry_while_throttled(|| {
                        call_service(at, "POST", "/extensions", &key, "{}")
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
        answered.extend(client.join().expect("a client ends"));
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
