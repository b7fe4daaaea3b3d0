//! Command line: the commands, each with its validated options.

pub mod commands;
mod help;
mod parse;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use snafu::Snafu;

pub use help::help;
pub use parse::parse;

use crate::settings::Fencing;

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print this help text.
    Help(Box<str>),
    /// Print the version.
    Version,
    /// Run one host.
    Host(HostOptions),
    /// Run a stand-in.
    Standin(StandinOptions),
    /// Run hosts and stand-ins in one process.
    Try(TryOptions),
    /// Read, check or change one of the two lists.
    List(ListOptions),
    /// Explain how a request was handled.
    Explain(ExplainOptions),
    /// Show the state of the deployment.
    Status(StatusOptions),
    /// List or lift refusals of requests and parts of prompts.
    Refused(RefusedOptions),
    /// Check settings files.
    Check(CheckOptions),
    /// Print the hash of a key.
    Hash,
    /// Send requests to a host.
    Load(LoadOptions),
}

/// Options of `host`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOptions {
    /// Settings of the host.
    pub config: PathBuf,
}

/// Kind of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinKind {
    /// The key-value service and the list of hosts.
    Kv,
    /// An engine.
    Engine,
    /// A plain service.
    Service,
    /// A plain forwarder, the baseline of comparisons.
    Hop,
}

/// Whether the steps of a stand-in engine take time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Each step takes its modelled time.
    Modelled,
    /// Steps take no time.
    Instant,
}

/// Options of `standin`; those that a kind does not accept hold their defaults.
#[derive(Debug, Clone, PartialEq)]
pub struct StandinOptions {
    /// Kind.
    pub kind: StandinKind,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// List of backend servers to register with.
    pub register: Option<SocketAddr>,
    /// Name in the list.
    pub name: Box<str>,
    /// Pool or service to register under; `None` for the model of an engine, else the name.
    pub pool: Option<Box<str>>,
    /// Address that a hop forwards requests to.
    pub target: Option<SocketAddr>,
    /// Model served.
    pub model: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Handling of old fencing numbers.
    pub fencing: Fencing,
    /// Speed relative to a nominal engine.
    pub speed: f64,
    /// Time to prefill one prompt token.
    pub prefill_cost: Duration,
    /// Time of one decode step of a full batch.
    pub decode_cost: Duration,
    /// Streams decoded concurrently.
    pub slots: usize,
    /// Tokens in one block of the prefix cache.
    pub block_tokens: usize,
    /// Age of the reported state.
    pub lag: Duration,
    /// Whether steps take their modelled time.
    pub pace: Pace,
}

/// Options of `try`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TryOptions {
    /// Send one request and one call, check both, and exit.
    pub once: bool,
    /// Hosts to run.
    pub hosts: usize,
}

/// One of the operators' two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListName {
    /// The customers' plans.
    Plans,
    /// What each plan may use.
    Uses,
}

impl ListName {
    /// Returns the list's name in commands and paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Plans => "plans",
            Self::Uses => "use",
        }
    }

    /// Returns the other list.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Plans => Self::Uses,
            Self::Uses => Self::Plans,
        }
    }
}

/// Address and key of a host's operators' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// Operators' listener.
    pub addr: SocketAddr,
    /// File with the operators' key; `None` to read it from the environment.
    pub key_file: Option<PathBuf>,
}

/// What to do with a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Print it.
    Get(Access),
    /// Fetch it into a file for editing.
    Edit(Access, PathBuf),
    /// Check a file; with access to a host also against the other list.
    Check(Option<Access>, PathBuf),
    /// Show how a file differs from the list in force.
    Diff(Access, PathBuf),
    /// Put a file in force.
    Apply(Access, ApplyOptions),
}

/// Options of `plans apply` and `use apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File of the list.
    pub file: PathBuf,
    /// Revision the edit is based on; `None` to read it from the comment in the file.
    pub revision: Option<u64>,
    /// Wait until the new revision is in force on every host.
    pub wait: bool,
}

/// Options of `plans` and `use`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListOptions {
    /// Which list.
    pub list: ListName,
    /// What to do with it.
    pub action: Action,
}

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned text.
    Text,
    /// Indented JSON.
    Json,
}

/// Options of `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Request id.
    pub id: Box<str>,
    /// Format of the output.
    pub format: OutputFormat,
    /// Host to query.
    pub access: Access,
}

/// Options of `status`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusOptions {
    /// Format of the output.
    pub format: OutputFormat,
    /// Host to query.
    pub access: Access,
}

/// What to do with refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusedAction {
    /// List them.
    Get(OutputFormat),
    /// Lift the one with this key.
    Lift(Box<str>),
}

/// Options of `refused`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedOptions {
    /// Settings of a host, which name the store.
    pub config: PathBuf,
    /// What to do.
    pub action: RefusedAction,
}

/// Options of `check`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckOptions {
    /// Settings files; at least one.
    pub files: Vec<PathBuf>,
}

/// One of the addresses that `load` sends to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name in the table of results.
    pub name: Box<str>,
    /// Callers' listener.
    pub addr: SocketAddr,
}

/// Options of `load`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOptions {
    /// Targets; requests go to each in turn.
    pub targets: Vec<Target>,
    /// Customer's key.
    pub key: Box<str>,
    /// Model to request.
    pub model: Box<str>,
    /// Requests to send.
    pub requests: usize,
    /// Concurrent requests.
    pub concurrency: usize,
    /// Tokens of each prompt.
    pub prompt_tokens: usize,
    /// Tokens of each answer.
    pub output_tokens: usize,
    /// Request streamed answers.
    pub stream: bool,
    /// Longest time to first token of a good answer.
    pub first_token: Duration,
    /// Longest time between tokens of a good answer, at the 95th percentile.
    pub token_gap: Duration,
}

/// An invalid command line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}\nFor help: chiveway {command}--help"))]
pub struct UsageError {
    /// What is wrong, and what is allowed.
    pub problem: Box<str>,
    /// Words of the command with a space after them; empty where none is recognized.
    pub command: Box<str>,
}
