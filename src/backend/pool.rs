//! Kept connections to backend servers and to the store, one request at a time on each.
//!
//! The pool of the house's HTTP client keeps each idle connection for one fixed time and does not
//! tell a connection that was closed from one that broke under a request. Relayed requests need
//! both: a backend server names the time for which it keeps a connection, and whether a byte of a
//! request was handed over decides whether "not run" is true. The HTTP itself is a library's.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use crate::error::Ran;

/// Time without an acknowledgement after which the kernel gives a connection up.
///
/// A host without power or behind a partition answers nothing; without this a request waits there
/// for its whole deadline. Four times the probes' interval.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two probes of a connection on which nothing happens.
///
/// Something between the two ends may lose track of a connection, which then stays silent for
/// good; the probes end it within a few seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time a connection may take to be ready for its next request once an answer is whole.
const READY_TIMEOUT: Duration = Duration::from_millis(2);
/// Most headers of an answer.
const MAX_HEADERS: usize = 128;

/// Why there is no answer, or no whole one.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PoolError {
    /// No connection was made; no byte was handed over.
    #[snafu(display("no connection was made: {reason}"))]
    Connect {
        /// What was met.
        reason: Box<str>,
    },
    /// The connection broke after the request was handed to it.
    #[snafu(display("the connection broke: {reason}"))]
    Broken {
        /// What was met.
        reason: Box<str>,
    },
    /// No answer came in time.
    #[snafu(display("no answer came in time"))]
    Timeout,
    /// The answer is longer than is taken.
    #[snafu(display("the answer is too long"))]
    TooLong,
}

impl PoolError {
    /// Tells whether the other side may have run the call.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. } => Ran::No,
            _ => Ran::Unknown,
        }
    }
}

/// An idle connection.
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    guard: oneshot::Sender<Infallible>,
    expires_at: Instant,
}

/// Connections to many addresses; clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionPool").finish_non_exhaustive()
    }
}

/// An answer whose head has arrived.
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    sender: SendRequest<Full<Bytes>>,
    guard: oneshot::Sender<Infallible>,
    addr: SocketAddr,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct FullAnswer {
    /// HTTP status.
    pub status: u16,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What is to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Where to.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path with query, as it is to be written.
    pub path: Box<str>,
    /// Names and values.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body; may be empty.
    pub body: Bytes,
}

impl Call {
    /// Returns the request as the library takes it.
    fn request(&self) -> Result<Request<Full<Bytes>>, PoolError> {
        let mut builder = Request::builder().method(&self.method).uri(&*self.path);
        let mut named = false;
        for (name, value) in &self.headers {
            named |= &**name == "host";
            builder = builder.header(&**name, &**value);
        }
        if !named {
            builder = builder.header("host", self.addr.to_string());
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|err| PoolError::Connect {
                reason: format!("the request cannot be written as HTTP: {err}").into(),
            })
    }
}

impl ConnectionPool {
    /// Sends a call and returns the head of its answer.
    ///
    /// `connect_timeout` bounds the making of a connection; the caller bounds the rest by dropping the
    /// future, which closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`ChannelError::Connect`] where no byte of the call was handed to a connection.
    pub async fn send(&self, call: &Call, connect_timeout: Duration) -> Result<Answer, PoolError> {
        let mut request = call.request()?;
        // A kept connection that turns out to be closed hands the request back untouched.
        while let Some(mut idle) = self.take_idle(call.addr) {
            match idle.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Answer {
                        response,
                        sender: idle.sender,
                        guard: idle.guard,
                        addr: call.addr,
                    });
                }
                Err(mut err) => match err.take_message() {
                    Some(back) => request = back,
                    None => return Err(connection_broken(&err.into_error())),
                },
            }
        }
        let (mut sender, guard) = timeout(connect_timeout, connect(call.addr))
            .await
            .unwrap_or_else(|_late| {
                Err(PoolError::Connect {
                    reason: "the other side does not answer".into(),
                })
            })?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(Answer {
                response,
                sender,
                guard,
                addr: call.addr,
            }),
            Err(mut err) => Err(if err.take_message().is_some() {
                PoolError::Connect {
                    reason: "the connection closed before the request was handed to it".into(),
                }
            } else {
                connection_broken(&err.into_error())
            }),
        }
    }

    /// Sends a call and collects its whole answer within `time`.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn call(
        &self,
        call: &Call,
        time: Duration,
        limit: usize,
    ) -> Result<FullAnswer, PoolError> {
        let end = Instant::now() + time;
        let answer = self.send(call, time / 2);
        let answer = timeout_at(end, answer).await;
        let mut answer = answer.unwrap_or(Err(PoolError::Timeout))?;
        let status = answer.response.status().as_u16();
        let headers = std::mem::take(answer.response.headers_mut());
        let body = timeout_at(end, collect(&mut answer, limit)).await;
        let body = body.unwrap_or(Err(PoolError::Timeout))?;
        self.put_back(answer, CALL_IDLE_TIMEOUT, MAX_IDLE_CALL_CONNECTIONS)
            .await;
        Ok(FullAnswer {
            status,
            headers,
            body,
        })
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<IdleConnection> {
        let mut all = self.idle.borrow_mut();
        let list = all.get_mut(&addr)?;
        let now = Instant::now();
        let mut found = None;
        // The one used last is the one least likely to be closed by now.
        while let Some(idle) = list.pop() {
            if idle.expires_at > now && idle.sender.is_ready() {
                found = Some(idle);
                break;
            }
        }
        if list.is_empty() {
            all.remove(&addr);
        }
        found
    }

    /// Keeps the connection of an answer that was read to its end, for `idle` and among at most
    /// `most` to the same address.
    pub async fn put_back(&self, answer: Answer, idle: Duration, most: usize) {
        let Answer {
            mut sender,
            guard,
            addr,
            ..
        } = answer;
        // Bytes after the answer end the connection here: they belong to no request.
        let ready = timeout(READY_TIMEOUT, sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let list = all.entry(addr).or_default();
        list.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        if list.len() < most {
            list.push(IdleConnection {
                sender,
                guard,
                expires_at: now + idle,
            });
        }
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that are past their time.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
            !list.is_empty()
        });
    }
}

/// Time for which connections of [`Channels::call`] are kept.
///
/// The store and the engines' own interfaces keep theirs for longer; the store is called at least
/// this often while its leases are renewed.
const CALL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Connections of [`Channels::call`] kept to one address.
const MAX_IDLE_CALL_CONNECTIONS: usize = 4;

/// Collects the rest of an answer's body.
///
/// # Errors
///
/// Returns [`ChannelError::Broken`] for a body that was cut and [`ChannelError::Long`] past
/// `limit` bytes.
pub async fn collect(answer: &mut Answer, limit: usize) -> Result<Bytes, PoolError> {
    let mut body = bytes::BytesMut::new();
    while let Some(part) = next_chunk(answer).await {
        let part = part?;
        if body.len() + part.len() > limit {
            return Err(PoolError::TooLong);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Returns the next part of an answer's body; `None` at its proper end.
pub async fn next_chunk(answer: &mut Answer) -> Option<Result<Bytes, PoolError>> {
    loop {
        match answer.response.body_mut().frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(err) => return Some(Err(connection_broken(&err))),
        }
    }
}

fn connection_broken(err: &hyper::Error) -> PoolError {
    PoolError::Broken {
        reason: err.to_string().into(),
    }
}

type OpenConnection = (SendRequest<Full<Bytes>>, oneshot::Sender<Infallible>);

/// Opens a connection; it is closed when the returned guard is dropped.
async fn connect(addr: SocketAddr) -> Result<OpenConnection, PoolError> {
    let failed = |err: std::io::Error| PoolError::Connect {
        reason: err.to_string().into(),
    };
    let stream = TcpStream::connect(addr).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes).map_err(failed)?;
    socket
        .set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
        .map_err(failed)?;
    let (sender, connection) = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| PoolError::Connect {
            reason: err.to_string().into(),
        })?;
    let (guard, closed) = oneshot::channel();
    ntex::rt::spawn(async move {
        tokio::select! {
            result = connection => {
                if let Err(err) = result {
                    log::debug!("connection to {addr} ended: {err}");
                }
            }
            _ = closed => {}
        }
    });
    Ok((sender, guard))
}
