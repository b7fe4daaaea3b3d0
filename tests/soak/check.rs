//! Checks the guarantees on the requests recorded by callers and backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::standin;

/// Kinds of requests; each has its own route.
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

    fn is_streaming(self) -> bool {
        matches!(self, Self::Long | Self::Short)
    }

    /// Whether a request may run more than once.
    fn is_retryable(self) -> bool {
        matches!(self, Self::Again | Self::Short)
    }
}

/// A request as its caller observed it.
#[derive(Debug, Clone)]
pub struct Observation {
    pub id: String,
    pub kind: RequestKind,
    /// Status code; `None` if the connection ended without one.
    pub status: Option<u16>,
    /// Request id in the answer.
    pub answered_id: Option<String>,
    pub body: String,
    /// Whether the answer arrived up to its end.
    pub is_complete: bool,
    /// Server named in the answer's stamp.
    pub server_stamp: Option<String>,
    /// Whether no fault other than a planned one was active meanwhile.
    pub planned_only: bool,
}

/// A request run by a backend server.
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

/// A request that a server held although its caller left.
#[derive(Debug, Clone)]
pub struct Departure {
    pub id: String,
    /// Time from the end of the caller's connection until the request arrived; zero if it arrived before.
    pub arrived_after: Duration,
    /// Time from then until the host ended the server's connection.
    pub worked_for: Duration,
}

/// Time after the end of a caller's connection from which on work for it counts.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Requests that may arrive later than that.
const MAX_LATE_ARRIVALS: usize = 3;

/// Crashes by one part of prompts after which no host sends requests with it on.
pub const CRASHES_TO_REFUSE: usize = 5;
/// Time after the third crash under one request, or the last one that counts by a part of prompts, from which sends count as
/// late, and time after its start from which a host counts as in touch.
pub const LATE_AFTER: Duration = Duration::from_secs(3);
/// Late sends that are allowed.
const MAX_LATE_SENDS: usize = 3;

/// Prefixes of the ids of requests before a crowd at one host, and in it.
pub const BESIDE_CROWD: &str = "beside-";
pub const IN_CROWD: &str = "crowd-";
/// End of the id of a request's second attempt there.
pub const SECOND_ATTEMPT: &str = "-again";

/// Everything recorded in the run of one seed.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub observations: Vec<Observation>,
    pub runs: Vec<Run>,
    pub orders: Vec<Order>,
    /// Configuration versions in force by host incarnation, in the order of observation.
    pub versions: BTreeMap<String, Vec<u64>>,
    /// Runs at a draining server, sent by a host that had read of the drain.
    pub after_drain: Vec<String>,
    /// Crashes under the request that crashes servers, in order: when, and for how long the host that sent it had run.
    pub poison_crashes: Vec<(Duration, Duration)>,
    /// Crashes by the part that crashes engines, in order.
    pub part_crashes: Vec<Duration>,
    /// Requests with that part that reached servers: when, and for how long the host that sent each had run.
    pub part_sends: Vec<(Duration, Duration)>,
    /// Servers that sent the events of each stream, over all attempts of its caller.
    pub streams: Vec<Vec<String>>,
    /// Requests of callers that left.
    pub departures: Vec<Departure>,
    /// Troubles that requests met, by their ids: each with its server.
    pub troubles: BTreeMap<String, Vec<String>>,
    /// Requests whose bodies reached servers changed.
    pub altered: Vec<String>,
    /// Requests that went on from prefills of others.
    pub crossed: Vec<String>,
    /// Lines in which hosts state that a request may have run which they refused as not run.
    pub unproven: Vec<String>,
    /// Software version of each server.
    pub software: BTreeMap<String, String>,
    /// Services and versions that were missing after all faults had ended.
    pub unrecovered: Vec<String>,
}

/// Returns every violation of a guarantee.
pub fn check(record: &Record) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in &record.runs {
        runs.entry(&run.id).or_default().push(&run.server);
    }
    let mut violations = Vec::new();
    for observation in &record.observations {
        let ran = runs.get(&*observation.id).map_or(&[][..], Vec::as_slice);
        let met = record.troubles.get(&*observation.id);
        violations.extend(
            check_request(observation, ran).map(|violation| {
                format!("{violation}: {observation:?}, ran at {ran:?}, met {met:?}")
            }),
        );
    }
    violations.extend(unrequested_runs(record));
    violations.extend(conflicting_orders(&record.orders));
    for (host, versions) in &record.versions {
        if !versions.is_sorted() {
            violations.push(format!(
                "{host} went back to an older version: {versions:?}"
            ));
        }
    }
    let late = record.after_drain.iter();
    violations.extend(late.map(|run| format!("sent to a draining server: {run}")));
    let altered = record.altered.iter();
    violations.extend(altered.map(|what| format!("a changed body reached a server: {what}")));
    let crossed = record.crossed.iter();
    violations.extend(crossed.map(|what| format!("went on from another prefill: {what}")));
    let unproven = record.unproven.iter();
    violations.extend(unproven.map(|line| format!("a refusal without proof: {line}")));
    violations.extend(late_crashes(&record.poison_crashes));
    violations.extend(late_part_sends(record));
    violations.extend(mixed_streams(record));
    violations.extend(unserved_crowd(record));
    violations.extend(work_for_nobody(&record.departures));
    let unserved = record.unrecovered.iter();
    violations
        .extend(unserved.map(|what| format!("not served after all faults had ended: {what}")));
    violations
}

fn check_request(observation: &Observation, ran: &[&str]) -> Option<&'static str> {
    if !observation.kind.is_retryable() && ran.len() > 1 {
        return Some("ran twice");
    }
    let says_not_run = matches!(observation.status, Some(408 | 421 | 429 | 503));
    if says_not_run && !observation.kind.is_retryable() && !ran.is_empty() {
        return Some("refused as not run, but ran");
    }
    if matches!(
        observation.status,
        Some(400..=407 | 409..=420 | 422..=428 | 430..=499)
    ) {
        return Some("a valid request was rejected");
    }
    let answered_id = observation.answered_id.as_deref();
    if answered_id.is_some_and(|answered| answered != observation.id) {
        return Some("an answer to another request");
    }
    if observation.status == Some(200) {
        if answered_id.is_none() || observation.server_stamp.is_none() {
            return Some("an answer to another request");
        }
        if observation.is_complete && !matches_server_answer(observation, ran) {
            return Some("not the server's complete answer");
        }
    }
    let is_cut = observation.status.is_none() || !observation.is_complete;
    (observation.planned_only && is_cut && !ran.is_empty()).then_some("cut by a planned stop")
}

/// Returns whether a complete answer is the one that a server sent.
fn matches_server_answer(observation: &Observation, ran: &[&str]) -> bool {
    if !observation.kind.is_streaming() {
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

/// Returns runs of requests that no caller sent.
fn unrequested_runs(record: &Record) -> Vec<String> {
    let requested: BTreeSet<&str> = record
        .observations
        .iter()
        .map(|observation| &*observation.id)
        .collect();
    let runs = record.runs.iter();
    runs.filter(|run| !requested.contains(&*run.id))
        .map(|run| format!("ran without a request: {run:?}"))
        .collect()
}

/// Returns the streams with events of several software versions.
fn mixed_streams(record: &Record) -> Vec<String> {
    let taken_up = record.streams.iter().cloned();
    let answers = record.observations.iter();
    let answers = answers.filter(|answer| answer.kind.is_streaming());
    let streams = taken_up.chain(answers.map(|answer| standin::senders(&answer.body)));
    let is_mixed = |servers: &Vec<String>| {
        let versions = servers.iter().map(|server| record.software.get(server));
        versions.collect::<BTreeSet<_>>().len() > 1
    };
    let mixed = streams.filter(is_mixed);
    mixed
        .map(|servers| format!("a stream of several software versions: {servers:?}"))
        .collect()
}

/// Returns a violation if hosts that had run for a while sent a request on that had crashed three servers.
fn late_crashes(crashes: &[(Duration, Duration)]) -> Option<String> {
    let late_from = crashes.get(2)?.0 + LATE_AFTER;
    let late = crashes.iter();
    let late = late.filter(|(at, host_age)| *at > late_from && *host_age >= LATE_AFTER);
    let late = late.count();
    (late > MAX_LATE_SENDS).then(|| format!("a request crashed {late} servers late: {crashes:?}"))
}

/// Returns a violation if hosts that had run for a while sent requests on with a part that had crashed five servers.
fn late_part_sends(record: &Record) -> Option<String> {
    let crashes = &record.part_crashes;
    let late_from = *crashes.get(CRASHES_TO_REFUSE - 1)? + LATE_AFTER;
    let sends = record.part_sends.iter();
    let late = sends.filter(|(at, host_age)| *at > late_from && *host_age >= LATE_AFTER);
    let late: Vec<_> = late.collect();
    (late.len() > MAX_LATE_SENDS).then(|| {
        let count = late.len();
        format!(
            "{count} requests sent late with a part that crashed servers at {crashes:?}: {late:?}"
        )
    })
}

/// Requests with ids of this prefix that were served at the first attempt, and those that were read there. One that was
/// closed unread does not count if its next attempt was read.
pub fn count_first_attempts(record: &Record, prefix: &str) -> (usize, usize) {
    let runs: BTreeSet<&str> = record.runs.iter().map(|run| &*run.id).collect();
    let with_prefix = |seen: &&Observation| seen.id.starts_with(prefix);
    let by_id: BTreeMap<&str, &Observation> = record
        .observations
        .iter()
        .filter(with_prefix)
        .map(|seen| (&*seen.id, seen))
        .collect();
    let is_read = |seen: &Observation| seen.status.is_some() || runs.contains(&*seen.id);
    let counts = |seen: &&&Observation| {
        let second = by_id.get(&*(seen.id.clone() + SECOND_ATTEMPT));
        let is_read_later = second.is_some_and(|second| is_read(second));
        !seen.id.ends_with(SECOND_ATTEMPT) && (is_read(seen) || !is_read_later)
    };
    let read = by_id.values().filter(counts);
    let served = read
        .clone()
        .filter(|seen| seen.status == Some(200) && seen.is_complete);
    (served.count(), read.count())
}

/// Returns a violation if fewer than three quarters as many of the requests that were read in a crowd were served as before.
fn unserved_crowd(record: &Record) -> Option<String> {
    let before = count_first_attempts(record, BESIDE_CROWD);
    let during = count_first_attempts(record, IN_CROWD);
    let is_less = during.0 * before.1 * 4 < before.0 * during.1 * 3;
    is_less.then(|| {
        format!(
            "{} of {} requests served that were read in a crowd at one host, {} of {} before",
            during.0, during.1, before.0, before.1
        )
    })
}

/// Returns a violation if servers got requests of callers that had left, or worked on for more than a quarter of those.
fn work_for_nobody(departures: &[Departure]) -> Vec<String> {
    let late = departures.iter();
    let late = late.filter(|departure| departure.arrived_after > GONE_AFTER);
    let late: Vec<_> = late.map(|departure| &*departure.id).collect();
    let at_work = departures.iter();
    let at_work = at_work.filter(|departure| departure.arrived_after.is_zero());
    let total = at_work.clone().count();
    let longer: Vec<_> = at_work
        .filter(|departure| departure.worked_for > GONE_AFTER)
        .map(|departure| (&*departure.id, departure.worked_for))
        .collect();
    let mut violations = Vec::new();
    if late.len() > MAX_LATE_ARRIVALS {
        violations.push(format!("sent late for callers that had left: {late:?}"));
    }
    if longer.len() * 4 > total {
        violations.push(format!(
            "worked on for {} of {total} callers that had left: {longer:?}",
            longer.len()
        ));
    }
    violations
}

/// Returns orders of one engine that share a fencing token between two holders, or whose token decreases.
fn conflicting_orders(orders: &[Order]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<&str, &Order> = BTreeMap::new();
    for order in orders {
        if let Some(previous) = last.insert(&order.engine, order) {
            let is_lower = order.fence < previous.fence;
            let is_shared = order.fence == previous.fence && order.holder != previous.holder;
            if is_lower || is_shared {
                violations.push(format!("conflicting orders: {previous:?}, then {order:?}"));
            }
        }
    }
    violations
}
