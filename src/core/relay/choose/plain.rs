//! Which server of a plain service a request goes to.

use rand::RngExt;

use super::super::call::come_back;
use super::super::event::Task;
use super::super::instance::Work;
use super::super::{Reads, Repeat, load, millis, span};
use super::{Choice, HOPE, none, takers};
use crate::core::Core;
use crate::core::effect::Refusal;
use crate::core::key::{BackendKey, CallKey};
use crate::error::Kind;

/// Requests that wait at a plain server for each it runs, from which on it sheds.
const QUEUE: u32 = 3;

/// Chooses for a plain service: the one expected to answer first.
pub(super) fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let takers = takers(core, call, None);
    let domain = core.settings.host.domain.clone();
    let mut best: Option<(f64, f64, BackendKey)> = None;
    for backend in takers {
        let instance = &core.relay.instances.arena[backend];
        let calls = instance.work().calls;
        if calls >= instance.slots * (1 + QUEUE) {
            continue;
        }
        let ahead = f64::from(calls) / f64::from(instance.slots);
        let expected = load::latency(instance) * (1.0 + (ahead - 0.5).max(0.0));
        let crossing = if instance.domain == domain { 0.0 } else { 2.0 };
        let noise: f64 = core.rng.random_range(0.9..1.1);
        let cost = expected * (1.0 + ahead * 0.3) * noise + crossing + instance.failure_cost()
            - instance.limit.recheck_bonus(core.now);
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, expected, backend));
        }
    }
    let Some((_, expected, backend)) = best else {
        return Err(none(core, key));
    };
    let call = &core.relay.calls[key];
    if expected > millis(call.end.since(core.now)) * HOPE {
        let detail = format!("an answer would take {expected:.0} ms");
        let retry = come_back(core, expected / 2.0);
        return Err(Refusal::new(Kind::Overloaded, detail).retry(retry));
    }
    let silence = (call.route.repeat == Repeat::Idempotent)
        .then(|| call.route.target.max(span(expected * 3.0)));
    Ok(Choice {
        backend,
        task: Task::Whole,
        work: Work {
            calls: 1,
            ..Work::default()
        },
        expected,
        reads: Reads::default(),
        urgency: None,
        late: false,
        fetch: None,
        silence,
    })
}
