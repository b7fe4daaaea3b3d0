//! One customer's share, enforced by all hosts together.

use std::thread;
use std::time::Instant;

use crate::support::http::send;
use crate::support::{CUSTOMER_KEY, Fleet, FleetConfig, MODEL, SERVICE, call_service, wait_for};

/// Requests per second in the share of these tests.
const SHARE_PER_SECOND: f64 = 40.0;

fn config(hosts: usize) -> FleetConfig {
    FleetConfig {
        hosts,
        use_list: format!(
            "[plan medlem]\nmodels = {MODEL}\nservices = {SERVICE}\nrequests = 40/s\n\
             [service {SERVICE}]\nrepeat = GET *\nonce = POST *\n"
        ),
        ..FleetConfig::default()
    }
}

/// Sends `count` calls to a host, one after the other; returns how many were admitted.
fn count_admitted(fleet: &Fleet, host: usize, count: usize) -> usize {
    let answers =
        (0..count).map(|_| call_service(fleet.hosts[host].callers, "GET", "/deadlines", "", ""));
    let statuses = answers.map(|answer| answer.map(|answer| answer.status));
    let mut admitted = 0;
    for status in statuses {
        assert!(matches!(status, Some(200 | 429)), "{status:?}");
        admitted += usize::from(status == Some(200));
    }
    admitted
}

/// One customer sends requests to all hosts in parallel. If each host admitted the full share, the
/// three would admit three times the plan's quota.
#[test]
fn hosts_together_admit_one_share() {
    let fleet = Fleet::start(config(3));
    let start = Instant::now();
    let admitted: usize = thread::scope(|scope| {
        let clients: Vec<_> = (0..3)
            .map(|host| {
                scope.spawn({
                    let fleet = &fleet;
                    move || count_admitted(fleet, host, 60)
                })
            })
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("the client does not panic"))
            .sum()
    });
    // The bound grows with the elapsed time, so it also holds on a slow machine.
    let limit = SHARE_PER_SECOND * start.elapsed().as_secs_f64() + 1.5 * SHARE_PER_SECOND + 1.0;
    println!("{admitted} admitted, limit {limit:.0}");
    assert!(
        admitted as f64 <= limit,
        "{admitted} requests were admitted, limit {limit}"
    );
    assert!(
        admitted > 20,
        "only {admitted} requests were admitted, expected more than 20"
    );
}

/// A host that holds a part of the share is killed. The other hosts must go on admitting requests,
/// and so must all three after the host is replaced.
#[test]
fn share_survives_host_crash() {
    let mut fleet = Fleet::start(config(3));
    let killed = fleet.hosts.remove(0);
    let name = killed.name.clone();
    let mut process = killed.process;
    process.kill();
    for host in 0..2 {
        wait_for("the host admits a request again", || {
            count_admitted(&fleet, host, 1) == 1
        });
    }
    fleet.add_host(&name);
    fleet.wait_until_ready(2);
    for host in 0..3 {
        wait_for("every host admits a request", || {
            count_admitted(&fleet, host, 1) == 1
        });
    }
}

/// An edit removes a customer's key. Every host must then refuse requests with that key.
#[test]
fn revoked_key_is_refused_by_every_host() {
    let fleet = Fleet::start(config(2));
    let auth = format!("Bearer {}", crate::support::OPERATOR_KEY);
    let headers = [("authorization", auth.as_str()), ("if-match", "\"2\"")];
    let text = "[customer Nobody]\nplan = medlem\n";
    let answer = send(
        fleet.hosts[0].operators,
        "PUT",
        "/lists/plans",
        &headers,
        text.as_bytes(),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    for host in &fleet.hosts {
        wait_for(&format!("{CUSTOMER_KEY} is refused"), || {
            call_service(host.callers, "GET", "/deadlines", "", "").is_some_and(|a| a.status == 401)
        });
    }
}
