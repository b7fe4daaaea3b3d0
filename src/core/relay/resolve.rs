//! Route, service and customer of a request.

use rand::RngExt;

use super::super::Core;
use super::super::effect::Refusal;
use super::catalog::{Catalog, Route};
use super::customers::{self, Denial, Identity, ViewAge};
use super::ending::RETRY_AFTER;
use super::event::Arrival;
use crate::error::Kind;

/// Returns the route and the service of a request, and on whose behalf it runs.
pub(super) fn resolve(
    core: &mut Core,
    arrival: &Arrival,
) -> Result<(Route, Box<str>, Identity), Refusal> {
    let Some(catalog) = &core.relay.catalog else {
        let detail = "this host has no configuration yet";
        return Err(Refusal::new(Kind::CutOff, detail).with_retry_after(RETRY_AFTER));
    };
    let Some(route) = catalog.route(&arrival.host, &arrival.path) else {
        if !core.relay.view.is_fresh(core.now) {
            let detail = "no known route, and the configuration may have changed";
            return Err(Refusal::new(Kind::CutOff, detail).with_retry_after(RETRY_AFTER));
        }
        return Err(Refusal::new(Kind::NotFound, "no route for this path"));
    };
    let customers = catalog.customers.as_deref();
    let identity = customers::identify(customers, route.access, arrival.credential, view_age(core))
        .map_err(denied)?;
    let route = route.clone();
    let draw = core.rng.random::<f64>();
    match Catalog::pick_service(&route, draw) {
        Some(service) => {
            let service = service.into();
            Ok((route, service, identity))
        }
        None => Err(Refusal::new(Kind::NoEngine, "the route leads nowhere")),
    }
}

fn view_age(core: &Core) -> ViewAge {
    let view = &core.relay.view;
    let relay = core.settings.relay.as_ref();
    ViewAge {
        is_fresh: view.is_fresh(core.now),
        age: view.fresh_at().map(|at| core.now.since(at)),
        max_age: relay.and_then(|relay| relay.revocation_bound),
    }
}

/// Returns the refusal of a caller that is not admitted.
fn denied(denial: Denial) -> Refusal {
    let (kind, detail) = match denial {
        Denial::Absent => (Kind::BadKey, "the request has no key"),
        Denial::Malformed => (Kind::BadKey, "the request has no valid key"),
        Denial::Unknown => (Kind::BadKey, "no customer has this key"),
        Denial::Unconfirmed => (
            Kind::CutOff,
            "no known customer has this key, and the configuration may have changed",
        ),
        Denial::Expired => (
            Kind::CutOff,
            "keys may have been withdrawn since the configuration was last read",
        ),
    };
    let refusal = Refusal::new(kind, detail);
    match kind {
        Kind::CutOff => refusal.with_retry_after(RETRY_AFTER),
        _ => refusal,
    }
}
