//! A caller whose request crashes every server that runs it, sent to one host after another.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::send;
use crate::check::{LATE_AFTER, RequestKind};
use crate::cluster::{Cluster, HOST_COUNT};

/// Body of the request.
pub const POISON: &[u8] = b"poison";
/// Prefix of the ids of its attempts.
pub const POISON_ID_PREFIX: &str = "poison-";
/// Separates the draws of this caller from a seed's other draws.
const POISON_SEED_MASK: u64 = 0xdead;
/// Time after an answer in which a server may still receive the request.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// Times that each host gets the request after all faults have ended.
const FINAL_ROUNDS: usize = 2;

impl Cluster {
    /// Sends the request to hosts drawn at random until the run is over.
    pub fn send_poison(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ POISON_SEED_MASK);
        let kind = poison_kind(seed);
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(rng.random_range(50..300)));
            count += 1;
            let host = rng.random_range(0..HOST_COUNT);
            self.send_poison_to(host, kind, &format!("{POISON_ID_PREFIX}{count}"));
        }
    }

    /// Sends the request to each host once all faults have ended, as soon as sends count as late.
    pub fn send_late_poison(&self, seed: u64) {
        if let Some(third) = self.poison_crashes().get(2) {
            thread::sleep(LATE_AFTER.saturating_sub(third.elapsed()));
        }
        for round in 0..FINAL_ROUNDS {
            for host in 0..HOST_COUNT {
                let id = format!("{POISON_ID_PREFIX}end-{round}-{host}");
                self.send_poison_to(host, poison_kind(seed), &id);
            }
        }
    }

    /// Returns when servers crashed while they ran the request, in order.
    pub fn poison_crashes(&self) -> Vec<Instant> {
        let servers = self.servers.lock().expect("no panic");
        let mut crashes: Vec<Instant> = servers
            .iter()
            .filter_map(|server| server.engine.poisoned_at())
            .collect();
        crashes.sort();
        crashes
    }

    /// Sends the request to a host, and replaces the servers that it crashes.
    fn send_poison_to(&self, host: usize, kind: RequestKind, id: &str) {
        self.unplanned.0.fetch_add(1, Ordering::SeqCst);
        self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        let incarnation = self.incarnation(host);
        // Whatever the answer is, only the crashes count.
        let _answer = send(&incarnation, kind, id, POISON);
        thread::sleep(ARRIVAL_GRACE);
        self.replace_crashed();
        self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
    }

    fn replace_crashed(&self) {
        let positions = self.positions.lock().expect("no panic").clone();
        for position in 0..positions.len() {
            let crashed = self.with_server(position, |server| {
                server.engine.poisoned_at()?;
                server.forwarder.refuse();
                Some(server.engine.id.clone())
            });
            if let Some(id) = crashed {
                self.remove_entry(&id);
                self.replace(position);
            }
        }
    }
}

/// Returns the kind of request that crashes servers in the run of a seed.
fn poison_kind(seed: u64) -> RequestKind {
    let mut rng = StdRng::seed_from_u64(!seed ^ POISON_SEED_MASK);
    RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())]
}
