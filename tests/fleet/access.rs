//! Authentication of callers, operators and peers, and refusal of malformed requests.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::json;

use crate::support::http::{Answer, RawConnection, send};
use crate::support::{
    CUSTOMER_KEY, Fleet, FleetConfig, MODEL, OPERATOR_KEY, PEER_SECRET, call_service, complete,
    service_runs, wait_for,
};

/// A prompt that must not appear in any log.
const PRIVATE_PROMPT: &str = "the member's whole grant agreement";
/// Limit of a request's body in these tests.
const MAX_BODY_BYTES: usize = 1 << 20;

fn config(hosts: usize) -> FleetConfig {
    FleetConfig {
        hosts,
        engines: 1,
        services: 1,
        limits: "body = 1MiB\nbody-time = 1s\n".into(),
        ..FleetConfig::default()
    }
}

/// Returns the number of requests that engines started.
fn started(fleet: &Fleet) -> u64 {
    let stats = |addr| send(addr, "GET", "/stats", &[], &[]).map(|answer| answer.json());
    let engines = fleet.engines();
    let counts = engines.filter_map(|engine| stats(engine.addr)?["started"].as_u64());
    counts.sum()
}

fn post(addr: SocketAddr, key: Option<&str>, body: &[u8]) -> Answer {
    let auth = key.map(|key| format!("Bearer {key}"));
    let headers: Vec<_> = auth.iter().map(|auth| ("authorization", &**auth)).collect();
    send(addr, "POST", "/v1/completions", &headers, body).expect("the host answers")
}

fn body(prompt: &str) -> Vec<u8> {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": 4})
        .to_string()
        .into()
}

/// Writes raw bytes and returns the status of the answer, or 0 if there is none.
fn raw(addr: SocketAddr, bytes: &[u8]) -> u16 {
    let mut connection = RawConnection::connect(addr);
    connection.write(bytes);
    connection.answer().map_or(0, |answer| answer.status)
}

fn headers(count: usize, size: usize) -> Vec<u8> {
    let mut head = b"GET /v1/models HTTP/1.1\r\nhost: h\r\n".to_vec();
    for index in 0..count {
        let value = "v".repeat(size);
        write!(head, "x-{index}: {value}\r\n").expect("writing to memory succeeds");
    }
    head.extend(b"\r\n");
    head
}

/// Makes one test of each invalid request: it must get the status and reach no engine, and the next
/// request must be served.
macro_rules! refused_requests {
    ($($name:ident: $send:expr => $status:expr,)*) => {$(
        #[test]
        fn $name() {
            let fleet = Fleet::start(config(1));
            let addr = fleet.hosts[0].callers;
            let send: fn(SocketAddr) -> u16 = $send;
            assert_eq!(send(addr), $status);
            assert_eq!(started(&fleet), 0, "an engine received the request");
            let valid = complete(addr, "a good one", 4, true).expect("the host answers");
            assert_eq!(stream_text(&valid.body), Some(expected(MODEL, "a good one", 4)));
        }
    )*};
}

refused_requests! {
    missing_key: |addr| post(addr, None, &body("p")).status => 401,
    wrong_key: |addr| post(addr, Some("wrong"), &body("p")).status => 401,
    operator_key: |addr| post(addr, Some(OPERATOR_KEY), &body("p")).status => 401,
    bad_json: |addr| post(addr, Some(CUSTOMER_KEY), b"{\"model\": ").status => 400,
    invalid_utf8: |addr| post(addr, Some(CUSTOMER_KEY), b"{\"model\": \"\xff\xfe\"}").status => 400,
    deeply_nested_json: |addr| {
        post(addr, Some(CUSTOMER_KEY), "[".repeat(500_000).as_bytes()).status
    } => 400,
    unknown_model: |addr| {
        let body = json!({"model": "nobody's", "prompt": "p"}).to_string();
        post(addr, Some(CUSTOMER_KEY), body.as_bytes()).status
    } => 404,
    too_many_tokens: |addr| {
        let body = json!({"model": MODEL, "prompt": "p", "max_tokens": u64::MAX}).to_string();
        post(addr, Some(CUSTOMER_KEY), body.as_bytes()).status
    } => 400,
    oversized_body: |addr| post(addr, Some(CUSTOMER_KEY), &body(&"p".repeat(MAX_BODY_BYTES))).status => 413,
    slow_body: |addr| {
        let auth = format!("authorization: Bearer {CUSTOMER_KEY}");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 100";
        raw(addr, format!("{head}\r\n{auth}\r\n\r\n{{").as_bytes())
    } => 408,
    wrong_key_is_refused_before_the_body: |addr| {
        raw(addr, b"POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer wrong\r\n\
            content-length: 100\r\n\r\n{")
    } => 401,
    too_many_headers: |addr| raw(addr, &headers(200, 1)) => 431,
    oversized_headers: |addr| raw(addr, &headers(60, 4096)) => 431,
    not_http: |addr| raw(addr, b"\x16\x03\x01 hello\r\n\r\n") => 400,
    duplicate_content_length: |addr| {
        raw(addr, b"POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\
            content-length: 2\r\n\r\n{}")
    } => 400,
}

/// Requests to the operator API without a key, with a wrong key or with a customer's key must be
/// refused on every path, else anyone who reaches the port could change the lists.
#[test]
fn operator_api_requires_the_operator_key() {
    let fleet = Fleet::start(config(1));
    let addr = fleet.hosts[0].operators;
    let before = fleet.status(0)["revision"].clone();
    for (method, path) in [
        ("GET", "/status"),
        ("GET", "/explain/1"),
        ("GET", "/lists/plans"),
        ("PUT", "/lists/plans"),
        ("GET", "/lists/force"),
        ("GET", "/anything"),
    ] {
        for key in [
            "",
            "Bearer wrong",
            &format!("Bearer {CUSTOMER_KEY}"),
            OPERATOR_KEY,
        ] {
            let answer = send(addr, method, path, &[("authorization", key)], b"[plan x]\n");
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(401), "{method} {path} with {key:?}");
        }
    }
    assert_eq!(fleet.status(0)["revision"], before);
}

/// A process without the peers' secret registers as a host and sends messages to the others. If
/// they accepted them, it could lend shares that do not exist or report poison requests.
#[test]
fn peer_without_the_secret_is_refused() {
    let mut fleet = Fleet::start(config(2));
    let settings = fleet
        .settings("host-9")
        .replace(PEER_SECRET, "another secret of a stranger");
    fleet.add_host_with("host-9", &settings);
    wait_for("the unauthenticated peer is refused", || {
        fleet.log("host-1").contains("did not prove who it is")
    });
    let hosts = fleet.status(0)["hosts"].clone();
    let entries = hosts.as_array().into_iter().flatten();
    let mut entries = entries.filter(|host| host["name"] == "host-9");
    assert!(entries.all(|host| host["heard_ms"].is_null()), "{hosts}");
    // If the unauthenticated host is the owner of the plan's share, the others use fixed parts of it.
    wait_for("the host serves a completion", || {
        let answer = complete(fleet.hosts[0].callers, "still", 4, true).expect("the host answers");
        stream_text(&answer.body).is_some()
    });
}

/// More connections than the peer listener accepts at once send garbage, a frame header of four
/// gigabytes, or nothing. Peers must still exchange messages.
#[test]
fn garbage_on_the_peer_listener() {
    let fleet = Fleet::start(config(2));
    let addr = fleet.hosts[0].peers;
    let mut open = Vec::new();
    for index in 0..200 {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        let bytes: &[u8] = match index % 3 {
            0 => b"GET / HTTP/1.1\r\n\r\n",
            1 => b"\xff\xff\xff\xff",
            _ => b"",
        };
        drop(stream.write_all(bytes));
        open.push(stream);
    }
    let since_last_message = |fleet: &Fleet| {
        let status = fleet.status(0);
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        let peer = hosts.iter().find(|host| host["name"] == "host-2").cloned();
        peer.and_then(|peer| peer["heard_ms"].as_u64())
    };
    for _ in 0..3 {
        wait_for("a message of the peer arrives", || {
            since_last_message(&fleet).is_some_and(|ms| ms < 1500)
        });
    }
    let answer = complete(fleet.hosts[0].callers, "still", 4, true).expect("the host answers");
    assert!(stream_text(&answer.body).is_some());
}

/// Logs are read by people who may not see keys or prompts, so none may appear in them, also at the
/// levels that are used to find a fault.
#[test]
fn no_secret_in_the_log() {
    for level in ["debug", "trace"] {
        let mut fleet = Fleet::start(FleetConfig {
            limits: format!("[log]\nlevel = {level}\n"),
            ..config(2)
        });
        let addr = fleet.hosts[0].callers;
        assert!(complete(addr, PRIVATE_PROMPT, 8, true).is_some());
        assert!(complete(addr, PRIVATE_PROMPT, 8, false).is_some());
        assert!(call_service(addr, "POST", "/extensions", "private-key", PRIVATE_PROMPT).is_some());
        assert_eq!(service_runs(&fleet, "private-key"), 1);
        post(addr, Some("a wrong caller's key"), &body(PRIVATE_PROMPT));
        post(addr, Some(CUSTOMER_KEY), PRIVATE_PROMPT.as_bytes());
        fleet.backends[0].process.kill();
        complete(addr, PRIVATE_PROMPT, 8, true);
        fleet.hosts[0].process.term();
        fleet.hosts[0].process.wait_for_exit();
        for name in ["host-1", "host-2"] {
            let log = fleet.log(name);
            assert!(log.contains("host.stopp") || name == "host-2", "{log}");
            for secret in [
                CUSTOMER_KEY,
                OPERATOR_KEY,
                PEER_SECRET,
                PRIVATE_PROMPT,
                "a wrong caller's key",
            ] {
                let line = log.lines().find(|line| line.contains(secret));
                assert_eq!(line, None, "{secret:?} at level {level}");
            }
        }
    }
}
