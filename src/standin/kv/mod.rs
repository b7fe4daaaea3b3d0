//! Stand-in for the platform's key-value service and its lagging list of hosts.
//!
//! Speaks the JSON-over-HTTP gateway form of etcd's published v3 API as far as the program uses
//! it; fields it does not know are refused rather than ignored. Beside it:
//!
//! * `GET /hosts` shows the list as it was `lag_ms` ago, `PUT /hosts` replaces the true one,
//!   `POST /hosts` adds one entry to it.
//! * `POST /fault` sets the switches, any subset of: `down` (`false`, `true` or `"refuse"` for
//!   503 at once, `"hang"` for no answer), `slow_ms` (delay of each answer; the call itself takes
//!   effect at once), `lose_answers` (that many of the next changes of keys take effect and the
//!   connection is closed without an answer), `lose_key` (loses only answers of changes below
//!   this prefix), `freeze_watches` (`true`: watches open now stay silent for good), `lag_ms`,
//!   `hosts_down` (the list answers 503).
//! * `GET /calls` counts calls by kind, `POST /calls/reset` starts the counts again.

mod data;
mod faults;
mod hosts;
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

use data::Data;
use faults::{Calls, FaultCall, Faults, Outage, Sort};
use hosts::Hosts;
pub use hosts::{Entry as HostEntry, Kind as HostKind, State as HostState};
use watches::Watches;
use wire::{Compaction, Fail, Keys, LeaseCall, Put, Step, Txn, WatchCall};

/// Most bytes of a request: some values of a megabyte in base64.
const MAX_BODY: usize = 16 * 1024 * 1024;
/// Time a caller has to send its request.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time between two looks for leases that lapsed.
const TICK: Duration = Duration::from_millis(20);

/// How the stand-in behaves.
#[derive(Debug, Clone)]
pub struct Options {
    progress: Duration,
    second: Duration,
    history: usize,
    hosts: Vec<HostEntry>,
}

impl Default for Options {
    /// Progress every second, leases in real seconds, 100,000 changes remembered, no hosts.
    fn default() -> Self {
        Self {
            progress: Duration::from_secs(1),
            second: Duration::from_secs(1),
            history: 100_000,
            hosts: Vec::new(),
        }
    }
}

impl Options {
    /// Sets the time between two progress notifications of a watch.
    #[must_use]
    pub fn progress(mut self, time: Duration) -> Self {
        self.progress = time;
        self
    }

    /// Sets how long one second of a lease lasts, so that tests need not wait for real ones.
    #[must_use]
    pub fn second(mut self, time: Duration) -> Self {
        self.second = time;
        self
    }

    /// Sets how many changes are remembered for watches; older ones are compacted away.
    #[must_use]
    pub fn history(mut self, changes: usize) -> Self {
        self.history = changes;
        self
    }

    /// Sets the list of hosts and backend servers to start with.
    #[must_use]
    pub fn hosts(mut self, list: Vec<HostEntry>) -> Self {
        self.hosts = list;
        self
    }
}

struct State {
    data: Data,
    watches: Watches,
    faults: Faults,
    calls: Calls,
    hosts: Hosts,
    start: Instant,
}

struct Shared {
    state: RefCell<State>,
    /// Told when the switches change.
    changed: Notify,
}

/// Serves connections of `listener` on this thread until the future is dropped.
pub async fn run(listener: TcpListener, opts: Options) {
    let now = Instant::now();
    let mut hosts = Hosts::default();
    hosts.set(opts.hosts, now);
    let shared = Rc::new(Shared {
        state: RefCell::new(State {
            data: Data::new(opts.history, opts.second),
            watches: Watches::default(),
            faults: Faults::default(),
            calls: Calls::default(),
            hosts,
            start: now,
        }),
        changed: Notify::new(),
    });
    let (_stop, stopped) = watch::channel(false);
    let at = Rc::clone(&shared);
    let serve = web::serve(listener, web::CONNECTION_GRACE, stopped, move |req| {
        answer(Rc::clone(&at), req)
    });
    tokio::select! {
        () = serve => (),
        () = tick(&shared, opts.progress) => (),
    }
}

async fn tick(shared: &Shared, progress: Duration) {
    let mut told = Instant::now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let mut state = shared.state.borrow_mut();
        if state.faults.outage != Outage::None {
            continue;
        }
        state.settle(now);
        if now.saturating_duration_since(told) >= progress {
            told = now;
            let State { data, watches, .. } = &mut *state;
            watches.progress(data);
        }
    }
}

impl State {
    /// Ends leases that are over and tells the watches what is new.
    fn settle(&mut self, now: Instant) {
        if self.faults.outage == Outage::None {
            self.data.lapse(now);
        }
        self.watches.tell(&self.data);
    }

    fn fault(&mut self, call: &FaultCall, now: Instant) {
        let before = self.faults.outage;
        if before == Outage::None {
            self.settle(now);
        }
        self.faults.apply(call);
        match (before, self.faults.outage) {
            (_, Outage::Refuse) => self.watches.close(),
            (Outage::Refuse | Outage::Hang, Outage::None) => self.data.renew(now),
            _ => (),
        }
        if call.freeze_watches == Some(true) {
            self.watches.freeze();
        }
    }

    fn run(&mut self, sort: Sort, body: &[u8], now: Instant) -> Result<Value, Fail> {
        let data = &mut self.data;
        match sort {
            Sort::Range => parse::<Keys>(body).and_then(|keys| data.single(Step::Range(keys))),
            Sort::Put => parse::<Put>(body).and_then(|put| data.single(Step::Put(put))),
            Sort::Delete => parse::<Keys>(body).and_then(|keys| data.single(Step::Delete(keys))),
            Sort::Txn => parse::<Txn>(body).and_then(|txn| data.txn(&txn)),
            Sort::Grant => parse::<LeaseCall>(body).and_then(|call| data.grant(&call, now)),
            Sort::Keepalive => parse::<LeaseCall>(body).map(|call| data.keepalive(&call, now)),
            Sort::Revoke => parse::<LeaseCall>(body).and_then(|call| data.revoke(call.id)),
            Sort::TimeLeft => parse::<LeaseCall>(body).map(|call| data.time_left(&call, now)),
            Sort::Compaction => parse::<Compaction>(body).map(|call| {
                data.forget(call.revision);
                serde_json::json!({"header": wire::header(data.revision)})
            }),
            Sort::Watch => Err(Fail::NO_PATH),
        }
    }

    /// Tells whether the answer to a change made after revision `before` is to be lost.
    fn loses(&mut self, before: i64) -> bool {
        let prefix = self.faults.lose_key.as_bytes();
        let lost = self.faults.lose > 0
            && self
                .data
                .since(before + 1)
                .any(|event| event.key.starts_with(prefix));
        if lost {
            self.faults.lose -= 1;
            self.calls.lost += 1;
        }
        lost
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fail> {
    serde_json::from_slice(body).map_err(|err| {
        log::debug!("request not understood: {err}");
        Fail::BAD_JSON
    })
}

fn sort(path: &str) -> Option<Sort> {
    Some(match path {
        "/v3/kv/range" => Sort::Range,
        "/v3/kv/put" => Sort::Put,
        "/v3/kv/deleterange" => Sort::Delete,
        "/v3/kv/txn" => Sort::Txn,
        "/v3/kv/compaction" => Sort::Compaction,
        "/v3/lease/grant" => Sort::Grant,
        "/v3/lease/keepalive" => Sort::Keepalive,
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Sort::Revoke,
        "/v3/lease/timetolive" | "/v3/kv/lease/timetolive" => Sort::TimeLeft,
        "/v3/watch" => Sort::Watch,
        _ => return None,
    })
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response {
    Response::build(status).json(value)
}

fn fail(fail: Fail) -> Response {
    json(fail.status, &fail.body())
}

async fn answer(shared: Rc<Shared>, mut req: Request) -> Response {
    let body = match web::read_body(&mut req, MAX_BODY, BODY_TIME).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    match sort(req.path()) {
        Some(sort) if req.method() == Method::POST => call(&shared, &req, sort, body).await,
        _ => control(&shared, &req, &body),
    }
}

async fn call(shared: &Shared, req: &Request, sort: Sort, body: Bytes) -> Response {
    let now = Instant::now();
    let outage = {
        let mut state = shared.state.borrow_mut();
        let start = state.start;
        state.calls.count(sort, start, now);
        if state.faults.outage != Outage::None {
            state.calls.refused += 1;
        }
        state.faults.outage
    };
    match outage {
        Outage::None => (),
        Outage::Refuse => return fail(Fail::NO_LEADER),
        Outage::Hang => {
            hang(shared).await;
            return hang_up(req);
        }
    }
    if sort == Sort::Watch {
        return open(shared, &body, now);
    }
    let (result, lost, slow) = {
        let mut state = shared.state.borrow_mut();
        state.settle(now);
        let before = state.data.revision;
        let result = state.run(sort, &body, now);
        state.settle(now);
        if result.is_err() {
            state.calls.refused += 1;
        }
        (result, state.loses(before), state.faults.slow)
    };
    if lost {
        return hang_up(req);
    }
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    match result {
        Ok(value) => json(StatusCode::OK, &value),
        Err(err) => fail(err),
    }
}

/// Waits until the service no longer hangs.
async fn hang(shared: &Shared) {
    loop {
        let changed = shared.changed.notified();
        if shared.state.borrow().faults.outage != Outage::Hang {
            return;
        }
        changed.await;
    }
}

/// Closes the connection without an answer.
fn hang_up(req: &Request) -> Response {
    if let Some(io) = req.io() {
        io.terminate();
    }
    Response::new(StatusCode::INTERNAL_SERVER_ERROR)
}

fn open(shared: &Shared, body: &[u8], now: Instant) -> Response {
    let mut state = shared.state.borrow_mut();
    state.settle(now);
    match parse::<WatchCall>(body) {
        Ok(call) => {
            let State {
                data,
                watches,
                calls,
                ..
            } = &mut *state;
            let stream = watches.open(call.create_request, data);
            calls.most_waiting = calls.most_waiting.max(watches.waiting());
            Response::build(StatusCode::OK)
                .content_type("application/json")
                .streaming(stream)
        }
        Err(err) => {
            state.calls.refused += 1;
            fail(err)
        }
    }
}

fn control(shared: &Shared, req: &Request, body: &[u8]) -> Response {
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    match (req.method().as_str(), req.path()) {
        ("GET", "/hosts") => {
            state.calls.hosts += 1;
            if state.faults.hosts_down {
                return fail(Fail::NO_LEADER);
            }
            json(StatusCode::OK, &state.hosts.shown(state.faults.lag, now))
        }
        ("POST", "/hosts") => match parse(body) {
            Ok(entry) => {
                state.hosts.add(entry, now);
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => fail(err),
        },
        ("PUT", "/hosts") => match parse(body) {
            Ok(list) => {
                state.hosts.set(list, now);
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => fail(err),
        },
        ("POST", "/fault") => match parse::<FaultCall>(body) {
            Ok(call) => {
                state.fault(&call, now);
                shared.changed.notify_waiters();
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(err) => fail(err),
        },
        ("GET", "/calls") => {
            state.calls.waiting = state.watches.waiting();
            json(StatusCode::OK, &state.calls)
        }
        ("POST", "/calls/reset") => {
            state.calls = Calls::default();
            Response::new(StatusCode::NO_CONTENT)
        }
        _ => fail(Fail::NO_PATH),
    }
}
