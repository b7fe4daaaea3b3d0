//! Which engine takes a prompt over that another one has read.

use super::super::event::{Stage, Task};
use super::super::instance::Work;
use super::super::{Call, PrefillEstimate, load, prefix_cache};
use super::{
    Choice, batching_delay_ms, crossing_cost_ms, eligible_servers, eviction_cost_ms, no_server,
    policy, sampling, silence_timeout, slot_wait_ms, transfer_ms,
};
use crate::core::Core;
use crate::core::effect::Refusal;
use crate::core::key::{BackendKey, CallKey};

/// Urgency of a request whose prompt is read: all but a step of the work is done, and behind the
/// prompts that its engine reads itself it would wait for them.
const HANDOVER_URGENCY: u8 = 0;
/// Part of the time for the prompts that an engine reads itself by which a handed-over request waits
/// for them.
const PREFILL_WAIT_FRACTION: f64 = 0.5;

/// Returns the milliseconds from the end of the prefill to the first token, beside the transfer;
/// `None` where no engine decodes.
pub(super) fn expected_ms(core: &Core, call: &Call) -> Option<f64> {
    let takers = eligible_servers(core, call, Some(Stage::Decode));
    let learned = core.relay.model.of(&call.service);
    let waits = takers.iter().map(|key| {
        let instance = &core.relay.instances.arena[*key];
        learned.handover_ms(instance.pace) + slot_wait_ms(instance)
    });
    waits.min_by(f64::total_cmp)
}

/// Chooses the engine that goes on from a KV cache.
pub(super) fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let Some(cache) = call.cache.clone() else {
        return Err(no_server(core, key));
    };
    let prompt = call.prompt.clone().unwrap_or_default();
    let engines = eligible_servers(core, call, Some(Stage::Decode));
    let engines = sampling::sample(core, key, &prompt, engines);
    let call = &core.relay.calls[key];
    let source = core.relay.instances.arena.get(cache.engine);
    let waits = source.map_or(0.0, |instance| instance.link.wait_ms(core.now));
    let source = source.map(|instance| instance.domain.clone());
    let policy = policy(core);
    let moving = transfer_ms(core, call, &prompt);
    let learned = core.relay.model.of(&call.service);
    let mut best: Option<(f64, PrefillEstimate, f64, BackendKey)> = None;
    for backend in engines {
        let instance = &core.relay.instances.arena[backend];
        let far = source.as_ref() != Some(&instance.domain);
        let moving = if far { moving * 2.0 } else { moving };
        let link = waits.max(instance.link.wait_ms(core.now));
        let reading =
            load::prefill_ms(learned, instance, instance.work().tokens) * PREFILL_WAIT_FRACTION;
        let queue = reading + slot_wait_ms(instance);
        let own = learned.handover_ms(instance.pace);
        let reads = PrefillEstimate {
            delay_ms: moving + link + queue,
            transfer_ms: moving,
            overhead_ms: own + queue,
            ..PrefillEstimate::default()
        };
        let expected = own + reads.delay_ms;
        let brought = prefix_cache::missing_tokens(instance, &prompt);
        let cost =
            expected
            + batching_delay_ms(instance)
            + eviction_cost_ms(learned, brought)
            + instance.failure_cost()
                - instance.limit.recheck_bonus(core.now)
                + crossing_cost_ms(core, call, instance, policy);
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, reads, expected, backend));
        }
    }
    let Some((_, reads, expected, backend)) = best else {
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
            ..Work::default()
        },
        expected_ms: expected,
        prefill: reads,
        urgency: Some(if call.is_late {
            HANDOVER_URGENCY + 1
        } else {
            HANDOVER_URGENCY
        }),
        is_late: call.is_late,
        fetch: None,
        silence_timeout: Some(silence_timeout(expected)),
    })
}
