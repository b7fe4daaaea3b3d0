//! Carries out a command.

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

/// Exit code of a host that a second signal ended before its planned stop was complete.
const ENDED_BY_SIGNAL: i32 = 130;
/// Time between two looks at the settings file.
const REREAD: Duration = Duration::from_secs(5);
/// Fixed time of a stand-in engine's step.
const STEP: Duration = Duration::from_millis(5);
/// How much faster a stand-in engine imports a prompt token's KV cache than it prefills it.
const IMPORT_GAIN: u32 = 20;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// Load could not be sent.
    #[snafu(transparent)]
    Load {
        /// Why.
        source: LoadError,
    },
    /// A stand-in could not be listed.
    #[snafu(display("cannot add {name} to the list at {addr}: {problem}"))]
    Register {
        /// Name of the stand-in.
        name: Box<str>,
        /// Address of the list.
        addr: SocketAddr,
        /// What was met.
        problem: Box<str>,
    },
    /// A hop was not told where to pass requests on to.
    #[snafu(display("no --target; give the address that requests are passed on to"))]
    NoTarget,
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: Box<Path>,
        /// What the system says.
        source: io::Error,
    },
    /// Settings have faults, which were printed.
    #[snafu(display("{count} faults; correct them and check again"))]
    Faults {
        /// How many were found.
        count: usize,
    },
    /// Standard input or output failed.
    #[snafu(display("cannot use standard input or output: {source}"))]
    Stream {
        /// What the system says.
        source: io::Error,
    },
    /// No key came on standard input.
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
        /// What the system says.
        source: io::Error,
    },
    /// Signals cannot be waited for.
    #[snafu(display("signals cannot be waited for: {source}"))]
    Signals {
        /// What the system says.
        source: io::Error,
    },
    /// The log cannot be set up.
    #[snafu(transparent)]
    Log {
        /// Why.
        source: LogError,
    },
    /// A trial failed.
    #[snafu(transparent)]
    Trial {
        /// What was not as it should be.
        source: TrialError,
    },
    /// An operators' command failed.
    #[snafu(transparent)]
    Operate {
        /// Why.
        source: OperateError,
    },
}

/// Carries out a command to its end.
///
/// # Errors
///
/// Returns why it failed, in words that tell the user what to do.
pub fn run(command: Command) -> Result<(), RunError> {
    match command {
        Command::Help(text) => output::say(&text).context(StreamSnafu),
        Command::Version => output::say(VERSION).context(StreamSnafu),
        Command::Hash => hash(),
        Command::Check(options) => check(&options),
        Command::List(options) => Ok(block_on(operate::list(options))?),
        Command::Explain(options) => Ok(block_on(operate::explain(options))?),
        Command::Status(options) => Ok(block_on(operate::status(options))?),
        Command::Host(options) => serve(&options),
        Command::Standin(options) => block_on(stand_in(options)),
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

/// The signals that a host waits for.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Begins to wait for them.
    ///
    /// Until then each of them ends the process. A host that was asked to read its settings again
    /// just after its start was gone, with the requests it had accepted meanwhile: one notices by
    /// a start without a stop in its log. So this comes before anything that takes time.
    fn listen() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a host until a planned stop is complete.
fn serve(options: &HostOptions) -> Result<(), RunError> {
    let path = options.config.clone();
    block_on(async move {
        let Signals { term, int, hup } = Signals::listen().context(SignalsSnafu)?;
        let mut settings = read_settings(&path)?;
        logs::start(&settings.log)?;
        let (stop, stopped) = watch::channel(false);
        ntex::rt::spawn(stop_at(term, int, stop));
        if settings.relay.is_some() {
            let (tx, reloads) = mpsc::channel(1);
            ntex::rt::spawn(reread(path, hup, tx));
            return Ok(host::run_relay(settings, stopped, reloads).await?);
        }
        let listeners = Listeners::open(&mut settings).await?;
        let host = &settings.host;
        output::say(&format!(
            "{}: callers {}, operators {}, peers {}",
            host.name, host.callers, host.operators, host.peers
        ))
        .context(StreamSnafu)?;
        Ok(host::run(settings, listeners, stopped).await?)
    })
}

/// Reads the settings again at SIGHUP, and now and then since they may change without one.
async fn reread(path: PathBuf, mut hup: Signal, tx: mpsc::Sender<Settings>) {
    let mut before = fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hup.recv() => {}
            () = tokio::time::sleep(REREAD) => {}
        }
        let text = match fs::read_to_string(&path) {
            Ok(text) if text != before => text,
            Ok(_) => continue,
            Err(err) => {
                log::warn!(target: "chiveway::settings.unreadable", "the old ones stay: {err}");
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
                    log::warn!(target: "chiveway::settings.fault", "the old ones stay: {fault}");
                }
            }
        }
        before = text;
    }
}

/// Begins a planned stop at the first signal and ends the process at the second.
async fn stop_at(mut term: Signal, mut int: Signal, stop: watch::Sender<bool>) {
    let mut count = 0;
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        count += 1;
        if count > 1 {
            std::process::exit(ENDED_BY_SIGNAL);
        }
        stop.send_replace(true);
    }
}

fn read_settings(path: &Path) -> Result<Settings, RunError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse_settings(&text, &path.display().to_string()).map_err(|faults| {
        for fault in &faults {
            output::complain(output::Tone::Error, &fault.to_string());
        }
        RunError::Faults {
            count: faults.len(),
        }
    })
}

/// Reads the settings of a host, of whichever sort the text is.
fn parse_settings(text: &str, file: &str) -> Result<Settings, Vec<Fault>> {
    if settings::relay::is_relay(text) {
        Settings::parse_relay(text, file)
    } else {
        Settings::parse(text, file)
    }
}

/// Runs a stand-in until it is ended.
async fn stand_in(options: StandinOptions) -> Result<(), RunError> {
    let addr = options.listen;
    let listener = web::listen(addr).await.context(ListenSnafu { addr })?;
    let addr = listener.local_addr().context(ListenSnafu { addr })?;
    if let Some(list) = options.register {
        register(&options, list, addr).await?;
    }
    output::say(&format!("{} listens on {addr}", options.name)).context(StreamSnafu)?;
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

/// Adds a stand-in to the list of hosts and backend servers.
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
        status => Err(failed(format!("answered {status}"))),
    }
}

fn engine_options(options: StandinOptions) -> engine::Options {
    let pace = match options.pace {
        Pace::Instant => engine::Timing::Instant,
        Pace::Modelled => engine::Timing::Steps(engine::StepCosts {
            base: STEP,
            prefill: options.prefill,
            // The option is the cost of a full batch; the stand-in counts each answer.
            decode: options.decode / u32::try_from(options.slots).unwrap_or(u32::MAX),
            import: options.prefill / IMPORT_GAIN,
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
    engine.cache.block_tokens = options.piece as u64;
    engine
}

/// Reads a key, without the line end, and prints its hash.
fn hash() -> Result<(), RunError> {
    let text = io::read_to_string(io::stdin()).context(StreamSnafu)?;
    match text.trim() {
        "" => NoKeySnafu.fail(),
        key => output::say(&KeyHash::of(key).to_string()).context(StreamSnafu),
    }
}

/// Checks settings files and prints every fault of each.
fn check(options: &CheckOptions) -> Result<(), RunError> {
    let mut count = 0;
    for path in &options.files {
        let text = fs::read_to_string(path).context(ReadSnafu {
            path: path.as_path(),
        })?;
        let file = path.display().to_string();
        let faults = parse_settings(&text, &file).err().unwrap_or_default();
        for fault in &faults {
            output::say(&fault.to_string()).context(StreamSnafu)?;
        }
        if faults.is_empty() {
            output::say(&format!("{file}: no fault")).context(StreamSnafu)?;
        }
        count += faults.len();
    }
    if count == 0 {
        return Ok(());
    }
    FaultsSnafu { count }.fail()
}
