//! Stand-in of an engine, or of a plain server.

use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::http::{Request, listen_early};
use super::serve::serve_engine;
use super::torn::{Break, Framing, WIDE_CHAR};
use super::trouble::{PendingCopy, Troubles, refuse_early};

/// Where a server falls silent in an answer before it goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// Before its head.
    Head,
    /// Between two events, or in the middle of a body that is no stream.
    Events,
    /// After the last event, before the end of the body.
    End,
}

/// Prefix of the ids of requests that a server holds, without an answer, until their connections end.
pub const HELD_ID_PREFIX: &str = "held-run-";
/// Prefix of those whose prefills it holds as well.
pub const HELD_PREFILL_ID_PREFIX: &str = "held-prefill-";

/// A request that a server held until its connection ended.
#[derive(Debug, Clone)]
pub struct HeldRequest {
    pub id: String,
    pub arrived: Instant,
    pub ended: Instant,
}

/// State of a process, and what wakes those that wait for a change of it.
pub type Shared = Arc<(Mutex<EngineState>, Condvar)>;

#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of a stand-in"
)]
pub struct EngineState {
    pub stage: Option<String>,
    /// Version of its software.
    pub version: String,
    pub requests: Vec<(String, String, Vec<u8>)>,
    /// Indices of the requests that it refused.
    pub refused: BTreeSet<usize>,
    /// Whether its answers state that it is leaving.
    pub leaving: bool,
    /// Seconds of pushback that it names with a refusal of each request.
    pub pushback: Option<String>,
    /// Value of the limit header in its answers.
    pub limit: Option<String>,
    /// Number of events after which the next new stream breaks off.
    pub break_after: Option<u64>,
    /// How the next answer to a caller's request is broken off; shared by servers of which one does.
    pub torn: Arc<Mutex<Option<Break>>>,
    /// Whether its prefills end in the middle of their bodies.
    pub tears_prefills: bool,
    /// Whether its streams have no events.
    pub is_empty: bool,
    /// Number of events of its streams and bytes of each, if not the usual ones.
    pub large_stream: Option<(u64, usize)>,
    /// Request id of the next answer, in place of the real one.
    pub answer_id: Option<String>,
    pub held: bool,
    /// Delay of each answer and of each event of a stream.
    pub delay: Duration,
    /// Whether the process has crashed.
    pub crashed: bool,
    /// Body of the request that crashes the process when it begins to run it.
    pub poison: Option<Vec<u8>>,
    pub poisoned_at: Option<Instant>,
    /// Part of a prompt that crashes the process when it begins to write an answer on it.
    pub bad_part: Option<String>,
    /// When the process crashed on that part.
    pub part_crash: Option<Instant>,
    /// Requests with that part, prefills too: when they arrived, and their ids.
    pub part_requests: Vec<(Instant, String)>,
    /// Requests that were held until their connections ended.
    pub held_requests: Vec<HeldRequest>,
    /// Framing of its answers, if not the usual one.
    pub framing: Option<Framing>,
    /// Where and for how long the next answer falls silent; shared by servers of which one does.
    pub pause: Arc<Mutex<Option<(Pause, Duration)>>>,
    /// Where and for how long each of its answers to callers' requests falls silent.
    pub pause_each: Option<(Pause, Duration)>,
    /// Until when it answers no prefill.
    pub prefills_from: Option<Instant>,
    /// Parts that were written of all its answers.
    pub written: u64,
    pub troubles: Troubles,
    /// Open connections.
    pub connections: Vec<Weak<TcpStream>>,
    /// How often the server was started before.
    pub starts: u64,
    /// Number of accepted orders.
    pub orders: u64,
    /// Highest fencing token received.
    pub fence: u64,
}

/// Stand-in of an engine, or of a plain server.
pub struct Engine {
    pub id: String,
    addr: SocketAddr,
    pub(super) shared: Shared,
    /// Id and state of the process that new connections reach.
    current: Arc<Mutex<(String, Shared)>>,
}

impl EngineState {
    /// Ends the process with all its connections.
    pub fn end(&mut self) {
        self.crashed = true;
        for connection in self.connections.iter().filter_map(Weak::upgrade) {
            // It may have ended before.
            drop(connection.shutdown(Shutdown::Both));
        }
    }

    /// Returns whether a request has the part that crashes the process.
    pub fn has_bad_part(&self, request: &Request) -> bool {
        let prompt = request.header("x-chiveway-prompt-prefix");
        let mut parts = prompt.into_iter().flat_map(|prompt| prompt.split(','));
        parts.any(|part| part.split(':').next() == self.bad_part.as_deref())
    }
}

/// Prefix of the handles of prefills, before the id of the request.
pub const HANDLE_PREFIX: &str = "h-";
/// Path of the health check.
pub const HEALTH_PATH: &str = "/healthz";
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

/// Serves each connection by the process that is current when it is opened.
fn serve_processes(current: Arc<Mutex<(String, Shared)>>) -> SocketAddr {
    listen_early(move |connection| {
        let (id, shared) = current.lock().expect("the process").clone();
        let mut state = shared.0.lock().expect("the engine");
        state.connections.retain(|open| open.strong_count() > 0);
        state.connections.push(connection);
        let crashed = state.crashed;
        drop(state);
        let (early_id, early_shared) = (id.clone(), Arc::clone(&shared));
        let early = move |head: &Request, stream: &mut TcpStream| {
            refuse_early(&early_shared, &early_id, head, stream)
        };
        let pending = PendingCopy::default();
        let serve = move |request: &Request, stream: &mut TcpStream| {
            serve_engine(&shared, &id, &pending, request, stream)
        };
        (!crashed).then_some((early, serve))
    })
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
        let current = Arc::new(Mutex::new((id.to_owned(), Arc::clone(&shared))));
        let addr = serve_processes(Arc::clone(&current));
        Self {
            id: id.to_owned(),
            addr,
            shared,
            current,
        }
    }

    /// Starts another process at its address, under its id or another one.
    pub fn restart(&self, id: &str) -> Self {
        let ended = self.shared.0.lock().expect("the engine");
        let initial = EngineState {
            stage: ended.stage.clone(),
            version: ended.version.clone(),
            delay: ended.delay,
            bad_part: ended.bad_part.clone(),
            framing: ended.framing,
            starts: ended.starts + 1,
            ..EngineState::default()
        };
        drop(ended);
        let shared = Arc::new((Mutex::new(initial), Condvar::new()));
        *self.current.lock().expect("the process") = (id.to_owned(), Arc::clone(&shared));
        Self {
            id: id.to_owned(),
            addr: self.addr,
            shared,
            current: Arc::clone(&self.current),
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
        let process = self.shared.0.lock().expect("the engine");
        let (stage, born) = (process.stage.clone(), process.starts + 1);
        drop(process);
        let version = self.version();
        let service = if stage.is_some() { "model" } else { "plain" };
        json!({"service": service, "address": self.addr.to_string(), "zone": "z", "version": version,
            "slots": 8, "state": reported_state, "coldRemainingMs": 0, "stage": stage, "sequence": 1,
            "born": born})
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

    /// Ends the answer to each prefill from now on in the middle of its body.
    pub fn tear_prefills(&self) {
        self.shared.0.lock().expect("the engine").tears_prefills = true;
    }

    /// Sends streams without events from now on.
    pub fn send_no_events(&self) {
        self.shared.0.lock().expect("the engine").is_empty = true;
    }

    /// Sends streams of so many events from now on, each with so many bytes in addition.
    pub fn send_large_streams(&self, events: u64, bytes: usize) {
        self.shared.0.lock().expect("the engine").large_stream = Some((events, bytes));
    }

    /// Answers prefills only after this time from now.
    pub fn pause_prefills(&self, duration: Duration) {
        let mut state = self.shared.0.lock().expect("the engine");
        state.prefills_from = Some(Instant::now() + duration);
    }

    /// Returns the number of parts that it has written of all its answers.
    pub fn written(&self) -> u64 {
        self.shared.0.lock().expect("the engine").written
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

    /// Cancels [`refuse`](Self::refuse).
    pub fn clear_refusal(&self) {
        self.shared.0.lock().expect("the engine").pushback = None;
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

    /// Returns the same without those that it refused.
    pub fn executed_requests(&self) -> Vec<(String, String, Vec<u8>)> {
        let state = self.shared.0.lock().expect("the engine");
        let all = state.requests.iter().enumerate();
        let executed = all
            .filter(|(index, (path, ..))| path != "/v1/report" && !state.refused.contains(index));
        executed.map(|(_, request)| request.clone()).collect()
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

    /// Crashes when it begins to write an answer on this part of a prompt; a prefill is answered.
    pub fn crash_on_part(&self, part: &str) {
        self.shared.0.lock().expect("the engine").bad_part = Some(part.to_owned());
    }

    /// Returns when it crashed on that part.
    pub fn part_crash(&self) -> Option<Instant> {
        self.shared.0.lock().expect("the engine").part_crash
    }

    /// Returns when requests with that part arrived, prefills too, and their ids.
    pub fn part_requests(&self) -> Vec<(Instant, String)> {
        let state = self.shared.0.lock().expect("the engine");
        state.part_requests.clone()
    }

    /// Returns the requests that were held until their connections ended.
    pub fn held_requests(&self) -> Vec<HeldRequest> {
        let state = self.shared.0.lock().expect("the engine");
        state.held_requests.clone()
    }

    /// Frames each answer from now on in this way.
    pub fn set_framing(&self, framing: Framing) {
        self.shared.0.lock().expect("the engine").framing = Some(framing);
    }

    /// Falls silent for a time in the next answer to a caller's request, at whichever of these servers it is.
    pub fn pause_next(engines: &[&Self], pause: Pause, duration: Duration) {
        let shared = Arc::new(Mutex::new(Some((pause, duration))));
        for engine in engines {
            engine.shared.0.lock().expect("the engine").pause = Arc::clone(&shared);
        }
    }

    /// Falls silent for a time in each answer to a caller's request from now on.
    pub fn pause_each(&self, pause: Pause, duration: Duration) {
        self.shared.0.lock().expect("the engine").pause_each = Some((pause, duration));
    }

    /// Returns whether the answer of [`pause_next`](Self::pause_next) has fallen silent.
    pub fn has_paused(&self) -> bool {
        let state = self.shared.0.lock().expect("the engine");
        let pause = state.pause.lock().expect("the pause");
        pause.is_none()
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
