//! Incremental parser of server-sent events, bounded in line and event size.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Most bytes of one line; an engine's chunk is well below 1 KiB.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Most bytes of all data lines of one event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Mark that a stream may begin with; ignored.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Why a stream of events cannot be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SseError {
    /// A line is longer than the parser takes.
    #[snafu(display("a line of the event stream is too long"))]
    LineTooLong,
    /// The data of one event is longer than the parser takes.
    #[snafu(display("an event of the stream is too long"))]
    EventTooLong,
    /// An event id is not a decimal number.
    #[snafu(display("an event id is not a number"))]
    InvalidId,
}

/// One event that carries data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Last id seen in the stream up to and with this event.
    pub id: Option<u64>,
    /// The data lines, joined by line feeds.
    pub data: Bytes,
}

/// Turns parts of a stream, split anywhere, into events.
#[derive(Debug, Default)]
pub struct Parser {
    /// Start of a line whose end has not come yet.
    line: BytesMut,
    /// Data lines of the event being read, each followed by a line feed.
    data: BytesMut,
    id: Option<u64>,
    ready: VecDeque<Event>,
    /// The last byte was a carriage return, so that a line feed next belongs to it.
    after_cr: bool,
    /// The first line has been read.
    started: bool,
}

impl Parser {
    /// Returns a parser at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next part of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be read on; the parser must not be used afterwards.
    pub fn push(&mut self, mut part: &[u8]) -> Result<(), SseError> {
        if self.after_cr && !part.is_empty() {
            self.after_cr = false;
            part = part.strip_prefix(b"\n").unwrap_or(part);
        }
        while let Some(end) = part.iter().position(|b| matches!(b, b'\n' | b'\r')) {
            let (line, rest) = (&part[..end], &part[end + 1..]);
            if self.line.len() + line.len() > MAX_LINE_BYTES {
                return Err(SseError::LineTooLong);
            }
            if self.line.is_empty() {
                self.end_line(line)?;
            } else {
                self.line.extend_from_slice(line);
                let whole = self.line.split();
                self.end_line(&whole)?;
            }
            let cr = part[end] == b'\r';
            self.after_cr = cr && rest.is_empty();
            part = if cr {
                rest.strip_prefix(b"\n").unwrap_or(rest)
            } else {
                rest
            };
        }
        if self.line.len() + part.len() > MAX_LINE_BYTES {
            return Err(SseError::LineTooLong);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    /// Returns the next whole event.
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
            Some(at) => (&line[..at], &line[at + 1..]),
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
            // Comments (an empty field name), "event" and "retry" carry nothing for this program.
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
