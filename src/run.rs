//! Carries out a command.

use std::fs;
use std::io;
use std::path::Path;

use ntex::rt::{DefaultRuntime, System};
use snafu::{ResultExt, Snafu};

use crate::cli::{CheckOptions, Command};
use crate::lists::KeyHash;
use crate::operate::{self, OperateError};
use crate::output;
use crate::settings::Settings;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The command is not part of this build.
    #[snafu(display("{what} is not available in this build"))]
    Unavailable {
        /// Name of the command.
        what: &'static str,
    },
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
        Command::Host(_) => UnavailableSnafu { what: "host" }.fail(),
        Command::Standin(_) => UnavailableSnafu { what: "standin" }.fail(),
        Command::Try(_) => UnavailableSnafu { what: "try" }.fail(),
        Command::Load(_) => UnavailableSnafu { what: "load" }.fail(),
    }
}

/// Name and version of the program.
const VERSION: &str = concat!("chiveway ", env!("CARGO_PKG_VERSION"));

fn block_on<R: 'static>(task: impl Future<Output = R> + 'static) -> R {
    let system = System::build().name("chiveway").build(DefaultRuntime);
    system.block_on(task)
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
        let faults = Settings::parse(&text, &file).err().unwrap_or_default();
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
