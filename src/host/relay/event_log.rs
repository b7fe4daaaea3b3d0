//! Structured log lines on standard output, rate limited and written without blocking.

use std::cell::Cell;

use serde_json::{Map, Value};

use crate::core::effect::LogFields;

/// Largest number of lines written per second; further lines are counted and dropped.
///
/// In a busy second a host receives some hundred requests, with four lines each.
const MAX_LINES_PER_SEC: u32 = 1500;

thread_local! {
    /// Current second, lines written in it, lines dropped in it.
    static RATE_STATE: Cell<(u64, u32, u32)> = const { Cell::new((0, 0, 0)) };
}

/// Writes one event.
pub fn write(note: &LogFields) {
    if note.level > log::max_level() {
        return;
    }
    let now = crate::host::timer::now();
    let second = now.millis() / 1000;
    let (at, lines, dropped) = RATE_STATE.get();
    if at != second {
        RATE_STATE.set((second, 0, 0));
        if dropped > 0 {
            write_line(
                "log.left_out",
                now.millis(),
                &[("lines", dropped.to_string().into())],
            );
        }
    } else if lines >= MAX_LINES_PER_SEC {
        RATE_STATE.set((second, lines, dropped + 1));
        return;
    }
    let (at, lines, dropped) = RATE_STATE.get();
    RATE_STATE.set((at, lines + 1, dropped));
    write_line(note.name, now.millis(), &note.fields);
}

fn write_line(name: &str, millis: u64, fields: &[(&'static str, Box<str>)]) {
    let mut object = Map::new();
    object.insert("at_ms".into(), millis.into());
    object.insert("event".into(), name.into());
    for (key, value) in fields {
        object.insert((*key).into(), Value::String(value.to_string()));
    }
    let mut text = Value::Object(object).to_string();
    text.push('\n');
    // A reader that stops reading must not block the host: lines that do not fit are lost.
    let _ = rustix::io::write(rustix::stdio::stdout(), text.as_bytes());
}
