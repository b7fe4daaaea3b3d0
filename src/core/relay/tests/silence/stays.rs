//! Requests that may not run again: they wait for their server until their time-out.

use super::engines::{Phase, SHORT, engines, plain, play};
use super::run::{Caller, Got};
use super::servers::DEADLINE;
use super::*;

/// Milliseconds of silence: short ones, one that ends just in time, and one past the time-out.
const SILENCES: [u64; 8] = [500, 900, 1000, 1500, 2200, 3000, 9000, 12_000];

/// Servers that are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silent {
    Own,
    All,
}

/// Returns how a request ends whose server is silent, or all are.
fn wait(
    servers: Vec<BackendEntry>,
    path: &str,
    phase: Phase,
    silence: u64,
    silent: Silent,
    change: Change,
) -> Caller {
    let (mut site, call) = play(servers, path, SHORT, phase);
    let own = site.run_of(call).expect("a run").server();
    let now = site.now();
    for server in site.ids() {
        if silent == Silent::All || server == own {
            site.fall_silent(&server, now, silence);
        }
    }
    // Other requests find out that servers are silent.
    for _ in 0..6 {
        site.arrive("/again/x", 0);
        site.arrive("/short/x", SHORT);
        site.pass(20);
    }
    site.change(change);
    site.finish();
    site.callers.remove(&call).expect("a caller")
}

/// Defines one test for each kind of request and its stage.
macro_rules! waits {
    ($($name:ident: $servers:ident, $path:expr, $phase:expr;)*) => {$(
        /// Guards against a request that may not run again and ends before its time-out, since its server is silent.
        #[test]
        fn $name() {
            for silence in SILENCES {
                for silent in [Silent::Own, Silent::All] {
                    for change in CHANGES {
                        let end = wait($servers(), $path, $phase, silence, silent, change);
                        let (at, got) = end.got.expect("an end");
                        let waited = Duration::from_millis(at - end.arrived);
                        let case = (silence, silent, change, got);
                        if Duration::from_millis(silence) < DEADLINE {
                            assert_eq!(got, Got::Whole, "{case:?}");
                        } else {
                            assert!(matches!(got, Got::Cut | Got::Refusal(_, Ran::Unknown)), "{case:?}");
                            assert_eq!(waited, DEADLINE, "{case:?}");
                        }
                    }
                }
            }
        }
    )*};
}

waits! {
    an_unsafe_request_waits: plain, "/once/x", Phase::Unanswered;
    a_begun_stream_that_may_run_once_waits: engines, "/long/x", Phase::Begun(3);
    an_unanswered_stream_that_may_run_once_waits: engines, "/long/x", Phase::Unanswered;
}
