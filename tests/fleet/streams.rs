//! The whole answer to its own request, whatever becomes of engines, connections and callers.

use std::net::SocketAddr;
use std::thread;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::{Value, json};

use crate::support::http::{Answer, OpenAnswer, send};
use crate::support::{
    Fleet, FleetConfig, MODEL, complete, inject_fault, open_completion, wait_for,
};

/// A deployment of one host whose engines take their time.
fn paced(engines: usize) -> FleetConfig {
    FleetConfig {
        hosts: 1,
        engines,
        services: 0,
        engine_args: Vec::new(),
        ..FleetConfig::default()
    }
}

fn instant(engines: usize) -> FleetConfig {
    FleetConfig {
        engine_args: vec!["--instant".into()],
        ..paced(engines)
    }
}

fn stats(engine: SocketAddr) -> Value {
    send(engine, "GET", "/stats", &[], &[])
        .expect("the stand-in answers")
        .json()
}

/// Reads until some of the answer has come.
fn begun(open: &mut OpenAnswer) -> Vec<u8> {
    open.next_chunk()
        .expect("the stream goes on")
        .expect("a part")
}

/// Reads the rest of a stream that has begun and puts it together.
fn whole(first: Vec<u8>, open: OpenAnswer) -> Option<String> {
    let rest = open.rest();
    let mut body = first;
    body.extend(rest.body);
    stream_text(&body).filter(|_| rest.complete)
}

/// Returns the number of events in a stream that carry a finish reason.
fn finishes(answer: &Answer) -> usize {
    let text = answer.text();
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter(|chunk| chunk["choices"][0]["finish_reason"].is_string())
        .count()
}

/// Makes one test of each fault of an engine's stream: streamed and collected answers are whole.
macro_rules! whole_despite {
    ($($(#[$about:meta])* $name:ident: $fault:expr,)*) => {$(
        $(#[$about])*
        #[test]
        fn $name() {
            let fleet = Fleet::start(instant(2));
            for stream in [true, false] {
                for engine in fleet.engines() {
                    inject_fault(engine.addr, &$fault);
                }
                let prompt = format!("a clause, {stream}");
                let wanted = expected(MODEL, &prompt, 40);
                let answer = complete(fleet.hosts[0].callers, &prompt, 40, stream)
                    .expect("an answer");
                assert_eq!(answer.status, 200, "{}", answer.text());
                if stream {
                    assert_eq!(stream_text(&answer.body), Some(wanted));
                    assert_eq!(finishes(&answer), 1);
                } else {
                    assert_eq!(answer.json()["choices"][0]["text"], wanted.as_str());
                }
            }
        }
    )*};
}

whole_despite! {
    /// An engine sends each chunk twice, as one does whose buffer was flushed again. The caller
    /// would read every word twice.
    duplicated_chunks: json!({"repeat_chunk": true}),
    /// Chunks overtake each other inside the engine. The caller would read a scrambled answer,
    /// or none at all.
    chunks_out_of_order: json!({"reorder_chunks": true}),
    /// A chunk of another attempt strays into the stream. The caller would read another
    /// customer's words.
    chunk_of_another_attempt: json!({"wrong_attempt": true}),
    /// The connection breaks after a few tokens while the engine goes on.
    stream_dropped_early: json!({"drop_after": 5}),
    /// The connection breaks after the last token, before the end marker: the answer looks
    /// whole and is not known to be.
    stream_dropped_before_its_end: json!({"drop_after": 40}),
}

/// An engine dies while it streams to several callers. Each of them would be left with half an
/// answer; another engine goes on from the prompt and the text that each has seen.
#[test]
fn engine_killed_during_stream() {
    let mut fleet = Fleet::start(paced(2));
    let addr = fleet.hosts[0].callers;
    let mut open: Vec<_> = (0..20)
        .map(|at| {
            let prompt = format!("clause {at}");
            let open = open_completion(addr, &prompt, 60, true).expect("an answer");
            (prompt, open)
        })
        .collect();
    let firsts: Vec<_> = open.iter_mut().map(|(_, open)| begun(open)).collect();
    let running = stats(fleet.backends[0].addr)["started"].as_u64();
    assert!(running > Some(0), "the engine has streams");
    fleet.backends[0].process.kill();
    for (first, (prompt, open)) in firsts.into_iter().zip(open) {
        assert_eq!(whole(first, open), Some(expected(MODEL, &prompt, 60)));
    }
    let other = stats(fleet.backends[1].addr);
    assert_eq!(other["continue_mismatch"], 0, "{other}");
}

/// Something between host and engine loses track of every connection that is open: they stay
/// open and carry nothing, while new ones work. Streams would hang for ever, and so would each
/// request that is written to a connection kept from before.
#[test]
fn silent_connections() {
    let fleet = Fleet::start(FleetConfig {
        limits: "token-silence = 300ms\nfirst-silence = 1s\n".into(),
        ..paced(1)
    });
    let (addr, engine) = (fleet.hosts[0].callers, fleet.backends[0].addr);
    // Leaves several idle connections behind.
    let warm: Vec<_> = (0..6)
        .map(|at| thread::spawn(move || complete(addr, &format!("warm {at}"), 20, true)))
        .collect();
    for caller in warm {
        assert!(caller.join().is_ok_and(|answer| answer.is_some()));
    }
    let mut open = open_completion(addr, "a long one", 100, true).expect("an answer");
    let first = begun(&mut open);
    inject_fault(engine, &json!({"silent": true}));
    let after = complete(addr, "after it", 20, true).expect("an answer");
    assert_eq!(
        stream_text(&after.body),
        Some(expected(MODEL, "after it", 20))
    );
    assert_eq!(whole(first, open), Some(expected(MODEL, "a long one", 100)));
    let explained = fleet.explain(0, &after.id());
    assert!(explained.to_string().contains("silent for"), "{explained}");
}

/// Two callers send the same prompt at the same moment. Each gets an answer of its own, and
/// neither the other's.
#[test]
fn concurrent_equal_prompts() {
    let fleet = Fleet::start(paced(2));
    let addr = fleet.hosts[0].callers;
    let callers: Vec<_> = (0..6)
        .map(|at| thread::spawn(move || complete(addr, "the same clause", 30, at % 2 == 0)))
        .collect();
    let wanted = expected(MODEL, "the same clause", 30);
    let mut ids = Vec::new();
    for (at, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().expect("no panic").expect("an answer");
        ids.push(answer.id());
        let text = if at % 2 == 0 {
            stream_text(&answer.body)
        } else {
            let document = answer.json();
            document["choices"][0]["text"].as_str().map(str::to_owned)
        };
        assert_eq!(text.as_deref(), Some(wanted.as_str()));
    }
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 6, "each request has an id of its own");
}

fn cancelled(fleet: &Fleet) -> u64 {
    let count = |engine: SocketAddr| stats(engine)["cancelled"].as_u64().unwrap_or(0);
    fleet.engines().map(|engine| count(engine.addr)).sum()
}

/// An angler's phone loses its signal while the answer is read. The engine would go on to
/// generate for nobody, and the places of those who wait would be taken.
#[test]
fn caller_leaves_during_stream() {
    let fleet = Fleet::start(paced(1));
    let mut open = open_completion(fleet.hosts[0].callers, "long", 5000, true).expect("an answer");
    begun(&mut open);
    drop(open);
    wait_for("the engine stops", || cancelled(&fleet) == 1);
}

/// The caller is gone before the first token came: nothing is written to it yet that could fail.
#[test]
fn caller_leaves_before_the_first_byte() {
    let fleet = Fleet::start(FleetConfig {
        engine_args: vec!["--prefill-cost".into(), "100ms".into()],
        ..paced(1)
    });
    let addr = fleet.hosts[0].callers;
    let mut caller = crate::support::http::Raw::connect(addr);
    caller.completion("a prompt that takes long", 5000, true);
    wait_for("the engine works", || {
        stats(fleet.backends[0].addr)["started"] == 1
    });
    drop(caller);
    wait_for("the host lets go", || fleet.status(0)["requests"] == 0);
    wait_for("the engine stops", || cancelled(&fleet) == 1);
}

fn memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("a process");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0, |pages: u64| pages * 4096)
}

/// A caller on a weak signal takes its long answer slowly while the engine is fast. What the
/// caller has not taken would pile up in the host, and a few such callers end it.
#[test]
fn slow_caller_does_not_fill_host_memory() {
    const TOKENS: u64 = 100_000;
    const ROOM: u64 = 24 << 20;
    let fleet = Fleet::start(instant(1));
    let host = &fleet.hosts[0];
    let before = memory(host.process.id());
    let mut open = open_completion(host.callers, "slow", TOKENS, true).expect("an answer");
    let first = begun(&mut open);
    wait_for("the engine has made all of it", || {
        stats(fleet.backends[0].addr)["done"] == 1
    });
    // Another request passes through meanwhile, so that what was to be read has been read.
    let other = complete(host.callers, "other", 20_000, true).expect("an answer");
    assert!(other.complete);
    let grown = memory(host.process.id()).saturating_sub(before);
    assert!(grown < ROOM, "the host grew by {grown} bytes");
    let text = whole(first, open).expect("a whole answer");
    let wanted = expected(MODEL, "slow", TOKENS);
    let differs = text.bytes().zip(wanted.bytes()).position(|(a, b)| a != b);
    assert_eq!((differs, text.len()), (None, wanted.len()));
}
