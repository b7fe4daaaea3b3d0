//! Refusals that promise more than is known.

/// A refusal by which a request would be reported as not run, although sends of it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnprovenRefusal {
    /// Id of the request.
    pub id: Box<str>,
    /// Code of the refusal.
    pub code: &'static str,
    /// Times that the request was handed to a connection.
    pub sends: u32,
    /// Those of them without a statement that it did not run.
    pub unproven: u32,
}
