//! Entries with which backend servers register in the platform's store.

use serde_json::Value;

use super::whole_number;
use crate::core::relay::event::{BackendEntry, Stage};

/// Stage name of engines that prefill.
pub(super) const PREFILL: &str = "prefill";
/// Stage name of engines that decode.
pub(super) const DECODE: &str = "decode";

/// Decodes an entry written at a revision of the store; `None` if a field is missing, of the wrong type or of an unknown value.
#[must_use]
pub fn decode(id: &str, bytes: &[u8], revision: i64) -> Option<BackendEntry> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let leaving = match value["state"].as_str()? {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let stage = match &value["stage"] {
        Value::Null => None,
        Value::String(name) => Some(parse_stage(name)?),
        _ => return None,
    };
    let version = match &value["version"] {
        Value::Null => None,
        Value::String(name) => Some(name.as_str().into()),
        _ => return None,
    };
    Some(BackendEntry {
        id: id.into(),
        service: value["service"].as_str()?.into(),
        addr: value["address"].as_str()?.parse().ok()?,
        domain: value["zone"].as_str()?.into(),
        slots: u32::try_from(whole_number(&value["slots"])?).ok()?,
        leaving,
        stage,
        is_spot: value["spot"].as_bool().unwrap_or(false),
        version,
        started_ms: whole_number(&value["born"]).unwrap_or(0),
        revision,
    })
}

pub(super) fn parse_stage(name: &str) -> Option<Stage> {
    match name {
        PREFILL => Some(Stage::Prefill),
        DECODE => Some(Stage::Decode),
        _ => None,
    }
}

/// Returns the platform's name of a stage.
pub(super) fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Prefill => PREFILL,
        Stage::Decode => DECODE,
    }
}
