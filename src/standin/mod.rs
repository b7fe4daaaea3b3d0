//! Stand-ins for outside systems, for tests, demonstrations and load trials.

pub mod engine;
pub mod hop;
pub mod kv;
pub mod service;
