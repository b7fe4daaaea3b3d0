//! A small deployment in one process, for `chiveway try`: hosts and stand-ins on loopback, each on
//! its own thread.

use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::thread::{self, JoinHandle};

use ntex::rt::{DefaultRuntime, System};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::host::{self, Listeners};
use crate::settings::{Fencing, Settings};
use crate::standin::kv::{ListEntry, ListEntryKind, ListEntryState};
use crate::standin::{engine, kv, service};

/// Key of the operators of a small deployment.
pub const OPERATOR_KEY: &str = "operator-key";
/// Key of the only customer of a small deployment.
pub const CUSTOMER_KEY: &str = "customer-key";
/// Name of the only customer.
pub const CUSTOMER: &str = "Ærø Museumsforening";
/// Model of the engines.
pub const MODEL: &str = "raadgiver";
/// Name of the plain service.
pub const SERVICE: &str = "fristportal";
/// Secret that the hosts share.
const SECRET: &str = "a secret for one process only";

/// Size of a deployment and behaviour of its hosts and stand-ins.
#[derive(Debug, Clone)]
pub struct Options {
    /// Hosts.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Instances of the service.
    pub services: usize,
    /// How engines handle fencing numbers.
    pub fencing: Fencing,
    /// Template of the engines; name, model and fencing are filled in.
    pub engine: engine::Options,
    /// Template of the key-value service; the list of hosts is filled in.
    pub kv: kv::Options,
    /// Additional lines for section `[limits]` of the hosts' settings.
    pub limits: Box<str>,
    /// Additional lines for section `[platform]` of the hosts' settings.
    pub platform: Box<str>,
    /// Additional lines for section `[pool]` of the hosts' settings.
    pub pool: Box<str>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 3,
            services: 2,
            fencing: Fencing::Checks,
            engine: engine::Options::default(),
            kv: kv::Options::default(),
            limits: "".into(),
            platform: "".into(),
            pool: "".into(),
        }
    }
}

/// A running host.
#[derive(Debug)]
pub struct HostHandle {
    /// Validated settings, with the ports that the kernel chose.
    pub settings: Settings,
    stop: Option<watch::Sender<bool>>,
    thread: Option<JoinHandle<()>>,
}

impl HostHandle {
    /// Begins a planned stop.
    pub fn stop(&mut self) {
        self.stop.take();
    }

    /// Begins a planned stop and waits for its end.
    ///
    /// # Panics
    ///
    /// When the host's thread panicked.
    pub fn join(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the host's thread did not panic");
        }
    }
}

/// A running deployment; its threads end with the process.
#[derive(Debug)]
pub struct Site {
    /// Hosts.
    pub hosts: Vec<HostHandle>,
    /// Where the key-value service and the list of hosts listen.
    pub kv: SocketAddr,
    /// Where the engines listen.
    pub engines: Vec<SocketAddr>,
    /// Where the instances of the service listen.
    pub services: Vec<SocketAddr>,
    options: Options,
    list: Vec<ListEntry>,
}

/// Opens a listener on loopback, on a port that the kernel chooses.
fn bind_loopback() -> (StdListener, SocketAddr) {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
    listener
        .set_nonblocking(true)
        .expect("a listener can be made non-blocking");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, addr)
}

fn into_tokio(listener: StdListener) -> TcpListener {
    TcpListener::from_std(listener).expect("the listener is non-blocking")
}

/// Runs a task on its own thread.
fn spawn<F, T>(name: &str, task: F) -> JoinHandle<()>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    let system = name.to_owned();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let system = System::build().name(&system).build(DefaultRuntime);
            system.block_on(async move { task().await });
        })
        .expect("a thread can be started")
}

impl Site {
    /// Starts all hosts and stand-ins.
    ///
    /// # Panics
    ///
    /// When loopback cannot be bound, a thread cannot be started, or the options give invalid
    /// settings.
    #[must_use]
    pub fn start(options: Options) -> Self {
        let (kv_listener, kv) = bind_loopback();
        let mut site = Self {
            hosts: Vec::new(),
            kv,
            engines: Vec::new(),
            services: Vec::new(),
            list: Vec::new(),
            options,
        };
        for index in 0..site.options.engines {
            site.add_engine(index);
        }
        for index in 0..site.options.services {
            site.add_service(index);
        }
        let opts = site.options.kv.clone().hosts(site.list.clone());
        spawn("kv", move || kv::run(into_tokio(kv_listener), opts));
        for index in 0..site.options.hosts {
            site.add_host(&format!("host-{}", index + 1));
        }
        site
    }

    fn add_engine(&mut self, index: usize) {
        let (listener, addr) = bind_loopback();
        let name = format!("{MODEL}-{}", index + 1);
        let mut opts = self.options.engine.clone();
        opts.name = name.as_str().into();
        opts.model = MODEL.into();
        opts.fencing = match self.options.fencing {
            Fencing::Checks => engine::Fencing::Checks,
            Fencing::Ignores => engine::Fencing::Ignores,
        };
        spawn(&name, move || engine::run(into_tokio(listener), opts));
        self.list
            .push(list_entry(&name, ListEntryKind::Engine, MODEL, addr, index));
        self.engines.push(addr);
    }

    fn add_service(&mut self, index: usize) {
        let (listener, addr) = bind_loopback();
        let name = format!("{SERVICE}-{}", index + 1);
        let opts = service::Options {
            name: SERVICE.into(),
        };
        spawn(&name, move || service::run(into_tokio(listener), opts));
        self.list.push(list_entry(
            &name,
            ListEntryKind::Service,
            SERVICE,
            addr,
            index,
        ));
        self.services.push(addr);
    }

    /// Starts one more host.
    ///
    /// # Panics
    ///
    /// See [`Site::start`].
    pub fn add_host(&mut self, name: &str) {
        let domain = domain(self.hosts.len());
        let text = settings(&self.options, name, domain, self.kv);
        let mut settings = Settings::parse(&text, "host.ini").unwrap_or_else(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            panic!("the options give invalid settings: {}", lines.join("; "))
        });
        let (callers, callers_addr) = bind_loopback();
        let (operators, operators_addr) = bind_loopback();
        let (peers, peers_addr) = bind_loopback();
        settings.host.callers = callers_addr;
        settings.host.operators = operators_addr;
        settings.host.peers = peers_addr;
        let (stop, stopped) = watch::channel(false);
        let host_settings = settings.clone();
        let thread = spawn(name, move || async move {
            let listeners = Listeners::from_parts(
                into_tokio(callers),
                into_tokio(operators),
                into_tokio(peers),
            );
            if let Err(err) = host::run(host_settings, listeners, stopped).await {
                log::error!(target: "chiveway::host.failed", "the host cannot run: {err}");
            }
        });
        self.hosts.push(HostHandle {
            settings,
            stop: Some(stop),
            thread: Some(thread),
        });
    }

    /// Returns the platform's list of backend servers at the start.
    #[must_use]
    pub fn list(&self) -> &[ListEntry] {
        &self.list
    }
}

fn domain(index: usize) -> &'static str {
    ["dk-east-a", "dk-east-b", "dk-east-c"][index % 3]
}

fn list_entry(
    name: &str,
    kind: ListEntryKind,
    pool: &str,
    addr: SocketAddr,
    index: usize,
) -> ListEntry {
    ListEntry {
        name: name.into(),
        kind,
        pool: pool.into(),
        addr,
        domain: domain(index).into(),
        state: ListEntryState::Live,
    }
}

/// Returns the text of a host's settings; its ports are placeholders.
fn settings(options: &Options, name: &str, domain: &str, kv: SocketAddr) -> String {
    let fencing = match options.fencing {
        Fencing::Checks => "checks",
        Fencing::Ignores => "ignores",
    };
    let key_hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
    let lines = [
        "[host]".to_owned(),
        format!("name = {name}"),
        "region = dk-east".to_owned(),
        format!("domain = {domain}"),
        "callers = 127.0.0.1:1".to_owned(),
        "operators = 127.0.0.1:2".to_owned(),
        "peers = 127.0.0.1:3".to_owned(),
        format!("secret = {SECRET}"),
        format!("operator-key-hash = {key_hash}"),
        "[platform]".to_owned(),
        format!("kv = {kv}"),
        format!("list = {kv}"),
        options.platform.to_string(),
        "[limits]".to_owned(),
        options.limits.to_string(),
        format!("[pool {MODEL}]"),
        format!("model = {MODEL}"),
        format!("fencing = {fencing}"),
        options.pool.to_string(),
        format!("[service {SERVICE}]"),
    ];
    lines.join("\n")
}

/// Returns the texts of the two lists, plans and uses, of a small deployment.
#[must_use]
pub fn lists() -> (String, String) {
    let key_hash = blake3::hash(CUSTOMER_KEY.as_bytes()).to_hex();
    let plans = format!("[customer {CUSTOMER}]\nplan = medlem\nkeys = {key_hash}\n");
    let uses = format!(
        "[plan medlem]\nmodels = {MODEL}\nservices = {SERVICE}\nrequests = 10000/s\n\
         [service {SERVICE}]\nrepeat = GET *\nonce = POST /extensions*\n"
    );
    (plans, uses)
}
