//! The cost model, fed with samples of engines whose speed is known.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::event::Stage;
use super::{GapLoad, Sample, ServiceModel, Slowdown};

/// The real speed of an engine.
#[derive(Clone, Copy)]
struct EngineSpec {
    slowdown: f64,
    base: f64,
    token: f64,
    factor: f64,
}

impl EngineSpec {
    fn prefill_ms(self, uncached: u64, cached: u64, queued: u64) -> f64 {
        let pairs = super::attention::token_pairs(uncached, cached);
        let work = uncached as f64 + self.factor * pairs + queued as f64;
        self.base + work * self.token * self.slowdown
    }
}

/// Records prefills of 300 to 50,000 tokens at engines with these slowdowns.
fn learn(
    spec: EngineSpec,
    speeds: &[f64],
    prompts: u32,
    noise: f64,
) -> (ServiceModel, Vec<Slowdown>) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut model = ServiceModel::default();
    let mut slowdowns = vec![Slowdown::default(); speeds.len()];
    for prompt in 0..prompts {
        let at = rng.random_range(0..speeds.len());
        let engine = EngineSpec {
            slowdown: speeds[at],
            ..spec
        };
        let uncached = 300 * 2_u64.pow(prompt % 8) + rng.random_range(0..200);
        let cached = if prompt % 3 == 0 { 5000 } else { 0 };
        let took = engine.prefill_ms(uncached, cached, 0) * rng.random_range(1.0..=1.0 + noise);
        let sample = Sample {
            took,
            uncached,
            cached,
            queued: 0,
        };
        model.record_prefill(Stage::Prefill, &sample, &mut slowdowns[at]);
    }
    (model, slowdowns)
}

const SPEC: EngineSpec = EngineSpec {
    slowdown: 1.0,
    base: 47.0,
    token: 0.009,
    factor: 1.7e-5,
};

/// Returns the relative error of an expected time.
fn error(
    model: &ServiceModel,
    slowdown: Slowdown,
    spec: EngineSpec,
    uncached: u64,
    cached: u64,
) -> f64 {
    let work = model.equivalent_tokens(uncached, cached);
    let expected = model.base_ms(Stage::Prefill) + model.prefill_ms(Stage::Prefill, slowdown, work);
    expected / spec.prefill_ms(uncached, cached, 0) - 1.0
}

macro_rules! expects {
    ($($name:ident: $spec:expr, $speeds:expr, $noise:expr => $max:expr;)*) => {$(
        #[test]
        fn $name() {
            let spec: EngineSpec = $spec;
            let speeds: &[f64] = &$speeds;
            let (model, slowdowns) = learn(spec, speeds, 2000, $noise);
            for (engine, slowdown) in speeds.iter().zip(slowdowns) {
                let spec = EngineSpec { slowdown: *engine, ..spec };
                for (uncached, cached) in [(600, 0), (2000, 0), (6000, 5000), (20_000, 0), (45_000, 9000)] {
                    let error = error(&model, slowdown, spec, uncached, cached);
                    assert!(error.abs() < $max, "slowdown {engine}, {uncached} {cached}: {error:.3}");
                }
            }
        }
    )*};
}

// These times decide whether a prompt is in time, and admitted: the largest prompts leave a margin
// of a tenth of half a second.
expects! {
    engines_of_equal_speed: SPEC, [1.0, 1.0], 0.0 => 0.1;
    engines_of_different_speed: SPEC, [0.6, 1.4, 1.4], 0.0 => 0.1;
    no_attention_cost: EngineSpec { factor: 0.0, ..SPEC }, [0.6, 1.4], 0.0 => 0.1;
    high_attention_cost: EngineSpec { factor: 5e-5, ..SPEC }, [0.6, 1.4], 0.0 => 0.1;
    slow_prefill: EngineSpec { token: 0.05, ..SPEC }, [1.0, 2.0], 0.0 => 0.1;
    // Times that are a tenth too long on average look the same as a slower engine.
    noisy_measurements: SPEC, [0.6, 1.4], 0.2 => 0.25;
}

/// One answer is late for a reason outside of its engine. Guards against an estimate that follows
/// the outlier in full, and against one that does not recover after some normal answers.
#[test]
fn one_outlier_changes_little() {
    let (mut model, mut slowdowns) = learn(SPEC, &[1.0], 500, 0.0);
    let slowdown = &mut slowdowns[0];
    let outlier = Sample {
        took: 4000.0,
        uncached: 8000,
        ..Sample::default()
    };
    model.record_prefill(Stage::Prefill, &outlier, slowdown);
    assert!(slowdown.factor < 4.0, "{slowdown:?}");
    for _ in 0..30 {
        let took = SPEC.prefill_ms(8000, 0, 0);
        let sample = Sample { took, ..outlier };
        model.record_prefill(Stage::Prefill, &sample, slowdown);
    }
    assert!(error(&model, *slowdown, SPEC, 8000, 0).abs() < 0.15);
}

/// Before any sample, times must be finite and above zero, or no engine would be chosen.
#[test]
fn estimates_are_positive_before_any_measurement() {
    let model = ServiceModel::default();
    let work = model.equivalent_tokens(10_000, 0);
    assert_eq!(work, 10_000, "no growth before any was seen");
    assert!(model.prefill_ms(Stage::Decode, Slowdown::default(), work) > 0.0);
    assert!(model.event_gap_ms(Slowdown::default()).is_none());
}

/// Gaps between stream events reveal a slow engine also where it prefills nothing.
#[test]
fn event_gaps_reveal_a_slow_engine() {
    let mut model = ServiceModel::default();
    let (mut fast, mut slow) = (Slowdown::default(), Slowdown::default());
    for _ in 0..600 {
        model.record_event_gap(30.0, &mut fast);
        model.record_event_gap(72.0, &mut slow);
    }
    let ratio = slow.factor / fast.factor;
    assert!((2.0..2.8).contains(&ratio), "{ratio}");
    assert!(fast.is_known() && slow.is_known());
}

/// Whatever is measured, estimates stay finite and not negative.
#[test]
fn estimates_stay_finite_for_any_measurement() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut model = ServiceModel::default();
    let mut slowdown = Slowdown::default();
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
        model.record_prefill(stage, &sample, &mut slowdown);
        model.record_event_gap(rng.random_range(0.0..5000.0), &mut slowdown);
        let work = model.equivalent_tokens(50_000, 10_000);
        let prefill = model.prefill_ms(stage, slowdown, work);
        assert!(
            prefill.is_finite() && prefill >= 0.0 && work < 100_000_000,
            "{model:?}"
        );
    }
}

/// Real gap at an engine of average speed.
fn real_gap_ms(load: GapLoad) -> f64 {
    30.0 + 1.5 * f64::from(load.requests) + load.context as f64 * 1.5e-4
}

/// Requests with few and with many context tokens share engines of different speed, and prefills
/// lengthen a twentieth of the gaps five times. Guards against a gap that is estimated by the number of
/// requests alone, and against engines that count as slow because of their load.
#[test]
fn gaps_are_learned_by_requests_and_context() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut model = ServiceModel::default();
    let speeds = [0.8, 1.0, 1.3];
    let mut slowdowns = [Slowdown::default(); 3];
    for sample in 0..6000 {
        let at = rng.random_range(0..speeds.len());
        // The slowest engine has most of the load.
        let most = if at == 2 { 20 } else { 8 };
        let requests = rng.random_range(1..=most);
        let context = u64::from(requests) * rng.random_range(500..18_000);
        let load = GapLoad { requests, context };
        let delay = if sample % 20 == 0 { 5.0 } else { 1.0 };
        let gap = real_gap_ms(load) * speeds[at] * delay * rng.random_range(0.9..1.1);
        model.record_loaded_gap(gap, load, &mut slowdowns[at]);
    }
    for (at, speed) in speeds.into_iter().enumerate() {
        for (requests, context) in [(2, 2000), (11, 20_000), (11, 180_000), (18, 150_000)] {
            let load = GapLoad { requests, context };
            let expected = model.loaded_gap_ms(slowdowns[at], load).expect("measured");
            let error = expected / (real_gap_ms(load) * speed) - 1.0;
            assert!(error.abs() < 0.25, "{speed} {load:?}: {error:.2}");
        }
    }
}

/// Before enough gaps were measured the load changes nothing.
#[test]
fn the_mean_gap_counts_until_enough_were_measured() {
    let mut model = ServiceModel::default();
    let mut slowdown = Slowdown::default();
    let load = |requests| GapLoad {
        requests,
        context: u64::from(requests) * 10_000,
    };
    assert!(model.loaded_gap_ms(slowdown, load(1)).is_none());
    for sample in 0..50 {
        let requests = 1 + sample % 10;
        model.record_loaded_gap(real_gap_ms(load(requests)), load(requests), &mut slowdown);
    }
    let mean = model.event_gap_ms(slowdown);
    assert_eq!(model.loaded_gap_ms(slowdown, load(1)), mean);
    assert_eq!(model.loaded_gap_ms(slowdown, load(20)), mean);
}

/// Whatever is measured at whatever load, expected gaps stay finite, above zero, and do not fall
/// with the load.
#[test]
fn expected_gaps_stay_finite_for_any_measurement() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut model = ServiceModel::default();
    let mut slowdown = Slowdown::default();
    for _ in 0..5000 {
        let exponent = rng.random_range(0.0..12.0_f64);
        let load = GapLoad {
            requests: rng.random_range(0..100),
            context: rng.random_range(0..2_000_000),
        };
        let gap = rng.random_range(0.0..1.0) * exponent.exp2();
        model.record_loaded_gap(gap, load, &mut slowdown);
        let more = GapLoad {
            context: load.context * 2,
            ..load
        };
        let expected = [load, more].map(|load| model.loaded_gap_ms(slowdown, load));
        let [one, two] = expected.map(|gap| gap.expect("measured"));
        assert!(one.is_finite() && one > 0.0 && two >= one, "{one} {two}");
    }
}
