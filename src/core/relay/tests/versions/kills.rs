//! Streams that are taken up after all hosts were killed, while the versions of their service change.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::site::{LISTING_MS, Outcome, RETENTION_MS, Site, Stream};

/// Time in milliseconds for which callers take a stream up, with their repeats.
const TAKE_UP_WINDOW_MS: u64 = 20_000;
/// Changes of the listed servers in a walk.
const STEPS: usize = 16;
/// Streams that begin at each step.
const STREAMS: usize = 6;
/// Lists of servers in turn: one version gives way to the next, at once or side by side.
const LISTS: [&str; 8] = [
    "aaaa", "aaab", "abbb", "bbbb", "bbcc", "cccc", "dddd", "ddda",
];

/// A stream whose connection broke after its first event.
struct Broken {
    id: Box<str>,
    version: Box<str>,
    began: u64,
}

/// Hosts whose servers change their versions while hosts are killed, cut off and started again at random.
struct Walk {
    site: Site,
    rng: SmallRng,
    streams: Vec<Broken>,
    went_on: usize,
}

impl Walk {
    fn new(hosts: usize, domains: usize, seed: u64) -> Self {
        Self {
            site: Site::new(hosts, domains, LISTS[0]),
            rng: SmallRng::seed_from_u64(seed),
            streams: Vec::new(),
            went_on: 0,
        }
    }

    fn host_count(&self) -> usize {
        self.site.hosts.hosts.len()
    }

    fn pass(&mut self, max_ms: u64) {
        let millis = self.rng.random_range(0..=max_ms);
        self.site.hosts.pass(millis);
    }

    fn begin(&mut self) {
        let host = self.rng.random_range(0..self.host_count());
        let request = self.site.request(None);
        let id = request.id.clone();
        if let (Outcome::Sent(server), attempt) = self.site.arrive(host, request) {
            self.site.event(host, attempt, 1);
            let began = self.site.hosts.now;
            let version = Site::version(&server).into();
            let stream = Stream {
                host,
                id: id.clone(),
                attempt,
                server,
            };
            self.site.leave(&stream);
            self.streams.push(Broken { id, version, began });
        }
    }

    /// Kills all hosts, except some that are cut off, and starts them again at different moments.
    fn kill(&mut self) {
        let spared = self.rng.random_range(0..3);
        for host in 0..spared {
            self.site.hosts.cut_off(host);
        }
        for host in spared..self.host_count() {
            self.site.hosts.hosts[host] = None;
        }
        if self.rng.random_bool(0.5) {
            let list = LISTS[self.rng.random_range(0..LISTS.len())];
            self.site.list(list);
        }
        self.pass(2500);
        for host in spared..self.host_count() {
            self.site.hosts.restart(host);
            self.pass(300);
        }
        self.site.hosts.reconnect();
    }

    /// Takes each stream up; asserts that none goes on at another version.
    fn take_up(&mut self) {
        let now = self.site.hosts.now;
        let is_recent = |stream: &Broken| stream.began + TAKE_UP_WINDOW_MS > now;
        self.streams.retain(is_recent);
        for index in 0..self.streams.len() {
            let host = self.rng.random_range(0..self.host_count());
            let stream = &self.streams[index];
            let outcome = self.site.take_up(host, &stream.id);
            if let Outcome::Sent(server) = outcome {
                assert_eq!(Site::version(&server), &*stream.version, "{server}");
                self.went_on += 1;
            }
        }
    }

    fn run(&mut self) {
        for step in 1..=STEPS {
            if self.rng.random_bool(0.3) {
                // Long enough for hosts to know that one version is the only one.
                self.site.hosts.pass(RETENTION_MS);
                self.begin();
            }
            self.site.list(LISTS[step % LISTS.len()]);
            self.pass(LISTING_MS);
            for _ in 0..STREAMS {
                self.begin();
            }
            self.pass(500);
            if self.rng.random_bool(0.6) {
                self.kill();
            }
            if self.rng.random_bool(0.2) {
                let revision = self.site.hosts.store.revision - 1;
                self.site.hosts.restore(revision);
                self.site.hosts.pass(LISTING_MS);
                self.site.hosts.list_again();
            }
            self.take_up();
            self.pass(8000);
            self.take_up();
        }
    }
}

/// Defines one test for each arrangement of hosts.
macro_rules! walks {
    ($($name:ident: $hosts:expr, $domains:expr, $seeds:expr;)*) => {$(
        /// Guards against streams that go on at another version, since hosts that have all started again take one version for the
        /// only one that was in use.
        #[test]
        fn $name() {
            for seed in $seeds {
                let mut walk = Walk::new($hosts, $domains, seed);
                walk.run();
                assert!(walk.went_on > 0, "no stream went on in walk {seed}");
            }
        }
    )*};
}

walks! {
    kills_of_all_hosts_mix_no_versions_in_a_small_domain: 3, 1, 1..=3;
    kills_of_all_hosts_mix_no_versions_in_small_domains: 8, 3, 1..=3;
}
