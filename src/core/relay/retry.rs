//! Whether a request may be sent again, by the retry budget and by what could take it.

use super::super::key::{AttemptKey, CallKey};
use super::super::{Core, Effects};
use super::choose::{self, Choice};
use super::event::Task;
use super::standby::Standby;
use super::{note, parts};

/// Charges the retry budget if this send is a retry; `false` if the budget is exhausted.
pub(super) fn charge_budget(core: &mut Core, key: CallKey, task: &Task, out: &mut Effects) -> bool {
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
    let is_charged = budget.try_spend(core.now, &settings.retry_budget, hosts);
    if !is_charged {
        log_exhausted(core, key, out);
    }
    is_charged
}

fn log_exhausted(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let hosts = core.relay.peers.host_count();
    let budget = core.relay.retry_budgets.get_mut(&call.service);
    let (Some(settings), Some(budget)) = (&core.settings.relay, budget) else {
        return;
    };
    let limit = budget.limit(core.now, &settings.retry_budget, hosts);
    let fields = vec![
        ("id", call.id.clone()),
        ("service", call.service.clone()),
        ("used", budget.used().to_string().into()),
        ("limit", format!("{limit:.1}").into()),
        ("begun", call.delivered.to_string().into()),
    ];
    note(out, log::Level::Info, "budget.exhausted", fields);
}

/// Chooses another backend server than that of an attempt for a request that may be sent again now; `None` if there is none.
pub(super) fn choose_other(
    core: &mut Core,
    key: CallKey,
    attempt: AttemptKey,
    out: &mut Effects,
) -> Option<Choice> {
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
        log_exhausted(core, key, out);
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
