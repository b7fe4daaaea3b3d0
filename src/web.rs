//! HTTP/1.1 server shared by every listener: accept loop, limits, graceful stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ntex::client::{Client, Connector};
use ntex::http::{HttpService, HttpServiceConfig, Request, Response, ResponseError, StatusCode};
use ntex::io::Io;
use ntex::service::cfg::SharedCfg;
use ntex::service::{Pipeline, Service, ServiceFactory, fn_service};
use ntex::time::Seconds;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Most headers a request may carry; more get 431.
const MAX_HEADERS: usize = 64;
/// Most bytes of request line and headers together.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time a caller has to send all headers before the connection is closed.
const HEAD_TIMEOUT: Seconds = Seconds(10);
/// Idle time after which a kept-alive connection is closed by this side.
///
/// Clients here drop idle connections after [`crate::web::CLIENT_IDLE`], which is shorter,
/// so that a request is not written to a connection this side is closing.
const SERVER_IDLE_TIMEOUT: Seconds = Seconds(75);
/// Time that connections are served on after their listener was closed, where callers know of no
/// other host to go to at once.
pub const CONNECTION_GRACE: Duration = Duration::from_secs(1);
/// Idle time after which clients in this program drop a pooled connection.
pub const CLIENT_IDLE_TIMEOUT: Seconds = Seconds(4);

/// Connections at most of a client for trials.
const MAX_TRIAL_CONNECTIONS: usize = 10_000;

/// A failure inside a handler; answered with 500 and never shown in detail.
#[derive(Debug, Snafu)]
#[snafu(display("the handler failed"))]
pub struct HandlerError;

impl ResponseError for HandlerError {}

/// Counts open connections and open requests of one listener.
#[derive(Debug, Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// Returns the number of holds not yet dropped.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more until the returned hold is dropped.
    #[must_use]
    pub fn acquire(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(Rc::clone(&self.0))
    }
}

/// One counted connection or request.
#[derive(Debug)]
pub struct GaugeGuard(Rc<Cell<usize>>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Opens a listener on `addr`; port 0 lets the kernel choose.
///
/// # Errors
///
/// Returns the error of the bind.
pub async fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves connections of `listener` with `handler` until `stop` turns true or its sender is gone,
/// and then until every connection is closed.
///
/// Each connection runs as its own task on this thread. Once it stops, new connections are
/// refused. Those already open, and those the kernel had accepted by then, are served on for
/// `grace`, so that a request sent in the same moment is not lost; then each is closed as soon
/// as it has no request in hand. Dropping this future closes nothing.
pub async fn serve<H, F>(
    listener: TcpListener,
    grace: Duration,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let config = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_client_timeout(HEAD_TIMEOUT)
        .set_keepalive_timeout(SERVER_IDLE_TIMEOUT);
    let cfg = SharedCfg::new("http").add(config).build();
    let service = HttpService::h1(fn_service(move |req: Request| {
        let answer = handler(req);
        async move { Ok::<_, HandlerError>(answer.await) }
    }));
    let Ok(service) = service.create(cfg.clone()).await else {
        return;
    };
    let service = Pipeline::new(service);
    // Each connection holds a clone of `open`. The library's own count cannot be waited for: it
    // reports that none is left as soon as that was so once, long before the stop.
    let (open, mut closed) = mpsc::channel::<()>(1);
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
            // Out of file descriptors, most often: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        serve_connection(&service, &cfg, stream.into_std(), open.clone());
    }
    serve_backlog(&service, &cfg, listener, &open);
    drop(open);
    tokio::time::sleep(grace).await;
    service.shutdown().await;
    // Nothing is sent; the channel ends with the last connection.
    let _ended = closed.recv().await;
}

/// Serves one connection, and drops `open` at its end.
fn serve_connection<S>(
    service: &Pipeline<S>,
    cfg: &SharedCfg,
    stream: io::Result<std::net::TcpStream>,
    open: mpsc::Sender<()>,
) where
    S: Service<Io> + 'static,
    S::Error: std::fmt::Display,
{
    let io = stream.and_then(|stream| {
        stream.set_nodelay(true)?;
        ntex::rt::from_tcp_stream(stream, cfg.clone())
    });
    if let Ok(io) = io {
        let call = service.call_static(io);
        ntex::rt::spawn(async move {
            if let Err(err) = call.await {
                log::debug!("connection closed: {err}");
            }
            drop(open);
        });
    }
}

/// Closes a listener after it has taken what the kernel accepted.
///
/// The kernel answers a connection before the program takes it. Closed without this, the listener
/// would reset those that wait, and their callers would not know what became of their requests.
fn serve_backlog<S>(
    service: &Pipeline<S>,
    cfg: &SharedCfg,
    listener: TcpListener,
    open: &mpsc::Sender<()>,
) where
    S: Service<Io> + 'static,
    S::Error: std::fmt::Display,
{
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        serve_connection(service, cfg, stream, open.clone());
    }
}

/// Makes a client for trials that follows no redirect, adds no header and sets no time limit;
/// `None` when the library cannot make one.
pub async fn trial_client(name: &'static str) -> Option<Client> {
    // Not 0, which means no limit: the pool then leaves calls asleep that wait for another's
    // connection.
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

/// Reads and drops a request's body, as far as `limit` bytes and `time` go.
///
/// A connection closed with bytes still unread is reset, and a reset can overtake the answer: the
/// caller then sees a broken connection in place of the refusal. Reading what it sends first
/// prevents this for callers that keep to the bounds.
pub async fn discard_body(req: &mut Request, limit: usize, time: Duration) {
    let mut payload = req.take_payload();
    let drain = async {
        let mut read = 0;
        while let Some(Ok(part)) = ntex::util::stream_recv(&mut payload).await {
            read += part.len();
            if read > limit {
                break;
            }
        }
    };
    // Past its bounds the caller gets whatever its system makes of the reset.
    timeout(time, drain).await.unwrap_or_default();
}

/// Reads a request body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// Returns the status to answer with: 413 for too many bytes, 408 for a slow sender, 400 for a
/// body cut short.
pub async fn read_body(
    req: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Bytes, StatusCode> {
    let mut payload = req.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = ntex::util::stream_recv(&mut payload).await {
            let part = part.map_err(|_cut| StatusCode::BAD_REQUEST)?;
            if body.len() + part.len() > limit {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    timeout(time, read)
        .await
        .unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}
