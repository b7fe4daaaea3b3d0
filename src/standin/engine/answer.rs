//! Deterministic answers: a pure function of model and prompt, so that any caller can check them.

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Vocabulary of the answers; its size is a power of two.
const WORDS: [&str; 32] = [
    "amber", "birch", "cedar", "delta", "ember", "fjord", "glade", "heath", "inlet", "juniper",
    "knoll", "larch", "marsh", "north", "ocean", "pine", "quartz", "ridge", "spruce", "tundra",
    "upland", "vale", "willow", "yarrow", "zenith", "brook", "cliff", "dune", "grove", "harbor",
    "isle", "lagoon",
];
/// Increment of the `SplitMix64` generator; it is odd.
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Seed of an answer: a hash of model and prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed(u64);

/// Returns the seed of the answer to `prompt`.
#[must_use]
pub fn seed(model: &str, prompt: &str) -> Seed {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(prompt.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Seed(u64::from_le_bytes(first))
}

/// Returns the word of token `i`, without the space before it.
#[must_use]
pub fn word(seed: Seed, i: u64) -> &'static str {
    let mut z = seed
        .0
        .wrapping_add(i.wrapping_add(1).wrapping_mul(SPLITMIX64_INCREMENT));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let index = (z ^ (z >> 31)) % WORDS.len() as u64;
    WORDS[usize::try_from(index).unwrap_or(0)]
}

/// Appends tokens `from..to` to `text`; each except token 0 begins with a space.
pub fn write_tokens(text: &mut String, seed: Seed, from: u64, to: u64) {
    for i in from..to {
        if i > 0 {
            text.push(' ');
        }
        text.push_str(word(seed, i));
    }
}

/// Returns the first `n` tokens of the answer of `model` to `prompt`.
#[must_use]
pub fn expected(model: &str, prompt: &str, n: u64) -> String {
    let mut text = String::new();
    write_tokens(&mut text, seed(model, prompt), 0, n);
    text
}

/// Returns the number of tokens of a prompt: one per four bytes, rounded up.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Returns the hashes of a prompt's full blocks of `block_tokens` tokens, in hexadecimal.
///
/// Each is the first 16 bytes of the BLAKE3 hash of the previous hash (the model's name for the
/// first block), a zero byte and the block's bytes, so that equal hashes mean equal prompts up to
/// the end of that block.
#[must_use]
pub fn block_hashes(model: &str, prompt: &str, block_tokens: u64) -> Vec<Box<str>> {
    const HASH_CHARS: usize = 32;
    let block_bytes = usize::try_from(block_tokens.max(1) * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let mut previous: Box<str> = model.into();
    let mut chain = Vec::new();
    for block in prompt.as_bytes().chunks_exact(block_bytes) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(previous.as_bytes());
        hasher.update(&[0]);
        hasher.update(block);
        previous = hasher.finalize().to_hex()[..HASH_CHARS].into();
        chain.push(previous.clone());
    }
    chain
}
