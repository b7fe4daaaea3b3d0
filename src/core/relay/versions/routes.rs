//! The services that a route has led to, each of which may have a version of its own.

use std::collections::{BTreeMap, BTreeSet};

use super::super::catalog::{Catalog, Route};
use super::{RETENTION, record_stream};
use crate::core::key::CallKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Host name and path prefix of a route.
type RouteKey = (Box<str>, Box<str>);

/// Services that routes have led to within [`RETENTION`], besides those of the current configuration.
#[derive(Debug, Default)]
pub struct FormerServices {
    /// By route and service, when the configuration last led there.
    routes: BTreeMap<RouteKey, BTreeMap<Box<str>, Time>>,
}

impl FormerServices {
    /// Drops the services that were left [`RETENTION`] ago.
    pub fn drop_expired(&mut self, now: Time) {
        for services in self.routes.values_mut() {
            services.retain(|_, at| now.since(*at) < RETENTION);
        }
        self.routes.retain(|_, services| !services.is_empty());
    }

    fn insert(&mut self, route: &Route, former: &Route, now: Time) {
        let current = services(route);
        let mut left = services(former);
        left.retain(|service| !current.contains(service));
        if !left.is_empty() {
            let known = self.routes.entry(key(route)).or_default();
            known.extend(left.into_iter().map(|service| (service.into(), now)));
        }
    }
}

fn key(route: &Route) -> RouteKey {
    (route.host.clone(), route.prefix.clone())
}

/// Returns the services that a route leads to.
fn services(route: &Route) -> BTreeSet<&str> {
    let split = route.split.iter();
    let used = split.filter(|(_, weight)| *weight > 0);
    used.map(|(service, _)| &**service).collect()
}

/// Handles a change of the configuration: remembers the services that routes no longer lead to, and records the streams
/// under way whose route now leads to several.
pub fn changed(core: &mut Core, before: Option<&Catalog>, out: &mut Effects) {
    let (Some(before), Some(catalog)) = (before, &core.relay.catalog) else {
        return;
    };
    let (now, former) = (core.now, &mut core.relay.versions.former);
    let old: BTreeMap<RouteKey, &Route> = before.routes.iter().map(|old| (key(old), old)).collect();
    let new: BTreeMap<RouteKey, &Route> =
        catalog.routes.iter().map(|new| (key(new), new)).collect();
    for (key, route) in new.iter().filter(|(_, route)| route.resumable) {
        // A new route may take over a part of another one's paths.
        let replaced = old.get(key).copied();
        let replaced = replaced.or_else(|| before.route(&route.host, &route.prefix));
        if let Some(replaced) = replaced {
            former.insert(route, replaced, now);
        }
    }
    for (_, route) in old.iter().filter(|(key, _)| !new.contains_key(*key)) {
        if let Some(heir) = catalog.route(&route.host, &route.prefix) {
            former.insert(heir, route, now);
        }
    }
    let calls = core.relay.calls.iter();
    let begun = calls.filter(|(_, call)| call.version.is_some() && call.route.resumable);
    let begun: Vec<CallKey> = begun.map(|(key, _)| key).collect();
    for key in begun {
        let call = &core.relay.calls[key];
        if !is_only_service(core, &call.route, &call.path, &call.service) {
            record_stream(core, key, out);
        }
    }
}

/// Whether the configuration has led requests on a route's path to this service alone within [`RETENTION`], as far as this
/// host knows.
pub fn is_only_service(core: &Core, route: &Route, path: &str, service: &str) -> bool {
    let catalog = core.relay.catalog.as_ref();
    let Some(current) = catalog.and_then(|catalog| catalog.route(&route.host, path)) else {
        return false;
    };
    let former = core.relay.versions.former.routes.get(&key(current));
    let mut left = former.into_iter().flatten();
    let has_left = left.any(|(other, at)| **other != *service && core.now.since(*at) < RETENTION);
    !has_left && services(current).into_iter().eq([service])
}
