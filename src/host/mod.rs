//! Host process: the adapters that feed events to the core and execute its effects.
//!
//! Everything runs on one thread, so the core is a plain value without locks. One thread is enough
//! for the load of a host: a few dozen requests and a few thousand tokens per second.

mod backends;
mod callers;
mod completion;
mod link;
mod logs;
mod metrics;
mod node;
mod operators;
mod peers;
mod problem;
mod queue;
mod relay;
mod report;
mod store;
#[cfg(test)]
mod tests;
mod timer;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Resource, getrlimit};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::core::Event;
use crate::core::effect::LogFields;
use crate::core::event::StopEvent;
use crate::core::relay::event::RelayEvent;
use crate::settings::relay::RelaySettings;
use crate::settings::{HostSettings, Settings};
use crate::web;

pub use node::Node;

/// Grace period in which a relaying host serves open connections after it closed its listener.
///
/// The load balancer may open connections until just before the close. Requests on them are refused
/// with a retry time; connections that are idle after the period are closed, and their callers
/// reconnect to another host without a refusal.
const RELAY_GRACE: Duration = Duration::from_millis(200);

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {addr}; choose a free address in [host]"))]
    Listen {
        /// Configured address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP client cannot be created.
    #[snafu(display("cannot create the HTTP client"))]
    Client,
    /// The metrics exporter cannot be created.
    #[snafu(display("cannot create the metrics exporter"))]
    Metrics,
}

/// A host's open listeners.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Opens the listeners named in the settings, and writes the ports that the kernel chose back
    /// into the settings.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be bound.
    pub fn open(settings: &mut Settings) -> Result<Self, HostError> {
        let host = &mut settings.host;
        Ok(Self {
            callers: listen(&mut host.callers)?,
            operators: listen(&mut host.operators)?,
            peers: listen(&mut host.peers)?,
        })
    }
}

impl Listeners {
    /// Uses listeners that are already open.
    #[must_use]
    pub fn from_parts(callers: TcpListener, operators: TcpListener, peers: TcpListener) -> Self {
        Self {
            callers,
            operators,
            peers,
        }
    }
}

fn listen(addr: &mut SocketAddr) -> Result<TcpListener, HostError> {
    let listener = web::listen(*addr).context(ListenSnafu { addr: *addr })?;
    if let Ok(bound) = listener.local_addr() {
        *addr = bound;
    }
    Ok(listener)
}

/// Runs a host that relays requests until a planned stop is complete.
///
/// The stop begins when `stop` becomes true or its sender is dropped. Settings received from
/// `reloads` replace the current ones, except for the addresses of the listeners.
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
    let callers = listen(&mut host.callers)?;
    let readiness = listen(&mut relay.readiness)?;
    let metrics = listen(&mut relay.metrics)?;
    let (forwards, socket) = listen_for_hosts(&mut host.peers).await?;
    relay::event_log::write(&listening_note(host, relay));
    let node = Node::new(settings).await?;
    let (close, closed) = watch::channel(false);
    node.set_close_signal(close);
    let (ended, running) = watch::channel(false);

    let (gate, handler) = (Rc::clone(&node), Rc::clone(&node));
    let serve_callers = web::serve_admitted(
        callers,
        RELAY_GRACE,
        closed.clone(),
        move || relay::admit_connection(&gate),
        move |req| relay::callers::handle(Rc::clone(&handler), req),
    );
    let handler = Rc::clone(&node);
    let serve_hosts = web::serve(forwards, RELAY_GRACE, closed, move |req| {
        relay::callers::handle_forwarded(Rc::clone(&handler), req)
    });
    let served = Rc::clone(&node);
    ntex::rt::spawn(async move {
        // The core's last request ends before its answer is written, to a caller as to another host.
        tokio::join!(serve_callers, serve_hosts);
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
    ntex::rt::spawn(relay::datagrams::receive(Rc::clone(&node), Rc::new(socket)));
    ntex::rt::spawn(timer::run(Rc::clone(&node)));
    let reloaded = Rc::clone(&node);
    ntex::rt::spawn(async move {
        while let Some(settings) = reloads.recv().await {
            reloaded.apply(Event::Relay(RelayEvent::Reloaded(Box::new(settings))));
        }
    });
    if let Some(count) = getrlimit(Resource::Nofile).current {
        node.apply(Event::Relay(RelayEvent::Descriptors(count)));
    }
    node.apply(Event::Start);
    wait_for_stop(&node, &mut stop).await;
    drop(ended);
    Ok(())
}

/// Attempts to find a port that is free for both protocols, where the kernel chooses it.
const PORT_ATTEMPTS: usize = 20;

/// Opens the listener for requests that other hosts forward, and the socket for gossip at the same port.
async fn listen_for_hosts(addr: &mut SocketAddr) -> Result<(TcpListener, UdpSocket), HostError> {
    let configured = *addr;
    let mut attempt = 0;
    loop {
        *addr = configured;
        let listener = listen(addr)?;
        attempt += 1;
        match UdpSocket::bind(*addr).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_taken) if configured.port() == 0 && attempt < PORT_ATTEMPTS => {}
            Err(source) => return Err(source).context(ListenSnafu { addr: *addr }),
        }
    }
}

/// Returns the log event that names the listeners.
fn listening_note(host: &HostSettings, relay: &RelaySettings) -> LogFields {
    let text = |addr: SocketAddr| addr.to_string().into();
    LogFields {
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

/// Begins the planned stop when `stop` says so; returns when the core has exited.
async fn wait_for_stop(node: &Rc<Node>, stop: &mut watch::Receiver<bool>) {
    let exit = node.wait_for_exit();
    tokio::pin!(exit);
    loop {
        let changed = tokio::select! {
            () = &mut exit => return,
            changed = stop.changed() => changed,
        };
        if changed.is_err() || *stop.borrow() {
            node.apply(Event::Stop(StopEvent::Begin));
        }
        if changed.is_err() {
            exit.await;
            return;
        }
    }
}

/// Runs a host until a planned stop is complete.
///
/// The stop begins when `stop` becomes true or its sender is dropped.
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
    node.set_close_signal(close);

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
    ntex::rt::spawn(store::watch(Rc::clone(&node)));
    node.apply(Event::Start);

    wait_for_stop(&node, &mut stop).await;
    node.flush().await;
    drop(ended);
    Ok(())
}
