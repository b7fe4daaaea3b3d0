//! Orders to engines: who may give them, and the routing state of each pool.
//!
//! One host at a time holds the authority over a pool ([`hold`]). It withdraws an engine through
//! the routing state ([`route`]), waits until no host has work there (`drain`), records the
//! order it intends ([`intent`]), gives it, and puts the engine back to work ([`change`]). Where
//! engines take any order, the processes that held the authority before must be known dead first
//! (`suspect`).

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

/// First word of the watched keys with a pool's routing state.
pub const ROUTE: &str = "route";
/// First word of the watched keys that name a pool's holder.
pub const HOLDER: &str = "holder";
/// Time between two looks at authority, orders and confirmations.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two words to a pool's holder on the work taken in.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a host's word on its demand is no longer counted.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(4);
/// Time without effect after a call to the key-value service failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How a pool's role change is chosen.
pub type Decide = fn(&View<'_>, &mut DecisionState) -> Option<Change>;

/// What this host knows and does about the orders of one pool.
#[derive(Debug, Default)]
pub struct PoolOrders {
    /// Authority.
    pub authority: Authority,
    /// Routing state that this host acts on.
    pub applied: Applied,
    /// What the holder has under way.
    pub holder: HolderState,
    /// What hosts said about withdrawn engines.
    confirms: BTreeMap<HostKey, ReceivedConfirm>,
    demand: BTreeMap<HostKey, (Time, Demand)>,
}

/// Authority over pools and orders on their way.
#[derive(Debug)]
pub struct Orders {
    pools: Vec<PoolOrders>,
    /// Since when this host has seen every host that came and went.
    known_since: Option<Time>,
    /// Hosts whose registration is gone, and since when.
    departed: BTreeMap<Box<str>, Time>,
    /// When demand was last told.
    demand_sent: Time,
    /// How role changes are chosen.
    pub decide: Decide,
}

impl Orders {
    /// Creates the state of a host that holds nothing.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let desks = settings.pools.iter().map(|_| PoolOrders::default());
        Self {
            pools: desks.collect(),
            known_since: None,
            departed: BTreeMap::new(),
            demand_sent: Time::default(),
            decide: role::decide,
        }
    }

    /// Returns what is known about a pool.
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

/// Goes on with authority and orders.
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

/// Goes on with one pool as far as it goes without waiting.
fn advance(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    authority::advance(core, pool, out);
    suspect::check_suspects(core, pool, out);
    drain::send_confirm(core, pool, out);
    if authority::holds(core, pool) {
        change::advance_holder(core, pool, out);
    }
}

/// Takes in a pool's routing state.
pub fn route_watched(core: &mut Core, pool: &str, pair: &WatchedKey, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(pool) {
        route::watched(core, pool, pair);
        advance(core, pool, out);
    }
}

/// Takes in a pool's holder.
pub fn holder_watched(core: &mut Core, pool: &str, pair: &WatchedKey, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(pool) {
        authority::watched(core, pool, pair, out);
    }
}

/// Takes in the end of a job.
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

/// Takes in whether the key-value service answers.
pub fn health(core: &mut Core, health: Health, _out: &mut Effects) {
    match health {
        Health::Up => {
            for desk in &mut core.orders.pools {
                desk.authority.watch_opened(core.now);
            }
        }
        Health::Down => watch_lost(core),
    }
}

/// Notes that hosts may come and go unseen.
///
/// One that came and went meanwhile may be cut off and act on an old routing state; nothing here
/// would tell of it.
pub fn watch_lost(core: &mut Core) {
    core.orders.known_since = None;
}

/// Takes in the platform's list.
pub fn fleet_changed(core: &mut Core, _out: &mut Effects) {
    for pool in core.orders.pool_keys() {
        route::apply(core, pool);
    }
}

/// Takes in an order's answer.
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

/// Takes in whether an address refuses connections.
pub fn probed(core: &mut Core, addr: std::net::SocketAddr, probe: super::event::ProbeResult) {
    let now = core.now;
    for desk in &mut core.orders.pools {
        suspect::probed(&mut desk.authority, addr, probe, now);
    }
}

/// Takes in a host's word on a withdrawal.
pub fn confirm_received(core: &mut Core, from: HostKey, confirm: &Confirm, out: &mut Effects) {
    if let Some(pool) = core.fleet.pool(&confirm.pool) {
        drain::confirm_received(core, pool, from, confirm);
        advance(core, pool, out);
    }
}

/// Takes in the work a host took in for a pool.
pub fn demand_received(core: &mut Core, from: HostKey, demand: &Demand) {
    if let Some(pool) = core.fleet.pool(&demand.pool) {
        let now = core.now;
        let desk = core.orders.pool_mut(pool);
        desk.demand.insert(from, (now, demand.clone()));
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

/// Gives authority back.
pub fn release(core: &mut Core, out: &mut Effects) {
    for pool in core.orders.pool_keys() {
        authority::release(core, pool, out);
    }
}

/// Tells the holder of each split pool what this host took in since the last time.
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
        let second = since.as_secs_f64();
        let demand = Demand {
            pool: name,
            prompt_rate: prompt as f64 / second,
            output_rate: output as f64 / second,
            refusal_rate: 0.0,
        };
        let desk = core.orders.pool_mut(pool);
        if let Some(to) = desk
            .authority
            .holder()
            .and_then(|host| core.members.find(host))
        {
            let message = Message::Demand(demand);
            out.push(Effect::Send { to, message });
        } else {
            desk.demand.insert(HostKey::default(), (core.now, demand));
        }
    }
}
