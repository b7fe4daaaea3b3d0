//! A second server that falls silent when it gets the request of a silent one: either may go on at any time.

use super::engines::{Phase, SHORT, engines, plain, play};
use super::run::Got;
use super::servers::Servers;
use super::*;

/// Milliseconds, from the time at which the second server gets a request, after which each goes on: before, at and after
/// the end of the time for which the first is kept.
const GO_ON: [u64; 12] = [10, 100, 270, 280, 290, 300, 310, 320, 350, 600, 1000, 2200];

/// Returns what a caller gets if two servers go on that many milliseconds after the second got the request; `reversed` is
/// whether the second goes on first where both do so at once.
fn two_in_a_row(
    (mut site, call): (Servers, CallKey),
    goes_on: [u64; 2],
    reversed: bool,
    change: Change,
) -> Got {
    site.reversed = reversed;
    let first = site.run_of(call).expect("a run").server();
    let forever = 20_000;
    let start = site.now();
    site.fall_silent(&first, start, forever);
    let moved = |site: &Servers| {
        let mut runs = site.runs.values();
        runs.any(|run| run.server() != first && !run.prefills())
    };
    for _ in 0..300 {
        if moved(&site) {
            break;
        }
        site.step();
    }
    assert!(moved(&site), "the request is not moved");
    let second = site.run_of(call).expect("a run").server();
    let now = site.now();
    site.go_on(&first, now + goes_on[0]);
    site.fall_silent(&second, now, goes_on[1]);
    site.change(change);
    site.finish()[0]
}

/// Defines one test for each kind of request and its stage.
macro_rules! two_silent_servers {
    ($($name:ident: $servers:ident, $path:expr, $tokens:expr, $phase:expr;)*) => {$(
        /// Guards against events that are lost, come twice or come of both servers when two fall silent in a row.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for first in GO_ON {
                for second in GO_ON {
                    for reversed in [false, true] {
                        for change in [Change::None, Change::Dropped, Change::Moved] {
                            let begun = play($servers(), $path, $tokens, $phase);
                            let got = two_in_a_row(begun, [first, second], reversed, change);
                            if got != Got::Whole {
                                bad.push((first, second, reversed, change, got));
                            }
                        }
                    }
                }
            }
            assert!(bad.is_empty(), "first, second, reversed, change, end: {bad:?}");
        }
    )*};
}

two_silent_servers! {
    two_at_a_begun_stream: engines, "/short/x", SHORT, Phase::Begun(3);
    two_at_an_unanswered_stream: engines, "/short/x", SHORT, Phase::Unanswered;
    two_at_a_stream_without_its_end: engines, "/short/x", SHORT, Phase::Begun(6);
    two_at_a_begun_plain_stream: plain, "/feed/x", 0, Phase::Begun(3);
    two_at_an_unanswered_plain_stream: plain, "/feed/x", 0, Phase::Unanswered;
    two_at_a_safe_request: plain, "/again/x", 0, Phase::Unanswered;
}
