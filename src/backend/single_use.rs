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
pub type SendCheck = fn(u64) -> bool;

/// A [`Gate`] and the value that it decides by.
#[derive(Debug, Clone, Copy)]
pub struct SingleUse {
    /// Time the kernel goes on trying to deliver what was written.
    pub unacked_timeout: Duration,
    /// Asked after the connection is made and before the first byte is written.
    pub may_send: SendCheck,
    /// What the gate is asked about.
    pub check_value: u64,
}

/// Returns a connector that asks the gate and bounds the life of what is written.
pub(super) fn connector(single_use: SingleUse, time: Duration) -> Connector {
    let factory = fn_factory_with_config(async move |cfg: SharedCfg| {
        Ok::<_, io::Error>(fn_service(async move |request: Connect<Uri>| {
            connect(&request, single_use, time, cfg.clone()).await
        }))
    });
    Connector::new().connector(factory)
}

async fn connect(
    request: &Connect<Uri>,
    single_use: SingleUse,
    time: Duration,
    cfg: SharedCfg,
) -> Result<Io, ConnectError> {
    let addr: SocketAddr = request.addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = timeout(time, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_late| io::Error::from(io::ErrorKind::TimedOut))??;
    SockRef::from(&stream).set_tcp_user_timeout(Some(single_use.unacked_timeout))?;
    if !(single_use.may_send)(single_use.check_value) {
        return Err(io::Error::from(io::ErrorKind::Interrupted).into());
    }
    Ok(from_tcp_stream(stream.into_std()?, cfg)?)
}
