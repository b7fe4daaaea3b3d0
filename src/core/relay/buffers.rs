//! Bytes that this host holds for callers and servers: bodies of requests, and answers that callers have not read.
//!
//! Callers and servers may read slowly. A host that exceeds its memory is ended with all its requests, so it stops
//! reading from servers for callers that do not keep up, and refuses further bodies. No answer that has begun is ended for
//! it: its caller may read on, and unread answers take only a part of the bound.

use super::super::effect::Effect;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::RelayEffect;
use super::note;

/// Fraction of the memory that bodies and answers may take: connections, the views of servers and prefix blocks and the
/// allocator need the rest.
const HELD_FRACTION: f64 = 0.25;
/// Part of these bytes from which on nothing more is read for callers that do not keep up: unread answers alone must not keep
/// out the requests of others.
const UNREAD_DIVISOR: usize = 2;

/// Part of the bytes up to which a host counts as relieved. Near the bound small bodies fit and large ones do not, and each would
/// log a change.
const RELIEVED_DIVISOR: usize = 2;

/// The bound on held bytes, and what it has caused.
#[derive(Debug, Default)]
pub struct Buffers {
    /// Largest number of bytes to hold; `None` for no bound.
    max: Option<usize>,
    /// When the bound was reached, while it is.
    full_since: Option<Time>,
    refused: u64,
}

impl Buffers {
    /// Returns how many bodies were refused for want of memory.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
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
        let is_relieved = buffers.max.is_none_or(|max| held <= max / RELIEVED_DIVISOR);
        if is_relieved && let Some(since) = buffers.full_since.take() {
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
    ];
    note(out, log::Level::Info, "buffers.relieved", fields);
}
