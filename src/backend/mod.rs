//! Client side towards engines and plain services.
//!
//! Every call tells whether the request may have run: the answer "not run" is given only when no
//! byte of the request was handed to a socket, or when the other side said so.

mod client;
mod engine;
pub mod pool;
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
pub use single_use::{SendCheck, SingleUse};
pub use sse::{Event, Parser, SseError};
pub use stream::{Chunk, ReadError, Stream, open};
