//! Load reports between the hosts of one failure domain: how soon they arrive, and at what cost.
//!
//! The setting is a site with dozens of hosts per failure domain and more servers than hosts. If each
//! host sent its load to all others, each would handle hundreds of datagrams a second, and the reports
//! would be old on arrival.

use super::domain::{TestDomain, addr};
use crate::core::relay::event::{Gossip, GossipKind, LoadReport};

/// Guards against hosts that never receive each other's load: all of them choose the same seemingly
/// idle server.
#[test]
fn load_reports_reach_all_hosts_of_a_large_domain() {
    let mut domain = TestDomain::with_hosts(30);
    domain.pass(1000);
    let server = domain.request(17);
    let elapsed = domain.time_until_known(29, &server, 1);
    // Two reports up and two totals down, each at most 45 ms after the one before and 1 ms in transit.
    assert!(elapsed <= 184, "{elapsed} ms");
    domain.pass(184);
    domain.assert_known(&server, &[(17, 1)]);
}

/// Guards against a host that counts its own requests in totals as those of others, and then avoids
/// the servers that it sent to.
#[test]
fn own_load_is_subtracted_from_totals() {
    let mut domain = TestDomain::with_hosts(30);
    domain.pass(1000);
    let server = domain.request(5);
    for _ in 0..40 {
        domain.pass(7);
        assert_eq!(domain.known_work(5, &server).calls, 0);
    }
}

/// Guards against a number of datagrams per host that grows with the number of hosts.
#[test]
fn message_count_is_bounded_in_a_large_domain() {
    let mut domain = TestDomain::with_hosts(60);
    domain.pass(2000);
    let (sent, received) = (domain.sent.clone(), domain.received.clone());
    for round in 0..1000 {
        // Each host sends some five requests a second.
        for host in (0..60).filter(|host| (host * 7 + round) % 200 == 0) {
            domain.arrive(host);
        }
        domain.pass(1);
    }
    let since = |now: &[u32], before: &[u32]| -> Vec<u32> {
        let counts = now.iter().zip(before);
        counts.map(|(now, before)| now - before).collect()
    };
    for counts in [
        since(&domain.sent, &sent),
        since(&domain.received, &received),
    ] {
        // A fifth of the datagrams that sending to all hosts takes; for the busiest host, half.
        let mean = counts.iter().sum::<u32>() / 60;
        assert!(mean <= 132, "{counts:?}");
        assert!(counts.iter().all(|count| *count <= 330), "{counts:?}");
    }
}

/// The aggregator crashes. Until another host takes over, the others have no reports and send too many
/// requests to one server.
#[test]
fn another_aggregator_takes_over_after_a_crash() {
    let mut domain = TestDomain::with_hosts(30);
    domain.pass(1000);
    domain.hosts[0] = None;
    domain.pass(50);
    let server = domain.request(17);
    let elapsed = domain.time_until_known(29, &server, 1);
    assert!(elapsed <= 800, "{elapsed} ms");
    domain.pass(3000);
    domain.assert_known(&server, &[(17, 1)]);
}

/// Half of the hosts crash at the same time, among them all preferred aggregators, while their entries
/// stay in the store for seconds.
#[test]
fn an_aggregator_is_found_when_half_of_the_hosts_crashed() {
    let mut domain = TestDomain::with_hosts(40);
    domain.pass(1000);
    for host in 0..20 {
        domain.hosts[host] = None;
    }
    domain.pass(50);
    let server = domain.request(30);
    let elapsed = domain.time_until_known(39, &server, 1);
    assert!(elapsed <= 3000, "{elapsed} ms");
    domain.pass(3000);
    domain.assert_known(&server, &[(30, 1)]);
}

/// The aggregator is paused for two seconds and then continues with its old state.
#[test]
fn a_paused_aggregator_counts_no_load_twice() {
    let mut domain = TestDomain::with_hosts(30);
    domain.pass(1000);
    let paused = domain.hosts[0].take();
    domain.pass(100);
    let server = domain.request(17);
    domain.pass(1900);
    domain.assert_known(&server, &[(17, 1)]);
    domain.hosts[0] = paused;
    domain.pass(6000);
    domain.assert_known(&server, &[(17, 1)]);
}

/// One host and the aggregator cannot reach each other, in one direction or in both. They receive each
/// other's load through a third host.
#[test]
fn a_partition_from_the_aggregator_is_bypassed() {
    for cuts in [vec![(0, 17)], vec![(17, 0)], vec![(0, 17), (17, 0)]] {
        let mut domain = TestDomain::with_hosts(30);
        domain.pass(1000);
        domain.cuts = cuts.clone();
        domain.pass(3000);
        let one = domain.request(17);
        domain.pass(300);
        assert_eq!(domain.known_work(29, &one).calls, 1, "{cuts:?}");
        let other = domain.request(29);
        domain.pass(300);
        assert_eq!(domain.known_work(17, &other).calls, 1, "{cuts:?}");
    }
}

/// In a small failure domain, reports through an aggregator would only arrive later.
#[test]
fn hosts_of_a_small_domain_gossip_directly() {
    let mut domain = TestDomain::with_hosts(5);
    domain.pass(1000);
    let server = domain.request(3);
    let elapsed = domain.time_until_known(4, &server, 1);
    assert!(elapsed <= 20, "{elapsed} ms");
    domain.pass(20);
    domain.assert_known(&server, &[(3, 1)]);
}

/// The load of another failure domain reaches every host, whichever host receives the message.
#[test]
fn load_of_another_domain_reaches_all_hosts() {
    for receiver in [0, 21] {
        let mut domain = TestDomain::with_hosts(30);
        domain.pass(1000);
        for host in domain.hosts.iter_mut().flatten() {
            let entry = format!(r#"{{"addr":"{}","domain":"y"}}"#, addr(29));
            host.write_key("hosts/far-1", Some(&entry), 4);
        }
        let message = Gossip {
            host: "far-1".into(),
            incarnation: 1,
            sequence: 1,
            kind: GossipKind::Domain("y".into()),
            loads: vec![LoadReport {
                instance: crate::core::relay::instance::short_hash("p"),
                calls: 3,
                ..Default::default()
            }],
            ..Gossip::default()
        };
        domain.transit.push((domain.now, 29, receiver, message));
        domain.time_until_known(28, "p", 3);
        domain.pass(100);
        for host in 0..30 {
            assert_eq!(domain.known_work(host, "p").calls, 3, "host {host}");
        }
    }
}
