//! Which deaths of engines count against which request.

use std::time::Duration;

use super::super::event::Fingerprint;
use super::super::message::Suspect;
use super::super::{Core, Effects, Event, Time, event::Timer, poison};
use super::{EPOCH, settings};
use crate::error::Kind;

const KILLER: Fingerprint = Fingerprint([1; 16]);
const INNOCENT: Fingerprint = Fingerprint([2; 16]);

/// One report: fingerprint, engine, seconds since the start, whether it was being answered.
type Report = (Fingerprint, &'static str, u64, bool);

fn core_told(reports: &[Report], end: u64) -> Core {
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

/// Makes one test of each set of reports: whether the fingerprint is refused at the end.
macro_rules! verdicts {
    ($($name:ident: $print:expr, $reports:expr, $end:expr => $refused:expr,)*) => {$(
        #[test]
        fn $name() {
            let core = core_told(&$reports, $end);
            let kind = poison::check(&core, $print).map_err(|refusal| refusal.kind);
            assert_eq!(kind, if $refused { Err(Kind::EngineKiller) } else { Ok(()) });
        }
    )*};
}

verdicts! {
    one_engine_lost_is_no_proof: KILLER, [(KILLER, "e1", 1, false)], 2 => false,
    two_engines_lost_are: KILLER, [(KILLER, "e1", 1, false), (KILLER, "e2", 2, false)], 3 => true,
    two_reports_of_one_death: KILLER, [(KILLER, "e1", 1, false), (KILLER, "e1", 2, false)], 3
        => false,
    the_same_engine_lost_twice: KILLER, [(KILLER, "e1", 1, false), (KILLER, "e1", 60, false)], 61
        => true,
    innocent_that_shared_both: INNOCENT, [
        (INNOCENT, "e1", 1, true), (KILLER, "e1", 1, false),
        (INNOCENT, "e2", 3, true), (KILLER, "e2", 3, false),
    ], 4 => false,
    cleared_whichever_report_comes_first: INNOCENT, [
        (KILLER, "e1", 1, false), (INNOCENT, "e1", 1, true),
        (INNOCENT, "e2", 3, true), (KILLER, "e2", 4, false),
    ], 5 => false,
    killer_in_the_middle_of_its_answer: KILLER, [(KILLER, "e1", 1, true), (KILLER, "e2", 2, true)],
        3 => true,
    tried_again_after_ten_minutes: KILLER, [(KILLER, "e1", 1, false), (KILLER, "e2", 2, false)],
        700 => false,
    another_fingerprint: INNOCENT, [(KILLER, "e1", 1, false), (KILLER, "e2", 2, false)], 3
        => false,
}
