//! Tests the client of backend servers against the stand-ins, over real sockets.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use chiveway::backend::{Answer, Call, Client, Options as ClientOptions, ReadError, Stream, open};
use chiveway::standin::engine::{self, Options, StepCosts, Timing};
use chiveway::standin::service;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: |$c:ident| $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async {
                let $c = &new_client().await;
                $body
            });
        }
    )*};
}

mod answers;
mod calls;
mod endless;
mod identity;

/// Time limit of any wait in a test; far above what it needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const COMPLETIONS_PATH: &str = "/v1/completions";
/// Tokens of an answer that is interrupted: too many to finish before.
const LONG_ANSWER_TOKENS: u64 = 5000;

/// A stand-in on its own thread; when dropped, it stops like a killed process.
struct Standin {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Standin {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the stand-in ends without a panic");
        }
    }
}

fn start_standin<F, R>(serve: F) -> Standin
where
    F: FnOnce(tokio::net::TcpListener) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = socket.local_addr().expect("address");
    socket.set_nonblocking(true).expect("nonblocking");
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = thread::spawn(move || {
        System::new("standin", DefaultRuntime).block_on(async move {
            let listener = tokio::net::TcpListener::from_std(socket).expect("listener");
            tokio::select! {
                () = serve(listener) => {}
                _ = stopped => {}
            }
        });
    });
    Standin {
        addr,
        stop: Some(stop),
        thread: Some(thread),
    }
}

fn start_engine(opts: Options) -> Standin {
    start_standin(move |listener| engine::run(listener, opts))
}

fn start_service() -> Standin {
    let name = "bookings".into();
    start_standin(move |listener| service::run(listener, service::Options { name }))
}

/// Returns options with steps of one millisecond, so that answers take a while.
fn slow_options() -> Options {
    let costs = StepCosts {
        base: Duration::from_millis(1),
        prefill: Duration::ZERO,
        decode: Duration::ZERO,
        import: Duration::ZERO,
        speed: 1.0,
    };
    Options {
        timing: Timing::Steps(costs),
        reader_grace: Duration::from_millis(50),
        ..Options::default()
    }
}

async fn new_client() -> Client {
    Client::new(ClientOptions::default()).await.expect("client")
}

async fn send_call(
    client: &Client,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> Answer {
    let body = match body {
        Value::Null => Bytes::new(),
        body => body.to_string().into(),
    };
    let headers = &[("idempotency-key", "k1")];
    let call = Call {
        method,
        addr,
        path,
        headers,
        body,
    };
    client.call(call).await.expect("answer")
}

async fn get_json(client: &Client, addr: SocketAddr, path: &str) -> Value {
    let answer = send_call(client, addr, "GET", path, &Value::Null).await;
    serde_json::from_slice(&answer.body).expect("JSON")
}

async fn set_fault(client: &Client, addr: SocketAddr, fault: Value) {
    let answer = send_call(client, addr, "POST", "/fault", &fault).await;
    assert_eq!(answer.status, 204);
}

fn completion_body(prompt: &str, tokens: u64) -> Bytes {
    let body = json!({"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": true});
    body.to_string().into()
}

async fn open_stream(
    client: &Client,
    addr: SocketAddr,
    prompt: &str,
    max_tokens: u64,
    attempt: &str,
) -> Stream {
    let body = completion_body(prompt, max_tokens);
    let stream = open(client, addr, COMPLETIONS_PATH, body, attempt, None, 0).await;
    stream.expect("stream")
}

/// Reads up to `max_tokens` tokens; returns the text, the last offset and whether the stream has ended.
async fn read_tokens(
    stream: &mut Stream,
    max_tokens: usize,
) -> Result<(String, u64, bool), ReadError> {
    let (mut text, mut last, mut count) = (String::new(), 0, 0);
    while count < max_tokens {
        let next = timeout(TEST_TIMEOUT, stream.next())
            .await
            .expect("a chunk in time")?;
        let Some(chunk) = next else {
            return Ok((text, last, true));
        };
        let data: Value = serde_json::from_slice(&chunk.data).expect("JSON");
        let choice = &data["choices"][0];
        let text_field = choice.get("text").or(choice.pointer("/delta/content"));
        text.push_str(text_field.and_then(Value::as_str).expect("text"));
        assert_eq!(
            chunk.is_last,
            data["choices"][0]["finish_reason"] == "length"
        );
        last = chunk.offset;
        count += 1;
    }
    Ok((text, last, false))
}

/// Polls a JSON path of an engine until a field has a value.
async fn wait_for_field(client: &Client, addr: SocketAddr, path: &str, field: &str, value: Value) {
    let reached = async {
        while get_json(client, addr, path).await.pointer(field) != Some(&value) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TEST_TIMEOUT, reached)
        .await
        .expect("the value in time");
}
