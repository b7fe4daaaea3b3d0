//! Reads that show that this host's view is complete as of a moment that has just passed.
//!
//! A fresh view may still be a second old, and probes are serializable reads. A decision that a change within that second
//! would make wrong waits for a read that began after the question arose.

use std::time::Duration;

use super::super::event::RelayEffect;
use super::super::versions::take_up;
use super::{View, request};
use crate::core::effect::Effect;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Time for which the store waits for a change before it answers such a watch: as good as none.
const NO_WAIT: Duration = Duration::from_millis(1);

impl View {
    /// Whether the view was complete at `since`, by a read that began then or later, and entries that had expired
    /// before are written again.
    #[must_use]
    pub fn is_confirmed(&self, since: Time) -> bool {
        self.confirmed_at.is_some_and(|at| at >= since) && self.is_settled()
    }

    /// Whether a read that confirms the view can be expected soon.
    #[must_use]
    pub fn may_be_confirmed(&self, now: Time) -> bool {
        self.is_fresh(now) && self.is_settled()
    }

    /// Records that a read which began at a time has returned everything up to then.
    pub(super) fn mark_read(&mut self, at: Time) {
        self.mark_fresh(at);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}

/// Reads the changes up to now, unless a read that began at `since` or later is under way.
///
/// The pending watch is replaced, since it may stay without an answer for long. A read of every key, or one whose answer
/// is arriving, is not: [`read_ended`] follows it.
pub fn request_read(core: &mut Core, since: Time, out: &mut Effects) {
    let view = &mut core.relay.view;
    if view.full_read.is_some() {
        return;
    }
    if let Some(call) = view.pending {
        let is_under_way = call.is_short && call.sent >= since;
        if is_under_way || call.has_received() {
            return;
        }
        view.pending = None;
        out.push(Effect::Relay(RelayEffect::CancelStoreCall(call.number)));
    }
    request(core, NO_WAIT, out);
}

/// Handles the end of a read, or changes from another host that took its place.
pub(super) fn read_ended(core: &mut Core, out: &mut Effects) {
    take_up::view_read(core, out);
}
