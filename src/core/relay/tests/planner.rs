//! Orders to engines: only with the authority, only while it lasts.

use super::*;
use crate::core::event::Job;
use crate::core::relay::event::{EngineReport, OrderResult, StageOrder};
use crate::core::relay::{RelayJob, RelayTimer};
use crate::store::TxnReply;

/// Returns a host before four engines that all decode.
fn site() -> TestHost {
    let mut site = TestHost::new();
    site.apply_changes(Changes {
        is_snapshot: true,
        ..Changes::default()
    });
    site.register(
        ["a", "b", "c", "d"]
            .map(|id| engine_entry(id, Stage::Decode))
            .into(),
    );
    site
}

fn plan(site: &mut TestHost) {
    site.apply(Event::Timer(Timer::Relay(RelayTimer::Plan)));
}

/// Has the host take the authority with this fencing number.
fn take(site: &mut TestHost, fence: i64) {
    let mut job = None;
    for _ in 0..50 {
        plan(site);
        job = site.out.iter().find_map(|effect| match effect {
            Effect::Grant { job, .. } => Some(*job),
            _ => None,
        });
        if job.is_some() {
            break;
        }
    }
    site.store_reply(job.expect("it asks for a lease"), StoreResult::Lease(9));
    assert!(
        site.out
            .iter()
            .any(|effect| matches!(effect, Effect::Txn { .. }))
    );
    site.store_reply(
        Job::Relay(RelayJob::Authority, 0),
        StoreResult::Txn(TxnReply {
            revision: fence,
            succeeded: true,
            replies: Vec::new(),
        }),
    );
}

/// Renews the lease for as long as the plan needs to see that the engines stay.
fn settle(site: &mut TestHost) {
    plan(site);
    for _ in 0..4 {
        site.now += 500;
        let job = RelayJob::AuthorityLease(Time::from_millis(site.now));
        site.store_reply(Job::Relay(job, 0), StoreResult::Lease(9));
    }
}

fn asked(site: &TestHost) -> Vec<Box<str>> {
    let asked = site.out.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::FetchReport { instance, .. }) => Some(instance.clone()),
        _ => None,
    });
    asked.collect()
}

fn report(site: &mut TestHost, id: &str, orders: u64) -> Option<StageOrder> {
    site.event(RelayEvent::EngineReported {
        instance: id.into(),
        report: Some(EngineReport {
            stage: Stage::Decode,
            busy: false,
            orders,
        }),
    });
    site.out.iter().find_map(|effect| match effect {
        Effect::Relay(RelayEffect::Order(order)) => Some(order.clone()),
        _ => None,
    })
}

#[test]
fn an_order_carries_the_fencing_number_and_the_expected_state() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    plan(&mut site);
    let asked = asked(&site);
    assert_eq!(asked.len(), 1, "one at a time of so few");
    let order = report(&mut site, &asked[0], 3).expect("ordered");
    assert_eq!((order.fence, order.expected), (41, 3));
    assert_eq!(order.stage, Stage::Prefill);
}

/// The holder's process is frozen after its engine told its state, past the life of its lease. When
/// it wakes another may hold the authority: two orders would meet at one engine.
#[test]
fn a_holder_resumed_after_its_lease_gives_no_order() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    plan(&mut site);
    let asked = asked(&site);
    site.now += 4000;
    assert_eq!(report(&mut site, &asked[0], 3), None);
    plan(&mut site);
    assert!(self::asked(&site).is_empty());
}

/// A lease is counted from before it was asked for: an answer that took long leaves little of it.
#[test]
fn a_renewed_lease_counts_from_its_request() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    let asked_at = Time::from_millis(site.now);
    site.now += 2600;
    let job = Job::Relay(RelayJob::AuthorityLease(asked_at), 0);
    site.store_reply(job, StoreResult::Lease(9));
    site.now += 200;
    plan(&mut site);
    assert!(asked(&site).is_empty());
}

/// Another host took the authority. Its number is higher; this one is never used again.
#[test]
fn a_holder_that_was_replaced_gives_no_order() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    site.write_key("planner", Some("host-2"), 50);
    plan(&mut site);
    assert!(asked(&site).is_empty());
}

#[test]
fn a_fenced_number_is_not_used_again() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    plan(&mut site);
    let asked = asked(&site);
    let order = report(&mut site, &asked[0], 3).expect("ordered");
    site.event(RelayEvent::OrderAnswered {
        instance: order.instance,
        fence: 41,
        result: OrderResult::Fenced,
    });
    site.now += 5000;
    plan(&mut site);
    assert!(self::asked(&site).is_empty());
}

/// An order got no answer and may be carried out seconds later. The engine gets no other until
/// then.
#[test]
fn an_unanswered_order_is_not_followed_by_another() {
    let mut site = site();
    take(&mut site, 41);
    settle(&mut site);
    plan(&mut site);
    let first = asked(&site);
    report(&mut site, &first[0], 3).expect("ordered");
    site.event(RelayEvent::OrderAnswered {
        instance: first[0].clone(),
        fence: 41,
        result: OrderResult::Unknown,
    });
    settle(&mut site);
    plan(&mut site);
    assert!(!asked(&site).contains(&first[0]));
}
