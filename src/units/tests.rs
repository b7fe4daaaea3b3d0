//! Tests of values with units.

use std::time::Duration;

use super::{count, number, rate, show_rate, show_size, show_time, show_utc, size, time};

/// Defines a test for each case: a value parsed from text.
macro_rules! parsed {
    ($($name:ident: $parse:ident($text:literal) => $value:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!($parse($text), $value);
        })+
    };
}

parsed! {
    milliseconds: time("250ms") => Some(Duration::from_millis(250));
    seconds: time("14s") => Some(Duration::from_secs(14));
    space_before_unit: time("14 s") => Some(Duration::from_secs(14));
    microseconds: time("20us") => Some(Duration::from_micros(20));
    hours: time("2h") => Some(Duration::from_hours(2));
    time_without_unit: time("14") => None;
    time_without_value: time("s") => None;
    negative_time: time("-1s") => None;
    time_with_fraction: time("1.5s") => None;
    time_with_wrong_unit: time("1sec") => None;
    time_too_long: time("99999999999999999999h") => None;
    time_that_overflows: time("18446744073709551615h") => None;
    empty_time: time("") => None;
    mebibytes: size("64MiB") => Some(64 << 20);
    bytes: size("7B") => Some(7);
    decimal_megabytes: size("64MB") => None;
    whole_rate: rate("50/s") => Some(50.0);
    fractional_rate: rate("0.5/s") => Some(0.5);
    rate_a_minute: rate("50/m") => None;
    rate_with_sign: rate("+5/s") => None;
    infinite: number("inf") => None;
    not_a_number: number("NaN") => None;
    with_exponent: number("1e3") => None;
    two_points: number("1.2.3") => None;
    point_first: number(".5") => None;
    whole_count: count("4096") => Some(4096);
    empty_count: count("") => None;
    signed_count: count("+4") => None;
    non_ascii_digits: count("٤") => None;
}

/// Defines a test for each case: a value and its text.
macro_rules! shown {
    ($($name:ident: $shown:expr => $text:literal;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(&*$shown, $text);
        })+
    };
}

shown! {
    largest_unit: show_time(Duration::from_mins(2)) => "2m";
    no_fraction: show_time(Duration::from_millis(1500)) => "1500ms";
    zero_time: show_time(Duration::ZERO) => "0s";
    below_a_microsecond: show_time(Duration::from_nanos(1_999)) => "1us";
    whole_size: show_size(8 << 20) => "8MiB";
    size_in_bytes: show_size(1025) => "1025B";
    zero_size: show_size(0) => "0B";
    first_day: show_utc(0) => "1970-01-01 00:00:00.000 UTC";
    leap_day: show_utc(951_782_400_000) => "2000-02-29 00:00:00.000 UTC";
    day_after_leap_day: show_utc(951_868_800_000) => "2000-03-01 00:00:00.000 UTC";
    last_moment_of_a_year: show_utc(1_798_761_599_999) => "2026-12-31 23:59:59.999 UTC";
    no_leap_day_in_2100: show_utc(4_107_542_400_000) => "2100-03-01 00:00:00.000 UTC";
    shown_rate: show_rate(0.1) => "0.1/s";
}
