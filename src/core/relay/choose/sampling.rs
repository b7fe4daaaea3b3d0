//! Random sampling of candidate servers where load reports are stale.
//!
//! All hosts receive the same reports, with some delay. If each chose the best of all servers by
//! these, all requests until the next report would go to the same few servers. A sample drawn anew
//! for each request, the smaller the more requests are unreported, has a different best server on
//! each host.

use std::time::Duration;

use rand::RngExt;

use super::super::super::Core;
use super::super::event::Prompt;
use super::super::{Call, gossip, prefix_cache};
use crate::core::key::{BackendKey, CallKey};

/// Unreported requests of other hosts per sampled server, on average.
const MAX_UNREPORTED_PER_SERVER: f64 = 2.0;
/// Minimum sample size: the better of two random servers is far better than one.
const MIN_SAMPLE_SIZE: usize = 2;
/// Time over which arriving requests are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// Returns the candidate servers for a request: all, or a random sample and those that have at
/// least half of its prompt cached.
pub(super) fn sample(
    core: &mut Core,
    key: CallKey,
    prompt: &Prompt,
    mut all: Vec<BackendKey>,
) -> Vec<BackendKey> {
    let count = sample_size(all.len(), unreported_requests(core, &core.relay.calls[key]));
    if count >= all.len() {
        return all;
    }
    for at in 0..count {
        let other = core.rng.random_range(at..all.len());
        all.swap(at, other);
    }
    let rest = all.split_off(count);
    let has_prefix = |key: &BackendKey| {
        let instance = &core.relay.instances.arena[*key];
        prefix_cache::uncached_tokens(instance, prompt) <= prompt.tokens / 2
    };
    all.extend(rest.into_iter().filter(has_prefix));
    all
}

/// Returns the sample size for a number of servers and of unreported requests.
fn sample_size(servers: usize, unreported: f64) -> usize {
    let fraction = MAX_UNREPORTED_PER_SERVER / unreported.max(MAX_UNREPORTED_PER_SERVER);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of some hundred servers"
    )]
    let size = (servers as f64 * fraction).ceil() as usize;
    size.max(MIN_SAMPLE_SIZE)
}

/// Returns the estimated requests of other hosts to the service that are not reported here yet: for
/// each host as many as arrived at this one.
pub(super) fn unreported_requests(core: &Core, call: &Call) -> f64 {
    let budget = core.relay.retry_budgets.get(&call.service);
    let own = budget.map_or(0, |budget| budget.requests_within(core.now, ARRIVAL_WINDOW));
    let others = core.relay.peers.host_count().saturating_sub(1);
    let rate = own as f64 / ARRIVAL_WINDOW.as_secs_f64() * others as f64;
    rate * gossip::propagation_delay(core).as_secs_f64()
}
