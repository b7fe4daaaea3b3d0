//! Client side towards engines and plain services.
//!
//! Every call tells whether the request may have run: the answer "not run" is given only when no
//! byte of the request was handed to a socket, or when the other side said so.

pub mod channel;
mod client;
mod engine;
mod fresh;
mod sse;
mod stream;
#[cfg(test)]
mod tests;

pub use client::{Answer, Call, Client, OpenError, Options, Reuse};
pub use engine::{
    Action, CacheEvent, CacheOp, Load, OrderError, Prefilled, events, load, order, prefill,
};
pub use fresh::{Fresh, Gate};
pub use sse::{Event, Parser, SseError};
pub use stream::{Chunk, ReadError, Stream, open};
