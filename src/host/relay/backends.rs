//! Relayed requests on their way to backend servers, and what comes back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::events::Splitter;
use super::{Hand, Head, Prepared, tell, tell_with};
use crate::backend::pool::{self, Answer, Call, PoolError};
use crate::core::event::Break;
use crate::core::key::AttemptKey;
use crate::core::relay::event::{OrderResult, Outgoing, RelayEvent, StageOrder, Task};
use crate::error::Ran;
use crate::host::node::Node;
use crate::host::timer;
use crate::platform::{engine, header};

/// Time to make a connection: a hundred times the way between failure domains, and short enough
/// for another try within the wanted time.
const CONNECT: Duration = Duration::from_millis(250);
/// Most bytes of a whole answer.
const ANSWER: usize = 16 * 1024 * 1024;
/// Most bytes of an answer to a prefill.
const PREFILLED: usize = 64 * 1024;
/// Time for calls beside the requests.
const CALL: Duration = Duration::from_secs(2);
/// Time an idle connection is kept where the backend server names none.
const IDLE: Duration = Duration::from_millis(400);
/// Part of the named time that is not used: a request must not cross the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How an attempt ended without a whole answer.
struct Lost {
    ran: Ran,
    end: Break,
    detail: Box<str>,
}

impl Lost {
    fn new(ran: Ran, end: Break, detail: impl Into<Box<str>>) -> Self {
        Self {
            ran,
            end,
            detail: detail.into(),
        }
    }
}

impl From<PoolError> for Lost {
    fn from(err: PoolError) -> Self {
        let end = match err {
            PoolError::Connect { .. } => Break::Unreachable,
            PoolError::Timeout => Break::Silent,
            PoolError::Broken { .. } | PoolError::TooLong => Break::Cut,
        };
        Self::new(err.ran(), end, err.to_string())
    }
}

/// Runs one attempt, until it ends or is called off.
pub async fn attempt(node: Rc<Node>, out: Outgoing, ended: oneshot::Receiver<()>) {
    tokio::select! {
        result = run(&node, &out) => {
            node.relay.attempt_ended(out.attempt);
            if let Err(lost) = result {
                tell(&node, RelayEvent::AttemptFailed {
                    attempt: out.attempt,
                    ran: lost.ran,
                    end: lost.end,
                    detail: lost.detail,
                });
            }
        }
        // The connection is closed with the attempt: what runs there has no reader any more.
        _ = ended => {}
    }
}

fn call(prepared: &Prepared, out: &Outgoing) -> Call {
    let mut headers = prepared.headers.clone();
    let ours = header::encode_request(out).into_iter();
    headers.extend(ours.map(|(name, value)| (name.into(), value.into_bytes().into())));
    Call {
        addr: out.addr,
        method: prepared.method.clone(),
        path: prepared.path.clone(),
        headers,
        body: prepared.body.clone(),
    }
}

async fn run(node: &Rc<Node>, out: &Outgoing) -> Result<(), Lost> {
    let Some(prepared) = node.relay.prepared(out.call) else {
        return Ok(());
    };
    let call = call(&prepared, out);
    let answer = node.relay.channels.send(&call, CONNECT).await?;
    let status = answer.response.status().as_u16();
    let headers = answer.response.headers().iter();
    let headers: Vec<_> = headers
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let reply = header::decode_answer(status, &headers);
    let id = prepared
        .headers
        .iter()
        .find(|(name, _)| header::is_attempt(name));
    let echoed = match (&reply.attempt_id, id) {
        (Some(echo), Some((_, sent))) => echo.as_bytes() == &**sent,
        _ => false,
    };
    if status != 421 && (reply.not_run || echoed) {
        tell(
            node,
            RelayEvent::Limited {
                attempt: out.attempt,
                limit: reply.limit,
            },
        );
    }
    if reply.not_run {
        keep(node, answer, out, reply.keep_alive).await;
        let end = if status == 421 {
            Break::Rejected
        } else {
            Break::Refused
        };
        return Err(Lost::new(Ran::No, end, format!("refused with {status}")));
    }
    if !echoed {
        // An answer to an earlier request on this connection.
        let detail = "the answer is not for this request";
        return Err(Lost::new(Ran::Unknown, Break::Cut, detail));
    }
    if matches!(out.task, Task::Prefill) {
        return prefilled(node, out, answer, status, reply.keep_alive).await;
    }
    if (200..300).contains(&status) && (!reply.has_stamp || header::is_encoded(&reply.forwarded)) {
        let detail = "the answer is not the backend server's own";
        return Err(Lost::new(Ran::Unknown, Break::Cut, detail));
    }
    let head = Head {
        status,
        headers: reply.forwarded,
    };
    if out.streaming && status == 200 {
        stream(node, out, answer, &head, reply.keep_alive).await
    } else {
        whole(node, out, answer, head, reply.keep_alive).await
    }
}

/// Keeps the connection of an answer that was read to its end.
async fn keep(node: &Rc<Node>, mut answer: Answer, out: &Outgoing, idle: Option<Duration>) {
    if pool::collect(&mut answer, PREFILLED).await.is_ok() {
        release(node, answer, out, idle).await;
    }
}

async fn release(node: &Rc<Node>, answer: Answer, out: &Outgoing, idle: Option<Duration>) {
    let idle = idle.map_or(IDLE, |idle| idle.saturating_sub(IDLE_MARGIN));
    if idle.is_zero() {
        return;
    }
    node.relay
        .channels
        .put_back(answer, idle, out.max_idle)
        .await;
}

async fn prefilled(
    node: &Rc<Node>,
    out: &Outgoing,
    mut answer: Answer,
    status: u16,
    idle: Option<Duration>,
) -> Result<(), Lost> {
    let body = pool::collect(&mut answer, PREFILLED).await?;
    let handle = engine::decode_kv_handle(&body).filter(|_| status == 200);
    let Some(handle) = handle else {
        let detail = format!("answered {status} to a prefill");
        return Err(Lost::new(Ran::Unknown, Break::Cut, detail));
    };
    tell(
        node,
        RelayEvent::Prefilled {
            attempt: out.attempt,
            handle,
        },
    );
    release(node, answer, out, idle).await;
    Ok(())
}

async fn whole(
    node: &Rc<Node>,
    out: &Outgoing,
    mut answer: Answer,
    head: Head,
    idle: Option<Duration>,
) -> Result<(), Lost> {
    let body = pool::collect(&mut answer, ANSWER).await?;
    let status = head.status;
    tell_with(
        node,
        Hand::Answer(head, body),
        RelayEvent::Answered {
            attempt: out.attempt,
            status,
        },
    );
    release(node, answer, out, idle).await;
    Ok(())
}

async fn stream(
    node: &Rc<Node>,
    out: &Outgoing,
    mut answer: Answer,
    head: &Head,
    idle: Option<Duration>,
) -> Result<(), Lost> {
    let mut splitter = Splitter::default();
    while let Some(part) = pool::next_chunk(&mut answer).await {
        let part = part?;
        if splitter.push(&part).is_none() {
            return Err(Lost::new(Ran::Yes, Break::Cut, "an event is too long"));
        }
        while let Some(event) = splitter.next() {
            piece(node, out.attempt, head, event.number, event.data);
        }
        let Some(queue) = node.relay.queue(out.call) else {
            return Ok(());
        };
        while queue.is_full() {
            queue.room().await;
        }
    }
    let rest = splitter.rest();
    if !rest.is_empty() {
        piece(node, out.attempt, head, 0, rest);
    }
    tell(node, RelayEvent::StreamCompleted(out.attempt));
    release(node, answer, out, idle).await;
    Ok(())
}

fn piece(node: &Rc<Node>, attempt: AttemptKey, head: &Head, number: u64, data: Bytes) {
    let hand = Hand::Piece(head.clone(), data);
    tell_with(node, hand, RelayEvent::StreamEvent { attempt, number });
}

fn side_call(
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
        headers,
        body: body.into(),
    }
}

/// Gives back a KV cache that will not be used.
pub async fn free(node: Rc<Node>, instance: Box<str>, addr: SocketAddr, handle: Box<str>) {
    let path = engine::handle_path(&handle);
    let call = side_call(addr, hyper::Method::DELETE, &path, &instance, Vec::new());
    if let Err(err) = node.relay.channels.call(&call, CALL, PREFILLED).await {
        log::debug!("a KV cache at {instance} was not given back and will lapse: {err}");
    }
}

/// Asks an engine for its state.
pub async fn report(node: Rc<Node>, instance: Box<str>, addr: SocketAddr) {
    let path = engine::REPORT_PATH;
    let call = side_call(addr, hyper::Method::GET, path, &instance, Vec::new());
    let report = match node.relay.channels.call(&call, CALL, PREFILLED).await {
        Ok(answer) if answer.status == 200 => engine::decode_report(&answer.body),
        Ok(answer) => {
            let status = answer.status;
            log::debug!("{instance} answered {status} when asked for its state");
            None
        }
        Err(err) => {
            log::debug!("{instance} did not tell its state: {err}");
            None
        }
    };
    tell(&node, RelayEvent::EngineReported { instance, report });
}

/// Gives an order.
pub async fn order(node: Rc<Node>, order: StageOrder) {
    let call = side_call(
        order.addr,
        hyper::Method::POST,
        engine::ORDER_PATH,
        &order.instance,
        engine::encode_order(&order),
    );
    // A process may sleep between the decision and here.
    let era = node.look(|core| core.relay.view.era());
    let result = if timer::now() >= order.until || era != order.era {
        OrderResult::Unsent
    } else {
        match node.relay.channels.call(&call, CALL, PREFILLED).await {
            Ok(answer) => engine::order_result(answer.status),
            Err(err) if err.ran() == Ran::No => OrderResult::Unsent,
            Err(_) => OrderResult::Unknown,
        }
    };
    tell(
        &node,
        RelayEvent::OrderAnswered {
            instance: order.instance,
            fence: order.fence,
            result,
        },
    );
}
