//! The whole path through separate processes.

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
