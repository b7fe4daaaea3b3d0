//! Parts of prompts that crash the backend servers that begin to write an answer on them.
//!
//! Requests with such a part are each new, so that the record of a single request ([`super::poison`]) sees one crash or
//! two and refuses nothing. Here, a crash implicates the shared parts of all requests that broke off with the server. A
//! whole answer to a request that was sent later clears its parts, as a bad part has none. Of the parts that are left, the
//! fewest that explain the crashes are blamed: see [`cover`]. Requests with a blamed part are first tried one at a time by
//! all hosts together ([`admission`]), and refused once the crashes can be no chance ([`evidence`]). Hosts report crashes and
//! whole answers to each other ([`reports`]), and keep refused parts in the store ([`stored`]).

pub(super) mod admission;
mod cover;
mod evidence;
pub(super) mod reports;
pub(super) mod stored;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::key::{BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::departed::ServerStart;
use super::event::{PartReport, PrefixBlock, Prompt, Task};
use super::instance::short_hash;
use super::{Attempt, Call};
use cover::Blame;

/// Time after which an answer that began has not crashed its server by beginning.
const BEGIN_TIME: Duration = Duration::from_secs(1);
/// Time for which a part is refused after its last crash.
const BLOCK_DURATION: Duration = Duration::from_mins(10);
/// Time after its last crash for which a part is kept: tried once more after a refusal.
const RETENTION: Duration = Duration::from_mins(20);
/// Time for which a cleared part is kept: reports of crashes before may still arrive.
const CLEARED_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of parts of one prompt that are considered.
const MAX_PROMPT_PARTS: usize = 32;
/// Maximum number of parts; the one with the fewest crashes is dropped first. Parts are ids that callers choose.
const MAX_PARTS: usize = 2048;
/// Maximum number of crashes of one part; the oldest are dropped first.
const MAX_CRASHES: usize = 32;
/// Maximum number of processes whose crash or proof of life is kept; the oldest are dropped first.
const MAX_SERVERS: usize = 1024;
/// Maximum number of parts of which it is kept when requests with them were answered whole.
const MAX_SOUND_PARTS: usize = 4096;
/// Maximum number of customers kept with a crash: from two on a part is refused for all.
const MAX_CUSTOMERS: usize = 2;
/// Bits of a part's id that the log of an attempt shows.
const SHORT_ID_MASK: u64 = 0xffff_ffff;

/// Model requests that ended at this host.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    /// Those that were answered whole.
    answered: u64,
    /// Those that broke off with a server.
    broken: u64,
    /// Of the latter, those whose answer had not begun.
    unbegun: u64,
}

/// A crash of a server under requests with a part.
#[derive(Debug, Clone, Default)]
struct PartCrash {
    at: Time,
    /// Short hashes of the customers of these requests; 0 for none.
    customers: BTreeSet<u32>,
    /// Whether the answers to all of these had begun.
    began: bool,
    /// Whether this host saw it.
    is_own: bool,
    /// Requests that had ended when it was recorded here.
    tally: Tally,
}

/// What is known of a part under which servers crashed.
#[derive(Debug, Default)]
struct PartRecord {
    /// Position in the prompt, from 0.
    depth: u32,
    /// Crashes since the last whole answer, by process.
    crashes: BTreeMap<ServerStart, PartCrash>,
    /// When the latest request was sent that was answered whole.
    sound_at: Option<Time>,
    /// The request that is tried at this host.
    trial: Option<CallKey>,
    /// Requests that this host turned away since the last crash.
    refused: u32,
    /// Whether the store holds the part.
    is_stored: bool,
    /// When to compare it with the store next.
    sync_at: Option<Time>,
}

impl PartRecord {
    fn last_crash(&self) -> Option<Time> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Drops the crashes before a request that was answered whole; returns whether there were any.
    fn clear(&mut self, sent_at: Time) -> bool {
        let before = self.crashes.len();
        self.sound_at = self.sound_at.max(Some(sent_at));
        self.crashes.retain(|_, crash| crash.at >= sent_at);
        self.crashes.len() < before
    }

    /// Records a crash; returns whether it is a new one.
    fn record(&mut self, server: ServerStart, crash: PartCrash) -> bool {
        if self.sound_at.is_some_and(|sound| crash.at < sound) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&server) {
            known.at = known.at.min(crash.at);
            known.customers.extend(crash.customers);
            known.is_own |= crash.is_own;
            known.began &= crash.began;
            while known.customers.len() > MAX_CUSTOMERS {
                known.customers.pop_last();
            }
            return false;
        }
        self.crashes.insert(server, crash);
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(server) = oldest.map(|(server, _)| *server) {
                self.crashes.remove(&server);
            }
        }
        self.trial = None;
        self.refused = 0;
        true
    }

    /// Whether neither a crash nor a clearing of it matters any more.
    fn is_outdated(&self, now: Time) -> bool {
        let kept = match self.last_crash() {
            Some(last) => now.since(last) < RETENTION,
            None => self
                .sound_at
                .is_some_and(|sound| now.since(sound) < CLEARED_RETENTION),
        };
        !kept && !self.is_stored
    }
}

/// Parts under which servers crashed.
#[derive(Debug, Default)]
pub struct Parts {
    records: BTreeMap<u64, PartRecord>,
    /// When processes crashed.
    crashed: BTreeMap<ServerStart, Time>,
    /// Processes that turned out to be alive: when the request was sent that they answered.
    alive: BTreeMap<ServerStart, Time>,
    /// Requests that ended here.
    tally: Tally,
    /// When the latest requests with each part were sent that were answered whole here.
    sound: BTreeMap<u64, Time>,
    /// Parts that are blamed for crashes.
    blamed: BTreeMap<u64, Blame>,
    /// Whether something changed since they were computed, and when that was.
    is_dirty: bool,
    computed_at: Time,
    /// Reports to send, with the time that they state, and in how many more messages.
    unpublished: Vec<(PartReport, Time, u8)>,
}

impl Parts {
    /// Returns the number of parts that are refused.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        let refused = self.blamed.values().filter(|blame| blame.is_refused);
        refused.count() as u64
    }

    /// Whether requests with a part are tried one at a time.
    #[cfg(test)]
    pub fn is_tried(&self, part: u64) -> bool {
        self.blamed
            .get(&part)
            .is_some_and(|blame| !blame.is_refused)
    }

    /// Records a crash under requests with a part; returns whether it is a new one.
    fn record_crash(
        &mut self,
        part: u64,
        depth: u32,
        server: ServerStart,
        mut crash: PartCrash,
    ) -> bool {
        if self
            .alive
            .get(&server)
            .is_some_and(|alive| crash.at < *alive)
        {
            return false;
        }
        // Hosts notice the end of a process at different times.
        let at = self.crashed.entry(server).or_insert(crash.at);
        *at = crash.at.min(*at);
        crash.at = *at;
        drop_oldest(&mut self.crashed, MAX_SERVERS);
        let record = self.records.entry(part).or_default();
        record.depth = record.depth.max(depth);
        let is_new = record.record(server, crash);
        self.is_dirty |= is_new;
        self.limit();
        is_new
    }

    /// Drops the part with the fewest crashes, of these the one whose last is the oldest, if there are too many.
    fn limit(&mut self) {
        if self.records.len() <= MAX_PARTS {
            return;
        }
        let records = self.records.iter();
        let victim = records.min_by_key(|(_, record)| (record.crashes.len(), record.last_crash()));
        if let Some(part) = victim.map(|(part, _)| *part) {
            self.records.remove(&part);
        }
    }

    /// Takes back the crash of a process that answered a request sent at `sent_at`.
    fn record_alive(&mut self, server: ServerStart, sent_at: Time) {
        if self.crashed.get(&server).is_none_or(|at| sent_at <= *at) {
            return;
        }
        self.crashed.remove(&server);
        self.alive.insert(server, sent_at);
        drop_oldest(&mut self.alive, MAX_SERVERS);
        self.unpublished
            .retain(|(report, ..)| report.crashed != Some(server));
        for record in self.records.values_mut() {
            record.crashes.remove(&server);
        }
        self.is_dirty = true;
    }
}

/// Drops the older half of the entries, if there are more than `max`.
fn drop_oldest<K: Ord>(entries: &mut BTreeMap<K, Time>, max: usize) {
    if entries.len() > max {
        let mut times: Vec<Time> = entries.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        entries.retain(|_, at| *at > median);
    }
}

/// Handles an attempt that broke off: if the server has crashed, it may be by a part of the prompt.
pub fn attempt_broke(core: &mut Core, attempt: &Attempt, out: &mut Effects) {
    let now = core.now;
    let began_long_ago = attempt
        .began
        .is_some_and(|began| now.since(began) > BEGIN_TIME);
    if attempt.task == Task::Prefill || began_long_ago {
        return;
    }
    let Some(instance) = core.relay.instances.arena.get(attempt.backend) else {
        return;
    };
    let server = instance.start();
    let call = &core.relay.calls[attempt.call];
    let customer = customer_hash(call);
    let tally = core.relay.parts.tally;
    let counts = &mut core.relay.parts.tally;
    counts.broken += 1;
    counts.unbegun += u64::from(attempt.began.is_none());
    let parts = shared(call.prompt.as_ref());
    for (depth, block) in (0..).zip(parts) {
        let crash = PartCrash {
            at: now,
            customers: [customer].into(),
            began: attempt.began.is_some(),
            is_own: true,
            tally,
        };
        let state = &mut core.relay.parts;
        state.record_crash(block.id, depth, server, crash);
        let report = PartReport {
            part: block.id,
            depth,
            customer,
            crashed: Some(server),
            began: attempt.began.is_some(),
            age: Duration::ZERO,
        };
        state.publish(report, now);
    }
    cover::update(core, out);
}

/// Handles a whole answer of a server to a request that was sent at `sent_at`: its parts crash no servers.
pub fn answered(core: &mut Core, call: CallKey, sent_at: Time, out: &mut Effects) {
    let call = &core.relay.calls[call];
    if call.prompt.is_none() {
        return;
    }
    let state = &mut core.relay.parts;
    state.tally.answered += 1;
    let mut cleared = false;
    for block in shared(call.prompt.as_ref()) {
        state.sound.insert(block.id, sent_at);
        drop_oldest(&mut state.sound, MAX_SOUND_PARTS);
        let record = state.records.get_mut(&block.id);
        if !record.is_some_and(|record| record.clear(sent_at)) {
            continue;
        }
        cleared = true;
        let report = PartReport {
            part: block.id,
            ..PartReport::default()
        };
        state.publish(report, sent_at);
    }
    if cleared {
        state.is_dirty = true;
        cover::update(core, out);
    }
}

/// Handles an answer of a server to a request that was sent at `sent_at`: it did not crash before.
pub fn server_answered(core: &mut Core, backend: BackendKey, sent_at: Time) {
    if let Some(instance) = core.relay.instances.arena.get(backend) {
        core.relay.parts.record_alive(instance.start(), sent_at);
    }
}

/// Returns the short hash of a request's customer; 0 if it has none.
fn customer_hash(call: &Call) -> u32 {
    let customer = call.identity.customer();
    customer.map_or(0, |customer| short_hash(&customer.name))
}

/// Returns the parts of a prompt that other requests may share: all but the last.
pub fn shared(prompt: Option<&Prompt>) -> &[PrefixBlock] {
    let blocks = prompt.map_or(&[][..], |prompt| &prompt.blocks);
    let shared = blocks.len().saturating_sub(1);
    &blocks[..shared.min(MAX_PROMPT_PARTS)]
}

/// Returns the shared parts of a prompt with shortened ids, for the log.
pub fn short_text(prompt: Option<&Prompt>) -> Box<str> {
    let ids = shared(prompt)
        .iter()
        .map(|block| format!("{:08x}", block.id & SHORT_ID_MASK));
    ids.collect::<Vec<_>>().join(",").into()
}

/// Returns the id of a part as logs and the store show it.
fn part_text(part: u64) -> Box<str> {
    format!("{part:016x}").into()
}
