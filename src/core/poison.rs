//! Requests that engines died of: refused everywhere once two engines are lost.
//!
//! An engine that dies takes every request down that it was running, and one of them may be the
//! cause. Each is a suspect at every host. Those that it had begun to answer are cleared as soon
//! as there is a suspect of the same death that it had not: engines die when they take a request
//! up, and the innocent among long answers would otherwise be refused when the one that kills
//! follows them to their next engine.
//!
//! Requests with the same fingerprint go to the same two engines wherever they arrive, so that
//! copies sent to several hosts at once cannot take one engine for each host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::effect::{Effect, Refusal, log_event};
use super::event::{Fingerprint, Role};
use super::key::{BackendKey, HostKey, RequestKey};
use super::load;
use super::message::{Message, Suspect};
use super::route::{self, Need};
use super::{Core, Effects};
use crate::error::Kind;

/// Engines that may die while running a request before it is refused.
const MAX_CRASHED_ENGINES: usize = 2;
/// Time a suspicion lasts.
const SUSPICION_TTL: Duration = Duration::from_mins(10);
/// Fingerprints kept; the oldest are forgotten first.
const MAX_RECORDS: usize = 4096;
/// Suspicions told to a host that is new, the latest ones.
const MAX_SYNCED_SUSPECTS: usize = 512;
/// Reports of an engine's death within this time, by the hosts' clocks, are of the same death.
const SAME_CRASH_MS: u64 = 5_000;
/// Most of the wanted time to the first token that copies of a request wait for the engines that
/// the first of them may have gone to; past it they spread over all.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// One engine lost while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    engine: Box<str>,
    /// Milliseconds since the Unix epoch.
    at: u64,
    /// Whether it had begun to answer the request.
    answering: bool,
}

/// What is known of one fingerprint.
#[derive(Debug, Clone, Default)]
struct CrashRecord {
    crashes: Vec<Crash>,
    request: Box<str>,
}

impl CrashRecord {
    /// Returns the time of the last death.
    fn last(&self) -> u64 {
        self.crashes.iter().map(|death| death.at).max().unwrap_or(0)
    }
}

/// Fingerprints under suspicion.
#[derive(Debug, Default)]
pub struct PoisonRequests {
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// Engine and time of deaths with a suspect that the engine had not begun to answer.
    unanswered_crashes: BTreeMap<Box<str>, Vec<u64>>,
}

impl PoisonRequests {
    /// Returns the record of a fingerprint, unless it is too old to count.
    fn record(&self, print: Fingerprint, wall: u64) -> Option<&CrashRecord> {
        let record = self.records.get(&print)?;
        let age = Duration::from_millis(wall.saturating_sub(record.last()));
        (age < SUSPICION_TTL).then_some(record)
    }

    /// Returns whether a death counts against the request.
    fn counts(&self, death: &Crash) -> bool {
        let taking = self.unanswered_crashes.get(&death.engine);
        let other = |at: &u64| at.abs_diff(death.at) < SAME_CRASH_MS;
        !death.answering || !taking.is_some_and(|times| times.iter().any(other))
    }

    /// Returns the deaths that count against a fingerprint.
    fn counted(&self, print: Fingerprint, wall: u64) -> Vec<&Crash> {
        let deaths = self.record(print, wall).map(|record| record.crashes.iter());
        let deaths = deaths.into_iter().flatten();
        deaths.filter(|death| self.counts(death)).collect()
    }
}

/// Checks whether a request may run.
///
/// # Errors
///
/// Returns [`Kind::EngineKiller`] when engines died of this fingerprint, with the time until it
/// may be tried again.
pub fn check(core: &Core, print: Fingerprint) -> Result<(), Refusal> {
    let wall = core.wall_ms();
    let Some(record) = core.poison_requests.record(print, wall) else {
        return Ok(());
    };
    let count = core.poison_requests.counted(print, wall).len();
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

/// Adds to `need` the engines that a request with this fingerprint must not go to.
///
/// A request of which an engine died goes to one engine, the same from every host. Others go to
/// one of two as long as these are not busy: the one that has the prompt's prefix and the first
/// by fingerprint.
pub fn restrict_engines(core: &Core, need: &mut Need, print: Fingerprint) {
    let takers = available_engines(core, need);
    let dead: BTreeSet<Box<str>> = {
        let deaths = core.poison_requests.counted(print, core.wall_ms());
        deaths.iter().map(|death| death.engine.clone()).collect()
    };
    let mut allowed = BTreeSet::new();
    for role in [Role::Both, Role::Prefill, Role::Decode] {
        let of_role = |key: &BackendKey| core.fleet.arena[*key].role == role;
        let mut keys: Vec<BackendKey> = takers.iter().copied().filter(of_role).collect();
        keys.retain(|key| !dead.contains(&core.fleet.arena[*key].name));
        keys.sort_by_key(|&key| rank(print, &core.fleet.arena[key].name));
        if dead.is_empty() {
            let chosen = engine_pair(core, need, &keys);
            allowed.extend(chosen);
        } else {
            allowed.extend(keys.first());
        }
    }
    need.avoid
        .extend(takers.into_iter().filter(|key| !allowed.contains(key)));
}

fn available_engines(core: &Core, need: &Need) -> Vec<BackendKey> {
    let engines = core.fleet.serving(&need.model);
    let engines = engines.flat_map(|pool| pool.engines.iter().copied());
    engines
        .filter(|&key| core.fleet.arena[key].is_available(core.now) && !need.avoid.contains(&key))
        .collect()
}

/// Returns the two engines for a fingerprint, or all where these are busy.
fn engine_pair(core: &Core, need: &Need, keys: &[BackendKey]) -> Vec<BackendKey> {
    let home = route::prefix_engine(core, need, keys);
    let others = keys.iter().copied().filter(|key| Some(*key) != home);
    let two: Vec<BackendKey> = home
        .into_iter()
        .chain(others)
        .take(MAX_CRASHED_ENGINES)
        .collect();
    let busy = |key: &BackendKey| load::busy(core, *key, MAX_WAIT_FRACTION);
    if two.iter().all(busy) {
        keys.to_vec()
    } else {
        two
    }
}

fn rank(print: Fingerprint, engine: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&print.0);
    hasher.update(engine.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Notes that an engine died while running a request, here and at every peer.
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
    let text = format!("{} died while running {}", suspect.engine, suspect.request);
    out.push(log_event(log::Level::Warn, "engine.died", text));
    for to in core.members.peers() {
        let message = Message::Suspect(suspect.clone());
        out.push(Effect::Send { to, message });
    }
    receive(core, suspect);
}

/// Tells a host that is new what this one knows: it would run each suspect once more otherwise.
pub fn sync_new_host(core: &Core, to: HostKey, out: &mut Effects) {
    let wall = core.wall_ms();
    let requests = &core.poison_requests;
    let records = requests.records.keys();
    let records = records.filter_map(|print| Some((*print, requests.record(*print, wall)?)));
    let suspects = records.flat_map(|(print, record)| {
        let suspect = move |death: &Crash| Suspect {
            fingerprint: print,
            engine: death.engine.clone(),
            at_ms: death.at,
            request: record.request.clone(),
            answering: death.answering,
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

/// Takes in a suspicion, own or a peer's.
pub fn receive(core: &mut Core, suspect: Suspect) {
    // A clock that runs ahead must not make a suspicion last longer.
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
        .find(|death| death.engine == suspect.engine && death.at.abs_diff(at) < SAME_CRASH_MS);
    if let Some(death) = known {
        death.answering &= suspect.answering;
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

/// Forgets the oldest records where there are too many.
fn evict_oldest(requests: &mut PoisonRequests) {
    if requests.records.len() > MAX_RECORDS {
        let oldest = requests
            .records
            .iter()
            .min_by_key(|(_, record)| record.last());
        if let Some(print) = oldest.map(|(print, _)| *print) {
            requests.records.remove(&print);
        }
    }
    if requests.unanswered_crashes.len() > MAX_RECORDS {
        requests.unanswered_crashes.pop_first();
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
