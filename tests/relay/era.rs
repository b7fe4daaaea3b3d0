//! A store that comes back from an older copy: what was written since is lost, and revisions are given out again.

use serde_json::Value;

use super::hang::holds_within_renewals;
use super::standin::{Engine, SHORT_PROMPT, config};
use super::{Site, is_listed_as, is_listed_ready, wait_for};

/// Requests by which a host shows which servers it uses.
const REQUESTS: usize = 20;

/// Returns how many of some requests a server gets.
fn count_served(site: &Site, server: &Engine) -> usize {
    let before = server.request_heads("/once/x").len();
    for _ in 0..REQUESTS {
        site.send("/once/x", "id", &[]).expect("an answer");
    }
    server.request_heads("/once/x").len() - before
}

/// A server reports that it leaves, and the store comes back from a copy in which it is ready. Guards against
/// sending it requests by that.
#[test]
fn a_draining_server_gets_no_requests_after_a_restore() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    let copy = site.store.revision();
    site.store.put("servers/s-1", &one.entry("draining"));
    // A faster server gets all requests before the change is read, too: the record shows that it was read.
    wait_for("the server's leaving", || {
        is_listed_as(&site.log(), "s-1", "leaving") && count_served(&site, &one) == 0
    });
    site.store.restore(copy);
    // The host has read the copy once it knows a server that came after it.
    let three = Engine::plain("s-3");
    site.store.put("servers/s-3", &three.entry("ready"));
    let known = holds_within_renewals(&site, || is_listed_ready(&site.log(), "s-3"));
    assert!(known, "the copy is never read:\n{}", site.log());
    // A slower server is chosen second: the other one leaves, so that nothing else could be chosen.
    site.store.put("servers/s-2", &two.entry("draining"));
    wait_for("the other's leaving", || {
        is_listed_as(&site.log(), "s-2", "leaving") && count_served(&site, &two) == 0
    });
    assert_eq!(count_served(&site, &one), 0, "{}", site.log());
    assert_eq!(count_served(&site, &three), REQUESTS);
}

/// The store comes back from an older copy, and other writes use up the revisions that the host knows. Guards
/// against a watch that goes on from there and misses what they wrote.
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
    wait_for("a later change", || {
        site.store.put("op/config", &config(2, "/second/"));
        status("/second/x") == Some(200)
    });
    let known = site.store.revision();
    site.store.go_down();
    site.store.restore(0);
    site.store.rewrite_lost();
    site.store.put("op/config", &config(3, "/new/"));
    while site.store.revision() <= known {
        site.store.put("servers/s-1", &plain.entry("ready"));
    }
    site.store.recover();
    let known = holds_within_renewals(&site, || status("/new/x") == Some(200));
    assert!(known, "the change is never known:\n{}", site.log());
}

/// The store holds an older configuration for a moment after it came back. Guards against putting that in force.
#[test]
fn a_restore_does_not_roll_back_the_configuration() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| {
        site.send(path, "id", &SHORT_PROMPT)
            .map(|answer| answer.status)
    };
    let copy = site.store.revision();
    site.store.put("op/config", &config(2, "/new/"));
    wait_for("the new route", || status("/new/x") == Some(200));
    site.store.restore(copy);
    let two = Engine::plain("s-2");
    site.store.put("servers/s-2", &two.entry("ready"));
    let known = holds_within_renewals(&site, || {
        assert_eq!(status("/new/x"), Some(200));
        is_listed_ready(&site.log(), "s-2")
    });
    assert!(known, "the copy is never read:\n{}", site.log());
    assert_eq!(status("/new/x"), Some(200));
}

/// Engines have seen the host's fencing number, and the store goes back to revisions below it. Guards against orders
/// that engines refuse for good, or that go back behind earlier ones.
#[test]
fn fencing_tokens_increase_across_a_restore() {
    let engines: Vec<Engine> = (1..=4)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    let site = Site::new();
    // The copy that the store comes back from is older than the authority.
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
    wait_for("an order", || !fencing_tokens().is_empty());
    let highest = fencing_tokens().into_iter().max().expect("an order");
    let before = fencing_tokens().len();
    site.store.restore(0);
    site.store.rewrite_lost();
    // More engines decode than should, so that some are ordered again.
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
    wait_for("another order", || !later().is_empty());
    assert!(
        later().iter().all(|fence| *fence > highest),
        "{:?} after {highest}",
        later()
    );
}
