//! A planned role change of an engine: it is withdrawn, drained, ordered to change, and put back to
//! work.
//!
//! Nothing here is forced. While hosts have streams on the engine, or a host does not confirm the
//! withdrawal, no order is sent; after a time limit the change is called off and the engine goes on
//! serving in its role. Only once an order is recorded must the engine be brought to the intended
//! role, because the order may reach it at any time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::drain::{self, DrainState};
use super::intent::{self, Call, Intent, Intents};
use super::route::{self, EngineState, Route};
use super::{DEMAND_MAX_AGE, name, publish, suspect};
use crate::core::effect::{Action, Effect, Meter, Order, log_event};
use crate::core::event::{OrderResult, Role};
use crate::core::fleet::{Backend, ServingState};
use crate::core::key::PoolKey;
use crate::core::role::{DecisionState, Engine, View};
use crate::core::{Core, Effects, Time};

/// Time within which every host must confirm a withdrawal, or the change is called off.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two sendings of an order.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Sendings of an order that is answered but does not come into force, before it is given up.
const MAX_TRIES: u32 = 3;
/// Time between two decisions on a pool's roles.
const DECIDE_INTERVAL: Duration = Duration::from_secs(1);

/// Work in progress of a pool's holder.
#[derive(Debug, Default)]
pub struct HolderState {
    /// Routing state as stored, with its revision in the key-value service; `None` until it is
    /// read.
    pub route: Option<(Route, i64)>,
    /// Pending call about the routing state.
    pub(super) route_call: Option<route::Call>,
    /// Intended orders as stored; `None` until they are read.
    pub intents: Option<Intents>,
    /// Pending call about intended orders.
    pub(super) intent_call: Option<Call>,
    /// No call to the key-value service is sent before this time.
    pub(super) next_call: Time,
    /// The change in progress.
    pub change: Option<Change>,
    /// Number of the last order under the current fencing number.
    last_order: u64,
    last_decision: Time,
    memory: DecisionState,
    /// Since when engines report another role than routing assumes.
    pub(super) role_mismatches: BTreeMap<Box<str>, Time>,
}

/// One engine's change.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Name of the engine.
    pub engine: Box<str>,
    /// Its new role.
    pub role: Role,
    /// How far the change has come.
    pub step: Step,
    /// Whether it can still be called off.
    commitment: Commitment,
    since: Time,
    /// Since when no host has streams there.
    free_since: Option<Time>,
    tries: u32,
    /// Number of the last order that was answered and did not come into force.
    failed_order: u64,
    /// The order is not sent again before this time.
    resend_at: Time,
}

/// Whether a change can still be called off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Commitment {
    /// No order is recorded yet.
    Revocable,
    /// An order is recorded and may reach the engine.
    Recorded,
}

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The engine is withdrawn and finishes its streams.
    Drain,
    /// The order is being recorded.
    Record,
    /// The order is to be sent.
    Order,
    /// The order is sent and not answered.
    Sent,
    /// The order was answered at this time; the engine's report must show its result.
    AwaitReport(Time),
    /// The record is being deleted; then the engine serves in this role.
    DeleteRecord(Role),
    /// The engine goes back to work in this role.
    Restore(Role),
}

/// Advances the holder's work on a pool.
pub(super) fn advance_holder(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let now = core.now;
    let holder = &core.orders.pool(pool).holder;
    if now < holder.next_call {
        return;
    }
    if holder.route.is_none() && holder.route_call.is_none() {
        route::read(core, pool, out);
    }
    let holder = &core.orders.pool(pool).holder;
    if holder.intents.is_none() && holder.intent_call.is_none() {
        intent::read(core, pool, out);
    }
    let holder = &core.orders.pool(pool).holder;
    if holder.route.is_none() || holder.intents.is_none() {
        return;
    }
    publish::note_mismatches(core, pool);
    if core.orders.pool(pool).holder.change.is_none() {
        let change = inherited_change(core, pool).or_else(|| decided_change(core, pool, out));
        core.orders.pool_mut(pool).holder.change = change;
    }
    if let Some(change) = core.orders.pool_mut(pool).holder.change.take() {
        let change = advance(core, pool, change, out);
        core.orders.pool_mut(pool).holder.change = change;
    }
    publish::publish(core, pool, out);
}

/// Returns the change that an earlier holder's recorded order requires.
fn inherited_change(core: &Core, pool: PoolKey) -> Option<Change> {
    let intents = core.orders.pool(pool).holder.intents.as_ref()?;
    let mut listed = intents
        .iter()
        .filter(|(engine, _)| core.fleet.find(engine).is_some());
    let (engine, (intent, _)) = listed.next()?;
    Some(Change::new(
        engine,
        intent.role,
        Commitment::Recorded,
        core.now,
    ))
}

/// Returns the change that the demand calls for.
fn decided_change(core: &mut Core, pool: PoolKey, out: &mut Effects) -> Option<Change> {
    let now = core.now;
    let at = usize::from(pool.0);
    let holder = &core.orders.pool(pool).holder;
    let due = now.since(holder.last_decision) >= DECIDE_INTERVAL;
    let split = core.fleet.pools[at].settings.split;
    if !split || !due || !drain::departed_stopped(core) || !suspect::no_suspects(core, pool) {
        return None;
    }
    let engines = core.fleet.pools[at].engines.iter();
    let engines: Vec<Engine> = engines
        .map(|&key| engine_view(core, key, &core.fleet.arena[key]))
        .collect();
    let decide = core.orders.decide;
    let settings = core.fleet.pools[at].settings.clone();
    let state = core.orders.pool_mut(pool);
    state.holder.last_decision = now;
    state
        .demand
        .retain(|_, (when, _)| now.since(*when) < DEMAND_MAX_AGE);
    let (prompt, output) = state.demand.values().fold((0.0, 0.0), |sum, (_, demand)| {
        (sum.0 + demand.prompt_rate, sum.1 + demand.output_rate)
    });
    let view = View {
        now,
        settings: &settings,
        engines: &engines,
        prompt,
        output,
    };
    let decision = decide(&view, &mut state.holder.memory)?;
    let engine = core.fleet.arena.get(decision.engine)?;
    if engine.role == decision.role || engine.listed != ServingState::Serving {
        return None;
    }
    let (name, role) = (engine.name.clone(), decision.role);
    let text = format!("starting change of {name} to role {}", role.name());
    out.push(log_event(log::Level::Info, "change.begun", text));
    Some(Change::new(&name, role, Commitment::Revocable, now))
}

fn engine_view(core: &Core, key: crate::core::key::BackendKey, engine: &Backend) -> Engine {
    let nominal = core.fleet.pool(&engine.pool).map_or(1.0, |pool| {
        core.fleet.pools[usize::from(pool.0)].settings.prefill_rate
    });
    let speed = if engine.pace > 0.0 {
        1.0 / (engine.pace * nominal)
    } else {
        1.0
    };
    let reported = engine.report.as_ref().map_or(0, |(_, one)| one.running);
    Engine {
        key,
        domain: engine.domain.clone(),
        role: engine.role,
        serving: engine.is_available(core.now),
        streams: engine.streams.max(reported),
        speed,
    }
}

impl Change {
    fn new(engine: &str, role: Role, bound: Commitment, now: Time) -> Self {
        Self {
            engine: engine.into(),
            role,
            step: Step::Drain,
            commitment: bound,
            since: now,
            free_since: None,
            tries: 0,
            failed_order: 0,
            resend_at: now,
        }
    }

    fn with_step(mut self, step: Step) -> Self {
        self.step = step;
        self
    }
}

/// Advances a change as far as possible now; `None` once it is finished.
fn advance(core: &mut Core, pool: PoolKey, change: Change, out: &mut Effects) -> Option<Change> {
    // An engine that is no longer listed needs no change; a recorded order is taken up again if the
    // engine is listed again.
    core.fleet.find(&change.engine)?;
    match change.step {
        Step::Drain => Some(await_drain(core, pool, change, out)),
        Step::Record => Some(record_order(core, pool, change, out)),
        Step::Order => Some(send_order(core, pool, change, out)),
        Step::Sent => Some(change),
        Step::AwaitReport(at) => Some(await_report(core, pool, change, at)),
        Step::DeleteRecord(role) => Some(delete_record(core, pool, change, role, out)),
        Step::Restore(role) => {
            let wanted = EngineState {
                standing: ServingState::Serving,
                role,
            };
            let stored = core.orders.pool(pool).holder.route.as_ref();
            let done =
                stored.is_some_and(|(route, _)| route.engine_state(&change.engine) == wanted);
            (!done).then_some(change)
        }
    }
}

/// Waits until the engine is drained, or calls the change off.
fn await_drain(core: &mut Core, pool: PoolKey, mut change: Change, out: &mut Effects) -> Change {
    let now = core.now;
    let state = core.orders.pool_mut(pool);
    let Some((route, modified)) = &state.holder.route else {
        return change;
    };
    let revision = route.revision;
    let withdrawn = route.engine_state(&change.engine).standing == ServingState::Withdrawn;
    // Only once this host's own watch shows the withdrawal has it seen every host that registered
    // before it; a host that registers later starts from the withdrawal.
    let drain_state = if !withdrawn || state.applied.modified < *modified {
        DrainState::Unconfirmed
    } else if state.applied.modified > *modified {
        // Nobody else writes it, so what was read is from before this host became the holder.
        state.holder.route = None;
        DrainState::Unconfirmed
    } else {
        drain::drain_state(core, pool, &change.engine, revision)
    };
    if drain_state != DrainState::Free {
        change.free_since = None;
        return if change.commitment == Commitment::Revocable {
            call_off(core, pool, change, drain_state, out)
        } else {
            change
        };
    }
    let free = *change.free_since.get_or_insert(now);
    let idle = drain::report(core, &change.engine).is_some_and(|(at, report)| {
        at > free.millis() && report.running == 0 && report.waiting == 0
    });
    if idle && suspect::no_suspects(core, pool) {
        return if order_in_force(core, pool, &change) {
            let role = change.role;
            change.with_step(Step::DeleteRecord(role))
        } else {
            change.with_step(Step::Record)
        };
    }
    if change.commitment == Commitment::Revocable
        && now.since(change.since) >= core.settings.limits.drain_timeout
    {
        return call_off(core, pool, change, drain_state, out);
    }
    change
}

/// Returns whether an earlier holder's order has had its intended effect.
fn order_in_force(core: &Core, pool: PoolKey, change: &Change) -> bool {
    let intents = core.orders.pool(pool).holder.intents.as_ref();
    let intent = intents.and_then(|all| all.get(&change.engine));
    let report = drain::report(core, &change.engine);
    intent
        .zip(report)
        .is_some_and(|((intent, _), (_, report))| {
            (intent.fence, intent.order) == (report.fence, report.order)
                && report.role == intent.role
                && !report.changing
        })
}

/// Calls the change off if it has taken too long or the engine is leaving.
fn call_off(
    core: &mut Core,
    pool: PoolKey,
    change: Change,
    drain_state: DrainState,
    out: &mut Effects,
) -> Change {
    let waited = core.now.since(change.since);
    let (bound, why) = match drain_state {
        DrainState::Unconfirmed => (CONFIRM_TIMEOUT, "a host did not confirm the withdrawal"),
        DrainState::Busy => (
            core.settings.limits.drain_timeout,
            "streams still ran at the end of the drain time",
        ),
        DrainState::Free => (
            core.settings.limits.drain_timeout,
            "the engine's report does not show it idle",
        ),
    };
    let leaving = core.fleet.find(&change.engine);
    let leaving = leaving.is_some_and(|key| core.fleet.arena[key].listed != ServingState::Serving);
    if waited < bound.min(core.settings.limits.drain_timeout) && !leaving {
        return change;
    }
    let why = if leaving {
        "the engine is leaving"
    } else {
        why
    };
    let text = format!("role change of {} called off: {why}", change.engine);
    out.push(log_event(log::Level::Warn, "change.called_off", text));
    let stored = core.orders.pool(pool).holder.route.as_ref();
    let role = stored.map_or(Role::Both, |(route, _)| {
        route.engine_state(&change.engine).role
    });
    change.with_step(Step::Restore(role))
}

/// Records the order as the engine's only intended order.
fn record_order(core: &mut Core, pool: PoolKey, mut change: Change, out: &mut Effects) -> Change {
    change.commitment = Commitment::Recorded;
    let state = core.orders.pool_mut(pool);
    let fence = state.authority.fence;
    let recorded = state
        .holder
        .intents
        .as_ref()
        .and_then(|all| all.get(&change.engine));
    if recorded
        .is_some_and(|(intent, _)| intent.fence == fence && intent.order > change.failed_order)
    {
        return change.with_step(Step::Order);
    }
    if state.holder.intent_call.is_some() {
        return change;
    }
    state.holder.last_order += 1;
    let intent = Intent {
        fence,
        order: state.holder.last_order,
        role: change.role,
    };
    let call = Call::Put(change.engine.clone(), intent);
    intent::write(core, pool, call, out);
    change
}

/// Sends the order, provided that the engine is still drained.
fn send_order(core: &mut Core, pool: PoolKey, mut change: Change, out: &mut Effects) -> Change {
    let now = core.now;
    let state = core.orders.pool(pool);
    let intents = state.holder.intents.as_ref();
    let Some((intent, _)) = intents.and_then(|all| all.get(&change.engine)).copied() else {
        return change.with_step(Step::Record);
    };
    if now < change.resend_at {
        return change;
    }
    let reported = drain::report(core, &change.engine);
    if reported
        .is_some_and(|(_, report)| (report.fence, report.order) == (intent.fence, intent.order))
    {
        return change.with_step(Step::AwaitReport(now));
    }
    let revision = state
        .holder
        .route
        .as_ref()
        .map_or(0, |(route, _)| route.revision);
    if !suspect::no_suspects(core, pool)
        || drain::drain_state(core, pool, &change.engine, revision) != DrainState::Free
    {
        change.free_since = None;
        return change.with_step(Step::Drain);
    }
    let Some(key) = core.fleet.find(&change.engine) else {
        return change;
    };
    let order = Order {
        engine: change.engine.clone(),
        addr: core.fleet.arena[key].addr,
        fence: intent.fence,
        number: intent.order,
        holder: core.members.name.clone(),
        action: Action::Role(change.role),
        valid_until: state.authority.valid_until,
    };
    let text = format!(
        "ordered {} to take role {} (order {}.{})",
        order.engine,
        change.role.name(),
        order.fence,
        order.number
    );
    out.push(log_event(log::Level::Info, "change.ordered", text));
    let pool_name = name(core, pool);
    out.push(Effect::Meter(Meter::OrderSent { pool: pool_name }));
    out.push(Effect::Order(order));
    core.orders.pool_mut(pool).authority.order_sent();
    change.resend_at = now.after(RESEND_INTERVAL);
    change.with_step(Step::Sent)
}

/// Handles the answer to an order.
pub(super) fn order_answered(
    core: &mut Core,
    pool: PoolKey,
    engine: &str,
    number: (u64, u64),
    result: OrderResult,
    out: &mut Effects,
) {
    let now = core.now;
    let reported = drain::report(core, engine).map(|(_, report)| report.role);
    let holder = &mut core.orders.pool_mut(pool).holder;
    let intents = holder.intents.as_ref().and_then(|all| all.get(engine));
    let current = intents.is_some_and(|(one, _)| (one.fence, one.order) == number);
    let Some(change) = holder
        .change
        .as_mut()
        .filter(|change| current && *change.engine == *engine && change.step == Step::Sent)
    else {
        return;
    };
    change.step = match result {
        OrderResult::Done => Step::AwaitReport(now),
        // The same order is sent again: an engine that has carried it out recognizes it, and for
        // one that accepts any order it means the same.
        OrderResult::Unsent | OrderResult::Unknown => Step::Order,
        OrderResult::Fenced(fence) => {
            let text = format!("{engine} refused the order: it has seen fencing number {fence}");
            out.push(log_event(log::Level::Error, "change.fenced", text));
            Step::DeleteRecord(reported.unwrap_or_default())
        }
    };
}

/// Waits until the engine's report shows the result of the order.
fn await_report(core: &Core, pool: PoolKey, mut change: Change, at: Time) -> Change {
    let Some((reported_at, report)) = drain::report(core, &change.engine) else {
        return change;
    };
    if reported_at <= at.millis() || report.changing {
        return change;
    }
    if report.role == change.role {
        return change.with_step(Step::DeleteRecord(report.role));
    }
    // The engine crashed during the change. The order was answered, so it is no longer in flight;
    // it is sent again under a new number, because an engine that kept the old one takes it for a
    // duplicate.
    change.tries += 1;
    let holder = &core.orders.pool(pool).holder;
    change.failed_order = holder.last_order;
    if change.tries < MAX_TRIES {
        return change.with_step(Step::Record);
    }
    let role = report.role;
    change.with_step(Step::DeleteRecord(role))
}

/// Deletes the record.
fn delete_record(
    core: &mut Core,
    pool: PoolKey,
    change: Change,
    role: Role,
    out: &mut Effects,
) -> Change {
    let holder = &core.orders.pool(pool).holder;
    let intents = holder.intents.as_ref();
    if intents.is_some_and(|all| !all.contains_key(&change.engine)) {
        let text = format!(
            "{} returns to service in role {}",
            change.engine,
            role.name()
        );
        out.push(log_event(log::Level::Info, "change.done", text));
        return change.with_step(Step::Restore(role));
    }
    if holder.intent_call.is_none() {
        let call = Call::Delete(change.engine.clone());
        intent::write(core, pool, call, out);
    }
    change
}
