//! Bytes of a caller that come without end, until the host closes the connection.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::{Engine, Site, wait_for};

/// Pauses between the parts of a flood and of a slow drip, which never lets a connection become idle.
const PACES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(5)];
/// Bytes of one part of a flood, about.
const FLOOD_PART: usize = 16 * 1024;

/// Places at which bytes come without end, with what comes before them.
const PLACES: [(&str, &str, &[u8]); 9] = [
    ("a method", "", b"xxxxxxxxxxxxxxxx"),
    ("a path", "POST /once/", b"xxxxxxxxxxxxxxxx"),
    ("headers", "POST /once/x HTTP/1.1\r\n", b"x-a: b\r\n"),
    (
        "a header",
        "POST /once/x HTTP/1.1\r\nx-a: ",
        b"xxxxxxxxxxxxxxxx",
    ),
    (
        "a body with a length",
        "content-length: 1000000000\r\n\r\n",
        b"xxxxxxxxxxxxxxxx",
    ),
    (
        "a body in chunks",
        "transfer-encoding: chunked\r\n\r\n",
        b"4\r\nxxxx\r\n",
    ),
    (
        "a chunk size",
        "transfer-encoding: chunked\r\n\r\n",
        b"0000000000000000",
    ),
    (
        "a chunk extension",
        "transfer-encoding: chunked\r\n\r\n4;x=",
        b"xxxxxxxxxxxxxxxx",
    ),
    (
        "trailers",
        "transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-a: b\r\n",
    ),
];
/// Head of a request up to the framing of its body.
const HEAD: &str = "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: endless\r\n";

/// Sends bytes without end until the connection is closed.
fn send_without_end(addr: SocketAddr, start: &str, more: &[u8], pace: Duration) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return;
    };
    let head = if start.contains("\r\n\r\n") { HEAD } else { "" };
    let part = if pace.is_zero() {
        more.repeat(FLOOD_PART / more.len())
    } else {
        more.to_vec()
    };
    let mut open = stream
        .write_all(format!("{head}{start}").as_bytes())
        .is_ok();
    while open {
        thread::sleep(pace);
        open = stream.write_all(&part).is_ok();
    }
}

/// Guards against a connection of a caller that stays open for as long as bytes arrive, and a host that serves nobody else.
#[test]
fn bytes_of_callers_end() {
    let server = Engine::plain("s-1");
    let site = Site::ready(&[&server]);
    let listeners = [
        ("callers", site.callers),
        ("readiness", site.readiness),
        ("metrics", site.metrics),
    ];
    let mut senders = Vec::new();
    for (place, start, more) in PLACES {
        for (listener, addr) in listeners {
            for pace in PACES {
                let sender = thread::spawn(move || send_without_end(addr, start, more, pace));
                senders.push((format!("{place} at {listener}, each {pace:?}"), sender));
            }
        }
    }
    for (number, (name, sender)) in senders.iter().enumerate() {
        wait_for(&format!("the end of {name}"), || {
            let answer = site.send("/once/x", &format!("id-{number}"), &[]);
            assert_eq!(answer.map(|answer| answer.status), Some(200), "{name}");
            sender.is_finished()
        });
    }
}
