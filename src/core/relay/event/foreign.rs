//! Responses that belong to another request than the one under way on their connection.

/// A response that belongs to another request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForeignResponse {
    /// Call that was under way.
    pub reader: Reader,
    /// Id of the backend server or name of the host that sent it.
    pub sender: Box<str>,
    /// Id of the request under way; empty if it has none.
    pub expected: Box<str>,
    /// Id that the response names; empty if it names none.
    pub received: Box<str>,
    /// HTTP status.
    pub status: u16,
}

/// Kind of a call whose response is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reader {
    /// A caller's request at a backend server.
    Request,
    /// Another call to a backend server.
    Call,
    /// A request forwarded to another host.
    Host,
}

impl Reader {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Call => "call",
            Self::Host => "host",
        }
    }
}
