//! Opening of connections, and the times for which the kernel keeps them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::bounded::{BoundedStream, UnusedBytes};
use super::pool::PoolError;

/// Time without a TCP acknowledgement after which the kernel closes a connection.
///
/// Without it, a request to a server behind a partition waits for its whole deadline. It also closes connections whose peer
/// acknowledges and reads nothing.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of TCP keep-alive probes on an idle connection.
///
/// A middlebox that drops its state of a connection leaves it open without any traffic; failed
/// probes close it within a few seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest body that the kernel of a peer takes although the peer reads nothing: half of the window of TCP without scaling.
const MAX_UNREAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 128;

/// For how long the kernel sends what a peer does not take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// [`UNACKED_TIMEOUT`].
    Bounded,
    /// Until the connection is closed, which discards the rest: a sound peer may read a large body late.
    Open,
}

impl Patience {
    /// Returns that of a call with a body of this size.
    pub fn of(body_bytes: usize) -> Self {
        if body_bytes > MAX_UNREAD_BYTES {
            Self::Open
        } else {
            Self::Bounded
        }
    }
}

/// Returns whether an error means that this process, or its machine, has no file descriptor left.
fn is_out_of_descriptors(err: &std::io::Error) -> bool {
    let errno = rustix::io::Errno::from_io_error(err);
    errno.is_some_and(|errno| matches!(errno, rustix::io::Errno::MFILE | rustix::io::Errno::NFILE))
}

/// Sender of requests, and the guard of their connection.
pub type OpenConnection = (SendRequest<Full<Bytes>>, ConnectionGuard);

/// Closes its connection when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    /// Whether a request was sent of whose answer nothing has arrived.
    unanswered: Rc<Cell<bool>>,
    unused: UnusedBytes,
    _open: oneshot::Sender<Infallible>,
}

impl ConnectionGuard {
    /// Records that a request is sent. Until its answer begins, closing the connection withdraws what the peer has not taken of it.
    pub fn request_sent(&self) {
        self.unanswered.set(true);
        self.unused.reset();
    }

    /// Records that the answer to the request has begun.
    pub fn answer_begun(&self) {
        self.unanswered.set(false);
        self.unused.reset();
    }

    /// Records that a part of the answer's body was received.
    pub fn part_received(&self) {
        self.unused.reset();
    }
}

/// Opens a connection; it is closed when the returned guard is dropped.
pub async fn connect(addr: SocketAddr, patience: Patience) -> Result<OpenConnection, PoolError> {
    let connect_error = |err: std::io::Error| {
        if is_out_of_descriptors(&err) {
            return PoolError::NoDescriptor;
        }
        PoolError::Connect {
            reason: err.to_string().into(),
        }
    };
    let stream = TcpStream::connect(addr).await.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket
        .set_tcp_keepalive(&keepalive)
        .map_err(connect_error)?;
    match patience {
        Patience::Bounded => socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
        Patience::Open => socket.set_linger(Some(Duration::ZERO)),
    }
    .map_err(connect_error)?;
    let unused = UnusedBytes::default();
    let stream = BoundedStream::new(stream, addr, unused.clone());
    let (sender, mut connection) = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| PoolError::Connect {
            reason: err.to_string().into(),
        })?;
    let (open, closed) = oneshot::channel();
    let unanswered = Rc::new(Cell::new(false));
    let guard = ConnectionGuard {
        unanswered: Rc::clone(&unanswered),
        unused,
        _open: open,
    };
    ntex::rt::spawn(async move {
        tokio::select! {
            // A request that is given up is not written any more.
            biased;
            _ = closed => {
                if unanswered.get() {
                    reset(addr, connection.into_parts().io.inner().get_ref());
                }
            }
            result = &mut connection => {
                if let Err(err) = result {
                    log::debug!("connection to {addr} ended: {err}");
                }
            }
        }
    });
    Ok((sender, guard))
}

/// Has the kernel discard what it has not delivered of a connection, once that is closed, and reset it.
///
/// Otherwise it goes on sending to a peer that reads late, until [`UNACKED_TIMEOUT`], and a request is delivered that nobody waits
/// for. A reset is not sent again if it is lost, unlike the regular end of a connection.
fn reset(addr: SocketAddr, stream: &TcpStream) {
    log::debug!("connection to {addr} is reset: its request was given up unanswered");
    if let Err(err) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("cannot discard what was sent to {addr}: {err}");
    }
}
