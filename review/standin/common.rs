//! Stand-ins for the cases of this folder: the platform's store, an HTTP server and client, and host processes.
//!
//! Standard library only. Everything listens on 127.0.0.1 at ports that the kernel chooses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn int(&self) -> i64 {
        match self {
            Json::Number(number) => *number as i64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = value(b, at)? else {
                            return None;
                        };
                        space(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, value(b, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *b.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *b.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                *at += 4;
                                let mut buf = [0; 4];
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    other => {
                        out.push(other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while b
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

// ---------------------------------------------------------------- base64

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let digit = DIGITS.iter().position(|d| *d == c).unwrap_or(0) as u32;
        n = n << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to the end that its framing marks.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, v)| unescape(v))
    }
    pub fn status(&self) -> u16 {
        let field = self.first.split(' ').nth(1).unwrap_or_default();
        field.parse().unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 1 {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a message with its body. A response without length or chunks ends with its connection.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Some(message);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Some(message);
            };
            let mut data = vec![0; size + 2];
            if reader.read_exact(&mut data).is_err() {
                return Some(message);
            }
            message.body.extend_from_slice(&data[..size]);
            if size == 0 {
                message.whole = true;
                return Some(message);
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok());
    match length {
        Some(length) => {
            let mut data = vec![0; length];
            if reader.read_exact(&mut data).is_ok() {
                message.body = data;
                message.whole = true;
            }
        }
        None if is_response => {
            message.whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.whole = true,
    }
    Some(message)
}

pub fn answer_bytes(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves connections with a thread each until the process ends.
pub fn listen<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Sends a request on a new connection and reads the whole answer.
pub fn request(
    addr: SocketAddr,
    head: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}

// ---------------------------------------------------------------- the platform's store

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Key, revision and the item as written; none for a removal.
    history: Vec<(String, i64, Option<Item>)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64, revision: i64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), revision, Some(item)));
    }
    fn remove(&mut self, key: &str, revision: i64) {
        if self.items.remove(key).is_some() {
            self.history.push((key.to_owned(), revision, None));
        }
    }
    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for key in keys {
            self.remove(&key, revision);
        }
    }
}

type SharedStore = Arc<(Mutex<StoreState>, Condvar)>;

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: SharedStore,
}

impl Store {
    pub fn start() -> Store {
        let state = StoreState {
            revision: 400,
            last_lease: 77000,
            ..StoreState::default()
        };
        let shared: SharedStore = Arc::new((Mutex::new(state), Condvar::new()));
        let serving = Arc::clone(&shared);
        let addr = listen(move |stream| serve_store(&serving, stream));
        let expiring = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(25));
                let mut state = expiring.0.lock().expect("the store");
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
                let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                drop(state);
                expiring.1.notify_all();
            }
        });
        Store { addr, shared }
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        state.put(key, value.as_bytes().to_vec(), 0, revision);
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        drop(state);
        self.shared.1.notify_all();
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn serve_store(shared: &SharedStore, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader, false) {
        thread::sleep(Duration::from_millis(4));
        let (status, body) = store_call(shared, &message);
        let json = "Content-Type: application/json\r\n";
        if out
            .write_all(&answer_bytes(status, json, body.as_bytes()))
            .is_err()
        {
            return;
        }
    }
}

fn store_call(shared: &SharedStore, call: &Message) -> (u16, String) {
    let mut state = shared.0.lock().expect("the store");
    let prefix = call.query("prefix").unwrap_or_default();
    let last = call.path().rsplit('/').next().unwrap_or_default();
    match (call.method(), call.path()) {
        ("GET", "/v1/kv-key") => {
            let key = call.query("key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".into()),
            }
        }
        ("GET", "/v1/kv-range") => {
            let after = call.query("after").unwrap_or_default();
            let found = state.items.iter();
            let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let mut items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
            let more = items.len() > 500;
            items.truncate(500);
            let (items, at) = (items.join(","), state.revision);
            (
                200,
                format!("{{\"items\":[{items}],\"hasMore\":{more},\"at\":{at}}}"),
            )
        }
        ("GET", "/v1/kv-watch") => {
            let number = |name| call.query(name).and_then(|v: String| v.parse::<i64>().ok());
            let after = number("after").unwrap_or(0);
            let wait = number("waitMs").unwrap_or(0).clamp(0, 30_000);
            let end = Instant::now() + Duration::from_millis(wait as u64);
            loop {
                let new = state.history.iter();
                let new = new.filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
                let events: Vec<String> = new
                    .map(|(key, at, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!(
                            "{{\"key\":{},\"revision\":{at},\"deleted\":true}}",
                            quote(key)
                        ),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let at = state.revision;
                    let events = events.join(",");
                    return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                }
                state = shared.1.wait_timeout(state, left).expect("the store").0;
            }
        }
        ("POST", "/v1/kv-txn") => {
            let text = String::from_utf8_lossy(&call.body);
            let Some(body) = Json::parse(&text) else {
                return (400, "{}".into());
            };
            let holds = body.get("expectedRevision").list().iter().all(|row| {
                let item = state.items.get(row.get("key").text());
                item.map_or(0, |item| item.revision) == row.get("revision").int()
            });
            if !holds {
                let rows = body.get("expectedRevision").list().iter();
                let items: Vec<String> = rows
                    .filter_map(|row| {
                        let key = row.get("key").text();
                        Some(item_json(key, state.items.get(key)?))
                    })
                    .collect();
                return (412, format!("{{\"items\":[{}]}}", items.join(",")));
            }
            let puts = body.get("setKeys").list();
            let lives = |put: &Json| {
                let lease = put.get("lease").int();
                lease == 0 || state.leases.contains_key(&lease)
            };
            if !puts.iter().all(lives) {
                return (404, "{}".into());
            }
            state.revision += 1;
            let revision = state.revision;
            for put in puts {
                let value = from_base64(put.get("value").text());
                state.put(
                    put.get("key").text(),
                    value,
                    put.get("lease").int(),
                    revision,
                );
            }
            for key in body.get("remove").list() {
                state.remove(key.text(), revision);
            }
            drop(state);
            shared.1.notify_all();
            (200, format!("{{\"revision\":{revision}}}"))
        }
        ("POST", "/v1/kv-lease") => {
            let text = String::from_utf8_lossy(&call.body);
            let ttl = Json::parse(&text).map_or(3000, |body| body.get("ttlMs").int());
            state.last_lease += 1;
            let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl as u64));
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                200,
                format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()),
            )
        }
        ("POST", path) if path.starts_with("/v1/kv-keep/") => {
            match state.leases.get_mut(&last.parse().unwrap_or(0)) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            }
        }
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
            state.end_lease(last.parse().unwrap_or(0));
            drop(state);
            shared.1.notify_all();
            (200, "{}".into())
        }
        _ => (404, "{}".into()),
    }
}

// ---------------------------------------------------------------- hosts

/// Ports on which a host listens are free when it starts; the kernel chose them.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// A process of the project, started with the command of the deploy file.
pub struct Host {
    pub name: String,
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub log: PathBuf,
    /// The process that reads the host's standard output and writes it to the log.
    pub collector: Child,
}

/// Reads standard input to its end and writes it to a file, as the collector of a host's log does.
fn collect(file: &str) -> ! {
    let done = File::create(file).and_then(|mut out| io::copy(&mut io::stdin().lock(), &mut out));
    std::process::exit(i32::from(done.is_err()))
}

impl Host {
    /// Starts a host with the settings that `deploy/host.ini` gives on an `edge` machine of a small deployment. Its log goes
    /// through a pipe to a collector.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Host {
        let text = format!(
            "[relay]\nname = {name}\nregion = dk-east\ndomain = {zone}\n\
             callers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             metrics = 127.0.0.1:0\nmemory = 260MiB\n\n\
             [store]\naddr = {store}\nlease-least = 1000ms\n\n\
             [bounds]\ngrace = 8s\nlease = 3000ms\nrepeat-ratio = 0.2\nrepeat-window = 10s\n\
             repeat-slack = 58\n\n\
             [policy]\nrecall = on\nannounce-changes = on\ndecode-placement = gaps\n\n\
             [log]\nform = json\n"
        );
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, text).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        let err = File::create(folder.join(format!("{name}.err"))).expect("a file is created");
        let mut collector = Command::new(std::env::current_exe().expect("this program"))
            .arg("--collect")
            .arg(&log)
            .stdin(Stdio::piped())
            .spawn()
            .expect("the collector starts");
        let out = collector.stdin.take().expect("a pipe");
        let child = Command::new("target/release/chiveway")
            .arg("host")
            .env_clear()
            .env("CHIVEWAY_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(out))
            .stderr(err)
            .spawn();
        let Ok(mut child) = child else {
            let _ = collector.kill();
            cannot_run("target/release/chiveway does not start");
        };
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let line = text.lines().find(|line| line.contains("host.listening"));
            if let Some(line) = line.and_then(Json::parse) {
                let addr = |key| line.get(key).text().parse::<SocketAddr>().ok();
                if let (Some(callers), Some(readiness)) = (addr("callers"), addr("readiness")) {
                    let name = name.to_owned();
                    return Host {
                        name,
                        child,
                        callers,
                        readiness,
                        log,
                        collector,
                    };
                }
            }
            if start.elapsed() > Duration::from_secs(10) {
                let _ = child.kill();
                let _ = child.wait();
                let _ = collector.kill();
                cannot_run(&format!("the host did not start: {text}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = request(self.readiness, head, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > Duration::from_secs(10) {
                cannot_run(&format!("{} was not ready in 10 s", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.collector.kill();
        let _ = self.collector.wait();
    }
}

/// Sends a signal to a process that the case started.
pub fn send_signal(child: &Child, signal: &str) {
    let command = format!("kill {signal} {}", child.id());
    let _ = Command::new("sh").args(["-c", &command]).status();
}

/// Ends the case as one that could not run; see [`run_case`].
pub fn cannot_run(why: &str) -> ! {
    panic!("cannot run: {why}")
}

/// Runs a case, which returns whether the rule held, and ends this process: with 1 if the rule was broken, 0 if it held and
/// 2 if the case could not run. Processes that the case started have ended by then.
pub fn run_case(case: fn(&Path) -> bool) -> ! {
    let args: Vec<String> = std::env::args().collect();
    if let [_, collector, file] = &args[..]
        && collector == "--collect"
    {
        collect(file);
    }
    let folder = args.get(1).cloned().unwrap_or_else(|| ".".into());
    let code = match std::panic::catch_unwind(|| case(Path::new(&folder))) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    std::process::exit(code)
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---------------------------------------------------------------- record, random numbers

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
    pub fn add(&self, line: String) {
        let at = self.start.elapsed().as_micros();
        self.lines.lock().expect("the record").push((at, line));
    }
    pub fn write(&self, file: &Path) {
        let lines = self.lines.lock().expect("the record");
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{:>10.1} ms  {line}", *at as f64 / 1000.0);
        }
        std::fs::write(file, text).expect("the record is written");
    }
}

pub fn epoch_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis())
}

/// A small generator of random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Closes a connection in both directions.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Folder for settings and logs of one run, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        let name = format!("chiveway-review-{}-{}", std::process::id(), epoch_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
