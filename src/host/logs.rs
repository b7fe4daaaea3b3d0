//! Log events of the core, handed to the log.

use crate::core::effect::LogEvent;

/// Writes one event; its name is the target.
pub fn write(event: &LogEvent) {
    let target = format!("chiveway::{}", event.name);
    log::log!(target: &target, event.level, "{}", event.text);
}
