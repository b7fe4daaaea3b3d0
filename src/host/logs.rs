//! Writes log events of the core to the process log.

use crate::core::effect::LogEvent;

/// Writes one event, with its name as the log target.
pub fn write(event: &LogEvent) {
    let target = format!("chiveway::{}", event.name);
    log::log!(target: &target, event.level, "{}", event.text);
}
