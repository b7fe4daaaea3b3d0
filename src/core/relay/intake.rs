//! Connections of callers.

use super::super::effect::Effect;
use super::super::{Core, Effects};
use super::event::RelayEffect;

/// Connections of callers that this host has taken.
#[derive(Debug, Default)]
pub struct Intake {
    /// Open connections.
    open: usize,
}

/// Decides on a connection that a caller opened.
pub(super) fn connected(core: &mut Core, out: &mut Effects) {
    core.relay.intake.open += 1;
    out.push(Effect::Relay(RelayEffect::AdmitConnection));
}

/// Handles the end of an admitted connection.
pub(super) fn disconnected(core: &mut Core) {
    let open = &mut core.relay.intake.open;
    *open = open.saturating_sub(1);
}
