//! Hosts that send to backend servers with rate limits.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{Gossip, LimitReport, NamedLimit, Notices};
use crate::core::relay::instance::short_hash;

/// Time after a host's first answer with a limit from which on its requests are counted.
const LIMIT_GRACE_MS: u64 = 500;
/// Time after a server first named a limit from which on windows are checked.
const WARM_UP_MS: u64 = 3000;
/// Length of a window.
const WINDOW_MS: u64 = 4000;
/// Response time of a server.
const RESPONSE_MS: u64 = 20;

/// Returns the requests allowed in a window.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * 4.0 + 5.0
}

/// Returns notices with a limit only.
fn limited(limit: NamedLimit) -> Notices {
    Notices {
        limit,
        ..Notices::default()
    }
}

/// Hosts under load, and the requests that reached each server.
struct Load {
    domain: TestDomain,
    /// Requests per second at each host.
    host_rate: u64,
    /// Limit that each server names in its answers.
    named: BTreeMap<Box<str>, NamedLimit>,
    /// Pending answers: due time, host, attempt and server.
    due: Vec<(u64, usize, AttemptKey, Box<str>)>,
    /// Time of the first answer with a limit, by host and server.
    learned: BTreeMap<(usize, Box<str>), u64>,
    /// Requests that reached each server: time and host.
    arrived: BTreeMap<Box<str>, Vec<(u64, usize)>>,
    refused: usize,
}

impl Load {
    fn new(hosts: usize, host_rate: u64) -> Self {
        let mut domain = TestDomain::with_hosts(hosts);
        domain.pass(2000);
        Self {
            domain,
            host_rate,
            named: BTreeMap::new(),
            due: Vec::new(),
            learned: BTreeMap::new(),
            arrived: BTreeMap::new(),
            refused: 0,
        }
    }

    fn name(&mut self, server: &str, rate: f64) {
        self.named.insert(server.into(), NamedLimit::Rate(rate));
    }

    /// Advances the time under load.
    fn pass(&mut self, millis: u64) {
        let interval = 1000 / self.host_rate;
        for _ in 0..millis {
            self.domain.pass(1);
            let now = self.domain.now;
            for host in 0..self.domain.hosts.len() {
                let offset = host as u64 * interval / self.domain.hosts.len() as u64;
                if now % interval == offset && self.domain.hosts[host].is_some() {
                    self.request(host);
                }
            }
            self.answer();
        }
    }

    fn request(&mut self, host: usize) {
        let now = self.domain.now;
        let site = self.domain.hosts[host].as_mut().expect("a host that runs");
        site.now = now;
        site.arrive(plain_request("/once/x"));
        let Some(sent) = site.sent() else {
            self.refused += 1;
            return;
        };
        let arrived = self.arrived.entry(sent.instance.clone()).or_default();
        arrived.push((now, host));
        self.due
            .push((now + RESPONSE_MS, host, sent.attempt, sent.instance));
    }

    fn answer(&mut self) {
        let now = self.domain.now;
        let due = std::mem::take(&mut self.due).into_iter();
        let (ready, later): (Vec<_>, Vec<_>) = due.partition(|(at, ..)| *at <= now);
        self.due = later;
        for (_, host, attempt, server) in ready {
            let limit = self.named.get(&server).copied().unwrap_or_default();
            if matches!(limit, NamedLimit::Rate(_)) {
                self.learned.entry((host, server)).or_insert(now);
            }
            let Some(site) = self.domain.hosts[host].as_mut() else {
                continue;
            };
            site.event(RelayEvent::Noticed {
                attempt,
                notices: limited(limit),
            });
            site.event(RelayEvent::Answered {
                attempt,
                status: 200,
            });
        }
    }

    /// Returns the number of hosts that regard a server as limited.
    fn limited(&self, server: &str) -> usize {
        let sites = self.domain.hosts.iter().flatten();
        let limited = sites.filter(|site| {
            let instances = &site.core.relay.instances;
            let key = instances.find(server).expect("known");
            instances.arena[key].limit.rate().is_some()
        });
        limited.count()
    }

    /// Returns the maximum number of requests that reached a server in one checked window, from hosts that had received
    /// its limit.
    fn max_in_window(&self, server: &str) -> usize {
        let learned = |host: usize| self.learned.get(&(host, server.into()));
        let first = self.learned.iter().filter(|((_, of), _)| **of == *server);
        let Some(first) = first.map(|(_, at)| *at).min() else {
            return 0;
        };
        let all = self.arrived.get(server).into_iter().flatten();
        let known: Vec<u64> = all
            .filter(|(at, host)| {
                learned(*host).is_some_and(|learned| at - learned.min(at) >= LIMIT_GRACE_MS)
            })
            .map(|(at, _)| *at)
            .collect();
        let checked = known.iter().filter(|at| **at >= first + WARM_UP_MS);
        checked
            .map(|end| {
                let window = known
                    .iter()
                    .filter(|at| **at + WINDOW_MS > *end && *at <= end);
                window.count()
            })
            .max()
            .unwrap_or(0)
    }

    /// Asserts that a server got no more requests than it allows in any checked window.
    fn assert_kept(&self, server: &str, rate: f64) {
        let max = self.max_in_window(server);
        let hosts = self.domain.hosts.len();
        assert!(
            max as f64 <= allowed(rate),
            "{max} from {hosts} hosts at a limit of {rate}, allowed {}",
            allowed(rate)
        );
    }
}

/// An overloaded server names the requests per second that it accepts from all hosts together. Guards against hosts
/// that exceed this limit, or that each use all of it.
#[test]
fn hosts_together_keep_to_a_limit() {
    for hosts in [1, 8, 40] {
        for rate in [0.0, 0.4, 1.2, 2.3, 10.0] {
            let mut load = Load::new(hosts, 10);
            load.pass(1000);
            load.name("r", rate);
            load.pass(12_000);
            load.assert_kept("r", rate);
        }
    }
}

/// Guards against a burst of one request from each of many hosts.
#[test]
fn many_hosts_together_keep_to_a_limit() {
    let mut load = Load::new(200, 2);
    load.name("r", 1.2);
    load.pass(8000);
    load.assert_kept("r", 1.2);
}

/// All servers of a service name limits. Guards against requests that wait although no server will accept them: they
/// are refused immediately as not run, with a time to retry after.
#[test]
fn requests_that_no_limit_admits_are_refused_immediately() {
    let mut load = Load::new(8, 10);
    for server in ["p", "q", "r"] {
        load.name(server, 2.0);
    }
    load.pass(12_000);
    for server in ["p", "q", "r"] {
        load.assert_kept(server, 2.0);
    }
    assert!(load.refused > 500, "{} refused", load.refused);
    let site = load.domain.hosts[0].as_mut().expect("a host that runs");
    let refusals = (0..20).filter_map(|_| {
        site.arrive(plain_request("/once/x"));
        site.refused()
    });
    let refusals: Vec<_> = refusals.collect();
    assert!(!refusals.is_empty());
    for (status, ran, retry) in refusals {
        assert_eq!((status, ran), (503, Ran::No));
        assert!(retry.is_some_and(|retry| retry >= Duration::from_millis(500)));
    }
}

/// Guards against a limit that is kept after the server stops naming it.
#[test]
fn a_limit_that_ended_binds_no_host() {
    for limit in [0.0, 1.2, 6.0] {
        let mut load = Load::new(8, 10);
        load.name("r", limit);
        load.pass(6000);
        assert_eq!(load.limited("r"), 8, "at {limit}");
        load.named.clear();
        // One request in ten seconds is enough to learn that a limit of zero has ended.
        load.pass(if limit == 0.0 { 11_000 } else { 4000 });
        assert_eq!(load.limited("r"), 0, "at {limit}");
    }
}

/// A third of all datagrams is lost, one host is killed and another is frozen. Guards against shares that add up to
/// more than the limit while hosts have different views.
#[test]
fn hosts_keep_to_a_limit_despite_loss_kill_and_freeze() {
    for rate in [1.2, 2.3, 6.0] {
        let mut load = Load::new(9, 10);
        load.domain.loss_interval = 3;
        load.pass(500);
        load.name("r", rate);
        load.pass(3000);
        load.domain.hosts[1] = None;
        let frozen = load.domain.hosts[2].take();
        load.pass(4000);
        load.domain.hosts[2] = frozen;
        load.pass(6000);
        load.assert_kept("r", rate);
    }
}

/// Hosts join one after the other while a server is limited. Guards against a new host that takes a share before it
/// has received the limit or found the other hosts.
#[test]
fn hosts_that_start_keep_to_a_limit() {
    let mut load = Load::new(9, 10);
    let later: Vec<_> = (3..9)
        .map(|host| (host, load.domain.hosts[host].take()))
        .collect();
    load.pass(500);
    load.name("r", 1.2);
    load.pass(3000);
    for (host, site) in later {
        load.domain.hosts[host] = site;
        load.pass(300);
    }
    load.pass(6000);
    load.assert_kept("r", 1.2);
}

/// Returns a host with one server, and an attempt at it.
fn alone() -> (TestHost, Outgoing) {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let sent = site.sent().expect("sent");
    (site, sent)
}

fn rate(site: &TestHost) -> Option<f64> {
    let instances = &site.core.relay.instances;
    let key = instances.find("a").expect("known");
    instances.arena[key].limit.rate()
}

/// An answer sent before the server was overloaded arrives after one that names the limit. Guards against treating it
/// as the end of the limit.
#[test]
fn an_older_answer_ends_no_limit() {
    let (mut site, first) = alone();
    site.arrive(plain_request("/once/x"));
    let second = site.sent().expect("sent");
    site.now += 50;
    let limit = NamedLimit::Rate(2.0);
    site.event(RelayEvent::Noticed {
        attempt: first.attempt,
        notices: limited(limit),
    });
    site.now += 500;
    site.event(RelayEvent::Noticed {
        attempt: second.attempt,
        notices: limited(NamedLimit::None),
    });
    assert_eq!(rate(&site), Some(2.0));
}

/// Guards against a limit that is kept after the server that named it restarted.
#[test]
fn a_restart_ends_a_limit() {
    let (mut site, sent) = alone();
    let limit = NamedLimit::Rate(2.0);
    site.event(RelayEvent::Noticed {
        attempt: sent.attempt,
        notices: limited(limit),
    });
    assert_eq!(rate(&site), Some(2.0));
    site.now += 100;
    site.register(vec![BackendEntry {
        started_ms: 2,
        ..plain_entry("a")
    }]);
    assert_eq!(rate(&site), None);
}

/// Returns a host whose only server has named a limit in its answer.
fn limited_by_answer() -> TestHost {
    let (mut site, sent) = alone();
    let attempt = sent.attempt;
    let notices = limited(NamedLimit::Rate(0.5));
    site.event(RelayEvent::Noticed { attempt, notices });
    let status = 200;
    site.event(RelayEvent::Answered { attempt, status });
    site
}

/// Adds 20 other hosts, with which the first one has no share of a small limit.
fn add_others(site: &mut TestHost) {
    for other in 0..20 {
        let value = format!(r#"{{"addr":"127.0.0.1:9","domain":"z{other}"}}"#);
        site.write_key(&format!("hosts/other-{other}"), Some(&value), 41);
    }
}

/// A limited server does not reach the store for a time. Guards against a limit that ends with its entry, and against a
/// share that counts only the hosts of before.
#[test]
fn a_limit_outlasts_a_missing_entry() {
    let mut site = limited_by_answer();
    site.unregister("a");
    assert!(site.core.relay.instances.find("a").is_none());
    add_others(&mut site);
    site.register(vec![BackendEntry {
        revision: 42,
        ..plain_entry("a")
    }]);
    assert_eq!(rate(&site), Some(0.5));
    let instances = &site.core.relay.instances;
    let key = instances.find("a").expect("known");
    let wait = instances.arena[key].limit.wait(site.core.now);
    assert_eq!(wait, None, "this host has a share");
}

/// A limit ends while the entry of its server is missing, as another host reports. Guards against keeping it for good at a
/// host without a share, which sends the server nothing.
#[test]
fn a_limit_that_ended_while_the_entry_was_missing_binds_no_host() {
    let mut site = limited_by_answer();
    add_others(&mut site);
    site.unregister("a");
    site.now += 3000;
    for sequence in 1..=30 {
        let ended = LimitReport {
            instance: short_hash("a"),
            rate: None,
            age: Duration::from_millis(sequence * 100),
        };
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            host: "other-0".into(),
            incarnation: 1,
            sequence,
            limits: vec![ended],
            ..Gossip::default()
        })));
        site.now += 100;
    }
    site.register(vec![BackendEntry {
        revision: 42,
        ..plain_entry("a")
    }]);
    assert_eq!(rate(&site), None);
}

/// A limit ends while a host without a share gets no messages. Guards against keeping it for good.
#[test]
fn a_limit_that_ended_in_a_partition_binds_no_host() {
    let mut load = Load::new(5, 10);
    load.name("r", 0.5);
    load.pass(6000);
    let has_share = |host: &usize| {
        let site = load.domain.hosts[*host].as_ref().expect("a host that runs");
        let instances = &site.core.relay.instances;
        let key = instances.find("r").expect("known");
        let limit = &instances.arena[key].limit;
        limit.wait(site.core.now).is_some()
    };
    let cut = (0..5).find(|host| !has_share(host));
    let cut = cut.expect("a host without a share");
    for other in (0..5).filter(|other| *other != cut) {
        load.domain.cuts.extend([(cut, other), (other, cut)]);
    }
    load.named.clear();
    load.pass(9000);
    load.domain.cuts.clear();
    load.pass(60_000);
    assert_eq!(load.limited("r"), 0);
}

/// Guards against a value that is not a number starting, changing or ending a limit.
#[test]
fn an_unreadable_limit_changes_nothing() {
    let (mut site, sent) = alone();
    let name = |site: &mut TestHost, limit| {
        site.now += 500;
        site.event(RelayEvent::Noticed {
            attempt: sent.attempt,
            notices: limited(limit),
        });
    };
    name(&mut site, NamedLimit::Unreadable);
    assert_eq!(rate(&site), None);
    name(&mut site, NamedLimit::Rate(2.0));
    name(&mut site, NamedLimit::Unreadable);
    assert_eq!(rate(&site), Some(2.0));
}
