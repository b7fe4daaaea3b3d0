//! Backend servers whose own answers state that they are leaving.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{NamedLimit, NamedPushback, Notices, Task};
use crate::core::relay::instance::short_hash;

/// Number of requests sent to find out which servers a host uses.
const PROBE_REQUESTS: usize = 30;
/// Time within which other hosts must know of a server whose answer stated that it is leaving.
const SPREAD_MS: u64 = 500;

const LEAVING: Notices = Notices {
    limit: NamedLimit::None,
    leaving: true,
    pushback: NamedPushback::None,
};

/// Has a server answer an attempt with the statement that it is leaving.
fn state_leaving(host: &mut TestHost, attempt: AttemptKey, status: u16) {
    let notices = LEAVING;
    host.event(RelayEvent::Noticed { attempt, notices });
    if status == 503 {
        host.fail_attempt(attempt, Ran::No, AttemptFailure::Refused);
    } else {
        host.event(RelayEvent::Answered { attempt, status });
    }
}

/// Returns how many of [`PROBE_REQUESTS`] requests are sent to a server.
fn sent_to(host: &mut TestHost, server: &str) -> usize {
    let sent = (0..PROBE_REQUESTS).filter_map(|_| {
        let call = host.arrive(plain_request("/once/x"));
        let sent = host.sent();
        host.event(RelayEvent::CallerLeft(call));
        sent
    });
    sent.filter(|sent| *sent.instance == *server).count()
}

/// Returns a host with two plain servers, and the first request that it sends.
fn with_two_servers() -> (TestHost, Outgoing) {
    let mut host = TestHost::new();
    host.register(vec![plain_entry("a"), plain_entry("b")]);
    host.arrive(plain_request("/once/x"));
    let sent = host.sent().expect("a request is sent");
    (host, sent)
}

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $status:expr, $changes:expr => $used:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let (mut host, sent) = with_two_servers();
            state_leaving(&mut host, sent.attempt, $status);
            let change: fn(&str) -> Vec<BackendEntry> = $changes;
            host.register(change(&sent.instance));
            host.now += 2000;
            assert_eq!(sent_to(&mut host, &sent.instance) > 0, $used);
        })*
    };
}

answers! {
    /// The store is unavailable. Guards against sending to a leaving server until the store says so as well.
    a_server_whose_success_states_that_it_leaves_gets_nothing_more: 200, |_| Vec::new() => false;
    a_server_whose_refusal_states_that_it_leaves_gets_nothing_more: 503, |_| Vec::new() => false;
    /// The store returns an entry that the server wrote before. Guards against using the server again.
    an_entry_does_not_undo_what_its_server_stated: 200, |id| vec![BackendEntry {
        revision: 90,
        ..plain_entry(id)
    }] => false;
    /// Guards against taking the statement of a server's previous start for that of its current one.
    a_server_that_restarted_is_used_again: 200, |id| vec![BackendEntry {
        started_ms: 2,
        revision: 90,
        ..plain_entry(id)
    }] => true;
}

/// The store is restored from a copy that lists the server as ready. Guards against using it again.
#[test]
fn a_restore_does_not_undo_what_a_server_stated() {
    let (mut host, sent) = with_two_servers();
    host.event(RelayEvent::StoreEra(1));
    state_leaving(&mut host, sent.attempt, 200);
    host.event(RelayEvent::StoreEra(2));
    host.apply_changes(Changes {
        is_snapshot: true,
        instances: vec![plain_entry("a"), plain_entry("b")],
        ..Changes::default()
    });
    assert_eq!(sent_to(&mut host, &sent.instance), 0);
}

/// An engine reports its stage to the host that plans, and states that it is leaving. Guards against reading that from
/// answers to callers' requests only.
#[test]
fn a_report_states_that_its_engine_leaves() {
    let (mut host, sent) = with_two_servers();
    host.event(RelayEvent::ControlNoticed {
        instance: sent.instance.clone(),
        notices: LEAVING,
    });
    assert_eq!(sent_to(&mut host, &sent.instance), 0);
}

/// Both decode engines answer, and one of them states that it is leaving, while a prompt is prefilled. Guards against a
/// choice that was made before.
#[test]
fn a_prefilled_prompt_is_not_handed_to_an_engine_that_stated_to_leave() {
    for leaving in ["d", "e"] {
        let mut host = TestHost::with_engines();
        let other = loop {
            host.arrive(model_request("/short/x", (1, 20), 20));
            let sent = host.sent().expect("a request is sent");
            if *sent.instance == *leaving {
                break sent;
            }
        };
        for round in 0..20 {
            host.arrive(model_request("/long/x", (9 + round, 9000), 4000));
            let prefill = host.sent().expect("a request is sent");
            if prefill.task != Task::Prefill {
                continue;
            }
            let notices = LEAVING;
            let attempt = other.attempt;
            host.event(RelayEvent::Noticed { attempt, notices });
            host.event(RelayEvent::Prefilled {
                attempt: prefill.attempt,
                handle: "h".into(),
            });
            let decode = host.sent().expect("a decode engine remains");
            assert_ne!(*decode.instance, *leaving);
        }
    }
}

/// All servers of a service are leaving. Guards against callers that wait for their deadline, or whose requests run at a
/// server that stops.
#[test]
fn a_request_is_refused_immediately_if_all_servers_leave() {
    let (mut host, first) = with_two_servers();
    state_leaving(&mut host, first.attempt, 200);
    host.arrive(plain_request("/once/x"));
    let second = host.sent().expect("the other server takes it");
    state_leaving(&mut host, second.attempt, 200);
    host.arrive(plain_request("/once/x"));
    assert_eq!(host.sent().map(|sent| sent.instance), None);
    let (status, ran, retry_after) = host.refused().expect("a refusal");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry_after.is_some());
}

/// The store is unavailable to all hosts, and one of them gets the answer of a leaving server. Guards against other
/// hosts that use it until an answer states it to each of them.
#[test]
fn other_hosts_learn_from_one_answer_that_a_server_leaves() {
    for hosts in [3, 30] {
        let mut domain = TestDomain::with_hosts(hosts);
        domain.pass(3000);
        domain.store.unresponsive = true;
        domain.pass(2000);
        let now = domain.now;
        let host = domain.hosts[1].as_mut().expect("a running host");
        host.now = now;
        host.arrive(plain_request("/once/x"));
        let sent = host.sent().expect("a request is sent");
        state_leaving(host, sent.attempt, 200);
        domain.pass(SPREAD_MS);
        let hash = short_hash(&sent.instance);
        for (number, host) in domain.hosts.iter().flatten().enumerate() {
            let instances = &host.core.relay.instances;
            let key = instances.by_short_hash(hash);
            let used = key.is_some_and(|key| instances.arena[key].is_available(host.core.now));
            assert!(!used, "host {number} of {hosts}");
        }
    }
}
