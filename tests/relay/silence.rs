//! Servers that fall silent in the middle of streams and go on, beside changes of the configuration.

use std::time::Duration;

use serde_json::{Value, json};

use super::standin::engine::EVENT_COUNT;
use super::standin::{Engine, SHORT_PROMPT, config, events};
use super::{Site, http, wait_for};

/// Streams under way at the server that falls silent.
const STREAMS: usize = 6;
/// Longer than a stream may be silent before its host looks for another server.
const SILENCE: Duration = Duration::from_millis(1500);

/// A configuration whose streams are to pause for 100 ms at most, and that have this long to end.
pub fn config_with_timeout(version: u64, millis: u64) -> Value {
    let mut config = config(version, "/short/");
    for route in config["routes"].as_array_mut().expect("routes") {
        route["gapTargetMs"] = json!(100);
        route["timeoutMs"] = json!(millis);
    }
    config
}

/// A server falls silent in the middle of its streams and goes on; the configuration changes meanwhile, and the only other
/// server refuses. Guards against streams that are cut since their server was given up before another had taken them.
#[test]
fn streams_of_a_silent_server_that_goes_on_are_not_cut() {
    let (silent, other) = (
        Engine::model("d-1", "decode"),
        Engine::model("d-2", "decode"),
    );
    let site = Site::ready(&[&silent]);
    site.store.put("op/config", &config_with_timeout(2, 8000));
    wait_for("the configuration", || {
        site.log().contains(r#""version":"2""#)
    });
    silent.hold_streams();
    other.refuse("1");
    let callers = site.callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("id-{number}");
                let mut headers = vec![("x-chiveway-attempt-id", &*id)];
                headers.extend(SHORT_PROMPT);
                http::send(callers, "POST", "/short/x", &headers, b"body")
            })
        })
        .collect();
    wait_for("the streams to reach the server", || {
        silent.request_heads("/short/x").len() == STREAMS
    });
    site.store.put("servers/d-2", &other.entry("ready"));
    site.store.put("op/config", &config_with_timeout(3, 16_000));
    std::thread::sleep(SILENCE);
    silent.release_streams();
    for stream in streams {
        let answer = stream.join().expect("a caller").expect("an answer");
        assert!(
            answer.complete,
            "cut after {}:\n{}",
            answer.text(),
            site.log()
        );
        assert_eq!(answer.text(), events("d-1", 1..=EVENT_COUNT));
    }
    assert!(
        !other.request_heads("/short/x").is_empty(),
        "no stream was offered to the other server"
    );
}
