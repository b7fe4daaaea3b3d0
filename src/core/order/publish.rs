//! What the routing state of a pool should say, and its writing.

use std::collections::BTreeMap;
use std::time::Duration;

use super::change::{Change, Step};
use super::route::{self, Place, Route};
use crate::core::fleet::{Backend, ServingState};
use crate::core::key::PoolKey;
use crate::core::{Core, Effects};

/// Time an engine must report another role than routing assumes before routing follows it.
///
/// Longer than a report is old, so that a report from before a change does not undo it.
const ODD_TIME: Duration = Duration::from_secs(3);

/// Notes which engines report another role than routing assumes, and since when.
pub(super) fn notice(core: &mut Core, pool: PoolKey) {
    let now = core.now;
    let Some((route, _)) = &core.orders.desk(pool).work.route else {
        return;
    };
    let mut odd = BTreeMap::new();
    for &key in &core.fleet.pools[usize::from(pool.0)].engines {
        let engine = &core.fleet.arena[key];
        let Some((_, report)) = &engine.report else {
            continue;
        };
        if !report.changing && report.role != route.place(&engine.name).role {
            let since = core.orders.desk(pool).work.odd.get(&engine.name);
            odd.insert(engine.name.clone(), since.copied().unwrap_or(now));
        }
    }
    core.orders.desk_mut(pool).work.odd = odd;
}

/// Writes the routing state where it is not what it should be.
pub(super) fn publish(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let work = &core.orders.desk(pool).work;
    let Some((route, _)) = &work.route else {
        return;
    };
    let engines = wanted(core, pool, route);
    if engines == route.engines || work.route_call.is_some() || core.now < work.next {
        return;
    }
    let route = Route {
        revision: route.revision + 1,
        engines,
    };
    route::write(core, pool, route, out);
}

/// Returns the routing state as it should be.
fn wanted(core: &Core, pool: PoolKey, route: &Route) -> BTreeMap<Box<str>, Place> {
    let work = &core.orders.desk(pool).work;
    let mut engines = route.engines.clone();
    // What the list no longer names is forgotten, but for engines with a recorded order.
    let recorded = |name: &str| {
        work.intents
            .as_ref()
            .is_some_and(|all| all.contains_key(name))
    };
    engines.retain(|name, _| recorded(name) || core.fleet.find(name).is_some());
    for &key in &core.fleet.pools[usize::from(pool.0)].engines {
        let engine = &core.fleet.arena[key];
        let mut place = route.place(&engine.name);
        place.standing = ServingState::Serving;
        let change = work.change.as_ref();
        match change.filter(|change| change.engine == engine.name) {
            Some(Change {
                step: Step::Restore(role),
                ..
            }) => place.role = *role,
            Some(_) => place.standing = ServingState::Withdrawn,
            None if recorded(&engine.name) => place.standing = ServingState::Withdrawn,
            None => follow(core, pool, engine, &mut place),
        }
        if place == Place::default() {
            engines.remove(&engine.name);
        } else {
            engines.insert(engine.name.clone(), place);
        }
    }
    engines
}

/// Lets routing follow an engine that has long reported another role: it restarted.
fn follow(core: &Core, pool: PoolKey, engine: &Backend, place: &mut Place) {
    let odd = &core.orders.desk(pool).work.odd;
    let long = odd
        .get(&engine.name)
        .is_some_and(|since| core.now.since(*since) >= ODD_TIME);
    if let Some((_, report)) = engine.report.as_ref().filter(|_| long) {
        place.role = report.role;
    }
}
