//! Calls to backend servers other than callers' requests: reports, orders and releases of KV caches.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::backends::{MAX_CONTROL_ANSWER_BYTES, MISDIRECTED, as_bytes};
use super::{apply, identity};
use crate::backend::pool::{Answer, Call, CallLimits, ConnectionPool, FullAnswer, PoolError};
use crate::core::relay::event::{OrderResult, Reader, RelayEvent, StageOrder};
use crate::error::Ran;
use crate::host::node::Node;
use crate::host::timer;
use crate::platform::{engine, header};

/// Time limit of a call.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a call for one instance.
pub(super) fn control_call(
    addr: SocketAddr,
    method: hyper::Method,
    path: &str,
    instance: &str,
    body: Vec<u8>,
) -> Call {
    let (name, value) = header::expect_instance(instance);
    let mut headers: Vec<header::Header> = vec![(name.into(), value.into_bytes().into())];
    if !body.is_empty() {
        headers.push(("content-type".into(), (*b"application/json").into()));
    }
    Call {
        addr,
        method,
        path: path.into(),
        id: None,
        may_repeat: true,
        headers,
        body: body.into(),
    }
}

/// Sends a call and returns the head of its response.
///
/// Responses to such calls name no request: one that does belongs to a request.
///
/// # Errors
///
/// Returns why there is no response to this call.
pub(super) async fn open(
    node: &Rc<Node>,
    pool: &ConnectionPool,
    instance: &str,
    call: &Call,
) -> Result<Answer, PoolError> {
    let answer = pool.send(call, CONTROL_CALL_TIMEOUT / 2).await?;
    let status = answer.response.status().as_u16();
    let headers = as_bytes(answer.response.headers());
    let reply = header::decode_answer(status, &headers);
    if reply.attempt_id.is_none() && !identity::is_merged(&answer) {
        return Ok(answer);
    }
    Err(identity::report(
        node,
        Reader::Call,
        instance,
        None,
        &reply,
        status,
    ))
}

/// Makes a call other than a caller's request, and reports what the answer states about the server.
async fn control(
    node: &Rc<Node>,
    pool: &ConnectionPool,
    instance: &str,
    call: &Call,
) -> Result<FullAnswer, PoolError> {
    let exchange = async {
        let answer = open(node, pool, instance, call).await?;
        let status = answer.response.status().as_u16();
        if status != MISDIRECTED {
            let headers = as_bytes(answer.response.headers());
            let notices = header::decode_notices(status, &headers);
            let instance = instance.into();
            apply(node, RelayEvent::ControlNoticed { instance, notices });
        }
        let limits = CallLimits::all(CONTROL_CALL_TIMEOUT);
        pool.finish(answer, limits, MAX_CONTROL_ANSWER_BYTES, |_| {})
            .await
    };
    let answer = timeout(CONTROL_CALL_TIMEOUT, exchange).await;
    answer.unwrap_or(Err(PoolError::Timeout))
}

/// Releases a KV cache that will not be used.
pub async fn free_cache(node: Rc<Node>, instance: Box<str>, addr: SocketAddr, handle: Box<str>) {
    let path = engine::handle_path(&handle);
    let call = control_call(addr, hyper::Method::DELETE, &path, &instance, Vec::new());
    if let Err(err) = control(&node, &node.relay.control, &instance, &call).await {
        log::debug!("cannot release a KV cache at {instance}, it will expire: {err}");
    }
}

/// Fetches the state of an engine.
pub async fn fetch_report(node: Rc<Node>, instance: Box<str>, addr: SocketAddr) {
    let path = engine::REPORT_PATH;
    let call = control_call(addr, hyper::Method::GET, path, &instance, Vec::new());
    let report = match control(&node, &node.relay.control, &instance, &call).await {
        Ok(answer) if answer.status == 200 => engine::decode_report(&answer.body),
        Ok(answer) => {
            let status = answer.status;
            log::debug!("{instance} answered the request for its state with status {status}");
            None
        }
        Err(err) => {
            log::debug!("cannot fetch the state of {instance}: {err}");
            None
        }
    };
    apply(&node, RelayEvent::EngineReported { instance, report });
}

/// Sends an order, unless its authority has expired or the era of the store has changed.
pub async fn send_order(node: Rc<Node>, order: StageOrder) {
    let call = control_call(
        order.addr,
        hyper::Method::POST,
        engine::ORDER_PATH,
        &order.instance,
        engine::encode_order(&order),
    );
    // The process may have been suspended since the decision.
    let era = node.with_core(|core| core.relay.view.era());
    let result = if timer::now() >= order.until || era != order.era {
        OrderResult::Unsent
    } else {
        // On a connection of its own no response to an earlier call can arrive.
        let pool = ConnectionPool::default();
        match control(&node, &pool, &order.instance, &call).await {
            Ok(answer) => {
                let not_run =
                    header::decode_answer(answer.status, &as_bytes(&answer.headers)).not_run;
                engine::order_result(answer.status, not_run)
            }
            Err(err) if err.ran() == Ran::No => OrderResult::Unsent,
            Err(_) => OrderResult::Unknown,
        }
    };
    apply(
        &node,
        RelayEvent::OrderAnswered {
            instance: order.instance,
            fence: order.fence,
            result,
        },
    );
}
