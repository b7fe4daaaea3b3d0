//! Failed calls, and whether the client reports them as run.

use std::time::Duration;

use bytes::Bytes;
use chiveway::backend::{
    Action, Call, CallError, Client, Options as ClientOptions, OrderError, SingleUse, fetch_load,
    open, send_order,
};
use chiveway::error::Ran;
use chiveway::standin::engine::Options;
use chiveway::web;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

use super::{
    COMPLETIONS_PATH, TEST_TIMEOUT, completion_body, get_json, new_client, send_call, set_fault,
    start_engine, start_service,
};

cases! {
    a_service_counts_calls: |c| {
        let s = start_service();
        for count in 1..=2 {
            let body = json!({"hut": 4});
            let answer = send_call(c, s.addr, "POST", "/book", &body).await;
            let echo: Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!((&echo["count"], &echo["key"]), (&json!(count), &json!("k1")));
        }
        set_fault(c, s.addr, json!({"fail_next": 1})).await;
        let failed = send_call(c, s.addr, "POST", "/book", &Value::Null).await;
        assert_eq!((failed.status, failed.ran), (503, Ran::No));
        assert_eq!(get_json(c, s.addr, "/counts").await, json!({"POST /book k1": 2}));
    }

    /// A service runs a call and the connection breaks before the answer. Guards against a retry by the
    /// client, which would run the call twice, and against reporting the call as not run.
    a_lost_answer_is_not_retried: |c| {
        let s = start_service();
        // The second call uses a pooled connection, on which HTTP libraries often retry.
        for count in 1..=2 {
            get_json(c, s.addr, "/counts").await;
            set_fault(c, s.addr, json!({"lose_answers": 1})).await;
            let (addr, body) = (s.addr, Bytes::from_static(b"{}"));
            let call = Call { method: "POST", addr, path: "/charge", headers: &[], body };
            let lost = c.call(call).await.expect_err("no answer");
            assert_eq!((&lost, lost.ran()), (&CallError::Lost, Ran::Unknown));
            let counts = get_json(c, s.addr, "/counts").await;
            assert_eq!(counts, json!({"POST /charge -": count}));
        }
    }

    /// The authority to order ends while the client connects. Guards against sending the order all the
    /// same; the next order, sent in time, arrives.
    an_order_past_its_deadline_is_not_sent: |c| {
        let e = start_engine(Options::default());
        for (until, expected) in [(0, Err(CallError::Connect)), (1, Ok(()))] {
            let fresh = SingleUse { unacked_timeout: TEST_TIMEOUT, may_send: |until| until > 0, check_value: until };
            let single_use = Client::single_use(ClientOptions::default(), fresh).await.expect("a client");
            let action = Action::Role { role: "decode".into() };
            let sent = send_order(&single_use, e.addr, 3, until + 1, "host-1", &action).await;
            let expected = expected.map_err(|source| OrderError::Call { source });
            assert_eq!(sent, expected);
        }
        let log = get_json(c, e.addr, "/log").await;
        assert_eq!(log["orders"].as_array().map(Vec::len), Some(1));
        assert_eq!(log["orders"][0]["order"], 2);
    }

    /// A service names a length and closes the connection before. Guards against a torn answer taken for whole.
    a_body_shorter_than_its_length_is_lost: |c| {
        for version in ["1.0", "1.1"] {
            let answer = format!("HTTP/{version} 200 x\r\ncontent-length: 20\r\n\r\nshort");
            assert_eq!(call_once(c, answer).await, Err(CallError::Lost), "{version}");
        }
    }

    /// A service names no length and closes the connection after its answer. Guards against a body that is taken for
    /// empty: the library reads it of HTTP/1.0 alone.
    a_body_that_ends_with_its_connection_is_not_taken_for_empty: |c| {
        for (version, expected) in [
            ("1.0", Ok(Bytes::from_static(b"whole"))),
            ("1.1", Err(CallError::Unreadable)),
        ] {
            let answer = format!("HTTP/{version} 200 x\r\n\r\nwhole");
            assert_eq!(call_once(c, answer).await, expected, "{version}");
        }
    }

    /// A service answers with a redirect. Guards against following it, which would run a non-idempotent
    /// call twice.
    a_redirect_is_not_followed: |c| {
        let s = start_service();
        set_fault(c, s.addr, json!({"redirect": true})).await;
        let answer = send_call(c, s.addr, "POST", "/charge", &json!({})).await;
        assert_eq!(answer.status, 307);
        assert_eq!(get_json(c, s.addr, "/counts").await, json!({"POST /charge k1": 1}));
    }

    /// A backend server refuses connections. Guards against reporting the call as possibly run, which
    /// would prevent a retry.
    a_refused_connection_did_not_run: |c| {
        // Bound but not listening: the port stays reserved and refuses connections.
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let addr = socket.local_addr().expect("address");
        let refused = open(c, addr, COMPLETIONS_PATH, completion_body("a", 1), "a1", None, 0).await;
        let refused = refused.expect_err("no stream");
        assert_eq!((&refused, refused.ran()), (&CallError::Connect, Ran::No));
    }

    /// A backend server accepts a connection and sends no response head in time. Guards against reporting
    /// the request as not run, although it may have run.
    a_request_without_a_head_in_time_may_have_run: |_c| {
        let head = Duration::from_millis(50);
        let options = ClientOptions { connect_timeout: TEST_TIMEOUT, head_timeout: head, ..ClientOptions::default() };
        let c = &Client::new(options).await.expect("client");
        let listener = web::listen(([127, 0, 0, 1], 0).into()).expect("listen");
        let addr = listener.local_addr().expect("address");
        let late = open(c, addr, COMPLETIONS_PATH, completion_body("a", 1), "a1", None, 0).await.expect_err("late");
        assert_eq!((&late, late.ran()), (&CallError::Timeout, Ran::Unknown));
    }

    /// A middlebox may drop old connections. Guards against reusing a connection older than the maximum
    /// age.
    old_connections_are_retired: |c| {
        let age = Duration::from_secs(1);
        let short_lived = &Client::new(ClientOptions { max_age: age, ..ClientOptions::default() }).await.expect("client");
        let e = start_engine(Options::default());
        for (client, count) in [(c, 1), (short_lived, 2)] {
            assert_eq!(get_json(client, e.addr, "/stats").await["connections"], count);
        }
        sleep(age * 2).await;
        for (client, count) in [(c, 2), (short_lived, 3)] {
            assert_eq!(get_json(client, e.addr, "/stats").await["connections"], count);
        }
    }

    /// Many requests need a connection to one backend server at once, and the library opens one at a
    /// time. Guards against a waiting request that is never woken.
    concurrent_first_calls_all_connect: |c| {
        let e = start_engine(Options::default());
        let calls = (0..50).map(async |turn| {
            // Some calls start while the library is still connecting for earlier ones.
            for _ in 0..turn {
                tokio::task::yield_now().await;
            }
            fetch_load(c, e.addr).await
        });
        let results = timeout(TEST_TIMEOUT, futures_util::future::join_all(calls));
        let results = results.await.expect("all answers in time");
        assert!(results.iter().all(Result::is_ok));
    }

    /// A backend server reads two requests and closes both connections without an answer. Guards against
    /// reporting either as not run.
    a_closed_connection_may_have_run: |c| {
        let listener = web::listen(([127, 0, 0, 1], 0).into()).expect("listen");
        let addr = listener.local_addr().expect("address");
        let closer = async {
            for _ in 0..2 {
                let (mut socket, _) = listener.accept().await.expect("accept");
                let mut head = [0; 4];
                socket.read_exact(&mut head).await.expect("read");
                socket.shutdown().await.expect("close");
            }
        };
        let one = open(c, addr, COMPLETIONS_PATH, completion_body("a", 1), "a1", None, 0);
        let two = open(c, addr, COMPLETIONS_PATH, completion_body("b", 1), "a2", None, 0);
        let (one, two, ()) = tokio::join!(one, two, closer);
        for lost in [one, two] {
            assert_eq!(lost.expect_err("no stream").ran(), Ran::Unknown);
        }
    }
}

/// Calls a service that writes an answer and closes its connection; returns the body.
async fn call_once(client: &Client, answer: String) -> Result<Bytes, CallError> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let addr = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let read = stream.read(&mut request).await.expect("a request");
        assert!(read > 0);
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("an answer");
    });
    let call = Call {
        method: "GET",
        addr,
        path: "/",
        headers: &[],
        body: Bytes::new(),
    };
    let answer = timeout(TEST_TIMEOUT, client.call(call)).await;
    answer.expect("an end in time").map(|answer| answer.body)
}
