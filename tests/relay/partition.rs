//! Hosts that are partitioned from all servers, while callers, the store and the other hosts reach them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::cut::FaultProxy;
use super::process::{Process, TempDir};
use super::script::{Scripted, response};
use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT, Store, config, settings};
use super::{LOG_FILE, http, is_listed_ready, wait_for};

/// How the links of a host to all servers end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections, old and new, pass no data.
    Silent,
    /// Connections are reset, and new ones pass no data.
    Reset,
    /// Connections are closed, and new ones at once.
    Refused,
    /// New connections are closed at once; those that are open stay.
    NewRefused,
}

/// Paths of all kinds of requests.
const PATHS: [&str; 4] = ["/once/x", "/again/x", "/long/x", "/short/x"];
/// Requests of each kind that must be served.
const REQUEST_COUNT: usize = 5;

/// A host with links of its own to each server.
pub struct Host {
    pub process: Process,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    folder: TempDir,
    links: Vec<FaultProxy>,
}

impl Host {
    fn start(number: usize, store: &Store, engines: &[Engine]) -> Self {
        let links = engines
            .iter()
            .map(|engine| FaultProxy::start(engine.addr()));
        let links: Vec<FaultProxy> = links.collect();
        let addrs = engines.iter().zip(&links);
        let addrs = addrs.map(|(engine, link)| (engine.addr(), link.addr));
        let view = store.view(&Arc::new(Mutex::new(addrs.collect())));
        let folder = TempDir::new();
        // A failure domain of its own: a domain has one watcher of the store, whose view all its hosts get.
        let settings = settings(&format!("host-{number}"), view)
            .replace("domain = z", &format!("domain = z{number}"));
        let config = folder.write("host.ini", &settings);
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG_FILE, "");
        let process = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            process,
            folder,
            links,
        }
    }

    fn cut(&self, how: Cut) {
        for link in &self.links {
            match how {
                Cut::Silent => link.silence(),
                Cut::Reset => {
                    link.reset();
                    link.silence();
                }
                Cut::Refused => link.refuse(),
                Cut::NewRefused => link.refuse_new(),
            }
        }
    }

    fn reconnect(&self) {
        self.links.iter().for_each(FaultProxy::restore);
    }

    pub fn log(&self) -> String {
        self.folder.read(LOG_FILE)
    }

    /// Returns the number of events of this name in the log.
    fn event_count(&self, name: &str) -> usize {
        let name = format!("\"event\":\"{name}\"");
        self.log()
            .lines()
            .filter(|line| line.contains(&name))
            .count()
    }
}

/// Hosts before the same servers.
pub struct Site {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub engines: Vec<Engine>,
    sent: AtomicUsize,
}

impl Site {
    pub fn start(host_count: usize) -> Self {
        let engines = vec![
            Engine::plain("s-1"),
            Engine::plain("s-2"),
            Engine::model("p-1", "prefill"),
            Engine::model("d-1", "decode"),
            Engine::model("d-2", "decode"),
        ];
        let store = Store::start();
        store.put("op/config", &config(1, "/short/"));
        for engine in &engines {
            store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
        }
        let hosts = (1..=host_count).map(|number| Host::start(number, &store, &engines));
        let hosts: Vec<Host> = hosts.collect();
        let site = Self {
            store,
            hosts,
            engines,
            sent: AtomicUsize::new(0),
        };
        for host in &site.hosts {
            wait_for("every server and host at each host", || {
                let log = host.log();
                let joined = log.lines().filter(|line| line.contains("host.joined"));
                let is_listed = |engine: &Engine| is_listed_ready(&log, &engine.id);
                joined.count() >= host_count - 1 && site.engines.iter().all(is_listed)
            });
            for path in PATHS {
                wait_for("an answer", || site.is_served(host, path));
            }
        }
        site
    }

    /// Sends a request with an id and a body of its own; returns its id and its answer.
    pub fn send(
        &self,
        host: &Host,
        path: &str,
        deadline_ms: &str,
    ) -> (String, Option<http::Answer>) {
        let number = self.sent.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("id-{number}");
        let mut headers = vec![
            ("x-chiveway-attempt-id", &*id),
            ("x-chiveway-deadline-ms", deadline_ms),
        ];
        headers.extend(match path {
            "/long/x" => &LONG_PROMPT[..],
            "/short/x" => &SHORT_PROMPT,
            _ => &[],
        });
        let answer = http::send(host.callers, "POST", path, &headers, id.as_bytes());
        (id, answer)
    }

    fn is_served(&self, host: &Host, path: &str) -> bool {
        let (_, answer) = self.send(host, path, "8000");
        answer.is_some_and(|answer| answer.status == 200 && answer.complete)
    }

    /// Returns how often servers ran a request.
    pub fn runs(&self, id: &str) -> usize {
        let line = format!("x-chiveway-attempt-id: {id}\n");
        let all = self.engines.iter().flat_map(Engine::requests);
        let is_run = |head: &str| head.contains(&line) && !head.contains("serving-stage: prefill");
        all.filter(|(_, head, _)| is_run(head)).count()
    }

    /// Sends requests of all kinds to a host until it logs that its links are lost.
    pub fn lose_links(&self, host: &Host, how: Cut) {
        let before = host.event_count("links.lost");
        host.cut(how);
        wait_for("the loss of the links", || {
            for path in PATHS {
                self.send(host, path, "400");
            }
            host.event_count("links.lost") > before
        });
    }

    /// Asserts that a host serves requests of each kind, each at the first attempt and by one run.
    fn assert_serves(&self, host: &Host) {
        for path in PATHS {
            for _ in 0..REQUEST_COUNT {
                let (id, answer) = self.send(host, path, "8000");
                let answer = answer.unwrap_or_else(|| panic!("{path}: no answer"));
                let text = answer.text();
                assert_eq!(
                    (answer.status, answer.complete),
                    (200, true),
                    "{path}: {text}"
                );
                assert_eq!(answer.header("x-chiveway-attempt-id"), Some(&*id));
                assert!(answer.header("x-chiveway-server-stamp").is_some(), "{path}");
                assert_eq!(self.runs(&id), 1, "{path}");
            }
        }
    }
}

/// Defines one test for each way in which links end.
macro_rules! partitioned {
    ($($name:ident: $how:ident;)*) => {$(
        /// Guards against a host that reaches no server and refuses its callers, although other hosts could serve them.
        #[test]
        fn $name() {
            let site = Site::start(3);
            site.lose_links(&site.hosts[0], Cut::$how);
            site.assert_serves(&site.hosts[0]);
        }
    )*};
}

partitioned! {
    a_host_whose_links_hang_serves_its_callers: Silent;
    a_host_whose_links_are_reset_serves_its_callers: Reset;
    a_host_whose_links_are_refused_serves_its_callers: Refused;
}

/// The links of a host are refused to new connections, while open ones go on. Guards against a host that refuses the
/// requests for which it needs a new connection.
#[test]
fn a_host_that_keeps_old_connections_serves_its_callers() {
    let site = Site::start(3);
    site.hosts[0].cut(Cut::NewRefused);
    for path in ["/again/x", "/short/x"] {
        for _ in 0..20 {
            assert!(site.is_served(&site.hosts[0], path), "{path}");
        }
    }
}

/// Two of three hosts are cut off. Guards against hosts that forward to each other, and overload of none.
#[test]
fn the_last_host_with_links_serves_for_all() {
    let site = Site::start(3);
    site.lose_links(&site.hosts[0], Cut::Reset);
    site.lose_links(&site.hosts[1], Cut::Silent);
    for host in &site.hosts {
        site.assert_serves(host);
    }
}

/// All hosts are cut off. Guards against requests that wait for a server until their deadline.
#[test]
fn hosts_that_are_all_cut_off_refuse() {
    let site = Site::start(2);
    for host in &site.hosts {
        site.lose_links(host, Cut::Silent);
    }
    for host in &site.hosts {
        for path in PATHS {
            let (id, answer) = site.send(host, path, "8000");
            let answer = answer.expect("an answer");
            let text = answer.text();
            assert_eq!(answer.status, 503, "{path}: {text}");
            assert!(text.contains("cut-off"), "{path}: {text}");
            assert!(answer.header("retry-after").is_some(), "{path}");
            assert_eq!(site.runs(&id), 0, "{path}");
            let ready = http::send(host.readiness, "GET", "/v1/readyz", &[], b"");
            assert_eq!(ready.map(|answer| answer.status), Some(200));
        }
    }
}

/// The partition ends. Guards against a host that keeps forwarding.
#[test]
fn a_host_serves_directly_after_a_partition() {
    let site = Site::start(2);
    let host = &site.hosts[0];
    for how in [Cut::Silent, Cut::Refused] {
        site.lose_links(host, how);
        site.assert_serves(host);
        let before = host.event_count("links.restored");
        host.reconnect();
        wait_for("the links", || host.event_count("links.restored") > before);
        let forwarded = host.event_count("request.forwarded");
        site.assert_serves(host);
        assert_eq!(host.event_count("request.forwarded"), forwarded);
    }
}

/// Starts a stream at the first host, which is cut off, and waits until an engine has it.
fn forwarded_stream(site: &Site) -> http::OpenAnswer {
    site.lose_links(&site.hosts[0], Cut::Silent);
    site.engines.iter().for_each(Engine::hold_streams);
    let mut headers = vec![("x-chiveway-attempt-id", "held")];
    headers.extend(LONG_PROMPT);
    let callers = site.hosts[0].callers;
    let mut answer = http::open(callers, "POST", "/long/x", &headers, b"held").expect("a head");
    assert_eq!(answer.status, 200);
    let first = answer.next_chunk().expect("an event").expect("an event");
    assert!(first.starts_with(b"id: 1"));
    answer
}

/// A caller leaves while its request runs at another host. Guards against a server that works on for nobody.
#[test]
fn a_caller_that_leaves_ends_its_forwarded_request() {
    let site = Site::start(2);
    let answer = forwarded_stream(&site);
    drop(answer);
    wait_for("the end of the request at both hosts", || {
        site.hosts.iter().all(|host| {
            host.event_count("request.ended") > 0 && {
                let log = host.log();
                let mut ends = log.lines().filter(|line| line.contains("request.ended"));
                ends.any(|line| line.contains("\"held\"") && line.contains("caller-left"))
            }
        })
    });
}

/// The host that runs a forwarded stream is killed. Guards against an answer that looks complete, and a second run.
#[test]
fn a_forwarded_stream_whose_host_is_killed_is_truncated() {
    let mut site = Site::start(2);
    let answer = forwarded_stream(&site);
    site.hosts[1].process.kill();
    let answer = answer.rest();
    assert!(!answer.complete, "{}", answer.text());
    site.engines.iter().for_each(Engine::release_streams);
    assert_eq!(site.runs("held"), 1);
}

/// The host that requests are forwarded to is stopped. Guards against requests that fail on its way out.
#[test]
fn a_planned_stop_of_the_other_host_loses_no_request() {
    let mut site = Site::start(3);
    site.lose_links(&site.hosts[0], Cut::Silent);
    site.assert_serves(&site.hosts[0]);
    site.hosts[1].process.term();
    while !site.hosts[1].process.has_exited() {
        for path in PATHS {
            assert!(site.is_served(&site.hosts[0], path), "{path}");
        }
    }
    site.assert_serves(&site.hosts[0]);
}

/// A third party sends a request to the address for forwarded ones. Guards against requests without the hosts' secret.
#[test]
fn a_forwarded_request_without_the_secret_is_refused() {
    let site = Site::start(1);
    let log = site.hosts[0].log();
    let line: Value = serde_json::from_str(log.lines().next().expect("a line")).expect("JSON");
    let peers: SocketAddr = line["peers"]
        .as_str()
        .expect("an address")
        .parse()
        .expect("an address");
    let forged = [
        ("x-chiveway-attempt-id", "forged"),
        ("chiveway-forward-from", "host-9"),
        ("chiveway-forward-deadline-ms", "8000"),
        ("chiveway-forward-spent", "0,0,0"),
        ("chiveway-forward-mac", "00"),
    ];
    let answer = http::send(peers, "POST", "/once/x", &forged, b"forged").expect("an answer");
    assert_ne!(answer.status, 200);
    assert_eq!(answer.header("x-chiveway-attempt-id"), Some("forged"));
    assert_eq!(site.runs("forged"), 0);
}

/// Starts a host, registers another one at this address, and cuts the first off from all servers.
fn site_beside(addr: SocketAddr) -> Site {
    let site = Site::start(1);
    let entry = json!({"addr": addr.to_string(), "domain": "z9"});
    site.store.put("chiveway/hosts/host-9", &entry);
    let host = &site.hosts[0];
    wait_for("the other host", || {
        host.log().lines().any(|line| line.contains("host.joined"))
    });
    site.lose_links(host, Cut::Refused);
    site
}

/// A host has ended without a trace in the store, and a server of another service has its address. Guards against a server
/// that runs a forwarded request, and whose answer the caller gets.
#[test]
fn a_server_at_the_address_of_a_host_runs_no_forwarded_request() {
    let foreign = Engine::plain("foreign");
    let site = site_beside(foreign.addr());
    let host = &site.hosts[0];
    for path in PATHS {
        let (id, answer) = site.send(host, path, "8000");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503, "{path}: {}", answer.text());
        assert_eq!(site.runs(&id), 0, "{path}");
    }
    assert!(foreign.requests().is_empty(), "{:?}", foreign.requests());
}

/// A host refuses a forwarded request, and an extra copy of that comes before its answer to the next one. Guards against a
/// request that is refused as not run though the other host runs it.
#[test]
fn a_late_refusal_of_a_host_refuses_no_other_request() {
    let other = Scripted::plain("host-9", |turn| {
        let refused = |id: &str| refusal_of_host("overloaded", id);
        let id = turn.id.clone();
        if turn.number == 0 {
            return turn.send(refused(&id));
        }
        turn.run();
        turn.send(refused("other") + &response(200, &id, "", "done"))
    });
    let site = site_beside(other.addr());
    let host = &site.hosts[0];
    wait_for("a request that the other host runs", || {
        let (id, answer) = site.send(host, "/once/x", "8000");
        let answer = answer.expect("an answer");
        let runs = other.runs(&id);
        assert_eq!(answer.status, if runs == 0 { 503 } else { 502 });
        runs == 1
    });
    assert!(host.log().contains(r#""reader":"host""#));
}

/// Returns the refusal of a request by a host, as one that did not run.
fn refusal_of_host(code: &str, id: &str) -> String {
    response(
        503,
        id,
        &format!("chiveway-forward-refused: {code},no\r\n"),
        "{}",
    )
}

/// Guards against a host of an earlier build whose refusals, which name no request, are not believed: callers would lose
/// truthful answers while hosts are replaced.
#[test]
fn a_refusal_of_a_host_of_an_earlier_build_is_believed() {
    let other = Scripted::plain("host-9", |turn| {
        turn.send(refusal_of_host("overloaded", ""))
    });
    let site = site_beside(other.addr());
    let host = &site.hosts[0];
    let before = other.heads().len();
    for _ in 0..3 {
        let (_, answer) = site.send(host, "/once/x", "8000");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503, "{}", answer.text());
    }
    assert_eq!(other.heads().len(), before + 3);
}

/// A host of an earlier build refuses a forwarded request, and sends a copy of that before its answer to the next one on the
/// connection. Guards against a request that is refused as not run though the other host runs it.
#[test]
fn a_late_refusal_of_a_host_of_an_earlier_build_refuses_no_other_request() {
    let other = Scripted::plain("host-9", |turn| {
        let refused = refusal_of_host("overloaded", "");
        if turn.number == 0 {
            return turn.send(refused);
        }
        turn.run();
        turn.send(refused + &response(200, &turn.id, "", "done"))
    });
    let site = site_beside(other.addr());
    let host = &site.hosts[0];
    for _ in 0..4 {
        let (id, answer) = site.send(host, "/once/x", "8000");
        let status = answer.map(|answer| answer.status);
        assert_eq!((status, other.runs(&id)), (Some(503), 0));
    }
}
