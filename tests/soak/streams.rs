//! A caller whose connections break in the middle of streams, which it then takes up at other hosts.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::HOST_HEADER;
use crate::check::RequestKind;
use crate::cluster::{Cluster, HOST_COUNT, Incarnation};
use crate::http;
use crate::standin::{SHORT_PROMPT, senders};

/// Prefix of the ids of its attempts.
pub const STREAM_ID_PREFIX: &str = "stream-";
/// Separates the draws of this caller from a seed's other draws.
const STREAM_SEED_MASK: u64 = 0x5eed;
/// Maximum number of times that a stream is taken up.
const MAX_TAKE_UPS: usize = 3;

impl Cluster {
    /// Begins streams and takes them up at hosts drawn at random, until the run is over.
    pub fn take_up_streams(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ STREAM_SEED_MASK);
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            count += 1;
            let first = format!("{STREAM_ID_PREFIX}{count}");
            let mut events = Vec::new();
            for attempt in 0..=MAX_TAKE_UPS {
                let host = self.incarnation(rng.random_range(0..HOST_COUNT));
                let id = match attempt {
                    0 => first.clone(),
                    _ => format!("{first}-{attempt}"),
                };
                // A third of the attempts ends with the first event.
                let is_broken = rng.random_bool(0.33);
                events.extend(attempt_events(&host, &id, &first, events.len(), is_broken));
                if events.is_empty() {
                    break;
                }
            }
            self.streams.lock().expect("no panic").push(events);
            thread::sleep(Duration::from_millis(rng.random_range(5..30)));
        }
    }
}

/// Sends an attempt, which takes its stream up if there are events already; returns the servers that sent its events.
fn attempt_events(
    host: &Incarnation,
    id: &str,
    first: &str,
    received: usize,
    is_broken: bool,
) -> Vec<String> {
    let last = received.to_string();
    let mut headers = vec![
        HOST_HEADER,
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", "2500"),
    ];
    headers.extend(SHORT_PROMPT);
    if received > 0 {
        headers.extend([("last-event-id", &*last), ("resumes", first)]);
    }
    let path = RequestKind::Short.path();
    let answer = http::open(host.callers, "POST", path, &headers, id.as_bytes());
    let Some(mut answer) = answer.filter(|answer| answer.status == 200) else {
        return Vec::new();
    };
    let body = if is_broken {
        answer.next_chunk().ok().flatten().unwrap_or_default()
    } else {
        answer.rest().body
    };
    senders(&String::from_utf8_lossy(&body))
}
