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
/// Propagation delays between an announcement and the order: one within the failure domain, one to the others.
const DELAYS: u32 = 2;
/// Longest time between the two. The propagation delay grows while reports of a host are missing, and must not take up the time in
/// which the engine changes.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Order of announcements: a later holder of the authority has a higher fencing number, and counts its announcements.
pub type ChangeNumber = (u64, u32);

/// An announced change of an engine's stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChange {
    /// The stage that it is to have.
    to: Stage,
    /// Number of the announcement. A lower one that arrives later is not taken up again.
    number: ChangeNumber,
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
}

/// Whether changes are announced.
fn is_enabled(core: &Core) -> bool {
    let relay = core.settings.relay.as_ref();
    relay.is_some_and(|relay| relay.policy.announce_changes)
}

/// Announces that an engine is to change to a stage; returns the time after which the other hosts know it.
pub(super) fn announce(
    core: &mut Core,
    key: BackendKey,
    to: Stage,
    fence: u64,
    out: &mut Effects,
) -> Duration {
    if !is_enabled(core) || core.relay.peers.host_count() <= 1 {
        return Duration::ZERO;
    }
    let announced = &mut core.relay.planner.announced;
    *announced = announced.wrapping_add(1);
    let report = ChangeReport {
        instance: core.relay.instances.arena[key].short_hash,
        to,
        number: (fence, *announced),
        remaining: MAX_ABSENCE,
    };
    learn(core, key, &report, out);
    (gossip::propagation_delay(core) * DELAYS).min(MAX_WAIT)
}

/// Ends an announced change that will not be made; returns whether there is one.
pub(super) fn withdraw(core: &mut Core, id: &str) -> bool {
    let now = core.now;
    let key = core.relay.instances.find(id);
    let instance = key.and_then(|key| core.relay.instances.arena.get_mut(key));
    let change = instance.and_then(|instance| instance.change.as_mut());
    let Some(change) = change.filter(|change| now < change.until) else {
        return false;
    };
    change.until = now;
    true
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
            number: change.number,
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
    if !is_enabled(core) {
        return;
    }
    for report in reports {
        let key = core.relay.instances.by_short_hash(report.instance);
        let known = key.and_then(|key| core.relay.instances.arena.get(key)?.change);
        let is_new = known.is_none_or(|known| known.number < report.number);
        if let Some(key) = key.filter(|_| is_new) {
            learn(core, key, report, out);
        }
    }
}

fn learn(core: &mut Core, key: BackendKey, report: &ChangeReport, out: &mut Effects) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(key) else {
        return;
    };
    let remaining = report.remaining.min(MAX_ABSENCE);
    instance.change = Some(StageChange {
        to: report.to,
        number: report.number,
        known_at: now,
        until: now.after(remaining),
    });
    let fields = vec![
        ("backend", instance.id.clone()),
        ("stage", format!("{:?}", report.to).into()),
        ("remaining_ms", remaining.as_millis().to_string().into()),
    ];
    note(out, log::Level::Info, "engine.changing", fields);
}
