//! Callers that send requests throughout the run of a seed and record the answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::check::{Observation, RequestKind};
use crate::cluster::{CALLER_COUNT, Cluster, HOST_COUNT, Incarnation};
use crate::standin::{LONG_PROMPT, SHORT_PROMPT};
use crate::{WAIT_TIMEOUT, http};

/// Renewals of a host's lease, one every four seconds, within which it must read the current state.
const MAX_RENEWALS: u32 = 2;
/// Time limit in milliseconds of a request.
pub const DEADLINE_MS: &str = "2500";
/// Host that the routes have, whatever the address of a host.
pub const HOST_HEADER: (&str, &str) = ("host", "127.0.0.1");
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

impl Cluster {
    /// Probes which configuration version a host has in force, until the run is over.
    pub fn probe_versions(&self, host: usize) {
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            let newest = self.version.load(Ordering::SeqCst);
            let incarnation = self.incarnation(host);
            for version in (1..=newest).rev() {
                count += 1;
                let id = format!("probe-{host}-{count}");
                let path = format!("/v{version}/x");
                if probe(&incarnation, &path, &id) {
                    let mut versions = self.served_versions.lock().expect("no panic");
                    versions
                        .entry(incarnation.name.clone())
                        .or_default()
                        .push(version);
                    break;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn incarnation(&self, host: usize) -> Incarnation {
        self.incarnations.lock().expect("no panic")[host].clone()
    }

    /// Sends requests until the run is over.
    pub fn send_requests(&self, seed: u64, number: u64) {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLER_COUNT) + number);
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            count += 1;
            let host = rng.random_range(0..HOST_COUNT);
            let host = self.balancer.crowded_host().unwrap_or(host);
            let incarnation = self.incarnation(host);
            let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
            self.request(&incarnation, kind, &format!("c{number}-{count}"));
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends a request and records the answer; returns whether it was served completely.
    pub fn request(&self, incarnation: &Incarnation, kind: RequestKind, id: &str) -> bool {
        self.request_within(incarnation, kind, id, DEADLINE_MS)
    }

    /// Does the same with another time limit in milliseconds.
    pub fn request_within(
        &self,
        incarnation: &Incarnation,
        kind: RequestKind,
        id: &str,
        deadline_ms: &str,
    ) -> bool {
        let send = || send(incarnation, kind, id, deadline_ms, id.as_bytes());
        self.observe(incarnation, kind, id, Duration::MAX, send)
    }

    /// Records the answer to a request that `send` sends; returns whether it was served completely. A request whose `deadline`
    /// was reached may be cut.
    pub fn observe(
        &self,
        incarnation: &Incarnation,
        kind: RequestKind,
        id: &str,
        deadline: Duration,
        send: impl FnOnce() -> Option<http::Answer>,
    ) -> bool {
        let load = |count: &AtomicU64| count.load(Ordering::SeqCst);
        let versions = self.served_versions.lock().expect("no panic");
        let known_version = versions
            .get(&incarnation.name)
            .and_then(|seen| seen.last())
            .copied();
        drop(versions);
        let before = (load(&self.unplanned.0), load(&self.unplanned.1));
        let start = Instant::now();
        let answer = send();
        let is_late = start.elapsed() >= deadline;
        let after = (load(&self.unplanned.0), load(&self.unplanned.1));
        let header = |name: &str| Some(answer.as_ref()?.header(name)?.to_owned());
        let observation = Observation {
            id: id.to_owned(),
            kind,
            status: answer.as_ref().map(|answer| answer.status),
            answered_id: header("x-chiveway-attempt-id"),
            server_stamp: header("x-chiveway-server-stamp"),
            body: answer.as_ref().map_or(String::new(), http::Answer::text),
            is_complete: answer.as_ref().is_some_and(|answer| answer.complete),
            planned_only: before.0 == 0 && before == after && !is_late,
        };
        let served = observation.status == Some(200) && observation.is_complete;
        self.observations
            .lock()
            .expect("no panic")
            .push((observation, known_version.unwrap_or(0)));
        served
    }

    /// Returns the kinds of requests that a host does not serve within `limit`.
    pub fn unserved_within(&self, round: &str, host: usize, limit: Duration) -> Vec<String> {
        let start = Instant::now();
        let mut missing = Vec::new();
        for kind in RequestKind::ALL {
            let mut count = 0;
            loop {
                count += 1;
                let incarnation = self.incarnation(host);
                let id = format!("r{}-{kind:?}-{count}-{round}", incarnation.name);
                if self.request(&incarnation, kind, &id) {
                    break;
                }
                if start.elapsed() > limit {
                    let ended = self.hosts[host]
                        .lock()
                        .expect("no panic")
                        .process
                        .has_exited();
                    let state = if ended { "has ended" } else { "is running" };
                    missing.push(format!(
                        "{} {}, its process {state}",
                        incarnation.name,
                        kind.path()
                    ));
                    break;
                }
                thread::sleep(REQUEST_INTERVAL);
            }
        }
        missing
    }

    /// Returns the services and versions that hosts lack once every fault has ended.
    pub fn unrecovered(&self) -> Vec<String> {
        let outdated = (0..HOST_COUNT).filter_map(|host| self.outdated(host));
        let outdated: Vec<String> = outdated.collect();
        let unserved =
            (0..HOST_COUNT).flat_map(|host| self.unserved_within("end", host, WAIT_TIMEOUT));
        unserved.chain(outdated).collect()
    }

    /// Returns a message if a host does not serve the newest configuration by the time the store has
    /// answered [`MAX_RENEWALS`] of its lease.
    fn outdated(&self, host: usize) -> Option<String> {
        let newest = self.version.load(Ordering::SeqCst);
        let key = format!("chiveway/hosts/host-{host}");
        let (start, end) = (Instant::now(), self.store.renewals(&key) + MAX_RENEWALS);
        let mut count = 0;
        while self.store.renewals(&key) < end && start.elapsed() < WAIT_TIMEOUT {
            count += 1;
            let incarnation = self.incarnation(host);
            let id = format!("probe-{host}-newest-{count}");
            if probe(&incarnation, &format!("/v{newest}/x"), &id) {
                return None;
            }
            thread::sleep(REQUEST_INTERVAL);
        }
        Some(format!("host-{host} does not serve version {newest}"))
    }
}

/// Sends a request; returns its answer, if one came.
pub fn send(
    incarnation: &Incarnation,
    kind: RequestKind,
    id: &str,
    deadline_ms: &str,
    body: &[u8],
) -> Option<http::Answer> {
    let prompt = prompt(kind);
    send_to(incarnation, kind.path(), id, deadline_ms, prompt, body)
}

/// Returns the headers that describe the prompt of a request.
pub fn prompt(kind: RequestKind) -> &'static [(&'static str, &'static str)] {
    match kind {
        RequestKind::Once | RequestKind::Again => &[],
        RequestKind::Long => &LONG_PROMPT,
        RequestKind::Short => &SHORT_PROMPT,
    }
}

/// Probes whether a host serves a path.
fn probe(incarnation: &Incarnation, path: &str, id: &str) -> bool {
    let answer = send_to(incarnation, path, id, DEADLINE_MS, &[], id.as_bytes());
    answer.is_some_and(|answer| answer.status == 200)
}

/// Sends a request with these headers; returns its answer, if one came.
pub fn send_to(
    incarnation: &Incarnation,
    path: &str,
    id: &str,
    deadline_ms: &str,
    extra_headers: &[(&str, &str)],
    body: &[u8],
) -> Option<http::Answer> {
    let mut headers = vec![
        HOST_HEADER,
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", deadline_ms),
    ];
    headers.extend(extra_headers);
    http::send(incarnation.callers, "POST", path, &headers, body)
}
