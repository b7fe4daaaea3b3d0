//! Customers' keys, from the store's configuration to the request at a server.

use serde_json::json;

use super::*;

/// Returns a configuration in which one customer holds the key.
fn keyed_config(version: u64, key: &str) -> Value {
    let mut config = config(version, "/short/");
    config["tenants"] = json!([{"name": "huka270", "apiKeys": [key]}]);
    config
}

fn status(site: &Site, headers: &[(&str, &str)]) -> Option<u16> {
    let answer = site.send("/once/x", "id-1", headers);
    answer.map(|answer| answer.status)
}

/// A caller sends its key and claims to be another customer. Guards against passing either on: the server would see a
/// secret, or count the request for the wrong customer.
#[test]
fn the_server_gets_the_customers_name_and_not_the_key() {
    let (plain, prefill, decode) = (
        Engine::plain("s-1"),
        Engine::model("p-1", "prefill"),
        Engine::model("d-1", "decode"),
    );
    let site = Site::ready(&[&plain, &prefill, &decode]);
    site.store.put("op/config", &keyed_config(2, "k1-secret"));
    wait_for("the keys to be in force", || {
        status(&site, &[]) == Some(401)
    });
    let mut headers = vec![
        ("Authorization", "Token k1-secret"),
        ("X-Chiveway-Tenant", "other"),
        ("x_chiveway_tenant", "other"),
    ];
    assert_eq!(status(&site, &headers), Some(200));
    headers.extend(LONG_PROMPT);
    let answer = site.send("/long/x", "id-2", &headers).expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, true));
    // Without customers in the configuration, requests ran before.
    let mut heads: Vec<String> = plain.request_heads("/once/x").pop().into_iter().collect();
    heads.extend(prefill.request_heads("/long/x"));
    heads.extend(decode.request_heads("/long/x"));
    assert_eq!(heads.len(), 3);
    for head in heads {
        let head = head.to_lowercase();
        assert!(head.contains("x-chiveway-tenant: huka270"), "{head}");
        assert!(
            !head.contains("other") && !head.contains("k1-secret"),
            "{head}"
        );
    }
    assert!(!site.log().contains("k1-secret"));
}

/// Callers send no key, or one that is not valid. Guards against running their requests.
#[test]
fn requests_without_a_valid_key_do_not_run() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    site.store.put("op/config", &keyed_config(2, "k1"));
    wait_for("the keys to be in force", || {
        status(&site, &[]) == Some(401)
    });
    let before = plain.request_heads("/once/x").len();
    for value in ["Token k2", "Bearer k1", "k1", "Token ", "Token k1 k1"] {
        assert_eq!(
            status(&site, &[("Authorization", value)]),
            Some(401),
            "{value}"
        );
    }
    let twice = [("Authorization", "Token k1"), ("Authorization", "Token k1")];
    assert_eq!(status(&site, &twice), Some(401));
    assert_eq!(plain.request_heads("/once/x").len(), before);
    assert_eq!(status(&site, &[("Authorization", "Token k1")]), Some(200));
}

/// A key is withdrawn and another one added while the store does not answer. Guards against the statement that the new key
/// is unknown, and checks that both changes are in force after the outage.
#[test]
fn keys_change_during_an_outage_of_the_store() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    site.store.put("op/config", &keyed_config(2, "k1"));
    let (old, new) = (
        [("Authorization", "Token k1")],
        [("Authorization", "Token k2")],
    );
    wait_for("the keys to be in force", || {
        status(&site, &[]) == Some(401)
    });
    site.store.hang();
    wait_for("the view to be old", || status(&site, &new) == Some(503));
    site.store.put("op/config", &keyed_config(3, "k2"));
    assert_eq!(status(&site, &new), Some(503));
    assert_eq!(status(&site, &old), Some(200));
    site.store.recover();
    wait_for("the new key", || status(&site, &new) == Some(200));
    assert_eq!(status(&site, &old), Some(401));
}
