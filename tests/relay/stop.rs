//! Planned stops of a relaying host, seen by callers with keep-alive connections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::standin::{Engine, SHORT_PROMPT};
use super::{Site, WAIT_TIMEOUT, http, wait_for};

/// Time that a server takes for a request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Requests on one connection, of more bytes than the host reads ahead.
const PIPELINED: usize = 500;

/// A caller's keep-alive connection.
struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection and completes one request on it.
    fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.callers).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time limit");
        let mut connection = Self {
            reader: BufReader::new(stream),
        };
        connection.write_request("first");
        assert_eq!(connection.read_answer().expect("an answer").status, 200);
        connection
    }

    /// Writes a request; a closed connection is ignored.
    fn write_request(&mut self, id: &str) {
        let prompt_headers = SHORT_PROMPT.map(|(name, value)| format!("{name}: {value}\r\n"));
        let text = format!(
            "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
             x-chiveway-deadline-ms: 8000\r\n{}content-length: 0\r\n\r\n",
            prompt_headers.concat()
        );
        // Reading the answer shows a closed connection.
        let _closed = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Reads an answer with its body; `None` if the connection was closed without one.
    fn read_answer(&mut self) -> Option<Response> {
        let first = http::read_line(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response {
            status,
            ..Response::default()
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
            response.closes |= line == "connection: close";
        }
        self.reader.read_exact(&mut vec![0; length]).ok()?;
        Some(response)
    }

    /// Waits until the host closes the connection; returns whether it sent no data before.
    fn closes_without_data(&mut self) -> bool {
        let mut rest = Vec::new();
        // A reset also closes the connection.
        let _reset = self.reader.read_until(0, &mut rest);
        rest.is_empty()
    }
}

#[derive(Default)]
struct Response {
    status: u16,
    /// Whether the host announced `connection: close`.
    closes: bool,
}

/// Returns all log events of this name.
fn events(site: &Site, name: &str) -> Vec<Value> {
    let log = site.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines.filter(|line: &Value| line["event"] == name).collect()
}

fn wait_until_refusing(site: &Site) {
    wait_for("the host to refuse new connections", || {
        TcpStream::connect(site.callers).is_err()
    });
}

/// A caller keeps an idle connection open while the host stops. Guards against a stop that waits for the
/// connection until the grace period ends, and against a log without the reason of the end.
#[test]
fn a_stop_closes_idle_connections() {
    let plain = Engine::plain("s-1");
    let mut site = Site::ready(&[&plain]);
    let mut connection = Connection::open(&site);
    site.host.term();
    assert!(
        connection.closes_without_data(),
        "the host sent data without a request"
    );
    assert!(site.host.wait_for_exit().success());
    let stopped = events(&site, "host.stopped");
    assert_eq!(stopped.len(), 1, "{}", site.log());
    assert_eq!(stopped[0]["why"], "every request is finished");
    assert!(events(&site, "host.stop_bound").is_empty());
}

/// A caller sends a request on a keep-alive connection after the host has stopped accepting connections.
/// Guards against running it: an answer late in the stop would be cut when the host is killed. The host
/// refuses it as not run and closes the connection, or has closed it already.
#[test]
fn a_request_late_in_a_stop_is_refused_or_closed() {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let mut site = Site::ready(&[&plain, &decode]);
    let mut connection = Connection::open(&site);
    decode.hold_streams();
    let running = site.stream("running", &decode);
    site.host.term();
    wait_until_refusing(&site);
    connection.write_request("late");
    if let Some(response) = connection.read_answer() {
        assert_eq!((response.status, response.closes), (503, true));
    }
    decode.release_streams();
    let answer = running.join().expect("a caller").expect("an answer");
    assert!(answer.complete && answer.status == 200);
    assert!(site.host.wait_for_exit().success());
    assert_eq!(
        plain.request_heads("/once/x").len(),
        1,
        "the late request ran"
    );
}

/// A caller sends its next requests before the first is answered. Guards against running those that follow the answer which
/// closes the connection, and against a reset by their unread bytes that overtakes that answer.
#[test]
fn pipelined_requests_are_answered_up_to_the_close() {
    let plain = Engine::plain("s-1");
    let mut site = Site::ready(&[&plain]);
    let mut connection = Connection::open(&site);
    plain.set_delay(RUN_TIME);
    for number in 0..PIPELINED {
        connection.write_request(&format!("pipelined-{number}"));
    }
    wait_for("the first request at the server", || {
        plain.request_heads("/once/x").len() == 2
    });
    site.host.term();
    let response = connection.read_answer().expect("an answer");
    assert_eq!((response.status, response.closes), (200, true));
    assert!(connection.closes_without_data(), "another answer");
    assert!(site.host.wait_for_exit().success());
    assert_eq!(plain.request_heads("/once/x").len(), 2, "another one ran");
}

/// The platform signals a stop again, while it changes its settings. Guards against a process that ends at once, and cuts the
/// stream that it was given time for.
#[test]
fn a_repeated_signal_cuts_no_stream() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::ready(&[&decode]);
    decode.hold_streams();
    let running = site.stream("running", &decode);
    site.host.term();
    wait_until_refusing(&site);
    site.host.hup();
    site.host.term();
    site.host.term();
    wait_for("the signals to be handled", || {
        !events(&site, "host.stop_repeated").is_empty() || site.host.has_exited()
    });
    decode.release_streams();
    let answer = running.join().expect("a caller").expect("an answer");
    assert!(answer.complete && answer.status == 200);
    assert!(site.host.wait_for_exit().success());
}

/// A stream lasts longer than the grace period. Guards against a host that is killed while it waits, which
/// would leave no log of the running request; it ends by itself and logs the request.
#[test]
fn a_stop_at_its_time_limit_logs_the_running_request() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::with_grace("2s");
    site.configure(&[&decode]);
    decode.hold_streams();
    let running = site.stream("endless", &decode);
    site.host.term();
    assert!(site.host.wait_for_exit().success());
    let answer = running.join().expect("a caller");
    assert!(answer.is_none_or(|answer| !answer.complete));
    let time_limit = events(&site, "host.stop_bound");
    assert_eq!(time_limit.len(), 1, "{}", site.log());
    assert_eq!(time_limit[0]["running"], "1");
    let cut = events(&site, "request.cut");
    assert_eq!(cut[0]["id"], "endless");
    let stopped = events(&site, "host.stopped");
    assert_eq!(stopped[0]["why"], "the bound is reached");
    decode.release_streams();
}

/// Streams end one after the other while the host stops. Guards against a process that exits before the last
/// bytes of the last stream are sent.
#[test]
fn the_last_answers_of_a_stop_are_complete() {
    let decode = Engine::model("d-1", "decode");
    let mut site = Site::ready(&[&decode]);
    // One connection ends before the stop, so that the count of connections has been zero once.
    drop(site.send("/short/x", "before", &SHORT_PROMPT));
    decode.hold_streams();
    let callers = site.callers;
    let send = |id: &'static str| {
        std::thread::spawn(move || {
            let mut headers = vec![("x-chiveway-attempt-id", id)];
            headers.extend(SHORT_PROMPT);
            http::send(callers, "POST", "/short/x", &headers, b"body")
        })
    };
    let running = [send("one"), send("two"), send("three")];
    wait_for("three running streams", || {
        decode.request_heads("/short/x").len() >= 3
    });
    site.host.term();
    wait_until_refusing(&site);
    decode.release_streams();
    for caller in running {
        let answer = caller.join().expect("a caller").expect("an answer");
        assert!(answer.complete, "{:?}", answer.status);
    }
    assert!(site.host.wait_for_exit().success());
}
