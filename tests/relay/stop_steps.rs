//! Requests at each moment of a planned stop.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::standin::engine::HELD_ID_PREFIX;
use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT};
use super::{Site, WAIT_TIMEOUT, http, wait_for};

/// Milliseconds after the signal at which requests are sent.
const STEPS_MS: [u64; 14] = [
    0, 600, 1200, 1800, 2300, 2480, 2500, 2520, 2600, 2700, 2720, 3500, 6000, 7450,
];
/// Time for each answer that is no stream, and for each event.
const DELAY: Duration = Duration::from_millis(250);
/// Paths of all kinds of requests.
const PATHS: [&str; 4] = ["/once/x", "/again/x", "/long/x", "/short/x"];
/// Those of requests that may run more than once.
const MAY_REPEAT: [&str; 2] = ["/again/x", "/short/x"];

/// How a caller sends its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// On a connection that has carried one request.
    Kept,
    /// On a connection that is opened for it.
    New,
    /// On one that was opened before the signal and has carried nothing.
    Opened,
    /// On a new one; the last byte of the body comes a second later.
    SlowBody,
}

const ALL: [How; 4] = [How::Kept, How::New, How::Opened, How::SlowBody];

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Answered,
    Refused,
    /// No connection, or closed without a byte.
    Closed,
    /// Any other end.
    Failed,
}

fn connect(site: &Site) -> Option<TcpStream> {
    let stream = TcpStream::connect(site.callers).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Returns the bytes of a request with a body of two bytes.
fn request(path: &str, id: &str, more: &str) -> String {
    let prompt: &[(&str, &str)] = match path {
        "/long/x" => &LONG_PROMPT,
        "/short/x" => &SHORT_PROMPT,
        _ => &[],
    };
    let prompt = prompt
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let prompt = prompt.collect::<Vec<_>>().concat();
    format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n{prompt}{more}content-length: 2\r\n\r\nb"
    )
}

/// Sends a request and reads until the connection is closed.
fn exchange(stream: Option<TcpStream>, how: How, path: &str, id: &str) -> Outcome {
    let Some(mut stream) = stream else {
        return Outcome::Closed;
    };
    let pause = if how == How::SlowBody {
        Duration::from_secs(1)
    } else {
        Duration::ZERO
    };
    // A closed connection shows when it is read.
    let _closed = stream.write_all(request(path, id, "connection: close\r\n").as_bytes());
    if !pause.is_zero() {
        std::thread::sleep(pause);
    }
    let _closed = stream.write_all(b"o");
    let mut bytes = Vec::new();
    // A reset closes it as well.
    let _reset = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    if text.is_empty() {
        return Outcome::Closed;
    }
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length == body.len().to_string(),
        None => body.ends_with("0\r\n\r\n"),
    };
    match head.get(9..12) {
        Some("200") if is_whole => Outcome::Answered,
        Some("429" | "503") if is_whole && head.contains("retry-after: ") => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Opens a connection, with one request completed on it if it is to be kept.
fn open(site: &Site, how: How) -> Option<TcpStream> {
    let mut stream = connect(site)?;
    if how == How::Kept {
        let first = request("/once/x", "first", "") + "o";
        stream.write_all(first.as_bytes()).ok()?;
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"s-1 /once/x bo") {
            let mut part = [0; 4096];
            let length = stream.read(&mut part).ok().filter(|length| *length > 0)?;
            bytes.extend(&part[..length]);
        }
    }
    Some(stream)
}

/// Requests of all kinds are sent at each moment of a planned stop. Guards against one that runs and is cut, one that is
/// refused and runs, and one that gets another answer than its own or a refusal for a retry elsewhere.
#[test]
fn requests_at_each_moment_of_a_stop() {
    let (plain, prefill, decode) = (
        Engine::plain("s-1"),
        Engine::model("p-1", "prefill"),
        Engine::model("d-1", "decode"),
    );
    let site = Site::ready(&[&plain, &prefill, &decode]);
    let callers = site.callers;
    let held_id = format!("{HELD_ID_PREFIX}1");
    // One request lasts as long as the stop.
    std::thread::spawn(move || {
        let headers = [("x-chiveway-attempt-id", &*held_id)];
        http::send(callers, "POST", "/once/x", &headers, b"body")
    });
    wait_for("the request that lasts", || plain.caller_requests() == 1);
    let cases = STEPS_MS.iter().flat_map(|step| {
        let kinds = ALL.iter().flat_map(|how| PATHS.map(|path| (*how, path)));
        kinds.map(|(how, path)| (*step, how, path))
    });
    let cases: Vec<_> = cases.collect();
    let is_open = |how| matches!(how, How::Kept | How::Opened);
    let opened = cases
        .iter()
        .map(|(_, how, _)| is_open(*how).then(|| open(&site, *how)));
    let opened: Vec<_> = opened.collect();
    for engine in [&plain, &decode] {
        engine.set_delay(DELAY);
    }
    site.host.term();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let running = cases.iter().zip(opened).map(|((step, how, path), opened)| {
            let site = &site;
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(*step));
                let stream = opened.unwrap_or_else(|| connect(site));
                exchange(stream, *how, path, &format!("{step}-{how:?}{path}"))
            })
        });
        let running: Vec<_> = running.collect();
        let ends = running
            .into_iter()
            .map(|caller| caller.join().expect("a caller"));
        ends.collect()
    });
    let runs = |id: &str| {
        let line = format!("x-chiveway-attempt-id: {id}\n");
        let servers = [&plain, &decode];
        let all = servers.into_iter().flat_map(Engine::requests);
        all.filter(|(_, head, _)| head.contains(&line)).count()
    };
    let mut counts = BTreeMap::<(u64, Outcome), usize>::new();
    for ((step, how, path), outcome) in cases.iter().zip(&outcomes) {
        let id = format!("{step}-{how:?}{path}");
        *counts.entry((*step, *outcome)).or_default() += 1;
        let has_run = *outcome == Outcome::Answered;
        assert_eq!(runs(&id) > 0, has_run, "{id}: {outcome:?}");
        assert!(runs(&id) <= 1 || MAY_REPEAT.contains(path), "{id}");
        assert_ne!(*outcome, Outcome::Failed, "{id}");
        // Callers that are sent here right after the signal are served.
        assert!(*outcome != Outcome::Closed || *step > 0, "{id}");
    }
    println!("{counts:?}");
    let mut site = site;
    assert!(site.host.wait_for_exit().success());
}
