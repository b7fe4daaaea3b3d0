//! Configuration and backend servers as read from the store.

use super::*;

/// A host has just started and has no configuration yet. Guards against answering that a configured path is unknown,
/// after which its caller would not retry.
#[test]
fn no_path_is_unknown_without_a_configuration() {
    let mut site = TestHost::blank();
    site.arrive(plain_request("/once/x"));
    let (status, ran, retry) = site.refused().expect("an answer");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some());
    assert!(site.core.relay.ready().is_err());
}

#[test]
fn a_path_without_a_route_is_unknown_while_the_view_is_fresh() {
    let mut site = TestHost::new();
    site.arrive(plain_request("/none/x"));
    assert_eq!(site.refused().map(|(status, ..)| status), Some(404));
}

/// The store has not answered this host for a while, and a route may have been added since.
#[test]
fn a_path_without_a_route_may_be_new_while_the_store_is_unavailable() {
    let mut site = TestHost::new();
    site.advance(3000);
    site.arrive(plain_request("/none/x"));
    assert_eq!(site.refused().map(|(status, ..)| status), Some(503));
}

/// A delayed read returns an older version. Guards against putting it in force, which would send requests along routes
/// that the operator has removed.
#[test]
fn an_older_version_never_comes_back() {
    let mut site = TestHost::new();
    let mut newer = catalog(5);
    newer.routes.retain(|route| &*route.prefix != "/once/");
    site.configure(newer);
    site.configure(catalog(3));
    site.arrive(plain_request("/once/x"));
    assert_eq!(site.refused().map(|(status, ..)| status), Some(404));
}

#[test]
fn requests_are_split_by_weight() {
    let mut site = TestHost::new();
    let mut split = catalog(2);
    split.routes[0].split = vec![("plain".into(), 3), ("other".into(), 1)];
    site.configure(split);
    let other = BackendEntry {
        service: "other".into(),
        slots: 1000,
        ..plain_entry("o")
    };
    let many = BackendEntry {
        slots: 1000,
        ..plain_entry("a")
    };
    site.register(vec![many, other]);
    let mut count = 0;
    for _ in 0..400 {
        site.arrive(plain_request("/once/x"));
        count += usize::from(site.sent().is_some_and(|sent| &*sent.instance == "o"));
    }
    assert!((70..130).contains(&count), "{count} of 400");
}

/// A backend server reports that it is shutting down. Guards against new work there, which would be cut off.
#[test]
fn a_leaving_backend_server_gets_nothing_more() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.register(vec![BackendEntry {
        leaving: true,
        ..plain_entry("a")
    }]);
    for _ in 0..20 {
        site.arrive(plain_request("/once/x"));
        assert_eq!(site.sent().map(|sent| sent.instance), Some("b".into()));
    }
}

/// Entries expire while the store is unavailable although their backend servers are healthy, and are written again
/// within about two seconds. Servers whose entries are still missing then get no requests.
#[test]
fn entries_missing_after_an_outage_are_used_for_two_seconds() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.apply_changes(Changes {
        is_snapshot: true,
        ..Changes::default()
    });
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_some());
    site.advance(2500);
    site.arrive(plain_request("/once/x"));
    assert!(site.sent().is_none());
}

/// A backend server restarts under its old id and has lost its KV cache. Guards against counting prefix blocks as held
/// there, which it would have to prefill in addition to the planned work.
#[test]
fn a_restart_under_the_same_id_drops_the_held_parts() {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
    ]);
    site.arrive(model_request("/long/x", (1, 13_000), 1000));
    let key = site.core.relay.instances.find("p").expect("known");
    assert!(!site.core.relay.instances.arena[key].blocks.is_empty());
    site.register(vec![BackendEntry {
        started_ms: 2,
        ..engine_entry("p", Stage::Prefill)
    }]);
    let key = site.core.relay.instances.find("p").expect("known");
    assert!(site.core.relay.instances.arena[key].blocks.is_empty());
}

/// Another instance answers at a reused address. Guards against further requests to the old instance.
#[test]
fn an_address_reused_by_another_instance_gets_no_requests() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    let mut misplaced = None;
    for _ in 0..10 {
        site.arrive(plain_request("/once/x"));
        let sent = site.sent().expect("sent");
        if let Some(gone) = &misplaced {
            assert_ne!(&sent.instance, gone);
            continue;
        }
        misplaced = Some(sent.instance.clone());
        site.fail_attempt(sent.attempt, Ran::No, AttemptFailure::Rejected);
    }
}

/// Returns when a request ends whose route gets another time-out, by this factor, one second after its arrival.
fn end_after_change(factor: f64) -> u64 {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    site.arrive(plain_request("/once/x"));
    let began = site.now;
    site.advance(1000);
    let mut changed = catalog(2);
    for route in &mut changed.routes {
        route.timeout = route.timeout.mul_f64(factor);
    }
    site.configure(changed);
    let ends = |effect: &RelayEffect| matches!(effect, RelayEffect::Refuse { .. });
    while !has_effect(&site.advance(10), ends) {
        assert!(site.now < began + 20_000, "the request does not end");
    }
    site.now - began
}

/// Defines one test for each change of a time-out.
macro_rules! changed_timeouts {
    ($($name:ident: $factor:expr;)*) => {$(
        /// Guards against a request under way that is held to another time-out than the one its server received.
        #[test]
        fn $name() {
            assert_eq!(end_after_change($factor), 4000);
        }
    )*};
}

changed_timeouts! {
    a_longer_timeout_holds_for_later_requests: 2.0;
    a_shorter_timeout_holds_for_later_requests: 0.5;
    a_timeout_that_has_passed_holds_for_later_requests: 0.1;
}
