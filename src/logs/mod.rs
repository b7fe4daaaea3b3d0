//! Log output: one line an event, as text or JSON, on standard error.
//!
//! Events are written with the `log` crate's macros: the target names the event, the message says
//! what happened, and key-value pairs hold the fields:
//!
//! ```
//! # let revision = 7;
//! log::info!(target: "chiveway::lists_accepted", revision; "an edit of the lists is accepted");
//! ```
//!
//! No secret and nothing that a caller wrote in a body goes into an event.

#[cfg(test)]
mod tests;

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::runtime::ConfigErrors;
use log4rs::config::{Appender, Config, Logger as Filter, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

use crate::settings::{LogForm, LogSettings};

/// Start of the targets of this program's own events.
const OWN_TARGETS: &str = "chiveway";
/// Most that libraries write: their finer levels report each read and write of a socket.
const MAX_LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;
/// Name of the only appender.
const CONSOLE: &str = "console";
/// Time, level, event and message on one line.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l:<5} {t} {m}{n}";

/// Logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The configuration is refused.
    #[snafu(display("cannot configure logging: {source}"))]
    Config {
        /// What the library says.
        source: ConfigErrors,
    },
    /// Logging is set up already.
    #[snafu(display("logging is set up twice: {source}"))]
    AlreadySet {
        /// What the library says.
        source: SetLoggerError,
    },
}

/// Sets up logging for the whole process.
///
/// # Errors
///
/// Returns an error where logging is set up already.
pub fn init(settings: &LogSettings) -> Result<(), LogError> {
    let logger = log4rs::Logger::new(config(settings)?);
    let most = logger.max_log_level();
    let done = match settings.form {
        LogForm::Json => log::set_boxed_logger(Box::new(logger)),
        LogForm::Text => log::set_boxed_logger(Box::new(TextLogger(logger))),
    };
    done.context(AlreadySetSnafu)?;
    log::set_max_level(most);
    Ok(())
}

fn config(settings: &LogSettings) -> Result<Config, LogError> {
    let encoder: Box<dyn Encode> = match settings.form {
        LogForm::Json => Box::new(JsonEncoder::new()),
        LogForm::Text => Box::new(PatternEncoder::new(PATTERN)),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let root = Root::builder()
        .appender(CONSOLE)
        .build(settings.level.min(MAX_LIBRARY_LEVEL));
    Config::builder()
        .appender(Appender::builder().build(CONSOLE, Box::new(console)))
        .logger(Filter::builder().build(OWN_TARGETS, settings.level))
        .build(root)
        .context(ConfigSnafu)
}

/// Adds an event's fields to its message.
///
/// The library's text pattern can name single fields only; without this the fields of an event
/// would appear in JSON and be missing in text.
#[derive(Debug)]
struct TextLogger(log4rs::Logger);

impl Log for TextLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = format_line(record);
        let args = format_args!("{line}");
        self.0.log(&record.to_builder().args(args).build());
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Returns the message with its fields after it, on one line.
///
/// Control characters are escaped: a name or path from outside with a line end in it would
/// otherwise forge a log line of its own.
fn format_line(record: &Record<'_>) -> Box<str> {
    let mut fields = Fields(record.args().to_string());
    // Writing to a string does not fail, and neither does the visitor.
    let _ = record.key_values().visit(&mut fields);
    let escape = |c: char| -> Box<str> {
        if c.is_control() {
            c.escape_default().to_string().into()
        } else {
            c.to_string().into()
        }
    };
    fields.0.chars().map(escape).collect::<String>().into()
}

/// Message and fields collected so far.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}
