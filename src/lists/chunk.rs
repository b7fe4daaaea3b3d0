//! Content-named parts of a list's text, each small enough for one value of the store.
//!
//! Borders lie before sections whose header hashes to a border, so that an edit changes the part
//! it falls in and leaves the names of all others as they were.

use snafu::Snafu;

/// Bytes taken for the size of a typical section, when the spacing of borders is chosen.
const TYPICAL_SECTION_BYTES: usize = 128;
/// Mean parts in the limit: room for runs of sections without a border.
const MEAN_CHUNKS_PER_LIMIT: usize = 8;

/// One part of a text, named by the BLAKE3 hash of its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the bytes.
    pub hash: [u8; 32],
    /// UTF-8 text, or a part of it.
    pub bytes: Box<[u8]>,
}

/// A text could not be put together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum JoinError {
    /// Bytes that do not match their name.
    #[snafu(display("part {chunk} does not match its hash; fetch it again"))]
    HashMismatch {
        /// Place of the part, from 0.
        chunk: usize,
    },
    /// Bytes that are no text.
    #[snafu(display("the parts are not UTF-8 text; fetch the list again"))]
    NotUtf8,
}

impl Chunk {
    /// Names bytes by their hash.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self {
            hash: *blake3::hash(bytes).as_bytes(),
            bytes: bytes.into(),
        }
    }
}

/// Splits a list's text into chunks of at most `limit` bytes.
///
/// # Panics
///
/// Panics where `limit` is 0.
#[must_use]
pub fn chunks(text: &str, limit: usize) -> Vec<Chunk> {
    assert!(limit > 0, "a chunk holds at least a byte");
    let spacing = (limit / TYPICAL_SECTION_BYTES / MEAN_CHUNKS_PER_LIMIT).max(1) as u64;
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for section in sections(text) {
        let too_long = end - start + section.len() > limit;
        if end > start && (too_long || is_boundary(section, spacing)) {
            chunks.push(Chunk::new(&text.as_bytes()[start..end]));
            start = end;
        }
        end += section.len();
        while end - start > limit {
            chunks.push(Chunk::new(&text.as_bytes()[start..start + limit]));
            start += limit;
        }
    }
    if end > start {
        chunks.push(Chunk::new(&text.as_bytes()[start..end]));
    }
    chunks
}

/// Puts a text together again.
///
/// # Errors
///
/// Returns which part does not match its hash, or that the whole is no text.
pub fn join(chunks: &[Chunk]) -> Result<Box<str>, JoinError> {
    let mut bytes = Vec::new();
    for (index, chunk) in chunks.iter().enumerate() {
        if *blake3::hash(&chunk.bytes).as_bytes() != chunk.hash {
            return Err(JoinError::HashMismatch { chunk: index });
        }
        bytes.extend_from_slice(&chunk.bytes);
    }
    String::from_utf8(bytes)
        .map(Into::into)
        .map_err(|_not_text| JoinError::NotUtf8)
}

/// Splits a text before each line that starts a section.
fn sections(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let next = rest.find("\n[").map_or(rest.len(), |at| at + 1);
        let (section, after) = rest.split_at(next);
        rest = after;
        Some(section)
    })
}

/// Decides by the header alone, so that an edit inside a section moves no border.
fn is_boundary(section: &str, spacing: u64) -> bool {
    let header = section.lines().next().unwrap_or_default();
    let hash = blake3::hash(header.as_bytes());
    let head = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(head).is_multiple_of(spacing)
}
