//! Pool of keep-alive connections to backend servers and to the store, without pipelining.
//!
//! The pool of the HTTP client in [`super::Client`] keeps every idle connection for the same time
//! and reports a closed connection with the same error as one that broke during a request.
//! Relayed requests need both: a backend server announces its own keep-alive timeout, and a request
//! is reported as not run only if no byte of it was handed to a connection. HTTP itself is hyper's.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use snafu::Snafu;
use tokio::time::{Instant, timeout};

use super::SendCount;
use super::connect::{ConnectionGuard, Patience, connect};
use crate::error::Ran;

/// Calls that a connection remembers: a late response arrives where the next one is expected.
const MAX_RECENT_CALLS: usize = 16;
/// Time within which a connection must be ready for its next request after a complete response.
const READY_TIMEOUT: Duration = Duration::from_millis(2);
/// Why there is no response, or no complete one.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PoolError {
    /// Connecting failed; no byte of the request was sent.
    #[snafu(display("no connection was made: {reason}"))]
    Connect {
        /// Description of the failure.
        reason: Box<str>,
    },
    /// This process has no file descriptor left for a connection; no byte of the request was sent.
    #[snafu(display("no file descriptor is left for a connection"))]
    NoDescriptor,
    /// The connection broke after the request was handed to it.
    #[snafu(display("the connection broke: {reason}"))]
    Broken {
        /// Description of the failure.
        reason: Box<str>,
    },
    /// No complete response arrived in time.
    #[snafu(display("no answer came in time"))]
    Timeout,
    /// The response body exceeds the size limit.
    #[snafu(display("the answer is too long"))]
    TooLong,
    /// The response belongs to another call.
    #[snafu(display("the answer is not for this request"))]
    Foreign,
}

impl PoolError {
    /// Returns whether the server may have run the call.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. } | Self::NoDescriptor => Ran::No,
            _ => Ran::Unknown,
        }
    }
}

/// An open connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    guard: ConnectionGuard,
    patience: Patience,
    /// Number of calls sent on it.
    calls: u64,
    /// The last calls with an id that were sent on it.
    recent: VecDeque<SentCall>,
}

/// A call that a connection has carried.
#[derive(Debug, Clone, Copy)]
struct SentCall {
    /// Hash of its id.
    id: u64,
    /// Whether a late response to it does no harm to a call like it.
    may_repeat: bool,
}

impl Connection {
    /// Returns the answer to a call whose response head arrived on this connection.
    fn answered(mut self, response: Response<Incoming>, call: &Call) -> Answer {
        self.guard.answer_begun();
        self.calls += 1;
        if let Some(id) = &call.id {
            self.recent.truncate(MAX_RECENT_CALLS - 1);
            self.recent.push_front(SentCall {
                id: hash(id),
                may_repeat: call.may_repeat,
            });
        }
        Answer {
            response,
            connection: self,
            addr: call.addr,
        }
    }
}

/// Returns the hash of a call's id.
fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Pool of idle connections by address; clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionPool").finish_non_exhaustive()
    }
}

/// A response whose head has arrived.
pub struct Answer {
    /// Response with the body still to be read.
    pub response: Response<Incoming>,
    connection: Connection,
    addr: SocketAddr,
}

impl Answer {
    /// Returns whether it is the first response on its connection.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.connection.calls == 1
    }
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct FullAnswer {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// An HTTP request and its destination.
#[derive(Debug, Clone)]
pub struct Call {
    /// Destination address.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: hyper::Method,
    /// Encoded path with query.
    pub path: Box<str>,
    /// Id that responses to it name, if they name one.
    pub id: Option<Box<str>>,
    /// Whether a late response to an earlier such call with the same id does no harm.
    pub may_repeat: bool,
    /// Header names and values.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Request body; may be empty.
    pub body: Bytes,
}

/// Time limits of a call whose response is collected.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Until the head of the response arrives; half of it for the opening of a connection.
    pub head: Duration,
    /// Between two parts of the body.
    pub silence: Duration,
    /// For the whole body.
    pub body: Duration,
}

impl CallLimits {
    /// Returns one limit for the head, each pause and the whole body.
    #[must_use]
    pub fn all(limit: Duration) -> Self {
        Self {
            head: limit,
            silence: limit,
            body: limit,
        }
    }
}

impl Call {
    /// Builds the request, with a `Host` header if the call has none.
    fn request(&self) -> Result<Request<Full<Bytes>>, PoolError> {
        let mut builder = Request::builder().method(&self.method).uri(&*self.path);
        let mut has_host = false;
        for (name, value) in &self.headers {
            has_host |= &**name == "host";
            builder = builder.header(&**name, &**value);
        }
        if !has_host {
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
    /// Sends a call and returns the head of its response.
    ///
    /// `connect_timeout` bounds the opening of a connection. The caller bounds the rest by dropping
    /// the future, which closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Connect`] if no byte of the call was handed to a connection, and
    /// [`PoolError::Broken`] if the connection broke afterwards.
    pub async fn send(&self, call: &Call, connect_timeout: Duration) -> Result<Answer, PoolError> {
        self.send_counted(call, connect_timeout, &SendCount::default())
            .await
    }

    /// Does the same, and counts the connections that the call is handed to.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::send`].
    pub async fn send_counted(
        &self,
        call: &Call,
        connect_timeout: Duration,
        sends: &SendCount,
    ) -> Result<Answer, PoolError> {
        let mut request = call.request()?;
        let patience = Patience::of(call.body.len());
        // An idle connection that was closed meanwhile returns the request unsent.
        while let Some(mut connection) = self.take_idle(call, patience) {
            connection.guard.request_sent();
            sends.handed();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(connection.answered(response, call)),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => {
                        sends.returned();
                        request = unsent;
                    }
                    None => return Err(connection_broken(&err.into_error())),
                },
            }
        }
        let (sender, guard) = timeout(connect_timeout, connect(call.addr, patience))
            .await
            .unwrap_or_else(|_elapsed| {
                Err(PoolError::Connect {
                    reason: "the other side does not answer".into(),
                })
            })?;
        let mut connection = Connection {
            sender,
            guard,
            patience,
            calls: 0,
            recent: VecDeque::new(),
        };
        connection.guard.request_sent();
        sends.handed();
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(connection.answered(response, call)),
            Err(mut err) => Err(if err.take_message().is_some() {
                sends.returned();
                PoolError::Connect {
                    reason: "the connection closed before the request was handed to it".into(),
                }
            } else {
                connection_broken(&err.into_error())
            }),
        }
    }

    /// Sends a call and collects its complete response, of at most `max_bytes` bytes, within
    /// `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn call(
        &self,
        call: &Call,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<FullAnswer, PoolError> {
        let limits = CallLimits::all(time_limit);
        let answer = self.call_observed(call, limits, max_bytes, |_| {});
        let answer = timeout(time_limit, answer).await;
        answer.unwrap_or(Err(PoolError::Timeout))
    }

    /// Sends a call and collects its complete response, of at most `max_bytes` bytes; passes the number of bytes
    /// received so far to `progress` with each part of the body.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn call_observed(
        &self,
        call: &Call,
        limits: CallLimits,
        max_bytes: usize,
        progress: impl FnMut(usize),
    ) -> Result<FullAnswer, PoolError> {
        let answer = timeout(limits.head, self.send(call, limits.head / 2)).await;
        let answer = answer.unwrap_or(Err(PoolError::Timeout))?;
        self.finish(answer, limits, max_bytes, progress).await
    }

    /// Collects the rest of a response, of at most `max_bytes` bytes, and keeps its connection; passes the number of bytes
    /// received so far to `progress` with each part of the body.
    ///
    /// # Errors
    ///
    /// Returns why the response is not complete.
    pub async fn finish(
        &self,
        mut answer: Answer,
        limits: CallLimits,
        max_bytes: usize,
        progress: impl FnMut(usize),
    ) -> Result<FullAnswer, PoolError> {
        let status = answer.response.status().as_u16();
        let headers = std::mem::take(answer.response.headers_mut());
        let body = collect_observed(&mut answer, max_bytes, limits.silence, progress);
        let body = timeout(limits.body, body).await;
        let body = body.unwrap_or(Err(PoolError::Timeout))?;
        self.put_back(answer, CALL_IDLE_TIMEOUT, MAX_IDLE_CALL_CONNECTIONS)
            .await;
        Ok(FullAnswer {
            status,
            headers,
            body,
        })
    }

    /// Returns an idle connection for a call.
    ///
    /// A late response to an earlier call with the same id looks like the response to this one.
    fn take_idle(&self, call: &Call, patience: Patience) -> Option<Connection> {
        let id = call.id.as_deref().map(hash);
        let accepts = |connection: &Connection| {
            let sent = connection.recent.iter();
            let mut same = sent.filter(|sent| Some(sent.id) == id);
            connection.patience == patience && same.all(|sent| sent.may_repeat && call.may_repeat)
        };
        let mut all = self.idle.borrow_mut();
        let list = all.get_mut(&call.addr)?;
        let now = Instant::now();
        list.retain(|idle| idle.expires_at > now && idle.connection.sender.is_ready());
        // The most recently used connection is the least likely to be closed by now.
        let place = list.iter().rposition(|idle| accepts(&idle.connection));
        let found = place.map(|place| list.remove(place).connection);
        if list.is_empty() {
            all.remove(&call.addr);
        }
        found
    }

    /// Returns the connection of a response that was read to its end to the pool.
    ///
    /// It is kept for `idle_timeout`, unless `max_idle` connections to its address are idle.
    pub async fn put_back(&self, answer: Answer, idle_timeout: Duration, max_idle: usize) {
        let Answer {
            mut connection,
            addr,
            ..
        } = answer;
        // Bytes after the response belong to no request and close the connection here.
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let list = all.entry(addr).or_default();
        list.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        if list.len() < max_idle {
            list.push(IdleConnection {
                connection,
                expires_at: now + idle_timeout,
            });
        }
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

/// Time for which idle connections of [`ConnectionPool::call`] are kept.
///
/// Shorter than the keep-alive of the store and of the engines' own interfaces; lease renewals
/// call the store at least this often.
const CALL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections of [`ConnectionPool::call`] per address.
const MAX_IDLE_CALL_CONNECTIONS: usize = 4;

/// Collects the rest of a response's body.
///
/// # Errors
///
/// Returns [`PoolError::Broken`] for a truncated body and [`PoolError::TooLong`] for one of more
/// than `max_bytes`.
pub async fn collect(answer: &mut Answer, max_bytes: usize) -> Result<Bytes, PoolError> {
    collect_observed(answer, max_bytes, Duration::MAX, |_| {}).await
}

/// Reads the rest of a response's body and keeps nothing of it.
///
/// # Errors
///
/// Returns the errors of [`collect`].
pub async fn discard(answer: &mut Answer, max_bytes: usize) -> Result<(), PoolError> {
    let mut received = 0;
    while let Some(chunk) = next_chunk(answer).await {
        received += chunk?.len();
        if received > max_bytes {
            return Err(PoolError::TooLong);
        }
    }
    Ok(())
}

/// Does the same as [`collect`], with a limit on the time between two parts; passes the number of bytes received so far
/// to `progress` with each part.
///
/// # Errors
///
/// Returns [`PoolError::Timeout`] after that time without a part, and the errors of [`collect`].
pub async fn collect_observed(
    answer: &mut Answer,
    max_bytes: usize,
    max_silence: Duration,
    mut progress: impl FnMut(usize),
) -> Result<Bytes, PoolError> {
    let mut body = bytes::BytesMut::new();
    loop {
        let chunk = timeout(max_silence, next_chunk(answer)).await;
        let Some(chunk) = chunk.unwrap_or(Some(Err(PoolError::Timeout))) else {
            break;
        };
        let chunk = chunk?;
        if body.len() + chunk.len() > max_bytes {
            return Err(PoolError::TooLong);
        }
        body.extend_from_slice(&chunk);
        progress(body.len());
    }
    Ok(body.freeze())
}

/// Returns the next chunk of a response's body; `None` at its regular end.
pub async fn next_chunk(answer: &mut Answer) -> Option<Result<Bytes, PoolError>> {
    loop {
        match answer.response.body_mut().frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    answer.connection.guard.part_received();
                    return Some(Ok(data));
                }
            }
            Err(err) => return Some(Err(connection_broken(&err))),
        }
    }
}

/// Returns the error for a connection that broke after a request was handed to it.
///
/// One that the kernel gave up, since nothing was acknowledged for a time, did not break at the server:
/// no packet arrived from there.
fn connection_broken(err: &hyper::Error) -> PoolError {
    if is_timed_out(err) {
        return PoolError::Timeout;
    }
    let source = std::error::Error::source(err);
    let source = source.map_or_else(String::new, |source| format!(": {source}"));
    PoolError::Broken {
        reason: format!("{err}{source}").into(),
    }
}

/// Returns whether an error, or one that caused it, is a timeout of the kernel.
pub(super) fn is_timed_out(err: &(dyn std::error::Error + 'static)) -> bool {
    let chain = std::iter::successors(Some(err), |err| err.source());
    let mut io = chain.filter_map(|err| err.downcast_ref::<std::io::Error>());
    io.any(|err| err.kind() == std::io::ErrorKind::TimedOut)
}
