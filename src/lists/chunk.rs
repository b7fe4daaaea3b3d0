//! Content-defined chunks of a list's text, each small enough for one value of the store.
//!
//! Chunk boundaries lie before sections whose header hash marks a boundary, so an edit changes
//! the hash of the chunk that contains it and leaves all other chunks unchanged.

use snafu::Snafu;

/// Assumed size of a section, from which the spacing of boundaries is computed.
const TYPICAL_SECTION_BYTES: usize = 128;
/// Ratio of maximum to mean chunk size: leaves room for long runs of sections without a boundary.
const MEAN_CHUNKS_PER_LIMIT: usize = 8;

/// One chunk of a text, identified by the BLAKE3 hash of its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// BLAKE3 hash of the bytes.
    pub hash: [u8; 32],
    /// Bytes of UTF-8 text; may start or end inside a character.
    pub bytes: Box<[u8]>,
}

/// Why chunks could not be joined to a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum JoinError {
    /// The bytes of a chunk do not match its hash.
    #[snafu(display("chunk {chunk} does not match its hash; fetch it again"))]
    HashMismatch {
        /// Index of the chunk, from 0.
        chunk: usize,
    },
    /// The joined bytes are not UTF-8.
    #[snafu(display("the joined chunks are not UTF-8 text; fetch the list again"))]
    NotUtf8,
}

impl Chunk {
    /// Creates a chunk and computes its hash.
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
/// Panics if `limit` is 0.
#[must_use]
pub fn chunks(text: &str, limit: usize) -> Vec<Chunk> {
    assert!(limit > 0, "the limit must be at least one byte");
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

/// Joins chunks to the text they were split from.
///
/// # Errors
///
/// Returns an error if a chunk does not match its hash or if the result is not UTF-8.
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

/// Splits a text before each line that starts with `[`.
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

/// Returns whether a chunk boundary lies before a section.
///
/// Only the header is hashed, so an edit inside a section does not move the boundary.
fn is_boundary(section: &str, spacing: u64) -> bool {
    let header = section.lines().next().unwrap_or_default();
    let hash = blake3::hash(header.as_bytes());
    let head = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(head).is_multiple_of(spacing)
}
