//! Structured log lines on standard output: bounded, and never waited for.

use std::cell::Cell;

use serde_json::{Map, Value};

use crate::core::effect::LogFields;

/// Lines a second that are written; more are counted and left out.
///
/// A host takes in some hundred requests in a bad second, with four lines each.
const MOST: u32 = 1500;

thread_local! {
    /// Second in hand, lines written in it, lines left out.
    static RATE: Cell<(u64, u32, u32)> = const { Cell::new((0, 0, 0)) };
}

/// Writes one event.
pub fn write(note: &LogFields) {
    if note.level > log::max_level() {
        return;
    }
    let now = crate::host::timer::now();
    let second = now.millis() / 1000;
    let (at, lines, lost) = RATE.get();
    if at != second {
        RATE.set((second, 0, 0));
        if lost > 0 {
            line(
                "log.left_out",
                now.millis(),
                &[("lines", lost.to_string().into())],
            );
        }
    } else if lines >= MOST {
        RATE.set((second, lines, lost + 1));
        return;
    }
    let (at, lines, lost) = RATE.get();
    RATE.set((at, lines + 1, lost));
    line(note.name, now.millis(), &note.fields);
}

fn line(name: &str, millis: u64, fields: &[(&'static str, Box<str>)]) {
    let mut object = Map::new();
    object.insert("at_ms".into(), millis.into());
    object.insert("event".into(), name.into());
    for (key, value) in fields {
        object.insert((*key).into(), Value::String(value.to_string()));
    }
    let mut text = Value::Object(object).to_string();
    text.push('\n');
    // A reader that does not read must not stop the host: what does not fit is lost.
    let _ = rustix::io::write(rustix::stdio::stdout(), text.as_bytes());
}
