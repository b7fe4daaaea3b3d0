//! HTTP clients for backend servers: engines and plain services.
//!
//! Every failed call reports whether the request may have run. "Not run" is reported only if no
//! byte of the request was written to a socket, or if the backend server stated so.

mod bounded;
mod client;
mod connect;
mod engine;
mod identity;
pub mod pool;
mod sends;
mod single_use;
mod sse;
mod stream;
#[cfg(test)]
mod tests;

pub use client::{Answer, Call, CallError, Client, Options, Reuse};
pub use engine::{
    Action, CacheEvent, CacheOp, EngineLoad, OrderError, PrefillResult, fetch_cache_events,
    fetch_load, prefill, send_order,
};
pub use identity::ATTEMPT_HEADER;
pub use sends::SendCount;
pub use single_use::{SendCheck, SingleUse};
pub use sse::{Event, Parser, SseError};
pub use stream::{Chunk, ReadError, Stream, open};
