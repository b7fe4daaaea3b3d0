//! Cases of the benchmark.

use std::f64::consts::TAU;

use crate::trace::{BUZKULUBE, Case, FRISTVAGT, Fault, Site};

/// Offered load in most cases, as a fraction of the capacity of all engines.
const USUAL_LOAD: f64 = 0.7;
/// Duration of most cases in seconds.
const LENGTH_SECS: f64 = 180.0;

const fn case(name: &'static str, site: &'static Site) -> Case {
    Case {
        name,
        site,
        length_secs: LENGTH_SECS,
        long_fraction: steady_mix,
        load: usual_load,
        report_lag_secs: 2.0,
        slow_speed: 1.0,
        fault: Fault::None,
        hot_fraction: 0.0,
        eager_fraction: None,
    }
}

fn usual_load(_: f64) -> f64 {
    USUAL_LOAD
}

/// A sixth of the requests are long: prefill is about 28 % of the work.
fn steady_mix(_: f64) -> f64 {
    0.17
}

fn sudden_shift(at: f64) -> f64 {
    if at < 60.0 { 0.05 } else { 0.55 }
}

fn slow_shift(at: f64) -> f64 {
    0.05 + 0.5 * (at / LENGTH_SECS)
}

/// Alternates faster than an engine changes its role.
fn oscillating(at: f64) -> f64 {
    if ((at / 10.0) as u64).is_multiple_of(2) {
        0.05
    } else {
        0.35
    }
}

fn single_burst(at: f64) -> f64 {
    if (60.0..100.0).contains(&at) {
        0.5
    } else {
        0.08
    }
}

/// A daily cycle in four minutes: prefill goes from 14 % to 42 % of the work and back.
fn daily_cycle(at: f64) -> f64 {
    0.20 - 0.17 * (at / 240.0 * TAU).cos()
}

/// Late-night peak: higher load and a larger fraction of long requests.
fn night_mix(at: f64) -> f64 {
    0.1 + 0.35 * peak(at)
}

fn night_load(at: f64) -> f64 {
    0.45 + 0.4 * peak(at)
}

fn peak(at: f64) -> f64 {
    let distance = (at - 100.0) / 40.0;
    (1.0 - distance * distance).max(0.0)
}

fn half_load(_: f64) -> f64 {
    0.5
}

fn full_load(_: f64) -> f64 {
    1.0
}

fn double_load(_: f64) -> f64 {
    2.0
}

fn storm_load(at: f64) -> f64 {
    if (60.0..80.0).contains(&at) { 1.6 } else { 0.6 }
}

/// All cases, in the order of the table.
pub const CASES: &[Case] = &[
    case("frist-steady", &FRISTVAGT),
    Case {
        long_fraction: night_mix,
        load: night_load,
        ..case("frist-night", &FRISTVAGT)
    },
    Case {
        long_fraction: sudden_shift,
        ..case("frist-sudden", &FRISTVAGT)
    },
    Case {
        long_fraction: slow_shift,
        ..case("frist-slow", &FRISTVAGT)
    },
    Case {
        long_fraction: oscillating,
        ..case("frist-oscillating", &FRISTVAGT)
    },
    Case {
        long_fraction: single_burst,
        ..case("frist-once", &FRISTVAGT)
    },
    Case {
        long_fraction: daily_cycle,
        length_secs: 240.0,
        ..case("frist-daily", &FRISTVAGT)
    },
    Case {
        long_fraction: daily_cycle,
        length_secs: 240.0,
        report_lag_secs: 0.0,
        ..case("frist-lag-0", &FRISTVAGT)
    },
    Case {
        long_fraction: daily_cycle,
        length_secs: 240.0,
        report_lag_secs: 10.0,
        ..case("frist-lag-10", &FRISTVAGT)
    },
    Case {
        slow_speed: 0.2,
        load: half_load,
        ..case("frist-fifth-slow", &FRISTVAGT)
    },
    Case {
        long_fraction: night_mix,
        load: night_load,
        fault: Fault::Leaving(95.0),
        ..case("frist-withdrawn", &FRISTVAGT)
    },
    Case {
        load: half_load,
        ..case("frist-half", &FRISTVAGT)
    },
    Case {
        load: full_load,
        ..case("frist-full", &FRISTVAGT)
    },
    Case {
        load: double_load,
        length_secs: 120.0,
        ..case("frist-twice", &FRISTVAGT)
    },
    Case {
        hot_fraction: 0.4,
        load: half_load,
        ..case("frist-hot", &FRISTVAGT)
    },
    case("buz-steady", &BUZKULUBE),
    Case {
        long_fraction: sudden_shift,
        ..case("buz-sudden", &BUZKULUBE)
    },
    Case {
        long_fraction: slow_shift,
        ..case("buz-slow", &BUZKULUBE)
    },
    Case {
        long_fraction: oscillating,
        ..case("buz-oscillating", &BUZKULUBE)
    },
    Case {
        long_fraction: single_burst,
        ..case("buz-once", &BUZKULUBE)
    },
    Case {
        long_fraction: daily_cycle,
        length_secs: 240.0,
        ..case("buz-daily", &BUZKULUBE)
    },
    Case {
        load: storm_load,
        fault: Fault::Crash(70.0),
        eager_fraction: Some(0.9),
        ..case("buz-storm", &BUZKULUBE)
    },
    Case {
        load: double_load,
        length_secs: 120.0,
        ..case("buz-twice", &BUZKULUBE)
    },
];
