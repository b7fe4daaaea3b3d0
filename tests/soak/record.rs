//! Collects the requests recorded by callers and servers for the check.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::check::{Order, Record, Run};
use crate::cluster::{Cluster, Server};
use crate::parts::PART_ID_PREFIX;
use crate::poison::POISON_ID_PREFIX;
use crate::standin::engine::{HANDLE_PREFIX, HELD_ID_PREFIX, HELD_PREFILL_ID_PREFIX};
use crate::standin::trouble::Trouble;
use crate::streams::STREAM_ID_PREFIX;

/// Event that a host logs where a refusal as not run contradicts the bytes that it sent to a server.
const UNPROVEN_EVENT: &str = r#""event":"refusal.unproven""#;

impl Cluster {
    /// Returns the record of callers and servers.
    pub fn record(&self, unrecovered: Vec<String>) -> Record {
        let observations = self.observations.lock().expect("no panic").clone();
        let known_versions: BTreeMap<String, u64> = observations
            .iter()
            .map(|(observation, known)| (observation.id.clone(), *known))
            .collect();
        let since_start = |(at, host_age): &(Instant, Duration)| (*at - self.started, *host_age);
        let mut record = Record {
            observations: observations
                .into_iter()
                .map(|(observation, _)| observation)
                .collect(),
            versions: self.served_versions.lock().expect("no panic").clone(),
            unrecovered,
            streams: self.streams.lock().expect("no panic").clone(),
            poison_crashes: self.poison_crashes().iter().map(since_start).collect(),
            part_crashes: self
                .part_crashes()
                .iter()
                .map(|at| *at - self.started)
                .collect(),
            departures: self.departures(),
            part_sends: self.part_sends().iter().map(since_start).collect(),
            unproven: self.unproven_refusals(),
            ..Record::default()
        };
        for server in &*self.servers.lock().expect("no panic") {
            let engine = &server.engine;
            record.software.insert(engine.id.clone(), engine.version());
            for (path, head, body) in server.engine.executed_requests() {
                add_request(&mut record, server, &path, &head, &body, &known_versions);
            }
            for (id, trouble) in engine.troubled_requests() {
                let met = format!("{trouble} at {}", engine.id);
                record.troubles.entry(id).or_default().push(met);
            }
            for (id, body) in engine.late_bodies() {
                add_altered(&mut record, &engine.id, &id, &body);
            }
        }
        record
    }

    /// Returns how many requests met each trouble.
    pub fn count_troubles(&self) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<_, _> = Trouble::ALL_NAMES.map(|name| (name, 0)).into();
        for server in &*self.servers.lock().expect("no panic") {
            for (_, trouble) in server.engine.troubled_requests() {
                *counts.entry(trouble).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the lines of the hosts' logs in which a refusal contradicts what was sent to servers.
    fn unproven_refusals(&self) -> Vec<String> {
        let logs = std::fs::read_dir(&self.logs).expect("the folder of logs");
        let paths = logs.flatten().map(|entry| entry.path());
        let texts = paths.map(|path| std::fs::read(path).expect("a log"));
        texts
            .flat_map(|text| unproven_lines(&String::from_utf8_lossy(&text)))
            .collect()
    }
}

/// Returns the lines of a log in which a refusal contradicts what was sent to servers.
pub fn unproven_lines(log: &str) -> Vec<String> {
    let lines = log.lines();
    let unproven = lines.filter(|line| line.contains(UNPROVEN_EVENT));
    unproven.map(str::to_owned).collect()
}

/// Returns the handle from which a request goes on, if it is that of another request's prefill.
pub fn crossed_handle<'a>(head: &'a str, id: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    let source = lines.find_map(|line| line.strip_prefix("x-chiveway-kv-source: "))?;
    let (_, handle) = source.split_once('/')?;
    let of_prefill = handle.strip_prefix(HANDLE_PREFIX)?;
    (of_prefill != id).then_some(handle)
}

/// Records that a body which is not the request's own reached a server.
fn add_altered(record: &mut Record, server: &str, id: &str, body: &[u8]) {
    if is_observed(id) && body != id.as_bytes() {
        let body = String::from_utf8_lossy(body);
        record.altered.push(format!("{id} at {server}: {body:?}"));
    }
}

/// Returns whether the answer to a request is recorded; such a request has its id as its body.
fn is_observed(id: &str) -> bool {
    let unobserved = [
        "probe-",
        POISON_ID_PREFIX,
        PART_ID_PREFIX,
        STREAM_ID_PREFIX,
        HELD_ID_PREFIX,
        HELD_PREFILL_ID_PREFIX,
    ];
    !unobserved.iter().any(|prefix| id.starts_with(prefix))
}

/// Adds one request received by a server to the record.
fn add_request(
    record: &mut Record,
    server: &Server,
    path: &str,
    head: &str,
    body: &[u8],
    known_versions: &BTreeMap<String, u64>,
) {
    let name = server.engine.id.clone();
    if path == "/v1/order" {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        record.orders.push(Order {
            engine: name,
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            fence: order["fencingToken"].as_u64().unwrap_or(0),
        });
        return;
    }
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-chiveway-attempt-id: "));
    let id = id.unwrap_or_default().to_owned();
    if let Some(handle) = crossed_handle(head, &id) {
        record
            .crossed
            .push(format!("{id} at {name}, from {handle}"));
    }
    let is_prefill = head.contains("x-chiveway-serving-stage: prefill");
    if is_prefill || !is_observed(&id) || path.starts_with("/v1/") {
        return;
    }
    add_altered(record, &name, &id, body);
    let version = known_versions.get(&id).copied().unwrap_or(0);
    if server
        .drain_version
        .is_some_and(|drained| version >= drained)
    {
        record
            .after_drain
            .push(format!("{id} at {name}, host had version {version}"));
    }
    record.runs.push(Run { server: name, id });
}
