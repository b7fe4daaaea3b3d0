//! Explanations of requests whose hosts are gone.

use crate::support::account::retry_while_throttled;
use crate::support::{Fleet, FleetConfig, call_service, complete, wait_for};

/// All hosts are killed and replaced. A new host must explain a call that may not be retried from
/// the stored record, and must report that the record of a completion was lost with its hosts.
#[test]
fn non_retryable_call_is_explained_after_its_hosts_are_gone() {
    let mut fleet = Fleet::start(FleetConfig::default());
    let call = retry_while_throttled(|| {
        call_service(fleet.hosts[0].callers, "POST", "/extensions", "k-1", "{}")
    });
    let completion =
        retry_while_throttled(|| complete(fleet.hosts[1].callers, "a clause", 5, true));
    let id = |answers: Vec<Option<crate::support::http::Answer>>| {
        let last = answers
            .into_iter()
            .flatten()
            .last()
            .expect("the host answers");
        assert_eq!(last.status, 200, "{}", last.text());
        last.id()
    };
    let (call, completion) = (id(call), id(completion));
    let writes = fleet.kv_calls()["txn"].as_u64();
    wait_for("the call's record is written", || {
        fleet.kv_calls()["txn"].as_u64() > writes
    });
    for host in &mut fleet.hosts {
        host.process.kill();
    }
    for name in ["host-4", "host-5"] {
        fleet.add_host(name);
    }
    for host in 3..5 {
        wait_for("the new host lists two hosts", || {
            let status = fleet.status(host);
            status["hosts"]
                .as_array()
                .is_some_and(|hosts| hosts.len() == 2)
        });
        wait_for("the new host explains the call", || {
            let record = fleet.explain(host, &call);
            record["outcome"] == "answered" && record["idempotency_key"] == "k-1"
        });
        let record = fleet.explain(host, &call);
        assert_eq!(record["ran"], "yes");
        assert_eq!(record["attempts"].as_array().map(Vec::len), Some(1));
        let problem = fleet.explain(host, &completion);
        assert_eq!(problem["status"], 404, "{problem}");
        let detail = problem["detail"].as_str().unwrap_or_default();
        assert!(detail.contains("host that served it is gone"), "{detail}");
    }
}
