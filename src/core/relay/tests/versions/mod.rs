//! Streams of a service whose servers have several software versions.

mod kills;
mod out_of_step;
mod routes;
mod site;
mod walks;

use super::*;
use crate::core::relay::event::ForwardRefusal;
use site::{LISTING_MS, Outcome, RETENTION_MS, Site, Stream, TAKE_UP_MS};

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
    // Such a refusal holds at each host, so that the stream ends with its own server's attempt.
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
    assert_eq!(site.outcome(0), None);
    let outcome = site.break_off(&stream, AttemptFailure::Cut);
    assert_eq!(outcome.0, Outcome::Truncated);
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
