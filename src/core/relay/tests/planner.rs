//! Orders to engines: only with the authority, and only until its lease ends.

use super::*;
use crate::core::event::Job;
use crate::core::relay::event::{EngineReport, NamedPushback, Notices, OrderResult, StageOrder};
use crate::core::relay::{RelayJob, RelayTimer};
use crate::store::TxnReply;

/// Returns a host with four decode engines.
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

pub fn plan(site: &mut TestHost) {
    site.apply(Event::Timer(Timer::Relay(RelayTimer::Plan)));
}

/// Has the host acquire the authority with this fencing number.
pub fn acquire(site: &mut TestHost, fence: i64) {
    let mut job = None;
    for _ in 0..50 {
        plan(site);
        job = site.out.iter().find_map(|effect| match effect {
            Effect::GrantLease { job, .. } => Some(*job),
            _ => None,
        });
        if job.is_some() {
            break;
        }
    }
    site.store_reply(job.expect("a lease is requested"), StoreResult::Lease(9));
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

/// Renews the lease until the number of engines counts as stable.
fn stabilize(site: &mut TestHost) {
    plan(site);
    for _ in 0..4 {
        site.now += 500;
        let job = RelayJob::AuthorityLease(Time::from_millis(site.now));
        site.store_reply(Job::Relay(job, 0), StoreResult::Lease(9));
    }
}

pub fn requested(site: &TestHost) -> Vec<Box<str>> {
    let requested = site.out.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::FetchReport { instance, .. }) => Some(instance.clone()),
        _ => None,
    });
    requested.collect()
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
    acquire(&mut site, 41);
    stabilize(&mut site);
    plan(&mut site);
    let requested = requested(&site);
    assert_eq!(requested.len(), 1, "of four engines one changes at a time");
    let order = report(&mut site, &requested[0], 3).expect("an order is sent");
    assert_eq!((order.fence, order.expected), (41, 3));
    assert_eq!(order.stage, Stage::Prefill);
}

/// An engine names a pushback after it was asked for its state. Guards against an order and further requests for its state:
/// they reach an engine that wants nothing.
#[test]
fn an_engine_is_neither_ordered_nor_asked_during_its_pushback() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    plan(&mut site);
    let first = requested(&site)[0].clone();
    site.event(RelayEvent::ControlNoticed {
        instance: first.clone(),
        notices: Notices {
            pushback: NamedPushback::For(Duration::from_secs(20)),
            ..Notices::default()
        },
    });
    assert_eq!(report(&mut site, &first, 3), None);
    for _ in 0..4 {
        stabilize(&mut site);
        plan(&mut site);
        assert!(!requested(&site).contains(&first));
    }
}

/// The holder is suspended after its engine has reported its state, until its lease has expired.
/// Another host may hold the authority when it resumes, and two orders would reach one engine.
#[test]
fn a_holder_resumed_after_its_lease_gives_no_order() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    plan(&mut site);
    let requested = requested(&site);
    site.now += 4000;
    assert_eq!(report(&mut site, &requested[0], 3), None);
    plan(&mut site);
    assert!(self::requested(&site).is_empty());
}

/// A lease counts from before it was requested: a late reply leaves little of it.
#[test]
fn a_renewed_lease_counts_from_its_request() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    let requested_at = Time::from_millis(site.now);
    site.now += 2600;
    let job = Job::Relay(RelayJob::AuthorityLease(requested_at), 0);
    site.store_reply(job, StoreResult::Lease(9));
    site.now += 200;
    plan(&mut site);
    assert!(requested(&site).is_empty());
}

/// Another host has acquired the authority with a higher fencing number. The lower one must not be
/// used again.
#[test]
fn a_holder_that_was_replaced_gives_no_order() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    site.write_key("planner", Some("host-2"), 50);
    plan(&mut site);
    assert!(requested(&site).is_empty());
}

#[test]
fn a_fenced_number_is_not_used_again() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    plan(&mut site);
    let requested = requested(&site);
    let order = report(&mut site, &requested[0], 3).expect("an order is sent");
    site.event(RelayEvent::OrderAnswered {
        instance: order.instance,
        fence: 41,
        result: OrderResult::Fenced,
    });
    site.now += 5000;
    plan(&mut site);
    assert!(self::requested(&site).is_empty());
}

/// An order without an answer may be carried out seconds later. The engine gets no other one until
/// then.
#[test]
fn an_unanswered_order_is_not_followed_by_another() {
    let mut site = site();
    acquire(&mut site, 41);
    stabilize(&mut site);
    plan(&mut site);
    let first = requested(&site);
    report(&mut site, &first[0], 3).expect("an order is sent");
    site.event(RelayEvent::OrderAnswered {
        instance: first[0].clone(),
        fence: 41,
        result: OrderResult::Unknown,
    });
    stabilize(&mut site);
    plan(&mut site);
    assert!(!requested(&site).contains(&first[0]));
}
