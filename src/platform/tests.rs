//! Tests of decoding and encoding the platform's messages, including malformed ones.

use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use serde_json::{Value, json};

use super::{apply_change, catalog, engine, entry, header, store};
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::catalog::RetryPolicy;
use crate::core::relay::customers::{Credential, Customer, Identity};
use crate::core::relay::event::{
    Changes, NamedLimit, NamedPushback, OrderResult, Outgoing, Stage, StageOrder, Task,
};
use crate::core::time::Time;
use crate::lists::KeyHash;
use crate::store::{Compare, Op, Txn};

/// Returns a valid entry of an engine.
fn entry() -> Value {
    json!({
        "service": "s", "address": "10.0.0.9:8080", "zone": "z", "version": "v1", "slots": 64,
        "state": "ready", "coldRemainingMs": 0, "stage": "decode", "models": [], "sequence": 4,
        "born": 7,
    })
}

/// Generates a test for each changed field of an entry: whether the entry is still accepted.
macro_rules! entries {
    ($($name:ident: $key:literal = $value:expr => $accepted:literal;)*) => {$(
        /// Entries may be malformed or truncated; if they were accepted, requests would be sent to
        /// an address that serves something else.
        #[test]
        fn $name() {
            let mut entry = entry();
            entry[$key] = $value;
            let decoded = entry::decode("i-1", entry.to_string().as_bytes(), 5);
            assert_eq!(decoded.is_some(), $accepted, "{entry}");
        }
    )*};
}

entries! {
    valid_entry: "version" = json!("v2") => true;
    entry_draining: "state" = json!("draining") => true;
    entry_of_unknown_state: "state" = json!("asleep") => false;
    entry_of_unknown_stage: "stage" = json!("both") => false;
    entry_with_a_stage_of_another_type: "stage" = json!(3) => false;
    entry_of_a_plain_server: "stage" = json!(null) => true;
    entry_with_slots_as_text: "slots" = json!("64") => false;
    entry_with_negative_slots: "slots" = json!(-1) => false;
    entry_without_an_address: "address" = json!(null) => false;
    entry_with_a_host_name_as_address: "address" = json!("host:8080") => false;
    entry_without_a_service: "service" = json!(1) => false;
    entry_without_a_version: "version" = json!(null) => true;
    entry_with_a_version_of_another_type: "version" = json!(2) => false;
    entry_without_a_start_time: "born" = json!(null) => true;
}

#[test]
fn an_unreadable_entry_removes_only_its_backend_server() {
    let mut changes = Changes::default();
    let valid = entry().to_string();
    apply_change(&mut changes, "servers/i-1", Some(valid.as_bytes()), 5);
    apply_change(&mut changes, "servers/i-2", Some(b"\xff{"), 6);
    assert_eq!(changes.instances.len(), 1);
    assert_eq!(changes.removed, vec![Box::from("i-2")]);
    apply_change(&mut changes, "op/config", Some(b"[]"), 7);
    assert_eq!(changes.catalog, None);
    apply_change(&mut changes, "servers/i-1", None, 8);
    assert!(changes.instances.is_empty());
}

fn config(route: &Value) -> Option<crate::core::relay::catalog::Catalog> {
    let value = json!({
        "version": 7,
        "routes": [route],
        "services": [{"name": "s", "healthPath": "/h", "maxConnections": 9,
            "engine": {"slots": 2, "kvCapacity": 100, "kvBytes": 8, "linkMbps": 1.5,
                "kvTtlS": 5.0, "switchS": 3}}],
        "limits": {"maxBodyBytes": 10},
    });
    catalog::decode(value.to_string().as_bytes())
}

/// Generates a test for each kind of route: its retry policy.
macro_rules! routes {
    ($($name:ident: $kind:literal, $resumable:literal => $policy:ident;)*) => {$(
        #[test]
        fn $name() {
            let catalog = config(&json!({"hostname": "H", "prefix": "/a/", "type": $kind,
                "resumable": $resumable, "service": "s", "timeoutMs": 10}));
            let catalog = catalog.expect("a configuration");
            let route = catalog.route("h:80", "/a/b").expect("the route");
            assert_eq!(route.retry, RetryPolicy::$policy);
        }
    )*};
}

routes! {
    an_idempotent_route_may_retry: "idempotent", false => Idempotent;
    a_non_idempotent_route_runs_once: "non_idempotent", false => Once;
    a_stream_runs_once: "streaming", false => Once;
    a_resumable_stream_may_retry: "streaming", true => Idempotent;
    a_plain_call_is_not_made_idempotent_by_resumable: "non_idempotent", true => Once;
    an_unknown_kind_runs_once: "batch", true => Once;
}

#[test]
fn a_configuration_keeps_engine_capacities() {
    let catalog = config(&json!({"hostname": "h", "prefix": "/", "type": "streaming",
        "trafficSplit": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}]}));
    let catalog = catalog.expect("a configuration");
    let engine = catalog.services["s"].engine.clone().expect("engines");
    assert_eq!((engine.kv_capacity, engine.token_bytes), (100, 8));
    assert_eq!(engine.switch_time, Duration::from_secs(3));
    assert_eq!(catalog.limits.max_body, 10);
    assert_eq!(catalog.routes[0].split.len(), 2);
}

/// If headers forged by a caller were forwarded, a request would run at the wrong stage or decode
/// from the KV cache of another caller.
#[test]
fn internal_headers_are_not_forwarded() {
    let forged = [
        "x-chiveway-serving-stage",
        "x-chiveway-kv-source",
        "x-chiveway-kv-hold",
        "x-chiveway-kv-backup",
        "x-chiveway-pin-ms",
        "x-chiveway-expect-instance",
        "x-chiveway-expect-version",
        "x-chiveway-request-priority",
        "x-chiveway-server-stamp",
        "x-chiveway-not-executed",
        "x-chiveway-deadline-ms",
        "x-chiveway-tenant",
        "x_chiveway_tenant",
        "x-chiveway_tenant",
        "kv-fetch",
        "connection",
        "transfer-encoding",
        "x-hop",
    ];
    let mut headers: Vec<(&str, &[u8])> =
        forged.iter().map(|name| (*name, &b"x-hop"[..])).collect();
    headers.push(("x-chiveway-attempt-id", b"id"));
    headers.push(("x-other", b"kept"));
    let head = header::decode_request(&headers);
    let forwarded: Vec<&str> = head.forwarded.iter().map(|(name, _)| &**name).collect();
    assert_eq!(forwarded, ["x-chiveway-attempt-id", "x-other"]);
}

#[test]
fn a_prompt_is_decoded_with_its_blocks() {
    let head = header::decode_request(&[
        ("x-chiveway-token-usage", b"1460,80"),
        (
            "x-chiveway-prompt-prefix",
            b"5c1e07a2:800,91bd3f06:410, e4402b7d:250,broken",
        ),
        ("x-chiveway-deadline-ms", b"1500"),
        ("last-event-id", b"12"),
        ("resumes", b" 9c41d07be2a35f68 "),
    ]);
    let prompt = head.prompt.expect("a prompt");
    assert_eq!((prompt.tokens, prompt.max_output), (1460, 80));
    let blocks: Vec<_> = prompt
        .blocks
        .iter()
        .map(|block| (block.id, block.tokens))
        .collect();
    assert_eq!(
        blocks,
        [(0x5c1e_07a2, 800), (0x91bd_3f06, 410), (0xe440_2b7d, 250)]
    );
    assert_eq!(head.deadline, Some(Duration::from_millis(1500)));
    assert_eq!(head.resume, Some(12));
    assert_eq!(head.resumes.as_deref(), Some("9c41d07be2a35f68"));
}

/// Generates a test for each value of the limit header: the limit decoded from it.
macro_rules! limits {
    ($($name:ident: $value:literal => $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let value: &[u8] = $value;
            assert_eq!(header::decode_answer(200, &[("server-limit", value)]).notices.limit, $limit);
        }
    )*};
}

limits! {
    a_limit_is_a_number: b"1.2" => NamedLimit::Rate(1.2);
    a_limit_may_be_zero: b" 0 " => NamedLimit::Rate(0.0);
    a_limit_may_be_huge: b"1e300" => NamedLimit::Rate(1e300);
    a_negative_limit_is_unreadable: b"-1" => NamedLimit::Unreadable;
    a_nan_limit_is_unreadable: b"nan" => NamedLimit::Unreadable;
    an_infinite_limit_is_unreadable: b"inf" => NamedLimit::Unreadable;
    a_textual_limit_is_unreadable: b"two" => NamedLimit::Unreadable;
    an_empty_limit_is_unreadable: b"" => NamedLimit::Unreadable;
}

/// Generates a test for each response head: whether it states that the request did not run.
macro_rules! responses {
    ($($name:ident: $status:literal, [$($header:expr),*] => $not_run:literal;)*) => {$(
        #[test]
        fn $name() {
            let headers: Vec<(&str, &[u8])> = vec![$($header),*];
            assert_eq!(header::decode_answer($status, &headers).not_run, $not_run);
        }
    )*};
}

responses! {
    a_bare_503_may_have_run: 503, [] => false;
    a_503_with_the_not_executed_header_did_not_run: 503, [("x-chiveway-not-executed", &b"1"[..])] => true;
    a_misdirected_request_did_not_run: 421, [] => true;
    a_stamped_answer_ran: 200, [("x-chiveway-server-stamp", &b"s"[..])] => false;
}

/// Generates a test for each response to an order: its status and whether it states that nothing ran.
macro_rules! orders {
    ($($name:ident: $status:literal, $not_run:literal => $result:ident;)*) => {$(
        /// Guards against an order that is given again though the engine may carry out the first.
        #[test]
        fn $name() {
            assert_eq!(engine::order_result($status, $not_run), OrderResult::$result);
        }
    )*};
}

orders! {
    an_accepted_order_is_done: 202, false => Done;
    an_order_that_holds_is_done: 200, false => Done;
    an_order_with_an_old_token_is_fenced: 412, false => Fenced;
    an_order_beside_another_conflicts: 409, false => Conflict;
    an_order_at_another_instance_conflicts: 421, true => Conflict;
    an_invalid_order_is_not_carried_out: 400, false => Unsent;
    a_refused_order_is_not_carried_out: 503, true => Unsent;
    an_order_refused_without_a_statement_may_be_carried_out: 503, false => Unknown;
    an_order_limited_without_a_statement_may_be_carried_out: 429, false => Unknown;
    an_order_that_failed_may_be_carried_out: 500, false => Unknown;
}

/// Generates a test for each reason and list of headers: whether they are made of two responses.
macro_rules! heads {
    ($($name:ident: $reason:literal, [$($header:expr),*] => $merged:literal;)*) => {$(
        #[test]
        fn $name() {
            let headers: Vec<(&str, &[u8])> = vec![$($header),*];
            assert_eq!(header::is_merged($reason, &headers), $merged);
        }
    )*};
}

heads! {
    a_plain_head_is_one: b"OK", [("via", &b"HTTP/1.1 gateway"[..]), ("x-chiveway-attempt-id", b"a")] => false;
    a_head_with_two_pushbacks_is_one: b"", [("retry-after", &b"1"[..]), ("retry-after", b"2")] => false;
    a_head_with_two_ids_is_merged: b"", [("x-chiveway-attempt-id", &b"a"[..]), ("x-chiveway-attempt-id", b"a")] => true;
    a_head_with_two_stamps_is_merged: b"", [("x-chiveway-server-stamp", &b"a"[..]), ("x-chiveway-server-stamp", b"b")] => true;
    a_head_with_two_lengths_is_merged: b"", [("content-length", &b"1"[..]), ("content-length", b"1")] => true;
    a_status_line_in_a_value_is_merged: b"", [("server", &b"woHTTP/1.1 200 OK"[..])] => true;
    a_status_line_in_the_reason_is_merged: b"HTTP/1.0 200", [] => true;
}

#[test]
fn the_keep_alive_timeout_is_decoded() {
    let idle =
        |value: &'static [u8]| header::decode_answer(200, &[("keep-alive", value)]).keep_alive;
    assert_eq!(idle(b"timeout=5, max=100"), Some(Duration::from_secs(5)));
    assert_eq!(idle(b"max=100"), None);
}

/// Generates a test for each list of `Authorization` headers: the key decoded from it.
macro_rules! credentials {
    ($($name:ident: [$($value:expr),*] => $credential:expr;)*) => {$(
        #[test]
        fn $name() {
            let values: Vec<Vec<u8>> = vec![$($value.to_vec()),*];
            let headers = values.iter().map(|value| ("authorization", &**value));
            let head = header::decode_request(&headers.collect::<Vec<_>>());
            assert_eq!(head.credential, $credential);
            assert!(head.forwarded.is_empty(), "a key is not forwarded with other headers");
        }
    )*};
}

credentials! {
    no_header_is_no_key: [] => Credential::Absent;
    a_token_is_a_key: [b"Token abc"] => Credential::Key(KeyHash::of("abc"));
    the_scheme_may_be_in_lower_case: [b"token  abc"] => Credential::Key(KeyHash::of("abc"));
    another_scheme_is_malformed: [b"Bearer abc"] => Credential::Malformed;
    a_bare_key_is_malformed: [b"abc"] => Credential::Malformed;
    an_empty_key_is_malformed: [b"Token "] => Credential::Malformed;
    a_key_with_a_blank_is_malformed: [b"Token a bc"] => Credential::Malformed;
    a_key_that_is_no_text_is_malformed: [b"Token \xff"] => Credential::Malformed;
    an_oversized_key_is_malformed: [&[&b"Token "[..], &[b'a'; 257]].concat()] => Credential::Malformed;
    two_keys_are_malformed: [b"Token abc", b"Token abc"] => Credential::Malformed;
}

#[test]
fn the_customer_is_named_to_the_backend_server() {
    let customer = Customer {
        name: "huka270".into(),
        rank: None,
    };
    let headers = header::encode_request(&Outgoing {
        identity: Identity::Customer(Rc::new(customer)),
        ..outgoing(Task::Whole)
    });
    assert!(headers.contains(&("x-chiveway-tenant", "huka270".to_owned())));
    let public = header::encode_request(&outgoing(Task::Whole));
    assert!(public.iter().all(|(name, _)| *name != "x-chiveway-tenant"));
}

#[test]
fn customers_are_decoded_with_their_keys() {
    let config = |tenants: &str| {
        let text = format!(r#"{{"version":1,"routes":[],"services":[]{tenants}}}"#);
        catalog::decode(text.as_bytes()).expect("a configuration")
    };
    assert_eq!(config("").customers, None);
    let customers = config(
        r#","tenants":[{"name":"a","apiKeys":["k1",7,"k2"],"priority":3},{"apiKeys":["k4"]},{"name":"b","apiKeys":["k2","k3"]},7]"#,
    );
    let customers = customers.customers.expect("customers");
    let find = |key| {
        customers
            .find(KeyHash::of(key))
            .map(|found| (&*found.name, found.rank))
    };
    assert_eq!(find("k1"), Some(("a", Some(3))));
    assert_eq!(find("k2"), Some(("a", Some(3))));
    assert_eq!(find("k3"), Some(("b", None)));
    assert_eq!(find("k4"), None);
    assert!(config(r#","tenants":[]"#).customers.is_some());
}

fn outgoing(task: Task) -> Outgoing {
    Outgoing {
        call: CallKey::default(),
        attempt: AttemptKey::default(),
        instance: "i-1".into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        task,
        remaining: Duration::from_millis(1234),
        urgency: Some(3),
        resume: Some(7),
        streaming: true,
        max_idle: 1,
        fetch_from: None,
        identity: Identity::Unchecked,
    }
}

#[test]
fn a_request_carries_its_instance_and_remaining_time() {
    let headers = header::encode_request(&outgoing(Task::Decode {
        from: "10.0.0.2:80".parse().expect("an address"),
        handle: "h1".into(),
    }));
    let expected = [
        ("x-chiveway-deadline-ms", "1234"),
        ("x-chiveway-expect-instance", "i-1"),
        ("x-chiveway-request-priority", "3"),
        ("last-event-id", "7"),
        ("x-chiveway-kv-source", "10.0.0.2:80/h1"),
    ];
    let actual: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (*name, &**value))
        .collect();
    assert_eq!(actual, expected);
    let prefill = header::encode_request(&outgoing(Task::Prefill));
    assert!(prefill.contains(&("x-chiveway-serving-stage", "prefill".to_owned())));
    assert!(prefill.iter().all(|(name, _)| *name != "kv-fetch"));
    let fetching = header::encode_request(&Outgoing {
        fetch_from: Some("10.0.0.3:80".parse().expect("an address")),
        ..outgoing(Task::Prefill)
    });
    assert!(fetching.contains(&("kv-fetch", "10.0.0.3:80".to_owned())));
}

/// A KV cache handle is used in a header and in a path; a line end or a slash in it would inject
/// further headers or change the path.
#[test]
fn a_handle_with_unsafe_characters_is_rejected() {
    let decode =
        |handle: &str| engine::decode_kv_handle(json!({"kvHandle": handle}).to_string().as_bytes());
    assert_eq!(decode("3fa09c41b7d5").as_deref(), Some("3fa09c41b7d5"));
    assert_eq!(decode("a\r\nx: y"), None);
    assert_eq!(decode("a/b"), None);
    assert_eq!(decode(""), None);
}

#[test]
fn an_order_carries_the_fencing_token_and_expected_count() {
    let order = StageOrder {
        era: 0,
        instance: "i-1".into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        stage: Stage::Prefill,
        holder: "host-1".into(),
        fence: 41,
        expected: 2,
        until: Time::default(),
    };
    let body: Value = serde_json::from_slice(&engine::encode_order(&order)).expect("JSON");
    assert_eq!(body["fencingToken"], 41);
    assert_eq!(body["expectedRevision"], 2);
    assert_eq!(body["stage"], "prefill");
    assert_eq!(body["holder"], "host-1");
}

#[test]
fn a_report_counts_accepted_orders() {
    let body = json!({"stage": "decode", "busy": true, "sequence": 3}).to_string();
    let report = engine::decode_report(body.as_bytes()).expect("a report");
    assert_eq!(
        (report.stage, report.busy, report.orders),
        (Stage::Decode, true, 3)
    );
    assert_eq!(engine::decode_report(b"{}"), None);
}

#[test]
fn a_transaction_is_encoded_in_the_stores_format() {
    let txn = Txn {
        compare: vec![Compare::Absent { key: "a".into() }],
        then: vec![Op::Put {
            key: "a".into(),
            value: "node-1".into(),
            lease: 77,
        }],
        otherwise: Vec::new(),
    };
    let body: Value = serde_json::from_slice(&store::txn(&txn).body).expect("JSON");
    assert_eq!(
        body["expectedRevision"],
        json!([{"key": "a", "revision": 0}])
    );
    assert_eq!(
        body["setKeys"],
        json!([{"key": "a", "value": "bm9kZS0x", "lease": 77}])
    );
}

#[test]
fn watch_events_carry_writes_and_deletions() {
    let body = json!({"events": [
        {"key": "a", "value": "bm9kZS0x", "revision": 4, "created": 4, "lease": 0},
        {"key": "b", "revision": 5, "deleted": true},
    ], "at": 6});
    let events = store::decode_events(body.to_string().as_bytes()).expect("events");
    assert_eq!(events.revision, 6);
    assert_eq!(events.changes[0].1.as_deref(), Some(&b"node-1"[..]));
    assert_eq!(events.changes[1], ("b".into(), None, 5));
}

#[test]
fn keys_are_escaped_in_a_query() {
    let call = store::range("a b/", Some("c&d"));
    assert_eq!(call.path, "/v1/kv-range?prefix=a%20b/&after=c%26d");
}

proptest! {
    /// Decoding terminates without a panic for any bytes from the store or an engine.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = catalog::decode(&bytes);
        let _ = entry::decode("i", &bytes, 1);
        let _ = engine::decode_kv_handle(&bytes);
        let _ = engine::decode_report(&bytes);
        let _ = store::decode_page(&bytes);
        let _ = store::decode_events(&bytes);
        let _ = store::decode_txn_reply(200, &bytes);
        let _ = header::decode_request(&[("x-chiveway-prompt-prefix", &bytes), ("connection", &bytes)]);
    }
}

macro_rules! leaving {
    ($($name:ident: $status:expr, $values:expr => $leaving:expr;)*) => {
        $(#[test] fn $name() {
            let values: &[&[u8]] = &$values;
            let headers: Vec<(&str, &[u8])> =
                values.iter().map(|value| ("server-leaving", *value)).collect();
            assert_eq!(header::decode_answer($status, &headers).notices.leaving, $leaving);
        })*
    };
}

leaving! {
    an_answer_without_the_header_is_not_leaving: 200, [] => false;
    a_success_may_state_that_its_server_is_leaving: 200, [b"1"] => true;
    a_refusal_may_state_that_its_server_is_leaving: 503, [b" 1 "] => true;
    a_server_that_states_zero_is_not_leaving: 200, [b"0"] => false;
    another_value_states_nothing: 200, [b"soon"] => false;
    bytes_that_are_no_text_state_nothing: 200, [b"\xff1"] => false;
    one_of_two_headers_is_enough: 200, [b"0", b"1"] => true;
}

macro_rules! pushbacks {
    ($($name:ident: $status:expr, $values:expr => $pushback:expr;)*) => {
        $(#[test] fn $name() {
            let values: &[&[u8]] = &$values;
            let headers: Vec<(&str, &[u8])> =
                values.iter().map(|value| ("retry-after", *value)).collect();
            assert_eq!(header::decode_answer($status, &headers).notices.pushback, $pushback);
        })*
    };
}

pushbacks! {
    a_refusal_without_the_header_names_no_pushback: 503, [] => NamedPushback::None;
    a_pushback_is_a_number_of_seconds: 503, [b"3"] => NamedPushback::For(Duration::from_secs(3));
    a_pushback_may_be_a_fraction: 503, [b" 0.25 "] => NamedPushback::For(Duration::from_millis(250));
    a_pushback_may_be_zero: 503, [b"0"] => NamedPushback::For(Duration::ZERO);
    a_huge_pushback_is_the_longest_duration: 503, [b"1e300"] => NamedPushback::For(Duration::MAX);
    a_negative_pushback_is_unreadable: 503, [b"-1"] => NamedPushback::Unreadable;
    a_nan_pushback_is_unreadable: 503, [b"nan"] => NamedPushback::Unreadable;
    an_infinite_pushback_is_unreadable: 503, [b"inf"] => NamedPushback::Unreadable;
    a_date_is_unreadable: 503, [b"Thu, 03 Dec 2026 16:00:00 GMT"] => NamedPushback::Unreadable;
    an_empty_pushback_is_unreadable: 503, [b""] => NamedPushback::Unreadable;
    the_longer_of_two_pushbacks_counts: 503, [b"3", b"1"] => NamedPushback::For(Duration::from_secs(3));
    a_readable_pushback_counts_beside_an_unreadable_one: 503, [b"2", b"soon"] => NamedPushback::For(Duration::from_secs(2));
    another_status_names_no_pushback: 429, [b"3"] => NamedPushback::None;
    a_success_names_no_pushback: 200, [b"3"] => NamedPushback::None;
}
