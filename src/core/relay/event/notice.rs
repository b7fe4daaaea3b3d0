//! What the head of a backend server's answer states about the server itself.

/// Statements of a backend server about itself, in the head of any of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notices {
    /// Rate limit for all hosts together.
    pub limit: NamedLimit,
    /// Whether it is leaving: it accepts no new work soon.
    pub leaving: bool,
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
