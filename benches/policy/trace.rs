//! Deployments, cases, and the requests of a case, drawn from a seed.

use std::rc::Rc;

use chiveway::core::event::Fingerprint;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{DECODE_TOKENS_PER_SEC, PREFILL_TOKENS_PER_SEC, TOKENS_PER_BLOCK};

/// Class of a request; a deployment has two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A grant agreement (Fristvagt) or a lake briefing (Buzkulübe).
    Long,
    /// A clause (Fristvagt) or a question about a hut (Buzkulübe).
    Short,
}

/// Size of the requests of a class.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Mean prompt tokens.
    pub prompt: u32,
    /// Leading prefix blocks shared by all prompts of a customer.
    pub shared_blocks: u32,
    /// Mean output tokens.
    pub output: u32,
}

impl Workload {
    /// Returns the mean engine seconds of prefill and of decode at speed 1.0.
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
    /// Long requests.
    pub long: Workload,
    /// Short requests.
    pub short: Workload,
    /// Weight of goodput in role decisions.
    pub goodput_weight: f64,
    /// Cost of a role change in role decisions, in engine seconds.
    pub change_cost: f64,
    /// Fraction of eager callers, which retry without regard to the retry-after time.
    pub eager_fraction: f64,
}

/// Nine engines behind eight hosts; long grant agreements and short clauses.
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
    change_cost: 5.0,
    eager_fraction: 0.1,
};

/// Twelve engines behind nine hosts; long lake briefings and short questions about huts.
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
    change_cost: 30.0,
    eager_fraction: 0.5,
};

/// Fault of engines during a case.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// The platform's list marks an engine as leaving from this second.
    Leaving(f64),
    /// Two engines crash at this second.
    Crash(f64),
}

/// One case.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name in the table and in the bounds.
    pub name: &'static str,
    /// Deployment.
    pub site: &'static Site,
    /// Duration in seconds.
    pub length_secs: f64,
    /// Fraction of the requests that are long, by second.
    pub long_fraction: fn(f64) -> f64,
    /// Offered load as a fraction of the capacity of all engines, by second.
    pub load: fn(f64) -> f64,
    /// Delay of load reports in seconds.
    pub report_lag_secs: f64,
    /// Speed of a fifth of the engines.
    pub slow_speed: f64,
    /// Fault that is injected.
    pub fault: Fault,
    /// Fraction of the requests that the hot customer sends on top of the offered load.
    pub hot_fraction: f64,
    /// Fraction of eager callers, if it differs from the deployment's.
    pub eager_fraction: Option<f64>,
}

/// Reaction of a caller to a refusal or a long wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryBehavior {
    /// Retries after the retry-after time.
    HonorsRetryAfter,
    /// Retries soon, without regard to the retry-after time.
    Eager,
}

/// One request of a caller, with its retries.
#[derive(Debug, Clone)]
pub struct Call {
    /// Time of the first try, in microseconds from the start.
    pub at_us: u64,
    /// Class.
    pub class: Class,
    /// Index of the customer.
    pub customer: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens of the answer.
    pub output: u32,
    /// Output tokens that the caller allows.
    pub max_output: u32,
    /// Hashes of the prompt's prefix blocks.
    pub blocks: Rc<[u64]>,
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Retry behavior of the caller.
    pub behavior: RetryBehavior,
}

/// Number of customers; the last one is the hot customer.
pub const CUSTOMER_COUNT: usize = 40;
/// Plans, assigned to customers in turn; the hot customer has the last plan to itself.
pub const PLANS: [&str; 4] = ["large", "middle", "small", "hot"];

/// Returns the speeds of a case's engines.
pub fn speeds(case: &Case) -> Vec<f64> {
    // Every fifth engine is slow, so that the slow engines are in different failure domains.
    let speed = |at: usize| if at % 5 == 2 { case.slow_speed } else { 1.0 };
    (0..case.site.engines).map(speed).collect()
}

/// Draws the requests of a case.
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
        // Squaring the draw makes some customers busier than others.
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
