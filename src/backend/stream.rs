//! Streamed response of an engine, read chunk by chunk.

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
use super::identity::ATTEMPT_HEADER;
use super::sse::{Event, Parser, SseError};

/// Header with the token offset to resume from.
const RESUME_HEADER: &str = "last-event-id";
/// Header with the priority; it takes precedence over the `priority` field of the body.
const PRIORITY_HEADER: &str = "x-priority";
/// Time within which the body must end after the event that ends the stream.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Data of the event that ends the stream.
const DONE: &[u8] = b"[DONE]";

/// Why reading a stream failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection broke.
    #[snafu(display("the connection broke"))]
    Lost,
    /// The body ended before the event that ends the stream.
    #[snafu(display("the stream ended early"))]
    Truncated,
    /// The body is not a stream of server-sent events.
    #[snafu(display("the stream cannot be read: {source}"))]
    Malformed {
        /// Cause reported by the parser.
        source: SseError,
    },
    /// The data of an event is not a completion chunk, or the event has no id.
    #[snafu(display("an event of the stream is no chunk"))]
    InvalidChunk,
}

/// One completion chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Offset of the token that follows this chunk.
    pub offset: u64,
    /// The chunk as JSON.
    pub data: Bytes,
    /// Whether the chunk carries the finish reason.
    pub is_last: bool,
}

/// A streamed response; dropping it closes its connection, which cancels the attempt.
pub struct Stream {
    /// `None` after the event that ends the stream.
    response: Option<ClientResponse>,
    parser: Parser,
    attempt: Box<str>,
    foreign_chunks: u64,
}

/// Fields of a chunk that are used here.
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

/// Opens a streamed response.
///
/// With `resume`, the engine continues an attempt that is running or finished there from that
/// token offset; without it, the engine starts the attempt.
///
/// # Errors
///
/// Returns why no stream was opened, including whether the request ran.
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
    /// Chunks of other attempts are skipped and counted; duplicate and reordered chunks are
    /// returned as they arrive. The call is cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns why reading failed; the stream must not be used afterwards.
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
                Some(Ok(bytes)) => self.parser.push(&bytes).context(MalformedSnafu)?,
                Some(Err(_broken)) => return Err(ReadError::Lost),
                None => return Err(ReadError::Truncated),
            }
        }
    }

    /// Returns the number of chunks of other attempts that were skipped.
    #[must_use]
    pub fn foreign_chunks(&self) -> u64 {
        self.foreign_chunks
    }

    fn decode_chunk(&mut self, event: Event) -> Result<Option<Chunk>, ReadError> {
        let Ok(head) = serde_json::from_slice::<ChunkHead<'_>>(&event.data) else {
            return Err(ReadError::InvalidChunk);
        };
        // Forwarding a chunk of another attempt would show the caller text of another request.
        if *head.id != *self.attempt {
            self.foreign_chunks += 1;
            return Ok(None);
        }
        let is_last = head.choices.iter().any(|c| c.finish_reason.is_some());
        let offset = event.id.ok_or(ReadError::InvalidChunk)?;
        let data = event.data;
        Ok(Some(Chunk {
            offset,
            data,
            is_last,
        }))
    }

    /// Reads the end of the body, so that the connection returns to the pool.
    fn finish(&mut self) {
        let Some(mut response) = self.response.take() else {
            return;
        };
        let rest = ntex::util::stream_recv(&mut response).now_or_never();
        if rest.is_none() {
            // The end of the body has not arrived yet; the caller need not wait for it.
            ntex::rt::spawn(async move {
                let rest = ntex::util::stream_recv(&mut response);
                if let Ok(Some(_)) = timeout(END_TIMEOUT, rest).await {
                    log::debug!("engine sent data after the event that ends the stream");
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
