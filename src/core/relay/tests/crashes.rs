//! Services whose servers all end under one request, while callers of other requests go on.

use super::network::{Got, Network};

/// Milliseconds until a caller sends its request to another host.
const RESEND_MS: u64 = 400;
/// Times that the request is sent.
const SEND_COUNT: usize = 40;
/// Maximum number of servers that crash under one request: every host refuses it after two.
const MAX_CRASHES: usize = 2;
/// Milliseconds after the return of the last server from which harmless callers must be served.
const RETURN_MS: u64 = 3000 + 1000;

/// Milliseconds after the third crash from which sends count as late.
const LATE_MS: u64 = 3000;
/// Late sends that the users allow.
const MAX_LATE: usize = 3;

/// Hosts, servers, and callers of requests that crash them.
struct Crashes {
    hosts: usize,
    domains: usize,
    servers: usize,
    /// Callers that send the request at the same moment, each to a host of its own.
    copies: usize,
    /// Milliseconds between two harmless requests of a host.
    interval: u64,
    path: &'static str,
}

/// Sends the request to one host after another, while other callers go on.
fn play(crashes: &Crashes) -> Network {
    let mut network = Network::new(crashes.hosts, crashes.domains);
    network.poison_path = crashes.path;
    for server in ["r", "q"].into_iter().take(3 - crashes.servers) {
        network.site.remove(server);
    }
    network.pass(1000, crashes.interval);
    for number in 0..SEND_COUNT {
        for copy in 0..crashes.copies {
            network.send_poison((number + copy) % crashes.hosts);
        }
        network.pass(RESEND_MS, crashes.interval);
    }
    network
}

/// Asserts that all hosts refuse the request, and no other one.
fn assert_refused(network: &mut Network, crashes: &Crashes) {
    for host in 0..crashes.hosts {
        let core = &network.node(host).core;
        let blocked = core.relay.poison_requests.blocked_count(core.now);
        assert_eq!(blocked, 1, "host {host} refuses {blocked} requests");
    }
    let last = network.crashes.last().expect("a server crashed");
    let since = last + RETURN_MS;
    let later = network.results.iter().filter(|(_, at, ..)| *at >= since);
    let refused = later.filter(|(.., got)| *got != Got::Answer).count() as u64;
    let sends = network.site.now.saturating_sub(since) / RESEND_MS + 1;
    let sent = sends * crashes.copies as u64;
    assert!(refused <= sent, "{refused} refused, {sent} of them rightly");
}

/// Defines one test for each number of hosts, failure domains and servers, each interval between harmless requests and
/// each kind of request.
macro_rules! all_servers_crash {
    ($($name:ident: $hosts:expr, $domains:expr, $servers:expr, $interval:expr, $path:expr;)*) => {$(
        /// Guards against hosts that take the end of all servers of a service for lost links, and keep the crashes from
        /// the others.
        #[test]
        fn $name() {
            let crashes = Crashes {
                hosts: $hosts,
                domains: $domains,
                servers: $servers,
                copies: 1,
                interval: $interval,
                path: $path,
            };
            let mut network = play(&crashes);
            let count = network.crashes.len();
            assert!(count <= MAX_CRASHES, "{:?}", network.crashes);
            assert_refused(&mut network, &crashes);
        }
    )*};
}

all_servers_crash! {
    the_only_server_crashes_at_one_host: 1, 1, 1, 150, "/once/x";
    both_servers_crash_at_one_host: 1, 1, 2, 150, "/again/x";
    all_three_servers_crash_at_one_host: 1, 1, 3, 150, "/again/x";
    the_only_server_crashes_at_hosts_of_three_domains: 9, 3, 1, 150, "/again/x";
    both_servers_crash_at_hosts_of_one_domain: 9, 1, 2, 150, "/again/x";
    both_servers_crash_at_hosts_of_three_domains: 9, 3, 2, 150, "/again/x";
    both_servers_crash_at_busy_hosts_of_three_domains: 9, 3, 2, 40, "/again/x";
    both_servers_crash_by_calls_that_run_once: 9, 3, 2, 150, "/once/x";
    three_servers_crash_at_hosts_of_one_domain: 9, 1, 3, 150, "/again/x";
    three_servers_crash_at_hosts_of_three_domains: 9, 3, 3, 150, "/again/x";
    three_servers_crash_by_calls_that_run_once: 9, 3, 3, 150, "/once/x";
    both_servers_crash_at_hosts_of_large_domains: 45, 3, 2, 300, "/again/x";
    three_servers_crash_at_hosts_of_large_domains: 45, 3, 3, 300, "/again/x";
}

/// Defines one test for each number of hosts, failure domains and servers, and each kind of request.
macro_rules! copies_crash_servers {
    ($($name:ident: $hosts:expr, $domains:expr, $servers:expr, $path:expr;)*) => {$(
        /// Guards against hosts that each lose what they saw of a generation of servers that ended under copies of one
        /// request. The bound is the users': three sends later than three seconds after the third crash.
        #[test]
        fn $name() {
            let crashes = Crashes {
                hosts: $hosts,
                domains: $domains,
                servers: $servers,
                copies: $servers,
                interval: 150,
                path: $path,
            };
            let mut network = play(&crashes);
            let late = network.crashes.get(2).map_or(0, |third| {
                let sends = network.crashes.iter();
                sends.filter(|at| **at > third + LATE_MS).count()
            });
            assert!(late <= MAX_LATE, "{:?}", network.crashes);
            assert_refused(&mut network, &crashes);
        }
    )*};
}

copies_crash_servers! {
    copies_crash_both_servers: 9, 3, 2, "/once/x";
    copies_crash_both_servers_of_one_domain: 9, 1, 2, "/once/x";
    retried_copies_crash_both_servers: 9, 3, 2, "/again/x";
    copies_crash_all_three_servers: 9, 3, 3, "/once/x";
    retried_copies_crash_all_three_servers: 9, 3, 3, "/again/x";
    copies_crash_both_servers_of_large_domains: 45, 3, 2, "/once/x";
    copies_crash_all_three_servers_of_large_domains: 45, 3, 3, "/once/x";
}

/// Defines one test for each number of hosts, failure domains and servers, each interval between requests of a host and
/// each kind of request.
macro_rules! answers_are_lost {
    ($($name:ident: $hosts:expr, $domains:expr, $interval:expr, $path:expr;)*) => {$(
        /// Guards against harmless requests that are refused because servers lost answers to them, and against writes to
        /// the store for each.
        #[test]
        fn $name() {
            let mut network = Network::new($hosts, $domains);
            network.path = $path;
            network.loss_interval = 30;
            for _ in 0..10 {
                network.pass(1000, $interval);
                // Probes of servers that lost an answer are over.
                network.loss_interval = 0;
                network.pass(100, $interval);
                for host in 0..$hosts {
                    let core = &network.node(host).core;
                    assert_eq!(core.relay.poison_requests.blocked_count(core.now), 0);
                }
                network.loss_interval = 30;
            }
            assert_eq!(network.site.store.poison_writes.len(), 0);
        }
    )*};
}

answers_are_lost! {
    lost_answers_refuse_nothing_at_one_host: 1, 1, 50, "/again/x";
    lost_answers_refuse_nothing_at_hosts_of_one_domain: 9, 1, 150, "/again/x";
    lost_answers_refuse_nothing_at_hosts_of_three_domains: 9, 3, 150, "/again/x";
    lost_answers_refuse_nothing_at_hosts_with_few_requests: 9, 3, 1000, "/again/x";
    lost_answers_refuse_nothing_at_hosts_of_large_domains: 45, 3, 500, "/again/x";
}
