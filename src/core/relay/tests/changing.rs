//! Engines that are about to change their stage, and what hosts send them.

use super::planner::{acquire, plan, requested};
use super::*;
use crate::core::relay::event::{ChangeReport, Gossip, OrderResult};
use crate::core::relay::instance::short_hash;

/// A host beside others that announces changes, with prefill engines `p` and `q` and decode engines `d` and `e`.
fn host(announces: bool) -> TestHost {
    let mut host = TestHost::new();
    let mut settings = host.core.settings.clone();
    settings
        .relay
        .as_mut()
        .expect("a relay")
        .policy
        .announce_changes = announces;
    host.event(RelayEvent::Reloaded(Box::new(settings)));
    host.apply_changes(Changes {
        is_snapshot: true,
        ..Changes::default()
    });
    host.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("q", Stage::Prefill),
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
    ]);
    host.write_key(
        "hosts/host-2",
        Some(r#"{"addr":"10.9.9.9:1","domain":"z"}"#),
        3,
    );
    host
}

fn receive(host: &mut TestHost, sequence: u64, changes: Vec<ChangeReport>) {
    host.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-2".into(),
        incarnation: 1,
        sequence,
        changes,
        ..Gossip::default()
    })));
}

/// The announcement with this number of the holder with fencing number 7.
fn change(count: u32, id: &str, to: Stage, millis: u64) -> ChangeReport {
    ChangeReport {
        instance: short_hash(id),
        to,
        number: (7, count),
        remaining: Duration::from_millis(millis),
    }
}

/// Sends prompts that share nothing, and returns the engines that prefill them.
fn prefilled_at(host: &mut TestHost, first: u64) -> std::collections::BTreeSet<Box<str>> {
    let prompts = first..first + 6;
    let engines = prompts.filter_map(|block| {
        host.arrive(model_request("/long/x", (block, 13_000), 8000));
        host.sent().map(|sent| sent.instance)
    });
    engines.collect()
}

/// One host orders an engine to change its stage. Guards against a refusal for each of the other hosts that still sends
/// there, which use up the retry budget.
#[test]
fn other_hosts_send_nothing_to_an_engine_that_is_about_to_change() {
    let mut host = host(true);
    assert!(prefilled_at(&mut host, 0).contains("p"));
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    assert!(!prefilled_at(&mut host, 100).contains("p"));
}

/// Guards against a change of what is sent where the setting is off.
#[test]
fn without_the_setting_announcements_have_no_effect() {
    let mut host = host(false);
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    assert!(prefilled_at(&mut host, 0).contains("p"));
}

/// The order is not carried out, and its holder dies. Guards against an engine that stays idle for good, and against hosts
/// that keep an announcement alive by telling it to each other.
#[test]
fn an_engine_that_does_not_change_is_used_again() {
    let mut host = host(true);
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    host.advance(4100);
    receive(&mut host, 2, vec![change(1, "p", Stage::Decode, 50)]);
    assert!(prefilled_at(&mut host, 0).contains("p"));
}

/// The first try fails, and the holder announces the same change again. Guards against hosts that take this for the first
/// announcement, and are refused once each.
#[test]
fn a_second_announcement_of_the_same_change_counts() {
    let mut host = host(true);
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    host.advance(4300);
    receive(&mut host, 2, vec![change(2, "p", Stage::Decode, 4000)]);
    assert!(!prefilled_at(&mut host, 0).contains("p"));
    // An older one that arrives late changes nothing.
    receive(&mut host, 3, vec![change(1, "p", Stage::Prefill, 4000)]);
    assert!(!prefilled_at(&mut host, 100).contains("p"));
}

/// Guards against hosts that wait for the end of an announcement after the engine has changed.
#[test]
fn an_engine_that_has_changed_is_used_at_once() {
    let mut host = host(true);
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    host.register(vec![engine_entry("p", Stage::Decode)]);
    let key = host.core.relay.instances.find("p").expect("registered");
    assert!(host.core.relay.instances.arena[key].is_available(host.core.now));
}

/// Guards against announcements that end at the first host: most hosts receive gossip from an aggregator alone.
#[test]
fn an_announcement_is_passed_on() {
    let mut host = host(true);
    receive(&mut host, 1, vec![change(1, "p", Stage::Decode, 4000)]);
    let effects = host.advance(500);
    let mut messages = effects.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::Publish { message, .. }) => Some(&message.changes),
        _ => None,
    });
    assert!(messages.any(|changes| changes.iter().any(|change| change.to == Stage::Decode)));
}

/// A holder of the authority that has announced changes of these engines.
fn holder() -> (TestHost, Vec<Box<str>>) {
    let mut host = host(true);
    host.register(
        ["f", "g", "h", "i"]
            .map(|id| engine_entry(id, Stage::Decode))
            .into(),
    );
    acquire(&mut host, 7);
    plan(&mut host);
    for _ in 0..4 {
        host.now += 500;
        renew(&mut host);
    }
    plan(&mut host);
    assert!(requested(&host).is_empty(), "asked before the announcement");
    let changing = host.core.relay.instances.arena.values();
    let changing = changing.filter(|instance| instance.change.is_some());
    let ids: Vec<Box<str>> = changing.map(|instance| instance.id.clone()).collect();
    assert!(!ids.is_empty());
    (host, ids)
}

fn renew(host: &mut TestHost) {
    let job = crate::core::relay::RelayJob::AuthorityLease(Time::from_millis(host.now));
    let job = crate::core::event::Job::Relay(job, 0);
    host.store_reply(job, StoreResult::Lease(9));
}

/// Returns the engines whose state is requested within 600 ms.
fn asked(host: &mut TestHost) -> Vec<Box<str>> {
    let effects = host.advance(600);
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::FetchReport { instance, .. }) => Some(instance.clone()),
        _ => None,
    });
    asked.collect()
}

fn is_available(host: &TestHost, id: &str) -> bool {
    let key = host.core.relay.instances.find(id).expect("registered");
    host.core.relay.instances.arena[key].is_available(host.core.now)
}

/// Guards against an order that is carried out before the other hosts know of it.
#[test]
fn an_order_waits_until_it_is_announced() {
    let (mut host, ids) = holder();
    let asked = asked(&mut host);
    assert!(ids.iter().all(|id| asked.contains(id)), "{asked:?}");
    // The order did not reach the engine.
    host.event(RelayEvent::OrderAnswered {
        instance: ids[0].clone(),
        fence: 7,
        result: OrderResult::Unsent,
    });
    assert!(is_available(&host, &ids[0]));
}

/// Guards against a request to an engine that has begun to leave since its change was announced.
#[test]
fn an_engine_that_leaves_meanwhile_is_not_asked() {
    let (mut host, ids) = holder();
    host.register(vec![BackendEntry {
        leaving: true,
        ..engine_entry(&ids[0], Stage::Decode)
    }]);
    let asked = asked(&mut host);
    assert!(!asked.contains(&ids[0]), "{asked:?}");
}

/// The holder alone does not reach an engine. Guards against announcing its change again and again, so that it gets no work from
/// any host.
#[test]
fn an_engine_that_cannot_be_ordered_gets_work_meanwhile() {
    let (mut host, ids) = holder();
    asked(&mut host);
    host.event(RelayEvent::EngineReported {
        instance: ids[0].clone(),
        report: None,
    });
    assert!(is_available(&host, &ids[0]));
    for _ in 0..30 {
        renew(&mut host);
        host.advance(500);
        assert!(is_available(&host, &ids[0]));
    }
}
