//! Streams that are taken up while hosts fall out of step, servers change their versions and routes their services, at random.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::out_of_step::Fault;
use super::routes::lead_to;
use super::*;

/// Changes of servers and routes in a walk.
const STEPS: usize = 14;
/// Streams that begin at each step.
const STREAMS: usize = 6;
/// Milliseconds for which callers take a stream up, with their repeats.
const TAKE_UP_WINDOW_MS: u64 = 20_000;
/// Versions of the servers of a service in turn.
const VERSIONS: [&str; 6] = ["1111", "2222", "3333", "4444", "1222", "3344"];
/// Services that the route leads to.
const ROUTES: [&[&str]; 4] = [&["plain"], &["other"], &["plain"], &["plain", "other"]];
const FAULTS: [Fault; 5] = [
    Fault::CutFromHosts,
    Fault::CutFromStore,
    Fault::CutOff,
    Fault::Frozen,
    Fault::FrozenThenCutOff,
];

/// A server's service, version and number of starts.
#[derive(Debug, Clone)]
struct Server {
    service: &'static str,
    version: Box<str>,
    starts: u64,
}

/// A stream whose connection broke after its first event.
struct Broken {
    id: Box<str>,
    /// Service and version that it began at.
    began_at: (&'static str, Box<str>),
    began: u64,
}

struct Walk {
    site: Site,
    rng: SmallRng,
    servers: BTreeMap<Box<str>, Server>,
    /// Servers that are no longer listed, which hosts out of step still use.
    unlisted: BTreeMap<Box<str>, Server>,
    streams: Vec<Broken>,
    catalog: u64,
    went_on: usize,
}

impl Walk {
    fn new(hosts: usize, domains: usize, seed: u64) -> Self {
        let mut walk = Self {
            site: Site::new(hosts, domains, "1"),
            rng: SmallRng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            streams: Vec::new(),
            catalog: 1_000_000,
            went_on: 0,
        };
        walk.list("plain", VERSIONS[0]);
        walk.list("other", VERSIONS[0]);
        walk.lead();
        walk.site.hosts.pass(RETENTION_MS + LISTING_MS);
        walk
    }

    fn host_count(&self) -> usize {
        self.site.hosts.hosts.len()
    }

    fn pass(&mut self, max_ms: u64) {
        let millis = self.rng.random_range(0..=max_ms);
        self.site.hosts.pass(millis);
    }

    /// Has new servers of these versions take the place of all those of a service.
    fn list(&mut self, service: &'static str, versions: &str) {
        let gone = self
            .servers
            .extract_if(.., |_, server| server.service == service);
        self.unlisted.extend(gone);
        for (number, version) in versions.chars().enumerate() {
            // Versions of both services differ.
            let version = format!("{service}-{version}");
            let server = Server {
                service,
                version: version.clone().into(),
                starts: 1,
            };
            let id = format!("{version}-{number}");
            self.servers.insert(id.into(), server);
        }
        self.write();
    }

    /// Has a server start again under its id with another version.
    fn restart(&mut self) {
        let ids: Vec<Box<str>> = self.servers.keys().cloned().collect();
        let id = ids.choose(&mut self.rng).expect("a server");
        let server = self.servers.get_mut(id).expect("a server");
        server.starts += 1;
        server.version = format!("{}-again-{}", server.service, server.starts).into();
        self.write();
    }

    fn write(&mut self) {
        let revision = self.site.hosts.store.revision + 1;
        let servers = self.servers.iter();
        let entries = servers.map(|(id, server)| BackendEntry {
            service: server.service.into(),
            version: Some(server.version.clone()),
            started_ms: server.starts,
            revision,
            ..plain_entry(id)
        });
        let entries: Vec<BackendEntry> = entries.collect();
        self.site.hosts.store.list(entries);
    }

    /// Has the route lead elsewhere.
    fn lead(&mut self) {
        self.catalog += 1;
        let services = *ROUTES.choose(&mut self.rng).expect("services");
        lead_to(&mut self.site, self.catalog, services);
    }

    /// Returns service and version of a server, unless the host takes them for others: that a server has started again under
    /// its id is not known until its entry is read.
    fn known(&mut self, host: usize, id: &str) -> Option<(&'static str, Box<str>)> {
        let server = self.servers.get(id).or_else(|| self.unlisted.get(id));
        let server = server?.clone();
        let instances = &self.site.host(host).core.relay.instances;
        let instance = &instances.arena[instances.find(id)?];
        let is_known = instance.version.as_ref() == Some(&server.version);
        is_known.then_some((server.service, server.version))
    }

    fn begin(&mut self, except: Option<usize>) {
        let host = self.rng.random_range(0..self.host_count());
        if except == Some(host) {
            return;
        }
        let request = self.site.request(None);
        let id = request.id.clone();
        let (Outcome::Sent(server), attempt) = self.site.arrive(host, request) else {
            return;
        };
        self.site.event(host, attempt, 1);
        let stream = Stream {
            host,
            id: id.clone(),
            attempt,
            server: server.clone(),
        };
        self.site.leave(&stream);
        let began = self.site.hosts.now;
        if let Some(began_at) = self.known(host, &server) {
            self.streams.push(Broken {
                id,
                began_at,
                began,
            });
        }
    }

    /// Takes each stream up, half of them at one host; asserts that none goes on at another version.
    fn take_up(&mut self, preferred: usize) {
        let now = self.site.hosts.now;
        let is_recent = |stream: &Broken| stream.began + TAKE_UP_WINDOW_MS > now;
        self.streams.retain(is_recent);
        for index in 0..self.streams.len() {
            let other = self.rng.random_range(0..self.host_count());
            let host = if self.rng.random() { preferred } else { other };
            let id = self.streams[index].id.clone();
            if let Outcome::Sent(server) = self.site.take_up(host, &id)
                && let Some(went_on_at) = self.known(host, &server)
            {
                assert_eq!(went_on_at, self.streams[index].began_at, "{server}");
                self.went_on += 1;
            }
        }
    }

    fn step(&mut self) {
        if self.rng.random_bool(0.6) {
            // Long enough for hosts to know that one version is the only one.
            self.site.hosts.pass(RETENTION_MS + LISTING_MS);
            self.begin(None);
        }
        let host = self.rng.random_range(0..self.host_count());
        let fault = *FAULTS.choose(&mut self.rng).expect("a fault");
        self.pass(500);
        fault.begin(&mut self.site, host);
        match self.rng.random_range(0..6) {
            0 => self.restart(),
            1 => self.lead(),
            number => {
                let service = if number % 2 == 0 { "plain" } else { "other" };
                let versions = *VERSIONS.choose(&mut self.rng).expect("versions");
                self.list(service, versions);
            }
        }
        self.pass(1500);
        let is_frozen = self.site.hosts.frozen.contains(&host);
        for _ in 0..STREAMS {
            self.begin(is_frozen.then_some(host));
        }
        fault.wake(&mut self.site, host);
        self.take_up(host);
        self.pass(1500);
        self.take_up(host);
        self.site.hosts.reconnect();
        self.pass(4000);
        self.take_up(host);
    }
}

/// Defines one test for each arrangement of hosts.
macro_rules! walks {
    ($($name:ident: $hosts:expr, $domains:expr, $seeds:expr;)*) => {$(
        /// Guards against streams that go on at another version at a host that is out of step, or after their route has moved.
        #[test]
        fn $name() {
            for seed in $seeds {
                let mut walk = Walk::new($hosts, $domains, seed);
                (0..STEPS).for_each(|_| walk.step());
                assert!(walk.went_on > 0, "no stream went on in walk {seed}");
                println!("seed {seed}: {} went on", walk.went_on);
            }
        }
    )*};
}

walks! {
    hosts_out_of_step_mix_no_versions_in_a_small_domain: 3, 1, 1..=3;
    hosts_out_of_step_mix_no_versions_in_small_domains: 6, 3, 1..=3;
}
