//! Which engine takes a prompt over that another one has read.

use super::super::event::{Stage, Task};
use super::super::instance::Work;
use super::super::{Call, Reads, load, parts};
use super::{
    Choice, crossing, crowded, displaced, none, policy, queued, silence, spread, takers, transfer,
};
use crate::core::Core;
use crate::core::effect::Refusal;
use crate::core::key::{BackendKey, CallKey};

/// Urgency of a request whose prompt is read: all but a step of the work is done, and behind the
/// prompts that its engine reads itself it would wait for them.
const TAKEN_OVER: u8 = 0;
/// Part of the time for the prompts that an engine reads itself by which a handed-over request waits
/// for them.
const BEHIND: f64 = 0.5;

/// Returns the milliseconds from the end of the prefill to the first token, beside the transfer;
/// `None` where no engine decodes.
pub(super) fn expected(core: &Core, call: &Call) -> Option<f64> {
    let takers = takers(core, call, Some(Stage::Decode));
    let learned = core.relay.model.of(&call.service);
    let waits = takers.iter().map(|key| {
        let instance = &core.relay.instances.arena[*key];
        learned.handover(instance.pace) + queued(instance)
    });
    waits.min_by(f64::total_cmp)
}

/// Chooses the engine that goes on from a KV cache.
pub(super) fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let Some(cache) = call.cache.clone() else {
        return Err(none(core, key));
    };
    let prompt = call.prompt.clone().unwrap_or_default();
    let engines = takers(core, call, Some(Stage::Decode));
    let engines = spread::drawn(core, key, &prompt, engines);
    let call = &core.relay.calls[key];
    let source = core.relay.instances.arena.get(cache.engine);
    let waits = source.map_or(0.0, |instance| instance.link.wait(core.now));
    let source = source.map(|instance| instance.domain.clone());
    let policy = policy(core);
    let moving = transfer(core, call, &prompt);
    let learned = core.relay.model.of(&call.service);
    let mut best: Option<(f64, Reads, f64, BackendKey)> = None;
    for backend in engines {
        let instance = &core.relay.instances.arena[backend];
        let far = source.as_ref() != Some(&instance.domain);
        let moving = if far { moving * 2.0 } else { moving };
        let link = waits.max(instance.link.wait(core.now));
        let reading = load::reading(learned, instance, instance.work().tokens) * BEHIND;
        let queue = reading + queued(instance);
        let own = learned.handover(instance.pace);
        let reads = Reads {
            before: moving + link + queue,
            moving,
            rest: own + queue,
            ..Reads::default()
        };
        let expected = own + reads.before;
        let brought = parts::missing(instance, &prompt);
        let cost =
            expected + crowded(instance) + displaced(learned, brought) + instance.failure_cost()
                - instance.limit.recheck_bonus(core.now)
                + crossing(core, call, instance, policy);
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, reads, expected, backend));
        }
    }
    let Some((_, reads, expected, backend)) = best else {
        return Err(none(core, key));
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
        expected,
        reads,
        urgency: Some(if call.late {
            TAKEN_OVER + 1
        } else {
            TAKEN_OVER
        }),
        late: call.late,
        fetch: None,
        silence: Some(silence(expected)),
    })
}
