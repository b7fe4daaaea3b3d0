//! What shows that a request did not run at a backend server.
//!
//! The core counts the runs of a request by what is reported of its attempts. This record is kept apart from that count, where
//! requests are written and responses are identified, and is compared with it before an answer states that the request did not run.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use super::{apply, identity};
use crate::backend::SendCount;
use crate::core::effect::Refusal;
use crate::core::key::CallKey;
use crate::core::relay::event::{RelayEvent, UnprovenRefusal};
use crate::error::Ran;
use crate::host::node::Node;

/// Sends of one request, and those of them that are known not to have run.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// Sends by which a server, or a host that it was forwarded to, may run it.
    pub sends: SendCount,
    /// Those of them that were refused with a statement that the request did not run.
    stated: Cell<u32>,
}

impl Evidence {
    /// Records that the peer of a send stated that it did not run the request.
    pub fn not_run(&self) {
        self.stated.set(self.stated.get() + 1);
    }

    /// Returns the number of sends that may have run, or may still run.
    pub fn unproven(&self) -> u32 {
        self.sends.get().saturating_sub(self.stated.get())
    }
}

/// Returns a refusal as its caller gets it: as one of a request that may have run, if sends of it may have.
pub(super) fn checked(node: &Rc<Node>, call: CallKey, refusal: Refusal) -> Refusal {
    let Some(evidence) = node.relay.evidence(call) else {
        return refusal;
    };
    let unproven = evidence.unproven();
    if refusal.ran != Ran::No || unproven == 0 {
        return refusal;
    }
    let prepared = node.relay.prepared(call);
    let id = prepared.and_then(|prepared| identity::request_id(&prepared));
    let withheld = UnprovenRefusal {
        id: id.unwrap_or_default(),
        code: refusal.kind.answer().code,
        sends: evidence.sends.get(),
        unproven,
    };
    apply(node, RelayEvent::UnprovenRefusal(Box::new(withheld)));
    Refusal {
        retry_after: None,
        ..refusal.with_ran(Ran::Unknown)
    }
}
