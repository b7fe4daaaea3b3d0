//! A watch: changes of keys as the service tells them.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ntex::http::Payload;
use tokio::time::{Instant, timeout_at};

use super::link::{Sort, encode, malformed, post};
use super::wire::{Told, WatchCall, told};
use super::{Inner, MAX_ANSWER, Span, Store, StoreError};

/// One change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Box<str>,
    /// Its new value; `None` when it was deleted or its lease ended.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub modified: i64,
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
    silence: Duration,
    heard: Instant,
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Watch").finish_non_exhaustive()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.inner.count(|calls| calls.waiting -= 1);
    }
}

impl Watch {
    pub(super) async fn open(store: &Store, span: &Span, from: i64) -> Result<Self, StoreError> {
        let body = encode(&WatchCall::new(span, from))?;
        store
            .turn(Sort::Watch, async |at| {
                let answer = post(&store.inner, at, Sort::Watch, body.clone()).await?;
                store.inner.count(|calls| calls.waiting += 1);
                let mut watch = Self {
                    inner: Rc::clone(&store.inner),
                    payload: answer.take_payload(),
                    buffer: BytesMut::new(),
                    silence: store.silence,
                    heard: Instant::now(),
                };
                match watch.read().await? {
                    Told::Created => Ok(watch),
                    Told::Batch(_) => Err(malformed(&"a watch told before it was created")),
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
        let bound = self.silence;
        let deadline = self.heard + bound;
        let told = timeout_at(deadline, self.read())
            .await
            .unwrap_or(Err(StoreError::Silent { bound }))?;
        match told {
            Told::Batch(batch) => Ok(batch),
            Told::Created => Err(malformed(&"a watch created twice")),
        }
    }

    async fn read(&mut self) -> Result<Told, StoreError> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.buffer[seen..].iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(seen + end + 1);
                self.heard = Instant::now();
                return told(&line);
            }
            seen = self.buffer.len();
            if seen > MAX_ANSWER {
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
