//! Words between hosts, as datagrams: a lost one is made good by the next.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::net::UdpSocket;

use super::tell as tell_core;
use crate::core::relay::event::{RelayEvent, Word};
use crate::host::node::Node;
use crate::wire;

/// Most bytes of a datagram that is taken.
const MOST: usize = 64 * 1024;

/// Sends a word to other hosts.
pub fn tell(node: &Rc<Node>, to: &[SocketAddr], word: &Word) {
    let socket = node.relay.socket.borrow().clone();
    let Some(socket) = socket else { return };
    let mut bytes = BytesMut::new();
    wire::encode_word(word, &mut bytes);
    for addr in to {
        if let Err(err) = socket.try_send_to(&bytes, *addr) {
            log::debug!("a word to {addr} was not sent: {err}");
        }
    }
}

/// Takes in words until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    *node.relay.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut buffer = vec![0; MOST];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                // A host that is gone answers with a refusal, which says nothing new.
                log::debug!("no word was received: {err}");
                continue;
            }
        };
        match wire::decode_word(&buffer[..len]) {
            Ok(word) => tell_core(&node, RelayEvent::Told(Box::new(word))),
            Err(err) => log::debug!("a word from {from} cannot be read: {err}"),
        }
    }
}
