//! Requests that a planned stop of this host leaves no time for.

use super::super::Core;
use super::super::effect::Refusal;
use super::super::key::CallKey;
use super::choose::Choice;
use super::ending::OTHER_HOST_RETRY_AFTER;
use super::{Call, from_millis};
use crate::core::stop;
use crate::error::Kind;

/// Returns the refusal of a request for which this host has no time.
pub(super) fn refusal() -> Refusal {
    let detail = "this host is shutting down";
    Refusal::new(Kind::Stopping, detail).with_retry_after(OTHER_HOST_RETRY_AFTER)
}

/// Returns whether a request that has not run is expected to outlast the stop. Its answer would be cut, though another host
/// can serve it whole; forwarded there, the answer would still come through this host.
pub(super) fn outlasts_stop(core: &Core, key: CallKey, choice: &Choice) -> bool {
    let Some(end) = stop::abandons_at(core) else {
        return false;
    };
    let call = &core.relay.calls[key];
    let has_run = call.runs > call.runs_before || call.delivered;
    let expected = from_millis(choice.expected_ms + run_ms(core, call, choice));
    !has_run && call.deadline > end && core.now.after(expected) > end
}

/// Returns the mean time of a stream from its first event to its end; 0 for other answers, and where it is not known.
fn run_ms(core: &Core, call: &Call, choice: &Choice) -> f64 {
    if !call.route.streaming {
        return 0.0;
    }
    let pace = core.relay.instances.arena[choice.backend].pace;
    let model = core.relay.cost_model.of(&call.service);
    model.run_ms(pace).unwrap_or(0.0)
}
