//! Explanations through real processes, when the hosts that wrote them are gone.

use crate::support::account::retry_while_throttled;
use crate::support::{Fleet, FleetConfig, call_service, complete, wait_for};

/// Every host is replaced, one after the other died. A support engineer asks a new host what
/// became of a filing and of an ordinary answer: the filing is explained in full, the other is
/// said to be gone with its hosts, and neither is passed off as never made.
#[test]
fn non_retryable_call_is_explained_after_its_hosts_are_gone() {
    let mut fleet = Fleet::start(FleetConfig::default());
    let filed = retry_while_throttled(|| {
        call_service(fleet.hosts[0].callers, "POST", "/extensions", "k-1", "{}")
    });
    let read = retry_while_throttled(|| complete(fleet.hosts[1].callers, "a clause", 5, true));
    let id = |answers: Vec<Option<crate::support::http::Answer>>| {
        let last = answers.into_iter().flatten().last().expect("an answer");
        assert_eq!(last.status, 200, "{}", last.text());
        last.id()
    };
    let (filed, read) = (id(filed), id(read));
    let writes = fleet.kv_calls()["txn"].as_u64();
    wait_for("the filing's record is written", || {
        fleet.kv_calls()["txn"].as_u64() > writes
    });
    for host in &mut fleet.hosts {
        host.process.kill();
    }
    for name in ["host-4", "host-5"] {
        fleet.add_host(name);
    }
    for at in 3..5 {
        wait_for("the dead hosts are known to be gone", || {
            let status = fleet.status(at);
            status["hosts"]
                .as_array()
                .is_some_and(|hosts| hosts.len() == 2)
        });
        wait_for("the new host explains the filing", || {
            let record = fleet.explain(at, &filed);
            record["outcome"] == "answered" && record["idempotency_key"] == "k-1"
        });
        let record = fleet.explain(at, &filed);
        assert_eq!(record["ran"], "yes");
        assert_eq!(record["attempts"].as_array().map(Vec::len), Some(1));
        let other = fleet.explain(at, &read);
        assert_eq!(other["status"], 404, "{other}");
        let why = other["detail"].as_str().unwrap_or_default();
        assert!(why.contains("host that served it is gone"), "{why}");
    }
}
