//! Rules of the stand-in that depend on time, at times given by the test.

use assert_matches::assert_matches;
use serde_json::json;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn state(now: Instant) -> State {
    State {
        data: Data::new(3, SECOND),
        watches: Watches::default(),
        faults: Faults::default(),
        calls: Calls::default(),
        hosts: Hosts::default(),
        start: now,
    }
}

impl State {
    fn ask(&mut self, sort: Sort, body: &Value, now: Instant) -> Result<Value, Fail> {
        self.settle(now);
        self.run(sort, body.to_string().as_bytes(), now)
    }

    fn switch(&mut self, call: Value, now: Instant) {
        self.fault(&serde_json::from_value(call).unwrap(), now);
    }
}

#[test]
fn leases_lapse_but_not_in_an_outage() {
    let start = Instant::now();
    let mut state = state(start);
    let grant = json!({"TTL": "10", "ID": 0});
    let lease = state.ask(Sort::Grant, &grant, start).unwrap()["ID"].clone();
    let key = json!({"key": "YQ=="});
    let put = json!({"key": "YQ==", "value": "YQ==", "lease": lease});
    state.ask(Sort::Put, &put, start).unwrap();

    for down in [json!(true), json!("hang")] {
        state.switch(json!({"down": down}), start + 9 * SECOND);
        state.switch(json!({"down": false}), start + 100 * SECOND);
        let left = json!({"ID": lease});
        let left = state.ask(Sort::TimeLeft, &left, start + 100 * SECOND);
        assert_eq!(left.unwrap()["TTL"], "10");
    }
    let found = state.ask(Sort::Range, &key, start + 109 * SECOND).unwrap();
    assert_eq!(found["kvs"][0]["lease"], lease);
    let found = state.ask(Sort::Range, &key, start + 110 * SECOND).unwrap();
    assert_eq!(found.get("kvs"), None);
    let alive = state.ask(Sort::Keepalive, &json!({"ID": lease}), start + 110 * SECOND);
    assert_eq!(alive.unwrap()["result"].get("TTL"), None);
    let put = state.ask(Sort::Put, &put, start + 110 * SECOND);
    assert_matches!(put, Err(Fail::NO_LEASE));
}

#[test]
fn list_is_shown_late() {
    let start = Instant::now();
    let entry = |name: &str| HostEntry {
        name: name.into(),
        kind: HostKind::Host,
        pool: "".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "d1".into(),
        state: HostState::Live,
    };
    let mut hosts = Hosts::default();
    hosts.set(vec![entry("a")], start);
    hosts.set(vec![entry("b")], start + 5 * SECOND);
    let shown = |lag, at| hosts.shown(lag, at).first().map(|entry| &*entry.name);
    assert_eq!(shown(SECOND, start), None);
    assert_eq!(shown(SECOND, start + SECOND), Some("a"));
    assert_eq!(shown(SECOND, start + 5 * SECOND), Some("a"));
    assert_eq!(shown(SECOND, start + 6 * SECOND), Some("b"));
    assert_eq!(shown(Duration::ZERO, start + 5 * SECOND), Some("b"));
}

#[test]
fn compares_as_etcd_does() {
    let now = Instant::now();
    let mut state = state(now);
    for value in ["Yg==", "Yw=="] {
        let put = json!({"key": "YQ==", "value": value});
        state.ask(Sort::Put, &put, now).unwrap();
    }
    // The key "a" was created at 2 and now holds "c" at 3; "x" is absent.
    let cases = [
        (
            json!({"key": "YQ==", "target": "MOD", "mod_revision": "3"}),
            true,
        ),
        (
            json!({"key": "YQ==", "target": "MOD", "modRevision": 2}),
            false,
        ),
        (
            json!({"key": "YQ==", "target": "CREATE", "create_revision": "2"}),
            true,
        ),
        (
            json!({"key": "YQ==", "target": "VERSION", "version": "1", "result": "GREATER"}),
            true,
        ),
        (
            json!({"key": "YQ==", "target": "VERSION", "version": "2", "result": "LESS"}),
            false,
        ),
        (
            json!({"key": "YQ==", "target": "VALUE", "value": "Yw=="}),
            true,
        ),
        (
            json!({"key": "YQ==", "target": "VALUE", "value": "Yg==", "result": "NOT_EQUAL"}),
            true,
        ),
        (
            json!({"key": "YQ==", "target": "LEASE", "lease": "0"}),
            true,
        ),
        (
            json!({"key": "eA==", "target": "CREATE", "create_revision": "0"}),
            true,
        ),
        (
            json!({"key": "eA==", "target": "VALUE", "value": "Yw==", "result": "NOT_EQUAL"}),
            false,
        ),
    ];
    for (compare, want) in cases {
        let answer = state.ask(Sort::Txn, &json!({"compare": [compare]}), now);
        let won = answer.unwrap().get("succeeded").is_some();
        assert_eq!(won, want, "{compare}");
    }
    let both = json!({"success": [
        {"requestPut": {"key": "YQ=="}}, {"request_put": {"key": "YQ=="}},
    ]});
    assert_matches!(state.ask(Sort::Txn, &both, now), Err(Fail::DUPLICATE));
    let many = json!({"success": vec![json!({"requestRange": {"key": "YQ=="}}); 129]});
    assert_matches!(state.ask(Sort::Txn, &many, now), Err(Fail::TOO_MANY));
    let long = "A".repeat(1024 * 1024);
    let large = json!({"success": [
        {"requestPut": {"key": "YQ==", "value": long}},
        {"requestPut": {"key": "Yg==", "value": long}},
    ]});
    assert_matches!(state.ask(Sort::Txn, &large, now), Err(Fail::TOO_LARGE));
    let odd = json!({"key": "YQ==", "serializable": true});
    assert_matches!(state.ask(Sort::Range, &odd, now), Err(Fail::BAD_JSON));
}
