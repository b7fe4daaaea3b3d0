//! Splits streamed answers into server-sent events without changing a byte.

use bytes::{Bytes, BytesMut};

/// Largest event; longer data without an event end is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Field that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";
/// Field that holds the data of an event; one without data is not dispatched.
const DATA_FIELD: &[u8] = b"data";
/// Start of a comment line.
const COMMENT: &[u8] = b":";

/// One event as received, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number; 0 if it has none.
    pub number: u64,
    /// Its bytes.
    pub data: Bytes,
}

/// Splits bytes into events, and returns only complete ones.
///
/// A stream may end in the middle of an event. If the incomplete event were forwarded, the caller
/// would receive a truncated event, or the event twice once another server resumes the stream.
/// Lines end with a carriage return, a line feed or both, as the format allows.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the first line in the buffer that is not complete.
    line_start: usize,
    /// Bytes of that line that were searched for its end: a line may arrive byte by byte.
    searched: usize,
    /// Whether the current event has a line that is not empty.
    has_line: bool,
    /// The last line ended with a carriage return, so a line feed that follows belongs to it.
    after_cr: bool,
    /// The last complete line ended with both characters.
    is_crlf: bool,
    /// Number of events with data that were returned.
    events: usize,
}

impl Splitter {
    /// Adds bytes; `None` if an event is too long.
    pub fn push(&mut self, data: &[u8]) -> Option<()> {
        self.buffer.extend_from_slice(data);
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(())
    }

    /// Removes and returns the next complete event.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.line_start = 0;
        self.has_line = false;
        let data = self.buffer.split_to(end).freeze();
        self.events += usize::from(lines(&data).any(|line| line.starts_with(DATA_FIELD)));
        Some(Event {
            number: event_number(&data),
            data,
        })
    }

    /// Returns the position in the buffer from which on the next search for a line end begins.
    #[cfg(test)]
    pub fn search_start(&self) -> usize {
        self.line_start + self.searched
    }

    /// Returns the number of events with data returned so far.
    #[must_use]
    pub fn event_count(&self) -> usize {
        self.events
    }

    /// Returns the number of bytes of the event that has begun; 0 if nothing but complete comments and empty lines follows
    /// the last event.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let is_torn = self.line_start < self.buffer.len();
        let mut complete = lines(&self.buffer[..self.line_start]);
        if is_torn || complete.any(|line| !line.is_empty() && !line.starts_with(COMMENT)) {
            self.buffer.len()
        } else {
            0
        }
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.searched = 0;
        self.has_line = false;
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event, including its empty line.
    fn find_end(&mut self) -> Option<usize> {
        loop {
            let bytes = &self.buffer[self.line_start..];
            if self.after_cr && !bytes.is_empty() {
                self.after_cr = false;
                self.is_crlf = bytes[0] == b'\n';
                if self.is_crlf {
                    self.line_start += 1;
                    continue;
                }
            }
            let mut unsearched = bytes.iter().skip(self.searched);
            let Some(length) = unsearched.position(|byte| is_line_end(*byte)) else {
                self.searched = bytes.len();
                return None;
            };
            let length = self.searched + length;
            let is_empty = length == 0;
            let line_end = match &bytes[length..] {
                [b'\r', b'\n', ..] => 2,
                // The line feed of the empty line is about to arrive.
                [b'\r'] if is_empty && self.is_crlf => return None,
                _ => 1,
            };
            self.is_crlf = line_end == 2;
            self.after_cr = bytes[length..] == *b"\r";
            self.line_start += length + line_end;
            self.searched = 0;
            if is_empty && self.has_line {
                return Some(self.line_start);
            }
            self.has_line |= !is_empty;
        }
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the lines of an event; a line that ends with both characters is followed by an empty one.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| is_line_end(*byte))
}

fn event_number(event: &[u8]) -> u64 {
    let line = lines(event).find_map(|line| line.strip_prefix(ID_FIELD));
    line.and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
