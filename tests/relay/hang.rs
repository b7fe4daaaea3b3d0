//! A store that falls silent: it takes calls and answers none, and the connections on which they came
//! live on and bring nothing, also after it answers again.

use serde_json::Value;

use super::standin::{Engine, SHORT_PROMPT, config};
use super::{Site, wait_for};

/// Writes a key while the store is silent, and has it answer again once the host's watch is lost.
fn put_while_hung(site: &Site, key: &str, value: &Value) {
    let before = site.store.hung_watches();
    site.store.hang();
    site.store.put(key, value);
    wait_for("a lost watch", || site.store.hung_watches() > before);
    site.store.recover();
}

/// Key of the host's registration, whose lease it renews each four seconds.
const HOST_KEY: &str = "chiveway/hosts/host-1";
/// Renewals after the store's return before which the host must know what the store knows. The
/// first may come at any moment.
const MAX_RENEWALS: u32 = 2;

/// Waits until the store has answered those renewals, or something holds; tells whether it held.
pub fn holds_within_renewals(site: &Site, mut holds: impl FnMut() -> bool) -> bool {
    // A store that came back from an older copy may have lost the lease, and its renewals with it.
    wait_for("the registration", || {
        site.store.created(HOST_KEY).is_some()
    });
    let end = site.store.renewals(HOST_KEY) + MAX_RENEWALS;
    let mut held = false;
    wait_for("the renewals", || {
        held = holds();
        held || site.store.renewals(HOST_KEY) >= end
    });
    held
}

/// The store falls silent, and the operator changes the configuration meanwhile. A watch that was lost
/// then kept the old version in force, and refused an added route as unknown.
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
    let known = holds_within_renewals(&site, || status("/new/x") == Some(200));
    assert!(
        known,
        "the watch that was lost still waits:\n{}",
        site.log()
    );
}

/// The store falls silent, and a backend server announces meanwhile that it leaves. Callers were still
/// sent to the server when it ended, and their requests failed: the same lost watch.
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
    let leaving = if count_served(&one) > 0 { &one } else { &two };
    let key = format!("servers/{}", leaving.id);
    put_while_hung(&site, &key, &leaving.entry("draining"));
    let left = holds_within_renewals(&site, || count_served(leaving) == 0);
    assert!(left, "the watch that was lost still waits:\n{}", site.log());
}
