//! Forms of INI values: what each key may hold, and the sentence that says so.

use std::net::SocketAddr;
use std::time::Duration;

use crate::lists::KeyHash;
use crate::units;

/// Most bytes of a name: names travel in log lines, metrics and store keys.
pub const MAX_NAME: usize = 128;
/// Least bytes of the hosts' shared secret: shorter ones can be guessed offline.
pub const MIN_SECRET: usize = 16;

/// What a value may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Form {
    /// A name without spaces, commas or brackets.
    Word,
    /// A name that may hold spaces and commas.
    Title,
    /// Words with commas between them; may be empty.
    Words,
    /// Any text that is not empty.
    Text,
    /// A secret; its value is never shown.
    Secret,
    /// A BLAKE3 hash in hexadecimal.
    Hash,
    /// Hashes with commas between them; may be empty.
    Hashes,
    /// An IP address with port.
    Address,
    /// An address, or `same` for the listener's own.
    Advertised,
    /// At least one address, with commas between them.
    Addresses,
    /// A time within the two bounds.
    Time(Duration, Duration),
    /// A time within the two bounds, with a decimal point where a program worked it out.
    Span(Duration, Duration),
    /// A size in bytes within the two bounds.
    Size(usize, usize),
    /// A whole number within the two bounds.
    Count(usize, usize),
    /// A decimal number within the two bounds.
    Number(f64, f64),
    /// A rate above zero and up to the bound, or `none`.
    Rate(f64),
    /// A whole number within the two bounds, or `none`.
    Limit(usize, usize),
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Method and path pairs with commas between them; the key may be given several times.
    Calls,
}

impl Form {
    /// Tells whether `text` has this form.
    #[must_use]
    pub fn allows(self, text: &str) -> bool {
        match self {
            Self::Word => is_word(text),
            Self::Title => is_title(text),
            Self::Words => items(text).all(is_word),
            Self::Text => !text.is_empty(),
            Self::Secret => text.len() >= MIN_SECRET && !text.chars().any(char::is_control),
            Self::Hash => hash(text).is_some(),
            Self::Hashes => items(text).all(|item| hash(item).is_some()),
            Self::Address => address(text).is_some(),
            Self::Advertised => text == SAME || address(text).is_some(),
            Self::Addresses => !text.is_empty() && items(text).all(|item| address(item).is_some()),
            Self::Time(min, max) => {
                units::time(text).is_some_and(|time| time >= min && time <= max)
            }
            Self::Span(min, max) => {
                units::fractional_time(text).is_some_and(|time| time >= min && time <= max)
            }
            Self::Size(min, max) => {
                units::size(text).is_some_and(|size| size >= min && size <= max)
            }
            Self::Count(min, max) => within(units::count(text), min, max),
            Self::Number(min, max) => within(units::number(text), min, max),
            Self::Rate(max) => text == NONE || within(units::rate(text), f64::MIN_POSITIVE, max),
            Self::Limit(min, max) => text == NONE || within(units::count(text), min, max),
            Self::Choice(words) => words.contains(&text),
            Self::Calls => !text.is_empty() && items(text).all(|item| call(item).is_some()),
        }
    }

    /// Returns what is allowed, to follow the word "allowed".
    #[must_use]
    pub fn allowed(self) -> Box<str> {
        match self {
            Self::Word => {
                format!("a name of 1 to {MAX_NAME} bytes without spaces, commas, brackets or \\")
            }
            Self::Title => {
                format!("a name of 1 to {MAX_NAME} bytes without brackets, \\ or control characters")
            }
            Self::Words => "names with commas between them, such as one, two".to_owned(),
            Self::Text => "a text that is not empty".to_owned(),
            Self::Secret => format!("at least {MIN_SECRET} bytes on one line"),
            Self::Hash => "64 hexadecimal digits; make them with: chiveway hash".to_owned(),
            Self::Hashes => {
                "hashes of 64 hexadecimal digits with commas between them; make them with: chiveway hash"
                    .to_owned()
            }
            Self::Address => "an IP address and port, such as 10.0.0.1:8080".to_owned(),
            Self::Advertised => "same, or an IP address and port, such as 10.0.0.1:8080".to_owned(),
            Self::Addresses => {
                "IP addresses and ports with commas between them, such as 10.0.0.1:2379, 10.0.0.2:2379"
                    .to_owned()
            }
            Self::Time(min, max) | Self::Span(min, max) => {
                let (min, max) = (units::show_time(min), units::show_time(max));
                format!("a time with its unit from {min} to {max}, such as {max}")
            }
            Self::Size(min, max) => {
                let (min, max) = (units::show_size(min), units::show_size(max));
                format!("a size with its unit from {min} to {max}, such as {max}")
            }
            Self::Count(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Rate(max) => {
                format!("a rate above 0/s and up to {max}/s, such as 50/s, or none")
            }
            Self::Limit(min, max) => format!("a whole number from {min} to {max}, or none"),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Calls => {
                "calls with commas between them, such as GET /deadlines, POST /extensions*; \
                 a * stands for any method, and at the end of a path for any rest"
                    .to_owned()
            }
        }
        .into()
    }

    /// Tells whether a key of this form may be given several times in one section.
    #[must_use]
    pub fn repeats(self) -> bool {
        matches!(self, Self::Calls)
    }
}

/// Word for "no limit".
const NONE: &str = "none";
/// Word for the listener's own address.
const SAME: &str = "same";

fn within<T: PartialOrd + Copy>(value: Option<T>, min: T, max: T) -> bool {
    value.is_some_and(|value| value >= min && value <= max)
}

/// Splits a value at its commas; an empty value has no items.
pub fn items(text: &str) -> impl Iterator<Item = &str> {
    let empty = text.is_empty();
    text.split(',').map(str::trim).filter(move |_| !empty)
}

/// Tells whether `text` can stand as a name that may hold spaces.
#[must_use]
pub fn is_title(text: &str) -> bool {
    let barred = |c: char| c.is_control() || matches!(c, '[' | ']' | '\\');
    !text.is_empty() && text.len() <= MAX_NAME && text.trim() == text && !text.chars().any(barred)
}

/// Tells whether `text` can stand as a name without spaces.
#[must_use]
pub fn is_word(text: &str) -> bool {
    is_title(text) && !text.contains(|c: char| c.is_whitespace() || c == ',')
}

/// Reads a BLAKE3 hash of 64 hexadecimal digits.
#[must_use]
pub fn hash(text: &str) -> Option<KeyHash> {
    let hash = blake3::Hash::from_hex(text).ok()?;
    Some(KeyHash(*hash.as_bytes()))
}

/// Reads an IP address with port.
#[must_use]
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Reads an item of [`Form::Calls`] into method and path.
#[must_use]
pub fn call(text: &str) -> Option<(&str, &str)> {
    let (method, path) = text.split_once(char::is_whitespace)?;
    let path = path.trim_start();
    let named = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
    let fixed = path.strip_suffix('*').unwrap_or(path);
    let rooted = path == "*" || path.starts_with('/');
    let barred = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '*' | ',' | '\\');
    ((named || method == "*") && rooted && !fixed.contains(barred)).then_some((method, path))
}
