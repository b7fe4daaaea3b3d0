//! Requests at a host whose planned stop has begun.

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
    site.arrive(plain_request("/lengthy/x"));
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
