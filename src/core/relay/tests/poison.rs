//! Requests that crash the servers that run them, sent to several hosts.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{CrashReport, Gossip};
use crate::error::Kind;

/// Milliseconds until a caller sends its request to another host.
const RESEND_MS: u64 = 400;
/// Crashes after which every host refuses a request.
const MAX_CRASHES: usize = 2;

/// How a crashed server returns.
type Return = fn(&mut TestDomain, &str);

/// Has a caller send the request that crashes servers to each host in turn, twice; returns the number of crashes.
fn crash_servers(site: &mut TestDomain, server_returns: Return) -> usize {
    let hosts = site.hosts.len();
    let mut crashes = 0;
    for host in (0..hosts).chain(0..hosts) {
        if let Some(server) = site.send_poison(host) {
            crashes += 1;
            server_returns(site, &server);
        }
        site.pass(RESEND_MS);
    }
    crashes
}

/// Defines one test for each arrangement of hosts and way in which crashed servers return.
macro_rules! at_all_hosts {
    ($($name:ident: $site:expr, $server_returns:expr;)*) => {$(
        /// Guards against hosts that count only the crashes that they saw themselves, or none of a server that returns
        /// under its id: the request crashes servers again and again.
        #[test]
        fn $name() {
            let mut site = $site;
            site.pass(2000);
            let crashes = crash_servers(&mut site, $server_returns);
            assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
        }
    )*};
}

/// Returns a failure domain in which every third datagram is lost.
fn lossy_domain() -> TestDomain {
    let mut site = TestDomain::with_hosts(8);
    site.loss_interval = 3;
    site
}

/// Returns hosts of so many failure domains with a single server.
fn one_server(hosts: usize, domains: usize) -> TestDomain {
    let mut site = TestDomain::with_domains(hosts, domains);
    for server in ["q", "r"] {
        site.remove(server);
    }
    site
}

const REPLACED: Return = TestDomain::replace_server;
const RESTARTED: Return = TestDomain::restart_server;

at_all_hosts! {
    crashes_count_at_all_hosts_of_a_small_domain: TestDomain::with_hosts(8), REPLACED;
    crashes_count_at_all_hosts_of_a_domain_with_aggregators: TestDomain::with_hosts(30), REPLACED;
    crashes_count_at_all_hosts_of_three_domains: TestDomain::with_domains(9, 3), REPLACED;
    crashes_count_at_all_hosts_of_large_domains: TestDomain::with_domains(45, 3), REPLACED;
    crashes_count_at_all_hosts_although_messages_are_lost: lossy_domain(), REPLACED;
    crashes_of_a_server_that_keeps_its_id_count: one_server(8, 1), RESTARTED;
    crashes_of_a_server_that_keeps_its_id_count_in_large_domains: one_server(45, 3), RESTARTED;
}

/// Has a host receive a report of another host that a server crashed under [`plain_request`].
fn receive_crash(site: &mut TestHost, sequence: u64, server: u32) {
    let mut first = [0; 8];
    first.copy_from_slice(&plain_request("/once/x").fingerprint.0[..8]);
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-2".into(),
        incarnation: 1,
        sequence,
        crashes: vec![CrashReport {
            fingerprint: u64::from_le_bytes(first),
            instance: server,
            started_ms: 1,
            number: 0,
        }],
        ..Gossip::default()
    })));
}

/// A request is answered while reports of earlier crashes are still repeated. Guards against a host that counts the
/// repeated reports anew and refuses a request that crashes no server.
#[test]
fn repeated_reports_of_crashes_before_an_answer_do_not_count() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    site.write_key(
        "hosts/host-2",
        Some(r#"{"addr":"10.9.0.2:1","domain":"z"}"#),
        4,
    );
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("a request is sent");
    receive_crash(&mut site, 1, 7);
    receive_crash(&mut site, 2, 8);
    site.event(RelayEvent::Answered {
        attempt: sent.attempt,
        status: 200,
    });
    receive_crash(&mut site, 3, 7);
    receive_crash(&mut site, 4, 8);
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_some(), "{:?}", site.refused());
}

/// Crashes two servers at hosts that stay in touch, and waits until all hosts refuse the request.
fn block(site: &mut TestDomain) {
    site.pass(2000);
    let crashes = crash_servers(site, REPLACED);
    assert_eq!(crashes, MAX_CRASHES);
}

fn assert_refused_everywhere(site: &mut TestDomain) {
    for host in 0..site.hosts.len() {
        let reached = site.send_poison(host);
        assert!(reached.is_none(), "host {host} sent it to {reached:?}");
    }
}

/// All hosts are killed at once after they refused the request. Guards against a refusal that only hosts remember: the
/// request crashes more servers after each restart.
#[test]
fn a_poison_request_is_refused_after_a_restart_of_all_hosts() {
    for (hosts, domains) in [(8, 1), (9, 3), (30, 1)] {
        let mut site = TestDomain::with_domains(hosts, domains);
        block(&mut site);
        for _ in 0..2 {
            for host in 0..hosts {
                site.restart(host);
            }
            site.pass(3000);
            assert_refused_everywhere(&mut site);
        }
    }
}

/// The store is restored from a copy without the poison request, and a host is restarted. Guards against a host that waits
/// until another one has written the request again.
#[test]
fn a_poison_request_is_reported_to_new_processes_of_hosts() {
    for (hosts, domains) in [(3, 1), (8, 1), (9, 3), (30, 1)] {
        let mut site = TestDomain::with_domains(hosts, domains);
        site.pass(2000);
        let revision = site.store.revision;
        block(&mut site);
        site.pass(3000);
        site.store.listed_at = site.store.revision;
        site.restore(revision);
        let last = hosts - 1;
        site.restart(last);
        site.pass(350);
        let reached = site.send_poison(last);
        assert!(reached.is_none(), "{hosts} hosts: sent it to {reached:?}");
    }
}

/// Hosts are restarted one after the other. Guards against a host that sends the request to servers until it has seen
/// crashes itself.
#[test]
fn a_poison_request_is_refused_by_hosts_that_are_replaced() {
    let mut site = TestDomain::with_hosts(8);
    block(&mut site);
    for host in 0..8 {
        site.restart(host);
        site.pass(500);
        let reached = site.send_poison(host);
        assert!(reached.is_none(), "host {host} sent it to {reached:?}");
    }
}

/// The store is out of reach while servers crash, and is then restored from a copy that lacks the poison request. Guards
/// against a write that is not repeated.
#[test]
fn a_poison_request_is_written_again_after_outages_of_the_store() {
    let mut site = TestDomain::with_hosts(8);
    site.pass(2000);
    let before = site.store.revision;
    site.store.unresponsive = true;
    for host in 0..2 {
        let reached = site.send_poison(host);
        assert!(reached.is_some());
        site.pass(RESEND_MS);
    }
    site.store.unresponsive = false;
    site.pass(8000);
    assert_eq!(site.store.poison_keys().len(), 1);
    site.restore(before);
    site.pass(8000);
    assert_eq!(site.store.poison_keys().len(), 1);
    for host in 0..8 {
        site.restart(host);
    }
    site.pass(3000);
    assert_refused_everywhere(&mut site);
}

/// Guards against hosts that all write the same poison request, and against entries that stay in the store for good.
#[test]
fn a_poison_request_is_written_and_removed_by_few_hosts() {
    let mut site = TestDomain::with_hosts(8);
    block(&mut site);
    site.pass(20_000);
    let writes = site.store.poison_writes.len();
    assert!((1..=2).contains(&writes), "{writes} writes");
    // Refusals last ten minutes, and hosts remove the entry within another one.
    site.pass(660_000);
    assert!(site.store.poison_keys().is_empty());
    let writes = site.store.poison_writes.len();
    assert!(writes <= 4, "{writes} writes");
}

/// Sends [`plain_request`] and fails it by a broken connection; returns the server.
fn lose_answer(site: &mut TestHost) -> Box<str> {
    site.now += 10;
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("a request is sent");
    site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut);
    sent.instance
}

/// Has each of the servers answer another request.
fn answer_others(site: &mut TestHost, servers: &[Box<str>]) {
    let mut open = Vec::new();
    for number in 0..20 {
        site.now += 10;
        site.arrive(Arrival {
            fingerprint: Fingerprint([100 + number; 16]),
            ..plain_request("/once/y")
        });
        open.push(site.sent().expect("a request is sent"));
    }
    for sent in &open {
        site.event(RelayEvent::Answered {
            attempt: sent.attempt,
            status: 200,
        });
    }
    for server in servers {
        let got = open.iter().any(|sent| sent.instance == *server);
        assert!(got, "{server} got no request");
    }
}

/// Two answers to a request are lost, and both servers go on serving. Guards against a host that takes each broken
/// connection for a crash and refuses a request that crashes no server.
#[test]
fn a_request_whose_answers_are_lost_is_not_refused() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    let servers = [lose_answer(&mut site), lose_answer(&mut site)];
    assert_ne!(servers[0], servers[1]);
    answer_others(&mut site, &servers);
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_some(), "{:?}", site.refused());
}

/// A server restarts under its id and serves. Guards against a host that takes this for a proof that the process before
/// did not crash.
#[test]
fn answers_of_a_restarted_server_clear_no_crash_of_the_process_before() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    let servers = [lose_answer(&mut site), lose_answer(&mut site)];
    assert_ne!(servers[0], servers[1]);
    let restarted = ["a", "b"].map(|id| BackendEntry {
        started_ms: 2,
        revision: 9,
        ..plain_entry(id)
    });
    site.register(restarted.to_vec());
    answer_others(&mut site, &servers);
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_none());
}

/// A server loses an answer, answers its probe, and then crashes under the same request. Guards against a host that counts a
/// process once, and goes on sending the request to servers.
#[test]
fn a_server_that_was_alive_and_then_crashes_counts() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    let alive = lose_answer(&mut site);
    site.advance(30);
    let (instance, is_alive) = (alive.clone(), true);
    site.event(RelayEvent::ServerProbed { instance, is_alive });
    let mut crashed = std::collections::BTreeSet::new();
    while !crashed.contains(&alive) {
        crashed.insert(lose_answer(&mut site));
    }
    if crashed.len() < 2 {
        lose_answer(&mut site);
    }
    site.arrive(plain_request("/once/x"));
    let status = site.refused().map(|(status, ..)| status);
    let expected = Kind::EngineKiller.answer().status;
    assert_eq!(status, Some(expected), "{crashed:?} crashed");
}

/// A server loses an answer at one host and answers its probe, then another host reports that the same request crashed it.
/// Guards against a host that takes that report for a repeated one of the lost answer.
#[test]
fn a_crash_that_another_host_saw_counts_after_a_lost_answer() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b"), plain_entry("c")]);
    site.write_key(
        "hosts/host-2",
        Some(r#"{"addr":"10.9.0.2:1","domain":"z"}"#),
        4,
    );
    let alive = lose_answer(&mut site);
    site.advance(30);
    let (instance, is_alive) = (alive.clone(), true);
    site.event(RelayEvent::ServerProbed { instance, is_alive });
    receive_crash(
        &mut site,
        1,
        crate::core::relay::instance::short_hash(&alive),
    );
    receive_crash(&mut site, 2, 8);
    site.arrive(plain_request("/once/x"));
    let status = site.refused().map(|(status, ..)| status);
    assert_eq!(status, Some(Kind::EngineKiller.answer().status));
}
