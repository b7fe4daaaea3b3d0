//! How a streamed answer ended.

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length, named in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection, as when the server crashes.
    Connection,
}

impl Framing {
    /// Returns its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// The end of a streamed answer's body, as its framing marks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd {
    /// How the end was marked.
    pub framing: Framing,
    /// Complete events with data.
    pub events: usize,
    /// Bytes of an event that was not complete.
    pub unfinished: usize,
}

impl StreamEnd {
    /// Returns the reason if the server broke the stream off, although its framing ended regularly.
    ///
    /// The connection of a server that crashes is closed like that of one that has finished. Only the
    /// events show the difference.
    #[must_use]
    pub fn break_reason(self) -> Option<&'static str> {
        if self.unfinished > 0 {
            Some("the stream ended inside an event")
        } else if self.framing == Framing::Connection && self.events == 0 {
            Some("the connection closed before the first event")
        } else {
            None
        }
    }
}
