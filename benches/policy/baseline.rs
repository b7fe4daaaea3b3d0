//! Routing to compare with: round robin, random, least reported load, and exact knowledge.

use rand::RngExt;
use rand::rngs::SmallRng;

use chiveway::core::event::Role;

use crate::engine::{BETWEEN, PREFILL, SLOTS, gap};

/// How a baseline chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Router {
    /// Each in turn, by host.
    Turn,
    /// Any.
    Random,
    /// Least by the last report, whatever its age.
    Report,
    /// Knows everything; refuses what would come late.
    Exact,
}

/// One engine as a baseline sees it.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Position.
    pub at: usize,
    /// Role.
    pub role: Role,
    /// Speed.
    pub speed: f64,
    /// Prompt tokens waiting, by report or exactly.
    pub prefill: u64,
    /// Streams and waiting jobs, by report or exactly.
    pub streams: u32,
    /// Prompt tokens that its cache saves for the request.
    pub cached: u64,
}

/// Engines chosen for one request; `None` where it is refused.
pub type Choice = Option<(Option<usize>, usize)>;

/// Chooses the engines for a request of this many prompt tokens.
pub fn choose(
    router: Router,
    turn: usize,
    rng: &mut SmallRng,
    seen: &[Seen],
    prompt: u32,
) -> Choice {
    let of = |role: Role| -> Vec<Seen> {
        let fits = seen.iter().filter(|seen| seen.role == role);
        fits.copied().collect()
    };
    let both = of(Role::Both);
    if !both.is_empty() {
        return pick(router, turn, rng, &both, prompt).map(|seen| (None, seen.at));
    }
    let prefill = pick(router, turn, rng, &of(Role::Prefill), prompt)?;
    let decode = pick_decode(router, turn, rng, &of(Role::Decode))?;
    Some((Some(prefill.at), decode.at))
}

fn pick(
    router: Router,
    turn: usize,
    rng: &mut SmallRng,
    seen: &[Seen],
    prompt: u32,
) -> Option<Seen> {
    if seen.is_empty() {
        return None;
    }
    match router {
        Router::Turn => Some(seen[turn % seen.len()]),
        Router::Random => Some(seen[rng.random_range(0..seen.len())]),
        Router::Report => seen.iter().copied().min_by_key(|seen| seen.prefill),
        Router::Exact => {
            let time = |seen: &Seen| {
                let tokens = seen.prefill + u64::from(prompt) - seen.cached.min(prompt.into());
                tokens as f64 / PREFILL / seen.speed
            };
            let best = seen
                .iter()
                .copied()
                .min_by(|one, other| time(one).total_cmp(&time(other)))?;
            // What is left of the wanted time once the answer has reached a decode engine.
            (time(&best) < EXACT_BOUND).then_some(best)
        }
    }
}

/// Prefill time that the exact router takes, in seconds.
const EXACT_BOUND: f64 = 0.70;

fn pick_decode(router: Router, turn: usize, rng: &mut SmallRng, seen: &[Seen]) -> Option<Seen> {
    if seen.is_empty() {
        return None;
    }
    match router {
        Router::Turn => Some(seen[turn % seen.len()]),
        Router::Random => Some(seen[rng.random_range(0..seen.len())]),
        Router::Report => seen.iter().copied().min_by_key(|seen| seen.streams),
        Router::Exact => {
            let gap = |seen: &Seen| gap(seen.streams as usize + 1, seen.speed);
            let free = seen.iter().copied().filter(|seen| {
                (seen.streams as usize) < SLOTS && gap(seen) <= BETWEEN as f64 * 0.9
            });
            free.min_by(|one, other| gap(one).total_cmp(&gap(other)))
        }
    }
}
