//! Servers whose entries are removed while a host does not see it.

use super::domain::Domain;
use super::*;
use crate::core::relay::event::{Gossip, GossipKind, UptimeReport};
use crate::core::relay::view::Uptime;

/// Time after its return within which a host sends nothing more to a server that left meanwhile.
const BOUND: u64 = 1000;
/// Requests by which a host shows which servers it uses.
const REQUESTS: usize = 30;

/// Returns whether a host sends any of some requests to a server.
fn uses(domain: &mut Domain, host: usize, server: &str) -> bool {
    let sent = (0..REQUESTS).filter_map(|_| domain.arrive(host));
    sent.filter(|to| **to == *server).count() > 0
}

/// Returns whether a host would send a request to a server.
fn takes(domain: &Domain, host: usize, server: &str) -> bool {
    let site = domain.hosts[host].as_ref().expect("a host that runs");
    let instances = &site.core.relay.instances;
    let key = instances.find(server);
    key.is_some_and(|key| instances.arena[key].is_available(site.core.now))
}

/// A host is cut off while a server's entry is removed, and reads every key once it is back.
/// Guards against taking that for an entry that lapsed in an outage of the store, which comes back.
#[test]
fn a_host_that_was_cut_off_uses_no_server_that_left() {
    for length in [500, 2500, 8000] {
        let mut domain = Domain::of(3);
        domain.pass(3000);
        assert!(uses(&mut domain, 1, "r"));
        domain.cut_off(1);
        domain.pass(length / 2);
        domain.remove("r");
        domain.pass(length / 2);
        domain.reconnect();
        domain.pass(BOUND);
        assert!(!uses(&mut domain, 1, "r"), "after {length} ms");
    }
}

/// Returns hosts at the end of an outage of the store in which an entry was removed.
fn after_outage() -> Domain {
    let mut domain = Domain::of(3);
    domain.pass(3000);
    domain.store.silent = true;
    domain.pass(2500);
    domain.remove("r");
    domain.pass(2500);
    domain.store.silent = false;
    domain
}

/// Entries lapse in an outage of the store though their servers are well, and come back two seconds after it.
/// Guards against dropping them meanwhile: hosts would have no server left.
#[test]
fn an_entry_that_lapsed_in_an_outage_is_used_until_it_is_back() {
    let mut domain = after_outage();
    domain.pass(BOUND);
    for host in 0..3 {
        assert!(uses(&mut domain, host, "r"), "host {host}");
    }
    domain.store.removed.clear();
    domain.store.revision += 1;
    domain.pass(3000);
    for host in 0..3 {
        assert!(takes(&domain, host, "r"), "host {host}");
    }
}

/// An entry that lapsed in an outage and does not come back is that of a server that is gone.
#[test]
fn an_entry_that_does_not_come_back_after_an_outage_is_dropped() {
    let mut domain = after_outage();
    domain.pass(BOUND + 2200);
    for host in 0..3 {
        assert!(!uses(&mut domain, host, "r"), "host {host}");
    }
}

/// The only host of a failure domain is cut off from the store. Guards against its knowing from nobody that
/// the store was up: hosts of other failure domains report it.
#[test]
fn a_host_alone_in_its_domain_learns_that_the_store_was_up() {
    let mut domain = Domain::of(2);
    domain.pass(6000);
    let other = domain.hosts[0].as_ref().expect("a host that runs");
    let uptime = other.core.relay.view.uptime.report(other.core.now);
    assert!(uptime.is_some_and(|uptime| uptime.length >= Duration::from_secs(4)));

    let mut alone = Site::named("host-9", 3);
    alone.key(
        "hosts/host-00",
        Some(r#"{"addr":"10.9.0.0:1","domain":"y"}"#),
        4,
    );
    alone.pass(8000);
    alone.configure(catalog(1));
    alone.register(vec![plain("p"), plain("r")]);
    alone.changed(Changes {
        whole: true,
        instances: vec![plain("p")],
        keys: vec![KeyChange {
            key: "hosts/host-00".into(),
            value: Some(br#"{"addr":"10.9.0.0:1","domain":"y"}"#.as_slice().into()),
            revision: 4,
        }],
        ..Changes::default()
    });
    let served = |site: &mut Site| {
        let sent = (0..30).filter_map(|_| {
            site.arrive(call("/once/x"));
            site.sent()
        });
        sent.filter(|sent| *sent.instance == *"r").count()
    };
    assert!(served(&mut alone) > 0);
    alone.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-00".into(),
        incarnation: 1,
        number: 1,
        kind: GossipKind::Domain("y".into()),
        uptime,
        ..Gossip::default()
    })));
    assert_eq!(served(&mut alone), 0);
}

/// A host's registration runs out while it is cut off from the store alone. Guards against telling it nothing any
/// more: it would act on what it knew until it reaches the store again.
#[test]
fn a_host_that_is_heard_is_told_after_its_registration_ran_out() {
    let mut site = Site::new();
    let key = "hosts/host-2";
    site.key(key, Some(r#"{"addr":"127.0.0.1:9","domain":"z"}"#), 3);
    let tells = |out: &Effects| did(out, |effect| matches!(effect, RelayEffect::Publish { .. }));
    let hear = |site: &mut Site, number| {
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            host: "host-2".into(),
            incarnation: 1,
            number,
            ..Gossip::default()
        })));
    };
    hear(&mut site, 1);
    site.key(key, None, 4);
    for number in 2..8 {
        let out = site.pass(500);
        assert!(tells(&out), "word {number}");
        hear(&mut site, number);
    }
    // Once it is silent it is gone.
    site.pass(2500);
    assert!(!tells(&site.pass(1000)));
    assert_eq!(site.core.relay.peers.hosts(), 1);
}

macro_rules! uptimes {
    ($($name:ident: $spans:expr => $length:expr;)*) => {
        $(#[test] fn $name() {
            let mut uptime = Uptime::default();
            let now = Time::from_millis(100_000);
            for (since, until) in $spans {
                uptime.reported(UptimeReport {
                    length: Duration::from_millis(until - since),
                    age: Duration::from_millis(100_000 - until),
                }, now);
            }
            assert_eq!(uptime.length(), Duration::from_millis($length));
        })*
    };
}

uptimes! {
    one_answer_proves_no_span: [(50_000, 50_000)] => 0;
    answers_without_a_gap_are_one_span: [(50_000, 50_000), (51_000, 51_000), (52_400, 52_400)] => 2400;
    an_outage_begins_a_span_anew: [(50_000, 55_000), (57_000, 57_000), (58_000, 58_000)] => 1000;
    a_span_before_an_outage_is_not_taken_back: [(57_000, 58_000), (50_000, 55_000)] => 1000;
    a_longer_span_that_overlaps_counts: [(57_000, 58_000), (40_000, 57_500)] => 18_000;
}
