//! Human-readable output: aligned columns, trees of values, colour only on a terminal.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{self, IsTerminal, Write as _, stderr, stdout};

use serde_json::{Map, Value};

use crate::units;

/// Spaces before each line.
const INDENT: usize = 2;
/// Spaces between columns.
const COLUMN_GAP: usize = 2;

/// Writes rows with their columns aligned and indented.
#[must_use]
pub fn columns<const N: usize>(rows: impl IntoIterator<Item = [Box<str>; N]>) -> String {
    let rows: Vec<Vec<Box<str>>> = rows.into_iter().map(Vec::from).collect();
    table(&rows, INDENT)
}

fn table(rows: &[Vec<Box<str>>], indent: usize) -> String {
    let width = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width_of = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<_> = (0..width).map(width_of).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = " ".repeat(indent);
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}", width = width + COLUMN_GAP);
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Writes a JSON value as indented lines: fields with plain values first, then nested ones, and
/// lists of objects as tables.
///
/// Fields in `order` come first and in that order, at each depth; the others follow alphabetically.
#[must_use]
pub fn tree(value: &Value, order: &[&str]) -> String {
    let mut text = String::new();
    write_value(&mut text, value, 0, order);
    text
}

fn write_value(text: &mut String, value: &Value, indent: usize, order: &[&str]) {
    match value {
        Value::Object(map) => write_object(text, map, indent, order),
        Value::Array(items) => write_list(text, items, indent, order),
        other => {
            let leaf = inline_value(other).unwrap_or_default();
            let _ = writeln!(text, "{}{leaf}", " ".repeat(indent));
        }
    }
}

fn write_object(text: &mut String, map: &Map<String, Value>, indent: usize, order: &[&str]) {
    let mut leaves = Vec::new();
    let mut nested = Vec::new();
    for name in sorted(map.keys(), order) {
        match inline_field(name, &map[name]) {
            Some(leaf) => leaves.push(vec![label(name), leaf]),
            None => nested.push(name),
        }
    }
    text.push_str(&table(&leaves, indent));
    for name in nested {
        let _ = writeln!(text, "{}{}:", " ".repeat(indent), label(name));
        write_value(text, &map[name], indent + INDENT, order);
    }
}

/// Writes a list: as a table where every item is an object of plain values.
fn write_list(text: &mut String, items: &[Value], indent: usize, order: &[&str]) {
    if let Some(rows) = table_rows(items, order) {
        text.push_str(&table(&rows, indent));
        return;
    }
    for item in items {
        let mut item_text = String::new();
        write_value(&mut item_text, item, indent + INDENT, order);
        let dash = format!("{}- ", " ".repeat(indent));
        text.push_str(&dash);
        text.push_str(item_text.get(dash.len()..).unwrap_or_default());
    }
}

fn table_rows(items: &[Value], order: &[&str]) -> Option<Vec<Vec<Box<str>>>> {
    let mut names = BTreeSet::new();
    for item in items {
        for (name, value) in item.as_object()? {
            inline_field(name, value)?;
            names.insert(name);
        }
    }
    let names = sorted(names, order);
    let cell = |item: &Value, name: &str| {
        let value = item.get(name).unwrap_or(&Value::Null);
        inline_field(name, value).unwrap_or_default()
    };
    let head = names.iter().map(|name| label(name)).collect();
    let body = items
        .iter()
        .map(|item| names.iter().map(|name| cell(item, name)).collect());
    Some([head].into_iter().chain(body).collect())
}

/// Returns the names in `order` first, then the others in their given order.
fn sorted<'a>(names: impl IntoIterator<Item = &'a String>, order: &[&str]) -> Vec<&'a str> {
    let mut names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    let place = |name: &&str| order.iter().position(|known| known == name);
    names.sort_by_key(|name| place(name).unwrap_or(usize::MAX));
    names
}

/// Suffix of fields that hold a time in milliseconds.
const MS_SUFFIX: &str = "_ms";
/// Smallest value that is shown as a timestamp and not as a duration: 50 years.
const MIN_TIMESTAMP_MS: u64 = 50 * 365 * 24 * 3_600_000;

/// Returns the label of a field: no suffix for times, spaces in place of underscores.
fn label(name: &str) -> Box<str> {
    let name = name.strip_suffix(MS_SUFFIX).unwrap_or(name);
    mask_controls(&name.replace('_', " "))
}

/// Returns the value of a field where it fits on a line; times get their unit.
fn inline_field(name: &str, value: &Value) -> Option<Box<str>> {
    match value.as_u64().filter(|_| name.ends_with(MS_SUFFIX)) {
        Some(millis) if millis >= MIN_TIMESTAMP_MS => Some(units::show_utc(millis)),
        Some(millis) => Some(format!("{millis} ms").into()),
        None => inline_value(value),
    }
}

/// Returns a value that fits on a line; `None` for objects and for lists of them.
fn inline_value(value: &Value) -> Option<Box<str>> {
    match value {
        Value::Null => Some("-".into()),
        Value::Bool(true) => Some("yes".into()),
        Value::Bool(false) => Some("no".into()),
        Value::Number(number) => Some(number.to_string().into()),
        Value::String(text) if text.is_empty() => Some("-".into()),
        Value::String(text) => Some(mask_controls(text)),
        Value::Array(items) if items.is_empty() => Some("none".into()),
        Value::Array(items) if items.iter().all(Value::is_string) => {
            let items: Vec<_> = items.iter().filter_map(inline_value).collect();
            Some(items.join(", ").into())
        }
        Value::Array(_) | Value::Object(_) => None,
    }
}

/// Returns text with U+FFFD in place of each control character.
///
/// Explanations hold text from callers: an escape sequence in it would otherwise reach the support
/// engineer's terminal and could hide or change lines.
fn mask_controls(text: &str) -> Box<str> {
    let shown = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(shown).collect::<String>().into()
}

/// Severity of a message on standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The command failed.
    Error,
    /// The command continues.
    Warning,
}

/// Prints a message to standard error, after its severity, which is coloured on a terminal.
pub fn print_message(severity: Severity, message: &str) {
    let (prefix, colour) = match severity {
        Severity::Error => ("error", "\x1b[1;31m"),
        Severity::Warning => ("warning", "\x1b[1;33m"),
    };
    if stderr().is_terminal() {
        eprintln!("{colour}{prefix}\x1b[0m: {message}");
    } else {
        eprintln!("{prefix}: {message}");
    }
}

/// Prints text to standard output; a pipe that its reader has closed is no error.
///
/// # Errors
///
/// Returns the error of the write.
pub fn print(text: &str) -> io::Result<()> {
    let mut out = stdout().lock();
    let line_end = if text.ends_with('\n') { "" } else { "\n" };
    let done = write!(out, "{text}{line_end}").and_then(|()| out.flush());
    match done {
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done,
    }
}
