//! Engines that are about to change their stage.
//!
//! An engine refuses what reaches it from the order on until it has changed. Each host would learn that by refusals of its
//! own, and a fleet of ninety hosts by a hundred refusals for each order, which use up the retry budget. So the host that
//! gives the order announces it first, and hosts pass the announcement on with their gossip.

use std::time::Duration;

use super::super::key::BackendKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{ChangeReport, Stage};
use super::{gossip, note};

/// Time after an announcement in which the engine gets no new work: what it runs ends, and it changes. An order that is
/// not carried out takes the engine away for no longer.
const MAX_ABSENCE: Duration = Duration::from_secs(4);
/// Time after that in which the same change is not taken up again from a host that learned of it later.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Messages that an announcement needs to reach all hosts: up and down the tree of a failure domain, and across.
const HOPS: u32 = 2;

/// An announced change of an engine's stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChange {
    /// The stage that it is to have.
    to: Stage,
    /// When this host learned of it.
    known_at: Time,
    /// Until when the engine gets no new work.
    until: Time,
}

impl StageChange {
    /// Whether an engine with this stage gets no new work.
    #[must_use]
    pub fn withholds(&self, stage: Option<Stage>, now: Time) -> bool {
        stage != Some(self.to) && now < self.until
    }

    /// Whether another announcement of a change to a stage states nothing new.
    fn covers(&self, to: Stage, now: Time) -> bool {
        self.to == to && now < self.until.after(SETTLE_TIME)
    }
}

/// Whether changes are announced.
fn is_enabled(core: &Core) -> bool {
    let relay = core.settings.relay.as_ref();
    relay.is_some_and(|relay| relay.policy.announce_changes)
}

/// Announces that an engine is to change to a stage; returns the time after which all hosts know it.
pub(super) fn announce(core: &mut Core, key: BackendKey, to: Stage, out: &mut Effects) -> Duration {
    if !is_enabled(core) || core.relay.peers.host_count() <= 1 {
        return Duration::ZERO;
    }
    learn(core, key, to, MAX_ABSENCE, out);
    gossip::propagation_delay(core) * HOPS
}

/// Ends an announced change that will not be made.
pub(super) fn withdraw(core: &mut Core, id: &str) {
    if let Some(key) = core.relay.instances.find(id)
        && let Some(change) = &mut core.relay.instances.arena[key].change
    {
        change.until = core.now;
    }
}

/// Returns the announced changes that hold, for other hosts.
pub(super) fn reports(core: &Core) -> Vec<ChangeReport> {
    let instances = core.relay.instances.arena.values();
    let changing = instances.filter_map(|instance| {
        let change = instance.change?;
        let holds = change.withholds(instance.stage, core.now);
        holds.then(|| ChangeReport {
            instance: instance.short_hash,
            to: change.to,
            remaining: change.until.since(core.now),
        })
    });
    changing.collect()
}

/// Whether a change was announced after a time.
pub(super) fn changed_since(core: &Core, time: Time) -> bool {
    let mut instances = core.relay.instances.arena.values();
    instances.any(|instance| instance.change.is_some_and(|change| change.known_at > time))
}

/// Handles the changes that another host announces.
pub(super) fn reported(core: &mut Core, reports: &[ChangeReport], out: &mut Effects) {
    if reports.is_empty() || !is_enabled(core) {
        return;
    }
    let now = core.now;
    for report in reports {
        let instances = core.relay.instances.arena.iter();
        let found = instances
            .filter(|(_, instance)| instance.short_hash == report.instance)
            .find(|(_, instance)| {
                let known = instance.change;
                !known.is_some_and(|change| change.covers(report.to, now))
            });
        if let Some(key) = found.map(|(key, _)| key) {
            learn(core, key, report.to, report.remaining.min(MAX_ABSENCE), out);
        }
    }
}

fn learn(core: &mut Core, key: BackendKey, to: Stage, remaining: Duration, out: &mut Effects) {
    let now = core.now;
    let instance = &mut core.relay.instances.arena[key];
    instance.change = Some(StageChange {
        to,
        known_at: now,
        until: now.after(remaining),
    });
    let fields = vec![
        ("backend", instance.id.clone()),
        ("stage", format!("{to:?}").into()),
        ("remaining_ms", remaining.as_millis().to_string().into()),
    ];
    note(out, log::Level::Info, "engine.changing", fields);
}
