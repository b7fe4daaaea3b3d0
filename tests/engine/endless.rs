//! Bytes of a backend server that come without end, until the client closes the connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use chiveway::backend::{Call, Client, Options, open};
use chiveway::error::Ran;
use ntex::rt::{DefaultRuntime, System};
use tokio::time::{sleep, timeout};

use super::{COMPLETIONS_PATH, TEST_TIMEOUT};

/// Pauses between the parts of a flood and of a slow drip, which never lets a connection become idle.
const PACES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(5)];
/// A refusal in each framing of its body.
const CHUNKS: (&str, &[u8]) = (
    "HTTP/1.1 503 x\r\nx-ran: no\r\ntransfer-encoding: chunked\r\n\r\n",
    b"4\r\nxxxx\r\n",
);
const LENGTH: (&str, &[u8]) = (
    "HTTP/1.1 503 x\r\nx-ran: no\r\ncontent-length: 1000000000\r\n\r\n",
    b"xxxx",
);
/// Bytes of one part of a flood, about.
const FLOOD_PART: usize = 16 * 1024;
/// Time limits of a call.
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest body that is read.
const MAX_BODY: usize = 64 * 1024;

/// A server whose first answer has no end.
struct Endless {
    addr: SocketAddr,
    closed: Arc<AtomicBool>,
    /// Bytes that were written without an end.
    sent: Arc<AtomicUsize>,
}

fn start(head: &'static str, more: &'static [u8], pace: Duration) -> Endless {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (closed, sent) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let server = Endless {
        addr,
        closed: Arc::clone(&closed),
        sent: Arc::clone(&sent),
    };
    thread::spawn(move || {
        let mut streams = listener.incoming().flatten();
        let Some(mut first) = streams.next() else {
            return;
        };
        thread::spawn(move || {
            let part = if pace.is_zero() {
                more.repeat(FLOOD_PART / more.len())
            } else {
                more.to_vec()
            };
            let mut open = read_request(&first) && first.write_all(head.as_bytes()).is_ok();
            while open {
                thread::sleep(pace);
                open = first.write_all(&part).is_ok();
                sent.fetch_add(part.len(), Ordering::Relaxed);
            }
            closed.store(true, Ordering::Relaxed);
        });
        for mut stream in streams {
            thread::spawn(move || {
                while read_request(&stream) {
                    let answer = b"HTTP/1.1 200 x\r\ncontent-length: 4\r\n\r\ndone";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    server
}

/// Reads the head of a request without a body; returns whether there is one.
fn read_request(stream: &TcpStream) -> bool {
    let lines = BufReader::new(stream).lines();
    lines
        .map_while(Result::ok)
        .any(|line: String| line.is_empty())
}

fn call(addr: SocketAddr) -> Call<'static> {
    Call {
        method: "GET",
        addr,
        path: "/",
        headers: &[],
        body: Bytes::new(),
    }
}

async fn client() -> Client {
    let opts = Options {
        head_timeout: HEAD_TIMEOUT,
        body_timeout: HEAD_TIMEOUT,
        max_body_bytes: MAX_BODY,
        ..Options::default()
    };
    Client::new(opts).await.expect("a client")
}

/// Waits until the server has seen the end of its connection.
async fn wait_closed(server: &Endless) {
    let closed = async {
        while !server.closed.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let sent = || server.sent.load(Ordering::Relaxed);
    assert!(
        timeout(TEST_TIMEOUT, closed).await.is_ok(),
        "the connection stays open after {} bytes",
        sent()
    );
}

/// Bytes after an answer that are sent before the next call, which finds the first of them received.
const SENT_BYTES: usize = 512;

/// Waits until the server has sent some bytes after its answer.
async fn wait_sent(server: &Endless) {
    while server.sent.load(Ordering::Relaxed) < SENT_BYTES {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Defines a test for each place at which bytes may come without end, in a collected answer and in a stream.
macro_rules! endless_bytes {
    ($($name:ident: $head:expr, $more:expr;)*) => {$(
        /// Guards against a call without an end at its time limit, a connection that is kept, and a thread that serves nothing else.
        #[test]
        fn $name() {
            System::new("test", DefaultRuntime).block_on(async {
                for pace in PACES {
                    let client = client().await;
                    let server = start($head, $more, pace);
                    let result = timeout(TEST_TIMEOUT, client.call(call(server.addr))).await;
                    let result = result.expect("an end in time");
                    let ran = result.as_ref().map_or_else(|err| err.ran(), |answer| answer.ran);
                    assert_ne!(ran, Ran::No, "{result:?}");
                    assert!(result.is_err(), "{result:?}");
                    wait_closed(&server).await;
                    let next = client.call(call(server.addr)).await.expect("an answer");
                    assert_eq!(&*next.body, b"done");

                    let server = start($head, $more, pace);
                    let stream = async {
                        let body = Bytes::new();
                        let stream = open(&client, server.addr, COMPLETIONS_PATH, body, "a1", None, 0);
                        timeout(HEAD_TIMEOUT, stream.await.ok()?.next()).await.ok()?.ok()?
                    };
                    let chunk = timeout(TEST_TIMEOUT, stream).await.expect("an end in time");
                    assert_eq!(chunk, None);
                    wait_closed(&server).await;
                }
            });
        }
    )*};
}

endless_bytes! {
    no_head: "", b"xxxxxxxxxxxxxxxx";
    a_status_line: "HTTP/1.1 200 ", b"xxxxxxxxxxxxxxxx";
    headers: "HTTP/1.1 200 x\r\n", b"x-a: b\r\n";
    a_header: "HTTP/1.1 200 x\r\nx-a: ", b"xxxxxxxxxxxxxxxx";
    a_change_of_protocols: "HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n", b"xxxxxxxxxxxxxxxx";
    a_body_with_a_length: "HTTP/1.1 200 x\r\ncontent-length: 1000000000\r\n\r\n", b"xxxxxxxxxxxxxxxx";
    a_body_in_chunks: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n", b"4\r\nxxxx\r\n";
    a_chunk_size: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n", b"0000000000000000";
    a_chunk_extension: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n4;x=", b"xxxxxxxxxxxxxxxx";
    trailers: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x-a: b\r\n";
}

/// Defines a test for each answer that the library takes for a whole one without a body, so that its connection returns to the pool.
macro_rules! endless_after_answers {
    ($($name:ident: $head:expr, $more:expr;)*) => {$(
        /// Guards against bytes after an answer that are taken for the next one, and a connection that is kept.
        #[test]
        fn $name() {
            System::new("test", DefaultRuntime).block_on(async {
                for pace in PACES {
                    let client = client().await;
                    let server = start($head, $more, pace);
                    let answer = timeout(TEST_TIMEOUT, client.call(call(server.addr))).await;
                    let answer = answer.expect("an end in time");
                    assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status != 200));
                    wait_sent(&server).await;
                    let next = client.call(call(server.addr)).await.expect("an answer");
                    assert_eq!(&*next.body, b"done");
                    wait_closed(&server).await;
                }
            });
        }
    )*};
}

endless_after_answers! {
    a_body_up_to_the_end_of_its_connection: "HTTP/1.1 200 x\r\n\r\n", b"xxxxxxxxxxxxxxxx";
    informational_responses: "", b"HTTP/1.1 102 x\r\n\r\n";
}

/// Guards against a refusal that takes effect only at its end, or is taken for an answer whose request ran.
#[test]
fn a_refusal_takes_effect_at_its_head() {
    System::new("test", DefaultRuntime).block_on(async {
        for (pace, framing) in PACES
            .into_iter()
            .flat_map(|pace| [(pace, CHUNKS), (pace, LENGTH)])
        {
            // The time limit of a body is far beyond that of the test.
            let client = Client::new(Options::default()).await.expect("a client");
            let server = start(framing.0, framing.1, pace);
            let answer = timeout(TEST_TIMEOUT, client.call(call(server.addr))).await;
            let answer = answer.expect("an end in time").expect("a refusal");
            assert_eq!((answer.status, answer.ran), (503, Ran::No));
            wait_closed(&server).await;
            let server = start(framing.0, framing.1, pace);
            let stream = open(
                &client,
                server.addr,
                COMPLETIONS_PATH,
                Bytes::new(),
                "a1",
                None,
                0,
            );
            let refused = timeout(TEST_TIMEOUT, stream).await.expect("an end in time");
            let refused = refused.expect_err("a refusal");
            assert_eq!((refused.status(), refused.ran()), (Some(503), Ran::No));
            wait_closed(&server).await;
        }
    });
}
