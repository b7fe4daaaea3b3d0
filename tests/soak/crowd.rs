//! Most new connections at one host, while callers open more.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::check::{BESIDE_CROWD, IN_CROWD, RequestKind, SECOND_ATTEMPT};
use crate::cluster::{Cluster, HOST_COUNT};

/// Separates the draws of the last crowd from a seed's other draws.
const CROWD_SEED_MASK: u64 = 0xc70d;
/// Callers before a crowd, each with one request at a time.
const USUAL_CALLERS: usize = 6;
/// Callers in a crowd.
const CROWD_CALLERS: usize = 24;
/// Requests before a crowd, after its begin until it counts, and from then on.
const USUAL_COUNT: usize = 80;
const SETTLING_COUNT: usize = 80;
const CROWD_COUNT: usize = 160;
/// Time limit in milliseconds of the requests, that of their routes.
const DEADLINE_MS: &str = "8000";

impl Cluster {
    /// Has the balancer hand most new connections to a host for a time.
    pub fn draw_crowd(&self, host: usize, duration: Duration) {
        self.balancer.draw_crowd(Some(host));
        thread::sleep(duration);
        self.balancer.draw_crowd(None);
    }

    /// Has the balancer hand most new connections to one host once all faults have ended.
    pub fn pass_crowd(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ CROWD_SEED_MASK);
        self.send_at_once(BESIDE_CROWD, USUAL_COUNT, USUAL_CALLERS);
        let target = rng.random_range(0..HOST_COUNT);
        self.balancer.draw_crowd(Some(target));
        self.send_at_once("settling-", SETTLING_COUNT, CROWD_CALLERS);
        self.send_at_once(IN_CROWD, CROWD_COUNT, CROWD_CALLERS);
        self.balancer.draw_crowd(None);
    }

    /// Sends so many requests from so many callers at once, each once more to another host if it got no answer.
    fn send_at_once(&self, prefix: &str, count: usize, callers: usize) {
        let next = AtomicUsize::new(0);
        thread::scope(|scope| {
            for _ in 0..callers {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::SeqCst);
                        if number >= count {
                            break;
                        }
                        let kind = RequestKind::ALL[number % RequestKind::ALL.len()];
                        let id = format!("{prefix}{number}");
                        let (first, _) = self.balancer.choose(0, None);
                        if self.is_answered(first, kind, &id) {
                            continue;
                        }
                        let (second, _) = self.balancer.choose(0, Some(first));
                        self.is_answered(second, kind, &format!("{id}{SECOND_ATTEMPT}"));
                    }
                });
            }
        });
    }

    /// Sends a request to a host; returns whether anything of an answer came back.
    fn is_answered(&self, host: usize, kind: RequestKind, id: &str) -> bool {
        self.request_within(&self.incarnation(host), kind, id, DEADLINE_MS);
        let observations = self.observations.lock().expect("no panic");
        let mut newest = observations.iter().rev();
        newest.any(|(seen, _)| seen.id == id && seen.status.is_some())
    }
}
