//! Stream of a connection that bounds what is read from it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// Largest number of bytes of one read, and after which the other tasks of the thread run.
///
/// The HTTP library goes on for as long as bytes arrive that are neither a final head nor a part of a body.
const MAX_READ_BYTES: u64 = 64 * 1024;
/// Largest number of bytes without a final head or a part of a body: the largest head that the HTTP library reads, of 408 KiB,
/// with informational responses before it and the start of a body after it.
const MAX_UNUSED_BYTES: u64 = 512 * 1024;

/// Number of bytes that arrived since the last request, final head or part of a body; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct UnusedBytes(Rc<Cell<u64>>);

impl UnusedBytes {
    /// Records that a request was sent, or that a final head or a part of a body was received.
    pub fn reset(&self) {
        self.0.set(0);
    }

    /// Adds bytes that were read, and returns their sum.
    fn add(&self, bytes: u64) -> u64 {
        self.0.set(self.0.get() + bytes);
        self.0.get()
    }
}

/// A stream that yields to other tasks while bytes arrive without a pause, and fails once too many of them are of no use.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: Take<TcpStream>,
    addr: SocketAddr,
    unused: UnusedBytes,
    /// Bytes read since it last yielded.
    unyielded: u64,
}

impl BoundedStream {
    /// Wraps a stream to an address.
    pub fn new(stream: TcpStream, addr: SocketAddr, unused: UnusedBytes) -> Self {
        Self {
            stream: stream.take(MAX_READ_BYTES),
            addr,
            unused,
            unyielded: 0,
        }
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    fn writer(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.unyielded >= MAX_READ_BYTES {
            this.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        this.stream.set_limit(MAX_READ_BYTES);
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let read = MAX_READ_BYTES - this.stream.limit();
        this.unyielded += read;
        let unused = this.unused.add(read);
        if unused <= MAX_UNUSED_BYTES {
            return Poll::Ready(Ok(()));
        }
        let reason = format!(
            "{unused} bytes arrived without a final head or a part of a body, of {MAX_UNUSED_BYTES} allowed"
        );
        log::warn!("connection to {} is closed: {reason}", this.addr);
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(cx)
    }
}
