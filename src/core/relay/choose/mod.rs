//! Which backend server a request goes to, and whether it is taken at all.

mod handover;
mod plain;
mod spread;

use std::time::Duration;

use super::super::Core;
use super::super::effect::Refusal;
use super::super::key::{BackendKey, CallKey};
use super::call::come_back;
use super::catalog::Engine;
use super::event::{Prompt, Stage, Task};
use super::instance::{Instance, Work};
use super::model::Learned;
use super::parts::{Fetch, Holder};
use super::{Call, Reads, load, millis, parts, span};
use crate::error::Kind;
use crate::settings::relay::Policy;

/// Urgency of requests that can no longer be in time.
const LATE: u8 = 8;
/// Urgency of the most urgent rank; each rank below adds one.
const URGENT: u8 = 2;
/// Part of the time that is left which the expected time may take: a caller that waits longer
/// gives up while the work is done in vain.
const HOPE: f64 = 0.7;
/// Milliseconds a stream lasts that waits for a slot at a full engine, by rule of thumb.
const STREAM_TIME: f64 = 250.0;
/// Part of the shortest wanted time that the queue may be long for what is late in any case.
const SPARE: f64 = 0.2;
/// What another copy of a prompt part costs, as a part of the time in which it is read.
///
/// Each request leaves its shared parts at the engine that read them and at the one that generates.
/// At no cost engines fill with copies of the same parts, others are dropped and read again, and
/// their prompts come late.
const DISPLACED: f64 = 0.3;

/// Times as long as expected after which an attempt that brought nothing may be silent.
const SILENT_TIMES: f64 = 3.0;
/// Time beyond that, for what is expected almost at once.
const SILENT_LEAST: Duration = Duration::from_millis(300);

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendKey,
    /// What it is to do.
    pub task: Task,
    /// Work that the request adds there.
    pub work: Work,
    /// Milliseconds until the first of the answer.
    pub expected: f64,
    /// What is to be read there before its first token.
    pub reads: Reads,
    /// Urgency at an engine.
    pub urgency: Option<u8>,
    /// Whether it can no longer be in time.
    pub late: bool,
    /// What it copies first of the prompt from another engine.
    pub fetch: Option<Fetch>,
    /// Time after which it is looked at whether the attempt is silent.
    pub silence: Option<Duration>,
}

/// Chooses where a request goes.
///
/// # Errors
///
/// Returns the refusal where nothing takes it, or takes it too late.
pub fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let engines = core.relay.catalog.as_ref().is_some_and(|catalog| {
        let service = catalog.services.get(&call.service);
        service.is_some_and(|service| service.engine.is_some())
    });
    if engines && call.prompt.is_some() {
        if call.cache.is_some() {
            handover::choose(core, key)
        } else {
            fresh(core, key)
        }
    } else {
        plain::choose(core, key)
    }
}

/// Tells whether another backend server than this one could take the request.
pub fn elsewhere(core: &Core, key: CallKey, backend: BackendKey) -> bool {
    let call = &core.relay.calls[key];
    let all = core.relay.instances.of(&call.service);
    all.iter().any(|&other| {
        other != backend
            && !call.tried.contains(&other)
            && core.relay.instances.arena[other].admits(core.now)
    })
}

/// Returns the backend servers of a request's service that take work, those that failed it last.
fn takers(core: &Core, call: &Call, stage: Option<Stage>) -> Vec<BackendKey> {
    let all = core.relay.instances.of(&call.service).iter().copied();
    let takers = all.filter(|key| {
        let instance = &core.relay.instances.arena[*key];
        instance.admits(core.now) && (stage.is_none() || instance.stage == stage)
    });
    let takers: Vec<BackendKey> = takers.collect();
    let fresh: Vec<BackendKey> = takers
        .iter()
        .copied()
        .filter(|key| !call.tried.contains(key))
        .collect();
    if fresh.is_empty() { takers } else { fresh }
}

/// Returns when to look whether an attempt is silent from which an answer is expected after so many
/// milliseconds.
fn silence(expected: f64) -> Duration {
    span(expected * SILENT_TIMES) + SILENT_LEAST
}

fn policy(core: &Core) -> Policy {
    let relay = core.settings.relay.as_ref();
    relay.map_or(
        Policy {
            prefill: 0.5,
            crossing: 0.0,
            work: 1.0,
            beside: 1.0,
            patience: 1.0,
        },
        |relay| relay.policy,
    )
}

fn none(core: &mut Core, key: CallKey) -> Refusal {
    let service = core.relay.calls[key].service.clone();
    if let Some(wait) = limited(core, &service) {
        let retry = come_back(core, millis(wait));
        let detail = format!("servers of {service} take no more for now, by limits that they name");
        return Refusal::new(Kind::Overloaded, detail).retry(retry);
    }
    let retry = come_back(core, 0.0);
    Refusal::new(
        Kind::NoEngine,
        format!("nothing that serves {service} takes work"),
    )
    .retry(retry)
}

/// Returns the time until this host may send to a limited backend server, where only limits keep it from
/// those that take work.
fn limited(core: &Core, service: &str) -> Option<Duration> {
    let all = core.relay.instances.of(service).iter();
    let all = all.map(|key| &core.relay.instances.arena[*key]);
    let limited =
        all.filter(|instance| instance.is_available(core.now) && !instance.admits(core.now));
    limited
        .map(|instance| instance.limit.wait(core.now).unwrap_or_default())
        .min()
}

/// One way to serve a model request.
#[derive(Debug, Clone, Copy)]
struct Way {
    backend: BackendKey,
    stage: Stage,
    /// Work of reading it there, in tokens of a short prompt.
    tokens: u64,
    /// What is copied from another engine first.
    fetch: Option<Fetch>,
    /// What is to be read there.
    reads: Reads,
    /// Milliseconds until those are read.
    queue: f64,
    /// Milliseconds until its own part is done there.
    here: f64,
    /// Milliseconds until the first token.
    first: f64,
    /// What it costs, in milliseconds of delay.
    cost: f64,
}

/// Chooses for a model request of which nothing is read yet.
fn fresh(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let Some(prompt) = core.relay.calls[key].prompt.clone() else {
        return Err(none(core, key));
    };
    let policy = policy(core);
    let engines = [Stage::Prefill, Stage::Decode].map(|stage| {
        let takers = takers(core, &core.relay.calls[key], Some(stage));
        spread::drawn(core, key, &prompt, takers)
    });
    let call = &core.relay.calls[key];
    let handover = handover::expected(core, call);
    let moving = transfer(core, call, &prompt);
    let left = millis(call.end.since(core.now));
    let spent = millis(core.now.since(call.arrived));
    let wanted = millis(call.route.target) * policy.patience - spent;
    let holders = parts::holders(core, call, &prompt);
    let mut ways = Vec::new();
    for (stage, engines) in [Stage::Prefill, Stage::Decode].into_iter().zip(engines) {
        if stage == Stage::Prefill && handover.is_none() {
            continue;
        }
        ways.extend(engines.into_iter().map(|backend| {
            let waits = core.relay.instances.arena[backend].link.wait(core.now);
            let after = handover.unwrap_or(0.0) + moving + waits;
            way(core, call, &prompt, backend, after, &holders, policy)
        }));
    }
    let cheapest = |ways: &mut dyn Iterator<Item = &Way>| {
        ways.min_by(|one, two| one.cost.total_cmp(&two.cost))
            .copied()
    };
    let Some(mut way) = cheapest(&mut ways.iter()) else {
        return Err(none(core, key));
    };
    // The cheapest may be the one that holds the prompt's parts and is busy for longer than wanted.
    // Reading them again pays where an engine is idle; anywhere else it delays others by as much.
    let spare = spare(core, call);
    if way.first > wanted {
        let idle = |way: &&Way| way.first <= wanted && way.queue <= spare;
        way = cheapest(&mut ways.iter().filter(idle)).unwrap_or(way);
    }
    let late = way.first > wanted;
    let call = &core.relay.calls[key];
    if late && way.queue > spare || way.first > left * HOPE {
        let detail = format!("the first token would come after {:.0} ms", way.first);
        let retry = come_back(core, way.queue);
        return Err(Refusal::new(Kind::Overloaded, detail).retry(retry));
    }
    let work = Work {
        calls: 1,
        fill_rate: 0,
        tokens: way.tokens,
    };
    let task = match way.stage {
        Stage::Prefill => Task::Prefill,
        Stage::Decode => Task::Whole,
    };
    Ok(Choice {
        backend: way.backend,
        task,
        work,
        expected: way.here,
        reads: way.reads,
        urgency: Some(urgency(call, late)),
        late,
        fetch: way.fetch,
        silence: Some(silence(way.here)),
    })
}

fn urgency(call: &Call, late: bool) -> u8 {
    if late {
        LATE
    } else {
        (URGENT + call.route.rank).min(LATE - 1)
    }
}

/// Works out one way to serve a model request.
fn way(
    core: &Core,
    call: &Call,
    prompt: &Prompt,
    backend: BackendKey,
    handover: f64,
    holders: &[Holder],
    policy: Policy,
) -> Way {
    let instance = &core.relay.instances.arena[backend];
    let stage = instance.stage.unwrap_or(Stage::Decode);
    let unread = parts::unread(instance, prompt);
    let fetch = engine(core, call)
        .and_then(|engine| parts::fetch(instance, backend, unread, prompt, holders, engine));
    let work = instance.work();
    let reads = Reads {
        unread: unread - fetch.map_or(0, |fetch| fetch.tokens),
        held: prompt.tokens - unread + fetch.map_or(0, |fetch| fetch.tokens),
        ahead: work.tokens,
        before: fetch.map_or(0.0, |fetch| fetch.takes),
        ..Reads::default()
    };
    let learned = core.relay.model.of(&call.service);
    let tokens = learned.tokens(reads.unread, reads.held);
    let own = load::reading(learned, instance, tokens);
    let base = learned.base(stage);
    let (base, after, share) = match stage {
        Stage::Prefill => (base, handover, 1.0),
        Stage::Decode => (
            base + queued(instance) + crowded(instance),
            0.0,
            policy.beside,
        ),
    };
    let queue = load::reading(learned, instance, work.tokens);
    let here = base + queue + reads.before + own;
    let crossing = crossing(core, call, instance, policy);
    let vain = match stage {
        Stage::Prefill => instance.kv_loss_cost(own),
        Stage::Decode => 0.0,
    };
    Way {
        backend,
        stage,
        tokens,
        fetch,
        reads,
        queue,
        here,
        first: here + after,
        cost: here
            + after
            + load::usual(instance, own) * policy.work * share
            + displaced(learned, fetch.map_or(0, |fetch| fetch.tokens))
            + crossing
            + instance.failure_cost()
            + vain
            - instance.limit.recheck_bonus(core.now),
    }
}

/// Returns the milliseconds of queue before which a request that cannot be in time is still taken.
///
/// Engines read prompts in the order in which they came: one that is late in any case makes all
/// behind it late, too. It is worth a third of one in time, so that it may fill what is idle and
/// must not delay the shortest.
fn spare(core: &Core, call: &Call) -> f64 {
    let catalog = core.relay.catalog.as_ref();
    let routes = catalog.into_iter().flat_map(|catalog| &catalog.routes);
    let same = routes.filter(|route| {
        route.streaming
            && route
                .split
                .iter()
                .any(|(service, _)| *service == call.service)
    });
    let least = same.map(|route| route.target).min();
    millis(least.unwrap_or(call.route.target)) * SPARE
}

/// Returns the milliseconds that another copy of so many tokens costs: it takes the place of other
/// parts, which are then read again.
fn displaced(learned: &Learned, tokens: u64) -> f64 {
    learned.usual(tokens) * DISPLACED
}

/// Returns the delay that a request's bytes are worth on their way there.
fn crossing(core: &Core, call: &Call, instance: &Instance, policy: Policy) -> f64 {
    if instance.domain == core.settings.host.domain {
        0.0
    } else {
        call.bytes as f64 / 1000.0 * policy.crossing
    }
}

/// Returns the milliseconds that a request waits for a slot.
fn queued(instance: &Instance) -> f64 {
    let over = (instance.work().calls + 1).saturating_sub(instance.slots);
    f64::from(over) / f64::from(instance.slots) * STREAM_TIME
}

/// Returns the milliseconds that a request is slowed by those that run, or slows them.
fn crowded(instance: &Instance) -> f64 {
    f64::from(instance.work().calls) * load::STREAM
}

/// Returns what the engines of a request's service can do.
fn engine<'a>(core: &'a Core, call: &Call) -> Option<&'a Engine> {
    let catalog = core.relay.catalog.as_ref()?;
    catalog.services.get(&call.service)?.engine.as_ref()
}

/// Returns the milliseconds that the transfer of a prompt's KV cache takes.
fn transfer(core: &Core, call: &Call, prompt: &Prompt) -> f64 {
    engine(core, call).map_or(0.0, |engine| parts::transfer(engine, prompt.tokens))
}
