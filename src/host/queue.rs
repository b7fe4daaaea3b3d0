//! What waits for one caller: bounded, so that a slow caller does not fill the host.

use std::cell::Cell;
use std::rc::Rc;

use ntex::io::IoRef;
use tokio::sync::{Notify, mpsc};

/// Pieces that wait for a caller before nothing more is read from the engine.
const MOST: usize = 256;

#[derive(Debug)]
struct Shared {
    waiting: Cell<usize>,
    taken: Cell<u64>,
    room: Notify,
    io: Option<IoRef>,
}

/// The end that fills a queue.
#[derive(Debug)]
pub struct Queue<P> {
    tx: mpsc::UnboundedSender<P>,
    shared: Rc<Shared>,
}

/// The end that a request's handler empties.
#[derive(Debug)]
pub struct Parts<P> {
    rx: mpsc::UnboundedReceiver<P>,
    shared: Rc<Shared>,
    /// Tells whether a part is a piece of the answer, for which there must be room.
    counts: fn(&P) -> bool,
}

impl<P> Clone for Queue<P> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            shared: Rc::clone(&self.shared),
        }
    }
}

/// Creates the queue of a request that came in on this connection; `counts` tells which parts are
/// pieces of the answer.
pub fn queue<P>(io: Option<IoRef>, counts: fn(&P) -> bool) -> (Queue<P>, Parts<P>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        waiting: Cell::new(0),
        taken: Cell::new(0),
        room: Notify::new(),
        io,
    });
    let parts = Parts {
        rx,
        shared: Rc::clone(&shared),
        counts,
    };
    (Queue { tx, shared }, parts)
}

impl<P> Queue<P> {
    /// Puts a piece at the end.
    pub fn piece(&self, part: P) {
        self.shared.waiting.set(self.shared.waiting.get() + 1);
        self.end(part);
    }

    /// Puts the last part at the end.
    pub fn end(&self, part: P) {
        // A handler that is gone tells the core itself.
        drop(self.tx.send(part));
    }

    /// Returns whether nothing more should be read for this caller.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.shared.waiting.get() >= MOST
    }

    /// Returns how many pieces the caller has taken.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.shared.taken.get()
    }

    /// Waits until the caller takes a piece.
    pub async fn room(&self) {
        self.shared.room.notified().await;
    }

    /// Closes the caller's connection at once.
    pub fn close(&self) {
        if let Some(io) = &self.shared.io {
            io.terminate();
        }
    }
}

impl<P> Parts<P> {
    /// Takes the next part.
    pub fn poll(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<P>> {
        let part = self.rx.poll_recv(cx);
        if let std::task::Poll::Ready(Some(part)) = &part
            && (self.counts)(part)
        {
            let shared = &self.shared;
            shared.waiting.set(shared.waiting.get() - 1);
            shared.taken.set(shared.taken.get() + 1);
            shared.room.notify_one();
        }
        part
    }
}

impl<P> Drop for Parts<P> {
    fn drop(&mut self) {
        // Nobody takes what is left; whoever waits for room must not wait for ever.
        self.shared.waiting.set(0);
        self.shared.room.notify_one();
    }
}
