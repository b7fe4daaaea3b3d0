//! Servers that flood one host in each place of a response, while other callers are served.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, ScopedJoinHandle};
use std::time::Duration;

use super::endless::{CHUNKS, CONNECTION, events, start};
use super::late_copies::site_with;
use super::script::{Scripted, Turn};
use super::standin::{LONG_PROMPT, SHORT_PROMPT};
use super::{Site, wait_for};

/// Memory that the settings allow a host.
const MEMORY: usize = 192 << 20;
/// Callers whose answers have no end.
const CALLERS: usize = 24;
/// Bytes of one part of a flood, about.
const PART: usize = 16 << 10;

/// Start of a response to the request of an id, and what follows again and again.
type Flood = (fn(&str) -> String, &'static [u8]);

const FLOODS: [Flood; 10] = [
    (|_| "HTTP/1.1 200 ".to_owned(), b"xxxxxxxxxxxxxxxx"),
    (|id| start(200, id, ""), b"x-a: b\r\n"),
    (|id| start(200, id, "x-a: "), b"xxxxxxxxxxxxxxxx"),
    (|_| String::new(), b"HTTP/1.1 102 x\r\n\r\n"),
    (|id| start(200, id, CHUNKS), b"4\r\nxxxx\r\n"),
    (|id| start(200, id, CHUNKS), b"0000000000000000"),
    (
        |id| start(200, id, "transfer-encoding: chunked\r\n\r\n4;x="),
        b"xxxxxxxxxxxxxxxx",
    ),
    (
        |id| start(200, id, "transfer-encoding: chunked\r\n\r\n0\r\n"),
        b"x-a: b\r\n",
    ),
    (
        |id| start(200, id, "content-length: 1000000000\r\n\r\n"),
        b"xxxxxxxxxxxxxxxx",
    ),
    (|id| start(200, id, CONNECTION), b"xxxxxxxxxxxxxxxx"),
];

/// Answers with each flood in turn.
fn flood(turn: &mut Turn<'_>) -> Option<()> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let (head, more) = FLOODS[COUNT.fetch_add(1, Ordering::Relaxed) % FLOODS.len()];
    let part = more.repeat(PART / more.len());
    turn.send_without_end(head(&turn.id), &part, Duration::ZERO)
}

/// Returns the most memory that a host has had resident, in bytes.
fn peak_memory(site: &Site) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", site.host.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<usize>().ok());
    kilobytes.expect("its memory") << 10
}

/// Guards against a host that is ended for its memory, or holds up other requests, while servers flood it.
#[test]
fn floods_of_many_servers_harm_no_other_request() {
    let plain = ["s-1", "s-2", "s-3"].map(|id| Scripted::plain(id, flood));
    let prefill = Scripted::model("p-1", "prefill", flood);
    let decode = Scripted::model("d-1", "decode", events);
    let memory = format!("memory = {}MiB\n[store]", MEMORY >> 20);
    let servers = [&plain[0], &plain[1], &plain[2], &prefill, &decode];
    let site = site_with(&servers, |settings| settings.replace("[store]", &memory));
    thread::scope(|scope| {
        let site = &site;
        let floods: Vec<_> = (0..CALLERS)
            .map(|number| {
                scope.spawn(move || site.send("/once/x", &format!("flood-{number}"), &[]))
            })
            .collect();
        let mut sent = 0;
        wait_for("the answers to all callers", || {
            sent += 1;
            let (path, prompt) = [("/short/x", SHORT_PROMPT), ("/long/x", LONG_PROMPT)][sent % 2];
            let answer = site.send(path, &format!("sound-{sent}"), &prompt);
            let answer = answer.expect("an answer");
            assert_eq!(
                (answer.status, answer.complete),
                (200, true),
                "{}",
                answer.text()
            );
            floods.iter().all(ScopedJoinHandle::is_finished)
        });
        for flood in floods {
            let answer = flood.join().expect("a caller").expect("an answer");
            assert!(!matches!(answer.status, 200..300), "{}", answer.status);
        }
    });
    let peak = peak_memory(&site);
    assert!(peak < MEMORY, "{peak} of {MEMORY} bytes");
}
