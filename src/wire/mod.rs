//! Messages between hosts and values in the key-value service, as bytes.
//!
//! The types of `generated` are made from `proto/peer.proto` and stay in this folder: what comes
//! in is converted at once to the core's own types, and anything out of bounds is an error.

mod convert;
#[expect(
    clippy::doc_markdown,
    clippy::trivially_copy_pass_by_ref,
    reason = "made by a tool"
)]
mod generated;
mod gossip;
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
/// Most bytes of one frame; the largest holds both lists.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// One frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// First frame of each side.
    Hello(Hello),
    /// Second frame of each side.
    Proof([u8; 32]),
    /// Any frame after them.
    Message(Message),
}

/// First frame of each side of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u32,
    /// Name of the sender.
    pub name: Box<str>,
    /// Random bytes for this connection.
    pub nonce: [u8; 32],
}

/// Why bytes are not a frame.
#[derive(Debug, Snafu, PartialEq, Eq, Clone)]
pub enum WireError {
    /// Not the encoding of a frame.
    #[snafu(display("the frame cannot be decoded"))]
    Undecodable,
    /// A field is missing or out of bounds.
    #[snafu(display("the field {field} is missing or out of bounds"))]
    Field {
        /// Name of the field.
        field: &'static str,
    },
}

/// Appends the bytes of a frame.
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
    // Only a full buffer is an error, and `BytesMut` grows.
    if frame.encode(out).is_err() {
        unreachable!("a growing buffer is never full");
    }
}

/// Reads a frame.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
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
