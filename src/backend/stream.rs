//! A streamed answer of an engine, chunk by chunk.

use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use ntex::client::ClientResponse;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use super::client::{Call, CallError, Client, status_error};
use super::sse::{Event, Parser, SseError};

/// Header that names the attempt.
pub(super) const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that names the offset to resume from.
const RESUME_HEADER: &str = "last-event-id";
/// Header that names the priority; it outranks the field of the same name in the body.
const PRIORITY_HEADER: &str = "x-priority";
/// Time a back end has to end the body after the event that ends the stream.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Why a stream cannot be read on.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection broke.
    #[snafu(display("the connection broke"))]
    Lost,
    /// The answer ended without the event that ends a stream.
    #[snafu(display("the stream ended early"))]
    Truncated,
    /// The stream is not made of events.
    #[snafu(display("the stream cannot be read: {source}"))]
    Malformed {
        /// What is wrong with it.
        source: SseError,
    },
    /// The data of an event is not a chunk of an answer.
    #[snafu(display("an event of the stream is no chunk"))]
    InvalidChunk,
}

/// One chunk of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Offset of the token that follows this chunk.
    pub offset: u64,
    /// The event's data: the chunk as JSON.
    pub data: Bytes,
    /// Whether the chunk carries the finish reason.
    pub is_last: bool,
}

/// A streamed answer; dropping it closes its connection, which cancels the attempt.
pub struct Stream {
    /// `None` after the event that ends the stream.
    response: Option<ClientResponse>,
    parser: Parser,
    attempt: Box<str>,
    foreign_chunks: u64,
}

/// The fields of a chunk that this side reads.
#[derive(Deserialize)]
struct ChunkHead<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

/// Opens a streamed answer.
///
/// `resume` is the offset of the next token wanted of an attempt that is already running or
/// finished on this engine; without it the engine starts the attempt.
///
/// # Errors
///
/// Returns why no stream was opened, and with it whether the request ran.
pub async fn open(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: Bytes,
    attempt: &str,
    resume: Option<u64>,
    priority: i64,
) -> Result<Stream, CallError> {
    let priority = priority.to_string();
    let resume = resume.map(|offset| offset.to_string());
    let mut headers = vec![
        ("content-type", "application/json"),
        ("accept", "text/event-stream"),
        (ATTEMPT_HEADER, attempt),
        (PRIORITY_HEADER, &priority),
    ];
    if let Some(offset) = &resume {
        headers.push((RESUME_HEADER, offset));
    }
    let call = Call {
        method: "POST",
        addr,
        path,
        headers: &headers,
        body,
    };
    let response = client.send(call).await?;
    if response.status() != ntex::http::StatusCode::OK {
        return Err(status_error(response, client.options().body_timeout).await);
    }
    Ok(Stream {
        response: Some(response),
        parser: Parser::new(),
        attempt: attempt.into(),
        foreign_chunks: 0,
    })
}

impl Stream {
    /// Returns the next chunk in order of arrival, or `None` after the event that ends the stream.
    ///
    /// Chunks of other attempts are left out and counted; repeated and reordered chunks are
    /// given as they came. A call that is dropped before it returns loses nothing.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be read on; it must be dropped then.
    pub async fn next(&mut self) -> Result<Option<Chunk>, ReadError> {
        loop {
            while let Some(event) = self.parser.pop() {
                if event.data == DONE {
                    self.finish();
                    return Ok(None);
                }
                if let Some(chunk) = self.decode_chunk(event)? {
                    return Ok(Some(chunk));
                }
            }
            let Some(response) = &mut self.response else {
                return Ok(None);
            };
            match ntex::util::stream_recv(response).await {
                Some(Ok(part)) => self.parser.push(&part).context(MalformedSnafu)?,
                Some(Err(_broken)) => return Err(ReadError::Lost),
                None => return Err(ReadError::Truncated),
            }
        }
    }

    /// Returns the number of chunks of other attempts that were left out.
    #[must_use]
    pub fn foreign_chunks(&self) -> u64 {
        self.foreign_chunks
    }

    fn decode_chunk(&mut self, event: Event) -> Result<Option<Chunk>, ReadError> {
        let Ok(head) = serde_json::from_slice::<ChunkHead<'_>>(&event.data) else {
            return Err(ReadError::InvalidChunk);
        };
        // A chunk of another attempt inside this stream would end up in the wrong caller's
        // answer; the caller would see words that do not belong to its request.
        if *head.id != *self.attempt {
            self.foreign_chunks += 1;
            return Ok(None);
        }
        let end = head.choices.iter().any(|c| c.finish_reason.is_some());
        let offset = event.id.ok_or(ReadError::InvalidChunk)?;
        let data = event.data;
        Ok(Some(Chunk {
            offset,
            data,
            is_last: end,
        }))
    }

    /// Reads the end of the body, so that the connection goes back to the pool.
    fn finish(&mut self) {
        let Some(mut response) = self.response.take() else {
            return;
        };
        let rest = ntex::util::stream_recv(&mut response).now_or_never();
        if rest.is_none() {
            // The end of the body is not here yet. Its reader need not wait for it.
            ntex::rt::spawn(async move {
                let rest = ntex::util::stream_recv(&mut response);
                if let Ok(Some(_)) = timeout(END_TIMEOUT, rest).await {
                    log::debug!("data after the end of a stream");
                }
            });
        }
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("attempt", &self.attempt)
            .field("foreign", &self.foreign_chunks)
            .finish_non_exhaustive()
    }
}
