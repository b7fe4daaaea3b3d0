//! Changes of the store that the watcher of a failure domain sends to the other hosts.

use super::*;
use crate::core::relay::event::{Gossip, ReplicatedChanges, StoreChange};
use crate::core::relay::tests::domain::Domain;

/// Sizes of a failure domain in which each host sends to all others, and in which hosts report to an aggregator.
const DOMAIN_SIZES: [usize; 2] = [5, 30];

/// Returns hosts after they have discovered each other and read the store.
fn settled(hosts: usize) -> Domain {
    let mut domain = Domain::of(hosts);
    domain.pass(3000);
    // The next change ends the watches that the hosts started with.
    domain.change(&[]);
    domain.pass(1500);
    domain
}

/// Each change ends the watch of every host. Guards against calls to the store that grow with hosts times changes.
#[test]
fn one_host_watches_for_its_failure_domain() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        let before = domain.store.asked.clone();
        for _ in 0..10 {
            let took = domain.change(&[]);
            assert!(took <= 300, "{took} ms with {hosts} hosts");
            domain.pass(700);
        }
        let counts = domain.store.asked.iter().zip(&before);
        let calls: Vec<u32> = counts.map(|(after, before)| after - before).collect();
        assert!(calls[1..].iter().all(|calls| *calls == 0), "{calls:?}");
        let calls = calls[0];
        assert!((10..=11).contains(&calls), "{calls}");
    }
}

/// The watcher is killed, so that no host sends the next change to the others.
#[test]
fn a_killed_watcher_hides_no_change() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        domain.hosts[0] = None;
        domain.pass(100);
        let took = domain.change(&[]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
        domain.pass(4000);
        let before: u32 = domain.store.asked.iter().sum();
        let took = domain.change(&[]);
        assert!(took <= 300, "{took} ms with {hosts} hosts");
        domain.pass(1000);
        // Another host is the watcher now.
        let calls = domain.store.asked.iter().sum::<u32>() - before;
        assert!(calls <= 3, "{calls} calls with {hosts} hosts");
    }
}

/// The store answers all hosts except the watcher, which continues to report an old view.
#[test]
fn a_watcher_cut_from_the_store_hides_no_change() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        domain.store.unreachable.insert(0);
        domain.pass(100);
        let took = domain.change(&[0]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
        // The other hosts keep watching the store themselves.
        domain.pass(2000);
        let took = domain.change(&[0]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
    }
}

/// The store answers all hosts except the watcher. Guards against the watcher acting on an old view although its
/// neighbours send it newer changes.
#[test]
fn a_watcher_cut_from_the_store_learns_of_changes_by_others() {
    let mut domain = settled(5);
    domain.store.unreachable.insert(0);
    domain.pass(3000);
    for _ in 0..10 {
        let took = domain.change(&[]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms");
        domain.pass(700);
    }
    // Once it reaches the store again, it is the watcher again.
    domain.store.unreachable.clear();
    domain.pass(4000);
    let before = domain.store.asked.clone();
    for _ in 0..5 {
        let took = domain.change(&[]);
        assert!(took <= 300, "{took} ms");
        domain.pass(700);
    }
    let counts = domain.store.asked.iter().zip(&before);
    let calls: Vec<u32> = counts.map(|(after, before)| after - before).collect();
    assert!(calls[1..].iter().all(|calls| *calls == 0), "{calls:?}");
}

/// The watcher is frozen for two seconds, and resumes with an old view.
#[test]
fn a_frozen_watcher_reverts_no_host() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        let frozen = domain.hosts[0].take();
        domain.pass(100);
        let took = domain.change(&[]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
        domain.pass(2000);
        let newest = domain.version(1);
        domain.hosts[0] = frozen;
        for _ in 0..200 {
            domain.pass(10);
            for host in 1..hosts {
                assert_eq!(domain.version(host), newest, "host {host} of {hosts}");
            }
        }
        let took = domain.until_all_know(&[]);
        assert_eq!(took, 0, "the resumed host must know the newest version");
    }
}

/// A third of all datagrams is lost, so that all messages with a change may miss a host.
#[test]
fn lost_messages_hide_no_change() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        domain.loses = 3;
        for _ in 0..20 {
            let took = domain.change(&[]);
            assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
            domain.pass(137);
        }
    }
}

/// The watcher reaches the store but not its neighbours.
#[test]
fn hosts_that_the_watcher_does_not_reach_watch_themselves() {
    for hosts in DOMAIN_SIZES {
        let mut domain = settled(hosts);
        domain.cuts = (1..hosts).map(|host| (0, host)).collect();
        domain.pass(100);
        let took = domain.change(&[]);
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms with {hosts} hosts");
    }
}

/// The store hangs for a while. All hosts must have the changes a second after its return.
#[test]
fn an_outage_hides_no_change_from_standby_hosts() {
    for hosts in DOMAIN_SIZES {
        for outage_ms in [300, 1000, 4000] {
            let mut domain = settled(hosts);
            domain.store.silent = true;
            domain.pass(outage_ms / 2);
            domain.store.revision += 1;
            domain.pass(outage_ms / 2);
            domain.store.silent = false;
            let took = domain.until_all_know(&[]);
            assert!(
                took <= MAX_CATCH_UP_MS,
                "{took} ms after {outage_ms} ms with {hosts} hosts"
            );
        }
    }
}

/// All hosts start at the same time. Each reads every key, and few of them watch.
#[test]
fn hosts_that_start_together_make_few_calls() {
    for hosts in DOMAIN_SIZES {
        let mut domain = Domain::of(hosts);
        for _ in 0..20 {
            domain.pass(150);
            domain.store.revision += 1;
        }
        domain.until_all_know(&[]);
        for host in 1..hosts {
            let calls = domain.store.asked[host];
            // One read, and at most two watches before the host receives changes from the watcher.
            assert!(calls <= 3, "host {host} of {hosts}: {calls}");
        }
    }
}

/// Returns a host on standby beside a watcher, and its revision.
fn on_standby() -> (Run, i64) {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
    run.site.key("hosts/host-0", Some(entry), 3);
    let at = run.store.revision;
    (run, at)
}

fn change(revision: i64) -> StoreChange {
    let version = u64::try_from(revision).expect("positive");
    StoreChange {
        revision,
        changes: Changes {
            catalog: Some(catalog(version)),
            ..Changes::default()
        },
        ..StoreChange::default()
    }
}

fn receive(run: &mut Run, number: u64, batch: ReplicatedChanges) {
    let message = Gossip {
        host: "host-0".into(),
        incarnation: 1,
        number,
        passage: Some(batch),
        ..Gossip::default()
    };
    run.site.event(RelayEvent::Gossiped(Box::new(message)));
    let out = run.site.out.clone();
    run.dispatch(&out);
}

fn version(run: &Run) -> u64 {
    let catalog = run.site.core.relay.catalog.as_ref();
    catalog.map_or(0, |catalog| catalog.version)
}

/// A message that arrives out of order, or that repeats known changes, reverts nothing; one that leaves a gap is not
/// applied.
#[test]
fn replicated_changes_are_applied_once_and_in_order() {
    let (mut run, at) = on_standby();
    let batch = |after: i64, to: i64| ReplicatedChanges {
        after,
        at: to,
        events: (after + 1..=to).map(change).collect(),
    };
    receive(&mut run, 1, batch(at, at + 2));
    assert_eq!(version(&run), u64::try_from(at + 2).expect("positive"));
    receive(&mut run, 2, batch(at, at + 1));
    receive(&mut run, 3, batch(at, at + 2));
    assert_eq!(version(&run), u64::try_from(at + 2).expect("positive"));
    receive(&mut run, 4, batch(at + 3, at + 5));
    assert_eq!(version(&run), u64::try_from(at + 2).expect("positive"));
    receive(&mut run, 5, batch(at, at + 4));
    assert_eq!(version(&run), u64::try_from(at + 4).expect("positive"));
}

/// A server's entry is removed and written again, and a host receives both changes twice. Guards against dropping the
/// server.
#[test]
fn changes_received_twice_remove_no_server() {
    let (mut run, at) = on_standby();
    let gone = StoreChange {
        revision: at + 1,
        changes: Changes {
            gone: vec!["s".into()],
            ..Changes::default()
        },
        ..StoreChange::default()
    };
    let back = StoreChange {
        revision: at + 2,
        changes: Changes {
            instances: vec![plain("s")],
            ..Changes::default()
        },
        ..StoreChange::default()
    };
    for (number, to) in [(1, at + 2), (2, at + 3)] {
        let batch = ReplicatedChanges {
            after: at,
            at: to,
            events: vec![gone.clone(), back.clone()],
        };
        receive(&mut run, number, batch);
        let key = run.site.core.relay.instances.find("s").expect("known");
        assert!(!run.site.core.relay.instances.arena[key].leaving);
    }
}
