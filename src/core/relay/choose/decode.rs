//! Cost of a placement at a decode engine, by what it does to the gaps between the events of the
//! streams that run there.

use super::super::super::Core;
use super::super::instance::Instance;
use super::super::model::ServiceModel;
use super::super::{Call, millis};
use super::Policy;
use crate::settings::relay::DecodePlacement;

/// The gaps that the streams of a service can bear, and those expected at its decode engines.
pub(super) struct DecodeCost<'a> {
    model: &'a ServiceModel,
    /// Shortest gap target of the service's streams, in milliseconds.
    shortest_target: f64,
}

impl<'a> DecodeCost<'a> {
    /// Returns the cost function for a request; `None` if the settings want the fixed costs.
    pub(super) fn of(core: &'a Core, call: &Call, policy: Policy) -> Option<Self> {
        (policy.decode_placement == DecodePlacement::Gaps).then(|| Self {
            model: core.relay.cost_model.of(&call.service),
            shortest_target: shortest_gap_target(core, call),
        })
    }

    /// Returns the time by which the streams at an engine exceed their gap target because of a
    /// prompt that it prefills in `own` milliseconds after `queue` milliseconds of other prompts,
    /// summed over the streams; 0 while no gap was measured.
    ///
    /// The part by which they exceed it without the prompt is not its cost.
    pub(super) fn prefill_cost_ms(&self, instance: &Instance, queue: f64, own: f64) -> f64 {
        let Some(gap) = self.model.event_gap_ms(instance.pace) else {
            return 0.0;
        };
        let excess = |delay: f64| (gap + delay - self.shortest_target).max(0.0);
        streams(instance) * (excess(queue + own) - excess(queue))
    }
}

/// Returns the streams that an engine is known to run.
fn streams(instance: &Instance) -> f64 {
    f64::from(instance.work().calls.min(instance.slots))
}

/// Returns the shortest gap target of the streams of a request's service, in milliseconds: which
/// routes the streams of other hosts have is not known.
fn shortest_gap_target(core: &Core, call: &Call) -> f64 {
    let catalog = core.relay.catalog.as_ref();
    let routes = catalog.into_iter().flat_map(|catalog| &catalog.routes);
    let streaming = routes.filter(|route| {
        let mut services = route.split.iter().map(|(service, _)| service);
        route.streaming && services.any(|service| *service == call.service)
    });
    let targets = streaming.map(|route| route.gap_target);
    let shortest = targets.filter(|target| !target.is_zero()).min();
    shortest.map_or(f64::INFINITY, millis)
}
