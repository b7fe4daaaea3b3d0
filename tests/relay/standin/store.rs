//! Stand-in of the store.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::http::{Request, listen, write, write_in_parts};
use super::store_state::StoreState;

/// Time between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

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
    for key in txn["remove"].as_array().into_iter().flatten() {
        state.remove(key.as_str()?);
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
