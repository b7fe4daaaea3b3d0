//! Assignment of stages to engines, planned by the host that holds the authority.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::super::effect::Effect;
use super::super::event::StoreReply;
use super::super::key::BackendKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::authority::{Authority, Grant, Scope};
use super::event::{Changes, EngineReport, OrderResult, RelayEffect, Stage, StageOrder};
use super::instance::Instance;
use super::stages::{Demand, Split, planned_prefill};
use super::{RelayJob, RelayTimer, note, wake};
use super::{changing, duty, forward};

/// Time between two plans.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// One engine in so many may change its stage at the same time: a change makes an engine
/// unavailable for seconds, and each one reported separately ends the watch of every host.
const ENGINES_PER_CHANGE: usize = 4;
/// Hosts that try to acquire the authority in one round, on average.
const EXPECTED_CANDIDATES: usize = 3;
/// Time after an order in which the engine gets no other one: the first may be carried out late.
const ORDER_COOLDOWN: Duration = Duration::from_secs(4);
/// Time in addition to that after an announced change that was not made. Hosts send the engine nothing from each announcement on, so
/// that one which cannot be ordered would stay idle for most of the time.
const FAILED_CHANGE_PAUSE: Duration = Duration::from_secs(20);

/// Time without a change of the number of engines after which they are planned for.
const STABLE_PERIOD: Duration = Duration::from_millis(1500);

/// The authority, and the orders given with it.
#[derive(Debug, Default)]
pub struct Planner {
    /// The authority to order engines and to carry out duties.
    pub authority: Authority,
    /// Engines that should change, their new stage, and since when.
    changes: BTreeMap<Box<str>, (Stage, Time)>,
    /// Number of engines, and when it last changed.
    engine_count: (usize, Time),
    /// Changes that this process has announced.
    pub announced: u32,
    /// Prompts at the engines of each service.
    demand: BTreeMap<Box<str>, Demand>,
}

/// Starts to plan.
pub fn start(core: &mut Core, out: &mut Effects) {
    wake(core, PLAN_INTERVAL, RelayTimer::Plan, out);
}

fn lease_ttl(core: &Core) -> Duration {
    let relay = core.settings.relay.as_ref();
    relay.map_or(Duration::from_secs(3), |relay| {
        relay.authority_ttl.max(relay.min_lease)
    })
}

/// Returns what decisions about the authority depend on.
fn scope(core: &Core) -> Scope {
    Scope {
        now: core.now,
        era: core.relay.view.era(),
        ended_eras: core.relay.view.ended_eras(),
        ttl: lease_ttl(core),
        host: core.settings.host.name.clone(),
    }
}

/// Drops the authority: its lease belongs to an era of the store that has ended.
pub fn drop_authority(core: &mut Core, out: &mut Effects) {
    core.relay.planner.authority.era_ended(out);
}

/// Handles changes of the holder's key in the store.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    let (era_now, at) = (core.relay.view.era(), core.relay.view.revision());
    let authority = &mut core.relay.planner.authority;
    authority.changed(changes, era_now, at, out);
}

/// Plans with the authority, or tries to acquire it if nobody holds it.
pub fn plan(core: &mut Core, out: &mut Effects) {
    let noise = core.rng.random_range(0.8..1.2);
    wake(core, PLAN_INTERVAL.mul_f64(noise), RelayTimer::Plan, out);
    duty::scaling::measure(core);
    let services = engine_services(core);
    let has_engines = !services.is_empty();
    for service in &services {
        record_demand(core, service);
    }
    if !has_engines && !duty::has_duties(core) || core.stop.is_stopping() {
        return;
    }
    // All hosts learn at the same time that nobody holds it: a few of them try in each round.
    let hosts = core.relay.peers.host_count();
    let is_candidate = core.rng.random_range(0..hosts) < EXPECTED_CANDIDATES
        && !(core.relay.links.are_lost() && forward::has_candidate(core));
    let scope = scope(core);
    let grant = core.relay.planner.authority.poll(&scope, is_candidate, out);
    if let Some(grant) = grant {
        if has_engines {
            request_reports(core, services, &grant, out);
        }
        duty::perform(core, &grant, out);
    }
}

/// Releases the authority, since orders cannot reach engines, if another host may take it.
pub fn links_lost(core: &mut Core, out: &mut Effects) {
    if forward::has_candidate(core) {
        core.relay.planner.authority.release(out);
    }
}

/// Renews the lease.
pub fn renew(core: &mut Core, out: &mut Effects) {
    if !core.stop.is_stopping() {
        let scope = scope(core);
        core.relay.planner.authority.renew(&scope, out);
    }
}

/// Handles the store's reply to an acquisition or a renewal.
pub fn reply(core: &mut Core, job: RelayJob, reply: &StoreReply, out: &mut Effects) {
    let scope = scope(core);
    let authority = &mut core.relay.planner.authority;
    authority.reply(job, reply, &scope, out);
}

/// Returns the services that have engines.
fn engine_services(core: &Core) -> Vec<Box<str>> {
    let services = core
        .relay
        .catalog
        .iter()
        .flat_map(|catalog| &catalog.services);
    services
        .filter(|(_, service)| service.engine.is_some())
        .map(|(name, _)| name.clone())
        .collect()
}

/// Records the prompts at the prefill engines of a service. Every host does, to have them when it acquires the authority.
fn record_demand(core: &mut Core, service: &str) {
    let engines = remaining_engines(core, service);
    let instances = &core.relay.instances.arena;
    let prefill = engines.iter().map(|key| &instances[*key]);
    let prefill = prefill.filter(|instance| instance.stage == Some(Stage::Prefill));
    let calls: Vec<u32> = prefill.map(|instance| instance.work().calls).collect();
    let busy = calls.iter().filter(|calls| **calls > 0).count();
    let demand = core.relay.planner.demand.entry(service.into()).or_default();
    demand.record(calls.iter().sum(), busy, calls.len(), core.now);
}

/// Requests the state of engines that should change, where the stages differ from the plan.
fn request_reports(core: &mut Core, services: Vec<Box<str>>, grant: &Grant, out: &mut Effects) {
    for service in services {
        let engines = remaining_engines(core, &service);
        if !is_stable(core, engines.len()) {
            continue;
        }
        let split = split(core, &service, &engines);
        let have = split.prefill;
        let demand = core.relay.planner.demand.get(&service);
        let want = planned_prefill(split, demand.copied().unwrap_or_default());
        let stage = match have.cmp(&want) {
            Ordering::Less => Stage::Prefill,
            Ordering::Equal => continue,
            Ordering::Greater => Stage::Decode,
        };
        let changing = engines
            .iter()
            .filter(|key| recently_ordered(core, **key))
            .count();
        let max_changes = engines.len().div_ceil(ENGINES_PER_CHANGE);
        let count = have
            .abs_diff(want)
            .min(max_changes)
            .saturating_sub(changing);
        if count == 0 {
            continue;
        }
        let chosen = least_busy(core, &engines, stage, count);
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
                    ("engines", engines.len().to_string().into()),
                ],
            );
            let change = (stage, core.now);
            core.relay.planner.changes.insert(id.clone(), change);
            let delay = changing::announce(core, key, stage, grant.fence, out);
            if delay.is_zero() {
                request_report(id, addr, out);
            } else {
                wake(core, delay, RelayTimer::ChangeStage(key), out);
            }
        }
    }
}

/// Requests the state of an engine whose change all hosts know, if it may still be ordered.
pub fn change_announced(core: &mut Core, key: BackendKey, out: &mut Effects) {
    let Some(instance) = core.relay.instances.arena.get(key) else {
        return;
    };
    let (id, addr) = (instance.id.clone(), instance.addr);
    let may_order = stays(instance, core.now) && instance.missing_since.is_none();
    if !core.relay.planner.changes.contains_key(&id) {
        return;
    }
    if may_order && core.relay.planner.authority.grant(core.now).is_some() {
        request_report(id, addr, out);
    } else {
        change_failed(core, &id);
    }
}

/// Whether an engine takes orders.
fn stays(instance: &Instance, now: Time) -> bool {
    !instance.leaving && !instance.addr_reused && instance.pushback.admits(now)
}

/// Ends an announced change that is not made, and chooses the engine again only after a while.
///
/// Returns whether there was one.
fn change_failed(core: &mut Core, id: &str) -> bool {
    let was_announced = changing::withdraw(core, id);
    if was_announced && let Some((_, at)) = core.relay.planner.changes.get_mut(id) {
        *at = core.now.after(FAILED_CHANGE_PAUSE);
    }
    was_announced
}

fn request_report(instance: Box<str>, addr: SocketAddr, out: &mut Effects) {
    out.push(Effect::Relay(RelayEffect::FetchReport { instance, addr }));
}

/// Returns up to `count` engines that can change to a stage: to prefill, regular ones first, and to decode, spot ones;
/// of these the ones with the fewest requests.
fn least_busy(core: &Core, engines: &[BackendKey], stage: Stage, count: usize) -> Vec<BackendKey> {
    let can_change = |key: &BackendKey| {
        let instance = &core.relay.instances.arena[*key];
        let differs = instance.stage.is_some() && instance.stage != Some(stage);
        let changes = instance
            .change
            .is_some_and(|change| change.withholds(instance.stage, core.now));
        differs && !changes && instance.pushback.admits(core.now) && !recently_ordered(core, *key)
    };
    let mut keys: Vec<BackendKey> = engines.iter().copied().filter(can_change).collect();
    // Prompts are kept where they are prefilled, and lost with an engine that is taken away.
    let suits = |instance: &Instance| instance.is_spot != (stage == Stage::Prefill);
    keys.sort_by_cached_key(|key| {
        let instance = &core.relay.instances.arena[*key];
        let calls = instance.work().calls;
        (!suits(instance), calls, instance.id.clone())
    });
    keys.truncate(count);
    keys
}

/// Returns the engines of a service that are registered and not leaving.
fn remaining_engines(core: &Core, service: &str) -> Vec<BackendKey> {
    let keys = core.relay.instances.of(service).iter().copied();
    keys.filter(|key| {
        let instance = &core.relay.instances.arena[*key];
        !instance.leaving && !instance.addr_reused && instance.missing_since.is_none()
    })
    .collect()
}

/// Returns whether the number of engines has been stable for a while.
///
/// Engines register one after the other: a plan for the first few would order changes that the plan
/// for all of them reverts.
fn is_stable(core: &mut Core, count: usize) -> bool {
    let now = core.now;
    let planner = &mut core.relay.planner;
    if planner.engine_count.0 != count {
        planner.engine_count = (count, now);
    }
    now.since(planner.engine_count.1) >= STABLE_PERIOD
}

/// Returns the engines of a service as far as the split between the stages depends on them.
fn split(core: &Core, service: &str, engines: &[BackendKey]) -> Split {
    let prefill = engines.iter().filter(|key| {
        let instance = &core.relay.instances.arena[**key];
        instance.stage == Some(Stage::Prefill)
    });
    let prefill = prefill.count();
    let relay = core.settings.relay.as_ref();
    let catalog = core.relay.catalog.as_ref();
    let engine = catalog.and_then(|catalog| catalog.services.get(service)?.engine.as_ref());
    Split {
        engines: engines.len(),
        prefill,
        prompts: 0.0,
        decode_load: decode_load(core, engines),
        fraction: relay.map_or(0.5, |relay| relay.policy.prefill_fraction),
        switch_time: engine.map_or(Duration::ZERO, |engine| engine.switch_time),
    }
}

/// Returns the fraction of the slots of decode engines that are taken.
fn decode_load(core: &Core, engines: &[BackendKey]) -> f64 {
    let all = engines.iter().map(|key| &core.relay.instances.arena[*key]);
    let decode = all.filter(|instance| instance.stage == Some(Stage::Decode));
    let (calls, slots) = decode.fold((0, 0), |(calls, slots), instance| {
        (calls + instance.work().calls, slots + instance.slots)
    });
    f64::from(calls) / f64::from(slots.max(1))
}

/// Returns whether an engine was selected for a change less than [`ORDER_COOLDOWN`] ago.
fn recently_ordered(core: &Core, key: BackendKey) -> bool {
    let id = &core.relay.instances.arena[key].id;
    let change = core.relay.planner.changes.get(id);
    change.is_some_and(|(_, at)| core.now.since(*at) < ORDER_COOLDOWN)
}

/// Orders an engine to change, once it has reported its state.
pub fn reported(core: &mut Core, id: &str, report: Option<EngineReport>, out: &mut Effects) {
    let planner = &mut core.relay.planner;
    let Some((stage, _)) = planner.changes.get(id).copied() else {
        return;
    };
    let grant = planner.authority.grant(core.now);
    let key = core.relay.instances.find(id);
    let (Some(report), Some(key), Some(grant)) = (report, key, grant) else {
        change_failed(core, id);
        return;
    };
    let Grant { fence, until, .. } = grant;
    let instance = &core.relay.instances.arena[key];
    if report.stage == stage {
        return;
    }
    if report.busy || !stays(instance, core.now) {
        change_failed(core, id);
        return;
    }
    let order = StageOrder {
        instance: instance.id.clone(),
        addr: instance.addr,
        stage,
        holder: core.settings.host.name.clone(),
        fence,
        expected: report.orders,
        until,
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

/// Handles the outcome of an order.
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
    let failed = matches!(
        result,
        OrderResult::Conflict | OrderResult::Fenced | OrderResult::Unsent
    );
    let was_announced = failed && change_failed(core, id);
    let planner = &mut core.relay.planner;
    match result {
        // Another host holds the authority.
        OrderResult::Fenced => planner.authority.resign(fence),
        OrderResult::Unsent if !was_announced => {
            planner.changes.remove(id);
        }
        _ => {}
    }
}
