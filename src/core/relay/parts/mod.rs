//! Parts of prompts that crash the backend servers that begin to write an answer on them.

use super::event::{PrefixBlock, Prompt};

/// Maximum number of parts of one prompt that are considered.
const MAX_PROMPT_PARTS: usize = 32;
/// Bits of a part's id that the log of an attempt shows.
const SHORT_ID_MASK: u64 = 0xffff_ffff;

/// Returns the parts of a prompt that other requests may share: all but the last.
pub fn shared(prompt: Option<&Prompt>) -> &[PrefixBlock] {
    let blocks = prompt.map_or(&[][..], |prompt| &prompt.blocks);
    let shared = blocks.len().saturating_sub(1);
    &blocks[..shared.min(MAX_PROMPT_PARTS)]
}

/// Returns the shared parts of a prompt with shortened ids, for the log.
pub fn short_text(prompt: Option<&Prompt>) -> Box<str> {
    let ids = shared(prompt)
        .iter()
        .map(|block| format!("{:08x}", block.id & SHORT_ID_MASK));
    ids.collect::<Vec<_>>().join(",").into()
}
