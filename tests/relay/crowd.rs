//! Hosts to one of which the load balancer hands most new connections, while callers open more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::process::{Process, TempDir};
use super::standin::balancer::{Balancer, Exchange, Member, exchange};
use super::standin::{Engine, Store, config, settings};
use super::{LOG_FILE, is_listed_ready, wait_for};

/// Number of hosts.
const HOST_COUNT: usize = 3;
/// Plain servers; their slots are enough for all callers at once.
const SERVER_COUNT: usize = 8;
/// Callers, each with one request at a time, when their connections are spread evenly.
const USUAL_CALLERS: usize = 6;
/// Callers while a crowd is drawn.
const CROWD_CALLERS: usize = 40;
/// Requests before a crowd.
const USUAL_COUNT: usize = 60;
/// Requests after the begin of a crowd that do not count.
const SETTLING_COUNT: usize = 100;
/// Requests of a crowd that count.
const CROWD_COUNT: usize = 200;
/// Descriptors of hosts that have few.
const FEW_DESCRIPTORS: u64 = 64;
/// Time limit of a request.
const DEADLINE: Duration = Duration::from_secs(8);

/// A host of the site.
struct Host {
    process: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: TempDir,
}

impl Host {
    fn start(number: usize, store: SocketAddr, descriptors: Option<u64>) -> Self {
        let folder = TempDir::new();
        let config = folder.write("host.ini", &settings(&format!("host-{number}"), store));
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG_FILE, "");
        let args = ["host", "-c", &*config];
        let process = match descriptors {
            Some(max) => Process::start_with_descriptors(&args, &log, max),
            None => Process::start_with_stdout(&args, &log),
        };
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            process,
            folder,
        }
    }

    fn log(&self) -> String {
        self.folder.read(LOG_FILE)
    }
}

/// A host that other processes leave little processor time: it is stopped for most of each period.
struct Starved {
    ended: Arc<AtomicBool>,
    running: Option<JoinHandle<()>>,
}

impl Starved {
    fn new(host: &Host, run: Duration, stop: Duration) -> Self {
        let pid = i32::try_from(host.process.id()).ok();
        let pid = pid.and_then(Pid::from_raw).expect("a process id");
        let ended = Arc::new(AtomicBool::new(false));
        let is_ended = Arc::clone(&ended);
        let running = thread::spawn(move || {
            while !is_ended.load(Ordering::SeqCst) {
                for (signal, time) in [(Signal::STOP, stop), (Signal::CONT, run)] {
                    kill_process(pid, signal).expect("the process can be signalled");
                    thread::sleep(time);
                }
            }
        });
        Self {
            ended,
            running: Some(running),
        }
    }
}

impl Drop for Starved {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        drop(self.running.take().map(JoinHandle::join));
    }
}

/// What became of requests at their first attempt.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    served: usize,
    /// Read, or never read by any host.
    lost: usize,
    /// Closed unread, and read at the next attempt.
    unread: usize,
}

impl Tally {
    fn read(self) -> usize {
        self.served + self.lost
    }

    /// Whether requests that were read were served at least three quarters as often as before.
    fn holds(self, before: Self) -> bool {
        self.served * before.read() * 4 >= before.served * self.read() * 3
    }
}

/// Hosts behind a balancer, before the same servers.
struct Site {
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    balancer: Balancer,
    sent: AtomicUsize,
    /// Requests that were closed unread.
    unread: Mutex<BTreeSet<String>>,
    _store: Store,
}

impl Site {
    fn start() -> Self {
        Self::start_with_descriptors(None)
    }

    /// Starts hosts that may open so many descriptors, or as many as this process.
    fn start_with_descriptors(descriptors: Option<u64>) -> Self {
        let engines = (1..=SERVER_COUNT).map(|number| Engine::plain(&format!("s-{number}")));
        let engines: Vec<Engine> = engines.collect();
        let store = Store::start();
        store.put("op/config", &config(1, "/short/"));
        for engine in &engines {
            store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
        }
        let hosts = (1..=HOST_COUNT).map(|number| Host::start(number, store.addr, descriptors));
        let hosts: Vec<Host> = hosts.collect();
        for host in &hosts {
            wait_for("every server and host at each host", || {
                let log = host.log();
                let joined = log.lines().filter(|line| line.contains("host.joined"));
                let is_listed = |engine: &Engine| is_listed_ready(&log, &engine.id);
                joined.count() >= HOST_COUNT - 1 && engines.iter().all(is_listed)
            });
        }
        let members = hosts.iter().map(|host| Member {
            callers: host.callers,
            readiness: host.readiness,
            domain: 0,
        });
        let balancer = Balancer::start(members.collect());
        let site = Self {
            hosts,
            engines,
            balancer,
            sent: AtomicUsize::new(0),
            unread: Mutex::default(),
            _store: store,
        };
        wait_for("answers of all hosts", || {
            site.send(HOST_COUNT, 1).served == HOST_COUNT
        });
        site
    }

    /// Sends a request on a connection of its own, with an id of its own; returns whether it was served, or `None` if it
    /// was closed unread.
    fn attempt(addr: SocketAddr, id: &str) -> Option<bool> {
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
             x-chiveway-deadline-ms: {}\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody",
            DEADLINE.as_millis()
        );
        match exchange(addr, request.as_bytes(), DEADLINE) {
            Exchange::Answered(answer) => {
                let answer = String::from_utf8_lossy(&answer);
                Some(answer.starts_with("HTTP/1.1 200") && answer.ends_with("/once/x body"))
            }
            Exchange::TimedOut => Some(false),
            Exchange::Closed => None,
        }
    }

    /// Sends a request, and once more to another host if it was not read; counts what became of it.
    fn request(&self, tally: &Mutex<Tally>) {
        let id = format!("id-{}", self.sent.fetch_add(1, Ordering::SeqCst));
        let (first, addr) = self.balancer.choose(0, None);
        let outcome = Self::attempt(addr, &id);
        let is_read_later = outcome.is_none() && {
            self.unread.lock().expect("no panic").insert(id.clone());
            let (_, addr) = self.balancer.choose(0, Some(first));
            Self::attempt(addr, &format!("{id}-again")).is_some()
        };
        let mut tally = tally.lock().expect("no panic");
        match outcome {
            Some(true) => tally.served += 1,
            None if is_read_later => tally.unread += 1,
            Some(false) | None => tally.lost += 1,
        }
    }

    /// Sends so many requests from so many callers at once.
    fn send(&self, count: usize, callers: usize) -> Tally {
        let tally = Mutex::default();
        let left = AtomicUsize::new(count);
        let take = |left: usize| left.checked_sub(1);
        thread::scope(|scope| {
            for _ in 0..callers {
                scope.spawn(|| {
                    while left
                        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
                        .is_ok()
                    {
                        self.request(&tally);
                    }
                });
            }
        });
        tally.into_inner().expect("no panic")
    }

    /// Returns the requests that were closed unread and ran all the same.
    fn false_unread(&self) -> Vec<String> {
        let unread = self.unread.lock().expect("no panic");
        let requests = self.engines.iter().flat_map(Engine::requests);
        let ids = requests.filter_map(|(_, head, _)| {
            let mut lines = head.lines();
            let id = lines.find_map(|line| line.strip_prefix("x-chiveway-attempt-id: "));
            id.map(ToOwned::to_owned)
        });
        ids.filter(|id| unread.contains(id)).collect()
    }

    /// Draws a crowd to the host, and returns what became of the requests before it and in it.
    fn crowd(&self, host: usize) -> (Tally, Tally) {
        let before = self.send(USUAL_COUNT, USUAL_CALLERS);
        self.balancer.draw_crowd(Some(host));
        let during = self.send_crowd();
        (before, during)
    }

    fn send_crowd(&self) -> Tally {
        self.send(SETTLING_COUNT, CROWD_CALLERS);
        self.send(CROWD_COUNT, CROWD_CALLERS)
    }

    /// Checks that requests which were read in a crowd were served as before.
    fn assert_served(&self, before: Tally, during: Tally) {
        println!("before {before:?}, with most connections at one host {during:?}");
        assert!(
            before.served > 0 && during.read() > 0,
            "{before:?}, {during:?}"
        );
        assert!(during.holds(before), "{during:?}, before {before:?}");
        assert_eq!(self.false_unread(), [""; 0]);
    }
}

/// Most connections go to one host of three. Guards against one that serves few of the requests that it reads.
#[test]
fn a_crowd_at_one_host_is_served() {
    let site = Site::start();
    let (before, during) = site.crowd(0);
    site.assert_served(before, during);
}

/// The host with most connections is starved of processor time. Guards against one that reads more than it can serve.
#[test]
fn a_crowd_at_a_starved_host_is_served() {
    let site = Site::start();
    let _starved = Starved::new(
        &site.hosts[0],
        Duration::from_millis(1),
        Duration::from_millis(9),
    );
    let (before, during) = site.crowd(0);
    site.assert_served(before, during);
}

/// The host with most connections stops, and the balancer draws them to another. Guards against requests that are lost
/// while hosts change.
#[test]
fn a_crowd_that_moves_to_another_host_is_served() {
    let site = Site::start();
    let (before, _) = site.crowd(0);
    site.hosts[0].process.term();
    wait_for("the crowd at another host", || {
        site.send(1, 1);
        site.balancer.target() != Some(0)
    });
    let during = site.send_crowd();
    site.assert_served(before, during);
    assert!(!site.balancer.is_in(0));
}

/// Hosts have few descriptors. Guards against a host that reads requests for which it can open no connection to a server.
#[test]
fn a_crowd_at_hosts_with_few_descriptors_is_served() {
    let site = Site::start_with_descriptors(Some(FEW_DESCRIPTORS));
    let (before, during) = site.crowd(0);
    site.assert_served(before, during);
}
