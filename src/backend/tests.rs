//! Tests of the server-sent event parser, of errors of connections, and of calls that are given up.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use proptest::prelude::*;
use snafu::Snafu;

use super::client::{Call, Client, Options};
use super::pool::is_timed_out;
use super::sse::{Event, Parser, SseError};

fn parse(chunks: &[&[u8]]) -> Result<Vec<Event>, SseError> {
    let mut parser = Parser::new();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk)?;
        events.extend(std::iter::from_fn(|| parser.pop()));
    }
    Ok(events)
}

type OwnedEvents = Result<Vec<(Option<u64>, String)>, SseError>;

fn owned(events: Result<Vec<(Option<u64>, &str)>, SseError>) -> OwnedEvents {
    Ok(events?
        .into_iter()
        .map(|(id, data)| (id, data.to_owned()))
        .collect())
}

macro_rules! cases {
    ($($name:ident: $input:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let actual = parse(&[$input.as_ref()]).map(|events| {
                events
                    .into_iter()
                    .map(|e| (e.id, String::from_utf8_lossy(&e.data).into_owned()))
                    .collect::<Vec<_>>()
            });
            let expected = owned($expected);
            assert_eq!(actual, expected);
        }
    )*};
}

cases! {
    empty_input: "" => Ok(vec![]);
    one_event: "id: 1\ndata: a\n\n" => Ok(vec![(Some(1), "a")]);
    cr_line_ends: "id: 1\rdata: a\r\r" => Ok(vec![(Some(1), "a")]);
    crlf_line_ends: "id: 1\r\ndata: a\r\n\r\n" => Ok(vec![(Some(1), "a")]);
    many_data_lines: "data: a\ndata:b\ndata\n\n" => Ok(vec![(None, "a\nb\n")]);
    id_is_kept: "id: 1\ndata: a\n\ndata: b\n\n" => Ok(vec![(Some(1), "a"), (Some(1), "b")]);
    id_without_data: "id: 4\n\ndata: a\n\n" => Ok(vec![(Some(4), "a")]);
    comments_and_unused_fields: ": ping\nevent: x\nretry: 9\ndata: a\n\n" => Ok(vec![(None, "a")]);
    one_leading_space_is_stripped: "data:  a \n\n" => Ok(vec![(None, " a ")]);
    byte_order_mark: "\u{feff}data: a\n\n" => Ok(vec![(None, "a")]);
    unterminated_event_is_dropped: "data: a\n\ndata: b\n" => Ok(vec![(None, "a")]);
    bad_id: "id: x1\n" => Err(SseError::InvalidId);
    signed_id: "id: +1\n" => Err(SseError::InvalidId);
    overflowing_id: "id: 18446744073709551616\n" => Err(SseError::InvalidId);
    line_of_maximum_length: format!("data:{}\n\n", "a".repeat(65_531)) => Ok(vec![(None, &*"a".repeat(65_531))]);
    line_too_long: format!("data:{}\n\n", "a".repeat(65_532)) => Err(SseError::LineTooLong);
    unterminated_line_too_long: "a".repeat(65_537) => Err(SseError::LineTooLong);
    event_too_long: format!("data:{}\n", "a".repeat(60_000)).repeat(5) => Err(SseError::EventTooLong);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        text in proptest::collection::vec(
            "((id: [0-9]{1,3})|(data: ?[a-z]{0,3})|(:[a-z]?)|x)?((\r\n)|\n|\r){1,2}", 0..12),
        cuts in proptest::collection::vec(0_usize..200, 0..12),
    ) {
        let text = text.concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|w| &text.as_bytes()[w[0]..w[1]]).collect();
        prop_assert_eq!(parse(&chunks), parse(&[text.as_bytes()]));
    }

    #[test]
    fn arbitrary_bytes_give_events_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(parse(&single_bytes), parse(&[&bytes]));
    }
}

/// An error of a library, caused by one of the kernel.
#[derive(Debug, Snafu)]
struct LibraryError {
    source: std::io::Error,
}

/// The kernel gives a connection up behind a partition. Guards against taking this for a server that crashed.
#[test]
fn a_timeout_of_the_kernel_is_no_broken_connection() {
    let broken = |kind: ErrorKind| LibraryError {
        source: kind.into(),
    };
    assert!(is_timed_out(&broken(ErrorKind::TimedOut)));
    assert!(!is_timed_out(&broken(ErrorKind::ConnectionReset)));
}

/// Size of a body that a server does not take while it reads nothing.
const BODY_BYTES: usize = 1 << 20;

/// A caller leaves while a server reads nothing. Guards against a request that reaches the server later, since the kernel goes on
/// sending it.
#[ntex::test]
async fn a_call_that_is_given_up_is_withdrawn() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    socket.listen(8).expect("a listener");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    let client = Client::new(Options::default()).await.expect("a client");
    let call = Call {
        method: "POST",
        addr,
        path: "/x",
        headers: &[],
        body: vec![0; BODY_BYTES].into(),
    };
    let given_up = tokio::time::timeout(Duration::from_millis(100), client.call(call)).await;
    assert!(given_up.is_err(), "answered: {given_up:?}");
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut received = Vec::new();
    let reader = tokio::task::spawn_blocking(move || {
        // A connection that is reset has ended as well.
        let _ended = stream.read_to_end(&mut received);
        received.len()
    });
    let received = reader.await.expect("the bytes received");
    assert!(received < BODY_BYTES, "{received} bytes arrived");
}
