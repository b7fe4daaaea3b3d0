//! Baseline routers: round robin, random, least reported load, and exact knowledge of the engines.

use rand::RngExt;
use rand::rngs::SmallRng;

use chiveway::core::event::Role;

use crate::engine::{BATCH_SLOTS, PREFILL_TOKENS_PER_SEC, TOKEN_GAP_US, token_gap_us};

/// How a baseline chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Router {
    /// Round robin, counted by each host.
    RoundRobin,
    /// Uniformly random.
    Random,
    /// Least load in the last report, whatever its age.
    LeastReported,
    /// Uses the exact state of all engines, and refuses requests that would be late.
    Exact,
}

/// State of one engine that a baseline routes by.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index of the engine.
    pub at: usize,
    /// Role.
    pub role: Role,
    /// Speed, 1.0 for a nominal engine.
    pub speed: f64,
    /// Prompt tokens not yet prefilled, as reported or exact.
    pub prefill_tokens: u64,
    /// Running streams and waiting jobs, as reported or exact.
    pub streams: u32,
    /// Prompt tokens of the request that are in the prefix cache.
    pub cached_tokens: u64,
}

/// Prefill engine, if the request is split, and decode engine; `None` if the request is refused.
pub type Choice = Option<(Option<usize>, usize)>;

/// Chooses the engines for a request with this many prompt tokens.
pub fn choose(
    router: Router,
    turn: usize,
    rng: &mut SmallRng,
    candidates: &[Candidate],
    prompt_tokens: u32,
) -> Choice {
    let with_role = |role: Role| -> Vec<Candidate> {
        let matching = candidates.iter().filter(|candidate| candidate.role == role);
        matching.copied().collect()
    };
    let combined = with_role(Role::Both);
    if !combined.is_empty() {
        return choose_prefill(router, turn, rng, &combined, prompt_tokens)
            .map(|candidate| (None, candidate.at));
    }
    let prefill = choose_prefill(router, turn, rng, &with_role(Role::Prefill), prompt_tokens)?;
    let decode = choose_decode(router, turn, rng, &with_role(Role::Decode))?;
    Some((Some(prefill.at), decode.at))
}

fn choose_prefill(
    router: Router,
    turn: usize,
    rng: &mut SmallRng,
    candidates: &[Candidate],
    prompt_tokens: u32,
) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    match router {
        Router::RoundRobin => Some(candidates[turn % candidates.len()]),
        Router::Random => Some(candidates[rng.random_range(0..candidates.len())]),
        Router::LeastReported => candidates
            .iter()
            .copied()
            .min_by_key(|candidate| candidate.prefill_tokens),
        Router::Exact => {
            let prefill_secs = |candidate: &Candidate| {
                let tokens = candidate.prefill_tokens + u64::from(prompt_tokens)
                    - candidate.cached_tokens.min(prompt_tokens.into());
                tokens as f64 / PREFILL_TOKENS_PER_SEC / candidate.speed
            };
            let best = candidates
                .iter()
                .copied()
                .min_by(|one, other| prefill_secs(one).total_cmp(&prefill_secs(other)))?;
            // The rest of the time-to-first-token target is for the handover to the decode engine.
            (prefill_secs(&best) < EXACT_MAX_PREFILL_SECS).then_some(best)
        }
    }
}

/// Prefill time in seconds from which the exact router refuses a request.
const EXACT_MAX_PREFILL_SECS: f64 = 0.70;

fn choose_decode(
    router: Router,
    turn: usize,
    rng: &mut SmallRng,
    candidates: &[Candidate],
) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    match router {
        Router::RoundRobin => Some(candidates[turn % candidates.len()]),
        Router::Random => Some(candidates[rng.random_range(0..candidates.len())]),
        Router::LeastReported => candidates
            .iter()
            .copied()
            .min_by_key(|candidate| candidate.streams),
        Router::Exact => {
            let gap_us = |candidate: &Candidate| {
                token_gap_us(candidate.streams as usize + 1, candidate.speed)
            };
            let free = candidates.iter().copied().filter(|candidate| {
                (candidate.streams as usize) < BATCH_SLOTS
                    && gap_us(candidate) <= TOKEN_GAP_US as f64 * 0.9
            });
            free.min_by(|one, other| gap_us(one).total_cmp(&gap_us(other)))
        }
    }
}
