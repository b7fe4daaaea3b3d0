//! Incoming connections from peers: authentication handshake, then messages.
//!
//! A connection carries messages one way, from the host that opened it. Each side proves that it
//! knows the shared secret by a MAC over both sides' nonces. Each message then carries a MAC under
//! a key of this connection, so that no third party can inject messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::node::Node;
use crate::core::Event;
use crate::core::event::PeerEvent;
use crate::wire::{self, Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, WireError};

/// Largest frame accepted before the sender is authenticated.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 512;
/// Time limit for the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a message after which a peer's connection is closed; heartbeats come every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Length of the MAC before each message.
const MAC_BYTES: usize = 16;
/// Largest number of concurrent handshakes.
const MAX_HANDSHAKES: usize = 64;

/// A connection with length-delimited frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection to a peer ended.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Broken {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// The peer did not send in time.
    #[snafu(display("the peer timed out"))]
    TimedOut,
    /// A frame cannot be decoded.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// Decoding error.
        source: WireError,
    },
    /// The peer uses another protocol version.
    #[snafu(display("the peer uses protocol version {version}, expected {PROTOCOL_VERSION}"))]
    Version {
        /// Version of the peer.
        version: u32,
    },
    /// The peer did not prove that it knows the secret, or is not the expected host.
    #[snafu(display("the peer did not prove who it is"))]
    Unauthenticated,
}

/// Wraps a new connection with the frame limit that applies before authentication.
pub fn frame(stream: TcpStream) -> std::io::Result<FramedStream> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_HANDSHAKE_FRAME_BYTES);
    Ok(Framed::new(stream, codec))
}

/// Computes and verifies the MACs of an authenticated connection.
#[derive(Debug)]
pub struct SessionMac {
    key: [u8; 32],
    count: u64,
}

impl SessionMac {
    fn next_mac(&mut self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(bytes);
        self.count += 1;
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Returns a message prefixed with its MAC.
    pub fn seal(&mut self, frame: &Frame) -> Bytes {
        let mut bytes = BytesMut::zeroed(MAC_BYTES);
        wire::encode(frame, &mut bytes);
        let mac = self.next_mac(&bytes[MAC_BYTES..]);
        bytes[..MAC_BYTES].copy_from_slice(&mac);
        bytes.freeze()
    }

    /// Verifies the MAC of a message and returns the message.
    fn verify(&mut self, mut bytes: BytesMut) -> Result<BytesMut, PeerError> {
        if bytes.len() < MAC_BYTES {
            return Err(PeerError::Unauthenticated);
        }
        let mac = bytes.split_to(MAC_BYTES);
        // The comparison takes constant time.
        let given = blake3::Hash::from_bytes(widen(&mac));
        let expected = blake3::Hash::from_bytes(widen(&self.next_mac(&bytes)));
        if given == expected {
            Ok(bytes)
        } else {
            Err(PeerError::Unauthenticated)
        }
    }
}

fn widen(mac: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..MAC_BYTES].copy_from_slice(mac);
    wide
}

/// Side of a connection; the sides' proofs differ, so that neither can echo the other's proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Opener,
    /// The side that accepted it.
    Accepter,
}

fn hello(name: &str) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        name: name.into(),
        nonce: rand::random(),
    }
}

fn handshake_mac(secret: &str, purpose: &str, opener: &Hello, accepter: &Hello) -> [u8; 32] {
    let key = blake3::derive_key("chiveway peer handshake", secret.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    for part in [
        purpose.as_bytes(),
        opener.name.as_bytes(),
        &opener.nonce,
        accepter.name.as_bytes(),
        &accepter.nonce,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Authenticates both sides to each other; returns the peer's name and the MAC state.
///
/// # Errors
///
/// Returns why the peer could not be authenticated.
pub async fn handshake(
    wire: &mut FramedStream,
    side: Side,
    name: &str,
    secret: &str,
) -> Result<(Box<str>, SessionMac), PeerError> {
    let own = hello(name);
    send(wire, &Frame::Hello(own.clone())).await?;
    let Frame::Hello(other) = receive(wire).await? else {
        return Err(PeerError::Unauthenticated);
    };
    if other.version != PROTOCOL_VERSION {
        return Err(PeerError::Version {
            version: other.version,
        });
    }
    let (opener, accepter) = match side {
        Side::Opener => (&own, &other),
        Side::Accepter => (&other, &own),
    };
    let proof = |side| match side {
        Side::Opener => handshake_mac(secret, "opener", opener, accepter),
        Side::Accepter => handshake_mac(secret, "accepter", opener, accepter),
    };
    let (mine, theirs) = match side {
        Side::Opener => (Side::Opener, Side::Accepter),
        Side::Accepter => (Side::Accepter, Side::Opener),
    };
    send(wire, &Frame::Proof(proof(mine))).await?;
    let Frame::Proof(given) = receive(wire).await? else {
        return Err(PeerError::Unauthenticated);
    };
    // The comparison takes constant time.
    if blake3::Hash::from_bytes(given) != blake3::Hash::from_bytes(proof(theirs)) {
        return Err(PeerError::Unauthenticated);
    }
    let key = handshake_mac(secret, "session", opener, accepter);
    wire.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok((other.name, SessionMac { key, count: 0 }))
}

async fn send(wire: &mut FramedStream, frame: &Frame) -> Result<(), PeerError> {
    let mut bytes = BytesMut::new();
    wire::encode(frame, &mut bytes);
    wire.send(bytes.freeze()).await?;
    Ok(())
}

async fn receive(wire: &mut FramedStream) -> Result<Frame, PeerError> {
    let bytes = wire.next().await.ok_or(PeerError::Closed)??;
    Ok(wire::decode(bytes)?)
}

/// Accepts connections from peers until `stop` closes.
pub async fn accept(node: Rc<Node>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let handshakes = crate::web::Gauge::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = stop.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        };
        let Ok((stream, addr)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if handshakes.get() >= MAX_HANDSHAKES {
            continue;
        }
        let hold = handshakes.acquire();
        let (node, stop) = (Rc::clone(&node), stop.clone());
        ntex::rt::spawn(async move {
            if let Err(err) = serve(&node, stream, hold, stop).await {
                log_refusal(addr, &err);
            }
        });
    }
}

fn log_refusal(addr: SocketAddr, err: &PeerError) {
    match err {
        PeerError::Unauthenticated | PeerError::Version { .. } | PeerError::Frame { .. } => {
            log::warn!(target: "chiveway::peer.refused", "connection from {addr} refused: {err}");
        }
        _ => log::debug!("connection from {addr} ended: {err}"),
    }
}

async fn serve(
    node: &Rc<Node>,
    stream: TcpStream,
    hold: crate::web::GaugeGuard,
    mut stop: watch::Receiver<bool>,
) -> Result<(), PeerError> {
    let (name, secret) = node.with_core(|core| {
        let host = &core.settings.host;
        (host.name.clone(), host.secret.clone())
    });
    let mut wire = frame(stream)?;
    let proof = handshake(&mut wire, Side::Accepter, &name, secret.expose());
    let (from, mut mac) = timeout(HANDSHAKE_TIMEOUT, proof)
        .await
        .unwrap_or(Err(PeerError::TimedOut))?;
    drop(hold);
    loop {
        let next = tokio::select! {
            next = timeout(IDLE_TIMEOUT, wire.next()) => next,
            _ = stop.changed() => return Ok(()),
        };
        let Ok(next) = next else {
            return Err(PeerError::TimedOut);
        };
        let bytes = mac.verify(next.ok_or(PeerError::Closed)??)?;
        if let Frame::Message(message) = wire::decode(bytes)? {
            let from = from.clone();
            node.apply(Event::Peer(PeerEvent::Message { from, message }));
        }
    }
}
