//! The core together with its adapters.

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
use super::link::Link;
use super::metrics::Metrics;
use super::queue::{self, HeldBytes, QueueReceiver, QueueSender};
use super::relay::{self, Adapters};
use super::store;
use super::timer::{self, Timers};
use super::{HostError, logs};
use crate::backend;
use crate::core::effect::{OperatorAnswer, Refusal};
use crate::core::event::{Arrival, OperatorEvent, RequestEvent, StoredResponse};
use crate::core::key::{AttemptKey, CommandKey, HostKey, RequestKey};
use crate::core::{Core, Effect, Effects, Event, Time};
use crate::settings::Settings;
use crate::store::Store;
use crate::web::CLIENT_IDLE_TIMEOUT;

/// Time limit of one call to one endpoint of the key-value service.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for messages to peers to be sent at the end of a planned stop.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Message to the handler of a request.
#[derive(Debug)]
pub enum AnswerPart {
    /// Next chunk of the answer: the data of one event.
    Chunk(Bytes),
    /// The answer is complete.
    Completed,
    /// Answer of a service, and the id of the earlier request that ran the call, if one did.
    Reply(StoredResponse, Option<Box<str>>),
    /// The request ended without a complete answer.
    Refused(Refusal),
}

/// A request as it is sent to an engine or a service.
#[derive(Debug)]
pub enum Prepared {
    /// A completion.
    Completion(Completion),
    /// A service call.
    Call(ServiceCall),
}

/// A call as it is sent to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Forwarded headers.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Bytes,
}

/// A request that has not ended.
#[derive(Debug)]
pub struct OpenRequest {
    queue: QueueSender<AnswerPart>,
    /// Request as it is sent to an engine or a service.
    pub prepared: Rc<Prepared>,
    /// Text delivered so far, for another engine to continue from.
    pub text: String,
}

/// A request that the core has opened.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Its key.
    pub request: RequestKey,
    /// Its id.
    pub id: Box<str>,
    /// Messages to its handler.
    pub parts: QueueReceiver<AnswerPart>,
}

/// A host's core and adapters.
#[derive(Debug)]
pub struct Node {
    core: RefCell<Core>,
    /// Pending timers.
    pub timers: Timers,
    /// Client of the key-value service.
    pub store: Store,
    /// Client of engines and services.
    pub backends: backend::Client,
    /// Client without connection reuse.
    unpooled: backend::Client,
    /// Engines to which a connection was lost, with the time until which none is reused.
    no_reuse_until: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Metric instruments.
    pub metrics: Metrics,
    open_requests: RefCell<SecondaryMap<RequestKey, OpenRequest>>,
    attempts: RefCell<SecondaryMap<AttemptKey, oneshot::Sender<()>>>,
    /// The request whose arrival the core is processing.
    arriving: RefCell<Option<OpenRequest>>,
    arrived: RefCell<Option<(RequestKey, Box<str>)>>,
    /// The chunk whose arrival the core is processing.
    current_chunk: RefCell<Option<Bytes>>,
    links: RefCell<SecondaryMap<HostKey, Link>>,
    operator_queries: RefCell<BTreeMap<CommandKey, oneshot::Sender<OperatorAnswer>>>,
    last_number: Cell<u64>,
    close: RefCell<Option<watch::Sender<bool>>>,
    exit: Notify,
    /// Bytes held for callers.
    pub held: HeldBytes,
    /// Adapters of relayed requests.
    pub relay: Adapters,
}

impl Node {
    /// Creates the node of a host that has received no event yet.
    ///
    /// # Errors
    ///
    /// Returns which component cannot be created.
    pub async fn new(settings: Settings) -> Result<Rc<Self>, HostError> {
        let now = timer::now();
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = u64::try_from(wall.as_millis()).unwrap_or(0);
        let store = Store::new(settings.platform.kv.clone(), STORE_CALL_TIMEOUT).await;
        let client = backend::Client::new(backend::Options::default()).await;
        let unpooled = backend::Client::new(backend::Options {
            reuse: backend::Reuse::Never,
            ..backend::Options::default()
        });
        let unpooled = unpooled.await;
        let metrics = Metrics::new(&settings).map_err(|_otel| HostError::Metrics)?;
        let epoch = wall.saturating_sub(now.millis());
        let core = Core::new(settings, now, epoch, rand::random());
        Ok(Rc::new(Self {
            core: RefCell::new(core),
            timers: Timers::default(),
            store,
            backends: client.map_err(|_builder| HostError::Client)?,
            no_reuse_until: RefCell::default(),
            unpooled: unpooled.map_err(|_builder| HostError::Client)?,
            metrics,
            open_requests: RefCell::default(),
            attempts: RefCell::default(),
            arriving: RefCell::default(),
            arrived: RefCell::default(),
            current_chunk: RefCell::default(),
            links: RefCell::default(),
            operator_queries: RefCell::default(),
            last_number: Cell::new(0),
            close: RefCell::default(),
            exit: Notify::new(),
            held: HeldBytes::default(),
            relay: Adapters::default(),
        }))
    }

    /// Calls `read` with the core.
    pub fn with_core<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Sets the sender that a planned stop drops to close the callers' listener.
    pub fn set_close_signal(&self, close: watch::Sender<bool>) {
        *self.close.borrow_mut() = Some(close);
    }

    /// Waits until a planned stop is complete.
    pub async fn wait_for_exit(&self) {
        self.exit.notified().await;
    }

    /// Closes the connections to peers and waits for queued messages to be sent.
    pub async fn flush(&self) {
        self.links.borrow_mut().clear();
        tokio::time::sleep(FLUSH_DELAY).await;
    }

    /// Feeds one event to the core and executes its effects.
    pub fn apply(self: &Rc<Self>, event: Event) {
        let mut effects = Effects::new();
        self.core
            .borrow_mut()
            .reduce(timer::now(), event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Passes a request received on a connection to the core; `None` if the core did not open it.
    pub fn accept_request(
        self: &Rc<Self>,
        mut arrival: Arrival,
        prepared: Prepared,
        io: Option<IoRef>,
    ) -> Option<AcceptedRequest> {
        let (queue, parts) = queue::channel(io, self.held.clone(), |part| match part {
            AnswerPart::Chunk(data) => Some(data.len()),
            _ => None,
        });
        *self.arriving.borrow_mut() = Some(OpenRequest {
            queue,
            prepared: Rc::new(prepared),
            text: String::new(),
        });
        arrival.tag = self.next_number();
        self.apply(Event::Request(RequestEvent::Arrived(Box::new(arrival))));
        let (request, id) = self.arrived.borrow_mut().take()?;
        Some(AcceptedRequest { request, id, parts })
    }

    /// Reports a received chunk of an answer to the core.
    pub fn chunk_received(
        self: &Rc<Self>,
        attempt: AttemptKey,
        offset: u64,
        tokens: u32,
        data: Bytes,
    ) {
        *self.current_chunk.borrow_mut() = Some(data);
        self.apply(Event::Request(RequestEvent::StreamEvent {
            attempt,
            offset,
            tokens,
        }));
        self.current_chunk.borrow_mut().take();
    }

    /// Sends an operator's query to the core and waits for the answer.
    pub async fn operator_query(
        self: &Rc<Self>,
        event: impl FnOnce(CommandKey) -> OperatorEvent,
    ) -> Option<OperatorAnswer> {
        let ask = CommandKey(self.next_number());
        let (tx, rx) = oneshot::channel();
        self.operator_queries.borrow_mut().insert(ask, tx);
        self.apply(Event::Operator(event(ask)));
        rx.await.ok()
    }

    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Returns a request as it is sent to an engine or a service; `None` if it has ended.
    #[must_use]
    pub fn prepared(&self, request: RequestKey) -> Option<Rc<Prepared>> {
        let requests = self.open_requests.borrow();
        requests.get(request).map(|open| Rc::clone(&open.prepared))
    }

    /// Returns the client for a stream of an engine.
    ///
    /// A fault that stops one connection from delivering may affect all connections of that time. A
    /// resumed stream or a new request on a pooled one would hang again, so none is reused until
    /// the pool has dropped all connections that were idle at the failure.
    pub fn client(&self, addr: SocketAddr, resume: Option<u64>) -> &backend::Client {
        let now = timer::now();
        let mut no_reuse_until = self.no_reuse_until.borrow_mut();
        if resume.is_some() {
            let idle = Duration::from_secs(CLIENT_IDLE_TIMEOUT.0.into());
            no_reuse_until.insert(addr, now.after(idle));
        }
        no_reuse_until.retain(|_, until| *until > now);
        if no_reuse_until.contains_key(&addr) {
            &self.unpooled
        } else {
            &self.backends
        }
    }

    /// Returns the text delivered to the caller so far.
    #[must_use]
    pub fn delivered_text(&self, request: RequestKey) -> String {
        let requests = self.open_requests.borrow();
        requests
            .get(request)
            .map(|open| open.text.clone())
            .unwrap_or_default()
    }

    /// Returns the queue of a request's answer; `None` if the request has ended.
    #[must_use]
    pub fn queue(&self, request: RequestKey) -> Option<QueueSender<AnswerPart>> {
        let requests = self.open_requests.borrow();
        requests.get(request).map(|open| open.queue.clone())
    }

    fn finish(&self, request: RequestKey, part: AnswerPart) {
        if let Some(open) = self.open_requests.borrow_mut().remove(request) {
            open.queue.push_control(part);
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Opened { request, id, .. } => {
                if let Some(open) = self.arriving.borrow_mut().take() {
                    self.open_requests.borrow_mut().insert(request, open);
                }
                *self.arrived.borrow_mut() = Some((request, id));
            }
            Effect::Deliver { request } => self.deliver_chunk(request),
            Effect::Finish(request) => self.finish(request, AnswerPart::Completed),
            Effect::Reply {
                request,
                result,
                first,
            } => self.finish(request, AnswerPart::Reply(result, first)),
            Effect::Refuse { request, refusal } => {
                self.finish(request, AnswerPart::Refused(refusal));
            }
            Effect::OpenStream(open) => {
                let ended = self.start_attempt(open.attempt);
                ntex::rt::spawn(backends::run_stream(Rc::clone(self), open, ended));
            }
            Effect::CallService {
                request,
                attempt,
                addr,
                label,
                timeout,
            } => {
                let ended = self.start_attempt(attempt);
                let sent = backends::ServiceAttempt {
                    request,
                    attempt,
                    addr,
                    label,
                    timeout,
                };
                ntex::rt::spawn(backends::call_service(Rc::clone(self), sent, ended));
            }
            Effect::Cancel(attempt) => {
                self.attempts.borrow_mut().remove(attempt);
            }
            Effect::SetTimer { at, timer } => self.timers.schedule(at, timer),
            Effect::Meter(meter) => self.metrics.record(&meter),
            Effect::Log(event) => logs::write(&event),
            Effect::AnswerOperator { command, answer } => {
                if let Some(tx) = self.operator_queries.borrow_mut().remove(&command) {
                    drop(tx.send(answer));
                }
            }
            Effect::CloseListeners => drop(self.close.borrow_mut().take()),
            Effect::Exit => self.exit.notify_one(),
            Effect::LogFields(note) => relay::event_log::write(&note),
            Effect::Relay(effect) => relay::execute(self, effect),
            other => self.execute_external(other),
        }
    }

    /// Executes effects on peers and the platform.
    fn execute_external(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Some(link) = self.links.borrow().get(to) {
                    link.send(message);
                }
            }
            Effect::AddPeer { host, name, addr } => self.open_link(host, name, addr),
            Effect::RemovePeer(host) => {
                self.links.borrow_mut().remove(host);
            }
            Effect::Reconnect(host) => {
                if let Some(link) = self.links.borrow().get(host) {
                    link.reconnect();
                }
            }
            Effect::ReadListing => {
                ntex::rt::spawn(backends::read_platform_list(Rc::clone(self)));
            }
            Effect::ReadLoad { name, addr } => {
                ntex::rt::spawn(backends::read_load(Rc::clone(self), name, addr));
            }
            Effect::Probe(addr) => {
                ntex::rt::spawn(backends::probe(Rc::clone(self), addr));
            }
            Effect::Order(order) => {
                ntex::rt::spawn(backends::send_order(Rc::clone(self), order));
            }
            other if self.with_core(|core| core.settings.relay.is_some()) => {
                relay::store::execute(self, other);
            }
            other => store::execute(self, other),
        }
    }

    pub(super) fn start_attempt(&self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.attempts.borrow_mut().insert(attempt, tx);
        rx
    }

    /// Removes an attempt whose task has ended.
    pub fn attempt_ended(&self, attempt: AttemptKey) {
        self.attempts.borrow_mut().remove(attempt);
    }

    fn open_link(self: &Rc<Self>, host: HostKey, name: Box<str>, addr: SocketAddr) {
        let link = Link::start(self, host, name, addr);
        self.links.borrow_mut().insert(host, link);
    }

    fn deliver_chunk(&self, request: RequestKey) {
        let Some(data) = self.current_chunk.borrow_mut().take() else {
            return;
        };
        let mut requests = self.open_requests.borrow_mut();
        if let Some(open) = requests.get_mut(request) {
            if let Prepared::Completion(completion) = &*open.prepared {
                open.text.push_str(&completion.text_of(&data));
            }
            let bytes = data.len();
            open.queue.push_content(AnswerPart::Chunk(data), bytes);
        }
    }
}
