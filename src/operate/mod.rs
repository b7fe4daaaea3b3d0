//! Commands of operators and support engineers, sent to the operators' listener of a host.

mod client;
mod lists;
mod refused;

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use snafu::{ResultExt, Snafu};

pub use lists::list;
pub use refused::refused;

use self::client::OperatorClient;
use crate::cli::{Access, ExplainOptions, OutputFormat, StatusOptions};
use crate::output;
use crate::settings::Secret;

/// Environment variable with the operators' key.
pub const KEY_ENV_VAR: &str = "CHIVEWAY_OPERATOR_KEY";

/// Order of the fields of an explanation and of the state of a deployment, for support engineers:
/// the customer of a request first, then its outcome, then each attempt.
const FIELD_ORDER: &[&str] = &[
    "id",
    "customer",
    "plan",
    "target",
    "outcome",
    "ran",
    "arrived_ms",
    "lasted_ms",
    "at_ms",
    "text",
    "name",
    "backend",
    "began_ms",
    "ended_ms",
    "end",
    "host",
    "ready",
    "why",
    "revision",
    "store",
    "pool",
    "domain",
    "role",
    "hosts",
    "backends",
    "attempts",
    "notes",
];

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OperateError {
    /// No key was given.
    #[snafu(display("no operators' key: set {KEY_ENV_VAR} or give --key-file FILE"))]
    NoKey,
    /// A file could not be read or written.
    #[snafu(display("cannot read or write {}: {source}", path.display()))]
    File {
        /// The file.
        path: Box<Path>,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Standard output could not be written.
    #[snafu(display("cannot write the output: {source}"))]
    Output {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The host is unreachable or did not answer.
    #[snafu(display("no answer from {addr}: {problem}; try another host"))]
    NoAnswer {
        /// The operators' listener.
        addr: Box<str>,
        /// Error from the HTTP client.
        problem: Box<str>,
    },
    /// An edit was sent, but its answer was lost: it may have been accepted.
    #[snafu(display(
        "no answer from {addr}: {problem}; the edit may have been accepted: \
         compare with \"chiveway {list} diff\" before you apply it again"
    ))]
    OutcomeUnknown {
        /// The operators' listener.
        addr: Box<str>,
        /// Error from the HTTP client.
        problem: Box<str>,
        /// Name of the list in commands.
        list: &'static str,
    },
    /// The host refused the request.
    #[snafu(display("{addr} refused with status {status}: {problem}"))]
    Refused {
        /// The operators' listener.
        addr: Box<str>,
        /// HTTP status.
        status: u16,
        /// Reason that the host gave.
        problem: Box<str>,
    },
    /// The host's answer lacks what the protocol prescribes.
    #[snafu(display(
        "{addr} sent an answer without {wanted}; is it a chiveway operators' listener?"
    ))]
    UnexpectedBody {
        /// The operators' listener.
        addr: Box<str>,
        /// What is missing.
        wanted: &'static str,
    },
    /// The list has faults.
    #[snafu(display("correct these faults and try again:\n{faults}"))]
    InvalidList {
        /// One fault per line.
        faults: Box<str>,
    },
    /// The file lacks the line with the revision it was fetched at.
    #[snafu(display(
        "the file has no line \"{}N\": fetch it with \"edit\" or give --revision N",
        lists::REVISION_PREFIX
    ))]
    NoRevision,
    /// Another edit was accepted first.
    #[snafu(display(
        "revision {revision} came first; nothing was changed. From your file to the list in \
         force:\n{diff}\nFetch the list again with \"edit\" and repeat your change."
    ))]
    Conflict {
        /// Revision now in force.
        revision: u64,
        /// Differences from the file to the list in force.
        diff: Box<str>,
    },
    /// The revision is accepted, but not every host was seen to have it in force in time.
    #[snafu(display(
        "revision {revision} is accepted, but after {secs} s not confirmed in force on: {missing}"
    ))]
    NotPropagated {
        /// Accepted revision.
        revision: u64,
        /// Time waited.
        secs: u64,
        /// Names of the hosts.
        missing: Box<str>,
    },
    /// Settings name no store.
    #[snafu(display(
        "{} names no store: give the settings of a host that relays requests", path.display()
    ))]
    NoStore {
        /// The file.
        path: Box<Path>,
    },
    /// Settings have faults.
    #[snafu(display("correct these faults and try again:\n{faults}"))]
    Settings {
        /// One fault per line.
        faults: Box<str>,
    },
    /// A call of the store failed and changed nothing.
    #[snafu(display("no answer from the store at {addr}: {problem}"))]
    StoreFailed {
        /// Address of the store.
        addr: SocketAddr,
        /// Error from the HTTP client.
        problem: Box<str>,
    },
    /// The store answered with another status, or with something else than keys.
    #[snafu(display(
        "the store at {addr} sent an answer with status {status}, expected keys with status 200"
    ))]
    StoreStatus {
        /// Address of the store.
        addr: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The answer to a removal was lost: it may have been applied.
    #[snafu(display(
        "no answer from the store at {addr}: {problem}; the refusal may have been lifted: \
         look with \"chiveway refused get\""
    ))]
    LiftUnknown {
        /// Address of the store.
        addr: SocketAddr,
        /// Error from the HTTP client.
        problem: Box<str>,
    },
    /// Nothing that is refused has this key.
    #[snafu(display("nothing that is refused has the key {key:?}; the store holds: {known}"))]
    NotRefused {
        /// The key.
        key: Box<str>,
        /// Keys that the store holds.
        known: Box<str>,
    },
    /// A host wrote the key between its read and its removal.
    #[snafu(display("a host wrote {key} meanwhile and nothing was lifted; try again"))]
    WrittenMeanwhile {
        /// The key.
        key: Box<str>,
    },
}

/// Prints how a request was handled.
///
/// # Errors
///
/// Returns why no explanation was received or printed.
pub async fn explain(options: ExplainOptions) -> Result<(), OperateError> {
    let path = format!("/explain/{}", client::percent_encode(&options.id));
    show(&options.access, &path, options.format).await
}

/// Prints the state of the deployment.
///
/// # Errors
///
/// Returns why no state was received or printed.
pub async fn status(options: StatusOptions) -> Result<(), OperateError> {
    show(&options.access, "/status", options.format).await
}

async fn show(access: &Access, path: &str, format: OutputFormat) -> Result<(), OperateError> {
    let client = OperatorClient::open(access).await?;
    let answer = client.get(path).await?;
    let value: Value = client.json(&answer, "a JSON document")?;
    let text = match format {
        OutputFormat::Json => format!("{value:#}"),
        OutputFormat::Text => output::tree(&value, FIELD_ORDER),
    };
    output::print(&text).context(OutputSnafu)
}

/// Reads the operators' key from its file or from the environment.
fn read_key(file: Option<&Path>) -> Result<Secret, OperateError> {
    let key = match file {
        Some(path) => fs::read_to_string(path).context(FileSnafu { path })?,
        None => env::var(KEY_ENV_VAR).unwrap_or_default(),
    };
    match key.trim() {
        "" => NoKeySnafu.fail(),
        key => Ok(Secret::new(key)),
    }
}
