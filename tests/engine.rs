//! The client towards back ends against the stand-ins, over real sockets.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use chiveway::backend::{
    Action, Answer, Call, Client, OpenError, Options as Settings, OrderError, ReadError, Stream,
    events, load, open, order, prefill,
};
use chiveway::error::Ran;
use chiveway::standin::engine::{
    self, CacheOptions, Costs, Crash, Fencing, Options, Pace, Role, expected,
};
use chiveway::standin::service;
use chiveway::web;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Generous bound of any wait in a test.
const LIMIT: Duration = Duration::from_secs(20);
const TEXT: &str = "/v1/completions";
/// Long enough that no test finishes an answer it means to interrupt.
const MANY: u64 = 5000;

/// A stand-in on a thread of its own; dropping it ends it like a killed process.
struct Standin {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Standin {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the stand-in panicked");
        }
    }
}

fn start<F, R>(serve: F) -> Standin
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

fn engine(opts: Options) -> Standin {
    start(move |listener| engine::run(listener, opts))
}

fn plain() -> Standin {
    let name = "bookings".into();
    start(move |listener| service::run(listener, service::Options { name }))
}

/// One millisecond a step, so that answers take a while.
fn slow() -> Options {
    let costs = Costs {
        base: Duration::from_millis(1),
        prefill: Duration::ZERO,
        decode: Duration::ZERO,
        import: Duration::ZERO,
        speed: 1.0,
    };
    Options {
        pace: Pace::Steps(costs),
        grace: Duration::from_millis(50),
        ..Options::default()
    }
}

async fn client() -> Client {
    Client::new(Settings::default()).await.expect("client")
}

async fn call(client: &Client, addr: SocketAddr, method: &str, path: &str, body: &Value) -> Answer {
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

async fn get(client: &Client, addr: SocketAddr, path: &str) -> Value {
    let answer = call(client, addr, "GET", path, &Value::Null).await;
    serde_json::from_slice(&answer.body).expect("JSON")
}

async fn fault(client: &Client, addr: SocketAddr, fault: Value) {
    let answer = call(client, addr, "POST", "/fault", &fault).await;
    assert_eq!(answer.status, 204);
}

fn ask(prompt: &str, tokens: u64) -> Bytes {
    let body = json!({"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": true});
    body.to_string().into()
}

async fn begin(client: &Client, addr: SocketAddr, prompt: &str, n: u64, attempt: &str) -> Stream {
    let body = ask(prompt, n);
    let stream = open(client, addr, TEXT, body, attempt, None, 0).await;
    stream.expect("stream")
}

/// Reads up to `n` tokens, or to the end; returns the text, the last offset and the end reached.
async fn read(stream: &mut Stream, n: usize) -> Result<(String, u64, bool), ReadError> {
    let (mut text, mut last, mut count) = (String::new(), 0, 0);
    while count < n {
        let next = timeout(LIMIT, stream.next())
            .await
            .expect("a chunk in time")?;
        let Some(chunk) = next else {
            return Ok((text, last, true));
        };
        let data: Value = serde_json::from_slice(&chunk.data).expect("JSON");
        let choice = &data["choices"][0];
        let part = choice.get("text").or(choice.pointer("/delta/content"));
        text.push_str(part.and_then(Value::as_str).expect("text"));
        assert_eq!(chunk.end, data["choices"][0]["finish_reason"] == "length");
        last = chunk.offset;
        count += 1;
    }
    Ok((text, last, false))
}

/// Waits until a field of an engine's figures has a value.
async fn until(client: &Client, addr: SocketAddr, path: &str, field: &str, value: Value) {
    let reached = async {
        while get(client, addr, path).await.pointer(field) != Some(&value) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, reached).await.expect("the figure in time");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: |$c:ident| $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            System::new("test", DefaultRuntime).block_on(async {
                let $c = &client().await;
                $body
            });
        }
    )*};
}

cases! {
    a_stream_is_whole: |c| {
        for opts in [Options::default(), slow()] {
            let e = engine(opts);
            let mut s = begin(c, e.addr, "a clause", 40, "a1").await;
            let (text, offset, done) = read(&mut s, usize::MAX).await.expect("read");
            assert_eq!((text, offset, done), (expected("model", "a clause", 40), 40, true));
            let body = json!({"prompt": "a clause", "max_tokens": 40});
            let whole = call(c, e.addr, "POST", TEXT, &body).await;
            let whole: Value = serde_json::from_slice(&whole.body).expect("JSON");
            assert_eq!(whole["choices"][0]["text"], expected("model", "a clause", 40));
            assert_eq!(whole["usage"]["completion_tokens"], 40);
        }
    }

    a_chat_is_one_prompt: |c| {
        let e = engine(Options::default());
        let body = json!({"messages": [{"role": "user", "content": "a \"hut\"?"}],
            "max_tokens": 8, "stream": true});
        let path = "/v1/chat/completions";
        let s = open(c, e.addr, path, body.to_string().into(), "a\"1", None, 0).await;
        let (text, ..) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        let prompt = engine::chat_prompt([("user", "a \"hut\"?")].into_iter());
        assert_eq!(text, expected("model", &prompt, 8));
    }

    /// A connection breaks in the middle of an answer. The caller must get the rest, and the
    /// engine must not run the request again.
    a_broken_stream_is_resumed: |c| {
        let e = engine(Options { grace: LIMIT, ..slow() });
        fault(c, e.addr, json!({"drop_after": 7})).await;
        let mut s = begin(c, e.addr, "a draft", 30, "a1").await;
        let (text, offset, _) = read(&mut s, 7).await.expect("read");
        assert_matches!(read(&mut s, 1).await, Err(ReadError::Lost));
        let s = open(c, e.addr, TEXT, Bytes::new(), "a1", Some(offset), 0).await;
        let (rest, _, done) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((text + &rest, done), (expected("model", "a draft", 30), true));
        assert_eq!(get(c, e.addr, "/stats").await["started"], 1);
        let unknown = open(c, e.addr, TEXT, Bytes::new(), "a2", Some(3), 0).await;
        assert_matches!(unknown, Err(OpenError::Status { status: 404, .. }));
    }

    /// An engine dies with an answer half delivered. Another engine goes on at the next token, so
    /// that the caller sees one unbroken answer.
    another_engine_continues: |c| {
        let e = engine(Options::default());
        let head = expected("model", "a draft", 12);
        let body = json!({"prompt": "a draft", "max_tokens": 30, "stream": true,
            "continue_from": {"text": head, "tokens": 12}});
        let s = open(c, e.addr, TEXT, body.to_string().into(), "a1", None, 0).await;
        let (rest, offset, _) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((head + &rest, offset), (expected("model", "a draft", 30), 30));
        assert_eq!(get(c, e.addr, "/stats").await["continue_mismatch"], 0);
    }

    a_caller_that_leaves_cancels: |c| {
        let e = engine(slow());
        let mut s = begin(c, e.addr, "a draft", MANY, "a1").await;
        read(&mut s, 1).await.expect("read");
        drop(s);
        until(c, e.addr, "/log", "/runs/0/end", "cancelled".into()).await;
    }

    a_higher_priority_goes_first: |c| {
        let e = engine(Options { slots: 1, ..slow() });
        let mut first = begin(c, e.addr, "first", MANY, "a1").await;
        read(&mut first, 1).await.expect("read");
        let mut low = begin(c, e.addr, "low", 3, "a2").await;
        let high = open(c, e.addr, TEXT, ask("high", MANY), "a3", None, 5).await;
        drop(first);
        read(&mut high.expect("stream"), 1).await.expect("read");
        assert_eq!(get(c, e.addr, "/log").await["runs"][1]["tokens"], 0);
        let (text, ..) = read(&mut low, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "low", 3));
    }

    /// A process that has lost its authority still gives orders. An engine that checks fencing
    /// numbers must refuse them; one that ignores them shows the harm.
    orders_are_fenced: |c| {
        let (drain, resume) = (Action::Drain, Action::Resume);
        for (fencing, obeyed) in [(Fencing::Checks, false), (Fencing::Ignores, true)] {
            let e = engine(Options { fencing, ..Options::default() });
            order(c, e.addr, 6, 1, "h2", &drain).await.expect("order");
            order(c, e.addr, 7, 1, "h1", &resume).await.expect("order");
            order(c, e.addr, 7, 1, "h1", &resume).await.expect("repeat");
            for (fence, number) in [(6, 1), (6, 9), (7, 1)] {
                let late = order(c, e.addr, fence, number, "h2", &drain).await;
                if obeyed {
                    assert_eq!(late, Ok(()));
                } else {
                    assert_eq!(late, Err(OrderError::Fenced { fence: 7 }));
                }
            }
            let load = load(c, e.addr).await.expect("load");
            assert_eq!((load.draining, load.fence_seen), (obeyed, 7));
            let log = get(c, e.addr, "/log").await;
            assert_eq!(log["orders"].as_array().map(Vec::len), Some(6));
        }
    }

    /// An engine changes its role while it answers. The answer is cut, and new work is refused as
    /// not run until the change is over.
    a_change_cuts_and_refuses: |c| {
        let e = engine(Options { change: Duration::from_millis(300), ..slow() });
        let mut s = begin(c, e.addr, "a draft", MANY, "a1").await;
        let role = Action::Role { role: "decode".into() };
        order(c, e.addr, 1, 1, "h1", &role).await.expect("order");
        let refused = open(c, e.addr, TEXT, ask("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(OpenError::Status { status: 503, ran: Ran::No, .. }));
        assert_matches!(read(&mut s, usize::MAX).await, Err(ReadError::Lost));
        until(c, e.addr, "/load", "/role", "decode".into()).await;
        let refused = open(c, e.addr, TEXT, ask("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(OpenError::Status { status: 409, ran: Ran::No, .. }));
        assert_eq!(get(c, e.addr, "/stats").await["cut"], 1);
    }

    a_cached_prefix_saves_steps: |c| {
        let cache = CacheOptions { pieces: 4, drop_nth: 2, ..CacheOptions::default() };
        let e = engine(Options { cache, ..slow() });
        let long = "x".repeat(4 * 8000);
        let mut steps = vec![0];
        for (name, prompt) in [("a1", &long), ("a2", &long)] {
            let mut s = begin(c, e.addr, prompt, 1, name).await;
            read(&mut s, usize::MAX).await.expect("read");
            let stats = get(c, e.addr, "/stats").await;
            steps.push(stats["prefill_steps"].as_u64().expect("steps"));
        }
        // 8,000 tokens at 2,048 a step; the second time all four pieces are held.
        assert_eq!(steps, [0, 4, 4]);
        let list = events(c, e.addr, 0).await.expect("events");
        assert_eq!(list.iter().map(|event| event.seq).collect::<Vec<_>>(), [1, 3]);
        let names = engine::pieces("model", &long, 2000);
        assert_eq!((&list[0].piece, &list[1].piece), (&names[0], &names[2]));
    }

    a_prompt_moves_between_engines: |c| {
        let p = engine(Options { role: Role::Prefill, name: "p".into(), ..Options::default() });
        let d = engine(Options { role: Role::Decode, name: "d".into(), ..Options::default() });
        let done = prefill(c, p.addr, ask("a draft", 9), "a1").await.expect("prefill");
        assert_eq!(done.prompt_tokens, engine::prompt_tokens("a draft"));
        let body = |kv: &str| {
            json!({"prompt": "a draft", "max_tokens": 9, "stream": true,
                "kv_transfer": {"source": p.addr, "handle": kv}}).to_string().into()
        };
        let s = open(c, d.addr, TEXT, body(&done.kv), "a2", None, 0).await;
        let (text, ..) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a draft", 9));
        let stats = get(c, d.addr, "/stats").await;
        assert_eq!((&stats["imports"], &stats["prefill_tokens"]), (&json!(1), &json!(0)));
        let unknown = open(c, d.addr, TEXT, body("kv-none"), "a3", None, 0).await;
        assert_matches!(unknown, Err(OpenError::Status { status: 424, ran: Ran::No, .. }));
    }

    /// One request crashes each engine that runs it. Its stream breaks with those of all others
    /// there; while the engine is away nothing runs, and it comes back with nothing kept.
    a_request_crashes_its_engine: |c| {
        let crash = Crash::Restart(Duration::from_millis(200));
        let e = engine(Options { crash, ..slow() });
        fault(c, e.addr, json!({"crash_on": "poison"})).await;
        order(c, e.addr, 7, 1, "h1", &Action::Resume).await.expect("order");
        let mut other = begin(c, e.addr, "a draft", MANY, "a1").await;
        // The engine may break the connection before or after the head of its answer.
        if let Ok(mut s) = open(c, e.addr, TEXT, ask("poison", 9), "a2", None, 0).await {
            assert_matches!(read(&mut s, usize::MAX).await, Err(ReadError::Lost));
        }
        assert_matches!(read(&mut other, usize::MAX).await, Err(ReadError::Lost));
        let back = async {
            while load(c, e.addr).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, back).await.expect("back in time");
        assert_eq!(load(c, e.addr).await.expect("load").fence_seen, 0);
        let lost = open(c, e.addr, TEXT, Bytes::new(), "a1", Some(0), 0).await;
        assert_matches!(lost, Err(OpenError::Status { status: 404, .. }));
        assert_eq!(get(c, e.addr, "/log").await["runs"][0]["end"], "crashed");
    }

    /// Something between the two ends loses track of the open connections. They bring nothing
    /// more, neither data nor an end, while a new connection works.
    open_streams_go_silent: |c| {
        let e = engine(slow());
        let mut s = begin(c, e.addr, "a draft", 100, "a1").await;
        read(&mut s, 1).await.expect("read");
        fault(c, e.addr, json!({"silent": true})).await;
        until(c, e.addr, "/log", "/runs/0/end", "done".into()).await;
        // All that the engine would ever send, it has sent by now.
        let rest = timeout(Duration::from_millis(300), async {
            while let Ok(Some(_)) = s.next().await {}
        });
        rest.await.expect_err("neither an end nor an error");
        let other = client().await;
        let mut s = begin(&other, e.addr, "a clause", 5, "a2").await;
        let (text, ..) = read(&mut s, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a clause", 5));
    }

    /// An engine repeats chunks, swaps them and mixes in one of another request. Offsets must
    /// tell the order, and the stray chunk must not reach the caller.
    chunks_come_twice_swapped_and_astray: |c| {
        let e = engine(Options::default());
        let faults = json!({"repeat_chunk": true, "reorder_chunks": true, "wrong_attempt": true});
        fault(c, e.addr, faults).await;
        let mut s = begin(c, e.addr, "a clause", 6, "a1").await;
        let mut offsets = Vec::new();
        while let Some(chunk) = s.next().await.expect("read") {
            assert!(!chunk.data.windows(5).any(|part| part == b"stray"));
            offsets.push(chunk.offset);
        }
        assert_eq!(s.foreign(), 1);
        offsets.sort_unstable();
        assert_eq!(offsets, [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 6]);
    }
}

cases! {
    a_service_counts_calls: |c| {
        let s = plain();
        for count in 1..=2 {
            let body = json!({"hut": 4});
            let answer = call(c, s.addr, "POST", "/book", &body).await;
            let echo: Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!((&echo["count"], &echo["key"]), (&json!(count), &json!("k1")));
        }
        fault(c, s.addr, json!({"fail_next": 1})).await;
        let failed = call(c, s.addr, "POST", "/book", &Value::Null).await;
        assert_eq!((failed.status, failed.ran), (503, Ran::No));
        assert_eq!(get(c, s.addr, "/counts").await, json!({"POST /book k1": 2}));
    }

    /// A service does its work and the connection breaks before the answer. A client that tried
    /// again by itself would book twice; one that took the broken connection for one never made
    /// would say "not run".
    a_lost_answer_is_not_retried: |c| {
        let s = plain();
        // The second call uses a pooled connection, where libraries like to try again.
        for count in 1..=2 {
            get(c, s.addr, "/counts").await;
            fault(c, s.addr, json!({"lose_answers": 1})).await;
            let (addr, body) = (s.addr, Bytes::from_static(b"{}"));
            let call = Call { method: "POST", addr, path: "/charge", headers: &[], body };
            let lost = c.call(call).await.expect_err("no answer");
            assert_eq!((&lost, lost.ran()), (&OpenError::Lost, Ran::Unknown));
            let counts = get(c, s.addr, "/counts").await;
            assert_eq!(counts, json!({"POST /charge -": count}));
        }
    }

    /// A service answers with a redirect. Following it would repeat a call that may not repeat.
    a_redirect_is_not_followed: |c| {
        let s = plain();
        fault(c, s.addr, json!({"redirect": true})).await;
        let answer = call(c, s.addr, "POST", "/charge", &json!({})).await;
        assert_eq!(answer.status, 307);
        assert_eq!(get(c, s.addr, "/counts").await, json!({"POST /charge k1": 1}));
    }

    /// Nothing listens where a back end should be. The caller may be told "not run".
    a_refused_connection_did_not_run: |c| {
        // Bound, so that nobody else gets the port, but not listening.
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let addr = socket.local_addr().expect("address");
        let refused = open(c, addr, TEXT, ask("a", 1), "a1", None, 0).await;
        let refused = refused.expect_err("no stream");
        assert_eq!((&refused, refused.ran()), (&OpenError::Connect, Ran::No));
    }

    /// A back end takes a request and falls silent before the head of its answer. The request may
    /// have run, so the caller must not be told otherwise.
    a_late_head_may_have_run: |_c| {
        let head = Duration::from_millis(50);
        let settings = Settings { connect: LIMIT, head, ..Settings::default() };
        let c = &Client::new(settings).await.expect("client");
        let listener = web::listen(([127, 0, 0, 1], 0).into()).await.expect("listen");
        let addr = listener.local_addr().expect("address");
        let late = open(c, addr, TEXT, ask("a", 1), "a1", None, 0).await.expect_err("late");
        assert_eq!((&late, late.ran()), (&OpenError::Late, Ran::Unknown));
    }

    /// A connection older than the setting is not used again, so that a fault between the two
    /// ends that kills old connections meets few of them.
    old_connections_are_retired: |c| {
        let age = Duration::from_secs(1);
        let young = &Client::new(Settings { age, ..Settings::default() }).await.expect("client");
        let e = engine(Options::default());
        for (client, count) in [(c, 1), (young, 2)] {
            assert_eq!(get(client, e.addr, "/stats").await["connections"], count);
        }
        sleep(age * 2).await;
        for (client, count) in [(c, 2), (young, 3)] {
            assert_eq!(get(client, e.addr, "/stats").await["connections"], count);
        }
    }

    /// Many requests want a connection to one back end at once, and the library makes one at a
    /// time. None of them may be left asleep.
    many_first_calls_all_connect: |c| {
        let e = engine(Options::default());
        let calls = (0..50).map(async |turn| {
            // Some come while the library is making a connection for those before.
            for _ in 0..turn {
                tokio::task::yield_now().await;
            }
            load(c, e.addr).await
        });
        let all = timeout(LIMIT, futures_util::future::join_all(calls));
        let all = all.await.expect("all answers in time");
        assert!(all.iter().all(Result::is_ok));
    }

    /// Two requests want connections while the back end closes each before it answers. Both were
    /// written, so neither may be called "not run".
    a_closed_connection_may_have_run: |c| {
        let listener = web::listen(([127, 0, 0, 1], 0).into()).await.expect("listen");
        let addr = listener.local_addr().expect("address");
        let closer = async {
            for _ in 0..2 {
                let (mut socket, _) = listener.accept().await.expect("accept");
                let mut head = [0; 4];
                socket.read_exact(&mut head).await.expect("read");
                socket.shutdown().await.expect("close");
            }
        };
        let one = open(c, addr, TEXT, ask("a", 1), "a1", None, 0);
        let two = open(c, addr, TEXT, ask("b", 1), "a2", None, 0);
        let (one, two, ()) = tokio::join!(one, two, closer);
        for lost in [one, two] {
            assert_eq!(lost.expect_err("no stream").ran(), Ran::Unknown);
        }
    }
}
