//! Admission of requests: a request that cannot be answered in time is refused immediately.

use std::time::Duration;

use super::effect::Refusal;
use super::event::Fingerprint;
use super::key::BackendKey;
use super::route::{self, FREE_STREAM_MARGIN, Need};
use super::{Core, load};
use crate::error::Kind;
use crate::settings::PoolSettings;

/// Fraction of the target time to the first token that the estimated time may reach.
///
/// The estimate does not include requests on their way from other hosts, so that a request admitted at the full target
/// time is often late.
const MAX_WAIT_FRACTION: f64 = 0.65;
/// The same for a request that arrives in its retry slot.
const DUE_MAX_WAIT_FRACTION: f64 = 0.9;
/// Number of retry slots, of one second each, over which refused callers are spread.
const RETRY_SLOTS: u64 = 8;
/// Number of times that a refused caller sends its request, the first included.
const ATTEMPTS_PER_REQUEST: u64 = 2;

/// Checks whether a completion is admitted.
///
/// # Errors
///
/// Returns [`Kind::NoEngine`] if no engine of the model accepts work, and [`Kind::Overloaded`] if the answer would be
/// late: a late answer is of no use to its caller and delays the next ones too.
pub fn check(core: &mut Core, need: &Need, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let Some(offer) = route::offer(core, need) else {
        return Err(Refusal::new(
            Kind::NoEngine,
            format!("no engine of {} takes work", need.model),
        ));
    };
    let Some(settings) = settings(core, need) else {
        return Ok(());
    };
    let second = core.wall_ms() / 1000;
    let (fraction, margin) = if is_due(fingerprint, second) {
        (DUE_MAX_WAIT_FRACTION, 0.0)
    } else {
        (MAX_WAIT_FRACTION, FREE_STREAM_MARGIN)
    };
    // A prompt that takes longer than the target even at an idle engine is not refused for that.
    let alone = f64::from(need.prompt) / settings.prefill_rate;
    let bound = settings.first_token.as_secs_f64().max(alone * 2.0) * fraction;
    let detail = if offer.first_token > bound {
        format!(
            "the first token would come after {:.2} s, more than the {bound:.2} s that are taken",
            offer.first_token
        )
    } else if offer.free_streams < margin || offer.token_gap > settings.token_gap.as_secs_f64() {
        "every engine generates as many answers as it can in time".into()
    } else {
        return Ok(());
    };
    if load::is_untried(core, offer.choice.prefill.unwrap_or(offer.choice.engine)) {
        return Ok(());
    }
    count_refused_demand(core, offer.choice.engine, need);
    Err(Refusal::new(Kind::Overloaded, detail).with_retry_after(retry_after(fingerprint, second)))
}

/// Whether a request arrives in its slot, or in the next one because of clock skew and network delay.
///
/// Slots let hosts without shared state honor the retry time of a refusal: a refused caller is asked to retry in the
/// slot given by its request's fingerprint, and any host then prefers it to requests outside their slots. The hosts'
/// clocks agree within a second.
fn is_due(fingerprint: Fingerprint, second: u64) -> bool {
    let slot = slot(fingerprint);
    second % RETRY_SLOTS == slot || (second + RETRY_SLOTS - 1) % RETRY_SLOTS == slot
}

/// Returns the time until a request's slot, at least a second.
fn retry_after(fingerprint: Fingerprint, second: u64) -> Duration {
    let ahead = (slot(fingerprint) + RETRY_SLOTS - second % RETRY_SLOTS) % RETRY_SLOTS;
    Duration::from_secs(if ahead == 0 { RETRY_SLOTS } else { ahead })
}

fn slot(fingerprint: Fingerprint) -> u64 {
    u64::from(fingerprint.0[0]) % RETRY_SLOTS
}

/// Adds a fraction of a refused request to the demand that drives role changes: its caller sends it again.
fn count_refused_demand(core: &mut Core, engine: BackendKey, need: &Need) {
    let output = load::expected_tokens(core, engine, need.output);
    let pool = core.fleet.arena[engine].pool.clone();
    let demand = core.fleet.unsent_demand.entry(pool).or_default();
    demand.0 += u64::from(need.prompt) / ATTEMPTS_PER_REQUEST;
    demand.1 += output / ATTEMPTS_PER_REQUEST;
}

fn settings<'a>(core: &'a Core, need: &Need) -> Option<&'a PoolSettings> {
    core.fleet
        .serving(&need.model)
        .next()
        .map(|pool| &pool.settings)
}
