//! Parses and formats values with units: times, sizes, rates and plain numbers.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Time units, largest first: suffix and nanoseconds.
const TIME_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000_000),
    ("m", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
];

/// Size units, largest first: suffix and bytes.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Suffix of a rate.
const RATE_SUFFIX: &str = "/s";

/// Parses a time such as `250ms` or `14s`; the units are `us`, `ms`, `s`, `m` and `h`.
#[must_use]
pub fn time(text: &str) -> Option<Duration> {
    value_with_unit(text, &TIME_UNITS).map(Duration::from_nanos)
}

/// Parses a time that may have a decimal point, such as `5.1s`; the units are those of [`time`].
#[must_use]
pub fn fractional_time(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (value, suffix) = text.split_at(split);
    let suffix = suffix.trim_start();
    let (_, scale) = TIME_UNITS.iter().find(|(unit, _)| *unit == suffix)?;
    Duration::try_from_secs_f64(number(value)? * *scale as f64 / 1e9).ok()
}

/// Formats a time in the largest unit that needs no fraction.
///
/// The rest below a microsecond is dropped.
#[must_use]
pub fn show_time(time: Duration) -> Box<str> {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    show_with_unit(nanos - nanos % 1_000, &TIME_UNITS, "s")
}

/// Formats a timestamp in milliseconds since 1970 as date and time in UTC.
#[must_use]
pub fn show_utc(millis: u64) -> Box<str> {
    let (secs, millis) = (millis / 1_000, millis % 1_000);
    let (days, secs) = (secs / 86_400, secs % 86_400);
    let (year, month, day) = date(days);
    let (hour, minute, secs) = (secs / 3_600, secs / 60 % 60, secs % 60);
    format!("{year}-{month:02}-{day:02} {hour:02}:{minute:02}:{secs:02}.{millis:03} UTC").into()
}

/// Returns year, month and day in the Gregorian calendar of a number of days since 1 January 1970.
///
/// Computes with years that start on 1 March, so that the leap day is the last of the year, in eras
/// of 400 years.
fn date(days: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    /// Days from 1 March of year 0 to 1 January 1970.
    const DAYS_BEFORE_1970: u64 = 719_468;
    let days = days + DAYS_BEFORE_1970;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    (400 * era + year + carry, month, day)
}

/// Parses a size such as `64MiB`; the units are `B`, `KiB`, `MiB` and `GiB`.
#[must_use]
pub fn size(text: &str) -> Option<usize> {
    value_with_unit(text, &SIZE_UNITS).and_then(|size| usize::try_from(size).ok())
}

/// Formats a size in the largest unit that needs no fraction.
#[must_use]
pub fn show_size(size: usize) -> Box<str> {
    show_with_unit(size as u64, &SIZE_UNITS, "B")
}

/// Parses a rate such as `50/s` or `0.5/s`, in events per second.
#[must_use]
pub fn rate(text: &str) -> Option<f64> {
    number(text.strip_suffix(RATE_SUFFIX)?.trim_end())
}

/// Formats a rate so that [`rate`] returns the same value.
#[must_use]
pub fn show_rate(rate: f64) -> Box<str> {
    format!("{rate}{RATE_SUFFIX}").into()
}

/// Parses a decimal number of digits and at most one point, without sign or exponent.
#[must_use]
pub fn number(text: &str) -> Option<f64> {
    let allowed = |c: char| c.is_ascii_digit() || c == '.';
    let digit_first = text.starts_with(|c: char| c.is_ascii_digit());
    if !digit_first || !text.chars().all(allowed) {
        return None;
    }
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Parses a whole number that consists of digits only.
#[must_use]
pub fn count(text: &str) -> Option<usize> {
    digits(text).and_then(|value| usize::try_from(value).ok())
}

/// Parses `yes` or `no`.
#[must_use]
pub fn boolean(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn digits(text: &str) -> Option<u64> {
    if !text.chars().all(|c| c.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a whole number followed by one of `units`; returns `None` also on overflow.
fn value_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (value, suffix) = text.split_at(split);
    let suffix = suffix.trim_start();
    let (_, scale) = units.iter().find(|(unit, _)| *unit == suffix)?;
    digits(value)?.checked_mul(*scale)
}

fn show_with_unit(value: u64, units: &[(&str, u64)], zero: &str) -> Box<str> {
    let fits = |(_, scale): &&(&str, u64)| value >= *scale && value.is_multiple_of(*scale);
    match units.iter().find(fits) {
        Some((unit, scale)) => format!("{}{unit}", value / scale).into(),
        None => format!("0{zero}").into(),
    }
}
