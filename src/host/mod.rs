//! A running host: the adapters that feed events to the core and carry out its effects.
//!
//! Everything runs on one thread. A host serves a few dozen requests and a few thousand tokens a
//! second; one thread does that without locks, and the core is then simply a value.

mod backends;
mod callers;
mod completion;
mod keeper;
mod link;
mod logs;
mod meters;
mod node;
mod operators;
mod peers;
mod problem;
mod queue;
mod relay;
mod report;
#[cfg(test)]
mod tests;
mod timer;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::core::Event;
use crate::core::effect::Note;
use crate::core::event::StopEvent;
use crate::core::relay::event::RelayEvent;
use crate::settings::relay::RelaySettings;
use crate::settings::{HostSettings, Settings};
use crate::web;

pub use node::Node;

/// Time that a relaying host reads its callers' connections after its listener was closed.
///
/// The balancer has sent the last ones a moment before. Their requests are refused with a time to
/// come back; callers whose connections are idle find them closed and go to another host by
/// themselves, with nothing refused.
const RELAY_GRACE: Duration = Duration::from_millis(200);

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {addr}; choose a free address in [host]"))]
    Listen {
        /// Address that was asked for.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The HTTP client cannot be made.
    #[snafu(display("the HTTP client cannot be made"))]
    Client,
    /// The meters cannot be made.
    #[snafu(display("the meters cannot be made"))]
    Meters,
}

/// A host's open listeners.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Opens the listeners that the settings name, and writes the ports that the kernel chose
    /// into the settings.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be listened on.
    pub async fn open(settings: &mut Settings) -> Result<Self, HostError> {
        let host = &mut settings.host;
        Ok(Self {
            callers: listen(&mut host.callers).await?,
            operators: listen(&mut host.operators).await?,
            peers: listen(&mut host.peers).await?,
        })
    }
}

impl Listeners {
    /// Takes listeners that are open already.
    #[must_use]
    pub fn from_parts(callers: TcpListener, operators: TcpListener, peers: TcpListener) -> Self {
        Self {
            callers,
            operators,
            peers,
        }
    }
}

async fn listen(addr: &mut SocketAddr) -> Result<TcpListener, HostError> {
    let listener = web::listen(*addr)
        .await
        .context(ListenSnafu { addr: *addr })?;
    if let Ok(bound) = listener.local_addr() {
        *addr = bound;
    }
    Ok(listener)
}

/// Serves a host that relays requests until a planned stop is complete.
///
/// The stop begins when `stop` turns true or its sender is gone. Settings that come by `reloads`
/// replace those in force, but for the listeners.
///
/// # Errors
///
/// Returns why the host cannot start.
pub async fn run_relay(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    mut reloads: mpsc::Receiver<Settings>,
) -> Result<(), HostError> {
    let mut settings = settings;
    let Some(relay) = &mut settings.relay else {
        return Err(HostError::Client);
    };
    let host = &mut settings.host;
    let callers = listen(&mut host.callers).await?;
    let readiness = listen(&mut relay.readiness).await?;
    let metrics = listen(&mut relay.metrics).await?;
    let socket = UdpSocket::bind(host.peers).await;
    let socket = socket.context(ListenSnafu { addr: host.peers })?;
    if let Ok(addr) = socket.local_addr() {
        host.peers = addr;
    }
    let socket = Rc::new(socket);
    relay::journal::write(&listening(host, relay));
    let node = Node::new(settings).await?;
    let (close, closed) = watch::channel(false);
    node.on_close(close);
    let (ended, running) = watch::channel(false);

    let handler = Rc::clone(&node);
    let serve = web::serve(callers, RELAY_GRACE, closed, move |req| {
        relay::callers::handle(Rc::clone(&handler), req)
    });
    let served = Rc::clone(&node);
    ntex::rt::spawn(async move {
        serve.await;
        served.apply(Event::Stop(StopEvent::Idle));
    });
    let handler = Rc::clone(&node);
    ntex::rt::spawn(web::serve(
        readiness,
        web::CONNECTION_GRACE,
        running.clone(),
        move |req| {
            let response = relay::callers::ready(&handler, &req);
            async move { response }
        },
    ));
    let handler = Rc::clone(&node);
    ntex::rt::spawn(web::serve(
        metrics,
        web::CONNECTION_GRACE,
        running,
        move |_req| {
            let response = operators::metrics(&handler);
            async move { response }
        },
    ));
    ntex::rt::spawn(relay::datagrams::receive(Rc::clone(&node), socket));
    ntex::rt::spawn(timer::run(Rc::clone(&node)));
    let reloaded = Rc::clone(&node);
    ntex::rt::spawn(async move {
        while let Some(settings) = reloads.recv().await {
            reloaded.apply(Event::Relay(RelayEvent::Reloaded(Box::new(settings))));
        }
    });
    node.apply(Event::Start);
    finish(&node, &mut stop).await;
    drop(ended);
    Ok(())
}

/// Returns the log event that names the listeners.
fn listening(host: &HostSettings, relay: &RelaySettings) -> Note {
    let text = |addr: SocketAddr| addr.to_string().into();
    Note {
        level: log::Level::Info,
        name: "host.listening",
        fields: vec![
            ("host", host.name.clone()),
            ("domain", host.domain.clone()),
            ("callers", text(host.callers)),
            ("readiness", text(relay.readiness)),
            ("metrics", text(relay.metrics)),
            ("peers", text(host.peers)),
        ],
    }
}

/// Waits for the order to stop, and then for the end of the planned stop.
async fn finish(node: &Rc<Node>, stop: &mut watch::Receiver<bool>) {
    let exit = node.exited();
    tokio::pin!(exit);
    loop {
        tokio::select! {
            () = &mut exit => break,
            changed = stop.changed() => {
                let begin = changed.is_err() || *stop.borrow();
                if begin {
                    node.apply(Event::Stop(StopEvent::Begin));
                    exit.await;
                    break;
                }
            }
        }
    }
}

/// Serves until a planned stop is complete.
///
/// The stop begins when `stop` turns true or its sender is gone.
///
/// # Errors
///
/// Returns why the host cannot start.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    mut stop: watch::Receiver<bool>,
) -> Result<(), HostError> {
    let node = Node::new(settings).await?;
    let (close, closed) = watch::channel(false);
    node.on_close(close);

    let callers = Rc::clone(&node);
    let serve = web::serve(
        listeners.callers,
        web::CONNECTION_GRACE,
        closed,
        move |req| callers::handle(Rc::clone(&callers), req),
    );
    let served = Rc::clone(&node);
    ntex::rt::spawn(async move {
        serve.await;
        served.apply(Event::Stop(StopEvent::Idle));
    });
    let (ended, running) = watch::channel(false);
    let operators = Rc::clone(&node);
    ntex::rt::spawn(web::serve(
        listeners.operators,
        web::CONNECTION_GRACE,
        running.clone(),
        move |req| operators::handle(Rc::clone(&operators), req),
    ));
    ntex::rt::spawn(peers::accept(Rc::clone(&node), listeners.peers, running));
    ntex::rt::spawn(timer::run(Rc::clone(&node)));
    ntex::rt::spawn(keeper::watch(Rc::clone(&node)));
    node.apply(Event::Start);

    finish(&node, &mut stop).await;
    node.flush().await;
    drop(ended);
    Ok(())
}
