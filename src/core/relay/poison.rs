//! Requests that backend servers die of.
//!
//! Now and then a single request crashes every backend server that begins to run it, and its
//! caller sends it again, to any host. One notices by connections that break while it runs. After
//! two different backend servers broke off the same request, and none ever answered it, it
//! is refused at every host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::key::{BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::CrashReport;
use super::note;

/// Backend servers that may die of a request before it is refused.
const CRASHES_TO_BLOCK: usize = 2;
/// Time a suspicion lasts after the last death.
const BLOCK_DURATION: Duration = Duration::from_mins(1);
/// Fingerprints kept; the oldest are forgotten first.
const MAX_FINGERPRINTS: usize = 1024;
/// Times a death is told to the other hosts: datagrams are lost now and then.
const CRASH_REPORT_COPIES: u8 = 3;

#[derive(Debug)]
struct CrashRecord {
    /// Short hashes of the backend servers' ids.
    instances: BTreeSet<u32>,
    last_crash: Time,
}

/// Fingerprints under suspicion.
#[derive(Debug, Default)]
pub struct PoisonRequests {
    cases: BTreeMap<u64, CrashRecord>,
    /// Deaths to tell, and how often yet.
    unpublished: Vec<(CrashReport, u8)>,
}

impl PoisonRequests {
    /// Tells whether a request is refused for what died of it.
    #[must_use]
    pub fn is_blocked(&self, print: u64, now: Time) -> bool {
        let case = self.cases.get(&print);
        case.is_some_and(|case| {
            case.instances.len() >= CRASHES_TO_BLOCK && now.since(case.last_crash) < BLOCK_DURATION
        })
    }

    /// Notes that a request was answered in full: whatever broke before, it was not this.
    pub fn clear(&mut self, print: u64) {
        self.cases.remove(&print);
    }

    /// Takes in a death, own or another host's.
    pub fn record_crash(&mut self, death: CrashReport, now: Time) {
        let case = self
            .cases
            .entry(death.fingerprint)
            .or_insert_with(|| CrashRecord {
                instances: BTreeSet::new(),
                last_crash: now,
            });
        case.instances.insert(death.instance);
        case.last_crash = now;
        if self.cases.len() > MAX_FINGERPRINTS {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.last_crash);
            if let Some(print) = oldest.map(|(print, _)| *print) {
                self.cases.remove(&print);
            }
        }
    }

    /// Returns the deaths that other hosts are to be told of now.
    pub fn take_unpublished(&mut self) -> Vec<CrashReport> {
        let words = self
            .unpublished
            .iter()
            .map(|(message, _)| *message)
            .collect();
        for (_, left) in &mut self.unpublished {
            *left -= 1;
        }
        self.unpublished.retain(|(_, left)| *left > 0);
        words
    }
}

/// Notes that a connection broke while a backend server ran a request.
pub fn report_crash(core: &mut Core, call: CallKey, backend: BackendKey, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let call = &core.relay.calls[call];
    let message = CrashReport {
        fingerprint: call.fingerprint,
        instance: instance.short_hash,
    };
    note(
        out,
        log::Level::Info,
        "request.suspect",
        vec![("id", call.id.clone()), ("backend", instance.id.clone())],
    );
    core.relay
        .killers
        .unpublished
        .push((message, CRASH_REPORT_COPIES));
    core.relay.killers.record_crash(message, core.now);
}
