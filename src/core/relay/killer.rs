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
const DEATHS: usize = 2;
/// Time a suspicion lasts after the last death.
const KEEP: Duration = Duration::from_mins(1);
/// Fingerprints kept; the oldest are forgotten first.
const MOST: usize = 1024;
/// Times a death is told to the other hosts: datagrams are lost now and then.
const TOLD: u8 = 3;

#[derive(Debug)]
struct Case {
    /// Short hashes of the backend servers' ids.
    dead: BTreeSet<u32>,
    last: Time,
}

/// Fingerprints under suspicion.
#[derive(Debug, Default)]
pub struct Killers {
    cases: BTreeMap<u64, Case>,
    /// Deaths to tell, and how often yet.
    tell: Vec<(CrashReport, u8)>,
}

impl Killers {
    /// Tells whether a request is refused for what died of it.
    #[must_use]
    pub fn barred(&self, print: u64, now: Time) -> bool {
        let case = self.cases.get(&print);
        case.is_some_and(|case| case.dead.len() >= DEATHS && now.since(case.last) < KEEP)
    }

    /// Notes that a request was answered in full: whatever broke before, it was not this.
    pub fn cleared(&mut self, print: u64) {
        self.cases.remove(&print);
    }

    /// Takes in a death, own or another host's.
    pub fn died(&mut self, death: CrashReport, now: Time) {
        let case = self.cases.entry(death.print).or_insert_with(|| Case {
            dead: BTreeSet::new(),
            last: now,
        });
        case.dead.insert(death.instance);
        case.last = now;
        if self.cases.len() > MOST {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.last);
            if let Some(print) = oldest.map(|(print, _)| *print) {
                self.cases.remove(&print);
            }
        }
    }

    /// Returns the deaths that other hosts are to be told of now.
    pub fn take_unpublished(&mut self) -> Vec<CrashReport> {
        let words = self.tell.iter().map(|(message, _)| *message).collect();
        for (_, left) in &mut self.tell {
            *left -= 1;
        }
        self.tell.retain(|(_, left)| *left > 0);
        words
    }
}

/// Notes that a connection broke while a backend server ran a request.
pub fn suspect(core: &mut Core, call: CallKey, backend: BackendKey, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(backend) else {
        return;
    };
    let call = &core.relay.calls[call];
    let message = CrashReport {
        print: call.print,
        instance: instance.short_hash,
    };
    note(
        out,
        log::Level::Info,
        "request.suspect",
        vec![("id", call.id.clone()), ("backend", instance.id.clone())],
    );
    core.relay.killers.tell.push((message, TOLD));
    core.relay.killers.died(message, core.now);
}
