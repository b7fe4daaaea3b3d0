//! Planned stops of a relaying host, as callers that keep their connections open see them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use serde_json::Value;

use super::standin::{Engine, SHORT};
use super::{LIMIT, Site, http, wait_for};

/// A caller's connection that stays open between requests.
struct Kept {
    reader: BufReader<TcpStream>,
}

impl Kept {
    /// Opens a connection and has one request answered on it.
    fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.callers).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
        let mut kept = Self {
            reader: BufReader::new(stream),
        };
        kept.write("first");
        assert_eq!(kept.head().expect("an answer").status, 200);
        kept
    }

    /// Writes a request whose answer is one event, as far as the host still takes it.
    fn write(&mut self, id: &str) {
        let usage = SHORT.map(|(name, value)| format!("{name}: {value}\r\n"));
        let text = format!(
            "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
             x-chiveway-deadline-ms: 8000\r\n{}content-length: 0\r\n\r\n",
            usage.concat()
        );
        // A host that has closed the connection is seen when the answer is read.
        let _closed = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Reads an answer with its body; `None` where the connection was closed without one.
    fn head(&mut self) -> Option<Head> {
        let first = http::read_line(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut head = Head {
            status,
            ..Head::default()
        };
        let mut length = 0;
        loop {
            let line = http::read_line(&mut self.reader)?.to_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().ok()?;
            }
            head.closes |= line == "connection: close";
        }
        self.reader.read_exact(&mut vec![0; length]).ok()?;
        Some(head)
    }

    /// Waits until the host closes the connection; returns whether it did so without a word.
    fn closed(&mut self) -> bool {
        let mut rest = Vec::new();
        // A reset is an end, too.
        let _reset = self.reader.read_until(0, &mut rest);
        rest.is_empty()
    }
}

#[derive(Default)]
struct Head {
    status: u16,
    /// Whether the host is going to close the connection.
    closes: bool,
}

/// Returns the fields of all log events of this name.
fn events(site: &Site, name: &str) -> Vec<Value> {
    let log = site.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines.filter(|line: &Value| line["event"] == name).collect()
}

fn wait_refusing(site: &Site) {
    wait_for("the end of new connections", || {
        TcpStream::connect(site.callers).is_err()
    });
}

/// A caller keeps its connection open and sends nothing while the host is asked to stop. The host
/// closes the connection and ends, long before it would be killed, and its log says so.
#[test]
fn a_stop_waits_for_no_idle_connection() {
    let plain = Engine::plain("s-1");
    let mut site = Site::ready(&[&plain]);
    let mut kept = Kept::open(&site);
    site.host.term();
    assert!(kept.closed(), "nothing is sent unasked");
    assert!(site.host.wait_for_exit().success());
    let stopped = events(&site, "host.stopped");
    assert_eq!(stopped.len(), 1, "{}", site.log());
    assert_eq!(stopped[0]["why"], "every request is finished");
    assert!(events(&site, "host.stop_bound").is_empty());
}

/// A caller sends on a connection that it kept, after the host has stopped taking connections.
/// Answered late in the stop, its stream would be cut when the host is killed. It is told that
/// nothing ran, and to go elsewhere, or finds the connection closed.
#[test]
fn a_request_late_in_a_stop_runs_nowhere() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let mut site = Site::ready(&[&plain, &decode]);
    let mut kept = Kept::open(&site);
    decode.hold();
    let running = site.stream("running", &decode);
    site.host.term();
    wait_refusing(&site);
    kept.write("late");
    if let Some(head) = kept.head() {
        assert_eq!((head.status, head.closes), (503, true));
    }
    decode.release();
    let answer = running.join().expect("a caller").expect("an answer");
    assert!(answer.complete && answer.status == 200);
    assert!(site.host.wait_for_exit().success());
    assert_eq!(plain.seen("/once/x").len(), 1, "only the first ran");
}

/// A stream lasts longer than the host may take to stop. Its log says which request that was, and
/// the host ends by itself: killed, it would leave no word of what it was doing.
#[test]
fn a_stop_that_reaches_its_bound_says_what_ran() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::with_grace("2s");
    site.configure(&[&decode]);
    decode.hold();
    let running = site.stream("endless", &decode);
    site.host.term();
    assert!(site.host.wait_for_exit().success());
    let answer = running.join().expect("a caller");
    assert!(answer.is_none_or(|answer| !answer.complete));
    let bound = events(&site, "host.stop_bound");
    assert_eq!(bound.len(), 1, "{}", site.log());
    assert_eq!(bound[0]["running"], "1");
    let cut = events(&site, "request.cut");
    assert_eq!(cut[0]["id"], "endless");
    let stopped = events(&site, "host.stopped");
    assert_eq!(stopped[0]["why"], "the bound is reached");
    decode.release();
}

/// Streams end one after the other while the host stops. Each caller gets its last bytes before
/// the process is gone, also the one whose end lets the process go.
#[test]
fn the_last_answer_of_a_stop_is_whole() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::ready(&[&decode]);
    // The first connection ends before the stop: what counts connections has been at none once.
    drop(site.send("/short/x", "before", &SHORT));
    decode.hold();
    let callers = site.callers;
    let send = |id: &'static str| {
        std::thread::spawn(move || {
            let mut headers = vec![("x-chiveway-attempt-id", id)];
            headers.extend(SHORT);
            http::send(callers, "POST", "/short/x", &headers, b"body")
        })
    };
    let running = [send("one"), send("two"), send("three")];
    wait_for("the streams", || decode.seen("/short/x").len() >= 3);
    site.host.term();
    wait_refusing(&site);
    decode.release();
    for caller in running {
        let answer = caller.join().expect("a caller").expect("an answer");
        assert!(answer.complete, "{:?}", answer.status);
    }
    assert!(site.host.wait_for_exit().success());
}
