//! Eras of the store: one ends each time that it comes back from an older copy.
//!
//! What was written since the copy is lost then, leases too, and revisions are given out again: a revision or a lease
//! means something in its own era only. All that this host knows of the store by revision belongs to one era, and is
//! read anew when the next one is seen.

use std::time::Duration;

use rand::RngExt;

use super::super::event::RelayEffect;
use super::super::{RelayTimer, note, peers, split, wake};
use super::{pause, request_next};
use crate::core::effect::Effect;
use crate::core::{Core, Effects};

/// Longest time, drawn at random, after which a host that another one told of an era reads every key: all are told at
/// the same moment.
const MAX_READ_JITTER: Duration = Duration::from_millis(300);
/// The same for its registration, whose calls write.
const MAX_REGISTER_JITTER: Duration = Duration::from_millis(700);
/// Bits of a fencing number that hold a revision; those above hold the era.
const REVISION_BITS: u32 = 40;

/// Name in the log for an answer of the store as the source of an era.
pub const STORE_SOURCE: &str = "store";

/// Returns the fencing number of an authority that was taken at a revision of an era: it grows with both, the era
/// first.
///
/// JSON numbers are exact to 2^53 at some readers, which leaves 8,000 eras.
#[must_use]
pub fn fence(era: u64, revision: i64) -> u64 {
    (era << REVISION_BITS) | u64::try_from(revision).unwrap_or(0)
}

/// Takes in the era that an answer of the store or another host named; 0 where it named none.
pub fn observe(core: &mut Core, era: u64, source: &str, out: &mut Effects) {
    let before = core.relay.view.era;
    if era <= before {
        return;
    }
    core.relay.view.era = era;
    if before == 0 {
        return;
    }
    let fields = vec![
        ("era", era.to_string().into()),
        ("before", before.to_string().into()),
        ("source", source.into()),
        ("at", core.relay.view.revision.to_string().into()),
    ];
    note(out, log::Level::Warn, "store.era", fields);
    split::forget(core, out);
    peers::forget_lease(core);
    let asked = core.relay.view.reset();
    if let Some(number) = asked {
        out.push(Effect::Relay(RelayEffect::Unask(number)));
    }
    if source == STORE_SOURCE {
        request_next(core, out);
    } else {
        let spread = core.rng.random_range(Duration::ZERO..MAX_READ_JITTER);
        pause(core, spread, out);
    }
    let spread = core.rng.random_range(Duration::ZERO..MAX_REGISTER_JITTER);
    wake(core, spread, RelayTimer::RegisterAgain, out);
}
