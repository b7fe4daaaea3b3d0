//! Outgoing connection to a peer: opened for the first message, reopened after a failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use super::node::Node;
use super::peers::{self, FramedStream, PeerError, SessionMac, Side};
use crate::core::Event;
use crate::core::event::PeerEvent;
use crate::core::key::HostKey;
use crate::core::message::Message;
use crate::wire::Frame;

/// Largest number of messages queued for a connection; more are dropped, as if lost by the network.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Time after which the kernel closes a connection with unacknowledged bytes.
///
/// Otherwise bytes in the socket's buffer could be sent after a partition heals, when the messages
/// are long out of date. The kernel drops them even while this process is suspended.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between a failure and the next connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Connection to a peer; dropping it closes the connection once its queue is empty.
#[derive(Debug)]
pub struct Link {
    tx: mpsc::Sender<Message>,
    reconnect_signal: Rc<Notify>,
}

/// The peer to connect to.
struct Target {
    host: HostKey,
    name: Box<str>,
    addr: SocketAddr,
}

impl Link {
    /// Starts the connection's task.
    pub fn start(node: &Rc<Node>, host: HostKey, name: Box<str>, addr: SocketAddr) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let reconnect_signal = Rc::new(Notify::new());
        let target = Target { host, name, addr };
        ntex::rt::spawn(run(
            Rc::clone(node),
            target,
            rx,
            Rc::clone(&reconnect_signal),
        ));
        Self {
            tx,
            reconnect_signal,
        }
    }

    /// Queues a message; drops it if the queue is full.
    pub fn send(&self, message: Message) {
        if self.tx.try_send(message).is_err() {
            log::debug!(
                "message to a peer dropped: {MAX_QUEUED_MESSAGES} messages are already queued"
            );
        }
    }

    /// Closes the connection; the next message opens a new one.
    pub fn reconnect(&self) {
        self.reconnect_signal.notify_one();
    }
}

async fn run(
    node: Rc<Node>,
    target: Target,
    mut rx: mpsc::Receiver<Message>,
    reconnect_signal: Rc<Notify>,
) {
    while let Some(first) = rx.recv().await {
        let Err(err) = send_messages(&node, &target, first, &mut rx, &reconnect_signal).await
        else {
            return;
        };
        log::debug!("connection to peer {} failed: {err}", target.name);
        // Queued messages are out of date by the time of the next connection.
        while rx.try_recv().is_ok() {}
        node.apply(Event::Peer(PeerEvent::Down(target.host)));
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends messages until the queue closes.
async fn send_messages(
    node: &Rc<Node>,
    target: &Target,
    first: Message,
    rx: &mut mpsc::Receiver<Message>,
    reconnect_signal: &Notify,
) -> Result<(), PeerError> {
    let (mut wire, mut mac) = timeout(peers::HANDSHAKE_TIMEOUT, connect(node, target))
        .await
        .unwrap_or(Err(PeerError::TimedOut))?;
    wire.feed(seal(&mut mac, first)).await?;
    loop {
        while let Ok(message) = rx.try_recv() {
            wire.feed(seal(&mut mac, message)).await?;
        }
        SinkExt::<Bytes>::flush(&mut wire).await?;
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => wire.feed(seal(&mut mac, message)).await?,
                None => return Ok(()),
            },
            // The peer sends no messages on this connection: a read can only return its end.
            _ = wire.next() => return Err(PeerError::Closed),
            () = reconnect_signal.notified() => return Err(PeerError::TimedOut),
        }
    }
}

fn seal(mac: &mut SessionMac, message: Message) -> Bytes {
    mac.seal(&Frame::Message(message))
}

async fn connect(
    node: &Rc<Node>,
    target: &Target,
) -> Result<(FramedStream, SessionMac), PeerError> {
    let (name, secret) = node.with_core(|core| {
        let host = &core.settings.host;
        (host.name.clone(), host.secret.clone())
    });
    let stream = TcpStream::connect(target.addr).await?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let mut wire = peers::frame(stream)?;
    let (other, mac) = peers::handshake(&mut wire, Side::Opener, &name, secret.expose()).await?;
    if other != target.name {
        return Err(PeerError::Unauthenticated);
    }
    Ok((wire, mac))
}
