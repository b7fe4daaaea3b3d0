//! Streams of a service whose servers have several software versions.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::ForwardRefusal;

/// Milliseconds within which a taken-up stream is sent to a server or refused.
const TAKE_UP_MS: u64 = 200;
/// Milliseconds in which hosts learn of a change of the listed servers.
const LISTING_MS: u64 = 2000;
/// Milliseconds after which no stream goes on that began before.
const RETENTION_MS: u64 = 31_000;

/// A stream under way.
#[derive(Debug, Clone)]
struct Stream {
    host: usize,
    id: Box<str>,
    attempt: AttemptKey,
    server: Box<str>,
}

/// What became of a stream that was to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
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
struct Site {
    hosts: TestDomain,
    count: u32,
}

impl Site {
    /// Returns hosts of so many failure domains before servers of these versions, one character each, that have been
    /// listed for long.
    fn new(hosts: usize, domains: usize, versions: &str) -> Self {
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
    fn list(&mut self, versions: &str) {
        let servers = versions.chars().enumerate();
        let servers: Vec<(String, String)> = servers
            .map(|(number, version)| (format!("{version}{number}"), version.to_string()))
            .collect();
        self.hosts.store.set_servers(&servers);
    }

    fn version(server: &str) -> &str {
        &server[..1]
    }

    fn host(&mut self, host: usize) -> &mut TestHost {
        let now = self.hosts.now;
        let node = self.hosts.hosts[host].as_mut().expect("a running host");
        node.now = now;
        node
    }

    fn request(&mut self, resumes: Option<&str>) -> Arrival {
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
    fn arrive(&mut self, host: usize, request: Arrival) -> (Outcome, AttemptKey) {
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
    fn outcome(&self, host: usize) -> Option<(Outcome, AttemptKey)> {
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
    fn begin(&mut self, host: usize) -> Stream {
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
    fn begin_at(&mut self, host: usize, version: &str) -> Stream {
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

    fn event(&mut self, host: usize, attempt: AttemptKey, number: u64) {
        self.host(host)
            .event(RelayEvent::StreamEvent { attempt, number });
        self.hosts.send_effects(host);
    }

    fn finish(&mut self, stream: &Stream) {
        self.host(stream.host).stream_ended(stream.attempt);
        self.hosts.send_effects(stream.host);
    }

    /// Has the server of a stream break it off; returns what becomes of the stream.
    fn break_off(&mut self, stream: &Stream, how: AttemptFailure) -> (Outcome, AttemptKey) {
        self.hosts.actions.clear();
        let attempt = stream.attempt;
        self.host(stream.host)
            .fail_attempt(attempt, Ran::Unknown, how);
        self.hosts.send_effects(stream.host);
        self.outcome(stream.host)
            .unwrap_or((Outcome::Nothing, AttemptKey::default()))
    }

    /// Has the caller of a stream leave, whose connection broke.
    fn leave(&mut self, stream: &Stream) {
        let node = self.host(stream.host);
        let call = node.core.relay.attempts[stream.attempt].call;
        node.event(RelayEvent::CallerLeft(call));
        self.hosts.send_effects(stream.host);
    }

    /// Has a caller take up a stream at a host.
    fn take_up(&mut self, host: usize, id: &str) -> Outcome {
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

/// Has each server that a stream of version `a` goes on at refuse it; asserts that the answer is truncated in the end.
fn assert_ends(site: &mut Site, mut next: (Outcome, AttemptKey)) {
    for _ in 0..6 {
        let (Outcome::Sent(server), attempt) = &next else {
            break;
        };
        assert_eq!(Site::version(server), "a");
        site.hosts.actions.clear();
        let (ran, how) = (Ran::No, AttemptFailure::Refused);
        site.host(0).fail_attempt(*attempt, ran, how);
        site.hosts.send_effects(0);
        let nothing = (Outcome::Nothing, AttemptKey::default());
        next = site.outcome(0).unwrap_or(nothing);
    }
    assert_eq!(next.0, Outcome::Truncated);
}

fn assert_version(outcome: &Outcome, version: &str) {
    match outcome {
        Outcome::Sent(server) => assert_eq!(Site::version(server), version),
        other => panic!("expected a server of version {version}, got {other:?}"),
    }
}

/// Defines one test for each end of an attempt, and the versions of the servers.
macro_rules! within_one_answer {
    ($($name:ident: $versions:literal, $how:ident => $goes_on:literal;)*) => {$(
        /// Guards against answers that hold events of two software versions.
        #[test]
        fn $name() {
            for draws in 0..8 {
                let mut site = Site::new(1, 1, $versions);
                for _ in 0..draws {
                    let stream = site.begin(0);
                    site.finish(&stream);
                }
                let stream = site.begin_at(0, "a");
                let outcome = site.break_off(&stream, AttemptFailure::$how);
                if $goes_on {
                    assert_version(&outcome.0, "a");
                } else {
                    assert_ends(&mut site, outcome);
                }
            }
        }
    )*};
}

within_one_answer! {
    a_broken_stream_goes_on_at_its_version: "aabbbb", Cut => true;
    a_silent_stream_goes_on_at_its_version: "aabbbb", Silent => true;
    a_forgotten_stream_goes_on_at_its_version: "aabbbb", Forgotten => true;
    a_broken_stream_ends_without_a_server_of_its_version: "abbbb", Cut => false;
    a_silent_stream_ends_without_a_server_of_its_version: "abbbb", Silent => false;
}

/// The server that goes on with a stream is full, and so is each other one of its version. Guards against a host that then
/// takes one of another version.
#[test]
fn a_refused_stream_stays_at_its_version() {
    let mut site = Site::new(1, 1, "aaabbb");
    let stream = site.begin_at(0, "a");
    let next = site.break_off(&stream, AttemptFailure::Cut);
    assert_ends(&mut site, next);
}

/// The servers of a stream's version leave. Guards against a stream that a host moves to another version when its server
/// falls silent.
#[test]
fn a_silent_stream_is_not_given_up_for_a_server_of_another_version() {
    let mut site = Site::new(1, 1, "abbbb");
    let stream = site.begin_at(0, "a");
    site.hosts.actions.clear();
    site.hosts.pass(3000);
    assert_eq!(site.outcome(0), None);
    site.event(0, stream.attempt, 2);
}

/// How the first host of a stream ends its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// Its connection to the caller breaks.
    Connection,
    /// It is killed.
    Killed,
    /// It is killed and starts again.
    Restarted,
}

/// Begins a stream of each version at each host and breaks it; takes each up at another host. Asserts that none goes on
/// at another version, and returns the fraction that goes on.
fn take_up_elsewhere(site: &mut Site, how: Break, streams: usize) -> f64 {
    let hosts = site.hosts.hosts.len();
    let mut went_on = 0;
    for number in 0..streams {
        let (first, second) = (number % hosts, (number * 7 + 1) % hosts);
        let second = if second == first {
            (first + 1) % hosts
        } else {
            second
        };
        let version = if number % 2 == 0 { "a" } else { "b" };
        let stream = site.begin_at(first, version);
        site.hosts.pass(20);
        match how {
            Break::Connection => site.leave(&stream),
            Break::Killed => site.hosts.hosts[first] = None,
            Break::Restarted => site.hosts.restart(first),
        }
        let outcome = site.take_up(second, &stream.id);
        if outcome != Outcome::Refused {
            assert_version(&outcome, version);
            went_on += 1;
        }
        if how == Break::Killed {
            site.hosts.restart(first);
        }
        site.hosts.pass(LISTING_MS);
    }
    f64::from(went_on) / streams as f64
}

/// Defines one test for each arrangement of hosts, and each way in which the first host's part ends.
macro_rules! over_tries {
    ($($name:ident: $hosts:expr, $domains:expr, $how:ident, $streams:expr;)*) => {$(
        /// Guards against a stream that another host takes up at another software version, and against hosts that refuse
        /// all such streams.
        #[test]
        fn $name() {
            let mut site = Site::new($hosts, $domains, "aaabbb");
            let went_on = take_up_elsewhere(&mut site, Break::$how, $streams);
            assert!(went_on >= 0.8, "{went_on} went on");
        }
    )*};
}

over_tries! {
    a_stream_is_taken_up_at_another_host: 2, 1, Connection, 20;
    a_stream_is_taken_up_in_a_small_domain: 8, 1, Connection, 24;
    a_stream_is_taken_up_in_small_domains: 9, 3, Connection, 24;
    a_stream_is_taken_up_in_large_domains: 45, 3, Connection, 16;
    a_stream_of_a_killed_host_is_taken_up_in_a_small_domain: 8, 1, Killed, 24;
    a_stream_of_a_killed_host_is_taken_up_in_small_domains: 9, 3, Killed, 24;
    a_stream_of_a_killed_host_is_taken_up_in_large_domains: 45, 3, Killed, 16;
    a_stream_of_a_restarted_host_is_taken_up: 8, 3, Restarted, 24;
}

/// Five of eight hosts are killed at once with streams under way. Guards against streams of which only hosts know that
/// are killed together.
#[test]
fn streams_outlive_most_hosts() {
    let mut site = Site::new(8, 3, "aaabbb");
    let streams: Vec<Stream> = (0..40).map(|number| site.begin(number % 5)).collect();
    site.hosts.pass(20);
    for host in 0..5 {
        site.hosts.hosts[host] = None;
    }
    let mut went_on = 0;
    for (number, stream) in streams.iter().enumerate() {
        let outcome = site.take_up(5 + number % 3, &stream.id);
        if outcome != Outcome::Refused {
            assert_version(&outcome, Site::version(&stream.server));
            went_on += 1;
        }
    }
    assert!(went_on >= 20, "{went_on} of 40 went on");
}

/// A stream is taken up a second time, at a third host, as its caller names the attempt that brought the first event.
/// Guards against a host that knows the version of the last attempt alone.
#[test]
fn a_stream_is_taken_up_again() {
    let mut site = Site::new(8, 3, "aaabbb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    site.leave(&stream);
    for host in [3, 5, 0, 7] {
        let outcome = site.take_up(host, &stream.id);
        assert_version(&outcome, "a");
        site.hosts.pass(1500);
    }
}

/// All hosts are restarted at once. Guards against hosts that go on at any version with a stream of which none knows.
#[test]
fn a_stream_that_no_host_knows_is_refused() {
    let mut site = Site::new(8, 3, "aaabbb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    for host in 0..8 {
        site.hosts.restart(host);
    }
    site.hosts.pass(LISTING_MS);
    for host in 0..8 {
        assert_eq!(site.take_up(host, &stream.id), Outcome::Refused);
    }
}

/// Only one version is left, but another one served a moment ago. Guards against hosts that go by what is listed now.
#[test]
fn a_stream_of_a_version_that_left_is_refused() {
    let mut site = Site::new(8, 3, "aabb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    site.leave(&stream);
    site.list("bbbb");
    site.hosts.pass(LISTING_MS);
    for host in 0..8 {
        assert_eq!(site.take_up(host, &stream.id), Outcome::Refused);
    }
    site.hosts.restart(4);
    site.hosts.pass(LISTING_MS);
    assert_eq!(site.take_up(4, &stream.id), Outcome::Refused);
}

/// Guards against hosts that refuse to take a stream up although its service has had one version all along.
#[test]
fn a_stream_of_the_only_version_is_taken_up_without_a_record() {
    let mut site = Site::new(8, 3, "aaa");
    let stream = site.begin(0);
    site.hosts.hosts[0] = None;
    let outcome = site.take_up(1, &stream.id);
    assert_version(&outcome, "a");
    // It names no attempt.
    let request = Arrival {
        resume: Some(1),
        ..site.request(None)
    };
    let (outcome, _) = site.arrive(2, request);
    assert_version(&outcome, "a");
    // A host that has just started asks the others.
    site.hosts.restart(3);
    site.hosts.pass(LISTING_MS);
    let outcome = site.take_up(3, &stream.id);
    assert_version(&outcome, "a");
}

/// Guards against a stream under way that is refused because the second version was listed only after it began.
#[test]
fn a_stream_that_began_before_the_second_version_is_taken_up() {
    let mut site = Site::new(8, 3, "aaa");
    let stream = site.begin(0);
    site.list("aaabbb");
    site.hosts.pass(LISTING_MS);
    site.hosts.hosts[0] = None;
    let outcome = site.take_up(1, &stream.id);
    assert_version(&outcome, "a");
}

/// The route of a stream has two services, one of which began it. Guards against a take-up that the weights lead to the
/// other one.
#[test]
fn a_stream_is_taken_up_at_the_service_that_began_it() {
    let mut site = Site::new(2, 1, "aaabbb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    site.leave(&stream);
    for weights in [[1, 0], [0, 1]] {
        let mut catalog = catalog(1000 + u64::from(weights[0]));
        for route in &mut catalog.routes {
            route.split = vec![("plain".into(), weights[0]), ("model".into(), weights[1])];
        }
        site.host(1).configure(catalog);
        let outcome = site.take_up(1, &stream.id);
        assert_version(&outcome, "a");
    }
    let mut moved = catalog(2000);
    for route in &mut moved.routes {
        route.split = vec![("model".into(), 1)];
    }
    site.host(1).configure(moved);
    assert_eq!(site.take_up(1, &stream.id), Outcome::Refused);
}

/// Guards against a caller that names an attempt of its own making and gets events of any version.
#[test]
fn a_stream_of_an_unknown_attempt_is_refused() {
    let mut site = Site::new(8, 3, "aaabbb");
    for name in ["forged", "id-1000", ""] {
        assert_eq!(site.take_up(2, name), Outcome::Refused);
    }
    let request = Arrival {
        resume: Some(1),
        ..site.request(None)
    };
    assert_eq!(site.arrive(2, request).0, Outcome::Refused);
}

/// A server registers without a version. Guards against streams that go on between servers whose versions are unknown.
#[test]
fn a_stream_of_a_server_without_a_version_goes_on_nowhere_else() {
    let mut site = Site::new(2, 1, "????");
    let stream = site.begin(0);
    let (outcome, _) = site.break_off(&stream, AttemptFailure::Cut);
    assert_eq!(outcome, Outcome::Truncated);
    assert_eq!(site.take_up(1, &stream.id), Outcome::Refused);
}

/// Messages between hosts are lost. Guards against hosts that take the absence of an answer for a permission.
#[test]
fn a_stream_is_refused_by_a_host_that_hears_from_no_other() {
    let mut site = Site::new(8, 3, "aaabbb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    for host in 0..8 {
        site.hosts.cuts.extend([(host, 6), (6, host)]);
    }
    site.leave(&stream);
    let outcome = site.take_up(6, &stream.id);
    if outcome != Outcome::Refused {
        // It is one of the hosts that got the record before.
        assert_version(&outcome, "a");
    }
    let outcome = site.take_up(1, &stream.id);
    assert_version(&outcome, "a");
}
/// A host reaches no server and forwards its callers' requests. Guards against a stream that the other host continues
/// at another version.
#[test]
fn a_forwarded_stream_goes_on_at_its_version() {
    let mut site = Site::new(2, 1, "aaabbb");
    let stream = site.begin_at(0, "a");
    site.hosts.pass(20);
    site.hosts.actions.clear();
    let servers = ["a0", "a1", "a2", "b3", "b4", "b5"];
    for server in servers {
        site.host(0).event(RelayEvent::LinkProbed {
            instance: server.into(),
            reached: false,
        });
        site.hosts.send_effects(0);
        site.hosts.pass(30);
    }
    let forwarded = site
        .hosts
        .actions
        .iter()
        .find_map(|(_, effect)| match effect {
            RelayEffect::Forward(out) => Some(out.clone()),
            _ => None,
        });
    let out = forwarded.expect("the stream is forwarded");
    assert_eq!(out.resume, Some(1));
    let request = Arrival {
        resume: out.resume,
        forwarded: Some(out.spent),
        version: out.version,
        ..site.request(None)
    };
    let (outcome, _) = site.arrive(1, request);
    assert_version(&outcome, "a");
    // Such a refusal holds at each host, so that the stream ends.
    let refusal = ForwardRefusal {
        kind: crate::error::Kind::NoVersion,
        ran: Ran::No,
        retry_after: None,
    };
    let attempt = out.attempt;
    site.hosts.actions.clear();
    site.host(0)
        .event(RelayEvent::ForwardRefused { attempt, refusal });
    site.hosts.send_effects(0);
    assert_eq!(
        site.outcome(0).map(|found| found.0),
        Some(Outcome::Truncated)
    );
    assert_eq!(stream.host, 0);
}

/// Callers leave while their take-ups wait for other hosts. Guards against a list of them that grows for good.
#[test]
fn take_ups_of_callers_that_left_are_forgotten() {
    let mut site = Site::new(8, 3, "aaabbb");
    for _ in 0..50 {
        let request = site.request(Some("unknown"));
        let call = site.host(0).arrive(request);
        site.host(0).event(RelayEvent::CallerLeft(call));
    }
    assert!(site.host(0).core.relay.versions.pending_count() > 0);
    site.hosts.pass(TAKE_UP_MS);
    assert_eq!(site.host(0).core.relay.versions.pending_count(), 0);
}
