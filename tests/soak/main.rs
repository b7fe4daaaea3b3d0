//! A randomized soak test: host processes in front of stand-ins, with faults injected from outside.
//!
//! Each seed draws a series of overlapping faults: hosts are killed, frozen, stopped and restarted;
//! connections hang, pass data one way, are delayed and reset; the store is down, hangs, drops answers or
//! is restored from an older copy; engines crash, drain, are replaced and break answers off; the configuration
//! changes.
//! Hosts are partitioned from all servers, in half of the seeds and once more at the end. The balancer hands most new
//! connections to one host, among the faults and once more at the end.
//! Servers have two software versions, and one caller takes streams up at other hosts.
//! Servers send responses twice or before the requests are read, refuse requests that ran, and run requests late. Some callers
//! keep their connections, and send bodies in chunks and segments.
//! Then callers leave whose requests servers hold.
//! Meanwhile one caller sends a request that crashes every server that runs it. Half of the seeds end with servers that
//! fall silent for up to three seconds while nothing else is wrong. The requests recorded by callers and backend
//! servers are then checked against the guarantees (`check`). Half of the seeds are run once more with a caller of
//! requests with a part in their prompts that crashes engines.
//!
//! Two seeds run by default, besides the regression seeds.
//! `SOAK_SEEDS=50 SOAK_FROM=1 cargo test --release --test soak seeds` runs fifty, `SOAK_JOBS` of them at a
//! time; every failed seed is printed with its violations. `CHIVEWAY_BIN` names the program, if it is not the built one.

#[path = "../fleet/support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod cut;
#[path = "../common/http.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod http;
#[path = "../common/loopback.rs"]
mod loopback;
#[path = "../fleet/support/process.rs"]
#[expect(dead_code, reason = "shared with the fleet tests, which use all of it")]
mod process;
#[path = "../relay/standin/mod.rs"]
#[expect(
    dead_code,
    reason = "shared with the relay's tests, which use all of it"
)]
mod standin;

mod callers;
mod check;
mod cluster;
mod crowd;
mod departures;
mod faults;
mod inject;
mod kept;
mod partition;
mod parts;
mod planted;
mod poison;
mod record;
mod silence;
mod streams;
mod troubled;

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time limit of any wait; far above what a test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Seeds that have found a violation, each with its cause.
///
/// 7: a host that received SIGHUP just after its start exited.
/// 3: hosts waited on a watch that hung with the store, and read no later change.
const REGRESSION_SEEDS: [u64; 2] = [7, 3];
/// Regression seeds without a hang of the store: it would change the series that failed.
const SEEDS_WITHOUT_HANG: [u64; 1] = [7];

/// Regression seeds without restores of the store: they would change the series that failed.
const SEEDS_WITHOUT_RESTORES: [u64; 2] = [7, 3];

/// Polls until `holds` returns true.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Reads a number from the environment.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Runs seeds, some at a time, one such call after the other; returns those with violations.
fn run_seeds(seeds: &[u64], bad_part: Option<&'static str>) -> Vec<(u64, Vec<String>)> {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let next = AtomicU64::new(0);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..env_number("SOAK_JOBS", 2) {
            scope.spawn(|| {
                while let Some(seed) = usize::try_from(next.fetch_add(1, Ordering::SeqCst))
                    .ok()
                    .and_then(|index| seeds.get(index))
                {
                    let (violations, summary) = cluster::run_seed(*seed, bad_part);
                    println!("seed {seed}: {summary}, {} violations", violations.len());
                    if !violations.is_empty() {
                        failed.lock().expect("no panic").push((*seed, violations));
                    }
                }
            });
        }
    });
    failed.into_inner().expect("no panic")
}

/// Returns the seeds to run besides the regression seeds.
fn seeds() -> Vec<u64> {
    let from = env_number("SOAK_FROM", 1);
    (from..from + env_number("SOAK_SEEDS", 2)).collect()
}

/// Faults of every kind overlap and repeat at random times. Guards against calls that run twice, requests
/// refused as not run that did run, answers to other callers and streams with missing events.
#[test]
fn seeds_keep_every_promise() {
    let seeds = seeds();
    let missing = REGRESSION_SEEDS.iter().filter(|seed| !seeds.contains(seed));
    let seeds: Vec<u64> = missing.copied().chain(seeds.clone()).collect();
    let failed = run_seeds(&seeds, None);
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The same, while a part of prompts crashes engines. Guards against hosts that send such requests on, or refuse sound ones.
#[test]
fn seeds_with_a_bad_part_keep_every_promise() {
    let drawn = seeds().into_iter().filter(|seed| parts::is_drawn(*seed));
    let failed = run_seeds(&drawn.collect::<Vec<_>>(), Some(parts::BAD_PART));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against callers that reach the readiness or metrics listener of another process at the former address of a host that
/// has ended, and get its 404 or its page for a valid request.
#[test]
fn every_start_of_a_host_has_an_address_of_its_own() {
    let cluster = cluster::Cluster::new(1, None);
    let mut incarnations = cluster.incarnations.lock().expect("no panic").clone();
    for host in 0..cluster::HOST_COUNT {
        let mut stopped = cluster.hosts[host].lock().expect("no panic");
        stopped.process.kill();
        cluster.restart(host, &mut stopped);
        incarnations.push(cluster.incarnation(host));
    }
    let addresses = incarnations.iter().map(|host| host.callers.ip());
    let addresses: BTreeSet<IpAddr> = addresses.collect();
    assert_eq!(addresses.len(), incarnations.len(), "{incarnations:?}");
    for host in incarnations {
        assert_eq!(host.callers.ip(), host.readiness.ip());
    }
}
