//! The real program as a relaying host, before stand-ins of a store, of engines and of a plain
//! server that speak the users' platform's protocol.

mod era;
mod follow;
#[path = "../common/http.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod http;
mod limit;
#[path = "../fleet/support/process.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod process;
mod silence;
#[expect(dead_code, reason = "shared with the soak, which uses all of it")]
mod standin;
mod stop;

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use process::{Process, TempDir};
use standin::{Engine, LONG, SHORT, Store, config, settings};

/// Bound of any wait; far above what a test waits for.
const LIMIT: Duration = Duration::from_secs(30);

/// Waits until something holds.
///
/// # Panics
///
/// When it does not in [`LIMIT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "{what} did not come about");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns whether a host has logged that the list names this backend server as ready.
fn lists(log: &str, id: &str) -> bool {
    listed_as(log, id, "ready")
}

/// Returns whether a host has logged that the list names this backend server in a state.
fn listed_as(log: &str, id: &str, state: &str) -> bool {
    let events = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut listed = events.filter(|event| event["event"] == "backend.listed");
    listed.any(|event| event["backend"] == id && event["state"] == state)
}

/// A host before its stand-ins.
struct Site {
    store: Store,
    host: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: TempDir,
}

/// Name of the file that takes a host's log lines.
const LOG: &str = "host.log";

impl Site {
    fn new() -> Self {
        Self::with_grace("8s")
    }

    /// Starts a host that is killed so long after it was asked to stop.
    fn with_grace(grace: &str) -> Self {
        let store = Store::start();
        let folder = TempDir::new();
        let settings = settings("host-1", store.addr).replace("8s", grace);
        let config = folder.write("host.ini", &settings);
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG, "");
        let host = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&host.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
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

    /// Puts a configuration in force and waits until the host is ready and knows every engine.
    ///
    /// A host is ready with the first backend server that it knows; the store may tell of another one
    /// in its next answer, and a request for that one's service is refused until then.
    fn configure(&self, engines: &[&Engine]) {
        self.store.put("op/config", &config(1, "/short/"));
        for engine in engines {
            self.store
                .put(&format!("servers/{}", engine.id), &engine.entry("ready"));
        }
        self.wait_ready();
        wait_for("every engine", || {
            let log = self.log();
            engines.iter().all(|engine| lists(&log, &engine.id))
        });
    }

    /// Returns what the host has logged.
    fn log(&self) -> String {
        self.folder.read(LOG)
    }

    fn wait_ready(&self) {
        wait_for("readiness", || {
            let answer = http::send(self.readiness, "GET", "/v1/readyz", &[], b"");
            answer.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Has a caller ask for a stream from an engine, and waits until it is there.
    fn stream(&self, id: &'static str, engine: &Engine) -> JoinHandle<Option<http::Answer>> {
        let callers = self.callers;
        let running = std::thread::spawn(move || {
            let mut headers = vec![("x-chiveway-attempt-id", id)];
            headers.extend(SHORT);
            http::send(callers, "POST", "/short/x", &headers, b"body")
        });
        wait_for("the stream", || engine.seen("/short/x").len() == 1);
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
fn a_request_of_each_kind_is_served_whole() {
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
    let answer = site.send("/long/x", "id-2", &LONG).expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text(), standin::events("d-1", 1..=4));
    assert_eq!(
        prefill.seen("/long/x").len(),
        1,
        "the prompt was prefilled apart"
    );
    let taken = decode.seen("/long/x");
    assert!(taken[0].contains("x-chiveway-kv-source: "), "{taken:?}");
    let answer = site.send("/short/x", "id-3", &SHORT).expect("an answer");
    assert!(answer.complete && answer.text().contains("id: 4"));
}

/// Callers forge the headers by which hosts speak to engines. Passed on, they would skip the
/// prefill or take a KV cache of another caller.
#[test]
fn forged_headers_reach_no_backend_server() {
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
    let head = plain.seen("/once/x").remove(0);
    assert!(head.contains("x-mine: kept") && head.contains("x-chiveway-expect-instance: s-1"));
    assert!(
        !head.contains("serving-stage") && !head.contains("kv-source"),
        "{head}"
    );
    assert!(!head.contains("kv-fetch"), "{head}");
}

/// The operator adds a route and drops another. Both are in force soon after the store took it.
#[test]
fn a_configuration_comes_into_force() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let site = Site::ready(&[&plain, &decode]);
    let status = |path: &str| site.send(path, "id", &SHORT).map(|answer| answer.status);
    assert_eq!(status("/new/x"), Some(404));
    assert_eq!(status("/short/x"), Some(200));
    site.store.put("op/config", &config(2, "/new/"));
    wait_for("the new route", || status("/new/x") == Some(200));
    assert_eq!(status("/short/x"), Some(404));
}

/// A backend server reports that it is about to end. What was on its way is finished, and nothing
/// more goes there once the store has told.
#[test]
fn a_leaving_backend_server_gets_nothing_more() {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&one, &two]);
    site.store.put("servers/s-1", &one.entry("draining"));
    // The change is known once a later one is.
    site.store.put("op/config", &config(2, "/new/"));
    let decode = Engine::model("d-1", "decode");
    site.store.put("servers/d-1", &decode.entry("ready"));
    wait_for("the later change", || {
        site.send("/new/x", "id", &SHORT)
            .is_some_and(|answer| answer.status == 200)
    });
    let before = one.seen("/once/x").len();
    for _ in 0..20 {
        site.send("/once/x", "id", &[]).expect("an answer");
    }
    assert_eq!(one.seen("/once/x").len(), before);
    assert_eq!(two.seen("/once/x").len(), 20);
}

/// All engines decode. The host that holds the authority has some prefill, with a fencing number
/// that the store gave and the count of orders that the engine told.
#[test]
fn engines_are_ordered_with_authority() {
    let engines: Vec<Engine> = (1..=4)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    let site = Site::ready(&engines.iter().collect::<Vec<_>>());
    let orders = || -> Vec<Value> {
        engines
            .iter()
            .flat_map(|engine| engine.bodies("/v1/order"))
            .collect()
    };
    wait_for("an order", || !orders().is_empty());
    let order = orders().remove(0);
    assert_eq!(order["operation"], "stage");
    assert_eq!(order["stage"], "prefill");
    assert_eq!(order["holder"], "host-1");
    assert_eq!(order["expectedRevision"], 0);
    let fence = order["fencingToken"].as_i64().expect("a fencing number");
    let created = site
        .store
        .created("chiveway/planner")
        .expect("the authority");
    // The store is in its first era.
    assert_eq!(fence, (1 << 40) + created);
}

/// An engine breaks off in the middle of an event. A stream that may go on does so elsewhere with
/// no piece missing or twice; one that may not must look cut.
#[test]
fn a_broken_stream_goes_on_or_looks_cut() {
    let (one, two) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&one, &two]);
    one.break_after(2);
    two.break_after(2);
    let answer = site.send("/long/x", "id-1", &LONG).expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, false));
    // Which engine it goes to is the host's choice; the one that goes on does not break off.
    one.break_after(2);
    two.break_after(2);
    let answer = site.send("/short/x", "id-2", &SHORT).expect("an answer");
    assert!(answer.complete, "{}", answer.text());
    let text = answer.text();
    let ids: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("id:"))
        .collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let heads = [one.seen("/short/x"), two.seen("/short/x")].concat();
    assert!(heads.iter().any(|head| head.contains("last-event-id: 2")));
}

/// A backend server answers a request that it was never asked for in place of this one. Its answer
/// belongs to another caller.
#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    plain.answer_as("another");
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 502);
    assert!(!answer.text().contains("s-1 /once/x"));
}

/// The host is asked to stop while a stream runs. The stream is finished, and the process ends.
#[test]
fn a_planned_stop_cuts_nothing() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::ready(&[&decode]);
    decode.hold();
    let running = site.stream("id-1", &decode);
    site.host.term();
    wait_for("unreadiness", || {
        let answer = http::send(site.readiness, "GET", "/v1/readyz", &[], b"");
        answer.is_none_or(|answer| answer.status != 200)
    });
    decode.release();
    let answer = running.join().expect("a caller").expect("an answer");
    assert!(answer.complete && answer.status == 200);
    wait_for("the end of the process", || site.host.has_exited());
}

/// A host's settings change just after its start. It must not end of that: callers that it had
/// accepted would be cut.
#[test]
fn a_reload_just_after_the_start_ends_nothing() {
    for _ in 0..10 {
        let mut site = Site::new();
        site.host.hup();
        let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
        assert_eq!(answer.status, 503, "it lives and knows nothing yet");
        assert!(!site.host.has_exited());
    }
}

/// A body is larger than the operator allows.
#[test]
fn a_body_that_is_too_large_runs_nowhere() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    let headers = [("x-chiveway-attempt-id", "id-1")];
    let answer = http::send(site.callers, "POST", "/once/x", &headers, &[b'x'; 5000]);
    assert_eq!(answer.map(|answer| answer.status), Some(413));
    assert!(plain.seen("/once/x").is_empty());
}

/// The store is away when the host starts. It is not ready, and what it cannot know it does not
/// call unknown.
#[test]
fn a_host_without_a_store_refuses_with_a_time_to_come_back() {
    let site = Site::new();
    site.store.stop_answering();
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    let ready = http::send(site.readiness, "GET", "/v1/readyz", &[], b"");
    assert_eq!(ready.map(|answer| answer.status), Some(503));
}
