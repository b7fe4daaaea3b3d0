//! Orders of workers: how many of each kind a service has in each failure domain.
//!
//! Every host measures the demand of each service (see [`demand`]). The host that holds the authority plans the workers
//! from it (see [`forecast`]) or from the number that the service was provisioned with (see [`plan`]), and orders what
//! differs from the last order or from the list (see [`orders`]).

pub mod demand;
pub mod forecast;
pub mod orders;
pub mod plan;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::catalog::Scaling;
use super::super::event::{Changes, Stage, Task};
use super::super::gossip::domains;
use super::super::prefix_cache;
use super::super::request::Attempt;
use super::super::{RelayJob, job, note};
use super::{DutyCall, DutyResult, Order, settings};
use crate::core::key::CallKey;
use crate::core::relay::authority::Grant;
use crate::core::time::Time;
use crate::core::{Core, Effect, Effects};
use crate::error::Kind;
use crate::settings::duties::ScalingMode;
use crate::store::{Compare, Op, Txn};
use demand::{Demand, Sample};
use forecast::Hold;
use orders::{Orders, Subject};
use plan::{Need, Supply, Workers};

/// Part of the platform's rate of calls that orders of workers may take; the rest is left for reports.
const RATE_FRACTION: f64 = 0.25;
/// Time without a change of the number of workers after which it counts as the number provisioned.
const STABLE_PERIOD: Duration = Duration::from_millis(1500);
/// Time after which that number is written again if the store does not show it.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Prefix of the store's keys with the number of workers that a service was provisioned with.
const PROVISION_PREFIX: &str = "workers/";

/// State of the orders of workers at a host.
#[derive(Debug, Default)]
pub struct Scaler {
    fleets: BTreeMap<Box<str>, Fleet>,
    orders: Orders,
    /// When demand was last measured.
    measured: Option<Time>,
}

impl Scaler {
    /// Forgets the numbers of workers in force by demand, after the setting has changed.
    fn forget(&mut self, service: &str) {
        if let Some(fleet) = self.fleets.get_mut(service) {
            fleet.hold = Hold::default();
        }
    }

    /// Returns, for each service whose demand is measured, the demand in engines and the workers last planned.
    #[must_use]
    pub fn gauges(&self) -> Vec<(&str, f64, u32)> {
        let fleets = self.fleets.iter();
        let gauges = fleets.map(|(service, fleet)| {
            let planned = fleet.logged.values().map(|workers| workers.sum()).sum();
            (&**service, fleet.demand.mean().total(), planned)
        });
        gauges.collect()
    }
}

/// Which orders may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Any.
    All,
    /// Of more spot workers: not all present workers are known yet.
    MoreSpot,
}

/// Workers of a service, as the host observes them.
#[derive(Debug, Default)]
struct Fleet {
    /// Number of regular workers, and when it last changed.
    count: (u32, Time),
    /// Workers that the service was provisioned with, as the store has it.
    provisioned: Option<u32>,
    /// When that was last written, while the store does not show it.
    written: Option<Time>,
    /// Whether all spot workers of the plan have served at the same time.
    has_swapped: bool,
    /// Demand as measured by this host.
    demand: Demand,
    /// Numbers of workers in force.
    hold: Hold,
    /// Targets as last logged.
    logged: BTreeMap<Box<str>, Workers>,
}

impl Fleet {
    fn see(&mut self, present: &BTreeMap<Box<str>, Workers>, now: Time) {
        let regular: u32 = present.values().map(|workers| workers.regular).sum();
        if self.count.0 != regular {
            self.count = (regular, now);
        }
    }

    /// Returns whether all regular workers are known: they register one after the other.
    fn is_stable(&self, now: Time) -> bool {
        self.count.0 > 0 && now.since(self.count.1) >= STABLE_PERIOD
    }
}

/// Handles changes of the numbers of workers provisioned.
pub fn changed(core: &mut Core, changes: &Changes) {
    let fleets = &mut core.relay.duties.scaler.fleets;
    for change in &changes.keys {
        let Some(service) = change.key.strip_prefix(PROVISION_PREFIX) else {
            continue;
        };
        let value = change.value.as_deref().map(String::from_utf8_lossy);
        let count = value.and_then(|value| value.parse().ok());
        fleets.entry(service.into()).or_default().provisioned = count;
    }
}

/// Writes the number of workers that a service was provisioned with, unless the store has one: after a restart of all
/// hosts, the workers present are those that were ordered.
fn record_provision(core: &mut Core, service: &str, count: u32, out: &mut Effects) {
    let key: Box<str> = format!("{PROVISION_PREFIX}{service}").into();
    out.push(Effect::Txn {
        job: job(core, RelayJob::Provision),
        txn: Txn {
            compare: vec![Compare::Absent { key: key.clone() }],
            then: vec![Op::Put {
                key,
                value: count.to_string().into_bytes().into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Returns the services whose workers are ordered.
fn scaled_services(core: &Core) -> Vec<(Box<str>, Scaling)> {
    let services = core
        .relay
        .catalog
        .iter()
        .flat_map(|catalog| &catalog.services);
    let scaled =
        services.filter_map(|(name, service)| Some((name.clone(), service.scaling.clone()?)));
    scaled.collect()
}

/// Returns the present workers of a service that stay, by failure domain.
fn present_workers(core: &Core, service: &str, scaling: &Scaling) -> BTreeMap<Box<str>, Workers> {
    let names = scaling.prices.keys().cloned();
    let mut present: BTreeMap<Box<str>, Workers> =
        names.map(|name| (name, Workers::default())).collect();
    for key in core.relay.instances.of(service) {
        let instance = &core.relay.instances.arena[*key];
        if instance.leaving || instance.addr_reused {
            continue;
        }
        let workers = present.entry(instance.domain.clone()).or_default();
        if instance.is_spot {
            workers.spot += 1;
        } else {
            workers.regular += 1;
        }
    }
    present
}

/// Orders workers where the numbers differ from the plan, with the authority.
pub fn perform(core: &mut Core, grant: &Grant, out: &mut Effects) {
    core.relay.duties.scaler.orders.begin(grant.fence);
    let Some(settings) = settings(core) else {
        return;
    };
    let (policy, mode) = (settings.workers, settings.scaling);
    let mut room = settings.rate.map_or(usize::MAX, call_room);
    // Orders from an old view could take away workers that are needed, or fill places that are taken.
    if !core.relay.view.is_fresh(core.now) || !core.relay.view.is_settled() {
        return;
    }
    for (service, scaling) in scaled_services(core) {
        let now = core.now;
        let present = present_workers(core, &service, &scaling);
        let fleet = core.relay.duties.scaler.fleets.entry(service.clone());
        let fleet = fleet.or_default();
        fleet.see(&present, now);
        let is_stable = fleet.is_stable(now);
        if fleet.provisioned.is_none()
            && is_stable
            && fleet
                .written
                .is_none_or(|at| now.since(at) > WRITE_INTERVAL)
        {
            fleet.written = Some(now);
            let count = fleet.count.0;
            record_provision(core, &service, count, out);
        }
        let fleet = &core.relay.duties.scaler.fleets[&service];
        let need = Need {
            provisioned: fleet.provisioned.unwrap_or(fleet.count.0),
            policy,
            has_swapped: fleet.has_swapped,
        };
        let scope = match fleet.provisioned {
            Some(_) => Scope::All,
            None => Scope::MoreSpot,
        };
        let (targets, basis) = match mode {
            ScalingMode::Demand => {
                follow_demand(core, (&service, &scaling), need, &present, grant.fence)
            }
            ScalingMode::Fixed => {
                core.relay.duties.scaler.forget(&service);
                (plan::targets(&scaling, need, &present), "fixed")
            }
        };
        let due = differences(core, &service, &scaling, &targets, &present, scope);
        for order in due {
            if room > 0 {
                room -= 1;
                give(core, order, grant, out);
            }
        }
        note_plan(core, &service, (need, basis), targets, &present, out);
    }
}

/// Returns the workers to order by the measured demand, and what they are based on.
fn follow_demand(
    core: &mut Core,
    (service, scaling): (&str, &Scaling),
    need: Need,
    present: &BTreeMap<Box<str>, Workers>,
    fence: u64,
) -> (BTreeMap<Box<str>, Workers>, &'static str) {
    let (now, is_complete) = (core.now, !domains::is_missing(core));
    let headroom = settings(core).map_or(1.0, |settings| settings.headroom);
    let floor = least_servers(core, service);
    let Some(fleet) = core.relay.duties.scaler.fleets.get_mut(service) else {
        return (plan::targets(scaling, need, present), "fixed");
    };
    let forecast = forecast::forecast(&fleet.demand, headroom, scaling.boot, floor);
    let planned = plan::demand_targets(scaling, need, forecast, present);
    // The time for which a lower number was enough counts while the demand becomes known.
    fleet
        .hold
        .record(fence, &planned, present, is_complete, now);
    if !fleet.demand.is_known(now) {
        let targets = plan::targets(scaling, need, present);
        fleet.hold.replace(&targets);
        return (targets, "fixed");
    }
    let mut targets = fleet.hold.reduced(is_complete);
    plan::limit(&mut targets, scaling);
    keep_stages(core, service, &mut targets, present);
    (targets, "demand")
}

/// Returns the workers without which a service cannot serve: an engine for each stage, or one plain server.
fn least_servers(core: &Core, service: &str) -> u32 {
    let catalog = core.relay.catalog.as_ref();
    let service = catalog.and_then(|catalog| catalog.services.get(service));
    if service.is_some_and(|service| service.engine.is_some()) {
        2
    } else {
        1
    }
}

/// Limits reductions so that engines of both stages remain, whichever the platform takes.
fn keep_stages(
    core: &Core,
    service: &str,
    targets: &mut BTreeMap<Box<str>, Workers>,
    present: &BTreeMap<Box<str>, Workers>,
) {
    for stage in [Stage::Prefill, Stage::Decode] {
        let mut counts: BTreeMap<(Box<str>, Supply), u32> = BTreeMap::new();
        for key in core.relay.instances.of(service) {
            let instance = &core.relay.instances.arena[*key];
            if instance.stage == Some(stage) && !instance.leaving && !instance.addr_reused {
                let supply = if instance.is_spot {
                    Supply::Spot
                } else {
                    Supply::Regular
                };
                let subject = (instance.domain.clone(), supply);
                *counts.entry(subject).or_default() += 1;
            }
        }
        plan::keep_some(targets, present, &counts);
    }
}

/// Whether workers follow demand.
#[must_use]
pub fn follows_demand(core: &Core) -> bool {
    settings(core).is_some_and(|settings| settings.scaling == ScalingMode::Demand)
}

/// Measures the demand of each service. Every host does, to have it when it acquires the authority.
pub fn measure(core: &mut Core) {
    let follows = follows_demand(core);
    let now = core.now;
    let scaler = &mut core.relay.duties.scaler;
    let last = scaler.measured.filter(|_| follows);
    scaler.measured = follows.then_some(now);
    let Some(length) = last.map(|at| now.since(at)) else {
        // What arrived before the measurement began belongs to no period.
        for instance in core.relay.instances.arena.values_mut() {
            instance.arrived_tokens = 0;
            instance.own_work.prompt_rate = 0;
        }
        return;
    };
    if length.is_zero() {
        return;
    }
    for (service, _) in scaled_services(core) {
        let instances = &mut core.relay.instances;
        let keys = instances.of(&service).to_vec();
        for key in &keys {
            instances.arena[*key].end_period(length);
        }
        let servers = keys.iter().map(|key| &instances.arena[*key]);
        let sample = Sample::measure(servers, core.relay.cost_model.of(&service));
        let fleets = &mut core.relay.duties.scaler.fleets;
        let fleet = fleets.entry(service).or_default();
        fleet.demand.record(sample, now);
    }
}

/// Counts the demand of a request that is refused before any server got it: its prompt, and a slot for the duration of a
/// run. It counts as work of one server, like that of requests which are sent.
pub fn refused(core: &mut Core, key: CallKey, kind: Kind) {
    let call = &core.relay.calls[key];
    let is_refused = matches!(kind, Kind::Overloaded | Kind::NoEngine);
    if !follows_demand(core) || !is_refused || call.arrivals + call.prefills > 0 {
        return;
    }
    let Some(fleet) = core.relay.duties.scaler.fleets.get(&call.service) else {
        return;
    };
    let model = core.relay.cost_model.of(&call.service);
    let keys = core.relay.instances.of(&call.service);
    let servers = keys.iter().map(|key| &core.relay.instances.arena[*key]);
    let tokens = call.prompt.as_ref().and_then(|prompt| {
        let uncached = servers.map(|server| prefix_cache::uncached_tokens(server, prompt));
        let uncached = uncached.min()?;
        Some(model.equivalent_tokens(uncached, prompt.tokens.saturating_sub(uncached)))
    });
    let Some(first) = keys.first().copied() else {
        return;
    };
    let run_ms = fleet.demand.run_ms() / f64::from(core.relay.instances.arena[first].slots);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some thousand tokens, never below zero"
    )]
    let run_tokens = (run_ms / model.average_prefill_ms(1)) as u64;
    let server = &mut core.relay.instances.arena[first];
    server.arrived_tokens += tokens.unwrap_or(0) + run_tokens;
}

/// Records the duration of a run that ended at a server.
pub fn run_ended(core: &mut Core, attempt: &Attempt) {
    let is_run = !matches!(attempt.task, Task::Prefill) && attempt.began.is_some();
    let server = core.relay.instances.arena.get(attempt.backend);
    let Some(server) = server.filter(|_| is_run && attempt.host.is_none()) else {
        return;
    };
    let fleets = &mut core.relay.duties.scaler.fleets;
    if let Some(fleet) = fleets.get_mut(&server.service) {
        fleet.demand.record_run(core.now.since(attempt.sent_at));
    }
}

/// Logs a plan that differs from the last one.
fn note_plan(
    core: &mut Core,
    service: &str,
    (need, basis): (Need, &'static str),
    targets: BTreeMap<Box<str>, Workers>,
    present: &BTreeMap<Box<str>, Workers>,
    out: &mut Effects,
) {
    let Some(fleet) = core.relay.duties.scaler.fleets.get_mut(service) else {
        return;
    };
    fleet.has_swapped |= fleet.provisioned.is_some() && plan::has_spot(&targets, present);
    if fleet.logged == targets {
        return;
    }
    let sum = |workers: &BTreeMap<Box<str>, Workers>, supply| -> u32 {
        workers.values().map(|workers| workers.of(supply)).sum()
    };
    let mut fields = vec![
        ("service", service.into()),
        ("provisioned", need.provisioned.to_string().into()),
        ("basis", basis.into()),
        (
            "prompts",
            format!("{:.1}", fleet.demand.mean().prompts).into(),
        ),
        ("runs", format!("{:.1}", fleet.demand.mean().runs).into()),
        ("peak", format!("{:.1}", fleet.demand.peak()).into()),
    ];
    for (name, supply) in [("regular", Supply::Regular), ("spot", Supply::Spot)] {
        let (target, has) = (sum(&targets, supply), sum(present, supply));
        fields.push((name, format!("{has} of {target}").into()));
    }
    note(out, log::Level::Info, "scaling.planned", fields);
    fleet.logged = targets;
}

/// Returns the calls that fit into a rate within one interval of plans.
fn call_room(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate from the settings, above zero"
    )]
    let room = (rate * super::super::planner::PLAN_INTERVAL.as_secs_f64() * RATE_FRACTION) as usize;
    room.max(1)
}

/// An order that is due: its subject, the number of workers, and how many the list shows.
type DueOrder = (Subject, u32, u32);

/// Returns the orders that are due, those of spot workers first.
fn differences(
    core: &Core,
    service: &str,
    scaling: &Scaling,
    targets: &BTreeMap<Box<str>, Workers>,
    present: &BTreeMap<Box<str>, Workers>,
    scope: Scope,
) -> Vec<DueOrder> {
    let orders = &core.relay.duties.scaler.orders;
    let mut due = Vec::new();
    for supply in [Supply::Spot, Supply::Regular] {
        for (domain, target) in targets {
            let has = present.get(domain).copied().unwrap_or_default();
            let (count, has) = (target.of(supply), has.of(supply));
            let in_scope = scope == Scope::All || supply == Supply::Spot && count > has;
            let subject: Subject = (service.into(), domain.clone(), supply);
            if in_scope && orders.is_due(&subject, count, has, scaling.boot, core.now) {
                due.push((subject, count, has));
            }
        }
    }
    // Workers that are missing go first: calls are limited.
    due.sort_by_key(|(_, count, has)| count < has);
    due
}

fn give(core: &mut Core, due: DueOrder, grant: &Grant, out: &mut Effects) {
    let (subject, count, present) = due;
    let (service, domain, supply) = subject.clone();
    let fields = vec![
        ("service", service.clone()),
        ("domain", domain.clone()),
        ("supply", format!("{supply:?}").into()),
        ("count", count.to_string().into()),
        ("present", present.to_string().into()),
        ("fence", grant.fence.to_string().into()),
    ];
    note(out, log::Level::Info, "scaling.ordered", fields);
    let order = Order::Workers {
        service,
        domain,
        supply,
        count,
    };
    let holder = core.settings.host.name.clone();
    let era = core.relay.view.era();
    let (number, effect) = core.relay.duties.call(order, &holder, era, grant);
    let now = core.now;
    let orders = &mut core.relay.duties.scaler.orders;
    orders.sent(subject, count, number, now);
    out.push(effect);
}

/// Handles the platform's answer to an order.
pub fn answered(core: &mut Core, call: &DutyCall, result: DutyResult) {
    let Order::Workers {
        service,
        domain,
        supply,
        ..
    } = &call.order
    else {
        return;
    };
    // The platform refuses an order of spot workers also where none are available.
    if result == DutyResult::Conflict && *supply == Supply::Regular {
        core.relay.planner.authority.resign(call.fence);
    }
    let subject = (service.clone(), domain.clone(), *supply);
    let orders = &mut core.relay.duties.scaler.orders;
    orders.answered(&subject, call.number, result == DutyResult::Accepted);
}
