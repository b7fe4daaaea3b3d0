//! Answers that a server breaks off: in any framing, at any place, with any end of the connection.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

/// How the end of the body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    Connection,
}

impl Framing {
    /// Returns the header that announces a body of this length.
    pub fn header(self, length: usize) -> String {
        match self {
            Self::Length => format!("content-length: {length}\r\n"),
            Self::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Connection => String::new(),
        }
    }
}

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Close,
    /// It is closed at once, so that its end may arrive together with the answer.
    CloseAtOnce,
    Reset,
    /// It stays open without data.
    Silence,
}

/// Where the answer is broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Head,
    BeforeFirst,
    Between,
    Inside,
    /// Between the two bytes of a character.
    InsideChar,
    /// After the last line of an event, before the blank line that ends it.
    LastLine,
    AfterLast,
}

/// An answer that is broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Break {
    pub framing: Framing,
    pub end: End,
    pub place: Place,
}

/// Events before the one inside which an answer is broken off.
pub const WHOLE_EVENTS: usize = 2;
/// Character of two bytes in each event.
pub const WIDE_CHAR: char = 'ö';
/// Time in which what was written arrives before the connection ends.
pub const ARRIVAL_TIME: Duration = Duration::from_millis(20);

impl Break {
    /// Whether the connection is closed, and not reset or kept.
    pub fn is_closed(self) -> bool {
        matches!(self.end, End::Close | End::CloseAtOnce)
    }

    /// Returns the number of bytes of the body that are written.
    fn written(self, body: &str) -> usize {
        let ends = body.match_indices("\n\n").map(|(at, end)| at + end.len());
        let whole = ends.take(WHOLE_EVENTS).last().unwrap_or(body.len() / 2);
        match self.place {
            Place::Head | Place::BeforeFirst => 0,
            Place::Between => whole,
            Place::InsideChar if body[whole..].contains(WIDE_CHAR) => {
                whole + body[whole..].find(WIDE_CHAR).unwrap_or_default() + 1
            }
            Place::LastLine if body[whole..].contains("\n\n") => {
                whole + body[whole..].find("\n\n").unwrap_or_default() + 1
            }
            // A text without such a character or line ends elsewhere.
            Place::Inside | Place::InsideChar | Place::LastLine => {
                (whole + "id: 3\nda".len()).min(body.len())
            }
            Place::AfterLast => body.len(),
        }
    }

    /// Writes the answer as far as it goes, and ends or keeps its connection; `headers` end with a line break.
    pub fn write(self, headers: &str, body: &str, stream: &mut TcpStream) -> Option<()> {
        let framing = self.framing.header(body.len());
        let head = format!("HTTP/1.1 200 x\r\n{headers}{framing}\r\n");
        let mut bytes = head.into_bytes();
        if self.place == Place::Head {
            bytes.truncate(bytes.len() / 2);
        } else {
            if self.framing == Framing::Chunks {
                bytes.extend(format!("{:x}\r\n", body.len()).bytes());
            }
            bytes.extend(&body.as_bytes()[..self.written(body)]);
            if self.framing == Framing::Chunks && self.place == Place::AfterLast {
                bytes.extend(b"\r\n");
            }
        }
        stream.write_all(&bytes).ok()?;
        if self.end == End::CloseAtOnce {
            return None;
        }
        std::thread::sleep(ARRIVAL_TIME);
        match self.end {
            End::Close | End::CloseAtOnce => {}
            End::Reset => {
                let reset = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                reset.expect("a reset on close");
            }
            // A reset also ends the connection.
            End::Silence => drop(std::io::copy(stream, &mut std::io::sink())),
        }
        None
    }
}
