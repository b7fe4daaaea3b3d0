//! Whether a request may be sent again, by the retry budget and by what could take it.

use super::super::key::{AttemptKey, CallKey};
use super::super::{Core, Effects};
use super::choose::{self, Choice};
use super::event::Task;
use super::standby::Standby;
use super::{Call, note, parts, standby};

/// Fraction of the retry budget up to which requests leave silent servers, which may go on: the rest is for failures.
const SILENCE_FRACTION: f64 = 0.5;

/// Charges the retry budget if this send is a retry; `false` if the budget is exhausted.
///
/// With a prefill, the run that follows is reserved: a prefill without it is wasted, and a silent server was left for it.
pub(super) fn charge_budget(core: &mut Core, key: CallKey, task: &Task, out: &mut Effects) -> bool {
    let call = &mut core.relay.calls[key];
    let was_reserved = std::mem::take(&mut call.reserved);
    let first = match task {
        Task::Prefill => call.prefills == 0 && call.arrivals == 0,
        Task::Whole | Task::Decode { .. } => call.arrivals == 0,
    };
    let follow = following_sends(call.arrivals, task);
    let service = call.service.clone();
    let hosts = core.relay.peers.host_count();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    if was_reserved && *task != Task::Prefill {
        budget.spend_reserved(core.now);
        return true;
    }
    if was_reserved {
        budget.release();
    }
    if first {
        return true;
    }
    let Some(settings) = &core.settings.relay else {
        return false;
    };
    let is_charged = budget.try_spend(core.now, &settings.retry_budget, hosts, follow);
    core.relay.calls[key].reserved = is_charged && follow > 0;
    if !is_charged {
        log_exhausted(core, key, out);
    }
    is_charged
}

/// Returns how many retries follow a send until the request runs, after so many arrivals.
fn following_sends(arrivals: u32, task: &Task) -> usize {
    usize::from(*task == Task::Prefill && arrivals > 0)
}

/// Releases the run that was reserved with a request's prefill, since it is not sent.
pub(super) fn release_reserved(core: &mut Core, key: CallKey) {
    let call = &mut core.relay.calls[key];
    if std::mem::take(&mut call.reserved)
        && let Some(budget) = core.relay.retry_budgets.get_mut(&call.service)
    {
        budget.release();
    }
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
    choose_beside(core, key, attempt).unwrap_or_else(|Exhausted| {
        log_exhausted(core, key, out);
        None
    })
}

/// The part of the retry budget for requests that leave servers without a failure is used up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exhausted;

/// Chooses a server as [`choose_other`] does.
///
/// # Errors
///
/// Returns [`Exhausted`] if the budget does not allow the send.
pub(super) fn choose_beside(
    core: &mut Core,
    key: CallKey,
    attempt: AttemptKey,
) -> Result<Option<Choice>, Exhausted> {
    let call = &core.relay.calls[key];
    if core
        .relay
        .poison_requests
        .blocked_for(call.fingerprint, core.now)
        .is_some()
        || parts::admission::is_blamed(core, key)
    {
        return Ok(None);
    }
    // What is reserved for the run after a silent prefill serves this request.
    let is_prefill = leaves_prefill(core, call);
    let arrivals = call.arrivals + u32::from(is_prefill);
    let reserved = usize::from(call.reserved);
    if !has_room(core, key, 1 - reserved, SILENCE_FRACTION) {
        return Err(Exhausted);
    }
    let call = &mut core.relay.calls[key];
    let kept = call.standby.replace(Standby::new(attempt));
    // The KV cache that the silent server was to fetch is given up with it.
    let cache = call.cache.take();
    let choice = choose::choose(core, key);
    let call = &mut core.relay.calls[key];
    call.standby = kept;
    call.cache = cache;
    let Ok(choice) = choice else {
        return Ok(None);
    };
    // A silent prefill was sent beside the standby, which still runs there.
    if is_prefill && standby::server(core, kept) == Some(choice.backend) {
        return Ok(None);
    }
    let follow = following_sends(arrivals, &choice.task);
    if !has_room(core, key, 1 + follow - reserved, SILENCE_FRACTION) {
        return Err(Exhausted);
    }
    Ok(Some(choice))
}

/// Returns whether the part of the retry budget for recalls allows this many more sends of a request.
pub(super) fn allows_recall(core: &mut Core, key: CallKey, sends: usize) -> bool {
    let hosts = core.relay.peers.host_count();
    let service = core.relay.calls[key].service.clone();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    let settings = core.settings.relay.as_ref();
    settings.is_some_and(|settings| {
        budget.allows_recall(core.now, &settings.retry_budget, hosts, sends)
    })
}

/// Counts the sends of a recall: that of the prompt, and that of the run after another prefill.
pub(super) fn record_recall(core: &mut Core, key: CallKey, sends: usize) {
    let service = core.relay.calls[key].service.clone();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    budget.record_recall(core.now, sends);
}

/// Whether a request is at a prefill, which counts as an arrival if it is left.
fn leaves_prefill(core: &Core, call: &Call) -> bool {
    let attempt = call.attempt.and_then(|key| core.relay.attempts.get(key));
    attempt.is_some_and(|attempt| attempt.task == Task::Prefill)
}

/// Returns whether the retry budget allows another prefill for a request, and the run that follows.
pub(super) fn allows_prefill(core: &mut Core, key: CallKey) -> bool {
    let call = &core.relay.calls[key];
    let is_first = call.arrivals == 0 && !leaves_prefill(core, call);
    let reserved = usize::from(call.reserved);
    is_first || has_room(core, key, 2 - reserved, 1.0)
}

/// Returns whether a fraction of the retry budget allows a request this many more sends.
fn has_room(core: &mut Core, key: CallKey, sends: usize, fraction: f64) -> bool {
    let hosts = core.relay.peers.host_count();
    let service = core.relay.calls[key].service.clone();
    let budget = core.relay.retry_budgets.entry(service).or_default();
    let Some(settings) = &core.settings.relay else {
        return false;
    };
    let limit = budget.limit(core.now, &settings.retry_budget, hosts) * fraction;
    sends == 0 || (budget.used() + sends) as f64 <= limit
}
