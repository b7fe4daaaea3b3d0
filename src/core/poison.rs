//! Poison requests: requests that crash engines, refused at every host after two crashes.
//!
//! A crash ends every request that the engine was running, and any of them may be the cause. Each becomes a suspect at
//! every host. Suspects that the engine had begun to answer are cleared as soon as the same crash has a suspect that it
//! had not begun to answer: engines crash when they start on a request. Otherwise, harmless requests with long answers
//! would be refused when the poison request follows them to their next engine and crashes that one too.
//!
//! Requests with the same fingerprint go to the same two engines from every host, so that copies sent to several hosts
//! at the same time cannot crash one engine per host. An engine that a host has just lost stays one of the two, since
//! the report of the request that crashed it may still be on its way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::effect::{Effect, Refusal, log_event};
use super::event::{Fingerprint, Role};
use super::fleet::ServingState;
use super::key::{BackendKey, HostKey, RequestKey};
use super::load;
use super::message::{Message, Suspect};
use super::route::{self, Need};
use super::{Core, Effects, Time};
use crate::error::Kind;

/// Number of engines that may crash while running a request before it is refused.
const MAX_CRASHED_ENGINES: usize = 2;
/// Time for which a request stays a suspect after its last crash.
const SUSPICION_TTL: Duration = Duration::from_mins(10);
/// Maximum number of fingerprints that are kept; the oldest are evicted first.
const MAX_RECORDS: usize = 4096;
/// Maximum number of suspects that are sent to a new host, the latest first.
const MAX_SYNCED_SUSPECTS: usize = 512;
/// Reports of a crash of the same engine within this time, by the hosts' clocks, refer to the same crash.
const SAME_CRASH_MS: u64 = 5_000;
/// Fraction of the target time to the first token that requests with the same fingerprint may wait for their two
/// engines; beyond it they may go to any engine.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time in which the reports of a crash arrive from the other hosts.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// A crash of an engine while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    engine: Box<str>,
    /// Milliseconds since the Unix epoch.
    at: u64,
    /// Whether the engine had begun to answer the request.
    answering: bool,
}

/// The crashes with requests of one fingerprint, and the id of the last such request.
#[derive(Debug, Clone, Default)]
struct CrashRecord {
    crashes: Vec<Crash>,
    request: Box<str>,
}

impl CrashRecord {
    /// Returns the time of the last crash.
    fn last(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or(0)
    }
}

/// Fingerprints of suspects.
#[derive(Debug, Default)]
pub struct PoisonRequests {
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// Crash times, by engine, of crashes with a suspect that the engine had not begun to answer.
    unanswered_crashes: BTreeMap<Box<str>, Vec<u64>>,
    /// When this host lost each engine that it lost lately.
    lost: BTreeMap<Box<str>, Time>,
}

impl PoisonRequests {
    /// Returns the record of a fingerprint, unless it has expired.
    fn record(&self, fingerprint: Fingerprint, wall: u64) -> Option<&CrashRecord> {
        let record = self.records.get(&fingerprint)?;
        let age = Duration::from_millis(wall.saturating_sub(record.last()));
        (age < SUSPICION_TTL).then_some(record)
    }

    /// Whether a crash counts against the request.
    fn counts(&self, crash: &Crash) -> bool {
        let unanswered = self.unanswered_crashes.get(&crash.engine);
        let other = |at: &u64| at.abs_diff(crash.at) < SAME_CRASH_MS;
        !crash.answering || !unanswered.is_some_and(|times| times.iter().any(other))
    }

    /// Returns until when reports of an engine's crash may arrive, if it was lost lately.
    fn reports_until(&self, engine: &str, now: Time) -> Option<Time> {
        let until = self.lost.get(engine)?.after(REPORT_DELAY);
        (until > now).then_some(until)
    }

    /// Returns the crashes that count against a fingerprint.
    fn counted(&self, fingerprint: Fingerprint, wall: u64) -> Vec<&Crash> {
        let crashes = self
            .record(fingerprint, wall)
            .map(|record| record.crashes.iter());
        let crashes = crashes.into_iter().flatten();
        crashes.filter(|crash| self.counts(crash)).collect()
    }
}

/// Checks whether a request may run.
///
/// # Errors
///
/// Returns [`Kind::EngineKiller`] if requests with this fingerprint crashed `MAX_CRASHED_ENGINES` engines, with the
/// time after which it may be retried.
pub fn check(core: &Core, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let wall = core.wall_ms();
    let Some(record) = core.poison_requests.record(fingerprint, wall) else {
        return Ok(());
    };
    let count = core.poison_requests.counted(fingerprint, wall).len();
    if count < MAX_CRASHED_ENGINES {
        return Ok(());
    }
    let age = Duration::from_millis(wall.saturating_sub(record.last()));
    let detail = format!(
        "{count} engines died while running this request, last as {}",
        record.request
    );
    Err(Refusal::new(Kind::EngineKiller, detail)
        .with_ran(crate::error::Ran::No)
        .with_retry_after(SUSPICION_TTL.saturating_sub(age)))
}

/// Adds to `need` the engines that a request with this fingerprint must avoid. Returns the time until which
/// reports on lost engines may arrive, if it may go to one that was lost just now.
///
/// A request goes to one of two engines while these are not busy: the one with the prompt's prefix and the first one by
/// fingerprint, the same from every host. A request that crashed one of them goes to the other only.
pub fn restrict_engines(core: &Core, need: &mut Need, fingerprint: Fingerprint) -> Option<Time> {
    let crashed: BTreeSet<Box<str>> = {
        let crashes = core.poison_requests.counted(fingerprint, core.wall_ms());
        crashes.iter().map(|crash| crash.engine.clone()).collect()
    };
    let candidates = candidates(core, need, &crashed);
    let mut allowed = BTreeSet::new();
    for role in [Role::Both, Role::Prefill, Role::Decode] {
        let of_role = |key: &BackendKey| core.fleet.arena[*key].role == role;
        let mut keys: Vec<BackendKey> = candidates.iter().copied().filter(of_role).collect();
        keys.sort_by_key(|&key| rank(fingerprint, &core.fleet.arena[key].name));
        let mut pair = engine_pair(core, need, &keys);
        if crashed.is_empty() {
            let busy = |key: &BackendKey| load::busy(core, *key, MAX_WAIT_FRACTION);
            allowed.extend(if pair.iter().all(busy) { keys } else { pair });
        } else {
            pair.retain(|key| !crashed.contains(&core.fleet.arena[*key].name));
            allowed.extend(pair.first());
        }
    }
    let lost = |key: &BackendKey| reports_until(core, *key);
    let until = allowed.iter().filter_map(lost).min();
    let avoid = |key: &BackendKey| !allowed.contains(key) || lost(key).is_some();
    need.avoid.extend(candidates.into_iter().filter(avoid));
    until
}

fn reports_until(core: &Core, key: BackendKey) -> Option<Time> {
    let engine = &core.fleet.arena[key].name;
    core.poison_requests.reports_until(engine, core.now)
}

/// Returns the engines that take requests, those that did until they were lost just now, and those that crashed.
fn candidates(core: &Core, need: &Need, crashed: &BTreeSet<Box<str>>) -> Vec<BackendKey> {
    let engines = core.fleet.serving(&need.model);
    let engines = engines.flat_map(|pool| pool.engines.iter().copied());
    engines
        .filter(|&key| {
            let engine = &core.fleet.arena[key];
            let usable = engine.is_available(core.now) && !need.avoid.contains(&key);
            let is_serving = [engine.listed, engine.routed] == [ServingState::Serving; 2];
            let is_lost = reports_until(core, key).is_some() || crashed.contains(&engine.name);
            usable || is_serving && is_lost
        })
        .collect()
}

/// Returns the two engines for a fingerprint, of engines in the order of their ranks.
fn engine_pair(core: &Core, need: &Need, keys: &[BackendKey]) -> Vec<BackendKey> {
    let preferred = route::prefix_engine(core, need, keys);
    let others = keys.iter().copied().filter(|key| Some(*key) != preferred);
    preferred
        .into_iter()
        .chain(others)
        .take(MAX_CRASHED_ENGINES)
        .collect()
}

fn rank(fingerprint: Fingerprint, engine: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&fingerprint.0);
    hasher.update(engine.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Records that an engine crashed while running a request, here and at every peer.
pub fn report_crash(core: &mut Core, key: RequestKey, backend: BackendKey, out: &mut Effects) {
    let Some(engine) = core
        .fleet
        .arena
        .get(backend)
        .map(|engine| engine.name.clone())
    else {
        return;
    };
    let request = &core.requests.arena[key];
    let suspect = Suspect {
        fingerprint: request.fingerprint,
        engine,
        at_ms: core.wall_ms(),
        request: request.record.id.clone(),
        answering: request.answering(),
    };
    let text = format!(
        "{} crashed while running {}",
        suspect.engine, suspect.request
    );
    out.push(log_event(log::Level::Warn, "engine.died", text));
    for to in core.members.peers() {
        let message = Message::Suspect(suspect.clone());
        out.push(Effect::Send { to, message });
    }
    receive(core, suspect);
}

/// Sends the known suspects to a new host, which would otherwise run each of them once more.
pub fn sync_new_host(core: &Core, to: HostKey, out: &mut Effects) {
    let wall = core.wall_ms();
    let requests = &core.poison_requests;
    let records = requests.records.keys();
    let records = records
        .filter_map(|fingerprint| Some((*fingerprint, requests.record(*fingerprint, wall)?)));
    let suspects = records.flat_map(|(fingerprint, record)| {
        let suspect = move |crash: &Crash| Suspect {
            fingerprint,
            engine: crash.engine.clone(),
            at_ms: crash.at,
            request: record.request.clone(),
            answering: crash.answering,
        };
        record.crashes.iter().map(suspect)
    });
    let mut suspects: Vec<Suspect> = suspects.collect();
    suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.at_ms));
    suspects.truncate(MAX_SYNCED_SUSPECTS);
    out.extend(suspects.into_iter().map(|suspect| Effect::Send {
        to,
        message: Message::Suspect(suspect),
    }));
}

/// Records that an engine is gone, unless it has failed since it last answered.
pub fn record_loss(core: &mut Core, backend: BackendKey) {
    let Some(engine) = core.fleet.arena.get(backend) else {
        return;
    };
    if engine.failures == 0 {
        let (name, now) = (engine.name.clone(), core.now);
        let lost = &mut core.poison_requests.lost;
        lost.retain(|_, at| now.since(*at) < REPORT_DELAY);
        lost.insert(name, now);
    }
}

/// Records a suspect reported by this host or by a peer.
pub fn receive(core: &mut Core, suspect: Suspect) {
    // A peer's clock that runs ahead must not extend the suspicion.
    let at = suspect.at_ms.min(core.wall_ms());
    let requests = &mut core.poison_requests;
    if !suspect.answering {
        let times = requests
            .unanswered_crashes
            .entry(suspect.engine.clone())
            .or_default();
        times.retain(|time| at.saturating_sub(*time) < millis(SUSPICION_TTL));
        if !times.iter().any(|time| time.abs_diff(at) < SAME_CRASH_MS) {
            times.push(at);
        }
    }
    let record = requests.records.entry(suspect.fingerprint).or_default();
    let known = record
        .crashes
        .iter_mut()
        .find(|crash| crash.engine == suspect.engine && crash.at.abs_diff(at) < SAME_CRASH_MS);
    if let Some(crash) = known {
        crash.answering &= suspect.answering;
    } else {
        record.crashes.push(Crash {
            engine: suspect.engine,
            at,
            answering: suspect.answering,
        });
    }
    record.request = suspect.request;
    evict_oldest(requests);
}

/// Evicts the oldest record if there are too many.
fn evict_oldest(requests: &mut PoisonRequests) {
    if requests.records.len() > MAX_RECORDS {
        let oldest = requests
            .records
            .iter()
            .min_by_key(|(_, record)| record.last());
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            requests.records.remove(&fingerprint);
        }
    }
    if requests.unanswered_crashes.len() > MAX_RECORDS {
        requests.unanswered_crashes.pop_first();
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
