//! HTTP client with every default set, and the classification of its failures.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use ntex::client::error::ClientError;
use ntex::client::{ClientResponse, Connector};
use ntex::http::Method;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::header::RETRY_AFTER;
use ntex::io::IoConfig;
use ntex::service::cfg::SharedCfg;
use ntex::time::{Millis, Seconds};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::single_use::{self, SingleUse};
use crate::error::Ran;
use crate::web::CLIENT_IDLE;

/// Header by which a back end says that it did not run a request.
pub(super) const RAN_HEADER: &str = "x-ran";
/// Connections in all. With the library's 0, no limit, a caller that comes while a connection to
/// the same back end is being made is never woken.
const MAX_CONNECTIONS: usize = 65_536;
/// Most bytes kept of the body of an answer other than 200 to a streamed call.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Times and limits of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time to get a connection, pooled or new.
    pub connect_timeout: Duration,
    /// Time from the request's first byte to the answer's head.
    pub head_timeout: Duration,
    /// Time from the answer's head to the end of a collected body.
    pub body_timeout: Duration,
    /// Age at which a connection is no longer reused; whole seconds, at least 1.
    pub max_age: Duration,
    /// Most bytes of a collected body.
    pub max_body_bytes: usize,
    /// Whether connections are kept for further calls.
    pub reuse: Reuse,
}

/// Whether connections are kept for further calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// They are, until they are too old or were idle for too long.
    Pooled,
    /// Each call opens its own and closes it.
    Never,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            max_age: Duration::from_mins(1),
            max_body_bytes: 8 * 1024 * 1024,
            reuse: Reuse::Pooled,
        }
    }
}

/// Why a call has no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The address, path or a header cannot be written as HTTP.
    #[snafu(display("the request cannot be written as HTTP"))]
    Invalid,
    /// No connection was made; no byte of the request was handed to a socket.
    #[snafu(display("no connection was made"))]
    Connect,
    /// The connection broke after the request was handed to it and before the whole answer.
    #[snafu(display("the connection broke before the answer was whole"))]
    Lost,
    /// No whole answer came in time.
    #[snafu(display("no answer came in time"))]
    Timeout,
    /// The answer is longer than the client takes, or not in the form of the protocol.
    #[snafu(display("the answer cannot be read"))]
    Unreadable,
    /// The back end answered with a status other than the one that opens a stream.
    #[snafu(display("the back end answered {status}"))]
    Status {
        /// HTTP status.
        status: u16,
        /// [`Ran::No`] if the back end said so.
        ran: Ran,
        /// When the back end asks to come back.
        retry_after: Option<Duration>,
        /// Body, cut at 64 KiB.
        body: Bytes,
    },
}

impl CallError {
    /// Returns whether the request ran, as far as this side can know.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Invalid | Self::Connect => Ran::No,
            Self::Lost | Self::Timeout => Ran::Unknown,
            Self::Unreadable => Ran::Yes,
            Self::Status { ran, .. } => *ran,
        }
    }

    /// Returns the HTTP status, if there was an answer.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Address of the back end.
    pub addr: SocketAddr,
    /// Path with query, beginning with a slash.
    pub path: &'a str,
    /// Names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; may be empty.
    pub body: Bytes,
}

/// A whole answer of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; redirects are given as they came.
    pub status: u16,
    /// Names in lower case and values, in the order they came.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Bytes,
    /// [`Ran::No`] if the back end said so.
    pub ran: Ran,
}

/// Pool of connections to back ends; belongs to one thread.
#[derive(Debug, Clone)]
pub struct Client {
    http: ntex::client::Client,
    opts: Options,
}

impl Client {
    /// Builds a client; must run inside the runtime it will be used in.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the connector cannot be made.
    pub async fn new(opts: Options) -> Result<Self, ntex::client::error::ClientBuilderError> {
        let age = u16::try_from(opts.max_age.as_secs().max(1)).unwrap_or(u16::MAX);
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .keep_alive(CLIENT_IDLE)
            .lifetime(Seconds(age));
        Self::with(opts, connector).await
    }

    /// Builds a client for one call, on a connection of its own.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the connector cannot be made.
    pub async fn single_use(
        opts: Options,
        single_use: SingleUse,
    ) -> Result<Self, ntex::client::error::ClientBuilderError> {
        Self::with(
            opts,
            single_use::connector(single_use, opts.connect_timeout),
        )
        .await
    }

    async fn with(
        opts: Options,
        connector: Connector,
    ) -> Result<Self, ntex::client::error::ClientBuilderError> {
        let io = IoConfig::new().set_connect_timeout(millis(opts.connect_timeout));
        let http = ntex::client::Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .no_default_headers()
            // Times are kept here, on timers finer than the library's.
            .disable_timeout()
            .response_payload_limit(opts.max_body_bytes)
            .response_payload_timeout(Millis::ZERO)
            .build(SharedCfg::new("backend").add(io).build())
            .await?;
        Ok(Self { http, opts })
    }

    /// Sends a call and collects its answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let response = self.send(call).await?;
        let headers = response
            .headers()
            .iter()
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let (status, ran) = (response.status().as_u16(), ran(&response));
        let body = collect(response, self.opts.max_body_bytes);
        let body = timeout(self.opts.body_timeout, body).await;
        let body = body.unwrap_or(Err(CallError::Timeout))?;
        Ok(Answer {
            status,
            headers,
            body,
            ran,
        })
    }

    /// Sends a call and returns the answer's head with the body still to be read.
    pub(super) async fn send(&self, call: Call<'_>) -> Result<ClientResponse, CallError> {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Err(CallError::Invalid);
        };
        let url = format!("http://{}{}", call.addr, call.path);
        let mut request = self.http.request(method, url).address(call.addr);
        if self.opts.reuse == Reuse::Never {
            request = request.force_close();
        }
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let dispatched = Rc::new(Notify::new());
        let body = TrackedBody {
            body: call.body,
            dispatched: Rc::clone(&dispatched),
        };
        let send = request.send_body(Body::from_message(body));
        tokio::pin!(send);
        tokio::select! {
            biased;
            // Answered or failed at once; a failure before the hand-over is one to connect.
            result = send.as_mut() => match result {
                Ok(response) => return Ok(response),
                Err(_) if dispatched.notified().now_or_never().is_some() => return Err(CallError::Lost),
                Err(ClientError::Connect(_)) => return Err(CallError::Connect),
                Err(_) => return Err(CallError::Invalid),
            },
            () = dispatched.notified() => {}
            () = sleep(self.opts.connect_timeout) => return Err(CallError::Connect),
        }
        match timeout(self.opts.head_timeout, send).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_broken)) => Err(CallError::Lost),
            Err(_late) => Err(CallError::Timeout),
        }
    }

    /// Returns the options the client was built with.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.opts
    }
}

/// A body that notes when the library takes the request to a connection.
///
/// The library reports a connection lost before the answer with the same error as a connection
/// never made; taken at its word, a request that ran would be called "not run". It asks a body
/// for its size only once it holds a connection and before it writes the first byte, so that a
/// body never asked belongs to a request of which no byte was written.
struct TrackedBody {
    body: Bytes,
    dispatched: Rc<Notify>,
}

impl MessageBody for TrackedBody {
    fn size(&self) -> BodySize {
        self.dispatched.notify_one();
        if self.body.is_empty() {
            BodySize::Empty
        } else {
            BodySize::Sized(self.body.len() as u64)
        }
    }

    fn poll_next_chunk(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        let body = std::mem::take(&mut self.body);
        if body.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(ntex::util::Bytes::copy_from_slice(&body))))
    }
}

/// Returns what the answer's head says about the request.
fn ran(response: &ClientResponse) -> Ran {
    match response.header(RAN_HEADER) {
        Some(value) if value.as_bytes() == b"no" => Ran::No,
        _ if response.status().is_success() => Ran::Yes,
        _ => Ran::Unknown,
    }
}

/// Turns an answer that opens no stream into an error.
pub(super) async fn status_error(response: ClientResponse, time: Duration) -> CallError {
    let status = response.status().as_u16();
    let ran = ran(&response);
    let retry_after = response
        .header(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = timeout(time, collect(response, MAX_REFUSAL_BYTES)).await;
    CallError::Status {
        status,
        ran,
        retry_after,
        body: body.map_or(Bytes::new(), Result::unwrap_or_default),
    }
}

async fn collect(mut response: ClientResponse, limit: usize) -> Result<Bytes, CallError> {
    let mut body = BytesMut::new();
    while let Some(part) = ntex::util::stream_recv(&mut response).await {
        let part = part.map_err(|_broken| CallError::Lost)?;
        if body.len() + part.len() > limit {
            return Err(CallError::Unreadable);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

fn millis(time: Duration) -> Millis {
    Millis(u32::try_from(time.as_millis()).unwrap_or(u32::MAX))
}
