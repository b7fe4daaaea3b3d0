//! What a host knows of the load of engines.
//!
//! A host knows its own work at each engine exactly. That of other hosts it knows by what they
//! tell, as long as they are few enough to tell each other, and otherwise by the engines' reports,
//! which lag, and by how long its own requests took.

use std::time::Duration;

use super::effect::Effect;
use super::event::Role;
use super::fleet::Backend;
use super::key::{BackendKey, HostKey};
use super::message::{Message, Sent};
use super::{Core, Effects, Time};
use crate::settings::PoolSettings;

/// Age at which what is known of other hosts' work at an engine is worth half, in seconds.
///
/// Reports lag, so that a busy engine can look idle to every host at once. A backlog of prompts
/// is gone within a second or so, whatever a report of it says.
const REPORT_HALF_LIFE_SECS: f64 = 0.5;
/// Streams that each other host has begun at an engine since it told, for each that this one has:
/// callers reach all hosts alike.
const PEER_STREAM_GROWTH: f64 = 1.0;
/// Least time between two tellings of streams, most of which last for seconds.
const STREAMS_INTERVAL: Duration = Duration::from_millis(900);
/// Free streams below which an engine counts as busy.
const MIN_FREE_STREAMS: f64 = 8.0;
/// Part of the wanted time between tokens up to which streams are given to an engine.
const MAX_GAP_FRACTION: f64 = 0.9;
/// Seconds of an engine's work below which a prefill says nothing about its speed: what every
/// request takes besides hides it.
const MIN_MEASURED_SECS: f64 = 0.0625;
/// Part of the way that the measured pace goes towards each measurement.
const PACE_WEIGHT: f64 = 0.1;
/// Least pace against the nominal one.
///
/// Low, because settings may call an engine far slower than it is.
const MIN_PACE_FRACTION: f64 = 0.02;
/// Time without a prompt of this host after which an idle engine is tried in spite of all words.
const UNTRIED_AFTER: Duration = Duration::from_secs(1);
/// Age up to which a report of an idle engine is believed.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Part of the way that the measured slowdown between tokens goes towards each answer's.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Part of what is known of answers' lengths that one more answer leaves in force.
const LENGTH_DECAY: f64 = 0.99;
/// Time between tokens of an empty batch, as a part of that of a full one.
const EMPTY_BATCH_GAP_FRACTION: f64 = 0.25;
/// Seconds of an engine's work in prompts sent there after which the other hosts are told: finer
/// news would cost more than it is worth.
const MIN_UNSENT_SECS: f64 = 0.0625;
/// Peers up to which hosts tell each other what they send: the messages grow with the hosts'
/// number, and beyond it only reports and measured times speak of other hosts' work.
const MAX_SHARING_PEERS: usize = 12;

/// What this host has measured of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Measured {
    /// Prompt tokens waiting there at a time, of all hosts as far as they told.
    queued_tokens: f64,
    queued_at: Time,
    /// When this host last sent a prompt there.
    last_sent: Time,
    /// Prompt tokens of this host that the others were not told of yet.
    unsent: u64,
    /// Time between tokens against that of an engine of nominal speed; 0 before the first.
    slowdown: f64,
}

/// Returns the seconds until an engine gets to a new prompt, by this host's reckoning.
#[must_use]
pub fn wait(engine: &Backend, settings: &PoolSettings, now: Time) -> f64 {
    backlog(engine, settings, now) * pace(engine, settings)
}

/// Returns the prompt tokens waiting at an engine: what hosts sent, less what it has worked
/// through since, and what its report adds.
fn backlog(engine: &Backend, settings: &PoolSettings, now: Time) -> f64 {
    let passed = now.since(engine.measured.queued_at).as_secs_f64();
    let left = engine.measured.queued_tokens - passed / pace(engine, settings);
    let known = left.max(engine.prefill as f64);
    let Some((read, report)) = &engine.report else {
        return known;
    };
    let age = now.since(*read).as_secs_f64() + f64::from(report.age) / 1000.0;
    let worth = 0.5_f64.powf(age / REPORT_HALF_LIFE_SECS);
    known + worth * (report.prefill as f64 - known).max(0.0)
}

/// Returns whether an engine keeps a prompt waiting for more than a part of the wanted time, or
/// has next to no free stream.
#[must_use]
pub fn busy(core: &Core, key: BackendKey, patience: f64) -> bool {
    let engine = &core.fleet.arena[key];
    settings(core, key).is_some_and(|settings| {
        let most = settings.first_token.as_secs_f64() * patience;
        let late = wait(engine, settings, core.now) > most;
        let crowded =
            engine.role != Role::Prefill && free_streams(engine, settings) < MIN_FREE_STREAMS;
        late || crowded
    })
}

/// Returns the prompt tokens waiting at an engine, by this host's reckoning.
#[must_use]
pub fn queued(core: &Core, key: BackendKey) -> u64 {
    let engine = &core.fleet.arena[key];
    settings(core, key).map_or(0, |settings| to_tokens(backlog(engine, settings, core.now)))
}

/// Returns whether an engine reports that nothing waits there and this host has sent it nothing
/// for a while.
///
/// What other hosts tell is reckoned at the pace this host has measured. Where the settings call
/// an engine far slower than it is, a host that refused every request would never measure it, and
/// would refuse for ever beside hosts that are served; one request now and then finds out.
#[must_use]
pub fn is_untried(core: &Core, key: BackendKey) -> bool {
    let engine = &core.fleet.arena[key];
    let idle = |(read, report): &(Time, super::event::Report)| {
        let age = core.now.since(*read) + Duration::from_millis(u64::from(report.age));
        report.waiting == 0 && age <= MAX_REPORT_AGE
    };
    let unused = core.now.since(engine.measured.last_sent) >= UNTRIED_AFTER;
    unused && engine.streams == 0 && engine.report.as_ref().is_some_and(idle)
}

/// Counts a prompt that this host sends to an engine, and tells the others.
pub fn record_sent(core: &mut Core, key: BackendKey, prompt: u64, out: &mut Effects) {
    enqueue(core, key, prompt);
    let Some(nominal) = settings(core, key).map(|settings| 1.0 / settings.prefill_rate) else {
        return;
    };
    let now = core.now;
    let engine = &mut core.fleet.arena[key];
    engine.measured.last_sent = now;
    engine.measured.unsent += prompt;
    let untold = engine.measured.unsent as f64 * nominal;
    if untold < MIN_UNSENT_SECS || core.members.count() > MAX_SHARING_PEERS {
        return;
    }
    let prompt = std::mem::take(&mut engine.measured.unsent);
    let sent = Sent {
        engine: engine.name_hash,
        prompt: u32::try_from(prompt).unwrap_or(u32::MAX),
    };
    out.extend(core.members.peers().map(|to| Effect::Send {
        to,
        message: Message::Sent(sent),
    }));
}

/// Takes in what another host sent to an engine.
pub fn receive_sent(core: &mut Core, sent: Sent) {
    let engines = core.fleet.arena.iter();
    let engine = engines
        .filter(|(_, engine)| engine.name_hash == sent.engine)
        .map(|(key, _)| key)
        .next();
    if let Some(key) = engine {
        enqueue(core, key, u64::from(sent.prompt));
    }
}

/// Tells the other hosts how many streams this host has at each engine.
pub fn send_streams(core: &mut Core, out: &mut Effects) {
    let passed = core.now.since(core.fleet.streams_sent_at);
    if core.members.count() > MAX_SHARING_PEERS || passed < STREAMS_INTERVAL {
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
        message: Message::Running(streams.clone()),
    }));
}

/// Takes in how many streams another host has at each engine.
pub fn receive_streams(core: &mut Core, from: HostKey, streams: &[(u32, u32)]) {
    for engine in core.fleet.arena.values_mut() {
        let told = streams.iter().find(|(seed, _)| *seed == engine.name_hash);
        // An engine without streams of the sender still has its word: none.
        engine
            .others
            .insert(from, told.map_or(0, |(_, count)| *count));
    }
}

/// Forgets what a host told that is gone.
pub fn forget_host(core: &mut Core, host: HostKey) {
    for engine in core.fleet.arena.values_mut() {
        engine.others.remove(&host);
    }
}

/// Adds a prompt to what waits at an engine.
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

/// Returns the seconds between tokens at an engine that gets one more stream; infinite where it
/// decodes as many as it can.
#[must_use]
pub fn gap(engine: &Backend, settings: &PoolSettings) -> f64 {
    let streams = streams(engine) + 1.0;
    let slots = settings.max_streams as f64;
    if streams > slots {
        return f64::INFINITY;
    }
    slowdown(engine) * nominal_gap(streams, settings)
}

/// Returns the streams that an engine can take before its time between tokens is too long.
#[must_use]
pub fn free_streams(engine: &Backend, settings: &PoolSettings) -> f64 {
    let slots = settings.max_streams as f64;
    let slowdown = slowdown(engine);
    let full = slots / settings.decode_rate;
    let wanted = settings.token_gap.as_secs_f64() * MAX_GAP_FRACTION / slowdown;
    let most =
        slots * (wanted / full - EMPTY_BATCH_GAP_FRACTION) / (1.0 - EMPTY_BATCH_GAP_FRACTION);
    most.min(slots) - streams(engine)
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

/// Returns the streams of all hosts at an engine, by its report and this host's own count.
fn streams(engine: &Backend) -> f64 {
    let own = f64::from(engine.streams);
    if !engine.others.is_empty() {
        let growth = own - f64::from(engine.reported_streams);
        let grown = PEER_STREAM_GROWTH * growth.max(0.0) * engine.others.len() as f64;
        return own + grown + f64::from(engine.others.values().sum::<u32>());
    }
    let Some((_, report)) = &engine.report else {
        return own;
    };
    let reported = f64::from(report.running + report.waiting);
    let others = (reported - f64::from(engine.reported_streams)).max(0.0);
    own + others
}

/// Returns the seconds that a prompt token takes at an engine, pieces in its cache counted as
/// tokens that take none.
#[must_use]
pub fn pace(engine: &Backend, settings: &PoolSettings) -> f64 {
    if engine.pace > 0.0 {
        engine.pace
    } else {
        1.0 / settings.prefill_rate
    }
}

/// Learns from a prompt that has been worked through: `ahead` tokens, its own among them, were
/// to be worked through from `sent` on.
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

/// Returns the tokens that an answer is likely to have whose caller allows this many.
#[must_use]
pub fn expected_tokens(core: &Core, key: BackendKey, most: u32) -> u64 {
    let pool = core.fleet.pool(&core.fleet.arena[key].pool);
    let (had, allowed) = pool.map_or((0.0, 0.0), |pool| {
        core.fleet.pools[usize::from(pool.0)].answer_tokens
    });
    let part = if allowed > 0.0 { had / allowed } else { 1.0 };
    to_tokens(f64::from(most) * part)
}

/// Learns from a whole answer: `tokens` of `most` tokens allowed took `span` from the first to
/// the last.
pub fn learn_decode(core: &mut Core, key: BackendKey, span: Duration, tokens: u64, most: u32) {
    if let Some(pool) = core.fleet.pool(&core.fleet.arena[key].pool) {
        let (had, allowed) = &mut core.fleet.pools[usize::from(pool.0)].answer_tokens;
        *had = *had * LENGTH_DECAY + tokens as f64;
        *allowed = *allowed * LENGTH_DECAY + f64::from(most);
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

/// Returns a number that looks random and depends on every bit of `value` (`SplitMix64`).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
