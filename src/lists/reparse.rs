//! The customers' plans after an edit, read from the chunks that changed.

use super::{Chunk, Plans, join};
use crate::sections::Fault;

impl Plans {
    /// Reads the plans of `new` where `self` was read from `old`; `file` names the origin in
    /// faults.
    ///
    /// Reading a list of 31,000 customers whole holds its thread for longer than the time wanted
    /// between two tokens, and every stream of the host would show the gap at each edit. An edit
    /// changes one chunk of many, and only that chunk is read here.
    ///
    /// # Errors
    ///
    /// Returns every fault found, as if the whole list were read.
    pub fn reparse(mut self, old: &[Chunk], new: &[Chunk], file: &str) -> Result<Self, Vec<Fault>> {
        let (start, end) = unchanged_ends(old, new);
        let gone = parse_chunks(&old[start..old.len() - end], file);
        let fresh = parse_chunks(&new[start..new.len() - end], file);
        let (Ok(gone), Ok(fresh)) = (gone, fresh) else {
            return parse_chunks(new, file);
        };
        for name in gone.customers.keys() {
            self.customers.remove(name);
        }
        for (name, customer) in fresh.customers {
            if self.customers.insert(name, customer).is_some() {
                // The same customer stands in two chunks: only the whole list shows that fault.
                return parse_chunks(new, file);
            }
        }
        Ok(self)
    }
}

/// Returns how many chunks at the start and at the end stayed, each up to a section's border.
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

/// Tells whether a section starts at chunk `at`; a section larger than a chunk spans several.
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
            allowed: "the parts of one list".into(),
        }]),
    }
}
