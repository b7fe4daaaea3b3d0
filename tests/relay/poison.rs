//! A request that crashes the servers that run it, sent to two hosts in turn.

use std::net::SocketAddr;

use super::standin::{Engine, SHORT_PROMPT};
use super::watcher::SecondHost;
use super::{LOG_FILE, Site, http, is_listed_ready, wait_for};

/// Body of the request.
const POISON: &[u8] = b"poison";
/// Times that the caller sends it.
const SEND_COUNT: usize = 12;
/// Crashes after which every host refuses it.
const MAX_CRASHES: usize = 2;

/// Servers of one service; a crashed one is replaced by another.
struct Servers {
    all: Vec<Engine>,
    start: fn(&str) -> Engine,
}

impl Servers {
    fn start(count: usize, start: fn(&str) -> Engine) -> Self {
        let mut servers = Self {
            all: Vec::new(),
            start,
        };
        for _ in 0..count {
            servers.add();
        }
        servers
    }

    fn add(&mut self) -> &Engine {
        let engine = (self.start)(&format!("s-{}", self.all.len()));
        engine.crash_on(POISON);
        self.all.push(engine);
        &self.all[self.all.len() - 1]
    }

    fn crash_count(&self) -> usize {
        self.all
            .iter()
            .filter(|engine| engine.poisoned_at().is_some())
            .count()
    }
}

/// Sends the request to each host in turn and replaces each server that it crashes; returns the number of crashes, and
/// the status and text of the last answer of each host.
fn send_to_both(mut servers: Servers, path: &str) -> (usize, [Option<(u16, String)>; 2]) {
    let site = Site::ready(&servers.all.iter().collect::<Vec<_>>());
    let second = SecondHost::start(&site);
    let listed_at_both = |id: &str| {
        let logs = [site.log(), second.folder.read(LOG_FILE)];
        logs.iter().all(|log| is_listed_ready(log, id))
    };
    second.wait_joined(&site, &servers.all);
    let mut answers = [None, None];
    for number in 0..SEND_COUNT {
        let before = servers.crash_count();
        let host = number % 2;
        let callers = [site.callers, second.callers][host];
        answers[host] = send_poison(callers, path, &format!("id-{number}"));
        let crashed = servers
            .all
            .iter()
            .filter(|engine| engine.poisoned_at().is_some());
        for engine in crashed {
            site.store.remove(&format!("servers/{}", engine.id));
        }
        for _ in before..servers.crash_count() {
            let new = servers.add();
            site.store
                .put(&format!("servers/{}", new.id), &new.entry("ready"));
            let id = new.id.clone();
            wait_for("the new server at both hosts", || listed_at_both(&id));
        }
    }
    (servers.crash_count(), answers)
}

/// Sends the request to a host; returns the status and the text of its answer.
fn send_poison(callers: SocketAddr, path: &str, id: &str) -> Option<(u16, String)> {
    let mut headers = vec![
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", "8000"),
    ];
    headers.extend(SHORT_PROMPT);
    let answer = http::send(callers, "POST", path, &headers, POISON)?;
    Some((answer.status, answer.text()))
}

fn assert_refused(answer: Option<(u16, String)>) {
    let (status, text) = answer.expect("an answer");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("engine-killer"), "{text}");
}

/// A host starts after two servers crashed, while the only host that saw it is frozen. Guards against a host that
/// learns of crashes by gossip alone.
#[test]
fn a_host_that_starts_later_refuses_a_request_that_crashed_servers() {
    let servers = Servers::start(4, Engine::plain);
    let site = Site::ready(&servers.all.iter().collect::<Vec<_>>());
    for number in 0..MAX_CRASHES {
        send_poison(site.callers, "/once/x", &format!("id-{number}"));
    }
    assert_eq!(servers.crash_count(), MAX_CRASHES);
    wait_for("the request in the store", || {
        site.store.has_prefix("chiveway/poison/")
    });
    site.host.freeze();
    let second = SecondHost::start(&site);
    let mut count = 0;
    wait_for("an answer to another request", || {
        count += 1;
        let headers = [("x-chiveway-attempt-id", "other")];
        let body = format!("body {count}");
        let answer = http::send(second.callers, "POST", "/once/x", &headers, body.as_bytes());
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert_refused(send_poison(second.callers, "/once/x", "id-9"));
    assert_eq!(servers.crash_count(), MAX_CRASHES);
}

/// Defines one test for each kind of request.
macro_rules! refused_at_both_hosts {
    ($($name:ident: $start:expr, $path:expr;)*) => {$(
        /// Guards against a host that sends the request to servers although another host saw it crash two.
        #[test]
        fn $name() {
            let servers = Servers::start(4, $start);
            let (crashes, answers) = send_to_both(servers, $path);
            assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed, {answers:?}");
            for answer in answers {
                assert_refused(answer);
            }
        }
    )*};
}

refused_at_both_hosts! {
    a_call_that_crashes_servers_is_refused_by_both_hosts: Engine::plain, "/once/x";
    a_retryable_call_that_crashes_servers_is_refused_by_both_hosts: Engine::plain, "/again/x";
    a_stream_that_crashes_engines_is_refused_by_both_hosts: |id| Engine::model(id, "decode"), "/long/x";
    a_resumable_stream_that_crashes_engines_is_refused_by_both_hosts: |id| Engine::model(id, "decode"), "/short/x";
}
