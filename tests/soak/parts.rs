//! A caller none of whose requests are alike, with a part in their prompts that crashes the engines which begin to write
//! answers on it, beside the other callers.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::{DEADLINE_MS, send_to};
use crate::check::{CRASHES_TO_REFUSE, LATE_AFTER, RequestKind};
use crate::cluster::{Cluster, HOST_COUNT, Server};
use crate::standin::{Engine, LONG_PROMPT, SHORT_PROMPT};

/// Part that crashes engines.
pub const BAD_PART: &str = "bad";
/// Prefix of the ids of the caller's requests.
pub const PART_ID_PREFIX: &str = "part-";
/// Separates the draws of this caller from a seed's other draws.
const PART_SEED_MASK: u64 = 0xbad;
/// Time after which a crashed engine is replaced.
const BACK_AFTER: Duration = Duration::from_millis(1500);
/// Time between two requests after all faults have ended.
const FINAL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which sound requests are counted then.
const FINAL_TIME: Duration = Duration::from_secs(4);
/// Time after the last crash that counts from which sound requests must be served.
const RECOVERED_AFTER: Duration = Duration::from_secs(6);
/// Kinds of the requests.
const KINDS: [RequestKind; 2] = [RequestKind::Long, RequestKind::Short];

/// Whether a seed is also run with such a caller.
pub fn is_drawn(seed: u64) -> bool {
    StdRng::seed_from_u64(seed ^ PART_SEED_MASK).random_bool(0.5)
}

impl Cluster {
    /// Sends requests with the part to hosts drawn at random, until the run is over.
    pub fn send_bad_parts(&self, seed: u64, part: &str) {
        let mut rng = StdRng::seed_from_u64(!seed ^ PART_SEED_MASK);
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(rng.random_range(50..300)));
            count += 1;
            let host = rng.random_range(0..HOST_COUNT);
            self.send_bad_part(host, KINDS[rng.random_range(0..KINDS.len())], part, count);
        }
        // The other servers must serve by then.
        self.replace_crashed(Engine::part_crash, Duration::ZERO);
    }

    /// Sends a request with the part to a host, and replaces the servers that have crashed.
    fn send_bad_part(&self, host: usize, kind: RequestKind, part: &str, count: u64) {
        self.unplanned.0.fetch_add(1, Ordering::SeqCst);
        self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        let id = format!("{PART_ID_PREFIX}{count}");
        let incarnation = self.incarnation(host);
        let mut senders = self.part_senders.lock().expect("no panic");
        senders.insert(id.clone(), incarnation.started);
        drop(senders);
        let ([usage, (name, prompt)], tokens) = match kind {
            RequestKind::Long => (LONG_PROMPT, 2000),
            _ => (SHORT_PROMPT, 100),
        };
        let first = prompt.split(',').next().unwrap_or_default();
        let prompt = format!("{first},{part}:{tokens},e{count:x}:{tokens}");
        let headers = [usage, (name, &*prompt)];
        // Whatever the answer is, only what servers receive counts.
        let _answer = send_to(
            &incarnation,
            kind.path(),
            &id,
            DEADLINE_MS,
            &headers,
            id.as_bytes(),
        );
        self.replace_crashed(Engine::part_crash, BACK_AFTER);
        self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns when servers crashed on the part, in order.
    pub fn part_crashes(&self) -> Vec<Instant> {
        let servers = self.servers.lock().expect("no panic");
        let crashes = servers
            .iter()
            .filter_map(|server| server.engine.part_crash());
        let mut crashes: Vec<Instant> = crashes.collect();
        crashes.sort();
        crashes
    }

    /// Returns when requests with the part reached servers, and for how long the host that sent each had run.
    pub fn part_sends(&self) -> Vec<(Instant, Duration)> {
        let senders = self.part_senders.lock().expect("no panic");
        let servers = self.servers.lock().expect("no panic");
        let requests = |server: &Server| server.engine.part_requests();
        let sends = servers.iter().flat_map(requests);
        sends
            .map(|(at, id)| (at, at.duration_since(senders[&id])))
            .collect()
    }

    /// Sends sound requests beside those with the part once all faults have ended; returns where too few were served.
    pub fn unserved_beside(&self, seed: u64, part: &str) -> Vec<String> {
        let (begin, mut count) = (Instant::now(), 1_u64 << 32);
        let mut served = [(0_u32, 0); KINDS.len()];
        let mut counted = None;
        while counted.is_none_or(|since: Instant| since.elapsed() < FINAL_TIME) {
            for host in 0..HOST_COUNT {
                for (kind, (sent, answered)) in KINDS.into_iter().zip(&mut served) {
                    count += 1;
                    thread::sleep(FINAL_INTERVAL);
                    self.send_bad_part(host, kind, part, count);
                    let id = format!("beside-{seed}-{count}");
                    let is_served = self.request(&self.incarnation(host), kind, &id);
                    if counted.is_some() {
                        *sent += 1;
                        *answered += u32::from(is_served);
                    }
                }
            }
            let crashes = self.part_crashes();
            let last = crashes.get(CRASHES_TO_REFUSE - 1).or(crashes.last());
            let recovered = last.map_or(begin, |last| *last + RECOVERED_AFTER);
            let from = recovered.max(begin + LATE_AFTER);
            if counted.is_none() && Instant::now() >= from {
                counted = Some(Instant::now());
            }
        }
        self.replace_crashed(Engine::part_crash, Duration::ZERO);
        let served = KINDS.into_iter().zip(served);
        let missing = served.filter(|(_, (sent, answered))| answered * 2 < *sent);
        missing
            .map(|(kind, (sent, answered))| {
                let path = kind.path();
                format!("{answered} of {sent} {path} beside requests that crash engines by a part")
            })
            .collect()
    }
}
