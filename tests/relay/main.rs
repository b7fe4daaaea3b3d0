//! Runs the real program as a relaying host in front of stand-ins of a store, engines and a plain server
//! that implement the platform's protocol.

mod broken_off;
mod crowd;
#[path = "../fleet/support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod cut;
mod descriptors;
mod duties;
mod early_bytes;
mod endless;
mod endless_callers;
mod endless_calls;
mod endless_memory;
mod era;
mod framing;
mod hang;
mod host_pauses;
#[path = "../common/http.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod http;
mod kept_connection;
mod keys;
mod late_copies;
mod late_server;
mod leaving;
mod left_callers;
mod limit;
mod partition;
mod parts;
mod pauses;
mod poison;
#[path = "../fleet/support/process.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod process;
mod pushback;
mod refused;
mod script;
mod silence;
mod slow_caller;
#[expect(dead_code, reason = "shared with the soak, which uses all of it")]
mod standin;
mod stop;
mod stop_forwarded;
mod stop_steps;
mod unstated;
mod versions;
mod watcher;

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use process::{Process, TempDir};
use standin::{Engine, LONG_PROMPT, SHORT_PROMPT, Store, config, settings};

/// Time limit of any wait; far above what a test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `holds` returns true.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns whether a host has logged this backend server as listed and ready.
fn is_listed_ready(log: &str, id: &str) -> bool {
    is_listed_as(log, id, "ready")
}

/// Returns whether a host has logged this backend server as listed in a state.
fn is_listed_as(log: &str, id: &str, state: &str) -> bool {
    let events = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut listed = events.filter(|event| event["event"] == "backend.listed");
    listed.any(|event| event["backend"] == id && event["state"] == state)
}

/// A host and its store.
struct Site {
    store: Store,
    host: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    folder: TempDir,
}

/// File name of a host's log.
const LOG_FILE: &str = "host.log";

impl Site {
    fn new() -> Self {
        Self::with_grace("8s")
    }

    /// Starts a host with this grace period for a stop.
    fn with_grace(grace: &str) -> Self {
        Self::with_settings(|settings| settings.replace("8s", grace))
    }

    /// Starts a host with changed settings.
    fn with_settings(change: impl Fn(String) -> String) -> Self {
        let store = Store::start();
        let folder = TempDir::new();
        let settings = change(settings("host-1", store.addr));
        let config = folder.write("host.ini", &settings);
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG_FILE, "");
        let host = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&host.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            metrics: addr("metrics").expect("the listener for metrics"),
            store,
            host,
            folder,
        }
    }

    /// Starts a host with a configuration and waits until it is ready.
    fn ready(engines: &[&Engine]) -> Self {
        let site = Self::new();
        site.configure(engines);
        site
    }

    /// Writes a configuration and waits until the host is ready and has every engine listed.
    ///
    /// A host is ready with its first backend server. The next one may arrive with a later answer of the
    /// store; requests for its service are refused until then.
    fn configure(&self, engines: &[&Engine]) {
        self.store.put("op/config", &config(1, "/short/"));
        for engine in engines {
            self.store
                .put(&format!("servers/{}", engine.id), &engine.entry("ready"));
        }
        self.wait_ready();
        wait_for("every engine in the list", || {
            let log = self.log();
            engines
                .iter()
                .all(|engine| is_listed_ready(&log, &engine.id))
        });
    }

    /// Returns the host's log.
    fn log(&self) -> String {
        self.folder.read(LOG_FILE)
    }

    fn wait_ready(&self) {
        wait_for("readiness", || {
            let answer = http::send(self.readiness, "GET", "/v1/readyz", &[], b"");
            answer.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Requests a stream from another thread, and waits until it has reached the engine.
    fn stream(&self, id: &'static str, engine: &Engine) -> JoinHandle<Option<http::Answer>> {
        let callers = self.callers;
        let running = std::thread::spawn(move || {
            let mut headers = vec![("x-chiveway-attempt-id", id)];
            headers.extend(SHORT_PROMPT);
            http::send(callers, "POST", "/short/x", &headers, b"body")
        });
        wait_for("the stream to reach the engine", || {
            engine.request_heads("/short/x").len() == 1
        });
        running
    }

    fn send(&self, path: &str, id: &str, more: &[(&str, &str)]) -> Option<http::Answer> {
        let mut headers = vec![
            ("x-chiveway-attempt-id", id),
            ("x-chiveway-deadline-ms", "8000"),
        ];
        headers.extend(more);
        http::send(self.callers, "POST", path, &headers, b"body")
    }
}

#[test]
fn each_kind_of_request_gets_a_complete_answer() {
    let (plain, prefill, decode) = (
        Engine::plain("s-1"),
        Engine::model("p-1", "prefill"),
        Engine::model("d-1", "decode"),
    );
    let site = Site::ready(&[&plain, &prefill, &decode]);
    for path in ["/once/x", "/again/x?q=1"] {
        let answer = site.send(path, "id-1", &[]).expect("an answer");
        assert_eq!(
            (answer.status, answer.text()),
            (200, format!("s-1 {path} body"))
        );
        assert_eq!(answer.header("x-chiveway-server-stamp"), Some("s-1"));
    }
    let answer = site
        .send("/long/x", "id-2", &LONG_PROMPT)
        .expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text(), standin::events("d-1", 1..=4));
    assert_eq!(
        prefill.request_heads("/long/x").len(),
        1,
        "the prompt was not prefilled at the prefill engine"
    );
    let heads = decode.request_heads("/long/x");
    assert!(heads[0].contains("x-chiveway-kv-source: "), "{heads:?}");
    let answer = site
        .send("/short/x", "id-3", &SHORT_PROMPT)
        .expect("an answer");
    assert!(answer.complete && answer.text().contains("id: 4"));
}

/// A caller sends headers that hosts use internally towards engines. Guards against forwarding them: the
/// request could skip the prefill or read another caller's KV cache.
#[test]
fn internal_headers_from_callers_are_not_forwarded() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    let forged = [
        ("x-chiveway-serving-stage", "prefill"),
        ("x-chiveway-kv-source", "127.0.0.1:1/h"),
        ("x-chiveway-expect-instance", "s-9"),
        ("kv-fetch", "127.0.0.1:1"),
        ("x-mine", "kept"),
    ];
    site.send("/once/x", "id-1", &forged).expect("an answer");
    let head = plain.request_heads("/once/x").remove(0);
    assert!(head.contains("x-mine: kept") && head.contains("x-chiveway-expect-instance: s-1"));
    assert!(
        !head.contains("serving-stage") && !head.contains("kv-source"),
        "{head}"
    );
    assert!(!head.contains("kv-fetch"), "{head}");
}

/// The operator adds a route and removes another. Guards against a host that keeps the old routes.
#[test]
fn a_new_configuration_replaces_the_routes() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| {
        site.send(path, "id", &SHORT_PROMPT)
            .map(|answer| answer.status)
    };
    assert_eq!(status("/new/x"), Some(404));
    assert_eq!(status("/short/x"), Some(200));
    site.store.put("op/config", &config(2, "/new/"));
    wait_for("the new route", || status("/new/x") == Some(200));
    assert_eq!(status("/short/x"), Some(404));
}

/// A backend server reports that it is draining. Guards against a host that has read this from the store and
/// still sends it requests, which fail when the server ends.
#[test]
fn a_draining_backend_server_gets_no_new_requests() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    site.store.put("servers/s-1", &one.entry("draining"));
    // The host reads changes in order: it has read this one once a later one is applied.
    site.store.put("op/config", &config(2, "/new/"));
    let decode = Engine::model("d-1", "decode");
    site.store.put("servers/d-1", &decode.entry("ready"));
    wait_for("the later change to be applied", || {
        site.send("/new/x", "id", &SHORT_PROMPT)
            .is_some_and(|answer| answer.status == 200)
    });
    let before = one.request_heads("/once/x").len();
    for _ in 0..20 {
        site.send("/once/x", "id", &[]).expect("an answer");
    }
    assert_eq!(one.request_heads("/once/x").len(), before);
    assert_eq!(two.request_heads("/once/x").len(), 20);
}

/// All engines decode, so the authority's holder orders some to prefill. Guards against an order without the
/// fencing token from the store or the order count that the engine reported: it would not be fenced.
#[test]
fn stage_orders_carry_the_fencing_token() {
    let engines: Vec<Engine> = (1..=4)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    let site = Site::ready(&engines.iter().collect::<Vec<_>>());
    let orders = || -> Vec<Value> {
        engines
            .iter()
            .flat_map(|engine| engine.request_bodies("/v1/order"))
            .collect()
    };
    wait_for("a stage order", || !orders().is_empty());
    let order = orders().remove(0);
    assert_eq!(order["operation"], "stage");
    assert_eq!(order["stage"], "prefill");
    assert_eq!(order["holder"], "host-1");
    assert_eq!(order["expectedRevision"], 0);
    let fence = order["fencingToken"].as_i64().expect("a fencing token");
    let created = site
        .store
        .created("chiveway/planner")
        .expect("the authority");
    // The token is the store's era, 1 here, shifted by 40 bits, plus the revision.
    assert_eq!(fence, (1 << 40) + created);
}

/// An engine breaks a stream off in the middle of an event. Guards against missing or duplicate events in a
/// resumable stream, and against any other stream that looks complete.
#[test]
fn a_broken_stream_resumes_or_ends_incomplete() {
    let (one, two) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&one, &two]);
    one.break_after(2);
    two.break_after(2);
    let answer = site
        .send("/long/x", "id-1", &LONG_PROMPT)
        .expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, false));
    // The host may choose either engine; a resumed stream does not break off again.
    one.break_after(2);
    two.break_after(2);
    let answer = site
        .send("/short/x", "id-2", &SHORT_PROMPT)
        .expect("an answer");
    assert!(answer.complete, "{}", answer.text());
    let text = answer.text();
    let ids: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("id:"))
        .collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let heads = [one.request_heads("/short/x"), two.request_heads("/short/x")].concat();
    assert!(heads.iter().any(|head| head.contains("last-event-id: 2")));
}

/// A backend server answers with the id of another request. Guards against forwarding an answer that
/// belongs to another caller.
#[test]
fn an_answer_to_another_request_is_not_forwarded() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    plain.answer_as("another");
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 502);
    assert!(!answer.text().contains("s-1 /once/x"));
}

/// The host receives SIGTERM while a stream runs. Guards against a stop that cuts the stream or never ends.
#[test]
fn a_planned_stop_finishes_running_streams() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::ready(&[&decode]);
    decode.hold_streams();
    let running = site.stream("id-1", &decode);
    site.host.term();
    wait_for("the host to report that it is not ready", || {
        let answer = http::send(site.readiness, "GET", "/v1/readyz", &[], b"");
        answer.is_none_or(|answer| answer.status != 200)
    });
    decode.release_streams();
    let answer = running.join().expect("a caller").expect("an answer");
    assert!(answer.complete && answer.status == 200);
    wait_for("the process to exit", || site.host.has_exited());
}

/// A host receives SIGHUP just after its start. Guards against the signal ending the process, which would cut
/// accepted connections.
#[test]
fn a_reload_just_after_start_does_not_end_the_host() {
    for _ in 0..10 {
        let mut site = Site::new();
        site.host.hup();
        let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
        assert_eq!(answer.status, 503, "the host runs without a configuration");
        assert!(!site.host.has_exited());
    }
}

/// A body exceeds the operator's limit. Guards against sending it to a server all the same.
#[test]
fn an_oversized_body_is_rejected_before_it_runs() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    let headers = [("x-chiveway-attempt-id", "id-1")];
    let answer = http::send(site.callers, "POST", "/once/x", &headers, &[b'x'; 5000]);
    assert_eq!(answer.map(|answer| answer.status), Some(413));
    assert!(plain.request_heads("/once/x").is_empty());
}

/// The store is down when the host starts. Guards against reporting readiness, and against answering 404 for
/// a route that the host has not been able to read.
#[test]
fn a_host_without_a_store_refuses_with_retry_after() {
    let site = Site::new();
    site.store.go_down();
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    let ready = http::send(site.readiness, "GET", "/v1/readyz", &[], b"");
    assert_eq!(ready.map(|answer| answer.status), Some(503));
}
