//! Requests that crash the servers that run them, sent to several hosts.

use super::domain::TestDomain;

/// Milliseconds until a caller sends its request to another host.
const RESEND_MS: u64 = 400;
/// Crashes after which every host refuses a request.
const MAX_CRASHES: usize = 2;

/// Has a caller send the request that crashes servers to each host in turn, twice; returns the number of crashes.
fn crash_servers(site: &mut TestDomain) -> usize {
    let hosts = site.hosts.len();
    let mut crashes = 0;
    for host in (0..hosts).chain(0..hosts) {
        if let Some(server) = site.send_poison(host) {
            crashes += 1;
            site.replace_server(&server);
        }
        site.pass(RESEND_MS);
    }
    crashes
}

/// Defines one test for each arrangement of hosts.
macro_rules! at_all_hosts {
    ($($name:ident: $site:expr;)*) => {$(
        /// Guards against hosts that count only the crashes that they saw themselves: the request crashes two servers
        /// at each of them.
        #[test]
        fn $name() {
            let mut site = $site;
            site.pass(2000);
            let crashes = crash_servers(&mut site);
            assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
        }
    )*};
}

at_all_hosts! {
    crashes_count_at_all_hosts_of_a_small_domain: TestDomain::with_hosts(8);
    crashes_count_at_all_hosts_of_a_domain_with_aggregators: TestDomain::with_hosts(30);
    crashes_count_at_all_hosts_of_three_domains: TestDomain::with_domains(9, 3);
    crashes_count_at_all_hosts_of_large_domains: TestDomain::with_domains(45, 3);
    crashes_count_at_all_hosts_although_messages_are_lost: {
        let mut site = TestDomain::with_hosts(8);
        site.loss_interval = 3;
        site
    };
}
