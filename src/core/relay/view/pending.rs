//! The page or watch that awaits its answer.

use super::super::event::RelayEffect;
use super::super::note;
use super::in_ms;
use super::probe::ProbeResult;
use crate::core::effect::{Effect, Meter};
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// A call to the store that awaits its answer.
#[derive(Debug, Clone, Copy)]
pub struct PendingCall {
    /// Number of the call.
    pub number: u64,
    /// When it was sent.
    pub sent: Time,
    /// Whether the store answers it even without a change.
    pub(super) is_short: bool,
    /// Bytes of the answer received so far.
    received: u64,
    /// When the last of them arrived; when the call was sent before the first.
    active_at: Time,
}

impl PendingCall {
    /// Returns a call that is sent now.
    #[must_use]
    pub fn new(number: u64, now: Time, is_short: bool) -> Self {
        Self {
            number,
            sent: now,
            is_short,
            received: 0,
            active_at: now,
        }
    }

    /// Whether a part of the answer has arrived.
    #[must_use]
    pub(super) fn has_received(&self) -> bool {
        self.received > 0
    }

    /// Whether nothing of the answer arrived since a probe was sent whose result is known.
    ///
    /// A large answer takes seconds over a narrow link, while probes take milliseconds.
    #[must_use]
    pub(super) fn is_silent_since(&self, result: ProbeResult) -> bool {
        self.active_at < result.sent
    }
}

/// Records that a part of the answer to a call arrived.
pub fn received(core: &mut Core, number: u64, bytes: u64) {
    let now = core.now;
    let pending = core.relay.view.pending.as_mut();
    if let Some(call) = pending.filter(|call| call.number == number) {
        call.received = bytes;
        call.active_at = now;
    }
}

/// Cancels a call that counts as lost by a probe, and logs it.
pub(super) fn cancel_lost(core: &Core, call: PendingCall, result: ProbeResult, out: &mut Effects) {
    let view = &core.relay.view;
    let kind = match view.full_read {
        Some(_) => "range",
        None => "watch",
    };
    let fields = vec![
        ("call", kind.into()),
        ("after_ms", in_ms(core.now.since(call.sent))),
        ("silent_ms", in_ms(core.now.since(call.active_at))),
        ("received", call.received.to_string().into()),
        ("at", view.revision.to_string().into()),
        ("newest", result.newest.to_string().into()),
        ("probed_ms", in_ms(core.now.since(result.sent))),
    ];
    note(out, log::Level::Warn, "store.call_lost", fields);
    out.push(Effect::Meter(Meter::StoreCallLost));
    out.push(Effect::Relay(RelayEffect::CancelStoreCall(call.number)));
}
