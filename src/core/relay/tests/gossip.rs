//! What hosts of one failure domain know of each other's work, and what that costs them.
//!
//! The pattern is that of sites with dozens of hosts a failure domain and more servers than hosts
//! there: told by each host to all others, work costs each of them hundreds of datagrams a second, and
//! is old when it is heard.

use super::domain::{Domain, addr};
use crate::core::relay::event::{Gossip, GossipKind, LoadReport};

/// Every host sends to the server that looks idle, as nobody has told it of the others' requests.
#[test]
fn work_is_known_to_all_hosts_of_a_large_domain() {
    let mut domain = Domain::of(30);
    domain.pass(1000);
    let server = domain.request(17);
    let took = domain.until(29, &server, 1);
    // Two messages up and two down, each at most 45 ms after the one before, and on its way for 1 ms.
    assert!(took <= 184, "{took} ms");
    domain.pass(184);
    domain.assert_known(&server, &[(17, 1)]);
}

/// A host takes its own requests in totals for others' and avoids the servers that it sent to.
#[test]
fn own_work_is_taken_out_of_totals() {
    let mut domain = Domain::of(30);
    domain.pass(1000);
    let server = domain.request(5);
    for _ in 0..40 {
        domain.pass(7);
        assert_eq!(domain.known(5, &server).calls, 0);
    }
}

/// Words told by each host to all others are as many as there are hosts, for each of them.
#[test]
fn words_of_a_large_domain_are_few() {
    let mut domain = Domain::of(60);
    domain.pass(2000);
    let (sent, heard) = (domain.sent.clone(), domain.heard.clone());
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
    for counts in [since(&domain.sent, &sent), since(&domain.heard, &heard)] {
        // A fifth of what it was where each told all, and for the busiest half of it.
        let mean = counts.iter().sum::<u32>() / 60;
        assert!(mean <= 132, "{counts:?}");
        assert!(counts.iter().all(|count| *count <= 330), "{counts:?}");
    }
}

/// The aggregator is killed. The others pile requests on one server until another sums up for them.
#[test]
fn another_host_sums_up_after_the_first_was_killed() {
    let mut domain = Domain::of(30);
    domain.pass(1000);
    domain.hosts[0] = None;
    domain.pass(50);
    let server = domain.request(17);
    let took = domain.until(29, &server, 1);
    assert!(took <= 800, "{took} ms");
    domain.pass(3000);
    domain.assert_known(&server, &[(17, 1)]);
}

/// Half of the hosts lose power at once, those first by name among them, and their entries stand for
/// seconds more.
#[test]
fn hosts_find_one_that_sums_up_behind_many_dead_ones() {
    let mut domain = Domain::of(40);
    domain.pass(1000);
    for host in 0..20 {
        domain.hosts[host] = None;
    }
    domain.pass(50);
    let server = domain.request(30);
    let took = domain.until(39, &server, 1);
    assert!(took <= 3000, "{took} ms");
    domain.pass(3000);
    domain.assert_known(&server, &[(30, 1)]);
}

/// The aggregator stands still for two seconds and goes on as if it had not.
#[test]
fn a_frozen_aggregator_counts_no_work_twice() {
    let mut domain = Domain::of(30);
    domain.pass(1000);
    let frozen = domain.hosts[0].take();
    domain.pass(100);
    let server = domain.request(17);
    domain.pass(1900);
    domain.assert_known(&server, &[(17, 1)]);
    domain.hosts[0] = frozen;
    domain.pass(6000);
    domain.assert_known(&server, &[(17, 1)]);
}

/// One host and the aggregator do not reach each other, in one direction or in both. They hear of
/// each other's work through a third.
#[test]
fn a_host_that_is_cut_from_the_aggregator_hears_through_another() {
    for cuts in [vec![(0, 17)], vec![(17, 0)], vec![(0, 17), (17, 0)]] {
        let mut domain = Domain::of(30);
        domain.pass(1000);
        domain.cuts = cuts.clone();
        domain.pass(3000);
        let one = domain.request(17);
        domain.pass(300);
        assert_eq!(domain.known(29, &one).calls, 1, "{cuts:?}");
        let other = domain.request(29);
        domain.pass(300);
        assert_eq!(domain.known(17, &other).calls, 1, "{cuts:?}");
    }
}

/// In a small failure domain a message by way of another host would only be later.
#[test]
fn hosts_of_a_small_domain_tell_each_other() {
    let mut domain = Domain::of(5);
    domain.pass(1000);
    let server = domain.request(3);
    let took = domain.until(4, &server, 1);
    assert!(took <= 20, "{took} ms");
    domain.pass(20);
    domain.assert_known(&server, &[(3, 1)]);
}

/// Work of another failure domain reaches every host, whichever host it was told to.
#[test]
fn work_of_another_domain_reaches_all_hosts() {
    for told in [0, 21] {
        let mut domain = Domain::of(30);
        domain.pass(1000);
        for host in domain.hosts.iter_mut().flatten() {
            let entry = format!(r#"{{"addr":"{}","domain":"y"}}"#, addr(29));
            host.key("hosts/far-1", Some(&entry), 4);
        }
        let message = Gossip {
            host: "far-1".into(),
            incarnation: 1,
            number: 1,
            kind: GossipKind::Domain("y".into()),
            loads: vec![LoadReport {
                instance: crate::core::relay::instance::short_hash("p"),
                calls: 3,
                ..Default::default()
            }],
            ..Gossip::default()
        };
        domain.transit.push((domain.now, 29, told, message));
        domain.until(28, "p", 3);
        domain.pass(100);
        for host in 0..30 {
            assert_eq!(domain.known(host, "p").calls, 3, "host {host}");
        }
    }
}
