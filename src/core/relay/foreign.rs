//! Record of responses that belong to another request than the one under way on their connection.

use super::super::Effects;
use super::super::effect::{Effect, Meter};
use super::event::ForeignResponse;
use super::note;

/// Logs and counts a response that belongs to another request.
pub(super) fn received(response: &ForeignResponse, out: &mut Effects) {
    let reader = response.reader.name();
    out.push(Effect::Meter(Meter::ForeignResponse { reader }));
    note(
        out,
        log::Level::Info,
        "response.foreign",
        vec![
            ("id", response.expected.clone()),
            ("received_id", response.received.clone()),
            ("sender", response.sender.clone()),
            ("reader", reader.into()),
            ("status", response.status.to_string().into()),
        ],
    );
}
