//! Whether a customer's request is admitted while its service is short.

use std::time::Duration;

use rand::RngExt;

use super::super::choose::Choice;
use super::super::instance::short_hash;
use super::super::{Call, from_millis, millis};
use super::window::{EngineTime, WINDOW};
use super::{begin_shortage, customer, is_enabled};
use crate::core::effect::{Effect, Meter, Refusal};
use crate::core::key::CallKey;
use crate::core::{Core, Effects};
use crate::error::Kind;

/// Time after the start from which on a host refuses by its own counts alone.
const START_DELAY: Duration = Duration::from_secs(1);
/// Bounds of the time over which the refused callers of a customer return: their next requests must not arrive
/// together, and a caller must not wait long after the end of a shortage.
const RETURN_SPREAD: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Whether a request was sent to no server yet, and begins no later than with its first event.
fn is_new(call: &Call) -> bool {
    let is_unsent = call.runs == 0 && call.arrivals == 0 && call.prefills == 0;
    is_unsent && !call.delivered && call.last_event.is_none() && call.version.is_none()
}

/// Checks whether the customer of a new request has some of its share left; a request that was sent before is admitted.
///
/// # Errors
///
/// Returns the refusal if it has none.
pub(in super::super) fn admit(
    core: &mut Core,
    key: CallKey,
    out: &mut Effects,
) -> Result<(), Refusal> {
    let now = core.now;
    let call = &core.relay.calls[key];
    if !is_enabled(core) || !is_new(call) || !knows_usage(core) {
        return Ok(());
    }
    let (customer, rank) = customer(call);
    let shares = &core.relay.shares;
    let Some(service) = shares.services.get(&short_hash(&call.service)) else {
        return Ok(());
    };
    let shortage = service.shortage.as_ref();
    let shortage = shortage.filter(|shortage| !shortage.is_over(now));
    let Some(division) = shortage.and_then(|shortage| shortage.division) else {
        return Ok(());
    };
    let share = division.share(rank);
    let usage = service.usage(customer, now);
    if !division.is_over(rank, usage.used) {
        return Ok(());
    }
    let class = call.route.name.clone();
    record_unmet(core, key);
    let service = core.relay.calls[key].service.clone();
    if let Some(shortage) = &mut core.relay.shares.service(&service).shortage {
        shortage.refused += 1;
        shortage.record_overload(now);
    }
    out.push(Effect::Meter(Meter::OverShare { class }));
    let detail = format!(
        "{service} is short; the customer used {:.0} ms of its engine time in {} s, and its share is {share:.0} ms",
        usage.used,
        WINDOW.as_secs(),
    );
    let (room, spread) = return_times(usage, share);
    let retry = room + spread.mul_f64(core.rng.random());
    Err(Refusal::new(Kind::OverShare, detail).with_retry_after(retry))
}

/// Whether this host knows how much customers have used lately: from another host, or by counting itself.
fn knows_usage(core: &Core) -> bool {
    let shares = &core.relay.shares;
    let counts = |started| core.now.since(started) >= START_DELAY;
    shares.exchange.receives_reports(core.now) || shares.started.is_none_or(counts)
}

/// Returns the time after which a share has room again, and the time over which the refused callers should return then.
///
/// Usage leaves the window evenly, so the excess is gone after its part of the window. What was refused in a window
/// takes as many windows as it is shares.
fn return_times(usage: EngineTime, share: f64) -> (Duration, Duration) {
    let window = millis(WINDOW);
    let excess = (usage.used - share) / usage.used.max(f64::MIN_POSITIVE);
    let room = from_millis(window * excess);
    let spread = Duration::try_from_secs_f64(window * usage.unmet / share / 1000.0);
    let spread = spread.unwrap_or(RETURN_SPREAD.1);
    (room, spread.clamp(RETURN_SPREAD.0, RETURN_SPREAD.1))
}

/// Records where a new request was placed: one that is late makes its service short.
pub(in super::super) fn placed(core: &mut Core, key: CallKey, choice: &Choice, out: &mut Effects) {
    if choice.is_late && is_enabled(core) && is_new(&core.relay.calls[key]) {
        record_overload(core, key, out);
    }
}

/// Records the refusal of a new request for want of engines, which makes its service short.
pub(in super::super) fn refused(
    core: &mut Core,
    key: CallKey,
    refusal: &Refusal,
    out: &mut Effects,
) {
    // Servers whose queues are all full count as none that takes work.
    let lacks_engines = matches!(refusal.kind, Kind::Overloaded | Kind::NoEngine);
    if lacks_engines && is_enabled(core) && is_new(&core.relay.calls[key]) {
        record_unmet(core, key);
        record_overload(core, key, out);
    }
}

/// Counts the engine time that a refused request would have taken, by the means of its service.
fn record_unmet(core: &mut Core, key: CallKey) {
    let call = &core.relay.calls[key];
    let (customer, rank) = customer(call);
    let model = core.relay.cost_model.of(&call.service);
    let whole = call.prompt.as_ref().map_or(0.0, |prompt| {
        model.average_prefill_ms(model.equivalent_tokens(prompt.tokens, 0))
    });
    let service = core.relay.shares.service(&call.service);
    let unmet = whole * service.uncached_fraction + service.slot_ms;
    let time = EngineTime { used: 0.0, unmet };
    service.own.record(customer, rank, time, core.now);
}

fn record_overload(core: &mut Core, key: CallKey, out: &mut Effects) {
    let now = core.now;
    let name = core.relay.calls[key].service.clone();
    match &mut core.relay.shares.service(&name).shortage {
        Some(shortage) => shortage.record_overload(now),
        None => begin_shortage(core, short_hash(&name), now, out),
    }
}
