//! Two hosts in front of two servers, one of which sets a rate limit.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::standin::Engine;
use super::watcher::SecondHost;
use super::{LOG_FILE, Site, http, is_listed_ready, wait_for};

/// Requests sent to each host.
const REQUEST_COUNT: usize = 30;
/// Response time of the slower server.
const SLOW_DELAY: Duration = Duration::from_millis(60);
/// Seconds between probe requests to a server whose limit is zero.
const RECHECK_INTERVAL_SECS: u64 = 10;

/// Returns the source of a server's limit, as logged by a host.
fn limit_source(log: &str, id: &str) -> Option<String> {
    let events = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut limits = events.filter(|event| event["event"] == "backend.limit");
    let limit = limits.find(|event| event["backend"] == id)?;
    Some(limit["source"].as_str()?.to_owned())
}

/// A server sends a limit of zero in an answer to one host. Guards against the other host, which has not
/// received the limit, sending it requests.
#[test]
fn a_limit_sent_to_one_host_applies_at_both() {
    let (limited, unlimited) = (Engine::plain("s-1"), Engine::plain("s-2"));
    let site = Site::ready(&[&limited, &unlimited]);
    let second = SecondHost::start(&site);
    wait_for("both servers in the second host's view", || {
        let log = second.folder.read(LOG_FILE);
        is_listed_ready(&log, "s-1") && is_listed_ready(&log, "s-2")
    });
    limited.set_limit("0");
    // The other server is slower, so that requests go to the limited one first.
    unlimited.set_delay(SLOW_DELAY);
    wait_for("the limit at the first host", || {
        site.send("/once/x", "id", &[]).expect("an answer");
        limit_source(&site.log(), "s-1").is_some()
    });
    wait_for("the limit at the second host", || {
        limit_source(&second.folder.read(LOG_FILE), "s-1").is_some()
    });
    assert_eq!(
        limit_source(&second.folder.read(LOG_FILE), "s-1").as_deref(),
        Some("host-1")
    );
    unlimited.set_delay(Duration::ZERO);
    let start = Instant::now();
    let before = limited.request_heads("/once/x").len();
    let headers = [
        ("x-chiveway-attempt-id", "id"),
        ("x-chiveway-deadline-ms", "8000"),
    ];
    for _ in 0..REQUEST_COUNT {
        let one = site.send("/once/x", "id", &[]);
        let two = http::send(second.callers, "POST", "/once/x", &headers, b"body");
        assert_eq!(one.map(|answer| answer.status), Some(200));
        assert_eq!(two.map(|answer| answer.status), Some(200));
    }
    let sent = limited.request_heads("/once/x").len() - before;
    let allowed = 1 + start.elapsed().as_secs() / RECHECK_INTERVAL_SECS;
    assert!(
        sent as u64 <= allowed,
        "{sent} requests sent to the limited server, {allowed} allowed"
    );
}
