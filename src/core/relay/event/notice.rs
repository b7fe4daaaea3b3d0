//! What the head of a backend server's answer states about the server itself.

use std::time::Duration;

/// Statements of a backend server about itself, in the head of any of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notices {
    /// Rate limit for all hosts together.
    pub limit: NamedLimit,
    /// Whether it is leaving: it accepts no new work soon.
    pub leaving: bool,
    /// Time in which it wants no requests from this host; only a refusal names one.
    pub pushback: NamedPushback,
}

/// Rate limit that an answer names: requests per second that its backend server accepts from all hosts
/// together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum NamedLimit {
    /// The answer names no limit.
    #[default]
    None,
    /// Requests per second; finite and not negative.
    Rate(f64),
    /// The named value is not such a number.
    Unreadable,
}

/// Pushback that a refusal names: time in which its backend server wants no requests from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NamedPushback {
    /// The answer names no pushback.
    #[default]
    None,
    /// The named time.
    For(Duration),
    /// The named value is not a time.
    Unreadable,
}
