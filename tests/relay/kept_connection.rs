//! Connections that callers keep for their next request.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::silence::config_with_timeout;
use super::standin::Engine;
use super::standin::engine::EVENT_COUNT;
use super::{Site, WAIT_TIMEOUT, http, wait_for};

/// Delay of each event: a stream takes longer than a caller may take to send the head of a request.
const EVENT_DELAY: Duration = Duration::from_millis(2750);

/// Writes a request to a connection.
fn write(caller: &mut BufReader<TcpStream>, path: &str, id: &str) {
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
         x-chiveway-token-usage: 300,8\r\nx-chiveway-prompt-prefix: cc:50,dd:250\r\n\
         content-length: 0\r\n\r\n"
    );
    let written = caller.get_mut().write_all(text.as_bytes());
    written.expect("an open connection");
}

/// Reads an answer in chunks; returns its head and its body, or `None` if the connection ended before.
fn read(caller: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut head, mut body) = (String::new(), Vec::new());
    loop {
        let line = http::read_line(caller)?;
        if line.is_empty() {
            break;
        }
        head += &line.to_lowercase();
        head.push('\n');
    }
    loop {
        let size = usize::from_str_radix(&http::read_line(caller)?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        caller.read_exact(&mut body[start..]).ok()?;
        http::read_line(caller)?;
        if size == 0 {
            return Some((head, String::from_utf8_lossy(&body).into_owned()));
        }
    }
}

/// Time in seconds for which a host keeps an idle connection.
const IDLE_SECS: u64 = 75;

/// The operator lets callers keep idle connections for longer than a host does. Guards against a caller that is not told, and
/// sends its next request while the host closes the connection.
#[test]
fn an_answer_states_for_how_long_its_connection_is_kept() {
    let plain = Engine::plain("s-1");
    let site = Site::ready(&[&plain]);
    for path in ["/once/x", "/absent/x"] {
        let answer = site.send(path, "id-1", &[]).expect("an answer");
        let stated = answer.header("keep-alive").unwrap_or_default();
        let stated = stated
            .strip_prefix("timeout=")
            .and_then(|secs| secs.parse::<u64>().ok());
        assert!(
            stated.is_some_and(|secs| secs < IDLE_SECS),
            "{path}: {:?}",
            answer.headers
        );
    }
}

/// A stream lasts longer than a caller may take to send the head of a request. Guards against a host that closes the connection
/// after the answer without a word, so that the next request meets a closing connection.
#[test]
fn a_connection_is_kept_after_a_long_stream() {
    let decode = Engine::model("d-1", "decode");
    let site = Site::ready(&[&decode]);
    site.store.put("op/config", &config_with_timeout(2, 20_000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    let caller = TcpStream::connect(site.callers).expect("a connection");
    let limit = caller.set_read_timeout(Some(WAIT_TIMEOUT));
    limit.expect("a time limit");
    let mut caller = BufReader::new(caller);
    decode.set_delay(EVENT_DELAY);
    write(&mut caller, "/short/x", "long");
    let (head, body) = read(&mut caller).expect("a whole answer");
    assert_eq!(body.matches("id: ").count() as u64, EVENT_COUNT);
    if head.contains("connection: close") {
        return;
    }
    decode.set_delay(Duration::ZERO);
    // The host has closed the connection by now, if it is to.
    std::thread::sleep(Duration::from_millis(100));
    write(&mut caller, "/short/x", "next");
    let next = read(&mut caller);
    assert!(next.is_some(), "the connection was closed without a word");
}
