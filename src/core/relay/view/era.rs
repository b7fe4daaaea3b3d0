//! Eras of the store. An era ends each time the store is restored from an older copy.
//!
//! A restore loses everything written since the copy, leases included, and the store assigns the same revisions again:
//! a revision or a lease is valid only in its own era. Everything that this host holds by revision belongs to one era,
//! and is read again when a later era is seen.

use std::time::Duration;

use rand::RngExt;

use super::super::event::RelayEffect;
use super::super::{RelayTimer, note, peers, planner, wake};
use super::{pause, request_next};
use crate::core::effect::Effect;
use crate::core::{Core, Effects};

/// Upper bound of the random delay after which a host that learned of an era from another host reads every key: all
/// hosts receive that message at the same moment.
const MAX_READ_JITTER: Duration = Duration::from_millis(300);
/// Upper bound of the random delay after which a host registers again in a new era; these calls write to the store.
const MAX_REGISTER_JITTER: Duration = Duration::from_millis(700);
/// Bits of a fencing number that hold the revision; the bits above hold the era.
const REVISION_BITS: u32 = 40;

/// Source in the log of an era that an answer of the store named.
pub const STORE_SOURCE: &str = "store";

/// Returns the fencing number of an authority acquired at a revision of an era, ordered by era and then by revision.
///
/// Some readers hold JSON numbers exactly up to 2^53 only, which leaves room for 8,000 eras.
#[must_use]
pub fn fence(era: u64, revision: i64) -> u64 {
    (era << REVISION_BITS) | u64::try_from(revision).unwrap_or(0)
}

/// Handles the era named by an answer of the store or by another host. Another host sends 0 also if it knows none.
pub fn observe(core: &mut Core, era: u64, source: &str, out: &mut Effects) {
    let view = &mut core.relay.view;
    let Some(before) = view.era else {
        if era > 0 || source == STORE_SOURCE {
            view.era = Some(era);
        }
        return;
    };
    if era <= before {
        return;
    }
    view.era = Some(era);
    let fields = vec![
        ("era", era.to_string().into()),
        ("before", before.to_string().into()),
        ("source", source.into()),
        ("at", core.relay.view.revision.to_string().into()),
    ];
    note(out, log::Level::Warn, "store.era", fields);
    planner::drop_authority(core, out);
    peers::drop_lease(core);
    let pending = core.relay.view.reset();
    if let Some(number) = pending {
        out.push(Effect::Relay(RelayEffect::CancelStoreCall(number)));
    }
    if source == STORE_SOURCE {
        request_next(core, out);
    } else {
        let jitter = core.rng.random_range(Duration::ZERO..MAX_READ_JITTER);
        pause(core, jitter, out);
    }
    let jitter = core.rng.random_range(Duration::ZERO..MAX_REGISTER_JITTER);
    wake(core, jitter, RelayTimer::RegisterAgain, out);
}
