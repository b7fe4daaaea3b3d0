//! Tests of aligned output.

use serde_json::{Value, json};

use super::tree;

/// Defines a test for each case: a value and its lines.
macro_rules! trees {
    ($($name:ident: $value:tt => $text:literal;)+) => {
        $(#[test]
        fn $name() {
            let value: Value = json!($value);
            assert_eq!(tree(&value, &["b", "at_ms"]), $text);
        })+
    };
}

trees! {
    fields_are_ordered_and_aligned: {"a": 1, "b": "ø", "long_name": true} =>
        "b          ø\na          1\nlong name  yes\n";
    plain_values_come_first: {"b": {"x": null}, "c": 2} => "c  2\nb:\n  x  -\n";
    objects_form_a_table: {"a": [{"z": 1, "at_ms": 5}, {"z": "wide"}]} =>
        "a:\n  at    z\n  5 ms  1\n  -     wide\n";
    timestamp: {"at_ms": 1_796_253_774_927_u64} => "at  2026-12-02 23:22:54.927 UTC\n";
    empty_values_have_placeholders: {"a": [], "c": ""} => "a  none\nc  -\n";
    strings_are_joined_on_one_line: {"a": ["x", "y"]} => "a  x, y\n";
    objects_with_nested_values_are_separate_items: [{"a": 1, "b": {"c": 2}}, {"a": 3}] =>
        "- a  1\n  b:\n    c  2\n- a  3\n";
    control_characters_are_replaced: {"a\u{7}": "x\u{1b}[2Jy\nz"} =>
        "a\u{fffd}  x\u{fffd}[2Jy\u{fffd}z\n";
}
