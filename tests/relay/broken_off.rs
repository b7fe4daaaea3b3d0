//! Answers that a server breaks off, as their callers see them.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};

use super::standin::engine::EVENT_COUNT;
use super::standin::torn::{Break, End, Framing, Place, WHOLE_EVENTS, WIDE_CHAR};
use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT, events};
use super::{Site, http, wait_for};

/// Places where an answer is broken off.
const PLACES: [Place; 7] = [
    Place::Head,
    Place::BeforeFirst,
    Place::Between,
    Place::Inside,
    Place::InsideChar,
    Place::LastLine,
    Place::AfterLast,
];

/// Time limit in milliseconds of callers whose request may not repeat: an answer that falls silent is given up by then.
const SHORT_DEADLINE_MS: &str = "1500";
/// Time limit in milliseconds of other callers.
const LONG_DEADLINE_MS: &str = "8000";

/// Kind of request, and how it reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole answer of a call that may not repeat.
    Once,
    /// A whole answer of a call that may repeat.
    Again,
    /// A stream that may not be resumed.
    Stream,
    /// The same, decoded after a prefill at another engine.
    Decoded,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Again => "/again/x",
            Self::Stream | Self::Decoded => "/long/x",
            Self::Resumable => "/short/x",
        }
    }

    pub fn is_stream(self) -> bool {
        !matches!(self, Self::Once | Self::Again)
    }

    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Again | Self::Resumable)
    }

    pub fn engines(self) -> Vec<Engine> {
        if !self.is_stream() {
            return vec![Engine::plain("s-1"), Engine::plain("s-2")];
        }
        let mut engines = vec![
            Engine::model("d-1", "decode"),
            Engine::model("d-2", "decode"),
        ];
        if self == Self::Decoded {
            engines.push(Engine::model("p-1", "prefill"));
        }
        engines
    }
}

/// Returns whether the server's answer was complete, by its framing and its events.
fn is_whole(kind: Kind, how: Break) -> bool {
    match how.framing {
        Framing::Length => how.place == Place::AfterLast,
        Framing::Chunks => false,
        Framing::Connection if how.is_closed() && kind.is_stream() => {
            matches!(how.place, Place::Between | Place::AfterLast)
        }
        Framing::Connection => how.is_closed() && how.place != Place::Head,
    }
}

/// Has a server break an answer off, and checks what its caller gets.
fn check(site: &Site, engines: &[&Engine], kind: Kind, how: Break) {
    let id = format!("{kind:?}-{how:?} {WIDE_CHAR}");
    // A complete answer before leaves a connection that the next request reuses.
    wait_for("a complete answer", || {
        let answer = send(site.callers, kind, &format!("whole {id}"));
        answer.is_some_and(|answer| answer.status == 200 && answer.complete)
    });
    Engine::tear_next(engines, how);
    let answer = send(site.callers, kind, &id);
    assert!(engines[0].has_torn(), "{id}: no server got the request");
    let answer = answer.unwrap_or_else(|| panic!("{id}: no answer"));
    let text = answer.text();
    let server = answer.header("x-chiveway-server-stamp").unwrap_or_default();
    let full = if kind.is_stream() {
        events(server, 1..=EVENT_COUNT)
    } else {
        format!("{server} {} {id}", kind.path())
    };
    if is_whole(kind, how) {
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{id}: {text}"
        );
        assert!(full.as_bytes().starts_with(&answer.body), "{id}: {text}");
    } else if kind.may_repeat() {
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{id}: {text}"
        );
        let numbers: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
        let expected = ["id: 1", "id: 2", "id: 3", "id: 4"];
        assert!(!kind.is_stream() || numbers == expected, "{id}: {text}");
    } else if answer.status == 200 {
        assert!(kind.is_stream() && !answer.complete, "{id}: {text}");
        let is_prefix = |count| text == events(server, 1..=count);
        let is_prefix = (1..=WHOLE_EVENTS as u64).any(is_prefix);
        let is_prefix = is_prefix || how.place == Place::AfterLast && text == full;
        assert!(is_prefix, "{id}: {text}");
    } else {
        assert!(matches!(answer.status, 502 | 504), "{id}: {text}");
    }
}

pub fn send(callers: SocketAddr, kind: Kind, id: &str) -> Option<http::Answer> {
    let deadline = if kind.may_repeat() {
        LONG_DEADLINE_MS
    } else {
        SHORT_DEADLINE_MS
    };
    let mut headers = vec![
        ("x-chiveway-attempt-id", "id"),
        ("x-chiveway-deadline-ms", deadline),
    ];
    headers.extend(match kind {
        Kind::Decoded => LONG_PROMPT,
        _ => SHORT_PROMPT,
    });
    http::send(callers, "POST", kind.path(), &headers, id.as_bytes())
}

/// Checks every place where an answer may be broken off.
fn check_places(kind: Kind, framing: Framing, end: End) {
    let engines = kind.engines();
    let engines: Vec<&Engine> = engines.iter().collect();
    let site = Site::ready(&engines);
    for place in PLACES {
        let how = Break {
            framing,
            end,
            place,
        };
        check(&site, &engines, kind, how);
    }
}

/// Defines one test for each kind of request, framing and end of the connection.
macro_rules! broken_off {
    ($($name:ident: $kind:ident, $framing:ident, $end:ident;)*) => {$(
        /// Guards against an answer that was broken off and reaches its caller as complete or not at all, one that is complete
        /// and does not, and a resumed one with an event missing, torn or twice.
        #[test]
        fn $name() {
            check_places(Kind::$kind, Framing::$framing, End::$end);
        }
    )*};
}

broken_off! {
    a_closed_call_with_length: Once, Length, Close;
    a_reset_call_with_length: Once, Length, Reset;
    a_silent_call_with_length: Once, Length, Silence;
    a_closed_call_in_chunks: Once, Chunks, Close;
    a_reset_call_in_chunks: Once, Chunks, Reset;
    a_silent_call_in_chunks: Once, Chunks, Silence;
    a_closed_call_without_framing: Once, Connection, Close;
    a_reset_call_without_framing: Once, Connection, Reset;
    a_silent_call_without_framing: Once, Connection, Silence;
    a_closed_retryable_call_with_length: Again, Length, Close;
    a_reset_retryable_call_with_length: Again, Length, Reset;
    a_silent_retryable_call_with_length: Again, Length, Silence;
    a_closed_retryable_call_in_chunks: Again, Chunks, Close;
    a_reset_retryable_call_in_chunks: Again, Chunks, Reset;
    a_silent_retryable_call_in_chunks: Again, Chunks, Silence;
    a_closed_retryable_call_without_framing: Again, Connection, Close;
    a_reset_retryable_call_without_framing: Again, Connection, Reset;
    a_silent_retryable_call_without_framing: Again, Connection, Silence;
    a_closed_stream_with_length: Stream, Length, Close;
    a_reset_stream_with_length: Stream, Length, Reset;
    a_silent_stream_with_length: Stream, Length, Silence;
    a_closed_stream_in_chunks: Stream, Chunks, Close;
    a_reset_stream_in_chunks: Stream, Chunks, Reset;
    a_silent_stream_in_chunks: Stream, Chunks, Silence;
    a_closed_stream_without_framing: Stream, Connection, Close;
    a_reset_stream_without_framing: Stream, Connection, Reset;
    a_silent_stream_without_framing: Stream, Connection, Silence;
    a_stream_with_length_that_is_closed_at_once: Stream, Length, CloseAtOnce;
    a_stream_in_chunks_that_is_closed_at_once: Stream, Chunks, CloseAtOnce;
    a_stream_without_framing_that_is_closed_at_once: Stream, Connection, CloseAtOnce;
    a_decoded_stream_in_chunks_that_is_closed_at_once: Decoded, Chunks, CloseAtOnce;
    a_closed_decoded_stream_with_length: Decoded, Length, Close;
    a_reset_decoded_stream_with_length: Decoded, Length, Reset;
    a_silent_decoded_stream_with_length: Decoded, Length, Silence;
    a_closed_decoded_stream_in_chunks: Decoded, Chunks, Close;
    a_reset_decoded_stream_in_chunks: Decoded, Chunks, Reset;
    a_silent_decoded_stream_in_chunks: Decoded, Chunks, Silence;
    a_closed_decoded_stream_without_framing: Decoded, Connection, Close;
    a_reset_decoded_stream_without_framing: Decoded, Connection, Reset;
    a_silent_decoded_stream_without_framing: Decoded, Connection, Silence;
    a_closed_resumable_stream_with_length: Resumable, Length, Close;
    a_reset_resumable_stream_with_length: Resumable, Length, Reset;
    a_silent_resumable_stream_with_length: Resumable, Length, Silence;
    a_closed_resumable_stream_in_chunks: Resumable, Chunks, Close;
    a_reset_resumable_stream_in_chunks: Resumable, Chunks, Reset;
    a_silent_resumable_stream_in_chunks: Resumable, Chunks, Silence;
    a_closed_resumable_stream_without_framing: Resumable, Connection, Close;
    a_reset_resumable_stream_without_framing: Resumable, Connection, Reset;
    a_silent_resumable_stream_without_framing: Resumable, Connection, Silence;
}

/// Sends a request by HTTP/1.0; returns the head and the body of the answer.
fn send_old(callers: SocketAddr, kind: Kind, body: &str) -> Option<(String, String)> {
    let mut stream = TcpStream::connect(callers).ok()?;
    let mut request = format!(
        "POST {} HTTP/1.0\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: id\r\n",
        kind.path()
    );
    for (name, value) in SHORT_PROMPT {
        write!(request, "{name}: {value}\r\n").ok()?;
    }
    write!(request, "content-length: {}\r\n\r\n{body}", body.len()).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    read.ok()?;
    Some((head.to_lowercase(), body.to_owned()))
}

/// HTTP/1.0 has no chunks. Guards against a truncated stream whose end its caller takes for the
/// end of the answer, since the connection closes in both cases.
#[test]
fn a_truncated_stream_does_not_look_complete_over_http_1_0() {
    let engine = Engine::model("d-1", "decode");
    let site = Site::ready(&[&engine]);
    let (head, body) = send_old(site.callers, Kind::Stream, "whole").expect("an answer");
    assert!(head.contains(" 200 "), "{head}");
    assert_eq!(body, events("d-1", 1..=EVENT_COUNT));
    let breaks = [
        (Framing::Chunks, Place::Between),
        (Framing::Chunks, Place::Inside),
        (Framing::Connection, Place::Inside),
        (Framing::Connection, Place::LastLine),
    ];
    for (framing, place) in breaks {
        let how = Break {
            framing,
            end: End::Close,
            place,
        };
        Engine::tear_next(&[&engine], how);
        let answer = send_old(site.callers, Kind::Stream, &format!("{how:?}"));
        assert!(engine.has_torn(), "the engine did not get the request");
        let (head, body) = answer.unwrap_or_else(|| panic!("{how:?}: no answer"));
        assert!(head.contains(" 502 "), "{how:?}: {head} {body}");
    }
}

/// An engine answers with a complete stream that has no events. Guards against a failure in its place.
#[test]
fn a_complete_stream_without_events_is_forwarded() {
    let engine = Engine::model("d-1", "decode");
    let site = Site::ready(&[&engine]);
    engine.send_no_events();
    let answer = send(site.callers, Kind::Stream, "empty").expect("an answer");
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{}",
        answer.text()
    );
    assert!(answer.body.is_empty(), "{}", answer.text());
}
