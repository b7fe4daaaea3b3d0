//! A server that writes what a script says, byte by byte.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use super::standin::engine::HEALTH_PATH;
use super::standin::http::{Request, listen_each, write};

/// One request at a scripted server.
pub struct Turn<'a> {
    /// Path of the request.
    pub path: &'a str,
    /// Id of the request; empty for a call of the host's own.
    pub id: String,
    /// Number of the request on its connection, from 0 on.
    pub number: usize,
    pub stream: &'a mut TcpStream,
    stage: Option<&'static str>,
    log: &'a Mutex<Log>,
}

impl Turn<'_> {
    /// Returns the body of the answer to a call of the host's own.
    pub fn own_body(&self) -> Option<String> {
        match self.path {
            "/v1/report" => {
                let report = json!({"stage": self.stage, "busy": false, "sequence": 0});
                Some(report.to_string())
            }
            HEALTH_PATH | "/v1/order" => Some("{}".to_owned()),
            _ => None,
        }
    }

    /// Records that the server runs the request.
    pub fn run(&self) {
        let mut log = self.log.lock().expect("the log");
        *log.runs.entry(self.id.clone()).or_default() += 1;
    }

    /// Writes bytes, then others again and again, until the host closes the connection.
    pub fn send_without_end(
        &mut self,
        bytes: impl AsRef<[u8]>,
        more: &[u8],
        pause: Duration,
    ) -> Option<()> {
        let mut open = self.send(bytes);
        while open.is_some() {
            std::thread::sleep(pause);
            open = self.send(more);
        }
        self.log.lock().expect("the log").closed += 1;
        None
    }

    /// Writes bytes; `None` if the connection is closed.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) -> Option<()> {
        self.stream.write_all(bytes.as_ref()).ok()
    }
}

#[derive(Debug, Default)]
struct Log {
    /// Heads of the requests, in the order of their arrival.
    heads: Vec<String>,
    /// Number of runs by request.
    runs: BTreeMap<String, usize>,
    /// Responses without an end that the host has closed.
    closed: usize,
}

/// What a script answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Callers' requests.
    Requests,
    /// Callers' requests and the host's own calls.
    All,
}

/// A scripted server.
pub struct Scripted {
    pub id: String,
    addr: SocketAddr,
    stage: Option<&'static str>,
    log: Arc<Mutex<Log>>,
}

impl Scripted {
    /// Starts a plain server.
    pub fn plain(
        id: &str,
        script: impl Fn(&mut Turn<'_>) -> Option<()> + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, None, Scope::Requests, script)
    }

    /// Starts an engine.
    pub fn model(
        id: &str,
        stage: &'static str,
        script: impl Fn(&mut Turn<'_>) -> Option<()> + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, Some(stage), Scope::Requests, script)
    }

    /// Starts an engine whose script also answers the calls of the host's own.
    pub fn model_with_calls(
        id: &str,
        stage: &'static str,
        script: impl Fn(&mut Turn<'_>) -> Option<()> + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, Some(stage), Scope::All, script)
    }

    fn start(
        id: &str,
        stage: Option<&'static str>,
        scope: Scope,
        script: impl Fn(&mut Turn<'_>) -> Option<()> + Send + Sync + 'static,
    ) -> Self {
        let log = Arc::new(Mutex::new(Log::default()));
        let (shared, script) = (Arc::clone(&log), Arc::new(script));
        let addr = listen_each(move |_| {
            let (log, script) = (Arc::clone(&shared), Arc::clone(&script));
            let count = AtomicUsize::new(0);
            Some(move |request: &Request, stream: &mut TcpStream| {
                let id = request.header("x-chiveway-attempt-id").unwrap_or_default();
                let mut turn = Turn {
                    path: &request.path,
                    id: id.to_owned(),
                    number: count.load(Ordering::Relaxed),
                    stream,
                    stage,
                    log: &log,
                };
                let own_body = turn.own_body();
                if let Some(body) = own_body.filter(|_| scope == Scope::Requests) {
                    return write(turn.stream, 200, "", &body);
                }
                count.fetch_add(1, Ordering::Relaxed);
                log.lock()
                    .expect("the log")
                    .heads
                    .push(request.head.clone());
                script(&mut turn)
            })
        });
        Self {
            id: id.to_owned(),
            addr,
            stage,
            log,
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> Value {
        let service = self.stage.map_or("plain", |_| "model");
        json!({"service": service, "address": self.addr.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "stage": self.stage, "sequence": 1,
            "born": 1})
    }

    /// Returns its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how often it ran a request.
    pub fn runs(&self, id: &str) -> usize {
        let log = self.log.lock().expect("the log");
        log.runs.get(id).copied().unwrap_or_default()
    }

    /// Returns how many responses without an end the host has closed.
    pub fn closed(&self) -> usize {
        self.log.lock().expect("the log").closed
    }

    /// Returns the heads of all requests that it received.
    pub fn heads(&self) -> Vec<String> {
        self.log.lock().expect("the log").heads.clone()
    }
}

/// Returns a response of a server to a request, with further header lines.
pub fn response(status: u16, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} x\r\nx-chiveway-attempt-id: {id}\r\nx-chiveway-server-stamp: s\r\n\
         keep-alive: timeout=5\r\n{more}content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns a refusal of a request.
pub fn refusal(status: u16, id: &str) -> String {
    response(status, id, "x-chiveway-not-executed: 1\r\n", "")
}
