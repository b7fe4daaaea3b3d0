//! Hosts that are partitioned from all servers, and the requests that they forward.

use super::network::{Cut, Got, HOP_MS, Incident, Network};
use super::*;
use crate::core::relay::event::{Gossip, NamedLimit, NamedPushback, Notices, Spent};
use crate::error::Kind;

/// Milliseconds after the loss of the links from which callers must be served.
const DETECTION_MS: u64 = 3000;
/// Milliseconds after the end of a partition from which requests are no longer forwarded.
const RECOVERY_MS: u64 = 1000;

/// A partition: hosts, failure domains, the hosts that are cut off, how, and milliseconds between two requests of a host.
struct Partition {
    hosts: usize,
    domains: usize,
    cut: Vec<usize>,
    how: Cut,
    interval: u64,
}

/// Lasts some seconds with a partition; the hosts cut off must serve like the others.
fn check(partition: Partition) {
    let Partition {
        hosts,
        domains,
        cut,
        how,
        interval,
    } = partition;
    let mut network = Network::new(hosts, domains);
    network.pass(1000, interval);
    network.cut(cut.iter().copied(), how);
    let begin = network.site.now;
    network.pass(6000, interval);
    let is_cut = |host| cut.contains(&host);
    let at_cut = network.served(is_cut, begin + DETECTION_MS);
    let at_others = network.served(|host| !is_cut(host), begin);
    assert!(at_cut > 0.95, "{at_cut} served at hosts cut off");
    assert!(at_others > 0.99, "{at_others} served at the others");
    network.assert_ran_once();
    // No host counts a crash, and none that has its links avoids a server.
    for host in 0..hosts {
        let core = &network.node(host).core;
        assert_eq!(core.relay.poison_requests.blocked_count(core.now), 0);
        let mut servers = core.relay.instances.arena.values();
        let avoided = servers.any(|server| server.failures > 0);
        assert!(is_cut(host) || !avoided, "host {host} avoids a server");
    }
    network.cut.clear();
    network.pass(RECOVERY_MS, interval);
    let (before, probes) = (network.forwards, network.probes);
    let end = network.site.now;
    network.pass(2000, interval);
    assert_eq!(network.forwards, before, "requests are still forwarded");
    assert_eq!(network.probes, probes, "links are still probed");
    assert!(network.served(|_| true, end) > 0.99);
    network.assert_ran_once();
}

/// Defines one test for each partition.
macro_rules! partitions {
    ($($name:ident: $hosts:expr, $domains:expr, $cut:expr, $how:ident, $interval:expr;)*) => {$(
        /// Guards against hosts cut off that refuse their callers, run a request twice, have others avoid sound servers or
        /// count crashes, or stay cut off.
        #[test]
        fn $name() {
            check(Partition {
                hosts: $hosts,
                domains: $domains,
                cut: $cut.into_iter().collect(),
                how: Cut::$how,
                interval: $interval,
            });
        }
    )*};
}

partitions! {
    one_host_of_three: 3, 1, [0], Unreachable, 20;
    one_host_of_three_whose_requests_hang: 3, 1, [0], Silent, 20;
    one_host_of_three_whose_connections_are_reset: 3, 1, [0], Reset, 20;
    one_host_of_three_whose_new_connections_are_refused: 3, 1, [0], NewRefused, 5;
    one_host_of_three_whose_new_connections_are_refused_with_few_requests: 3, 1, [0], NewRefused, 200;
    five_hosts_of_eight: 8, 1, 0..5, Unreachable, 40;
    five_hosts_of_eight_whose_requests_hang: 8, 1, 0..5, Silent, 40;
    five_hosts_of_eight_whose_connections_are_reset: 8, 1, 0..5, Reset, 40;
    five_hosts_of_eight_whose_new_connections_are_refused: 8, 1, 0..5, NewRefused, 5;
    five_hosts_of_eight_with_few_requests: 8, 1, 0..5, Unreachable, 500;
    five_hosts_of_eight_in_three_domains: 8, 3, 0..5, Unreachable, 40;
    all_hosts_of_a_domain: 9, 3, [0, 3, 6], Reset, 40;
    all_hosts_but_one: 9, 3, 1..9, Unreachable, 80;
    most_hosts_of_a_domain_with_aggregators: 30, 1, 0..18, Unreachable, 200;
    most_hosts_of_large_domains: 45, 3, 0..27, Reset, 300;
}

/// All hosts are partitioned. Guards against requests that wait for servers until their deadline, and against a burst of probes.
#[test]
fn all_hosts_refuse_at_once() {
    let mut network = Network::new(8, 1);
    network.pass(1000, 40);
    network.cut(0..8, Cut::Unreachable);
    network.pass(DETECTION_MS, 40);
    let (begin, probes) = (network.site.now, network.probes);
    network.pass(2000, 40);
    // A request reaches another host and is refused there, as long as its gossip has not arrived.
    let late = network
        .results
        .iter()
        .filter(|(_, at, end, _)| *at >= begin && end - at > 10 * HOP_MS);
    assert_eq!(late.count(), 0, "requests waited");
    let refused = network.results.iter().filter(|(_, at, ..)| *at >= begin);
    for (.., got) in refused {
        assert_eq!(*got, Got::Refusal(Kind::CutOff, Ran::No));
    }
    let probes = network.probes - probes;
    assert!(probes <= 8 * 11, "{probes} probes of 8 hosts in 2 s");
    network.cut.clear();
    network.pass(RECOVERY_MS, 40);
    let end = network.site.now;
    network.pass(1000, 40);
    assert!(network.served(|_| true, end) > 0.99);
}

/// Other hosts are partitioned before the first partition is over. Guards against hosts that keep forwarding to one that is
/// cut off itself.
#[test]
fn partitions_overlap() {
    let mut network = Network::new(8, 1);
    network.pass(1000, 40);
    network.cut(0..4, Cut::Unreachable);
    network.pass(3500, 40);
    network.cut(4..6, Cut::Reset);
    let second = network.site.now;
    network.pass(2000, 40);
    for host in 0..4 {
        network.cut.remove(&host);
    }
    network.pass(3000, 40);
    let served = network.served(|_| true, second + DETECTION_MS);
    assert!(served > 0.95, "{served} served");
    network.assert_ran_once();
}

/// The host that requests are forwarded to ends. Guards against requests that fail although a third host could serve them.
#[test]
fn a_host_that_ends_gets_no_more_requests() {
    let mut network = Network::new(4, 1);
    network.pass(1000, 40);
    network.cut(0..2, Cut::Unreachable);
    network.pass(DETECTION_MS, 40);
    let running: Vec<_> = network
        .forwarded
        .keys()
        .filter(|(host, _)| *host == 2)
        .copied()
        .collect();
    for key in running {
        let (from, attempt) = network.forwarded.remove(&key).expect("a forwarded request");
        network.targets.remove(&(from, attempt));
        let (ran, how) = (Ran::Unknown, AttemptFailure::Cut);
        network.after(HOP_MS, from, Incident::Failed(attempt, ran, how));
    }
    network.incidents.retain(|(_, host, _)| *host != 2);
    network.site.hosts[2] = None;
    let begin = network.site.now;
    for _ in 0..50 {
        network.send(0);
        network.send(1);
        network.pass(40, 1_000_000);
    }
    let served = network.served(|host| host < 2, begin + 1);
    assert!(served > 0.99, "{served} served");
    network.assert_ran_once();
}

/// A single server fails, and others answer. Guards against a host that takes it for the loss of its links.
#[test]
fn one_server_that_fails_is_no_partition() {
    let mut site = TestHost::new();
    site.register(["a", "b", "c", "d"].map(plain_entry).to_vec());
    for number in 0..40 {
        site.now += 100;
        site.arrive(Arrival {
            fingerprint: Fingerprint([number; 16]),
            ..plain_request("/once/x")
        });
        let sent = site.sent().expect("a request is sent");
        if &*sent.instance == "a" {
            site.fail_attempt(sent.attempt, Ran::No, AttemptFailure::Unreachable);
        }
        let answered = site.sent().unwrap_or(sent);
        site.event(RelayEvent::Answered {
            attempt: answered.attempt,
            status: 200,
        });
        assert!(!site.core.relay.links.are_lost());
    }
}

/// A host that forwards is stopped or loses its links for good: a request that was forwarded is never forwarded again.
/// Guards against requests that circle between hosts.
#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let mut network = Network::new(3, 1);
    network.pass(1000, 20);
    network.cut(0..3, Cut::Unreachable);
    network.pass(2000, 20);
    let before = network.forwards;
    network.pass(1000, 20);
    // Gossip names all hosts as cut off.
    assert_eq!(network.forwards, before);
}

/// A forwarded request fails at the only host with links, which answers others. Guards against avoiding that host and refusing
/// all requests.
#[test]
fn a_failed_request_does_not_rule_out_the_only_host() {
    let mut network = Network::new(2, 1);
    network.pass(1000, 20);
    network.cut([0], Cut::Unreachable);
    network.pass(DETECTION_MS, 20);
    for _ in 0..10 {
        let (key, (from, attempt)) = loop {
            network.pass(1, 20);
            if let Some((key, origin)) = network.forwarded.iter().next() {
                break (*key, *origin);
            }
        };
        network.forwarded.remove(&key);
        network.targets.remove(&(from, attempt));
        network.node(key.0).event(RelayEvent::CallerLeft(key.1));
        network.site.send_effects(key.0);
        let (ran, how) = (Ran::Unknown, AttemptFailure::Cut);
        network.happen(from, Incident::Failed(attempt, ran, how));
        network.act();
    }
    let begin = network.site.now;
    network.pass(500, 20);
    let served = network.served(|host| host == 0, begin);
    assert!(served > 0.95, "{served} served");
}

/// Two hosts are cut off, and one gets its links back. Guards against a host that avoids the other for long.
#[test]
fn a_host_that_is_back_serves_for_another() {
    let mut network = Network::new(2, 1);
    network.pass(1000, 20);
    network.cut(0..2, Cut::Unreachable);
    network.pass(DETECTION_MS, 20);
    network.cut.remove(&1);
    network.pass(RECOVERY_MS, 20);
    let begin = network.site.now;
    network.pass(1000, 20);
    let served = network.served(|_| true, begin);
    assert!(served > 0.95, "{served} served");
}

/// A host loses its links while it serves a stream that another host forwarded to it. Guards against a host that gives the
/// stream up for a host to which it must not forward it, and cuts the answer.
#[test]
fn a_forwarded_stream_is_not_given_up_when_the_links_are_lost() {
    let mut network = Network::new(3, 1);
    let request = Arrival {
        forwarded: Some(Spent::default()),
        ..plain_request("/feed/x")
    };
    network.node(0).arrive(request);
    let attempt = network.node(0).sent().expect("a request is sent").attempt;
    network
        .node(0)
        .event(RelayEvent::StreamEvent { attempt, number: 1 });
    network.site.pass(200);
    network.site.actions.clear();
    for server in ["p", "q", "r"] {
        let instance = server.into();
        network.node(0).event(RelayEvent::LinkProbed {
            instance,
            reached: false,
        });
        network.site.send_effects(0);
    }
    assert!(network.node(0).core.relay.links.are_lost());
    let mut actions = network.site.actions.iter();
    let cut = actions.find(|(_, effect)| matches!(effect, RelayEffect::Cancel(_)));
    assert!(cut.is_none(), "{cut:?}");
}

/// A host that serves for others is started anew at another address while the store does not answer it. Guards against hosts
/// that forward to the address that stands in the store, where nothing listens.
#[test]
fn a_host_at_a_new_address_is_found_by_its_gossip() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    let old = r#"{"addr":"10.9.0.2:1","domain":"z"}"#;
    site.write_key("hosts/host-2", Some(old), 4);
    for server in ["a", "b", "c"] {
        let instance = server.into();
        site.event(RelayEvent::LinkProbed {
            instance,
            reached: false,
        });
    }
    let moved: SocketAddr = ([10, 9, 0, 2], 7).into();
    let gossip = |sequence| Gossip {
        host: "host-2".into(),
        incarnation: 2,
        sequence,
        addr: Some(moved),
        ..Gossip::default()
    };
    site.event(RelayEvent::Gossiped(Box::new(gossip(1))));
    // A read of the whole store brings the old entry again.
    site.write_key("hosts/host-2", Some(old), 4);
    site.event(RelayEvent::Gossiped(Box::new(gossip(2))));
    site.arrive(plain_request("/once/x"));
    let to = site.out.iter().find_map(|effect| match effect {
        Effect::Relay(RelayEffect::Forward(out)) => Some(out.addr),
        _ => None,
    });
    assert_eq!(to, Some(moved));
}

/// Returns whether the host has forwarded a request.
fn has_forwarded(site: &TestHost) -> bool {
    site.has_effect(|effect| matches!(effect, RelayEffect::Forward(_)))
}

/// Returns a host beside others that cannot connect to servers `a` and `b`, which answer on open connections; a third server
/// answered its first request as given.
fn one_sided(site: &mut TestHost, third: impl Fn(&mut TestHost, AttemptKey)) {
    site.register(["a", "b", "c"].map(plain_entry).to_vec());
    for other in 2..30 {
        let value = format!(r#"{{"addr":"10.9.0.2:{other}","domain":"z"}}"#);
        site.write_key(&format!("hosts/host-{other}"), Some(&value), 4);
    }
    let mut open = BTreeMap::new();
    while open.len() < 3 {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("a request is sent");
        open.insert(sent.instance, sent.attempt);
    }
    third(site, open["c"]);
    let (instance, reached) = ("a".into(), true);
    site.event(RelayEvent::LinkProbed { instance, reached });
    site.now += 10;
    for _ in 0..30 {
        site.arrive(plain_request("/once/x"));
        if let Some(sent) = site.sent() {
            site.fail_attempt(sent.attempt, Ran::No, AttemptFailure::Unreachable);
        }
    }
    for id in ["a", "b"] {
        let (attempt, status) = (open[id], 200);
        site.event(RelayEvent::Answered { attempt, status });
    }
}

macro_rules! servers_out_of_use {
    ($($name:ident: $third:expr;)*) => {$(
        /// Guards against a host whose new connections are refused and that forwards nothing because of a server which takes
        /// no requests for another reason.
        #[test]
        fn $name() {
            let mut site = TestHost::new();
            one_sided(&mut site, $third);
            site.arrive(plain_request("/once/x"));
            assert!(has_forwarded(&site), "{:?}", site.refused());
        }
    )*};
}

servers_out_of_use! {
    a_server_in_a_pushback_hinders_no_forwarding: |site, attempt| {
        let pushback = NamedPushback::For(Duration::from_secs(20));
        let notices = Notices { pushback, ..Notices::default() };
        site.event(RelayEvent::Noticed { attempt, notices });
        site.fail_attempt(attempt, Ran::No, AttemptFailure::Refused);
    };
    a_limited_server_hinders_no_forwarding: |site, attempt| {
        let limit = NamedLimit::Rate(0.5);
        let notices = Notices { limit, ..Notices::default() };
        site.event(RelayEvent::Noticed { attempt, notices });
    };
    a_server_at_another_address_hinders_no_forwarding: |site, attempt| {
        site.fail_attempt(attempt, Ran::No, AttemptFailure::Rejected);
    };
}

/// Guards against hosts that forward most requests to each other while none of them can connect to a server.
#[test]
fn hosts_that_all_connect_to_no_server_forward_little() {
    let (hosts, interval) = (30, 5);
    let mut network = Network::new(hosts, 1);
    network.pass(1000, interval);
    network.cut(0..hosts, Cut::NewRefused);
    network.pass(DETECTION_MS, interval);
    let (begin, before) = (network.site.now, network.forwards);
    network.pass(3000, interval);
    let requests = network.results.iter().filter(|(_, at, ..)| *at >= begin);
    let (requests, forwards) = (requests.count(), network.forwards - before);
    assert!(forwards <= requests / 10, "{forwards} of {requests}");
    network.assert_ran_once();
}
