//! Callers that close their connections before they have an answer.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::partition::{self, Cut};
use super::standin::{Engine, LONG_PROMPT, SHORT_PROMPT, config};
use super::{Site, WAIT_TIMEOUT, http, is_listed_ready, wait_for};

/// Receive buffer of a server that reads nothing: the smallest that the kernel grants.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Body that such a server does not take, and for which the kernel of the host bounds how long it sends it.
const BODY_BYTES: usize = 24 * 1024;
/// Body for which it does not.
const LARGE_BODY_BYTES: usize = 40 * 1024;

/// Bytes that a server has read of each connection, up to its end.
type Received = Arc<Mutex<Vec<Vec<u8>>>>;

/// A server that accepts connections, and reads nothing of them until it is released.
struct Unreading {
    addr: SocketAddr,
    stage: Option<&'static str>,
    released: Arc<(Mutex<bool>, Condvar)>,
    received: Received,
    /// Connections that the host has not reset.
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Unreading {
    fn start(stage: Option<&'static str>) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a receive buffer");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket.listen(64).expect("a listener");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("an address");
        let released = Arc::new((Mutex::new(false), Condvar::new()));
        let received = Received::default();
        let open = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (gate, seen) = (Arc::clone(&released), Arc::clone(&received));
        let accepted = Arc::clone(&open);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let copy = stream.try_clone().expect("a descriptor");
                accepted.lock().expect("the connections").push(copy);
                let (gate, seen) = (Arc::clone(&gate), Arc::clone(&seen));
                std::thread::spawn(move || read_later(stream, &gate, &seen));
            }
        });
        Self {
            addr,
            stage,
            released,
            received,
            open,
        }
    }

    fn entry(&self) -> Value {
        let service = self.stage.map_or("plain", |_| "model");
        json!({"service": service, "address": self.addr.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "stage": self.stage, "sequence": 1,
            "born": 1})
    }

    /// Waits until the host has made so many connections and reset them.
    fn wait_for_resets(&self, count: usize) {
        let mut resets = 0;
        wait_for("the host to reset its connections", || {
            let mut open = self.open.lock().expect("the connections");
            let before = open.len();
            open.retain(|stream| !matches!(stream.take_error(), Ok(Some(_))));
            resets += before - open.len();
            resets >= count
        });
    }

    fn release(&self) {
        *self.released.0.lock().expect("the gate") = true;
        self.released.1.notify_all();
    }

    /// Returns the requests with a body that arrived whole.
    fn whole_requests(&self) -> usize {
        let received = self.received.lock().expect("the bytes");
        let is_whole = |bytes: &&Vec<u8>| bytes.len() > BODY_BYTES;
        received.iter().filter(is_whole).count()
    }

    /// Returns the connections that have ended.
    fn ended(&self) -> usize {
        self.received.lock().expect("the bytes").len()
    }
}

/// Reads a connection to its end once the server is released.
fn read_later(mut stream: TcpStream, gate: &(Mutex<bool>, Condvar), received: &Received) {
    let released = gate.0.lock().expect("the gate");
    drop(gate.1.wait_while(released, |released| !*released));
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout");
    let mut bytes = Vec::new();
    // A connection that is reset has ended as well.
    let _ended = stream.read_to_end(&mut bytes);
    received.lock().expect("the bytes").push(bytes);
}

/// Starts a host that has a server listed, and takes bodies of any size used here.
fn site(entries: &[(&str, Value)]) -> Site {
    let site = Site::new();
    let mut config = config(1, "/short/");
    config["limits"]["maxBodyBytes"] = json!(2 * LARGE_BODY_BYTES);
    site.store.put("op/config", &config);
    for (id, entry) in entries {
        site.store.put(&format!("servers/{id}"), entry);
    }
    site.wait_ready();
    wait_for("the servers in the list", || {
        let log = site.log();
        entries.iter().all(|(id, _)| is_listed_ready(&log, id))
    });
    site
}

/// Writes a request on a new connection, which is returned.
fn request(
    site: &Site,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body_bytes: usize,
) -> TcpStream {
    let mut caller = TcpStream::connect(site.callers).expect("a connection");
    let mut head = format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n\
         content-length: {body_bytes}\r\n"
    );
    for (name, value) in headers {
        write!(head, "{name}: {value}\r\n").expect("a line");
    }
    head += "\r\n";
    caller.write_all(head.as_bytes()).expect("a head is sent");
    caller
        .write_all(&vec![b'x'; body_bytes])
        .expect("a body is sent");
    caller
}

/// Returns the logged events of this name about a request.
fn events(site: &Site, name: &str, id: &str) -> Vec<Value> {
    let log = site.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines
        .filter(|event| event["event"] == name && event["id"] == id)
        .collect()
}

/// Waits until a request has ended, and returns how.
fn outcome(site: &Site, id: &str) -> String {
    wait_for("the end of the request", || {
        !events(site, "request.ended", id).is_empty()
    });
    let ended = &events(site, "request.ended", id)[0];
    ended["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Has callers leave while a server reads nothing; returns the requests that it reads whole afterwards.
fn delivered_after_leaving(
    stage: Option<&'static str>,
    path: &str,
    headers: &[(&str, &str)],
    body_bytes: usize,
) -> usize {
    let server = Unreading::start(stage);
    let decode = Engine::model("d-1", "decode");
    let mut entries = vec![("s-1", server.entry())];
    if stage == Some("prefill") {
        entries.push(("d-1", decode.entry("ready")));
    }
    let site = site(&entries);
    for id in ["id-1", "id-2", "id-3"] {
        let caller = request(&site, path, id, headers, body_bytes);
        wait_for("the request to be sent", || {
            !events(&site, "request.sent", id).is_empty()
        });
        drop(caller);
        assert_eq!(outcome(&site, id), "caller-left");
    }
    // The host resets a connection a moment after it has logged that the caller left.
    server.wait_for_resets(3);
    server.release();
    wait_for("the ends of the connections", || server.ended() >= 3);
    server.whole_requests()
}

/// Defines a test for each kind of call that a server does not take.
macro_rules! untaken_calls {
    ($($name:ident: $stage:expr, $path:expr, $headers:expr, $bytes:expr;)*) => {$(
        /// Guards against a request that reaches a server after its caller has left, since the kernel goes on sending what was
        /// written to a connection that is closed.
        #[test]
        fn $name() {
            assert_eq!(delivered_after_leaving($stage, $path, $headers, $bytes), 0);
        }
    )*};
}

untaken_calls! {
    an_untaken_plain_request_is_withdrawn: None, "/again/x", &[], BODY_BYTES;
    an_untaken_large_request_is_withdrawn: None, "/again/x", &[], LARGE_BODY_BYTES;
    an_untaken_prefill_is_withdrawn: Some("prefill"), "/long/x", &LONG_PROMPT, BODY_BYTES;
    an_untaken_stream_is_withdrawn: Some("decode"), "/short/x", &SHORT_PROMPT, BODY_BYTES;
}

/// A caller sends its next request while a stream runs, and leaves while the engine is silent. Guards against a host that learns
/// of the close with the next event only.
#[test]
fn a_close_behind_a_pipelined_request_ends_a_silent_stream() {
    let engine = Engine::model("d-1", "decode");
    engine.hold_streams();
    let site = site(&[("d-1", engine.entry("ready"))]);
    let mut caller = request(&site, "/short/x", "id-1", &SHORT_PROMPT, 4);
    let mut first = [0; 64];
    caller
        .read_exact(&mut first)
        .expect("the head of an answer");
    wait_for("all events of the stream", || engine.written() == 4);
    let next = "GET /again/y HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: id-2\r\n\r\n";
    caller
        .write_all(next.as_bytes())
        .expect("a request is sent");
    // The host has read it before it can read the end of the connection.
    std::thread::sleep(Duration::from_millis(100));
    drop(caller);
    assert_eq!(outcome(&site, "id-1"), "caller-left");
}

/// The caller of a request leaves that its host has forwarded. Guards against a second host that goes on with it.
#[test]
fn a_forwarded_stream_ends_when_its_caller_leaves() {
    let site = partition::Site::start(2);
    let [near, far] = &*site.hosts else {
        unreachable!()
    };
    site.lose_links(near, Cut::Refused);
    for engine in &site.engines {
        engine.hold_streams();
    }
    let mut headers = vec![("x-chiveway-attempt-id", "left")];
    headers.extend(SHORT_PROMPT);
    let answer = http::open(near.callers, "POST", "/short/x", &headers, b"left");
    drop(answer.expect("the head of an answer"));
    for host in [near, far] {
        wait_for("the end of the request at both hosts", || {
            let log = host.log();
            let mut lines = log.lines();
            lines.any(|line| line.contains("caller.left") && line.contains("\"left\""))
        });
    }
}
