//! The model before engines of known speed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::event::Stage;
use super::{Learned, Pace, Sample};

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
        let pairs = super::attention::pairs(unread, held);
        let work = unread as f64 + self.factor * pairs + ahead as f64;
        self.base + work * self.token * self.slow
    }
}

/// Has engines of these speeds read prompts of 300 to 50,000 tokens; returns what was learned.
fn learn(truth: Truth, speeds: &[f64], prompts: u32, noise: f64) -> (Learned, Vec<Pace>) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut learned = Learned::default();
    let mut paces = vec![Pace::default(); speeds.len()];
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
            unread,
            held,
            ahead: 0,
        };
        learned.read(Stage::Prefill, &sample, &mut paces[at]);
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
fn error(learned: &Learned, pace: Pace, truth: Truth, unread: u64, held: u64) -> f64 {
    let work = learned.tokens(unread, held);
    let expected = learned.base(Stage::Prefill) + learned.reading(Stage::Prefill, pace, work);
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
    equal_engines: TRUTH, [1.0, 1.0], 0.0 => 0.1;
    engines_of_three_speeds: TRUTH, [0.6, 1.4, 1.4], 0.0 => 0.1;
    no_growth: Truth { factor: 0.0, ..TRUTH }, [0.6, 1.4], 0.0 => 0.1;
    much_growth: Truth { factor: 5e-5, ..TRUTH }, [0.6, 1.4], 0.0 => 0.1;
    slow_readers: Truth { token: 0.05, ..TRUTH }, [1.0, 2.0], 0.0 => 0.1;
    // A time that is a tenth too long on average cannot be told from an engine that is slower.
    noisy: TRUTH, [0.6, 1.4], 0.2 => 0.25;
}

/// One answer comes late for a reason that has nothing to do with its engine. What is expected of
/// the engine changes by no more than a part of it, and is right again after some answers.
#[test]
fn one_odd_answer_changes_little() {
    let (mut learned, mut paces) = learn(TRUTH, &[1.0], 500, 0.0);
    let pace = &mut paces[0];
    let odd = Sample {
        took: 4000.0,
        unread: 8000,
        ..Sample::default()
    };
    learned.read(Stage::Prefill, &odd, pace);
    assert!(pace.slow < 4.0, "{pace:?}");
    for _ in 0..30 {
        let took = TRUTH.took(8000, 0, 0);
        let sample = Sample { took, ..odd };
        learned.read(Stage::Prefill, &sample, pace);
    }
    assert!(error(&learned, *pace, TRUTH, 8000, 0).abs() < 0.15);
}

/// Nothing was measured yet. Times are finite and above zero, so that an engine is chosen at all.
#[test]
fn nothing_known_is_something_expected() {
    let learned = Learned::default();
    let work = learned.tokens(10_000, 0);
    assert_eq!(work, 10_000, "no growth before any was seen");
    assert!(learned.reading(Stage::Decode, Pace::default(), work) > 0.0);
    assert!(learned.pause(Pace::default()).is_none());
}

/// Streams tell which engine is slow also where it reads nothing.
#[test]
fn pauses_tell_of_a_slow_engine() {
    let mut learned = Learned::default();
    let (mut fast, mut slow) = (Pace::default(), Pace::default());
    for _ in 0..600 {
        learned.paused(30.0, &mut fast);
        learned.paused(72.0, &mut slow);
    }
    let ratio = slow.slow / fast.slow;
    assert!((2.0..2.8).contains(&ratio), "{ratio}");
    assert!(fast.known() && slow.known());
}

/// Whatever comes in, expectations stay finite and never below zero.
#[test]
fn any_measurement_leaves_sane_expectations() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut learned = Learned::default();
    let mut pace = Pace::default();
    for _ in 0..5000 {
        let exponent = rng.random_range(0.0..20.0_f64);
        let sample = Sample {
            took: rng.random_range(0.0..1.0) * exponent.exp2(),
            unread: rng.random_range(0..200_000),
            held: rng.random_range(0..100_000),
            ahead: rng.random_range(0..1_000_000),
        };
        let stage = if rng.random() {
            Stage::Prefill
        } else {
            Stage::Decode
        };
        learned.read(stage, &sample, &mut pace);
        learned.paused(rng.random_range(0.0..5000.0), &mut pace);
        let work = learned.tokens(50_000, 10_000);
        let reading = learned.reading(stage, pace, work);
        assert!(
            reading.is_finite() && reading >= 0.0 && work < 100_000_000,
            "{learned:?}"
        );
    }
}
