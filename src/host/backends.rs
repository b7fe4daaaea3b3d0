//! Engines and services: streams, calls, load reports, orders, and the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::node::{Node, Prepared};
use super::timer;
use crate::backend::{self, CallError, Chunk, OrderError};
use crate::core::effect::{self, Open};
use crate::core::event::{
    Break, Entry, EntryKind, FleetEvent, Ordered, Probe, Report, RequestEvent, Role, Stored,
};
use crate::core::key::{AttemptKey, RequestKey};
use crate::core::{Event, Time};
use crate::error::Ran;
use crate::store::{ListEntryKind, ListEntryState};

/// Time a load report may take.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Chunks of one stream that may come before one that is missing.
const AHEAD: usize = 64;
/// Time a caller may take nothing of an answer that waits for it.
const CALLER_TIME: Duration = Duration::from_mins(1);
/// Time the kernel goes on trying to deliver an order.
///
/// With the time to connect it stays under [`crate::core::order::MAX_FLIGHT_TIME`].
const ORDER_LIFE: Duration = Duration::from_secs(2);
/// Times and limits of an order's call.
const ORDER_OPTIONS: backend::Options = backend::Options {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    body_timeout: Duration::from_secs(2),
    max_age: Duration::from_secs(1),
    max_body_bytes: 64 * 1024,
    reuse: backend::Reuse::Never,
};
/// Time a try to connect may take.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Opens a stream and reports it piece by piece until it ends or `ended` closes.
pub async fn stream(node: Rc<Node>, open: Open, ended: oneshot::Receiver<()>) {
    let attempt = open.attempt;
    tokio::select! {
        biased;
        _ = ended => {}
        event = follow(&node, &open) => {
            node.attempt_ended(attempt);
            node.apply(Event::Request(event));
        }
    }
}

/// Follows a stream to its end, and returns how it ended.
async fn follow(node: &Rc<Node>, open: &Open) -> RequestEvent {
    let attempt = open.attempt;
    let Some(prepared) = node.prepared(open.request) else {
        return broke(attempt, Ran::No, Break::Refused, "the request has ended");
    };
    let Prepared::Completion(completion) = &*prepared else {
        return broke(attempt, Ran::No, Break::Rejected, "not a completion");
    };
    // A resumed stream goes on by itself; another engine needs the text delivered so far.
    let (done, tokens) = match open.resume {
        Some(_) => (String::new(), 0),
        None => (node.text(open.request), open.delivered),
    };
    let body = |kv| completion.body(open.priority, &done, tokens, kv);
    let body = match open.prefill {
        None => body(None),
        Some(source) => {
            let done = backend::prefill(&node.backends, source, body(None), &open.label).await;
            match done {
                Ok(prefilled) => body(Some((source, &prefilled.kv))),
                Err(err) => return unopened(attempt, &err, open.resume),
            }
        }
    };
    let path = completion.form.path();
    let priority = i64::from(open.priority);
    let client = node.client(open.addr, open.resume);
    let opened = backend::open(
        client,
        open.addr,
        path,
        body,
        &open.label,
        open.resume,
        priority,
    );
    let mut stream = match opened.await {
        Ok(stream) => stream,
        Err(err) => return unopened(attempt, &err, open.resume),
    };
    node.apply(Event::Request(RequestEvent::Began(attempt)));
    let mut order = InOrder::new(open.delivered);
    loop {
        match stream.next().await {
            Ok(Some(chunk)) => {
                if !order.put(chunk) {
                    let detail = format!("tokens from {} on are missing", order.next);
                    return broke(attempt, Ran::Yes, Break::Cut, &detail);
                }
                while let Some((offset, chunk)) = order.pop() {
                    let tokens = u32::from(!chunk.is_last);
                    node.chunk(attempt, offset, tokens, chunk.data);
                }
                if let Some(event) = room(node, open).await {
                    return event;
                }
            }
            Ok(None) => return RequestEvent::Whole(attempt),
            Err(err) => return broke(attempt, Ran::Yes, Break::Cut, &err.to_string()),
        }
    }
}

/// Waits until the caller has taken enough of what came; returns the event that ends the attempt
/// where it takes nothing for too long.
async fn room(node: &Rc<Node>, open: &Open) -> Option<RequestEvent> {
    let queue = node.queue(open.request)?;
    if !queue.is_full() {
        return None;
    }
    node.apply(Event::Request(RequestEvent::Held(open.attempt)));
    while queue.is_full() {
        let taken = queue.taken();
        if timeout(CALLER_TIME, queue.room()).await.is_err() && queue.taken() == taken {
            queue.close();
            return Some(RequestEvent::Left(open.request));
        }
    }
    node.apply(Event::Request(RequestEvent::Began(open.attempt)));
    None
}

/// Puts the chunks of one stream into the order of their offsets.
///
/// Chunks overtake each other on their way, and one may come twice. Passed on as they come, the
/// caller would read a scrambled answer; cut at the first gap, it would wait for a new stream
/// each time.
#[derive(Debug)]
pub(super) struct InOrder {
    /// Offset of the next token.
    next: u64,
    ended: bool,
    ahead: BTreeMap<u64, Chunk>,
}

impl InOrder {
    pub(super) fn new(next: u64) -> Self {
        Self {
            next,
            ended: false,
            ahead: BTreeMap::new(),
        }
    }

    /// Takes a chunk; returns whether there is still room for those that come too early.
    pub(super) fn put(&mut self, chunk: Chunk) -> bool {
        let start = start(&chunk);
        if start >= self.next {
            // The end marker starts where the token after it would.
            let place = start * 2 + u64::from(chunk.is_last);
            self.ahead.entry(place).or_insert(chunk);
        }
        self.ahead.len() <= AHEAD || start == self.next
    }

    /// Returns the next chunk and the offset of its first token, once it is there.
    pub(super) fn pop(&mut self) -> Option<(u64, Chunk)> {
        let entry = self.ahead.first_entry()?;
        let offset = start(entry.get());
        if offset != self.next || self.ended {
            return None;
        }
        let chunk = entry.remove();
        self.ended = chunk.is_last;
        self.next = chunk.offset;
        Some((offset, chunk))
    }
}

/// Returns the offset of a chunk's first token.
///
/// An event's id is the offset of the token after it; the last event has none.
fn start(chunk: &Chunk) -> u64 {
    chunk.offset.saturating_sub(u64::from(!chunk.is_last))
}

fn broke(attempt: AttemptKey, ran: Ran, end: Break, detail: &str) -> RequestEvent {
    RequestEvent::Broke {
        attempt,
        ran,
        end,
        detail: detail.into(),
    }
}

fn unopened(attempt: AttemptKey, err: &CallError, resume: Option<u64>) -> RequestEvent {
    let ran = err.ran();
    let end = match (err, err.status()) {
        (_, Some(404)) if resume.is_some() => Break::Forgotten,
        // Every engine would say the same; tried at each, one bad request would put them all
        // under suspicion.
        (_, Some(400 | 413 | 422)) => Break::Rejected,
        (_, Some(status)) if (400..500).contains(&status) && ran != Ran::No => Break::Rejected,
        _ if ran == Ran::No && err.status().is_some() => Break::Refused,
        (CallError::Connect | CallError::Invalid, _) => Break::Unreachable,
        (CallError::Timeout, _) => Break::Silent,
        _ => Break::Cut,
    };
    broke(attempt, ran, end, &err.to_string())
}

/// Calls a service and reports its answer, unless `ended` closes first.
pub async fn call(
    node: Rc<Node>,
    request: RequestKey,
    attempt: AttemptKey,
    addr: SocketAddr,
    time: Duration,
    ended: oneshot::Receiver<()>,
) {
    let Some(prepared) = node.prepared(request) else {
        return;
    };
    let Prepared::Call(call) = &*prepared else {
        return;
    };
    let headers: Vec<(&str, &str)> = call
        .headers
        .iter()
        .map(|(name, value)| (&**name, &**value))
        .collect();
    let sent = node.backends.call(backend::Call {
        method: &call.method,
        addr,
        path: &call.path,
        headers: &headers,
        body: call.body.clone(),
    });
    let event = tokio::select! {
        biased;
        _ = ended => return,
        answer = timeout(time, sent) => match answer {
            Ok(Ok(answer)) => answered(attempt, &answer),
            Ok(Err(err)) => service_broke(attempt, &err),
            Err(_late) => broke(attempt, Ran::Unknown, Break::Cut, "no answer in time"),
        },
    };
    node.attempt_ended(attempt);
    node.apply(Event::Request(event));
}

fn answered(attempt: AttemptKey, answer: &backend::Answer) -> RequestEvent {
    if answer.ran == Ran::No {
        let detail = format!("the service refused with {}", answer.status);
        return broke(attempt, Ran::No, Break::Refused, &detail);
    }
    let media = answer
        .headers
        .iter()
        .find(|(name, _)| &**name == "content-type");
    let result = Stored {
        status: answer.status,
        media: media.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: answer.body.to_vec().into(),
    };
    RequestEvent::Answered { attempt, result }
}

fn service_broke(attempt: AttemptKey, err: &CallError) -> RequestEvent {
    let end = match err.ran() {
        Ran::No => Break::Unreachable,
        Ran::Yes | Ran::Unknown => Break::Cut,
    };
    broke(attempt, err.ran(), end, &err.to_string())
}

/// Reads the platform's list.
pub async fn list(node: Rc<Node>) {
    let list = node.look(|core| core.settings.platform.list);
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
        Err(err) => log::debug!("the platform's list: {err}"),
    }
}

/// Reads an engine's load report.
pub async fn load(node: Rc<Node>, name: Box<str>, addr: SocketAddr) {
    let read = timeout(LOAD_TIME, backend::fetch_load(&node.backends, addr)).await;
    let report = match read {
        Ok(Ok(load)) => Some(Report {
            running: small(load.running),
            waiting: small(load.waiting),
            prefill: load.prefill_tokens,
            role: Role::from_word(&load.role).unwrap_or_default(),
            age: small(load.age_ms),
            changing: load.changing,
            fence: load.fence_seen,
            order: load.order_seen,
        }),
        _ => None,
    };
    node.apply(Event::Fleet(FleetEvent::Report { name, report }));
}

fn small(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Tries to connect, to see whether a process listens at an address.
pub async fn probe(node: Rc<Node>, addr: SocketAddr) {
    let tried = timeout(PROBE_TIME, tokio::net::TcpStream::connect(addr)).await;
    let probe = match tried {
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
        _ => Probe::Open,
    };
    node.apply(Event::Fleet(FleetEvent::Probed { addr, probe }));
}

/// Gives an order, unless the right to give it has ended.
pub async fn order(node: Rc<Node>, order: effect::Order) {
    let fresh = backend::SingleUse {
        unacked_timeout: ORDER_LIFE,
        may_send: |until| timer::now() < Time::from_micros(until),
        check_value: order.until.micros(),
    };
    let result = if let Ok(client) = backend::Client::single_use(ORDER_OPTIONS, fresh).await {
        let action = match &order.action {
            effect::Action::Role(role) => backend::Action::Role {
                role: role.word().into(),
            },
            effect::Action::Model(name) => load_action("model", name),
            effect::Action::Adapter(name) => load_action("adapter", name),
            effect::Action::Version(name) => load_action("version", name),
        };
        let sent = backend::send_order(
            &client,
            order.addr,
            order.fence,
            order.order,
            &order.holder,
            &action,
        );
        match sent.await {
            Ok(()) => Ordered::Done,
            Err(OrderError::Fenced { fence }) => Ordered::Fenced(fence),
            Err(OrderError::Call { source }) => match source.ran() {
                Ran::No => Ordered::Unsent,
                Ran::Yes | Ran::Unknown => Ordered::Unknown,
            },
        }
    } else {
        Ordered::Unsent
    };
    node.apply(Event::Fleet(FleetEvent::Ordered {
        name: order.engine,
        fence: order.fence,
        order: order.order,
        result,
    }));
}

fn load_action(what: &str, name: &str) -> backend::Action {
    backend::Action::Load {
        what: what.into(),
        name: name.into(),
    }
}
