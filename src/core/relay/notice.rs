//! Handling of what backend servers state about themselves in their answers.

use super::super::key::{AttemptKey, BackendKey};
use super::super::{Core, Effects};
use super::event::Notices;
use super::{departed, limit, note, pushback};

/// Handles the head of an answer to a caller's request.
pub fn answered(core: &mut Core, attempt: AttemptKey, notices: Notices, out: &mut Effects) {
    let Some(open) = core.relay.attempts.get(attempt) else {
        return;
    };
    let (backend, sent) = (open.backend, open.sent_at);
    limit::observe(core, backend, sent, notices.limit, out);
    apply(core, backend, notices, out);
}

/// Handles the head of an answer to another call.
pub fn control_answered(core: &mut Core, id: &str, notices: Notices, out: &mut Effects) {
    if let Some(backend) = core.relay.instances.find(id) {
        apply(core, backend, notices, out);
    }
}

fn apply(core: &mut Core, backend: BackendKey, notices: Notices, out: &mut Effects) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(backend) else {
        return;
    };
    pushback::observe(instance, notices.pushback, now, &mut core.rng, out);
    if notices.leaving && instance.named_leaving.is_none() {
        instance.named_leaving = Some(now);
        let fields = vec![("backend", instance.id.clone())];
        note(out, log::Level::Info, "backend.named_leaving", fields);
        departed::stated(core, backend, out);
    }
}
