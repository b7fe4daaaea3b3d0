//! Tests the store client against the stand-in of the key-value service and against malformed answers.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use chiveway::error::Ran;
use chiveway::standin::kv::{self, Options};
use chiveway::store::{
    Change, Compare, ListEntryKind, ListEntryState, Op, OpReply, Span, Store, StoreError, Txn,
    Watch,
};
use ntex::client::Client;
use ntex::http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::oneshot;

/// Time limit of calls that are answered; far above what they need.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of calls that get no answer.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout of the watch that is frozen; progress notifications are sent forty times as often.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of a test case, so that one that hangs fails.
const CASE_TIMEOUT: Duration = Duration::from_mins(1);

fn run_case(case: impl Future<Output = ()> + 'static) {
    let case = async { tokio::time::timeout(CASE_TIMEOUT, case).await.unwrap() };
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(case);
}

/// Defines one test for each case and runs it on its own runtime.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($kv:ident) $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_case(async {
                let $kv = Standin::start().await;
                $body
            });
        })*
    };
}

/// The stand-in on its own thread; it stops when dropped.
struct Standin {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Standin {
    async fn start() -> Self {
        let (addr_sender, addr_receiver) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            run_case(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                addr_sender.send(listener.local_addr().unwrap()).unwrap();
                let opts = Options::default()
                    .progress_interval(WATCH_TIMEOUT / 40)
                    .lease_second(WATCH_TIMEOUT / 40)
                    .history(8);
                tokio::select! {
                    () = kv::run(listener, opts) => (),
                    _ = stopped => (),
                }
            });
        });
        Self {
            addr: addr_receiver.await.unwrap(),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    async fn store(&self, timeout: Duration) -> Store {
        Store::new(vec![self.addr], timeout)
            .await
            .with_watch_timeout(CALL_TIMEOUT)
    }

    async fn request(&self, method: Method, path: &str, body: Value) -> Value {
        let url = format!("http://{}{path}", self.addr);
        let answer = Client::new()
            .await
            .request(method, url)
            .timeout(ntex::time::Seconds(20))
            .send_json(&body)
            .await
            .unwrap();
        assert!(answer.status().is_success(), "{path}: {answer:?}");
        serde_json::from_slice(&answer.body().await.unwrap()).unwrap_or_default()
    }

    async fn set_faults(&self, faults: Value) {
        self.request(Method::POST, "/fault", faults).await;
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn put(key: &str, value: &[u8]) -> Op {
    put_with_lease(key, value, 0)
}

fn put_with_lease(key: &str, value: &[u8], lease: i64) -> Op {
    Op::Put {
        key: key.into(),
        value: Bytes::copy_from_slice(value),
        lease,
    }
}

fn single_op(op: Op) -> Txn {
    Txn {
        then: vec![op],
        ..Txn::default()
    }
}

fn key_span(name: &str) -> Span {
    Span::Key(name.into())
}

fn values(pairs: &[chiveway::store::Pair]) -> Vec<(&str, &[u8])> {
    pairs
        .iter()
        .map(|pair| (&*pair.key, &*pair.value))
        .collect()
}

/// Waits for the next changes; skips progress notifications.
async fn next_changes(watch: &mut Watch) -> Result<Vec<Change>, StoreError> {
    loop {
        let batch = watch.next().await?;
        if !batch.changes.is_empty() {
            return Ok(batch.changes);
        }
    }
}

cases! {
    transaction_applies_only_if_its_compares_hold(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let create = Txn {
            compare: vec![Compare::Absent { key: "p/a".into() }],
            then: vec![put("p/a", b"1"), put("p/b", b"1")],
            otherwise: vec![Op::Get(Span::Prefix("p/".into()))],
        };
        let first = store.txn(create.clone()).await.unwrap();
        assert!(first.succeeded);
        assert_eq!(first.replies, [OpReply::Put, OpReply::Put]);
        let again = store.txn(create).await.unwrap();
        assert!(!again.succeeded);
        assert_matches!(&*again.replies, [OpReply::Got(pairs)] => {
            assert_eq!(values(pairs), [("p/a", &b"1"[..]), ("p/b", b"1")]);
            assert_eq!(pairs[0].mod_revision, first.revision);
        });

        let swap = |at, to| Txn {
            compare: vec![
                Compare::Modified { key: "p/a".into(), revision: at },
                Compare::Value { key: "p/b".into(), value: Bytes::from_static(b"1") },
            ],
            then: vec![put("p/a", to), Op::Delete(key_span("p/b"))],
            otherwise: Vec::new(),
        };
        let won = store.txn(swap(first.revision, b"2")).await.unwrap();
        assert_eq!(won.replies, [OpReply::Put, OpReply::Deleted(1)]);
        let lost = store.txn(swap(first.revision, b"3")).await.unwrap();
        assert!(!lost.succeeded);
        let all = store.range(Span::Prefix("".into())).await.unwrap();
        assert_eq!((all.revision, values(&all.pairs)), (won.revision, vec![("p/a", &b"2"[..])]));
    }

    /// The service applies a write and the connection closes before the answer. Guards against a
    /// second write, by a retry of the client, or of its caller if the client reports that nothing ran.
    lost_reply_is_unknown_and_not_retried(kv) {
        let store = Store::new(vec![kv.addr, kv.addr], CALL_TIMEOUT).await;
        kv.set_faults(json!({"lose_answers": 1, "lose_key": "a"})).await;
        store.txn(single_op(put("b", b"1"))).await.unwrap();
        let lost = store.txn(single_op(put("a", b"1"))).await.unwrap_err();
        assert_matches!(lost, StoreError::Unknown { .. });
        assert_eq!(lost.ran(), Ran::Unknown);
        let found = store.range(key_span("a")).await.unwrap();
        assert_eq!(values(&found.pairs), [("a", &b"1"[..])]);
        assert_eq!(kv.request(Method::GET, "/calls", json!(null)).await["txn"], 2);
        assert_eq!((store.calls().txn, store.calls().unknown), (2, 1));
    }

    /// The service has no leader: it refuses calls, then hangs. Guards against reporting a call that
    /// timed out as refused, after which a host would send the same order twice.
    outage_refuses_or_hangs(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let mut watch = store.watch(key_span("a"), 1).await.unwrap();
        kv.set_faults(json!({"down": true})).await;
        assert_matches!(next_changes(&mut watch).await, Err(StoreError::Ended { .. }));
        let err = store.txn(single_op(put("a", b"1"))).await.unwrap_err();
        assert_matches!(err, StoreError::Refused { status: 503, .. });
        assert_eq!(err.ran(), Ran::No);
        kv.set_faults(json!({"down": "hang"})).await;
        let short_timeout = kv.store(SHORT_CALL_TIMEOUT).await;
        let err = short_timeout.txn(single_op(put("a", b"2"))).await.unwrap_err();
        assert_eq!(err.ran(), Ran::Unknown);
        kv.set_faults(json!({"down": false})).await;
        assert!(store.range(key_span("a")).await.unwrap().pairs.is_empty());
    }

    fails_over_from_an_unreachable_endpoint(kv) {
        // Bound but not listening: the port stays reserved and refuses connections.
        let unreachable = TcpSocket::new_v4().unwrap();
        unreachable.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let unreachable_addr = unreachable.local_addr().unwrap();
        let store = Store::new(vec![unreachable_addr, kv.addr], CALL_TIMEOUT).await;
        store.txn(single_op(put("a", b"1"))).await.unwrap();
        store.range(key_span("a")).await.unwrap();
        assert_eq!((store.calls().txn, store.calls().range, store.calls().refused), (2, 1, 1));
        let unreachable_only = Store::new(vec![unreachable_addr], CALL_TIMEOUT).await;
        let err = unreachable_only.txn(single_op(put("a", b"2"))).await.unwrap_err();
        assert_matches!(err, StoreError::Unsent { .. });
    }

    ended_lease_deletes_its_keys(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let kept = store.grant(Duration::from_secs(10_000)).await.unwrap();
        assert_eq!(store.keepalive(kept).await.unwrap(), Some(Duration::from_secs(10_000)));
        store.txn(single_op(put_with_lease("b", b"1", kept))).await.unwrap();
        store.revoke(kept).await.unwrap();
        store.revoke(kept).await.unwrap();
        assert!(store.range(key_span("b")).await.unwrap().pairs.is_empty());

        // On a busy machine the lease may expire before the write, so the write is retried.
        let (lease, written) = loop {
            let lease = store.grant(Duration::from_secs(10)).await.unwrap();
            if let Ok(written) = store.txn(single_op(put_with_lease("a", b"1", lease))).await {
                break (lease, written);
            }
        };
        let mut watch = store.watch(key_span("a"), written.revision + 1).await.unwrap();
        let deleted = next_changes(&mut watch).await.unwrap();
        assert_matches!(&*deleted, [Change { value: None, .. }]);
        assert_eq!(store.keepalive(lease).await.unwrap(), None);
    }

    watch_starts_at_a_past_revision(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let first = store.txn(single_op(put("p/a", b"1"))).await.unwrap().revision;
        store.txn(single_op(put("q", b"1"))).await.unwrap();
        store.txn(single_op(Op::Delete(key_span("p/a")))).await.unwrap();
        let mut watch = store.watch(Span::Prefix("p/".into()), first).await.unwrap();
        assert_eq!(store.calls().open_watches, 1);
        for (value, modified) in [(Some(Bytes::from_static(b"1")), first), (None, first + 2)] {
            let change = Change { key: "p/a".into(), value, mod_revision: modified };
            assert_eq!(next_changes(&mut watch).await.unwrap(), [change]);
        }
        let progress = watch.next().await.unwrap();
        assert_eq!((progress.revision, progress.changes.len()), (first + 2, 0));
        drop(watch);
        assert_eq!(store.calls().open_watches, 0);
        while kv.request(Method::GET, "/calls", json!(null)).await["waiting"] != 0 {
            tokio::task::yield_now().await;
        }

        for _ in 0..8 {
            store.txn(single_op(put("q", b"1"))).await.unwrap();
        }
        let mut compacted = store.watch(key_span("q"), first).await.unwrap();
        assert_matches!(compacted.next().await, Err(StoreError::Compacted { oldest }) => {
            assert!(oldest > first);
        });
    }

    /// A middlebox drops the state of a connection, which stays open without data. Guards against a
    /// watch that hangs without an error while the host uses outdated state.
    frozen_watch_times_out(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let short_timeout = store.clone().with_watch_timeout(WATCH_TIMEOUT);
        let mut watch = short_timeout.watch(key_span("a"), 1).await.unwrap();
        kv.set_faults(json!({"freeze_watches": true})).await;
        let written = store.txn(single_op(put("a", b"1"))).await.unwrap().revision;
        assert_matches!(next_changes(&mut watch).await, Err(StoreError::WatchTimeout { .. }));
        let mut reopened = store.watch(key_span("a"), written).await.unwrap();
        assert_eq!(next_changes(&mut reopened).await.unwrap()[0].mod_revision, written);
    }

    /// Each watch holds a connection. Guards against a pool so small that calls wait for a free
    /// connection until they time out, as if the store were down.
    watches_do_not_exhaust_the_connection_pool(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let mut open = Vec::new();
        for _ in 0..20 {
            open.push(store.watch(key_span("a"), 1).await.unwrap());
        }
        let calls = (0..20).map(async |turns| {
            // Some calls start while earlier ones are still connecting.
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            store.range(key_span("a")).await
        });
        for found in futures_util::future::join_all(calls).await {
            assert!(found.unwrap().pairs.is_empty());
        }
        assert_eq!(kv.request(Method::GET, "/calls", json!(null)).await["waiting"], 20);
    }

    values_up_to_a_megabyte(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let mut value = vec![7; 1024 * 1024];
        store.txn(single_op(put("a", &value))).await.unwrap();
        assert_eq!(store.range(key_span("a")).await.unwrap().pairs[0].value, value);
        value.push(7);
        let err = store.txn(single_op(put("a", &value))).await.unwrap_err();
        assert_matches!(err, StoreError::Refused { status: 400, .. });
    }

    lists_hosts_and_servers(kv) {
        let store = kv.store(CALL_TIMEOUT).await;
        let list = json!([
            {"name": "h1", "kind": "host", "addr": "127.0.0.1:1", "domain": "d1", "state": "live"},
            {"name": "e1", "kind": "engine", "pool": "p", "addr": "127.0.0.1:2", "domain": "d2",
             "state": "leaving"},
        ]);
        kv.request(Method::PUT, "/hosts", list).await;
        let listed = store.hosts(kv.addr).await.unwrap();
        assert_eq!((&*listed[0].name, listed[0].kind), ("h1", ListEntryKind::Host));
        assert_eq!((&*listed[1].pool, listed[1].state), ("p", ListEntryState::Leaving));
        kv.set_faults(json!({"lag_ms": 3_600_000})).await;
        assert!(store.hosts(kv.addr).await.unwrap().is_empty());
        kv.set_faults(json!({"hosts_down": true})).await;
        assert_matches!(store.hosts(kv.addr).await, Err(StoreError::Refused { .. }));
    }
}

/// Answers every connection with `answer` and closes it; returns the address and a connection count.
async fn malformed_server(answer: String) -> (SocketAddr, std::rc::Rc<std::cell::Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let count = std::rc::Rc::new(std::cell::Cell::new(0));
    let counter = std::rc::Rc::clone(&count);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.set(counter.get() + 1);
            let mut request = Vec::new();
            // The requests end with their JSON body.
            while !request.ends_with(b"}") {
                let read = stream.read_buf(&mut request).await.unwrap();
                assert!(read > 0, "the request was cut short");
            }
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    (addr, count)
}

/// Defines one test for each malformed answer: a write must be sent once and fail with `$expected`.
macro_rules! malformed {
    ($($name:ident($status:expr, $body:expr) => $expected:pat,)*) => {
        $(#[test] fn $name() {
            run_case(async {
                let length = $body.len();
                let answer = format!("HTTP/1.1 {}\r\ncontent-length: {length}\r\n\r\n{}", $status, $body);
                let answer = if $status.is_empty() { $body.to_string() } else { answer };
                let (addr, count) = malformed_server(answer).await;
                let store = Store::new(vec![addr, addr], CALL_TIMEOUT).await;
                let result = store.txn(single_op(put("a", b"1"))).await;
                assert_matches!(result, Err($expected));
                assert_eq!(count.get(), 1);
            });
        })*
    };
}

malformed! {
    no_answer("", "") => StoreError::Unknown { .. },
    not_http("", "hello\r\n\r\n") => StoreError::Malformed { .. },
    cut_short("", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{") => StoreError::Unknown { .. },
    not_json("200 OK", "hello") => StoreError::Malformed { .. },
    no_header("200 OK", "{}") => StoreError::Malformed { .. },
    missing_responses("200 OK", r#"{"header":{"revision":"2"},"succeeded":true}"#)
        => StoreError::Malformed { .. },
    wrong_response_type("200 OK", r#"{"header":{"revision":2},"succeeded":true,
        "responses":[{"response_range":{}}]}"#) => StoreError::Malformed { .. },
    non_numeric_revision("200 OK", r#"{"header":{"revision":"two"}}"#) => StoreError::Malformed { .. },
    server_error("503 Busy", r#"{"message":"etcdserver: request timed out","code":14}"#)
        => StoreError::Unknown { .. },
    redirect("307 Elsewhere\r\nlocation: /", "") => StoreError::Unknown { .. },
    compacted_revision("400 Bad", r#"{"message":"required revision has been compacted","code":11}"#)
        => StoreError::Compacted { .. },
}
