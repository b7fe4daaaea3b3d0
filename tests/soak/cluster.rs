//! The run of one seed: hosts, a store, servers and callers, with a series of injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::check::{self, Observation};
use crate::cut::FaultProxy;
use crate::faults::{
    series, with_crowds, with_hang, with_partitions, with_restores, with_torn_answers,
    with_troubles,
};
use crate::kept::KEPT_CALLER_COUNT;
use crate::loopback::own_loopback_addr;
use crate::partition::Links;
use crate::poison::POISON;
use crate::process::{Process, TempDir};
use crate::silence::QUIET_ID_PREFIX;
use crate::standin::balancer::{Balancer, Member};
use crate::standin::{Engine, Store, config, settings};
use crate::{REGRESSION_SEEDS, SEEDS_WITHOUT_HANG, SEEDS_WITHOUT_RESTORES, WAIT_TIMEOUT};

/// Number of hosts.
pub const HOST_COUNT: usize = 3;
/// Initial stages of the servers; `None` for a plain server. Hosts order some to change.
pub const SERVER_STAGES: [Option<&str>; 6] = [
    None,
    None,
    Some("prefill"),
    Some("decode"),
    Some("decode"),
    Some("decode"),
];
/// Software versions that servers have in turn.
const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];
/// Number of concurrent callers.
pub const CALLER_COUNT: u64 = 6;
/// Delay of an answer, or of an event of a stream, at a server.
pub const SERVER_DELAY: Duration = Duration::from_millis(5);

/// Gap target of the routes in milliseconds: streams leave servers that are silent for 900 ms, the least for any route.
const GAP_TARGET_MS: u64 = 200;

/// A host's process and how often it has been started.
pub struct Host {
    pub process: Process,
    starts: u32,
}

/// Address and name of the current process of a host; the name ends with the number of its start.
#[derive(Debug, Clone)]
pub struct Incarnation {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub name: String,
    pub started: Instant,
}

/// A server, its forwarder, and the configuration version written after its drain.
pub struct Server {
    pub engine: Engine,
    pub forwarder: FaultProxy,
    pub drain_version: Option<u64>,
}

pub struct Cluster {
    pub folder: TempDir,
    pub logs: PathBuf,
    pub store: Store,
    /// A forwarder to the store for each host.
    pub store_forwarders: Vec<FaultProxy>,
    pub hosts: Vec<Mutex<Host>>,
    pub balancer: Balancer,
    /// Whether hosts have links of their own, which can be cut.
    pub has_links: bool,
    /// The links of each host.
    pub links: Vec<Mutex<Links>>,
    pub incarnations: Mutex<Vec<Incarnation>>,
    pub servers: Mutex<Vec<Server>>,
    /// Index of the current server of each position.
    pub positions: Mutex<Vec<usize>>,
    pub version: AtomicU64,
    /// Held during writes of the operator or a server, and from a restore until the lost writes are repeated:
    /// a host's version shows which server entries it has read only if all of them are restored together.
    pub writes: Mutex<()>,
    /// Versions observed in force, by host incarnation.
    pub served_versions: Mutex<BTreeMap<String, Vec<u64>>>,
    /// Number of unplanned faults: active now, and injected so far.
    pub unplanned: (AtomicU64, AtomicU64),
    pub observations: Mutex<Vec<(Observation, u64)>>,
    /// For how long the host had run that sent the request under which each server crashed.
    pub poisoned_by: Mutex<BTreeMap<String, Duration>>,
    /// Part of prompts that crashes engines.
    pub bad_part: Option<&'static str>,
    /// When the host had started to which each request with that part was sent.
    pub part_senders: Mutex<BTreeMap<String, Instant>>,
    /// Servers that sent the events of each stream, over all attempts of its caller.
    pub streams: Mutex<Vec<Vec<String>>>,
    /// Requests whose callers left, and when.
    pub departures: Mutex<Vec<(String, Instant)>>,
    pub finished: AtomicBool,
    pub started: Instant,
}

/// Sets a flag when dropped.
struct FinishOnDrop<'a>(&'a AtomicBool);

impl Drop for FinishOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs a seed, with a part of prompts that crashes engines if there is one; returns the violations and a summary.
pub fn run_seed(seed: u64, bad_part: Option<&'static str>) -> (Vec<String>, String) {
    let cluster = Cluster::new(seed, bad_part);
    let mut faults = series(seed, HOST_COUNT, SERVER_STAGES.len());
    if !SEEDS_WITHOUT_HANG.contains(&seed) {
        faults = with_hang(seed, faults);
    }
    if !SEEDS_WITHOUT_RESTORES.contains(&seed) {
        faults = with_restores(seed, faults);
    }
    if !REGRESSION_SEEDS.contains(&seed) {
        faults = with_torn_answers(seed, faults, SERVER_STAGES.len());
    }
    if cluster.has_links {
        faults = with_partitions(seed, faults, HOST_COUNT);
    }
    if !REGRESSION_SEEDS.contains(&seed) {
        faults = with_crowds(seed, faults, HOST_COUNT);
        faults = with_troubles(seed, faults, HOST_COUNT, SERVER_STAGES.len());
    }
    thread::scope(|scope| {
        let cluster = &cluster;
        for number in 0..CALLER_COUNT {
            scope.spawn(move || cluster.send_requests(seed, number));
        }
        for number in 0..KEPT_CALLER_COUNT {
            scope.spawn(move || cluster.send_on_kept_connections(seed, number));
        }
        for host in 0..HOST_COUNT {
            scope.spawn(move || cluster.probe_versions(host));
        }
        scope.spawn(|| cluster.update_entries());
        scope.spawn(move || cluster.send_poison(seed));
        scope.spawn(move || cluster.take_up_streams(seed));
        if let Some(part) = cluster.bad_part {
            scope.spawn(move || cluster.send_bad_parts(seed, part));
        }
        // Callers must also end if injecting a fault panics.
        let _finish = FinishOnDrop(&cluster.finished);
        thread::scope(|injections| {
            for fault in &faults {
                thread::sleep(fault.delay);
                injections.spawn(move || cluster.inject(*fault));
            }
        });
    });
    let mut unrecovered = cluster.unrecovered();
    cluster.pass_departures(seed);
    if !REGRESSION_SEEDS.contains(&seed) {
        cluster.pass_silences(seed);
    }
    if !REGRESSION_SEEDS.contains(&seed) {
        cluster.pass_crowd(seed);
    }
    if let Some(part) = cluster.bad_part {
        unrecovered.extend(cluster.unserved_beside(seed, part));
    }
    unrecovered.extend(cluster.unserved_in_partition(seed));
    cluster.send_late_poison(seed);
    let record = cluster.record(unrecovered);
    let served = record
        .observations
        .iter()
        .filter(|seen| seen.status == Some(200));
    let silent = record.observations.iter();
    let silent = silent.filter(|seen| seen.id.starts_with(QUIET_ID_PREFIX));
    let (served_in_crowd, read_in_crowd) = check::count_first_attempts(&record, check::IN_CROWD);
    let summary = format!(
        "{} requests ({} beside silences), {} served, {} runs, {} orders, {} crashes under one request, {} by a part of prompts, {} streams of which {} went on, {served_in_crowd} of {read_in_crowd} read in a crowd served, {} held for callers that left, met troubles: {:?}",
        record.observations.len(),
        silent.count(),
        served.count(),
        record.runs.len(),
        record.orders.len(),
        record.poison_crashes.len(),
        record.part_crashes.len(),
        record.streams.len(),
        record
            .streams
            .iter()
            .filter(|events| events.len() > 1)
            .count(),
        record.departures.len(),
        cluster.count_troubles()
    );
    let violations = check::check(&record);
    if violations.is_empty() {
        drop(std::fs::remove_dir_all(&cluster.logs));
    }
    (violations, summary)
}

impl Cluster {
    pub fn new(seed: u64, bad_part: Option<&'static str>) -> Self {
        // Another soak of the same tree may run the same seed and remove its folder at the end.
        let name = format!(
            "soak-{seed}{}-{}",
            bad_part.unwrap_or_default(),
            std::process::id()
        );
        let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&logs).expect("a folder for logs");
        let store = Store::start();
        // A failure domain has one watcher of the store, whose view all its hosts get: hosts with links of their own
        // are in different ones.
        let has_links = !REGRESSION_SEEDS.contains(&seed) && seed.is_multiple_of(2);
        let links: Vec<Links> = (0..HOST_COUNT).map(|_| Links::new()).collect();
        let store_addr = |links: &Links| {
            if has_links {
                links.view(&store)
            } else {
                store.addr
            }
        };
        let store_forwarders = links
            .iter()
            .map(|links| FaultProxy::start(store_addr(links)));
        let store_forwarders: Vec<FaultProxy> = store_forwarders.collect();
        let mut cluster = Self {
            folder: TempDir::new(),
            logs,
            store,
            store_forwarders,
            hosts: Vec::new(),
            balancer: Balancer::start(Vec::new()),
            has_links,
            links: links.into_iter().map(Mutex::new).collect(),
            incarnations: Mutex::default(),
            servers: Mutex::default(),
            positions: Mutex::default(),
            version: AtomicU64::new(0),
            writes: Mutex::default(),
            served_versions: Mutex::default(),
            unplanned: (AtomicU64::new(0), AtomicU64::new(0)),
            observations: Mutex::default(),
            poisoned_by: Mutex::default(),
            bad_part,
            part_senders: Mutex::default(),
            streams: Mutex::default(),
            departures: Mutex::default(),
            finished: AtomicBool::new(false),
            started: Instant::now(),
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
        let incarnations = cluster.incarnations.lock().expect("no panic").clone();
        let members = incarnations.iter().map(|host| Member {
            callers: host.callers,
            readiness: host.readiness,
            domain: 0,
        });
        cluster.balancer = Balancer::start(members.collect());
        for host in 0..HOST_COUNT {
            let unserved = cluster.unserved_within("start", host, WAIT_TIMEOUT);
            assert!(unserved.is_empty(), "not served at the start: {unserved:?}");
        }
        cluster
    }

    /// Starts a host's process.
    fn start(&self, host: usize, starts: u32) -> (Process, Incarnation) {
        let name = format!("host-{host}");
        // Callers, other hosts and the balancer go on sending to the former addresses of a host that has ended. With an
        // address for all, the kernel may give one of its ports to the readiness or metrics listener of another process.
        let ip = own_loopback_addr();
        let text = settings(&name, self.store_forwarders[host].addr);
        let mut text = text.replace("127.0.0.1:0", &format!("{ip}:0"));
        if self.has_links {
            text = text.replace("domain = z", &format!("domain = z{host}"));
        }
        let path = self.folder.write(&format!("{name}.ini"), &text);
        let log = self.logs.join(format!("{name}.{starts}.log"));
        let path = path.to_str().expect("a path");
        let process = Process::start_with_stdout(&["host", "-c", path], &log);
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        let incarnation = Incarnation {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            name: format!("{name}.{starts}"),
            started: Instant::now(),
        };
        (process, incarnation)
    }

    pub fn restart(&self, index: usize, host: &mut Host) {
        host.starts += 1;
        let (process, incarnation) = self.start(index, host.starts);
        host.process = process;
        self.balancer
            .replace(index, incarnation.callers, incarnation.readiness);
        self.incarnations.lock().expect("no panic")[index] = incarnation;
    }

    /// Writes the next configuration, which has a route of its own; returns its version.
    pub fn configure(&self) -> u64 {
        let _writes = self.writes.lock().expect("no panic");
        self.write_version()
    }

    /// Writes the next configuration; `writes` must be held.
    pub fn write_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut config = config(version, "/short/");
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            route["gapTargetMs"] = json!(GAP_TARGET_MS);
        }
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
        engine.set_version(SOFTWARE_VERSIONS[servers.len() % SOFTWARE_VERSIONS.len()]);
        engine.crash_on(POISON);
        if let Some(part) = self.bad_part {
            engine.crash_on_part(part);
        }
        let forwarder = FaultProxy::start(engine.addr());
        if self.has_links {
            for links in &self.links {
                links.lock().expect("no panic").add(forwarder.addr);
            }
        }
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

    /// Removes the entry of a server that has ended.
    pub fn remove_entry(&self, id: &str) {
        let _writes = self.writes.lock().expect("no panic");
        self.store.remove(&format!("servers/{id}"));
    }

    /// Adds a server and makes it the current one of a position.
    pub fn replace(&self, position: usize) {
        let new = self.add_server(SERVER_STAGES[position]);
        self.positions.lock().expect("no panic")[position] = new;
    }

    /// Runs `act` on the current server of a position.
    pub fn with_server<T>(&self, position: usize, act: impl FnOnce(&mut Server) -> T) -> T {
        let index = self.positions.lock().expect("no panic")[position];
        act(&mut self.servers.lock().expect("no panic")[index])
    }

    /// Updates the entries of engines whose stage has changed, until the run is over.
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

/// Returns a server's entry, with the address of its forwarder.
pub fn entry(server: &Server, state: &str) -> Value {
    let mut entry = server.engine.entry(state);
    entry["address"] = json!(server.forwarder.addr.to_string());
    entry
}
