//! Splits streamed answers into server-sent events without changing a byte.

use bytes::{Bytes, BytesMut};

/// Largest event; longer data without an event end is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Field that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";

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
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffer that was searched without finding an event end.
    scanned: usize,
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
        self.scanned = 0;
        let data = self.buffer.split_to(end).freeze();
        Some(Event {
            number: event_number(&data),
            data,
        })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event, including its empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &*self.buffer;
        for at in from..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_number(event: &[u8]) -> u64 {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD));
    line.and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
