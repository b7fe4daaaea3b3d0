//! Count of the connections that a request was handed to.

use std::cell::Cell;
use std::rc::Rc;

/// Number of times that a request was handed to a connection, whose peer may have run it; clones share it.
#[derive(Debug, Clone, Default)]
pub struct SendCount(Rc<Cell<u32>>);

impl SendCount {
    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.0.get()
    }

    /// Records that the request is handed to a connection.
    pub(super) fn handed(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Records that a connection gave the request back, and wrote nothing of it.
    pub(super) fn returned(&self) {
        self.0.set(self.0.get() - 1);
    }
}
