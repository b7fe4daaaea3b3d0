//! Leases, lag of the list and conditions of transactions, at times that the test sets.

use assert_matches::assert_matches;
use serde_json::json;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn state(now: Instant) -> State {
    State {
        store: MvccStore::new(3, SECOND),
        watches: Watches::default(),
        faults: Faults::default(),
        calls: CallCounts::default(),
        hosts: ListHistory::default(),
        started: now,
    }
}

impl State {
    fn execute_at(
        &mut self,
        kind: CallKind,
        body: &Value,
        now: Instant,
    ) -> Result<Value, GatewayError> {
        self.expire_and_deliver(now);
        self.execute(kind, body.to_string().as_bytes(), now)
    }

    fn set_faults_at(&mut self, call: Value, now: Instant) {
        self.set_faults(&serde_json::from_value(call).unwrap(), now);
    }
}

#[test]
fn leases_expire_except_in_an_outage() {
    let start = Instant::now();
    let mut state = state(start);
    let grant = json!({"TTL": "10", "ID": 0});
    let lease = state.execute_at(CallKind::Grant, &grant, start).unwrap()["ID"].clone();
    let key = json!({"key": "YQ=="});
    let put = json!({"key": "YQ==", "value": "YQ==", "lease": lease});
    state.execute_at(CallKind::Put, &put, start).unwrap();

    for down in [json!(true), json!("hang")] {
        state.set_faults_at(json!({"down": down}), start + 9 * SECOND);
        state.set_faults_at(json!({"down": false}), start + 100 * SECOND);
        let request = json!({"ID": lease});
        let answer = state.execute_at(CallKind::TimeLeft, &request, start + 100 * SECOND);
        assert_eq!(answer.unwrap()["TTL"], "10");
    }
    let found = state
        .execute_at(CallKind::Range, &key, start + 109 * SECOND)
        .unwrap();
    assert_eq!(found["kvs"][0]["lease"], lease);
    let found = state
        .execute_at(CallKind::Range, &key, start + 110 * SECOND)
        .unwrap();
    assert_eq!(found.get("kvs"), None);
    let alive = state.execute_at(
        CallKind::Keepalive,
        &json!({"ID": lease}),
        start + 110 * SECOND,
    );
    assert_eq!(alive.unwrap()["result"].get("TTL"), None);
    let put = state.execute_at(CallKind::Put, &put, start + 110 * SECOND);
    assert_matches!(put, Err(GatewayError::LEASE_NOT_FOUND));
}

#[test]
fn list_is_served_with_the_set_lag() {
    let start = Instant::now();
    let entry = |name: &str| ListEntry {
        name: name.into(),
        kind: ListEntryKind::Host,
        pool: "".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "d1".into(),
        state: ListEntryState::Live,
    };
    let mut hosts = ListHistory::default();
    hosts.set(vec![entry("a")], start);
    hosts.set(vec![entry("b")], start + 5 * SECOND);
    let shown = |lag, at| hosts.delayed_by(lag, at).first().map(|entry| &*entry.name);
    assert_eq!(shown(SECOND, start), None);
    assert_eq!(shown(SECOND, start + SECOND), Some("a"));
    assert_eq!(shown(SECOND, start + 5 * SECOND), Some("a"));
    assert_eq!(shown(SECOND, start + 6 * SECOND), Some("b"));
    assert_eq!(shown(Duration::ZERO, start + 5 * SECOND), Some("b"));
}

#[test]
fn txn_conditions_match_etcd() {
    let now = Instant::now();
    let mut state = state(now);
    for value in ["Yg==", "Yw=="] {
        let put = json!({"key": "YQ==", "value": value});
        state.execute_at(CallKind::Put, &put, now).unwrap();
    }
    // Key "a" has create revision 2, mod revision 3 and value "c"; key "x" is absent.
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
    for (compare, expected) in cases {
        let answer = state.execute_at(CallKind::Txn, &json!({"compare": [compare]}), now);
        let succeeded = answer.unwrap().get("succeeded").is_some();
        assert_eq!(succeeded, expected, "{compare}");
    }
    let duplicate = json!({"success": [
        {"requestPut": {"key": "YQ=="}}, {"request_put": {"key": "YQ=="}},
    ]});
    assert_matches!(
        state.execute_at(CallKind::Txn, &duplicate, now),
        Err(GatewayError::DUPLICATE_KEY)
    );
    let too_many = json!({"success": vec![json!({"requestRange": {"key": "YQ=="}}); 129]});
    assert_matches!(
        state.execute_at(CallKind::Txn, &too_many, now),
        Err(GatewayError::TOO_MANY_OPS)
    );
    let value = "A".repeat(1024 * 1024);
    let too_large = json!({"success": [
        {"requestPut": {"key": "YQ==", "value": value}},
        {"requestPut": {"key": "Yg==", "value": value}},
    ]});
    assert_matches!(
        state.execute_at(CallKind::Txn, &too_large, now),
        Err(GatewayError::TOO_LARGE)
    );
    let unknown_field = json!({"key": "YQ==", "serializable": true});
    assert_matches!(
        state.execute_at(CallKind::Range, &unknown_field, now),
        Err(GatewayError::INVALID_REQUEST)
    );
}
