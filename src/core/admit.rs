//! Whether a request can be answered in time; refused at once where it cannot.

use std::time::Duration;

use super::effect::Refusal;
use super::key::BackendKey;
use super::route::{self, Need};
use super::{Core, load};
use crate::error::Kind;
use crate::settings::PoolSettings;

/// How far past the wanted time to the first token a request is still taken, as a factor.
const PATIENCE: f64 = 0.65;
/// How far past the wanted time between tokens a request is still taken, as a factor.
const STRETCH: f64 = 1.0;
/// Times that a refused caller asks, the first one counted.
const ASKED: u64 = 2;
/// Least time a refused caller is told to stay away.
const RETRY_LEAST: Duration = Duration::from_secs(1);

/// Returns why a completion is not taken, if it is not.
///
/// # Errors
///
/// Returns [`Kind::NoEngine`] when no engine of the model takes work, and [`Kind::Overloaded`]
/// when an answer would come later than wanted: such an answer is of no use to its caller and
/// makes the next ones late, too.
pub fn check(core: &mut Core, need: &Need) -> Result<(), Refusal> {
    let Some(offer) = route::offer(core, need) else {
        return Err(Refusal::new(
            Kind::NoEngine,
            format!("no engine of {} takes work", need.model),
        ));
    };
    let Some(settings) = settings(core, need) else {
        return Ok(());
    };
    // A prompt that takes longer than wanted even at an idle engine is not refused for it.
    let alone = f64::from(need.prompt) / settings.prefill;
    let bound = settings.first_token.as_secs_f64().max(alone * 2.0) * PATIENCE;
    let late = offer.first > bound;
    let full = offer.between > settings.between.as_secs_f64() * STRETCH;
    if late || full {
        demand(core, offer.choice.engine, need);
    }
    if late {
        let over = Duration::from_secs_f64(offer.first - bound).max(RETRY_LEAST);
        let detail = format!(
            "the first token would come after {:.2} s, more than the {bound:.2} s that are taken",
            offer.first
        );
        return Err(Refusal::new(Kind::Overloaded, detail).retry(over));
    }
    if full {
        let detail = "every engine generates as many answers as it can in time";
        return Err(Refusal::new(Kind::Overloaded, detail).retry(RETRY_LEAST));
    }
    Ok(())
}

/// Counts a refused request into the demand that role changes follow, as a part: its caller asks
/// again.
fn demand(core: &mut Core, engine: BackendKey, need: &Need) {
    let output = load::expected(core, engine, need.output);
    let pool = core.fleet.arena[engine].pool.clone();
    let taken = core.fleet.taken.entry(pool).or_default();
    taken.0 += u64::from(need.prompt) / ASKED;
    taken.1 += output / ASKED;
}

fn settings<'a>(core: &'a Core, need: &Need) -> Option<&'a PoolSettings> {
    core.fleet
        .serving(&need.model)
        .next()
        .map(|pool| &pool.settings)
}
