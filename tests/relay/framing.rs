//! Whole answers in any framing, as their callers see them: also with neither length nor chunks, so that only the
//! end of the connection ends them, and with a silence of their server.

use std::time::Duration;

use super::broken_off::{Kind, send};
use super::standin::engine::{EVENT_COUNT, Pause};
use super::standin::torn::{Break, End, Framing, Place};
use super::standin::{Engine, LONG_PROMPT, events};
use super::{Site, wait_for};

/// Kinds of requests.
const KINDS: [Kind; 5] = [
    Kind::Once,
    Kind::Again,
    Kind::Stream,
    Kind::Decoded,
    Kind::Resumable,
];
/// Places where a server falls silent.
const PAUSES: [Pause; 3] = [Pause::Head, Pause::Events, Pause::End];
/// Time of a silence that no caller takes for an end.
const SILENCE: Duration = Duration::from_millis(600);

/// Starts a host before servers whose answers, prefills too, are framed in this way.
fn start(kind: Kind, framing: Framing) -> (Site, Vec<Engine>) {
    let engines = kind.engines();
    for engine in &engines {
        engine.set_framing(framing);
    }
    let site = Site::ready(&engines.iter().collect::<Vec<_>>());
    (site, engines)
}

/// Checks that a request gets a whole answer.
fn check_whole(site: &Site, kind: Kind, id: &str) {
    let answer = send(site.callers, kind, id).unwrap_or_else(|| panic!("{id}: no answer"));
    let text = answer.text();
    let server = answer.header("x-chiveway-server-stamp").unwrap_or_default();
    let expected = if kind.is_stream() {
        events(server, 1..=EVENT_COUNT)
    } else {
        format!("{server} {} {id}", kind.path())
    };
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{id}: {text}"
    );
    assert_eq!(text, expected, "{id}");
}

/// Checks answers of each kind, without and with a silence at each place.
fn check_framing(framing: Framing) {
    for kind in KINDS {
        let (site, engines) = start(kind, framing);
        // The next request may find the connection of the last one closed.
        for number in 0..3 {
            check_whole(&site, kind, &format!("{kind:?}-{framing:?}-{number}"));
        }
        for pause in PAUSES {
            let servers: Vec<&Engine> = engines.iter().collect();
            Engine::pause_next(&servers, pause, SILENCE);
            check_whole(&site, kind, &format!("{kind:?}-{framing:?}-{pause:?}"));
            assert!(engines[0].has_paused(), "no server got the request");
        }
        if kind == Kind::Decoded {
            let prefills = engines[2].request_heads(kind.path());
            assert!(!prefills.is_empty(), "no prompt was prefilled");
            let decode = engines[..2]
                .iter()
                .flat_map(|engine| engine.request_heads(kind.path()));
            let mut decode = decode.filter(|head| head.contains("x-chiveway-kv-source: "));
            assert!(decode.next().is_some(), "no prefill was used");
        }
    }
}

/// Defines one test for each framing.
macro_rules! whole_answers {
    ($($name:ident: $framing:ident;)*) => {$(
        /// Guards against a whole answer that is taken for one that was broken off, or given up during a silence.
        #[test]
        fn $name() {
            check_framing(Framing::$framing);
        }
    )*};
}

whole_answers! {
    answers_with_length_are_forwarded_whole: Length;
    answers_in_chunks_are_forwarded_whole: Chunks;
    answers_that_end_with_their_connection_are_forwarded_whole: Connection;
}

/// A stream ends inside an event with its connection, and what is resumed ends with its connection, too. Guards against an
/// event that is lost, torn or sent twice where both meet.
#[test]
fn a_resumed_stream_may_end_with_its_connection() {
    let (site, engines) = start(Kind::Resumable, Framing::Connection);
    let servers: Vec<&Engine> = engines.iter().collect();
    for place in [
        Place::BeforeFirst,
        Place::Inside,
        Place::InsideChar,
        Place::LastLine,
    ] {
        let how = Break {
            framing: Framing::Connection,
            end: End::Close,
            place,
        };
        Engine::tear_next(&servers, how);
        let answer = send(site.callers, Kind::Resumable, &format!("{how:?}")).expect("an answer");
        let text = answer.text();
        assert!(engines[0].has_torn(), "no server got the request");
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{how:?}: {text}"
        );
        let numbers: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
        assert_eq!(
            numbers,
            ["id: 1", "id: 2", "id: 3", "id: 4"],
            "{how:?}: {text}"
        );
        assert_eq!(text.matches("\n\n").count(), 4, "{how:?}: {text}");
    }
}

/// A prefill that ends with its connection is broken off. Guards against a decode with half of a handle.
#[test]
fn a_torn_prefill_is_not_used() {
    let (site, engines) = start(Kind::Decoded, Framing::Connection);
    wait_for("a prefill that is used", || {
        let answer = site.send("/long/x", "id-1", &LONG_PROMPT);
        let heads = engines[..2]
            .iter()
            .flat_map(|engine| engine.request_heads("/long/x"));
        let mut heads = heads.filter(|head| head.contains("x-chiveway-kv-source: "));
        answer.is_some_and(|answer| answer.complete) && heads.next().is_some()
    });
    engines[2].tear_prefills();
    let before: Vec<usize> = engines[..2]
        .iter()
        .map(|engine| engine.request_heads("/long/x").len())
        .collect();
    let prefills = engines[2].request_heads("/long/x").len();
    let answer = site
        .send("/long/x", "id-2", &LONG_PROMPT)
        .expect("an answer");
    assert!(
        engines[2].request_heads("/long/x").len() > prefills,
        "nothing was prefilled"
    );
    assert!(answer.complete, "{}", answer.text());
    for (engine, before) in engines[..2].iter().zip(before) {
        let heads = engine.request_heads("/long/x").split_off(before);
        assert!(
            heads
                .iter()
                .all(|head| !head.contains("x-chiveway-kv-source: ")),
            "{heads:?}"
        );
    }
}
