//! Hosts of one failure domain in virtual time, the datagrams between them, and their store.

use std::collections::BTreeSet;

use super::*;
use crate::core::relay::event::{Ask, Gossip, StoreAnswer, StoreChange};
use crate::core::relay::instance::Work;

/// Milliseconds that a datagram takes.
const TRANSIT: u64 = 1;
/// Milliseconds that the store takes to answer.
const ANSWER: u64 = 4;

/// Hosts of one failure domain and the datagrams between them.
pub struct Domain {
    pub hosts: Vec<Option<Site>>,
    pub now: u64,
    pub transit: Vec<(u64, usize, usize, Gossip)>,
    /// Pairs of hosts, sender first, between which nothing arrives.
    pub cuts: Vec<(usize, usize)>,
    /// Datagrams sent by each host.
    pub sent: Vec<u32>,
    /// Datagrams received by each host.
    pub heard: Vec<u32>,
    /// One in so many datagrams is lost; 0 for none.
    pub loses: usize,
    passed: usize,
    pub store: Store,
}

/// A store whose only changes are new versions of the configuration, one for each revision.
#[derive(Debug)]
pub struct Store {
    pub revision: i64,
    /// Times that it came back from an older copy, and one.
    pub era: u64,
    /// Whether it takes calls and never answers.
    pub silent: bool,
    /// Hosts whose calls it does not answer.
    pub unreachable: BTreeSet<usize>,
    /// Servers whose entries were removed.
    pub removed: BTreeSet<Box<str>>,
    /// Calls in hand, and when they may be answered.
    calls: Vec<(u64, usize, u64, Ask)>,
    /// Pages and watches asked for by each host.
    pub asked: Vec<u32>,
    /// Calls for registrations, all hosts together.
    pub registrations: u32,
}

fn name(host: usize) -> String {
    format!("host-{host:02}")
}

/// Returns a configuration with long time-outs.
fn configured(revision: i64) -> Changes {
    let mut catalog = catalog(u64::try_from(revision).expect("positive"));
    for route in &mut catalog.routes {
        route.timeout = Duration::from_mins(1);
    }
    Changes {
        catalog: Some(catalog),
        ..Changes::default()
    }
}

/// Returns all keys: the configuration, three plain servers and so many hosts.
fn listed(hosts: usize, revision: i64) -> Changes {
    let entry = |host| format!(r#"{{"addr":"{}","domain":"z"}}"#, addr(host));
    let hosts = (0..hosts).map(|host| KeyChange {
        key: format!("hosts/{}", name(host)).into(),
        value: Some(entry(host).as_bytes().into()),
        revision: 3,
    });
    Changes {
        instances: ["p", "q", "r"].map(plain).to_vec(),
        keys: hosts.collect(),
        ..configured(revision)
    }
}

pub fn addr(host: usize) -> SocketAddr {
    ([10, 9, 0, u8::try_from(host).expect("a small number")], 1).into()
}

impl Domain {
    /// Returns so many hosts that know each other and three servers.
    pub fn of(hosts: usize) -> Self {
        let sites = (0..hosts).map(|host| {
            let site = Site::named(&name(host), host as u64);
            Some(site)
        });
        let mut domain = Self {
            hosts: sites.collect(),
            now: 1000,
            transit: Vec::new(),
            cuts: Vec::new(),
            sent: vec![0; hosts],
            heard: vec![0; hosts],
            loses: 0,
            passed: 0,
            store: Store {
                revision: 10,
                era: 1,
                silent: false,
                unreachable: BTreeSet::new(),
                removed: BTreeSet::new(),
                calls: Vec::new(),
                asked: vec![0; hosts],
                registrations: 0,
            },
        };
        for host in 0..hosts {
            domain.take_asks(host);
        }
        domain
    }

    /// Has the store take the calls of a host's last step.
    fn take_asks(&mut self, host: usize) {
        let Some(site) = self.hosts[host].as_ref() else {
            return;
        };
        for effect in &site.out {
            match effect {
                Effect::Relay(RelayEffect::Ask { number, ask }) => {
                    if *ask != Ask::Probe {
                        self.store.asked[host] += 1;
                    }
                    if !self.store.silent && !self.store.unreachable.contains(&host) {
                        let call = (self.now + ANSWER, host, *number, ask.clone());
                        self.store.calls.push(call);
                    }
                }
                Effect::Relay(RelayEffect::Unask(given_up)) => {
                    let calls = &mut self.store.calls;
                    calls.retain(|(_, from, number, _)| (*from, *number) != (host, *given_up));
                }
                Effect::Grant { .. } | Effect::Txn { .. } => self.store.registrations += 1,
                _ => {}
            }
        }
    }

    /// Has the store answer what is due.
    fn answer(&mut self) {
        let (silent, unreachable) = (self.store.silent, self.store.unreachable.clone());
        self.store
            .calls
            .retain(|(_, host, ..)| !silent && !unreachable.contains(host));
        let calls = std::mem::take(&mut self.store.calls).into_iter();
        let revision = self.store.revision;
        let (ready, later): (Vec<_>, Vec<_>) = calls.partition(|(at, _, _, ask)| {
            let waits = matches!(ask, Ask::Watch { after, .. } if *after >= revision);
            *at <= self.now && !waits
        });
        self.store.calls = later;
        for (_, host, number, ask) in ready {
            let answer = self.answer_to(&ask);
            if let Some(site) = self.hosts[host].as_mut() {
                site.now = self.now;
                site.event(RelayEvent::Era(self.store.era));
                self.carry(host);
            }
            if let Some(site) = self.hosts[host].as_mut() {
                site.event(RelayEvent::Store { number, answer });
                self.carry(host);
            }
        }
    }

    fn answer_to(&self, ask: &Ask) -> StoreAnswer {
        let at = self.store.revision;
        match ask {
            Ask::Probe => StoreAnswer::Newest(at),
            Ask::Watch { after, .. } if *after > at => StoreAnswer::Compacted,
            Ask::Page { .. } => {
                let changes = Changes {
                    instances: self.servers(),
                    ..listed(self.hosts.len(), at)
                };
                StoreAnswer::Page {
                    at,
                    changes,
                    after: None,
                }
            }
            Ask::Watch { after, .. } => {
                let changed = |revision| Changes {
                    instances: self.servers(),
                    gone: self.store.removed.iter().cloned().collect(),
                    ..configured(revision)
                };
                let events = (*after + 1..=at).map(|revision| StoreChange {
                    revision,
                    changes: changed(revision),
                    ..StoreChange::default()
                });
                StoreAnswer::Changes {
                    at,
                    changes: changed(at),
                    events: events.collect(),
                }
            }
        }
    }

    /// Returns the servers whose entries the store holds.
    fn servers(&self) -> Vec<Entry> {
        let all = ["p", "q", "r"].map(plain).into_iter();
        all.filter(|entry| !self.store.removed.contains(&entry.id))
            .collect()
    }

    /// Returns the revision whose configuration a host has in force.
    pub fn version(&self, host: usize) -> u64 {
        let site = self.hosts[host].as_ref().expect("a host that runs");
        let catalog = site.core.relay.catalog.as_ref();
        catalog.map_or(0, |catalog| catalog.version)
    }

    /// Has the store's configuration change; returns how many milliseconds pass until all hosts that
    /// run have it in force, but for those left out.
    pub fn change(&mut self, but: &[usize]) -> u64 {
        self.store.revision += 1;
        self.until_all_know(but)
    }

    /// Cuts a host off from the store and from the other hosts.
    pub fn cut_off(&mut self, host: usize) {
        self.store.unreachable.insert(host);
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.cuts.extend([(host, other), (other, host)]);
        }
    }

    /// Ends all cuts.
    pub fn reconnect(&mut self) {
        self.store.unreachable.clear();
        self.cuts.clear();
    }

    /// Has the store come back from a copy of a revision, and the operator write again.
    pub fn restore(&mut self, revision: i64) {
        self.store.era += 1;
        self.store.revision = revision;
        self.store.calls.clear();
    }

    /// Removes a server's entry from the store.
    pub fn remove(&mut self, server: &str) {
        self.store.removed.insert(server.into());
        self.store.revision += 1;
    }

    /// Returns how many milliseconds pass until all hosts have the newest configuration in force.
    pub fn until_all_know(&mut self, but: &[usize]) -> u64 {
        let newest = u64::try_from(self.store.revision).expect("positive");
        let start = self.now;
        loop {
            let hosts = (0..self.hosts.len()).filter(|host| !but.contains(host));
            let late: Vec<usize> = hosts
                .filter(|host| self.hosts[*host].is_some() && self.version(*host) != newest)
                .collect();
            if late.is_empty() {
                return self.now - start;
            }
            assert!(self.now - start < 10_000, "{late:?} never know");
            self.pass(1);
        }
    }

    /// Lets time pass at all hosts that run.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            for host in 0..self.hosts.len() {
                self.wake(host);
            }
            self.answer();
            let transit = std::mem::take(&mut self.transit).into_iter();
            let (ready, later): (Vec<_>, Vec<_>) = transit.partition(|(at, ..)| *at <= self.now);
            self.transit = later;
            for (_, from, to, message) in ready {
                self.passed += 1;
                let lost = self.loses > 0 && self.passed.is_multiple_of(self.loses);
                let cut = lost || self.cuts.contains(&(from, to));
                if let Some(site) = self.hosts[to].as_mut().filter(|_| !cut) {
                    self.heard[to] += 1;
                    site.now = self.now;
                    site.event(RelayEvent::Gossiped(Box::new(message)));
                    self.carry(to);
                }
            }
        }
    }

    /// Has a host do what is due.
    fn wake(&mut self, host: usize) {
        let Some(site) = self.hosts[host].as_mut() else {
            return;
        };
        site.now = self.now;
        let due = std::mem::take(&mut site.due).into_iter();
        let (ready, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= self.now);
        site.due = later;
        for (_, timer) in ready {
            if let Some(site) = self.hosts[host].as_mut() {
                site.apply(Event::Timer(timer));
            }
            self.carry(host);
        }
    }

    /// Sends what a host told others in its last step.
    fn carry(&mut self, from: usize) {
        self.take_asks(from);
        let Some(site) = self.hosts[from].as_ref() else {
            return;
        };
        for effect in &site.out {
            let Effect::Relay(RelayEffect::Publish { to, message }) = effect else {
                continue;
            };
            for listener in to {
                let to = (0..self.hosts.len()).find(|host| addr(*host) == *listener);
                let to = to.expect("a known address");
                self.sent[from] += 1;
                self.transit
                    .push((self.now + TRANSIT, from, to, (**message).clone()));
            }
        }
    }

    /// Has a host send a request that lasts; returns the server that it went to, if any takes it.
    pub fn arrive(&mut self, host: usize) -> Option<Box<str>> {
        let site = self.hosts[host].as_mut().expect("a host that runs");
        site.now = self.now;
        site.arrive(Arrival {
            deadline: None,
            ..call("/once/x")
        });
        site.sent().map(|sent| sent.instance)
    }

    /// Does so where one takes it.
    pub fn request(&mut self, host: usize) -> Box<str> {
        self.arrive(host).expect("taken")
    }

    /// Returns what a host knows of others' work at a server.
    pub fn known(&self, host: usize, server: &str) -> Work {
        let site = self.hosts[host].as_ref().expect("a host that runs");
        let instances = &site.core.relay.instances;
        let key = instances.find(server).expect("a known server");
        instances.arena[key].peer_total
    }

    /// Returns how many milliseconds pass until a host knows of so many requests of others there.
    pub fn until(&mut self, host: usize, server: &str, calls: u32) -> u64 {
        let start = self.now;
        while self.known(host, server).calls != calls {
            assert!(self.now - start < 10_000, "host {host} never knows");
            self.pass(1);
        }
        self.now - start
    }

    /// Asserts that each running host knows all requests of the others at a server, each once.
    pub fn assert_known(&self, server: &str, by: &[(usize, u32)]) {
        let all: u32 = by.iter().map(|(_, calls)| calls).sum();
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_none() {
                continue;
            }
            let own = by.iter().find(|(other, _)| *other == host);
            let others = all - own.map_or(0, |(_, calls)| *calls);
            assert_eq!(self.known(host, server).calls, others, "host {host}");
        }
    }
}
