//! Selection of a server for requests to plain services, without a model.

use rand::RngExt;

use super::super::ending::retry_after;
use super::super::event::Task;
use super::super::instance::Work;
use super::super::{PrefillEstimate, RetryPolicy, from_millis, load, millis};
use super::{Choice, MAX_WAIT_FRACTION, eligible_servers, no_server};
use crate::core::Core;
use crate::core::effect::Refusal;
use crate::core::key::{BackendKey, CallKey};
use crate::error::Kind;

/// Requests that may be queued at a plain server for each of its slots.
const MAX_QUEUED_PER_SLOT: u32 = 3;

/// Chooses the server that is expected to answer first.
pub(super) fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let eligible = eligible_servers(core, call, None);
    let domain = core.settings.host.domain.clone();
    let mut best: Option<(f64, f64, BackendKey)> = None;
    let mut best_idle = best;
    for backend in eligible {
        let instance = &core.relay.instances.arena[backend];
        let calls = instance.work().calls;
        if calls >= instance.slots * (1 + MAX_QUEUED_PER_SLOT) {
            continue;
        }
        let utilization = f64::from(calls) / f64::from(instance.slots);
        let expected = load::latency_ms(instance) * (1.0 + (utilization - 0.5).max(0.0));
        let crossing = if instance.domain == domain { 0.0 } else { 2.0 };
        let noise: f64 = core.rng.random_range(0.9..1.1);
        let cost = expected * (1.0 + utilization * 0.3) * noise
            + crossing
            + instance.failure_cost(core.now)
            - instance.limit.recheck_bonus(core.now);
        let candidate = Some((cost, expected, backend));
        if best.is_none_or(|(least, ..)| cost < least) {
            best = candidate;
        }
        if calls == 0 && best_idle.is_none_or(|(least, ..)| cost < least) {
            best_idle = candidate;
        }
    }
    let call = &core.relay.calls[key];
    let max_wait = millis(call.deadline.since(core.now)) * MAX_WAIT_FRACTION;
    // Only an answer corrects the latency of a server, so an idle one gets a request however slow it was.
    let in_time = best.filter(|(_, expected, _)| *expected <= max_wait);
    let Some((_, expected, backend)) = in_time.or(best_idle).or(best) else {
        return Err(no_server(core, key));
    };
    if expected > max_wait && best_idle.is_none() {
        let detail = format!("an answer would take {expected:.0} ms");
        let retry = retry_after(core, expected / 2.0);
        return Err(Refusal::new(Kind::Overloaded, detail).with_retry_after(retry));
    }
    let silence = (call.route.retry == RetryPolicy::Idempotent)
        .then(|| call.route.target.max(from_millis(expected * 3.0)));
    Ok(Choice {
        backend,
        task: Task::Whole,
        work: Work {
            calls: 1,
            ..Work::default()
        },
        expected_ms: expected,
        prefill: PrefillEstimate::default(),
        urgency: None,
        is_late: false,
        fetch: None,
        silence_timeout: silence,
        outlook: None,
    })
}
