//! Which engines prefill for others: planned by one host at a time.
//!
//! The host that holds the authority is the one whose key stands in the store; the key's revision
//! is the fencing number of its orders. It counts its lease from before it asked for it, on a
//! clock that runs on while the process is suspended, so that it stops before another can begin.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::super::effect::Effect;
use super::super::event::{StoreReply, StoreResult};
use super::super::key::BackendKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Changes, EngineReport, OrderResult, RelayEffect, Stage, StageOrder};
use super::view::era;
use super::{RelayJob, RelayTimer, job, note, wake};
use crate::store::{Compare, Op, Txn};

/// Key of the holder.
const KEY: &str = "planner";
/// Time between two looks at the engines.
const EVERY: Duration = Duration::from_millis(500);
/// Part of the lease's life after which it is renewed.
const RENEW: u32 = 3;
/// Part of the lease's life that is used: the store may count a little faster.
const USED: f64 = 0.9;
/// One engine in so many may change at once: a change takes an engine away for seconds, and each that
/// is told apart ends the watch of every host.
const AT_ONCE: usize = 4;
/// Hosts that try to take the authority in one round, on average.
const CANDIDATES: usize = 3;
/// Time for which an engine that was ordered gets no other order: it may be carried out late.
const SETTLE: Duration = Duration::from_secs(4);

/// Time without a change of their number after which the engines are planned for.
const STEADY: Duration = Duration::from_millis(1500);

/// The authority to give orders and what was done with it.
#[derive(Debug, Default)]
pub struct Split {
    /// Revision of the holder's key; 0 while nobody holds it.
    holder: i64,
    /// Whether the holder is known.
    known: bool,
    /// This host's lease; 0 for none.
    lease: i64,
    /// Fencing number, while this host holds the authority.
    fence: u64,
    /// The authority ends here, unless renewed.
    until: Time,
    /// A renewal or a take-over is on its way.
    asked: bool,
    /// Engines that were asked to change, to which stage, and when.
    changes: BTreeMap<Box<str>, (Stage, Time)>,
    /// Number of engines, and since when.
    count: (usize, Time),
}

/// Begins to look for the authority.
pub fn start(core: &mut Core, out: &mut Effects) {
    wake(core, EVERY, RelayTimer::Plan, out);
}

fn life(core: &Core) -> Duration {
    let relay = core.settings.relay.as_ref();
    relay.map_or(Duration::from_secs(3), |relay| {
        relay.lease.max(relay.lease_least)
    })
}

/// Gives the authority up: its lease went with an era of the store.
pub fn forget(core: &mut Core, out: &mut Effects) {
    let split = &mut core.relay.split;
    if split.fence != 0 {
        let fence = split.fence.to_string().into();
        note(
            out,
            log::Level::Warn,
            "planner.lost",
            vec![("fence", fence)],
        );
    }
    split.holder = 0;
    split.known = false;
    split.lease = 0;
    split.fence = 0;
    split.asked = false;
}

/// Takes in who holds the authority.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    let era_now = core.relay.view.era();
    let split = &mut core.relay.split;
    if changes.whole {
        split.known = true;
        split.holder = 0;
    }
    for change in changes.keys.iter().filter(|change| &*change.key == KEY) {
        split.holder = if change.value.is_some() {
            change.revision
        } else {
            0
        };
    }
    let revision = era::fence(era_now, split.holder);
    if split.fence != 0 && split.holder != 0 && revision > split.fence {
        note(
            out,
            log::Level::Warn,
            "planner.lost",
            vec![
                ("fence", split.fence.to_string().into()),
                ("holder", revision.to_string().into()),
            ],
        );
        split.fence = 0;
        split.lease = 0;
    }
}

/// Looks whether this host should take the authority, or what to do with it.
pub fn plan(core: &mut Core, out: &mut Effects) {
    let noise = core.rng.random_range(0.8..1.2);
    wake(core, EVERY.mul_f64(noise), RelayTimer::Plan, out);
    let engines = core.relay.catalog.as_ref().is_some_and(|catalog| {
        catalog
            .services
            .values()
            .any(|service| service.engine.is_some())
    });
    if !engines || core.stop.begun() {
        return;
    }
    let hosts = core.relay.peers.hosts();
    let split = &mut core.relay.split;
    if split.fence != 0 && core.now < split.until {
        order(core, out);
        return;
    }
    if split.fence != 0 {
        note(
            out,
            log::Level::Warn,
            "planner.lapsed",
            vec![("fence", split.fence.to_string().into())],
        );
        split.fence = 0;
        split.lease = 0;
        split.asked = false;
    }
    // All hosts see at once that nobody holds it: a few of them try in each round.
    let tries = core.rng.random_range(0..hosts) < CANDIDATES;
    if split.known && split.holder == 0 && !split.asked && tries {
        split.asked = true;
        let job = job(core, RelayJob::AuthorityLease(core.now));
        out.push(Effect::Grant {
            job,
            life: life(core),
        });
    }
}

/// Renews the lease.
pub fn renew(core: &mut Core, out: &mut Effects) {
    let split = &core.relay.split;
    if split.lease == 0 || core.stop.begun() {
        return;
    }
    let job = job(core, RelayJob::AuthorityLease(core.now));
    out.push(Effect::Renew {
        job,
        lease: split.lease,
    });
    wake(core, life(core) / RENEW, RelayTimer::Authority, out);
}

/// Goes on with a take-over or a renewal.
pub fn reply(core: &mut Core, job: RelayJob, reply: &StoreReply, out: &mut Effects) {
    let life = life(core);
    let era_now = core.relay.view.era();
    let split = &mut core.relay.split;
    match (job, &reply.result) {
        (RelayJob::AuthorityLease(asked), StoreResult::Lease(lease)) if *lease != 0 => {
            let until = asked.after(life.mul_f64(USED));
            if split.lease == *lease {
                split.until = until;
                return;
            }
            split.lease = *lease;
            split.until = until;
            out.push(take(core, *lease));
        }
        (RelayJob::AuthorityLease(_), StoreResult::Lease(_)) => {
            split.lease = 0;
            split.fence = 0;
            split.asked = false;
        }
        (RelayJob::Authority, StoreResult::Txn(done)) if done.succeeded => {
            split.fence = era::fence(era_now, done.revision);
            split.holder = done.revision;
            split.asked = false;
            note(
                out,
                log::Level::Info,
                "planner.taken",
                vec![("fence", split.fence.to_string().into())],
            );
            wake(core, life / RENEW, RelayTimer::Authority, out);
        }
        (RelayJob::Authority, _) => {
            // Another was first, or whether it took effect is unknown: the key then goes with the
            // lease, which is given up.
            let lease = std::mem::take(&mut split.lease);
            split.asked = false;
            out.push(Effect::Revoke(lease));
        }
        _ => split.asked = false,
    }
}

fn take(core: &Core, lease: i64) -> Effect {
    let name = core.settings.host.name.as_bytes().to_vec();
    Effect::Txn {
        job: job(core, RelayJob::Authority),
        txn: Txn {
            compare: vec![Compare::Absent { key: KEY.into() }],
            then: vec![Op::Put {
                key: KEY.into(),
                value: name.into(),
                lease,
            }],
            otherwise: Vec::new(),
        },
    }
}

/// Asks an engine that should change for its state, where the stages are not as wanted.
fn order(core: &mut Core, out: &mut Effects) {
    let Some(catalog) = &core.relay.catalog else {
        return;
    };
    let services: Vec<Box<str>> = catalog
        .services
        .iter()
        .filter(|(_, service)| service.engine.is_some())
        .map(|(name, _)| name.clone())
        .collect();
    for service in services {
        let live = live(core, &service);
        if !steady(core, live.len()) {
            continue;
        }
        let prefills =
            |key: &&BackendKey| core.relay.instances.arena[**key].stage == Some(Stage::Prefill);
        let have = live.iter().filter(prefills).count();
        let want = wanted(core, live.len());
        let stage = match have.cmp(&want) {
            Ordering::Less => Stage::Prefill,
            Ordering::Equal => continue,
            Ordering::Greater => Stage::Decode,
        };
        let changing = live.iter().filter(|key| busy(core, **key)).count();
        let most = live.len().div_ceil(AT_ONCE);
        let count = have.abs_diff(want).min(most).saturating_sub(changing);
        let chosen = least_busy(core, &live, stage, count);
        for key in chosen {
            let instance = &core.relay.instances.arena[key];
            let (id, addr) = (instance.id.clone(), instance.addr);
            note(
                out,
                log::Level::Info,
                "engine.to_change",
                vec![
                    ("backend", id.clone()),
                    ("stage", format!("{stage:?}").into()),
                    ("have", have.to_string().into()),
                    ("want", want.to_string().into()),
                    ("engines", live.len().to_string().into()),
                ],
            );
            let change = (stage, core.now);
            core.relay.split.changes.insert(id.clone(), change);
            out.push(Effect::Relay(RelayEffect::Report { instance: id, addr }));
        }
    }
}

/// Returns up to `count` engines that can change to a stage: those with the least to do lose least.
fn least_busy(core: &Core, live: &[BackendKey], stage: Stage, count: usize) -> Vec<BackendKey> {
    let other = |key: &BackendKey| {
        let instance = &core.relay.instances.arena[*key];
        instance.stage.is_some() && instance.stage != Some(stage) && !busy(core, *key)
    };
    let mut keys: Vec<BackendKey> = live.iter().copied().filter(other).collect();
    keys.sort_by_key(|key| {
        let instance = &core.relay.instances.arena[*key];
        (instance.work().calls, instance.id.clone())
    });
    keys.truncate(count);
    keys
}

/// Returns the engines of a service that stay.
fn live(core: &Core, service: &str) -> Vec<BackendKey> {
    let keys = core.relay.instances.of(service).iter().copied();
    keys.filter(|key| {
        let instance = &core.relay.instances.arena[*key];
        !instance.leaving && !instance.addr_reused && instance.missing_since.is_none()
    })
    .collect()
}

/// Tells whether the number of engines has not changed for a while.
///
/// They register one after the other: a plan for the first few would order some that the plan for
/// all of them orders back.
fn steady(core: &mut Core, count: usize) -> bool {
    let now = core.now;
    let split = &mut core.relay.split;
    if split.count.0 != count {
        split.count = (count, now);
    }
    now.since(split.count.1) >= STEADY
}

/// Returns how many engines should prefill.
fn wanted(core: &Core, engines: usize) -> usize {
    let part = core
        .settings
        .relay
        .as_ref()
        .map_or(0.5, |relay| relay.policy.prefill);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a few engines"
    )]
    let count = (engines as f64 * part).round() as usize;
    count.clamp(usize::from(engines > 1), engines.saturating_sub(1))
}

/// Tells whether an engine was asked to change a moment ago.
fn busy(core: &Core, key: BackendKey) -> bool {
    let id = &core.relay.instances.arena[key].id;
    let change = core.relay.split.changes.get(id);
    change.is_some_and(|(_, at)| core.now.since(*at) < SETTLE)
}

/// Orders an engine to change, now that its state is known.
pub fn reported(core: &mut Core, id: &str, report: Option<EngineReport>, out: &mut Effects) {
    let split = &mut core.relay.split;
    let Some((stage, _)) = split.changes.get(id).copied() else {
        return;
    };
    let authority = split.fence != 0 && core.now < split.until;
    let key = core.relay.instances.find(id);
    let (Some(report), Some(key), true) = (report, key, authority) else {
        return;
    };
    if report.busy || report.stage == stage {
        return;
    }
    let instance = &core.relay.instances.arena[key];
    let order = StageOrder {
        instance: instance.id.clone(),
        addr: instance.addr,
        stage,
        holder: core.settings.host.name.clone(),
        fence: split.fence,
        expected: report.orders,
        until: split.until,
        era: core.relay.view.era(),
    };
    note(
        out,
        log::Level::Info,
        "engine.ordered",
        vec![
            ("backend", order.instance.clone()),
            ("stage", format!("{stage:?}").into()),
            ("fence", order.fence.to_string().into()),
            ("expected", order.expected.to_string().into()),
        ],
    );
    out.push(Effect::Relay(RelayEffect::Order(order)));
}

/// Takes in what came of an order.
pub fn ordered(core: &mut Core, id: &str, fence: u64, result: OrderResult, out: &mut Effects) {
    note(
        out,
        log::Level::Info,
        "engine.order_answered",
        vec![
            ("backend", id.into()),
            ("fence", fence.to_string().into()),
            ("result", format!("{result:?}").into()),
        ],
    );
    let split = &mut core.relay.split;
    match result {
        OrderResult::Fenced if split.fence == fence => {
            // Another holds the authority: this number is never used again.
            split.fence = 0;
            split.lease = 0;
        }
        OrderResult::Unsent => {
            split.changes.remove(id);
        }
        _ => {}
    }
}
