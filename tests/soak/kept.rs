//! Callers that keep their connections, and send most requests that may run once, with bodies in several forms.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::prompt;
use crate::check::RequestKind;
use crate::cluster::{Cluster, HOST_COUNT};
use crate::http;

/// Number of these callers.
pub const KEPT_CALLER_COUNT: u64 = 6;
/// Separates their draws from a seed's others.
const KEPT_SEED_MASK: u64 = 0x4e97;
/// Kinds of their requests.
const KINDS: [RequestKind; 6] = [
    RequestKind::Once,
    RequestKind::Once,
    RequestKind::Long,
    RequestKind::Long,
    RequestKind::Again,
    RequestKind::Short,
];
/// Requests after which a caller closes its connection at the latest.
const MAX_REQUESTS: usize = 30;
/// Longest time between the two segments of a body, or between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 15;

/// Time limits in milliseconds of their requests; some end before a server runs a request that it holds.
const DEADLINES_MS: [u64; 4] = [300, 800, 2500, 2500];

/// How a request is sent.
#[derive(Debug, Clone, Copy)]
struct Form {
    deadline_ms: u64,
    is_chunked: bool,
    /// Time between the halves of its body, if it is sent in two segments.
    pause: Option<Duration>,
}

impl Cluster {
    /// Sends requests on kept connections until the run is over.
    pub fn send_on_kept_connections(&self, seed: u64, number: u64) {
        let caller_seed = seed.wrapping_mul(KEPT_CALLER_COUNT) + number;
        let mut rng = StdRng::seed_from_u64(caller_seed ^ KEPT_SEED_MASK);
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            let incarnation = self.incarnation(rng.random_range(0..HOST_COUNT));
            let mut connection = http::connect(incarnation.callers).map(BufReader::new);
            for _ in 0..rng.random_range(1..=MAX_REQUESTS) {
                let Some(open) = connection.take() else {
                    break;
                };
                if self.finished.load(Ordering::SeqCst) {
                    break;
                }
                count += 1;
                let id = format!("k{number}-{count}");
                let kind = KINDS[rng.random_range(0..KINDS.len())];
                let pause = Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
                let form = Form {
                    deadline_ms: DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())],
                    is_chunked: rng.random_bool(0.5),
                    pause: rng.random_bool(0.5).then_some(pause),
                };
                let deadline = Duration::from_millis(form.deadline_ms);
                self.observe(&incarnation, kind, &id, deadline, || {
                    let (answer, open) = send(open, kind, &id, form)?;
                    let is_kept = answer.complete && answer.header("connection") != Some("close");
                    connection = is_kept.then_some(open);
                    Some(answer)
                });
                thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
            }
            if connection.is_none() {
                thread::sleep(Duration::from_millis(MAX_PAUSE_MS));
            }
        }
    }
}

/// Sends a request, and reads its answer and the connection after it.
fn send(
    mut connection: BufReader<TcpStream>,
    kind: RequestKind,
    id: &str,
    form: Form,
) -> Option<(http::Answer, BufReader<TcpStream>)> {
    let prompt = prompt(kind)
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let framing = if form.is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", id.len())
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
         x-chiveway-deadline-ms: {}\r\n{}{framing}\r\n\r\n",
        kind.path(),
        form.deadline_ms,
        prompt.collect::<String>()
    );
    let (first, second) = id.split_at(id.len() / 2);
    let mut segments = if form.is_chunked {
        let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
        [chunk(first), chunk(second) + "0\r\n\r\n"]
    } else {
        [first.to_owned(), second.to_owned()]
    };
    segments[0].insert_str(0, &head);
    let stream = connection.get_mut();
    // A host may answer and close the connection before it has read the whole request.
    let _sent = if let Some(pause) = form.pause {
        let first = stream.write_all(segments[0].as_bytes());
        thread::sleep(pause);
        first.and_then(|()| stream.write_all(segments[1].as_bytes()))
    } else {
        stream.write_all(segments.concat().as_bytes())
    };
    Some(http::read_head(connection)?.rest_and_connection())
}
