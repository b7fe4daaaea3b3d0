//! One play: hosts, a store and servers, callers that go on all the while, and a series of faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::check::{self, Observation};
use crate::cut::Cut;
use crate::faults::{Fault, FaultKind, series, with_hang, with_restores};
use crate::process::{Folder, Process};
use crate::standin::{Engine, Store, config, settings};
use crate::{SEEDS_WITHOUT_HANG, SEEDS_WITHOUT_RESTORES, WAIT_TIMEOUT};

/// Hosts of a play.
pub const HOST_COUNT: usize = 3;
/// Stages of the servers at the start; none for a plain server. Hosts have some of them change.
const SERVER_STAGES: [Option<&str>; 6] = [
    None,
    None,
    Some("prefill"),
    Some("decode"),
    Some("decode"),
    Some("decode"),
];
/// Callers that send at once.
pub const CALLER_COUNT: u64 = 6;
/// Time that an answer, or an event of one, takes at a server.
const SERVER_DELAY: Duration = Duration::from_millis(5);
/// Writes without an answer in one fault.
const DROPPED_REPLIES: u32 = 3;

/// A host's process and what stands before it.
pub struct Host {
    pub process: Process,
    starts: u32,
}

/// Where a host's present process listens, and which start of it that is.
#[derive(Debug, Clone)]
pub struct Incarnation {
    pub callers: SocketAddr,
    pub name: String,
}

/// A server, its forwarder, and the version of the configuration that was written after it left.
pub struct Server {
    pub engine: Engine,
    pub forwarder: Cut,
    pub drain_version: Option<u64>,
}

pub struct Cluster {
    pub folder: Folder,
    pub logs: PathBuf,
    pub store: Store,
    /// A forwarder to the store for each host.
    pub store_forwarders: Vec<Cut>,
    pub hosts: Vec<Mutex<Host>>,
    pub incarnations: Mutex<Vec<Incarnation>>,
    pub servers: Mutex<Vec<Server>>,
    /// The present server of each place.
    pub positions: Mutex<Vec<usize>>,
    pub version: AtomicU64,
    /// Held while the operator or a server writes, and from a restore of the store until both have written again: what
    /// a host knows of a version tells what it knows of servers only if they come back together.
    writes: Mutex<()>,
    /// Version known to be in force, by start of a host.
    pub served_versions: Mutex<BTreeMap<String, Vec<u64>>>,
    /// Faults in force that a planned stop does not excuse, and all that were yet.
    pub unplanned: (AtomicU64, AtomicU64),
    pub observations: Mutex<Vec<(Observation, u64)>>,
    pub finished: AtomicBool,
}

/// Says that a play is over once it is dropped.
struct FinishOnDrop<'a>(&'a AtomicBool);

impl Drop for FinishOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Plays a seed; returns what broke, and what was done.
pub fn run_seed(seed: u64) -> (Vec<String>, String) {
    let cluster = Cluster::new(seed);
    let mut faults = series(seed, HOST_COUNT, SERVER_STAGES.len());
    if !SEEDS_WITHOUT_HANG.contains(&seed) {
        faults = with_hang(seed, faults);
    }
    if !SEEDS_WITHOUT_RESTORES.contains(&seed) {
        faults = with_restores(seed, faults);
    }
    thread::scope(|scope| {
        let cluster = &cluster;
        for number in 0..CALLER_COUNT {
            scope.spawn(move || cluster.send_requests(seed, number));
        }
        for host in 0..HOST_COUNT {
            scope.spawn(move || cluster.probe_versions(host));
        }
        scope.spawn(|| cluster.update_entries());
        // Callers must end also where causing a fault panics.
        let _finish = FinishOnDrop(&cluster.finished);
        thread::scope(|injections| {
            for fault in &faults {
                thread::sleep(fault.delay);
                injections.spawn(move || cluster.inject(*fault));
            }
        });
    });
    let unrecovered = cluster.unrecovered();
    let record = cluster.record(unrecovered);
    let served = record
        .observations
        .iter()
        .filter(|seen| seen.status == Some(200));
    let summary = format!(
        "{} requests, {} served, {} runs, {} orders",
        record.observations.len(),
        served.count(),
        record.runs.len(),
        record.orders.len()
    );
    let violations = check::check(&record);
    if violations.is_empty() {
        drop(std::fs::remove_dir_all(&cluster.logs));
    }
    (violations, summary)
}

impl Cluster {
    fn new(seed: u64) -> Self {
        // Another soak of the same tree may play the same seed, and removes its folder at the end.
        let name = format!("soak-{seed}-{}", std::process::id());
        let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&logs).expect("a folder for logs");
        let store = Store::start();
        let store_forwarders: Vec<Cut> = (0..HOST_COUNT).map(|_| Cut::before(store.addr)).collect();
        let mut cluster = Self {
            folder: Folder::new(),
            logs,
            store,
            store_forwarders,
            hosts: Vec::new(),
            incarnations: Mutex::default(),
            servers: Mutex::default(),
            positions: Mutex::default(),
            version: AtomicU64::new(0),
            writes: Mutex::default(),
            served_versions: Mutex::default(),
            unplanned: (AtomicU64::new(0), AtomicU64::new(0)),
            observations: Mutex::default(),
            finished: AtomicBool::new(false),
        };
        cluster.configure();
        for stage in SERVER_STAGES {
            let server = cluster.add_server(stage);
            cluster.positions.lock().expect("no panic").push(server);
        }
        for host in 0..HOST_COUNT {
            let (process, incarnation) = cluster.start(host, 1);
            cluster.hosts.push(Mutex::new(Host { process, starts: 1 }));
            cluster
                .incarnations
                .lock()
                .expect("no panic")
                .push(incarnation);
        }
        for host in 0..HOST_COUNT {
            let unserved = cluster.unserved_within("start", host, WAIT_TIMEOUT);
            assert!(unserved.is_empty(), "not served at the start: {unserved:?}");
        }
        cluster
    }

    /// Starts a host's process.
    fn start(&self, host: usize, starts: u32) -> (Process, Incarnation) {
        let name = format!("host-{host}");
        let text = settings(&name, self.store_forwarders[host].addr);
        let path = self.folder.write(&format!("{name}.ini"), &text);
        let log = self.logs.join(format!("{name}.{starts}.log"));
        let path = path.to_str().expect("a path");
        let process = Process::logged(&["host", "-c", path], &log);
        let line: Value = serde_json::from_str(&process.line).expect("a JSON line");
        let callers = line["callers"].as_str().and_then(|addr| addr.parse().ok());
        let incarnation = Incarnation {
            callers: callers.expect("the callers' listener"),
            name: format!("{name}.{starts}"),
        };
        (process, incarnation)
    }

    fn restart(&self, index: usize, host: &mut Host) {
        host.starts += 1;
        let (process, incarnation) = self.start(index, host.starts);
        host.process = process;
        self.incarnations.lock().expect("no panic")[index] = incarnation;
    }

    /// Puts the next configuration in force; each has a route of its own. Returns its version.
    fn configure(&self) -> u64 {
        let _writes = self.writes.lock().expect("no panic");
        self.write_version()
    }

    /// Writes the next configuration, with the writes held.
    fn write_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut config = config(version, "/short/");
        let mut route = config["routes"][1].clone();
        route["prefix"] = json!(format!("/v{version}/"));
        route["name"] = route["prefix"].clone();
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.push(route);
        }
        self.store.put("op/config", &config);
        version
    }

    fn add_server(&self, stage: Option<&str>) -> usize {
        let mut servers = self.servers.lock().expect("no panic");
        let id = format!("s-{}", servers.len() + 1);
        let engine = stage.map_or_else(|| Engine::plain(&id), |stage| Engine::model(&id, stage));
        engine.set_delay(SERVER_DELAY);
        let forwarder = Cut::before(engine.addr());
        let server = Server {
            engine,
            forwarder,
            drain_version: None,
        };
        let writes = self.writes.lock().expect("no panic");
        self.store
            .put(&format!("servers/{id}"), &entry(&server, "ready"));
        drop(writes);
        servers.push(server);
        servers.len() - 1
    }

    /// Puts another server in the place of one.
    fn replace(&self, position: usize) {
        let new = self.add_server(SERVER_STAGES[position]);
        self.positions.lock().expect("no panic")[position] = new;
    }

    /// Does something with the present server of a place.
    fn with_server<T>(&self, position: usize, act: impl FnOnce(&mut Server) -> T) -> T {
        let index = self.positions.lock().expect("no panic")[position];
        act(&mut self.servers.lock().expect("no panic")[index])
    }

    /// Causes one fault, and ends it after its time.
    fn inject(&self, fault: Fault) {
        let planned = matches!(
            fault.kind,
            FaultKind::Stop(_)
                | FaultKind::Reload(_)
                | FaultKind::Configure
                | FaultKind::ServerDrain(_)
        );
        if !planned {
            self.unplanned.0.fetch_add(1, Ordering::SeqCst);
            self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        }
        self.apply(fault);
        if !planned {
            self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn apply(&self, fault: Fault) {
        let lasting = |forwarder: &Cut, begin: fn(&Cut)| {
            begin(forwarder);
            thread::sleep(fault.duration);
            forwarder.heal();
        };
        let forwarder = |position| self.with_server(position, |server| server.forwarder.clone());
        match fault.kind {
            FaultKind::Kill(host) => self.kill(&[host]),
            FaultKind::KillAll => self.kill(&(0..HOST_COUNT).collect::<Vec<_>>()),
            FaultKind::Stop(index) => {
                let mut host = self.hosts[index].lock().expect("no panic");
                host.process.term();
                host.process.ended();
                self.restart(index, &mut host);
            }
            FaultKind::Freeze(host) => {
                let host = self.hosts[host].lock().expect("no panic");
                host.process.freeze();
                thread::sleep(fault.duration);
                host.process.thaw();
            }
            FaultKind::Reload(host) => self.hosts[host].lock().expect("no panic").process.hup(),
            FaultKind::StoreLinkSilent(host) => lasting(&self.store_forwarders[host], Cut::silence),
            FaultKind::StoreLinkOneWay(host) => lasting(&self.store_forwarders[host], Cut::one_way),
            FaultKind::StoreLinkRefuses(host) => lasting(&self.store_forwarders[host], Cut::refuse),
            FaultKind::StoreLinkReset(host) => self.store_forwarders[host].reset(),
            FaultKind::StoreDown => {
                self.store.go_down();
                thread::sleep(fault.duration);
                self.store.recover();
            }
            FaultKind::StoreHang => {
                self.store.hang();
                thread::sleep(fault.duration / 2);
                self.configure();
                thread::sleep(fault.duration / 2);
                self.store.recover();
            }
            FaultKind::StoreRestored => {
                let _writes = self.writes.lock().expect("no panic");
                let revision = self.store.revision_before(fault.duration);
                self.store.go_down();
                thread::sleep(fault.duration / 10);
                self.store.restore(revision);
                self.store.recover();
                thread::sleep(fault.duration / 2);
                self.store.rewrite_lost();
            }
            FaultKind::StoreDropsReplies => self.store.drop_replies(DROPPED_REPLIES),
            FaultKind::ServerSilent(position) => lasting(&forwarder(position), Cut::silence),
            FaultKind::ServerOneWay(position) => lasting(&forwarder(position), Cut::one_way),
            FaultKind::ServerDelay(position) => lasting(&forwarder(position), Cut::delay),
            FaultKind::ServerReset(position) => forwarder(position).reset(),
            FaultKind::ServerCrash(position) => {
                let id = self.with_server(position, |server| {
                    server.engine.crash();
                    server.forwarder.refuse();
                    server.engine.id.clone()
                });
                thread::sleep(fault.duration);
                let writes = self.writes.lock().expect("no panic");
                self.store.remove(&format!("servers/{id}"));
                drop(writes);
                self.replace(position);
            }
            FaultKind::ServerDrain(position) => {
                self.drain_and_replace(position);
            }
            FaultKind::Configure => {
                self.configure();
            }
            FaultKind::BreakStream(position) => {
                self.with_server(position, |server| server.engine.break_after(2));
                thread::sleep(fault.duration);
                // Another server may stand there by now; a stream that broke has been long over.
                for server in &*self.servers.lock().expect("no panic") {
                    server.engine.clear_break();
                }
            }
        }
    }

    fn kill(&self, which: &[usize]) {
        let mut hosts: Vec<_> = which
            .iter()
            .map(|host| self.hosts[*host].lock().expect("no panic"))
            .collect();
        for host in &mut hosts {
            host.process.kill();
        }
        for (index, host) in which.iter().zip(&mut hosts) {
            self.restart(*index, host);
        }
    }

    /// Has a server leave; a configuration written after it tells which hosts know of that.
    fn drain_and_replace(&self, position: usize) {
        let index = self.positions.lock().expect("no panic")[position];
        self.replace(position);
        let (key, entry) = {
            let servers = self.servers.lock().expect("no panic");
            let server = &servers[index];
            let key = format!("servers/{}", server.engine.id);
            (key, entry(server, "draining"))
        };
        let writes = self.writes.lock().expect("no panic");
        self.store.put(&key, &entry);
        let version = self.write_version();
        drop(writes);
        self.servers.lock().expect("no panic")[index].drain_version = Some(version);
    }

    /// Registers engines anew whose stage has changed, until the play is over.
    fn update_entries(&self) {
        let mut last: BTreeMap<usize, Value> = BTreeMap::new();
        while !self.finished.load(Ordering::SeqCst) {
            let positions = self.positions.lock().expect("no panic").clone();
            for position in positions {
                let servers = self.servers.lock().expect("no panic");
                let (id, current) = (
                    servers[position].engine.id.clone(),
                    entry(&servers[position], "ready"),
                );
                drop(servers);
                let before = last.insert(position, current.clone());
                if before.is_some_and(|before| before != current) {
                    let _writes = self.writes.lock().expect("no panic");
                    self.store.put(&format!("servers/{id}"), &current);
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Returns the entry by which a server registers: behind its forwarder.
fn entry(server: &Server, state: &str) -> Value {
    let mut entry = server.engine.entry(state);
    entry["address"] = json!(server.forwarder.addr.to_string());
    entry
}
