//! Callers that leave before they have an answer, once all faults have ended.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use socket2::SockRef;

use crate::callers::{DEADLINE_MS, prompt};
use crate::check::{Departure, LATE_AFTER, RequestKind};
use crate::cluster::{CALLER_COUNT, Cluster, HOST_COUNT};
use crate::standin::engine::{HELD_ID_PREFIX, HELD_PREFILL_ID_PREFIX};

/// Separates these draws from a seed's others.
const DEPARTURE_SEED_MASK: u64 = 0x60e;
/// Requests of each caller.
const REQUEST_COUNT: usize = 12;
/// Longest time in milliseconds for which a caller waits.
const MAX_WAIT_MS: u64 = 400;
/// Time after which work for a caller that has left is over, or counts.
const SETTLE_TIME: Duration = Duration::from_secs(1);

impl Cluster {
    /// Has callers leave whose requests servers hold.
    pub fn pass_departures(&self, seed: u64) {
        // Hosts that were disturbed a moment ago are not in touch.
        thread::sleep(LATE_AFTER);
        thread::scope(|scope| {
            for caller in 0..CALLER_COUNT {
                let rng = seed.wrapping_mul(CALLER_COUNT) + caller;
                let rng = StdRng::seed_from_u64(rng ^ DEPARTURE_SEED_MASK);
                scope.spawn(move || self.leave_early(rng, caller));
            }
        });
        thread::sleep(SETTLE_TIME);
    }

    fn leave_early(&self, mut rng: StdRng, caller: u64) {
        for count in 0..REQUEST_COUNT {
            let host = self.incarnation(rng.random_range(0..HOST_COUNT));
            let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
            let prefix = if rng.random_bool(0.5) {
                HELD_ID_PREFIX
            } else {
                HELD_PREFILL_ID_PREFIX
            };
            let id = format!("{prefix}{caller}-{count}");
            let Ok(mut stream) = TcpStream::connect(host.callers) else {
                continue;
            };
            let body_bytes = [0, 600, 3000][rng.random_range(0..3)];
            let request = request(kind, &id, body_bytes);
            if stream.write_all(request.as_bytes()).is_err() {
                continue;
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_WAIT_MS)));
            if rng.random_bool(0.5) {
                // The connection is reset in place of a regular end.
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("an option of an open socket");
            }
            drop(stream);
            let left = (id, Instant::now());
            self.departures.lock().expect("no panic").push(left);
        }
    }

    /// Returns what servers did for callers that left.
    pub fn departures(&self) -> Vec<Departure> {
        let left = self.departures.lock().expect("no panic").clone();
        let servers = self.servers.lock().expect("no panic");
        let held: Vec<_> = servers
            .iter()
            .flat_map(|server| server.engine.held_requests())
            .collect();
        let of_caller = |(id, left): &(String, Instant)| {
            let held: Vec<_> = held.iter().filter(|held| held.id == *id).cloned().collect();
            let left = *left;
            held.into_iter().map(move |held| Departure {
                id: held.id,
                arrived_after: held.arrived.saturating_duration_since(left),
                worked_for: held.ended.saturating_duration_since(left),
            })
        };
        left.iter().flat_map(of_caller).collect()
    }
}

/// Returns a request in the form that callers send.
fn request(kind: RequestKind, id: &str, body_bytes: usize) -> String {
    let prompt = prompt(kind)
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    format!(
        "POST {} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
         x-chiveway-deadline-ms: {DEADLINE_MS}\r\n{}content-length: {body_bytes}\r\n\r\n{}",
        kind.path(),
        prompt.collect::<String>(),
        "x".repeat(body_bytes)
    )
}
