//! A caller's request: taken in, sent, and ended at its time.

use std::time::Duration;

use rand::RngExt;

use super::super::effect::{Effect, Refusal};
use super::super::event::Timer;
use super::super::key::{AttemptKey, BackendKey, CallKey};
use super::super::{Core, Effects};
use super::catalog::{Catalog, Route, Service};
use super::choose::{self, Choice};
use super::event::{Arrival, Outgoing, RelayEffect, Task};
use super::instance::Work;
use super::{Attempt, Call, RelayTimer, gossip, millis, note, parts, span};
use crate::error::{Kind, Ran};

/// Calls a host holds at once: a hundred times what one serves in its links' worst second.
const MOST: usize = 4096;
/// When to come back where nothing better is known: half of a burst of three seconds.
///
/// Sooner, callers meet the same queue and are refused again.
const COME_BACK: Duration = Duration::from_millis(1300);
/// When to come back to another host: the balancer sends a new connection to one at once.
const ELSEWHERE: Duration = Duration::from_millis(20);
/// Connections of a backend server that one host keeps idle, at least.
const IDLE_LEAST: usize = 2;

pub(super) fn arrived(core: &mut Core, arrival: Arrival, out: &mut Effects) {
    let found = find(core, &arrival);
    let (route, service) = match found {
        Ok(found) => found,
        Err(refusal) => {
            turn_away(core, arrival, refusal, out);
            return;
        }
    };
    let wait = arrival.deadline.unwrap_or(route.timeout).min(route.timeout);
    let key = open(core, arrival, route, service.clone(), wait, out);
    let budget = core.relay.budgets.entry(service).or_default();
    budget.request(core.now);
    if core.relay.calls.len() > MOST {
        let detail = format!("this host holds {MOST} requests");
        refuse(core, key, Refusal::new(Kind::Overloaded, detail), out);
        return;
    }
    if core.stop.closed() {
        let detail = "this host is shutting down";
        let refusal = Refusal::new(Kind::Stopping, detail).retry(ELSEWHERE);
        refuse(core, key, refusal, out);
        return;
    }
    super::wake(core, wait, RelayTimer::Deadline(key), out);
    dispatch(core, key, out);
}

fn print(print: &super::super::event::Print) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&print.0[..8]);
    u64::from_le_bytes(first)
}

/// Returns the route and the service of a request.
fn find(core: &mut Core, arrival: &Arrival) -> Result<(Route, Box<str>), Refusal> {
    let Some(catalog) = &core.relay.catalog else {
        let detail = "this host has no configuration yet";
        return Err(Refusal::new(Kind::CutOff, detail).retry(COME_BACK));
    };
    let Some(route) = catalog.route(&arrival.host, &arrival.path) else {
        if !core.relay.view.is_fresh(core.now) {
            let detail = "no known route, and the configuration may have changed";
            return Err(Refusal::new(Kind::CutOff, detail).retry(COME_BACK));
        }
        return Err(Refusal::new(Kind::NotFound, "no route for this path"));
    };
    let route = route.clone();
    let draw = core.rng.random::<f64>();
    match Catalog::drawn(&route, draw) {
        Some(service) => {
            let service = service.into();
            Ok((route, service))
        }
        None => Err(Refusal::new(Kind::NoEngine, "the route leads nowhere")),
    }
}

/// Refuses a request that has no route here.
fn turn_away(core: &mut Core, arrival: Arrival, refusal: Refusal, out: &mut Effects) {
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

/// Takes a request into the books; it must have its final answer after `wait`.
fn open(
    core: &mut Core,
    arrival: Arrival,
    route: Route,
    service: Box<str>,
    wait: Duration,
    out: &mut Effects,
) -> CallKey {
    let key = core.relay.calls.insert(Call {
        id: arrival.id,
        service,
        prompt: arrival.prompt,
        bytes: arrival.bytes,
        print: print(&arrival.print),
        arrived: core.now,
        end: core.now.after(wait),
        attempt: None,
        runs: 0,
        arrivals: 0,
        prefills: 0,
        tried: Vec::new(),
        seen: arrival.resume.filter(|_| route.streaming),
        delivered: false,
        cache: None,
        late: false,
        last: None,
        route,
    });
    out.push(Effect::Relay(RelayEffect::Opened(key)));
    key
}

/// Sends a request to a backend server, or refuses it where none can serve it.
pub(super) fn dispatch(core: &mut Core, key: CallKey, out: &mut Effects) {
    let print = core.relay.calls[key].print;
    if core.relay.killers.barred(print, core.now) {
        let detail = "backend servers died while running this request";
        let refusal = Refusal::new(Kind::EngineKiller, detail);
        refuse(core, key, refusal, out);
        return;
    }
    match choose::choose(core, key) {
        Ok(choice) => send(core, key, &choice, out),
        Err(refusal) => refuse(core, key, refusal, out),
    }
}

/// Counts a repeat, where the send is one; `false` where the budget is spent.
fn afford(core: &mut Core, key: CallKey, task: &Task) -> bool {
    let call = &core.relay.calls[key];
    let free = match task {
        Task::Prefill => call.prefills == 0 && call.arrivals == 0,
        Task::Whole | Task::Decode { .. } => call.arrivals == 0,
    };
    if free {
        return true;
    }
    let hosts = core.relay.peers.hosts();
    let Some(settings) = &core.settings.relay else {
        return false;
    };
    let service = call.service.clone();
    let budget = core.relay.budgets.entry(service).or_default();
    budget.spend(core.now, &settings.budget, hosts)
}

fn send(core: &mut Core, key: CallKey, choice: &Choice, out: &mut Effects) {
    if !afford(core, key, &choice.task) {
        let detail = "repeats use up their budget";
        let refusal = Refusal::new(Kind::Overloaded, detail).retry(COME_BACK);
        refuse(core, key, refusal, out);
        return;
    }
    let now = core.now;
    let idle = idle(core, choice.backend);
    let told = gossip::age(core).map_or_else(
        || "never".into(),
        |age| format!("{}", age.as_millis()).into(),
    );
    let unlisted = unlisted(core, choice.backend);
    let call = &mut core.relay.calls[key];
    let instance = &mut core.relay.instances.arena[choice.backend];
    match &choice.task {
        Task::Prefill => call.prefills += 1,
        Task::Whole | Task::Decode { .. } => {
            call.arrivals += 1;
            call.runs += 1;
        }
    }
    call.late = choice.late;
    instance.own_work = instance.own_work.plus(choice.work);
    instance.limit.spend(now);
    if let Some(prompt) = &call.prompt {
        parts::put(instance, prompt, now, span(choice.expected));
    }
    let attempt = core.relay.attempts.insert(Attempt {
        call: key,
        backend: choice.backend,
        task: choice.task.clone(),
        sent: now,
        work: choice.work,
        expected: choice.expected,
        reads: choice.reads,
        began: false,
        last: now,
    });
    call.attempt = Some(attempt);
    if choice.work.tokens > 0 || matches!(choice.task, Task::Prefill) {
        let parts = call.prompt.as_ref().map(|prompt| &prompt.parts);
        core.relay.peers.sent(parts, instance.short_hash);
    }
    note(
        out,
        log::Level::Info,
        "request.sent",
        vec![
            ("id", call.id.clone()),
            ("backend", instance.id.clone()),
            ("task", task_word(&choice.task).into()),
            ("expected_ms", format!("{:.0}", choice.expected).into()),
            ("calls", instance.work().calls.to_string().into()),
            ("tokens", instance.work().tokens.to_string().into()),
            ("own_tokens", instance.own_work.tokens.to_string().into()),
            ("peer_age_ms", told),
            ("unlisted_ms", unlisted),
            ("reads", choice.work.tokens.to_string().into()),
            (
                "fetched",
                choice
                    .fetch
                    .map_or(0, |fetch| fetch.tokens)
                    .to_string()
                    .into(),
            ),
            ("arrivals", call.arrivals.to_string().into()),
        ],
    );
    out.push(Effect::Relay(RelayEffect::Send(Box::new(Outgoing {
        call: key,
        attempt,
        instance: instance.id.clone(),
        addr: instance.addr,
        task: choice.task.clone(),
        left: call.end.since(now),
        urgency: choice.urgency,
        resume: call.seen,
        streaming: call.route.streaming && !matches!(choice.task, Task::Prefill),
        idle,
        fetch: choice.fetch.map(|fetch| fetch.from),
    }))));
    if let Some(silence) = choice.silence {
        super::wake(core, silence, RelayTimer::Silence(attempt), out);
    }
}

/// Returns for how long a backend server's entry has been missing from the store, for the log.
fn unlisted(core: &Core, key: BackendKey) -> Box<str> {
    let missed = core.relay.instances.arena[key].missing_since;
    missed.map_or_else(
        || "listed".into(),
        |at| core.now.since(at).as_millis().to_string().into(),
    )
}

/// Returns the word for a task in logs.
pub(super) fn task_word(task: &Task) -> &'static str {
    match task {
        Task::Whole => "whole",
        Task::Prefill => "prefill",
        Task::Decode { .. } => "decode",
    }
}

/// Returns how many idle connections to a backend server this host may keep: its part of what the
/// backend server accepts, less room for those in use.
fn idle(core: &Core, key: BackendKey) -> usize {
    let service = &core.relay.instances.arena[key].service;
    let known = core.relay.catalog.as_ref();
    let most = known
        .and_then(|catalog| catalog.services.get(service))
        .map_or(0, |service: &Service| service.connections);
    let hosts = core.relay.peers.hosts();
    (most as usize / hosts.max(1) / 3).max(IDLE_LEAST)
}

/// Forgets an attempt and the work it counted for.
pub(super) fn close(core: &mut Core, key: AttemptKey) -> Option<Attempt> {
    let attempt = core.relay.attempts.remove(key)?;
    if let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) {
        instance.own_work = instance.own_work.minus(attempt.work);
    }
    if let Some(call) = core.relay.calls.get_mut(attempt.call)
        && call.attempt == Some(key)
    {
        call.attempt = None;
    }
    Some(attempt)
}

/// Counts an attempt's prompt as prefilled.
pub(super) fn prefilled(core: &mut Core, key: AttemptKey) {
    let Some(attempt) = core.relay.attempts.get_mut(key) else {
        return;
    };
    let done = Work {
        calls: 0,
        ..attempt.work
    };
    attempt.work = attempt.work.minus(done);
    if let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) {
        instance.own_work = instance.own_work.minus(done);
    }
}

/// The caller closed its connection: nothing more is done for it.
pub(super) fn left(core: &mut Core, key: CallKey, out: &mut Effects) {
    if core.relay.calls.contains_key(key) {
        end(core, key, "caller-left", Ran::Unknown, out);
    }
}

/// A request has reached its end: it gets its final answer at once.
pub(super) fn deadline(core: &mut Core, key: CallKey, out: &mut Effects) {
    let Some(call) = core.relay.calls.get(key) else {
        return;
    };
    if core.now < call.end {
        out.push(Effect::Wake {
            at: call.end,
            timer: Timer::Relay(RelayTimer::Deadline(key)),
        });
        return;
    }
    if call.runs > 0 {
        give_up(core, key, Kind::Silent, "no whole answer in time", out);
    } else {
        let detail = "no backend server took the request in time";
        refuse(core, key, Refusal::new(Kind::Overloaded, detail), out);
    }
}

/// Ends a request whose host can wait no longer: as not run where that is true.
pub(super) fn abandon(core: &mut Core, key: CallKey, why: &str, out: &mut Effects) {
    refuse(
        core,
        key,
        Refusal::new(Kind::Stopping, why).retry(ELSEWHERE),
        out,
    );
}

/// Ends a request that may have run: a failure, or an answer that must look cut.
pub(super) fn give_up(core: &mut Core, key: CallKey, kind: Kind, detail: &str, out: &mut Effects) {
    if core.relay.calls[key].delivered {
        note(
            out,
            log::Level::Info,
            "request.cut",
            vec![
                ("id", core.relay.calls[key].id.clone()),
                ("code", kind.answer().code.into()),
                ("detail", detail.into()),
            ],
        );
        out.push(Effect::Relay(RelayEffect::Cut(key)));
        end(core, key, "cut", Ran::Yes, out);
    } else {
        let refusal = Refusal::new(kind, detail).ran(Ran::Unknown);
        answer_with(core, key, refusal, out);
    }
}

/// Refuses a request: as not run where that is true, as failed otherwise.
pub(super) fn refuse(core: &mut Core, key: CallKey, refusal: Refusal, out: &mut Effects) {
    let call = &core.relay.calls[key];
    if call.runs > 0 || call.delivered {
        let detail = refusal.detail.clone();
        give_up(core, key, Kind::EngineFailed, &detail, out);
    } else {
        answer_with(core, key, refusal.ran(Ran::No), out);
    }
}

fn answer_with(core: &mut Core, key: CallKey, refusal: Refusal, out: &mut Effects) {
    let (word, ran) = (refusal.kind.answer().code, refusal.ran);
    note(
        out,
        log::Level::Info,
        "request.refused",
        vec![
            ("id", core.relay.calls[key].id.clone()),
            ("config", version(core)),
            ("heard_ms", heard(core)),
            ("code", word.into()),
            ("ran", ran.word().into()),
            (
                "retry_ms",
                format!("{:.0}", refusal.retry.map_or(0.0, millis)).into(),
            ),
            ("detail", refusal.detail.clone()),
        ],
    );
    out.push(Effect::Relay(RelayEffect::Refuse { call: key, refusal }));
    end(core, key, word, ran, out);
}

/// Returns the version of the configuration in force, for the log.
fn version(core: &Core) -> Box<str> {
    let catalog = core.relay.catalog.as_ref();
    catalog
        .map_or(0, |catalog| catalog.version)
        .to_string()
        .into()
}

/// Returns how long ago all that the store held was known here, for the log.
fn heard(core: &Core) -> Box<str> {
    let heard = core.relay.view.fresh_at();
    heard.map_or_else(
        || "never".into(),
        |heard| core.now.since(heard).as_millis().to_string().into(),
    )
}

/// Forgets a request, closes its attempt and gives back what was made for it.
pub(super) fn end(
    core: &mut Core,
    key: CallKey,
    outcome: &'static str,
    ran: Ran,
    out: &mut Effects,
) {
    if let Some(attempt) = core.relay.calls[key].attempt {
        out.push(Effect::Relay(RelayEffect::Cancel(attempt)));
        close(core, attempt);
    }
    let Some(call) = core.relay.calls.remove(key) else {
        return;
    };
    if let Some(cache) = call.cache {
        out.push(Effect::Relay(RelayEffect::Free {
            instance: cache.instance,
            addr: cache.addr,
            handle: cache.handle,
        }));
    }
    let lasted = core.now.since(call.arrived);
    out.push(Effect::Meter(super::super::effect::Meter::Ended {
        class: call.route.name.clone(),
        customer: "".into(),
        outcome,
        lasted,
    }));
    note(
        out,
        log::Level::Info,
        "request.ended",
        vec![
            ("id", call.id),
            ("route", call.route.name),
            ("outcome", outcome.into()),
            ("ran", ran.word().into()),
            ("lasted_ms", format!("{:.0}", millis(lasted)).into()),
            ("runs", call.runs.to_string().into()),
        ],
    );
    super::super::stop::look(core, out);
}

/// Returns when a refused caller should come back: once the work that is ahead is done.
pub(super) fn come_back(core: &mut Core, backlog: f64) -> Duration {
    let spread = core.rng.random_range(0.8..1.6);
    span((backlog * spread).max(millis(COME_BACK) * spread))
}
