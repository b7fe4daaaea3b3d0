//! The cases that are run.

use std::f64::consts::TAU;

use crate::trace::{BUZKULUBE, Case, FRISTVAGT, Fault, Site};

/// Work asked for in most cases, against what all engines can do.
const LOAD: f64 = 0.7;
/// Length of most cases in seconds.
const LENGTH: f64 = 180.0;

const fn case(name: &'static str, site: &'static Site) -> Case {
    Case {
        name,
        site,
        length: LENGTH,
        mix: steady,
        load: usual,
        lag: 2.0,
        slow: 1.0,
        fault: Fault::None,
        hot: 0.0,
        eager: None,
    }
}

fn usual(_: f64) -> f64 {
    LOAD
}

/// Long requests are a sixth: prefill is about 28 % of the work.
fn steady(_: f64) -> f64 {
    0.17
}

fn sudden(at: f64) -> f64 {
    if at < 60.0 { 0.05 } else { 0.55 }
}

fn slow(at: f64) -> f64 {
    0.05 + 0.5 * (at / LENGTH)
}

/// Turns over faster than an engine changes its role.
fn oscillating(at: f64) -> f64 {
    if ((at / 10.0) as u64).is_multiple_of(2) {
        0.05
    } else {
        0.35
    }
}

fn once(at: f64) -> f64 {
    if (60.0..100.0).contains(&at) {
        0.5
    } else {
        0.08
    }
}

/// A day in four minutes: prefill goes from 14 % to 42 % of the work and back.
fn daily(at: f64) -> f64 {
    0.20 - 0.17 * (at / 240.0 * TAU).cos()
}

/// The late-night peak: more of everything, and more long requests.
fn night(at: f64) -> f64 {
    0.1 + 0.35 * hump(at)
}

fn night_load(at: f64) -> f64 {
    0.45 + 0.4 * hump(at)
}

fn hump(at: f64) -> f64 {
    let far = (at - 100.0) / 40.0;
    (1.0 - far * far).max(0.0)
}

fn half(_: f64) -> f64 {
    0.5
}

fn full(_: f64) -> f64 {
    1.0
}

fn twice(_: f64) -> f64 {
    2.0
}

fn storm(at: f64) -> f64 {
    if (60.0..80.0).contains(&at) { 1.6 } else { 0.6 }
}

/// All cases.
pub const CASES: &[Case] = &[
    case("frist-steady", &FRISTVAGT),
    Case {
        mix: night,
        load: night_load,
        ..case("frist-night", &FRISTVAGT)
    },
    Case {
        mix: sudden,
        ..case("frist-sudden", &FRISTVAGT)
    },
    Case {
        mix: slow,
        ..case("frist-slow", &FRISTVAGT)
    },
    Case {
        mix: oscillating,
        ..case("frist-oscillating", &FRISTVAGT)
    },
    Case {
        mix: once,
        ..case("frist-once", &FRISTVAGT)
    },
    Case {
        mix: daily,
        length: 240.0,
        ..case("frist-daily", &FRISTVAGT)
    },
    Case {
        mix: daily,
        length: 240.0,
        lag: 0.0,
        ..case("frist-lag-0", &FRISTVAGT)
    },
    Case {
        mix: daily,
        length: 240.0,
        lag: 10.0,
        ..case("frist-lag-10", &FRISTVAGT)
    },
    Case {
        slow: 0.2,
        load: half,
        ..case("frist-fifth-slow", &FRISTVAGT)
    },
    Case {
        mix: night,
        load: night_load,
        fault: Fault::Withdrawn(95.0),
        ..case("frist-withdrawn", &FRISTVAGT)
    },
    Case {
        load: half,
        ..case("frist-half", &FRISTVAGT)
    },
    Case {
        load: full,
        ..case("frist-full", &FRISTVAGT)
    },
    Case {
        load: twice,
        length: 120.0,
        ..case("frist-twice", &FRISTVAGT)
    },
    Case {
        hot: 0.4,
        load: half,
        ..case("frist-hot", &FRISTVAGT)
    },
    case("buz-steady", &BUZKULUBE),
    Case {
        mix: sudden,
        ..case("buz-sudden", &BUZKULUBE)
    },
    Case {
        mix: slow,
        ..case("buz-slow", &BUZKULUBE)
    },
    Case {
        mix: oscillating,
        ..case("buz-oscillating", &BUZKULUBE)
    },
    Case {
        mix: once,
        ..case("buz-once", &BUZKULUBE)
    },
    Case {
        mix: daily,
        length: 240.0,
        ..case("buz-daily", &BUZKULUBE)
    },
    Case {
        load: storm,
        fault: Fault::Crash(70.0),
        eager: Some(0.9),
        ..case("buz-storm", &BUZKULUBE)
    },
    Case {
        load: twice,
        length: 120.0,
        ..case("buz-twice", &BUZKULUBE)
    },
];
