//! Connections from peers: proof of who they are, then their messages.
//!
//! A connection carries messages one way, from the host that opened it. Both sides prove that
//! they know the shared secret over both sides' random bytes; each message then carries a code
//! made with a key of this connection, so that nothing can be put into it from outside.

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

/// Most bytes of a frame before the sender has proved who it is.
const FIRST_LIMIT: usize = 512;
/// Time both sides have to prove who they are.
pub const PROOF_TIME: Duration = Duration::from_secs(3);
/// Silence after which a peer's connection is closed; beats come every second.
const SILENCE: Duration = Duration::from_secs(15);
/// Bytes of the code before each message.
const CODE: usize = 16;
/// Connections that may be proving who they are at once.
const UNPROVED: usize = 64;

/// A framed connection.
pub type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection to a peer ended.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"), context(false))]
    Broken {
        /// What the system said.
        source: std::io::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("the other side closed the connection"))]
    Closed,
    /// The other side was too slow.
    #[snafu(display("the other side was silent for too long"))]
    Slow,
    /// A frame is not understood.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// What is wrong with it.
        source: WireError,
    },
    /// The other side speaks another version.
    #[snafu(display("the other side speaks version {version}"))]
    Version {
        /// Its version.
        version: u32,
    },
    /// The other side did not prove that it knows the secret, or is not who was expected.
    #[snafu(display("the other side did not prove who it is"))]
    Unproved,
}

/// Frames a fresh connection, with the small bound that holds before both sides are known.
pub fn frame(stream: TcpStream) -> std::io::Result<Wire> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(FIRST_LIMIT);
    Ok(Framed::new(stream, codec))
}

/// A proved connection's codes.
#[derive(Debug)]
pub struct Codes {
    key: [u8; 32],
    count: u64,
}

impl Codes {
    fn next(&mut self, bytes: &[u8]) -> [u8; CODE] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(bytes);
        self.count += 1;
        let mut code = [0; CODE];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE]);
        code
    }

    /// Returns a message with its code before it.
    pub fn seal(&mut self, frame: &Frame) -> Bytes {
        let mut bytes = BytesMut::zeroed(CODE);
        wire::encode(frame, &mut bytes);
        let code = self.next(&bytes[CODE..]);
        bytes[..CODE].copy_from_slice(&code);
        bytes.freeze()
    }

    /// Checks a message's code and returns the message.
    fn open(&mut self, mut bytes: BytesMut) -> Result<BytesMut, PeerError> {
        if bytes.len() < CODE {
            return Err(PeerError::Unproved);
        }
        let code = bytes.split_to(CODE);
        // Compares in constant time.
        let given = blake3::Hash::from_bytes(widen(&code));
        let wanted = blake3::Hash::from_bytes(widen(&self.next(&bytes)));
        if given == wanted {
            Ok(bytes)
        } else {
            Err(PeerError::Unproved)
        }
    }
}

fn widen(code: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..CODE].copy_from_slice(code);
    wide
}

/// Side of a connection; each proves something different, so that neither can echo the other.
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

fn mac(secret: &str, purpose: &str, opener: &Hello, accepter: &Hello) -> [u8; 32] {
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

/// Proves to the other side who this is and has it do the same; returns its name and the codes.
///
/// # Errors
///
/// Returns why the other side is not to be trusted.
pub async fn prove(
    wire: &mut Wire,
    side: Side,
    name: &str,
    secret: &str,
) -> Result<(Box<str>, Codes), PeerError> {
    let own = hello(name);
    send(wire, &Frame::Hello(own.clone())).await?;
    let Frame::Hello(other) = receive(wire).await? else {
        return Err(PeerError::Unproved);
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
        Side::Opener => mac(secret, "opener", opener, accepter),
        Side::Accepter => mac(secret, "accepter", opener, accepter),
    };
    let (mine, theirs) = match side {
        Side::Opener => (Side::Opener, Side::Accepter),
        Side::Accepter => (Side::Accepter, Side::Opener),
    };
    send(wire, &Frame::Proof(proof(mine))).await?;
    let Frame::Proof(given) = receive(wire).await? else {
        return Err(PeerError::Unproved);
    };
    // Compares in constant time.
    if blake3::Hash::from_bytes(given) != blake3::Hash::from_bytes(proof(theirs)) {
        return Err(PeerError::Unproved);
    }
    let key = mac(secret, "session", opener, accepter);
    wire.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok((other.name, Codes { key, count: 0 }))
}

async fn send(wire: &mut Wire, frame: &Frame) -> Result<(), PeerError> {
    let mut bytes = BytesMut::new();
    wire::encode(frame, &mut bytes);
    wire.send(bytes.freeze()).await?;
    Ok(())
}

async fn receive(wire: &mut Wire) -> Result<Frame, PeerError> {
    let bytes = wire.next().await.ok_or(PeerError::Closed)??;
    Ok(wire::decode(bytes)?)
}

/// Accepts connections from peers until `stop` closes.
pub async fn accept(node: Rc<Node>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let unproved = crate::web::Gauge::default();
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
        if unproved.get() >= UNPROVED {
            continue;
        }
        let hold = unproved.acquire();
        let (node, stop) = (Rc::clone(&node), stop.clone());
        ntex::rt::spawn(async move {
            if let Err(err) = serve(&node, stream, hold, stop).await {
                refused(addr, &err);
            }
        });
    }
}

fn refused(addr: SocketAddr, err: &PeerError) {
    match err {
        PeerError::Unproved | PeerError::Version { .. } | PeerError::Frame { .. } => {
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
    let (name, secret) = node.look(|core| {
        let host = &core.settings.host;
        (host.name.clone(), host.secret.clone())
    });
    let mut wire = frame(stream)?;
    let proof = prove(&mut wire, Side::Accepter, &name, secret.expose());
    let (from, mut codes) = timeout(PROOF_TIME, proof)
        .await
        .unwrap_or(Err(PeerError::Slow))?;
    drop(hold);
    loop {
        let next = tokio::select! {
            next = timeout(SILENCE, wire.next()) => next,
            _ = stop.changed() => return Ok(()),
        };
        let Ok(next) = next else {
            return Err(PeerError::Slow);
        };
        let bytes = codes.open(next.ok_or(PeerError::Closed)??)?;
        if let Frame::Message(message) = wire::decode(bytes)? {
            let from = from.clone();
            node.apply(Event::Peer(PeerEvent::Message { from, message }));
        }
    }
}
