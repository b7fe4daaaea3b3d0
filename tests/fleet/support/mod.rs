//! A deployment of real processes on loopback, on ports chosen by the kernel.

pub mod account;
pub mod http;
#[path = "../../common/loopback.rs"]
mod loopback;
pub mod process;
pub mod proxy;

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use http::{Answer, send};
use loopback::own_loopback_addr;
use process::{Process, TempDir};

/// Timeout of any wait; far above what a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub const OPERATOR_KEY: &str = "operator-key";
pub const CUSTOMER: &str = "Ærø Museumsforening";
pub const CUSTOMER_KEY: &str = "customer-key";
pub const MODEL: &str = "raadgiver";
pub const SERVICE: &str = "fristportal";
pub const PEER_SECRET: &str = "a secret for these tests only";

/// Waits until `condition` holds; fails with `what` after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sizes and settings of a deployment.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    pub hosts: usize,
    pub engines: usize,
    pub services: usize,
    /// Additional arguments of every stand-in engine.
    pub engine_args: Vec<String>,
    /// Whether engines check fencing numbers: `checks` or `ignores`.
    pub fencing: &'static str,
    /// Additional lines of the hosts' settings, by section.
    pub platform: String,
    pub limits: String,
    pub pool: String,
    /// Text of the list `use`: what each plan may use.
    pub use_list: String,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 3,
            services: 2,
            engine_args: vec!["--instant".into()],
            fencing: "checks",
            platform: "lease = 2s\nrefresh = 200ms\n".into(),
            limits: String::new(),
            pool: String::new(),
            use_list: format!(
                "[plan medlem]\nmodels = {MODEL}\nservices = {SERVICE}\nrequests = 100000/s\n\
                 [service {SERVICE}]\nrepeat = GET *\nonce = POST *\n"
            ),
        }
    }
}

/// A running host.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// A running stand-in for a backend server.
#[derive(Debug)]
pub struct Backend {
    pub name: String,
    pub kind: &'static str,
    pub process: Process,
    pub addr: SocketAddr,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    pub config: FleetConfig,
    /// Loopback address of all its processes.
    ip: Ipv4Addr,
    pub kv: Process,
    pub kv_addr: SocketAddr,
    pub backends: Vec<Backend>,
    pub hosts: Vec<Host>,
    folder: TempDir,
}

impl Fleet {
    /// Starts all processes, uploads the lists and waits until every host is ready.
    pub fn start(config: FleetConfig) -> Self {
        let ip = own_loopback_addr();
        let listen = format!("{ip}:0");
        let kv = Process::start(&["standin", "kv", "--listen", &listen], None);
        let kv_addr = kv.addr("on");
        let mut fleet = Self {
            config,
            ip,
            kv,
            kv_addr,
            backends: Vec::new(),
            hosts: Vec::new(),
            folder: TempDir::new(),
        };
        for index in 0..fleet.config.engines {
            fleet.add_engine(&format!("{MODEL}-{}", index + 1));
        }
        for index in 0..fleet.config.services {
            fleet.add_service(&format!("{SERVICE}-{}", index + 1));
        }
        fleet.publish_listing(|_| "live");
        for index in 0..fleet.config.hosts {
            fleet.add_host(&format!("host-{}", index + 1));
        }
        fleet.put_lists();
        for index in 0..fleet.hosts.len() {
            fleet.wait_until_ready(index);
        }
        fleet
    }

    pub fn add_engine(&mut self, name: &str) {
        let listen = self.any_port();
        let mut args = vec!["standin", "engine", "--listen", &listen];
        args.extend(["--name", name, "--model", MODEL]);
        args.extend(["--fencing", self.config.fencing]);
        args.extend(self.config.engine_args.iter().map(String::as_str));
        let process = Process::start(&args, None);
        self.add_backend("engine", name, process);
    }

    pub fn add_service(&mut self, name: &str) {
        let listen = self.any_port();
        let args = ["standin", "service", "--listen", &listen, "--name", name];
        let process = Process::start(&args, None);
        self.add_backend("service", name, process);
    }

    /// Returns the deployment's address with a port that the kernel chooses.
    fn any_port(&self) -> String {
        format!("{}:0", self.ip)
    }

    fn add_backend(&mut self, kind: &'static str, name: &str, process: Process) {
        self.backends.push(Backend {
            name: name.into(),
            kind,
            addr: process.addr("on"),
            process,
        });
    }

    pub fn engines(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().filter(|b| b.kind == "engine")
    }

    pub fn services(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().filter(|b| b.kind == "service")
    }

    /// Sets the platform's listing. `state` returns `live` or `leaving` for a backend server's
    /// name, or `gone` to leave it out.
    pub fn publish_listing(&self, state: impl Fn(&str) -> &'static str) {
        let entries: Vec<Value> = self
            .backends
            .iter()
            .filter(|backend| state(&backend.name) != "gone")
            .map(|backend| {
                json!({
                    "name": backend.name,
                    "kind": backend.kind,
                    "pool": if backend.kind == "engine" { MODEL } else { SERVICE },
                    "addr": backend.addr.to_string(),
                    "domain": domain(&backend.name),
                    "state": state(&backend.name),
                })
            })
            .collect();
        let body = Value::Array(entries).to_string();
        let answer = send(self.kv_addr, "PUT", "/hosts", &[], body.as_bytes());
        assert!(answer.is_some_and(|answer| answer.status < 300));
    }

    /// Returns the text of a host's settings.
    pub fn settings(&self, name: &str) -> String {
        let operator = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
        let FleetConfig {
            platform,
            limits,
            pool,
            fencing,
            ..
        } = &self.config;
        let (kv, listen) = (self.kv_addr, self.any_port());
        format!(
            "[host]\nname = {name}\nregion = dk-east\ndomain = {domain}\n\
             callers = {listen}\noperators = {listen}\npeers = {listen}\n\
             secret = {PEER_SECRET}\noperator-key-hash = {operator}\n\
             [platform]\nkv = {kv}\nlist = {kv}\n{platform}\
             [limits]\n{limits}\n\
             [pool {MODEL}]\nmodel = {MODEL}\nfencing = {fencing}\n{pool}\n\
             [service {SERVICE}]\n",
            domain = domain(name),
        )
    }

    pub fn add_host(&mut self, name: &str) {
        let text = self.settings(name);
        self.add_host_with(name, &text);
    }

    /// Returns what a host has logged so far.
    pub fn log(&self, name: &str) -> String {
        self.folder.read(&format!("{name}.log"))
    }

    /// Starts a host with the given settings.
    pub fn add_host_with(&mut self, name: &str, settings: &str) {
        let path = self.folder.write(&format!("{name}.ini"), settings);
        let log = path.with_extension("log");
        let path = path.to_str().expect("the path is valid UTF-8");
        let process = Process::start(&["host", "-c", path], Some(&log));
        self.hosts.push(Host {
            name: name.into(),
            callers: process.addr("callers"),
            operators: process.addr("operators"),
            peers: process.addr("peers"),
            process,
        });
    }

    fn put_lists(&self) {
        let host = &self.hosts[0];
        wait_for("the first host reaches the store", || {
            self.status(0)["store"].as_str() == Some("up")
        });
        let key = blake3::hash(CUSTOMER_KEY.as_bytes()).to_hex();
        let plans = format!("[customer {CUSTOMER}]\nplan = medlem\nkeys = {key}\n");
        let use_list = self.config.use_list.clone();
        for (revision, list, text) in [("\"0\"", "use", use_list), ("\"1\"", "plans", plans)] {
            let auth = format!("Bearer {OPERATOR_KEY}");
            let headers = [("authorization", auth.as_str()), ("if-match", revision)];
            let path = format!("/lists/{list}");
            let answer = send(host.operators, "PUT", &path, &headers, text.as_bytes());
            let answer = answer.expect("the host answers");
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }

    /// Waits until a host is ready and lists all hosts and backend servers.
    pub fn wait_until_ready(&self, host: usize) {
        wait_for(&format!("{} is ready", self.hosts[host].name), || {
            let status = self.status(host);
            let hosts = status["hosts"].as_array().map_or(0, Vec::len);
            let backends = status["backends"].as_array().map_or(0, Vec::len);
            status["ready"] == true && hosts >= self.hosts.len() && backends == self.backends.len()
        });
    }

    /// Sends a GET request to a host's operator API.
    pub fn get_operator(&self, host: usize, path: &str) -> Option<Answer> {
        let auth = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", auth.as_str())];
        send(self.hosts[host].operators, "GET", path, &headers, &[])
    }

    pub fn status(&self, host: usize) -> Value {
        self.get_operator(host, "/status")
            .map(|answer| answer.json())
            .unwrap_or_default()
    }

    /// Returns the record of a request, as reported by a host.
    pub fn explain(&self, host: usize, id: &str) -> Value {
        self.get_operator(host, &format!("/explain/{id}"))
            .map(|answer| answer.json())
            .unwrap_or_default()
    }

    /// Sets fault switches of the stand-in key-value service.
    pub fn inject_kv_fault(&self, fault: &Value) {
        inject_fault(self.kv_addr, fault);
    }

    /// Returns the stand-in key-value service's counts of calls.
    pub fn kv_calls(&self) -> Value {
        let answer = send(self.kv_addr, "GET", "/calls", &[], &[]);
        answer.expect("the stand-in responds").json()
    }
}

/// Sets fault switches of a stand-in.
pub fn inject_fault(addr: SocketAddr, fault: &Value) {
    let answer = send(addr, "POST", "/fault", &[], fault.to_string().as_bytes());
    let answer = answer.expect("the stand-in responds");
    assert!(answer.status < 300, "{}", answer.text());
}

/// Returns the failure domain of a name, chosen by its last digit.
pub fn domain(name: &str) -> &'static str {
    let digit = name.bytes().rev().find(u8::is_ascii_digit).unwrap_or(b'1');
    ["dk-east-c", "dk-east-a", "dk-east-b"][usize::from(digit - b'0') % 3]
}

/// Requests a completion and reads the whole answer.
pub fn complete(addr: SocketAddr, prompt: &str, tokens: u64, stream: bool) -> Option<Answer> {
    open_completion(addr, prompt, tokens, stream).map(http::OpenAnswer::rest)
}

/// Requests a completion and reads only the head of the answer.
pub fn open_completion(
    addr: SocketAddr,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Option<http::OpenAnswer> {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream});
    let auth = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", auth.as_str())];
    let body = body.to_string();
    http::open(addr, "POST", "/v1/completions", &headers, body.as_bytes())
}

/// Calls the service; an empty `key` sends no idempotency key.
pub fn call_service(
    addr: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Option<Answer> {
    let auth = format!("Bearer {CUSTOMER_KEY}");
    let mut headers = vec![("authorization", auth.as_str())];
    if !key.is_empty() {
        headers.push(("idempotency-key", key));
    }
    let path = format!("/services/{SERVICE}{path}");
    send(addr, method, &path, &headers, body.as_bytes())
}

/// Returns how often all instances of the service ran calls whose name contains `part`.
pub fn service_runs(fleet: &Fleet, part: &str) -> u64 {
    let counts = fleet.services().map(|service| {
        let answer = send(service.addr, "GET", "/counts", &[], &[]);
        let counts = answer.expect("the stand-in responds").json();
        let counts = counts.as_object().cloned().unwrap_or_default();
        counts
            .iter()
            .filter(|(name, _)| name.contains(part))
            .filter_map(|(_, count)| count.as_u64())
            .sum::<u64>()
    });
    counts.sum()
}
