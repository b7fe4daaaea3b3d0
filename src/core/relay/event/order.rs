//! Orders to engines, and what engines state of themselves.

use std::net::SocketAddr;

use super::Stage;
use crate::core::time::Time;

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine's id.
    pub instance: Box<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Stage that it is to change to.
    pub stage: Stage,
    /// Name of this host, the holder of the authority.
    pub holder: Box<str>,
    /// Fencing number.
    pub fence: u64,
    /// Number of orders that the engine had accepted when this one was decided.
    pub expected: u64,
    /// End of the authority; checked again just before the order is written to the connection.
    pub until: Time,
    /// Era of the store that the authority belongs to; checked likewise.
    pub era: u64,
}

/// State that an engine reports, some hundred milliseconds old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Current stage.
    pub stage: Stage,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine is executing it, or already has that stage.
    Done,
    /// The engine is busy, or its state differs from the expected one.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine certainly did not accept it.
    Unsent,
    /// The engine may have accepted it, or may still accept it.
    Unknown,
}
