//! The whole path through separate processes.

use std::process::Command;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;

use crate::support::{CUSTOMER, Fleet, MODEL, Plan, call, complete, runs, wait_for};

/// Everything works: a streamed and a collected answer, a call of the service, and each is
/// explained by a host that did not serve it.
#[test]
fn a_request_is_served_and_explained_elsewhere() {
    let fleet = Fleet::start(Plan::default());
    let wanted = expected(MODEL, "a clause", 40);

    let streamed = complete(fleet.hosts[0].callers, "a clause", 40, true).expect("an answer");
    assert_eq!(streamed.status, 200, "{}", streamed.text());
    assert_eq!(stream_text(&streamed.body), Some(wanted.clone()));

    let collected = complete(fleet.hosts[1].callers, "a clause", 40, false).expect("an answer");
    assert_eq!(collected.json()["choices"][0]["text"], wanted.as_str());

    let called = call(fleet.hosts[2].callers, "POST", "/extensions", "k-1", "{}");
    assert_eq!(called.as_ref().map(|answer| answer.status), Some(200));
    assert_eq!(runs(&fleet, "k-1"), 1);

    for (answer, other) in [
        (streamed, 2),
        (collected, 0),
        (called.expect("an answer"), 1),
    ] {
        let id = answer.id();
        wait_for("the record is at another host", || {
            let record = fleet.explain(other, &id);
            record["outcome"] == "answered" && record["customer"] == CUSTOMER
        });
    }
}

/// The one command of the README's first page, on a machine with nothing else set up.
#[test]
fn the_trial_finds_everything_as_it_should_be() {
    let output = Command::new(env!("CARGO_BIN_EXE_chiveway"))
        .args(["try", "--once"])
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert_eq!(text.matches("Explained by host-3").count(), 2, "{text}");
}

/// The users' hosts forbid `io_uring`; a library that falls back to it would open a ring.
#[test]
fn a_host_that_serves_opens_no_ring() {
    let fleet = Fleet::start(Plan::default());
    let answer = complete(fleet.hosts[0].callers, "a clause", 4, true).expect("an answer");
    assert_eq!(answer.status, 200);
    let folder = format!("/proc/{}/fd", fleet.hosts[0].process.id());
    let targets: Vec<String> = std::fs::read_dir(folder)
        .expect("the process can be looked at")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(targets.iter().any(|target| target.contains("eventpoll")));
    assert!(
        !targets.iter().any(|target| target.contains("io_uring")),
        "{targets:?}"
    );
}
