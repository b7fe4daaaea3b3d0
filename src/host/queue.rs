//! Bounded queue of the answer to one caller: slow callers must not exhaust the host's memory.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::io::IoRef;
use ntex::util::BytePages;
use tokio::sync::{Mutex, MutexGuard, Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep};

/// Queued chunks at which the host stops reading from the engine.
const MAX_QUEUED_CHUNKS: usize = 256;
/// Queued bytes at which it does so: chunks may be far larger than the usual hundred bytes.
pub const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Time between two checks of whether the caller has closed its connection, while it waits for content.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two checks of whether what was handed to the HTTP library has been written.
const WRITTEN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a caller may read what precedes the end of an aborted answer.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of bytes that the host holds for all callers, and its bound.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes {
    shared: Rc<HeldCells>,
}

#[derive(Debug, Default)]
struct HeldCells {
    held: Cell<usize>,
    /// Bound from which on callers that do not keep up get no further bytes; `None` for none.
    max: Cell<Option<usize>>,
    /// Wakes readers that wait for room.
    relieved: Notify,
    /// The turn of the one reader that goes on while there is no room.
    turn: Mutex<()>,
}

impl HeldBytes {
    /// Returns the bytes held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.shared.held.get()
    }

    /// Sets the bound.
    pub fn set_max(&self, max: Option<usize>) {
        self.shared.max.set(max);
    }

    /// Returns the size of a body up to which it may fit beside the unread answers; a larger one never does.
    #[must_use]
    pub fn max_body(&self) -> usize {
        self.shared.max.get().unwrap_or(usize::MAX)
    }

    /// Returns whether the bound is reached.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.shared.max.get().is_some_and(|max| self.held() >= max)
    }

    /// Waits until the bound is not reached or it is this reader's turn to go on nevertheless, for as long as it keeps the guard.
    ///
    /// Without turns, readers that together reach the bound would all wait for each other.
    pub async fn wait_for_room(&self) -> Option<MutexGuard<'_, ()>> {
        loop {
            let relieved = self.shared.relieved.notified();
            if !self.is_full() {
                return None;
            }
            tokio::select! {
                turn = self.shared.turn.lock() => return Some(turn),
                () = relieved => {}
            }
        }
    }

    /// Counts bytes until the guard is dropped.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> HeldGuard {
        let mut guard = HeldGuard {
            total: self.clone(),
            bytes: 0,
        };
        guard.grow_to(bytes);
        guard
    }

    fn add(&self, bytes: usize) {
        self.shared.held.set(self.held() + bytes);
    }

    fn subtract(&self, bytes: usize) {
        self.shared.held.set(self.held().saturating_sub(bytes));
        if !self.is_full() {
            self.shared.relieved.notify_waiters();
        }
    }
}

/// Bytes that are counted as held until it is dropped.
#[derive(Debug)]
pub struct HeldGuard {
    total: HeldBytes,
    bytes: usize,
}

impl HeldGuard {
    /// Counts as many bytes in all, if these are more than before.
    pub fn grow_to(&mut self, bytes: usize) {
        self.total.add(bytes.saturating_sub(self.bytes));
        self.bytes = self.bytes.max(bytes);
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.total.subtract(self.bytes);
    }
}

#[derive(Debug)]
struct Shared {
    queued: Cell<usize>,
    queued_bytes: Cell<usize>,
    total: HeldBytes,
    consumed: Cell<u64>,
    space_freed: Notify,
    io: Option<IoRef>,
}

/// Sending end of a queue.
#[derive(Debug)]
pub struct QueueSender<P> {
    tx: mpsc::UnboundedSender<P>,
    shared: Rc<Shared>,
}

/// Receiving end of a queue, read by the request's handler.
#[derive(Debug)]
pub struct QueueReceiver<P> {
    rx: mpsc::UnboundedReceiver<P>,
    shared: Rc<Shared>,
    /// Returns the size of a message that is content of the answer, which counts towards the bound.
    content_len: fn(&P) -> Option<usize>,
    /// Timer of the next check of the caller's connection.
    close_check: Pin<Box<Sleep>>,
}

impl<P> Clone for QueueSender<P> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            shared: Rc::clone(&self.shared),
        }
    }
}

/// Creates the queue of a request received on connection `io`; `content_len` returns the size of a
/// message that is content of the answer, and `total` counts these bytes.
pub fn channel<P>(
    io: Option<IoRef>,
    total: HeldBytes,
    content_len: fn(&P) -> Option<usize>,
) -> (QueueSender<P>, QueueReceiver<P>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        queued: Cell::new(0),
        queued_bytes: Cell::new(0),
        total,
        consumed: Cell::new(0),
        space_freed: Notify::new(),
        io,
    });
    let receiver = QueueReceiver {
        rx,
        shared: Rc::clone(&shared),
        content_len,
        close_check: Box::pin(sleep(CLOSE_CHECK_INTERVAL)),
    };
    (QueueSender { tx, shared }, receiver)
}

impl<P> QueueSender<P> {
    /// Appends content of the answer of so many bytes, which counts towards the bound.
    pub fn push_content(&self, part: P, bytes: usize) {
        let shared = &self.shared;
        shared.queued.set(shared.queued.get() + 1);
        shared.queued_bytes.set(shared.queued_bytes.get() + bytes);
        shared.total.add(bytes);
        self.push_control(part);
    }

    /// Appends a message that does not count towards the bound, such as the last one.
    pub fn push_control(&self, part: P) {
        // If the handler is gone, it has reported that to the core itself.
        drop(self.tx.send(part));
    }

    /// Returns whether the host should stop reading for this caller.
    ///
    /// Once all callers together reach the host's bound, that is so for each caller that has anything left to read.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let shared = &self.shared;
        shared.queued.get() >= MAX_QUEUED_CHUNKS
            || shared.queued_bytes.get() >= MAX_QUEUED_BYTES
            || shared.queued.get() > 0 && shared.total.is_full()
    }

    /// Returns the number of content messages that the handler has received.
    #[must_use]
    pub fn consumed(&self) -> u64 {
        self.shared.consumed.get()
    }

    /// Waits until the handler receives content or is dropped.
    pub async fn wait_for_space(&self) {
        self.shared.space_freed.notified().await;
    }

    /// Closes the caller's connection immediately.
    pub fn close_connection(&self) {
        if let Some(io) = &self.shared.io {
            io.terminate();
        }
    }

    /// Closes the caller's connection if the handler has not passed on the queued messages in time.
    pub fn close_connection_in_time(&self) {
        let shared = Rc::downgrade(&self.shared);
        ntex::rt::spawn(async move {
            sleep(ABORT_TIMEOUT).await;
            let shared = shared.upgrade();
            if let Some(io) = shared.as_ref().and_then(|shared| shared.io.as_ref()) {
                io.terminate();
            }
        });
    }
}

impl<P> QueueReceiver<P> {
    /// Receives the next message.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<P>> {
        let part = self.rx.poll_recv(cx);
        if let Poll::Ready(Some(part)) = &part
            && let Some(bytes) = (self.content_len)(part)
        {
            let shared = &self.shared;
            shared.queued.set(shared.queued.get() - 1);
            shared.queued_bytes.set(shared.queued_bytes.get() - bytes);
            shared.total.subtract(bytes);
            shared.consumed.set(shared.consumed.get() + 1);
            shared.space_freed.notify_one();
        }
        part
    }

    /// Closes the caller's connection once what was handed to the HTTP library has been written.
    pub fn poll_close_written(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let io = self.shared.io.clone();
        let Some(io) = io.filter(|io| !io.is_closed()) else {
            return Poll::Ready(());
        };
        let is_empty = |pages: &mut BytePages| pages.is_empty();
        while !(io.with_write_buf(is_empty).unwrap_or(true) && io.with_write_dst_buf(is_empty)) {
            let next = Instant::now() + WRITTEN_CHECK_INTERVAL;
            self.close_check.as_mut().reset(next);
            std::task::ready!(self.close_check.as_mut().poll(cx));
        }
        io.terminate();
        Poll::Ready(())
    }

    /// Becomes ready once the caller has closed its connection.
    ///
    /// The HTTP library does not wake the task of a streamed answer for that if bytes of the next request arrived meanwhile.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let io = self.shared.io.as_ref();
        while !io.is_some_and(IoRef::is_closed) {
            std::task::ready!(self.close_check.as_mut().poll(cx));
            let next = Instant::now() + CLOSE_CHECK_INTERVAL;
            self.close_check.as_mut().reset(next);
        }
        Poll::Ready(())
    }
}

impl<P> Drop for QueueReceiver<P> {
    fn drop(&mut self) {
        // The remaining messages are never received; a sender that waits for space must not hang.
        let shared = &self.shared;
        shared.total.subtract(shared.queued_bytes.replace(0));
        shared.queued.set(0);
        self.shared.space_freed.notify_one();
    }
}
