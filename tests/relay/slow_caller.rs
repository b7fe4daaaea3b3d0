//! Callers that read nothing for a time while their answers arrive.

use std::time::Duration;

use serde_json::json;

use super::partition::{self, Cut};
use super::silence::config_with_timeout;
use super::standin::{Engine, SHORT_PROMPT};
use super::{Site, http, is_listed_ready, wait_for};

/// Events of a stream and bytes of each: together more than the queue of a host and the buffers of two connections hold.
const EVENTS: u64 = 640;
const EVENT_BYTES: usize = 64 * 1024;
/// Longer than a stream may be silent before its host looks for another server.
const PAUSE: Duration = Duration::from_secs(2);

/// Waits until servers, which are to write so many events, have written nothing for a time.
fn wait_until_held_back(servers: &[&Engine], events: u64) {
    let written = || servers.iter().map(|server| server.written()).sum::<u64>();
    let mut before = written();
    wait_for("the servers to be held back", || {
        std::thread::sleep(PAUSE);
        std::mem::replace(&mut before, written()) == before
    });
    assert!(before < events, "the buffers hold the whole stream");
}

/// A caller stops reading a stream for a time and reads on. Guards against a host that takes the server, of which it reads
/// nothing meanwhile, for a silent one, and moves the stream from a sound server.
#[test]
fn a_server_is_not_silent_while_its_caller_does_not_read() {
    let (one, two) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&one]);
    site.store.put("op/config", &config_with_timeout(2, 16_000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    for engine in [&one, &two] {
        engine.send_large_streams(EVENTS, EVENT_BYTES);
    }
    let mut headers = vec![("x-chiveway-attempt-id", "id-1")];
    headers.extend(SHORT_PROMPT);
    let answer = http::open(site.callers, "POST", "/short/x", &headers, b"body");
    let answer = answer.expect("the head of an answer");
    site.store.put("servers/d-2", &two.entry("ready"));
    wait_for("the other server in the list", || {
        is_listed_ready(&site.log(), "d-2")
    });
    wait_until_held_back(&[&one, &two], EVENTS);
    let answer = answer.rest();
    assert!(answer.complete, "{}", site.log());
    let text = answer.text();
    let mut numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    assert!((1..=EVENTS).all(|number| numbers.next() == Some(&number.to_string())));
    assert_eq!(numbers.next(), None, "an event came twice");
    assert!(
        two.request_heads("/short/x").is_empty(),
        "the stream was moved from a sound server:\n{}",
        site.log()
    );
}

/// A caller stops reading a stream for a time that its host has forwarded to another host. Guards against that host, which
/// reads nothing of the server meanwhile either, taking the server for a silent one.
#[test]
fn a_server_is_not_silent_while_the_caller_of_another_host_does_not_read() {
    let site = partition::Site::start(2);
    site.store.put("op/config", &config_with_timeout(2, 16_000));
    let [near, far] = &*site.hosts else {
        unreachable!()
    };
    for host in [near, far] {
        wait_for("the configuration", || {
            host.log().contains(r#""version":"2""#)
        });
    }
    site.lose_links(near, Cut::Refused);
    for engine in &site.engines {
        // Two hosts hold twice as much.
        engine.send_large_streams(2 * EVENTS, EVENT_BYTES);
    }
    let mut headers = vec![("x-chiveway-attempt-id", "slow")];
    headers.extend(SHORT_PROMPT);
    let answer = http::open(near.callers, "POST", "/short/x", &headers, b"slow");
    let answer = answer.expect("the head of an answer");
    let servers: Vec<&Engine> = site.engines.iter().collect();
    wait_until_held_back(&servers, 2 * EVENTS);
    let answer = answer.rest();
    assert!(answer.complete, "{}\n{}", near.log(), far.log());
    assert_eq!(site.runs("slow"), 1, "{}", far.log());
}

/// Size of an answer in one piece that the buffers of a connection do not hold.
const ANSWER_BYTES: usize = 12 * 1024 * 1024;

/// Checks that an answer that a caller reads slowly is whole although its host stops meanwhile.
fn check_stop(server: &Engine, path: &str, body: &[u8], expected_bytes: usize) {
    let mut site = Site::new();
    let mut config = config_with_timeout(2, 16_000);
    config["limits"]["maxBodyBytes"] = json!(2 * ANSWER_BYTES);
    site.store.put("op/config", &config);
    site.store
        .put(&format!("servers/{}", server.id), &server.entry("ready"));
    site.wait_ready();
    server.send_large_streams(EVENTS, EVENT_BYTES);
    let mut headers = vec![("x-chiveway-attempt-id", "id-1")];
    headers.extend(SHORT_PROMPT);
    let answer = http::open(site.callers, "POST", path, &headers, body);
    let answer = answer.expect("the head of an answer");
    site.host.term();
    std::thread::sleep(PAUSE);
    let answer = answer.rest();
    assert!(answer.complete, "{}", site.log());
    assert!(answer.body.len() >= expected_bytes, "{}", answer.body.len());
    assert!(site.host.wait_for_exit().success());
}

/// A caller reads a stream slowly while its host stops. Guards against a stop that cuts it.
#[test]
fn a_stop_waits_for_a_stream_that_is_read_slowly() {
    let bytes = usize::try_from(EVENTS).expect("a size") * EVENT_BYTES;
    check_stop(&Engine::model("d-1", "decode"), "/short/x", b"body", bytes);
}

/// A caller reads an answer in one piece slowly while its host stops, which has no request under way any more. Guards against
/// a stop that ends before its last answer is sent.
#[test]
fn a_stop_waits_for_an_answer_that_is_read_slowly() {
    let body = vec![b'x'; ANSWER_BYTES];
    check_stop(&Engine::plain("s-1"), "/once/x", &body, ANSWER_BYTES);
}

/// Memory that the settings allow a host, and the bytes from which on it reads no more for slow callers.
const MEMORY: usize = 16 << 20;
const MAX_UNREAD: usize = MEMORY / 8;
/// Callers that stop reading, and the events of each answer: together far more than the memory.
const SLOW_CALLERS: usize = 24;
const UNREAD_EVENTS: u64 = 160;

/// Returns a gauge of a host.
pub fn gauge(site: &Site, name: &str) -> Option<usize> {
    let answer = http::send(site.metrics, "GET", "/metrics", &[], b"")?;
    let text = answer.text();
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Many callers stop reading their streams at a host with little memory. Guards against a host that holds what engines go on
/// to send, and is ended for its memory with all its requests.
#[test]
fn many_slow_callers_do_not_fill_the_memory_of_a_host() {
    let engine = Engine::model("d-1", "decode");
    let memory = format!("memory = {}MiB\n[store]", MEMORY >> 20);
    let site = Site::with_settings(|settings| settings.replace("[store]", &memory));
    site.configure(&[&engine]);
    site.store.put("op/config", &config_with_timeout(2, 30_000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    engine.send_large_streams(UNREAD_EVENTS, EVENT_BYTES);
    let answers = (0..SLOW_CALLERS).map(|number| {
        let id = format!("id-{number}");
        let mut headers = vec![("x-chiveway-attempt-id", &*id)];
        headers.extend(SHORT_PROMPT);
        let answer = http::open(site.callers, "POST", "/short/x", &headers, b"body");
        answer.expect("the head of an answer")
    });
    let answers: Vec<http::OpenAnswer> = answers.collect();
    wait_until_held_back(&[&engine], UNREAD_EVENTS * SLOW_CALLERS as u64);
    let held = gauge(&site, "chiveway_held_bytes").expect("the gauge of held bytes");
    // Each reader may have one event beyond the bound.
    assert!(
        held > 0 && held <= MAX_UNREAD + SLOW_CALLERS * 2 * EVENT_BYTES,
        "{held} bytes"
    );
    for answer in answers {
        assert!(answer.rest().complete, "{}", site.log());
    }
}
