//! Servers and hosts whose entries are removed while a host is partitioned or the store is down.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{Gossip, GossipKind, UptimeReport};
use crate::core::relay::view::Uptime;

/// Milliseconds after its return within which a host must stop sending to a server that has left.
const DROP_DEADLINE_MS: u64 = 1000;
/// Number of requests sent to find out which servers a host uses.
const PROBE_REQUESTS: usize = 30;

/// Whether a host sends at least one of [`PROBE_REQUESTS`] requests to a server.
fn sends_to(domain: &mut TestDomain, host: usize, server: &str) -> bool {
    let sent = (0..PROBE_REQUESTS).filter_map(|_| domain.arrive(host));
    sent.filter(|to| **to == *server).count() > 0
}

/// Whether a host considers a server as available for new requests.
fn would_send_to(domain: &TestDomain, host: usize, server: &str) -> bool {
    let node = domain.hosts[host].as_ref().expect("a running host");
    let instances = &node.core.relay.instances;
    let key = instances.find(server);
    key.is_some_and(|key| instances.arena[key].is_available(node.core.now))
}

/// A host is partitioned while a server's entry is removed, and reads all keys once it is back.
/// Guards against handling the missing entry as one that expired in an outage of the store and will
/// be written again.
#[test]
fn a_reconnected_host_sends_nothing_to_a_removed_server() {
    for length in [500, 2500, 8000] {
        let mut domain = TestDomain::with_hosts(3);
        domain.pass(3000);
        assert!(sends_to(&mut domain, 1, "r"));
        domain.cut_off(1);
        domain.pass(length / 2);
        domain.remove("r");
        domain.pass(length / 2);
        domain.reconnect();
        domain.pass(DROP_DEADLINE_MS);
        assert!(
            !sends_to(&mut domain, 1, "r"),
            "host 1 sends to r after a partition of {length} ms"
        );
    }
}

/// A server leaves while all hosts but one read a configuration of megabytes over narrow links. Guards against applying
/// no change before the configuration has arrived, though other hosts know that the server left.
#[test]
fn a_departure_does_not_wait_for_a_large_configuration() {
    for hosts in [5, 30] {
        let mut domain = TestDomain::with_hosts(hosts);
        domain.pass(3000);
        domain.store.transfer_ms = 4000;
        domain.store.revision += 1;
        domain.store.large_at = Some(domain.store.revision);
        domain.pass(500);
        domain.remove("r");
        domain.pass(DROP_DEADLINE_MS);
        let late = (0..hosts).filter(|host| would_send_to(&domain, *host, "r"));
        assert_eq!(late.collect::<Vec<_>>(), [0; 0], "of {hosts} hosts");
        domain.pass(8000);
        for host in 0..hosts {
            assert!(
                !would_send_to(&domain, host, "r"),
                "host {host} uses it again"
            );
            assert_eq!(domain.version(host), 12, "host {host}");
        }
    }
}

/// Returns hosts at the end of an outage of the store in which the entry of server `r` was removed.
fn after_outage() -> TestDomain {
    let mut domain = TestDomain::with_hosts(3);
    domain.pass(3000);
    domain.store.unresponsive = true;
    domain.pass(2500);
    domain.remove("r");
    domain.pass(2500);
    domain.store.unresponsive = false;
    domain
}

/// Entries expire in an outage of the store though their servers run, and are written again two seconds after
/// it. Guards against dropping the servers meanwhile: hosts would have no server left.
#[test]
fn an_entry_that_expired_in_a_store_outage_stays_in_use() {
    let mut domain = after_outage();
    domain.pass(DROP_DEADLINE_MS);
    for host in 0..3 {
        assert!(sends_to(&mut domain, host, "r"), "host {host}");
    }
    domain.list_again();
    domain.pass(3000);
    for host in 0..3 {
        assert!(would_send_to(&domain, host, "r"), "host {host}");
    }
}

/// An entry that expired in an outage and is not written again belongs to a server that has left.
#[test]
fn an_entry_not_rewritten_after_a_store_outage_is_dropped() {
    let mut domain = after_outage();
    domain.pass(DROP_DEADLINE_MS + 2200);
    for host in 0..3 {
        assert!(!sends_to(&mut domain, host, "r"), "host {host}");
    }
}

/// The only host of a failure domain is partitioned from the store. Guards against a host that never learns
/// that the store was up, and uses removed servers: hosts of other failure domains report the uptime.
#[test]
fn a_host_alone_in_its_domain_gets_uptime_from_other_domains() {
    let mut domain = TestDomain::with_hosts(2);
    domain.pass(6000);
    let other = domain.hosts[0].as_ref().expect("a running host");
    let uptime = other.core.relay.view.uptime.report(other.core.now);
    assert!(uptime.is_some_and(|uptime| uptime.length >= Duration::from_secs(4)));

    let mut alone = TestHost::named("host-9", 3);
    alone.write_key(
        "hosts/host-00",
        Some(r#"{"addr":"10.9.0.0:1","domain":"y"}"#),
        4,
    );
    alone.advance(8000);
    alone.configure(catalog(1));
    alone.register(vec![plain_entry("p"), plain_entry("r")]);
    alone.apply_changes(Changes {
        is_snapshot: true,
        instances: vec![plain_entry("p")],
        keys: vec![KeyChange {
            key: "hosts/host-00".into(),
            value: Some(br#"{"addr":"10.9.0.0:1","domain":"y"}"#.as_slice().into()),
            revision: 4,
        }],
        ..Changes::default()
    });
    let sent_to_r = |host: &mut TestHost| {
        let sent = (0..30).filter_map(|_| {
            host.arrive(plain_request("/once/x"));
            host.sent()
        });
        sent.filter(|sent| *sent.instance == *"r").count()
    };
    assert!(sent_to_r(&mut alone) > 0);
    alone.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-00".into(),
        incarnation: 1,
        sequence: 1,
        kind: GossipKind::Domain("y".into()),
        uptime,
        ..Gossip::default()
    })));
    assert_eq!(sent_to_r(&mut alone), 0);
}

/// A host's registration expires while it cannot reach the store but still reaches the other hosts. Guards against
/// sending it nothing any more: it would act on old state until it reaches the store again.
#[test]
fn a_responsive_host_with_an_expired_registration_gets_gossip() {
    let mut host = TestHost::new();
    let key = "hosts/host-2";
    host.write_key(key, Some(r#"{"addr":"127.0.0.1:9","domain":"z"}"#), 3);
    let publishes =
        |out: &Effects| has_effect(out, |effect| matches!(effect, RelayEffect::Publish { .. }));
    let receive = |host: &mut TestHost, number| {
        host.event(RelayEvent::Gossiped(Box::new(Gossip {
            host: "host-2".into(),
            incarnation: 1,
            sequence: number,
            ..Gossip::default()
        })));
    };
    receive(&mut host, 1);
    host.write_key(key, None, 4);
    for number in 2..8 {
        let out = host.advance(500);
        assert!(publishes(&out), "nothing was sent after message {number}");
        receive(&mut host, number);
    }
    // The host is removed once it stops sending.
    host.advance(2500);
    assert!(!publishes(&host.advance(1000)));
    assert_eq!(host.core.relay.peers.host_count(), 1);
}

macro_rules! uptimes {
    ($($name:ident: $spans:expr => $length:expr;)*) => {
        $(#[test] fn $name() {
            let mut uptime = Uptime::default();
            let now = Time::from_millis(100_000);
            for (since, until) in $spans {
                uptime.reported(UptimeReport {
                    length: Duration::from_millis(until - since),
                    age: Duration::from_millis(100_000 - until),
                }, now);
            }
            assert_eq!(uptime.length(), Duration::from_millis($length));
        })*
    };
}

uptimes! {
    a_single_answer_gives_no_uptime: [(50_000, 50_000)] => 0;
    answers_without_a_gap_form_one_span: [(50_000, 50_000), (51_000, 51_000), (52_400, 52_400)] => 2400;
    an_outage_restarts_the_span: [(50_000, 55_000), (57_000, 57_000), (58_000, 58_000)] => 1000;
    an_older_span_does_not_replace_a_newer_one: [(57_000, 58_000), (50_000, 55_000)] => 1000;
    a_longer_overlapping_span_extends_uptime: [(57_000, 58_000), (40_000, 57_500)] => 18_000;
}
