//! Whether a request can be answered in time; refused at once where it cannot.

use std::time::Duration;

use super::effect::Refusal;
use super::event::ModelWant;
use super::{Core, route};
use crate::error::Kind;

/// How far past the wanted time to the first token a request is still taken, as a factor.
const PATIENCE: f64 = 4.0;
/// Least time a refused caller is told to stay away.
const RETRY_LEAST: Duration = Duration::from_secs(1);

/// Returns why a completion is not taken, if it is not.
///
/// # Errors
///
/// Returns [`Kind::NoEngine`] when no engine of the model takes work, and [`Kind::Overloaded`]
/// when the backlog is longer than callers wait; then the time to come back is the time the
/// backlog takes to shrink to what is taken.
pub fn check(core: &Core, want: &ModelWant) -> Result<(), Refusal> {
    let waits = core.fleet.serving(&want.model).flat_map(|pool| {
        let bound = pool.settings.first_token.as_secs_f64() * PATIENCE;
        let ready = pool.engines.iter().copied();
        let ready = ready.filter(|&key| core.fleet.arena[key].takes(core.now));
        ready.map(move |key| (route::wait(core, key), bound))
    });
    let shortest = waits.min_by(|one, other| one.0.total_cmp(&other.0));
    let Some((backlog, bound)) = shortest else {
        return Err(Refusal::new(
            Kind::NoEngine,
            format!("no engine of {} takes work", want.model),
        ));
    };
    if backlog > bound {
        let over = Duration::from_secs_f64(backlog - bound).max(RETRY_LEAST);
        let detail = format!(
            "the shortest backlog is {backlog:.1} s, more than the {bound:.1} s that are taken"
        );
        return Err(Refusal::new(Kind::Overloaded, detail).retry(over));
    }
    Ok(())
}
