//! Stand-ins that speak the platform's protocol: a store, engines, a plain server.
//!
//! A thread for each connection, and a lock around what all of them know: a test drives a handful
//! of requests, and reads as a script.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// A request as it came.
struct Request {
    method: String,
    path: String,
    head: String,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    }
}

fn read(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut words = first.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
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
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        head,
        body,
    })
}

fn write(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()
}

/// Serves each connection with a thread; `serve` returns `None` to close the connection.
fn listen(
    serve: impl Fn(&Request, &mut TcpStream) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            std::thread::spawn(move || {
                let mut out = stream.try_clone().expect("a second handle");
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader) {
                    if serve(&request, &mut out).is_none() {
                        break;
                    }
                }
                drop(out.shutdown(Shutdown::Both));
            });
        }
    });
    addr
}

/// One write: key, value (`None` for a removal), revision, revision of the creation.
type Change = (String, Option<Vec<u8>>, i64, i64);

/// Time between two looks at the leases.
const LOOK: Duration = Duration::from_millis(50);

/// Start of the keys that the operator and the servers write.
const OTHERS: [&str; 2] = ["op/", "servers/"];

/// What the store held at a moment.
#[derive(Clone, Default)]
struct Backup {
    revision: i64,
    keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    granted: i64,
    leases: BTreeMap<i64, Duration>,
    bound: BTreeMap<String, i64>,
}

#[derive(Default)]
struct Kept {
    revision: i64,
    keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    history: Vec<Change>,
    /// Times that it came back from an older copy.
    restores: u64,
    /// Copies of itself, oldest first.
    backups: Vec<(Instant, Backup)>,
    /// What the operator and the servers wrote and a restore lost: key and value, `None` for a removal.
    lost_writes: BTreeMap<String, Option<Vec<u8>>>,
    away: bool,
    /// Whether calls and answers are swallowed, and their connections live on.
    silent: bool,
    /// Watches that were swallowed.
    lost_watches: u32,
    /// Renewals answered, by lease.
    renewed: BTreeMap<i64, u32>,
    /// Writes that are done and not answered from now on.
    lost: u32,
    /// Leases granted yet.
    granted: i64,
    /// Life and end of each lease.
    leases: BTreeMap<i64, (Duration, Instant)>,
    /// Keys that go with a lease.
    bound: BTreeMap<String, i64>,
}

impl Kept {
    fn grant(&mut self, millis: u64) -> i64 {
        self.granted += 1;
        let life = Duration::from_millis(millis);
        self.leases
            .insert(self.granted, (life, Instant::now() + life));
        self.back_up();
        self.granted
    }

    /// Keeps a copy of what it holds now.
    fn back_up(&mut self) {
        let backup = Backup {
            revision: self.revision,
            keys: self.keys.clone(),
            granted: self.granted,
            leases: self
                .leases
                .iter()
                .map(|(lease, (life, _))| (*lease, *life))
                .collect(),
            bound: self.bound.clone(),
        };
        self.backups.push((Instant::now(), backup));
    }

    /// Goes back to what it held at a revision, or at its start.
    fn restore(&mut self, revision: i64) {
        let now = Instant::now();
        let older = |(_, backup): &&(Instant, Backup)| backup.revision <= revision;
        let found = self.backups.iter().rev().find(older);
        let backup = found.map_or_else(Backup::default, |(_, backup)| backup.clone());
        self.restores += 1;
        self.backups
            .retain(|(_, kept)| kept.revision <= backup.revision);
        self.history
            .retain(|(.., revision, _)| *revision <= backup.revision);
        let before = std::mem::replace(&mut self.keys, backup.keys);
        let others = |key: &&String| OTHERS.iter().any(|start| key.starts_with(start));
        let mut lost = BTreeMap::new();
        for key in self.keys.keys().filter(others) {
            lost.insert(key.clone(), None);
        }
        for (key, (value, ..)) in before {
            if !others(&&key) {
                continue;
            }
            if self.keys.get(&key).is_some_and(|(kept, ..)| *kept == value) {
                lost.remove(&key);
            } else {
                lost.insert(key, Some(value));
            }
        }
        for (key, value) in lost {
            // What an earlier restore lost is newer than what that one left.
            self.lost_writes.entry(key).or_insert(value);
        }
        self.revision = backup.revision;
        self.granted = backup.granted;
        self.bound = backup.bound;
        let leases = backup.leases.into_iter();
        self.leases = leases
            .map(|(lease, life)| (lease, (life, now + life)))
            .collect();
    }

    /// Has the operator and the servers write again what a restore lost.
    fn write_again(&mut self) {
        for (key, value) in std::mem::take(&mut self.lost_writes).into_iter().rev() {
            match value {
                Some(value) => self.write(&key, value),
                None => self.remove(&key),
            }
        }
    }

    fn renew(&mut self, lease: i64) -> Option<()> {
        let (life, end) = self.leases.get_mut(&lease)?;
        *end = Instant::now() + *life;
        Some(())
    }

    fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys = self.bound.iter().filter(|(_, bound)| **bound == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn remove(&mut self, key: &str) {
        self.bound.remove(key);
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), None, self.revision, 0));
            self.back_up();
        }
    }

    fn write(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let created = self
            .keys
            .get(key)
            .map_or(self.revision, |(.., created)| *created);
        let entry = (value.clone(), self.revision, created);
        self.keys.insert(key.to_owned(), entry);
        let change = (key.to_owned(), Some(value), self.revision, created);
        self.history.push(change);
        self.back_up();
    }

    /// Returns the header that all its answers bear.
    fn era(&self) -> String {
        format!("store-era: {}\r\n", self.restores + 1)
    }
}

/// Stand-in of the store.
pub struct Store {
    pub addr: SocketAddr,
    kept: Arc<(Mutex<Kept>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let kept = Arc::new((Mutex::new(Kept::default()), Condvar::new()));
        let shared = Arc::clone(&kept);
        let addr = listen(move |request, stream| store(&shared, request, stream));
        let timed: Arc<(Mutex<Kept>, Condvar)> = Arc::clone(&kept);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LOOK);
                let mut kept = timed.0.lock().expect("the store");
                let before = kept.revision;
                kept.expire();
                if kept.revision > before {
                    timed.1.notify_all();
                }
            }
        });
        Self { addr, kept }
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut kept = self.kept.0.lock().expect("the store");
        kept.lost_writes.remove(key);
        kept.remove(key);
        self.kept.1.notify_all();
    }

    /// Answers again; what was swallowed meanwhile stays without an answer.
    pub fn answer(&self) {
        let mut kept = self.kept.0.lock().expect("the store");
        kept.away = false;
        kept.silent = false;
    }

    /// Takes every call from now on and answers none, also of those that wait: their connections
    /// live on and bring nothing, also after the store answers again.
    pub fn fall_silent(&self) {
        self.kept.0.lock().expect("the store").silent = true;
    }

    /// Returns how many watches were swallowed.
    pub fn lost_watches(&self) -> u32 {
        self.kept.0.lock().expect("the store").lost_watches
    }

    /// Returns how many renewals were answered of the lease that a key goes with.
    pub fn renewed(&self, key: &str) -> u32 {
        let kept = self.kept.0.lock().expect("the store");
        let lease = kept.bound.get(key);
        let renewed = lease.and_then(|lease| kept.renewed.get(lease));
        renewed.copied().unwrap_or(0)
    }

    /// Carries the next writes out without an answer.
    pub fn lose_answers(&self, writes: u32) {
        self.kept.0.lock().expect("the store").lost = writes;
    }

    pub fn put(&self, key: &str, value: &Value) {
        let (kept, changed) = &*self.kept;
        let value = value.to_string().into_bytes();
        let mut kept = kept.lock().expect("the store");
        kept.lost_writes.remove(key);
        kept.write(key, value);
        drop(kept);
        changed.notify_all();
    }

    /// Returns the revision at which a key was created.
    pub fn created(&self, key: &str) -> Option<i64> {
        let kept = self.kept.0.lock().expect("the store");
        kept.keys.get(key).map(|(.., created)| *created)
    }

    /// Comes back from its copy of a revision; what was written since is lost.
    pub fn restore(&self, revision: i64) {
        let (kept, changed) = &*self.kept;
        kept.lock().expect("the store").restore(revision);
        changed.notify_all();
    }

    /// Returns the revision that it had so long ago, or 0.
    pub fn revision_before(&self, ago: Duration) -> i64 {
        let kept = self.kept.0.lock().expect("the store");
        let mut backups = kept.backups.iter().rev();
        let older = backups.find(|(at, _)| at.elapsed() >= ago);
        older.map_or(0, |(_, backup)| backup.revision)
    }

    /// Has the operator and the servers write again what a restore lost, in another order.
    pub fn write_again(&self) {
        let (kept, changed) = &*self.kept;
        kept.lock().expect("the store").write_again();
        changed.notify_all();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> i64 {
        self.kept.0.lock().expect("the store").revision
    }

    /// Closes every connection that asks something from now on.
    pub fn stop_answering(&self) {
        self.kept.0.lock().expect("the store").away = true;
    }
}

fn item(key: &str, value: &[u8], revision: i64, created: i64) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": created})
}

/// Reads and drops what comes on a connection until the other side closes it.
fn swallow(stream: &mut TcpStream) -> Option<()> {
    // A connection that is reset has ended, too.
    let _ended = std::io::copy(stream, &mut std::io::sink());
    None
}

/// Carries out a transaction; returns the status where it does nothing.
fn txn(kept: &mut Kept, body: &[u8]) -> Option<Result<(), u16>> {
    let txn: Value = serde_json::from_slice(body).ok()?;
    let holds = txn["expectedRevision"].as_array()?.iter().all(|row| {
        let known = row["key"].as_str().and_then(|key| kept.keys.get(key));
        known.map_or(0, |(_, revision, _)| *revision) == row["revision"].as_i64().unwrap_or(0)
    });
    if !holds {
        return Some(Err(412));
    }
    for row in txn["setKeys"].as_array()? {
        let value = STANDARD.decode(row["value"].as_str()?).ok()?;
        let key = row["key"].as_str()?;
        let lease = row["lease"].as_i64().unwrap_or(0);
        if lease != 0 && !kept.leases.contains_key(&lease) {
            return Some(Err(404));
        }
        kept.bound.insert(key.to_owned(), lease);
        kept.write(key, value);
    }
    Some(Ok(()))
}

fn store(
    shared: &Arc<(Mutex<Kept>, Condvar)>,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let (kept, changed) = &**shared;
    let mut kept = kept.lock().expect("the store");
    if kept.away {
        return None;
    }
    if kept.silent {
        kept.lost_watches += u32::from(request.path.starts_with("/v1/kv-watch"));
        drop(kept);
        return swallow(stream);
    }
    kept.expire();
    let path = request.path.split('?').next()?;
    let answer = match (request.method.as_str(), path) {
        ("GET", "/v1/kv-range") => {
            let items = kept.keys.iter();
            let items = items
                .map(|(key, (value, revision, created))| item(key, value, *revision, *created));
            json!({"items": items.collect::<Vec<_>>(), "hasMore": false, "at": kept.revision})
        }
        ("GET", "/v1/kv-watch") => {
            let after: i64 = request.query("after")?.parse().ok()?;
            let wait = request.query("waitMs")?.parse().ok()?;
            let restores = kept.restores;
            if after > kept.revision {
                let era = kept.era();
                drop(kept);
                return write(stream, 410, &era, "{}");
            }
            let waits = |kept: &mut Kept| kept.revision <= after && kept.restores == restores;
            let wait = Duration::from_millis(wait);
            kept = changed
                .wait_timeout_while(kept, wait, waits)
                .expect("the store")
                .0;
            if kept.silent {
                kept.lost_watches += 1;
                drop(kept);
                return swallow(stream);
            }
            if kept.restores != restores {
                return None;
            }
            let new = kept
                .history
                .iter()
                .filter(|(.., revision, _)| *revision > after);
            let events = new.map(|(key, value, revision, created)| match value {
                Some(value) => item(key, value, *revision, *created),
                None => json!({"key": key, "revision": revision, "deleted": true}),
            });
            json!({"events": events.collect::<Vec<_>>(), "at": kept.revision})
        }
        ("POST", "/v1/kv-txn") => match txn(&mut kept, &request.body)? {
            Ok(()) => {
                changed.notify_all();
                if kept.lost > 0 {
                    kept.lost -= 1;
                    return None;
                }
                json!({"revision": kept.revision})
            }
            Err(status) => return write(stream, status, &kept.era(), r#"{"items":[]}"#),
        },
        ("POST", "/v1/kv-lease") => {
            let asked: Value = serde_json::from_slice(&request.body).ok()?;
            let millis = asked["ttlMs"].as_u64()?;
            json!({"lease": kept.grant(millis), "ttlMs": millis})
        }
        ("POST", path) if path.starts_with("/v1/kv-keep/") => {
            let lease = path.rsplit('/').next()?.parse().ok()?;
            if kept.renew(lease).is_none() {
                return write(stream, 404, &kept.era(), "{}");
            }
            *kept.renewed.entry(lease).or_default() += 1;
            json!({})
        }
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
            kept.end(path.rsplit('/').next()?.parse().ok()?);
            changed.notify_all();
            json!({})
        }
        _ => json!({}),
    };
    let era = kept.era();
    drop(kept);
    write(stream, 200, &era, &answer.to_string())
}

#[derive(Default)]
struct Asked {
    stage: Option<String>,
    seen: Vec<(String, String, Vec<u8>)>,
    /// Limit that its answers name, as it is written.
    limit: Option<String>,
    /// Events after which the next stream breaks off.
    breaks: Option<u64>,
    /// Id under which the next answer is given.
    other: Option<String>,
    held: bool,
    /// Time that each answer, and each event of a stream, takes.
    takes: Duration,
    /// Whether the process is gone.
    dead: bool,
    /// Orders accepted yet.
    orders: u64,
    /// Highest fencing number seen.
    fence: u64,
}

/// Stand-in of an engine, or of a plain server.
pub struct Engine {
    pub id: String,
    addr: SocketAddr,
    asked: Arc<(Mutex<Asked>, Condvar)>,
}

/// Returns the events of a stream.
pub fn events(id: &str, numbers: RangeInclusive<u64>) -> String {
    let event = |number: u64| format!("id: {number}\ndata: {id}\n\n");
    numbers.map(event).collect()
}

impl Engine {
    pub fn plain(id: &str) -> Self {
        Self::start(id, None)
    }

    pub fn model(id: &str, stage: &str) -> Self {
        Self::start(id, Some(stage.to_owned()))
    }

    fn start(id: &str, stage: Option<String>) -> Self {
        let asked = Asked {
            stage,
            ..Asked::default()
        };
        let asked = Arc::new((Mutex::new(asked), Condvar::new()));
        let (shared, name) = (Arc::clone(&asked), id.to_owned());
        let addr = listen(move |request, stream| engine(&shared, &name, request, stream));
        Self {
            id: id.to_owned(),
            addr,
            asked,
        }
    }

    /// Returns the entry by which it registers.
    pub fn entry(&self, state: &str) -> Value {
        let part = self.asked.0.lock().expect("the engine").stage.clone();
        let service = if part.is_some() { "model" } else { "plain" };
        json!({"service": service, "address": self.addr.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": state, "coldRemainingMs": 0, "stage": part, "sequence": 1,
            "born": 1})
    }

    /// Returns the heads of the requests that came for a path.
    pub fn seen(&self, path: &str) -> Vec<String> {
        let asked = self.asked.0.lock().expect("the engine");
        let seen = asked.seen.iter().filter(|(seen, ..)| seen == path);
        seen.map(|(_, head, _)| head.clone()).collect()
    }

    /// Returns the bodies that came for a path.
    pub fn bodies(&self, path: &str) -> Vec<Value> {
        let asked = self.asked.0.lock().expect("the engine");
        let seen = asked.seen.iter().filter(|(seen, ..)| seen == path);
        seen.filter_map(|(.., body)| serde_json::from_slice(body).ok())
            .collect()
    }

    /// Breaks the next stream that begins anew off after so many events, in the middle of one.
    pub fn break_after(&self, events: u64) {
        self.asked.0.lock().expect("the engine").breaks = Some(events);
    }

    /// Breaks no stream off any more.
    pub fn break_none(&self) {
        self.asked.0.lock().expect("the engine").breaks = None;
    }

    /// Names a limit in each answer from now on.
    pub fn limit(&self, rate: &str) {
        self.asked.0.lock().expect("the engine").limit = Some(rate.to_owned());
    }

    /// Answers the next request under another id.
    pub fn answer_as(&self, id: &str) {
        self.asked.0.lock().expect("the engine").other = Some(id.to_owned());
    }

    /// Returns all requests but reports: path, head and body.
    pub fn all(&self) -> Vec<(String, String, Vec<u8>)> {
        let asked = self.asked.0.lock().expect("the engine");
        let all = asked.seen.iter().filter(|(path, ..)| path != "/v1/report");
        all.cloned().collect()
    }

    /// Returns where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the time that each answer, and each event of a stream, takes.
    pub fn take(&self, time: Duration) {
        self.asked.0.lock().expect("the engine").takes = time;
    }

    /// Breaks everything off, now and from now on.
    pub fn die(&self) {
        self.asked.0.lock().expect("the engine").dead = true;
    }

    /// Holds the ends of streams back.
    pub fn hold(&self) {
        self.asked.0.lock().expect("the engine").held = true;
    }

    /// Lets streams end.
    pub fn release(&self) {
        self.asked.0.lock().expect("the engine").held = false;
        self.asked.1.notify_all();
    }
}

fn engine(
    shared: &Arc<(Mutex<Asked>, Condvar)>,
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let mut asked = shared.0.lock().expect("the engine");
    if asked.dead {
        return None;
    }
    if request
        .header("x-chiveway-expect-instance")
        .is_some_and(|other| other != id)
    {
        drop(asked);
        return write(stream, 421, "", "");
    }
    let takes = asked.takes;
    let seen = (
        request.path.clone(),
        request.head.clone(),
        request.body.clone(),
    );
    asked.seen.push(seen);
    let own = request
        .header("x-chiveway-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let attempt = asked.other.take().unwrap_or(own);
    let mut headers = format!(
        "x-chiveway-attempt-id: {attempt}\r\nx-chiveway-server-stamp: {id}\r\nkeep-alive: timeout=5\r\n"
    );
    if let Some(rate) = &asked.limit {
        // Writing to a string does not fail.
        let _ = write!(headers, "server-limit: {rate}\r\n");
    }
    match request.path.as_str() {
        "/v1/report" => {
            let body = json!({"stage": asked.stage, "busy": false, "sequence": asked.orders});
            return write(stream, 200, "", &body.to_string());
        }
        "/v1/order" => return write(stream, order(&mut asked, &request.body)?, "", "{}"),
        _ => {}
    }
    if asked.stage.is_none() {
        let body = String::from_utf8_lossy(&request.body);
        let body = format!("{id} {} {body}", request.path);
        drop(asked);
        std::thread::sleep(takes);
        return write(stream, 200, &headers, &body);
    }
    if request.header("x-chiveway-serving-stage") == Some("prefill") {
        drop(asked);
        std::thread::sleep(takes);
        let body = json!({"kvHandle": "h1", "tokenCount": 1, "version": 1}).to_string();
        return write(stream, 200, &headers, &body);
    }
    let fresh = request.header("last-event-id").is_none();
    let breaks = if fresh { asked.breaks.take() } else { None };
    drop(asked);
    let last = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok());
    stream_events(shared, id, &headers, breaks, last.unwrap_or(0), stream)
}

/// Takes an order; returns the status.
fn order(asked: &mut Asked, body: &[u8]) -> Option<u16> {
    let order: Value = serde_json::from_slice(body).ok()?;
    let fence = order["fencingToken"].as_u64()?;
    if fence < asked.fence {
        return Some(412);
    }
    asked.fence = fence;
    if order["expectedRevision"]
        .as_u64()
        .is_some_and(|orders| orders != asked.orders)
    {
        return Some(409);
    }
    asked.orders += 1;
    asked.stage = order["stage"].as_str().map(ToOwned::to_owned);
    Some(202)
}

/// Streams the events after `last`; breaks off in the middle of one where it is to.
fn stream_events(
    shared: &Arc<(Mutex<Asked>, Condvar)>,
    id: &str,
    headers: &str,
    breaks: Option<u64>,
    last: u64,
    stream: &mut TcpStream,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut chunk = |text: &str| {
        let text = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(text.as_bytes()).ok()
    };
    for number in last + 1..=4 {
        if breaks.is_some_and(|breaks| number > breaks) {
            chunk(&format!("id: {number}\nda"))?;
            return None;
        }
        let asked = shared.0.lock().expect("the engine");
        let (dead, takes) = (asked.dead, asked.takes);
        drop(asked);
        if dead {
            return None;
        }
        std::thread::sleep(takes);
        chunk(&events(id, number..=number))?;
    }
    let asked = shared.0.lock().expect("the engine");
    let waited = shared.1.wait_while(asked, |asked| asked.held);
    drop(waited.expect("the engine"));
    chunk("")
}

/// Settings of a host that follows the store at this address.
pub fn settings(name: &str, store: SocketAddr) -> String {
    format!(
        "[relay]\nname = {name}\nregion = r\ndomain = z\ncallers = 127.0.0.1:0\n\
         readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         [store]\naddr = {store}\n[bounds]\ngrace = 8s\n"
    )
}

/// A configuration with a route for each kind of request; the short streams stand at `short`.
pub fn config(version: u64, short: &str) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({"name": prefix, "hostname": "127.0.0.1", "prefix": prefix, "type": kind,
            "timeoutMs": 8000, "targetLatencyMs": 2000, "priority": 0, "service": service,
            "maxAttempts": 2, "resumable": prefix == short, "gapTargetMs": 1000})
    };
    json!({
        "version": version,
        "routes": [route("/once/", "non_idempotent", "plain"),
            route("/again/", "idempotent", "plain"),
            route("/long/", "streaming", "model"), route(short, "streaming", "model")],
        "services": [
            {"name": "plain", "healthPath": "/healthz", "maxConnections": 50},
            {"name": "model", "healthPath": "/healthz", "maxConnections": 50, "engine": {
                "slots": 8, "kvCapacity": 100_000, "kvBytes": 18_432, "linkMbps": 370_000.0,
                "kvTtlS": 5.0, "switchS": 0.1}}],
        "limits": {"maxBodyBytes": 4096},
    })
}

/// Headers of a long prompt.
pub const LONG: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "17000,20"),
    ("x-chiveway-prompt-prefix", "aa:13000,bb:4000"),
];
/// Headers of a short prompt.
pub const SHORT: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "300,8"),
    ("x-chiveway-prompt-prefix", "cc:50,dd:250"),
];
