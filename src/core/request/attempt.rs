//! Attempts at backend servers, and the events of their streams.

use super::super::effect::{Effect, Meter, OpenStream, Refusal};
use super::super::event::{AttemptFailure, RequestSpec, StoredResponse, Timer};
use super::super::key::{AttemptKey, RequestKey};
use super::super::route::{self, Choice, Need};
use super::super::{Core, Effects, Time, load, once, poison, trace};
use super::end::{close_attempt, end, give_up, reply};
use super::failure::{attempt_failed, unstated_refusal};
use super::{Attempt, Flow, Phase, Progress, Request, millis, standby};
use crate::error::{Kind, NOT_RUN_STATUSES, Ran};

/// Sends a request to a backend server.
pub fn dispatch(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = &core.requests.arena[key];
    if let Err(refusal) = poison::check(core, request.fingerprint) {
        let ran = request.ran();
        give_up(core, key, refusal.with_ran(ran), out);
        return;
    }
    let fingerprint = request.fingerprint;
    let mut wait = None;
    let chosen = if let Some(mut need) = need(request) {
        wait = poison::restrict_engines(core, &mut need, fingerprint);
        route::choose_engine(core, &need)
    } else {
        let (service, avoid) = (request.class.clone(), request.avoid.clone());
        route::choose_instance(core, &service, &avoid).map(Choice::whole)
    };
    let Some(choice) = chosen else {
        if let Some(until) = wait {
            pause(core, key, until, out);
            return;
        }
        let request = &core.requests.arena[key];
        let kind = match &request.want {
            RequestSpec::Model(_) => Kind::NoEngine,
            RequestSpec::Service(_) => Kind::ServiceDown,
        };
        let detail = format!("nothing that serves {} takes work", request.class);
        let ran = request.ran();
        give_up(core, key, Refusal::new(kind, detail).with_ran(ran), out);
        return;
    };
    let request = &mut core.requests.arena[key];
    request.tries += 1;
    request.progress = Progress::Nothing;
    open_attempt(core, key, choice, None, out);
}

/// Has a request wait for reports of other hosts before it is sent.
pub(super) fn pause(core: &mut Core, key: RequestKey, until: Time, out: &mut Effects) {
    core.requests.arena[key].phase = Phase::Pause;
    out.push(Effect::SetTimer {
        at: until,
        timer: Timer::Request(key),
    });
}

/// Returns the requirements of a completion on an engine; `None` for a service call.
pub(super) fn need(request: &Request) -> Option<Need> {
    let want = request.model()?;
    Some(Need {
        model: want.model.clone(),
        prompt: want.prompt_tokens,
        output: want.max_output,
        prefix: want.prefix_hashes.first().copied().unwrap_or(0),
        avoid: request.avoid.clone(),
    })
}

/// Opens an attempt at a backend server; a given `label` resumes the attempt with that label.
pub(super) fn open_attempt(
    core: &mut Core,
    key: RequestKey,
    choice: Choice,
    label: Option<Box<str>>,
    out: &mut Effects,
) {
    let backend = choice.engine;
    let prefiller = choice.prefill.unwrap_or(backend);
    let queued = load::queued(core, prefiller);
    let (prompt, output) = match &core.requests.arena[key].want {
        RequestSpec::Model(want) => {
            let output = load::expected_tokens(core, backend, want.max_output);
            (u64::from(want.prompt_tokens), output)
        }
        RequestSpec::Service(_) => (0, 0),
    };
    let request = &mut core.requests.arena[key];
    let resume = label.is_some().then_some(request.delivered);
    let new_label = || format!("{}.{}", request.record.id, request.tries).into();
    let label = label.unwrap_or_else(new_label);
    let attempt = core.requests.attempts.insert(Attempt {
        request: key,
        backend,
        prefill: choice.prefill,
        sent: core.now,
        first_token: core.now,
        backlog: prompt + queued,
        label: label.clone(),
        last_progress: core.now,
        has_tokens: false,
        flow: Flow::Open,
        has_waited: false,
        place: request.record.attempts.len(),
        prompt,
        output,
    });
    request.attempt = Some(attempt);
    let target = &core.fleet.arena[backend];
    let (name, addr) = (target.name.clone(), target.addr);
    let arrived = request.arrived;
    request.record.attempts.push(trace::Attempt {
        backend: name,
        began: millis(core.now.since(arrived)),
        ..trace::Attempt::default()
    });
    out.push(Effect::Meter(Meter::Queued {
        class: request.class.clone(),
        after: core.now.since(arrived),
    }));
    match &request.want {
        RequestSpec::Model(_) => {
            let uses = &core.config.lists.uses.plans;
            let priority = uses.get(&request.record.plan).map_or(0, |a| a.priority);
            out.push(Effect::OpenStream(OpenStream {
                request: key,
                attempt,
                addr,
                label,
                resume_from: resume,
                delivered: request.delivered,
                priority,
                prefill_addr: choice.prefill.map(|key| core.fleet.arena[key].addr),
            }));
            out.push(Effect::SetTimer {
                at: core.now.after(core.settings.limits.first_token_timeout),
                timer: Timer::Silence(attempt),
            });
        }
        RequestSpec::Service(want) => {
            let settings = &core.settings.services[&want.service];
            out.push(Effect::CallService {
                request: key,
                attempt,
                addr,
                label,
                timeout: settings.timeout,
            });
        }
    }
    load::record_sent(core, prefiller, prompt, out);
    if let Some(prefill) = choice.prefill {
        core.fleet.add_work(prefill, prompt, 0);
        core.fleet.add_work(backend, 0, output);
    } else {
        core.fleet.add_work(backend, prompt, output);
    }
    core.traces.keep(core.requests.arena[key].record.clone());
}

pub(super) fn began(core: &mut Core, attempt: AttemptKey) {
    if let Some(attempt) = core.requests.attempts.get_mut(attempt) {
        attempt.last_progress = core.now;
        attempt.flow = Flow::Open;
        core.fleet.record_success(attempt.backend);
        if let Some(prefill) = attempt.prefill.take() {
            core.fleet.record_success(prefill);
            core.fleet
                .remove_work(prefill, std::mem::take(&mut attempt.prompt), 0);
            let (sent, backlog) = (attempt.sent, attempt.backlog);
            load::learn_prefill(core, prefill, sent, backlog);
        }
    }
}

/// Notes that the caller does not read and that reading from the engine is paused.
///
/// Otherwise the answer would be buffered here, and a few callers on slow links would exhaust the
/// memory of the host. The pause does not count as silence of the engine.
pub(super) fn delivery_blocked(core: &mut Core, attempt: AttemptKey) {
    if let Some(attempt) = core.requests.attempts.get_mut(attempt) {
        attempt.flow = Flow::Paused;
    }
}

/// Forwards a stream event to the caller if it is the next one of the current attempt.
///
/// Events may arrive late, twice or out of order, and those of an attempt that was given up may
/// still arrive. Only the event that starts at the end of the delivered answer is forwarded. One
/// that starts later means that tokens in between were lost: the attempt is resumed after the last
/// delivered token.
pub(super) fn stream_event(
    core: &mut Core,
    key: AttemptKey,
    offset: u64,
    tokens: u32,
    out: &mut Effects,
) {
    let Some(attempt) = core.requests.attempts.get_mut(key) else {
        return;
    };
    attempt.last_progress = core.now;
    attempt.flow = Flow::Open;
    let request = &core.requests.arena[attempt.request];
    let is_known = request.attempt != Some(key) && request.standby != Some(key);
    if is_known || offset < request.delivered || request.finished {
        return;
    }
    if offset == request.delivered {
        standby::goes_on(core, key, out);
    }
    let Some(attempt) = core.requests.attempts.get_mut(key) else {
        return;
    };
    let request = &mut core.requests.arena[attempt.request];
    if offset > request.delivered {
        let detail = format!("tokens {} to {offset} are missing", request.delivered);
        attempt_failed(core, key, Ran::Yes, AttemptFailure::Cut, &detail, out);
        return;
    }
    out.push(Effect::Deliver {
        request: attempt.request,
    });
    if tokens == 0 {
        request.finished = true;
        return;
    }
    let class = request.class.clone();
    if let Some(last) = request.last_token {
        let gap = core.now.since(last);
        out.push(Effect::Meter(Meter::TokenGap { class, gap }));
    } else {
        let after = core.now.since(request.arrived);
        let customer = request.record.customer.clone();
        out.push(Effect::Meter(Meter::FirstToken {
            class,
            customer,
            after,
        }));
    }
    let prefill_done = (!attempt.has_tokens).then(|| {
        attempt.has_tokens = true;
        attempt.first_token = core.now;
        let prompt = std::mem::take(&mut attempt.prompt);
        if let Some(backend) = core.fleet.arena.get_mut(attempt.backend) {
            backend.prefill = backend.prefill.saturating_sub(prompt);
        }
        (attempt.backend, attempt.sent, attempt.backlog, prompt)
    });
    request.last_token = Some(core.now);
    request.progress = Progress::Tokens;
    request.delivered += u64::from(tokens);
    if let Some(record) = request.record.attempts.get_mut(attempt.place) {
        record.tokens += tokens;
    }
    if let Some((backend, sent, backlog, prompt)) = prefill_done
        && prompt > 0
    {
        load::learn_prefill(core, backend, sent, backlog);
    }
}

pub(super) fn stream_completed(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    if standby::is_standby(core, key) && core.requests.arena[request].finished {
        standby::goes_on(core, key, out);
    }
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    if core.requests.arena[request].attempt != Some(key) {
        return;
    }
    if !core.requests.arena[request].finished {
        let detail = "the end marker came before the end of the answer";
        attempt_failed(core, key, Ran::Yes, AttemptFailure::Cut, detail, out);
        return;
    }
    let (backend, span) = (attempt.backend, core.now.since(attempt.first_token));
    core.fleet.record_success(backend);
    let entry = &core.requests.arena[request];
    let record = entry.record.attempts.get(attempt.place);
    let tokens = record.map_or(0, |record| u64::from(record.tokens));
    let max_output = entry.model().map_or(0, |want| want.max_output);
    load::learn_decode(core, backend, span, tokens, max_output);
    close_attempt(core, key, "whole", Ran::Yes);
    out.push(Effect::Finish(request));
    end(core, request, "answered", Ran::Yes, out);
}

pub(super) fn answered(
    core: &mut Core,
    key: AttemptKey,
    result: StoredResponse,
    out: &mut Effects,
) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    core.fleet.record_success(attempt.backend);
    if NOT_RUN_STATUSES.contains(&result.status) {
        unstated_refusal(core, key, result.status, out);
        return;
    }
    close_attempt(core, key, "whole", Ran::Yes);
    if core.requests.arena[request].retryable {
        reply(core, request, result, None, out);
    } else {
        core.requests.arena[request].phase = Phase::Saving;
        once::finish(core, request, result, out);
    }
}
