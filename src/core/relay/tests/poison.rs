//! Requests that crash the servers that run them, sent to several hosts.

use super::domain::TestDomain;

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
