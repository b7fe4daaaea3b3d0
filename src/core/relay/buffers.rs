//! Bytes that this host holds for callers and servers: bodies of requests, and answers that callers have not read.
//!
//! Callers and servers may read slowly. A host that exceeds its memory is ended with all its requests, so it stops
//! reading from servers for callers that do not keep up, refuses further bodies, and at last ends the slowest reader.

use std::time::Duration;

use super::super::effect::Effect;
use super::super::key::{AttemptKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::ending::give_up;
use super::event::RelayEffect;
use super::{Delivery, note};
use crate::error::Kind;

/// Fraction of the memory that bodies and answers may take: connections, the views of servers and prefix blocks and the
/// allocator need the rest.
const HELD_FRACTION: f64 = 0.25;
/// Part of these bytes from which on nothing more is read for callers that do not keep up: unread answers alone must not keep
/// out the requests of others.
const UNREAD_DIVISOR: usize = 2;
/// Time after which a caller that reads nothing may be ended: callers give up a stream after two seconds without an event.
const MAX_BLOCKED: Duration = Duration::from_secs(2);

/// The bound on held bytes, and what it has caused.
#[derive(Debug, Default)]
pub struct Buffers {
    /// Most bytes to hold; `None` for no bound.
    max: Option<usize>,
    /// When the bound was reached, while it is.
    full_since: Option<Time>,
    refused: u64,
    ended: u64,
}

impl Buffers {
    /// Returns how many bodies were refused, and how many answers ended, for want of memory.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.refused, self.ended)
    }
}

/// Applies the memory that the settings allow.
pub(super) fn apply_settings(core: &mut Core, out: &mut Effects) {
    let memory = core.settings.relay.as_ref().and_then(|relay| relay.memory);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a fraction of a number of bytes"
    )]
    let max = memory.map(|memory| (memory as f64 * HELD_FRACTION) as usize);
    core.relay.buffers.max = max;
    out.push(Effect::Relay(RelayEffect::BoundHeldBytes(
        max.map(|max| max / UNREAD_DIVISOR),
    )));
}

/// Decides on bytes of a request's body, while so many bytes are held.
pub(super) fn body_offered(core: &mut Core, bytes: usize, held: usize, out: &mut Effects) {
    let buffers = &mut core.relay.buffers;
    if buffers.max.is_none_or(|max| held + bytes <= max) {
        if let Some(since) = buffers.full_since.take() {
            log_relieved(core, since, out);
        }
        out.push(Effect::Relay(RelayEffect::AdmitBody));
        return;
    }
    buffers.refused += 1;
    if buffers.full_since.is_none() {
        buffers.full_since = Some(core.now);
        log_full(core, held, out);
    }
    if let Some((attempt, call)) = slowest_reader(core) {
        end_reader(core, attempt, call, held, out);
    }
}

/// Returns the request whose caller has read nothing for the longest time, if that is long enough.
fn slowest_reader(core: &Core) -> Option<(AttemptKey, CallKey)> {
    let attempts = core.relay.attempts.iter();
    let blocked = attempts.filter(|(_, attempt)| {
        attempt.delivery == Delivery::Blocked
            && core.now.since(attempt.last_received) >= MAX_BLOCKED
    });
    blocked
        .min_by_key(|(_, attempt)| attempt.last_received)
        .map(|(key, attempt)| (key, attempt.call))
}

fn end_reader(core: &mut Core, attempt: AttemptKey, call: CallKey, held: usize, out: &mut Effects) {
    core.relay.buffers.ended += 1;
    let waited = core
        .now
        .since(core.relay.attempts[attempt].last_received)
        .as_millis();
    let fields = vec![
        ("id", core.relay.calls[call].id.clone()),
        ("held_bytes", held.to_string().into()),
        ("unread_ms", waited.to_string().into()),
    ];
    note(out, log::Level::Warn, "buffers.reader_ended", fields);
    let detail = "its caller does not read, and this host holds too many bytes";
    give_up(core, call, Kind::TooSlow, detail, out);
}

fn log_full(core: &Core, held: usize, out: &mut Effects) {
    let max = core.relay.buffers.max.unwrap_or(usize::MAX);
    let fields = vec![
        ("held_bytes", held.to_string().into()),
        ("max_bytes", max.to_string().into()),
        ("requests", core.relay.calls.len().to_string().into()),
    ];
    note(out, log::Level::Warn, "buffers.full", fields);
}

fn log_relieved(core: &Core, since: Time, out: &mut Effects) {
    let fields = vec![
        (
            "lasted_ms",
            core.now.since(since).as_millis().to_string().into(),
        ),
        ("refused", core.relay.buffers.refused.to_string().into()),
        ("ended", core.relay.buffers.ended.to_string().into()),
    ];
    note(out, log::Level::Info, "buffers.relieved", fields);
}
