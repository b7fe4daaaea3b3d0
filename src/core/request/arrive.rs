//! Arrival of a request: checks, its plan's share, and dispatch.

use std::time::Duration;

use super::super::effect::{Effect, Refusal};
use super::super::event::{Arrival, RequestSpec, Timer};
use super::super::key::RequestKey;
use super::super::{Core, Effects, admit, member, once, poison, share};
use super::attempt::{dispatch, need};
use super::end::refuse;
use super::{MAX_RETRY_BUDGET, Phase, Progress, RETRY_FRACTION, Request};
use crate::error::Kind;

/// Time a request waits for its plan's share; longer than shares take to settle after a change of
/// hosts.
const SHARE_TIMEOUT: Duration = Duration::from_secs(4);

pub(super) fn arrived(core: &mut Core, arrival: Arrival, out: &mut Effects) {
    let mut record = core.traces.new_record(core.wall_ms());
    let account = core.config.index.get(arrival.key_hash).cloned();
    if let Some(account) = &account {
        record.customer = account.customer.clone();
        record.plan = account.plan.clone();
    }
    record.target = target(&arrival.spec);
    record.key = arrival.idempotency_key.clone().unwrap_or_default();
    let class = match &arrival.spec {
        RequestSpec::Model(want) => {
            record.prompt = want.prompt_tokens;
            want.model.clone()
        }
        RequestSpec::Service(want) => want.service.clone(),
    };
    let id = record.id.clone();
    let key = core.requests.arena.insert(Request {
        want: arrival.spec,
        idempotency_key: arrival.idempotency_key,
        fingerprint: arrival.fingerprint,
        arrived: core.now,
        last_token: None,
        delivered: 0,
        phase: Phase::Share,
        attempt: None,
        standby: None,
        retryable: true,
        taken: share::Cost::default(),
        record,
        avoid: Vec::new(),
        result: None,
        caller_left: false,
        finished: false,
        progress: Progress::Nothing,
        last_break: None,
        tries: 0,
        resumes: 0,
        class,
    });
    core.requests.retry_budget =
        (core.requests.retry_budget + RETRY_FRACTION).min(MAX_RETRY_BUDGET);
    out.push(Effect::Opened {
        tag: arrival.tag,
        request: key,
        id,
    });
    let checked = if account.is_some() {
        check(core, key)
    } else {
        Err(Refusal::new(Kind::BadKey, "no customer has this key"))
    };
    match checked {
        Ok(()) => take_share(core, key, out),
        Err(refusal) => refuse(core, key, refusal, out),
    }
}

fn target(want: &RequestSpec) -> Box<str> {
    match want {
        RequestSpec::Model(want) => want.model.clone(),
        RequestSpec::Service(want) => {
            format!("{} {} {}", want.service, want.method, want.path).into()
        }
    }
}

/// Runs all checks that need no other host and take nothing from the plan's share.
fn check(core: &mut Core, key: RequestKey) -> Result<(), Refusal> {
    if member::cut_off(core) {
        let detail = "this host hears neither the key-value service nor its peers";
        return Err(Refusal::new(Kind::CutOff, detail));
    }
    let max_requests = core.settings.limits.max_requests;
    if core.requests.arena.len() > max_requests {
        let detail = format!("this host holds {max_requests} requests");
        return Err(Refusal::new(Kind::Overloaded, detail));
    }
    check_plan(core, key)?;
    let request = &core.requests.arena[key];
    let fingerprint = request.fingerprint;
    poison::check(core, fingerprint)?;
    if let Some(need) = need(request) {
        admit::check(core, &need, fingerprint)?;
    }
    Ok(())
}

/// Checks that the target exists, that the plan may use it, and that a call that is not retryable
/// has an idempotency key.
fn check_plan(core: &mut Core, key: RequestKey) -> Result<(), Refusal> {
    let request = &mut core.requests.arena[key];
    let uses = &core.config.lists.uses;
    let plan = &request.record.plan;
    let allowance = uses.plans.get(plan);
    let (known, allowed) = match &request.want {
        RequestSpec::Model(want) => (
            core.fleet.serving(&want.model).next().is_some(),
            allowance.is_some_and(|a| a.models.contains(&want.model)),
        ),
        RequestSpec::Service(want) => (
            core.fleet.services.contains_key(&want.service),
            allowance.is_some_and(|a| a.services.contains(&want.service)),
        ),
    };
    if !known {
        let detail = format!("there is no {}", request.class);
        return Err(Refusal::new(Kind::NotFound, detail));
    }
    if !allowed {
        let detail = format!("plan {plan} may not use {}", request.class);
        return Err(Refusal::new(Kind::NotAllowed, detail));
    }
    if let RequestSpec::Service(want) = &request.want {
        request.retryable = uses.is_retryable(&want.service, &want.method, &want.path);
        if !request.retryable && request.idempotency_key.is_none() {
            let detail = "this call may not repeat and has no Idempotency-Key";
            return Err(Refusal::new(Kind::KeyMissing, detail));
        }
    }
    Ok(())
}

fn take_share(core: &mut Core, key: RequestKey, out: &mut Effects) {
    match share::take(core, key, out) {
        share::Admission::Granted => share_granted(core, key, out),
        share::Admission::Queued => out.push(Effect::SetTimer {
            at: core.now.after(SHARE_TIMEOUT),
            timer: Timer::Request(key),
        }),
        share::Admission::Exhausted(retry) => refuse_spent(core, key, retry, out),
    }
}

/// Refuses a request whose plan has exhausted its share.
pub fn refuse_spent(core: &mut Core, key: RequestKey, retry: Duration, out: &mut Effects) {
    let plan = &core.requests.arena[key].record.plan;
    let refusal = Refusal::new(
        Kind::ShareSpent,
        format!("the share of plan {plan} is used up"),
    );
    refuse(core, key, refusal.with_retry_after(retry), out);
}

/// Continues a request that got its share.
pub fn share_granted(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = &mut core.requests.arena[key];
    if request.retryable {
        request.phase = Phase::Running;
        dispatch(core, key, out);
    } else {
        request.phase = Phase::Starting;
        once::begin(core, key, out);
    }
}

pub(super) fn wait_ended(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let Some(request) = core.requests.arena.get(key) else {
        return;
    };
    if request.phase == Phase::Pause {
        core.requests.arena[key].phase = Phase::Running;
        dispatch(core, key, out);
    } else if request.phase == Phase::Share {
        share::cancel_wait(core, key);
        let detail = "no host lent a part of the plan's share in time";
        refuse(core, key, Refusal::new(Kind::ShareSpent, detail), out);
    }
}
