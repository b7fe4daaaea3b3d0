//! Hosts, servers of several software versions, and callers whose streams break off.

use super::super::domain::TestDomain;
use super::super::*;

/// Milliseconds within which a taken-up stream is sent to a server or refused.
pub const TAKE_UP_MS: u64 = 400;
/// Milliseconds in which hosts learn of a change of the listed servers.
pub const LISTING_MS: u64 = 2000;
/// Milliseconds after which no stream goes on that began before.
pub const RETENTION_MS: u64 = 31_000;

/// A stream under way.
#[derive(Debug, Clone)]
pub struct Stream {
    pub host: usize,
    pub id: Box<str>,
    pub attempt: AttemptKey,
    pub server: Box<str>,
}

/// What became of a stream that was to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A server got it.
    Sent(Box<str>),
    /// The caller got a refusal as not run.
    Refused,
    /// The answer was truncated.
    Truncated,
    /// Nothing happened.
    Nothing,
}

/// Hosts before servers of several versions.
pub struct Site {
    pub hosts: TestDomain,
    count: u32,
}

impl Site {
    /// Returns hosts of so many failure domains before servers of these versions, one character each, that have been
    /// listed for long.
    pub fn new(hosts: usize, domains: usize, versions: &str) -> Self {
        let mut site = Self {
            hosts: TestDomain::with_domains(hosts, domains),
            count: 0,
        };
        site.hosts.store.set_servers(&[]);
        site.list(versions);
        site.hosts.pass(RETENTION_MS + LISTING_MS);
        site
    }

    /// Lists servers of these versions, one character each, in place of those before.
    pub fn list(&mut self, versions: &str) {
        let servers = versions.chars().enumerate();
        let servers: Vec<(String, String)> = servers
            .map(|(number, version)| (format!("{version}{number}"), version.to_string()))
            .collect();
        self.hosts.store.set_servers(&servers);
    }

    pub fn version(server: &str) -> &str {
        &server[..1]
    }

    pub fn host(&mut self, host: usize) -> &mut TestHost {
        let now = self.hosts.now;
        let node = self.hosts.hosts[host].as_mut().expect("a running host");
        node.now = now;
        node
    }

    pub fn request(&mut self, resumes: Option<&str>) -> Arrival {
        self.count += 1;
        let number = self.count.to_le_bytes();
        let mut print = [0; 16];
        print[..4].copy_from_slice(&number);
        Arrival {
            id: format!("id-{}", self.count).into(),
            resume: resumes.map(|_| 1),
            resumes: resumes.map(Into::into),
            fingerprint: Fingerprint(print),
            ..plain_request("/feed/x")
        }
    }

    /// Has a caller send a request to a host; returns what became of it.
    pub fn arrive(&mut self, host: usize, request: Arrival) -> (Outcome, AttemptKey) {
        self.hosts.actions.clear();
        self.host(host).arrive(request);
        self.hosts.send_effects(host);
        for _ in 0..TAKE_UP_MS {
            if let Some(found) = self.outcome(host) {
                return found;
            }
            self.hosts.pass(1);
        }
        (Outcome::Nothing, AttemptKey::default())
    }

    /// Returns what a host has done with a request since the actions were cleared.
    pub fn outcome(&self, host: usize) -> Option<(Outcome, AttemptKey)> {
        let mut own = self.hosts.actions.iter().filter(|(at, _)| *at == host);
        own.find_map(|(_, effect)| match effect {
            RelayEffect::Send(out) => Some((Outcome::Sent(out.instance.clone()), out.attempt)),
            RelayEffect::Refuse { refusal, .. } => {
                assert_eq!(refusal.ran, Ran::No);
                Some((Outcome::Refused, AttemptKey::default()))
            }
            RelayEffect::AbortAnswer(_) => Some((Outcome::Truncated, AttemptKey::default())),
            _ => None,
        })
    }

    /// Begins a stream at a host; its caller gets the first event.
    pub fn begin(&mut self, host: usize) -> Stream {
        let request = self.request(None);
        let id = request.id.clone();
        let (outcome, attempt) = self.arrive(host, request);
        let Outcome::Sent(server) = outcome else {
            panic!("a new stream was not sent: {outcome:?}");
        };
        self.event(host, attempt, 1);
        Stream {
            host,
            id,
            attempt,
            server,
        }
    }

    /// Begins a stream at a host, at a server of a version.
    pub fn begin_at(&mut self, host: usize, version: &str) -> Stream {
        // Streams under way at the other servers lead to this one.
        let mut others = Vec::new();
        for _ in 0..100 {
            let stream = self.begin(host);
            if Self::version(&stream.server) == version {
                for other in &others {
                    self.finish(other);
                }
                return stream;
            }
            others.push(stream);
        }
        panic!("no stream began at a server of version {version}");
    }

    pub fn event(&mut self, host: usize, attempt: AttemptKey, number: u64) {
        self.host(host)
            .event(RelayEvent::StreamEvent { attempt, number });
        self.hosts.send_effects(host);
    }

    pub fn finish(&mut self, stream: &Stream) {
        self.host(stream.host).stream_ended(stream.attempt);
        self.hosts.send_effects(stream.host);
    }

    /// Has the server of a stream break it off; returns what becomes of the stream.
    pub fn break_off(&mut self, stream: &Stream, how: AttemptFailure) -> (Outcome, AttemptKey) {
        self.hosts.actions.clear();
        let attempt = stream.attempt;
        self.host(stream.host)
            .fail_attempt(attempt, Ran::Unknown, how);
        self.hosts.send_effects(stream.host);
        self.outcome(stream.host)
            .unwrap_or((Outcome::Nothing, AttemptKey::default()))
    }

    /// Has the caller of a stream leave, whose connection broke.
    pub fn leave(&mut self, stream: &Stream) {
        let node = self.host(stream.host);
        let call = node.core.relay.attempts[stream.attempt].call;
        node.event(RelayEvent::CallerLeft(call));
        self.hosts.send_effects(stream.host);
    }

    /// Has all datagrams between a host and the others be lost.
    pub fn cut_from_hosts(&mut self, host: usize) {
        let others = (0..self.hosts.hosts.len()).filter(|other| *other != host);
        let pairs: Vec<_> = others
            .flat_map(|other| [(host, other), (other, host)])
            .collect();
        self.hosts.cuts.extend(pairs);
    }

    /// Has a caller take up a stream at a host.
    pub fn take_up(&mut self, host: usize, id: &str) -> Outcome {
        let request = self.request(Some(id));
        let (outcome, attempt) = self.arrive(host, request);
        if let Outcome::Sent(_) = outcome {
            self.event(host, attempt, 2);
            self.host(host).stream_ended(attempt);
            self.hosts.send_effects(host);
        }
        outcome
    }
}
