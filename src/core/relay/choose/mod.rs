//! Selection of a backend server for a request, and admission control.

mod decode;
mod handover;
mod plain;
mod sampling;

use std::time::Duration;

use super::super::Core;
use super::super::effect::Refusal;
use super::super::key::{BackendKey, CallKey};
use super::catalog::Engine;
use super::ending::{retry_after, retry_after_wait};
use super::event::{Prompt, Stage, Task};
use super::instance::{Instance, Work};
use super::model::ServiceModel;
use super::prefix_cache::{Fetch, Holder};
use super::recall::{self, Outlook};
use super::versions::Version;
use super::{
    Call, PrefillEstimate, from_millis, load, millis, parts, prefix_cache, retry, standby,
};
use crate::error::Kind;
use crate::settings::relay::{DecodePlacement, Policy};
use decode::DecodeCost;

/// Urgency of requests that can no longer meet their target.
const LATE_URGENCY: u8 = 8;
/// Urgency of streams that have begun: a caller waits in the middle of its answer.
const BEGUN_URGENCY: u8 = 1;
/// Urgency of rank 0; each further rank adds one.
const BASE_URGENCY: u8 = 2;
/// Fraction of the remaining time that the expected time may take: callers that wait longer give
/// up, and the work is wasted.
const MAX_WAIT_FRACTION: f64 = 0.7;
/// Assumed duration of a stream at an engine whose slots are all taken.
const STREAM_DURATION_MS: f64 = 250.0;
/// Queue length, as a fraction of the shortest target, up to which late requests are admitted.
const LATE_QUEUE_FRACTION: f64 = 0.2;
/// Cost of another copy of a prefix block, as a fraction of its prefill time.
///
/// Each request leaves its shared blocks at the engines that prefill and decode it. Without a cost,
/// engines fill with copies of the same blocks, others are evicted and prefilled again, and their
/// prompts come late.
const EVICTION_COST_FRACTION: f64 = 0.3;

/// Multiple of the expected time after which an attempt without an answer is checked for silence.
const SILENCE_FACTOR: f64 = 3.0;
/// Time in addition to that, for short expected times.
const SILENCE_MARGIN: Duration = Duration::from_millis(300);

/// The backend server chosen for a request, and what it has to do.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendKey,
    /// The task.
    pub task: Task,
    /// Work that the request adds there.
    pub work: Work,
    /// Expected time until the first part of the answer.
    pub expected_ms: f64,
    /// What the engine has to prefill before the first token.
    pub prefill: PrefillEstimate,
    /// Urgency at an engine.
    pub urgency: Option<u8>,
    /// Whether the request can no longer meet its target.
    pub is_late: bool,
    /// Prefix that the engine first copies from another one.
    pub fetch: Option<Fetch>,
    /// Time after which the attempt is checked for silence.
    pub silence_timeout: Option<Duration>,
    /// Expected times of the first event, for a prompt that is not prefilled yet.
    pub outlook: Option<Outlook>,
}

/// Chooses a backend server for a request. One that has run goes on at engines also if the configuration names them no more.
///
/// # Errors
///
/// Returns a refusal if no server can take the request, or none soon enough.
pub fn choose(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let call = &core.relay.calls[key];
    let has_run = call.runs > 0 || call.delivered;
    if call.engines && !has_run && engine_spec(core, call).is_none() {
        let detail = format!("no engines of {} are configured any more", call.service);
        return Err(Refusal::new(Kind::NoEngine, detail));
    }
    if call.engines && call.prompt.is_some() {
        if call.cache.is_some() {
            handover::choose(core, key)
        } else {
            choose_placement(core, key)
        }
    } else {
        plain::choose(core, key)
    }
}

/// Returns the backend servers of the request's service that accept work, but for that of its standby; those that already
/// failed the request only if there are no others. A server at which it was given up may take it again at any time: it was
/// silent, and may have gone on.
fn eligible_servers(core: &Core, call: &Call, stage: Option<Stage>) -> Vec<BackendKey> {
    let all = core.relay.instances.of(&call.service).iter().copied();
    let silent = standby::server(core, call.standby);
    let eligible = all.filter(|key| {
        let instance = &core.relay.instances.arena[*key];
        // A prefill sends no event.
        let may_go_on = stage == Some(Stage::Prefill)
            || call
                .version
                .is_none_or(|began| began.may_go_on_at(instance.version_key));
        let admits = instance.admits(core.now)
            || call.given_up == Some(*key) && instance.admits_in_backoff(core.now);
        admits && (stage.is_none() || instance.stage == stage) && may_go_on && silent != Some(*key)
    });
    let eligible: Vec<BackendKey> = eligible.collect();
    let untried: Vec<BackendKey> = eligible
        .iter()
        .copied()
        .filter(|key| !call.tried.contains(key))
        .collect();
    if untried.is_empty() {
        eligible
    } else {
        untried
    }
}

/// Returns the time after which to check an attempt for silence, by its expected milliseconds.
fn silence_timeout(expected_ms: f64) -> Duration {
    from_millis(expected_ms * SILENCE_FACTOR) + SILENCE_MARGIN
}

fn policy(core: &Core) -> Policy {
    let relay = core.settings.relay.as_ref();
    relay.map_or(
        Policy {
            prefill_fraction: 0.5,
            cross_domain_ms_per_kb: 0.0,
            engine_time_weight: 1.0,
            decode_engine_weight: 1.0,
            target_factor: 1.0,
            recall: false,
            announce_changes: false,
            decode_placement: DecodePlacement::Fixed,
            fair_shares: false,
        },
        |relay| relay.policy,
    )
}

/// Whether placements at decode engines are rated by the gaps of their streams.
pub fn places_by_gaps(core: &Core) -> bool {
    policy(core).decode_placement == DecodePlacement::Gaps
}

fn no_server(core: &mut Core, key: CallKey) -> Refusal {
    let call = &core.relay.calls[key];
    let service = call.service.clone();
    if call
        .version
        .is_some_and(|began| !is_listed(core, &service, began))
    {
        let detail = format!("no server of {service} has the version at which the stream began");
        return Refusal::new(Kind::NoVersion, detail);
    }
    if let Some(wait) = limit_wait(core, &service) {
        let retry = retry_after(core, millis(wait));
        let detail = format!("servers of {service} take no more for now, by limits that they name");
        return Refusal::new(Kind::Overloaded, detail).with_retry_after(retry);
    }
    if let Some(wait) = pushback_wait(core, &service) {
        let retry = retry_after_wait(core, wait);
        let detail = format!("servers of {service} want no requests for now");
        return Refusal::new(Kind::Overloaded, detail).with_retry_after(retry);
    }
    let retry = retry_after(core, 0.0);
    Refusal::new(
        Kind::NoEngine,
        format!("nothing that serves {service} takes work"),
    )
    .with_retry_after(retry)
}

/// Whether a server that stays has the version at which a stream began.
fn is_listed(core: &Core, service: &str, began: Version) -> bool {
    let all = core.relay.instances.of(service).iter();
    let mut all = all.map(|key| &core.relay.instances.arena[*key]);
    all.any(|instance| !instance.leaving && began.may_go_on_at(instance.version_key))
}

/// Returns the time until the first of a service's servers may get work again, if any of them wants
/// none for a time.
fn pushback_wait(core: &Core, service: &str) -> Option<Duration> {
    let all = core.relay.instances.of(service).iter();
    let all = all.map(|key| &core.relay.instances.arena[*key]);
    let pushes_back = |instance: &Instance| !instance.pushback.admits(core.now);
    let staying =
        all.filter_map(|instance| Some((instance.wait(core.now)?, pushes_back(instance))));
    let staying: Vec<(Duration, bool)> = staying.collect();
    let any_pushback = staying.iter().any(|(_, pushes_back)| *pushes_back);
    let soonest = staying.iter().map(|(wait, _)| *wait).min();
    // No caller needs to wait for the end of a pushback while another server is only full.
    soonest.filter(|wait| any_pushback && !wait.is_zero())
}

/// Returns the time until a rate limit admits the next request; `None` if no available server is
/// held back by its limit.
fn limit_wait(core: &Core, service: &str) -> Option<Duration> {
    let all = core.relay.instances.of(service).iter();
    let all = all.map(|key| &core.relay.instances.arena[*key]);
    let limited =
        all.filter(|instance| instance.is_available(core.now) && !instance.admits(core.now));
    limited
        .map(|instance| instance.limit.wait(core.now).unwrap_or_default())
        .min()
}

/// A candidate engine for a model request, with its estimated times.
#[derive(Debug, Clone, Copy)]
struct Placement {
    backend: BackendKey,
    stage: Stage,
    /// Prefill work, in equivalent tokens.
    tokens: u64,
    /// Prefix that is first copied from another engine.
    fetch: Option<Fetch>,
    /// What the engine has to prefill.
    prefill: PrefillEstimate,
    /// Time for the work queued there.
    queue_ms: f64,
    /// Time until this stage is done.
    stage_ms: f64,
    /// Time until the first token.
    first_token_ms: f64,
    /// Cost in milliseconds of delay; the lowest wins.
    cost: f64,
}

/// What the costs of all placements of a request depend on.
struct PlacementContext<'a> {
    /// Engines that hold a prefix of its prompt.
    holders: &'a [Holder],
    policy: Policy,
    /// Cost of placements at decode engines; `None` for the fixed costs.
    decode: Option<DecodeCost<'a>>,
    /// Context tokens that it is counted with at a decode engine.
    context_tokens: u64,
    /// Cost of the gaps at the best decode engine: a handover has at least this cost as well.
    least_gap_ms: f64,
}

/// Chooses an engine for a model request whose prompt is not prefilled yet.
fn choose_placement(core: &mut Core, key: CallKey) -> Result<Choice, Refusal> {
    let Some(prompt) = core.relay.calls[key].prompt.clone() else {
        return Err(no_server(core, key));
    };
    let policy = policy(core);
    let call = &core.relay.calls[key];
    // A begun stream stays at its silent server instead.
    let stays = call.delivered && call.standby.is_some();
    let runs_whole = !stays && !retry::allows_prefill(core, key);
    let engines = [Stage::Prefill, Stage::Decode].map(|stage| {
        let call = &core.relay.calls[key];
        let mut eligible = eligible_servers(core, call, Some(stage));
        if stage == Stage::Decode {
            decode::retain_with_room(core, call, &prompt, policy, &mut eligible);
        }
        sampling::sample(core, key, &prompt, eligible)
    });
    let call = &core.relay.calls[key];
    let decode = DecodeCost::of(core, call, policy);
    let handover = handover::expected_ms(core, call, decode.as_ref());
    let transfer = transfer_ms(core, call, &prompt);
    let left = millis(call.deadline.since(core.now));
    let spent = millis(core.now.since(call.arrived));
    let target = millis(call.route.target) * policy.target_factor - spent;
    let holders = prefix_cache::holders(core, call, &prompt);
    let is_tried = parts::admission::is_blamed(core, key);
    let context_tokens = decode::context_tokens(core, call, &prompt, policy);
    let least_gap_ms = decode.as_ref().map_or(0.0, |cost| {
        cost.least_gap_cost_ms(core, &engines[1], context_tokens)
    });
    let context = PlacementContext {
        holders: &holders,
        policy,
        decode,
        context_tokens,
        least_gap_ms,
    };
    let mut placements = Vec::new();
    for (stage, engines) in [Stage::Prefill, Stage::Decode].into_iter().zip(engines) {
        // A request that may crash an engine goes to one only.
        if stage == Stage::Prefill && (handover.is_none() || is_tried || runs_whole) {
            continue;
        }
        placements.extend(engines.into_iter().map(|backend| {
            let link_wait = core.relay.instances.arena[backend].link.wait_ms(core.now);
            let after = handover.unwrap_or(0.0) + transfer + link_wait;
            evaluate(core, call, &prompt, backend, after, &context)
        }));
    }
    let cheapest = |placements: &mut dyn Iterator<Item = &Placement>| {
        placements
            .min_by(|one, two| one.cost.total_cmp(&two.cost))
            .copied()
    };
    let Some(mut best) = cheapest(&mut placements.iter()) else {
        return Err(no_server(core, key));
    };
    // The cheapest may be an engine that has the prefix cached and a queue longer than the target.
    // Prefilling the prefix again pays only at an idle engine; elsewhere it delays other requests.
    let max_queue = max_late_queue_ms(core, call);
    if best.first_token_ms > target {
        let idle = |placement: &&Placement| {
            placement.first_token_ms <= target && placement.queue_ms <= max_queue
        };
        best = cheapest(&mut placements.iter().filter(idle)).unwrap_or(best);
    }
    let late = best.first_token_ms > target;
    let outlook = outlook(&best, &placements);
    let call = &core.relay.calls[key];
    let has_begun = call.version.is_some();
    if late && best.queue_ms > max_queue && !has_begun
        || best.first_token_ms > left * MAX_WAIT_FRACTION
    {
        let detail = format!(
            "the first token would come after {:.0} ms",
            best.first_token_ms
        );
        let retry = retry_after(core, best.queue_ms);
        return Err(Refusal::new(Kind::Overloaded, detail).with_retry_after(retry));
    }
    let (task, context) = match best.stage {
        Stage::Prefill => (Task::Prefill, 0),
        Stage::Decode => (Task::Whole, context_tokens),
    };
    Ok(Choice {
        backend: best.backend,
        task,
        work: Work {
            calls: 1,
            tokens: best.tokens,
            context,
            ..Work::default()
        },
        expected_ms: best.stage_ms,
        prefill: best.prefill,
        urgency: Some(urgency(call, late)),
        is_late: late,
        fetch: best.fetch,
        silence_timeout: Some(silence_timeout(best.stage_ms)),
        outlook: Some(outlook),
    })
}

/// Returns when the first event is expected from the chosen engine and from the best other one.
fn outlook(best: &Placement, placements: &[Placement]) -> Outlook {
    let others = placements.iter();
    let others = others.filter(|placement| placement.backend != best.backend);
    Outlook {
        first_event_ms: best.first_token_ms,
        elsewhere_ms: others
            .map(|placement| placement.first_token_ms)
            .min_by(f64::total_cmp),
    }
}

fn urgency(call: &Call, late: bool) -> u8 {
    if call.version.is_some() {
        BEGUN_URGENCY
    } else if late {
        LATE_URGENCY
    } else {
        let customer = call.identity.customer();
        let rank = customer.and_then(|customer| customer.rank);
        BASE_URGENCY
            .saturating_add(rank.unwrap_or(call.route.rank))
            .min(LATE_URGENCY - 1)
    }
}

/// Estimates the times and the cost of a model request at an engine.
fn evaluate(
    core: &Core,
    call: &Call,
    prompt: &Prompt,
    backend: BackendKey,
    handover: f64,
    context: &PlacementContext<'_>,
) -> Placement {
    let policy = context.policy;
    let instance = &core.relay.instances.arena[backend];
    let stage = instance.stage.unwrap_or(Stage::Decode);
    let uncached = prefix_cache::uncached_tokens(instance, prompt);
    let fetch = engine_spec(core, call).and_then(|engine| {
        prefix_cache::best_fetch(instance, backend, uncached, prompt, context.holders, engine)
    });
    let work = instance.work();
    let prefill = PrefillEstimate {
        uncached: uncached - fetch.map_or(0, |fetch| fetch.tokens),
        cached: prompt.tokens - uncached + fetch.map_or(0, |fetch| fetch.tokens),
        queued: work.tokens,
        delay_ms: fetch.map_or(0.0, |fetch| fetch.duration_ms),
        ..PrefillEstimate::default()
    };
    let model = core.relay.cost_model.of(&call.service);
    let tokens = model.equivalent_tokens(prefill.uncached, prefill.cached);
    let own = load::prefill_ms(model, instance, tokens);
    let base = model.base_ms(stage);
    let (base, after, weight) = match stage {
        Stage::Prefill => (base, handover, 1.0),
        Stage::Decode => (
            base + slot_wait_ms(instance, context.decode.as_ref()) + batching_delay_ms(instance),
            0.0,
            policy.decode_engine_weight,
        ),
    };
    let queue = load::prefill_ms(model, instance, work.tokens);
    let stage_ms = base + queue + prefill.delay_ms + own;
    let stage_ms = recall::expected_ms(core, backend, stage_ms);
    let crossing = crossing_cost_ms(core, call, instance, policy);
    let kv_loss = match stage {
        Stage::Prefill => instance.kv_loss_cost(own, core.now),
        Stage::Decode => 0.0,
    };
    let decode = context.decode.as_ref().filter(|_| stage == Stage::Decode);
    let streams = decode.map_or(0.0, |cost| {
        let gaps = cost.gap_cost_ms(instance, context.context_tokens);
        gaps.map_or(0.0, |gaps| gaps - context.least_gap_ms)
            + cost.prefill_cost_ms(instance, context.context_tokens, queue, own)
    });
    Placement {
        backend,
        stage,
        tokens,
        fetch,
        prefill,
        queue_ms: queue,
        stage_ms,
        first_token_ms: stage_ms + after,
        cost: stage_ms
            + after
            + load::normalized_ms(instance, own) * policy.engine_time_weight * weight
            + eviction_cost_ms(model, fetch.map_or(0, |fetch| fetch.tokens))
            + crossing
            + instance.failure_cost(core.now)
            + kv_loss
            + streams
            - instance.limit.recheck_bonus(core.now),
    }
}

/// Returns the queue up to which a request that cannot meet its target is still admitted.
///
/// Engines prefill prompts in order of arrival, so that a late request makes all behind it late as
/// well. A late answer is worth a third of one in time: it may use idle engines, but must not delay
/// the requests with the shortest target.
fn max_late_queue_ms(core: &Core, call: &Call) -> f64 {
    let catalog = core.relay.catalog.as_ref();
    let routes = catalog.into_iter().flat_map(|catalog| &catalog.routes);
    let same_service = routes.filter(|route| {
        route.streaming
            && route
                .split
                .iter()
                .any(|(service, _)| *service == call.service)
    });
    let shortest = same_service.map(|route| route.target).min();
    millis(shortest.unwrap_or(call.route.target)) * LATE_QUEUE_FRACTION
}

/// Returns the cost of another copy of so many tokens: it evicts other blocks, which are then
/// prefilled again.
fn eviction_cost_ms(model: &ServiceModel, tokens: u64) -> f64 {
    model.average_prefill_ms(tokens) * EVICTION_COST_FRACTION
}

/// Returns the cost of sending a request's bytes to another failure domain.
fn crossing_cost_ms(core: &Core, call: &Call, instance: &Instance, policy: Policy) -> f64 {
    if instance.domain == core.settings.host.domain {
        0.0
    } else {
        call.bytes as f64 / 1000.0 * policy.cross_domain_ms_per_kb
    }
}

/// Returns the expected wait for a slot; by a fixed duration of streams without a cost function for
/// decode engines, or before it has learned the duration.
fn slot_wait_ms(instance: &Instance, decode: Option<&DecodeCost<'_>>) -> f64 {
    if let Some(wait) = decode.and_then(|cost| cost.slot_wait_ms(instance)) {
        return wait;
    }
    let over = (instance.work().calls + 1).saturating_sub(instance.slots);
    f64::from(over) / f64::from(instance.slots) * STREAM_DURATION_MS
}

/// Returns the delay that a request and those already running there cause each other.
fn batching_delay_ms(instance: &Instance) -> f64 {
    f64::from(instance.work().calls) * load::DELAY_PER_STREAM_MS
}

/// Returns the configured properties of the engines of a request's service.
fn engine_spec<'a>(core: &'a Core, call: &Call) -> Option<&'a Engine> {
    let catalog = core.relay.catalog.as_ref()?;
    catalog.services.get(&call.service)?.engine.as_ref()
}

/// Returns the time to transfer a prompt's KV cache.
fn transfer_ms(core: &Core, call: &Call, prompt: &Prompt) -> f64 {
    engine_spec(core, call).map_or(0.0, |engine| {
        prefix_cache::transfer_ms(engine, prompt.tokens)
    })
}
