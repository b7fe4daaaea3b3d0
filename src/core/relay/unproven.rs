//! Record of refusals that promised more than was known.

use super::super::Effects;
use super::super::effect::{Effect, Meter};
use super::event::UnprovenRefusal;
use super::note;

/// Logs and counts a refusal whose promise was withheld from its caller.
pub(super) fn withheld(refusal: &UnprovenRefusal, out: &mut Effects) {
    out.push(Effect::Meter(Meter::UnprovenRefusal));
    note(
        out,
        log::Level::Error,
        "refusal.unproven",
        vec![
            ("id", refusal.id.clone()),
            ("code", refusal.code.into()),
            ("sends", refusal.sends.to_string().into()),
            ("unproven", refusal.unproven.to_string().into()),
        ],
    );
}
