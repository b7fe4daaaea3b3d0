//! A host's own entry in the store, by which the other hosts find it.

use super::*;
use crate::core::event::Job;
use crate::core::relay::RelayJob;
use crate::core::relay::event::StoreAnswer;

/// A call that a host makes for its registration.
#[derive(Debug, PartialEq, Eq)]
enum StoreRequest {
    Lease,
    Renewal,
    Entry,
}

fn store_requests(out: &Effects) -> Vec<StoreRequest> {
    let requests = out.iter().filter_map(|effect| match effect {
        Effect::GrantLease {
            job: Job::Relay(RelayJob::Lease, 0),
            ..
        } => Some(StoreRequest::Lease),
        Effect::RenewLease {
            job: Job::Relay(RelayJob::Lease, 0),
            ..
        } => Some(StoreRequest::Renewal),
        Effect::Txn {
            job: Job::Relay(RelayJob::Register, 0),
            ..
        } => Some(StoreRequest::Entry),
        _ => None,
    });
    requests.collect()
}

/// Returns a host that has a lease and has written its entry.
fn registered() -> TestHost {
    let mut host = TestHost::blank();
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(5));
    assert_eq!(store_requests(&host.out), [StoreRequest::Entry]);
    let done = crate::store::TxnReply {
        revision: 9,
        succeeded: true,
        replies: Vec::new(),
    };
    host.store_reply(Job::Relay(RelayJob::Register, 0), StoreResult::Txn(done));
    host
}

/// Answers the host's read of all keys: with its own entry if `own`, and nothing else.
fn read_all(host: &mut TestHost, own: bool) -> Effects {
    let key = KeyChange {
        key: "hosts/host-1".into(),
        value: Some((*br#"{"addr":"127.0.0.1:3","domain":"z"}"#).into()),
        revision: 9,
    };
    let number = host
        .core
        .relay
        .view
        .asked_number()
        .expect("a page in flight");
    let changes = Changes {
        keys: own.then_some(key).into_iter().collect(),
        ..Changes::default()
    };
    host.event(RelayEvent::StoreAnswered {
        number,
        answer: StoreAnswer::Page {
            revision: 20,
            changes,
            after: None,
        },
    });
    host.out.clone()
}

/// The lease expired while the store was down, and the entry with it. The other hosts stop sending to
/// this one, which then sends requests to engines that are full.
#[test]
fn an_expired_entry_is_rewritten_immediately() {
    let mut host = registered();
    let out = read_all(&mut host, false);
    assert_eq!(store_requests(&out), [StoreRequest::Renewal]);
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(0));
    assert_eq!(store_requests(&host.out), [StoreRequest::Lease]);
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(6));
    assert_eq!(store_requests(&host.out), [StoreRequest::Entry]);
}

/// The host started while the store did not answer, and its call for a lease was lost. If it did not call
/// again as soon as the store answers, the other hosts would not find it for four seconds more.
#[test]
fn a_lost_lease_call_is_repeated_when_the_store_answers_again() {
    let mut host = TestHost::blank();
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Unknown);
    assert_eq!(store_requests(&host.advance(1000)), []);
    let out = read_all(&mut host, false);
    assert_eq!(store_requests(&out), [StoreRequest::Lease]);
}

#[test]
fn a_present_entry_is_not_rewritten() {
    let mut host = registered();
    let out = read_all(&mut host, true);
    assert_eq!(store_requests(&out), []);
}

/// Pattern: all hosts start at once and register faster than the store takes writes. Guards against waiting for the next
/// renewal: until then the other hosts do not know this one's load.
#[test]
fn a_refused_registration_is_repeated_soon() {
    let mut host = TestHost::blank();
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Refused);
    assert_eq!(store_requests(&host.advance(700)), [StoreRequest::Lease]);
    host.store_reply(Job::Relay(RelayJob::Lease, 0), StoreResult::Lease(5));
    host.store_reply(Job::Relay(RelayJob::Register, 0), StoreResult::Refused);
    assert_eq!(store_requests(&host.advance(1300)), [StoreRequest::Renewal]);
}
