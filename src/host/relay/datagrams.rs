//! Words between hosts, as datagrams: a lost one is made good by the next.
//!
//! Each begins with a code made with the secret that the hosts share by the store; what has another
//! is not heard. A message repeated by somebody else changes nothing, for messages are numbered.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::net::UdpSocket;

use super::{apply, store};
use crate::core::relay::event::{Gossip, RelayEvent};
use crate::host::node::Node;
use crate::wire;

/// Bytes of the code before each message.
const MAC_BYTES: usize = 16;
/// Most bytes of a datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

fn mac(secret: &[u8; 32], bytes: &[u8]) -> [u8; MAC_BYTES] {
    let mut code = [0; MAC_BYTES];
    code.copy_from_slice(&blake3::keyed_hash(secret, bytes).as_bytes()[..MAC_BYTES]);
    code
}

/// Returns the bytes of a message with its code before them.
pub(super) fn seal(secret: &[u8; 32], message: &Gossip) -> BytesMut {
    let mut bytes = BytesMut::zeroed(MAC_BYTES);
    wire::encode_gossip(message, &mut bytes);
    let code = mac(secret, &bytes[MAC_BYTES..]);
    bytes[..MAC_BYTES].copy_from_slice(&code);
    bytes
}

/// Returns the bytes after the code, where it was made with the hosts' secret.
pub(super) fn verify(secret: Option<[u8; 32]>, bytes: &[u8]) -> Option<&[u8]> {
    let (given, rest) = bytes.split_at_checked(MAC_BYTES)?;
    let wanted = mac(&secret?, rest);
    // Compares in constant time.
    let widen = |code: &[u8]| {
        let mut wide = [0; 32];
        wide[..MAC_BYTES].copy_from_slice(code);
        blake3::Hash::from_bytes(wide)
    };
    (widen(given) == widen(&wanted)).then_some(rest)
}

/// Sends a message to other hosts.
pub fn publish(node: &Rc<Node>, to: &[SocketAddr], message: &Gossip) {
    let socket = node.relay.socket.borrow().clone();
    let Some(socket) = socket else { return };
    let Some(secret) = node.relay.secret.get() else {
        return;
    };
    let bytes = seal(&secret, message);
    for addr in to {
        if let Err(err) = socket.try_send_to(&bytes, *addr) {
            log::debug!("a word to {addr} was not sent: {err}");
        }
    }
}

/// Takes in messages until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    *node.relay.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                // A host that is gone answers with a refusal, which says nothing new.
                log::debug!("no word was received: {err}");
                continue;
            }
        };
        let Some(proved) = verify(node.relay.secret.get(), &buffer[..len]) else {
            log::debug!("a word from {from} is not proved");
            continue;
        };
        match wire::decode_gossip(proved) {
            Ok(mut message) => {
                let events = message
                    .replicated
                    .iter_mut()
                    .flat_map(|passage| &mut passage.events);
                events.for_each(store::decode_change);
                apply(&node, RelayEvent::Gossiped(Box::new(message)));
            }
            Err(err) => log::debug!("a word from {from} cannot be read: {err}"),
        }
    }
}
