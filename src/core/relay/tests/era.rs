//! Hosts after the store is restored from an older copy.

use super::domain::TestDomain;
use super::*;
use crate::core::event::Job;
use crate::core::relay::event::{Gossip, ReplicatedChanges, StoreCall, StoreChange, UptimeReport};
use crate::core::relay::view::era::fence;
use crate::core::relay::{RelayJob, RelayTimer};
use crate::store::TxnReply;

/// Time within which a host that sees a new era has read every key again and is registered again.
const MAX_CATCH_UP_MS: u64 = 1000;

fn store_calls(out: &Effects) -> Vec<StoreCall> {
    let calls = out.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::CallStore { call: ask, .. }) => Some(ask.clone()),
        _ => None,
    });
    calls.collect()
}

fn grants(out: &Effects) -> usize {
    let grants = out
        .iter()
        .filter(|effect| matches!(effect, Effect::GrantLease { .. }));
    grants.count()
}

/// Returns a host that has seen an era of the store.
fn in_era() -> TestHost {
    let mut site = TestHost::new();
    site.event(RelayEvent::StoreEra(1));
    site
}

/// Returns such a host with a peer.
fn in_era_beside_another() -> TestHost {
    let mut site = in_era();
    site.write_key(
        "hosts/host-0",
        Some(r#"{"addr":"127.0.0.1:9","domain":"z"}"#),
        3,
    );
    site
}

/// Guards against a host that keeps a view, a watch and a registration of an ended era.
#[test]
fn a_host_reads_and_registers_anew_in_a_new_era() {
    let mut site = in_era();
    site.event(RelayEvent::StoreEra(2));
    assert_eq!(store_calls(&site.out), [StoreCall::Page { after: None }]);
    assert!(site.has_effect(|effect| matches!(effect, RelayEffect::CancelStoreCall(_))));
    let out = site.advance(MAX_CATCH_UP_MS);
    assert_eq!(grants(&out), 1);
}

/// The first era that a host sees, the current one and an earlier one change nothing.
#[test]
fn only_a_later_era_is_news() {
    let mut site = in_era();
    for era in [1, 0, 1] {
        site.event(RelayEvent::StoreEra(era));
        assert!(store_calls(&site.out).is_empty(), "era {era}");
    }
    site.event(RelayEvent::StoreEra(3));
    site.event(RelayEvent::StoreEra(2));
    assert!(store_calls(&site.out).is_empty());
}

/// The first call of a host is answered in the first era that it sees. Guards against dropping that answer, which
/// would delay the registration until the next renewal.
#[test]
fn the_first_era_drops_no_answer() {
    let mut site = TestHost::blank();
    let lease_job = site.out.iter().find_map(|effect| match effect {
        Effect::GrantLease { job, .. } => Some(*job),
        _ => None,
    });
    let lease_job = lease_job.expect("a lease request");
    site.event(RelayEvent::StoreEra(3));
    site.store_reply(lease_job, StoreResult::Lease(5));
    let written = |effect: &Effect| matches!(effect, Effect::Txn { .. });
    assert!(site.out.iter().any(written));
}

/// An answer delayed by an outage arrives after the store's return. Guards against an authority that relies on a lease
/// of an ended era.
#[test]
fn an_answer_of_an_ended_era_gives_no_authority() {
    let mut site = in_era();
    let lease = RelayJob::AuthorityLease(Time::from_millis(site.now));
    site.store_reply(Job::Relay(lease, 0), StoreResult::Lease(9));
    site.event(RelayEvent::StoreEra(2));
    site.store_reply(
        Job::Relay(RelayJob::Authority, 0),
        StoreResult::Txn(TxnReply {
            revision: 30,
            succeeded: true,
            replies: Vec::new(),
        }),
    );
    let taken = site.out.iter().any(|effect| match effect {
        Effect::LogFields(note) => note.name == "planner.taken",
        _ => false,
    });
    assert!(!taken);
    // No lease is renewed that the store has lost.
    site.apply(Event::Timer(Timer::Relay(RelayTimer::Authority)));
    assert!(
        site.out
            .iter()
            .all(|effect| !matches!(effect, Effect::RenewLease { .. }))
    );
}

macro_rules! fences {
    ($($name:ident: $lower:expr, $higher:expr;)*) => {
        $(#[test] fn $name() {
            let ((era, revision), (later, other)) = ($lower, $higher);
            assert!(fence(era, revision) < fence(later, other));
        })*
    };
}

fences! {
    a_fencing_number_grows_with_the_revision: (1, 5), (1, 6);
    a_fencing_number_grows_with_the_era: (1, 5_000_000), (2, 1);
    an_unknown_era_is_below_all: (0, 5_000_000), (1, 1);
}

/// Returns a message of another host in an era.
fn gossip(number: u64, era: u64, at: i64) -> Gossip {
    let change = StoreChange {
        revision: at,
        changes: Changes {
            catalog: Some(catalog(u64::try_from(at).expect("positive"))),
            ..Changes::default()
        },
        ..StoreChange::default()
    };
    Gossip {
        host: "host-0".into(),
        incarnation: 1,
        sequence: number,
        era,
        replicated: Some(ReplicatedChanges {
            after: 0,
            revision: at,
            events: vec![change],
        }),
        uptime: Some(UptimeReport {
            length: Duration::from_secs(9),
            age: Duration::ZERO,
        }),
        ..Gossip::default()
    }
}

/// Two hosts are in different eras for a moment. Guards against adopting a view of another era, where the same
/// revisions belong to other changes.
#[test]
fn a_view_of_another_era_is_not_taken_over() {
    let mut site = in_era_beside_another();
    site.event(RelayEvent::StoreEra(2));
    site.event(RelayEvent::Gossiped(Box::new(gossip(1, 1, 50))));
    let version = site
        .core
        .relay
        .catalog
        .as_ref()
        .map(|catalog| catalog.version);
    assert_eq!(version, Some(1));
    assert_eq!(site.core.relay.view.uptime.length(), Duration::ZERO);
}

/// Guards against a host that stays in an ended era because it makes no calls to the store itself.
#[test]
fn a_host_learns_of_an_era_from_another_one() {
    let mut site = in_era_beside_another();
    site.event(RelayEvent::Gossiped(Box::new(gossip(1, 2, 5))));
    assert_eq!(site.core.relay.view.era(), 2);
    let out = site.advance(MAX_CATCH_UP_MS);
    assert!(store_calls(&out).contains(&StoreCall::Page { after: None }));
    assert_eq!(grants(&out), 1);
}

/// Sizes of a failure domain in which each host sends to all others, and in which hosts report to an aggregator.
const DOMAIN_SIZES: [usize; 2] = [5, 30];

/// The store is restored from an older copy twice in a row. Guards against hosts that keep lost changes, or that wait
/// for revisions which the store assigns again.
#[test]
fn all_hosts_know_what_the_store_holds_after_restores() {
    for hosts in DOMAIN_SIZES {
        let mut domain = TestDomain::with_hosts(hosts);
        domain.pass(3000);
        for _ in 0..30 {
            domain.change(&[]);
        }
        for copy in [20, 15] {
            domain.restore(copy);
            domain.pass(200);
            // The operator writes again; the last version is newer than all before.
            domain.store.revision = domain.store.revision.max(45);
            let took = domain.change(&[]);
            assert!(
                took <= MAX_CATCH_UP_MS + 400,
                "{took} ms with {hosts} hosts"
            );
            domain.pass(300);
        }
    }
}

/// The watcher of a failure domain is killed as the store is restored.
#[test]
fn a_restore_is_known_without_the_watcher() {
    for hosts in DOMAIN_SIZES {
        let mut domain = TestDomain::with_hosts(hosts);
        domain.pass(3000);
        domain.change(&[]);
        domain.restore(5);
        domain.hosts[0] = None;
        domain.store.revision = 30;
        let took = domain.convergence_time(&[]);
        assert!(
            took <= MAX_CATCH_UP_MS + 400,
            "{took} ms with {hosts} hosts"
        );
    }
}

/// A server leaves after a restore, at a revision below those of the ended era. Guards against hosts that keep their
/// view because the eras are counted from 0, and then miss what is written at these revisions.
fn a_removal_after_a_restore_is_known(hosts: usize, first_era: u64) {
    let mut domain = TestDomain::with_hosts(hosts);
    domain.store.era = first_era;
    domain.pass(3000);
    for _ in 0..30 {
        domain.change(&[]);
    }
    domain.restore(20);
    domain.pass(MAX_CATCH_UP_MS + 3000);
    domain.remove("r");
    domain.pass(MAX_CATCH_UP_MS + 400);
    for host in 0..hosts {
        let site = domain.hosts[host].as_ref().expect("a host that runs");
        let instances = &site.core.relay.instances;
        let key = instances.find("r");
        let used = key.is_some_and(|key| instances.arena[key].is_available(site.core.now));
        assert!(!used, "host {host}");
    }
}

macro_rules! removals_after_a_restore {
    ($($name:ident: $hosts:expr, $first_era:expr;)*) => {
        $(#[test] fn $name() {
            a_removal_after_a_restore_is_known($hosts, $first_era);
        })*
    };
}

removals_after_a_restore! {
    a_removal_is_known_where_eras_begin_at_zero: 5, 0;
    a_removal_is_known_where_eras_begin_at_one: 5, 1;
    a_removal_is_known_in_a_large_domain_where_eras_begin_at_zero: 30, 0;
}

/// A host that has called the store in no era yet got its view from another host. Guards against keeping that view in
/// the next era.
#[test]
fn a_replicated_view_of_era_zero_ends_with_that_era() {
    let mut site = TestHost::blank();
    site.write_key(
        "hosts/host-0",
        Some(r#"{"addr":"127.0.0.1:9","domain":"z"}"#),
        3,
    );
    site.event(RelayEvent::Gossiped(Box::new(gossip(1, 0, 50))));
    site.event(RelayEvent::Gossiped(Box::new(gossip(2, 1, 5))));
    let out = site.advance(MAX_CATCH_UP_MS);
    assert!(store_calls(&out).contains(&StoreCall::Page { after: None }));
}

/// Entries missing from the copy are written again within two seconds. Guards against dropping their servers meanwhile.
#[test]
fn servers_that_the_copy_lacks_are_used_until_they_are_written_again() {
    let mut domain = TestDomain::with_hosts(3);
    domain.pass(8000);
    domain.store.removed.insert("r".into());
    domain.restore(5);
    domain.pass(MAX_CATCH_UP_MS);
    for host in 0..3 {
        let site = domain.hosts[host].as_ref().expect("a host that runs");
        assert!(site.core.relay.view.era() == 2);
        let instances = &site.core.relay.instances;
        let key = instances.find("r").expect("known");
        assert!(
            instances.arena[key].is_available(site.core.now),
            "host {host}"
        );
    }
}

/// Guards against all hosts calling the store at the same moment: within five seconds of a restore they make no more
/// calls than after an outage, apart from the registrations.
#[test]
fn a_restore_causes_no_burst_of_calls() {
    let calls = |restore: bool| {
        let mut domain = TestDomain::with_hosts(40);
        domain.pass(4000);
        let before: u32 =
            domain.store.read_counts.iter().sum::<u32>() + domain.store.registration_calls;
        if restore {
            domain.restore(5);
        } else {
            domain.store.unresponsive = true;
            domain.pass(3000);
            domain.store.unresponsive = false;
        }
        domain.store.revision = 40;
        domain.pass(5000);
        domain.store.read_counts.iter().sum::<u32>() + domain.store.registration_calls - before
    };
    let (restore, outage) = (calls(true), calls(false));
    // A registration is a lease and a write for each host. The harness grants no lease, so that it counts as one
    // call here.
    assert!(
        restore <= outage + 40 * 2,
        "{restore} after a restore, {outage} after an outage"
    );
}
