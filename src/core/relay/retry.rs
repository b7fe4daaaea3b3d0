//! Whether a request may be sent again, by the retry budget and by what could take it.

use super::super::Core;
use super::super::key::{AttemptKey, CallKey};
use super::choose::{self, Choice};
use super::event::Task;
use super::parts;
use super::standby::Standby;

/// Charges the retry budget if this send is a retry; `false` if the budget is exhausted.
pub(super) fn charge_budget(core: &mut Core, key: CallKey, task: &Task) -> bool {
    let call = &core.relay.calls[key];
    let first = match task {
        Task::Prefill => call.prefills == 0 && call.arrivals == 0,
        Task::Whole | Task::Decode { .. } => call.arrivals == 0,
    };
    if first {
        return true;
    }
    let hosts = core.relay.peers.host_count();
    let Some(settings) = &core.settings.relay else {
        return false;
    };
    let service = call.service.clone();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    budget.try_spend(core.now, &settings.retry_budget, hosts)
}

/// Chooses another backend server than that of an attempt for a request that may be sent again now; `None` if there is none.
pub(super) fn choose_other(core: &mut Core, key: CallKey, attempt: AttemptKey) -> Option<Choice> {
    let call = &core.relay.calls[key];
    if core
        .relay
        .poison_requests
        .blocked_for(call.fingerprint, core.now)
        .is_some()
        || parts::admission::is_blamed(core, key)
    {
        return None;
    }
    let service = call.service.clone();
    let hosts = core.relay.peers.host_count();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    let rules = core
        .settings
        .relay
        .as_ref()
        .map(|relay| &relay.retry_budget);
    if !rules.is_some_and(|rules| budget.allows(core.now, rules, hosts)) {
        return None;
    }
    let call = &mut core.relay.calls[key];
    let standby = call.standby.replace(Standby::new(attempt));
    // The KV cache that the silent server was to fetch is given up with it.
    let cache = call.cache.take();
    let choice = choose::choose(core, key);
    let call = &mut core.relay.calls[key];
    call.standby = standby;
    call.cache = cache;
    choice.ok()
}
