//! What attempts bring: prefilled prompts, events, whole answers, failures.

use super::super::effect::{Effect, Meter, Refusal};
use super::super::event::Break;
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::{Core, Effects};
use super::call::{close, dispatch, end, give_up, prefilled as count_prefilled, refuse};
use super::event::{RelayEffect, Task};
use super::{Cache, Repeat, load, millis, note};
use crate::error::{Kind, Ran};

/// HTTP statuses from here on are failures of the backend server.
const FAILURES: u16 = 500;

/// Takes in that an engine holds the KV cache of a prompt: another one goes on from it.
pub(super) fn prefilled(core: &mut Core, key: AttemptKey, handle: Box<str>, out: &mut Effects) {
    let now = core.now;
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (call, engine) = (attempt.call, attempt.backend);
    let took = millis(now.since(attempt.sent));
    load::measured(core, key, took, out);
    close(core, key);
    if let Some(instance) = core.relay.instances.arena.get_mut(engine) {
        instance.record_success();
        core.relay.calls[call].cache = Some(Cache {
            engine,
            instance: instance.id.clone(),
            addr: instance.addr,
            handle,
        });
    }
    dispatch(core, call, out);
}

/// Passes a whole answer on, or tries again where it is a failure and the request may repeat.
pub(super) fn answered(core: &mut Core, key: AttemptKey, status: u16, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let (call, backend) = (attempt.call, attempt.backend);
    let took = millis(core.now.since(attempt.sent));
    load::measured(core, key, took, out);
    close(core, key);
    let failed = status >= FAILURES;
    if let Some(instance) = core.relay.instances.arena.get_mut(backend) {
        instance.record_success();
    }
    if failed && may_repeat(core, call) && !core.relay.calls[call].delivered {
        core.relay.calls[call].tried.push(backend);
        note_retry(core, call, &format!("answered {status}"), out);
        if again_possible(core, call) {
            dispatch(core, call, out);
            return;
        }
    }
    if core.relay.calls[call].delivered {
        // A resumed stream cannot go on with an answer of another kind.
        give_up(
            core,
            call,
            Kind::EngineFailed,
            "the stream could not go on",
            out,
        );
        return;
    }
    core.relay.killers.cleared(core.relay.calls[call].print);
    out.push(Effect::Relay(RelayEffect::Pass(call)));
    let outcome = if failed { "failed-there" } else { "answered" };
    end(core, call, outcome, Ran::Yes, out);
}

/// Passes an event on if the caller does not have it yet.
///
/// After a stream was taken up again the new run may begin with events that the caller has; one
/// that leaves out some would tear a hole into the answer.
pub(super) fn piece(core: &mut Core, key: AttemptKey, number: u64, out: &mut Effects) {
    let now = core.now;
    let Some(attempt) = core.relay.attempts.get_mut(key) else {
        return;
    };
    let (call_key, backend, first) = (attempt.call, attempt.backend, !attempt.began);
    let took = millis(now.since(attempt.sent));
    attempt.began = true;
    let pause = millis(now.since(attempt.last));
    attempt.last = now;
    if !first && let Some(instance) = core.relay.instances.arena.get_mut(backend) {
        let learned = core.relay.model.of_mut(&instance.service);
        learned.paused(pause, &mut instance.pace);
    }
    if first {
        load::measured(core, key, took, out);
        count_prefilled(core, key);
        if let Some(instance) = core.relay.instances.arena.get_mut(backend) {
            instance.record_success();
        }
        // The engine has taken the KV cache over.
        core.relay.calls[call_key].cache = None;
    }
    let call = &mut core.relay.calls[call_key];
    if number > 0 && call.seen.is_some_and(|seen| number <= seen) {
        return;
    }
    if number > 0 {
        call.seen = Some(number);
    }
    if let Some(last) = call.last {
        out.push(Effect::Meter(Meter::Between {
            class: call.route.name.clone(),
            gap: now.since(last),
        }));
    } else {
        out.push(Effect::Meter(Meter::First {
            class: call.route.name.clone(),
            customer: "".into(),
            after: now.since(call.arrived),
        }));
    }
    call.last = Some(now);
    call.delivered = true;
    out.push(Effect::Relay(RelayEffect::Deliver(call_key)));
}

/// The stream ended as it should.
pub(super) fn whole(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = close(core, key) else {
        return;
    };
    let call = attempt.call;
    core.relay.killers.cleared(core.relay.calls[call].print);
    out.push(Effect::Relay(RelayEffect::Finish(call)));
    end(core, call, "answered", Ran::Yes, out);
}

/// Takes in the end of an attempt without a whole answer.
pub(super) fn broke(
    core: &mut Core,
    key: AttemptKey,
    ran: Ran,
    how: Break,
    detail: &str,
    out: &mut Effects,
) {
    let Some(attempt) = close(core, key) else {
        return;
    };
    out.push(Effect::Relay(RelayEffect::Cancel(key)));
    let (call, backend) = (attempt.call, attempt.backend);
    let source = core.relay.calls[call].cache.as_ref();
    let source = source.map(|cache| cache.engine);
    let source = source.filter(|_| matches!(attempt.task, Task::Decode { .. }));
    if !spoiled(core, source, how) {
        blame(core, backend, how, out);
    }
    note(
        out,
        log::Level::Info,
        "attempt.broke",
        vec![
            ("id", core.relay.calls[call].id.clone()),
            (
                "backend",
                core.relay
                    .instances
                    .arena
                    .get(backend)
                    .map_or("".into(), |i| i.id.clone()),
            ),
            ("task", super::call::task_word(&attempt.task).into()),
            ("how", format!("{how:?}").into()),
            ("ran", ran.word().into()),
            (
                "after_ms",
                format!("{:.0}", millis(core.now.since(attempt.sent))).into(),
            ),
            ("detail", detail.into()),
        ],
    );
    if how == Break::Cut {
        super::killer::suspect(core, call, backend, out);
    }
    let entry = &mut core.relay.calls[call];
    entry.tried.push(backend);
    match attempt.task {
        Task::Prefill => {
            // What only prefills has not run; but a call that arrived counts as an arrival.
            if how != Break::Unreachable {
                entry.arrivals += 1;
            }
            go_on(core, call, detail, out);
        }
        Task::Whole | Task::Decode { .. } => {
            if ran == Ran::No {
                entry.runs = entry.runs.saturating_sub(1);
                if how == Break::Unreachable {
                    entry.arrivals = entry.arrivals.saturating_sub(1);
                } else {
                    // Whatever it refused for, the KV cache cannot be counted on any more.
                    entry.cache = None;
                }
                go_on(core, call, detail, out);
            } else if may_repeat(core, call) {
                core.relay.calls[call].cache = None;
                note_retry(core, call, detail, out);
                go_on(core, call, detail, out);
            } else {
                let kind = if how == Break::Silent {
                    Kind::Silent
                } else {
                    Kind::ServiceFailed
                };
                give_up(core, call, kind, detail, out);
            }
        }
    }
}

/// Tells whether a refusal is held against the engine that read the KV cache, in place of the one
/// that was to take it.
///
/// An engine may drop what it has read at once, or its link may hold up transfers for seconds: each
/// engine that is sent there refuses, and would be avoided for it, one after the other.
fn spoiled(core: &mut Core, source: Option<BackendKey>, how: Break) -> bool {
    let source = source.and_then(|key| core.relay.instances.arena.get_mut(key));
    match source {
        Some(source) if how == Break::Refused => {
            source.record_kv_transfer(false);
            source.kv_loss_rate > SPOILED
        }
        _ => false,
    }
}

/// Part of an engine's KV caches that cannot be taken from which on it is at fault itself.
const SPOILED: f64 = 0.25;

/// Holds a failure against the backend server.
fn blame(core: &mut Core, backend: BackendKey, how: Break, out: &mut Effects) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(backend) else {
        return;
    };
    match how {
        Break::Refused => instance.record_refusal(now),
        Break::Rejected => instance.addr_reused = true,
        Break::Unreachable => instance.record_unreachable(now),
        Break::Cut | Break::Silent | Break::Forgotten => instance.record_failure(now),
    }
    if how == Break::Rejected || !instance.is_available(now) && how != Break::Refused {
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

/// Tells whether a request that may have run may be sent once more.
fn may_repeat(core: &Core, key: CallKey) -> bool {
    let call = &core.relay.calls[key];
    call.route.repeat == Repeat::Idempotent && call.runs < call.route.attempts
}

/// Tells whether there is time for another attempt.
fn again_possible(core: &Core, key: CallKey) -> bool {
    core.now < core.relay.calls[key].end
}

/// Tries again, if there is time.
fn go_on(core: &mut Core, key: CallKey, detail: &str, out: &mut Effects) {
    if again_possible(core, key) {
        dispatch(core, key, out);
    } else {
        let refusal = Refusal::new(Kind::Overloaded, detail);
        refuse(core, key, refusal, out);
    }
}

fn note_retry(core: &Core, key: CallKey, detail: &str, out: &mut Effects) {
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

/// An attempt has brought nothing for as long as is taken.
///
/// A backend server can hang while its health check is good, and a connection can fall silent for
/// good: the caller would wait until its deadline. What may repeat goes elsewhere in time.
pub(super) fn silence(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    let call = &core.relay.calls[attempt.call];
    let instance = core.relay.instances.arena.get(attempt.backend);
    let heard = instance.and_then(|instance| instance.last_response);
    let bound = load::silence(call, attempt, heard, core.now);
    let waited = core.now.since(attempt.last);
    if waited < bound {
        super::wake(
            core,
            bound.saturating_sub(waited),
            super::RelayTimer::Silence(key),
            out,
        );
        return;
    }
    let may = matches!(attempt.task, Task::Prefill) || may_repeat(core, attempt.call);
    if !may || !super::choose::elsewhere(core, attempt.call, attempt.backend) {
        super::wake(core, bound, super::RelayTimer::Silence(key), out);
        return;
    }
    let detail = format!("nothing came for {:.0} ms", millis(waited));
    broke(core, key, Ran::Unknown, Break::Silent, &detail, out);
}
