//! Adapter for the users' platform: its names, formats and calls.
//!
//! Input is decoded once into the types of the core, output is encoded from them; no decision is
//! made here. Names of the platform occur in no other module.

pub mod catalog;
pub mod duty;
pub mod engine;
pub mod entry;
pub mod header;
pub mod store;
#[cfg(test)]
mod tests;

use std::path::PathBuf;

use serde_json::Value;

use crate::core::relay::event::{Changes, KeyChange};

/// Environment variable with the path of the settings file, if the platform renders one.
const SETTINGS_FILE_VAR: &str = "CHIVEWAY_NODE_FILE";
/// Path of the readiness check.
pub const READY_PATH: &str = "/v1/readyz";
/// Key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys of backend servers.
const SERVERS_PREFIX: &str = "servers/";
/// Prefix of the keys that this program writes.
pub const OWN_PREFIX: &str = "chiveway/";
/// Common prefix of all watched keys.
///
/// One watch for all keys costs one call; separate watches for the three kinds would cost three.
pub const WATCHED_PREFIX: &str = "";

/// Returns the path of the settings file that the platform renders.
#[must_use]
pub fn settings_file() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_FILE_VAR).map(PathBuf::from)
}

/// Decodes the change of a key and adds it to `changes`.
///
/// Other programs may write malformed or truncated entries. An unreadable configuration is
/// ignored; an unreadable entry counts as removed, and other entries are not affected.
pub fn apply_change(changes: &mut Changes, key: &str, value: Option<&[u8]>, revision: i64) {
    if key == CONFIG_KEY {
        let Some(bytes) = value else { return };
        match catalog::decode(bytes) {
            Some(catalog) => changes.catalog = Some(catalog),
            None => log::warn!(target: "chiveway::config.unreadable", revision;
                "ignoring a configuration that cannot be decoded"),
        }
    } else if let Some(id) = key.strip_prefix(SERVERS_PREFIX) {
        changes.instances.retain(|entry| *entry.id != *id);
        changes.removed.retain(|removed| **removed != *id);
        match value.and_then(|bytes| entry::decode(id, bytes, revision)) {
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

/// Returns a non-negative whole number.
fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        let fits = (0.0..9e15).contains(&number) && number.fract() == 0.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked above"
        )]
        fits.then_some(number as u64)
    })
}

/// Returns a duration given in milliseconds, which may be fractional.
fn millis(value: &Value) -> Option<std::time::Duration> {
    let millis = value.as_f64()?;
    std::time::Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Returns a duration given in seconds, which may be fractional.
fn secs(value: &Value) -> Option<std::time::Duration> {
    std::time::Duration::try_from_secs_f64(value.as_f64()?).ok()
}
