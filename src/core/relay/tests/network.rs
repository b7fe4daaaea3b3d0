//! Simulation of callers, servers that end and links that are cut, on top of the hosts of [`super::domain`].

use std::collections::BTreeSet;

use super::domain::{TestDomain, addr};
use super::*;
use crate::core::relay::event::{ForwardRefusal, Gossip};
use crate::error::Kind;

/// Milliseconds that a server takes to answer.
const SERVER_MS: u64 = 20;
/// Milliseconds that a connection takes to fail.
const CONNECT_MS: u64 = 250;
/// Milliseconds that a probe of a link takes to fail.
const PROBE_MS: u64 = 300;
/// Milliseconds until the requests in progress at a server that crashes fail.
const CRASH_MS: u64 = 5;
/// Milliseconds after a crash in which another server takes the place of the crashed one.
const REPLACEMENT_MS: u64 = 3000;
/// Open connections of a host to each server while new ones are refused.
const OPEN_CONNECTIONS: usize = 1;
/// Answers that are lost in a row: both attempts of a request that is retried, and more.
const LOST_IN_A_ROW: usize = 6;
/// Fingerprint of the request that crashes servers; the other requests have lower ones.
const POISON: u8 = 255;
/// Milliseconds between two hosts.
pub const HOP_MS: u64 = 1;
/// Time limit of callers.
const DEADLINE: Duration = Duration::from_millis(600);

/// How the links of a host end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// No connection is made.
    Unreachable,
    /// Requests are sent, and nothing comes back.
    Silent,
    /// Running requests break, and no new connection is made.
    Reset,
    /// Open connections live on, and new ones are refused.
    NewRefused,
}

/// Something that is about to happen to an attempt or a probe of a host.
#[derive(Debug)]
pub enum Incident {
    Failed(AttemptKey, Ran, AttemptFailure),
    Answered(AttemptKey),
    Probed(Box<str>, bool),
    /// A probe of a server that broke a request off ends; whether it is alive.
    Alive(Box<str>, bool),
    Refused(AttemptKey, ForwardRefusal),
    /// Another server takes the place of a crashed one.
    Replaced(Box<str>),
    /// A request arrives that this host and attempt forwards.
    Forwarded(usize, AttemptKey, Box<Arrival>),
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    Answer,
    Refusal(Kind, Ran),
}

/// Hosts, servers and callers in virtual time.
pub struct Network {
    pub site: TestDomain,
    /// Hosts without links to servers, and how these ended.
    pub cut: BTreeMap<usize, Cut>,
    pub incidents: Vec<(u64, usize, Incident)>,
    /// Requests of callers: by host and key, when they arrived, and their fingerprints.
    pub open: BTreeMap<(usize, CallKey), (u64, u8)>,
    /// Requests that hosts forwarded: by the other host and its key, who forwarded it.
    pub forwarded: BTreeMap<(usize, CallKey), (usize, AttemptKey)>,
    /// The host and key of a forwarded attempt.
    pub targets: BTreeMap<(usize, AttemptKey), (usize, CallKey)>,
    /// Attempts at servers, by host.
    pub running: BTreeMap<(usize, AttemptKey), Box<str>>,
    /// Servers that crashed.
    dead: BTreeSet<Box<str>>,
    /// When the request that crashes servers reached one.
    pub crashes: Vec<u64>,
    /// Host, time of arrival, time of the end, what the caller got.
    pub results: Vec<(usize, u64, u64, Got)>,
    /// Runs of each request, by its fingerprint.
    pub runs: BTreeMap<u8, u32>,
    pub forwards: usize,
    pub probes: usize,
    pub crash_reports: usize,
    /// Every so many requests, the answers to several in a row are lost; 0 for none.
    pub loss_interval: usize,
    /// Requests that reached servers.
    sends: usize,
    /// Path of harmless requests.
    pub path: &'static str,
    /// Path of the request that crashes servers.
    pub poison_path: &'static str,
}

impl Network {
    pub fn new(hosts: usize, domains: usize) -> Self {
        let mut site = TestDomain::with_domains(hosts, domains);
        site.pass(2000);
        site.fails_probes = false;
        site.actions.clear();
        Self {
            site,
            cut: BTreeMap::new(),
            incidents: Vec::new(),
            open: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            targets: BTreeMap::new(),
            running: BTreeMap::new(),
            dead: BTreeSet::new(),
            crashes: Vec::new(),
            results: Vec::new(),
            runs: BTreeMap::new(),
            forwards: 0,
            probes: 0,
            crash_reports: 0,
            loss_interval: 0,
            sends: 0,
            path: "/once/x",
            poison_path: "/once/x",
        }
    }

    pub fn cut(&mut self, hosts: impl IntoIterator<Item = usize>, how: Cut) {
        for host in hosts {
            self.cut.insert(host, how);
            if how == Cut::NewRefused {
                continue;
            }
            // Answers on their way are lost.
            let running = self.running.keys().filter(|(at, _)| *at == host);
            let running: Vec<AttemptKey> = running.map(|(_, attempt)| *attempt).collect();
            self.incidents.retain(|(_, at, incident)| {
                *at != host
                    || !matches!(incident, Incident::Answered(attempt) if running.contains(attempt))
            });
            if how == Cut::Reset {
                let broken = Incident::Failed;
                let now = self.site.now;
                self.incidents.extend(running.into_iter().map(|attempt| {
                    (
                        now,
                        host,
                        broken(attempt, Ran::Unknown, AttemptFailure::Cut),
                    )
                }));
            }
        }
    }

    pub fn node(&mut self, host: usize) -> &mut TestHost {
        let now = self.site.now;
        let node = self.site.hosts[host].as_mut().expect("a running host");
        node.now = now;
        node
    }

    /// Ends a server; another one takes its place later.
    fn crash(&mut self, server: Box<str>) {
        self.crashes.push(self.site.now);
        let running = self.running.iter().filter(|(_, at)| **at == server);
        let running: Vec<(usize, AttemptKey)> = running.map(|(key, _)| *key).collect();
        self.incidents.retain(|(_, host, incident)| {
            !matches!(incident, Incident::Answered(attempt) if running.contains(&(*host, *attempt)))
        });
        for (host, attempt) in running {
            let (ran, how) = (Ran::Unknown, AttemptFailure::Cut);
            self.after(CRASH_MS, host, Incident::Failed(attempt, ran, how));
        }
        self.after(REPLACEMENT_MS, 0, Incident::Replaced(server.clone()));
        self.dead.insert(server);
    }

    /// Has a caller send the request that crashes servers to a host.
    pub fn send_poison(&mut self, host: usize) {
        self.send_numbered(host, POISON);
    }

    /// Has a caller send a request to a host.
    pub fn send(&mut self, host: usize) {
        let number = self.results.len() + self.open.len();
        let number = u8::try_from(number % 251).expect("a small number");
        self.runs.remove(&number);
        self.send_numbered(host, number);
    }

    fn path_of(&self, number: u8) -> &'static str {
        if number == POISON {
            self.poison_path
        } else {
            self.path
        }
    }

    pub fn send_numbered(&mut self, host: usize, number: u8) {
        let at = self.site.now;
        let path = self.path_of(number);
        let request = Arrival {
            deadline: Some(DEADLINE),
            fingerprint: Fingerprint([number; 16]),
            ..plain_request(path)
        };
        let call = self.node(host).arrive(request);
        self.open.insert((host, call), (at, number));
        self.site.send_effects(host);
        self.act();
    }

    /// Carries out the effects of hosts since the last call.
    pub fn act(&mut self) {
        while !self.site.actions.is_empty() {
            for (host, effect) in std::mem::take(&mut self.site.actions) {
                self.carry_out(host, effect);
            }
        }
    }

    pub fn after(&mut self, millis: u64, host: usize, incident: Incident) {
        self.incidents
            .push((self.site.now + millis, host, incident));
    }

    fn carry_out(&mut self, host: usize, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(out) => match self.cut.get(&host).copied() {
                Some(Cut::Silent) => {
                    self.running.insert((host, out.attempt), out.instance);
                }
                Some(Cut::NewRefused) if self.has_idle_connection(host, &out.instance) => {
                    self.run(host, *out);
                }
                Some(Cut::NewRefused) => {
                    let (ran, how) = (Ran::No, AttemptFailure::Unreachable);
                    self.after(HOP_MS, host, Incident::Failed(out.attempt, ran, how));
                }
                Some(_) => {
                    let (ran, how) = (Ran::No, AttemptFailure::Unreachable);
                    self.after(CONNECT_MS, host, Incident::Failed(out.attempt, ran, how));
                }
                None if self.dead.contains(&out.instance) => {
                    let (ran, how) = (Ran::No, AttemptFailure::Unreachable);
                    self.after(HOP_MS, host, Incident::Failed(out.attempt, ran, how));
                }
                None => self.run(host, *out),
            },
            RelayEffect::Forward(out) => {
                self.forwards += 1;
                let hosts = 0..self.site.hosts.len();
                let to = hosts.clone().find(|other| addr(*other) == out.addr);
                let to = to.expect("a known host");
                if self.site.hosts[to].is_none() {
                    let (ran, how) = (Ran::No, AttemptFailure::Unreachable);
                    self.after(HOP_MS, host, Incident::Failed(out.attempt, ran, how));
                    return;
                }
                let number = self.fingerprint(host, out.call);
                let arrival = Arrival {
                    deadline: Some(out.remaining),
                    fingerprint: Fingerprint([number; 16]),
                    forwarded: Some(out.spent),
                    departures: out.departures,
                    ..plain_request(self.path_of(number))
                };
                let incident = Incident::Forwarded(host, out.attempt, Box::new(arrival));
                self.after(HOP_MS, to, incident);
            }
            RelayEffect::ProbeLink(probe) => {
                self.probes += 1;
                let has_link = match self.cut.get(&host) {
                    None => true,
                    Some(Cut::NewRefused) => self.has_idle_connection(host, &probe.instance),
                    Some(_) => false,
                };
                let reached = has_link && !self.dead.contains(&probe.instance);
                let millis = if reached { HOP_MS } else { PROBE_MS };
                self.after(millis, host, Incident::Probed(probe.instance, reached));
            }
            RelayEffect::ProbeServer(probe) => {
                let is_alive =
                    !self.cut.contains_key(&host) && !self.dead.contains(&probe.instance);
                let millis = if is_alive { SERVER_MS } else { HOP_MS };
                self.after(millis, host, Incident::Alive(probe.instance, is_alive));
            }
            RelayEffect::ForwardAnswer(call) => self.end(host, call, Got::Answer),
            RelayEffect::Refuse { call, refusal } => {
                self.end(host, call, Got::Refusal(refusal.kind, refusal.ran));
            }
            RelayEffect::Cancel(attempt) => {
                self.running.remove(&(host, attempt));
                if let Some((to, call)) = self.targets.remove(&(host, attempt)) {
                    self.node(to).event(RelayEvent::CallerLeft(call));
                    self.forwarded.remove(&(to, call));
                    self.site.send_effects(to);
                }
            }
            RelayEffect::Publish { message, .. } => self.count_crashes(&message),
            _ => {}
        }
    }

    /// Whether a host has an idle connection to a server while new ones are refused.
    fn has_idle_connection(&self, host: usize, server: &str) -> bool {
        let running = self.running.iter();
        let running = running.filter(|((from, _), to)| *from == host && ***to == *server);
        running.count() < OPEN_CONNECTIONS
    }

    /// Has a server run a request.
    fn run(&mut self, host: usize, out: Outgoing) {
        let number = self.fingerprint(host, out.call);
        *self.runs.entry(number).or_default() += 1;
        let server = out.instance.clone();
        self.running.insert((host, out.attempt), out.instance);
        self.sends += 1;
        if number == POISON {
            self.crash(server);
        } else if self.loss_interval > 0 && self.sends % self.loss_interval < LOST_IN_A_ROW {
            let (ran, how) = (Ran::Unknown, AttemptFailure::Cut);
            self.after(SERVER_MS, host, Incident::Failed(out.attempt, ran, how));
        } else {
            self.after(SERVER_MS, host, Incident::Answered(out.attempt));
        }
    }

    fn count_crashes(&mut self, message: &Gossip) {
        self.crash_reports += message.crashes.len();
    }

    fn fingerprint(&self, host: usize, call: CallKey) -> u8 {
        if let Some((_, number)) = self.open.get(&(host, call)) {
            return *number;
        }
        let (from, attempt) = self.forwarded[&(host, call)];
        let node = self.site.hosts[from].as_ref().expect("a running host");
        let call = node.core.relay.attempts[attempt].call;
        self.open[&(from, call)].1
    }

    /// Handles the end of a request at a host: its caller's, or one that another host forwarded.
    fn end(&mut self, host: usize, call: CallKey, got: Got) {
        if let Some((from, attempt)) = self.forwarded.remove(&(host, call)) {
            self.targets.remove(&(from, attempt));
            let incident = match got {
                Got::Answer => Incident::Answered(attempt),
                Got::Refusal(kind, ran) => Incident::Refused(
                    attempt,
                    ForwardRefusal {
                        kind,
                        ran,
                        retry_after: None,
                    },
                ),
            };
            self.after(HOP_MS, from, incident);
            return;
        }
        let (at, _) = self.open.remove(&(host, call)).expect("an open request");
        self.results.push((host, at, self.site.now, got));
    }

    /// Advances the time; each host gets a request every `interval` milliseconds.
    pub fn pass(&mut self, millis: u64, interval: u64) {
        let hosts = self.site.hosts.len();
        for _ in 0..millis {
            self.site.pass(1);
            self.act();
            let all = std::mem::take(&mut self.incidents).into_iter();
            let now = self.site.now;
            let (due, later): (Vec<_>, Vec<_>) = all.partition(|(at, ..)| *at <= now);
            self.incidents = later;
            for (_, host, incident) in due {
                self.happen(host, incident);
                self.act();
            }
            for host in 0..hosts {
                let offset = host as u64 * interval / hosts as u64;
                if (now + offset).is_multiple_of(interval) {
                    self.send(host);
                }
            }
        }
    }

    pub fn happen(&mut self, host: usize, incident: Incident) {
        match incident {
            Incident::Failed(attempt, ran, end) => {
                self.running.remove(&(host, attempt));
                self.node(host).fail_attempt(attempt, ran, end);
            }
            Incident::Answered(attempt) => {
                self.running.remove(&(host, attempt));
                let status = 200;
                self.node(host)
                    .event(RelayEvent::Answered { attempt, status });
            }
            Incident::Alive(instance, is_alive) => self
                .node(host)
                .event(RelayEvent::ServerProbed { instance, is_alive }),
            Incident::Replaced(server) => self.site.replace_server(&server),
            Incident::Probed(instance, reached) => self
                .node(host)
                .event(RelayEvent::LinkProbed { instance, reached }),
            Incident::Refused(attempt, refusal) => self
                .node(host)
                .event(RelayEvent::ForwardRefused { attempt, refusal }),
            Incident::Forwarded(from, attempt, arrival) => {
                let node = self.site.hosts[from].as_ref().expect("a running host");
                if !node.core.relay.attempts.contains_key(attempt) {
                    return;
                }
                let call = self.node(host).arrive(*arrival);
                self.forwarded.insert((host, call), (from, attempt));
                self.targets.insert((from, attempt), (host, call));
            }
        }
        self.site.send_effects(host);
    }

    /// Returns the fraction of requests served that arrived at some hosts since a time.
    pub fn served(&self, hosts: impl Fn(usize) -> bool, since: u64) -> f64 {
        let ended = self.results.iter();
        let ended = ended.filter(|(host, at, ..)| hosts(*host) && *at >= since);
        let got: Vec<Got> = ended.map(|(.., got)| *got).collect();
        let served = got.iter().filter(|got| **got == Got::Answer).count();
        served as f64 / got.len().max(1) as f64
    }

    pub fn assert_ran_once(&self) {
        let twice = self.runs.values().filter(|runs| **runs > 1).count();
        assert_eq!(twice, 0, "requests ran twice");
    }
}
