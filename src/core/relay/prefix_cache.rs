//! Prefix blocks cached at engines, and from which engine they are fetched.
//!
//! Requests share the first blocks of their prompts. An engine without a block can copy it from one
//! that has it cached: 13,000 tokens take about 10 ms over the engines' links, and 250 ms or more
//! to prefill again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::super::Core;
use super::super::key::BackendKey;
use super::super::time::Time;
use super::catalog::Engine;
use super::event::{PrefixBlock, Prompt};
use super::instance::Instance;
use super::{Call, standby};

/// Blocks with fewer tokens are not tracked: prefilling them again costs less than reporting them.
///
/// A larger minimum leaves many blocks untracked where most shared ones are short (80 to 350
/// tokens), and these are prefilled again.
pub const MIN_BLOCK_TOKENS: u64 = 64;
/// Fraction of an engine's memory that is assumed to hold shared blocks; running requests take the
/// rest. A larger fraction assumes blocks to be cached that were evicted, and engines prefill again
/// what they were expected to have.
const SHARED_MEMORY_FRACTION: f64 = 0.7;
/// Tokens that a fetch must save: the call to the other engine takes as long as the prefill of
/// about 200 tokens, and competes with handovers for its link.
const MIN_FETCH_TOKENS: u64 = 150;
/// Time that a fetch takes in addition to the transfer.
const FETCH_OVERHEAD_MS: f64 = 5.0;
/// Factor by which a transfer takes longer between failure domains.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;

/// A prefix block that an engine has cached, or will have once it is prefilled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedBlock {
    /// When it was last used.
    pub last_used: Time,
    /// Estimated time from which it is cached.
    pub ready: Time,
    /// Its tokens.
    pub tokens: u64,
}

/// The engine of a failure domain that has most of a prompt cached.
#[derive(Debug, Clone)]
pub struct Holder {
    backend: BackendKey,
    domain: Box<str>,
    addr: SocketAddr,
    tokens: u64,
}

/// A copy of prefix blocks from one engine to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fetch {
    /// Address of the engine that has them cached.
    pub from: SocketAddr,
    /// Tokens that need no prefill.
    pub tokens: u64,
    /// Time that it takes.
    pub duration_ms: f64,
}

/// Returns the blocks of a prompt that other requests may share: all but the last.
pub fn shared_blocks(blocks: &[PrefixBlock]) -> &[PrefixBlock] {
    blocks.split_last().map_or(&[][..], |(_, shared)| shared)
}

/// Returns the tokens of a prompt's prefix that an engine has cached by a time.
///
/// A cached block counts only if all blocks before it are cached as well.
fn cached_tokens(instance: &Instance, prompt: &Prompt, by: Option<Time>) -> u64 {
    let is_cached = |block: &PrefixBlock| {
        let known = instance.blocks.get(&block.id);
        block.tokens < MIN_BLOCK_TOKENS
            || known.is_some_and(|known| by.is_none_or(|by| known.ready <= by))
    };
    let cached = shared_blocks(&prompt.blocks)
        .iter()
        .take_while(|block| is_cached(block));
    cached.map(|block| block.tokens).sum()
}

/// Returns the tokens of a prompt that an engine has to prefill, unless it fetches some.
#[must_use]
pub fn uncached_tokens(instance: &Instance, prompt: &Prompt) -> u64 {
    // Blocks still queued there are prefilled before this prompt.
    prompt
        .tokens
        .saturating_sub(cached_tokens(instance, prompt, None))
}

/// Returns the shared tokens of a prompt that an engine does not have cached.
#[must_use]
pub fn missing_tokens(instance: &Instance, prompt: &Prompt) -> u64 {
    let all: u64 = shared_blocks(&prompt.blocks)
        .iter()
        .map(|block| block.tokens)
        .sum();
    all.saturating_sub(cached_tokens(instance, prompt, None))
}

/// Returns the engine of each failure domain that has most of a prompt cached now.
///
/// The server of a silent or overdue attempt is none: what was expected to be cached there by now is not.
pub fn holders(core: &Core, call: &Call, prompt: &Prompt) -> Vec<Holder> {
    let mut best_by_domain: BTreeMap<&str, Holder> = BTreeMap::new();
    let left = standby::server(core, call.standby);
    for key in core.relay.instances.of(&call.service) {
        let instance = &core.relay.instances.arena[*key];
        if !instance.is_available(core.now) || call.tried.contains(key) || left == Some(*key) {
            continue;
        }
        let tokens = cached_tokens(instance, prompt, Some(core.now));
        let best = best_by_domain
            .get(&*instance.domain)
            .map_or(0, |best| best.tokens);
        if tokens >= MIN_FETCH_TOKENS && tokens > best {
            let holder = Holder {
                backend: *key,
                domain: instance.domain.clone(),
                addr: instance.addr,
                tokens,
            };
            best_by_domain.insert(&instance.domain, holder);
        }
    }
    best_by_domain.into_values().collect()
}

/// Returns what an engine should fetch of a prompt before it prefills the rest: from the engine
/// with most tokens, of its own failure domain if that has as many.
#[must_use]
pub fn best_fetch(
    instance: &Instance,
    key: BackendKey,
    uncached: u64,
    prompt: &Prompt,
    holders: &[Holder],
    engine: &Engine,
) -> Option<Fetch> {
    let others = holders.iter().filter(|holder| holder.backend != key);
    let best = others.max_by_key(|holder| (holder.tokens, holder.domain == instance.domain))?;
    let cached = prompt.tokens.saturating_sub(uncached);
    // A caller may declare blocks that are longer than its whole prompt.
    let tokens = best.tokens.saturating_sub(cached).min(uncached);
    if tokens < MIN_FETCH_TOKENS || engine.link_mbps <= 0.0 {
        return None;
    }
    let cross_domain = best.domain != instance.domain;
    let transfer = transfer_ms(engine, tokens)
        * if cross_domain {
            CROSS_DOMAIN_FACTOR
        } else {
            1.0
        };
    Some(Fetch {
        from: best.addr,
        tokens,
        duration_ms: transfer + FETCH_OVERHEAD_MS,
    })
}

/// Returns the time to transfer the KV cache of so many tokens within a failure domain.
#[must_use]
pub fn transfer_ms(engine: &Engine, tokens: u64) -> f64 {
    if engine.link_mbps <= 0.0 {
        return 0.0;
    }
    (tokens * engine.token_bytes * 8) as f64 / (engine.link_mbps * 1000.0)
}

/// Records that an engine has the shared blocks of a prompt cached after some time.
pub fn record_shared_blocks(instance: &mut Instance, prompt: &Prompt, now: Time, after: Duration) {
    // Blocks that came with a transferred KV cache are kept like prefilled ones.
    for block in shared_blocks(&prompt.blocks) {
        record_block(instance, block.id, block.tokens, now, now.after(after));
    }
}

/// Records that an engine has a block cached from a time on.
pub fn record_block(instance: &mut Instance, id: u64, tokens: u64, now: Time, ready: Time) {
    if tokens < MIN_BLOCK_TOKENS {
        return;
    }
    let block = CachedBlock {
        last_used: now,
        ready,
        tokens,
    };
    let known = instance.blocks.entry(id).or_insert(block);
    known.last_used = now;
    known.ready = known.ready.min(ready);
}

/// Records what a prompt adds to an engine's memory, and the shared blocks that are then cached.
pub fn record_prompt(instance: &mut Instance, prompt: &Prompt, now: Time, after: Duration) {
    let output = prompt.output_hint.unwrap_or(0).min(prompt.max_output);
    instance.add_fill(uncached_tokens(instance, prompt) + output, now);
    record_shared_blocks(instance, prompt, now, after);
}

/// Drops the blocks that an engine has probably evicted: those not used while about as many tokens
/// were added to its memory as it holds.
///
/// Every prompt evicts the least recently used blocks, mostly for tokens that no other request shares.
/// A block wrongly assumed to be cached is prefilled unexpectedly, and all requests behind wait; one
/// wrongly dropped costs a needless fetch.
pub fn drop_evicted(instance: &mut Instance, memory: u64, now: Time) {
    let fill = instance.work().fill_rate as f64;
    if fill > 0.0 {
        let lifetime = memory as f64 / fill;
        instance
            .blocks
            .retain(|_, block| now.since(block.last_used).as_secs_f64() < lifetime);
    }
    let capacity = memory as f64 * SHARED_MEMORY_FRACTION;
    loop {
        let sum: u64 = instance.blocks.values().map(|block| block.tokens).sum();
        if sum as f64 <= capacity {
            return;
        }
        let oldest = instance
            .blocks
            .iter()
            .min_by_key(|(_, block)| block.last_used);
        let Some(oldest) = oldest.map(|(id, _)| *id) else {
            return;
        };
        instance.blocks.remove(&oldest);
    }
}
