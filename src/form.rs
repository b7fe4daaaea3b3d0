//! Formats of INI values: validation, and a description for error messages.

use std::net::SocketAddr;
use std::time::Duration;

use crate::lists::KeyHash;
use crate::units;

/// Maximum size of a name: names appear in log lines, metrics and store keys.
pub const MAX_NAME_BYTES: usize = 128;
/// Minimum size of the hosts' shared secret: shorter secrets can be guessed offline.
pub const MIN_SECRET_BYTES: usize = 16;

/// Format of a value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Form {
    /// A name without spaces, commas or brackets.
    Name,
    /// A name that may hold spaces and commas.
    SpacedName,
    /// Comma-separated names; may be empty.
    Names,
    /// Any non-empty text.
    Text,
    /// A secret; never displayed.
    Secret,
    /// A BLAKE3 hash in hexadecimal.
    Hash,
    /// Comma-separated hashes; may be empty.
    Hashes,
    /// An IP address with port.
    Address,
    /// An address, or `same` for the address of the listener.
    AddressOrSame,
    /// An address, or `none`.
    OptionalAddress,
    /// Comma-separated addresses, at least one.
    Addresses,
    /// A whole number of time units, within the two bounds.
    Time(Duration, Duration),
    /// A time within the two bounds that may be a decimal number, as a program computes it.
    DecimalTime(Duration, Duration),
    /// A size in bytes within the two bounds.
    Size(usize, usize),
    /// A whole number within the two bounds.
    Count(usize, usize),
    /// A decimal number within the two bounds.
    Number(f64, f64),
    /// A rate above zero and up to the bound, or `none`.
    Rate(f64),
    /// A whole number within the two bounds, or `none`.
    OptionalCount(usize, usize),
    /// A size in bytes within the two bounds, or `none`.
    OptionalSize(usize, usize),
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Comma-separated pairs of method and path; the key may be given several times.
    Calls,
}

impl Form {
    /// Returns whether `text` has this format.
    #[must_use]
    pub fn allows(self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text),
            Self::SpacedName => is_spaced_name(text),
            Self::Names => split_items(text).all(is_name),
            Self::Text => !text.is_empty(),
            Self::Secret => text.len() >= MIN_SECRET_BYTES && !text.chars().any(char::is_control),
            Self::Hash => parse_hash(text).is_some(),
            Self::Hashes => split_items(text).all(|item| parse_hash(item).is_some()),
            Self::Address => parse_address(text).is_some(),
            Self::AddressOrSame => text == SAME_ADDRESS || parse_address(text).is_some(),
            Self::OptionalAddress => text == NO_LIMIT || parse_address(text).is_some(),
            Self::Addresses => {
                !text.is_empty() && split_items(text).all(|item| parse_address(item).is_some())
            }
            Self::Time(min, max) => {
                units::time(text).is_some_and(|time| time >= min && time <= max)
            }
            Self::DecimalTime(min, max) => {
                units::fractional_time(text).is_some_and(|time| time >= min && time <= max)
            }
            Self::Size(min, max) => {
                units::size(text).is_some_and(|size| size >= min && size <= max)
            }
            Self::OptionalSize(min, max) => text == NO_LIMIT || Self::Size(min, max).allows(text),
            Self::Count(min, max) => within(units::count(text), min, max),
            Self::Number(min, max) => within(units::number(text), min, max),
            Self::Rate(max) => {
                text == NO_LIMIT || within(units::rate(text), f64::MIN_POSITIVE, max)
            }
            Self::OptionalCount(min, max) => {
                text == NO_LIMIT || within(units::count(text), min, max)
            }
            Self::Choice(words) => words.contains(&text),
            Self::Calls => {
                !text.is_empty() && split_items(text).all(|item| parse_call(item).is_some())
            }
        }
    }

    /// Returns a description that follows the word "allowed" in an error message.
    #[must_use]
    pub fn description(self) -> Box<str> {
        match self {
            Self::Name => {
                format!("a name of 1 to {MAX_NAME_BYTES} bytes without spaces, commas, brackets or \\")
            }
            Self::SpacedName => {
                format!("a name of 1 to {MAX_NAME_BYTES} bytes without brackets, \\ or control characters")
            }
            Self::Names => "names with commas between them, such as one, two".to_owned(),
            Self::Text => "a text that is not empty".to_owned(),
            Self::Secret => format!("at least {MIN_SECRET_BYTES} bytes on one line"),
            Self::Hash => "64 hexadecimal digits; make them with: chiveway hash".to_owned(),
            Self::Hashes => {
                "hashes of 64 hexadecimal digits with commas between them; make them with: chiveway hash"
                    .to_owned()
            }
            Self::Address => "an IP address and port, such as 10.0.0.1:8080".to_owned(),
            Self::AddressOrSame => "same, or an IP address and port, such as 10.0.0.1:8080".to_owned(),
            Self::OptionalAddress => "an IP address and port, such as 10.0.0.1:8080, or none".to_owned(),
            Self::Addresses => {
                "IP addresses and ports with commas between them, such as 10.0.0.1:2379, 10.0.0.2:2379"
                    .to_owned()
            }
            Self::Time(min, max) | Self::DecimalTime(min, max) => {
                let (min, max) = (units::show_time(min), units::show_time(max));
                format!("a time with its unit from {min} to {max}, such as {max}")
            }
            Self::Size(min, max) => {
                let (min, max) = (units::show_size(min), units::show_size(max));
                format!("a size with its unit from {min} to {max}, such as {max}")
            }
            Self::OptionalSize(min, max) => {
                format!("{}, or none", Self::Size(min, max).description())
            }
            Self::Count(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Rate(max) => {
                format!("a rate above 0/s and up to {max}/s, such as 50/s, or none")
            }
            Self::OptionalCount(min, max) => format!("a whole number from {min} to {max}, or none"),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Calls => {
                "calls with commas between them, such as GET /deadlines, POST /extensions*; \
                 a * stands for any method, and at the end of a path for any rest"
                    .to_owned()
            }
        }
        .into()
    }

    /// Returns whether a key of this format may be given several times in one section.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Calls)
    }
}

/// Value for "no limit" or "no address".
const NO_LIMIT: &str = "none";
/// Value for the address of the listener.
const SAME_ADDRESS: &str = "same";

fn within<T: PartialOrd + Copy>(value: Option<T>, min: T, max: T) -> bool {
    value.is_some_and(|value| value >= min && value <= max)
}

/// Splits a value at commas; an empty value has no items.
pub fn split_items(text: &str) -> impl Iterator<Item = &str> {
    let empty = text.is_empty();
    text.split(',').map(str::trim).filter(move |_| !empty)
}

/// Returns whether `text` is a valid name that may hold spaces.
#[must_use]
pub fn is_spaced_name(text: &str) -> bool {
    let is_forbidden = |c: char| c.is_control() || matches!(c, '[' | ']' | '\\');
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.trim() == text
        && !text.chars().any(is_forbidden)
}

/// Returns whether `text` is a valid name without spaces.
#[must_use]
pub fn is_name(text: &str) -> bool {
    is_spaced_name(text) && !text.contains(|c: char| c.is_whitespace() || c == ',')
}

/// Parses a BLAKE3 hash of 64 hexadecimal digits.
#[must_use]
pub fn parse_hash(text: &str) -> Option<KeyHash> {
    let hash = blake3::Hash::from_hex(text).ok()?;
    Some(KeyHash(*hash.as_bytes()))
}

/// Parses an IP address with port.
#[must_use]
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an item of [`Form::Calls`] into method and path.
#[must_use]
pub fn parse_call(text: &str) -> Option<(&str, &str)> {
    let (method, path) = text.split_once(char::is_whitespace)?;
    let path = path.trim_start();
    let is_method = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
    let prefix = path.strip_suffix('*').unwrap_or(path);
    let is_rooted = path == "*" || path.starts_with('/');
    let is_forbidden =
        |c: char| c.is_whitespace() || c.is_control() || matches!(c, '*' | ',' | '\\');
    ((is_method || method == "*") && is_rooted && !prefix.contains(is_forbidden))
        .then_some((method, path))
}
