//! Whether a request can be answered in time; refused at once where it cannot.

use std::time::Duration;

use super::effect::Refusal;
use super::event::Print;
use super::key::BackendKey;
use super::route::{self, FREE_STREAM_MARGIN, Need};
use super::{Core, load};
use crate::error::Kind;
use crate::settings::PoolSettings;

/// Part of the wanted time to the first token that an answer may take by this host's reckoning.
///
/// The reckoning misses what is on its way from other hosts, so that a request which is taken
/// at the very bound often comes late.
const MAX_WAIT_FRACTION: f64 = 0.65;
/// The same for a request that comes when it was told to come back.
const DUE_MAX_WAIT_FRACTION: f64 = 0.9;
/// Slots of a second over which refused callers are spread.
const RETRY_SLOTS: u64 = 8;
/// Times that a refused caller asks, the first one counted.
const ATTEMPTS_PER_REQUEST: u64 = 2;
/// Returns why a completion is not taken, if it is not.
///
/// # Errors
///
/// Returns [`Kind::NoEngine`] when no engine of the model takes work, and [`Kind::Overloaded`]
/// when an answer would come later than wanted: such an answer is of no use to its caller and
/// makes the next ones late, too.
pub fn check(core: &mut Core, need: &Need, print: Print) -> Result<(), Refusal> {
    let Some(offer) = route::offer(core, need) else {
        return Err(Refusal::new(
            Kind::NoEngine,
            format!("no engine of {} takes work", need.model),
        ));
    };
    let Some(settings) = settings(core, need) else {
        return Ok(());
    };
    let second = core.wall() / 1000;
    let (patience, margin) = if is_due(print, second) {
        (DUE_MAX_WAIT_FRACTION, 0.0)
    } else {
        (MAX_WAIT_FRACTION, FREE_STREAM_MARGIN)
    };
    // A prompt that takes longer than wanted even at an idle engine is not refused for it.
    let alone = f64::from(need.prompt) / settings.prefill_rate;
    let bound = settings.first_token.as_secs_f64().max(alone * 2.0) * patience;
    let detail = if offer.first_token > bound {
        format!(
            "the first token would come after {:.2} s, more than the {bound:.2} s that are taken",
            offer.first_token
        )
    } else if offer.free < margin || offer.token_gap > settings.token_gap.as_secs_f64() {
        "every engine generates as many answers as it can in time".into()
    } else {
        return Ok(());
    };
    if load::is_untried(core, offer.choice.prefill.unwrap_or(offer.choice.engine)) {
        return Ok(());
    }
    count_refused_demand(core, offer.choice.engine, need);
    Err(Refusal::new(Kind::Overloaded, detail).retry(retry_after(print, second)))
}

/// Returns whether a request comes in its slot, or so little after it as clocks and networks
/// make it.
///
/// Slots are how hosts that share nothing keep a promise: a refused caller is told to come back
/// in the slot that its request's fingerprint names, and whichever host it then reaches takes it
/// before those whose slot it is not. Hosts' clocks agree within a second.
fn is_due(print: Print, second: u64) -> bool {
    let slot = slot(print);
    second % RETRY_SLOTS == slot || (second + RETRY_SLOTS - 1) % RETRY_SLOTS == slot
}

/// Returns the time until a request's slot, at least a second.
fn retry_after(print: Print, second: u64) -> Duration {
    let ahead = (slot(print) + RETRY_SLOTS - second % RETRY_SLOTS) % RETRY_SLOTS;
    Duration::from_secs(if ahead == 0 { RETRY_SLOTS } else { ahead })
}

fn slot(print: Print) -> u64 {
    u64::from(print.0[0]) % RETRY_SLOTS
}

/// Counts a refused request into the demand that role changes follow, as a part: its caller asks
/// again.
fn count_refused_demand(core: &mut Core, engine: BackendKey, need: &Need) {
    let output = load::expected_tokens(core, engine, need.output);
    let pool = core.fleet.arena[engine].pool.clone();
    let taken = core.fleet.unsent_demand.entry(pool).or_default();
    taken.0 += u64::from(need.prompt) / ATTEMPTS_PER_REQUEST;
    taken.1 += output / ATTEMPTS_PER_REQUEST;
}

fn settings<'a>(core: &'a Core, need: &Need) -> Option<&'a PoolSettings> {
    core.fleet
        .serving(&need.model)
        .next()
        .map(|pool| &pool.settings)
}
