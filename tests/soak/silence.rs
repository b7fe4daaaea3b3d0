//! Sound servers that fall silent for a time and go on, while the configuration changes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::check::{LATE_AFTER, RequestKind};
use crate::cluster::{CALLER_COUNT, Cluster, HOST_COUNT, SERVER_DELAY, SERVER_STAGES};
use crate::cut::FaultProxy;

/// Prefix of the ids of requests beside silences.
pub const QUIET_ID_PREFIX: &str = "quiet-";
/// Separates these draws from a seed's others.
const SILENCE_SEED_MASK: u64 = 0x51e;
/// Series of silences in a run.
const ROUND_COUNT: u64 = 6;
/// Servers that are silent in one round.
const SILENT_COUNT: usize = 2;
/// Delay of an answer or an event: most answers at a server that falls silent have begun.
const SLOW_DELAY: Duration = Duration::from_millis(100);
/// Time limit in milliseconds of the requests, that of their routes.
const DEADLINE_MS: &str = "8000";

/// Seconds of pushback that servers name which refuse requests meanwhile: so short that hosts mostly choose them again.
const PUSHBACK: &str = "0.01";
/// Pause of a caller after a request: callers that are refused at once would keep all hosts in pushback.
const PAUSE: Duration = Duration::from_millis(5);
/// Share of the requests for streams that may go on at another server.
const MOVABLE_SHARE: f64 = 0.7;

/// Whether the run of a seed ends with such silences.
fn is_drawn(seed: u64) -> bool {
    StdRng::seed_from_u64(seed ^ SILENCE_SEED_MASK).random_bool(0.5)
}

impl Cluster {
    /// Has servers fall silent once all faults have ended. Silence excuses no answer that is cut.
    pub fn pass_silences(&self, seed: u64) {
        if !is_drawn(seed) {
            return;
        }
        // Hosts that were disturbed a moment ago are not in touch.
        thread::sleep(LATE_AFTER);
        let mut rng = StdRng::seed_from_u64(!seed ^ SILENCE_SEED_MASK);
        self.set_delay(SLOW_DELAY);
        for round in 0..ROUND_COUNT {
            let finished = &AtomicBool::new(false);
            thread::scope(|scope| {
                for caller in 0..CALLER_COUNT {
                    let rng = StdRng::seed_from_u64(rng.random());
                    let name = format!("{QUIET_ID_PREFIX}{round}-{caller}");
                    scope.spawn(move || self.request_slowly(rng, &name, finished));
                }
                let silent = (0..SILENT_COUNT).map(|_| rng.random_range(0..SERVER_STAGES.len()));
                let silent: Vec<usize> = silent.collect();
                if rng.random_bool(0.5) {
                    self.refuse_elsewhere(&silent);
                }
                thread::scope(|silences| {
                    for position in silent {
                        thread::sleep(Duration::from_millis(rng.random_range(100..500)));
                        let duration = Duration::from_millis(rng.random_range(500..3000));
                        silences.spawn(move || self.silence(position, duration));
                        self.configure();
                    }
                });
                finished.store(true, Ordering::SeqCst);
            });
            for position in 0..SERVER_STAGES.len() {
                self.with_server(position, |server| server.engine.clear_refusal());
            }
        }
        self.set_delay(SERVER_DELAY);
    }

    /// Has the servers at all other positions refuse requests: what has begun can go on nowhere else.
    fn refuse_elsewhere(&self, silent: &[usize]) {
        for position in (0..SERVER_STAGES.len()).filter(|position| !silent.contains(position)) {
            self.with_server(position, |server| server.engine.refuse(PUSHBACK));
        }
    }

    fn silence(&self, position: usize, duration: Duration) {
        let forwarder: FaultProxy = self.with_server(position, |server| server.forwarder.clone());
        forwarder.silence();
        thread::sleep(duration);
        forwarder.restore();
    }

    fn request_slowly(&self, mut rng: StdRng, name: &str, finished: &AtomicBool) {
        let mut count = 0;
        while !finished.load(Ordering::SeqCst) {
            count += 1;
            let host = self.incarnation(rng.random_range(0..HOST_COUNT));
            let kind = if rng.random_bool(MOVABLE_SHARE) {
                RequestKind::Short
            } else {
                RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())]
            };
            self.request_within(&host, kind, &format!("{name}-{count}"), DEADLINE_MS);
            thread::sleep(PAUSE);
        }
    }

    /// Sets the delay of the current servers.
    fn set_delay(&self, delay: Duration) {
        for position in 0..SERVER_STAGES.len() {
            self.with_server(position, |server| server.engine.set_delay(delay));
        }
    }
}
