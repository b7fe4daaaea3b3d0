//! Log output: one line per event, as text or JSON, on standard error.
//!
//! Events are written with the `log` crate's macros: the target names the event, the message says
//! what happened, and key-value pairs hold the fields:
//!
//! ```
//! # let revision = 7;
//! log::info!(target: "chiveway::lists_accepted", revision; "an edit of the lists is accepted");
//! ```
//!
//! No secret and no part of a request body goes into an event.

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

use crate::settings::{LogFormat, LogSettings};

/// Prefix of the targets of this program's own events.
const OWN_TARGETS: &str = "chiveway";
/// Finest level logged of libraries: finer ones report each read and write of a socket.
const MAX_LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;
/// Name of the only appender.
const CONSOLE: &str = "console";
/// Time, level, event and message on one line.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l:<5} {t} {m}{n}";

/// Logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The configuration is invalid.
    #[snafu(display("cannot configure logging: {source}"))]
    Config {
        /// Error from the logging library.
        source: ConfigErrors,
    },
    /// Logging is set up already.
    #[snafu(display("logging is already set up: {source}"))]
    AlreadySet {
        /// Error from the logging library.
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
    let max_level = logger.max_log_level();
    let result = match settings.format {
        LogFormat::Json => log::set_boxed_logger(Box::new(logger)),
        LogFormat::Text => log::set_boxed_logger(Box::new(TextLogger(logger))),
    };
    result.context(AlreadySetSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

fn config(settings: &LogSettings) -> Result<Config, LogError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
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
/// The text pattern of the library can only name single fields; without this logger the fields of
/// an event would appear in JSON but not in text.
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
/// Control characters are escaped: a line end in a name or path from outside would otherwise forge
/// a log line.
fn format_line(record: &Record<'_>) -> Box<str> {
    let mut fields = Fields(record.args().to_string());
    // Neither the visitor nor writing to a string can fail.
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
