//! Responses that belong to another call, and connections on which they may arrive.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

use bytes::Bytes;
use chiveway::backend::{
    Action, Answer, Call, CallError, Client, Options as ClientOptions, SingleUse, open, prefill,
    send_order,
};
use chiveway::error::Ran;
use chiveway::standin::engine::Options;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::{
    COMPLETIONS_PATH, TEST_TIMEOUT, completion_body, new_client, open_stream, read_tokens,
    start_engine, start_service,
};

const REFUSAL: &str = "503 busy\r\nx-ran: no";
const ANSWER: &str = "200 ok\r\nx-answer: own";

/// Whether a server names the call in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Naming {
    Named,
    Unnamed,
}

/// A call as a server reads it.
struct Received {
    /// Number of the call on its connection, from 0.
    place: usize,
    /// Id of the call; empty if it has none.
    id: String,
    /// Id of the call before it on the connection.
    before: String,
}

/// A server that answers each call with the bytes that `respond` returns, and keeps its connections.
struct Server {
    addr: SocketAddr,
    /// The places on their connections of the calls received.
    places: Arc<Mutex<Vec<usize>>>,
}

impl Server {
    fn start(respond: impl Fn(&Received) -> String + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let places = Arc::new(Mutex::new(Vec::new()));
        let (noted, respond) = (Arc::clone(&places), Arc::new(respond));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (noted, respond) = (Arc::clone(&noted), Arc::clone(&respond));
                thread::spawn(move || serve(&stream.expect("a connection"), &noted, &*respond));
            }
        });
        Self { addr, places }
    }

    /// Returns the place of the last call on its connection.
    fn last_place(&self) -> usize {
        let places = self.places.lock().expect("no panic");
        *places.last().expect("a call")
    }

    /// Returns the number of connections that carried a call.
    fn connections(&self) -> usize {
        let places = self.places.lock().expect("no panic");
        places.iter().filter(|place| **place == 0).count()
    }
}

fn serve(stream: &TcpStream, places: &Mutex<Vec<usize>>, respond: &dyn Fn(&Received) -> String) {
    let mut reader = BufReader::new(stream);
    let mut before = String::new();
    for place in 0.. {
        let Some(id) = read_call(&mut reader) else {
            return;
        };
        places.lock().expect("no panic").push(place);
        let received = Received { place, id, before };
        let response = respond(&received);
        before = received.id;
        let mut writer = stream;
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a call and returns its id; `None` at the end of the connection.
fn read_call(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("x-attempt-id: ") {
            id = value.into();
        } else if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().ok()?;
        } else if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(id)
}

/// Returns a response without a body, from its status and further headers.
fn response(head: &str, naming: Naming, id: &str) -> String {
    let name = match naming {
        Naming::Named => format!("x-attempt-id: {id}\r\n"),
        Naming::Unnamed => String::new(),
    };
    format!("HTTP/1.1 {head}\r\n{name}content-length: 2\r\n\r\n{{}}")
}

/// A server that answers the first call of each connection with `first`, and sends that a second time before the answer to
/// the next.
fn copying_server(first: &'static str, naming: Naming) -> Server {
    Server::start(move |call| match call.place {
        0 => response(first, naming, &call.id),
        _ => response(first, naming, &call.before) + &response(ANSWER, naming, &call.id),
    })
}

async fn call(client: &Client, addr: SocketAddr, id: &str) -> Result<Answer, CallError> {
    let headers = &[("x-attempt-id", id)];
    let call = Call {
        method: "POST",
        addr,
        path: "/book",
        headers,
        body: Bytes::from_static(b"{}"),
    };
    timeout(TEST_TIMEOUT, client.call(call))
        .await
        .expect("an end in time")
}

/// Checks that what a call returned is its own answer, or an error that doesn't say that it did not run.
fn assert_own(case: &str, result: &Result<Answer, CallError>) {
    match result {
        Ok(answer) => {
            let own = answer
                .headers
                .iter()
                .any(|(name, value)| &**name == "x-answer" && &**value == "own");
            assert!(own, "{case}: {answer:?}");
            assert_eq!(answer.ran, Ran::Yes, "{case}");
        }
        Err(err) => assert_eq!(err.ran(), Ran::Unknown, "{case}: {err}"),
    }
}

cases! {
    /// A server sends a response a second time, and the copy arrives where that of the next call is due. Guards against a
    /// call that runs and is reported as not run, and against the answer of another call.
    a_late_copy_answers_no_other_call: |_c| {
        for first in [REFUSAL, "429 busy\r\nx-ran: no", "200 ok\r\nx-answer: other", "404 none"] {
            for naming in [Naming::Named, Naming::Unnamed] {
                let c = &new_client().await;
                let server = copying_server(first, naming);
                for turn in 0..4 {
                    let result = call(c, server.addr, &format!("a.{turn}")).await;
                    if server.last_place() == 0 {
                        assert_eq!(result.map(|answer| answer.status.to_string()).ok().as_deref(), Some(&first[..3]));
                    } else {
                        assert_own(&format!("{first} {naming:?} {turn}"), &result);
                    }
                }
            }
        }
    }

    /// The same with streams and prefills of an engine. Guards against a request that is reported as not run, and sent to
    /// another engine, while the first runs it.
    a_late_refusal_refuses_no_other_stream: |_c| {
        for naming in [Naming::Named, Naming::Unnamed] {
            let c = &new_client().await;
            let server = copying_server(REFUSAL, naming);
            for turn in 0..4 {
                let id = format!("a.{turn}");
                let err = if turn % 2 == 0 {
                    prefill(c, server.addr, completion_body("a", 1), &id).await.err()
                } else {
                    open(c, server.addr, COMPLETIONS_PATH, completion_body("a", 1), &id, None, 0).await.err()
                };
                let expected = if server.last_place() == 0 { Ran::No } else { Ran::Unknown };
                assert_eq!(err.map(|err| err.ran()), Some(expected), "{naming:?} {turn}");
            }
        }
    }

    /// A late response is cut off inside its head, and the true one continues it. Guards against a head with the statement
    /// of one response and the id of the other.
    a_head_made_of_two_is_not_believed: |_c| {
        for cut in ["HTTP/1.1 503 busy\r\nx-ran: no\r\nx-note: a", "HTTP/1.1 503 busy\r\nx-ran: no\r\nx-attempt-id: a.0\r\nx-note: "] {
            let c = &new_client().await;
            let server = Server::start(move |call| match call.place {
                0 => response(REFUSAL, Naming::Named, &call.id),
                _ => cut.to_owned() + &response(ANSWER, Naming::Named, &call.id),
            });
            for turn in 0..2 {
                let result = call(c, server.addr, &format!("a.{turn}")).await;
                if server.last_place() > 0 {
                    assert_eq!(result.expect_err("no answer").ran(), Ran::Unknown, "{cut}");
                }
            }
        }
    }

    /// A service sends an informational response before the answer. Guards against taking it for the answer, and the answer
    /// for that of the next call.
    an_informational_response_is_no_answer: |_c| {
        for naming in [Naming::Named, Naming::Unnamed] {
            for status in ["100 Continue", "103 Early Hints"] {
                let c = &new_client().await;
                let server = Server::start(move |call| {
                    let hint = if call.id == "a.1" { format!("HTTP/1.1 {status}\r\n\r\n") } else { String::new() };
                    hint + &response(ANSWER, naming, &call.id)
                });
                for turn in 0..4 {
                    let result = call(c, server.addr, &format!("a.{turn}")).await;
                    assert_own(&format!("{status} {naming:?} {turn}"), &result);
                }
            }
        }
    }

    /// Guards against a new connection for each call to servers that name calls in their responses, and against one that is
    /// used again for a server whose responses belong to nobody.
    connections_are_kept_where_responses_name_calls: |_c| {
        for (naming, connections) in [(Naming::Named, 2), (Naming::Unnamed, 5)] {
            let c = &new_client().await;
            let server = Server::start(move |call| response(ANSWER, naming, &call.id));
            for turn in 0..5 {
                assert_own("sound", &call(c, server.addr, &format!("a.{turn}")).await);
            }
            assert_eq!(server.connections(), connections, "{naming:?}");
        }
    }

    /// A server is replaced, at its address, by one that names no calls. Guards against calls that fail for good.
    a_server_that_stops_naming_calls_is_served: |c| {
        let server = Server::start(|call| {
            let naming = if call.id.as_str() < "a.3" { Naming::Named } else { Naming::Unnamed };
            response(ANSWER, naming, &call.id)
        });
        let mut failed = BTreeSet::new();
        for turn in 0..6 {
            let result = call(c, server.addr, &format!("a.{turn}")).await;
            assert_own("replaced", &result);
            if result.is_err() {
                failed.insert(turn);
            }
        }
        assert_eq!(failed, BTreeSet::from([3]));
    }

    /// Guards against stand-ins whose responses name no call: tests would know one kind of server only.
    stand_ins_name_the_call: |c| {
        let (s, e) = (start_service(), start_engine(Options::default()));
        for turn in 0..3 {
            let id = format!("a.{turn}");
            let answer = call(c, s.addr, &id).await.expect("an answer");
            assert!(answer.headers.contains(&("x-attempt-id".into(), id.as_str().into())), "{answer:?}");
            let mut stream = open_stream(c, e.addr, "a", 3, &id).await;
            read_tokens(&mut stream, usize::MAX).await.expect("a whole stream");
        }
    }

    /// A server sends the answer to an order a second time. Guards against an order that counts as given, or as not sent,
    /// by the answer to another.
    an_order_is_answered_on_its_own_connection: |_c| {
        let server = copying_server("409 fenced\r\nx-ran: no", Naming::Unnamed);
        for number in 1..4 {
            let fresh = SingleUse { unacked_timeout: TEST_TIMEOUT, may_send: |_| true, check_value: 0 };
            let client = Client::single_use(ClientOptions::default(), fresh).await.expect("a client");
            let action = Action::Role { role: "decode".into() };
            assert!(send_order(&client, server.addr, 3, number, "host-1", &action).await.is_err());
        }
        assert_eq!(server.connections(), 3);
    }
}
