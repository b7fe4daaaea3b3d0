//! Runs a parsed command.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::backend;
use crate::cli::{CheckOptions, Command, HostOptions, Pace, StandinKind, StandinOptions};
use crate::host::{self, HostError, Listeners};
use crate::lists::KeyHash;
use crate::load::{self, LoadError};
use crate::logs::{self, LogError};
use crate::operate::{self, OperateError};
use crate::output;
use crate::sections::Fault;
use crate::settings::{self, Fencing, Settings};
use crate::standin::{engine, hop, kv, service};
use crate::trial::{self, TrialError};
use crate::web;

/// Exit code of a host that a second signal ends before its planned stop is complete.
const EXIT_SECOND_SIGNAL: i32 = 130;
/// Time between two reads of the settings file.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time of an empty step of a stand-in engine, to which its work is added.
const ENGINE_STEP_TIME: Duration = Duration::from_millis(5);
/// How many times faster a stand-in engine imports the KV cache of a prompt token than it prefills
/// the token.
const IMPORT_SPEEDUP: u32 = 20;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// `load` failed.
    #[snafu(transparent)]
    Load {
        /// Why.
        source: LoadError,
    },
    /// A stand-in could not be registered.
    #[snafu(display("cannot register {name} in the list at {addr}: {problem}"))]
    Register {
        /// Name of the stand-in.
        name: Box<str>,
        /// Address of the list.
        addr: SocketAddr,
        /// Why.
        problem: Box<str>,
    },
    /// A hop has no target.
    #[snafu(display("no --target: give the address that requests are forwarded to"))]
    NoTarget,
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: Box<Path>,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Settings files have faults, which have been printed.
    #[snafu(display("{count} faults; correct them and check again"))]
    Faults {
        /// Number of faults.
        count: usize,
    },
    /// Standard input or output failed.
    #[snafu(display("cannot use standard input or output: {source}"))]
    Stdio {
        /// Error from the operating system.
        source: io::Error,
    },
    /// Standard input holds no key.
    #[snafu(display("no key on standard input; give one: printf %s KEY | chiveway hash"))]
    NoKey,
    /// A host cannot run.
    #[snafu(transparent)]
    Host {
        /// Why.
        source: HostError,
    },
    /// A stand-in cannot listen.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Handlers of signals cannot be installed.
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signals {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The log cannot be set up.
    #[snafu(transparent)]
    Log {
        /// Why.
        source: LogError,
    },
    /// `try` failed.
    #[snafu(transparent)]
    Trial {
        /// Why.
        source: TrialError,
    },
    /// An operators' command failed.
    #[snafu(transparent)]
    Operate {
        /// Why.
        source: OperateError,
    },
}

/// Runs a command to its end.
///
/// # Errors
///
/// Returns why it failed; the message says how to correct it where the user can.
pub fn run(command: Command) -> Result<(), RunError> {
    match command {
        Command::Help(text) => output::print(&text).context(StdioSnafu),
        Command::Version => output::print(VERSION).context(StdioSnafu),
        Command::Hash => hash_key(),
        Command::Check(options) => check_settings(&options),
        Command::List(options) => Ok(block_on(operate::list(options))?),
        Command::Explain(options) => Ok(block_on(operate::explain(options))?),
        Command::Status(options) => Ok(block_on(operate::status(options))?),
        Command::Refused(options) => Ok(block_on(operate::refused(options))?),
        Command::Host(options) => run_host(&options),
        Command::Standin(options) => block_on(run_standin(options)),
        Command::Try(options) => Ok(block_on(trial::run(options))?),
        Command::Load(options) => Ok(block_on(load::run(options))?),
    }
}

/// Name and version of the program.
const VERSION: &str = concat!("chiveway ", env!("CARGO_PKG_VERSION"));

fn block_on<R: 'static>(task: impl Future<Output = R> + 'static) -> R {
    let system = System::build().name("chiveway").build(DefaultRuntime);
    system.block_on(task)
}

/// Handlers of the signals that a host acts on.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers, before anything that takes time.
    ///
    /// Without a handler each of these signals ends the process: a host that received SIGHUP just
    /// after its start would exit and lose the requests it had accepted, visible only as a start
    /// without a stop in its log.
    fn listen() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a host until a planned stop is complete.
fn run_host(options: &HostOptions) -> Result<(), RunError> {
    let path = options.config.clone();
    block_on(async move {
        let Signals { term, int, hup } = Signals::listen().context(SignalsSnafu)?;
        let mut settings = read_settings(&path)?;
        logs::init(&settings.log)?;
        let (stop, stopped) = watch::channel(false);
        let repeated = if settings.relay.is_some() {
            RepeatedTerm::Ignored
        } else {
            RepeatedTerm::Ends
        };
        ntex::rt::spawn(handle_stop_signals(term, int, stop, repeated));
        if settings.relay.is_some() {
            let (tx, reloads) = mpsc::channel(1);
            ntex::rt::spawn(reload_settings(path, hup, tx));
            return Ok(host::run_relay(settings, stopped, reloads).await?);
        }
        let listeners = Listeners::open(&mut settings)?;
        let host = &settings.host;
        output::print(&format!(
            "{}: callers {}, operators {}, peers {}",
            host.name, host.callers, host.operators, host.peers
        ))
        .context(StdioSnafu)?;
        Ok(host::run(settings, listeners, stopped).await?)
    })
}

/// Reads the settings again on SIGHUP, and periodically since the file may change without one.
async fn reload_settings(path: PathBuf, mut hup: Signal, tx: mpsc::Sender<Settings>) {
    let mut last_text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        let text = match fs::read_to_string(&path) {
            Ok(text) if text != last_text => text,
            Ok(_) => continue,
            Err(err) => {
                log::warn!(target: "chiveway::settings.unreadable", "cannot read the settings file, the settings in force are kept: {err}");
                continue;
            }
        };
        match parse_settings(&text, &path.display().to_string()) {
            Ok(settings) => {
                if tx.send(settings).await.is_err() {
                    return;
                }
            }
            Err(faults) => {
                for fault in faults {
                    log::warn!(target: "chiveway::settings.fault", "invalid settings, those in force are kept: {fault}");
                }
            }
        }
        last_text = text;
    }
}

/// What SIGTERM does to a host that is stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RepeatedTerm {
    /// It ends the process.
    Ends,
    /// Nothing: the platform ends a relaying host with SIGKILL, and may signal a stop more than once.
    Ignored,
}

/// Begins a planned stop at the first signal; a second one ends the process, unless it is a SIGTERM that is ignored.
async fn handle_stop_signals(
    mut term: Signal,
    mut int: Signal,
    stop: watch::Sender<bool>,
    repeated: RepeatedTerm,
) {
    let mut is_stopping = false;
    loop {
        let ends = tokio::select! {
            _ = term.recv() => repeated == RepeatedTerm::Ends,
            _ = int.recv() => true,
        };
        if is_stopping && ends {
            std::process::exit(EXIT_SECOND_SIGNAL);
        }
        is_stopping = true;
        stop.send_replace(true);
    }
}

fn read_settings(path: &Path) -> Result<Settings, RunError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse_settings(&text, &path.display().to_string()).map_err(|faults| {
        for fault in &faults {
            output::print_message(output::Severity::Error, &fault.to_string());
        }
        RunError::Faults {
            count: faults.len(),
        }
    })
}

/// Parses the settings of a host, with or without section `[relay]`.
fn parse_settings(text: &str, file: &str) -> Result<Settings, Vec<Fault>> {
    if settings::relay::is_relay(text) {
        Settings::parse_relay(text, file)
    } else {
        Settings::parse(text, file)
    }
}

/// Runs a stand-in until the process is ended.
async fn run_standin(options: StandinOptions) -> Result<(), RunError> {
    let addr = options.listen;
    let listener = web::listen(addr).context(ListenSnafu { addr })?;
    let addr = listener.local_addr().context(ListenSnafu { addr })?;
    if let Some(list) = options.register {
        register(&options, list, addr).await?;
    }
    output::print(&format!("{} listens on {addr}", options.name)).context(StdioSnafu)?;
    match options.kind {
        StandinKind::Hop => {
            let target = options.target.context(NoTargetSnafu)?;
            hop::run(listener, target).await;
        }
        StandinKind::Kv => kv::run(listener, kv::Options::default()).await,
        StandinKind::Engine => engine::run(listener, engine_options(options)).await,
        StandinKind::Service => {
            let name = options.name;
            service::run(listener, service::Options { name }).await;
        }
    }
    Ok(())
}

/// Registers a stand-in in the list of hosts and backend servers.
async fn register(
    options: &StandinOptions,
    list: SocketAddr,
    addr: SocketAddr,
) -> Result<(), RunError> {
    let (kind, pool) = match options.kind {
        StandinKind::Engine => ("engine", &options.model),
        _ => ("service", &options.name),
    };
    let entry = json!({
        "name": options.name,
        "kind": kind,
        "pool": options.pool.as_ref().unwrap_or(pool),
        "addr": addr.to_string(),
        "domain": options.domain,
        "state": "live",
    });
    let failed = |problem: String| RunError::Register {
        name: options.name.clone(),
        addr: list,
        problem: problem.into(),
    };
    let client = backend::Client::new(backend::Options::default()).await;
    let client = client.map_err(|err| failed(err.to_string()))?;
    let call = backend::Call {
        method: "POST",
        addr: list,
        path: "/hosts",
        headers: &[("content-type", "application/json")],
        body: entry.to_string().into(),
    };
    let answer = client.call(call).await;
    let answer = answer.map_err(|err| failed(err.to_string()))?;
    match answer.status {
        204 => Ok(()),
        status => Err(failed(format!("the list answered with status {status}"))),
    }
}

fn engine_options(options: StandinOptions) -> engine::Options {
    let pace = match options.pace {
        Pace::Instant => engine::Timing::Instant,
        Pace::Modelled => engine::Timing::Steps(engine::StepCosts {
            base: ENGINE_STEP_TIME,
            prefill: options.prefill_cost,
            // The option is the cost of a full batch; the stand-in takes the cost per stream.
            decode: options.decode_cost / u32::try_from(options.slots).unwrap_or(u32::MAX),
            import: options.prefill_cost / IMPORT_SPEEDUP,
            speed: options.speed,
        }),
    };
    let mut engine = engine::Options {
        name: options.name,
        model: options.model,
        timing: pace,
        slots: options.slots,
        load_lag: options.lag,
        fencing: match options.fencing {
            Fencing::Checks => engine::Fencing::Checks,
            Fencing::Ignores => engine::Fencing::Ignores,
        },
        crash: engine::Crash::Exit,
        ..engine::Options::default()
    };
    engine.cache.block_tokens = options.block_tokens as u64;
    engine
}

/// Reads a key from standard input, without its line end, and prints its hash.
fn hash_key() -> Result<(), RunError> {
    let text = io::read_to_string(io::stdin()).context(StdioSnafu)?;
    match text.trim() {
        "" => NoKeySnafu.fail(),
        key => output::print(&KeyHash::of(key).to_string()).context(StdioSnafu),
    }
}

/// Checks settings files and prints every fault of each.
fn check_settings(options: &CheckOptions) -> Result<(), RunError> {
    let mut count = 0;
    for path in &options.files {
        let text = fs::read_to_string(path).context(ReadSnafu {
            path: path.as_path(),
        })?;
        let file = path.display().to_string();
        let faults = parse_settings(&text, &file).err().unwrap_or_default();
        for fault in &faults {
            output::print(&fault.to_string()).context(StdioSnafu)?;
        }
        if faults.is_empty() {
            output::print(&format!("{file}: no fault")).context(StdioSnafu)?;
        }
        count += faults.len();
    }
    if count == 0 {
        return Ok(());
    }
    FaultsSnafu { count }.fail()
}
