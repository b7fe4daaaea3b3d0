//! HTTP client with explicit limits, which classifies failures by whether the request ran.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use ntex::client::error::ClientError;
use ntex::client::{ClientResponse, Connector};
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::header::{CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode, Version};
use ntex::io::IoConfig;
use ntex::service::cfg::SharedCfg;
use ntex::time::{Millis, Seconds};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::identity::{ATTEMPT_HEADER, Carrier, NamingServers};
use super::single_use::{self, SingleUse};
use crate::error::Ran;
use crate::web::CLIENT_IDLE_TIMEOUT;

/// Header by which a backend server states that it did not run a request.
pub(super) const RAN_HEADER: &str = "x-ran";
/// Maximum number of connections in total.
///
/// With the library's default of 0 (no limit), a caller that waits while a connection to the same
/// backend server is being opened is never woken.
const MAX_CONNECTIONS: usize = 65_536;
/// Maximum size kept of the body of a non-200 response to a streamed call.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Time limit for the body of a refusal, which takes effect at its head; it usually arrives with that.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeouts and limits of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time to obtain a connection, pooled or new.
    pub connect_timeout: Duration,
    /// Time from the request's first byte to the response head.
    pub head_timeout: Duration,
    /// Time from the response head to the end of a collected body.
    pub body_timeout: Duration,
    /// Age at which a connection is no longer reused; whole seconds, at least 1.
    pub max_age: Duration,
    /// Maximum size of a collected body.
    pub max_body_bytes: usize,
    /// Whether connections are reused.
    pub reuse: Reuse,
}

/// Whether connections are reused for further calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Connections are reused until they exceed their maximum age or idle time.
    Pooled,
    /// Each call opens a connection and closes it.
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

/// Why a call has no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The address, path or a header is not valid HTTP.
    #[snafu(display("the request cannot be written as HTTP"))]
    Invalid,
    /// Connecting failed; no byte of the request was written to a socket.
    #[snafu(display("no connection was made"))]
    Connect,
    /// The connection broke after the request was handed to it, before the response was complete.
    #[snafu(display("the connection broke before the answer was whole"))]
    Lost,
    /// No complete response arrived in time.
    #[snafu(display("no answer came in time"))]
    Timeout,
    /// The response belongs to another call.
    #[snafu(display("the answer is not for this request"))]
    Foreign,
    /// The response exceeds the size limit, violates the protocol, or has no mark of its end that the HTTP library
    /// can read.
    #[snafu(display("the answer cannot be read"))]
    Unreadable,
    /// The backend server answered with a status other than 200.
    #[snafu(display("the back end answered {status}"))]
    Status {
        /// HTTP status.
        status: u16,
        /// [`Ran::No`] if the backend server stated so.
        ran: Ran,
        /// Delay from the `Retry-After` header.
        retry_after: Option<Duration>,
        /// Response body; empty if it exceeds 64 KiB or cannot be read.
        body: Bytes,
    },
}

impl CallError {
    /// Returns whether the request ran, as far as the client can determine.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Invalid | Self::Connect => Ran::No,
            Self::Lost | Self::Timeout | Self::Foreign => Ran::Unknown,
            Self::Unreadable => Ran::Yes,
            Self::Status { ran, .. } => *ran,
        }
    }

    /// Returns the HTTP status, if there was a response.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// An HTTP request to a backend server.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Path with query, beginning with a slash.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Request body; may be empty.
    pub body: Bytes,
}

impl Call<'_> {
    /// Returns the id that responses to it name, if it has one.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(name, _)| *name == ATTEMPT_HEADER)
            .map(|(_, id)| *id)
    }
}

/// A complete response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; redirects are not followed.
    pub status: u16,
    /// Lower-case names and their values, in the order of arrival.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Response body.
    pub body: Bytes,
    /// [`Ran::No`] if the backend server stated so.
    pub ran: Ran,
}

/// HTTP client with a pool of connections to backend servers; belongs to one thread.
#[derive(Debug, Clone)]
pub struct Client {
    /// Reuses connections, unless the options rule it out.
    pooled: ntex::client::Client,
    /// Opens a connection for each call.
    fresh: ntex::client::Client,
    naming: NamingServers,
    opts: Options,
}

impl Client {
    /// Builds a client; must run inside the runtime in which it will be used.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the connector cannot be built.
    pub async fn new(opts: Options) -> Result<Self, ntex::client::error::ClientBuilderError> {
        let age = u16::try_from(opts.max_age.as_secs().max(1)).unwrap_or(u16::MAX);
        let connector = || {
            single_use::withdrawing_connector(opts.connect_timeout)
                .limit(MAX_CONNECTIONS)
                .keep_alive(CLIENT_IDLE_TIMEOUT)
                .lifetime(Seconds(age))
        };
        Ok(Self {
            pooled: http(&opts, connector()).await?,
            fresh: http(&opts, connector()).await?,
            naming: NamingServers::default(),
            opts,
        })
    }

    /// Builds a client for one call on a new connection.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the connector cannot be built.
    pub async fn single_use(
        opts: Options,
        single_use: SingleUse,
    ) -> Result<Self, ntex::client::error::ClientBuilderError> {
        let connector = single_use::connector(single_use, opts.connect_timeout);
        let http = http(&opts, connector).await?;
        Ok(Self {
            pooled: http.clone(),
            fresh: http,
            naming: NamingServers::default(),
            opts,
        })
    }

    /// Sends a call and collects its response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let is_head = call.method == "HEAD";
        let response = self.send(call).await?;
        let headers = response
            .headers()
            .iter()
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let (status, ran) = (response.status().as_u16(), ran(&response));
        let body = if is_head || !may_have_body(response.status()) {
            Bytes::new()
        } else if ran == Ran::No {
            collect_refusal(response, self.opts.body_timeout.min(REFUSAL_BODY_TIMEOUT)).await
        } else {
            let body = collect(response, self.opts.max_body_bytes);
            let body = timeout(self.opts.body_timeout, body).await;
            body.unwrap_or(Err(CallError::Timeout))?
        };
        Ok(Answer {
            status,
            headers,
            body,
            ran,
        })
    }

    /// Sends a call and returns the response head with the body still to be read.
    pub(super) async fn send(&self, call: Call<'_>) -> Result<ClientResponse, CallError> {
        let (addr, id) = (call.addr, call.id().map(Box::<str>::from));
        let carrier = match self.opts.reuse {
            Reuse::Pooled => self.naming.carrier(&call),
            Reuse::Never => Carrier::New,
        };
        let result = self.send_on(call, carrier).await;
        if matches!(result, Err(CallError::Connect)) {
            self.naming.forget(addr);
        }
        let response = result?;
        if self.naming.is_own(addr, id.as_deref(), carrier, &response) {
            Ok(response)
        } else {
            Err(CallError::Foreign)
        }
    }

    async fn send_on(&self, call: Call<'_>, carrier: Carrier) -> Result<ClientResponse, CallError> {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Err(CallError::Invalid);
        };
        let url = format!("http://{}{}", call.addr, call.path);
        let mut request = match carrier {
            Carrier::Kept => self.pooled.request(method, url),
            Carrier::New => self.fresh.request(method, url).force_close(),
        }
        .address(call.addr);
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
            // Completed at once; a failure before the request was dispatched is one to connect.
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
            Err(_elapsed) => Err(CallError::Timeout),
        }
    }

    /// Returns the options with which the client was built.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.opts
    }
}

/// Builds the library's client.
async fn http(
    opts: &Options,
    connector: Connector,
) -> Result<ntex::client::Client, ntex::client::error::ClientBuilderError> {
    let io = IoConfig::new().set_connect_timeout(millis(opts.connect_timeout));
    ntex::client::Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        // Timeouts are enforced in `send` and `call`, on timers finer than the library's.
        .disable_timeout()
        .response_payload_limit(opts.max_body_bytes)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("backend").add(io).build())
        .await
}

/// A body that records when the library assigns the request to a connection.
///
/// The library reports a connection lost before the response with the same error as a failed
/// connection attempt; relying on that error, a request that ran would be reported as not run.
/// The library queries a body's size once it has a connection and before it writes the first byte.
/// If the size was never queried, no byte of the request was written.
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

/// Returns what the response head states about whether the request ran.
fn ran(response: &ClientResponse) -> Ran {
    match response.header(RAN_HEADER) {
        Some(value) if value.as_bytes() == b"no" => Ran::No,
        _ if response.status().is_success() => Ran::Yes,
        _ => Ran::Unknown,
    }
}

/// Converts a response whose status is not 200 into an error; `time_limit` bounds reading its body.
pub(super) async fn status_error(response: ClientResponse, time_limit: Duration) -> CallError {
    let status = response.status().as_u16();
    let ran = ran(&response);
    let retry_after = response
        .header(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let time_limit = match ran {
        Ran::No => time_limit.min(REFUSAL_BODY_TIMEOUT),
        Ran::Yes | Ran::Unknown => time_limit,
    };
    CallError::Status {
        status,
        ran,
        retry_after,
        body: collect_refusal(response, time_limit).await,
    }
}

/// Collects a body that matters less than its head; empty if it is late, long or cannot be read.
async fn collect_refusal(response: ClientResponse, time_limit: Duration) -> Bytes {
    let body = timeout(time_limit, collect(response, MAX_REFUSAL_BYTES)).await;
    body.map_or(Bytes::new(), Result::unwrap_or_default)
}

async fn collect(mut response: ClientResponse, max_bytes: usize) -> Result<Bytes, CallError> {
    if is_unmarked(&response) {
        return Err(CallError::Unreadable);
    }
    let length = content_length(&response);
    let mut body = BytesMut::new();
    while let Some(chunk) = ntex::util::stream_recv(&mut response).await {
        let chunk = chunk.map_err(|_broken| CallError::Lost)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(CallError::Unreadable);
        }
        body.extend_from_slice(&chunk);
    }
    // The library takes the end of a connection of HTTP/1.0 for the end of the body, whatever its length.
    if length.is_some_and(|length| length != body.len()) {
        return Err(CallError::Lost);
    }
    Ok(body.freeze())
}

fn may_have_body(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn content_length(response: &ClientResponse) -> Option<usize> {
    let value = response.header(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns whether nothing marks the end of the body but the end of the connection. The library reads such a
/// body of HTTP/1.1 as empty.
fn is_unmarked(response: &ClientResponse) -> bool {
    response.version() == Version::HTTP_11
        && response.header(CONTENT_LENGTH).is_none()
        && response.header(TRANSFER_ENCODING).is_none()
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
