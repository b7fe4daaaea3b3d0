//! Servers that fall silent at any place of an answer of any kind and framing, and go on, beside a change of the
//! configuration.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use super::broken_off::Kind;
use super::silence;
use serde_json::{Value, json};

use super::standin::engine::{EVENT_COUNT, Pause};
use super::standin::torn::Framing;
use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT, events};
use super::{Site, http, wait_for};

/// Kinds of requests.
const KINDS: [Kind; 5] = [
    Kind::Once,
    Kind::Again,
    Kind::Stream,
    Kind::Decoded,
    Kind::Resumable,
];
/// Longer than a stream may be silent before its host looks for another server.
const SILENCE: Duration = Duration::from_millis(1500);

/// What the servers do with requests that are registered while the first ones are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// There are none.
    Absent,
    /// They refuse them as not run.
    Refuse,
    /// They answer them.
    Answer,
}

/// All of these.
pub const NEXT: [Next; 3] = [Next::Absent, Next::Refuse, Next::Answer];

/// Requests under way, with their kinds.
pub type Requests = Vec<(Kind, JoinHandle<Option<http::Answer>>)>;

/// Sends a request of each kind.
pub fn send_each(callers: SocketAddr, kinds: &[Kind]) -> Requests {
    let send = |kind: Kind| {
        let id = format!("{kind:?}");
        std::thread::spawn(move || {
            let mut headers = vec![("x-chiveway-attempt-id", &*id)];
            headers.extend(match kind {
                Kind::Decoded => LONG_PROMPT,
                _ => SHORT_PROMPT,
            });
            http::send(callers, "POST", kind.path(), &headers, id.as_bytes())
        })
    };
    kinds.iter().map(|kind| (*kind, send(*kind))).collect()
}

/// Waits for the answers and checks that each is whole.
pub fn check_whole(requests: Requests, case: &str, site: &Site) {
    for (kind, request) in requests {
        let answer = request.join().expect("a caller");
        let answer = answer.unwrap_or_else(|| panic!("{case}, {kind:?}: no answer"));
        let text = answer.text();
        let server = answer.header("x-chiveway-server-stamp").unwrap_or_default();
        let is_whole = match kind {
            Kind::Once | Kind::Again => text == format!("{server} {} {kind:?}", kind.path()),
            Kind::Stream | Kind::Decoded => text == events(server, 1..=EVENT_COUNT),
            // Another server may have gone on.
            Kind::Resumable => text
                .lines()
                .filter(|line| line.starts_with("id: "))
                .eq(["id: 1", "id: 2", "id: 3", "id: 4"]),
        };
        assert!(
            answer.status == 200 && answer.complete && is_whole,
            "{case}, {kind:?}: {} {text}\n{}",
            answer.status,
            site.log()
        );
    }
}

/// Returns how often servers ran a request of a kind.
pub fn runs(servers: &[&Engine], kind: Kind) -> usize {
    let line = format!("x-chiveway-attempt-id: {kind:?}\n");
    let all = servers.iter().flat_map(|server| server.executed_requests());
    let is_run = |head: &str| head.contains(&line) && !head.contains("serving-stage: prefill");
    all.filter(|(_, head, _)| is_run(head)).count()
}

/// A configuration by which a silent server is left soon, with this time for each request.
fn config(version: u64, millis: u64) -> Value {
    let mut config = silence::config_with_timeout(version, millis);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = json!(300);
    }
    config
}

/// Registers further servers, which do this with requests, and changes the configuration.
pub fn change(site: &Site, next: Next, others: &[&Engine]) {
    for other in others {
        if next == Next::Refuse {
            other.refuse("1");
        }
        if next != Next::Absent {
            site.store
                .put(&format!("servers/{}", other.id), &other.entry("ready"));
        }
    }
    site.store.put("op/config", &config(3, 16_000));
}

/// Starts a host before servers that have a short time for each event, by its configuration.
pub fn start(servers: &[&Engine]) -> Site {
    let site = Site::ready(servers);
    site.store.put("op/config", &config(2, 8000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    site
}

/// Has servers fall silent at a place of their answers to one request of each kind, and checks what callers get.
fn check(framing: Framing, pause: Pause, next: Next) {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let prefill = Engine::model("p-1", "prefill");
    let others = [Engine::plain("s-2"), Engine::model("d-2", "decode")];
    for server in [&plain, &decode, &prefill, &others[0], &others[1]] {
        server.set_framing(framing);
    }
    let site = start(&[&plain, &decode, &prefill]);
    plain.pause_each(pause, SILENCE);
    decode.pause_each(pause, SILENCE);
    let requests = send_each(site.callers, &KINDS);
    wait_for("the requests to reach the servers", || {
        KINDS.iter().all(|kind| runs(&[&plain, &decode], *kind) > 0)
    });
    change(&site, next, &[&others[0], &others[1]]);
    let case = format!("{framing:?}, {pause:?}, {next:?}");
    check_whole(requests, &case, &site);
    let is_silent = (framing, pause) != (Framing::Length, Pause::End);
    if is_silent && next != Next::Absent {
        let asked = others.iter().map(Engine::caller_requests);
        assert!(asked.sum::<usize>() > 0, "{case}: no request was moved");
    }
    for kind in KINDS.into_iter().filter(|kind| !kind.may_repeat()) {
        let runs = runs(&[&plain, &decode, &others[0], &others[1]], kind);
        assert_eq!(runs, 1, "{case}, {kind:?}");
    }
}

/// Defines one test for each framing and place.
macro_rules! pauses {
    ($($name:ident: $framing:ident, $pause:ident;)*) => {$(
        /// Guards against an answer of a server that goes on after a silence and is not whole at its caller, or ran twice.
        #[test]
        fn $name() {
            std::thread::scope(|scope| {
                for next in NEXT {
                    scope.spawn(move || check(Framing::$framing, Pause::$pause, next));
                }
            });
        }
    )*};
}

pauses! {
    silence_before_heads_of_answers_with_length: Length, Head;
    silence_inside_answers_with_length: Length, Events;
    silence_before_ends_of_answers_with_length: Length, End;
    silence_before_heads_of_answers_in_chunks: Chunks, Head;
    silence_inside_answers_in_chunks: Chunks, Events;
    silence_before_ends_of_answers_in_chunks: Chunks, End;
    silence_before_heads_of_answers_without_framing: Connection, Head;
    silence_inside_answers_without_framing: Connection, Events;
    silence_before_ends_of_answers_without_framing: Connection, End;
}

/// The engine that prefills is silent and goes on, and so is the one that decodes after it.
fn check_prefill(next: Next) {
    let engines = [
        Engine::model("p-1", "prefill"),
        Engine::model("d-1", "decode"),
    ];
    let others = [
        Engine::model("p-2", "prefill"),
        Engine::model("d-2", "decode"),
    ];
    let site = start(&[&engines[0], &engines[1]]);
    engines[0].pause_prefills(SILENCE);
    engines[1].pause_each(Pause::Events, SILENCE);
    let kinds = [Kind::Decoded, Kind::Resumable];
    let requests = send_each(site.callers, &kinds);
    wait_for("a prompt to reach the engine that prefills", || {
        engines[0].caller_requests() > 0
    });
    change(&site, next, &[&others[0], &others[1]]);
    let case = format!("{next:?}");
    check_whole(requests, &case, &site);
    let all = [&engines[0], &engines[1], &others[0], &others[1]];
    assert_eq!(runs(&all, Kind::Decoded), 1, "{case}");
}

/// Guards against a request that ends since the engine that prefills its prompt, and then the one that decodes, are silent.
#[test]
fn silence_of_engines_that_prefill_and_decode_in_turn() {
    std::thread::scope(|scope| {
        for next in NEXT {
            scope.spawn(move || check_prefill(next));
        }
    });
}
