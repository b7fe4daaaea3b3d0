//! Crashes of engines that count against a request.

use std::time::Duration;

use super::super::event::Fingerprint;
use super::super::message::Suspect;
use super::super::{Core, Effects, Event, Time, event::Timer, poison};
use super::{EPOCH, settings};
use crate::error::Kind;

const POISON: Fingerprint = Fingerprint([1; 16]);
const INNOCENT: Fingerprint = Fingerprint([2; 16]);

/// A crash report: fingerprint, engine, seconds since the start, whether the engine had begun to
/// answer.
type Report = (Fingerprint, &'static str, u64, bool);

fn core_after_reports(reports: &[Report], end: u64) -> Core {
    let mut core = Core::new(settings("host"), Time::default(), EPOCH, 7);
    for &(print, engine, at, answering) in reports {
        let seconds = Time::default().after(Duration::from_secs(at));
        core.reduce(seconds, Event::Timer(Timer::Shares), &mut Effects::new());
        let suspect = Suspect {
            fingerprint: print,
            engine: engine.into(),
            at_ms: EPOCH + at * 1000,
            request: "r".into(),
            answering,
        };
        poison::receive(&mut core, suspect);
    }
    let seconds = Time::default().after(Duration::from_secs(end));
    core.reduce(seconds, Event::Timer(Timer::Shares), &mut Effects::new());
    core
}

/// Defines one test per set of reports, which checks whether the fingerprint is blocked at the end.
macro_rules! cases {
    ($($name:ident: $print:expr, $reports:expr, $end:expr => $blocked:expr,)*) => {$(
        #[test]
        fn $name() {
            let core = core_after_reports(&$reports, $end);
            let kind = poison::check(&core, $print).map_err(|refusal| refusal.kind);
            assert_eq!(kind, if $blocked { Err(Kind::EngineKiller) } else { Ok(()) });
        }
    )*};
}

cases! {
    one_crash_does_not_block: POISON, [(POISON, "e1", 1, false)], 2 => false,
    two_crashes_block: POISON, [(POISON, "e1", 1, false), (POISON, "e2", 2, false)], 3 => true,
    two_reports_of_one_crash: POISON, [(POISON, "e1", 1, false), (POISON, "e1", 2, false)], 3
        => false,
    two_crashes_of_one_engine_block: POISON, [(POISON, "e1", 1, false), (POISON, "e1", 60, false)],
        61 => true,
    request_that_shared_both_engines_is_not_blocked: INNOCENT, [
        (INNOCENT, "e1", 1, true), (POISON, "e1", 1, false),
        (INNOCENT, "e2", 3, true), (POISON, "e2", 3, false),
    ], 4 => false,
    cleared_in_any_order_of_reports: INNOCENT, [
        (POISON, "e1", 1, false), (INNOCENT, "e1", 1, true),
        (INNOCENT, "e2", 3, true), (POISON, "e2", 4, false),
    ], 5 => false,
    crash_during_the_answer_counts: POISON, [(POISON, "e1", 1, true), (POISON, "e2", 2, true)],
        3 => true,
    block_expires_after_ten_minutes: POISON, [(POISON, "e1", 1, false), (POISON, "e2", 2, false)],
        700 => false,
    other_fingerprint_is_not_blocked: INNOCENT, [(POISON, "e1", 1, false), (POISON, "e2", 2, false)],
        3 => false,
}
