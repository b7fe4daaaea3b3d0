//! Requests that crash the servers that run them, sent to several hosts.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{CrashReport, Gossip};

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
