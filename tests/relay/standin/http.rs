//! A server of HTTP/1.1 with a thread for each connection.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::time::Duration;

use socket2::SockRef;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether it was answered before its body was read.
    pub is_answered: bool,
}

/// What follows once the head of a request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Early {
    /// The body is read, and the request is served.
    Read,
    /// The request has its answer; its body is read.
    Answered,
    /// The connection is closed.
    End,
}

impl Request {
    /// Returns its id; empty for a call of the host's own.
    pub fn id(&self) -> &str {
        self.header("x-chiveway-attempt-id").unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    }
}

fn read(
    reader: &mut BufReader<TcpStream>,
    early: impl FnOnce(&Request) -> Early,
) -> Option<Request> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut fields = first.split_whitespace();
    let (method, path) = (fields.next()?.to_owned(), fields.next()?.to_owned());
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.to_lowercase(), value.trim());
        if name == "content-length" {
            length = value.parse().ok()?;
        }
        writeln!(head, "{name}: {value}").ok()?;
    }
    let mut request = Request {
        method,
        path,
        head,
        body: Vec::new(),
        is_answered: false,
    };
    match early(&request) {
        Early::Read => {}
        Early::Answered => request.is_answered = true,
        Early::End => return None,
    }
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Returns the text of a response.
pub fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

pub fn write(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let text = response(status, headers, body);
    stream.write_all(text.as_bytes()).ok()
}

/// Number of parts of a slow page.
const PAGE_PARTS: usize = 40;

/// Writes a success in parts, with a pause before each.
pub fn write_in_parts(
    stream: &mut TcpStream,
    headers: &str,
    body: &str,
    pause: Duration,
) -> Option<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 200 x\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    for part in body.as_bytes().chunks(length.div_ceil(PAGE_PARTS)) {
        std::thread::sleep(pause);
        stream.write_all(part).ok()?;
    }
    Some(())
}

/// Serves all connections alike; `serve` returns `None` to close a connection.
pub fn listen(
    serve: impl Fn(&Request, &mut TcpStream) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let serve = Arc::new(serve);
    listen_each(move |_| {
        let serve = Arc::clone(&serve);
        Some(move |request: &Request, stream: &mut TcpStream| serve(request, stream))
    })
}

/// Serves each connection on its own thread, by what `accept` returns for it; `None` closes it.
pub fn listen_each<S>(accept: impl Fn(Weak<TcpStream>) -> Option<S> + Send + 'static) -> SocketAddr
where
    S: Fn(&Request, &mut TcpStream) -> Option<()> + Send + 'static,
{
    let read_all = |_: &Request, _: &mut TcpStream| Early::Read;
    listen_early(move |connection| Some((read_all, accept(connection)?)))
}

/// Does the same, with a function that gets the head of each request before its body is read.
pub fn listen_early<E, S>(
    accept: impl Fn(Weak<TcpStream>) -> Option<(E, S)> + Send + 'static,
) -> SocketAddr
where
    E: Fn(&Request, &mut TcpStream) -> Early + Send + 'static,
    S: Fn(&Request, &mut TcpStream) -> Option<()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::new(stream.try_clone().expect("a second handle"));
            let Some((early, serve)) = accept(Arc::downgrade(&handle)) else {
                continue;
            };
            std::thread::spawn(move || {
                let _handle = handle;
                let mut out = stream.try_clone().expect("a second handle");
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader, |head| early(head, &mut out)) {
                    if serve(&request, &mut out).is_none() {
                        break;
                    }
                }
                if SockRef::from(&out).linger().ok().flatten().is_none() {
                    drop(out.shutdown(Shutdown::Both));
                }
            });
        }
    });
    addr
}
