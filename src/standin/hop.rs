//! Pass-through proxy: the HTTP server and client of a host, without routing.
//!
//! Its overhead per request is the minimum for any program on these libraries; the overhead of a
//! host is compared with it.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use ntex::client::Client;
use ntex::http::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::web::{self, HandlerError};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Forwards requests to `target` until the future is dropped; must run inside an ntex system.
pub async fn run(listener: TcpListener, target: SocketAddr) {
    let Some(client) = web::trial_client("hop").await else {
        return;
    };
    let (_stop, stopped) = watch::channel(false);
    web::serve(listener, web::CONNECTION_GRACE, stopped, move |req| {
        forward(client.clone(), target, req)
    })
    .await;
}

async fn forward(client: Client, target: SocketAddr, mut req: Request) -> Response {
    let body = match web::read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    let url = format!("http://{target}{}", req.path());
    let mut forwarded = client.request(req.method().clone(), url).address(target);
    for name in ["content-type", "authorization"] {
        if let Some(value) = req.headers().get(name) {
            forwarded = forwarded.header(name, value.clone());
        }
    }
    match forwarded
        .send_body(ntex::util::Bytes::copy_from_slice(&body))
        .await
    {
        Ok(answer) => {
            let mut response = Response::build(answer.status());
            if let Some(content_type) = answer.header("content-type") {
                response.content_type(content_type.clone());
            }
            response.streaming(answer.map(|chunk| chunk.map_err(|_broken| HandlerError)))
        }
        Err(_) => Response::build(StatusCode::BAD_GATEWAY).body(Bytes::new().to_vec()),
    }
}
