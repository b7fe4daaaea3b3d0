//! The model before engines of known speed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::event::Stage;
use super::{Sample, ServiceModel, Slowdown};

/// An engine as it is.
#[derive(Clone, Copy)]
struct Truth {
    slow: f64,
    base: f64,
    token: f64,
    factor: f64,
}

impl Truth {
    fn took(self, unread: u64, held: u64, ahead: u64) -> f64 {
        let pairs = super::attention::token_pairs(unread, held);
        let work = unread as f64 + self.factor * pairs + ahead as f64;
        self.base + work * self.token * self.slow
    }
}

/// Has engines of these speeds read prompts of 300 to 50,000 tokens; returns what was learned.
fn learn(truth: Truth, speeds: &[f64], prompts: u32, noise: f64) -> (ServiceModel, Vec<Slowdown>) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut learned = ServiceModel::default();
    let mut paces = vec![Slowdown::default(); speeds.len()];
    for prompt in 0..prompts {
        let at = rng.random_range(0..speeds.len());
        let engine = Truth {
            slow: speeds[at],
            ..truth
        };
        let unread = 300 * 2_u64.pow(prompt % 8) + rng.random_range(0..200);
        let held = if prompt % 3 == 0 { 5000 } else { 0 };
        let took = engine.took(unread, held, 0) * rng.random_range(1.0..=1.0 + noise);
        let sample = Sample {
            took,
            uncached: unread,
            cached: held,
            queued: 0,
        };
        learned.record_prefill(Stage::Prefill, &sample, &mut paces[at]);
    }
    (learned, paces)
}

const TRUTH: Truth = Truth {
    slow: 1.0,
    base: 47.0,
    token: 0.009,
    factor: 1.7e-5,
};

/// Returns how far an expected time is from the true one.
fn error(learned: &ServiceModel, pace: Slowdown, truth: Truth, unread: u64, held: u64) -> f64 {
    let work = learned.equivalent_tokens(unread, held);
    let expected = learned.base_ms(Stage::Prefill) + learned.prefill_ms(Stage::Prefill, pace, work);
    expected / truth.took(unread, held, 0) - 1.0
}

macro_rules! expects {
    ($($name:ident: $truth:expr, $speeds:expr, $noise:expr => $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let truth: Truth = $truth;
            let speeds: &[f64] = &$speeds;
            let (learned, paces) = learn(truth, speeds, 2000, $noise);
            for (slow, pace) in speeds.iter().zip(paces) {
                let truth = Truth { slow: *slow, ..truth };
                for (unread, held) in [(600, 0), (2000, 0), (6000, 5000), (20_000, 0), (45_000, 9000)] {
                    let error = error(&learned, pace, truth, unread, held);
                    assert!(error.abs() < $most, "{slow} {unread} {held}: {error:.3}");
                }
            }
        }
    )*};
}

// A prompt in time or late, taken or refused, is decided by these times: a tenth of half a second
// is what the largest prompts have to spare.
expects! {
    engines_of_equal_speed: TRUTH, [1.0, 1.0], 0.0 => 0.1;
    engines_of_three_speeds: TRUTH, [0.6, 1.4, 1.4], 0.0 => 0.1;
    no_attention_cost: Truth { factor: 0.0, ..TRUTH }, [0.6, 1.4], 0.0 => 0.1;
    high_attention_cost: Truth { factor: 5e-5, ..TRUTH }, [0.6, 1.4], 0.0 => 0.1;
    slow_prefill: Truth { token: 0.05, ..TRUTH }, [1.0, 2.0], 0.0 => 0.1;
    // A time that is a tenth too long on average cannot be told from an engine that is slower.
    noisy_measurements: TRUTH, [0.6, 1.4], 0.2 => 0.25;
}

/// One answer comes late for a reason that has nothing to do with its engine. What is expected of
/// the engine changes by no more than a part of it, and is right again after some answers.
#[test]
fn one_outlier_changes_little() {
    let (mut learned, mut paces) = learn(TRUTH, &[1.0], 500, 0.0);
    let pace = &mut paces[0];
    let odd = Sample {
        took: 4000.0,
        uncached: 8000,
        ..Sample::default()
    };
    learned.record_prefill(Stage::Prefill, &odd, pace);
    assert!(pace.factor < 4.0, "{pace:?}");
    for _ in 0..30 {
        let took = TRUTH.took(8000, 0, 0);
        let sample = Sample { took, ..odd };
        learned.record_prefill(Stage::Prefill, &sample, pace);
    }
    assert!(error(&learned, *pace, TRUTH, 8000, 0).abs() < 0.15);
}

/// Nothing was measured yet. Times are finite and above zero, so that an engine is chosen at all.
#[test]
fn estimates_are_positive_before_any_measurement() {
    let learned = ServiceModel::default();
    let work = learned.equivalent_tokens(10_000, 0);
    assert_eq!(work, 10_000, "no growth before any was seen");
    assert!(learned.prefill_ms(Stage::Decode, Slowdown::default(), work) > 0.0);
    assert!(learned.event_gap_ms(Slowdown::default()).is_none());
}

/// Streams tell which engine is slow also where it reads nothing.
#[test]
fn event_gaps_reveal_a_slow_engine() {
    let mut learned = ServiceModel::default();
    let (mut fast, mut slow) = (Slowdown::default(), Slowdown::default());
    for _ in 0..600 {
        learned.record_event_gap(30.0, &mut fast);
        learned.record_event_gap(72.0, &mut slow);
    }
    let ratio = slow.factor / fast.factor;
    assert!((2.0..2.8).contains(&ratio), "{ratio}");
    assert!(fast.is_known() && slow.is_known());
}

/// Whatever comes in, expectations stay finite and never below zero.
#[test]
fn estimates_stay_finite_for_any_measurement() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut learned = ServiceModel::default();
    let mut pace = Slowdown::default();
    for _ in 0..5000 {
        let exponent = rng.random_range(0.0..20.0_f64);
        let sample = Sample {
            took: rng.random_range(0.0..1.0) * exponent.exp2(),
            uncached: rng.random_range(0..200_000),
            cached: rng.random_range(0..100_000),
            queued: rng.random_range(0..1_000_000),
        };
        let stage = if rng.random() {
            Stage::Prefill
        } else {
            Stage::Decode
        };
        learned.record_prefill(stage, &sample, &mut pace);
        learned.record_event_gap(rng.random_range(0.0..5000.0), &mut pace);
        let work = learned.equivalent_tokens(50_000, 10_000);
        let reading = learned.prefill_ms(stage, pace, work);
        assert!(
            reading.is_finite() && reading >= 0.0 && work < 100_000_000,
            "{learned:?}"
        );
    }
}
