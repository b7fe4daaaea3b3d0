//! Servers that take connections or bodies late and are sound.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::cut::FaultProxy;
use super::pauses::{NEXT, Next};
use super::standin::{Engine, config};
use super::{Site, http, is_listed_ready, wait_for};

/// Size of a body that the buffers of a connection do not hold.
const BODY_BYTES: usize = 12 * 1024 * 1024;
/// Time for which a server reads nothing.
const SILENCE: Duration = Duration::from_millis(1500);
/// The same, after which the kernel gives up a connection of which nothing is acknowledged.
const LONG_SILENCE: Duration = Duration::from_millis(6500);
/// Time after which a connection certainly waits for its acceptance.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// A configuration of large bodies, with this target for answers.
fn config_of_large_bodies() -> Value {
    let mut config = config(2, "/short/");
    config["limits"]["maxBodyBytes"] = json!(2 * BODY_BYTES);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = json!(300);
        route["timeoutMs"] = json!(25_000);
    }
    config
}

/// Starts a host before one server that is reached at an address.
fn start(server: &Engine, addr: SocketAddr) -> Site {
    let site = Site::new();
    site.store.put("op/config", &config_of_large_bodies());
    put(&site, server, addr);
    site.wait_ready();
    site
}

/// Registers a server that is reached at an address.
fn put(site: &Site, server: &Engine, addr: SocketAddr) {
    let mut entry = server.entry("ready");
    entry["address"] = json!(addr.to_string());
    site.store.put(&format!("servers/{}", server.id), &entry);
    wait_for("the server in the list", || {
        is_listed_ready(&site.log(), &server.id)
    });
}

/// A server stops reading in the middle of a large body and goes on.
fn check_body(path: &'static str, silence: Duration, next: Next) {
    let (one, two) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let proxy = FaultProxy::start(one.addr());
    let site = start(&one, proxy.addr);
    if next == Next::Refuse {
        two.refuse("1");
    }
    proxy.silence();
    let callers = site.callers;
    let request = std::thread::spawn(move || {
        let headers = [("x-chiveway-attempt-id", "id-1")];
        http::send(callers, "POST", path, &headers, &vec![b'x'; BODY_BYTES])
    });
    wait_for("the request to be sent", || {
        site.log().contains(r#""event":"request.sent""#)
    });
    if next != Next::Absent {
        put(&site, &two, two.addr());
    }
    std::thread::sleep(silence);
    proxy.restore();
    let answer = request.join().expect("a caller").expect("an answer");
    let case = format!("{path}, {silence:?}, {next:?}");
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{case}\n{}",
        site.log()
    );
    assert!(answer.body.len() > BODY_BYTES, "{case}");
    let executed = [&one, &two].map(Engine::executed_requests).concat();
    let heads: Vec<&str> = executed.iter().map(|(_, head, _)| head.as_str()).collect();
    assert!(
        path == "/again/x" || executed.len() == 1,
        "{case}: {heads:?}"
    );
}

/// Defines one test for each kind of request and time.
macro_rules! bodies {
    ($($name:ident: $path:literal, $silence:expr;)*) => {$(
        /// Guards against a request that is cut, or run twice, since its server reads the body late.
        #[test]
        fn $name() {
            std::thread::scope(|scope| {
                for next in NEXT {
                    scope.spawn(move || check_body($path, $silence, next));
                }
            });
        }
    )*};
}

bodies! {
    a_body_that_is_read_late_and_may_not_repeat: "/once/x", SILENCE;
    a_body_that_is_read_late_and_may_repeat: "/again/x", SILENCE;
    a_body_that_is_read_very_late_and_may_not_repeat: "/once/x", LONG_SILENCE;
    a_body_that_is_read_very_late_and_may_repeat: "/again/x", LONG_SILENCE;
}

/// Returns a listener that has no room for a connection, and the connections that fill it.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("loopback can be bound");
    socket.listen(0).expect("a listener");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&addr, CONNECT_TIME).ok();
    let waiting = std::iter::from_fn(connect).collect();
    (listener, waiting)
}

/// A server has no room for connections for a time and takes them again. Guards against a refusal that is not true, a
/// request that is run twice, and a server that is not asked any more.
#[test]
fn a_server_that_accepts_late() {
    let server = Engine::plain("s-1");
    let (listener, waiting) = full_listener();
    let site = start(&server, listener.local_addr().expect("an address"));
    let send = |id: &str| {
        let answer = site.send("/once/x", id, &[]).expect("an answer");
        (answer.status, answer.header("retry-after").is_some())
    };
    assert_eq!(send("refused"), (503, true), "{}", site.log());
    drop(waiting);
    let target = server.addr();
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            std::thread::spawn(move || pass(caller, target));
        }
    });
    wait_for("an answer", || send("later").0 == 200);
    let heads = server.request_heads("/once/x");
    assert_eq!(heads.len(), 1, "{heads:?}");
    assert!(heads[0].contains("x-chiveway-attempt-id: later"));
}

/// Passes the bytes of a connection on in both directions.
fn pass(caller: TcpStream, target: SocketAddr) -> Option<()> {
    let server = TcpStream::connect(target).ok()?;
    let (mut from, mut to) = (caller.try_clone().ok()?, server.try_clone().ok()?);
    std::thread::spawn(move || std::io::copy(&mut from, &mut to));
    let (mut from, mut to) = (server, caller);
    std::io::copy(&mut from, &mut to).ok()?;
    Some(())
}
