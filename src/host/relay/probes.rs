//! Probes of backend servers and of the links to them.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::apply;
use super::backends::{MAX_CONTROL_ANSWER_BYTES, MISDIRECTED};
use super::control::{control_call, open};
use crate::backend::pool::{CallLimits, PoolError};
use crate::core::relay::event::{LinkProbe, RelayEvent};
use crate::host::node::Node;
use crate::platform::engine;

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes whether a backend server answers.
pub async fn probe_link(node: Rc<Node>, probe: LinkProbe) {
    if let Some(status) = send_probe(&node, &probe).await {
        let (instance, reached) = (probe.instance, status.is_ok());
        apply(&node, RelayEvent::LinkProbed { instance, reached });
    }
}

/// Probes a server that broke a request off, and reports whether it still runs.
pub async fn probe_server(node: Rc<Node>, probe: LinkProbe) {
    if let Some(status) = send_probe(&node, &probe).await {
        let is_alive = status.is_ok_and(|status| status != MISDIRECTED);
        let instance = probe.instance;
        apply(&node, RelayEvent::ServerProbed { instance, is_alive });
    }
}

/// Sends a probe; returns the status of its answer, or `None` if it shows nothing: this host
/// could not send the probe, or the answer is another request's.
async fn send_probe(node: &Rc<Node>, probe: &LinkProbe) -> Option<Result<u16, PoolError>> {
    let path = probe.health.as_deref().unwrap_or(engine::REPORT_PATH);
    let method = hyper::Method::GET;
    let call = control_call(probe.addr, method, path, &probe.instance, Vec::new());
    let pool = &node.relay.control;
    let exchange = async {
        let answer = open(node, pool, &probe.instance, &call).await?;
        let limits = CallLimits::all(PROBE_TIMEOUT);
        pool.finish(answer, limits, MAX_CONTROL_ANSWER_BYTES, |_| {})
            .await
    };
    let answer = timeout(PROBE_TIMEOUT, exchange).await;
    match answer.unwrap_or(Err(PoolError::Timeout)) {
        Ok(answer) => Some(Ok(answer.status)),
        Err(PoolError::NoDescriptor | PoolError::Foreign) => None,
        Err(err) => {
            log::debug!("{} did not answer a probe: {err}", probe.instance);
            Some(Err(err))
        }
    }
}
