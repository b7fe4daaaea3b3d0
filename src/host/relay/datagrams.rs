//! Gossip between hosts, as datagrams: the next message makes up for a lost one.
//!
//! Each datagram begins with a MAC under the secret that the hosts share through the store; one
//! with a wrong MAC is dropped. A replayed message has no effect, since messages are numbered.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::net::UdpSocket;

use super::{apply, store};
use crate::core::relay::event::{Gossip, RelayEvent};
use crate::host::node::Node;
use crate::wire;

/// Length of the MAC before each message.
const MAC_BYTES: usize = 16;
/// Largest size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

fn mac(secret: &[u8; 32], bytes: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&blake3::keyed_hash(secret, bytes).as_bytes()[..MAC_BYTES]);
    mac
}

/// Returns an encoded message prefixed with its MAC.
pub(super) fn seal(secret: &[u8; 32], message: &Gossip) -> BytesMut {
    let mut bytes = BytesMut::zeroed(MAC_BYTES);
    wire::encode_gossip(message, &mut bytes);
    let mac = mac(secret, &bytes[MAC_BYTES..]);
    bytes[..MAC_BYTES].copy_from_slice(&mac);
    bytes
}

/// Returns the bytes after the MAC, if it was made with the hosts' secret.
pub(super) fn verify(secret: Option<[u8; 32]>, bytes: &[u8]) -> Option<&[u8]> {
    let (given, rest) = bytes.split_at_checked(MAC_BYTES)?;
    let expected = mac(&secret?, rest);
    // The comparison takes constant time.
    let widen = |mac: &[u8]| {
        let mut wide = [0; 32];
        wide[..MAC_BYTES].copy_from_slice(mac);
        blake3::Hash::from_bytes(wide)
    };
    (widen(given) == widen(&expected)).then_some(rest)
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
            log::debug!("cannot send gossip to {addr}: {err}");
        }
    }
}

/// Receives messages until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    *node.relay.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                // A send to a host that has exited is reported here as refused; no handling needed.
                log::debug!("cannot receive gossip: {err}");
                continue;
            }
        };
        let Some(verified) = verify(node.relay.secret.get(), &buffer[..len]) else {
            log::debug!("dropped gossip from {from}: its MAC cannot be verified");
            continue;
        };
        match wire::decode_gossip(verified) {
            Ok(mut message) => {
                let events = message
                    .replicated
                    .iter_mut()
                    .flat_map(|changes| &mut changes.events);
                events.for_each(store::decode_change);
                apply(&node, RelayEvent::Gossiped(Box::new(message)));
            }
            Err(err) => log::debug!("cannot decode gossip from {from}: {err}"),
        }
    }
}
