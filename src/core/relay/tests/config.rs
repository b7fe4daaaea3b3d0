//! Configuration and backend servers as the store tells of them.

use super::*;

/// A host has just started and knows no configuration. Called unknown, a path that the operator
/// offers would be given up by its caller for good.
#[test]
fn without_a_configuration_nothing_is_called_unknown() {
    let mut site = TestHost::blank();
    site.arrive(plain_request("/once/x"));
    let (status, ran, retry) = site.refused().expect("an answer");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some());
    assert!(site.core.relay.ready().is_err());
}

#[test]
fn a_path_without_a_route_is_unknown_while_the_store_is_followed() {
    let mut site = TestHost::new();
    site.arrive(plain_request("/none/x"));
    assert_eq!(site.refused().map(|(status, ..)| status), Some(404));
}

/// The store has turned this host away for a while. A route may have been added meanwhile.
#[test]
fn a_path_without_a_route_may_be_new_while_the_store_is_away() {
    let mut site = TestHost::new();
    site.advance(3000);
    site.arrive(plain_request("/none/x"));
    assert_eq!(site.refused().map(|(status, ..)| status), Some(503));
}

/// A read that was answered late brings an older version. In force, it would send requests where
/// the operator no longer wants them.
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

/// A backend server reports that it is about to end. Sent on, work would be cut with it.
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

/// Entries lapse while the store is away, though their backend servers are well, and are back
/// within about two seconds; what is still missing then is gone.
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

/// A backend server starts again under its old id. It knows nothing of before: prompt parts
/// counted as held there would be read unplanned.
#[test]
fn a_restart_under_the_same_id_drops_the_held_parts() {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
    ]);
    site.arrive(model_request("/long/x", (1, 13_000), 1000));
    let key = site.core.relay.instances.find("p").expect("known");
    assert!(!site.core.relay.instances.arena[key].parts.is_empty());
    site.register(vec![BackendEntry {
        started_ms: 2,
        ..engine_entry("p", Stage::Prefill)
    }]);
    let key = site.core.relay.instances.find("p").expect("known");
    assert!(site.core.relay.instances.arena[key].parts.is_empty());
}

/// Another instance answers at an address that was used again. The old one is not asked any more.
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
