//! Requests at a host whose planned stop has begun.

use super::network::{Cut, Network};
use super::*;
use crate::core::event::StopEvent;

/// Milliseconds that the platform gives a stop before it kills the process.
const GRACE_MS: u64 = 8000;
/// Milliseconds for which this host stands still.
const PAUSE_MS: u64 = 6000;

/// Returns a host with two plain servers that has run for a while.
fn running_host() -> TestHost {
    let mut site = TestHost::new();
    let long = Route {
        timeout: Duration::from_secs(20),
        ..route("/lengthy/", "plain")
    };
    let mut catalog = catalog(2);
    catalog.routes.push(long);
    site.configure(catalog);
    site.register(vec![plain_entry("a"), plain_entry("b")]);
    site.advance(1000);
    site
}

fn stop(site: &mut TestHost) {
    site.apply(Event::Stop(StopEvent::Begin));
}

fn is_final(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::Refuse { .. })
}

/// Asserts that a request that arrives now is refused as not run, for a retry at another host.
fn assert_refused(site: &mut TestHost) {
    site.arrive(lengthy_request());
    assert!(site.sent().is_none(), "the request was sent");
    let (status, ran, retry) = site.refused().expect("the request is refused");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some_and(|retry| retry < Duration::from_millis(100)));
}

/// A host stands still after the signal, and finds requests before the timer of its stop. Guards against taking them, since
/// the platform kills the host before they are answered.
#[test]
fn requests_found_after_a_pause_in_the_stop_are_refused() {
    let mut site = running_host();
    stop(&mut site);
    site.now += PAUSE_MS;
    assert_refused(&mut site);
}

/// The signal comes while a host stands still, and is handled before or after its timers.
fn signal_in_pause(timers_first: bool) {
    let mut site = running_host();
    site.arrive(plain_request("/lengthy/x"));
    assert!(site.sent().is_some());
    let signal = site.now;
    site.now += PAUSE_MS;
    if timers_first {
        site.advance(10);
    }
    stop(&mut site);
    assert_refused(&mut site);
    let left = signal + GRACE_MS - site.now;
    let out = site.advance(left - 10);
    assert!(has_effect(&out, is_final), "the running request is cut");
}

/// Defines one test for each order of the events after a pause.
macro_rules! signals_in_pauses {
    ($($name:ident: $timers_first:literal;)*) => {$(
        /// Guards against a stop that counts its time from the end of a pause: the platform counts from the signal, and
        /// kills the host while its requests have no answer.
        #[test]
        fn $name() {
            signal_in_pause($timers_first);
        }
    )*};
}

signals_in_pauses! {
    a_signal_in_a_pause_is_seen_first: false;
    a_signal_in_a_pause_is_seen_after_timers: true;
}

/// Milliseconds that requests take that began late in the time for new ones and outlast the stop.
const LONG_MS: u64 = 6000;
/// Milliseconds after the signal at which the last requests are taken.
const LAST_TAKEN_MS: u64 = 2400;
/// Requests from which a host knows how long others take.
const SAMPLES: usize = 60;

/// Has a host serve plain requests that take so long.
fn serve_plain(site: &mut TestHost, millis: u64) {
    for _ in 0..SAMPLES {
        site.arrive(plain_request("/lengthy/x"));
        let attempt = site.sent().expect("a request is sent").attempt;
        site.advance(millis);
        site.event(RelayEvent::Answered {
            attempt,
            status: 200,
        });
    }
}

/// Returns a host with an engine that has served streams which run so long.
fn serving_streams(millis: u64) -> TestHost {
    let mut site = TestHost::new();
    let mut catalog = catalog(2);
    for route in &mut catalog.routes {
        route.timeout = Duration::from_secs(20);
        route.gap_target = Duration::from_secs(20);
    }
    site.configure(catalog);
    site.register(vec![engine_entry("d", Stage::Decode)]);
    for _ in 0..SAMPLES {
        site.arrive(stream_request());
        let attempt = site.sent().expect("a stream is sent").attempt;
        site.advance(50);
        site.event(RelayEvent::StreamEvent { attempt, number: 1 });
        site.advance(millis);
        site.stream_ended(attempt);
    }
    site
}

fn stream_request() -> Arrival {
    Arrival {
        deadline: None,
        ..model_request("/long/x", (1, 100), 100)
    }
}

fn lengthy_request() -> Arrival {
    Arrival {
        deadline: None,
        ..plain_request("/lengthy/x")
    }
}

/// A request comes late that may not be repeated, and whose server takes longer than the stop has left. Guards against
/// running it for an answer that its caller does not get.
#[test]
fn a_request_that_would_outlast_the_stop_is_refused() {
    let mut site = running_host();
    serve_plain(&mut site, LONG_MS);
    stop(&mut site);
    site.arrive(lengthy_request());
    assert!(site.sent().is_some(), "the stop has time for it");
    site.advance(LAST_TAKEN_MS);
    assert_refused(&mut site);
}

/// The same for a stream, whose first event comes soon.
#[test]
fn a_stream_that_would_outlast_the_stop_is_refused() {
    let mut site = serving_streams(LONG_MS);
    stop(&mut site);
    site.arrive(stream_request());
    assert!(site.sent().is_some(), "the stop has time for it");
    site.advance(LAST_TAKEN_MS);
    site.arrive(stream_request());
    assert!(site.sent().is_none(), "the stream was sent");
    let (status, ran, _) = site.refused().expect("the stream is refused");
    assert_eq!((status, ran), (503, Ran::No));
}

/// A server refuses a request late in the stop. Guards against sending it to another one that is not done in time either.
#[test]
fn a_retry_that_would_outlast_the_stop_is_refused() {
    let mut site = running_host();
    serve_plain(&mut site, LONG_MS / 2);
    stop(&mut site);
    site.advance(LAST_TAKEN_MS);
    site.arrive(lengthy_request());
    let attempt = site.sent().expect("a request is sent").attempt;
    site.advance(LONG_MS / 2);
    site.fail_attempt(attempt, Ran::No, AttemptFailure::Refused);
    assert!(site.sent().is_none(), "the request was sent again");
    let (status, ran, _) = site.refused().expect("the request is refused");
    assert_eq!((status, ran), (503, Ran::No));
}

/// A caller waits no longer than the stop takes. Guards against refusing a request that the stop does not cut.
#[test]
fn a_request_that_ends_before_the_stop_is_taken() {
    let mut site = running_host();
    serve_plain(&mut site, LONG_MS);
    stop(&mut site);
    site.advance(LAST_TAKEN_MS);
    site.arrive(Arrival {
        deadline: Some(Duration::from_secs(5)),
        ..lengthy_request()
    });
    assert!(site.sent().is_some(), "the request was refused");
}

/// Milliseconds after the signal at which a host closes, and in which the others learn of it.
const CLOSE_MS: u64 = 2500 + 100;
/// Interval of requests without any.
const NEVER: u64 = 1_000_000;

/// The host that requests are forwarded to closes its idle connections. Guards against a request that crosses the close: it
/// may have run, so that its caller gets an error.
#[test]
fn a_host_that_closes_gets_no_forwarded_request() {
    let mut network = Network::new(3, 1);
    network.pass(1000, 20);
    network.cut([0], Cut::Unreachable);
    network.pass(3000, 20);
    network.pass(1000, NEVER);
    stop(network.node(2));
    network.site.send_effects(2);
    let stopping = network.node(2).core.settings.host.name.clone();
    let is_sent_there = |network: &mut Network| {
        for _ in 0..20 {
            network.send(0);
        }
        let relay = &network.node(0).core.relay;
        let host = relay.peers.names.get(&stopping).copied();
        let mut attempts = relay.attempts.values();
        attempts.any(|attempt| attempt.host.is_some() && attempt.host == host)
    };
    assert!(is_sent_there(&mut network), "it serves until it closes");
    network.pass(CLOSE_MS, NEVER);
    assert!(!is_sent_there(&mut network), "it has closed");
}
