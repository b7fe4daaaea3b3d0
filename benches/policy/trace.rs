//! What callers ask, when, and what goes wrong meanwhile: drawn from a seed.

use std::rc::Rc;

use chiveway::core::event::Fingerprint;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{DECODE_TOKENS_PER_SEC, PREFILL_TOKENS_PER_SEC, TOKENS_PER_BLOCK};

/// The two jobs of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Grant agreement, or lake briefing.
    Long,
    /// Clause, or hut question.
    Short,
}

/// One kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Mean prompt tokens.
    pub prompt: u32,
    /// Pieces at the start that a customer's prompts share.
    pub shared_blocks: u32,
    /// Mean tokens generated.
    pub output: u32,
}

impl Workload {
    /// Returns the engine seconds of one request, prefill and decode, at full speed.
    pub fn engine_secs(&self) -> (f64, f64) {
        (
            f64::from(self.prompt) / PREFILL_TOKENS_PER_SEC,
            f64::from(self.output) / DECODE_TOKENS_PER_SEC,
        )
    }
}

/// One deployment.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name of the model.
    pub model: &'static str,
    /// Engines.
    pub engines: usize,
    /// Hosts.
    pub hosts: usize,
    /// The large job.
    pub long: Workload,
    /// The small job.
    pub short: Workload,
    /// Weight of goodput.
    pub goodput_weight: f64,
    /// Weight of a role change in engine seconds.
    pub change_weight: f64,
    /// Part of the callers who send again at once and do not wait as told.
    pub eager_fraction: f64,
}

/// Nine workers behind eight hosts; a grant agreement against a clause.
pub const FRISTVAGT: Site = Site {
    model: "raadgiver",
    engines: 9,
    hosts: 8,
    long: Workload {
        prompt: 6_000,
        shared_blocks: 1,
        output: 350,
    },
    short: Workload {
        prompt: 400,
        shared_blocks: 0,
        output: 300,
    },
    goodput_weight: 4.0,
    change_weight: 5.0,
    eager_fraction: 0.1,
};

/// Twelve workers behind nine hosts; a lake briefing against a hut question.
pub const BUZKULUBE: Site = Site {
    model: "buz-llm",
    engines: 12,
    hosts: 9,
    long: Workload {
        prompt: 6_000,
        shared_blocks: 1,
        output: 500,
    },
    short: Workload {
        prompt: 200,
        shared_blocks: 0,
        output: 150,
    },
    goodput_weight: 1.0,
    change_weight: 30.0,
    eager_fraction: 0.5,
};

/// Something that goes wrong with one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The platform's list calls an engine leaving at this second.
    Leaving(f64),
    /// Two engines die at this second.
    Crash(f64),
}

/// One case.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name, as in the table and the bounds.
    pub name: &'static str,
    /// Deployment.
    pub site: &'static Site,
    /// Length in seconds.
    pub length_secs: f64,
    /// Part of the requests that are long, by second.
    pub long_fraction: fn(f64) -> f64,
    /// Work asked for against what all engines can do, by second.
    pub load: fn(f64) -> f64,
    /// Lag of load reports in seconds.
    pub report_lag_secs: f64,
    /// Speed of a fifth of the engines.
    pub slow_speed: f64,
    /// What goes wrong.
    pub fault: Fault,
    /// Part of the requests that one customer sends on top of the others.
    pub hot_fraction: f64,
    /// Part of the callers who are eager, where it is not the site's.
    pub eager_fraction: Option<f64>,
}

/// How a caller takes a refusal or a long wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryBehavior {
    /// Comes back when it was told to.
    HonorsRetryAfter,
    /// Sends again soon, whatever it was told.
    Eager,
}

/// One request as its caller means it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Microseconds from the start.
    pub at_us: u64,
    /// Which job.
    pub class: Class,
    /// Customer.
    pub customer: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens that the answer will have.
    pub output: u32,
    /// Tokens that the caller allows.
    pub max_output: u32,
    /// Pieces of the prompt.
    pub blocks: Rc<[u64]>,
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// How the caller behaves.
    pub behavior: RetryBehavior,
}

/// Customers; the last one is the hot one.
pub const CUSTOMER_COUNT: usize = 40;
/// Plans; customers take turns, and the hot one has the last plan to itself.
pub const PLANS: [&str; 4] = ["large", "middle", "small", "hot"];

/// Returns the speeds of a case's engines.
pub fn speeds(case: &Case) -> Vec<f64> {
    // Every fifth engine, so that slow ones fall into different failure domains.
    let speed = |at: usize| if at % 5 == 2 { case.slow_speed } else { 1.0 };
    (0..case.site.engines).map(speed).collect()
}

/// Draws the calls of a case.
pub fn calls(case: &Case, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total: f64 = speeds(case).iter().sum();
    let mut calls = Vec::new();
    let mut at = 0.0;
    loop {
        let long_fraction = (case.long_fraction)(at);
        let cost = |work: &Workload| work.engine_secs().0 + work.engine_secs().1;
        let mean =
            long_fraction * cost(&case.site.long) + (1.0 - long_fraction) * cost(&case.site.short);
        let rate = (case.load)(at) * total / mean / (1.0 - case.hot_fraction);
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= case.length_secs {
            return calls;
        }
        calls.push(call(case, at, long_fraction, &mut rng));
    }
}

fn call(case: &Case, at: f64, long_fraction: f64, rng: &mut SmallRng) -> Call {
    let long = rng.random::<f64>() < long_fraction;
    let (class, work) = if long {
        (Class::Long, &case.site.long)
    } else {
        (Class::Short, &case.site.short)
    };
    let customer = if rng.random::<f64>() < case.hot_fraction {
        CUSTOMER_COUNT - 1
    } else {
        // The square makes some customers busier than others.
        let draw = rng.random::<f64>();
        (draw * draw * (CUSTOMER_COUNT - 1) as f64) as usize
    };
    let vary = |mean: u32, rng: &mut SmallRng| {
        let factor = 0.5 + rng.random::<f64>();
        (f64::from(mean) * factor) as u32
    };
    let prompt = vary(work.prompt, rng);
    let output = vary(work.output, rng).max(2);
    let count = u64::from(prompt) / TOKENS_PER_BLOCK;
    let blocks = (0..count).map(|block| {
        let shared = block < u64::from(work.shared_blocks);
        if shared {
            1 + customer as u64 * 64 + block
        } else {
            rng.random::<u64>() | 1 << 63
        }
    });
    let blocks: Rc<[u64]> = blocks.collect();
    let eager = rng.random::<f64>() < case.eager_fraction.unwrap_or(case.site.eager_fraction);
    Call {
        at_us: (at * 1e6) as u64,
        class,
        customer,
        prompt,
        output,
        max_output: work.output * 2,
        blocks,
        fingerprint: Fingerprint(rng.random()),
        behavior: if eager {
            RetryBehavior::Eager
        } else {
            RetryBehavior::HonorsRetryAfter
        },
    }
}
