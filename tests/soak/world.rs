//! One play: hosts, a store and servers, callers that go on all the while, and a series of faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::check::{self, Seen};
use crate::cut::FaultProxy;
use crate::faults::{Fault, Trouble, series, with_restores, with_silence};
use crate::process::{Process, TempDir};
use crate::standin::{Engine, Store, config, settings};
use crate::{LIMIT, WITHOUT_RESTORES, WITHOUT_SILENCE};

/// Hosts of a play.
pub const HOSTS: usize = 3;
/// Stages of the servers at the start; none for a plain server. Hosts have some of them change.
const STAGES: [Option<&str>; 6] = [
    None,
    None,
    Some("prefill"),
    Some("decode"),
    Some("decode"),
    Some("decode"),
];
/// Callers that send at once.
pub const CALLERS: u64 = 6;
/// Time that an answer, or an event of one, takes at a server.
const WORK: Duration = Duration::from_millis(5);
/// Writes without an answer in one fault.
const LOST: u32 = 3;

/// A host's process and what stands before it.
pub struct Host {
    pub process: Process,
    starts: u32,
}

/// Where a host's present process listens, and which start of it that is.
#[derive(Debug, Clone)]
pub struct Door {
    pub callers: SocketAddr,
    pub name: String,
}

/// A server, its forwarder, and the version of the configuration that was written after it left.
pub struct Server {
    pub engine: Engine,
    pub cut: FaultProxy,
    pub left: Option<u64>,
}

pub struct World {
    pub folder: TempDir,
    pub logs: PathBuf,
    pub store: Store,
    /// A forwarder to the store for each host.
    pub ways: Vec<FaultProxy>,
    pub hosts: Vec<Mutex<Host>>,
    pub doors: Mutex<Vec<Door>>,
    pub servers: Mutex<Vec<Server>>,
    /// The present server of each place.
    pub places: Mutex<Vec<usize>>,
    pub version: AtomicU64,
    /// Held while the operator or a server writes, and from a restore of the store until both have written again: what
    /// a host knows of a version tells what it knows of servers only if they come back together.
    writes: Mutex<()>,
    /// Version known to be in force, by start of a host.
    pub known: Mutex<BTreeMap<String, Vec<u64>>>,
    /// Faults in force that a planned stop does not excuse, and all that were yet.
    pub wild: (AtomicU64, AtomicU64),
    pub seen: Mutex<Vec<(Seen, u64)>>,
    pub over: AtomicBool,
}

/// Says that a play is over once it is dropped.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Plays a seed; returns what broke, and what was done.
pub fn play(seed: u64) -> (Vec<String>, String) {
    let world = World::new(seed);
    let mut faults = series(seed, HOSTS, STAGES.len());
    if !WITHOUT_SILENCE.contains(&seed) {
        faults = with_silence(seed, faults);
    }
    if !WITHOUT_RESTORES.contains(&seed) {
        faults = with_restores(seed, faults);
    }
    thread::scope(|scope| {
        let world = &world;
        for number in 0..CALLERS {
            scope.spawn(move || world.call(seed, number));
        }
        for host in 0..HOSTS {
            scope.spawn(move || world.probe(host));
        }
        scope.spawn(|| world.register());
        // Callers must end also where causing a fault panics.
        let _over = Over(&world.over);
        thread::scope(|troubles| {
            for fault in &faults {
                thread::sleep(fault.after);
                troubles.spawn(move || world.cause(*fault));
            }
        });
    });
    let unrecovered = world.unrecovered();
    let record = world.record(unrecovered);
    let served = record.seen.iter().filter(|seen| seen.status == Some(200));
    let summary = format!(
        "{} requests, {} served, {} runs, {} orders",
        record.seen.len(),
        served.count(),
        record.runs.len(),
        record.orders.len()
    );
    let broken = check::check(&record);
    if broken.is_empty() {
        drop(std::fs::remove_dir_all(&world.logs));
    }
    (broken, summary)
}

impl World {
    fn new(seed: u64) -> Self {
        // Another soak of the same tree may play the same seed, and removes its folder at the end.
        let name = format!("soak-{seed}-{}", std::process::id());
        let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&logs).expect("a folder for logs");
        let store = Store::start();
        let ways: Vec<FaultProxy> = (0..HOSTS).map(|_| FaultProxy::start(store.addr)).collect();
        let mut world = Self {
            folder: TempDir::new(),
            logs,
            store,
            ways,
            hosts: Vec::new(),
            doors: Mutex::default(),
            servers: Mutex::default(),
            places: Mutex::default(),
            version: AtomicU64::new(0),
            writes: Mutex::default(),
            known: Mutex::default(),
            wild: (AtomicU64::new(0), AtomicU64::new(0)),
            seen: Mutex::default(),
            over: AtomicBool::new(false),
        };
        world.configure();
        for stage in STAGES {
            let server = world.add_server(stage);
            world.places.lock().expect("no panic").push(server);
        }
        for host in 0..HOSTS {
            let (process, door) = world.start(host, 1);
            world.hosts.push(Mutex::new(Host { process, starts: 1 }));
            world.doors.lock().expect("no panic").push(door);
        }
        for host in 0..HOSTS {
            let served = world.served_within("start", host, LIMIT);
            assert!(served.is_empty(), "not served at the start: {served:?}");
        }
        world
    }

    /// Starts a host's process.
    fn start(&self, host: usize, starts: u32) -> (Process, Door) {
        let name = format!("host-{host}");
        let text = settings(&name, self.ways[host].addr);
        let path = self.folder.write(&format!("{name}.ini"), &text);
        let log = self.logs.join(format!("{name}.{starts}.log"));
        let path = path.to_str().expect("a path");
        let process = Process::start_with_stdout(&["host", "-c", path], &log);
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let callers = line["callers"].as_str().and_then(|addr| addr.parse().ok());
        let door = Door {
            callers: callers.expect("the callers' listener"),
            name: format!("{name}.{starts}"),
        };
        (process, door)
    }

    fn start_again(&self, index: usize, host: &mut Host) {
        host.starts += 1;
        let (process, door) = self.start(index, host.starts);
        host.process = process;
        self.doors.lock().expect("no panic")[index] = door;
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
        engine.take(WORK);
        let cut = FaultProxy::start(engine.addr());
        let server = Server {
            engine,
            cut,
            left: None,
        };
        let writes = self.writes.lock().expect("no panic");
        self.store
            .put(&format!("servers/{id}"), &entry(&server, "ready"));
        drop(writes);
        servers.push(server);
        servers.len() - 1
    }

    /// Puts another server in the place of one.
    fn replace(&self, place: usize) {
        let new = self.add_server(STAGES[place]);
        self.places.lock().expect("no panic")[place] = new;
    }

    /// Does something with the present server of a place.
    fn with<T>(&self, place: usize, act: impl FnOnce(&mut Server) -> T) -> T {
        let at = self.places.lock().expect("no panic")[place];
        act(&mut self.servers.lock().expect("no panic")[at])
    }

    /// Causes one fault, and ends it after its time.
    fn cause(&self, fault: Fault) {
        let planned = matches!(
            fault.trouble,
            Trouble::Stop(_) | Trouble::Reload(_) | Trouble::Configure | Trouble::Leave(_)
        );
        if !planned {
            self.wild.0.fetch_add(1, Ordering::SeqCst);
            self.wild.1.fetch_add(1, Ordering::SeqCst);
        }
        self.carry_out(fault);
        if !planned {
            self.wild.0.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn carry_out(&self, fault: Fault) {
        let lasting = |cut: &FaultProxy, begin: fn(&FaultProxy)| {
            begin(cut);
            thread::sleep(fault.lasts);
            cut.restore();
        };
        let cut = |place| self.with(place, |server| server.cut.clone());
        match fault.trouble {
            Trouble::Kill(host) => self.kill(&[host]),
            Trouble::KillAll => self.kill(&(0..HOSTS).collect::<Vec<_>>()),
            Trouble::Stop(at) => {
                let mut host = self.hosts[at].lock().expect("no panic");
                host.process.term();
                host.process.wait_for_exit();
                self.start_again(at, &mut host);
            }
            Trouble::Freeze(host) => {
                let host = self.hosts[host].lock().expect("no panic");
                host.process.freeze();
                thread::sleep(fault.lasts);
                host.process.thaw();
            }
            Trouble::Reload(host) => self.hosts[host].lock().expect("no panic").process.hup(),
            Trouble::StoreSilent(host) => lasting(&self.ways[host], FaultProxy::silence),
            Trouble::StoreOneWay(host) => lasting(&self.ways[host], FaultProxy::block_replies),
            Trouble::StoreRefuses(host) => lasting(&self.ways[host], FaultProxy::refuse),
            Trouble::StoreReset(host) => self.ways[host].reset(),
            Trouble::StoreAway => {
                self.store.stop_answering();
                thread::sleep(fault.lasts);
                self.store.answer();
            }
            Trouble::StoreMute => {
                self.store.fall_silent();
                thread::sleep(fault.lasts / 2);
                self.configure();
                thread::sleep(fault.lasts / 2);
                self.store.answer();
            }
            Trouble::StoreRestored => {
                let _writes = self.writes.lock().expect("no panic");
                let copy = self.store.revision_before(fault.lasts);
                self.store.stop_answering();
                thread::sleep(fault.lasts / 10);
                self.store.restore(copy);
                self.store.answer();
                thread::sleep(fault.lasts / 2);
                self.store.write_again();
            }
            Trouble::StoreLoses => self.store.lose_answers(LOST),
            Trouble::Silent(place) => lasting(&cut(place), FaultProxy::silence),
            Trouble::OneWay(place) => lasting(&cut(place), FaultProxy::block_replies),
            Trouble::Delay(place) => lasting(&cut(place), FaultProxy::delay),
            Trouble::Reset(place) => cut(place).reset(),
            Trouble::Crash(place) => {
                let id = self.with(place, |server| {
                    server.engine.die();
                    server.cut.refuse();
                    server.engine.id.clone()
                });
                thread::sleep(fault.lasts);
                let writes = self.writes.lock().expect("no panic");
                self.store.remove(&format!("servers/{id}"));
                drop(writes);
                self.replace(place);
            }
            Trouble::Leave(place) => {
                self.replace_leaving(place);
            }
            Trouble::Configure => {
                self.configure();
            }
            Trouble::Break(place) => {
                self.with(place, |server| server.engine.break_after(2));
                thread::sleep(fault.lasts);
                // Another server may stand there by now; a stream that broke has been long over.
                for server in &*self.servers.lock().expect("no panic") {
                    server.engine.break_none();
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
            self.start_again(*index, host);
        }
    }

    /// Has a server leave; a configuration written after it tells which hosts know of that.
    fn replace_leaving(&self, place: usize) {
        let at = self.places.lock().expect("no panic")[place];
        self.replace(place);
        let (key, entry) = {
            let servers = self.servers.lock().expect("no panic");
            let server = &servers[at];
            let key = format!("servers/{}", server.engine.id);
            (key, entry(server, "draining"))
        };
        let writes = self.writes.lock().expect("no panic");
        self.store.put(&key, &entry);
        let version = self.write_version();
        drop(writes);
        self.servers.lock().expect("no panic")[at].left = Some(version);
    }

    /// Registers engines anew whose stage has changed, until the play is over.
    fn register(&self) {
        let mut last: BTreeMap<usize, Value> = BTreeMap::new();
        while !self.over.load(Ordering::SeqCst) {
            let places = self.places.lock().expect("no panic").clone();
            for place in places {
                let servers = self.servers.lock().expect("no panic");
                let (id, now) = (
                    servers[place].engine.id.clone(),
                    entry(&servers[place], "ready"),
                );
                drop(servers);
                let before = last.insert(place, now.clone());
                if before.is_some_and(|before| before != now) {
                    let _writes = self.writes.lock().expect("no panic");
                    self.store.put(&format!("servers/{id}"), &now);
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Returns the entry by which a server registers: behind its forwarder.
fn entry(server: &Server, state: &str) -> Value {
    let mut entry = server.engine.entry(state);
    entry["address"] = json!(server.cut.addr.to_string());
    entry
}
