//! A store that hangs: it accepts calls and answers none. Connections opened meanwhile stay open without
//! data, also after the store has recovered.

use std::time::Duration;

use serde_json::Value;

use super::standin::{Engine, SHORT_PROMPT, config};
use super::{Site, wait_for};

/// Writes a key while the store hangs, and lets the store recover once the host's watch hangs, too.
fn put_while_hung(site: &Site, key: &str, value: &Value) {
    let before = site.store.hung_watches();
    site.store.hang();
    site.store.put(key, value);
    wait_for("a hung watch", || site.store.hung_watches() > before);
    site.store.recover();
}

/// Key of the host's registration; the host renews its lease every four seconds.
const HOST_KEY: &str = "chiveway/hosts/host-1";
/// Lease renewals after the store's recovery within which the host must read the current state. The first
/// may follow at once.
const MAX_RENEWALS: u32 = 2;

/// Waits until `holds` returns true or the store has answered [`MAX_RENEWALS`]; returns whether it held.
pub fn holds_within_renewals(site: &Site, mut holds: impl FnMut() -> bool) -> bool {
    // A restored store may have lost the lease, and the count of its renewals with it.
    wait_for("the registration of the host", || {
        site.store.created(HOST_KEY).is_some()
    });
    let end = site.store.renewals(HOST_KEY) + MAX_RENEWALS;
    let mut held = false;
    wait_for("the lease renewals", || {
        held = holds();
        held || site.store.renewals(HOST_KEY) >= end
    });
    held
}

/// Pause before each part of a page, of which there are 40: longer in all than any call may be silent.
const PART_PAUSE: Duration = Duration::from_millis(100);

/// The link to the store is so narrow that a page takes longer than a call may be silent. Guards against a host that
/// ends the transfer each time, never knows a configuration and is never ready.
#[test]
fn a_page_over_a_narrow_link_is_read() {
    let engine = Engine::plain("s-1");
    let site = Site::new();
    site.store.slow_pages(PART_PAUSE);
    site.configure(&[&engine]);
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 200);
}

/// The operator changes the configuration while the store hangs. Guards against a host that waits on its
/// hung watch, keeps the old version in force and answers 404 on a new route.
#[test]
fn a_change_made_while_the_store_hangs_is_applied() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| {
        site.send(path, "id", &SHORT_PROMPT)
            .map(|answer| answer.status)
    };
    assert_eq!(status("/new/x"), Some(404));
    put_while_hung(&site, "op/config", &config(2, "/new/"));
    let applied = holds_within_renewals(&site, || status("/new/x") == Some(200));
    assert!(
        applied,
        "the host still waits on the hung watch:\n{}",
        site.log()
    );
}

/// A backend server starts to drain while the store hangs. Guards against a host that waits on its hung
/// watch and sends requests to the server when it ends, so that they fail.
#[test]
fn a_server_draining_while_the_store_hangs_gets_no_new_requests() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    let count_served = |server: &Engine| {
        let before = server.request_heads("/once/x").len();
        for _ in 0..20 {
            site.send("/once/x", "id", &[]).expect("an answer");
        }
        server.request_heads("/once/x").len() - before
    };
    let draining = if count_served(&one) > 0 { &one } else { &two };
    let key = format!("servers/{}", draining.id);
    put_while_hung(&site, &key, &draining.entry("draining"));
    let drained = holds_within_renewals(&site, || count_served(draining) == 0);
    assert!(
        drained,
        "the host still waits on the hung watch:\n{}",
        site.log()
    );
}
