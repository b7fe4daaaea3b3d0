//! HTTP/1.1 server shared by all listeners: accept loop, limits and graceful stop.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use ntex::client::{Client, Connector};
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{
    ConnectionType, HttpService, HttpServiceConfig, Request, Response, ResponseBuilder,
    ResponseError, StatusCode, Version,
};
use ntex::io::{Io, IoRef};
use ntex::service::cfg::SharedCfg;
use ntex::service::{Pipeline, Service, ServiceFactory, fn_service};
use ntex::time::Seconds;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Maximum number of request headers; more are answered with 431.
const MAX_HEADERS: usize = 64;
/// Maximum size of request line and headers together.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time within which a caller must send all headers before the connection is closed.
const HEAD_TIMEOUT: Seconds = Seconds(10);
/// Idle time after which the server closes a keep-alive connection.
///
/// Clients in this program drop idle connections after [`CLIENT_IDLE_TIMEOUT`], which is shorter,
/// so that they do not write a request to a connection that the server is closing.
const SERVER_IDLE_TIMEOUT: Seconds = Seconds(75);
/// Value of the `Keep-Alive` header: less than [`SERVER_IDLE_TIMEOUT`] by what a request may take to arrive.
const STATED_IDLE_TIME: &str = "timeout=70";
/// Time for which connections are still served after their listener was closed, for callers that
/// cannot switch to another host immediately.
pub const CONNECTION_GRACE: Duration = Duration::from_secs(1);
/// Idle time after which clients in this program drop a pooled connection.
pub const CLIENT_IDLE_TIMEOUT: Seconds = Seconds(4);

/// Connections that the kernel holds until they are accepted: callers of more would wait in vain.
const BACKLOG: u32 = 256;
/// Connections accepted before other tasks run: a flood of them must not delay the requests that were read.
const ACCEPT_BATCH: u32 = 32;

/// Maximum size of a streamed body that is collected for a caller of HTTP/1.0.
const MAX_COLLECTED_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of connections of a trial client.
const MAX_TRIAL_CONNECTIONS: usize = 10_000;

/// A failure inside a handler; answered with 500 without details.
#[derive(Debug, Snafu)]
#[snafu(display("request handler failed"))]
pub struct HandlerError;

impl ResponseError for HandlerError {}

/// Counter of open connections or requests.
#[derive(Debug, Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// Returns the number of guards that are not yet dropped.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Increments the count until the returned guard is dropped.
    #[must_use]
    pub fn acquire(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(Rc::clone(&self.0))
    }
}

/// One counted connection or request; decrements the count when dropped.
#[derive(Debug)]
pub struct GaugeGuard(Rc<Cell<usize>>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connections that an answer has announced to close. The library would run requests that the caller sent ahead on one, although
/// callers take them for not run. A hash set, as the library's handles have no order and its ids of connections are not unique.
#[derive(Debug, Clone, Default)]
struct ClosingConnections(Rc<RefCell<HashSet<IoRef>>>);

/// On drop, forgets a connection.
#[derive(Debug)]
struct ClosingGuard(ClosingConnections, IoRef);

impl Drop for ClosingGuard {
    fn drop(&mut self) {
        self.0.0.borrow_mut().remove(&self.1);
    }
}

/// Opens a listener on `addr`; with port 0 the kernel chooses the port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of an earlier process may still be closing.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves all connections of `listener`; see [`serve_admitted`].
pub async fn serve<H, F>(
    listener: TcpListener,
    grace: Duration,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    serve_admitted(listener, grace, stop, || Some(()), handler).await;
}

/// Serves connections of `listener` with `handler` until `stop` becomes true or its sender is
/// dropped, and then until every connection is closed.
///
/// A connection for which `admit` returns `None` is closed before anything is read from it, so that its caller may send
/// any request again. What it returns otherwise is dropped when the connection ends.
///
/// Each connection is a task on this thread; dropping this future closes none. After the stop, new
/// ones are refused. Those open or already accepted by the kernel are served for another `grace`,
/// so that a request sent meanwhile is not lost, and then closed once they have no open request.
pub async fn serve_admitted<A, G, H, F>(
    listener: TcpListener,
    grace: Duration,
    mut stop: watch::Receiver<bool>,
    admit: A,
    handler: H,
) where
    A: Fn() -> Option<G>,
    G: 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let config = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_client_timeout(HEAD_TIMEOUT)
        .set_keepalive_timeout(SERVER_IDLE_TIMEOUT);
    let cfg = SharedCfg::new("http").add(config).build();
    let closing = ClosingConnections::default();
    let announced = closing.clone();
    let service = HttpService::h1(fn_service(move |req: Request| {
        // The library leaves the timer of the head or of the idle time running, and would close the connection after a
        // streamed answer if it has passed meanwhile. It starts the timer anew after each answer.
        if let Some(io) = req.io() {
            io.stop_timer();
        }
        let is_kept = req.head().connection_type() == ConnectionType::KeepAlive;
        let io = req.io().cloned();
        let closed = io.clone().filter(|io| announced.0.borrow().contains(io));
        let response = closed.is_none().then(|| handler(req));
        let announced = announced.clone();
        async move {
            if let Some(io) = closed {
                io.close();
                io.on_disconnect().await;
            }
            let Some(response) = response else {
                return Err(HandlerError);
            };
            let mut response = response.await;
            if is_kept && response.head().keep_alive() {
                let stated = HeaderValue::from_static(STATED_IDLE_TIME);
                response
                    .headers_mut()
                    .insert(HeaderName::from_static("keep-alive"), stated);
            } else if let Some(io) = io {
                announced.0.borrow_mut().insert(io);
            }
            Ok::<_, HandlerError>(response)
        }
    }));
    let Ok(service) = service.create(cfg.clone()).await else {
        return;
    };
    let service = Pipeline::new(service);
    // Each connection holds a clone of `open`. The library's own counter is no substitute: it
    // reports zero connections if there were none at any earlier time, long before the stop.
    let (open, mut closed) = mpsc::channel::<()>(1);
    let mut accepted_count = 0_u32;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow() {
                    break;
                }
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            // Usually the process is out of file descriptors; accepting again without a pause would
            // busy-loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if let Some(admitted) = admit() {
            let held = (open.clone(), admitted);
            serve_connection(&service, &cfg, stream.into_std(), &closing, held);
        }
        accepted_count = (accepted_count + 1) % ACCEPT_BATCH;
        if accepted_count == 0 {
            tokio::task::yield_now().await;
        }
    }
    let admit = || Some((open.clone(), admit()?));
    serve_backlog(&service, &cfg, listener, &closing, admit);
    drop(open);
    tokio::time::sleep(grace).await;
    service.shutdown().await;
    // Nothing is sent; the channel closes with the last connection.
    let _ended = closed.recv().await;
}

/// Serves one connection in a task, and drops `held` when it ends.
fn serve_connection<S, G>(
    service: &Pipeline<S>,
    cfg: &SharedCfg,
    stream: io::Result<std::net::TcpStream>,
    closing: &ClosingConnections,
    held: G,
) where
    S: Service<Io> + 'static,
    G: 'static,
    S::Error: std::fmt::Display,
{
    let io = stream.and_then(|stream| {
        stream.set_nodelay(true)?;
        ntex::rt::from_tcp_stream(stream, cfg.clone())
    });
    if let Ok(io) = io {
        let guard = ClosingGuard(closing.clone(), io.get_ref());
        let call = service.call_static(io);
        ntex::rt::spawn(async move {
            if let Err(err) = call.await {
                log::debug!("connection closed: {err}");
            }
            drop((guard, held));
        });
    }
}

/// Closes a listener after serving the connections in its backlog.
///
/// The kernel accepts a connection before the program does. Closing the listener without this step
/// would reset the connections in the backlog, and their callers could not tell whether their
/// requests ran.
fn serve_backlog<S, G>(
    service: &Pipeline<S>,
    cfg: &SharedCfg,
    listener: TcpListener,
    closing: &ClosingConnections,
    admit: impl Fn() -> Option<G>,
) where
    S: Service<Io> + 'static,
    G: 'static,
    S::Error: std::fmt::Display,
{
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        if let Some(held) = admit() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            serve_connection(service, cfg, stream, closing, held);
        }
    }
}

/// Creates a client for trials that follows no redirects, adds no headers and sets no timeout;
/// `None` if the library fails to create it.
pub async fn trial_client(name: &'static str) -> Option<Client> {
    // Not 0, which means no limit: the pool then never wakes calls that wait for a connection in
    // use by another call.
    let connector = Connector::new()
        .limit(MAX_TRIAL_CONNECTIONS)
        .keep_alive(CLIENT_IDLE_TIMEOUT);
    Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .build(SharedCfg::new(name))
        .await
        .ok()
}

/// Builds a response whose body arrives in parts; callers of HTTP/1.0, which has no chunks, get it at once.
///
/// # Errors
///
/// Returns [`HandlerError`] if that body broke off or is longer than 16 MiB.
pub async fn stream_body<S>(
    version: Version,
    response: &mut ResponseBuilder,
    mut parts: S,
) -> Result<Response, HandlerError>
where
    S: Stream<Item = Result<ntex::util::Bytes, HandlerError>> + Unpin + 'static,
{
    if version >= Version::HTTP_11 {
        return Ok(response.streaming(parts));
    }
    let mut body = BytesMut::new();
    while let Some(part) = ntex::util::stream_recv(&mut parts).await {
        let part = part?;
        if body.len() + part.len() > MAX_COLLECTED_BYTES {
            return Err(HandlerError);
        }
        body.extend_from_slice(&part);
    }
    Ok(response.body(body.to_vec()))
}

/// Reads and drops a request's body, up to `limit` bytes and for at most `max_time`.
///
/// A connection closed with unread bytes is reset, and the reset can overtake the response: the
/// caller then sees a broken connection instead of the refusal. Reading the body first prevents
/// this for callers that keep to the limits.
pub async fn discard_body(req: &mut Request, limit: usize, max_time: Duration) {
    let mut payload = req.take_payload();
    let drain = async {
        let mut received = 0;
        while let Some(Ok(chunk)) = ntex::util::stream_recv(&mut payload).await {
            received += chunk.len();
            if received > limit {
                break;
            }
        }
    };
    // A caller beyond the limits may see the reset instead of the response.
    timeout(max_time, drain).await.unwrap_or_default();
}

/// Reads a request body of at most `limit` bytes within `max_time`.
///
/// # Errors
///
/// Returns the status of the response: 413 for a body that is too large, 408 for a slow sender,
/// 400 for a truncated body.
pub async fn read_body(
    req: &mut Request,
    limit: usize,
    max_time: Duration,
) -> Result<Bytes, StatusCode> {
    read_admitted_body(req, limit, max_time, |_received| true).await
}

/// Reads a request body as [`read_body`] does. With each part, `admit` is given the bytes received so far; once it returns
/// `false`, the rest is discarded.
///
/// # Errors
///
/// Returns 507 for a body that is not admitted, and otherwise the errors of [`read_body`].
pub async fn read_admitted_body(
    req: &mut Request,
    limit: usize,
    max_time: Duration,
    mut admit: impl FnMut(usize) -> bool,
) -> Result<Bytes, StatusCode> {
    let mut payload = req.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        let (mut received, mut admitted) = (0, true);
        while let Some(chunk) = ntex::util::stream_recv(&mut payload).await {
            let chunk = chunk.map_err(|_truncated| StatusCode::BAD_REQUEST)?;
            received += chunk.len();
            if received > limit {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            // A connection that is closed with unread bytes is reset, and the refusal is lost with it.
            if admitted && !admit(received) {
                admitted = false;
                body = BytesMut::new();
            }
            if admitted {
                body.extend_from_slice(&chunk);
            }
        }
        if admitted {
            Ok(body.freeze())
        } else {
            Err(StatusCode::INSUFFICIENT_STORAGE)
        }
    };
    timeout(max_time, read)
        .await
        .unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}
