//! Connectors whose connections deliver nothing once they are closed.
//!
//! The kernel sends bytes written to a socket until the peer acknowledges them: also long after a partition, after the
//! connection was closed, and after the process that wrote them has exited. An order must not be delivered that late, because
//! the next holder of the authority may have given other orders, nor a request whose caller has left.

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

/// Returns whether a connection that has just been opened may still be used.
pub type SendCheck = fn(u64) -> bool;

/// Conditions under which a single-use connection may deliver its request.
#[derive(Debug, Clone, Copy)]
pub struct SingleUse {
    /// Time for which the kernel retransmits unacknowledged bytes.
    pub unacked_timeout: Duration,
    /// Called after the connection is established and before the first byte is written.
    pub may_send: SendCheck,
    /// Argument of `may_send`.
    pub check_value: u64,
}

/// Returns a connector for requests that are withdrawn when their connections are closed.
pub(super) fn withdrawing_connector(connect_timeout: Duration) -> Connector {
    let factory = fn_factory_with_config(async move |cfg: SharedCfg| {
        Ok::<_, io::Error>(fn_service(async move |request: Connect<Uri>| {
            let stream = open(&request, connect_timeout).await?;
            Ok::<_, ConnectError>(from_tcp_stream(stream.into_std()?, cfg.clone())?)
        }))
    });
    Connector::new().connector(factory)
}

/// Returns a connector that calls `may_send` and limits retransmission of what is written.
pub(super) fn connector(single_use: SingleUse, connect_timeout: Duration) -> Connector {
    let factory = fn_factory_with_config(async move |cfg: SharedCfg| {
        Ok::<_, io::Error>(fn_service(async move |request: Connect<Uri>| {
            connect(&request, single_use, connect_timeout, cfg.clone()).await
        }))
    });
    Connector::new().connector(factory)
}

async fn connect(
    request: &Connect<Uri>,
    single_use: SingleUse,
    connect_timeout: Duration,
    cfg: SharedCfg,
) -> Result<Io, ConnectError> {
    let stream = open(request, connect_timeout).await?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(single_use.unacked_timeout))?;
    if !(single_use.may_send)(single_use.check_value) {
        return Err(io::Error::from(io::ErrorKind::Interrupted).into());
    }
    Ok(from_tcp_stream(stream.into_std()?, cfg)?)
}

/// Opens a connection on which the kernel discards, when it is closed, what was not delivered.
async fn open(
    request: &Connect<Uri>,
    connect_timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let addr: SocketAddr = request.addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = timeout(connect_timeout, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}
