//! Streamed answers cut into events, byte for byte.

use bytes::{Bytes, BytesMut};

/// Longest event: more without an end is no stream of events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// One event as it came, its end included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number; 0 where it has none.
    pub number: u64,
    /// Its bytes.
    pub data: Bytes,
}

/// Cuts bytes into events: only whole ones are passed on.
///
/// A backend server may end in the middle of an event. What came of it must not reach the caller,
/// or the event would be torn, or come twice when another goes on with the stream.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no end was found.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes; `None` where an event is too long.
    pub fn push(&mut self, data: &[u8]) -> Option<()> {
        self.buffer.extend_from_slice(data);
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(())
    }

    /// Takes the next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let data = self.buffer.split_to(end).freeze();
        Some(Event {
            number: event_number(&data),
            data,
        })
    }

    /// Takes what is left after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event with its empty line.
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
