//! One share over all hosts, through real processes.

use std::thread;
use std::time::Instant;

use crate::support::http::send;
use crate::support::{CUSTOMER_KEY, Fleet, FleetConfig, MODEL, SERVICE, call_service, wait_for};

const RATE: f64 = 40.0;

fn plan(hosts: usize) -> FleetConfig {
    FleetConfig {
        hosts,
        use_list: format!(
            "[plan medlem]\nmodels = {MODEL}\nservices = {SERVICE}\nrequests = 40/s\n\
             [service {SERVICE}]\nrepeat = GET *\nonce = POST *\n"
        ),
        ..FleetConfig::default()
    }
}

/// Asks a host `count` times, one after the other; returns how many were let in.
fn ask(fleet: &Fleet, at: usize, count: usize) -> usize {
    let answers =
        (0..count).map(|_| call_service(fleet.hosts[at].callers, "GET", "/deadlines", "", ""));
    let statuses = answers.map(|answer| answer.map(|answer| answer.status));
    let mut let_in = 0;
    for status in statuses {
        assert!(matches!(status, Some(200 | 429)), "{status:?}");
        let_in += usize::from(status == Some(200));
    }
    let_in
}

/// The requests of one customer come by every host at once. Each host that let in the whole share
/// would let in three times what was sold.
#[test]
fn hosts_together_admit_one_share() {
    let fleet = Fleet::start(plan(3));
    let began = Instant::now();
    let let_in: usize = thread::scope(|scope| {
        let askers: Vec<_> = (0..3)
            .map(|at| {
                scope.spawn({
                    let fleet = &fleet;
                    move || ask(fleet, at, 60)
                })
            })
            .collect();
        askers
            .into_iter()
            .map(|asker| asker.join().expect("an asker"))
            .sum()
    });
    // The bound grows with the time it took, so that a slow machine changes nothing.
    let most = RATE * began.elapsed().as_secs_f64() + 1.5 * RATE + 1.0;
    println!("{let_in} let in, at most {most:.0}");
    assert!(
        let_in as f64 <= most,
        "{let_in} were let in, more than {most}"
    );
    assert!(let_in > 20, "only {let_in} were let in");
}

/// A host that holds a part of the share is killed. The others go on with what is theirs, and with
/// all of it once the host's place is taken.
#[test]
fn share_survives_host_crash() {
    let mut fleet = Fleet::start(plan(3));
    let gone = fleet.hosts.remove(0);
    let name = gone.name.clone();
    let mut process = gone.process;
    process.kill();
    for at in 0..2 {
        wait_for("the share is lent again", || ask(&fleet, at, 1) == 1);
    }
    fleet.add_host(&name);
    fleet.wait_until_ready(2);
    for at in 0..3 {
        wait_for("the share is lent by all", || ask(&fleet, at, 1) == 1);
    }
}

/// An edit takes a customer's key away. What runs goes on; what comes is refused at every host.
#[test]
fn revoked_key_is_refused_by_every_host() {
    let fleet = Fleet::start(plan(2));
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
