//! Cost of a placement at a decode engine, by what it does to the gaps between the events of the
//! streams that run there.

use super::super::super::Core;
use super::super::event::{Prompt, Stage};
use super::super::instance::{Instance, Work};
use super::super::model::ServiceModel;
use super::super::{Call, load, millis};
use super::{Policy, engine_spec, sampling};
use crate::core::key::BackendKey;
use crate::settings::relay::DecodePlacement;

/// The gaps that the streams of a service can bear, and those expected at its decode engines.
pub(super) struct DecodeCost<'a> {
    model: &'a ServiceModel,
    /// Gap target of the request, in milliseconds.
    own_target: f64,
    /// Shortest gap target of the service's streams, in milliseconds.
    shortest_target: f64,
    /// Requests of other hosts that are not reported yet, for each slot of a decode engine.
    unreported_per_slot: f64,
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
            unreported_per_slot: unreported_per_slot(core, call),
        })
    }

    /// Returns the cost of the gaps at an engine that also runs a request with so many context
    /// tokens: its own gap and what exceeds its target, and what it adds beyond the targets of the
    /// running streams; `None` while no gap was measured.
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
        context: u64,
    ) -> f64 {
        let engines = engines.iter().map(|key| &core.relay.instances.arena[*key]);
        let costs = engines.filter_map(|instance| self.gap_cost_ms(instance, context));
        costs.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Returns the time that a prompt adds to what the streams at an engine exceed their gap target
    /// by, summed over the streams: it is prefilled in `own` milliseconds after `queue` milliseconds
    /// of other prompts. The result is 0 while no gap was measured.
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

    /// Returns the expected wait for a slot of an engine; `None` while the duration of runs is not
    /// known.
    pub(super) fn slot_wait_ms(&self, instance: &Instance) -> Option<f64> {
        let run = self.model.run_ms(instance.pace)?;
        let slots = f64::from(instance.slots);
        let unreported = self.unreported_per_slot * slots;
        let ahead = expected_ahead(instance.work().calls, instance.slots, unreported);
        // One of the slots becomes free each time that this fraction of a run has passed.
        Some(ahead * run / slots)
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
///
/// Callers may state any numbers. No request takes more than the engine's KV cache, and one that
/// counted for more would keep the engine from all others while it runs.
pub(super) fn context_tokens(core: &Core, call: &Call, prompt: &Prompt, policy: Policy) -> u64 {
    if policy.decode_placement == DecodePlacement::Fixed {
        return 0;
    }
    let output = prompt.output_hint.unwrap_or(prompt.max_output);
    let output = output.min(prompt.max_output) / 2;
    let capacity = engine_spec(core, call).map_or(0, |engine| engine.kv_capacity);
    let capacity = if capacity == 0 { MAX_CONTEXT } else { capacity };
    prompt.tokens.saturating_add(output).min(capacity)
}

/// Largest number of context tokens of a request where the configuration names no KV cache.
const MAX_CONTEXT: u64 = 1 << 20;

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

/// Drops the engines whose KV cache the context tokens of the known requests and of this one exceed,
/// as long as another engine has room: an engine without room preempts a request, and prefills it
/// again later.
pub(super) fn retain_with_room(
    core: &Core,
    call: &Call,
    prompt: &Prompt,
    policy: Policy,
    engines: &mut Vec<BackendKey>,
) {
    let capacity = engine_spec(core, call).map_or(0, |engine| engine.kv_capacity);
    if policy.decode_placement == DecodePlacement::Fixed || capacity == 0 {
        return;
    }
    let own = context_tokens(core, call, prompt, policy);
    let has_room = |key: &BackendKey| {
        let context = core.relay.instances.arena[*key].work().context;
        context.saturating_add(own) <= capacity
    };
    if engines.iter().any(has_room) {
        engines.retain(has_room);
    }
}

/// Returns the requests of other hosts that are not reported yet, for each slot of the decode engines
/// of a request's service.
fn unreported_per_slot(core: &Core, call: &Call) -> f64 {
    let all = core.relay.instances.of(&call.service).iter();
    let all = all.map(|key| &core.relay.instances.arena[*key]);
    let decode = all.filter(|instance| {
        instance.stage == Some(Stage::Decode) && instance.is_available(core.now)
    });
    let slots: u32 = decode.map(|instance| instance.slots).sum();
    if slots == 0 {
        return 0.0;
    }
    sampling::unreported_requests(core, call) / f64::from(slots)
}

/// Free slots up to which the expected wait is computed.
const MAX_FREE_SLOTS: u32 = 1024;

/// Returns how many requests must end before the next one gets a slot, on average, if `unreported`
/// requests are expected in addition to the known ones, each independently of the others.
fn expected_ahead(known: u32, slots: u32, unreported: f64) -> f64 {
    let taken = f64::from(known) + 1.0 + unreported - f64::from(slots);
    if known >= slots {
        return taken;
    }
    // Where fewer arrive than there are free slots (by a Poisson distribution), none waits.
    let free = slots - known - 1;
    // With so many free slots none waits: the entry of a server may name any number.
    if free > MAX_FREE_SLOTS {
        return 0.0;
    }
    let mut probability = (-unreported).exp();
    let mut unused = 0.0;
    for count in 0..=free {
        unused += f64::from(free - count) * probability;
        probability *= unreported / f64::from(count + 1);
    }
    (taken + unused).max(0.0)
}

#[cfg(test)]
mod tests {
    use super::expected_ahead;

    /// Guards against a wait that jumps at the last slot, and against one for requests that are
    /// hardly to be expected.
    #[test]
    fn the_wait_for_a_slot_grows_with_known_and_expected_requests() {
        let close = |one: f64, two: f64| (one - two).abs() < 1e-6;
        for (known, unreported, ahead) in [
            (0, 0.0, 0.0),
            (11, 0.0, 0.0),
            (12, 0.0, 1.0),
            (20, 3.0, 12.0),
            (11, 1.5, 1.5),
            (10, 1.0, (-1.0_f64).exp()),
        ] {
            let expected = expected_ahead(known, 12, unreported);
            assert!(close(expected, ahead), "{known} {unreported}: {expected}");
        }
        assert!(expected_ahead(2, 12, 1.0) < 1e-4);
        let waits: Vec<f64> = (0..30)
            .map(|known| expected_ahead(known, 12, 2.0))
            .collect();
        assert!(waits.is_sorted(), "{waits:?}");
        assert!(close(expected_ahead(0, 12, 2000.0), 1989.0));
    }
}
