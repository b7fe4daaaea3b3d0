//! Stand-in for the platform's key-value service and its lagging list of hosts.
//!
//! Implements the part of etcd's published v3 API that the program uses, in its JSON-over-HTTP
//! gateway form; unknown fields are refused rather than ignored. Further endpoints:
//!
//! * `GET /hosts` returns the list as it was `lag_ms` ago, `PUT /hosts` replaces the current list,
//!   `POST /hosts` adds one entry to it.
//! * `POST /fault` sets faults, any subset of: `down` (`false`, `true` or `"refuse"` for an
//!   immediate 503, `"hang"` for no answer), `slow_ms` (delay of each answer; the call itself takes
//!   effect without delay), `lose_answers` (this many of the next calls that change keys take
//!   effect, but their connection is closed without an answer), `lose_key` (restricts
//!   `lose_answers` to changes of keys with this prefix), `freeze_watches` (`true`: the watches
//!   that are open now send nothing more), `lag_ms`, `hosts_down` (`GET /hosts` answers 503).
//! * `GET /calls` returns call counts by kind, `POST /calls/reset` resets them.

mod faults;
mod hosts;
mod mvcc;
#[cfg(test)]
mod tests;
mod watches;
mod wire;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ntex::http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::web;

use faults::{CallCounts, CallKind, FaultRequest, Faults, Outage};
use hosts::ListHistory;
pub use hosts::{ListEntry, ListEntryKind, ListEntryState};
use mvcc::MvccStore;
use watches::Watches;
use wire::{
    CompactionRequest, GatewayError, KeyRange, LeaseRequest, PutRequest, RequestOp, TxnRequest,
    WatchRequest,
};

/// Maximum size of a request body: room for several values of 1 MiB in base64.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Start options of the stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    progress_interval: Duration,
    lease_second: Duration,
    history: usize,
    hosts: Vec<ListEntry>,
}

impl Default for Options {
    /// Progress notifications every second, TTLs in real seconds, a history of 100,000 changes, no
    /// hosts.
    fn default() -> Self {
        Self {
            progress_interval: Duration::from_secs(1),
            lease_second: Duration::from_secs(1),
            history: 100_000,
            hosts: Vec::new(),
        }
    }
}

impl Options {
    /// Sets the interval between progress notifications of a watch.
    #[must_use]
    pub fn progress_interval(mut self, interval: Duration) -> Self {
        self.progress_interval = interval;
        self
    }

    /// Sets the real duration of one second of a lease's TTL, so that tests need not wait for real
    /// seconds.
    #[must_use]
    pub fn lease_second(mut self, duration: Duration) -> Self {
        self.lease_second = duration;
        self
    }

    /// Sets how many changes are kept for watches; older ones are compacted.
    #[must_use]
    pub fn history(mut self, changes: usize) -> Self {
        self.history = changes;
        self
    }

    /// Sets the initial list of hosts and backend servers.
    #[must_use]
    pub fn hosts(mut self, list: Vec<ListEntry>) -> Self {
        self.hosts = list;
        self
    }
}

struct State {
    store: MvccStore,
    watches: Watches,
    faults: Faults,
    calls: CallCounts,
    hosts: ListHistory,
    started: Instant,
}

struct Shared {
    state: RefCell<State>,
    /// Notified when faults are set.
    faults_changed: Notify,
}

/// Serves connections of `listener` on this thread until the future is dropped.
pub async fn run(listener: TcpListener, opts: Options) {
    let now = Instant::now();
    let mut hosts = ListHistory::default();
    hosts.set(opts.hosts, now);
    let shared = Rc::new(Shared {
        state: RefCell::new(State {
            store: MvccStore::new(opts.history, opts.lease_second),
            watches: Watches::default(),
            faults: Faults::default(),
            calls: CallCounts::default(),
            hosts,
            started: now,
        }),
        faults_changed: Notify::new(),
    });
    let (_stop, stopped) = watch::channel(false);
    let state = Rc::clone(&shared);
    let serve = web::serve(listener, web::CONNECTION_GRACE, stopped, move |req| {
        handle(Rc::clone(&state), req)
    });
    tokio::select! {
        () = serve => (),
        () = run_timers(&shared, opts.progress_interval) => (),
    }
}

/// Expires leases and sends progress notifications; pauses during an outage.
async fn run_timers(shared: &Shared, progress_interval: Duration) {
    let mut last_progress = Instant::now();
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = Instant::now();
        let mut state = shared.state.borrow_mut();
        if state.faults.outage != Outage::None {
            continue;
        }
        state.expire_and_deliver(now);
        if now.saturating_duration_since(last_progress) >= progress_interval {
            last_progress = now;
            let State { store, watches, .. } = &mut *state;
            watches.send_progress(store);
        }
    }
}

impl State {
    /// Expires leases, unless the service is down, and sends new changes to the watches.
    fn expire_and_deliver(&mut self, now: Instant) {
        if self.faults.outage == Outage::None {
            self.store.expire_leases(now);
        }
        self.watches.deliver(&self.store);
    }

    fn set_faults(&mut self, call: &FaultRequest, now: Instant) {
        let before = self.faults.outage;
        if before == Outage::None {
            self.expire_and_deliver(now);
        }
        self.faults.apply(call);
        match (before, self.faults.outage) {
            (_, Outage::Refuse) => self.watches.close_all(),
            (Outage::Refuse | Outage::Hang, Outage::None) => self.store.renew_leases(now),
            _ => (),
        }
        if call.freeze_watches == Some(true) {
            self.watches.freeze();
        }
    }

    fn execute(
        &mut self,
        kind: CallKind,
        body: &[u8],
        now: Instant,
    ) -> Result<Value, GatewayError> {
        let store = &mut self.store;
        match kind {
            CallKind::Range => {
                parse::<KeyRange>(body).and_then(|keys| store.run_single(RequestOp::Range(keys)))
            }
            CallKind::Put => {
                parse::<PutRequest>(body).and_then(|put| store.run_single(RequestOp::Put(put)))
            }
            CallKind::Delete => {
                parse::<KeyRange>(body).and_then(|keys| store.run_single(RequestOp::Delete(keys)))
            }
            CallKind::Txn => parse::<TxnRequest>(body).and_then(|txn| store.txn(&txn)),
            CallKind::Grant => parse::<LeaseRequest>(body).and_then(|call| store.grant(&call, now)),
            CallKind::Keepalive => {
                parse::<LeaseRequest>(body).map(|call| store.keepalive(&call, now))
            }
            CallKind::Revoke => parse::<LeaseRequest>(body).and_then(|call| store.revoke(call.id)),
            CallKind::TimeLeft => {
                parse::<LeaseRequest>(body).map(|call| store.time_left(&call, now))
            }
            CallKind::Compaction => parse::<CompactionRequest>(body).map(|call| {
                store.compact(call.revision);
                serde_json::json!({"header": wire::response_header(store.revision)})
            }),
            CallKind::Watch => Err(GatewayError::PATH_NOT_FOUND),
        }
    }

    /// Returns whether the answer to a call is to be lost, given the revision before it; counts it
    /// as lost if so.
    fn take_lost_answer(&mut self, before: i64) -> bool {
        let prefix = self.faults.lose_prefix.as_bytes();
        let lost = self.faults.answers_to_lose > 0
            && self
                .store
                .changes_since(before + 1)
                .any(|event| event.key.starts_with(prefix));
        if lost {
            self.faults.answers_to_lose -= 1;
            self.calls.lost += 1;
        }
        lost
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, GatewayError> {
    serde_json::from_slice(body).map_err(|err| {
        log::debug!("cannot parse the request body: {err}");
        GatewayError::INVALID_REQUEST
    })
}

fn call_kind(path: &str) -> Option<CallKind> {
    Some(match path {
        "/v3/kv/range" => CallKind::Range,
        "/v3/kv/put" => CallKind::Put,
        "/v3/kv/deleterange" => CallKind::Delete,
        "/v3/kv/txn" => CallKind::Txn,
        "/v3/kv/compaction" => CallKind::Compaction,
        "/v3/lease/grant" => CallKind::Grant,
        "/v3/lease/keepalive" => CallKind::Keepalive,
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => CallKind::Revoke,
        "/v3/lease/timetolive" | "/v3/kv/lease/timetolive" => CallKind::TimeLeft,
        "/v3/watch" => CallKind::Watch,
        _ => return None,
    })
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response {
    Response::build(status).json(value)
}

fn error_response(error: GatewayError) -> Response {
    json_response(error.status, &error.body())
}

async fn handle(shared: Rc<Shared>, mut req: Request) -> Response {
    let body = match web::read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    match call_kind(req.path()) {
        Some(kind) if req.method() == Method::POST => handle_call(&shared, &req, kind, body).await,
        _ => handle_control(&shared, &req, &body),
    }
}

async fn handle_call(shared: &Shared, req: &Request, kind: CallKind, body: Bytes) -> Response {
    let now = Instant::now();
    let outage = {
        let mut state = shared.state.borrow_mut();
        let started = state.started;
        state.calls.count(kind, started, now);
        if state.faults.outage != Outage::None {
            state.calls.refused += 1;
        }
        state.faults.outage
    };
    match outage {
        Outage::None => (),
        Outage::Refuse => return error_response(GatewayError::NO_LEADER),
        Outage::Hang => {
            wait_for_hang_end(shared).await;
            return close_connection(req);
        }
    }
    if kind == CallKind::Watch {
        return open_watch(shared, &body, now);
    }
    let (result, lost, delay) = {
        let mut state = shared.state.borrow_mut();
        state.expire_and_deliver(now);
        let before = state.store.revision;
        let result = state.execute(kind, &body, now);
        state.expire_and_deliver(now);
        if result.is_err() {
            state.calls.refused += 1;
        }
        (result, state.take_lost_answer(before), state.faults.delay)
    };
    if lost {
        return close_connection(req);
    }
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(err) => error_response(err),
    }
}

/// Waits until the outage is no longer [`Outage::Hang`].
async fn wait_for_hang_end(shared: &Shared) {
    loop {
        let changed = shared.faults_changed.notified();
        if shared.state.borrow().faults.outage != Outage::Hang {
            return;
        }
        changed.await;
    }
}

/// Closes the connection without an answer.
fn close_connection(req: &Request) -> Response {
    if let Some(io) = req.io() {
        io.terminate();
    }
    Response::new(StatusCode::INTERNAL_SERVER_ERROR)
}

fn open_watch(shared: &Shared, body: &[u8], now: Instant) -> Response {
    let mut state = shared.state.borrow_mut();
    state.expire_and_deliver(now);
    match parse::<WatchRequest>(body) {
        Ok(call) => {
            let State {
                store,
                watches,
                calls,
                ..
            } = &mut *state;
            let stream = watches.open(call.create_request, store);
            calls.max_open_watches = calls.max_open_watches.max(watches.open_count());
            Response::build(StatusCode::OK)
                .content_type("application/json")
                .streaming(stream)
        }
        Err(err) => {
            state.calls.refused += 1;
            error_response(err)
        }
    }
}

fn handle_control(shared: &Shared, req: &Request, body: &[u8]) -> Response {
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    match (req.method().as_str(), req.path()) {
        ("GET", "/hosts") => {
            state.calls.hosts += 1;
            if state.faults.hosts_down {
                return error_response(GatewayError::NO_LEADER);
            }
            json_response(
                StatusCode::OK,
                &state.hosts.delayed_by(state.faults.list_lag, now),
            )
        }
        ("POST", "/hosts") => match parse(body) {
            Ok(entry) => {
                state.hosts.add(entry, now);
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => error_response(err),
        },
        ("PUT", "/hosts") => match parse(body) {
            Ok(list) => {
                state.hosts.set(list, now);
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => error_response(err),
        },
        ("POST", "/fault") => match parse::<FaultRequest>(body) {
            Ok(call) => {
                state.set_faults(&call, now);
                shared.faults_changed.notify_waiters();
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => error_response(err),
        },
        ("GET", "/calls") => {
            state.calls.open_watches = state.watches.open_count();
            json_response(StatusCode::OK, &state.calls)
        }
        ("POST", "/calls/reset") => {
            state.calls = CallCounts::default();
            Response::new(StatusCode::NO_CONTENT)
        }
        _ => error_response(GatewayError::PATH_NOT_FOUND),
    }
}
