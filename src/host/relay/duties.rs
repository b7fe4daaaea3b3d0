//! Adapter for the calls of the platform's duties.

use std::rc::Rc;
use std::time::Duration;

use super::apply;
use crate::backend::pool::Call;
use crate::core::relay::duty::{DutyCall, DutyResult};
use crate::core::relay::event::RelayEvent;
use crate::error::Ran;
use crate::host::node::Node;
use crate::host::timer;
use crate::platform::duty;

/// Time limit of a call: far above the slowest answer of a working platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Makes a call, unless its authority has expired or the era of the store has changed.
pub async fn run(node: Rc<Node>, call: DutyCall) {
    let result = send(&node, &call).await;
    apply(&node, RelayEvent::DutyAnswered(call, result));
}

async fn send(node: &Rc<Node>, call: &DutyCall) -> DutyResult {
    let (addr, era) = node.with_core(|core| {
        let relay = core.settings.relay.as_ref();
        let duties = relay.and_then(|relay| relay.duties.as_ref());
        (duties.map(|duties| duties.addr), core.relay.view.era())
    });
    // The process may have been suspended since the decision.
    let Some(addr) = addr.filter(|_| timer::now() < call.until && era == call.era) else {
        return DutyResult::Unsent;
    };
    let (path, headers, body) = duty::encode(call);
    let request = Call {
        addr,
        method: hyper::Method::POST,
        path: path.into(),
        id: None,
        may_repeat: true,
        headers,
        body: body.into(),
    };
    let answer = node
        .relay
        .duties
        .call(&request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
        .await;
    match answer {
        Ok(answer) => {
            if answer.status != 200 {
                let body = String::from_utf8_lossy(&answer.body);
                log::info!("the platform answered {} to {path}: {body}", answer.status);
            }
            duty::result(answer.status)
        }
        Err(err) => {
            // Idle connections may have failed for the same reason.
            node.relay.duties.close_idle();
            log::info!("cannot call {path} of the platform: {err}");
            match err.ran() {
                Ran::No => DutyResult::Unsent,
                Ran::Yes | Ran::Unknown => DutyResult::Unknown,
            }
        }
    }
}
