//! Handling of a caller's request: arrival and dispatch.

use std::time::Duration;

use super::super::effect::{Effect, Refusal};
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::catalog::{Route, Service};
use super::choose::{self, Choice};
use super::customers::Identity;
use super::ending::{OTHER_HOST_RETRY_AFTER, RETRY_AFTER, refuse, store_age_ms};
use super::event::{Arrival, Outgoing, RelayEffect, Task};
use super::instance::{Instance, Work};
use super::lateness::Timing;
use super::versions::{self, StreamKey};
use super::{
    Attempt, Call, Delivery, RelayTimer, departed, duty, forward, from_millis, gossip, note, parts,
    poison, prefix_cache, recall, resolve, retry, shares, silence, standby, stopping,
};
use crate::error::Kind;

/// Maximum number of open requests: a hundred times what a host serves in the worst second of its
/// links.
const MAX_CALLS: usize = 4096;
/// Backend servers to which no connection is made after which a request is forwarded to another host: each may
/// have cost the time limit of connecting.
const MAX_UNREACHABLE: u32 = 2;
/// Minimum number of idle connections to a backend server that a host may keep.
const MIN_IDLE_CONNECTIONS: usize = 2;

pub(super) fn arrived(core: &mut Core, mut arrival: Arrival, out: &mut Effects) {
    departed::forwarded(core, &mut arrival, out);
    versions::take_up::log(&arrival, out);
    let resolved = resolve::resolve(core, &arrival);
    let (route, service, identity) = match resolved {
        Ok(resolved) => resolved,
        Err(refusal) => {
            refuse_unrouted(core, arrival, refusal, out);
            return;
        }
    };
    let wait = arrival.deadline.unwrap_or(route.timeout).min(route.timeout);
    let key = open(core, arrival, route, service.clone(), wait, out);
    let call = &mut core.relay.calls[key];
    call.fingerprint = poison::identified(call.fingerprint, &identity);
    call.identity = identity;
    if forward::refuse_when_cut_off(core, key, out) {
        return;
    }
    let budget = core.relay.retry_budgets.entry(service).or_default();
    budget.record_request(core.now);
    if core.relay.calls.len() > MAX_CALLS {
        let detail = format!("this host holds {MAX_CALLS} requests");
        refuse(core, key, Refusal::new(Kind::Overloaded, detail), out);
        return;
    }
    if core.stop.is_closed(core.now) {
        refuse(core, key, stopping::refusal(), out);
        return;
    }
    super::wake(core, wait, RelayTimer::Deadline(key), out);
    if !versions::take_up::arrived(core, key, out) {
        dispatch(core, key, out);
    }
}

fn fingerprint(full: &super::super::event::Fingerprint) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&full.0[..8]);
    u64::from_le_bytes(first)
}

/// Refuses a request without a route.
fn refuse_unrouted(core: &mut Core, arrival: Arrival, refusal: Refusal, out: &mut Effects) {
    let key = open(
        core,
        arrival,
        Route::default(),
        "".into(),
        Duration::ZERO,
        out,
    );
    refuse(core, key, refusal, out);
}

/// Registers a request, which must have its final answer within `wait`.
fn open(
    core: &mut Core,
    arrival: Arrival,
    route: Route,
    service: Box<str>,
    wait: Duration,
    out: &mut Effects,
) -> CallKey {
    let spent = arrival.forwarded.unwrap_or_default();
    let resumes = arrival
        .resumes
        .as_ref()
        .filter(|_| arrival.resume.is_some());
    let stream = StreamKey::of(resumes.unwrap_or(&arrival.id));
    let catalog = core.relay.catalog.as_ref();
    let config = catalog.map_or(0, |catalog| catalog.version);
    let settings = catalog.and_then(|catalog| catalog.services.get(&service));
    let engines = settings.is_some_and(|settings| settings.engine.is_some());
    let key = core.relay.calls.insert(Call {
        id: arrival.id,
        path: arrival.path,
        service,
        engines,
        identity: Identity::default(),
        prompt: arrival.prompt,
        bytes: arrival.bytes,
        fingerprint: fingerprint(&arrival.fingerprint),
        arrived: core.now,
        deadline: core.now.after(wait),
        attempt: None,
        standby: None,
        given_up: None,
        runs: spent.runs,
        runs_before: spent.runs,
        arrivals: spent.arrivals,
        prefills: spent.prefills,
        tried: Vec::new(),
        next: None,
        last_event: arrival.resume.filter(|_| route.streaming),
        delivered: false,
        counted: false,
        cache: None,
        is_late: false,
        last_forwarded: None,
        timing: Timing::default(),
        recalled: false,
        reserved: false,
        unreachable: 0,
        hosts_tried: Vec::new(),
        is_forwarded: arrival.forwarded.is_some(),
        stream,
        version: arrival.version,
        lookup: None,
        config,
        route,
    });
    out.push(Effect::Relay(RelayEffect::Opened(key)));
    key
}

/// Sends a request to a backend server, or refuses it if none can serve it.
pub(super) fn dispatch(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = &mut core.relay.calls[key];
    let (next, fingerprint) = (call.next.take(), call.fingerprint);
    let poison_requests = &core.relay.poison_requests;
    if let Some(left) = poison_requests.blocked_for(fingerprint, core.now) {
        let detail = format!(
            "{} backend servers crashed while running request {}",
            poison_requests.crash_count(fingerprint),
            poison::fingerprint_text(fingerprint)
        );
        let refusal = Refusal::new(Kind::EngineKiller, detail).with_retry_after(left);
        refuse(core, key, refusal, out);
        return;
    }
    if core.relay.links.are_lost() {
        forward::forward_or_refuse(core, key, out);
        return;
    }
    if let Err(refusal) = parts::admission::admit(core, key, out) {
        refuse(core, key, refusal, out);
        return;
    }
    if let Err(refusal) = shares::admission::admit(core, key, out) {
        refuse(core, key, refusal, out);
        return;
    }
    let unreachable = core.relay.calls[key].unreachable;
    if unreachable >= MAX_UNREACHABLE && forward::forward(core, key, out) {
        return;
    }
    let chosen = match next {
        Some(choice) => Ok(choice),
        None => choose::choose(core, key),
    };
    match chosen {
        Ok(choice) if stopping::outlasts_stop(core, key, &choice) => {
            refuse(core, key, stopping::refusal(), out);
        }
        Ok(choice) => {
            shares::admission::placed(core, key, &choice, out);
            send(core, key, &choice, out);
            shares::sent(core, key, &choice);
            recall::watch(core, key, choice.outlook, out);
        }
        Err(refusal) if unreachable > 0 || forward::others_may_reach_more(core, key) => {
            forward::forward_in_place_of(core, key, refusal, out);
        }
        Err(refusal) => {
            shares::admission::refused(core, key, &refusal, out);
            refuse(core, key, refusal, out);
        }
    }
}

fn send(core: &mut Core, key: CallKey, choice: &Choice, out: &mut Effects) {
    if !retry::charge_budget(core, key, &choice.task, out) {
        let detail = "repeats use up their budget";
        let refusal = Refusal::new(Kind::Overloaded, detail).with_retry_after(RETRY_AFTER);
        refuse(core, key, refusal, out);
        return;
    }
    let now = core.now;
    let idle = max_idle_connections(core, choice.backend);
    let peer_age = gossip::load_age(core).map_or_else(
        || "never".into(),
        |age| format!("{}", age.as_millis()).into(),
    );
    let instance = &core.relay.instances.arena[choice.backend];
    let (unlisted, named_leaving) = ages_ms(core, instance);
    let pushback = instance.pushback.remaining(now).as_millis().to_string();
    let view_age = store_age_ms(core);
    let fetched = choice.fetch.map_or(0, |fetch| fetch.tokens);
    let fingerprint = core.relay.calls[key].fingerprint;
    let crashes = core.relay.poison_requests.crash_count(fingerprint);
    let call = &mut core.relay.calls[key];
    let instance = &mut core.relay.instances.arena[choice.backend];
    match &choice.task {
        Task::Prefill => call.prefills += 1,
        Task::Whole | Task::Decode { .. } => {
            call.arrivals += 1;
            call.runs += 1;
        }
    }
    call.is_late = choice.is_late;
    instance.add_work(choice.work);
    instance.limit.spend(now);
    instance.pushback.sent(now);
    if let Some(prompt) = &call.prompt {
        prefix_cache::record_prompt(instance, prompt, now, from_millis(choice.expected_ms));
    }
    let attempt = core.relay.attempts.insert(Attempt {
        call: key,
        backend: choice.backend,
        host: None,
        task: choice.task.clone(),
        version: instance.version_key,
        sent_at: now,
        work: choice.work,
        expected_ms: choice.expected_ms,
        prefill: choice.prefill,
        began: None,
        last_received: now,
        check_at: now,
        delivery: Delivery::Open,
    });
    call.attempt = Some(attempt);
    if choice.work.tokens > 0 || matches!(choice.task, Task::Prefill) {
        let blocks = call.prompt.as_ref().map(|prompt| &prompt.blocks);
        core.relay
            .peers
            .record_sent_blocks(blocks, instance.short_hash);
    }
    note(
        out,
        log::Level::Info,
        "request.sent",
        vec![
            ("id", call.id.clone()),
            ("backend", instance.id.clone()),
            ("task", task_name(&choice.task).into()),
            ("expected_ms", format!("{:.0}", choice.expected_ms).into()),
            ("calls", instance.work().calls.to_string().into()),
            ("tokens", instance.work().tokens.to_string().into()),
            ("own_tokens", instance.own_work.tokens.to_string().into()),
            ("peer_age_ms", peer_age),
            ("unlisted_ms", unlisted),
            ("leaving_ms", named_leaving),
            ("pushback_ms", pushback.into()),
            ("view_ms", view_age),
            ("reads", choice.work.tokens.to_string().into()),
            ("fetched", fetched.to_string().into()),
            ("arrivals", call.arrivals.to_string().into()),
            ("request", poison::fingerprint_text(fingerprint)),
            ("crashes", crashes.to_string().into()),
            ("version", instance.version.clone().unwrap_or_default()),
        ],
    );
    out.push(Effect::Relay(RelayEffect::Send(Box::new(Outgoing {
        call: key,
        attempt,
        instance: instance.id.clone(),
        addr: instance.addr,
        task: choice.task.clone(),
        remaining: call.deadline.since(now),
        urgency: choice.urgency,
        resume: call.last_event,
        streaming: call.route.streaming && !matches!(choice.task, Task::Prefill),
        max_idle: idle,
        fetch_from: choice.fetch.map(|fetch| fetch.from),
        identity: call.identity.clone(),
    }))));
    standby::sent_on(core, key, &choice.task, out);
    if let Some(silence) = choice.silence_timeout {
        silence::check_after(core, attempt, silence, out);
    }
}

/// Returns the milliseconds since a server was missing in the list, and since it was named as leaving, for the log.
fn ages_ms(core: &Core, instance: &Instance) -> (Box<str>, Box<str>) {
    let unlisted = age_ms(core, instance.missing_since, "listed");
    (unlisted, age_ms(core, instance.named_leaving, "no"))
}

/// Returns the milliseconds since a time, or `none` without one, for the log.
pub(super) fn age_ms(core: &Core, since: Option<Time>, none: &str) -> Box<str> {
    since.map_or_else(
        || none.into(),
        |at| core.now.since(at).as_millis().to_string().into(),
    )
}

/// Returns the name of a task in logs.
pub(super) fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Whole => "whole",
        Task::Prefill => "prefill",
        Task::Decode { .. } => "decode",
    }
}

/// Returns how many idle connections to a backend server this host may keep: a third of its share
/// of those the server accepts, which leaves room for those in use.
fn max_idle_connections(core: &Core, key: BackendKey) -> usize {
    let service = &core.relay.instances.arena[key].service;
    let catalog = core.relay.catalog.as_ref();
    let limit = catalog
        .and_then(|catalog| catalog.services.get(service))
        .map_or(0, |service: &Service| service.max_connections);
    let hosts = core.relay.peers.host_count();
    (limit as usize / hosts.max(1) / 3).max(MIN_IDLE_CONNECTIONS)
}

/// Removes an attempt and its work.
pub(super) fn close_attempt(core: &mut Core, key: AttemptKey) -> Option<Attempt> {
    let attempt = core.relay.attempts.remove(key)?;
    duty::scaling::run_ended(core, &attempt);
    if let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) {
        instance.own_work = instance.own_work.minus(attempt.work);
    }
    if let Some(host) = attempt.host {
        forward::ended(core, host);
    }
    shares::closed(core, &attempt);
    if let Some(call) = core.relay.calls.get_mut(attempt.call) {
        call.attempt = call.attempt.filter(|current| *current != key);
        call.standby = call.standby.filter(|standby| standby.attempt != key);
    }
    Some(attempt)
}

/// Refuses a request that this host could not send for want of a file descriptor.
///
/// It is not sent to another server or host, for which a descriptor is missing as well.
pub(super) fn not_sent(core: &mut Core, attempt: &Attempt, detail: &str, out: &mut Effects) {
    let call = &mut core.relay.calls[attempt.call];
    if attempt.task != Task::Prefill {
        call.runs = call.runs.saturating_sub(1);
        call.arrivals = call
            .arrivals
            .saturating_sub(u32::from(attempt.host.is_none()));
    }
    if call.attempt.is_some() {
        // This one was the standby.
        return;
    }
    let refusal = Refusal::new(Kind::Overloaded, detail).with_retry_after(OTHER_HOST_RETRY_AFTER);
    refuse(core, attempt.call, refusal, out);
}

/// Removes an attempt's prefill work from its backend server, once the prompt is prefilled.
pub(super) fn release_prefill_work(core: &mut Core, key: AttemptKey) {
    let Some(attempt) = core.relay.attempts.get_mut(key) else {
        return;
    };
    let done = Work {
        calls: 0,
        context: 0,
        ..attempt.work
    };
    attempt.work = attempt.work.minus(done);
    if let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) {
        instance.own_work = instance.own_work.minus(done);
    }
}
