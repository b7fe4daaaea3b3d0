//! Choice among a few servers drawn at random, where much was sent that this host has not heard of.
//!
//! All hosts hear the same, and it is some time old. If each took the best of all servers by that,
//! every request that arrives before the next message would go to the same few of them. Drawn anew for
//! each request, the fewer the more is unheard, the best of some differs from host to host.

use std::time::Duration;

use rand::RngExt;

use super::super::super::Core;
use super::super::event::Prompt;
use super::super::{Call, gossip, prefix_cache};
use crate::core::key::{BackendKey, CallKey};

/// Requests of other hosts that may go to one server unheard, on average over the drawn ones.
const MAX_UNREPORTED_PER_SERVER: f64 = 2.0;
/// Fewest servers drawn: the better of two is much better than any one.
const MIN_SAMPLE_SIZE: usize = 2;
/// Time over which it is counted how many requests arrive.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// Returns the servers among which a request's is chosen: all, or some drawn at random beside those
/// that hold most of its prompt.
pub(super) fn sample(
    core: &mut Core,
    key: CallKey,
    prompt: &Prompt,
    mut all: Vec<BackendKey>,
) -> Vec<BackendKey> {
    let most = sample_size(all.len(), unreported_requests(core, &core.relay.calls[key]));
    if most >= all.len() {
        return all;
    }
    for at in 0..most {
        let other = core.rng.random_range(at..all.len());
        all.swap(at, other);
    }
    let rest = all.split_off(most);
    let holds = |key: &BackendKey| {
        let instance = &core.relay.instances.arena[*key];
        prefix_cache::uncached_tokens(instance, prompt) <= prompt.tokens / 2
    };
    all.extend(rest.into_iter().filter(holds));
    all
}

/// Returns how many of so many servers are drawn where so many requests were sent unheard.
fn sample_size(servers: usize, unheard: f64) -> usize {
    let part = MAX_UNREPORTED_PER_SERVER / unheard.max(MAX_UNREPORTED_PER_SERVER);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of some hundred servers"
    )]
    let most = (servers as f64 * part).ceil() as usize;
    most.max(MIN_SAMPLE_SIZE)
}

/// Returns how many requests other hosts are expected to have sent to a service since the moment of
/// which this host knows: as many for each as arrived here.
fn unreported_requests(core: &Core, call: &Call) -> f64 {
    let budget = core.relay.budgets.get(&call.service);
    let own = budget.map_or(0, |budget| budget.requests_within(core.now, ARRIVAL_WINDOW));
    let others = core.relay.peers.host_count().saturating_sub(1);
    let rate = own as f64 / ARRIVAL_WINDOW.as_secs_f64() * others as f64;
    rate * gossip::propagation_delay(core).as_secs_f64()
}
