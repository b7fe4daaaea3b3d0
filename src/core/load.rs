//! Estimates of the load of engines.
//!
//! A host counts its own work at each engine exactly. It estimates the work of other hosts from their messages, while
//! there are few enough hosts to exchange them, and otherwise from the engines' reports, which lag, and from the
//! duration of its own requests.

use std::time::Duration;

use super::effect::Effect;
use super::event::Role;
use super::fleet::Backend;
use super::key::{BackendKey, HostKey};
use super::message::{Message, SentPrompt};
use super::{Core, Effects, Time};
use crate::settings::PoolSettings;

/// Age at which an engine's report of waiting prompts counts for half.
///
/// Reports lag, so that a busy engine can look idle to every host at the same time. A backlog of prompts is worked off
/// within about a second, whatever the report says.
const REPORT_HALF_LIFE_SECS: f64 = 0.5;
/// Streams that each other host is assumed to have started at an engine since its last message, for each that this
/// host started: all hosts get about as many requests.
const PEER_STREAM_GROWTH: f64 = 1.0;
/// Minimum time between two messages with stream counts; most streams last for seconds.
const STREAMS_INTERVAL: Duration = Duration::from_millis(900);
/// Free streams below which an engine counts as busy.
const MIN_FREE_STREAMS: f64 = 8.0;
/// Fraction of the target time between tokens up to which an engine gets streams.
const MAX_GAP_FRACTION: f64 = 0.9;
/// Seconds of an engine's work below which a prefill is no measurement of its speed, since the fixed overhead of a
/// request dominates.
const MIN_MEASURED_SECS: f64 = 0.0625;
/// Weight of each measurement in the measured pace.
const PACE_WEIGHT: f64 = 0.1;
/// Lower bound of the measured pace, as a fraction of the nominal pace.
///
/// It is low because the settings may describe an engine as far slower than it is.
const MIN_PACE_FRACTION: f64 = 0.02;
/// Time without a prompt of this host after which an idle engine gets one regardless of the other hosts' messages.
const UNTRIED_AFTER: Duration = Duration::from_secs(1);
/// Age up to which the report of an idle engine is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Weight of each answer in the measured slowdown between tokens.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Factor by which each answer decays the known lengths of earlier answers.
const LENGTH_DECAY: f64 = 0.99;
/// Time between tokens of an empty batch, as a fraction of that of a full batch.
const EMPTY_BATCH_GAP_FRACTION: f64 = 0.25;
/// Seconds of an engine's work in prompts sent there after which the other hosts get a message. Smaller amounts are
/// not worth a message.
const MIN_UNSENT_SECS: f64 = 0.0625;
/// Number of hosts up to which they report to each other what they send. The messages grow with the number of hosts;
/// beyond it, the work of other hosts is known only by the engines' reports and by measured times.
const MAX_SHARING_HOSTS: usize = 12;

/// This host's measurements of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Measured {
    /// Prompt tokens of this host and of those that report theirs that waited there at `queued_at`.
    queued_tokens: f64,
    queued_at: Time,
    /// When this host last sent a prompt there.
    last_sent: Time,
    /// Prompt tokens of this host that were not reported to the others yet.
    unsent: u64,
    /// Time between tokens relative to an engine of nominal speed; 0 before the first measurement.
    slowdown: f64,
}

/// Returns the estimated seconds until an engine starts on a new prompt.
#[must_use]
pub fn wait(engine: &Backend, settings: &PoolSettings, now: Time) -> f64 {
    backlog(engine, settings, now) * pace(engine, settings)
}

/// Returns the estimated prompt tokens waiting at an engine: those that hosts sent, minus those prefilled since, plus
/// the excess that its report shows, weighted by the report's age.
fn backlog(engine: &Backend, settings: &PoolSettings, now: Time) -> f64 {
    let passed = now.since(engine.measured.queued_at).as_secs_f64();
    let left = engine.measured.queued_tokens - passed / pace(engine, settings);
    let known = left.max(engine.prefill as f64);
    let Some((read, report)) = &engine.report else {
        return known;
    };
    let age = now.since(*read).as_secs_f64() + f64::from(report.age_ms) / 1000.0;
    let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE_SECS);
    known + weight * (report.queued_prefill as f64 - known).max(0.0)
}

/// Whether an engine makes a prompt wait for more than a fraction of the target time to the first token, or has almost
/// no free stream.
#[must_use]
pub fn busy(core: &Core, key: BackendKey, fraction: f64) -> bool {
    let engine = &core.fleet.arena[key];
    settings(core, key).is_some_and(|settings| {
        let max = settings.first_token.as_secs_f64() * fraction;
        let late = wait(engine, settings, core.now) > max;
        let crowded =
            engine.role != Role::Prefill && free_streams(engine, settings) < MIN_FREE_STREAMS;
        late || crowded
    })
}

/// Returns the estimated prompt tokens waiting at an engine.
#[must_use]
pub fn queued(core: &Core, key: BackendKey) -> u64 {
    let engine = &core.fleet.arena[key];
    settings(core, key).map_or(0, |settings| to_tokens(backlog(engine, settings, core.now)))
}

/// Whether an engine reports that nothing waits there and this host has sent it nothing for a while.
///
/// The work reported by other hosts is converted at the pace that this host has measured. If the settings describe an
/// engine as far slower than it is, a host that refuses every request would never measure the engine, and would refuse
/// forever while other hosts serve theirs. An occasional request measures it.
#[must_use]
pub fn is_untried(core: &Core, key: BackendKey) -> bool {
    let engine = &core.fleet.arena[key];
    let idle = |(read, report): &(Time, super::event::Report)| {
        let age = core.now.since(*read) + Duration::from_millis(u64::from(report.age_ms));
        report.waiting == 0 && age <= MAX_REPORT_AGE
    };
    let unused = core.now.since(engine.measured.last_sent) >= UNTRIED_AFTER;
    unused && engine.streams == 0 && engine.report.as_ref().is_some_and(idle)
}

/// Counts a prompt that this host sends to an engine, and reports it to the others.
pub fn record_sent(core: &mut Core, key: BackendKey, prompt: u64, out: &mut Effects) {
    enqueue(core, key, prompt);
    let Some(nominal) = settings(core, key).map(|settings| 1.0 / settings.prefill_rate) else {
        return;
    };
    let now = core.now;
    let engine = &mut core.fleet.arena[key];
    engine.measured.last_sent = now;
    engine.measured.unsent += prompt;
    let unsent = engine.measured.unsent as f64 * nominal;
    if unsent < MIN_UNSENT_SECS || core.members.count() > MAX_SHARING_HOSTS {
        return;
    }
    let prompt = std::mem::take(&mut engine.measured.unsent);
    let sent = SentPrompt {
        engine: engine.name_hash,
        prompt_tokens: u32::try_from(prompt).unwrap_or(u32::MAX),
    };
    out.extend(core.members.peers().map(|to| Effect::Send {
        to,
        message: Message::SentPrompt(sent),
    }));
}

/// Counts prompts that another host sent to an engine.
pub fn receive_sent(core: &mut Core, sent: SentPrompt) {
    let engines = core.fleet.arena.iter();
    let engine = engines
        .filter(|(_, engine)| engine.name_hash == sent.engine)
        .map(|(key, _)| key)
        .next();
    if let Some(key) = engine {
        enqueue(core, key, u64::from(sent.prompt_tokens));
    }
}

/// Sends the number of this host's streams at each engine to the other hosts.
pub fn send_streams(core: &mut Core, out: &mut Effects) {
    let passed = core.now.since(core.fleet.streams_sent_at);
    if core.members.count() > MAX_SHARING_HOSTS || passed < STREAMS_INTERVAL {
        return;
    }
    core.fleet.streams_sent_at = core.now;
    for engine in core.fleet.arena.values_mut() {
        engine.reported_streams = engine.streams;
    }
    let engines = core.fleet.pools.iter().flat_map(|pool| &pool.engines);
    let streams: Vec<(u32, u32)> = engines
        .map(|&key| &core.fleet.arena[key])
        .filter(|engine| engine.streams > 0)
        .map(|engine| (engine.name_hash, engine.streams))
        .collect();
    out.extend(core.members.peers().map(|to| Effect::Send {
        to,
        message: Message::StreamCounts(streams.clone()),
    }));
}

/// Records the number of streams that another host has at each engine.
pub fn receive_streams(core: &mut Core, from: HostKey, streams: &[(u32, u32)]) {
    for engine in core.fleet.arena.values_mut() {
        let count = streams.iter().find(|(hash, _)| *hash == engine.name_hash);
        // An engine that the message does not name is recorded with no streams of the sender.
        engine
            .peer_streams
            .insert(from, count.map_or(0, |(_, count)| *count));
    }
}

/// Drops the stream counts of a host that left.
pub fn forget_host(core: &mut Core, host: HostKey) {
    for engine in core.fleet.arena.values_mut() {
        engine.peer_streams.remove(&host);
    }
}

/// Adds a prompt to those waiting at an engine.
fn enqueue(core: &mut Core, key: BackendKey, prompt: u64) {
    let now = core.now;
    let Some(pace) = settings(core, key).map(|settings| pace(&core.fleet.arena[key], settings))
    else {
        return;
    };
    let measured = &mut core.fleet.arena[key].measured;
    let passed = now.since(measured.queued_at).as_secs_f64();
    measured.queued_tokens = (measured.queued_tokens - passed / pace).max(0.0) + prompt as f64;
    measured.queued_at = now;
}

/// Returns the seconds between tokens at an engine that gets one more stream; infinite if all its slots are used.
#[must_use]
pub fn gap(engine: &Backend, settings: &PoolSettings) -> f64 {
    let streams = streams(engine) + 1.0;
    let slots = settings.max_streams as f64;
    if streams > slots {
        return f64::INFINITY;
    }
    slowdown(engine) * nominal_gap(streams, settings)
}

/// Returns the number of streams that an engine can accept before its time between tokens is too long.
#[must_use]
pub fn free_streams(engine: &Backend, settings: &PoolSettings) -> f64 {
    let slots = settings.max_streams as f64;
    let slowdown = slowdown(engine);
    let full = slots / settings.decode_rate;
    let wanted = settings.token_gap.as_secs_f64() * MAX_GAP_FRACTION / slowdown;
    let max = slots * (wanted / full - EMPTY_BATCH_GAP_FRACTION) / (1.0 - EMPTY_BATCH_GAP_FRACTION);
    max.min(slots) - streams(engine)
}

fn slowdown(engine: &Backend) -> f64 {
    if engine.measured.slowdown > 0.0 {
        engine.measured.slowdown
    } else {
        1.0
    }
}

/// Returns the seconds between tokens at an engine of nominal speed.
fn nominal_gap(streams: f64, settings: &PoolSettings) -> f64 {
    let slots = settings.max_streams as f64;
    slots / settings.decode_rate
        * (EMPTY_BATCH_GAP_FRACTION + (1.0 - EMPTY_BATCH_GAP_FRACTION) * streams / slots)
}

/// Returns the estimated streams of all hosts at an engine, from this host's own count and either the other hosts'
/// messages or the engine's report.
fn streams(engine: &Backend) -> f64 {
    let own = f64::from(engine.streams);
    if !engine.peer_streams.is_empty() {
        let growth = own - f64::from(engine.reported_streams);
        let assumed = PEER_STREAM_GROWTH * growth.max(0.0) * engine.peer_streams.len() as f64;
        return own + assumed + f64::from(engine.peer_streams.values().sum::<u32>());
    }
    let Some((_, report)) = &engine.report else {
        return own;
    };
    let reported = f64::from(report.running + report.waiting);
    let others = (reported - f64::from(engine.reported_streams)).max(0.0);
    own + others
}

/// Returns the seconds per prompt token at an engine; cached blocks count as tokens that take no time.
#[must_use]
pub fn pace(engine: &Backend, settings: &PoolSettings) -> f64 {
    if engine.pace > 0.0 {
        engine.pace
    } else {
        1.0 / settings.prefill_rate
    }
}

/// Updates the pace from a finished prefill: from `sent` on, the engine had `ahead` tokens to prefill, the prompt's own
/// included.
pub fn learn_prefill(core: &mut Core, key: BackendKey, sent: Time, ahead: u64) {
    let now = core.now;
    let Some(nominal) = settings(core, key).map(|settings| 1.0 / settings.prefill_rate) else {
        return;
    };
    if (ahead as f64) * nominal < MIN_MEASURED_SECS {
        return;
    }
    let engine = &mut core.fleet.arena[key];
    let before = if engine.pace > 0.0 {
        engine.pace
    } else {
        nominal
    };
    let seen = now.since(sent).as_secs_f64() / ahead as f64;
    engine.pace = (before + PACE_WEIGHT * (seen - before)).max(nominal * MIN_PACE_FRACTION);
}

/// Returns the expected tokens of an answer whose caller allows at most `max`.
#[must_use]
pub fn expected_tokens(core: &Core, key: BackendKey, max: u32) -> u64 {
    let pool = core.fleet.pool(&core.fleet.arena[key].pool);
    let (length, allowed) = pool.map_or((0.0, 0.0), |pool| {
        core.fleet.pools[usize::from(pool.0)].answer_tokens
    });
    let fraction = if allowed > 0.0 { length / allowed } else { 1.0 };
    to_tokens(f64::from(max) * fraction)
}

/// Updates the slowdown and the length of answers from a complete answer: `tokens` of at most `max` tokens, of which
/// the last came `span` after the first.
pub fn learn_decode(core: &mut Core, key: BackendKey, span: Duration, tokens: u64, max: u32) {
    if let Some(pool) = core.fleet.pool(&core.fleet.arena[key].pool) {
        let (length, allowed) = &mut core.fleet.pools[usize::from(pool.0)].answer_tokens;
        *length = *length * LENGTH_DECAY + tokens as f64;
        *allowed = *allowed * LENGTH_DECAY + f64::from(max);
    }
    if tokens < 2 {
        return;
    }
    let seen = span.as_secs_f64() / (tokens - 1) as f64;
    let Some(nominal) = settings(core, key).map(|settings| {
        let streams = streams(&core.fleet.arena[key]).min(settings.max_streams as f64);
        nominal_gap(streams, settings)
    }) else {
        return;
    };
    let slowdown = &mut core.fleet.arena[key].measured.slowdown;
    let before = if *slowdown > 0.0 { *slowdown } else { 1.0 };
    *slowdown = before + SLOWDOWN_WEIGHT * (seen / nominal - before);
}

fn settings(core: &Core, key: BackendKey) -> Option<&PoolSettings> {
    let pool = core.fleet.pool(&core.fleet.arena.get(key)?.pool)?;
    Some(&core.fleet.pools[usize::from(pool.0)].settings)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are positive and far below the bound of the type"
)]
fn to_tokens(tokens: f64) -> u64 {
    tokens as u64
}

/// Returns a pseudo-random number that depends on every bit of `value` (`SplitMix64`).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
