//! Streams of engines with two software versions, in one answer and taken up at a second host.

use std::net::SocketAddr;

use super::cut::FaultProxy;
use super::standin::{Engine, SHORT_PROMPT, senders};
use super::watcher::SecondHost;
use super::{LOG_FILE, Site, http, is_listed_as, is_listed_ready, wait_for};

/// Streams of each test.
const STREAM_COUNT: usize = 24;

/// Returns three engines of each of two versions, whose ids begin with the version.
fn engines() -> Vec<Engine> {
    let names = ["v1-a", "v1-b", "v1-c", "v2-a", "v2-b", "v2-c"];
    let engines = names.map(|name| {
        let engine = Engine::model(name, "decode");
        engine.set_version(&name[..2]);
        engine
    });
    engines.into()
}

fn headers(id: &str) -> Vec<(&str, &str)> {
    let mut headers = vec![
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", "8000"),
    ];
    headers.extend(SHORT_PROMPT);
    headers
}

/// Begins a stream and closes its connection after the first event; returns the engine that sent it.
fn begin(callers: SocketAddr, id: &str) -> String {
    let answer = http::open(callers, "POST", "/short/x", &headers(id), b"body");
    let mut answer = answer.expect("an answer");
    let first = answer.next_chunk().expect("an event").expect("an event");
    senders(&String::from_utf8_lossy(&first)).remove(0)
}

/// Takes a stream up; returns the engines that sent its other events, none if it was refused.
fn take_up(callers: SocketAddr, id: &str, resumes: &str) -> Vec<String> {
    let mut headers = headers(id);
    headers.extend([("last-event-id", "1"), ("resumes", resumes)]);
    let answer = http::send(callers, "POST", "/short/x", &headers, b"body");
    let answer = answer.expect("an answer");
    let text = answer.text();
    if answer.status == 503 {
        assert!(text.contains(r#""ran":"no""#), "{text}");
        return Vec::new();
    }
    assert_eq!((answer.status, answer.complete), (200, true), "{text}");
    assert!(text.starts_with("id: 2\n"), "{text}");
    senders(&text)
}

/// A site with a second host, both of which list all engines.
fn with_second_host(engines: &[Engine]) -> (Site, SecondHost) {
    let site = Site::ready(&engines.iter().collect::<Vec<_>>());
    let second = SecondHost::start(&site);
    second.wait_joined(&site, engines);
    (site, second)
}

/// Takes streams up that began at these engines; none may go on at another version, and half of them must go on.
fn assert_taken_up(callers: SocketAddr, streams: &[(String, String)]) {
    let mut went_on = 0;
    for (id, first) in streams {
        let others = take_up(callers, &format!("again-{id}"), id);
        let is_same = |other: &String| other[..2] == first[..2];
        assert!(others.iter().all(is_same), "{first}, then {others:?}");
        went_on += usize::from(!others.is_empty());
    }
    assert!(went_on * 2 >= streams.len(), "{went_on} went on");
}

/// Begins streams; returns the id of each and the engine that sent its first event.
fn begin_all(callers: SocketAddr) -> Vec<(String, String)> {
    let ids = (0..STREAM_COUNT).map(|number| format!("one-{number}"));
    ids.map(|id| (id.clone(), begin(callers, &id))).collect()
}

/// Guards against a stream that another host takes up at another software version, and against one that refuses all.
#[test]
fn a_stream_is_taken_up_at_its_version() {
    let engines = engines();
    let (site, second) = with_second_host(&engines);
    let streams = begin_all(site.callers);
    assert_taken_up(second.callers, &streams);
}

/// The host at which streams began is killed. Guards against versions that only the first host knows.
#[test]
fn a_stream_of_a_killed_host_is_taken_up_at_its_version() {
    let engines = engines();
    let (mut site, second) = with_second_host(&engines);
    for engine in &engines {
        engine.hold_streams();
    }
    let streams = begin_all(site.callers);
    site.host.kill();
    for engine in &engines {
        engine.release_streams();
    }
    assert_taken_up(second.callers, &streams);
}

/// The only engine of a version breaks a stream off and ends. Guards against an answer that goes on at another version.
#[test]
fn an_answer_holds_events_of_one_version() {
    let engines = engines();
    let site = Site::ready(&engines.iter().collect::<Vec<_>>());
    for number in 0..STREAM_COUNT {
        for engine in &engines {
            engine.break_after(2);
        }
        let id = format!("one-{number}");
        let answer = http::send(site.callers, "POST", "/short/x", &headers(&id), b"body");
        let text = answer.expect("an answer").text();
        let senders = senders(&text);
        assert!(
            senders.iter().all(|other| other[..2] == senders[0][..2]),
            "{text}"
        );
    }
}

/// Waits until a host knows that its engines have had one version for long: it then goes on with a stream of an attempt that
/// no host knows.
fn wait_only_version(callers: SocketAddr) {
    let mut number = 0;
    let mut goes_on = || {
        number += 1;
        !take_up(callers, &format!("probe-{number}"), "none").is_empty()
    };
    // Hosts remember versions for as long as one wait may take.
    let is_known = (0..600).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(100));
        goes_on()
    });
    assert!(is_known, "the host knows no only version");
}

/// A host is cut off from the store and from the other one while engines of a new version join, at which streams begin through
/// the other host. Guards against a host that takes a view for current since it is a second old.
#[test]
fn a_host_out_of_step_mixes_no_versions() {
    let old: Vec<Engine> = engines().into_iter().take(3).collect();
    let site = Site::ready(&old.iter().collect::<Vec<_>>());
    let link = FaultProxy::start(site.store.addr);
    let second = SecondHost::start_in("z2", link.addr);
    second.wait_joined(&site, &old);
    wait_only_version(second.callers);

    link.silence();
    site.store.remove("chiveway/hosts/host-2");
    let new: Vec<Engine> = engines().into_iter().skip(3).collect();
    for engine in &new {
        let key = format!("servers/{}", engine.id);
        site.store.put(&key, &engine.entry("ready"));
    }
    wait_for("the first host to list the new engines", || {
        let log = site.log();
        new.iter().all(|engine| is_listed_ready(&log, &engine.id)) && log.contains("host.left")
    });
    // The prefix cache of the old engines would draw all streams to them.
    for engine in &old {
        site.store.remove(&format!("servers/{}", engine.id));
    }
    wait_for("the first host to list the new engines alone", || {
        let log = site.log();
        old.iter()
            .all(|engine| is_listed_as(&log, &engine.id, "gone"))
    });
    for (id, first) in begin_all(site.callers) {
        assert!(first.starts_with("v2"), "{id} began at {first}");
        let others = take_up(second.callers, &format!("again-{id}"), &id);
        assert!(
            others.iter().all(|other| other.starts_with("v2")),
            "{first}, then {others:?}: {}",
            second.folder.read(LOG_FILE)
        );
    }
}
