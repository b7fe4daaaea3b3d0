//! A caller whose request crashes every server that runs it, sent to one host after another.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::{DEADLINE_MS, send};
use crate::check::{LATE_AFTER, RequestKind};
use crate::cluster::{Cluster, HOST_COUNT};
use crate::standin::Engine;

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
        if let Some((third, _)) = self.poison_crashes().get(2) {
            thread::sleep(LATE_AFTER.saturating_sub(third.elapsed()));
        }
        for round in 0..FINAL_ROUNDS {
            for host in 0..HOST_COUNT {
                let id = format!("{POISON_ID_PREFIX}end-{round}-{host}");
                self.send_poison_to(host, poison_kind(seed), &id);
            }
        }
    }

    /// Returns when servers crashed while they ran the request, in order, and for how long the host that sent it had run.
    pub fn poison_crashes(&self) -> Vec<(Instant, Duration)> {
        let host_ages = self.poisoned_by.lock().expect("no panic").clone();
        let servers = self.servers.lock().expect("no panic");
        let crashes = servers.iter().filter_map(|server| {
            let at = server.engine.poisoned_at()?;
            // A crash that is not attributed yet counts as one by a host in touch.
            let host_age = host_ages.get(&server.engine.id);
            Some((at, host_age.copied().unwrap_or(LATE_AFTER)))
        });
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort();
        crashes
    }

    /// Attributes the crashes that are new to a host that had run for a time.
    fn attribute_crashes(&self, host_age: Duration) {
        let servers = self.servers.lock().expect("no panic");
        let crashed = servers
            .iter()
            .filter(|server| server.engine.poisoned_at().is_some());
        let mut ages = self.poisoned_by.lock().expect("no panic");
        for server in crashed {
            ages.entry(server.engine.id.clone()).or_insert(host_age);
        }
    }

    /// Sends the request to a host, and replaces the servers that it crashes.
    fn send_poison_to(&self, host: usize, kind: RequestKind, id: &str) {
        self.unplanned.0.fetch_add(1, Ordering::SeqCst);
        self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        let incarnation = self.incarnation(host);
        let host_age = incarnation.started.elapsed();
        // Whatever the answer is, only the crashes count.
        let _answer = send(&incarnation, kind, id, DEADLINE_MS, POISON);
        thread::sleep(ARRIVAL_GRACE);
        self.attribute_crashes(host_age);
        self.replace_crashed(Engine::poisoned_at, Duration::ZERO);
        self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
    }

    /// Replaces the servers that crashed at least `after` ago; `crashed_at` returns when one did.
    pub fn replace_crashed(&self, crashed_at: fn(&Engine) -> Option<Instant>, after: Duration) {
        let positions = self.positions.lock().expect("no panic").clone();
        for position in 0..positions.len() {
            let crashed = self.with_server(position, |server| {
                let at = crashed_at(&server.engine)?;
                server.forwarder.refuse();
                (at.elapsed() >= after).then(|| server.engine.id.clone())
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
