//! Encoding of messages between hosts and of values in the key-value service.
//!
//! The types of `generated` come from `proto/peer.proto` and stay in this module: decoding
//! converts them to the core's own types and returns an error for any value out of bounds.

mod convert;
#[expect(
    clippy::doc_markdown,
    clippy::trivially_copy_pass_by_ref,
    reason = "generated code"
)]
mod generated;
mod gossip;
mod load;
mod shard;
#[cfg(test)]
mod tests;

pub use gossip::{decode_gossip, encode_gossip};
pub use shard::{decode_records, decode_shard, encode_records, encode_shard};

use bytes::{Buf, BytesMut};
use prost::Message as _;
use snafu::Snafu;

use crate::core::message::Message;
use generated::frame::Kind;

/// Version of the protocol between hosts.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum size of one frame; the largest holds both lists.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// One frame of a connection between two hosts.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// First frame sent by each side.
    Hello(Hello),
    /// Second frame sent by each side: a MAC that proves knowledge of the shared secret.
    Proof([u8; 32]),
    /// Any later frame.
    Message(Message),
}

/// First frame sent by each side of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sender.
    pub name: Box<str>,
    /// Random bytes, fresh for each connection.
    pub nonce: [u8; 32],
}

/// Why bytes could not be decoded.
#[derive(Debug, Snafu, PartialEq, Eq, Clone)]
pub enum WireError {
    /// The bytes are not a valid encoding.
    #[snafu(display("invalid protobuf encoding"))]
    Undecodable,
    /// A field is missing or out of bounds.
    #[snafu(display("field {field} is missing or out of bounds"))]
    Field {
        /// Name of the field.
        field: &'static str,
    },
}

/// Appends the encoding of a frame to `out`.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let kind = match frame {
        Frame::Hello(hello) => Kind::Hello(generated::Hello {
            version: hello.version,
            name: hello.name.to_string(),
            nonce: hello.nonce.to_vec(),
        }),
        Frame::Proof(mac) => Kind::Proof(generated::Proof { mac: mac.to_vec() }),
        Frame::Message(message) => convert::to_kind(message),
    };
    let frame = generated::Frame { kind: Some(kind) };
    out.reserve(frame.encoded_len());
    // Encoding fails only when the buffer is full, and `BytesMut` grows.
    if frame.encode(out).is_err() {
        unreachable!("a growing buffer is never full");
    }
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the bytes are not a frame, or if a field is missing or out of bounds.
pub fn decode(bytes: impl Buf) -> Result<Frame, WireError> {
    let frame = generated::Frame::decode(bytes).map_err(|_malformed| WireError::Undecodable)?;
    let kind = frame.kind.ok_or(WireError::Field { field: "kind" })?;
    Ok(match kind {
        Kind::Hello(hello) => Frame::Hello(Hello {
            version: hello.version,
            name: hello.name.into(),
            nonce: fixed_bytes(&hello.nonce, "nonce")?,
        }),
        Kind::Proof(proof) => Frame::Proof(fixed_bytes(&proof.mac, "mac")?),
        other => Frame::Message(convert::from_kind(other)?),
    })
}

fn fixed_bytes<const N: usize>(bytes: &[u8], field: &'static str) -> Result<[u8; N], WireError> {
    bytes
        .try_into()
        .map_err(|_length| WireError::Field { field })
}
