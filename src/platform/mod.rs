//! The users' platform: its names, formats and calls, translated to and from the project's types.
//!
//! Nothing here decides anything. What comes in is decoded once into the core's types; what goes
//! out is encoded from them. No other folder knows a name of the platform.

pub mod catalog;
pub mod engine;
pub mod entry;
pub mod header;
pub mod store;
#[cfg(test)]
mod tests;

use std::path::PathBuf;

use serde_json::Value;

use crate::core::relay::event::{Changes, KeyChange};

/// Variable that holds the path of the settings file, where the platform renders one.
const SETTINGS_FILE_VAR: &str = "CHIVEWAY_NODE_FILE";
/// Path of the readiness check.
pub const READY_PATH: &str = "/v1/readyz";
/// Key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";
/// Start of the keys of backend servers.
const SERVERS_PREFIX: &str = "servers/";
/// Start of the keys that this program writes.
pub const OWN_PREFIX: &str = "chiveway/";
/// Start of all keys that are watched: one watch costs one call, three would cost three.
pub const WATCHED_PREFIX: &str = "";

/// Returns the settings file that the platform names.
#[must_use]
pub fn settings_file() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_FILE_VAR).map(PathBuf::from)
}

/// Sorts one changed key into what it means; bytes that cannot be read change nothing.
///
/// Entries may be written by others or be cut short: such an entry names no backend server, and
/// the rest holds.
pub fn apply_change(changes: &mut Changes, key: &str, value: Option<&[u8]>, revision: i64) {
    if key == CONFIG_KEY {
        let Some(bytes) = value else { return };
        match catalog::decode(bytes) {
            Some(catalog) => changes.catalog = Some(catalog),
            None => log::warn!(target: "chiveway::config.unreadable", revision;
                "the configuration cannot be read and is passed over"),
        }
    } else if let Some(id) = key.strip_prefix(SERVERS_PREFIX) {
        changes.instances.retain(|entry| *entry.id != *id);
        changes.removed.retain(|gone| **gone != *id);
        match value.and_then(|bytes| entry::decode(id, bytes)) {
            Some(entry) => changes.instances.push(entry),
            None => changes.removed.push(id.into()),
        }
    } else if let Some(own) = key.strip_prefix(OWN_PREFIX) {
        changes.keys.push(KeyChange {
            key: own.into(),
            value: value.map(Into::into),
            revision,
        });
    }
}

/// Returns a whole number that is not negative.
fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        let fits = (0.0..9e15).contains(&number) && number.fract() == 0.0;
        // The range was checked.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked"
        )]
        fits.then_some(number as u64)
    })
}

/// Returns a time given in milliseconds, which may have fractions.
fn millis(value: &Value) -> Option<std::time::Duration> {
    let millis = value.as_f64()?;
    std::time::Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Returns a time given in seconds, which may have fractions.
fn secs(value: &Value) -> Option<std::time::Duration> {
    std::time::Duration::try_from_secs_f64(value.as_f64()?).ok()
}
