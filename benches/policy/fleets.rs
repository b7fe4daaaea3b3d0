//! Orders that change the stages of an engine fleet's engines, under traffic that does not change.

use std::time::Duration;

use chiveway::core::Time;
use chiveway::core::relay::stages::{Demand, Split, planned_prefill};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Seconds of a run.
const LENGTH_SECS: u64 = 600;
/// Second at which one prefill engine in [`ENGINES_A_LOSS`] is lost.
const LOSS_AT_SECS: u64 = 300;
/// One prefill engine in so many is lost.
const ENGINES_A_LOSS: usize = 10;
/// Milliseconds between two plans.
const PLAN_MILLIS: u64 = 500;
/// Time that a change of stage takes.
const SWITCH_TIME: Duration = Duration::from_secs(3);
/// Fraction of the decode slots that are taken.
const DECODE_LOAD: f64 = 0.2;
/// Fraction of the engines that prefill where all are needed.
const PREFILL_FRACTION: f64 = 0.5;

/// A fleet of engines.
#[derive(Debug)]
pub struct Fleet {
    /// Name, also of its section in `bounds.ini`.
    pub name: &'static str,
    /// Engines.
    engines: usize,
    /// Those that prefill at first.
    prefill: usize,
    /// Mean number of prompts at a time, as a fraction of the prefill engines at first.
    load: f64,
}

const fn fleet(name: &'static str, engines: usize, prefill: usize, load: f64) -> Fleet {
    Fleet {
        name,
        engines,
        prefill,
        load,
    }
}

/// All fleets.
pub const FLEETS: &[Fleet] = &[
    fleet("12-idle", 12, 4, 0.02),
    fleet("12-half", 12, 4, 0.5),
    fleet("300-idle", 300, 100, 0.02),
    fleet("300-half", 300, 100, 0.5),
    fleet("300-busy", 300, 100, 0.95),
    fleet("3000-idle", 3_000, 1_000, 0.02),
    fleet("3000-few-prefill", 3_000, 250, 0.02),
    fleet("3000-half", 3_000, 1_000, 0.5),
    fleet("3000-busy", 3_000, 1_000, 0.95),
];

/// Returns the number of orders that a fleet gets.
pub fn count_orders(fleet: &Fleet, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut demand = Demand::default();
    let (mut engines, mut prefill, mut orders) = (fleet.engines, fleet.prefill, 0);
    for tick in 0..LENGTH_SECS * 1_000 / PLAN_MILLIS {
        let millis = tick * PLAN_MILLIS;
        if millis == LOSS_AT_SECS * 1_000 {
            let lost = prefill.div_ceil(ENGINES_A_LOSS);
            engines -= lost;
            prefill -= lost;
        }
        let prompts = draw_prompts(fleet.load * fleet.prefill as f64, &mut rng);
        let busy = prefill.min(prompts as usize);
        demand.record(prompts, busy, prefill, Time::from_millis(millis));
        let split = Split {
            engines,
            prefill,
            prompts: 0.0,
            decode_load: DECODE_LOAD,
            fraction: PREFILL_FRACTION,
            switch_time: SWITCH_TIME,
        };
        let wanted = planned_prefill(split, demand);
        orders += wanted.abs_diff(prefill);
        prefill = wanted;
    }
    orders
}

/// Draws the number of prompts at a time, Poisson distributed.
fn draw_prompts(mean: f64, rng: &mut SmallRng) -> u32 {
    let (mut prompts, mut at) = (0, 0.0);
    loop {
        at -= (1.0 - rng.random::<f64>()).ln();
        if at >= mean {
            return prompts;
        }
        prompts += 1;
    }
}
