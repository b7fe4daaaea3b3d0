//! What a caller sends beside a request that is under way, and what its host answers by itself.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::late_copies::site;
use super::script::{Scripted, response};
use super::silence::config_with_timeout;
use super::{Site, WAIT_TIMEOUT, wait_for};

/// Time for which the server runs each request.
const RUN_TIME: Duration = Duration::from_millis(700);

/// Returns a site and a plain server that runs each request for a while.
fn slow_site(run_time: Duration) -> (Site, Scripted) {
    let server = Scripted::plain("s-1", move |turn| {
        turn.run();
        std::thread::sleep(run_time);
        let answer = response(200, &turn.id, "", "done");
        turn.send(answer)
    });
    (site(&[&server]), server)
}

/// Returns the bytes of a request with a body in chunks.
fn chunked(id: &str, chunks: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    )
}

/// Returns the bytes of a request with a length.
fn sized(id: &str, more: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: {id}\r\n{more}content-length: 4\r\n\r\nbody"
    )
}

/// Returns the statuses of all final answers on a connection until the host closes it.
fn statuses(stream: TcpStream) -> Vec<u16> {
    let limit = stream.set_read_timeout(Some(WAIT_TIMEOUT));
    limit.expect("a time limit");
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let mut reader = BufReader::new(stream);
    while let Ok(read) = reader.read(&mut part) {
        if read == 0 {
            break;
        }
        bytes.extend_from_slice(&part[..read]);
    }
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter_map(|line| {
        let at = line.find("HTTP/1.1 ")?;
        line[at + 9..].split(' ').next()?.parse().ok()
    });
    lines.filter(|status| *status >= 200).collect()
}

fn connect(site: &Site, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.callers).expect("a connection");
    stream
        .write_all(bytes.as_bytes())
        .expect("an open connection");
    stream
}

/// Defines a test for each sequence of bytes that a caller sends at once: the statuses, and the runs of `id-1` and `id-2`.
macro_rules! sequences {
    ($($name:ident: $bytes:expr => $statuses:expr, $runs:expr;)*) => {$(
        /// Guards against a request that is answered as not run though it runs, and against one made of a part of another.
        #[test]
        fn $name() {
            let (site, server) = slow_site(RUN_TIME);
            let caller = connect(&site, &$bytes);
            let found = statuses(caller);
            let runs = ["id-1", "id-2", "inner"].map(|id| server.runs(id));
            assert_eq!((found, runs), ($statuses.to_vec(), $runs));
        }
    )*};
}

const INNER: &str = "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: inner\r\ncontent-length: 0\r\n\r\n";

sequences! {
    a_body_in_chunks: chunked("id-1", "4\r\nbody\r\n0\r\n\r\n") + &sized("id-2", "connection: close\r\n") => [200, 200], [1, 1, 0];
    a_chunk_with_an_extension: chunked("id-1", "4;a=b\r\nbody\r\n0;c=d\r\n\r\n") + &sized("id-2", "connection: close\r\n") => [200, 200], [1, 1, 0];
    a_body_with_a_trailer: chunked("id-1", "4\r\nbody\r\n0\r\na: b\r\n\r\n") + INNER => [400], [0, 0, 0];
    a_request_in_place_of_a_trailer: chunked("id-1", &format!("4\r\nbody\r\n0\r\n{INNER}")) => [400], [0, 0, 0];
    a_chunk_shorter_than_stated: chunked("id-1", &format!("4\r\nbod\r\n0\r\n\r\n{INNER}")) => [400], [0, 0, 0];
    bytes_that_are_no_request: sized("id-1", "") + "\0\x01 garbage\r\n\r\n" => [200, 400], [1, 0, 0];
    a_request_that_asks_to_go_on: sized("id-1", "expect: 100-continue\r\n") + &sized("id-2", "connection: close\r\n") => [200, 200], [1, 1, 0];
    a_length_beside_chunks: chunked("id-1", "4\r\nbody\r\n0\r\n\r\n").replace("host: 127.0.0.1", "host: 127.0.0.1\r\ncontent-length: 4") + INNER => [400], [0, 0, 0];
    another_protocol: sized("id-1", "connection: upgrade\r\nupgrade: h2c\r\n") + &sized("id-2", "connection: close\r\n") => [200], [1, 0, 0];
}

/// Guards against an answer which states that a request did not run, since its caller sends nothing more.
#[test]
fn a_caller_that_sends_no_more_gets_no_promise() {
    let (site, server) = slow_site(RUN_TIME);
    let caller = connect(&site, &sized("id-1", ""));
    wait_for("a run", || server.runs("id-1") == 1);
    caller
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    let found = statuses(caller);
    assert!(
        found.is_empty() || found == [200] || found == [502],
        "{found:?}"
    );
}

/// A caller begins its next request early and sends no more of it. Guards against an answer to that which arrives before the one
/// to the request that runs.
#[test]
fn a_head_that_stays_away_ends_no_request_before_it() {
    let (site, server) = slow_site(Duration::from_secs(12));
    site.store.put("op/config", &config_with_timeout(2, 20_000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    let mut bytes = sized("id-1", "x-chiveway-deadline-ms: 20000\r\n");
    bytes += "POST /once/x HT";
    let caller = connect(&site, &bytes);
    let found = statuses(caller);
    assert_eq!(server.runs("id-1"), 1);
    assert!(matches!(found[..], [200 | 502 | 504, 408]), "{found:?}");
}
