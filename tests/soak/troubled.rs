//! What servers in trouble record. Guards against a soak that takes a refused request for one that ran, or the reverse.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::standin::Engine;
use crate::standin::trouble::{Arrival, Trouble, Unread};
use crate::{http, wait_for};

/// Ids of the requests that are sent, one of which meets a trouble.
const IDS: [&str; 3] = ["id-1", "id-2", "id-3"];

fn head(id: &str) -> String {
    let length = id.len();
    format!(
        "POST /once/x HTTP/1.1\r\nx-chiveway-attempt-id: {id}\r\ncontent-length: {length}\r\n\r\n"
    )
}

fn connect(server: &Engine) -> BufReader<TcpStream> {
    BufReader::new(http::connect(server.addr()).expect("a connection"))
}

/// Sends a request; returns the answer, if one came, and the connection.
fn send(
    mut connection: BufReader<TcpStream>,
    id: &str,
) -> Option<(http::Answer, BufReader<TcpStream>)> {
    let request = head(id) + id;
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    Some(http::read_head(connection)?.rest_and_connection())
}

/// Returns the ids of the requests that a server ran.
fn runs(server: &Engine) -> Vec<String> {
    let ran = server.executed_requests().into_iter();
    ran.map(|(_, _, body)| String::from_utf8_lossy(&body).into_owned())
        .collect()
}

/// Starts a server in trouble, and sends it requests on connections of their own; returns it, and the status of each answer and
/// whether it states that the request did not run.
fn statuses(trouble: Trouble) -> (Engine, Vec<(u16, bool)>) {
    let server = Engine::plain("s-1");
    server.begin_trouble(trouble);
    let answers = IDS.map(|id| {
        let (answer, _) = send(connect(&server), id).expect("an answer");
        let is_stated = answer.header("x-chiveway-not-executed").is_some();
        (answer.status, is_stated)
    });
    (server, answers.to_vec())
}

#[test]
fn a_request_that_a_full_server_refuses_does_not_run() {
    let (server, answers) = statuses(Trouble::Full(429));
    assert_eq!(answers, [(200, false), (200, false), (429, true)]);
    assert_eq!(runs(&server), IDS[..2]);
    assert_eq!(server.troubled_requests(), [("id-3".to_owned(), "full")]);
}

#[test]
fn a_request_that_is_refused_without_a_statement_runs() {
    let (server, answers) = statuses(Trouble::UnstatedRefusals(503));
    assert_eq!(answers, [(200, false), (200, false), (503, false)]);
    assert_eq!(runs(&server), IDS);
}

#[test]
fn a_request_that_is_held_runs_after_its_connection_is_closed() {
    let server = Engine::plain("s-1");
    server.begin_trouble(Trouble::LateRuns(Duration::from_millis(50)));
    for id in &IDS[..2] {
        send(connect(&server), id).expect("an answer");
    }
    let mut connection = connect(&server);
    let request = head(IDS[2]) + IDS[2];
    let sent = connection.get_mut().write_all(request.as_bytes());
    sent.expect("an open connection");
    drop(connection);
    wait_for("the late run", || runs(&server) == IDS);
}

/// The copy of a refusal arrives where the answer to the next request is due.
#[test]
fn a_late_copy_precedes_the_answer_to_a_request_that_runs() {
    let server = Engine::plain("s-1");
    server.begin_trouble(Trouble::LateCopies {
        refusal: Some(503),
        arrival: Arrival::WithNext,
        is_whole: true,
    });
    let mut connection = connect(&server);
    let mut statuses = Vec::new();
    for id in IDS {
        let (answer, open) = send(connection, id).expect("an answer");
        statuses.push(answer.status);
        connection = open;
    }
    let (copy, connection) = send(connection, "id-4").expect("a copy");
    let answer = http::read_head(connection).expect("an answer").rest();
    statuses.extend([copy.status, answer.status]);
    assert_eq!(statuses, [200, 200, 503, 503, 200]);
    assert_eq!(copy.header("x-chiveway-attempt-id"), Some("id-3"));
    assert_eq!(answer.header("x-chiveway-attempt-id"), Some("id-4"));
    assert_eq!(runs(&server), ["id-1", "id-2", "id-4"]);
    let met = server.troubled_requests().into_iter();
    let met: Vec<String> = met.map(|(id, _)| id).collect();
    assert_eq!(met, ["id-3", "id-4"]);
}

/// Defines a test for each end of a connection whose request is refused before its body is read.
macro_rules! early_refusals {
    ($($name:ident: $unread:expr => $late_bodies:expr;)*) => {$(
        #[test]
        fn $name() {
            let server = Engine::plain("s-1");
            server.begin_trouble(Trouble::EarlyRefusals($unread));
            for id in &IDS[..2] {
                send(connect(&server), id).expect("an answer");
            }
            let mut connection = connect(&server);
            let sent = connection.get_mut().write_all(head(IDS[2]).as_bytes());
            sent.expect("an open connection");
            // A reset may discard the answer.
            if let Some(open) = http::read_head(connection) {
                let (answer, mut connection) = open.rest_and_connection();
                assert_eq!(answer.status, 503);
                // A closed connection takes no body.
                let _sent = connection.get_mut().write_all(b"other");
            }
            let expected: Vec<(String, Vec<u8>)> = $late_bodies;
            wait_for("the late body", || server.late_bodies() == expected);
            assert_eq!(runs(&server), IDS[..2]);
        }
    )*};
}

early_refusals! {
    a_body_after_an_early_refusal_is_read: Unread::ReadLater => vec![("id-3".to_owned(), b"othe".to_vec())];
    a_body_after_an_early_refusal_is_never_read: Unread::NeverRead => Vec::new();
    an_early_refusal_closes_its_connection: Unread::Closed => Vec::new();
    an_early_refusal_resets_its_connection: Unread::Reset => Vec::new();
}
