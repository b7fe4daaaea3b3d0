//! Backend servers as they register themselves in the platform's store.

use serde_json::Value;

use super::whole_number;
use crate::core::relay::event::{BackendEntry, Stage};

/// Word for an engine that prefills.
pub(super) const PREFILL: &str = "prefill";
/// Word for an engine that generates.
pub(super) const DECODE: &str = "decode";

/// Reads an entry; `None` where a field is missing, of another type or without meaning here.
#[must_use]
pub fn decode(id: &str, bytes: &[u8]) -> Option<BackendEntry> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let leaving = match value["state"].as_str()? {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let stage = match &value["stage"] {
        Value::Null => None,
        Value::String(word) => Some(parse_stage(word)?),
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
        started_ms: whole_number(&value["born"]).unwrap_or(0),
    })
}

pub(super) fn parse_stage(word: &str) -> Option<Stage> {
    match word {
        PREFILL => Some(Stage::Prefill),
        DECODE => Some(Stage::Decode),
        _ => None,
    }
}

/// Returns the platform's word for a stage.
pub(super) fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Prefill => PREFILL,
        Stage::Decode => DECODE,
    }
}
