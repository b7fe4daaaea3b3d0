//! A watch: the stream of changes to keys.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ntex::http::Payload;
use tokio::time::{Instant, timeout_at};

use super::call::{CallKind, encode, malformed, post};
use super::wire::{WatchMessage, WatchRequest, parse_message};
use super::{Inner, MAX_RESPONSE_BYTES, Span, Store, StoreError};

/// A change to a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Box<str>,
    /// The new value; `None` if the key was deleted or its lease expired.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub mod_revision: i64,
}

/// Changes received in one message of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Revision up to which all changes have been received.
    pub revision: i64,
    /// Changes, oldest first; empty for a progress notification.
    pub changes: Vec<Change>,
}

/// An open watch; dropping it closes it.
pub struct Watch {
    inner: Rc<Inner>,
    payload: Payload,
    buffer: BytesMut,
    idle_timeout: Duration,
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
            .try_endpoints(CallKind::Watch, async |endpoint| {
                let response = post(&store.inner, endpoint, CallKind::Watch, body.clone()).await?;
                store.inner.count(|calls| calls.open_watches += 1);
                let mut watch = Self {
                    inner: Rc::clone(&store.inner),
                    payload: response.take_payload(),
                    buffer: BytesMut::new(),
                    idle_timeout: store.watch_timeout,
                    last_message: Instant::now(),
                };
                match watch.read().await? {
                    WatchMessage::Created => Ok(watch),
                    WatchMessage::Batch(_) => {
                        Err(malformed(&"watch sent changes before its creation"))
                    }
                }
            })
            .await
    }

    /// Waits for the next changes or progress notification.
    ///
    /// The call is cancel-safe. After an error the watch must not be used any more.
    ///
    /// # Errors
    ///
    /// [`StoreError::WatchTimeout`] if neither arrived in time, counted from the last message and
    /// not from this call; [`StoreError::Compacted`], [`StoreError::Ended`] and
    /// [`StoreError::Malformed`].
    pub async fn next(&mut self) -> Result<Batch, StoreError> {
        // If a middlebox drops the state of a connection, it stays open without any traffic and
        // changes are missed without an error; progress notifications reveal it.
        let timeout = self.idle_timeout;
        let deadline = self.last_message + timeout;
        let message = timeout_at(deadline, self.read())
            .await
            .unwrap_or(Err(StoreError::WatchTimeout { timeout }))?;
        match message {
            WatchMessage::Batch(batch) => Ok(batch),
            WatchMessage::Created => Err(malformed(&"watch created twice")),
        }
    }

    async fn read(&mut self) -> Result<WatchMessage, StoreError> {
        let mut scanned = 0;
        loop {
            if let Some(end) = self.buffer[scanned..]
                .iter()
                .position(|byte| *byte == b'\n')
            {
                let line = self.buffer.split_to(scanned + end + 1);
                self.last_message = Instant::now();
                return parse_message(&line);
            }
            scanned = self.buffer.len();
            if scanned > MAX_RESPONSE_BYTES {
                return Err(malformed(&"watch message exceeds the size limit"));
            }
            match self.payload.recv().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(err)) => {
                    return Err(StoreError::Ended {
                        reason: err.to_string().into(),
                    });
                }
                None => {
                    return Err(StoreError::Ended {
                        reason: "connection closed by the service".into(),
                    });
                }
            }
        }
    }
}
