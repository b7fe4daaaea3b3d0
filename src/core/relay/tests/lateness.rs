//! Causes of late answers.

use std::time::Duration;

use crate::core::relay::lateness::{Cause, Timing};

const TARGET: Duration = Duration::from_millis(250);
const GAP_TARGET: Duration = Duration::from_millis(150);

/// Generates a test for each answer: milliseconds of the failed attempts, of the prefill and of the time expected for it, of
/// the run and of the time expected for it, from arrival to the first event, the longest gap, and the cause.
macro_rules! answers {
    ($($name:ident: $failed:literal, $prefill:expr, $run:expr, $first:literal, $gap:literal => $cause:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut timing = Timing::default();
            timing.failed($failed);
            let (took, expected): (f64, f64) = $prefill;
            timing.prefilled(took, expected);
            let (took, expected): (f64, f64) = $run;
            timing.began(true, expected, took, Duration::from_millis($first));
            timing.paused(Duration::from_millis($gap));
            assert_eq!(timing.cause(TARGET, GAP_TARGET), $cause);
        }
    )*};
}

// Pattern: prompts behind work that their host did not know, slow engines and crashes in the same seconds. Guards against a
// cause that names the longest stage in place of the one that took longer than expected.
answers! {
    an_answer_in_time_has_no_cause: 0.0, (40.0, 40.0), (20.0, 20.0), 60, 70 => None;
    a_gap_is_a_pause_of_the_engine: 0.0, (40.0, 40.0), (20.0, 20.0), 60, 205 => Some(Cause::Pause);
    a_late_first_event_goes_before_a_gap: 0.0, (290.0, 40.0), (20.0, 20.0), 310, 205 => Some(Cause::Prefill);
    a_slow_prefill: 0.0, (290.0, 40.0), (20.0, 20.0), 310, 0 => Some(Cause::Prefill);
    a_slow_run_after_a_long_prefill: 0.0, (200.0, 200.0), (120.0, 20.0), 320, 0 => Some(Cause::Handover);
    a_failed_attempt: 480.0, (10.0, 10.0), (20.0, 20.0), 510, 0 => Some(Cause::Failed);
    an_attempt_left_for_another: 0.0, (20.0, 20.0), (20.0, 20.0), 340, 0 => Some(Cause::Moved);
    a_prompt_that_was_expected_to_be_late: 0.0, (300.0, 290.0), (20.0, 20.0), 320, 0 => Some(Cause::Expected);
}

/// Guards against a pause where the route states no longest gap.
#[test]
fn without_a_gap_target_no_gap_is_late() {
    let mut timing = Timing::default();
    timing.began(false, 20.0, 20.0, Duration::from_millis(20));
    timing.paused(Duration::from_secs(3));
    assert_eq!(timing.cause(TARGET, Duration::ZERO), None);
}

/// The stream breaks after its late first event, and goes on elsewhere. Guards against a cause that came after the delay.
#[test]
fn a_failure_after_the_first_event_is_not_its_cause() {
    let mut timing = Timing::default();
    timing.prefilled(290.0, 40.0);
    timing.began(true, 20.0, 20.0, Duration::from_millis(310));
    timing.failed(3000.0);
    assert_eq!(timing.cause(TARGET, GAP_TARGET), Some(Cause::Prefill));
}
