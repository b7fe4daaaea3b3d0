//! Which engine of a pool should change its role, if any.

use super::Time;
use super::event::Role;
use super::key::BackendKey;
use crate::settings::PoolSettings;

/// One engine as the decision sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its key.
    pub key: BackendKey,
    /// Failure domain.
    pub domain: Box<str>,
    /// Present role.
    pub role: Role,
    /// Whether new work goes there.
    pub serving: bool,
    /// Streams of all hosts there, as far as hosts have told.
    pub streams: u32,
    /// Speed against a nominal engine.
    pub speed: f64,
}

/// A pool as the decision sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct View<'a> {
    /// Time of the decision.
    pub now: Time,
    /// The pool's settings.
    pub settings: &'a PoolSettings,
    /// Its engines.
    pub engines: &'a [Engine],
    /// Prompt tokens a second that all hosts took in.
    pub prompt: f64,
    /// Output tokens a second that all hosts took in.
    pub output: f64,
}

/// What the decision remembers between calls.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Memory;

/// A change worth making.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: BackendKey,
    /// Its new role.
    pub role: Role,
}

/// Returns the change worth making now, if any; called about once a second by a pool's holder.
#[must_use]
pub fn decide(_view: &View<'_>, _memory: &mut Memory) -> Option<Change> {
    None
}
