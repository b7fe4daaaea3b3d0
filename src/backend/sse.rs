//! Incremental parser of server-sent events, bounded in line and event size.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Maximum length of a line; a chunk of an engine is well below 1 KiB.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum total length of the data lines of one event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// UTF-8 byte order mark, ignored at the start of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Why a stream of events cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SseError {
    /// A line exceeds the length limit.
    #[snafu(display("a line of the event stream is too long"))]
    LineTooLong,
    /// The data of an event exceeds the length limit.
    #[snafu(display("an event of the stream is too long"))]
    EventTooLong,
    /// An event id is not a decimal number.
    #[snafu(display("an event id is not a number"))]
    InvalidId,
}

/// An event that carries data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Last id in the stream up to and including this event.
    pub id: Option<u64>,
    /// Data lines, joined by line feeds.
    pub data: Bytes,
}

/// Parses events from chunks of a stream that may be split at any byte.
#[derive(Debug, Default)]
pub struct Parser {
    /// Start of a line whose end has not arrived yet.
    line: BytesMut,
    /// Data lines of the current event, each followed by a line feed.
    data: BytesMut,
    id: Option<u64>,
    ready: VecDeque<Event>,
    /// The last byte was a carriage return, so a line feed that follows belongs to it.
    after_cr: bool,
    /// Whether the first line has been read.
    started: bool,
}

impl Parser {
    /// Returns a parser at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the next chunk of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be parsed; the parser must not be used afterwards.
    pub fn push(&mut self, mut chunk: &[u8]) -> Result<(), SseError> {
        if self.after_cr && !chunk.is_empty() {
            self.after_cr = false;
            chunk = chunk.strip_prefix(b"\n").unwrap_or(chunk);
        }
        while let Some(end) = chunk.iter().position(|b| matches!(b, b'\n' | b'\r')) {
            let (line, rest) = (&chunk[..end], &chunk[end + 1..]);
            if self.line.len() + line.len() > MAX_LINE_BYTES {
                return Err(SseError::LineTooLong);
            }
            if self.line.is_empty() {
                self.end_line(line)?;
            } else {
                self.line.extend_from_slice(line);
                let complete = self.line.split();
                self.end_line(&complete)?;
            }
            let is_cr = chunk[end] == b'\r';
            self.after_cr = is_cr && rest.is_empty();
            chunk = if is_cr {
                rest.strip_prefix(b"\n").unwrap_or(rest)
            } else {
                rest
            };
        }
        if self.line.len() + chunk.len() > MAX_LINE_BYTES {
            return Err(SseError::LineTooLong);
        }
        self.line.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the next complete event.
    pub fn pop(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }

    fn end_line(&mut self, mut line: &[u8]) -> Result<(), SseError> {
        if !self.started {
            self.started = true;
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        if line.is_empty() {
            self.end_event();
            return Ok(());
        }
        let (field, value) = match line.iter().position(|b| *b == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &[][..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match field {
            b"data" => {
                if self.data.len() + value.len() > MAX_EVENT_BYTES {
                    return Err(SseError::EventTooLong);
                }
                self.data.extend_from_slice(value);
                self.data.extend_from_slice(b"\n");
            }
            b"id" => self.id = Some(parse_id(value).ok_or(SseError::InvalidId)?),
            // Comments (an empty field name), "event" and "retry" are not used.
            _ => {}
        }
        Ok(())
    }

    fn end_event(&mut self) {
        if self.data.is_empty() {
            return;
        }
        let mut data = self.data.split();
        data.truncate(data.len() - 1);
        let data = data.freeze();
        self.ready.push_back(Event { id: self.id, data });
    }
}

fn parse_id(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
