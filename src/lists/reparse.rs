//! Incremental parsing of the customers' plans after an edit.

use super::{Chunk, Plans, join};
use crate::sections::Fault;

impl Plans {
    /// Parses the plans of `new`, given that `self` was parsed from `old`; `file` is the origin
    /// reported in faults.
    ///
    /// Parsing a list of 31,000 customers blocks the thread for longer than the target time
    /// between two tokens, so every stream of the host would stall at each edit. An edit changes
    /// one chunk of many, and only changed chunks are parsed here.
    ///
    /// # Errors
    ///
    /// Returns every fault found, as parsing the whole list would.
    pub fn reparse(mut self, old: &[Chunk], new: &[Chunk], file: &str) -> Result<Self, Vec<Fault>> {
        let (start, end) = unchanged_ends(old, new);
        let removed = parse_chunks(&old[start..old.len() - end], file);
        let added = parse_chunks(&new[start..new.len() - end], file);
        let (Ok(removed), Ok(added)) = (removed, added) else {
            return parse_chunks(new, file);
        };
        for name in removed.customers.keys() {
            self.customers.remove(name);
        }
        for (name, customer) in added.customers {
            if self.customers.insert(name, customer).is_some() {
                // A customer in two chunks is a fault that only parsing the whole list reports.
                return parse_chunks(new, file);
            }
        }
        Ok(self)
    }
}

/// Returns the number of unchanged chunks at the start and at the end, cut back so that changed
/// chunks start and end at section boundaries.
fn unchanged_ends(old: &[Chunk], new: &[Chunk]) -> (usize, usize) {
    let same = |(a, b): &(&Chunk, &Chunk)| a.hash == b.hash;
    let mut start = old.iter().zip(new).take_while(same).count();
    while !(is_boundary(old, start) && is_boundary(new, start)) {
        start -= 1;
    }
    let ends = old[start..].iter().rev().zip(new[start..].iter().rev());
    let mut end = ends.take_while(same).count();
    while !(is_boundary(old, old.len() - end) && is_boundary(new, new.len() - end)) {
        end -= 1;
    }
    (start, end)
}

/// Returns whether a section starts at chunk `at`; a section larger than a chunk spans several.
fn is_boundary(chunks: &[Chunk], at: usize) -> bool {
    let (Some(before), Some(after)) = (at.checked_sub(1).map(|at| &chunks[at]), chunks.get(at))
    else {
        return true;
    };
    before.bytes.ends_with(b"\n") && after.bytes.starts_with(b"[")
}

fn parse_chunks(chunks: &[Chunk], file: &str) -> Result<Plans, Vec<Fault>> {
    match join(chunks) {
        Ok(text) => Plans::parse(&text, file),
        Err(err) => Err(vec![Fault {
            file: file.into(),
            section: "".into(),
            key: "".into(),
            given: err.to_string().into(),
            allowed: "the chunks of one list".into(),
        }]),
    }
}
