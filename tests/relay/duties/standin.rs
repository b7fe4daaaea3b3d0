//! Stand-in of the platform's address for calls of duties.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::Value;

use crate::standin::http::{Request, listen, write};

/// How calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Answering {
    /// They are carried out and answered.
    #[default]
    Normal,
    /// They are carried out, and the connection is closed without an answer.
    Lost,
    /// They are refused.
    Busy,
}

/// A call that was carried out.
#[derive(Debug, Clone)]
pub struct Call {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
}

#[derive(Default)]
struct State {
    answering: Answering,
    /// Calls in the order of their arrival, without refused ones.
    calls: Vec<Call>,
    /// Highest fencing number of each subject.
    fences: BTreeMap<String, u64>,
}

/// The stand-in; it checks fencing numbers.
pub struct Duties {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Duties {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let addr = listen(move |request, stream| {
            let status = {
                let mut state = shared.lock().expect("the platform");
                let status = state.carry_out(request)?;
                if state.answering == Answering::Lost {
                    return None;
                }
                status
            };
            write(stream, status, "", "{}")
        });
        Self { addr, state }
    }

    pub fn set(&self, answering: Answering) {
        self.state.lock().expect("the platform").answering = answering;
    }

    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().expect("the platform").calls.clone()
    }

    /// Returns the name of the host that made the last call.
    pub fn last_holder(&self) -> Option<String> {
        self.calls().pop().map(|call| call.holder)
    }

    /// Returns the first accepted counts of each window.
    pub fn accepted(&self) -> BTreeMap<u64, Value> {
        let mut accepted = BTreeMap::new();
        for call in self
            .calls()
            .into_iter()
            .filter(|call| call.path == "/usage")
        {
            let window = call.body["windowId"].as_u64().expect("a window");
            accepted
                .entry(window)
                .or_insert_with(|| call.body["counts"].clone());
        }
        accepted
    }

    /// Returns the bodies of the orders of workers.
    pub fn orders(&self) -> Vec<Value> {
        let calls = self.calls().into_iter();
        let orders = calls.filter(|call| call.path == "/scaling");
        orders.map(|call| call.body).collect()
    }

    /// Checks that no window was reported with two sets of counts or skipped, and that no fencing number was used by two
    /// hosts.
    pub fn check(&self) {
        let accepted = self.accepted();
        let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for call in self.calls() {
            if call.path == "/usage" {
                let window = call.body["windowId"].as_u64().expect("a window");
                assert_eq!(call.body["counts"], accepted[&window], "window {window}");
            }
            holders.entry(call.fence).or_default().insert(call.holder);
        }
        assert!(
            holders.values().all(|names| names.len() == 1),
            "{holders:?}"
        );
        let windows: Vec<u64> = accepted.keys().copied().collect();
        let first = windows.first().copied().unwrap_or(0);
        let consecutive: Vec<u64> = (first..).take(windows.len()).collect();
        assert_eq!(windows, consecutive);
    }
}

impl State {
    /// Carries a call out; returns the status code.
    fn carry_out(&mut self, request: &Request) -> Option<u16> {
        if self.answering == Answering::Busy {
            return Some(503);
        }
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let call = Call {
            path: request.path.clone(),
            holder: request.header("x-chiveway-duty-holder")?.to_owned(),
            fence: request.header("x-chiveway-fencing-token")?.parse().ok()?,
            body,
        };
        let subject = format!(
            "{} {} {}",
            call.path, call.body["service"], call.body["zone"]
        );
        let highest = self.fences.entry(subject).or_default();
        if call.fence < *highest {
            return Some(409);
        }
        *highest = call.fence;
        self.calls.push(call);
        Some(200)
    }
}
