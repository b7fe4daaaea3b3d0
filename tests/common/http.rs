//! A plain HTTP/1.1 client over a blocking socket.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Timeout of connecting and of each read and write; far above what a test waits for.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the request id from the answer's head.
    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or_default().to_owned()
    }
}

/// An HTTP response whose body has not been read to its end.
#[derive(Debug)]
pub struct OpenAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
    chunked: bool,
    remaining: Option<usize>,
}

/// Sends a request and reads the answer's head; `None` if there is none. It names the address as its host if `headers` name none.
pub fn open(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<OpenAnswer> {
    let mut stream = connect(addr)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        write!(head, "host: {addr}\r\n").ok()?;
    }
    for (name, value) in headers {
        write!(head, "{name}: {value}\r\n").ok()?;
    }
    write!(head, "content-length: {}\r\n\r\n", body.len()).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_head(BufReader::new(stream))
}

/// Opens a connection.
pub fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
    Some(stream)
}

/// Reads the head of an answer; `None` if there is none.
pub fn read_head(mut reader: BufReader<TcpStream>) -> Option<OpenAnswer> {
    let status_line = read_line(&mut reader)?;
    let status = status_line.split(' ').nth(1)?.parse().ok()?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(&mut reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    let find = |name: &str| headers.iter().find(|(key, _)| key == name);
    let chunked = find("transfer-encoding").is_some_and(|(_, value)| value == "chunked");
    let remaining = find("content-length").and_then(|(_, value)| value.parse().ok());
    Some(OpenAnswer {
        status,
        headers,
        reader,
        chunked,
        remaining,
    })
}

pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

impl OpenAnswer {
    /// Reads the next chunk of the body, or the whole body if it is not chunked; `None` at its end,
    /// an error if it is cut off.
    pub fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, ()> {
        if !self.chunked {
            let mut body = vec![0; self.remaining.take().unwrap_or(0)];
            self.reader.read_exact(&mut body).map_err(|_err| ())?;
            return Ok((!body.is_empty()).then_some(body));
        }
        let size = read_line(&mut self.reader).ok_or(())?;
        let size = usize::from_str_radix(&size, 16).map_err(|_err| ())?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk).map_err(|_err| ())?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the rest of the body.
    pub fn rest(self) -> Answer {
        self.rest_and_connection().0
    }

    /// Does the same; also returns the connection, for the next request on it.
    pub fn rest_and_connection(mut self) -> (Answer, BufReader<TcpStream>) {
        let mut body = Vec::new();
        let complete = loop {
            match self.next_chunk() {
                Ok(Some(chunk)) => body.extend(chunk),
                Ok(None) => break true,
                Err(()) => break false,
            }
        };
        let answer = Answer {
            status: self.status,
            headers: self.headers,
            body,
            complete,
        };
        (answer, self.reader)
    }
}

/// Sends a request and reads the whole answer; `None` if it has no head.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    open(addr, method, path, headers, body).map(OpenAnswer::rest)
}
