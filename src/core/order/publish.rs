//! What the routing state of a pool should be, and its writing.

use std::collections::BTreeMap;
use std::time::Duration;

use super::change::{Change, Step};
use super::route::{self, EngineState, Route};
use crate::core::fleet::{Backend, ServingState};
use crate::core::key::PoolKey;
use crate::core::{Core, Effects};

/// Time for which an engine must report another role than routing assumes before routing follows
/// it.
///
/// Longer than a report is old, so that a report from before a change does not undo it.
const MISMATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Notes which engines report another role than routing assumes, and since when.
pub(super) fn note_mismatches(core: &mut Core, pool: PoolKey) {
    let now = core.now;
    let Some((route, _)) = &core.orders.pool(pool).holder.route else {
        return;
    };
    let mut mismatches = BTreeMap::new();
    for &key in &core.fleet.pools[usize::from(pool.0)].engines {
        let engine = &core.fleet.arena[key];
        let Some((_, report)) = &engine.report else {
            continue;
        };
        if !report.changing && report.role != route.engine_state(&engine.name).role {
            let since = core
                .orders
                .pool(pool)
                .holder
                .role_mismatches
                .get(&engine.name);
            mismatches.insert(engine.name.clone(), since.copied().unwrap_or(now));
        }
    }
    core.orders.pool_mut(pool).holder.role_mismatches = mismatches;
}

/// Writes the routing state if it is not what it should be.
pub(super) fn publish(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let holder = &core.orders.pool(pool).holder;
    let Some((route, _)) = &holder.route else {
        return;
    };
    let engines = wanted_engines(core, pool, route);
    if engines == route.engines || holder.route_call.is_some() || core.now < holder.next_call {
        return;
    }
    let route = Route {
        revision: route.revision + 1,
        engines,
    };
    route::write(core, pool, route, out);
}

/// Returns the engines of the routing state as they should be.
fn wanted_engines(core: &Core, pool: PoolKey, route: &Route) -> BTreeMap<Box<str>, EngineState> {
    let holder = &core.orders.pool(pool).holder;
    let mut engines = route.engines.clone();
    // Engines that are no longer listed are removed, except those with a recorded order.
    let recorded = |name: &str| {
        holder
            .intents
            .as_ref()
            .is_some_and(|all| all.contains_key(name))
    };
    engines.retain(|name, _| recorded(name) || core.fleet.find(name).is_some());
    for &key in &core.fleet.pools[usize::from(pool.0)].engines {
        let engine = &core.fleet.arena[key];
        let mut state = route.engine_state(&engine.name);
        state.standing = ServingState::Serving;
        let change = holder.change.as_ref();
        match change.filter(|change| change.engine == engine.name) {
            Some(Change {
                step: Step::Restore(role),
                ..
            }) => state.role = *role,
            Some(_) => state.standing = ServingState::Withdrawn,
            None if recorded(&engine.name) => state.standing = ServingState::Withdrawn,
            None => follow_report(core, pool, engine, &mut state),
        }
        if state == EngineState::default() {
            engines.remove(&engine.name);
        } else {
            engines.insert(engine.name.clone(), state);
        }
    }
    engines
}

/// Changes the routing role of an engine that has long reported another one: it restarted.
fn follow_report(core: &Core, pool: PoolKey, engine: &Backend, state: &mut EngineState) {
    let mismatches = &core.orders.pool(pool).holder.role_mismatches;
    let long = mismatches
        .get(&engine.name)
        .is_some_and(|since| core.now.since(*since) >= MISMATCH_TIMEOUT);
    if let Some((_, report)) = engine.report.as_ref().filter(|_| long) {
        state.role = report.role;
    }
}
