//! A client whose every call goes out on a connection of its own, from which the kernel drops
//! late bytes.
//!
//! Bytes that were written to a socket are sent again until the other side has them, also long
//! after a partition, and also when the process that wrote them is dead. An order must not arrive
//! that late: a successor may have given others meanwhile.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Connector;
use ntex::connect::{Connect, ConnectError};
use ntex::http::Uri;
use ntex::io::Io;
use ntex::rt::from_tcp_stream;
use ntex::service::cfg::SharedCfg;
use ntex::service::{fn_factory_with_config, fn_service};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Decides, once a connection is there, whether it may still be used.
pub type Gate = fn(u64) -> bool;

/// A [`Gate`] and the value that it decides by.
#[derive(Debug, Clone, Copy)]
pub struct Fresh {
    /// Time the kernel goes on trying to deliver what was written.
    pub life: Duration,
    /// Asked after the connection is made and before the first byte is written.
    pub gate: Gate,
    /// What the gate is asked about.
    pub until: u64,
}

/// Returns a connector that asks the gate and bounds the life of what is written.
pub(super) fn connector(fresh: Fresh, time: Duration) -> Connector {
    let factory = fn_factory_with_config(async move |cfg: SharedCfg| {
        Ok::<_, io::Error>(fn_service(async move |request: Connect<Uri>| {
            connect(&request, fresh, time, cfg.clone()).await
        }))
    });
    Connector::new().connector(factory)
}

async fn connect(
    request: &Connect<Uri>,
    fresh: Fresh,
    time: Duration,
    cfg: SharedCfg,
) -> Result<Io, ConnectError> {
    let addr: SocketAddr = request.addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = timeout(time, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_late| io::Error::from(io::ErrorKind::TimedOut))??;
    SockRef::from(&stream).set_tcp_user_timeout(Some(fresh.life))?;
    if !(fresh.gate)(fresh.until) {
        return Err(io::Error::from(io::ErrorKind::Interrupted).into());
    }
    Ok(from_tcp_stream(stream.into_std()?, cfg)?)
}
