//! Outcomes of attempts: prefilled prompts, stream events, complete answers, failures.

use super::super::effect::{Effect, Meter, Refusal};
use super::super::event::AttemptFailure;
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::{Core, Effects};
use super::call::{close_attempt, dispatch, release_prefill_work};
use super::ending::{end, give_up, refuse};
use super::event::{RelayEffect, StreamEnd, Task};
use super::{
    Attempt, Delivery, KvCache, RetryPolicy, call, duty, forward, lateness, links, load, millis,
    note, parts, poison, recall, standby, versions,
};
use crate::error::{Kind, Ran};

/// Lowest HTTP status that counts as a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;
/// HTTP statuses that callers read as "did not run".
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Lowest HTTP status of an answer without a result.
const MIN_UNSERVED_STATUS: u16 = 300;

/// Handles a finished prefill: the request goes on to a decode engine with the KV cache.
pub(super) fn prefilled(core: &mut Core, key: AttemptKey, handle: Box<str>, out: &mut Effects) {
    let now = core.now;
    let Some(attempt) = core.relay.attempts.get(key) else {
        recall::answered_late(core, key, handle, out);
        return;
    };
    let (call, engine, sent_at) = (attempt.call, attempt.backend, attempt.sent_at);
    let took = millis(now.since(sent_at));
    load::record_first_answer(core, key, took, out);
    let expected = close_attempt(core, key).map_or(0.0, |attempt| attempt.expected_ms);
    core.relay.calls[call].timing.prefilled(took, expected);
    poison::server_answered(core, engine, sent_at, out);
    if let Some(instance) = core.relay.instances.arena.get_mut(engine) {
        instance.record_success(now);
        core.relay.calls[call].cache = Some(KvCache {
            engine,
            instance: instance.id.clone(),
            addr: instance.addr,
            handle,
        });
    }
    dispatch(core, call, out);
}

/// Records that a part of an answer that is no stream arrived: the backend server is not silent. The answer may still be a
/// failure, and cannot continue a stream that has begun.
pub(super) fn part_received(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let call = core.relay.attempts.get(key).map(|attempt| attempt.call);
    if call.is_some_and(|call| !core.relay.calls[call].delivered) && standby::is_standby(core, key)
    {
        standby::goes_on(core, key, out);
    }
    if let Some(attempt) = core.relay.attempts.get_mut(key) {
        attempt.last_received = core.now;
    }
}

/// Forwards a complete answer, or retries if it is a failure and the request may run again.
pub(super) fn answered(core: &mut Core, key: AttemptKey, status: u16, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (call, backend, attempt_sent) = (attempt.call, attempt.backend, attempt.sent_at);
    let host = attempt.host;
    let is_forwarded = host.is_some();
    let is_standby = standby::is_standby(core, key);
    let now = core.now;
    let took = millis(now.since(attempt_sent));
    load::record_first_answer(core, key, took, out);
    close_attempt(core, key);
    poison::server_answered(core, backend, attempt_sent, out);
    // A refusal that states that the request did not run ends its attempt as failed.
    let is_unstated = NOT_RUN_STATUSES.contains(&status);
    let failed = status >= MIN_FAILURE_STATUS || is_unstated;
    match host {
        Some(host) => forward::answered(core, host),
        None => duty::usage::record(core, call, attempt_sent),
    }
    if let Some(instance) = core.relay.instances.arena.get_mut(backend) {
        instance.record_success(now);
    }
    let begun = core.relay.calls[call].delivered;
    if is_standby && (failed || begun) {
        // The other attempt is under way.
        return;
    }
    // The host that a request was forwarded to has retried it itself.
    if (failed || begun) && !is_forwarded {
        core.relay.calls[call].tried.push(backend);
        // A server that cannot continue a stream has refused it.
        if begun && standby::fall_back(core, call, out) {
            return;
        }
        if may_retry(core, call) {
            log_retry(core, call, &format!("answered {status}"), out);
            if has_time_left(core, call) {
                dispatch(core, call, out);
                return;
            }
        }
    }
    if (failed || begun) && standby::fall_back(core, call, out) {
        return;
    }
    if begun {
        let detail = "the stream could not go on";
        give_up(core, call, Kind::EngineFailed, detail, out);
        return;
    }
    if is_unstated {
        let detail = format!("answered {status} without a statement that it did not run");
        give_up(core, call, Kind::ServiceFailed, &detail, out);
        return;
    }
    if !failed {
        poison::answered(core, core.relay.calls[call].fingerprint, out);
    }
    if !is_forwarded && status < MIN_UNSERVED_STATUS {
        parts::answered(core, call, attempt_sent, out);
    }
    out.push(Effect::Relay(RelayEffect::ForwardAnswer(call)));
    let outcome = if failed { "failed-there" } else { "answered" };
    end(core, call, outcome, Ran::Yes, out);
}

/// Forwards a stream event, unless the caller already has it.
///
/// After a stream was resumed, the new run may start with events that the caller has. These are
/// dropped by their number. A run that started after the last one would leave a gap in the answer.
pub(super) fn stream_event(core: &mut Core, key: AttemptKey, number: u64, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let seen = core.relay.calls[attempt.call].last_event;
    let is_known = number > 0 && seen.is_some_and(|seen| number <= seen);
    if !is_known {
        standby::goes_on(core, key, out);
    }
    let now = core.now;
    let Some(attempt) = core.relay.attempts.get_mut(key) else {
        return;
    };
    let (call_key, backend, is_first) = (attempt.call, attempt.backend, attempt.began.is_none());
    let (is_handover, expected) = (
        matches!(attempt.task, Task::Decode { .. }),
        attempt.expected_ms,
    );
    let sent_at = attempt.sent_at;
    let host = attempt.host;
    let took = millis(now.since(sent_at));
    attempt.began.get_or_insert(now);
    let gap = now.since(attempt.last_received);
    attempt.last_received = now;
    // A gap in which the caller did not read is no measure of the server.
    let was_read = attempt.delivery == Delivery::Open;
    attempt.delivery = Delivery::Open;
    if is_first {
        load::record_first_answer(core, key, took, out);
        release_prefill_work(core, key);
        poison::server_answered(core, backend, sent_at, out);
        if let Some(instance) = core.relay.instances.arena.get_mut(backend) {
            instance.record_success(now);
        }
        if host.is_none() {
            versions::stream_began(core, key, out);
        }
        if !standby::is_standby(core, key) {
            // The engine has fetched the KV cache.
            core.relay.calls[call_key].cache = None;
        }
        match host {
            Some(host) => forward::answered(core, host),
            None => duty::usage::record(core, call_key, now),
        }
    } else if was_read {
        load::record_gap(core, key, gap);
    }
    if is_known {
        return;
    }
    let call = &mut core.relay.calls[call_key];
    if number > 0 {
        call.last_event = Some(number);
    }
    if let Some(last) = call.last_forwarded {
        call.timing.paused(now.since(last));
        out.push(Effect::Meter(Meter::TokenGap {
            class: call.route.name.clone(),
            gap: now.since(last),
        }));
    } else {
        let after = now.since(call.arrived);
        call.timing.began(is_handover, expected, took, after);
        out.push(Effect::Meter(Meter::FirstToken {
            class: call.route.name.clone(),
            customer: "".into(),
            after,
        }));
    }
    call.last_forwarded = Some(now);
    call.delivered = true;
    out.push(Effect::Relay(RelayEffect::ForwardEvent(call_key)));
}

/// Handles the end of a stream.
pub(super) fn stream_ended(core: &mut Core, key: AttemptKey, how: StreamEnd, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let call = attempt.call;
    log_stream_end(core, attempt, how, out);
    if let Some(reason) = how.break_reason() {
        attempt_failed(core, key, Ran::Yes, AttemptFailure::Cut, reason, out);
        return;
    }
    lateness::answered(core, call, out);
    load::record_run(core, key);
    let attempt = close_attempt(core, key);
    poison::answered(core, core.relay.calls[call].fingerprint, out);
    if let Some(attempt) = attempt.filter(|attempt| attempt.host.is_none() && how.events > 0) {
        parts::answered(core, call, attempt.sent_at, out);
    }
    out.push(Effect::Relay(RelayEffect::Finish(call)));
    end(core, call, "answered", Ran::Yes, out);
}

fn log_stream_end(core: &Core, attempt: &Attempt, end: StreamEnd, out: &mut Effects) {
    let call = &core.relay.calls[attempt.call];
    let backend = core.relay.instances.arena.get(attempt.backend);
    note(
        out,
        log::Level::Info,
        "stream.ended",
        vec![
            ("id", call.id.clone()),
            ("backend", backend.map_or("".into(), |i| i.id.clone())),
            ("framing", end.framing.name().into()),
            ("events", end.events.to_string().into()),
            ("unfinished_bytes", end.unfinished.to_string().into()),
            (
                "last_event",
                call.last_event
                    .map_or("none".into(), |last| last.to_string().into()),
            ),
        ],
    );
}

/// Handles the end of an attempt without a complete answer.
pub(super) fn attempt_failed(
    core: &mut Core,
    key: AttemptKey,
    ran: Ran,
    how: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let is_standby = standby::is_standby(core, key);
    let Some(attempt) = close_attempt(core, key) else {
        return;
    };
    out.push(Effect::Relay(RelayEffect::Cancel(key)));
    log_failure(core, &attempt, ran, how, detail, out);
    if how == AttemptFailure::NoDescriptor {
        call::not_sent(core, &attempt, detail, out);
        return;
    }
    if let Some(host) = attempt.host {
        forward::failed(core, &attempt, host, ran, detail, out);
        return;
    }
    let (call, backend) = (attempt.call, attempt.backend);
    let source = core.relay.calls[call].cache.as_ref();
    let source = source.map(|cache| cache.engine);
    let source = source.filter(|_| !is_standby && matches!(attempt.task, Task::Decode { .. }));
    if how == AttemptFailure::Cut {
        poison::report_crash(core, call, backend, out);
        parts::attempt_broke(core, &attempt, out);
    }
    match how {
        AttemptFailure::Refused | AttemptFailure::Rejected | AttemptFailure::Foreign => {
            links::received(core, out);
        }
        _ => links::attempt_failed(core, backend, out),
    }
    if !core.relay.links.are_lost() && !blames_source(core, source, how) {
        record_failure(core, backend, how, out);
    }
    if ran != Ran::No && core.relay.calls[call].prompt.is_none() {
        duty::usage::record(core, call, attempt.sent_at);
    }
    let entry = &mut core.relay.calls[call];
    entry.timing.failed(millis(core.now.since(attempt.sent_at)));
    if is_standby {
        // The other attempt is under way.
        entry.runs -= u32::from(ran == Ran::No);
        return;
    }
    entry.unreachable += u32::from(how == AttemptFailure::Unreachable);
    entry.tried.push(backend);
    match attempt.task {
        Task::Prefill => {
            // A prefill alone is no run, but it counts as an arrival if it reached the server.
            if how != AttemptFailure::Unreachable {
                entry.arrivals += 1;
            }
            retry_or_refuse(core, call, detail, out);
        }
        Task::Whole | Task::Decode { .. } => {
            if ran == Ran::No {
                entry.runs = entry.runs.saturating_sub(1);
                if how == AttemptFailure::Unreachable {
                    entry.arrivals = entry.arrivals.saturating_sub(1);
                } else {
                    // Whatever the reason of the refusal, the KV cache may be lost.
                    entry.cache = None;
                }
                retry_or_refuse(core, call, detail, out);
            } else if may_retry(core, call) {
                core.relay.calls[call].cache = None;
                retry(core, call, detail, out);
            } else {
                let kind = if how == AttemptFailure::Silent {
                    Kind::Silent
                } else {
                    Kind::ServiceFailed
                };
                give_up(core, call, kind, detail, out);
            }
        }
    }
}

fn log_failure(
    core: &Core,
    attempt: &Attempt,
    ran: Ran,
    how: AttemptFailure,
    detail: &str,
    out: &mut Effects,
) {
    let backend = core.relay.instances.arena.get(attempt.backend);
    let host = attempt
        .host
        .and_then(|host| core.relay.peers.arena.get(host));
    let target = backend.map(|instance| ("backend", instance.id.clone()));
    let target = target.or_else(|| host.map(|host| ("host", host.name.clone())));
    let call = &core.relay.calls[attempt.call];
    let began = attempt.began.map_or_else(
        || "never".to_owned(),
        |at| core.now.since(at).as_millis().to_string(),
    );
    note(
        out,
        log::Level::Info,
        "attempt.broke",
        vec![
            ("id", call.id.clone()),
            target.unwrap_or(("backend", "".into())),
            ("task", super::call::task_name(&attempt.task).into()),
            ("how", format!("{how:?}").into()),
            ("ran", ran.name().into()),
            (
                "after_ms",
                format!("{:.0}", millis(core.now.since(attempt.sent_at))).into(),
            ),
            ("began_ms", began.into()),
            ("parts", parts::short_text(call.prompt.as_ref())),
            ("detail", detail.into()),
        ],
    );
}

/// Returns whether a refusal counts against the engine that prefilled the KV cache, instead of the
/// one that should fetch it.
///
/// An engine may lose KV caches right after the prefill, or its link may delay transfers for
/// seconds: every engine that should fetch from it refuses, and would be avoided in turn.
fn blames_source(core: &mut Core, source: Option<BackendKey>, how: AttemptFailure) -> bool {
    let now = core.now;
    let source = source.and_then(|key| core.relay.instances.arena.get_mut(key));
    match source {
        Some(source) if how == AttemptFailure::Refused => {
            source.record_kv_transfer(false, now);
            source.kv_losses.fraction(now) > MAX_FAILED_HANDOVER_FRACTION
        }
        _ => false,
    }
}

/// Fraction of failed handovers of an engine's KV caches above which the engine itself is at fault.
const MAX_FAILED_HANDOVER_FRACTION: f64 = 0.25;

/// Records a failure of a backend server.
fn record_failure(core: &mut Core, backend: BackendKey, how: AttemptFailure, out: &mut Effects) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(backend) else {
        return;
    };
    match how {
        AttemptFailure::Refused => instance.record_refusal(now),
        AttemptFailure::Rejected => instance.addr_reused = true,
        AttemptFailure::Unreachable => instance.record_unreachable(now),
        AttemptFailure::NoDescriptor => {}
        AttemptFailure::Cut
        | AttemptFailure::Foreign
        | AttemptFailure::Silent
        | AttemptFailure::Forgotten => instance.record_failure(now),
    }
    if how == AttemptFailure::Rejected
        || !instance.is_available(now) && how != AttemptFailure::Refused
    {
        note(
            out,
            log::Level::Info,
            "backend.avoided",
            vec![
                ("backend", instance.id.clone()),
                ("how", format!("{how:?}").into()),
                ("fails", instance.failures.to_string().into()),
            ],
        );
    }
}

/// Returns whether a request that may have run may be sent again.
fn may_retry(core: &Core, key: CallKey) -> bool {
    let call = &core.relay.calls[key];
    call.route.retry == RetryPolicy::Idempotent && call.runs < call.route.max_attempts
}

/// Returns whether there is time for another attempt.
fn has_time_left(core: &Core, key: CallKey) -> bool {
    core.now < core.relay.calls[key].deadline
}

/// Retries a request, or refuses it if its deadline has passed.
fn retry_or_refuse(core: &mut Core, key: CallKey, detail: &str, out: &mut Effects) {
    if has_time_left(core, key) {
        dispatch(core, key, out);
    } else {
        let refusal = Refusal::new(Kind::Overloaded, detail);
        refuse(core, key, refusal, out);
    }
}

/// Sends a request again that may have run, or refuses it if its deadline has passed.
pub(super) fn retry(core: &mut Core, key: CallKey, detail: &str, out: &mut Effects) {
    log_retry(core, key, detail, out);
    retry_or_refuse(core, key, detail, out);
}

/// Records that a server is silent.
pub(super) fn record_silence(core: &mut Core, server: BackendKey, out: &mut Effects) {
    links::attempt_failed(core, server, out);
    if !core.relay.links.are_lost() {
        record_failure(core, server, AttemptFailure::Silent, out);
    }
}

/// Returns whether the request of an attempt may be sent to another server.
pub(super) fn may_move(core: &Core, attempt: &Attempt) -> bool {
    attempt.host.is_none()
        && (matches!(attempt.task, Task::Prefill) || may_retry(core, attempt.call))
}

fn log_retry(core: &Core, key: CallKey, detail: &str, out: &mut Effects) {
    let call = &core.relay.calls[key];
    out.push(Effect::Meter(Meter::Retried {
        class: call.route.name.clone(),
    }));
    note(
        out,
        log::Level::Info,
        "request.repeated",
        vec![
            ("id", call.id.clone()),
            ("runs", call.runs.to_string().into()),
            ("why", detail.into()),
        ],
    );
}
