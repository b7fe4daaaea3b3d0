//! Bounded queue of the answer to one caller: a slow caller must not exhaust the host's memory.

use std::cell::Cell;
use std::rc::Rc;

use ntex::io::IoRef;
use tokio::sync::{Notify, mpsc};

/// Queued chunks at which the host stops reading from the engine.
const MAX_QUEUED_CHUNKS: usize = 256;

#[derive(Debug)]
struct Shared {
    queued: Cell<usize>,
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
    /// Whether a message is content of the answer, which counts towards the bound.
    is_content: fn(&P) -> bool,
}

impl<P> Clone for QueueSender<P> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            shared: Rc::clone(&self.shared),
        }
    }
}

/// Creates the queue of a request received on connection `io`; `is_content` returns whether a
/// message is content of the answer.
pub fn channel<P>(
    io: Option<IoRef>,
    is_content: fn(&P) -> bool,
) -> (QueueSender<P>, QueueReceiver<P>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        queued: Cell::new(0),
        consumed: Cell::new(0),
        space_freed: Notify::new(),
        io,
    });
    let receiver = QueueReceiver {
        rx,
        shared: Rc::clone(&shared),
        is_content,
    };
    (QueueSender { tx, shared }, receiver)
}

impl<P> QueueSender<P> {
    /// Appends content of the answer, which counts towards the bound.
    pub fn push_content(&self, part: P) {
        self.shared.queued.set(self.shared.queued.get() + 1);
        self.push_control(part);
    }

    /// Appends a message that does not count towards the bound, such as the last one.
    pub fn push_control(&self, part: P) {
        // If the handler is gone, it has reported that to the core itself.
        drop(self.tx.send(part));
    }

    /// Returns whether the host should stop reading for this caller.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.shared.queued.get() >= MAX_QUEUED_CHUNKS
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
}

impl<P> QueueReceiver<P> {
    /// Receives the next message.
    pub fn poll(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<P>> {
        let part = self.rx.poll_recv(cx);
        if let std::task::Poll::Ready(Some(part)) = &part
            && (self.is_content)(part)
        {
            let shared = &self.shared;
            shared.queued.set(shared.queued.get() - 1);
            shared.consumed.set(shared.consumed.get() + 1);
            shared.space_freed.notify_one();
        }
        part
    }
}

impl<P> Drop for QueueReceiver<P> {
    fn drop(&mut self) {
        // The remaining messages are never received; a sender that waits for space must not hang.
        self.shared.queued.set(0);
        self.shared.space_freed.notify_one();
    }
}
