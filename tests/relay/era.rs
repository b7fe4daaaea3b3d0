//! Restores of the store from an older copy: later writes are lost, and their revisions are assigned again.

use serde_json::Value;

use super::hang::holds_within_renewals;
use super::standin::{Engine, SHORT_PROMPT, config};
use super::{Site, is_listed_as, is_listed_ready, wait_for};

/// Requests sent to find out which servers a host uses.
const REQUEST_COUNT: usize = 20;

/// Sends [`REQUEST_COUNT`] requests; returns how many reach the server.
fn count_served(site: &Site, server: &Engine) -> usize {
    let before = server.request_heads("/once/x").len();
    for _ in 0..REQUEST_COUNT {
        site.send("/once/x", "id", &[]).expect("an answer");
    }
    server.request_heads("/once/x").len() - before
}

/// A server reports that it is draining, and the store is restored from a copy in which it is ready.
/// Guards against a host that uses the restored entry and sends it requests again.
#[test]
fn a_draining_server_gets_no_requests_after_a_restore() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    let restore_revision = site.store.revision();
    site.store.put("servers/s-1", &one.entry("draining"));
    // The other server may be faster and get every request before the change is read: the log shows the read.
    wait_for("the first server to be listed as leaving", || {
        is_listed_as(&site.log(), "s-1", "leaving") && count_served(&site, &one) == 0
    });
    site.store.restore(restore_revision);
    // The host has read the restored copy once it lists a server added after the restore.
    let three = Engine::plain("s-3");
    site.store.put("servers/s-3", &three.entry("ready"));
    let applied = holds_within_renewals(&site, || is_listed_ready(&site.log(), "s-3"));
    assert!(applied, "the restored copy was not read:\n{}", site.log());
    // The other server drains, too: if it is faster, the first one would get no requests even if used.
    site.store.put("servers/s-2", &two.entry("draining"));
    wait_for("the second server to be listed as leaving", || {
        is_listed_as(&site.log(), "s-2", "leaving") && count_served(&site, &two) == 0
    });
    assert_eq!(count_served(&site, &one), 0, "{}", site.log());
    assert_eq!(count_served(&site, &three), REQUEST_COUNT);
}

/// The store is restored from an older copy, and new writes reuse revisions that the host has already read.
/// Guards against a watch that continues from its last revision and misses those writes.
#[test]
fn a_change_at_a_reused_revision_is_applied() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| {
        site.send(path, "id", &SHORT_PROMPT)
            .map(|answer| answer.status)
    };
    for _ in 0..4 {
        site.store.put("servers/s-1", &plain.entry("ready"));
    }
    wait_for("a configuration at a later revision", || {
        site.store.put("op/config", &config(2, "/second/"));
        status("/second/x") == Some(200)
    });
    let last_read = site.store.revision();
    site.store.go_down();
    site.store.restore(0);
    site.store.rewrite_lost();
    site.store.put("op/config", &config(3, "/new/"));
    while site.store.revision() <= last_read {
        site.store.put("servers/s-1", &plain.entry("ready"));
    }
    site.store.recover();
    let applied = holds_within_renewals(&site, || status("/new/x") == Some(200));
    assert!(
        applied,
        "the change was not applied after the restore:\n{}",
        site.log()
    );
}

/// The store holds an older configuration after a restore. Guards against a host that puts it in force.
#[test]
fn a_restore_does_not_roll_back_the_configuration() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| {
        site.send(path, "id", &SHORT_PROMPT)
            .map(|answer| answer.status)
    };
    let restore_revision = site.store.revision();
    site.store.put("op/config", &config(2, "/new/"));
    wait_for("the new route", || status("/new/x") == Some(200));
    site.store.restore(restore_revision);
    let two = Engine::plain("s-2");
    site.store.put("servers/s-2", &two.entry("ready"));
    let applied = holds_within_renewals(&site, || {
        assert_eq!(status("/new/x"), Some(200));
        is_listed_ready(&site.log(), "s-2")
    });
    assert!(applied, "the restored copy was not read:\n{}", site.log());
    assert_eq!(status("/new/x"), Some(200));
}

/// Engines have seen the host's fencing token, and a restore takes the store to lower revisions. Guards against
/// tokens below earlier ones: engines would reject every later order.
#[test]
fn fencing_tokens_increase_across_a_restore() {
    let engines: Vec<Engine> = (1..=4)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    let site = Site::new();
    // These writes give the authority a higher revision than the store has after the restore.
    for n in 0..50 {
        site.store
            .put("servers/none", &serde_json::json!({ "n": n }));
    }
    site.configure(&engines.iter().collect::<Vec<_>>());
    let fencing_tokens = || -> Vec<u64> {
        let orders = engines
            .iter()
            .flat_map(|engine| engine.request_bodies("/v1/order"));
        orders
            .filter_map(|order: Value| order["fencingToken"].as_u64())
            .collect()
    };
    wait_for("a stage order", || !fencing_tokens().is_empty());
    let highest = fencing_tokens().into_iter().max().expect("an order");
    let before = fencing_tokens().len();
    site.store.restore(0);
    site.store.rewrite_lost();
    // The engines that prefill leave, and all others decode: the host has to order one to prefill.
    for engine in &engines {
        let key = format!("servers/{}", engine.id);
        site.store.put(&key, &engine.entry("draining"));
    }
    let more: Vec<Engine> = (5..=12)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    for engine in &more {
        site.store
            .put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let later = || -> Vec<u64> {
        let orders = more
            .iter()
            .flat_map(|engine| engine.request_bodies("/v1/order"));
        let later = orders.filter_map(|order: Value| order["fencingToken"].as_u64());
        fencing_tokens()
            .into_iter()
            .skip(before)
            .chain(later)
            .collect()
    };
    wait_for("a stage order after the restore", || !later().is_empty());
    assert!(
        later().iter().all(|fence| *fence > highest),
        "fencing tokens {:?}, expected all above {highest}",
        later()
    );
}
