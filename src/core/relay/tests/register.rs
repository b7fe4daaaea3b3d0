//! A host's own entry in the store, by which the others know it.

use super::*;
use crate::core::event::Job;
use crate::core::relay::RelayJob;
use crate::core::relay::event::StoreAnswer;

/// What a host last asked of the store for its entry.
#[derive(Debug, PartialEq, Eq)]
enum StoreRequest {
    Lease,
    Renewal,
    Entry,
}

fn store_requests(out: &Effects) -> Vec<StoreRequest> {
    let asked = out.iter().filter_map(|effect| match effect {
        Effect::Grant {
            job: Job::Relay(RelayJob::Lease, 0),
            ..
        } => Some(StoreRequest::Lease),
        Effect::Renew {
            job: Job::Relay(RelayJob::Lease, 0),
            ..
        } => Some(StoreRequest::Renewal),
        Effect::Txn {
            job: Job::Relay(RelayJob::Register, 0),
            ..
        } => Some(StoreRequest::Entry),
        _ => None,
    });
    asked.collect()
}

/// Returns a host that has a lease and an entry.
fn registered() -> TestHost {
    let mut site = TestHost::blank();
    site.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(5));
    assert_eq!(store_requests(&site.out), [StoreRequest::Entry]);
    let done = crate::store::TxnReply {
        revision: 9,
        succeeded: true,
        replies: Vec::new(),
    };
    site.store_reply(Job::Relay(RelayJob::Register, 0), StoreResult::Txn(done));
    site
}

/// Has the store show all its keys: this host's entry, where `own`, and nothing else.
fn read_whole(site: &mut TestHost, own: bool) -> Effects {
    let key = KeyChange {
        key: "hosts/host-1".into(),
        value: Some((*br#"{"addr":"127.0.0.1:3","domain":"z"}"#).into()),
        revision: 9,
    };
    let number = site.core.relay.view.asked_number().expect("a page in hand");
    let changes = Changes {
        keys: own.then_some(key).into_iter().collect(),
        ..Changes::default()
    };
    site.event(RelayEvent::StoreAnswered {
        number,
        answer: StoreAnswer::Page {
            revision: 20,
            changes,
            after: None,
        },
    });
    site.out.clone()
}

/// The lease ran out while the store was away, and the entry with it. The other hosts take this one
/// for gone and tell it nothing, so that it piles requests on engines that are full.
#[test]
fn an_entry_that_lapsed_is_written_again_at_once() {
    let mut site = registered();
    let out = read_whole(&mut site, false);
    assert_eq!(store_requests(&out), [StoreRequest::Renewal]);
    site.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(0));
    assert_eq!(store_requests(&site.out), [StoreRequest::Lease]);
    site.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(6));
    assert_eq!(store_requests(&site.out), [StoreRequest::Entry]);
}

/// The host started while the store was silent, and its call for a lease was lost. Without another
/// as soon as the store answers, it stays unknown to the others for four seconds more.
#[test]
fn a_lost_call_for_a_lease_is_made_again_at_the_stores_return() {
    let mut site = TestHost::blank();
    site.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Unknown);
    assert_eq!(store_requests(&site.advance(1000)), []);
    let out = read_whole(&mut site, false);
    assert_eq!(store_requests(&out), [StoreRequest::Lease]);
}

#[test]
fn an_entry_that_is_there_is_left_alone() {
    let mut site = registered();
    let out = read_whole(&mut site, true);
    assert_eq!(store_requests(&out), []);
}
