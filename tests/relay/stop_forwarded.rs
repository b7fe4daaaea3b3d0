//! Planned stops of the host that runs requests for another one.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;

use super::partition::{Cut, Site};
use super::silence::config_with_timeout;
use super::{WAIT_TIMEOUT, http, wait_for};

/// Size of an answer in one piece that the buffers of a connection do not hold.
const ANSWER_BYTES: usize = 12 * 1024 * 1024;
/// Time that a server takes for a request: longer than a stopping host serves idle connections.
const RUN_TIME: Duration = Duration::from_secs(4);

/// Starts two hosts, of which the first has no links to servers.
fn site() -> Site {
    let site = Site::start(2);
    let mut config = config_with_timeout(2, 16_000);
    config["limits"]["maxBodyBytes"] = json!(2 * ANSWER_BYTES);
    site.store.put("op/config", &config);
    for host in &site.hosts {
        wait_for("the configuration", || {
            host.log().contains(r#""version":"2""#)
        });
    }
    site.lose_links(&site.hosts[0], Cut::Refused);
    site
}

/// Begins the planned stop of the second host; returns once it has closed its callers' connections.
fn stop_other(site: &Site) {
    let mut idle = TcpStream::connect(site.hosts[1].callers).expect("a connection");
    idle.set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a time limit");
    site.hosts[1].process.term();
    // A reset closes the connection as well.
    let _closed = idle.read(&mut [0]);
}

/// The host that a request was forwarded to stops before the answer. Guards against a process that exits once its own
/// callers are gone, before the answer to the other host is written: that host's caller gets none.
#[test]
fn a_stop_writes_the_last_forwarded_answer() {
    let mut site = site();
    for engine in &site.engines {
        engine.set_delay(RUN_TIME);
    }
    let callers = site.hosts[0].callers;
    let request = std::thread::spawn(move || {
        let headers = [("x-chiveway-attempt-id", "last")];
        http::send(
            callers,
            "POST",
            "/once/x",
            &headers,
            &vec![b'x'; ANSWER_BYTES],
        )
    });
    wait_for("the request at a server", || site.runs("last") == 1);
    stop_other(&site);
    let answer = request.join().expect("a caller").expect("an answer");
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{}",
        site.hosts[0].log()
    );
    assert!(answer.body.len() > ANSWER_BYTES);
    assert!(site.hosts[1].process.wait_for_exit().success());
}
