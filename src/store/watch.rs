//! A watch: changes of keys as the service tells them.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ntex::http::Payload;
use tokio::time::{Instant, timeout_at};

use super::call::{CallKind, encode, malformed, post};
use super::wire::{WatchMessage, WatchRequest, parse_message};
use super::{Inner, MAX_ANSWER_BYTES, Span, Store, StoreError};

/// One change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Box<str>,
    /// Its new value; `None` when it was deleted or its lease ended.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub mod_revision: i64,
}

/// What a watch tells at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Revision up to which the watch has told everything.
    pub revision: i64,
    /// The changes, oldest first; none for a progress notification.
    pub changes: Vec<Change>,
}

/// An open watch; dropping it closes it.
pub struct Watch {
    inner: Rc<Inner>,
    payload: Payload,
    buffer: BytesMut,
    watch_timeout: Duration,
    last_message: Instant,
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Watch").finish_non_exhaustive()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.inner.count(|calls| calls.open_watches -= 1);
    }
}

impl Watch {
    pub(super) async fn open(store: &Store, span: &Span, from: i64) -> Result<Self, StoreError> {
        let body = encode(&WatchRequest::new(span, from))?;
        store
            .try_endpoints(CallKind::Watch, async |at| {
                let answer = post(&store.inner, at, CallKind::Watch, body.clone()).await?;
                store.inner.count(|calls| calls.open_watches += 1);
                let mut watch = Self {
                    inner: Rc::clone(&store.inner),
                    payload: answer.take_payload(),
                    buffer: BytesMut::new(),
                    watch_timeout: store.watch_timeout,
                    last_message: Instant::now(),
                };
                match watch.read().await? {
                    WatchMessage::Created => Ok(watch),
                    WatchMessage::Batch(_) => Err(malformed(&"a watch told before it was created")),
                }
            })
            .await
    }

    /// Waits for the next changes or progress notification.
    ///
    /// Dropping the future before it is done loses nothing. After an error the watch is over.
    ///
    /// # Errors
    ///
    /// [`StoreError::Silent`] when neither came in time, counted from the last message and not
    /// from this call; [`StoreError::Compacted`], [`StoreError::Ended`] and
    /// [`StoreError::Malformed`].
    pub async fn next(&mut self) -> Result<Batch, StoreError> {
        // A connection that some box on the way has forgotten stays open and says nothing, so
        // changes are missed without any error; progress notifications tell it from a quiet one.
        let timeout = self.watch_timeout;
        let deadline = self.last_message + timeout;
        let told = timeout_at(deadline, self.read())
            .await
            .unwrap_or(Err(StoreError::WatchTimeout { timeout }))?;
        match told {
            WatchMessage::Batch(batch) => Ok(batch),
            WatchMessage::Created => Err(malformed(&"a watch created twice")),
        }
    }

    async fn read(&mut self) -> Result<WatchMessage, StoreError> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.buffer[seen..].iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(seen + end + 1);
                self.last_message = Instant::now();
                return parse_message(&line);
            }
            seen = self.buffer.len();
            if seen > MAX_ANSWER_BYTES {
                return Err(malformed(&"a message without end"));
            }
            match self.payload.recv().await {
                Some(Ok(part)) => self.buffer.extend_from_slice(&part),
                Some(Err(err)) => {
                    return Err(StoreError::Ended {
                        reason: err.to_string().into(),
                    });
                }
                None => {
                    return Err(StoreError::Ended {
                        reason: "closed by the other side".into(),
                    });
                }
            }
        }
    }
}
