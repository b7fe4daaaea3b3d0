//! Fair shares: how customers divide a service that is short, so that a flood from one makes only its own requests late.
//!
//! A service is short if a request to it was refused or placed late in the last second, at any host. Each host counts the
//! engine time of its customers ([`window`]) and receives that of the other hosts ([`exchange`]). It estimates how much
//! the service can serve in time ([`shortage`]), divides that between the customers ([`division`]), and refuses new
//! requests of those that have used up their share ([`admission`]).
//!
//! This has nothing in common with the shares of plans in [`crate::core::share`].

pub(super) mod admission;
mod division;
pub(super) mod exchange;
mod shortage;
#[cfg(test)]
mod tests;
mod window;

use std::collections::BTreeMap;
use std::time::Duration;

use super::catalog::Catalog;
use super::choose::Choice;
use super::event::Task;
use super::instance::{Instance, short_hash};
use super::{Attempt, Call, load, millis, note};
use crate::core::key::CallKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};
use division::Demand;
use exchange::Exchange;
use shortage::Shortage;
pub use window::EngineTime;
use window::{UsageWindow, WINDOW};

/// Interval between two divisions of a short service.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(100);
/// Rank of a customer without one: the middle of the usual ranks, 0 to 9.
const DEFAULT_RANK: u8 = 5;
/// Key of all callers without a customer, on public routes: together they count as one customer.
const PUBLIC: u64 = 0;
/// Weight of the newest request in the means by which refused requests are counted.
const MEAN_WEIGHT: f64 = 0.05;
/// Initial estimate of the part of a prompt that is prefilled; the rest is cached.
const INITIAL_UNCACHED_FRACTION: f64 = 0.5;
/// Initial estimate of the engine time for which a request takes a slot: a few milliseconds of a server with some slots.
const INITIAL_SLOT_MS: f64 = 5.0;

/// Usage of services by customers, and shortages.
#[derive(Debug, Default)]
pub struct FairShares {
    /// When this host began to count.
    started: Option<Time>,
    /// Services with usage, by short hash of the name.
    services: BTreeMap<u32, ServiceUsage>,
    /// Reports of other hosts and to them.
    exchange: Exchange,
    /// When services were last divided.
    divided: Option<Time>,
}

/// Usage of one service.
#[derive(Debug)]
struct ServiceUsage {
    name: Box<str>,
    /// Requests that this host sent or refused.
    own: UsageWindow,
    /// Engine time of customers at the other hosts, by their last reports.
    others: BTreeMap<u64, EngineTime>,
    shortage: Option<Shortage>,
    /// Mean part of a prompt that is prefilled.
    uncached_fraction: f64,
    /// Mean engine time for which a request takes a slot.
    slot_ms: f64,
}

impl ServiceUsage {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            own: UsageWindow::default(),
            others: BTreeMap::new(),
            shortage: None,
            uncached_fraction: INITIAL_UNCACHED_FRACTION,
            slot_ms: INITIAL_SLOT_MS,
        }
    }

    /// Returns the engine time of a customer at all hosts in the window that ends now.
    fn usage(&self, customer: u64, now: Time) -> EngineTime {
        let others = self.others.get(&customer).copied().unwrap_or_default();
        self.own.of(customer, now).plus(others)
    }
}

impl FairShares {
    /// Returns the number of services that are short.
    #[must_use]
    pub fn short_services(&self) -> usize {
        let all = self.services.values();
        all.filter(|service| service.shortage.is_some()).count()
    }

    /// Returns the engine time in milliseconds that a customer used of a service at all known hosts.
    #[cfg(test)]
    #[must_use]
    pub fn used_ms(&self, service: &str, customer: &str, now: Time) -> f64 {
        let service = self.services.get(&short_hash(service));
        service.map_or(0.0, |service| {
            service.usage(customer_key(customer), now).used
        })
    }

    /// Returns the number of customers with usage of any service at this host.
    #[cfg(test)]
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.own.len())
            .sum()
    }

    fn service(&mut self, name: &str) -> &mut ServiceUsage {
        let service = self.services.entry(short_hash(name));
        service.or_insert_with(|| ServiceUsage::new(name))
    }
}

/// Whether fair shares are on, and the configuration names customers.
fn is_enabled(core: &Core) -> bool {
    let relay = core.settings.relay.as_ref();
    let has_customers = |catalog: &Catalog| catalog.customers.is_some();
    relay.is_some_and(|relay| relay.policy.fair_shares)
        && core.relay.catalog.as_ref().is_some_and(has_customers)
}

/// Returns the key and the rank of a request's customer.
fn customer(call: &Call) -> (u64, u8) {
    let customer = call.identity.customer();
    customer.map_or((PUBLIC, DEFAULT_RANK), |customer| {
        let rank = customer.rank.unwrap_or(DEFAULT_RANK);
        (customer_key(&customer.name), rank)
    })
}

/// Returns the hash that identifies a customer. 64 bits make it unlikely that two of some ten thousand share one, whose
/// usage would be counted together.
pub(super) fn customer_key(name: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Counts the prefill of a request, if it was sent to a backend server.
pub(super) fn sent(core: &mut Core, key: CallKey, choice: &Choice) {
    if !is_enabled(core) || matches!(choice.task, Task::Decode { .. }) {
        return;
    }
    let call = core.relay.calls.get(key);
    let Some(call) = call.filter(|call| call.attempt.is_some()) else {
        return;
    };
    let (customer, rank) = customer(call);
    let model = core.relay.cost_model.of(&call.service);
    let instance = &core.relay.instances.arena[choice.backend];
    let used = load::prefill_ms(model, instance, choice.work.tokens);
    let used = load::normalized_ms(instance, used);
    let whole = call.prompt.as_ref().map_or(0.0, |prompt| {
        model.average_prefill_ms(model.equivalent_tokens(prompt.tokens, 0))
    });
    let service = core.relay.shares.service(&call.service);
    if whole > 0.0 {
        service.uncached_fraction += (used / whole - service.uncached_fraction) * MEAN_WEIGHT;
    }
    let time = EngineTime { used, unmet: 0.0 };
    service.own.record(customer, rank, time, core.now);
}

/// Counts the time for which an attempt that ends had a slot of its server.
pub(super) fn closed(core: &mut Core, attempt: &Attempt) {
    if !is_enabled(core) || attempt.task == Task::Prefill || attempt.host.is_some() {
        return;
    }
    let instance = core.relay.instances.arena.get(attempt.backend);
    let (Some(call), Some(instance)) = (core.relay.calls.get(attempt.call), instance) else {
        return;
    };
    // A stream that has not begun waits in the queue of its engine.
    let since = match instance.stage {
        Some(_) => attempt.began.unwrap_or(core.now),
        None => attempt.sent_at,
    };
    // What was used before the window began is no usage of it.
    let held = core.now.since(since).min(WINDOW);
    let used = millis(held) / f64::from(instance.slots);
    let (customer, rank) = customer(call);
    let service = core.relay.shares.service(&call.service);
    service.slot_ms += (used - service.slot_ms) * MEAN_WEIGHT;
    let time = EngineTime { used, unmet: 0.0 };
    service.own.record(customer, rank, time, core.now);
}

/// Begins to count, at the start of this host.
pub(super) fn start(core: &mut Core) {
    core.relay.shares.started = Some(core.now);
}

/// Ends shortages, drops what has left the window, and divides the services that are short.
pub(super) fn update(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let shares = &mut core.relay.shares;
    if shares
        .divided
        .is_some_and(|at| now.since(at) < DIVIDE_INTERVAL)
    {
        return;
    }
    shares.divided = Some(now);
    if !is_enabled(core) {
        let shares = &mut core.relay.shares;
        shares.services.clear();
        shares.exchange = Exchange::default();
        return;
    }
    let shares = &mut core.relay.shares;
    shares.exchange.expire(now);
    for service in shares.services.values_mut() {
        service.own.expire(now);
        if let Some(ended) = service.shortage.take_if(|shortage| shortage.is_over(now)) {
            service.others.clear();
            log_ended(&service.name, &ended, now, out);
        }
    }
    shares
        .services
        .retain(|_, service| service.shortage.is_some() || service.own.len() > 0);
    let short = shares.services.iter();
    let short = short.filter(|(_, service)| service.shortage.is_some());
    let short: Vec<u32> = short.map(|(hash, _)| *hash).collect();
    for hash in short {
        divide(core, hash);
    }
}

/// Begins a shortage, or goes on with it: a request was refused or placed late at this time, here or at another host.
fn begin_shortage(core: &mut Core, hash: u32, overload: Time, out: &mut Effects) {
    let now = core.now;
    let Some(service) = core.relay.shares.services.get_mut(&hash) else {
        return;
    };
    service.shortage = Some(Shortage::new(overload, now));
    let fields = vec![
        ("service", service.name.clone()),
        ("customers", service.own.len().to_string().into()),
    ];
    note(out, log::Level::Info, "shares.short", fields);
    divide(core, hash);
}

fn log_ended(service: &str, shortage: &Shortage, now: Time, out: &mut Effects) {
    let lasted = now.since(shortage.since).as_millis();
    let fields = vec![
        ("service", service.into()),
        ("lasted_ms", lasted.to_string().into()),
        ("refused", shortage.refused.to_string().into()),
    ];
    note(out, log::Level::Info, "shares.enough", fields);
}

/// Divides the engine time of a short service between its customers.
fn divide(core: &mut Core, hash: u32) {
    let now = core.now;
    let (rows, rest) = exchange::known_usage(core, hash, exchange::Scope::All);
    let Some(service) = core.relay.shares.services.get(&hash) else {
        return;
    };
    let receives_reports = core.relay.shares.exchange.receives_reports(now);
    let engines = engines_ms(core, &service.name, receives_reports);
    let demand = |rank, time: EngineTime, customers| Demand {
        rank,
        used: time.used / f64::from(customers),
        wanted: time.demand() / f64::from(customers),
        customers,
    };
    let demands = rows.values().map(|(rank, time)| demand(*rank, *time, 1));
    let others = (rest.customers > 0).then(|| demand(rest.rank, rest.time, rest.customers));
    let mut demands: Vec<Demand> = demands.chain(others).collect();
    let Some(service) = core.relay.shares.services.get_mut(&hash) else {
        return;
    };
    let own = &service.own;
    let others = rows.into_iter().map(|(customer, (_, time))| {
        let others = time.minus(own.of(customer, now));
        (customer, others)
    });
    service.others = others.filter(|(_, time)| time.demand() > 0.0).collect();
    if let Some(shortage) = &mut service.shortage {
        shortage.divide(&mut demands, engines, receives_reports, now);
    }
}

/// Returns the time of a service's engines in a window; this host's part of it if it receives no usage of others.
fn engines_ms(core: &Core, service: &str, receives_reports: bool) -> f64 {
    let all = core.relay.instances.of(service).iter();
    let all = all.map(|key| &core.relay.instances.arena[*key]);
    let available = all.filter(|instance: &&Instance| instance.is_available(core.now));
    let engines = available.count() as f64;
    let hosts = if receives_reports {
        1
    } else {
        core.relay.peers.host_count()
    };
    engines * millis(WINDOW) / hosts as f64
}
