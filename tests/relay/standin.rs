//! Stand-ins of the platform's services: a store, engines and a plain server.
//!
//! Each connection has a thread, and a lock guards the shared state: a test sends few requests and needs no
//! async runtime.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[path = "torn.rs"]
pub mod torn;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use socket2::SockRef;

use torn::{Break, WIDE_CHAR};

/// A received request.
pub struct Request {
    method: String,
    pub path: String,
    head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
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
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        head,
        body,
    })
}

pub fn write(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()
}

/// Number of parts of a slow page.
const PAGE_PARTS: usize = 40;

/// Writes a success in parts, with a pause before each.
fn write_in_parts(
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

/// Serves each connection on its own thread; `serve` returns `None` to close the connection.
pub fn listen(
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
                if SockRef::from(&out).linger().ok().flatten().is_none() {
                    drop(out.shutdown(Shutdown::Both));
                }
            });
        }
    });
    addr
}

/// One write: key, value (`None` for a deletion), revision, creation revision.
type Change = (String, Option<Vec<u8>>, i64, i64);

/// Time between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Prefixes of the keys that the operator and the servers write.
const EXTERNAL_KEY_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// A snapshot of the store.
#[derive(Clone, Default)]
struct Backup {
    revision: i64,
    keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    last_lease: i64,
    leases: BTreeMap<i64, Duration>,
    key_leases: BTreeMap<String, i64>,
}

#[derive(Default)]
struct StoreState {
    revision: i64,
    keys: BTreeMap<String, (Vec<u8>, i64, i64)>,
    history: Vec<Change>,
    /// Number of restores.
    restores: u64,
    /// Snapshots, oldest first.
    backups: Vec<(Instant, Backup)>,
    /// Writes of the operator and the servers that a restore lost: key and value, `None` for a deletion.
    lost_writes: BTreeMap<String, Option<Vec<u8>>>,
    down: bool,
    /// Whether calls and answers are discarded, with their connections left open.
    hung: bool,
    /// Watches that were discarded.
    hung_watches: u32,
    /// Answered renewals, by lease.
    renewals: BTreeMap<i64, u32>,
    /// Number of next writes to apply without an answer.
    lost_replies: u32,
    /// Id of the last granted lease.
    last_lease: i64,
    /// Duration and expiry of each lease.
    leases: BTreeMap<i64, (Duration, Instant)>,
    /// Lease of each key that a transaction wrote; 0 for none.
    key_leases: BTreeMap<String, i64>,
    /// Pause before each part of a page; zero to write pages at once.
    page_pause: Duration,
}

impl StoreState {
    fn grant(&mut self, millis: u64) -> i64 {
        self.last_lease += 1;
        let ttl = Duration::from_millis(millis);
        self.leases
            .insert(self.last_lease, (ttl, Instant::now() + ttl));
        self.save_backup();
        self.last_lease
    }

    /// Saves a snapshot of the present state.
    fn save_backup(&mut self) {
        let backup = Backup {
            revision: self.revision,
            keys: self.keys.clone(),
            last_lease: self.last_lease,
            leases: self
                .leases
                .iter()
                .map(|(lease, (ttl, _))| (*lease, *ttl))
                .collect(),
            key_leases: self.key_leases.clone(),
        };
        self.backups.push((Instant::now(), backup));
    }

    /// Restores the snapshot of a revision, or the empty state.
    fn restore(&mut self, revision: i64) {
        let now = Instant::now();
        let older = |(_, backup): &&(Instant, Backup)| backup.revision <= revision;
        let found = self.backups.iter().rev().find(older);
        let backup = found.map_or_else(Backup::default, |(_, backup)| backup.clone());
        self.restores += 1;
        self.backups
            .retain(|(_, snapshot)| snapshot.revision <= backup.revision);
        self.history
            .retain(|(.., revision, _)| *revision <= backup.revision);
        let before = std::mem::replace(&mut self.keys, backup.keys);
        let is_external = |key: &&String| {
            EXTERNAL_KEY_PREFIXES
                .iter()
                .any(|start| key.starts_with(start))
        };
        let mut lost = BTreeMap::new();
        for key in self.keys.keys().filter(is_external) {
            lost.insert(key.clone(), None);
        }
        for (key, (value, ..)) in before {
            if !is_external(&&key) {
                continue;
            }
            if self
                .keys
                .get(&key)
                .is_some_and(|(restored, ..)| *restored == value)
            {
                lost.remove(&key);
            } else {
                lost.insert(key, Some(value));
            }
        }
        for (key, value) in lost {
            // The write that an earlier restore lost is newer than the value that this one lost.
            self.lost_writes.entry(key).or_insert(value);
        }
        self.revision = backup.revision;
        self.last_lease = backup.last_lease;
        self.key_leases = backup.key_leases;
        let leases = backup.leases.into_iter();
        self.leases = leases
            .map(|(lease, ttl)| (lease, (ttl, now + ttl)))
            .collect();
    }

    /// Repeats the writes of the operator and the servers that a restore lost.
    fn rewrite_lost(&mut self) {
        for (key, value) in std::mem::take(&mut self.lost_writes).into_iter().rev() {
            match value {
                Some(value) => self.write(&key, value),
                None => self.remove(&key),
            }
        }
    }

    fn renew(&mut self, lease: i64) -> Option<()> {
        let (ttl, end) = self.leases.get_mut(&lease)?;
        *end = Instant::now() + *ttl;
        Some(())
    }

    fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys = self
            .key_leases
            .iter()
            .filter(|(_, key_lease)| **key_lease == lease);
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
        self.key_leases.remove(key);
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), None, self.revision, 0));
            self.save_backup();
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
        self.save_backup();
    }

    /// Returns the era header of every answer.
    fn era(&self) -> String {
        format!("store-era: {}\r\n", self.restores + 1)
    }
}

/// Stand-in of the store.
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new((Mutex::new(StoreState::default()), Condvar::new()));
        let shared = Arc::clone(&state);
        let addr =
            listen(move |request, stream| serve_store(&shared, &Addrs::default(), request, stream));
        let timed: Arc<(Mutex<StoreState>, Condvar)> = Arc::clone(&state);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(EXPIRY_INTERVAL);
                let mut state = timed.0.lock().expect("the store");
                let before = state.revision;
                state.expire();
                if state.revision > before {
                    timed.1.notify_all();
                }
            }
        });
        Self { addr, state }
    }

    /// Opens another address of this store, at which entries name other addresses.
    pub fn view(&self, addrs: &Addrs) -> SocketAddr {
        let (shared, addrs) = (Arc::clone(&self.state), Arc::clone(addrs));
        listen(move |request, stream| serve_store(&shared, &addrs, request, stream))
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.lost_writes.remove(key);
        state.remove(key);
        self.state.1.notify_all();
    }

    /// Pauses so long before each of [`PAGE_PARTS`] parts of a page.
    pub fn slow_pages(&self, pause: Duration) {
        self.state.0.lock().expect("the store").page_pause = pause;
    }

    /// Answers new calls again; discarded ones remain without an answer.
    pub fn recover(&self) {
        let mut state = self.state.0.lock().expect("the store");
        state.down = false;
        state.hung = false;
    }

    /// Accepts every call from now on and answers none, pending ones included: their connections stay open
    /// without data, also after the store has recovered.
    pub fn hang(&self) {
        self.state.0.lock().expect("the store").hung = true;
    }

    /// Returns how many watches were discarded.
    pub fn hung_watches(&self) -> u32 {
        self.state.0.lock().expect("the store").hung_watches
    }

    /// Returns the number of answered renewals of a key's lease.
    pub fn renewals(&self, key: &str) -> u32 {
        let state = self.state.0.lock().expect("the store");
        let lease = state.key_leases.get(key);
        let renewals = lease.and_then(|lease| state.renewals.get(lease));
        renewals.copied().unwrap_or(0)
    }

    /// Applies the next writes without an answer.
    pub fn drop_replies(&self, writes: u32) {
        self.state.0.lock().expect("the store").lost_replies = writes;
    }

    pub fn put(&self, key: &str, value: &Value) {
        let (state, changed) = &*self.state;
        let value = value.to_string().into_bytes();
        let mut state = state.lock().expect("the store");
        state.lost_writes.remove(key);
        state.write(key, value);
        drop(state);
        changed.notify_all();
    }

    /// Returns whether it holds a key with this prefix.
    pub fn has_prefix(&self, prefix: &str) -> bool {
        let state = self.state.0.lock().expect("the store");
        state.keys.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns the revision at which a key was created.
    pub fn created(&self, key: &str) -> Option<i64> {
        let state = self.state.0.lock().expect("the store");
        state.keys.get(key).map(|(.., created)| *created)
    }

    /// Restores the snapshot of a revision; later writes are lost.
    pub fn restore(&self, revision: i64) {
        let (state, changed) = &*self.state;
        state.lock().expect("the store").restore(revision);
        changed.notify_all();
    }

    /// Returns the revision of `ago` before now, or 0.
    pub fn revision_before(&self, ago: Duration) -> i64 {
        let state = self.state.0.lock().expect("the store");
        let mut backups = state.backups.iter().rev();
        let older = backups.find(|(at, _)| at.elapsed() >= ago);
        older.map_or(0, |(_, backup)| backup.revision)
    }

    /// Repeats the writes of the operator and the servers that a restore lost, in another order.
    pub fn rewrite_lost(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("the store").rewrite_lost();
        changed.notify_all();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> i64 {
        self.state.0.lock().expect("the store").revision
    }

    /// Closes every connection on its next request.
    pub fn go_down(&self) {
        self.state.0.lock().expect("the store").down = true;
    }
}

/// Addresses in entries, and those that a view of the store shows in their place.
pub type Addrs = Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>;

fn item((key, value): (&str, &[u8]), revision: i64, created: i64, addrs: &Addrs) -> Value {
    let mut value = value.to_vec();
    if key.starts_with("servers/") {
        let mut entry: Value = serde_json::from_slice(&value).expect("an entry");
        let addrs = addrs.lock().expect("the addresses");
        let shown = addrs
            .iter()
            .find(|(written, _)| entry["address"] == json!(written.to_string()));
        if let Some((_, shown)) = shown {
            entry["address"] = json!(shown.to_string());
            value = entry.to_string().into_bytes();
        }
    }
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": created})
}

/// Reads and discards data on a connection until the peer closes it.
fn discard(stream: &mut TcpStream) -> Option<()> {
    // A reset also ends the connection.
    let _ended = std::io::copy(stream, &mut std::io::sink());
    None
}

/// Applies a transaction; returns the status code if it is rejected.
fn txn(state: &mut StoreState, body: &[u8]) -> Option<Result<(), u16>> {
    let txn: Value = serde_json::from_slice(body).ok()?;
    let holds = txn["expectedRevision"].as_array()?.iter().all(|row| {
        let known = row["key"].as_str().and_then(|key| state.keys.get(key));
        known.map_or(0, |(_, revision, _)| *revision) == row["revision"].as_i64().unwrap_or(0)
    });
    if !holds {
        return Some(Err(412));
    }
    for row in txn["setKeys"].as_array()? {
        let value = STANDARD.decode(row["value"].as_str()?).ok()?;
        let key = row["key"].as_str()?;
        let lease = row["lease"].as_i64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return Some(Err(404));
        }
        state.key_leases.insert(key.to_owned(), lease);
        state.write(key, value);
    }
    Some(Ok(()))
}

fn serve_store(
    shared: &Arc<(Mutex<StoreState>, Condvar)>,
    view: &Addrs,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let (state, changed) = &**shared;
    let mut state = state.lock().expect("the store");
    if state.down {
        return None;
    }
    if state.hung {
        state.hung_watches += u32::from(request.path.starts_with("/v1/kv-watch"));
        drop(state);
        return discard(stream);
    }
    state.expire();
    let path = request.path.split('?').next()?;
    let answer = match (request.method.as_str(), path) {
        ("GET", "/v1/kv-range") => {
            let items = state.keys.iter();
            let items = items.map(|(key, (value, revision, created))| {
                item((key, value), *revision, *created, view)
            });
            json!({"items": items.collect::<Vec<_>>(), "hasMore": false, "at": state.revision})
        }
        ("GET", "/v1/kv-watch") => {
            let after: i64 = request.query("after")?.parse().ok()?;
            let wait = request.query("waitMs")?.parse().ok()?;
            let restores = state.restores;
            if after > state.revision {
                let era = state.era();
                drop(state);
                return write(stream, 410, &era, "{}");
            }
            let is_pending =
                |state: &mut StoreState| state.revision <= after && state.restores == restores;
            let wait = Duration::from_millis(wait);
            state = changed
                .wait_timeout_while(state, wait, is_pending)
                .expect("the store")
                .0;
            if state.hung {
                state.hung_watches += 1;
                drop(state);
                return discard(stream);
            }
            if state.restores != restores {
                return None;
            }
            let new = state
                .history
                .iter()
                .filter(|(.., revision, _)| *revision > after);
            let events = new.map(|(key, value, revision, created)| match value {
                Some(value) => item((key, value), *revision, *created, view),
                None => json!({"key": key, "revision": revision, "deleted": true}),
            });
            json!({"events": events.collect::<Vec<_>>(), "at": state.revision})
        }
        ("POST", "/v1/kv-txn") => match txn(&mut state, &request.body)? {
            Ok(()) => {
                changed.notify_all();
                if state.lost_replies > 0 {
                    state.lost_replies -= 1;
                    return None;
                }
                json!({"revision": state.revision})
            }
            Err(status) => return write(stream, status, &state.era(), r#"{"items":[]}"#),
        },
        ("POST", "/v1/kv-lease") => {
            let grant: Value = serde_json::from_slice(&request.body).ok()?;
            let millis = grant["ttlMs"].as_u64()?;
            json!({"lease": state.grant(millis), "ttlMs": millis})
        }
        ("POST", path) if path.starts_with("/v1/kv-keep/") => {
            let lease = path.rsplit('/').next()?.parse().ok()?;
            if state.renew(lease).is_none() {
                return write(stream, 404, &state.era(), "{}");
            }
            *state.renewals.entry(lease).or_default() += 1;
            json!({})
        }
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
            state.end(path.rsplit('/').next()?.parse().ok()?);
            changed.notify_all();
            json!({})
        }
        _ => json!({}),
    };
    let era = state.era();
    let is_page = path == "/v1/kv-range" && request.query("serializable").is_none();
    let pause = state.page_pause;
    drop(state);
    let body = answer.to_string();
    if is_page && !pause.is_zero() {
        return write_in_parts(stream, &era, &body, pause);
    }
    write(stream, 200, &era, &body)
}

#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of a stand-in"
)]
struct EngineState {
    stage: Option<String>,
    /// Version of its software.
    version: String,
    requests: Vec<(String, String, Vec<u8>)>,
    /// Whether its answers state that it is leaving.
    leaving: bool,
    /// Seconds of pushback that it names with a refusal of each request.
    pushback: Option<String>,
    /// Value of the limit header in its answers.
    limit: Option<String>,
    /// Number of events after which the next new stream breaks off.
    break_after: Option<u64>,
    /// How the next answer to a caller's request is broken off; shared by servers of which one does.
    torn: Arc<Mutex<Option<Break>>>,
    /// Whether its streams have no events.
    is_empty: bool,
    /// Request id of the next answer, in place of the real one.
    answer_id: Option<String>,
    held: bool,
    /// Delay of each answer and of each event of a stream.
    delay: Duration,
    /// Whether the process has crashed.
    crashed: bool,
    /// Body of the request that crashes the process when it begins to run it.
    poison: Option<Vec<u8>>,
    poisoned_at: Option<Instant>,
    /// Number of accepted orders.
    orders: u64,
    /// Highest fencing token received.
    fence: u64,
}

/// Stand-in of an engine, or of a plain server.
pub struct Engine {
    pub id: String,
    addr: SocketAddr,
    shared: Arc<(Mutex<EngineState>, Condvar)>,
}

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Number of events of a stream.
pub const EVENT_COUNT: u64 = 4;

/// Returns the events of a stream.
pub fn events(id: &str, numbers: RangeInclusive<u64>) -> String {
    let event = |number: u64| format!("id: {number}\ndata: {id} {WIDE_CHAR}\n\n");
    numbers.map(event).collect()
}

/// Returns the engine that sent each complete event of a stream.
pub fn senders(text: &str) -> Vec<String> {
    let events = text.split_inclusive("\n\n");
    let complete = events.filter_map(|event| event.strip_suffix("\n\n"));
    let data = complete.filter_map(|event| event.split_once("\ndata: "));
    data.filter_map(|(_, data)| Some(data.split_once(' ')?.0.to_owned()))
        .collect()
}

impl Engine {
    pub fn plain(id: &str) -> Self {
        Self::start(id, None)
    }

    pub fn model(id: &str, stage: &str) -> Self {
        Self::start(id, Some(stage.to_owned()))
    }

    fn start(id: &str, stage: Option<String>) -> Self {
        let initial = EngineState {
            stage,
            version: "v1".to_owned(),
            ..EngineState::default()
        };
        let shared = Arc::new((Mutex::new(initial), Condvar::new()));
        let (handle, name) = (Arc::clone(&shared), id.to_owned());
        let addr = listen(move |request, stream| serve_engine(&handle, &name, request, stream));
        Self {
            id: id.to_owned(),
            addr,
            shared,
        }
    }

    /// Sets the version of its software.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut self.shared.0.lock().expect("the engine").version);
    }

    /// Returns the version of its software.
    pub fn version(&self) -> String {
        self.shared.0.lock().expect("the engine").version.clone()
    }

    /// Returns its entry in the store.
    pub fn entry(&self, reported_state: &str) -> Value {
        let stage = self.shared.0.lock().expect("the engine").stage.clone();
        let version = self.version();
        let service = if stage.is_some() { "model" } else { "plain" };
        json!({"service": service, "address": self.addr.to_string(), "zone": "z", "version": version,
            "slots": 8, "state": reported_state, "coldRemainingMs": 0, "stage": stage, "sequence": 1,
            "born": 1})
    }

    /// Returns the heads of the requests received on a path.
    pub fn request_heads(&self, path: &str) -> Vec<String> {
        let state = self.shared.0.lock().expect("the engine");
        let matching = state
            .requests
            .iter()
            .filter(|(requested, ..)| requested == path);
        matching.map(|(_, head, _)| head.clone()).collect()
    }

    /// Returns the JSON bodies received on a path.
    pub fn request_bodies(&self, path: &str) -> Vec<Value> {
        let state = self.shared.0.lock().expect("the engine");
        let matching = state
            .requests
            .iter()
            .filter(|(requested, ..)| requested == path);
        matching
            .filter_map(|(.., body)| serde_json::from_slice(body).ok())
            .collect()
    }

    /// Breaks the next new stream off in the middle of the event after `events`.
    pub fn break_after(&self, events: u64) {
        self.shared.0.lock().expect("the engine").break_after = Some(events);
    }

    /// Breaks the next answer to a caller's request off, at whichever of these servers it is.
    pub fn tear_next(engines: &[&Self], how: Break) {
        let shared = Arc::new(Mutex::new(Some(how)));
        for engine in engines {
            engine.shared.0.lock().expect("the engine").torn = Arc::clone(&shared);
        }
    }

    /// Cancels [`tear_next`](Self::tear_next).
    pub fn clear_tear(&self) {
        let state = self.shared.0.lock().expect("the engine");
        state.torn.lock().expect("the break").take();
    }

    /// Returns whether the answer of [`tear_next`](Self::tear_next) was broken off.
    pub fn has_torn(&self) -> bool {
        let state = self.shared.0.lock().expect("the engine");
        let torn = state.torn.lock().expect("the break");
        torn.is_none()
    }

    /// Sends streams without events from now on.
    pub fn send_no_events(&self) {
        self.shared.0.lock().expect("the engine").is_empty = true;
    }

    /// Cancels [`break_after`](Self::break_after).
    pub fn clear_break(&self) {
        self.shared.0.lock().expect("the engine").break_after = None;
    }

    /// States in each answer from now on that it is leaving.
    pub fn state_leaving(&self) {
        self.shared.0.lock().expect("the engine").leaving = true;
    }

    /// Refuses each request from now on, and names so many seconds of pushback.
    pub fn refuse(&self, pushback: &str) {
        self.shared.0.lock().expect("the engine").pushback = Some(pushback.to_owned());
    }

    /// Adds a limit header to each answer from now on.
    pub fn set_limit(&self, rate: &str) {
        self.shared.0.lock().expect("the engine").limit = Some(rate.to_owned());
    }

    /// Answers the next request with another request's id.
    pub fn answer_as(&self, id: &str) {
        self.shared.0.lock().expect("the engine").answer_id = Some(id.to_owned());
    }

    /// Returns all requests except load reports: path, head and body.
    pub fn requests(&self) -> Vec<(String, String, Vec<u8>)> {
        let state = self.shared.0.lock().expect("the engine");
        let all = state
            .requests
            .iter()
            .filter(|(path, ..)| path != "/v1/report");
        all.cloned().collect()
    }

    /// Returns the number of callers' requests that it received, prefills included.
    pub fn caller_requests(&self) -> usize {
        let all = self.requests().into_iter();
        all.filter(|(path, ..)| !path.starts_with("/v1/")).count()
    }

    /// Returns its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the delay of each answer and of each event of a stream.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.0.lock().expect("the engine").delay = delay;
    }

    /// Breaks all streams off and closes every connection on its next request.
    pub fn crash(&self) {
        self.shared.0.lock().expect("the engine").crashed = true;
    }

    /// Crashes when it begins to run a request with this body.
    pub fn crash_on(&self, body: &[u8]) {
        self.shared.0.lock().expect("the engine").poison = Some(body.to_vec());
    }

    /// Returns when it crashed while it ran that request.
    pub fn poisoned_at(&self) -> Option<Instant> {
        self.shared.0.lock().expect("the engine").poisoned_at
    }

    /// Holds back the ends of streams.
    pub fn hold_streams(&self) {
        self.shared.0.lock().expect("the engine").held = true;
    }

    /// Releases the ends of streams.
    pub fn release_streams(&self) {
        self.shared.0.lock().expect("the engine").held = false;
        self.shared.1.notify_all();
    }
}

fn serve_engine(
    shared: &Arc<(Mutex<EngineState>, Condvar)>,
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let mut state = shared.0.lock().expect("the engine");
    if state.crashed {
        return None;
    }
    if request
        .header("x-chiveway-expect-instance")
        .is_some_and(|instance| instance != id)
    {
        drop(state);
        return write(stream, 421, "", "");
    }
    if request.method == "GET" && request.path == HEALTH_PATH {
        drop(state);
        return write(stream, 200, "", "");
    }
    let delay = state.delay;
    let received = (
        request.path.clone(),
        request.head.clone(),
        request.body.clone(),
    );
    state.requests.push(received);
    let own = request
        .header("x-chiveway-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let attempt = state.answer_id.take().unwrap_or(own);
    let mut headers = format!(
        "x-chiveway-attempt-id: {attempt}\r\nx-chiveway-server-stamp: {id}\r\nkeep-alive: timeout=5\r\n"
    );
    if let Some(rate) = &state.limit {
        // Writing to a string does not fail.
        let _ = write!(headers, "server-limit: {rate}\r\n");
    }
    if state.leaving {
        headers.push_str("server-leaving: 1\r\n");
    }
    match request.path.as_str() {
        "/v1/report" => {
            let body = json!({"stage": state.stage, "busy": false, "sequence": state.orders});
            return write(stream, 200, "", &body.to_string());
        }
        "/v1/order" => return write(stream, apply_order(&mut state, &request.body)?, "", "{}"),
        _ => {}
    }
    if let Some(pushback) = &state.pushback {
        let headers = format!("{headers}x-chiveway-not-executed: 1\r\nretry-after: {pushback}\r\n");
        return write(stream, 503, &headers, "");
    }
    let is_prefill = request.header("x-chiveway-serving-stage") == Some("prefill");
    let is_poison = state.poison.as_ref() == Some(&request.body);
    if is_poison && !is_prefill {
        state.crashed = true;
        state.poisoned_at = Some(Instant::now());
    }
    if state.crashed && state.stage.is_none() {
        return None;
    }
    let torn = if is_prefill {
        None
    } else {
        state.torn.lock().expect("the break").take()
    };
    let last = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    if let (Some(torn), Some(_)) = (torn, &state.stage) {
        drop(state);
        return torn.write(&headers, &events(id, last + 1..=EVENT_COUNT), stream);
    }
    if state.stage.is_none() {
        let body = String::from_utf8_lossy(&request.body);
        let body = format!("{id} {} {body}", request.path);
        drop(state);
        if let Some(torn) = torn {
            return torn.write(&headers, &body, stream);
        }
        std::thread::sleep(delay);
        return write(stream, 200, &headers, &body);
    }
    if is_prefill {
        drop(state);
        std::thread::sleep(delay);
        let body = json!({"kvHandle": "h1", "tokenCount": 1, "version": 1}).to_string();
        return write(stream, 200, &headers, &body);
    }
    let is_new = request.header("last-event-id").is_none();
    let break_after = if is_new {
        state.break_after.take()
    } else {
        None
    };
    let last = if state.is_empty { EVENT_COUNT } else { last };
    drop(state);
    stream_events(shared, id, &headers, break_after, last, stream)
}

/// Applies an order; returns the status code.
fn apply_order(state: &mut EngineState, body: &[u8]) -> Option<u16> {
    let order: Value = serde_json::from_slice(body).ok()?;
    let fence = order["fencingToken"].as_u64()?;
    if fence < state.fence {
        return Some(412);
    }
    state.fence = fence;
    if order["expectedRevision"]
        .as_u64()
        .is_some_and(|orders| orders != state.orders)
    {
        return Some(409);
    }
    state.orders += 1;
    state.stage = order["stage"].as_str().map(ToOwned::to_owned);
    Some(202)
}

/// Streams the events after `last`; breaks off in the middle of the one after `break_after`.
fn stream_events(
    shared: &Arc<(Mutex<EngineState>, Condvar)>,
    id: &str,
    headers: &str,
    break_after: Option<u64>,
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
    for number in last + 1..=EVENT_COUNT {
        if break_after.is_some_and(|break_after| number > break_after) {
            chunk(&format!("id: {number}\nda"))?;
            return None;
        }
        let state = shared.0.lock().expect("the engine");
        let (crashed, delay) = (state.crashed, state.delay);
        drop(state);
        if crashed {
            return None;
        }
        std::thread::sleep(delay);
        chunk(&events(id, number..=number))?;
    }
    let state = shared.0.lock().expect("the engine");
    let waited = shared.1.wait_while(state, |state| state.held);
    drop(waited.expect("the engine"));
    chunk("")
}

/// Settings of a host that uses the store at this address.
pub fn settings(name: &str, store: SocketAddr) -> String {
    format!(
        "[relay]\nname = {name}\nregion = r\ndomain = z\ncallers = 127.0.0.1:0\n\
         readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         [store]\naddr = {store}\n[bounds]\ngrace = 8s\n"
    )
}

/// A configuration with a route for each kind of request; `short` is the route of resumable streams.
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
            {"name": "plain", "healthPath": HEALTH_PATH, "maxConnections": 50},
            {"name": "model", "healthPath": HEALTH_PATH, "maxConnections": 50, "engine": {
                "slots": 8, "kvCapacity": 100_000, "kvBytes": 18_432, "linkMbps": 370_000.0,
                "kvTtlS": 5.0, "switchS": 0.1}}],
        "limits": {"maxBodyBytes": 4096},
    })
}

/// Headers of a long prompt.
pub const LONG_PROMPT: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "17000,20"),
    ("x-chiveway-prompt-prefix", "aa:13000,bb:4000"),
];
/// Headers of a short prompt.
pub const SHORT_PROMPT: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "300,8"),
    ("x-chiveway-prompt-prefix", "cc:50,dd:250"),
];
