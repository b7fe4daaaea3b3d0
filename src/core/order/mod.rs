//! Orders to engines: who may give them, and the routing state of each pool.
//!
//! One host at a time holds the authority over a pool ([`authority`]). It withdraws an engine
//! through the routing state ([`route`]), waits until no host has work there (`drain`), records the
//! intended order ([`intent`]), sends it, and puts the engine back to work ([`change`]). Where
//! engines accept any order, the processes that held the authority before must first be known to be
//! dead (`suspect`).

pub mod authority;
pub mod change;
mod drain;
pub mod intent;
mod publish;
mod record;
pub mod route;
mod suspect;

use std::collections::BTreeMap;
use std::time::Duration;

use super::effect::Effect;
use super::event::{Health, Job, OrderResult, StoreReply, Timer, WatchedKey};
use super::key::{HostKey, PoolKey};
use super::message::{Confirm, Demand, Message};
use super::role::{self, Change, DecisionState, View};
use super::{Core, Effects, Time};
use crate::settings::Settings;

use authority::Authority;
pub use authority::MAX_FLIGHT_TIME;
use change::HolderState;
use drain::ReceivedConfirm;
use route::Applied;

/// First segment of the watched keys that hold a pool's routing state.
pub const ROUTE: &str = "route";
/// First segment of the watched keys that name a pool's holder.
pub const HOLDER: &str = "holder";
/// Time between two checks of authority, orders and confirmations.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports of demand to a pool's holder.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a host's reported demand is no longer counted.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(4);
/// Delay before the next call after a call to the key-value service had no effect.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Chooses the next role change of a pool, if any.
pub type Decide = fn(&View<'_>, &mut DecisionState) -> Option<Change>;

/// State of the orders of one pool at this host.
#[derive(Debug, Default)]
pub struct PoolOrders {
    /// Authority over the pool.
    pub authority: Authority,
    /// Routing state that this host acts on.
    pub applied: Applied,
    /// Work in progress while this host is the holder.
    pub holder: HolderState,
    /// Last confirmation of each host about withdrawn engines.
    confirms: BTreeMap<HostKey, ReceivedConfirm>,
    demand: BTreeMap<HostKey, (Time, Demand)>,
}

/// Authority over pools, and orders in progress.
#[derive(Debug)]
pub struct Orders {
    pools: Vec<PoolOrders>,
    /// Since when this host has seen every host join and leave.
    known_since: Option<Time>,
    /// Hosts whose registration is gone, and since when.
    departed: BTreeMap<Box<str>, Time>,
    /// When demand was last reported.
    demand_sent: Time,
    /// How role changes are chosen.
    pub decide: Decide,
}

impl Orders {
    /// Creates the state of a host that holds no pool.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let states = settings.pools.iter().map(|_| PoolOrders::default());
        Self {
            pools: states.collect(),
            known_since: None,
            departed: BTreeMap::new(),
            demand_sent: Time::default(),
            decide: role::decide,
        }
    }

    /// Returns the state of a pool.
    #[must_use]
    pub fn pool(&self, pool: PoolKey) -> &PoolOrders {
        &self.pools[usize::from(pool.0)]
    }

    fn pool_mut(&mut self, pool: PoolKey) -> &mut PoolOrders {
        &mut self.pools[usize::from(pool.0)]
    }

    fn pool_keys(&self) -> impl Iterator<Item = PoolKey> + use<> {
        let count = u16::try_from(self.pools.len()).unwrap_or(u16::MAX);
        (0..count).map(PoolKey)
    }
}

fn name(core: &Core, pool: PoolKey) -> Box<str> {
    core.fleet.pools[usize::from(pool.0)].name.clone()
}

/// Starts looking for pools without a holder.
pub fn start(core: &mut Core, out: &mut Effects) {
    timer(core, out);
}

/// Advances authority and orders of all pools.
pub fn timer(core: &mut Core, out: &mut Effects) {
    if core.orders.known_since.is_none()
        && core.members.registered
        && core.members.store == Health::Up
    {
        core.orders.known_since = Some(core.now);
    }
    drain::expire_departed(core);
    for pool in core.orders.pool_keys() {
        advance(core, pool, out);
    }
    send_demand(core, out);
    out.push(Effect::SetTimer {
        at: core.now.after(TICK_INTERVAL),
        timer: Timer::Orders,
    });
}

/// Advances one pool as far as possible without waiting.
fn advance(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    authority::advance(core, pool, out);
    suspect::check_suspects(core, pool, out);
    drain::send_confirm(core, pool, out);
    if authority::holds(core, pool) {
        change::advance_holder(core, pool, out);
    }
}

/// Handles a change of a pool's routing state.
pub fn route_watched(core: &mut Core, pool: &str, pair: &WatchedKey, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(pool) {
        route::watched(core, pool, pair);
        advance(core, pool, out);
    }
}

/// Handles a change of a pool's holder.
pub fn holder_watched(core: &mut Core, pool: &str, pair: &WatchedKey, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(pool) {
        authority::watched(core, pool, pair, out);
    }
}

/// Handles the end of a call to the key-value service.
pub fn reply(core: &mut Core, reply: StoreReply, out: &mut Effects) {
    let StoreReply { job, result } = reply;
    let pool = match job {
        Job::Authority(pool) => {
            authority::reply(core, pool, result, out);
            pool
        }
        Job::Intent(pool) => {
            intent::reply(core, pool, result);
            pool
        }
        Job::Route(pool) => {
            route::reply(core, pool, result);
            pool
        }
        _ => return,
    };
    advance(core, pool, out);
}

/// Handles a change in whether the key-value service answers.
pub fn health(core: &mut Core, health: Health, _out: &mut Effects) {
    match health {
        Health::Up => {
            for state in &mut core.orders.pools {
                state.authority.watch_opened(core.now);
            }
        }
        Health::Down => watch_lost(core),
    }
}

/// Notes that hosts may join and leave unnoticed.
///
/// A host that came and went meanwhile may be cut off and act on an old routing state, and nothing
/// here would show it.
pub fn watch_lost(core: &mut Core) {
    core.orders.known_since = None;
}

/// Handles a change of the platform's list.
pub fn fleet_changed(core: &mut Core, _out: &mut Effects) {
    for pool in core.orders.pool_keys() {
        route::apply(core, pool);
    }
}

/// Handles the answer to an order.
pub fn order_answered(
    core: &mut Core,
    name: &str,
    fence: u64,
    order: u64,
    result: OrderResult,
    out: &mut Effects,
) {
    for pool in core.orders.pool_keys() {
        let now = core.now;
        if core
            .orders
            .pool_mut(pool)
            .authority
            .order_ended(fence, result, now)
        {
            change::order_answered(core, pool, name, (fence, order), result, out);
            advance(core, pool, out);
        }
    }
}

/// Handles the result of a probe of whether an address refuses connections.
pub fn probed(core: &mut Core, addr: std::net::SocketAddr, probe: super::event::ProbeResult) {
    let now = core.now;
    for state in &mut core.orders.pools {
        suspect::probed(&mut state.authority, addr, probe, now);
    }
}

/// Handles a host's confirmation of a withdrawal.
pub fn confirm_received(core: &mut Core, from: HostKey, confirm: &Confirm, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(&confirm.pool) {
        drain::confirm_received(core, pool, from, confirm);
        advance(core, pool, out);
    }
}

/// Handles a host's report of the work it took in for a pool.
pub fn demand_received(core: &mut Core, from: HostKey, demand: &Demand) {
    if let Some(pool) = core.fleet.pool(&demand.pool) {
        let now = core.now;
        let state = core.orders.pool_mut(pool);
        state.demand.insert(from, (now, demand.clone()));
    }
}

/// Notes that a host's registration is gone.
pub fn left(core: &mut Core, host: &str) {
    core.orders.departed.insert(host.into(), core.now);
}

/// Notes that a host registered.
pub fn joined(core: &mut Core, host: &str) {
    core.orders.departed.remove(host);
}

/// Gives up the authority over all pools.
pub fn release(core: &mut Core, out: &mut Effects) {
    for pool in core.orders.pool_keys() {
        authority::release(core, pool, out);
    }
}

/// Reports the work taken in since the last report to the holder of each split pool.
fn send_demand(core: &mut Core, out: &mut Effects) {
    let since = core.now.since(core.orders.demand_sent);
    if since < DEMAND_INTERVAL {
        return;
    }
    core.orders.demand_sent = core.now;
    let taken = std::mem::take(&mut core.fleet.unsent_demand);
    for pool in core.orders.pool_keys() {
        if !core.fleet.pools[usize::from(pool.0)].settings.split {
            continue;
        }
        let name = name(core, pool);
        let (prompt, output) = taken.get(&name).copied().unwrap_or_default();
        let seconds = since.as_secs_f64();
        let demand = Demand {
            pool: name,
            prompt_rate: prompt as f64 / seconds,
            output_rate: output as f64 / seconds,
            refusal_rate: 0.0,
        };
        let state = core.orders.pool_mut(pool);
        if let Some(to) = state
            .authority
            .holder()
            .and_then(|host| core.members.find(host))
        {
            let message = Message::Demand(demand);
            out.push(Effect::Send { to, message });
        } else {
            state.demand.insert(HostKey::default(), (core.now, demand));
        }
    }
}
