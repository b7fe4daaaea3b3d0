//! Changes of the store that another host replicates to this one.

use super::super::event::{Changes, RelayEffect, ReplicatedChanges, StoreChange};
use super::super::{apply_changes, note};
use super::{confirm, request_next};
use crate::core::effect::Effect;
use crate::core::{Core, Effects};

/// Applies changes received from another host.
///
/// Changes that start after the known revision would leave a gap; this host then reads them from the store.
pub fn apply_replicated(core: &mut Core, from: &str, batch: ReplicatedChanges, out: &mut Effects) {
    let view = &mut core.relay.view;
    if batch.revision <= view.revision {
        return;
    }
    if batch.after > view.revision {
        log_gap(core, from, &batch, out);
        if core.relay.view.standby {
            request_next(core, out);
        }
        return;
    }
    let known = view.revision;
    // Gossip of an earlier era is dropped before, and a later era is taken over before.
    view.era.get_or_insert(0);
    view.set_source(from, out);
    let events = batch.events.into_iter();
    let new: Vec<StoreChange> = events.filter(|event| event.revision > known).collect();
    if view.full_read.is_none() {
        view.standby = true;
        if let Some(call) = view.pending.take() {
            // The watch would return the same changes.
            out.push(Effect::Relay(RelayEffect::CancelStoreCall(call.number)));
        }
    }
    let changes = new
        .iter()
        .map(|event| (event.revision, event.changes.clone()));
    let changes: Vec<(i64, Changes)> = changes.collect();
    view.history.append(new);
    for (revision, changes) in changes {
        core.relay.view.revision = revision;
        apply_changes(core, changes, out);
    }
    core.relay.view.revision = batch.revision;
    confirm::read_ended(core, out);
}

/// Logs the first received changes that cannot be applied because earlier ones are not known.
fn log_gap(core: &mut Core, from: &str, batch: &ReplicatedChanges, out: &mut Effects) {
    let view = &mut core.relay.view;
    if view.gap_after.replace(view.revision) == Some(view.revision) {
        return;
    }
    let fields = vec![
        ("from", from.into()),
        ("at", view.revision.to_string().into()),
        ("after", batch.after.to_string().into()),
        ("newest", batch.revision.to_string().into()),
    ];
    note(out, log::Level::Info, "view.gap", fields);
}
