//! Cost of a placement at a decode engine, by what it does to the gaps between the events of the
//! streams that run there.

use super::super::super::Core;
use super::super::event::Prompt;
use super::super::instance::{Instance, Work};
use super::super::model::ServiceModel;
use super::super::{Call, load, millis};
use super::Policy;
use crate::core::key::BackendKey;
use crate::settings::relay::DecodePlacement;

/// The gaps that the streams of a service can bear, and those expected at its decode engines.
pub(super) struct DecodeCost<'a> {
    model: &'a ServiceModel,
    /// Gap target of the request, in milliseconds.
    own_target: f64,
    /// Shortest gap target of the service's streams, in milliseconds.
    shortest_target: f64,
}

impl<'a> DecodeCost<'a> {
    /// Returns the cost function for a request; `None` if the settings want the fixed costs.
    pub(super) fn of(core: &'a Core, call: &Call, policy: Policy) -> Option<Self> {
        let own = call.route.gap_target;
        (policy.decode_placement == DecodePlacement::Gaps).then(|| Self {
            model: core.relay.cost_model.of(&call.service),
            own_target: if own.is_zero() {
                f64::INFINITY
            } else {
                millis(own)
            },
            shortest_target: shortest_gap_target(core, call),
        })
    }

    /// Returns the cost of the gaps at an engine that also runs a request with so many context
    /// tokens; `None` while no gap was measured.
    ///
    /// It consists of the request's own gap, the time by which that exceeds its target, and the
    /// same for each running stream as far as the request lengthens its gap.
    pub(super) fn gap_cost_ms(&self, instance: &Instance, context: u64) -> Option<f64> {
        let before = self.gap_ms(instance, Work::default())?;
        let after = self.gap_with_ms(instance, context)?;
        let excess = |gap: f64| (gap - self.shortest_target).max(0.0);
        let others = streams(instance) * (excess(after) - excess(before));
        Some(after + (after - self.own_target).max(0.0) + others)
    }

    /// Returns the lowest such cost of a request at any of the engines; 0 while no gap was measured.
    pub(super) fn least_gap_cost_ms(
        &self,
        core: &Core,
        engines: &[BackendKey],
        prompt: &Prompt,
        policy: Policy,
    ) -> f64 {
        let context = context_tokens(prompt, policy);
        let engines = engines.iter().map(|key| &core.relay.instances.arena[*key]);
        let costs = engines.filter_map(|instance| self.gap_cost_ms(instance, context));
        costs.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Returns the time by which the streams at an engine exceed their gap target because of a
    /// prompt with so many context tokens that it prefills in `own` milliseconds after `queue`
    /// milliseconds of other prompts, summed over the streams; 0 while no gap was measured.
    ///
    /// The part by which they exceed it without the prompt is not its cost.
    pub(super) fn prefill_cost_ms(
        &self,
        instance: &Instance,
        context: u64,
        queue: f64,
        own: f64,
    ) -> f64 {
        let Some(gap) = self.gap_with_ms(instance, context) else {
            return 0.0;
        };
        let excess = |delay: f64| (gap + delay - self.shortest_target).max(0.0);
        streams(instance) * (excess(queue + own) - excess(queue))
    }

    /// Returns the gap expected at an engine that also runs a request with so many context tokens.
    fn gap_with_ms(&self, instance: &Instance, context: u64) -> Option<f64> {
        let request = Work {
            calls: 1,
            context,
            ..Work::default()
        };
        self.gap_ms(instance, request)
    }

    /// Returns the gap expected at an engine with its known and so much additional work.
    fn gap_ms(&self, instance: &Instance, added: Work) -> Option<f64> {
        let load = load::gap_load(instance, instance.work().plus(added));
        self.model.loaded_gap_ms(instance.pace, load)
    }
}

/// Returns the context tokens that a request is counted with at its decode engine: its prompt and,
/// as the mean over its run, half of the expected output. A count that grew with each event would
/// change every load report.
pub(super) fn context_tokens(prompt: &Prompt, policy: Policy) -> u64 {
    match policy.decode_placement {
        DecodePlacement::Gaps => {
            let output = prompt.output_hint.unwrap_or(prompt.max_output);
            prompt.tokens + output.min(prompt.max_output) / 2
        }
        DecodePlacement::Fixed => 0,
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
