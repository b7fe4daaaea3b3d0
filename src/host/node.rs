//! The core with its adapters around it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use ntex::io::IoRef;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot, watch};

use super::backends;
use super::completion::Completion;
use super::keeper;
use super::link::Link;
use super::meters::Meters;
use super::queue::{self, Parts, Queue};
use super::relay::{self, Ports};
use super::timer::{self, Timers};
use super::{HostError, logs};
use crate::backend;
use crate::core::effect::{OperatorAnswer, Refusal};
use crate::core::event::{Arrival, OperatorEvent, RequestEvent, Stored};
use crate::core::key::{AskKey, AttemptKey, HostKey, RequestKey};
use crate::core::{Core, Effect, Effects, Event, Time};
use crate::settings::Settings;
use crate::store::Store;
use crate::web::CLIENT_IDLE_TIMEOUT;

/// Time one call to the key-value service may take at one endpoint.
const STORE_TIME: Duration = Duration::from_secs(2);
/// Time messages to peers may take to leave at the end of a planned stop.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// What the handler of a request is told.
#[derive(Debug)]
pub enum Part {
    /// The next piece of the answer: one event's data.
    Piece(Bytes),
    /// The answer is whole.
    Whole,
    /// A service's answer, and the request that ran it where that was an earlier one.
    Reply(Stored, Option<Box<str>>),
    /// There will be no whole answer.
    Refused(Refusal),
}

/// What a request asks of a back end, as it is to be written.
#[derive(Debug)]
pub enum Prepared {
    /// A completion.
    Completion(Completion),
    /// A service call.
    Call(ServiceCall),
}

/// A call to a service, as it is to be written.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers passed on.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Bytes,
}

/// A request whose handler is still there.
#[derive(Debug)]
pub struct Live {
    queue: Queue<Part>,
    /// What it asks of a back end.
    pub prepared: Rc<Prepared>,
    /// Text passed on so far, kept for an engine that must continue.
    pub text: String,
}

/// A request that was taken in.
#[derive(Debug)]
pub struct Taken {
    /// Its key.
    pub request: RequestKey,
    /// Its id.
    pub id: Box<str>,
    /// What its handler is told.
    pub parts: Parts<Part>,
}

/// A host's core and adapters.
#[derive(Debug)]
pub struct Node {
    core: RefCell<Core>,
    /// Times that were asked for.
    pub timers: Timers,
    /// Client of the key-value service.
    pub store: Store,
    /// Client of engines and services.
    pub backends: backend::Client,
    /// Client that opens a connection for each call.
    fresh: backend::Client,
    /// Back ends to which a connection was lost, with the time until which none is reused.
    wary: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Counts and histograms.
    pub meters: Meters,
    live: RefCell<SecondaryMap<RequestKey, Live>>,
    attempts: RefCell<SecondaryMap<AttemptKey, oneshot::Sender<()>>>,
    /// The request being taken in.
    arriving: RefCell<Option<Live>>,
    arrived: RefCell<Option<(RequestKey, Box<str>)>>,
    /// The piece whose arrival is being told to the core.
    piece: RefCell<Option<Bytes>>,
    links: RefCell<SecondaryMap<HostKey, Link>>,
    asks: RefCell<BTreeMap<AskKey, oneshot::Sender<OperatorAnswer>>>,
    count: Cell<u64>,
    close: RefCell<Option<watch::Sender<bool>>>,
    exit: Notify,
    /// Adapters of relayed requests.
    pub relay: Ports,
}

impl Node {
    /// Creates the node of a host that has heard nothing yet.
    ///
    /// # Errors
    ///
    /// Returns which of its parts cannot be made.
    pub async fn new(settings: Settings) -> Result<Rc<Self>, HostError> {
        let now = timer::now();
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = u64::try_from(wall.as_millis()).unwrap_or(0);
        let store = Store::new(settings.platform.kv.clone(), STORE_TIME).await;
        let client = backend::Client::new(backend::Options::default()).await;
        let fresh = backend::Client::new(backend::Options {
            reuse: backend::Reuse::Never,
            ..backend::Options::default()
        });
        let fresh = fresh.await;
        let meters = Meters::new(&settings).map_err(|_otel| HostError::Meters)?;
        let epoch = wall.saturating_sub(now.millis());
        let core = Core::new(settings, now, epoch, rand::random());
        Ok(Rc::new(Self {
            core: RefCell::new(core),
            timers: Timers::default(),
            store,
            backends: client.map_err(|_builder| HostError::Client)?,
            wary: RefCell::default(),
            fresh: fresh.map_err(|_builder| HostError::Client)?,
            meters,
            live: RefCell::default(),
            attempts: RefCell::default(),
            arriving: RefCell::default(),
            arrived: RefCell::default(),
            piece: RefCell::default(),
            links: RefCell::default(),
            asks: RefCell::default(),
            count: Cell::new(0),
            close: RefCell::default(),
            exit: Notify::new(),
            relay: Ports::default(),
        }))
    }

    /// Looks at the core.
    pub fn look<T>(&self, look: impl FnOnce(&Core) -> T) -> T {
        look(&self.core.borrow())
    }

    /// Sets what a planned stop closes the callers' listener with.
    pub fn on_close(&self, close: watch::Sender<bool>) {
        *self.close.borrow_mut() = Some(close);
    }

    /// Waits for the end of a planned stop.
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    /// Gives messages to peers time to leave.
    pub async fn flush(&self) {
        self.links.borrow_mut().clear();
        tokio::time::sleep(FLUSH_TIME).await;
    }

    /// Feeds one event to the core and carries out its effects.
    pub fn apply(self: &Rc<Self>, event: Event) {
        let mut effects = Effects::new();
        self.core
            .borrow_mut()
            .reduce(timer::now(), event, &mut effects);
        for effect in effects {
            self.carry(effect);
        }
    }

    /// Takes in a request that came on this connection.
    pub fn take(
        self: &Rc<Self>,
        mut arrival: Arrival,
        prepared: Prepared,
        io: Option<IoRef>,
    ) -> Option<Taken> {
        let (queue, parts) = queue::queue(io, |part| matches!(part, Part::Piece(_)));
        *self.arriving.borrow_mut() = Some(Live {
            queue,
            prepared: Rc::new(prepared),
            text: String::new(),
        });
        arrival.tag = self.number();
        self.apply(Event::Request(RequestEvent::Arrived(Box::new(arrival))));
        let (request, id) = self.arrived.borrow_mut().take()?;
        Some(Taken { request, id, parts })
    }

    /// Tells the core that a piece of an answer arrived.
    pub fn chunk(self: &Rc<Self>, attempt: AttemptKey, offset: u64, tokens: u32, data: Bytes) {
        *self.piece.borrow_mut() = Some(data);
        self.apply(Event::Request(RequestEvent::Chunk {
            attempt,
            offset,
            tokens,
        }));
        self.piece.borrow_mut().take();
    }

    /// Puts an operator's question.
    pub async fn ask(
        self: &Rc<Self>,
        event: impl FnOnce(AskKey) -> OperatorEvent,
    ) -> Option<OperatorAnswer> {
        let ask = AskKey(self.number());
        let (tx, rx) = oneshot::channel();
        self.asks.borrow_mut().insert(ask, tx);
        self.apply(Event::Operator(event(ask)));
        rx.await.ok()
    }

    fn number(&self) -> u64 {
        let number = self.count.get() + 1;
        self.count.set(number);
        number
    }

    /// Returns what a request asks of a back end.
    #[must_use]
    pub fn prepared(&self, request: RequestKey) -> Option<Rc<Prepared>> {
        let live = self.live.borrow();
        live.get(request).map(|live| Rc::clone(&live.prepared))
    }

    /// Returns the client for a stream at a back end.
    ///
    /// Whatever made a connection fall silent may have silenced every one of its time. A resumed
    /// stream that went out on a kept connection would hang again, and so would the next request;
    /// so that none is reused until the pool has dropped all that were idle then.
    pub fn client(&self, addr: SocketAddr, resume: Option<u64>) -> &backend::Client {
        let now = timer::now();
        let mut wary = self.wary.borrow_mut();
        if resume.is_some() {
            let idle = Duration::from_secs(CLIENT_IDLE_TIMEOUT.0.into());
            wary.insert(addr, now.after(idle));
        }
        wary.retain(|_, until| *until > now);
        if wary.contains_key(&addr) {
            &self.fresh
        } else {
            &self.backends
        }
    }

    /// Returns the text passed on so far.
    #[must_use]
    pub fn text(&self, request: RequestKey) -> String {
        let live = self.live.borrow();
        live.get(request)
            .map(|live| live.text.clone())
            .unwrap_or_default()
    }

    /// Returns what waits for a request's caller.
    #[must_use]
    pub fn queue(&self, request: RequestKey) -> Option<Queue<Part>> {
        let live = self.live.borrow();
        live.get(request).map(|live| live.queue.clone())
    }

    fn end(&self, request: RequestKey, part: Part) {
        if let Some(live) = self.live.borrow_mut().remove(request) {
            live.queue.end(part);
        }
    }

    fn carry(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Opened { request, id, .. } => {
                if let Some(live) = self.arriving.borrow_mut().take() {
                    self.live.borrow_mut().insert(request, live);
                }
                *self.arrived.borrow_mut() = Some((request, id));
            }
            Effect::Deliver { request } => self.deliver(request),
            Effect::Finish(request) => self.end(request, Part::Whole),
            Effect::Reply {
                request,
                result,
                first,
            } => self.end(request, Part::Reply(result, first)),
            Effect::Refuse { request, refusal } => self.end(request, Part::Refused(refusal)),
            Effect::Open(open) => {
                let ended = self.attempt(open.attempt);
                ntex::rt::spawn(backends::stream(Rc::clone(self), open, ended));
            }
            Effect::Call {
                request,
                attempt,
                addr,
                timeout,
            } => {
                let ended = self.attempt(attempt);
                let call = backends::call(Rc::clone(self), request, attempt, addr, timeout, ended);
                ntex::rt::spawn(call);
            }
            Effect::Cancel(attempt) => {
                self.attempts.borrow_mut().remove(attempt);
            }
            Effect::Wake { at, timer } => self.timers.wake(at, timer),
            Effect::Meter(meter) => self.meters.count(&meter),
            Effect::Log(event) => logs::write(&event),
            Effect::Answer { ask, answer } => {
                if let Some(tx) = self.asks.borrow_mut().remove(&ask) {
                    drop(tx.send(answer));
                }
            }
            Effect::Close => drop(self.close.borrow_mut().take()),
            Effect::Exit => self.exit.notify_one(),
            Effect::Note(note) => relay::journal::write(&note),
            Effect::Relay(effect) => relay::carry(self, effect),
            other => self.carry_out(other),
        }
    }

    /// Carries out effects towards peers and the platform.
    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Some(link) = self.links.borrow().get(to) {
                    link.send(message);
                }
            }
            Effect::Peer { host, name, addr } => self.link(host, name, addr),
            Effect::Unpeer(host) => {
                self.links.borrow_mut().remove(host);
            }
            Effect::Reconnect(host) => {
                if let Some(link) = self.links.borrow().get(host) {
                    link.reconnect();
                }
            }
            Effect::List => {
                ntex::rt::spawn(backends::list(Rc::clone(self)));
            }
            Effect::Load { name, addr } => {
                ntex::rt::spawn(backends::load(Rc::clone(self), name, addr));
            }
            Effect::Probe(addr) => {
                ntex::rt::spawn(backends::probe(Rc::clone(self), addr));
            }
            Effect::Order(order) => {
                ntex::rt::spawn(backends::order(Rc::clone(self), order));
            }
            other if self.look(|core| core.settings.relay.is_some()) => {
                relay::keeper::carry(self, other);
            }
            other => keeper::carry(self, other),
        }
    }

    pub(super) fn attempt(&self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.attempts.borrow_mut().insert(attempt, tx);
        rx
    }

    /// Forgets an attempt whose task has ended.
    pub fn attempt_ended(&self, attempt: AttemptKey) {
        self.attempts.borrow_mut().remove(attempt);
    }

    fn link(self: &Rc<Self>, host: HostKey, name: Box<str>, addr: SocketAddr) {
        let link = Link::start(self, host, name, addr);
        self.links.borrow_mut().insert(host, link);
    }

    fn deliver(&self, request: RequestKey) {
        let Some(data) = self.piece.borrow_mut().take() else {
            return;
        };
        let mut live = self.live.borrow_mut();
        if let Some(live) = live.get_mut(request) {
            if let Prepared::Completion(completion) = &*live.prepared {
                live.text.push_str(&completion.text_of(&data));
            }
            live.queue.piece(Part::Piece(data));
        }
    }
}
