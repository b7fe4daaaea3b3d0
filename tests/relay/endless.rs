//! Bytes of a server that come without end, until the host closes the connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, ScopedJoinHandle};
use std::time::Duration;

use super::late_copies::{site, site_with};
use super::script::{Scripted, Turn, response};
use super::slow_caller::gauge;
use super::standin::{LONG_PROMPT, SHORT_PROMPT};
use super::{Site, http, wait_for};

/// Pauses between the bytes of a flood and of a slow drip, which never lets a connection become idle.
pub const PACES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(5)];

/// Sends a request that its caller waits one second for; returns the status.
fn send(site: &Site, path: &str, id: &str) -> u16 {
    let mut headers = vec![
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", "1000"),
    ];
    headers.extend(if path == "/long/x" {
        LONG_PROMPT
    } else {
        SHORT_PROMPT
    });
    let answer = http::send(site.callers, "POST", path, &headers, b"body");
    answer.expect("an answer").status
}

/// Returns a plain server whose first answer has no end.
fn endless(id: &str, pace: Duration, head: fn(&str) -> String, more: &'static [u8]) -> Scripted {
    let is_first = AtomicBool::new(true);
    Scripted::plain(id, move |turn| {
        if is_first.swap(false, Ordering::Relaxed) {
            let head = head(&turn.id);
            return turn.send_without_end(head, more, pace);
        }
        answer(turn)
    })
}

pub fn answer(turn: &mut Turn<'_>) -> Option<()> {
    let answer = response(200, &turn.id, "", "done");
    turn.send(answer)
}

/// Returns the start of a response to a request, with these header lines in place of a length.
pub fn start(status: u16, id: &str, lines: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nx-chiveway-attempt-id: {id}\r\nx-chiveway-server-stamp: s\r\n{lines}"
    )
}

/// Header lines of each framing of a body, with the end of the head.
pub const CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n";
pub const CONNECTION: &str = "\r\n";
/// A statement that the request did not run.
const NOT_RUN: &str = "x-chiveway-not-executed: 1\r\n";

/// Defines a test for each place at which bytes may come without end, and for the statuses that the caller may get.
macro_rules! endless_bytes {
    ($($name:ident: $head:expr, $more:expr => $statuses:expr;)*) => {$(
        /// Guards against a caller without an answer at its time limit, a connection that is kept, and a host that serves nobody else.
        #[test]
        fn $name() {
            for pace in PACES {
                let server = endless("s-1", pace, $head, $more);
                let site = site(&[&server]);
                let status = send(&site, "/once/x", "id-1");
                assert!($statuses.contains(&status), "{status}");
                wait_for("the end of the connection", || server.closed() == 1);
                wait_for("an answer of the server", || send(&site, "/once/x", "id-2") == 200);
            }
        }
    )*};
}

endless_bytes! {
    no_head: |_| String::new(), b"xxxxxxxxxxxxxxxx" => [502];
    a_status_line: |_| "HTTP/1.1 200 ".to_owned(), b"xxxxxxxxxxxxxxxx" => [502, 504];
    headers: |id| start(200, id, ""), b"x-a: b\r\n" => [502, 504];
    a_header: |id| start(200, id, "x-a: "), b"xxxxxxxxxxxxxxxx" => [502, 504];
    informational_responses: |_| String::new(), b"HTTP/1.1 102 x\r\n\r\n" => [502, 504];
    a_body_with_a_length: |id| start(200, id, "content-length: 1000000000\r\n\r\n"), b"xxxx" => [502, 504];
    a_change_of_protocols: |id| start(101, id, "connection: upgrade\r\nupgrade: x\r\n\r\n"), b"xxxx" => [502, 504];
    a_body_in_chunks: |id| start(200, id, CHUNKS), b"4\r\nxxxx\r\n" => [502, 504];
    a_chunk_size: |id| start(200, id, CHUNKS), b"0000000000000000" => [502, 504];
    a_chunk_extension: |id| start(200, id, "transfer-encoding: chunked\r\n\r\n4;x="), b"xxxxxxxxxxxxxxxx" => [502, 504];
    trailers: |id| start(200, id, "transfer-encoding: chunked\r\n\r\n0\r\n"), b"x-a: b\r\n" => [502, 504];
    a_body_up_to_the_end_of_its_connection: |id| start(200, id, CONNECTION), b"xxxxxxxxxxxxxxxx" => [502, 504];
    a_failure_in_chunks: |id| start(500, id, CHUNKS), b"4\r\nxxxx\r\n" => [502, 504];
    a_response_of_another_request: |_| start(200, "another", CHUNKS), b"4\r\nxxxx\r\n" => [502];
    bytes_after_an_answer: |id| response(200, id, "", "done"), b"xxxxxxxxxxxxxxxx" => [200];
    a_refusal_in_chunks: |id| start(503, id, &format!("{NOT_RUN}{CHUNKS}")), b"4\r\nxxxx\r\n" => [503];
    a_refusal_up_to_the_end_of_its_connection: |id| start(503, id, &format!("{NOT_RUN}{CONNECTION}")), b"xxxx" => [503];
    a_refusal_with_a_length: |id| start(503, id, &format!("{NOT_RUN}content-length: 1000000000\r\n\r\n")), b"xxxx" => [503];
}

/// Repetitions of a short part in one write.
const REPETITIONS: usize = 1024;

/// Defines a test for each flood of bytes that are neither a final head nor a part of a body.
macro_rules! unused_floods {
    ($($name:ident: $head:expr, $more:expr;)*) => {$(
        /// Guards against a flood that is read for as long as the caller waits, which holds up all other requests of the host.
        #[test]
        fn $name() {
            let more = $more.repeat(REPETITIONS).leak();
            let server = endless("s-1", Duration::ZERO, $head, more);
            let site = site(&[&server]);
            let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
            assert_eq!(answer.status, 502, "{}", answer.text());
            assert!(site.log().contains("without a final head or a part of a body, of 524288 allowed"));
            wait_for("the end of the connection", || server.closed() == 1);
        }
    )*};
}

unused_floods! {
    a_flood_of_informational_responses: |_| String::new(), b"HTTP/1.1 102 x\r\n\r\n";
    a_flood_of_hints: |_| String::new(), b"HTTP/1.1 103 x\r\nlink: </x>\r\n\r\n";
    a_flood_of_a_chunk_size: |id| start(200, id, CHUNKS), b"0000000000000000";
}

/// Header lines of a long head, with its other ones close to the bound on their number, and the length of each.
const LONG_HEADERS: usize = 120;
const LONG_HEADER: usize = 3 * 1024;

/// Guards against a bound on informational responses that also ends a long answer.
#[test]
fn a_long_head_after_informational_responses_is_read() {
    let server = Scripted::plain("s-1", |turn| {
        let lines = format!("x-a: {}\r\n", "x".repeat(LONG_HEADER)).repeat(LONG_HEADERS);
        turn.send("HTTP/1.1 102 x\r\n\r\n".repeat(REPETITIONS))?;
        let answer = response(200, &turn.id, &lines, &"x".repeat(MAX_READ));
        turn.send(answer)
    });
    let site = site(&[&server]);
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.text().len(), MAX_READ);
}

/// Guards against a request that waits for the end of a refusal before it goes to another server.
#[test]
fn a_refused_request_goes_on_before_the_end_of_the_refusal() {
    for pace in PACES {
        let refused = Arc::new(AtomicBool::new(false));
        let servers = ["s-1", "s-2"].map(|id| {
            let refused = Arc::clone(&refused);
            Scripted::plain(id, move |turn| {
                if refused.swap(true, Ordering::Relaxed) {
                    return answer(turn);
                }
                let head = start(503, &turn.id, &format!("{NOT_RUN}{CHUNKS}"));
                turn.send_without_end(head, b"4\r\nxxxx\r\n", pace)
            })
        });
        let site = site(&servers.each_ref());
        assert_eq!(send(&site, "/once/x", "id-1"), 200);
        wait_for("the end of the connection", || {
            servers.iter().any(|server| server.closed() == 1)
        });
    }
}

/// Returns the events of a stream.
pub fn events(turn: &mut Turn<'_>) -> Option<()> {
    let answer = response(
        200,
        &turn.id,
        "content-type: text/event-stream\r\n",
        "id: 1\ndata: done\n\n",
    );
    turn.send(answer)
}

/// Defines a test for each answer of a prefill engine that has no end.
macro_rules! endless_prefills {
    ($($name:ident: $head:expr, $more:expr;)*) => {$(
        /// Guards against a prompt that waits for the end of such an answer, while a decode engine could prefill it.
        #[test]
        fn $name() {
            for pace in PACES {
                let prefill = Scripted::model("p-1", "prefill", move |turn| {
                    let head: fn(&str) -> String = $head;
                    let head = head(&turn.id);
                    turn.send_without_end(head, $more, pace)
                });
                let decode = Scripted::model("d-1", "decode", events);
                let site = site(&[&prefill, &decode]);
                let headers = [("x-chiveway-attempt-id", "id-1"), LONG_PROMPT[0], LONG_PROMPT[1]];
                let answer = http::send(site.callers, "POST", "/long/x", &headers, b"body");
                assert_eq!(answer.map(|answer| (answer.status, answer.complete)), Some((200, true)));
                wait_for("the end of the connection", || prefill.closed() >= 1);
            }
        }
    )*};
}

endless_prefills! {
    a_prefilled_prompt: |id| start(200, id, CHUNKS), b"4\r\nxxxx\r\n";
    a_refused_prompt: |id| start(503, id, &format!("{NOT_RUN}{CHUNKS}")), b"4\r\nxxxx\r\n";
    informational_responses_to_a_prefill: |_| String::new(), b"HTTP/1.1 102 x\r\n\r\n";
    headers_of_a_prefill: |id| start(200, id, ""), b"x-a: b\r\n";
    a_chunk_size_of_a_prefill: |id| start(200, id, CHUNKS), b"0000000000000000";
    trailers_of_a_prefill: |id| start(200, id, &format!("{CHUNKS}0\r\n")), b"x-a: b\r\n";
}

/// Defines a test for each stream without an end.
macro_rules! endless_streams {
    ($($name:ident: $more:expr;)*) => {$(
        /// Guards against a stream that goes on past the time limit of its caller, and a connection that is kept.
        #[test]
        fn $name() {
            for (pace, path) in PACES.into_iter().flat_map(|pace| [(pace, "/long/x"), (pace, "/short/x")]) {
                let decode = Scripted::model("d-1", "decode", move |turn| {
                    let head = start(200, &turn.id, &format!("content-type: text/event-stream\r\n{CONNECTION}"));
                    turn.send_without_end(head, $more, pace)
                });
                let site = site(&[&decode]);
                let mut headers = vec![("x-chiveway-attempt-id", "id-1"), ("x-chiveway-deadline-ms", "1000")];
                headers.extend(SHORT_PROMPT);
                let answer = http::send(site.callers, "POST", path, &headers, b"body").expect("an answer");
                assert!(!answer.complete || matches!(answer.status, 502 | 504), "{}", answer.status);
                wait_for("the end of the connection", || decode.closed() >= 1);
            }
        }
    )*};
}

endless_streams! {
    a_line: b"xxxxxxxxxxxxxxxx";
    lines: b"data: x\n";
    comments: b": x\n";
    empty_lines: b"\n\n\n\n";
    events_without_a_number: b"data: x\n\n";
}

/// All engines decode, so that the host asks them for their state. Guards against calls of its own that go on for good.
#[test]
fn calls_of_the_host_end() {
    for pace in PACES {
        let engines: Vec<Scripted> = (0..4)
            .map(|number| {
                Scripted::model_with_calls(&format!("d-{number}"), "decode", move |turn| {
                    if turn.own_body().is_none() {
                        return events(turn);
                    }
                    turn.send_without_end(
                        "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
                        b"4\r\nxxxx\r\n",
                        pace,
                    )
                })
            })
            .collect();
        let site = site(&engines.iter().collect::<Vec<_>>());
        wait_for("the end of a call", || {
            engines.iter().any(|engine| engine.closed() > 0)
        });
        assert_eq!(send(&site, "/short/x", "id-1"), 200);
    }
}

/// Memory that the settings allow a host; an eighth may be held by unread answers.
const MEMORY: usize = 256 << 20;
/// Callers whose answers have no end.
const CALLERS: usize = 24;
/// Largest whole answer, and the bytes of one that are read in any case.
const MAX_ANSWER: usize = 16 << 20;
const MAX_READ: usize = 256 << 10;
/// Bytes of one chunk of an answer.
const CHUNK: usize = 64 << 10;

/// Guards against a host that reads many answers without end at once, and is ended for its memory with all its requests.
#[test]
fn many_answers_without_end_do_not_fill_the_memory_of_a_host() {
    let server = Scripted::plain("s-1", |turn| {
        let head = start(200, &turn.id, CONNECTION);
        turn.send_without_end(head, &vec![b'x'; CHUNK], Duration::ZERO)
    });
    let memory = format!("memory = {}MiB\n[store]", MEMORY >> 20);
    let engine = Scripted::model("d-1", "decode", events);
    let site = site_with(&[&server, &engine], |settings| {
        settings.replace("[store]", &memory)
    });
    let highest = thread::scope(|scope| {
        let site = &site;
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || send(site, "/once/x", &format!("endless-{number}"))))
            .collect();
        let mut highest = 0;
        wait_for("the answers to all callers", || {
            let held = gauge(site, "chiveway_held_bytes").unwrap_or_default();
            highest = highest.max(held);
            assert_eq!(send(site, "/short/x", "small"), 200);
            callers.iter().all(ScopedJoinHandle::is_finished)
        });
        for caller in callers {
            let status = caller.join().expect("a caller");
            assert!([502, 504].contains(&status), "{status}");
        }
        highest
    });
    let bound = MEMORY / 8 + MAX_ANSWER + CALLERS * (MAX_READ + CHUNK);
    assert!(
        highest > 0 && highest <= bound,
        "{highest} of {bound} bytes"
    );
    wait_for("the end of each connection", || server.closed() == CALLERS);
}
