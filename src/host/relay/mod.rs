//! Adapters for relayed requests: callers, backend servers, other hosts and the store.

mod backends;
pub mod callers;
mod control;
pub mod datagrams;
mod duties;
pub mod event_log;
mod events;
mod evidence;
pub mod forward;
mod identity;
mod probes;
mod progress;
pub mod store;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use ntex::io::IoRef;
use slotmap::SecondaryMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::node::Node;
use super::queue::{self, QueueReceiver, QueueSender};
use crate::backend::pool::ConnectionPool;
use crate::core::Event;
use crate::core::effect::Refusal;
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::event::{Arrival, RelayEffect, RelayEvent};
use crate::platform::header::Header;
use crate::store::CallCounts;
use evidence::Evidence;

/// A request as it is sent to backend servers.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path with query, as the caller sent it.
    pub path: Box<str>,
    /// Headers with the caller's credentials.
    pub credentials: Vec<Header>,
    /// Other forwarded headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// Status and headers of a backend server's answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Forwarded headers.
    pub headers: Vec<Header>,
}

/// Message to the handler of a relayed request.
#[derive(Debug)]
pub enum AnswerPart {
    /// Head of a streamed answer.
    Head(Head),
    /// Bytes of the stream: one event, or what follows the last event.
    Event(Bytes),
    /// The stream is complete.
    Completed,
    /// The stream cannot be completed; the caller's connection ends without the end of the body.
    Aborted,
    /// A complete answer that is not streamed.
    Answer(Head, Bytes),
    /// The request ended without an answer.
    Refused(Refusal),
}

/// Data of the event that the core is processing, for effects that forward it.
#[derive(Debug)]
enum EventPayload {
    StreamEvent(Head, Bytes),
    StreamEnd(Head),
    Answer(Head, Bytes),
}

#[derive(Debug)]
struct OpenCall {
    queue: QueueSender<AnswerPart>,
    prepared: Rc<Prepared>,
    evidence: Rc<Evidence>,
    head_sent: Cell<bool>,
}

impl OpenCall {
    /// Sends the head of a streamed answer, unless it was sent.
    fn send_head(&self, head: Head) {
        if !self.head_sent.replace(true) {
            self.queue.push_control(AnswerPart::Head(head));
        }
    }
}

/// A request that the core has opened.
#[derive(Debug)]
pub struct AcceptedCall {
    /// Its key.
    pub call: CallKey,
    /// Messages to its handler.
    pub parts: QueueReceiver<AnswerPart>,
}

/// State of the adapters.
#[derive(Debug, Default)]
pub struct Adapters {
    /// Connections to backend servers for callers' requests.
    pub channels: ConnectionPool,
    /// Connections to backend servers for other calls, whose responses name no request.
    pub control: ConnectionPool,
    /// Connections to the store.
    pub store: ConnectionPool,
    /// Connections to the address that takes calls of duties.
    pub duties: ConnectionPool,
    /// Connections to other hosts.
    pub hosts: ConnectionPool,
    /// Pending reads, watches and probes of the store, by number; dropping a sender cancels its
    /// call.
    store_calls: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    /// Numbers of calls made to the store so far.
    pub calls: Cell<CallCounts>,
    /// Whether the core admitted the connection that a caller just opened, or the bytes that it sent.
    admitted: Cell<bool>,
    open_calls: RefCell<SecondaryMap<CallKey, OpenCall>>,
    arriving: RefCell<Option<OpenCall>>,
    arrived: Cell<Option<CallKey>>,
    attempts: RefCell<SecondaryMap<AttemptKey, oneshot::Sender<()>>>,
    payload: RefCell<Option<EventPayload>>,
    /// Secret shared by all hosts, the key of the MACs.
    secret: Cell<Option<[u8; 32]>>,
    /// Socket for gossip with other hosts.
    pub socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Adapters {
    fn prepared(&self, call: CallKey) -> Option<Rc<Prepared>> {
        let calls = self.open_calls.borrow();
        calls.get(call).map(|open| Rc::clone(&open.prepared))
    }

    fn evidence(&self, call: CallKey) -> Option<Rc<Evidence>> {
        let calls = self.open_calls.borrow();
        calls.get(call).map(|open| Rc::clone(&open.evidence))
    }

    fn queue(&self, call: CallKey) -> Option<QueueSender<AnswerPart>> {
        let calls = self.open_calls.borrow();
        calls.get(call).map(|open| open.queue.clone())
    }

    fn finish(&self, call: CallKey, part: AnswerPart) {
        if let Some(open) = self.open_calls.borrow_mut().remove(call) {
            open.queue.push_control(part);
        }
    }

    fn forward_event(&self, call: CallKey) {
        let Some(EventPayload::StreamEvent(head, data)) = self.payload.borrow_mut().take() else {
            return;
        };
        if let Some(open) = self.open_calls.borrow().get(call) {
            open.send_head(head);
            let bytes = data.len();
            open.queue.push_content(AnswerPart::Event(data), bytes);
        }
    }

    /// Completes a stream; one without events has a head all the same.
    fn finish_stream(&self, call: CallKey) {
        if let Some(EventPayload::StreamEnd(head)) = self.payload.borrow_mut().take()
            && let Some(open) = self.open_calls.borrow().get(call)
        {
            open.send_head(head);
        }
        self.finish(call, AnswerPart::Completed);
    }

    /// Ends an answer that cannot be completed so that the caller sees it as truncated.
    ///
    /// The handler closes the connection once it has passed on what precedes the end: it may not have read any of it yet.
    fn abort_answer(&self, call: CallKey) {
        if let Some(queue) = self.queue(call) {
            queue.close_connection_in_time();
        }
        self.finish(call, AnswerPart::Aborted);
    }

    fn forward_answer(&self, call: CallKey) {
        if let Some(EventPayload::Answer(head, body)) = self.payload.borrow_mut().take() {
            self.finish(call, AnswerPart::Answer(head, body));
        }
    }

    fn attempt_ended(&self, attempt: AttemptKey) {
        self.attempts.borrow_mut().remove(attempt);
    }
}

/// An admitted connection of a caller; reports its end to the core when dropped.
#[derive(Debug)]
pub struct CallerConnection {
    node: Rc<Node>,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        apply(&self.node, RelayEvent::CallerDisconnected);
    }
}

/// Reports a new connection of a caller to the core; `None` if it is to be closed unread.
pub fn admit_connection(node: &Rc<Node>) -> Option<CallerConnection> {
    node.relay.admitted.set(false);
    apply(node, RelayEvent::CallerConnected);
    let node = Rc::clone(node);
    node.relay.admitted.get().then(|| CallerConnection { node })
}

/// Offers bytes of a body to the core; returns whether it admits them.
pub fn admit_body(node: &Rc<Node>, bytes: usize) -> bool {
    node.relay.admitted.set(false);
    let held = node.held.held();
    apply(node, RelayEvent::BodyOffered { bytes, held });
    node.relay.admitted.get()
}

/// Passes a request received on a connection to the core; `None` if the core did not open it.
pub fn accept_request(
    node: &Rc<Node>,
    arrival: Arrival,
    prepared: Prepared,
    io: Option<IoRef>,
) -> Option<AcceptedCall> {
    let (queue, parts) = queue::channel(io, node.held.clone(), |part| match part {
        AnswerPart::Event(data) => Some(data.len()),
        _ => None,
    });
    *node.relay.arriving.borrow_mut() = Some(OpenCall {
        queue,
        prepared: Rc::new(prepared),
        evidence: Rc::default(),
        head_sent: Cell::new(false),
    });
    apply(node, RelayEvent::Arrived(Box::new(arrival)));
    let call = node.relay.arrived.take()?;
    Some(AcceptedCall { call, parts })
}

/// Feeds an event to the core.
fn apply(node: &Rc<Node>, event: RelayEvent) {
    node.apply(Event::Relay(event));
}

/// Feeds an event to the core together with its data.
fn apply_with(node: &Rc<Node>, payload: EventPayload, event: RelayEvent) {
    *node.relay.payload.borrow_mut() = Some(payload);
    apply(node, event);
    node.relay.payload.borrow_mut().take();
}

/// Executes an effect.
pub fn execute(node: &Rc<Node>, effect: RelayEffect) {
    let adapters = &node.relay;
    match effect {
        RelayEffect::AdmitConnection | RelayEffect::AdmitBody => adapters.admitted.set(true),
        RelayEffect::BoundHeldBytes(max) => node.held.set_max(max),
        RelayEffect::Opened(call) => {
            if let Some(open) = adapters.arriving.borrow_mut().take() {
                adapters.open_calls.borrow_mut().insert(call, open);
            }
            adapters.arrived.set(Some(call));
        }
        RelayEffect::Send(out) => {
            let (tx, rx) = oneshot::channel();
            adapters.attempts.borrow_mut().insert(out.attempt, tx);
            ntex::rt::spawn(backends::run_attempt(Rc::clone(node), *out, rx));
        }
        RelayEffect::Forward(out) => {
            let (tx, rx) = oneshot::channel();
            adapters.attempts.borrow_mut().insert(out.attempt, tx);
            ntex::rt::spawn(forward::run(Rc::clone(node), *out, rx));
        }
        RelayEffect::ProbeLink(probe) => {
            ntex::rt::spawn(probes::probe_link(Rc::clone(node), probe));
        }
        RelayEffect::ProbeServer(probe) => {
            ntex::rt::spawn(probes::probe_server(Rc::clone(node), probe));
        }
        RelayEffect::Cancel(attempt) => adapters.attempt_ended(attempt),
        RelayEffect::ForwardEvent(call) => adapters.forward_event(call),
        RelayEffect::ForwardAnswer(call) => adapters.forward_answer(call),
        RelayEffect::Finish(call) => adapters.finish_stream(call),
        RelayEffect::AbortAnswer(call) => adapters.abort_answer(call),
        RelayEffect::Refuse { call, refusal } => {
            let refusal = evidence::checked(node, call, refusal);
            adapters.finish(call, AnswerPart::Refused(refusal));
        }
        RelayEffect::FreeCache {
            instance,
            addr,
            handle,
        } => {
            ntex::rt::spawn(control::free_cache(Rc::clone(node), instance, addr, handle));
        }
        RelayEffect::FetchReport { instance, addr } => {
            ntex::rt::spawn(control::fetch_report(Rc::clone(node), instance, addr));
        }
        RelayEffect::Order(order) => {
            ntex::rt::spawn(control::send_order(Rc::clone(node), order));
        }
        RelayEffect::CallDuty(call) => {
            ntex::rt::spawn(duties::run(Rc::clone(node), call));
        }
        RelayEffect::Secret(secret) => adapters.secret.set(Some(secret)),
        RelayEffect::CallStore {
            number,
            call: store_call,
        } => {
            let (tx, rx) = oneshot::channel();
            adapters.store_calls.borrow_mut().insert(number, tx);
            ntex::rt::spawn(store::run_store_call(
                Rc::clone(node),
                number,
                store_call,
                rx,
            ));
        }
        RelayEffect::CancelStoreCall(number) => {
            adapters.store_calls.borrow_mut().remove(&number);
        }
        RelayEffect::Publish { to, message } => datagrams::publish(node, &to, &message),
    }
}
