//! What waits for one caller: bounded, so that a slow caller does not fill the host.

use std::cell::Cell;
use std::rc::Rc;

use ntex::io::IoRef;
use tokio::sync::{Notify, mpsc};

/// Pieces that wait for a caller before nothing more is read from the engine.
const MAX_QUEUED_CHUNKS: usize = 256;

#[derive(Debug)]
struct Shared {
    queued: Cell<usize>,
    consumed: Cell<u64>,
    space_freed: Notify,
    io: Option<IoRef>,
}

/// The end that fills a queue.
#[derive(Debug)]
pub struct QueueSender<P> {
    tx: mpsc::UnboundedSender<P>,
    shared: Rc<Shared>,
}

/// The end that a request's handler empties.
#[derive(Debug)]
pub struct QueueReceiver<P> {
    rx: mpsc::UnboundedReceiver<P>,
    shared: Rc<Shared>,
    /// Tells whether a part is a piece of the answer, for which there must be room.
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

/// Creates the queue of a request that came in on this connection; `counts` tells which parts are
/// pieces of the answer.
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
    let parts = QueueReceiver {
        rx,
        shared: Rc::clone(&shared),
        is_content,
    };
    (QueueSender { tx, shared }, parts)
}

impl<P> QueueSender<P> {
    /// Puts a piece at the end.
    pub fn push_content(&self, part: P) {
        self.shared.queued.set(self.shared.queued.get() + 1);
        self.push_control(part);
    }

    /// Puts the last part at the end.
    pub fn push_control(&self, part: P) {
        // A handler that is gone tells the core itself.
        drop(self.tx.send(part));
    }

    /// Returns whether nothing more should be read for this caller.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.shared.queued.get() >= MAX_QUEUED_CHUNKS
    }

    /// Returns how many pieces the caller has taken.
    #[must_use]
    pub fn consumed(&self) -> u64 {
        self.shared.consumed.get()
    }

    /// Waits until the caller takes a piece.
    pub async fn wait_for_space(&self) {
        self.shared.space_freed.notified().await;
    }

    /// Closes the caller's connection at once.
    pub fn close_connection(&self) {
        if let Some(io) = &self.shared.io {
            io.terminate();
        }
    }
}

impl<P> QueueReceiver<P> {
    /// Takes the next part.
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
        // Nobody takes what is left; whoever waits for room must not wait for ever.
        self.shared.queued.set(0);
        self.shared.space_freed.notify_one();
    }
}
