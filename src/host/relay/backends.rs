//! Sends relayed requests to backend servers and reads their answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::events::Splitter;
use super::evidence::Evidence;
use super::{EventPayload, Head, Prepared, apply, apply_with, identity, progress};
use crate::backend::pool::{self, Answer, Call, ConnectionPool, PoolError};
use crate::core::event::AttemptFailure;
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::customers::Identity;
use crate::core::relay::event::{Framing, Outgoing, Reader, RelayEvent, StreamEnd, Task};
use crate::error::Ran;
use crate::host::node::Node;
use crate::host::queue::MAX_QUEUED_BYTES;
use crate::platform::header::AnswerHead;
use crate::platform::{engine, header};

/// Time limit for opening a connection: a hundred times the latency between failure domains, and
/// short enough for a retry within the target latency.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest size of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest size of a refusal or of an answer to a prefill, report, order or release of a KV cache.
pub(super) const MAX_CONTROL_ANSWER_BYTES: usize = 64 * 1024;
/// Status of an answer by another server than the one that was meant.
pub(super) const MISDIRECTED: u16 = 421;
/// Lowest status of a final answer; of the others the HTTP library passes on a change of protocols only.
const MIN_FINAL_STATUS: u16 = 200;
/// Time limit for the rest of an answer that is not used, which usually arrives with its head.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an idle connection is kept if the backend server names no idle timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(400);
/// Margin subtracted from the named idle timeout, so that no request is sent while the server
/// closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Reason for which an attempt ended without a complete answer.
pub(super) struct FailedAttempt {
    ran: Ran,
    end: AttemptFailure,
    detail: Box<str>,
}

impl FailedAttempt {
    pub(super) fn new(ran: Ran, end: AttemptFailure, detail: impl Into<Box<str>>) -> Self {
        Self {
            ran,
            end,
            detail: detail.into(),
        }
    }
}

impl FailedAttempt {
    /// Returns the failure of a request of which no byte was sent.
    pub(super) fn unsent(detail: &str) -> Self {
        Self::new(Ran::No, AttemptFailure::Unreachable, detail)
    }
}

impl From<PoolError> for FailedAttempt {
    fn from(err: PoolError) -> Self {
        let end = match err {
            PoolError::Connect { .. } => AttemptFailure::Unreachable,
            PoolError::NoDescriptor => AttemptFailure::NoDescriptor,
            PoolError::Timeout => AttemptFailure::Silent,
            PoolError::Foreign => AttemptFailure::Foreign,
            PoolError::Broken { .. } | PoolError::TooLong => AttemptFailure::Cut,
        };
        Self::new(err.ran(), end, err.to_string())
    }
}

/// Runs one attempt until it ends or is cancelled.
pub async fn run_attempt(node: Rc<Node>, out: Outgoing, ended: oneshot::Receiver<()>) {
    let result = exchange(&node, &out);
    run_until(&node, out.attempt, result, ended).await;
}

/// Runs an exchange until it ends or is cancelled, and reports its failure.
pub(super) async fn run_until(
    node: &Rc<Node>,
    attempt: AttemptKey,
    exchange: impl Future<Output = Result<(), FailedAttempt>>,
    ended: oneshot::Receiver<()>,
) {
    tokio::select! {
        result = exchange => {
            node.relay.attempt_ended(attempt);
            if let Err(failure) = result {
                apply(node, RelayEvent::AttemptFailed {
                    attempt,
                    ran: failure.ran,
                    end: failure.end,
                    detail: failure.detail,
                });
            }
        }
        // Dropping the attempt closes its connection: nothing reads the answer any more.
        _ = ended => {}
    }
}

/// Where an answer comes from, and whose it is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source<'a> {
    /// The request.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Largest number of idle connections to keep to the address.
    pub max_idle: usize,
    /// Connections that the answer's one returns to.
    pub pool: &'a ConnectionPool,
}

fn build_call(prepared: &Prepared, out: &Outgoing) -> Call {
    let mut headers = prepared.headers.clone();
    if out.identity == Identity::Unchecked {
        headers.extend(prepared.credentials.iter().cloned());
    }
    let added = header::encode_request(out).into_iter();
    headers.extend(added.map(|(name, value)| (name.into(), value.into_bytes().into())));
    Call {
        addr: out.addr,
        method: prepared.method.clone(),
        path: prepared.path.clone(),
        id: identity::request_id(prepared),
        // A late response to another prefill of the prompt costs a handle at most.
        may_repeat: matches!(out.task, Task::Prefill),
        headers,
        body: prepared.body.clone(),
    }
}

/// Returns the record of a request's sends; `None` if the request has ended. A prefill is no run and has a record of its own.
fn evidence(node: &Rc<Node>, out: &Outgoing) -> Option<Rc<Evidence>> {
    match out.task {
        Task::Prefill => Some(Rc::default()),
        Task::Whole | Task::Decode { .. } => node.relay.evidence(out.call),
    }
}

async fn exchange(node: &Rc<Node>, out: &Outgoing) -> Result<(), FailedAttempt> {
    let Some(prepared) = node.relay.prepared(out.call) else {
        return Ok(());
    };
    let Some(evidence) = evidence(node, out) else {
        return Ok(());
    };
    let call = build_call(&prepared, out);
    let source = Source {
        call: out.call,
        attempt: out.attempt,
        max_idle: out.max_idle,
        pool: &node.relay.channels,
    };
    let sends = &evidence.sends;
    let answer = source
        .pool
        .send_counted(&call, CONNECT_TIMEOUT, sends)
        .await?;
    let status = answer.response.status().as_u16();
    let headers = as_bytes(answer.response.headers());
    let reply = header::decode_answer(status, &headers);
    // On a new connection no answer to an earlier request can arrive.
    let is_unnamed = reply.attempt_id.is_none() && reply.not_run && answer.is_first();
    if !is_unnamed && !identity::names(&reply, &prepared) || identity::is_merged(&answer) {
        let expected = identity::request_id(&prepared);
        let foreign = identity::report(
            node,
            Reader::Request,
            &out.instance,
            expected,
            &reply,
            status,
        );
        return Err(foreign.into());
    }
    if status != MISDIRECTED {
        apply(
            node,
            RelayEvent::Noticed {
                attempt: out.attempt,
                notices: reply.notices,
            },
        );
    }
    if reply.not_run {
        evidence.not_run();
        drain_and_release(answer, source, reply.keep_alive);
        let end = if status == MISDIRECTED {
            AttemptFailure::Rejected
        } else {
            AttemptFailure::Refused
        };
        return Err(FailedAttempt::new(
            Ran::No,
            end,
            format!("refused with {status}"),
        ));
    }
    if matches!(out.task, Task::Prefill) {
        return read_prefill_answer(node, source, answer, status, reply.keep_alive).await;
    }
    read_reply(node, source, answer, reply, out.streaming).await
}

/// Reads an answer of a backend server to a caller's request.
pub(super) async fn read_reply(
    node: &Rc<Node>,
    source: Source<'_>,
    answer: Answer,
    reply: AnswerHead,
    streaming: bool,
) -> Result<(), FailedAttempt> {
    let status = answer.response.status().as_u16();
    if status < MIN_FINAL_STATUS {
        let detail = format!("answered {status}, which ends no request");
        return Err(FailedAttempt::new(
            Ran::Unknown,
            AttemptFailure::Cut,
            detail,
        ));
    }
    if (200..300).contains(&status) && (!reply.has_stamp || header::is_encoded(&reply.forwarded)) {
        let detail = "the answer is not the backend server's own";
        return Err(FailedAttempt::new(
            Ran::Unknown,
            AttemptFailure::Cut,
            detail,
        ));
    }
    let head = Head {
        status,
        headers: reply.forwarded,
    };
    if streaming && status == 200 {
        read_stream(node, source, answer, &head, reply.keep_alive).await
    } else {
        read_answer(node, source, answer, head, reply.keep_alive).await
    }
}

/// Reads the rest of an answer in the background, then keeps its connection for reuse; closes it if the rest is long or late.
pub(super) fn drain_and_release(mut answer: Answer, source: Source<'_>, idle: Option<Duration>) {
    let (pool, max_idle) = (source.pool.clone(), source.max_idle);
    ntex::rt::spawn(async move {
        let rest = pool::discard(&mut answer, MAX_CONTROL_ANSWER_BYTES);
        if let Ok(Ok(())) = timeout(DRAIN_TIMEOUT, rest).await {
            put_back(&pool, answer, max_idle, idle).await;
        }
    });
}

async fn release(answer: Answer, source: Source<'_>, idle: Option<Duration>) {
    put_back(source.pool, answer, source.max_idle, idle).await;
}

async fn put_back(pool: &ConnectionPool, answer: Answer, max: usize, idle: Option<Duration>) {
    let idle = idle.map_or(DEFAULT_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
    if !idle.is_zero() {
        pool.put_back(answer, idle, max).await;
    }
}

async fn read_prefill_answer(
    node: &Rc<Node>,
    source: Source<'_>,
    mut answer: Answer,
    status: u16,
    idle: Option<Duration>,
) -> Result<(), FailedAttempt> {
    let failed = || {
        let detail = format!("answered {status} to a prefill");
        FailedAttempt::new(Ran::Unknown, AttemptFailure::Cut, detail)
    };
    if status != 200 {
        return Err(failed());
    }
    let body = pool::collect(&mut answer, MAX_CONTROL_ANSWER_BYTES).await?;
    let handle = engine::decode_kv_handle(&body).ok_or_else(failed)?;
    apply(
        node,
        RelayEvent::Prefilled {
            attempt: source.attempt,
            handle,
        },
    );
    release(answer, source, idle).await;
    Ok(())
}

async fn read_answer(
    node: &Rc<Node>,
    source: Source<'_>,
    mut answer: Answer,
    head: Head,
    idle: Option<Duration>,
) -> Result<(), FailedAttempt> {
    let (total, attempt) = (&node.held, source.attempt);
    let mut guard = total.hold(0);
    let mut progress = progress::throttled(|_| apply(node, RelayEvent::AnswerReceived(attempt)));
    let mut body = BytesMut::new();
    let mut turn = None;
    // The core ends attempts that are silent.
    while let Some(chunk) = pool::next_chunk(&mut answer).await {
        body.extend_from_slice(&chunk?);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(PoolError::TooLong.into());
        }
        guard.grow_to(body.len());
        progress(body.len());
        if turn.is_none() && body.len() > MAX_QUEUED_BYTES && total.is_full() {
            apply(node, RelayEvent::DeliveryBlocked(attempt));
            turn = total.wait_for_room().await;
            apply(node, RelayEvent::DeliveryResumed(attempt));
        }
    }
    let (status, body) = (head.status, body.freeze());
    let payload = EventPayload::Answer(head, body);
    apply_with(node, payload, RelayEvent::Answered { attempt, status });
    release(answer, source, idle).await;
    Ok(())
}

async fn read_stream(
    node: &Rc<Node>,
    source: Source<'_>,
    mut answer: Answer,
    head: &Head,
    idle: Option<Duration>,
) -> Result<(), FailedAttempt> {
    let framing = framing(&answer);
    let mut splitter = Splitter::default();
    while let Some(bytes) = pool::next_chunk(&mut answer).await {
        let bytes = bytes?;
        if splitter.push(&bytes).is_none() {
            return Err(FailedAttempt::new(
                Ran::Yes,
                AttemptFailure::Cut,
                "an event is too long",
            ));
        }
        while let Some(event) = splitter.next() {
            event_received(node, source.attempt, head, event.number, event.data);
        }
        let Some(queue) = node.relay.queue(source.call) else {
            return Ok(());
        };
        if queue.is_full() {
            apply(node, RelayEvent::DeliveryBlocked(source.attempt));
            while queue.is_full() {
                queue.wait_for_space().await;
            }
            apply(node, RelayEvent::DeliveryResumed(source.attempt));
        }
    }
    let end = StreamEnd {
        framing,
        events: splitter.event_count(),
        unfinished: splitter.unfinished(),
    };
    let rest = splitter.rest();
    if end.unfinished == 0 && !rest.is_empty() {
        event_received(node, source.attempt, head, 0, rest);
    }
    let payload = EventPayload::StreamEnd(head.clone());
    let attempt = source.attempt;
    apply_with(node, payload, RelayEvent::StreamEnded { attempt, end });
    release(answer, source, idle).await;
    Ok(())
}

/// Returns how the end of an answer's body is marked.
fn framing(answer: &Answer) -> Framing {
    let response = &answer.response;
    if response.body().size_hint().exact().is_some() {
        Framing::Length
    } else if response.headers().contains_key(TRANSFER_ENCODING) {
        Framing::Chunks
    } else {
        Framing::Connection
    }
}

fn event_received(node: &Rc<Node>, attempt: AttemptKey, head: &Head, number: u64, data: Bytes) {
    let payload = EventPayload::StreamEvent(head.clone(), data);
    apply_with(node, payload, RelayEvent::StreamEvent { attempt, number });
}

/// Returns headers as names and bytes.
pub(super) fn as_bytes(headers: &hyper::HeaderMap) -> Vec<(&str, &[u8])> {
    let headers = headers.iter();
    headers
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect()
}
