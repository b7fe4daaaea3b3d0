//! Tests of log lines.

use log::Record;

use super::format_line;

#[test]
fn fields_follow_the_message() {
    let fields = [("host", "dk-øst-1"), ("revision", "7")];
    let record = Record::builder()
        .args(format_args!("an edit is accepted"))
        .key_values(&fields)
        .build();
    assert_eq!(
        &*format_line(&record),
        "an edit is accepted host=dk-øst-1 revision=7"
    );
}

/// A caller puts a line end into a path that is logged: without escaping, the rest of the path
/// appears in the log as an event that never happened.
#[test]
fn line_ends_in_fields_are_escaped() {
    let fields = [("path", "/a\n2026 INFO chiveway::stopped")];
    let record = Record::builder()
        .args(format_args!("refused\u{1b}"))
        .key_values(&fields)
        .build();
    assert_eq!(
        &*format_line(&record),
        "refused\\u{1b} path=/a\\n2026 INFO chiveway::stopped"
    );
}
