//! Selection of the decode engine for a prompt that another engine has prefilled.

use super::super::event::{Stage, Task};
use super::super::instance::Work;
use super::super::{Call, PrefillEstimate, load, prefix_cache};
use super::decode::{self, DecodeCost};
use super::{
    Choice, batching_delay_ms, crossing_cost_ms, eligible_servers, eviction_cost_ms, no_server,
    policy, sampling, silence_timeout, slot_wait_ms, transfer_ms,
};
use crate::core::Core;
use crate::core::effect::Refusal;
use crate::core::key::{BackendKey, CallKey};

/// Urgency of a handed-over request: nearly all of its work is done, and it must not queue behind
/// the prompts that the decode engine prefills itself.
const HANDOVER_URGENCY: u8 = 0;
/// Fraction of an engine's own queued prefill time that a handed-over request waits.
const PREFILL_WAIT_FRACTION: f64 = 0.5;

/// Returns the expected time from the end of the prefill to the first token, without the transfer;
/// `None` if there is no decode engine.
pub(super) fn expected_ms(
    core: &Core,
    call: &Call,
    decode: Option<&DecodeCost<'_>>,
) -> Option<f64> {
    let eligible = eligible_servers(core, call, Some(Stage::Decode));
    let model = core.relay.cost_model.of(&call.service);
    let times = eligible.iter().map(|key| {
        let instance = &core.relay.instances.arena[*key];
        model.handover_ms(instance.pace) + slot_wait_ms(instance, decode)
    });
    times.min_by(f64::total_cmp)
}

/// Chooses the engine that decodes from the request's KV cache.
pub(super) fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let Some(cache) = call.cache.clone() else {
        return Err(no_server(core, key));
    };
    let prompt = call.prompt.clone().unwrap_or_default();
    let policy = policy(core);
    let mut engines = eligible_servers(core, call, Some(Stage::Decode));
    decode::retain_with_room(core, call, &prompt, policy, &mut engines);
    let engines = sampling::sample(core, key, &prompt, engines);
    let call = &core.relay.calls[key];
    let source = core.relay.instances.arena.get(cache.engine);
    let source_wait = source.map_or(0.0, |instance| instance.link.wait_ms(core.now));
    let source = source.map(|instance| instance.domain.clone());
    let transfer = transfer_ms(core, call, &prompt);
    let model = core.relay.cost_model.of(&call.service);
    let decode = DecodeCost::of(core, call, policy);
    let context = decode::context_tokens(core, call, &prompt, policy);
    let mut best: Option<(f64, PrefillEstimate, f64, BackendKey)> = None;
    for backend in engines {
        let instance = &core.relay.instances.arena[backend];
        let cross_domain = source.as_ref() != Some(&instance.domain);
        let transfer = if cross_domain {
            transfer * 2.0
        } else {
            transfer
        };
        let link_wait = source_wait.max(instance.link.wait_ms(core.now));
        let prefill_wait =
            load::prefill_ms(model, instance, instance.work().tokens) * PREFILL_WAIT_FRACTION;
        let queue = prefill_wait + slot_wait_ms(instance, decode.as_ref());
        let own = model.handover_ms(instance.pace);
        let prefill = PrefillEstimate {
            delay_ms: transfer + link_wait + queue,
            transfer_ms: transfer,
            overhead_ms: own + queue,
            ..PrefillEstimate::default()
        };
        let expected = own + prefill.delay_ms;
        let copied = prefix_cache::missing_tokens(instance, &prompt);
        let gaps = decode
            .as_ref()
            .and_then(|cost| cost.gap_cost_ms(instance, context));
        let cost = expected
            + gaps.unwrap_or_else(|| batching_delay_ms(instance))
            + eviction_cost_ms(model, copied)
            + instance.failure_cost(core.now)
            - instance.limit.recheck_bonus(core.now)
            + crossing_cost_ms(core, call, instance, policy);
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, prefill, expected, backend));
        }
    }
    let Some((_, prefill, expected, backend)) = best else {
        return Err(no_server(core, key));
    };
    let call = &core.relay.calls[key];
    Ok(Choice {
        backend,
        task: Task::Decode {
            from: cache.addr,
            handle: cache.handle,
        },
        work: Work {
            calls: 1,
            context,
            ..Work::default()
        },
        expected_ms: expected,
        prefill,
        urgency: Some(if call.is_late {
            HANDOVER_URGENCY + 1
        } else {
            HANDOVER_URGENCY
        }),
        is_late: call.is_late,
        fetch: None,
        silence_timeout: Some(silence_timeout(expected)),
        outlook: None,
    })
}
