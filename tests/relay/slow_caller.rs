//! Callers that read nothing for a time while their answers arrive.

use std::time::Duration;

use super::silence::config_with_timeout;
use super::standin::{Engine, SHORT_PROMPT};
use super::{Site, http, wait_for};

/// Events of a stream and bytes of each: together more than the queue of a host and the buffers of two connections hold.
const EVENTS: u64 = 640;
const EVENT_BYTES: usize = 64 * 1024;
/// Longer than a stream may be silent before its host looks for another server.
const PAUSE: Duration = Duration::from_secs(3);

/// A caller stops reading a stream for a time and reads on. Guards against a host that takes the server, of which it reads
/// nothing meanwhile, for a silent one, and moves the stream from a sound server.
#[test]
fn a_server_is_not_silent_while_its_caller_does_not_read() {
    let (one, two) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&one]);
    site.store.put("op/config", &config_with_timeout(2, 16_000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    for engine in [&one, &two] {
        engine.send_large_streams(EVENTS, EVENT_BYTES);
    }
    let mut headers = vec![("x-chiveway-attempt-id", "id-1")];
    headers.extend(SHORT_PROMPT);
    let answer = http::open(site.callers, "POST", "/short/x", &headers, b"body");
    let answer = answer.expect("the head of an answer");
    site.store.put("servers/d-2", &two.entry("ready"));
    wait_for("the other server in the list", || {
        super::is_listed_ready(&site.log(), "d-2")
    });
    std::thread::sleep(PAUSE);
    let answer = answer.rest();
    assert!(answer.complete, "{}", site.log());
    let text = answer.text();
    let mut numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    assert!((1..=EVENTS).all(|number| numbers.next() == Some(&number.to_string())));
    assert_eq!(numbers.next(), None, "an event came twice");
    assert!(
        two.request_heads("/short/x").is_empty(),
        "the stream was moved from a sound server:\n{}",
        site.log()
    );
}
