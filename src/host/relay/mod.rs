//! Adapters of relayed requests: callers, backend servers, other hosts and the store.

mod backends;
pub mod callers;
pub mod datagrams;
mod events;
pub mod journal;
pub mod keeper;
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
use super::queue::{self, Parts, Queue};
use crate::backend::pool::ConnectionPool;
use crate::core::Event;
use crate::core::effect::Refusal;
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::event::{Arrival, RelayEffect, RelayEvent};
use crate::platform::header::Header;
use crate::store::CallCounts;

/// A request as it is to be written to backend servers.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path with query, as the caller wrote it.
    pub path: Box<str>,
    /// Headers passed on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// Head of a backend server's answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on.
    pub headers: Vec<Header>,
}

/// What the handler of a relayed request is told.
#[derive(Debug)]
pub enum Part {
    /// A stream begins.
    Head(Head),
    /// Bytes of the stream.
    Piece(Bytes),
    /// The stream is whole.
    Whole,
    /// The stream cannot be completed and must look cut.
    Cut,
    /// A whole answer.
    Answer(Head, Bytes),
    /// There will be no answer.
    Refused(Refusal),
}

/// What an attempt brought, while the core is told of it.
#[derive(Debug)]
enum Hand {
    Piece(Head, Bytes),
    Answer(Head, Bytes),
}

#[derive(Debug)]
struct Live {
    queue: Queue<Part>,
    prepared: Rc<Prepared>,
    begun: Cell<bool>,
}

/// A request that was taken in.
#[derive(Debug)]
pub struct Taken {
    /// Its key.
    pub call: CallKey,
    /// What its handler is told.
    pub parts: Parts<Part>,
}

/// State of the adapters.
#[derive(Debug, Default)]
pub struct Ports {
    /// Connections to backend servers.
    pub channels: ConnectionPool,
    /// Connections to the store.
    pub store: ConnectionPool,
    /// Calls by which the core follows the store, by number.
    asks: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    /// Calls of the store made so far.
    pub calls: Cell<CallCounts>,
    live: RefCell<SecondaryMap<CallKey, Live>>,
    arriving: RefCell<Option<Live>>,
    arrived: Cell<Option<CallKey>>,
    attempts: RefCell<SecondaryMap<AttemptKey, oneshot::Sender<()>>>,
    hand: RefCell<Option<Hand>>,
    /// Secret that all hosts share.
    secret: Cell<Option<[u8; 32]>>,
    /// Socket for messages to other hosts.
    pub socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Ports {
    fn prepared(&self, call: CallKey) -> Option<Rc<Prepared>> {
        let live = self.live.borrow();
        live.get(call).map(|live| Rc::clone(&live.prepared))
    }

    fn queue(&self, call: CallKey) -> Option<Queue<Part>> {
        let live = self.live.borrow();
        live.get(call).map(|live| live.queue.clone())
    }

    fn end(&self, call: CallKey, part: Part) {
        if let Some(live) = self.live.borrow_mut().remove(call) {
            live.queue.end(part);
        }
    }

    fn deliver(&self, call: CallKey) {
        let Some(Hand::Piece(head, data)) = self.hand.borrow_mut().take() else {
            return;
        };
        if let Some(live) = self.live.borrow().get(call) {
            if !live.begun.replace(true) {
                live.queue.end(Part::Head(head));
            }
            live.queue.piece(Part::Piece(data));
        }
    }

    /// Ends an answer that cannot be completed so that it looks cut.
    ///
    /// The library ends a failed body by writing an answer of its own into it, which no caller
    /// could read; with the connection closed first, nothing more is written.
    fn cut(&self, call: CallKey) {
        if let Some(queue) = self.queue(call) {
            queue.close();
        }
        self.end(call, Part::Cut);
    }

    fn pass(&self, call: CallKey) {
        if let Some(Hand::Answer(head, body)) = self.hand.borrow_mut().take() {
            self.end(call, Part::Answer(head, body));
        }
    }

    fn attempt_ended(&self, attempt: AttemptKey) {
        self.attempts.borrow_mut().remove(attempt);
    }
}

/// Takes in a request that came on this connection.
pub fn take(
    node: &Rc<Node>,
    arrival: Arrival,
    prepared: Prepared,
    io: Option<IoRef>,
) -> Option<Taken> {
    let (queue, parts) = queue::queue(io, |part| matches!(part, Part::Piece(_)));
    *node.relay.arriving.borrow_mut() = Some(Live {
        queue,
        prepared: Rc::new(prepared),
        begun: Cell::new(false),
    });
    tell(node, RelayEvent::Arrived(Box::new(arrival)));
    let call = node.relay.arrived.take()?;
    Some(Taken { call, parts })
}

/// Tells the core of an event.
fn tell(node: &Rc<Node>, event: RelayEvent) {
    node.apply(Event::Relay(event));
}

/// Tells the core of an event that something in hand belongs to.
fn tell_with(node: &Rc<Node>, hand: Hand, event: RelayEvent) {
    *node.relay.hand.borrow_mut() = Some(hand);
    tell(node, event);
    node.relay.hand.borrow_mut().take();
}

/// Carries out an effect.
pub fn carry(node: &Rc<Node>, effect: RelayEffect) {
    let ports = &node.relay;
    match effect {
        RelayEffect::Opened(call) => {
            if let Some(live) = ports.arriving.borrow_mut().take() {
                ports.live.borrow_mut().insert(call, live);
            }
            ports.arrived.set(Some(call));
        }
        RelayEffect::Send(out) => {
            let (tx, rx) = oneshot::channel();
            ports.attempts.borrow_mut().insert(out.attempt, tx);
            ntex::rt::spawn(backends::attempt(Rc::clone(node), *out, rx));
        }
        RelayEffect::Cancel(attempt) => ports.attempt_ended(attempt),
        RelayEffect::ForwardEvent(call) => ports.deliver(call),
        RelayEffect::ForwardAnswer(call) => ports.pass(call),
        RelayEffect::Finish(call) => ports.end(call, Part::Whole),
        RelayEffect::AbortAnswer(call) => ports.cut(call),
        RelayEffect::Refuse { call, refusal } => ports.end(call, Part::Refused(refusal)),
        RelayEffect::FreeCache {
            instance,
            addr,
            handle,
        } => {
            ntex::rt::spawn(backends::free(Rc::clone(node), instance, addr, handle));
        }
        RelayEffect::FetchReport { instance, addr } => {
            ntex::rt::spawn(backends::report(Rc::clone(node), instance, addr));
        }
        RelayEffect::Order(order) => {
            ntex::rt::spawn(backends::order(Rc::clone(node), order));
        }
        RelayEffect::Secret(secret) => ports.secret.set(Some(secret)),
        RelayEffect::CallStore { number, call: ask } => {
            let (tx, rx) = oneshot::channel();
            ports.asks.borrow_mut().insert(number, tx);
            ntex::rt::spawn(keeper::follow(Rc::clone(node), number, ask, rx));
        }
        RelayEffect::CancelStoreCall(number) => {
            ports.asks.borrow_mut().remove(&number);
        }
        RelayEffect::Publish { to, message } => datagrams::tell(node, &to, &message),
    }
}
