//! A plain HTTP/1.1 client, and raw connections for arbitrary bytes.

#[path = "../../common/http.rs"]
mod base;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub use base::{Answer, OpenAnswer, open, send};

/// Timeout of connecting and of each read; far above what a test waits for.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection on which a test writes arbitrary bytes.
#[derive(Debug)]
pub struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    pub fn connect(addr: SocketAddr) -> Self {
        let stream =
            TcpStream::connect_timeout(&addr, IO_TIMEOUT).expect("the connection is accepted");
        stream
            .set_read_timeout(Some(IO_TIMEOUT))
            .expect("the timeout is not zero");
        Self { stream }
    }

    /// Connects; `None` if the connection fails.
    pub fn try_connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
        Some(Self { stream })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a request for a completion without waiting for the answer.
    pub fn completion(&mut self, prompt: &str, tokens: u64, stream: bool) {
        let body = serde_json::json!({
            "model": super::MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let body = body.to_string();
        let key = super::CUSTOMER_KEY;
        let length = body.len();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
             content-length: {length}\r\n\r\n"
        );
        self.write([head.as_bytes(), body.as_bytes()].concat().as_slice());
    }

    /// Sends a call that may not be retried, without waiting for the answer.
    pub fn call(&mut self, idempotency_key: &str) {
        let (service, key) = (super::SERVICE, super::CUSTOMER_KEY);
        let head = format!(
            "POST /services/{service}/extensions HTTP/1.1\r\nhost: h\r\n\
             authorization: Bearer {key}\r\nidempotency-key: {idempotency_key}\r\n\
             content-length: 2\r\n\r\n{{}}"
        );
        self.write(head.as_bytes());
    }

    /// Reads until the peer closes the connection.
    pub fn rest(mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        drop(self.stream.read_to_end(&mut bytes));
        bytes
    }

    /// Reads one answer that has a content length, and keeps the connection open.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<_> = head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let mut body = vec![0; length.and_then(|(_, n)| n.parse().ok()).unwrap_or(0)];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer {
            status,
            headers,
            body,
            complete: true,
        })
    }
}
