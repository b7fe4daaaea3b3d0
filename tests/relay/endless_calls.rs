//! Answers without end to the host's own calls: of engines, the store and the address of the duties.

use std::cell::RefCell;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::endless::{PACES, answer, events};
use super::late_copies::{site, site_with};
use super::script::{Scripted, Turn};
use super::standin::SHORT_PROMPT;
use super::standin::http::{Request, listen, write};
use super::{http, wait_for};

/// Start of a response in each place at which bytes may come without end, and what follows again and again.
type Place = (&'static str, &'static [u8]);

const NO_HEAD: Place = ("", b"xxxxxxxxxxxxxxxx");
const STATUS_LINE: Place = ("HTTP/1.1 200 ", b"xxxxxxxxxxxxxxxx");
const HEADERS: Place = ("HTTP/1.1 200 x\r\n", b"x-a: b\r\n");
const INFORMATIONAL: Place = ("", b"HTTP/1.1 102 x\r\n\r\n");
const LENGTH: Place = (
    "HTTP/1.1 200 x\r\ncontent-length: 1000000000\r\n\r\n",
    b"xxxxxxxxxxxxxxxx",
);
const CHUNKS: Place = (
    "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
    b"10\r\nxxxxxxxxxxxxxxxx\r\n",
);
const CHUNK_SIZE: Place = (
    "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
    b"0000000000000000",
);
const CHUNK_EXTENSION: Place = (
    "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n4;x=",
    b"xxxxxxxxxxxxxxxx",
);
const TRAILERS: Place = (
    "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    b"x-a: b\r\n",
);
const CONNECTION: Place = ("HTTP/1.1 200 x\r\n\r\n", b"xxxxxxxxxxxxxxxx");

/// The places that only the bound on bytes without use ends come first.
const PLACES: [Place; 10] = [
    INFORMATIONAL,
    CHUNK_SIZE,
    CHUNKS,
    TRAILERS,
    NO_HEAD,
    STATUS_LINE,
    HEADERS,
    LENGTH,
    CHUNK_EXTENSION,
    CONNECTION,
];

/// Bytes of one part of a flood, about.
const FLOOD_PART: usize = 16 * 1024;

/// Returns what is written at once.
fn part(more: &[u8], pace: Duration) -> Vec<u8> {
    if pace.is_zero() {
        more.repeat(FLOOD_PART / more.len())
    } else {
        more.to_vec()
    }
}

/// Breaks the connection of a request.
fn break_off(_: &mut Turn<'_>) -> Option<()> {
    None
}

/// Engines of a site: enough for some to be ordered to prefill.
const ENGINES: u64 = 4;

/// Defines a test for each path of the host's calls to engines, whose answers go on without end in each place in turn: what requests get, the
/// statuses that their callers get, and how many calls must end.
macro_rules! endless_calls {
    ($($name:ident: $path:expr, $requests:expr => $statuses:expr, $count:expr;)*) => {$(
        /// Guards against a call of the host's own that does not end, a connection that is kept, and callers who wait meanwhile.
        #[test]
        fn $name() {
            for pace in PACES {
                let count = Arc::<AtomicUsize>::default();
                let engines = (0..ENGINES).map(|number| {
                    let count = Arc::clone(&count);
                    Scripted::model_with_calls(&format!("d-{number}"), "decode", move |turn| {
                        let Some(body) = turn.own_body() else {
                            return $requests(turn);
                        };
                        if turn.path == $path {
                            let number = count.fetch_add(1, Ordering::Relaxed);
                            let (head, more) = PLACES[number % PLACES.len()];
                            return turn.send_without_end(head, &part(more, pace), pace);
                        }
                        write(turn.stream, 200, "", &body)
                    })
                });
                let engines: Vec<Scripted> = engines.collect();
                let site = site(&engines.iter().collect::<Vec<_>>());
                let mut sent = 0;
                wait_for("the end of the calls", || {
                    sent += 1;
                    let answer = site.send("/short/x", &format!("id-{sent}"), &SHORT_PROMPT);
                    let status = answer.expect("an answer").status;
                    assert!($statuses.contains(&status), "{status}");
                    engines.iter().map(Scripted::closed).sum::<usize>() >= $count
                });
            }
        }
    )*};
}

endless_calls! {
    reports_of_engines_end: "/v1/report", events => [200], 3;
    orders_end: "/v1/order", events => [200], 1;
    probes_end: "/v1/report", break_off => [429, 502, 503, 504], 3;
}

/// Passes requests on to an address, but answers the first ones to a path without end.
pub struct Flooded {
    pub addr: SocketAddr,
    /// Answers without an end that the host has closed.
    closed: Arc<AtomicUsize>,
}

impl Flooded {
    pub fn start(
        target: SocketAddr,
        path: &'static str,
        places: &'static [Place],
        pace: Duration,
    ) -> Self {
        let (started, closed) = (AtomicUsize::new(0), Arc::<AtomicUsize>::default());
        let shared = Arc::clone(&closed);
        let addr = listen(move |request, stream| {
            if request.path.starts_with(path)
                && let Some((head, more)) = places.get(started.fetch_add(1, Ordering::Relaxed))
            {
                send_without_end(stream, head, more, pace);
                shared.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            pass_on(target, request, stream)
        });
        Self { addr, closed }
    }
}

impl Flooded {
    /// Waits until the host has closed the connection of each answer without an end.
    pub fn wait_closed(&self, places: &[Place]) {
        wait_for("the end of each connection", || {
            self.closed.load(Ordering::Relaxed) == places.len()
        });
    }
}

fn send_without_end(stream: &mut TcpStream, head: &str, more: &[u8], pace: Duration) {
    let part = part(more, pace);
    let mut open = stream.write_all(head.as_bytes()).is_ok();
    while open {
        std::thread::sleep(pace);
        open = stream.write_all(&part).is_ok();
    }
}

fn pass_on(target: SocketAddr, request: &Request, stream: &mut TcpStream) -> Option<()> {
    let lines = request.head.lines();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(": "))
        .filter(|(name, _)| !matches!(*name, "host" | "content-length" | "connection"))
        .collect();
    let (method, path) = (&request.method, &request.path);
    let answer = http::send(target, method, path, &headers, &request.body)?;
    let era = answer
        .header("store-era")
        .map(|era| format!("store-era: {era}\r\n"));
    write(
        stream,
        answer.status,
        &era.unwrap_or_default(),
        &answer.text(),
    )
}

/// Places of the first answers to one kind of call, whose limits apply to all kinds alike; those of a drip last seconds each.
pub const FLOODS: (Duration, &[Place]) = (
    Duration::ZERO,
    &[NO_HEAD, INFORMATIONAL, CHUNKS, CHUNK_SIZE, TRAILERS],
);
pub const DRIPS: (Duration, &[Place]) = (Duration::from_millis(5), &[INFORMATIONAL]);

/// Defines a test for each path of the store's calls.
macro_rules! endless_stores {
    ($($name:ident: $path:expr;)*) => {$(
        /// Guards against a call of the store that does not end, and a host that serves nobody meanwhile or no longer.
        #[test]
        fn $name() {
            for (pace, places) in [FLOODS, DRIPS] {
                let server = Scripted::plain("s-1", answer);
                let flooded = RefCell::new(None);
                let site = site_with(&[&server], |settings| {
                    let line = settings.lines().find_map(|line| line.strip_prefix("addr = "));
                    let store = line.and_then(|addr| addr.parse().ok()).expect("the store");
                    let proxy = Flooded::start(store, $path, places, pace);
                    let changed = settings.replace(&store.to_string(), &proxy.addr.to_string());
                    flooded.replace(Some(proxy));
                    changed
                });
                let flooded = flooded.take().expect("the proxy");
                flooded.wait_closed(places);
                let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
                assert_eq!(answer.status, 200, "{}", answer.text());
            }
        }
    )*};
}

endless_stores! {
    pages_of_the_store_end: "/v1/kv-range";
    watches_of_the_store_end: "/v1/kv-watch";
    leases_of_the_store_end: "/v1/kv-lease";
    transactions_of_the_store_end: "/v1/kv-txn";
}
