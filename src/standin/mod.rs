//! Stand-ins for external systems, for tests, demonstrations and load trials.

pub mod engine;
pub mod hop;
pub mod kv;
pub mod service;
