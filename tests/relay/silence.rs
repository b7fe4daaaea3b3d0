//! A store that falls silent: it takes calls and answers none, and the connections on which they came
//! live on and bring nothing, also after it answers again.

use serde_json::Value;

use super::standin::{Engine, SHORT, config};
use super::{Site, wait_for};

/// Writes a key while the store is silent, and has it answer again once the host's watch is lost.
fn put_in_silence(site: &Site, key: &str, value: &Value) {
    let before = site.store.lost_watches();
    site.store.fall_silent();
    site.store.put(key, value);
    wait_for("a lost watch", || site.store.lost_watches() > before);
    site.store.answer();
}

/// Key of the host's registration, whose lease it renews each four seconds.
const HOST: &str = "chiveway/hosts/host-1";
/// Renewals after the store's return before which the host must know what the store knows. The
/// first may come at any moment.
const RENEWALS: u32 = 2;

/// Waits until the store has answered those renewals, or something holds; tells whether it held.
pub fn before_renewals(site: &Site, mut holds: impl FnMut() -> bool) -> bool {
    // A store that came back from an older copy may have lost the lease, and its renewals with it.
    wait_for("the registration", || site.store.created(HOST).is_some());
    let end = site.store.renewed(HOST) + RENEWALS;
    let mut held = false;
    wait_for("the renewals", || {
        held = holds();
        held || site.store.renewed(HOST) >= end
    });
    held
}

/// The store falls silent, and the operator changes the configuration meanwhile. A watch that was lost
/// then kept the old version in force, and refused an added route as unknown.
#[test]
fn a_change_made_in_a_silence_is_known_soon_after() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| site.send(path, "id", &SHORT).map(|answer| answer.status);
    assert_eq!(status("/new/x"), Some(404));
    put_in_silence(&site, "op/config", &config(2, "/new/"));
    let known = before_renewals(&site, || status("/new/x") == Some(200));
    assert!(
        known,
        "the watch that was lost still waits:\n{}",
        site.log()
    );
}

/// The store falls silent, and a backend server announces meanwhile that it leaves. Callers were still
/// sent to the server when it ended, and their requests failed: the same lost watch.
#[test]
fn a_server_that_leaves_in_a_silence_soon_gets_nothing_more() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    let served = |server: &Engine| {
        let before = server.seen("/once/x").len();
        for _ in 0..20 {
            site.send("/once/x", "id", &[]).expect("an answer");
        }
        server.seen("/once/x").len() - before
    };
    let leaving = if served(&one) > 0 { &one } else { &two };
    let key = format!("servers/{}", leaving.id);
    put_in_silence(&site, &key, &leaving.entry("draining"));
    let left = before_renewals(&site, || served(leaving) == 0);
    assert!(left, "the watch that was lost still waits:\n{}", site.log());
}
