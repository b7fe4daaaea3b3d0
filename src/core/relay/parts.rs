//! Prompt parts that engines hold, and which engine a part is fetched from.
//!
//! Requests share the first parts of their prompts. An engine that lacks a part can copy it from
//! one that holds it: 13,000 tokens take some 10 ms over the engines' links and 250 ms or more to
//! be read again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::super::Core;
use super::super::key::BackendKey;
use super::super::time::Time;
use super::Call;
use super::catalog::Engine;
use super::event::{Prompt, PromptPart};
use super::instance::Instance;

/// Parts with fewer tokens are not tracked: to read them again costs less than to tell of them.
///
/// Down from 256 it saved a ninth of what is read again where two of three shared parts have 80 to
/// 350 tokens.
pub const LEAST: u64 = 64;
/// Part of an engine's memory that is taken to hold shared parts; running requests take the rest.
/// With 0.6, 0.9 and 3 of it 9.4, 10.3 and 18.9 million tokens were read again in a day: what is
/// taken for held and is not is read by an engine that was expected to copy it.
const MEMORY: f64 = 0.7;
/// Tokens that must be saved for a part to be fetched: the call to the other engine takes as long
/// as some 200 tokens take to be read, and competes with hand-overs for its link.
const FETCH_LEAST: u64 = 150;
/// Milliseconds that a fetch takes beside the transfer itself.
const FETCH_CALL: f64 = 5.0;
/// Times as long a transfer takes between failure domains.
const FAR: f64 = 2.0;

/// A prompt part that an engine holds, or is about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// When it was last used.
    pub used: Time,
    /// When the engine has read it, as far as can be told.
    pub ready: Time,
    /// Its tokens.
    pub tokens: u64,
}

/// An engine that holds more of a prompt than others of its failure domain.
#[derive(Debug, Clone)]
pub struct Holder {
    backend: BackendKey,
    domain: Box<str>,
    addr: SocketAddr,
    tokens: u64,
}

/// A copy of prompt parts from one engine to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fetch {
    /// Where the engine listens that holds them.
    pub from: SocketAddr,
    /// Tokens that need not be read.
    pub tokens: u64,
    /// Milliseconds that it takes.
    pub takes: f64,
}

/// Returns the parts of a prompt that other requests may share: all but the last.
pub fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[][..], |(_, shared)| shared)
}

/// Returns the first tokens of a prompt that an engine holds by a time.
///
/// A part that it has read counts only if it has all parts before it, too.
fn held(instance: &Instance, prompt: &Prompt, by: Option<Time>) -> u64 {
    let holds = |part: &PromptPart| {
        let known = instance.blocks.get(&part.id);
        part.tokens < LEAST || known.is_some_and(|known| by.is_none_or(|by| known.ready <= by))
    };
    let held = shared(&prompt.parts).iter().take_while(|part| holds(part));
    held.map(|part| part.tokens).sum()
}

/// Returns the tokens of a prompt that an engine has yet to read, if it fetches nothing.
#[must_use]
pub fn unread(instance: &Instance, prompt: &Prompt) -> u64 {
    // What waits to be read there is read before this prompt.
    prompt.tokens.saturating_sub(held(instance, prompt, None))
}

/// Returns the shared tokens of a prompt that an engine does not hold.
#[must_use]
pub fn missing(instance: &Instance, prompt: &Prompt) -> u64 {
    let all: u64 = shared(&prompt.parts).iter().map(|part| part.tokens).sum();
    all.saturating_sub(held(instance, prompt, None))
}

/// Returns the engine of each failure domain that holds most of a prompt now.
pub fn holders(core: &Core, call: &Call, prompt: &Prompt) -> Vec<Holder> {
    let mut most: BTreeMap<&str, Holder> = BTreeMap::new();
    for key in core.relay.instances.of(&call.service) {
        let instance = &core.relay.instances.arena[*key];
        if !instance.is_available(core.now) || call.tried.contains(key) {
            continue;
        }
        let tokens = held(instance, prompt, Some(core.now));
        let best = most.get(&*instance.domain).map_or(0, |best| best.tokens);
        if tokens >= FETCH_LEAST && tokens > best {
            let holder = Holder {
                backend: *key,
                domain: instance.domain.clone(),
                addr: instance.addr,
                tokens,
            };
            most.insert(&instance.domain, holder);
        }
    }
    most.into_values().collect()
}

/// Returns what an engine should fetch of a prompt before it reads the rest: most tokens first,
/// from its own failure domain if that holds as many.
#[must_use]
pub fn fetch(
    instance: &Instance,
    key: BackendKey,
    unread: u64,
    prompt: &Prompt,
    holders: &[Holder],
    engine: &Engine,
) -> Option<Fetch> {
    let others = holders.iter().filter(|holder| holder.backend != key);
    let best = others.max_by_key(|holder| (holder.tokens, holder.domain == instance.domain))?;
    let known = prompt.tokens.saturating_sub(unread);
    // A caller may name parts that are longer than its whole prompt.
    let tokens = best.tokens.saturating_sub(known).min(unread);
    if tokens < FETCH_LEAST || engine.link <= 0.0 {
        return None;
    }
    let far = best.domain != instance.domain;
    let takes = transfer(engine, tokens) * if far { FAR } else { 1.0 };
    Some(Fetch {
        from: best.addr,
        tokens,
        takes: takes + FETCH_CALL,
    })
}

/// Returns the milliseconds that the transfer of tokens' KV cache takes within a failure domain.
#[must_use]
pub fn transfer(engine: &Engine, tokens: u64) -> f64 {
    if engine.link <= 0.0 {
        return 0.0;
    }
    (tokens * engine.token * 8) as f64 / (engine.link * 1000.0)
}

/// Notes that an engine holds the shared parts of a prompt after a while.
pub fn remember(instance: &mut Instance, prompt: &Prompt, now: Time, after: Duration) {
    // What was fetched with a KV cache is kept like what was read.
    for part in shared(&prompt.parts) {
        note(instance, part.id, part.tokens, now, now.after(after));
    }
}

/// Notes that an engine holds a part from some time on.
pub fn note(instance: &mut Instance, id: u64, tokens: u64, now: Time, ready: Time) {
    if tokens < LEAST {
        return;
    }
    let part = Part {
        used: now,
        ready,
        tokens,
    };
    let known = instance.blocks.entry(id).or_insert(part);
    known.used = now;
    known.ready = known.ready.min(ready);
}

/// Notes what a prompt adds to an engine's memory, and which of its shared parts it then holds.
pub fn put(instance: &mut Instance, prompt: &Prompt, now: Time, after: Duration) {
    let output = prompt.hint.unwrap_or(0).min(prompt.output);
    instance.add_fill(unread(instance, prompt) + output, now);
    remember(instance, prompt, now, after);
}

/// Forgets the parts that an engine has likely dropped: those that were not used since about as
/// many tokens were put into its memory as it holds.
///
/// All that passes through an engine takes memory, mostly prompts that no other request shares, and
/// what was used least recently is dropped for it. A part that is taken for held and is not makes
/// its engine read what was expected to be there, and everyone behind it wait; one that is held and
/// taken for dropped costs a copy of nothing.
pub fn forget(instance: &mut Instance, memory: u64, now: Time) {
    let fill = instance.work().fill_rate as f64;
    if fill > 0.0 {
        let life = memory as f64 / fill;
        instance
            .blocks
            .retain(|_, part| now.since(part.used).as_secs_f64() < life);
    }
    let most = memory as f64 * MEMORY;
    loop {
        let sum: u64 = instance.blocks.values().map(|part| part.tokens).sum();
        if sum as f64 <= most {
            return;
        }
        let oldest = instance.blocks.iter().min_by_key(|(_, part)| part.used);
        let Some(oldest) = oldest.map(|(part, _)| *part) else {
            return;
        };
        instance.blocks.remove(&oldest);
    }
}
