//! Adapters for engines and services: streams, calls, load reports, orders and the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::node::{Node, Prepared};
use super::timer;
use crate::backend::{self, CallError, Chunk, OrderError};
use crate::core::effect::{self, OpenStream};
use crate::core::event::{
    AttemptFailure, Entry, EntryKind, FleetEvent, OrderResult, ProbeResult, Report, RequestEvent,
    Role, StoredResponse,
};
use crate::core::key::{AttemptKey, RequestKey};
use crate::core::{Event, Time};
use crate::error::{NOT_RUN_STATUSES, Ran};
use crate::store::{ListEntryKind, ListEntryState};

/// Time limit for reading a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of chunks of one stream that are buffered while an earlier chunk is missing.
const MAX_CHUNKS_AHEAD: usize = 64;
/// Time after which a caller that reads nothing of its queued answer is disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which the kernel retransmits an order.
///
/// Together with the connect timeout it stays below [`crate::core::order::MAX_FLIGHT_TIME`].
const ORDER_LIFETIME: Duration = Duration::from_secs(2);
/// Timeouts and limits of the call that sends an order.
const ORDER_OPTIONS: backend::Options = backend::Options {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    body_timeout: Duration::from_secs(2),
    max_age: Duration::from_secs(1),
    max_body_bytes: 64 * 1024,
    reuse: backend::Reuse::Never,
};
/// Time limit for a connection attempt of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a stream and reports each chunk to the core until the stream ends or `ended` closes.
pub async fn run_stream(node: Rc<Node>, open: OpenStream, ended: oneshot::Receiver<()>) {
    let attempt = open.attempt;
    tokio::select! {
        biased;
        _ = ended => {}
        event = follow_stream(&node, &open) => {
            node.attempt_ended(attempt);
            node.apply(Event::Request(event));
        }
    }
}

/// Reads a stream to its end, and returns the event that reports how it ended.
async fn follow_stream(node: &Rc<Node>, open: &OpenStream) -> RequestEvent {
    let attempt = open.attempt;
    let Some(prepared) = node.prepared(open.request) else {
        return attempt_failed(
            attempt,
            Ran::No,
            AttemptFailure::Refused,
            "the request has ended",
        );
    };
    let Prepared::Completion(completion) = &*prepared else {
        return attempt_failed(
            attempt,
            Ran::No,
            AttemptFailure::Rejected,
            "not a completion",
        );
    };
    // A resumed stream continues at its engine; another engine needs the text delivered so far.
    let (delivered, tokens) = match open.resume_from {
        Some(_) => (String::new(), 0),
        None => (node.delivered_text(open.request), open.delivered),
    };
    let body = |kv| completion.body(open.priority, &delivered, tokens, kv);
    let body = match open.prefill_addr {
        None => body(None),
        Some(source) => {
            let prefilled = backend::prefill(&node.backends, source, body(None), &open.label).await;
            match prefilled {
                Ok(prefilled) => body(Some((source, &prefilled.kv))),
                Err(err) => return open_failed(attempt, &err, open.resume_from),
            }
        }
    };
    let path = completion.endpoint.path();
    let priority = i64::from(open.priority);
    let client = node.client(open.addr, open.resume_from);
    let opened = backend::open(
        client,
        open.addr,
        path,
        body,
        &open.label,
        open.resume_from,
        priority,
    );
    let mut stream = match opened.await {
        Ok(stream) => stream,
        Err(err) => return open_failed(attempt, &err, open.resume_from),
    };
    node.apply(Event::Request(RequestEvent::Began(attempt)));
    let mut reorder = ReorderBuffer::new(open.delivered);
    loop {
        match stream.next().await {
            Ok(Some(chunk)) => {
                if !reorder.insert(chunk) {
                    let detail = format!("tokens from {} on are missing", reorder.next_offset);
                    return attempt_failed(attempt, Ran::Yes, AttemptFailure::Cut, &detail);
                }
                while let Some((offset, chunk)) = reorder.pop() {
                    let tokens = u32::from(!chunk.is_last);
                    node.chunk_received(attempt, offset, tokens, chunk.data);
                }
                if let Some(event) = wait_for_caller(node, open).await {
                    return event;
                }
            }
            Ok(None) => return RequestEvent::StreamCompleted(attempt),
            Err(err) => {
                return attempt_failed(attempt, Ran::Yes, AttemptFailure::Cut, &err.to_string());
            }
        }
    }
}

/// Waits until the caller's queue has space; returns the event that ends the request if the caller
/// reads nothing for too long.
async fn wait_for_caller(node: &Rc<Node>, open: &OpenStream) -> Option<RequestEvent> {
    let queue = node.queue(open.request)?;
    if !queue.is_full() {
        return None;
    }
    node.apply(Event::Request(RequestEvent::DeliveryBlocked(open.attempt)));
    while queue.is_full() {
        let before = queue.consumed();
        if timeout(CALLER_STALL_TIMEOUT, queue.wait_for_space())
            .await
            .is_err()
            && queue.consumed() == before
        {
            queue.close_connection();
            return Some(RequestEvent::CallerLeft(open.request));
        }
    }
    node.apply(Event::Request(RequestEvent::Began(open.attempt)));
    None
}

/// Puts the chunks of one stream into the order of their offsets.
///
/// Chunks may arrive out of order or twice. Forwarded as they arrive, the answer would be
/// scrambled; if the stream were cut at the first gap, the caller would wait for a new stream at
/// each gap.
#[derive(Debug)]
pub(super) struct ReorderBuffer {
    /// Offset of the next token to return.
    next_offset: u64,
    ended: bool,
    pending: BTreeMap<u64, Chunk>,
}

impl ReorderBuffer {
    pub(super) fn new(next: u64) -> Self {
        Self {
            next_offset: next,
            ended: false,
            pending: BTreeMap::new(),
        }
    }

    /// Adds a chunk, unless its tokens were returned before; returns false if too many chunks wait
    /// for a missing one.
    pub(super) fn insert(&mut self, chunk: Chunk) -> bool {
        let start = first_offset(&chunk);
        if start >= self.next_offset {
            // The end marker has the offset of the token that would follow, so it sorts after it.
            let place = start * 2 + u64::from(chunk.is_last);
            self.pending.entry(place).or_insert(chunk);
        }
        self.pending.len() <= MAX_CHUNKS_AHEAD || start == self.next_offset
    }

    /// Returns the next chunk and the offset of its first token, if it has arrived.
    pub(super) fn pop(&mut self) -> Option<(u64, Chunk)> {
        let entry = self.pending.first_entry()?;
        let offset = first_offset(entry.get());
        if offset != self.next_offset || self.ended {
            return None;
        }
        let chunk = entry.remove();
        self.ended = chunk.is_last;
        self.next_offset = chunk.offset;
        Some((offset, chunk))
    }
}

/// Returns the offset of a chunk's first token.
///
/// The offset in a chunk, the id of its event, is that of the token after it; the end marker holds
/// no token.
fn first_offset(chunk: &Chunk) -> u64 {
    chunk.offset.saturating_sub(u64::from(!chunk.is_last))
}

fn attempt_failed(
    attempt: AttemptKey,
    ran: Ran,
    end: AttemptFailure,
    detail: &str,
) -> RequestEvent {
    RequestEvent::AttemptFailed {
        attempt,
        ran,
        end,
        detail: detail.into(),
    }
}

fn open_failed(attempt: AttemptKey, err: &CallError, resume: Option<u64>) -> RequestEvent {
    let ran = err.ran();
    let end = match (err, err.status()) {
        (_, Some(404)) if resume.is_some() => AttemptFailure::Forgotten,
        // Another engine may take it, whether or not this one states that it did not run the request. A resumed stream would
        // be refused again, and look as if the engine had crashed.
        (_, Some(status)) if NOT_RUN_STATUSES.contains(&status) => AttemptFailure::Refused,
        // Every engine would answer the same: retried elsewhere, one invalid request would make
        // all engines suspects.
        (_, Some(400 | 413 | 422)) => AttemptFailure::Rejected,
        (_, Some(status)) if (400..500).contains(&status) && ran != Ran::No => {
            AttemptFailure::Rejected
        }
        _ if ran == Ran::No && err.status().is_some() => AttemptFailure::Refused,
        (CallError::Connect | CallError::Invalid, _) => AttemptFailure::Unreachable,
        (CallError::Timeout, _) => AttemptFailure::Silent,
        (CallError::Foreign, _) => AttemptFailure::Foreign,
        _ => AttemptFailure::Cut,
    };
    attempt_failed(attempt, ran, end, &err.to_string())
}

/// An attempt at a service call.
#[derive(Debug)]
pub struct ServiceAttempt {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address that the service listens on.
    pub addr: SocketAddr,
    /// Name of the attempt at the service.
    pub label: Box<str>,
    /// Time limit of the call.
    pub timeout: Duration,
}

/// Calls a service and reports its answer, unless `ended` closes first.
pub async fn call_service(node: Rc<Node>, sent: ServiceAttempt, ended: oneshot::Receiver<()>) {
    let ServiceAttempt { attempt, addr, .. } = sent;
    let Some(prepared) = node.prepared(sent.request) else {
        return;
    };
    let Prepared::Call(call) = &*prepared else {
        return;
    };
    let callers = call.headers.iter();
    let callers = callers.map(|(name, value)| (&**name, &**value));
    let headers: Vec<(&str, &str)> = callers
        .chain([(backend::ATTEMPT_HEADER, &*sent.label)])
        .collect();
    let answer = node.backends.call(backend::Call {
        method: &call.method,
        addr,
        path: &call.path,
        headers: &headers,
        body: call.body.clone(),
    });
    let event = tokio::select! {
        biased;
        _ = ended => return,
        answer = timeout(sent.timeout, answer) => match answer {
            Ok(Ok(answer)) => service_answered(attempt, &answer),
            Ok(Err(err)) => service_failed(attempt, &err),
            Err(_late) => attempt_failed(attempt, Ran::Unknown, AttemptFailure::Cut, "no answer in time"),
        },
    };
    node.attempt_ended(attempt);
    node.apply(Event::Request(event));
}

fn service_answered(attempt: AttemptKey, answer: &backend::Answer) -> RequestEvent {
    if answer.ran == Ran::No {
        let detail = format!("the service refused with {}", answer.status);
        return attempt_failed(attempt, Ran::No, AttemptFailure::Refused, &detail);
    }
    let media = answer
        .headers
        .iter()
        .find(|(name, _)| &**name == "content-type");
    let result = StoredResponse {
        status: answer.status,
        content_type: media.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: answer.body.to_vec().into(),
    };
    RequestEvent::Answered { attempt, result }
}

fn service_failed(attempt: AttemptKey, err: &CallError) -> RequestEvent {
    let end = match (err, err.ran()) {
        (CallError::Foreign, _) => AttemptFailure::Foreign,
        (_, Ran::No) => AttemptFailure::Unreachable,
        (_, Ran::Yes | Ran::Unknown) => AttemptFailure::Cut,
    };
    attempt_failed(attempt, err.ran(), end, &err.to_string())
}

/// Reads the platform's list.
pub async fn read_platform_list(node: Rc<Node>) {
    let list = node.with_core(|core| core.settings.platform.list);
    match node.store.hosts(list).await {
        Ok(listed) => {
            let entries = listed.into_iter().map(|entry| Entry {
                name: entry.name,
                kind: match entry.kind {
                    ListEntryKind::Host => EntryKind::Host,
                    ListEntryKind::Engine => EntryKind::Engine,
                    ListEntryKind::Service => EntryKind::Service,
                },
                pool: entry.pool,
                addr: entry.addr,
                domain: entry.domain,
                leaving: entry.state == ListEntryState::Leaving,
            });
            let entries = entries.collect();
            node.apply(Event::Fleet(FleetEvent::Listed(entries)));
        }
        Err(err) => log::debug!("cannot read the platform's list: {err}"),
    }
}

/// Reads an engine's load report.
pub async fn read_load(node: Rc<Node>, name: Box<str>, addr: SocketAddr) {
    let read = timeout(LOAD_TIMEOUT, backend::fetch_load(&node.backends, addr)).await;
    let report = match read {
        Ok(Ok(load)) => Some(Report {
            running: saturating_u32(load.running),
            waiting: saturating_u32(load.waiting),
            queued_prefill: load.prefill_tokens,
            role: Role::from_name(&load.role).unwrap_or_default(),
            age_ms: saturating_u32(load.age_ms),
            changing: load.changing,
            fence: load.fence_seen,
            order: load.order_seen,
        }),
        _ => None,
    };
    node.apply(Event::Fleet(FleetEvent::Report { name, report }));
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Opens a connection to find out whether a process listens at an address.
pub async fn probe(node: Rc<Node>, addr: SocketAddr) {
    let tried = timeout(PROBE_TIMEOUT, tokio::net::TcpStream::connect(addr)).await;
    let probe = match tried {
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::Open,
    };
    node.apply(Event::Fleet(FleetEvent::Probed {
        addr,
        result: probe,
    }));
}

/// Sends an order, unless the authority to send it has expired.
pub async fn send_order(node: Rc<Node>, order: effect::Order) {
    let fresh = backend::SingleUse {
        unacked_timeout: ORDER_LIFETIME,
        may_send: |until| timer::now() < Time::from_micros(until),
        check_value: order.valid_until.micros(),
    };
    let result = if let Ok(client) = backend::Client::single_use(ORDER_OPTIONS, fresh).await {
        let action = match &order.action {
            effect::Action::Role(role) => backend::Action::Role {
                role: role.name().into(),
            },
            effect::Action::Model(name) => load_action("model", name),
            effect::Action::Adapter(name) => load_action("adapter", name),
            effect::Action::Version(name) => load_action("version", name),
        };
        let sent = backend::send_order(
            &client,
            order.addr,
            order.fence,
            order.number,
            &order.holder,
            &action,
        );
        match sent.await {
            Ok(()) => OrderResult::Done,
            Err(OrderError::Fenced { fence }) => OrderResult::Fenced(fence),
            Err(OrderError::Call { source }) => match source.ran() {
                Ran::No => OrderResult::Unsent,
                Ran::Yes | Ran::Unknown => OrderResult::Unknown,
            },
        }
    } else {
        OrderResult::Unsent
    };
    node.apply(Event::Fleet(FleetEvent::OrderAnswered {
        name: order.engine,
        fence: order.fence,
        number: order.number,
        result,
    }));
}

fn load_action(what: &str, name: &str) -> backend::Action {
    backend::Action::Load {
        what: what.into(),
        name: name.into(),
    }
}
