//! Departures of backend servers that hosts send each other, against older and newer entries of the store.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::departed::{Departed, Evidence, Position};
use crate::core::relay::event::{DepartureReport, Gossip};
use crate::core::relay::instance::short_hash;

/// Revision of the store at which the first entry of server `r` was written.
const LISTED_AT: i64 = 20;

/// Returns a host with another one in its failure domain and a server `r`.
fn beside_another() -> TestHost {
    let mut host = TestHost::new();
    let entry = r#"{"addr":"127.0.0.1:9","domain":"z"}"#;
    host.write_key("hosts/host-2", Some(entry), 3);
    host.register(vec![entry_at(LISTED_AT, 1)]);
    host
}

fn entry_at(revision: i64, started_ms: u64) -> BackendEntry {
    BackendEntry {
        started_ms,
        revision,
        ..plain_entry("r")
    }
}

fn receive(host: &mut TestHost, sequence: u64, era: u64, departures: Vec<DepartureReport>) {
    host.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-2".into(),
        incarnation: 1,
        sequence,
        era,
        departures,
        ..Gossip::default()
    })));
}

fn report(revision: i64, started_ms: u64) -> DepartureReport {
    DepartureReport {
        instance: short_hash("r"),
        started_ms,
        revision: Some(revision),
    }
}

fn uses_r(host: &TestHost) -> bool {
    let instances = &host.core.relay.instances;
    let key = instances.find("r");
    key.is_some_and(|key| instances.arena[key].is_available(host.core.now))
}

/// A step of a case: a report that another host sends, or an entry that the store returns, each with its revision and
/// the start of the server.
#[derive(Debug, Clone, Copy)]
enum Step {
    Report(i64, u64),
    Entry(i64, u64),
}

macro_rules! departures {
    ($($(#[$doc:meta])* $name:ident: $steps:expr => $used:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut host = beside_another();
            for (number, step) in (1..).zip($steps) {
                match step {
                    Step::Report(at, start) => receive(&mut host, number, 0, vec![report(at, start)]),
                    Step::Entry(at, start) => host.register(vec![entry_at(at, start)]),
                }
            }
            assert_eq!(uses_r(&host), $used);
        })*
    };
}

departures! {
    a_reported_server_is_no_longer_used: [Step::Report(25, 1)] => false;
    /// A watch returns what was written before the departure. Guards against using the server again.
    an_entry_older_than_the_departure_is_ignored: [Step::Report(25, 1), Step::Entry(23, 1)] => false;
    /// An entry expired in an outage and was written again. Guards against dropping a server that runs.
    an_entry_newer_than_the_departure_counts: [Step::Report(25, 1), Step::Entry(30, 1)] => true;
    /// The reporting host lags behind. Guards against dropping a server that registered again.
    a_departure_older_than_the_entry_is_ignored: [Step::Entry(30, 1), Step::Report(25, 1)] => true;
    /// The server restarted under its id. Guards against taking the departure of its previous start for its own.
    a_departure_of_an_earlier_start_is_ignored: [Step::Entry(30, 2), Step::Report(35, 1)] => true;
    /// The same, where the restart is not known yet.
    a_later_start_is_used_after_a_departure: [Step::Report(25, 1), Step::Entry(30, 2)] => true;
    a_departure_of_a_start_not_listed_yet_counts: [Step::Report(35, 2), Step::Entry(30, 2)] => false;
}

/// Revisions of different eras do not compare. Guards against dropping servers by a report of an ended era.
#[test]
fn a_departure_of_an_ended_era_is_ignored() {
    let mut host = beside_another();
    host.event(RelayEvent::StoreEra(2));
    receive(&mut host, 1, 1, vec![report(25, 1)]);
    assert!(uses_r(&host));
}

/// Each host that learns of a departure sends it on for a while. Guards against hosts that send it back and forth
/// forever.
#[test]
fn a_departure_is_sent_for_a_limited_time() {
    let mut host = beside_another();
    receive(&mut host, 1, 0, vec![report(25, 1)]);
    let departures = |out: &Effects| {
        let sent = out.iter().map(|effect| match effect {
            Effect::Relay(RelayEffect::Publish { message, .. }) => message.departures.len(),
            _ => 0,
        });
        sent.sum::<usize>()
    };
    assert!(departures(&host.advance(100)) > 0);
    for number in 2..20 {
        receive(&mut host, number, 0, vec![report(25, 1)]);
        host.advance(100);
    }
    assert_eq!(departures(&host.advance(2000)), 0);
}

/// Entries expire while the store is unavailable, and one host's watch returns their removal. Guards against dropping
/// servers at all hosts that are written again two seconds later.
#[test]
fn a_removal_after_a_store_outage_is_not_reported() {
    let mut domain = TestDomain::with_hosts(3);
    domain.pass(3000);
    domain.store.unresponsive = true;
    domain.pass(3000);
    domain.store.unresponsive = false;
    domain.remove("r");
    domain.pass(1000);
    let nodes = domain.hosts.iter().flatten();
    let reports = nodes.map(|node| {
        let departed = node.core.relay.instances.departed();
        departed.reports(1, node.core.now).len()
    });
    assert_eq!(reports.sum::<usize>(), 0);
}

/// Returns host 0, which knows that server `r` left before the store was restored to a copy that lists it, and host 1, which
/// has just started.
fn beside_a_new_host() -> TestDomain {
    let mut domain = TestDomain::with_domains(2, 2);
    domain.pass(3000);
    let copy = domain.store.revision;
    domain.remove("r");
    domain.pass(2000);
    domain.store.removed.clear();
    domain.restore(copy);
    domain.pass(2000);
    domain.cuts.extend([(0, 1), (1, 0)]);
    domain
}

/// Starts host 1 anew, forwards a request of host 0 to it, and returns whether it uses server `r` before and after.
fn uses_r_around_a_forward(domain: &mut TestDomain) -> (bool, bool) {
    domain.restart(1);
    domain.pass(300);
    domain.actions.clear();
    for server in ["p", "q", "r"] {
        let node = domain.hosts[0].as_mut().expect("a running host");
        node.event(RelayEvent::LinkProbed {
            instance: server.into(),
            reached: false,
        });
    }
    domain.arrive(0);
    domain.send_effects(0);
    let forwarded = domain
        .actions
        .drain(..)
        .find_map(|(_, effect)| match effect {
            RelayEffect::Forward(out) => Some(out),
            _ => None,
        });
    let out = forwarded.expect("the request is forwarded");
    let node = domain.hosts[1].as_mut().expect("a running host");
    let before = uses_r(node);
    node.arrive(Arrival {
        forwarded: Some(out.spent),
        departures: out.departures,
        ..plain_request("/once/x")
    });
    (before, uses_r(node))
}

/// A host that has just started reads an entry that the store's restore brought back. Guards against sending a forwarded
/// request to a server that the forwarding host knows to have left.
#[test]
fn a_forwarded_request_brings_departures_along() {
    let mut domain = beside_a_new_host();
    assert_eq!(uses_r_around_a_forward(&mut domain), (true, false));
}

/// The server registers again, and the forwarding host has not read that. Guards against dropping a server that runs.
#[test]
fn a_forwarded_request_drops_no_server_that_registered_again() {
    let mut domain = beside_a_new_host();
    domain.store.unreachable.insert(0);
    domain.list_again();
    assert_eq!(uses_r_around_a_forward(&mut domain), (true, true));
}

/// Guards against headers that grow with the number of servers that left.
#[test]
fn a_forwarded_request_brings_the_latest_departures_only() {
    let mut departed = Departed::default();
    for number in 0..100 {
        let evidence = Evidence::Answer;
        departed.insert(
            (number, 1),
            evidence,
            true,
            Time::from_millis(number.into()),
        );
    }
    let known = departed.known(Position::default()).reports;
    assert_eq!(known.len(), 32);
    assert!(known.iter().all(|report| report.instance >= 68));
}
