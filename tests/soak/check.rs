//! What is promised, checked from what callers and backend servers saw.

use std::collections::{BTreeMap, BTreeSet};

use crate::standin;

/// Kinds of requests, by the start of their paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    Once,
    Again,
    Long,
    Short,
}

impl RequestKind {
    pub const ALL: [Self; 4] = [Self::Once, Self::Again, Self::Long, Self::Short];

    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Again => "/again/x",
            Self::Long => "/long/x",
            Self::Short => "/short/x",
        }
    }

    fn streams(self) -> bool {
        matches!(self, Self::Long | Self::Short)
    }

    /// Whether a request may run more than once.
    fn is_retryable(self) -> bool {
        matches!(self, Self::Again | Self::Short)
    }
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub struct Observation {
    pub id: String,
    pub kind: RequestKind,
    /// Status; `None` where the connection ended without one.
    pub status: Option<u16>,
    /// Id that the answer is for.
    pub answered_id: Option<String>,
    pub body: String,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    /// Server that signed it.
    pub server_stamp: Option<String>,
    /// Whether the host was only asked to stop while it ran, and nothing else went wrong.
    pub planned_only: bool,
}

/// A run at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub id: String,
}

/// An order that an engine accepted.
#[derive(Debug, Clone)]
pub struct Order {
    pub engine: String,
    pub holder: String,
    pub fence: u64,
}

/// All that was seen in one play.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub observations: Vec<Observation>,
    pub runs: Vec<Run>,
    pub orders: Vec<Order>,
    /// Versions in force by host and incarnation, in the order in which they were seen.
    pub versions: BTreeMap<String, Vec<u64>>,
    /// Runs at a server by requests that a host sent on after it knew that the server leaves.
    pub after_drain: Vec<String>,
    /// What was not served after everything had healed.
    pub unrecovered: Vec<String>,
}

/// Returns every broken promise.
pub fn check(record: &Record) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in &record.runs {
        runs.entry(&run.id).or_default().push(&run.server);
    }
    let mut faults = Vec::new();
    for observation in &record.observations {
        let ran = runs.get(&*observation.id).map_or(&[][..], Vec::as_slice);
        faults.extend(
            check_request(observation, ran)
                .map(|fault| format!("{fault}: {observation:?}, ran at {ran:?}")),
        );
    }
    faults.extend(unrequested_runs(record));
    faults.extend(conflicting_orders(&record.orders));
    for (host, versions) in &record.versions {
        if !versions.is_sorted() {
            faults.push(format!("{host} went back in {versions:?}"));
        }
    }
    let late = record.after_drain.iter();
    faults.extend(late.map(|run| format!("sent to a server that leaves: {run}")));
    let unserved = record.unrecovered.iter();
    faults.extend(unserved.map(|what| format!("not served after all had healed: {what}")));
    faults
}

fn check_request(observation: &Observation, ran: &[&str]) -> Option<&'static str> {
    if !observation.kind.is_retryable() && ran.len() > 1 {
        return Some("ran twice");
    }
    let says_not_run = matches!(observation.status, Some(408 | 421 | 429 | 503))
        && observation.server_stamp.is_none();
    if says_not_run && !observation.kind.is_retryable() && !ran.is_empty() {
        return Some("refused as not run, and ran");
    }
    if matches!(
        observation.status,
        Some(400..=407 | 409..=420 | 422..=428 | 430..=499)
    ) {
        return Some("a proper request was turned down");
    }
    if observation.status == Some(200) {
        if observation.answered_id.as_deref() != Some(&*observation.id)
            || observation.server_stamp.is_none()
        {
            return Some("an answer to another request");
        }
        if observation.is_complete && !matches_server_answer(observation, ran) {
            return Some("not the server's whole answer");
        }
    }
    let cut = observation.status.is_none() || !observation.is_complete;
    (observation.planned_only && cut && !ran.is_empty()).then_some("cut by a planned stop")
}

/// Tells whether a whole answer is what a server gave.
fn matches_server_answer(observation: &Observation, ran: &[&str]) -> bool {
    if !observation.kind.streams() {
        let text =
            |server: &&str| format!("{server} {} {}", observation.kind.path(), observation.id);
        return ran.iter().any(|server| text(server) == observation.body);
    }
    let events: Vec<&str> = observation.body.split_inclusive("\n\n").collect();
    events.len() == 4
        && events.iter().zip(1_u64..).all(|(event, number)| {
            let matches = |server: &&str| standin::events(server, number..=number) == **event;
            ran.iter().any(matches)
        })
}

/// Runs that no caller asked for.
fn unrequested_runs(record: &Record) -> Vec<String> {
    let requested: BTreeSet<&str> = record
        .observations
        .iter()
        .map(|observation| &*observation.id)
        .collect();
    let runs = record.runs.iter();
    runs.filter(|run| !requested.contains(&*run.id))
        .map(|run| format!("ran and was never asked for: {run:?}"))
        .collect()
}

/// Orders of one engine that two holders gave with one number, or with a lower one later.
fn conflicting_orders(orders: &[Order]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut last: BTreeMap<&str, &Order> = BTreeMap::new();
    for order in orders {
        if let Some(before) = last.insert(&order.engine, order) {
            let lower = order.fence < before.fence;
            let shared = order.fence == before.fence && order.holder != before.holder;
            if lower || shared {
                faults.push(format!("conflicting orders: {before:?}, then {order:?}"));
            }
        }
    }
    faults
}
