//! Command line: one closed list of commands, each with its checked options.

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

/// A command as given.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print this help.
    Help(Box<str>),
    /// Print the version.
    Version,
    /// Run one host.
    Host(HostOptions),
    /// Run a stand-in.
    Standin(StandinOptions),
    /// Run hosts and stand-ins in one process.
    Try(TryOptions),
    /// Work on one of the two lists.
    List(ListOptions),
    /// Tell what became of a request.
    Explain(ExplainOptions),
    /// Show the state of the deployment.
    Status(StatusOptions),
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

/// What a stand-in stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinKind {
    /// The key-value service and the list of hosts.
    Kv,
    /// An engine.
    Engine,
    /// A plain service.
    Service,
    /// A bare pass-through, to compare with.
    Hop,
}

/// Whether a stand-in engine takes the time an engine would.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Each step takes its modelled cost.
    Modelled,
    /// Steps take no time.
    Instant,
}

/// Options of `standin`; those that a kind does not take hold their defaults.
#[derive(Debug, Clone, PartialEq)]
pub struct StandinOptions {
    /// What it stands for.
    pub kind: StandinKind,
    /// Listener.
    pub listen: SocketAddr,
    /// List of backend servers to register with.
    pub register: Option<SocketAddr>,
    /// Name in the list.
    pub name: Box<str>,
    /// Pool or service it belongs to in the list; `None` for the model.
    pub pool: Option<Box<str>>,
    /// Where a hop passes requests on to.
    pub target: Option<SocketAddr>,
    /// Model served.
    pub model: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// What it does with old fencing numbers.
    pub fencing: Fencing,
    /// Speed against a nominal engine.
    pub speed: f64,
    /// Time to prefill one prompt token.
    pub prefill_cost: Duration,
    /// Time of one decode step of a full batch.
    pub decode_cost: Duration,
    /// Streams decoded at once.
    pub slots: usize,
    /// Tokens in one piece of the prefix cache.
    pub block_tokens: usize,
    /// Age of what is reported.
    pub lag: Duration,
    /// Whether costs are modelled.
    pub pace: Pace,
}

/// Options of `try`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TryOptions {
    /// Send one request and one call, check both, and end.
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
    /// Returns the word in commands and paths.
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

/// How to reach the operators' listener of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// Operators' listener.
    pub addr: SocketAddr,
    /// File with the operators' key; `None` for the environment.
    pub key_file: Option<PathBuf>,
}

/// What to do with a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Print it.
    Get(Access),
    /// Fetch it into a file for editing.
    Edit(Access, PathBuf),
    /// Check a file, against the other list where a host can be asked.
    Check(Option<Access>, PathBuf),
    /// Show how a file differs from what is in force.
    Diff(Access, PathBuf),
    /// Put a file in force.
    Apply(Access, ApplyOptions),
}

/// Options of `plans apply` and `use apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File of the list.
    pub file: PathBuf,
    /// Revision the edit started from; `None` for the comment in the file.
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

/// Form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned text.
    Text,
    /// JSON as the host sent it.
    Json,
}

/// Options of `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Request id.
    pub id: Box<str>,
    /// Form of the answer.
    pub format: OutputFormat,
    /// Host to ask.
    pub access: Access,
}

/// Options of `status`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusOptions {
    /// Form of the answer.
    pub format: OutputFormat,
    /// Host to ask.
    pub access: Access,
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
    /// Where it listens for callers.
    pub addr: SocketAddr,
}

/// Options of `load`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOptions {
    /// What to send to; requests go to each in turn.
    pub targets: Vec<Target>,
    /// Customer's key.
    pub key: Box<str>,
    /// Model to ask.
    pub model: Box<str>,
    /// Requests to send.
    pub requests: usize,
    /// Requests open at once.
    pub concurrency: usize,
    /// Tokens of each prompt.
    pub prompt_tokens: usize,
    /// Tokens of each answer.
    pub output_tokens: usize,
    /// Ask for streamed answers.
    pub stream: bool,
    /// Time to the first token of a good answer.
    pub first_token: Duration,
    /// Time between tokens of a good answer, for 95 in 100.
    pub token_gap: Duration,
}

/// A command line that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}\nFor help: chiveway {command}--help"))]
pub struct UsageError {
    /// What is wrong, and what is allowed.
    pub problem: Box<str>,
    /// Words of the command with a space after them; empty before any is known.
    pub command: Box<str>,
}
