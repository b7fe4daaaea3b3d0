//! Calls of the platform's duties.

use serde_json::json;

use crate::core::relay::duty::scaling::plan::Supply;
use crate::core::relay::duty::{Duty, DutyCall, DutyResult, Order};

/// Duty of reporting usage.
const USAGE: &str = "usage_reporter";
/// Duty of ordering workers.
const SCALING: &str = "autoscaler";
/// Name of the host that holds the duty.
const HOLDER: &str = "x-chiveway-duty-holder";
/// Fencing number.
const FENCE: &str = "x-chiveway-fencing-token";

/// Returns the duty with a name; `None` for an unknown name.
#[must_use]
pub fn parse(name: &str) -> Option<Duty> {
    match name {
        USAGE => Some(Duty::Usage),
        SCALING => Some(Duty::Scaling),
        _ => None,
    }
}

/// Returns the path, the headers and the body of a call.
#[must_use]
pub fn encode(call: &DutyCall) -> (&'static str, Vec<super::header::Header>, Vec<u8>) {
    let header = |name: &str, value: String| (name.into(), value.into_bytes().into());
    let headers = vec![
        header("content-type", "application/json".to_owned()),
        header(HOLDER, call.holder.to_string()),
        header(FENCE, call.fence.to_string()),
    ];
    let (path, body) = match &call.order {
        Order::Usage { window, counts } => {
            let body = json!({ "windowId": window, "counts": counts });
            ("/usage", body)
        }
        Order::Workers {
            service,
            domain,
            supply,
            count,
        } => {
            let mut body = json!({ "service": service, "zone": domain, "desiredCount": count });
            if *supply == Supply::Spot {
                body["spot"] = true.into();
            }
            ("/scaling", body)
        }
    };
    (path, headers, body.to_string().into_bytes())
}

/// Returns the result of a call from the status of its response.
#[must_use]
pub fn result(status: u16) -> DutyResult {
    match status {
        200 => DutyResult::Accepted,
        409 => DutyResult::Conflict,
        // Nothing was done: too many calls, or the platform is busy.
        400 | 404 | 429 | 503 => DutyResult::Unsent,
        _ => DutyResult::Unknown,
    }
}
